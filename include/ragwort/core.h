/*
 * core.h - the decision core of an instance: events in, actions out.
 *
 * The core uses no socket, file, timer, clock or thread.  A carrier (the
 * daemon, a test or an experiment) calls the event functions with the current
 * time and performs the actions that the callbacks request.  The same events,
 * times and seed produce the same actions.
 *
 * Rules for carriers:
 * - `now_us` is monotonic and never goes back; after each event call,
 *   rr_core_wake_us() returns when rr_core_tick() is due.
 * - Callbacks may run inside any event function.  They must not call the core;
 *   replies are passed in after the event function has returned.
 * - Exactly one rr_core_handle_reply() follows every attempt sent, unless the
 *   attempt was cancelled; extra, late or unknown replies are counted and
 *   dropped.
 */
#ifndef RAGWORT_CORE_H
#define RAGWORT_CORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwort/attempt.h"
#include "ragwort/config.h"
#include "ragwort/context.h"
#include "ragwort/peer.h"
#include "ragwort/request.h"
#include "ragwort/store.h"

struct rr_core_actions {
	/* Send an attempt to its replica. */
	void (*send_attempt)(void *data, const struct rr_attempt *attempt);
	/*
	 * Cancel an attempt that was sent: its reply is no longer needed, and
	 * none has to be passed in.
	 */
	void (*cancel_attempt)(void *data, uint64_t attempt_id);
	/* Answer a caller; called exactly once for each query id. */
	void (*send_answer)(void *data, const struct rr_answer *answer);
	/* Send a message to a peer; the core keeps ownership of it. */
	void (*send_peer_message)(void *data, const char *instance,
				  const char *address,
				  const struct rr_peer_message *message);
	/*
	 * Request a replica's health.  The reply is passed to
	 * rr_core_handle_health().
	 */
	void (*poll_health)(void *data, const char *replica,
			    const char *address);
	/*
	 * A peer sent a configuration record with a higher revision than any
	 * before; the carrier parses it and calls rr_core_set_config().
	 */
	void (*apply_config_record)(void *data, const char *record,
				    size_t length);
	void *data;
};

/*
 * Policies that an experiment switches off to measure its baseline; all are
 * false in the product.
 */
struct rr_policy_switches {
	bool random_replica;
	bool no_hedge;
	bool no_adaptive_limit;
	bool no_admission;
	bool no_outliers;
};

struct rr_core_options {
	const char *instance;
	const char *zone;
	const char *peer_address;
	/*
	 * Higher for each start of an instance of this name, for example
	 * microseconds since 1970 at start.
	 */
	uint64_t incarnation;
	struct rr_core_actions actions;
	struct rr_store_port store;
	struct rr_policy_switches switches;
};

struct rr_core;

struct rr_core *rr_new_core(struct rr_context *ctx,
			    const struct rr_core_options *options,
			    int64_t now_us);
void rr_drop_core(struct rr_core *core);

/*
 * Apply a configuration.
 *
 * Return false, without applying it, if its revision is not higher than the
 * current one.  `record` is the text that the configuration was parsed from;
 * the core sends a copy to peers that request it.  The core takes a reference
 * to `config`.
 */
bool rr_core_set_config(struct rr_context *ctx, struct rr_core *core,
			int64_t now_us, struct rr_config *config,
			const char *record, size_t length);
/* Return the text of the record in force; NULL if there is none. */
const char *rr_core_config_record(const struct rr_core *core, size_t *length);

struct rr_config_write_back {
	uint64_t key_revision;	  /* of the record in the store */
	uint64_t stored_revision; /* of that record itself */
	const char *record;	  /* NULL: the record in force */
	size_t length;
};

/*
 * Write a record to the store, which was restored from a copy and has lost
 * changes: the one in force over an older one, or one with the changes of both.
 * Does nothing if the key has changed since, or if this instance does not watch
 * the record.
 */
void rr_core_write_config_back(struct rr_context *ctx, struct rr_core *core,
			       int64_t now_us,
			       const struct rr_config_write_back *write);

/*
 * Handle a caller's request.
 *
 * `wall_us` is the time since 1970, from which the age of idempotency keys is
 * computed.  Strings are copied.  Return the query id, never 0.  The answer is
 * passed to send_answer(), possibly before this function returns (the id is
 * also in answer->query_id).
 */
uint64_t rr_core_handle_request(struct rr_context *ctx, struct rr_core *core,
				int64_t now_us, int64_t wall_us,
				const struct rr_request *request);

/*
 * Cancel a request whose caller has disconnected.  Attempts of reads are
 * cancelled; a reservation that was sent runs until its outcome is known and
 * recorded.  No answer is sent.
 */
void rr_core_cancel(struct rr_context *ctx, struct rr_core *core,
		    int64_t now_us, uint64_t query_id);

void rr_core_handle_reply(struct rr_context *ctx, struct rr_core *core,
			  int64_t now_us, const struct rr_reply *reply);
void rr_core_handle_health(struct rr_context *ctx, struct rr_core *core,
			   int64_t now_us, const struct rr_health *health);
void rr_core_handle_store_reply(struct rr_context *ctx, struct rr_core *core,
				int64_t now_us,
				const struct rr_store_reply *reply);
/* Handle a message from a peer; the core copies what it keeps. */
void rr_core_handle_peer_message(struct rr_context *ctx, struct rr_core *core,
				 int64_t now_us, int64_t wall_us,
				 const struct rr_peer_message *message);
/*
 * Report an instance from the platform's list or the seed peers to the core.
 * Such hints may be late or wrong: a member counts as alive only once it has
 * answered.
 */
void rr_core_hint_member(struct rr_context *ctx, struct rr_core *core,
			 int64_t now_us, const char *instance, const char *zone,
			 const char *address);
/*
 * Report the state of an upstream in the platform's list to the core.
 * `started_ms` is the start of its incarnation (ms since 1970; 0: not
 * reported).  A later incarnation starts without the drain and the latency
 * samples of the one before; an earlier one is ignored.
 */
void rr_core_hint_replica(struct rr_context *ctx, struct rr_core *core,
			  int64_t now_us, const char *replica,
			  int64_t started_ms, enum rr_upstream_state state);

/* Run the timers that are due. */
void rr_core_tick(struct rr_context *ctx, struct rr_core *core, int64_t now_us);
/* Return the time at which rr_core_tick() is next due. */
int64_t rr_core_wake_us(const struct rr_core *core);

/* Begin a graceful stop: accept no new requests and notify peers. */
void rr_core_drain(struct rr_context *ctx, struct rr_core *core,
		   int64_t now_us);
/* Whether a draining core has nothing in flight any more. */
bool rr_core_is_drained(const struct rr_core *core);

/*
 * Whether callers may send requests to this instance; if not, *reason (static)
 * is the cause.
 */
bool rr_core_is_ready(const struct rr_core *core, const char **reason);

uint64_t rr_core_config_revision(const struct rr_core *core);

/*
 * Whether this instance is one of the `per_zone` instances of its zone that
 * watch the configuration record: the first by rendezvous hash over the usable
 * members.  After a change the member lists of the instances differ for a short
 * time, and one instance more or fewer may watch.
 */
bool rr_core_is_config_watcher(const struct rr_core *core, uint32_t per_zone);

/* Append the state of the core as a JSON object, for `ragwort status`. */
void rr_core_format_status(const struct rr_core *core, int64_t now_us,
			   GString *out);

#endif
