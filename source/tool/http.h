/*
 * http.h - HTTP calls of the tool, with a limit on their time.
 */
#ifndef TOOL_HTTP_H
#define TOOL_HTTP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct rr_http_header {
	const char *name;
	const char *value;
};

struct rr_credentials;

struct rr_http_request {
	const char *method;
	const char *address; /* IP:PORT */
	const struct rr_credentials
		*credentials; /* NULL: plain HTTP, no token */
	const char *path;
	const struct rr_http_header *headers;
	size_t n_headers;
	const char *body; /* JSON; NULL for none */
	size_t length;
	uint32_t timeout_ms;
};

struct rr_http_reply {
	uint32_t status;
	char *body; /* NUL-terminated */
	size_t length;
};

/*
 * Make a call and wait for its reply.  False with an error when there is no
 * whole reply: RR_ERROR_SYNTAX for an address that is no IP:PORT, RR_ERROR_UNAVAILABLE when nothing was sent (no connection),
 * RR_ERROR_SYSTEM when the call may have had its effect.  The call is sent
 * once: libsoup resends a GET or PUT when a kept connection closes, so calls
 * that write are POSTs marked idempotent on a new connection.
 */
bool rr_send_http_request(const struct rr_http_request *call,
			  struct rr_http_reply *reply, GError **error);
/*
 * Make several calls at once.  errors[i] is set, and replies[i] empty, where
 * rr_send_http_request() would give false.
 */
void rr_send_http_requests(const struct rr_http_request *calls,
			   struct rr_http_reply *replies, GError **errors,
			   size_t n);
void rr_clear_http_reply(struct rr_http_reply *reply);

#endif
