/*
 * http-listener-private.h - connections of the HTTP listener, shared by its
 * files.
 */
#ifndef RAGWORT_NET_HTTP_LISTENER_PRIVATE_H
#define RAGWORT_NET_HTTP_LISTENER_PRIVATE_H

#include "net/http-listener.h"
#include "net/stream.h"

enum caller_state {
	CALLER_READING, /* reading a request, or waiting for one */
	CALLER_OPEN,	/* the owner is processing a request */
	CALLER_WRITING, /* the response is not completely sent */
	CALLER_CLOSING, /* response sent; waiting for the peer to close */
};

struct rr_caller_conn {
	struct rr_http_listener *listener;
	struct rr_stream *stream;
	struct rr_http_reader *reader;
	GByteArray *pending; /* bytes received after the current request */
	enum caller_state state;
	bool half_closed;
	bool close; /* close after the current response */
	bool http_1_0;
	bool is_head_request; /* HEAD request: the response has no body */
	/* Time of entry into `state` or of a request's first byte, if later. */
	int64_t since_us;
	uint64_t user_data;
	struct rr_memory_user memory;
	GList link;
	uint64_t n_requests; /* read on this connection so far */
};

struct rr_http_listener {
	struct rr_context *ctx;
	struct rr_poller *poller;
	struct rr_io_watcher watcher;
	struct rr_http_listener_options options;
	struct rr_caller_limits limits;
	GQueue callers; /* struct rr_caller_conn, in the order of accepting */
	int64_t checked_us;
	int64_t memory_checked_us;
	bool draining;
	bool must_retry_accept; /* connections may be waiting */
};

/* http-listener.c */

/* Close and free a connection. */
void rr_free_caller_conn(struct rr_caller_conn *caller);
/* Report what a connection holds to the memory budget. */
void rr_update_caller_memory(struct rr_caller_conn *caller);
/* Reject an incomplete request, which has not been passed on, and close. */
void rr_reject_incomplete_request(struct rr_caller_conn *caller,
				  uint16_t status);
/* Accept the connections that are waiting, as far as there is room for them. */
void rr_accept_callers(struct rr_http_listener *listener);
bool rr_is_idle_caller(const struct rr_caller_conn *caller);

/* http-listener-limits.c */

/*
 * Close an idle connection, so that another one can be accepted, or if there is
 * none, those with requests that arrive slowly. Returns false if there is no
 * room yet.
 */
bool rr_make_room_for_caller(struct rr_http_listener *listener);

#endif
