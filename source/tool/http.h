/*
 * http.h - HTTP client of the tool, with a timeout per request.
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
	/* NULL for plain HTTP without a token */
	const struct rr_credentials *credentials;
	const char *path;
	const struct rr_http_header *headers;
	size_t n_headers;
	const char *body; /* JSON; NULL for no body */
	size_t length;	  /* of the body, in bytes */
	uint32_t timeout_ms;
};

struct rr_http_reply {
	uint32_t status;
	char *body; /* NUL-terminated */
	size_t length;
};

/*
 * Send a request and wait for its reply, to be released with
 * rr_clear_http_reply().  Without a complete reply, return false and set the
 * error: RR_ERROR_SYNTAX if the address is not an IP:PORT, RR_ERROR_UNAVAILABLE
 * if nothing was sent (no connection), RR_ERROR_SYSTEM if the request may have
 * taken effect.
 *
 * The request is sent once.  libsoup resends a GET or PUT when a persistent
 * connection closes, but each request uses a new connection.  Requests that
 * write are POSTs, which libsoup does not resend, even though they are marked
 * idempotent.
 */
bool rr_send_http_request(const struct rr_http_request *request,
			  struct rr_http_reply *reply, GError **error);
/*
 * Send n requests concurrently and wait for all replies.  Where
 * rr_send_http_request() would return false, errors[i] is set and replies[i] is
 * empty.
 */
void rr_send_http_requests(const struct rr_http_request *requests,
			   struct rr_http_reply *replies, GError **errors,
			   size_t n);
void rr_clear_http_reply(struct rr_http_reply *reply);

#endif
