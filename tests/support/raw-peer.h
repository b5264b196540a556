/*
 * raw-peer.h - remote end of a TCP connection for tests, with control over each
 * byte.
 */
#ifndef TESTS_SUPPORT_RAW_PEER_H
#define TESTS_SUPPORT_RAW_PEER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Time limit for each wait of a test. */
#define RAW_TIMEOUT_US (10 * G_USEC_PER_SEC)

struct raw_listener {
	int fd;
	char *address; /* IP:PORT */
};

struct raw_peer {
	int fd;
	GString *received; /* bytes read so far */
	bool closed;	   /* the tested side closed or reset the connection */
	bool reset;
};

/* Listen on a free port of 127.0.0.1. */
struct raw_listener *raw_listen(void);
/* Close the listening socket: connections are refused from now on. */
void raw_close_listener(struct raw_listener *listener);
void raw_drop_listener(struct raw_listener *listener);

/* Run the main loop until there is a connection, and accept it. */
struct raw_peer *raw_accept(struct raw_listener *listener);
/*
 * Return whether a connection is waiting to be accepted, after running the main
 * loop for 30 ms.
 */
bool raw_has_connection(struct raw_listener *listener);
struct raw_peer *raw_connect(const char *address);
/* Return whether connections to the address are refused. */
bool raw_is_refused(const char *address);
void raw_send(struct raw_peer *peer, const char *text);
/* Close the sending side only. */
void raw_shutdown_write(struct raw_peer *peer);
void raw_reset(struct raw_peer *peer);
void raw_drop(struct raw_peer *peer);

/* Run the main loop until `text` was received; otherwise the test fails. */
void raw_expect(struct raw_peer *peer, const char *text);
/* Run the main loop until the tested side has closed the connection. */
void raw_expect_end(struct raw_peer *peer);
/*
 * Run the main loop for 30 ms, then return and clear the bytes received; to be
 * freed with g_free().
 */
char *raw_read_available(struct raw_peer *peer);
/* Run the main loop until *flag is at least n. */
void raw_run_until(const int *flag, int n);
/* Run the main loop for some microseconds. */
void raw_run_for(int64_t us);

#endif
