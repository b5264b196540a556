/*
 * gate.h - the gateway's decisions: which replicas a request goes to, when
 * it is repeated, merged, answered or turned away.
 *
 * No socket, clock or thread: a carrier hands in events with the time and
 * carries out the actions.  Times are microseconds of a monotonic clock.
 *
 * Rules for carriers:
 * - after each event rr_gate_next_tick_us() tells when rr_gate_tick() is due;
 * - actions may run inside any event; they must not call the gate back, but
 *   hand replies in afterwards;
 * - each attempt sent gets exactly one rr_gate_reply(), unless it was
 *   withdrawn; a reply for no attempt in flight is dropped;
 * - each request is answered exactly once, unless its caller left.
 */
#ifndef RAGWORT_GATE_H
#define RAGWORT_GATE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwort/context.h"
#include "ragwort/fingerprint.h"
#include "ragwort/gate-policy.h"
#include "ragwort/quarantine.h"
#include "ragwort/route.h"

/* A replica as the list of replicas tells of it; strings are copied. */
struct rr_endpoint_info {
	const char *id;
	/*
	 * Start of this lifetime, in Unix milliseconds; 0: not told.  A
	 * replica that starts again under its id is another lifetime, which
	 * has and knows nothing of the one before.
	 */
	int64_t started_ms;
	const char *service;
	const char *address; /* IP:PORT */
	const char *zone;
	uint32_t slots;	  /* requests it works on at once */
	bool draining;	  /* takes no new work */
	uint32_t cold_ms; /* it stays slow for that long */
};

/* A request as a caller sent it. */
struct rr_gate_request_info {
	const char *host;
	const char *path; /* with the query */
	size_t path_length;
	const char *request_id; /* NULL: it has none */
	/* Of the content; unset if unknown. */
	struct rr_fingerprint fingerprint;
	int64_t deadline_ms; /* what the caller will wait; below 0: not told */
	int64_t caller_rtt_us; /* measured on its connection; 0: unknown */
	/* It made its connection for this request, and has waited for that. */
	bool new_connection;
	/*
	 * Handed over by another instance: time until its answer has to
	 * leave, to be in time.  Below 0: from a caller.
	 */
	int64_t forward_deadline_us;
};

/* One request at one replica. */
struct rr_gate_attempt_info {
	uint64_t attempt;
	uint64_t request;
	const char *endpoint; /* the replica's id */
	/*
	 * Names the replica's lifetime, unlike any other's: connections are
	 * kept by it, so that none made to one lifetime serves the next.
	 */
	const char *incarnation;
	const char *address;
	int64_t deadline_ms; /* what is left; below 0: none */
	bool idempotent;
	/* Connections to the replica that are kept at rest at most. */
	uint32_t max_idle_connections;
	/* To another instance, which serves the whole request. */
	bool forwarded;
	int64_t forward_deadline_us; /* then: as in struct rr_gate_request_info */
};

enum rr_gate_outcome {
	/* A whole answer to this very request. */
	RR_GATE_ANSWERED,
	/* Proof that it was not run and never will be. */
	RR_GATE_REJECTED,
	/* As above, and it never reached a replica. */
	RR_GATE_UNSENT,
	/* Broken off, garbled or foreign: it may have run. */
	RR_GATE_BROKEN,
	/* Nothing came back: it may have run. */
	RR_GATE_NO_REPLY,
};

/* What a replica said of its load in an answer. */
struct rr_gate_load {
	bool reported; /* else nothing of it counts */
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t pace_percent; /* time that work takes there; 100: as usual */
};

struct rr_gate_reply {
	uint64_t attempt;
	enum rr_gate_outcome outcome;
	uint16_t status; /* of an answer or a refusal */
	/* The replica's signature of an answer; NULL if there is none. */
	const char *signature;
	const uint8_t *body;
	size_t length;
	/* A refusal by another lifetime: this one's address is another's now. */
	bool wrong_incarnation;
	/* Nobody listens there, or nothing came back at all. */
	bool unreachable;
	/* For RR_GATE_BROKEN: the replica closed the connection. */
	bool connection_closed;
	struct rr_gate_load load;
	const void *message; /* the carrier's own, handed on in an answer */
};

