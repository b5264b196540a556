/*
 * platform-private.h - internals of struct rr_platform_client.
 */
#ifndef RAGWORT_PLATFORM_PRIVATE_H
#define RAGWORT_PLATFORM_PRIVATE_H

#include "net/exchange-private.h"
#include "platform/platform.h"
#include "ragwort/net-platform.h"

/*
 * Limit on a reply. The largest reply is a page of the store: one megabyte of
 * values, base64-encoded, and the JSON around them.
 */
#define MAX_REPLY_BYTES (4u << 20)

struct rr_platform_client {
	struct rr_context *ctx;
	struct rr_platform_client_options options;
	char *address;
	struct rr_http_session *session;
	guint watch_timer;
	guint list_timer;
	/* When to read the list next even if this instance does not watch. */
	int64_t slow_list_due_us;
	/* Store revision up to which the record was read. */
	uint64_t record_revision;
	bool record_read;
	struct rr_exchange *record_exchange; /* in flight; NULL: none */
	uint64_t era; /* highest one that the store has stated; 0: none */
	guint registration_timer;
	uint64_t lease; /* 0: no lease */
	bool is_registered;
	int64_t started_ms; /* Unix time, written to this instance's entry */
};

/*
 * Start a request to the platform. `call` is cleared; `done` is called once,
 * later.
 */
struct rr_exchange *rr_start_platform_call(
	struct rr_platform_client *client, struct rr_store_request *call,
	uint32_t timeout_ms,
	void (*done)(void *data, const struct rr_exchange_result *result),
	void *data);
/*
 * Return the era that the store states in a reply; 0: none.  In a later era than
 * the known one, the record is read again, and the instance registered again.
 */
uint64_t rr_note_platform_era(struct rr_platform_client *client,
			      const struct rr_exchange_result *result);
/* Count and log a call without a usable reply. */
void rr_log_platform_failure(struct rr_platform_client *client,
			     const char *what,
			     const struct rr_exchange_result *result);
/*
 * Decode the reply of a feed call from an exchange; the caller frees its items.
 */
void rr_decode_platform_reply(struct rr_platform_client *client,
			      enum rr_feed_call_kind kind,
			      const struct rr_exchange_result *result,
			      struct rr_feed_reply *reply);
/* Start to watch the record and read the list. */
void rr_start_platform_watch(struct rr_platform_client *client);
void rr_stop_platform_watch(struct rr_platform_client *client);
/* Register this instance in the list and renew its entry. */
void rr_start_platform_registration(struct rr_platform_client *client);
void rr_stop_platform_registration(struct rr_platform_client *client);

#endif
