/*
 * gate.h - the gateway's decisions: routing, retries, merging, admission.
 *
 * The gate uses no sockets, clocks or threads: an I/O layer passes in events
 * with the current time and executes the actions.  Times are in microseconds
 * of a monotonic clock.
 *
 * Rules for the I/O layer:
 * - after each event, rr_gate_next_tick_us() returns when rr_gate_tick() is
 *   due;
 * - actions may be called during any event; they must not call into the gate,
 *   but pass replies to it afterwards;
 * - each attempt sent gets exactly one rr_gate_reply(), unless it was
 *   cancelled; a reply for an attempt that is not in flight is dropped;
 * - each request is answered exactly once, unless its caller abandoned it.
 */
#ifndef RAGWORT_GATE_H
#define RAGWORT_GATE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwort/allowance.h"
#include "ragwort/context.h"
#include "ragwort/fingerprint.h"
#include "ragwort/gate-policy.h"
#include "ragwort/quarantine.h"
#include "ragwort/route.h"
#include "ragwort/store-cursor.h"

/* An entry of the replica list; strings are copied. */
struct rr_endpoint_info {
	const char *id;
	/*
	 * Start of this incarnation in Unix milliseconds; 0 if unknown.  A
	 * replica that restarts under the same id is a new incarnation, which
	 * has no state of the previous one.
	 */
	int64_t started_ms;
	const char *service;
	const char *address; /* IP:PORT */
	const char *zone;
	uint32_t slots;	  /* requests it processes concurrently */
	bool draining;	  /* takes no new work */
	uint32_t cold_ms; /* remaining warm-up time */
};

/* A request from a caller or from another instance. */
struct rr_gate_request_info {
	const char *host;
	const char *path; /* with the query */
	size_t path_length;
	const char *request_id; /* NULL if it has none */
	/* Of the content; unset if unknown. */
	struct rr_fingerprint fingerprint;
	/*
	 * Account's key; NULL if it has none.  Only used for a request from a
	 * caller, while the configuration names accounts.
	 */
	const char *key;
	/*
	 * Account and rank of a forwarded request, as authenticated by the
	 * forwarding instance; NULL and negative if it has none.
	 */
	const char *account;
	int64_t account_priority;
	int64_t deadline_ms;   /* time the caller will wait; negative if none */
	int64_t caller_rtt_us; /* measured on its connection; 0 if unknown */
	/* The caller waited for its connection to open for this request. */
	bool new_connection;
	/*
	 * Time left in which the forwarding instance has to send the response;
	 * negative for a request from a caller.
	 */
	int64_t forward_deadline_us;
};

/* One attempt: a request to be sent to one replica. */
struct rr_gate_attempt_info {
	uint64_t attempt;
	uint64_t request;
	const char *endpoint; /* the replica's id */
	/*
	 * Unique name of the replica's incarnation.  Connections are pooled by
	 * this name, so that a connection to one incarnation is never used for
	 * the next.
	 */
	const char *incarnation;
	const char *address;
	int64_t deadline_ms;   /* time left; negative if no deadline */
	bool ends_at_deadline; /* no reply is of use after the deadline */
	bool idempotent;
	/* Maximum number of idle connections to the replica. */
	uint32_t max_idle_connections;
	/* Sent to another instance, which serves the whole request. */
	bool forwarded;
	int64_t forward_deadline_us; /* as in struct rr_gate_request_info */
	/* Name and rank of the request's account; NULL if it has none. */
	const char *account;
	uint32_t priority;
};

enum rr_gate_outcome {
	/* A complete answer that matches the request. */
	RR_GATE_ANSWERED,
	/* Proof that the request has not run and never will. */
	RR_GATE_REJECTED,
	/* No replica was reached: the request has not run and never will. */
	RR_GATE_UNSENT,
	/* Cut short, malformed or of another request: it may have run. */
	RR_GATE_BROKEN,
	/* No reply was received: it may have run. */
	RR_GATE_NO_REPLY,
};

/* Load that a replica reported in an answer. */
struct rr_gate_load {
	bool reported; /* if false, the other members are unset */
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t pace_percent; /* duration of work there; 100 is typical */
};