enum rr_gate_answer_kind {
	RR_GATE_LOCAL_ANSWER,	/* a status of ours, without a body */
	RR_GATE_PROXIED_ANSWER, /* the message of a replica */
	RR_GATE_MERGED_ANSWER,	/* merged records */
};

struct rr_gate_answer {
	uint64_t request;
	enum rr_gate_answer_kind kind;
	uint16_t status;	 /* own and gathered */
	const char *reason;	 /* static; why, for an own answer */
	uint32_t retry_after_ms; /* 0: not told */
	/* Own: the caller is better off on a connection to another instance. */
	bool close_connection;
	const void *message;	/* forwarded */
	const char *signatures; /* gathered: signatures, separated by commas */
	size_t missing;		/* parts that are left out */
	const uint8_t *body;
	size_t length;
};

struct rr_gate_actions {
	void (*send)(void *data, const struct rr_gate_attempt_info *send);
	/* The reply is no longer wanted: end its connection. */
	void (*cancel)(void *data, uint64_t attempt);
	/*
	 * Withdraw it if none of its bytes has left: true is proof that it
	 * was not run.
	 */
	bool (*cancel_unsent)(void *data, uint64_t attempt);
	void (*answer)(void *data, const struct rr_gate_answer *answer);
	/* Be ready to send to a replica: a connection spares the first wait. */
	void (*preconnect)(void *data, const char *lifetime,
			   const char *address);
	/*
	 * Find out whether a replica that was silent can be reached: by a new
	 * connection.  rr_gate_handle_probe_result() tells.
	 */
	void (*probe)(void *data, const char *lifetime, const char *address);
	/* A replica takes no new work: connections that are idle may go. */
	void (*close_idle)(void *data, const char *lifetime);
	/*
	 * Publish what is known of a query of death.  The outcome of a claim
	 * is passed to rr_gate_handle_claim_result().
	 */
	void (*report)(void *data, const struct rr_quarantine_report *report);
	void *data;
};

struct rr_gate_options {
	const char *instance; /* for the log; NULL: not told */
	const char *zone;
	/* "ZONE/REGION", copied; ends with NULL; NULL: none is known. */
	const char *const *zone_regions;
	struct rr_gate_actions actions;
	/*
	 * Extra attempts a service may get from all instances together in any
	 * window: this share of its requests and so many more.
	 */
	double extra_ratio;
	double extra_slack;
	uint32_t extra_window_ms;
	/*
	 * Requests that a cold replica may get from all instances together in
	 * any second: what its service bears, times this, and so many more.
	 */
	double cold_overage;
	double cold_slack;
	int64_t process_started_us; /* when this process began */
	double strength;	    /* this instance's share of a processor */
	const struct rr_gate_policy *policy; /* copied; NULL: the default */
	/* Of requests' decisions; a request is told whole or not at all. */
	uint32_t log_lines_per_s;
};

struct rr_gate;

struct rr_gate *rr_new_gate(struct rr_context *ctx,
			    const struct rr_gate_options *options);
void rr_drop_gate(struct rr_gate *gate);

/*
 * Put a version of the routes in force; false if its version is not higher
 * than the one in force.  The gate keeps a reference.
 */
bool rr_gate_set_routes(struct rr_context *ctx, struct rr_gate *gate,
			int64_t now_us, struct rr_route_table *table);
/* NULL while none is known. */
const struct rr_route_table *rr_gate_routes(const struct rr_gate *gate);

/*
 * A replica is listed, or what is told of it has changed.  A later lifetime
 * takes the place of the one before; an earlier one counts for nothing; one
 * that does not tell its start, of an id that told it before, is none of the
 * replica's own and names nobody.
 */
void rr_gate_update_endpoint(struct rr_context *ctx, struct rr_gate *gate,
			     int64_t now_us,
			     const struct rr_endpoint_info *listing);
/*
 * A replica is no longer listed.  For a moment it stays the last resort: an
 * entry may have lapsed with the list's own outage and come back.
 */
void rr_gate_unlist_endpoint(struct rr_context *ctx, struct rr_gate *gate,
			     int64_t now_us, const char *id);
/*
 * The operators evacuate a zone: once this returns nothing new is sent to its
 * replicas, and what waits for one of them goes elsewhere or is refused.
 * Requests that a replica already has run to their end.  Or they take it back:
 * its share of the work grows over the time for which replicas may be cold.
 * `revision` is the store's; what is older than the latest known counts for
 * nothing.  The zone need not be known yet.
 */
