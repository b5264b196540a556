/*
 * platform-private.h - inside of struct rr_platform_client.
 */
#ifndef RAGWORT_PLATFORM_PRIVATE_H
#define RAGWORT_PLATFORM_PRIVATE_H

#include "net/exchange-private.h"
#include "platform/platform.h"
#include "ragwort/net-platform.h"

/* A page of the store's: a megabyte of values, coded, and what is round it. */
#define MAX_REPLY_BYTES (4u << 20)

struct rr_platform_client {
	struct rr_context *ctx;
	struct rr_platform_client_options options;
	char *address;
	struct rr_http_session *session;
	guint watch_timer;
	guint list_timer;
	int64_t slow_list_due_us; /* read the list then, watching or not */
	uint64_t record_revision; /* the store's, up to which it was read */
	bool record_read;
	guint registration_timer;
	uint64_t lease; /* 0: none */
	bool is_registered;
	int64_t started_ms; /* Unix time; told in this instance's entry */
};

/* Make a call, which is cleared; `done` is called once, later. */
void rr_start_platform_call(
	struct rr_platform_client *port, struct rr_store_request *call,
	uint32_t timeout_ms,
	void (*done)(void *data, const struct rr_exchange_result *result),
	void *data);
/* Count and log a call without a usable reply. */
void rr_log_platform_failure(struct rr_platform_client *port, const char *what,
			     const struct rr_exchange_result *result);
/* Fill a feed's reply from an exchange; its items are for the caller. */
void rr_decode_platform_reply(enum rr_feed_call_kind kind,
			      const struct rr_exchange_result *result,
			      struct rr_feed_reply *reply);
/* Start watching the record and reading the list. */
void rr_start_platform_watch(struct rr_platform_client *port);
void rr_stop_platform_watch(struct rr_platform_client *port);
/* Keep this instance's entry in the list. */
void rr_start_platform_registration(struct rr_platform_client *port);
void rr_stop_platform_registration(struct rr_platform_client *port);

#endif
