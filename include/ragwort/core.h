/*
 * core.h - the decision core of an instance: events in, actions out.
 *
 * The core has no socket, file, timer, clock or thread.  A carrier (the
 * daemon, a test or an experiment) calls the event functions with the time
 * and carries out what the action callbacks ask.  The same events, times and
 * seed give the same actions.
 *
 * Rules for carriers:
 * - `now_us` is monotonic and never goes back; after each event call
 *   rr_core_wake_us() tells when rr_core_tick() is due.
 * - Callbacks may run inside any event function.  They must not call the core
 *   back; replies are handed in afterwards.
 * - Every attempt sent is answered by exactly one rr_core_handle_reply() unless it
 *   was cancelled; extra, late or foreign replies are counted and dropped.
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
	 * Withdraw an attempt that was sent: its reply is no longer needed.
	 * No reply has to be handed in.
	 */
	void (*cancel_attempt)(void *data, uint64_t attempt_id);
	/* Answer a caller; exactly once for each query id. */
	void (*send_answer)(void *data, const struct rr_answer *answer);
	/* Send a message to a peer; the message is the core's. */
	void (*send_peer_message)(void *data, const char *instance,
				  const char *address,
				  const struct rr_peer_message *message);
	/* Ask a replica for its health; rr_core_handle_health() gives the answer. */
	void (*poll_health)(void *data, const char *replica,
			    const char *address);
	/*
	 * A record of a revision higher than any before came from a peer; the
	 * carrier parses it and calls rr_core_set_config().
	 */
	void (*apply_config_record)(void *data, const char *record,
				    size_t length);
	void *data;
};

/* Policies of the experiment's baseline; all false is the product. */
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
	 * Grows with each start of an instance of this name: microseconds
	 * since 1970 at start will do.
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
 * Put a configuration in force.  One whose revision is not higher than the
 * one in force is left out (returns false).  `record` is the text it came
 * from, passed on to peers that ask.  The core keeps a reference.
 */
bool rr_core_set_config(struct rr_context *ctx, struct rr_core *core,
			int64_t now_us, struct rr_config *config,
			const char *record, size_t length);

/*
 * Take a caller's request.  `wall_us` is time since 1970, for the age of
 * request ids.  Returns its query id, never 0; the answer comes through the
 * answer callback, possibly before this returns (the id is then in
 * answer->query_id).  Strings are copied.
 */
uint64_t rr_core_handle_request(struct rr_context *ctx, struct rr_core *core,
				int64_t now_us, int64_t wall_us,
				const struct rr_request *request);

/*
 * The caller left.  Reads are withdrawn everywhere; a reservation that was
 * sent runs to its outcome and is recorded.  No answer is given any more.
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
/* A message from a peer; the core copies what it keeps. */
void rr_core_handle_peer_message(struct rr_context *ctx, struct rr_core *core,
				 int64_t now_us, int64_t wall_us,
				 const struct rr_peer_message *message);
/*
 * The platform's list of instances or the seed peers: hints, late and
 * possibly wrong; members are believed live only once they answered.
 */
void rr_core_hint_member(struct rr_context *ctx, struct rr_core *core,
			 int64_t now_us, const char *instance, const char *zone,
			 const char *address);
/*
 * The platform's list tells of an upstream's lifetime, which started at
 * `born_ms` (Unix; 0: not told): it is ready, or leaving.  A later lifetime
 * has neither the drain nor the times of the one before, an earlier one
 * counts for nothing.
 */
void rr_core_hint_replica(struct rr_context *ctx, struct rr_core *core,
			  int64_t now_us, const char *replica, int64_t born_ms,
			  enum rr_upstream_state state);

void rr_core_tick(struct rr_context *ctx, struct rr_core *core, int64_t now_us);
int64_t rr_core_wake_us(const struct rr_core *core);

/* Begin a graceful stop: no new request, peers are told. */
void rr_core_drain(struct rr_context *ctx, struct rr_core *core,
		   int64_t now_us);
/* Whether a draining core has nothing left in flight. */
bool rr_core_is_drained(const struct rr_core *core);

/* Whether callers may be sent here; else *reason (static) says why not. */
bool rr_core_is_ready(const struct rr_core *core, const char **reason);

uint64_t rr_core_config_revision(const struct rr_core *core);

/*
 * Whether this instance is one of the `per_zone` of its zone that watch the
 * configuration record: the first by rendezvous hash over the usable
 * members.  Views differ for a moment; then one more or one less watches.
 */
bool rr_core_is_config_watcher(const struct rr_core *core, uint32_t per_zone);

/* Append the state for `ragwort status` as a JSON object. */
void rr_core_format_status(const struct rr_core *core, int64_t now_us,
			   GString *out);

#endif