void rr_gate_set_evacuation(struct rr_context *ctx, struct rr_gate *gate,
			    int64_t now_us, const char *zone, uint64_t revision,
			    bool in_force);

/* An instance as its entry tells of it; strings are copied. */
struct rr_gate_instance {
	const char *id;
	const char *zone;    /* NULL: it has gone */
	const char *address; /* IP:PORT for other instances; NULL or "": none */
	double strength;
	int64_t started_ms; /* when it started, in Unix milliseconds; 0: untold */
};

/* How many instances share budgets and connections, this one included. */
void rr_gate_set_instance_count(struct rr_context *ctx, struct rr_gate *gate,
				uint32_t instances);

/*
 * Another instance's entry, or this one's.  An
 * instance with half of another's strength or less, in one zone, hands
 * searches over to that one, and leaves the connections to it; to one of
 * another zone while none of its own is well.
 */
void rr_gate_update_instance(struct rr_context *ctx, struct rr_gate *gate,
			     int64_t now_us,
			     const struct rr_gate_instance *told);

/*
 * Take a request.  Returns its id, never 0; the answer may come before this
 * returns, with that id.  Strings are copied.
 */
uint64_t rr_gate_submit(struct rr_context *ctx, struct rr_gate *gate,
			int64_t now_us, const struct rr_gate_request_info *ask);
/*
 * The caller closed its side: nothing new is sent for it.  What is under way
 * is answered if that takes no longer than a moment, then withdrawn.
 */
void rr_gate_half_close(struct rr_context *ctx, struct rr_gate *gate,
			int64_t now_us, uint64_t request);
/* The caller's connection is gone: no answer can be given any more. */
void rr_gate_abandon(struct rr_context *ctx, struct rr_gate *gate,
		     int64_t now_us, uint64_t request);
void rr_gate_reply(struct rr_context *ctx, struct rr_gate *gate, int64_t now_us,
		   const struct rr_gate_reply *reply);

/* The outcome of a probe. */
void rr_gate_handle_probe_result(struct rr_context *ctx, struct rr_gate *gate,
				 int64_t now_us, const char *lifetime,
				 bool reached);

/*
 * Apply the store's entry of a query of death.  `entry` is NULL if it was
 * removed: the request is sent as usual again.
 */
void rr_gate_apply_quarantine(struct rr_context *ctx, struct rr_gate *gate,
			      int64_t now_us,
			      const struct rr_fingerprint *fingerprint,
			      const struct rr_quarantine_entry *entry);
/* The outcome of a claim: whether this instance may send one canary. */
void rr_gate_handle_claim_result(struct rr_context *ctx, struct rr_gate *gate,
				 int64_t now_us,
				 const struct rr_quarantine_entry *entry,
				 bool granted);

/* Whether it is cut off from all other zones and lacks a route for it. */
bool rr_gate_is_isolated(const struct rr_gate *gate);
/*
 * Another instance of this zone is cut off: this one finds out by probes
 * whether it is as well.
 */
void rr_gate_suspect_zones(struct rr_context *ctx, struct rr_gate *gate,
			   int64_t now_us);
/*
 * This instance was late by so long: answers may have come that it had no time
 * to read.  To be told before they are handed in, and before the next tick.
 */
void rr_gate_report_stall(struct rr_context *ctx, struct rr_gate *gate,
			  int64_t now_us, int64_t delay_us);
void rr_gate_tick(struct rr_context *ctx, struct rr_gate *gate, int64_t now_us);
/* When rr_gate_tick() is due; INT64_MAX for never. */
int64_t rr_gate_next_tick_us(const struct rr_gate *gate);

/* Requests that have no answer yet. */
size_t rr_gate_count_requests(const struct rr_gate *gate);
/*
 * Whether callers are served well here: routes and replicas are known, and
 * this zone is not cut off from the others so that requests fail which
 * elsewhere would not.  Those that come all the same get what can be had.
 */
bool rr_gate_is_ready(const struct rr_gate *gate, const char **reason);
/* Connections this instance may have to a replica. */
uint32_t rr_gate_connection_share(const struct rr_gate *gate,
				  const char *service);

#endif
