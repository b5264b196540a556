/*
 * exchange-private.h - one HTTP request and its reply, on a libsoup session
 * that never sends anything a second time.
 */
#ifndef RAGWORT_EXCHANGE_PRIVATE_H
#define RAGWORT_EXCHANGE_PRIVATE_H

#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

/* What came of an exchange; valid during the callback only. */
struct rr_exchange_result {
	/*
	 * No byte of the request left: no connection was had.  Proof that
	 * the other side did nothing for it.
	 */
	bool never_sent;
	/* The other side's reply was whole; false: lost or cut short. */
	bool complete;
	uint32_t status; /* 0: no status line came */
	SoupMessageHeaders *headers;
	const char *body; /* NUL-terminated */
	size_t length;
	const char *error; /* what went wrong; NULL if whole */
};

struct rr_exchange_options {
	const char *method;
	const char *address; /* IP:PORT */
	const char *path;    /* escaped, with the query string */
	/* Header names and values, in pairs, NULL-terminated; or NULL. */
	const char *const *headers;
	/* The body, JSON, given away to the exchange; NULL for none. */
	char *body;
	size_t body_length;
	uint32_t max_reply_bytes;
	uint32_t timeout_ms; /* 0: none */
	void (*done)(void *data, const struct rr_exchange_result *result);
	void *data;
};

struct rr_http_session;
struct rr_exchange;

/* Connections are kept for reuse and closed after idle_s without use. */
struct rr_http_session *rr_new_http_session(uint32_t idle_s);
/* Aborts what is open without calling back. NULL is allowed. */
void rr_drop_http_session(struct rr_http_session *exchanger);
/* How many exchanges are open. */
uint32_t rr_count_exchanges(const struct rr_http_session *exchanger);

/*
 * Start an exchange.  `done` is called exactly once, from the main loop and
 * never from in here; the exchange is freed after it.
 */
struct rr_exchange *
rr_start_exchange(struct rr_http_session *exchanger,
		  const struct rr_exchange_options *options);
/* Close the connection; `done` is still called. */
void rr_abort_exchange(struct rr_exchange *exchange);
/* Close the connection timeout_ms from now, unless it has ended by then. */
void rr_set_exchange_timeout(struct rr_exchange *exchange, uint32_t timeout_ms);

#endif