struct rr_gate_reply {
	uint64_t attempt;
	enum rr_gate_outcome outcome;
	uint16_t status; /* of an answer or a rejection */
	/* The replica's signature of its answer; NULL if there is none. */
	const char *signature;
	const uint8_t *body;
	size_t length;
	/* Rejected by another incarnation, which now has the address. */
	bool wrong_incarnation;
	/* The connection was refused, or no byte was received. */
	bool unreachable;
	/* For RR_GATE_BROKEN: the replica closed the connection. */
	bool connection_closed;
	struct rr_gate_load load;
	const void
		*message; /* owned by the I/O layer; passed on in an answer */
};

enum rr_gate_answer_kind {
	RR_GATE_LOCAL_ANSWER,	/* status of this instance, without a body */
	RR_GATE_PROXIED_ANSWER, /* the message of a replica */
	RR_GATE_MERGED_ANSWER,	/* merged records */
};

struct rr_gate_answer {
	uint64_t request;
	enum rr_gate_answer_kind kind;
	uint16_t status;	 /* of a local or merged answer */
	const char *reason;	 /* static; cause, of a local answer */
	uint32_t retry_after_ms; /* 0 if not sent */
	/* Local: close, so that the caller connects to another instance. */
	bool close_connection;
	const void *message;	/* of a proxied answer */
	const char *signatures; /* merged: comma-separated signatures */
	size_t missing;		/* number of missing parts */
	const uint8_t *body;
	size_t length;
};

struct rr_gate_actions {
	void (*send)(void *data, const struct rr_gate_attempt_info *send);
	/* The reply is no longer needed: close the attempt's connection. */
	void (*cancel)(void *data, uint64_t attempt);
	/*
	 * Cancel an attempt if none of its bytes was sent.  Returns true if it
	 * was cancelled, which proves that it has not run.
	 */
	bool (*cancel_unsent)(void *data, uint64_t attempt);
	void (*answer)(void *data, const struct rr_gate_answer *answer);
	/* Open a connection so that the first attempt need not wait for it. */
	void (*preconnect)(void *data, const char *incarnation,
			   const char *address);
	/*
	 * Probe an unresponsive replica by a new connection.  The result is
	 * passed to rr_gate_handle_probe_result().
	 */
	void (*probe)(void *data, const char *incarnation, const char *address);
	/* Close the idle connections to a replica that gets no new attempts. */
	void (*close_idle)(void *data, const char *incarnation);
	/*
	 * Publish what is known of a query of death.  The outcome of a claim
	 * is passed to rr_gate_handle_trial_claim_result().
	 */
	void (*report)(void *data, const struct rr_quarantine_report *report);
	/*
	 * Call another instance for an account's allowance, or to check that
	 * it runs.  The reply is passed to rr_gate_handle_allowance_reply().
	 */
	void (*call_allowance)(void *data, uint64_t id, const char *address,
			       uint32_t timeout_ms,
			       const struct rr_allowance_call *call);
	/* Reply to a call passed to rr_gate_handle_allowance_call(). */
	void (*reply_allowance)(void *data, uint64_t handle,
				const struct rr_allowance_reply *reply);
	void *data;
};

struct rr_gate_options {
	const char *instance; /* id of this instance; may be NULL */
	const char *zone;
	/* "ZONE/REGION" strings, copied; NULL-terminated; may be NULL. */
	const char *const *zone_regions;
	struct rr_gate_actions actions;
	/*
	 * Limit on the extra attempts that a service gets from all instances
	 * together in any window: extra_ratio times its requests, plus
	 * extra_slack.
	 */
	double extra_ratio;
	double extra_slack;
	uint32_t extra_window_ms;
	/*
	 * Limit on the requests that a cold replica gets from all instances
	 * together in any second: the cold_per_s of its service, times
	 * cold_overage, plus cold_slack.
	 */
	double cold_overage;
	double cold_slack;
	/*
	 * Limit on the requests of an account that run, at all instances
	 * together, in any window of allowance_window_ms: its rate in that
	 * time plus its burst, times 1 + allowance_overage, plus
	 * allowance_slack.  A window of 0: allowances are not kept.
	 */
	uint32_t allowance_window_ms;
	double allowance_overage;
	double allowance_slack;
	/*
	 * Time for which a replica serves after its removal from the list;
	 * 0: not known.
	 */
	uint32_t drain_ms;
	int64_t process_started_us; /* start of this process */
	double strength;	    /* processor share of this instance */
	const struct rr_gate_policy *policy; /* copied; NULL for defaults */
	/* Limit on log lines about requests. */
	uint32_t log_lines_per_s;
};

