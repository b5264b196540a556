/*
 * raw-http.h - small HTTP/1.1 server on plain sockets, for stand-ins that have
 * to fail at any point: refuse or reset connections, close without a reply,
 * truncate a body.
 */
#ifndef TESTS_SUPPORT_RAW_HTTP_H
#define TESTS_SUPPORT_RAW_HTTP_H

#include <gio/gio.h>
#include <stdbool.h>
#include <stdint.h>

struct test_server;

/* A connection and the request on it; one request at a time. */
struct test_connection {
	struct test_server *server;
	void *user; /* freed with g_free() on close */
	bool busy;  /* a request was passed on and not answered yet */
	bool held;  /* requests are queued until test_release_connection() */
	char *method;
	char *path;
	GHashTable *headers; /* names in lower case */
	char *body;
	GSocket *socket;
	GSource *source;
	GString *input;
};

struct test_server {
	uint16_t port; /* 0 picks a free one */
	void *data;
	/* Close each connection immediately after accepting it. */
	bool reset;
	void (*accepted)(struct test_connection *connection);
	void (*request)(struct test_connection *connection);
	/*
	 * The connection is about to be closed; nothing may be sent any more.
	 */
	void (*closing)(struct test_connection *connection);
	/* A connection was closed. */
	void (*closed)(struct test_server *server);
	GPtrArray *connections;
	GSocket *listener;
	GSource *source;
};

/* Open or close the listener; connections are refused while it is closed. */
void test_set_listening(struct test_server *server, bool open);
/* Stop as if the process had ended: close the listener and all connections. */
void test_stop_server(struct test_server *server);
/* Stop permanently, and free the connection list. */
void test_destroy_server(struct test_server *server);

/* Return a header of the request, NULL if absent. */
const char *test_request_header(struct test_connection *connection,
				const char *name);
int64_t test_request_header_i64(struct test_connection *connection,
				const char *name);

/*
 * Send a reply. `extra` holds further header lines, each terminated by CRLF.
 * With `half` the connection is closed in the middle of the body. Afterwards
 * the connection may be freed, or its next request may have been passed on.
 */
void test_reply_to(struct test_connection *connection, int status,
		   const char *extra, const char *body, bool half);
void test_release_connection(struct test_connection *connection);
void test_close_connection(struct test_connection *connection);

#endif
