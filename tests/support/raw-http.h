/*
 * raw-http.h - a small HTTP/1.1 server on plain sockets, for stand-ins that
 * have to break off anywhere: refuse, reset, hang up, cut a body.
 */
#ifndef TESTS_SUPPORT_RAW_HTTP_H
#define TESTS_SUPPORT_RAW_HTTP_H

#include <gio/gio.h>
#include <stdbool.h>
#include <stdint.h>

struct test_server;

/* One connection and the request on it, one at a time. */
struct test_connection {
	struct test_server *server;
	void *user; /* freed with g_free() at the end */
	bool busy;  /* a request was handed out and not replied to */
	bool held;  /* requests wait until test_release_connection() */
	char *method;
	char *path;
	GHashTable *headers; /* names in lower case */
	char *body;
	GSocket *socket;
	GSource *source;
	GString *input;
};

struct test_server {
	uint16_t port; /* 0 takes a free one */
	void *data;
	/* Close each connection as soon as it is made. */
	bool reset;
	void (*accepted)(struct test_connection *connection);
	void (*request)(struct test_connection *connection);
	/* It is about to go; nothing may be sent any more. */
	void (*closing)(struct test_connection *connection);
	/* It is gone. */
	void (*closed)(struct test_server *server);
	GPtrArray *connections;
	GSocket *listener;
	GSource *source;
};

/* Open or close the listener; with a closed one connections are refused. */
void test_set_listening(struct test_server *server, bool open);
/* As when its process ends: no listener, and no connections. */
void test_stop_server(struct test_server *server);
/* The same, and it is not opened again. */
void test_destroy_server(struct test_server *server);

/* A header of the request, NULL if absent. */
const char *test_request_header(struct test_connection *connection,
				const char *name);
int64_t test_request_header_i64(struct test_connection *connection,
				const char *name);

/*
 * Reply; `extra` holds further header lines, each ended by CRLF.  With
 * `half` the connection closes in the middle of the body.  The connection may
 * be gone afterwards, or have handed out its next request.
 */
void test_reply_to(struct test_connection *connection, int status,
		   const char *extra, const char *body, bool half);
void test_release_connection(struct test_connection *connection);
void test_close_connection(struct test_connection *connection);

#endif