struct rr_gate;

struct rr_gate *rr_new_gate(struct rr_context *ctx,
			    const struct rr_gate_options *options);
void rr_drop_gate(struct rr_gate *gate);

/*
 * Apply a version of the routes.  The gate takes its own reference.  Returns
 * false if the version is not higher than that of the current routes.
 */
bool rr_gate_set_routes(struct rr_context *ctx, struct rr_gate *gate,
			int64_t now_us, struct rr_route_table *table);
/* Return the current routes, or NULL if none are known yet. */
const struct rr_route_table *rr_gate_routes(const struct rr_gate *gate);

/*
 * A replica is listed, or its entry has changed.  A later incarnation replaces
 * the known one; an earlier one is ignored.  An entry without a start time,
 * for an id that had one before, was not written by the replica: the id is
 * unlisted.
 */
void rr_gate_update_endpoint(struct rr_context *ctx, struct rr_gate *gate,
			     int64_t now_us,
			     const struct rr_endpoint_info *listing);
/*
 * A replica is no longer listed.  It is still used as a last resort for the
 * policy's list_unlisted_grace_us: its entry may have expired during an outage
 * of the list and come back.
 */
void rr_gate_unlist_endpoint(struct rr_context *ctx, struct rr_gate *gate,
			     int64_t now_us, const char *id);
/*
 * As above, for an entry that was removed up to age_us ago: the last resort ends
 * while requests still reach the replica within drain_ms of the removal.
 */
void rr_gate_unlist_late(struct rr_context *ctx, struct rr_gate *gate,
			 int64_t now_us, const char *id, int64_t age_us);
/*
 * Return how long after its removal a replica may be used: drain_ms, less the
 * time in which a request that was just sent reaches it.
 */
int64_t rr_gate_usable_after_removal_us(uint32_t drain_ms);
/*
 * Start or end the evacuation of a zone.  After a start, no new attempts are
 * sent to its replicas, and parts waiting for them are sent elsewhere or
 * rejected; requests that a replica has received run to completion.  After an
 * end, the zone's share of the work grows over the time for which its replicas
 * may be cold.  `cursor` is the position in the store; an update that is not later
 * than the latest known one is ignored.  The zone need not be known yet.
 */
void rr_gate_set_evacuation(struct rr_context *ctx, struct rr_gate *gate,
			    int64_t now_us, const char *zone,
			    struct rr_store_cursor cursor, bool active);

/* An entry of the list of instances; strings are copied. */
struct rr_gate_instance {
	const char *id;
	const char *zone; /* NULL if its entry was removed */
	const char
		*address; /* IP:PORT for other instances; NULL or "" if none */
	double strength;
	int64_t started_ms; /* start in Unix milliseconds; 0 if unknown */
};

/* Set how many instances share budgets and connections, including this one. */
void rr_gate_set_instance_count(struct rr_context *ctx, struct rr_gate *gate,
				uint32_t instances);

/*
 * Apply the entry of an instance, which may be this one.  An instance with at
 * most half the strength of another one in its zone forwards its searches to
 * it, and leaves the connections to it.  While no coordinator of its zone is
 * usable, it forwards to one of another zone.
 */
void rr_gate_update_instance(struct rr_context *ctx, struct rr_gate *gate,
			     int64_t now_us,
			     const struct rr_gate_instance *info);

/*
 * Submit a request.  Returns its id, never 0.  The answer action may be called
 * with that id before this returns.  Strings are copied.
 */
