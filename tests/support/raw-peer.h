/*
 * raw-peer.h - the other end of a TCP connection, byte by byte.
 */
#ifndef TESTS_SUPPORT_RAW_PEER_H
#define TESTS_SUPPORT_RAW_PEER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* How long anything may take before a test gives up. */
#define RAW_TIMEOUT_US (10 * G_USEC_PER_SEC)

struct raw_listener {
	int fd;
	char *address; /* IP:PORT */
};

struct raw_peer {
	int fd;
	GString *received; /* what was read so far */
	bool closed;	   /* the other side closed or reset */
	bool reset;
};

/* On a free port of 127.0.0.1. */
struct raw_listener *raw_listen(void);
/* From now on connections are refused. */
void raw_close_listener(struct raw_listener *listener);
void raw_drop_listener(struct raw_listener *listener);

/* Turn the main loop until a connection is there. */
struct raw_peer *raw_accept(struct raw_listener *listener);
/* Whether one waits to be accepted, after a few turns. */
bool raw_has_connection(struct raw_listener *listener);
struct raw_peer *raw_connect(const char *address);
/* Whether connections are refused there. */
bool raw_is_refused(const char *address);
void raw_send(struct raw_peer *peer, const char *text);
/* Close the sending side only. */
void raw_shutdown_write(struct raw_peer *peer);
void raw_reset(struct raw_peer *peer);
void raw_drop(struct raw_peer *peer);

/* Turn the main loop until `text` was read; fails the test otherwise. */
void raw_expect(struct raw_peer *peer, const char *text);
/* Until the other side has ended. */
void raw_expect_end(struct raw_peer *peer);
/* Read what is there after some turns, and forget it. */
char *raw_read_available(struct raw_peer *peer);
/* Turn the main loop until *flag is at least n. */
void raw_run_until(const int *flag, int n);
/* Turn the main loop for a while. */
void raw_run_for(int64_t us);

#endif
