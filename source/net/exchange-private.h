/*
 * exchange-private.h - one HTTP request and its reply, on a libsoup session
 * that never sends a request twice.
 */
#ifndef RAGWORT_EXCHANGE_PRIVATE_H
#define RAGWORT_EXCHANGE_PRIVATE_H

#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

/* Result of an exchange; valid during the callback only. */
struct rr_exchange_result {
	/*
	 * No byte of the request was sent, because no connection was
	 * established. Proof that the other side did nothing for it.
	 */
	bool never_sent;
	/* The reply was received completely; false: lost or truncated. */
	bool complete;
	uint32_t status; /* 0: no status line received */
	SoupMessageHeaders *headers;
	const char *body; /* NUL-terminated */
	size_t length;
	const char *error; /* cause of the failure; NULL if complete */
};

struct rr_exchange_options {
	const char *method;
	const char *address; /* IP:PORT */
	const char *path;    /* escaped, including the query string */
	/* Header names and values in pairs, NULL-terminated; or NULL. */
	const char *const *headers;
	/* JSON body, owned by the exchange from then on; NULL for none. */
	char *body;
	size_t body_length;
	uint32_t max_reply_bytes;
	uint32_t timeout_ms; /* 0: none */
	void (*done)(void *data, const struct rr_exchange_result *result);
	void *data;
};

struct rr_http_session;
struct rr_exchange;

/*
 * Create a session. Connections are kept for reuse and closed after idle_s
 * seconds without use.
 */
struct rr_http_session *rr_new_http_session(uint32_t idle_s);
/* Abort all open exchanges without calling their callbacks. NULL is allowed. */
void rr_drop_http_session(struct rr_http_session *session);
/* Return the number of open exchanges. */
uint32_t rr_count_exchanges(const struct rr_http_session *session);

/*
 * Start an exchange. `done` is called exactly once, from the main loop and
 * never from inside this function; the exchange is freed after it.
 */
struct rr_exchange *
rr_start_exchange(struct rr_http_session *session,
		  const struct rr_exchange_options *options);
/* Close the connection; `done` is still called. */
void rr_abort_exchange(struct rr_exchange *exchange);
/* Close the connection in timeout_ms, unless the exchange has ended by then. */
void rr_set_exchange_timeout(struct rr_exchange *exchange, uint32_t timeout_ms);

#endif