uint64_t rr_gate_submit(struct rr_context *ctx, struct rr_gate *gate,
			int64_t now_us,
			const struct rr_gate_request_info *info);
/*
 * The caller closed its sending side: no new attempts are sent.  An idempotent
 * request is still answered within the policy's answer_left_us, then cancelled.
 */
void rr_gate_half_close(struct rr_context *ctx, struct rr_gate *gate,
			int64_t now_us, uint64_t request);
/*
 * Answer all requests, open and new ones, by `answer_by_us` at the latest: this
 * instance then exits.
 */
void rr_gate_limit_answers(struct rr_gate *gate, int64_t now_us,
			   int64_t answer_by_us);
/* The caller's connection is closed: abandon the request without an answer. */
void rr_gate_abandon(struct rr_context *ctx, struct rr_gate *gate,
		     int64_t now_us, uint64_t request);
void rr_gate_reply(struct rr_context *ctx, struct rr_gate *gate, int64_t now_us,
		   const struct rr_gate_reply *reply);

/* Pass the result of a probe. */
void rr_gate_handle_probe_result(struct rr_context *ctx, struct rr_gate *gate,
				 int64_t now_us, const char *incarnation,
				 bool reached);

/*
 * Apply the store's entry of a query of death.  `entry` is NULL if the entry
 * was removed: the request is then sent as usual again.
 */
void rr_gate_apply_quarantine(struct rr_context *ctx, struct rr_gate *gate,
			      int64_t now_us,
			      const struct rr_fingerprint *fingerprint,
			      const struct rr_quarantine_entry *entry);
/* Publish what is known of a query of death again, since its entry was lost. */
void rr_gate_republish_quarantine(struct rr_gate *gate, int64_t now_us,
				  const struct rr_fingerprint *fingerprint);
/* Pass the outcome of a claim: whether this instance may send one canary. */
void rr_gate_handle_trial_claim_result(struct rr_context *ctx,
				       struct rr_gate *gate, int64_t now_us,
				       const struct rr_quarantine_entry *entry,
				       bool granted);

/* Handle another instance's call for an account's allowance. */
void rr_gate_handle_allowance_call(struct rr_gate *gate, int64_t now_us,
				   uint64_t handle,
				   const struct rr_allowance_call *call);
/* The instance that made an allowance call is gone. */
void rr_gate_drop_allowance_call(struct rr_gate *gate, uint64_t handle);
void rr_gate_handle_allowance_reply(struct rr_gate *gate, int64_t now_us,
				    uint64_t id,
				    const struct rr_allowance_reply *reply);

/* Whether all other zones are unreachable and a route fails because of it. */
bool rr_gate_is_isolated(const struct rr_gate *gate);
/*
 * Another instance of this zone is isolated: probe the other zones to find out
 * whether this one is too.
 */
void rr_gate_suspect_zones(struct rr_context *ctx, struct rr_gate *gate,
			   int64_t now_us);
/*
 * Report that this instance stalled for `delay_us`: replies may have arrived
 * that it could not read.  Call this before passing them in, and before the
 * next tick.
 */
void rr_gate_report_stall(struct rr_context *ctx, struct rr_gate *gate,
			  int64_t now_us, int64_t delay_us);
void rr_gate_tick(struct rr_context *ctx, struct rr_gate *gate, int64_t now_us);
/* Return when rr_gate_tick() is due; INT64_MAX for never. */
int64_t rr_gate_next_tick_us(const struct rr_gate *gate);

/* Return the number of requests that were not answered yet. */
size_t rr_gate_count_requests(const struct rr_gate *gate);
/*
 * Whether this instance is ready for callers: routes and replicas are known,
 * and it is not isolated in a way that fails requests which other instances
 * could serve.  Requests that arrive while it is not ready are served as far
 * as possible.  If it is not ready, `*reason` is set to a static string.
 */
bool rr_gate_is_ready(const struct rr_gate *gate, const char **reason);
/* Return this instance's share of the connections to the replica `name`. */
uint32_t rr_gate_connection_share(const struct rr_gate *gate, const char *name);

#endif
