/*
 * gate-private.h - internal state and functions of the gateway.
 */
#ifndef RAGWORT_CORE_GATE_PRIVATE_H
#define RAGWORT_CORE_GATE_PRIVATE_H

#include <glib.h>

#include "core/account/allowance.h"
#include "core/admission/late-forward.h"
#include "core/retry-budget.h"
#include "core/token-budget.h"
#include "core/cold-share.h"
#include "core/evacuation.h"
#include "core/concurrency-limit.h"
#include "core/quarantine.h"
#include "core/timer.h"
#include "core/passive-health.h"
#include "core/request-trace.h"
#include "core/wait-queue.h"
#include "ragwort/counters.h"
#include "ragwort/gate.h"
#include "ragwort/gather.h"
#include "ragwort/invariant.h"
#include "ragwort/log.h"

struct rr_gate_service;
struct rr_gate_attempt;

/*
 * An availability zone as observed by this instance.  Replicas fail
 * independently, but a network partition stops the replies of a whole zone at
 * once, which is detected in a fraction of the time needed per replica.
 */
struct rr_gate_zone {
	uint64_t number; /* id in timers */
	char *name;
	bool is_local;			  /* the zone of this instance */
	struct rr_evacuation *evacuation; /* owned by the gate */
	struct rr_passive_health health;
	uint32_t n_in_flight; /* attempts in flight there */
	uint32_t unanswered; /* attempts lost or cancelled since last contact */
	bool unreachable;    /* excluded until the next contact */
	/* This zone or another one seems unreachable; probes verify it. */
	bool suspected;
	int64_t suspected_us; /* start of the suspicion */
	bool probed;	      /* a probe was sent since then */
	uint32_t timer_seq; /* of the latest timer; earlier ones are ignored */
	uint32_t failed_probes; /* since last contact */
	int64_t last_contact_us;
};

/* Limit on what this instance sends to a cold replica. */
struct rr_cold_quota {
	/* `share` was computed from this version of the peers and this limit. */
	uint64_t peers_version;
	double bound; /* requests per second of all instances together */
	uint32_t share;
	struct rr_cold_window window;
};

/* An attempt whose replica closed the connection. */
struct rr_closed_attempt {
	struct rr_crash crash; /* recorded if the replica is down */
	uint64_t request;      /* id of its request, or 0 if it has ended */
	size_t part;
};

/* One incarnation of a replica. */
struct rr_endpoint {
	int refs;
	uint64_t number;    /* id in timers and in rr_gate_part.tried */
	char *id;	    /* shared by earlier incarnations */
	int64_t started_ms; /* Unix time; 0 if unknown */
	char *incarnation;  /* unique name for the I/O layer */
	char *address;
	struct rr_gate_service *service;
	struct rr_gate_zone *zone;
	const char *region; /* owned by the gate; NULL if unknown */
	bool probing;	    /* a probe is scheduled or in flight */
	bool listed;	    /* present in the replica list */
	bool draining;	    /* draining or replaced: gets no new attempts */
	int64_t unlisted_until_us; /* end of its use as a last resort */
	int64_t cold_until_us;
	/* A coordinator of another zone: used if no local one is usable. */
	bool remote_coordinator;
	struct rr_coordinator_contact contact; /* of a coordinator */
	uint32_t slots;
	uint32_t pace_percent; /* last reported by its machine; 0 if never */
	struct rr_passive_health health;
	/* Latencies in it are multiples of the typical attempt time. */
	struct rr_concurrency_limit limit;
	GQueue in_flight; /* struct rr_gate_attempt, oldest first */
	struct rr_cold_quota
		*cold_quota; /* NULL if nothing was sent to it while cold */
	/* struct rr_closed_attempt, while it is being probed; may be NULL */
	GArray *closed_attempts;
};

/* State shared by the replicas and routes of one service. */
struct rr_gate_service {
	char *name;
	GPtrArray *endpoints; /* struct rr_endpoint, without references */
	struct rr_retry_budget retry_budget;
	bool is_shard; /* a shard of a search in the current routes */
	/* Typical attempt time on the route of the latest answer. */
	int64_t typical_us;
	struct rr_wait_queue wait_queue; /* parts waiting for capacity */
};

struct rr_split_credit {
	double weight; /* of the part when the credits began */
	double credit; /* in requests */
};

/* State of a route that is kept across versions of the routes. */
struct rr_route_stats {
	struct rr_latency_sketch attempt_times; /* over all replicas */
	/* Per part of a weighted split; see gate-split.c. */
	struct rr_split_credit *split_credits;
	size_t n_credits;
};

enum rr_part_status {
	RR_PART_PENDING,
	RR_PART_ANSWERED, /* a successful reply was received */
	RR_PART_FAILED,	  /* no more replies are expected */
};

/* Maximum number of replicas of one service that a request is sent to. */
#define RR_MAX_TRIED 8

/* The part of a request that one service answers. */
struct rr_gate_part {
	struct rr_gate_service *service;
	enum rr_part_status status;
	bool queued;	 /* in the service's wait queue */
	uint8_t n_tried; /* replicas it was sent to */
	/* Attempts that reached a replica; all but the first are extra. */
	uint8_t n_reached;
	uint8_t n_may_have_run; /* of n_reached, attempts that may have run */
	uint8_t n_crashed;	/* of n_reached, those whose replica crashed */
	uint8_t n_in_flight;	/* attempts in flight */
	uint64_t tried[RR_MAX_TRIED]; /* rr_endpoint.number of each */
	int64_t last_sent_us;
	const char *not_sent_reason; /* last reason traced; NULL if none */
};

struct rr_gate_request {
	uint64_t id;
	char *request_id;
	struct rr_fingerprint fingerprint;
	struct rr_route_table *route_table; /* referenced; owns the route */
	const struct rr_route *route;
	struct rr_route_stats *stats;
	char *account;	   /* name; NULL if it needs none */
	char *key;	   /* of a caller's request; NULL if it needs none */
	uint32_t priority; /* the account's, else the route's */
	uint64_t flow;	   /* of its account, in wait queues; else 0 */
	bool key_revoked;  /* no new attempts are sent */
	bool allowance_pending; /* waiting for a token of its account */
	/* When its token of the allowance expires; 0 if it has none. */
	int64_t token_end_us;
	int64_t started_us;
	int64_t expires_us;   /* earlier of deadline and route's timeout */
	int64_t answer_by_us; /* latest time that meets the objective */
	int64_t deadline_us;  /* the caller's or the route's; 0 if none */
	bool caller_closed;   /* no new attempts are sent */
	struct rr_gate_part *parts;
	size_t n_parts;
	size_t n_answered;
	size_t n_failed;
	size_t n_required;
	size_t n_may_have_run; /* attempts that may have run */
	GQueue in_flight;      /* struct rr_gate_attempt */
	bool forwarded; /* sent whole to a coordinator, as a single part */
	bool from_peer; /* forwarded by another instance */
	/* See gate-quarantine.c. */
	bool canary;	      /* one attempt in flight at a time */
	bool completed;	      /* a replica has completed an attempt */
	bool claim_pending;   /* waiting for the outcome of a claim */
	bool trial;	      /* canary of a quarantined request */
	bool final_rejection; /* no other instance could serve it */
	uint32_t n_closed;    /* attempts whose replica closed the connection */
	uint32_t n_unresolved;	 /* of n_closed, those being probed */
	uint32_t n_crashed;	 /* of n_closed, those that were crashes */
	int64_t first_close_us;	 /* time of the first close */
	uint32_t retry_after_ms; /* Retry-After; 0 to draw one */
	struct rr_top_records top_records;
	GString *signatures;
	struct rr_request_trace trace;
	int64_t last_part_us; /* arrival of the last part; 0 if none */
	/* On arrival: time since its version of the routes was applied. */
	int64_t routes_age_us;
};

struct rr_gate_attempt {
	uint64_t id;
	struct rr_gate_request *request; /* NULL if its request has ended */
	size_t part;
	struct rr_endpoint *endpoint; /* referenced */
	struct rr_route_stats *stats;
	struct rr_fingerprint fingerprint; /* of its request */
	int64_t sent_us;
	/* Attempts in flight at its replica when it was sent, including it. */
	uint32_t in_flight_at_send;
	bool idempotent;
	bool uses_budget;
	GList endpoint_link; /* in rr_endpoint.in_flight */
	GList request_link;  /* in rr_gate_request.in_flight */
};

/* An instance, as described by its entry in the member list. */
struct rr_gate_peer {
	char *id;
	char *zone;
	double strength;
	bool is_forward_target; /* this instance forwards searches to it */
	bool is_coordinator; /* holds connections to the replicas of shards */
	char *address;
	int64_t started_ms;
};

struct rr_gate {
	int64_t now_us;
	char *instance;
	char *zone;
	GHashTable *regions; /* zone name -> region name */
	struct rr_gate_actions actions;
	struct rr_gate_policy policy;
	/* See struct rr_gate_options, up to cold_slack. */
	double extra_ratio;
	double extra_slack;
	int64_t extra_window_us;
	double cold_overage;
	double cold_slack;
	struct rr_allowances *allowances; /* NULL if not kept */
	uint32_t drain_ms;		  /* see struct rr_gate_options */
	int64_t process_started_us;
	int64_t last_answer_us; /* see rr_gate_limit_answers(); else INT64_MAX */
	uint32_t n_instances;	/* 0 if not yet known */
	/* struct rr_endpoint, referenced; newly listed, for the next tick. */
	GQueue to_preconnect;
	double strength;
	GHashTable *peers;	/* id -> struct rr_gate_peer */
	bool peers_changed;	/* rr_update_peers() has to recompute */
	uint64_t peers_version; /* incremented by each recomputation */
	/* Instances that hold connections to shards; 0 for all. */
	uint32_t n_coordinators;
	bool forwards_searches; /* this instance forwards its searches */
	struct rr_gate_service *coordinators; /* the instances it forwards to */
	struct rr_route_table *route_table;
	int64_t routes_applied_us;
	struct rr_log_budget request_log_budget;
	struct rr_log_budget list_log_budget;
	/* Changes of replicas that were counted instead of logged. */
	uint32_t suppressed_changes;
	struct rr_timers *timers;
	uint64_t next_id;
	GHashTable *services;	 /* name -> struct rr_gate_service */
	GPtrArray *zones;	 /* struct rr_gate_zone */
	GHashTable *evacuations; /* zone name -> struct rr_evacuation */
	/* Other zones are unreachable and a route fails, see gate-zone.c. */
	bool isolated;
	/* id -> struct rr_endpoint, listed or recently unlisted */
	GHashTable *endpoints;
	GHashTable *incarnations; /* name -> struct rr_endpoint */
	/* id -> latest known start, see gate-incarnation.c */
	GHashTable *latest_starts;
	GHashTable *route_stats; /* route name -> struct rr_route_stats */
	struct rr_quarantine *quarantine;
	GHashTable *requests; /* id -> struct rr_gate_request */
	GHashTable *attempts; /* id -> struct rr_gate_attempt */
};

/* gate-endpoint.c */
/* Log the number of replica changes that were not logged individually. */
void rr_log_suppressed_changes(struct rr_context *ctx, struct rr_gate *gate);
struct rr_gate_service *rr_get_gate_service(struct rr_gate *gate,
					    const char *name);
struct rr_endpoint *rr_keep_endpoint(struct rr_endpoint *endpoint);
void rr_drop_endpoint(struct rr_endpoint *endpoint);
void rr_free_gate_service(gpointer data);
/* Recompute this instance's share of each service's retry budget. */
void rr_update_retry_budgets(struct rr_gate *gate);
/* Find the services that are shards in new routes; update retry budgets. */
void rr_mark_shards(struct rr_gate *gate);
/* Return a service's settings in the current routes, NULL if there are none. */
const struct rr_route_service *
rr_find_service_config(const struct rr_gate *gate, const char *name);
/* Return the maximum number of idle connections to a replica of a service. */
uint32_t rr_max_idle_connections(const struct rr_gate *gate, const char *name);
/* Open connections to replicas that were listed since the last tick. */
void rr_preconnect_listed(struct rr_gate *gate);
/* Stop sending new attempts to a replica and close its idle connections. */
void rr_retire_endpoint(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_endpoint *endpoint, const char *reason);
void rr_expire_unlisted(struct rr_context *ctx, struct rr_gate *gate,
			uint64_t number);
/* Remove an incarnation that has ended, without a grace period. */
void rr_remove_endpoint(struct rr_context *ctx, struct rr_gate *gate,
			const char *id, const char *reason);

/* gate-incarnation.c */
enum rr_incarnation_match {
	RR_INCARNATION_SAME,	 /* the known incarnation */
	RR_INCARNATION_REPLACED, /* a new incarnation replaces the known one */
	RR_INCARNATION_EARLIER,	 /* an incarnation that has ended */
	RR_INCARNATION_UNKNOWN,	 /* no start time, but its id had one */
};

/*
 * Compare a list entry with `endpoint`, the known incarnation of its id (NULL
 * if there is none).
 */
enum rr_incarnation_match
rr_match_incarnation(const struct rr_gate *gate,
		     const struct rr_endpoint *endpoint,
		     const struct rr_endpoint_info *listing);
/* Record an incarnation's start; the record outlasts its list entry. */
void rr_note_start(struct rr_gate *gate,
		   const struct rr_endpoint_info *listing);
/*
 * Make a name for an incarnation that differs from `previous`, the name of the
 * incarnation that it replaces (NULL if there is none).  Returns a new string,
 * to be freed with g_free().
 */
char *rr_format_incarnation(const struct rr_endpoint_info *listing,
			    uint64_t number, const char *previous);

/* gate-zone.c */
struct rr_gate_zone *rr_get_gate_zone(struct rr_gate *gate, const char *name);
void rr_free_gate_zone(gpointer data);
/* Record that an attempt starts, ends, or is cancelled without a reply. */
void rr_note_attempt_started(struct rr_gate *gate,
			     struct rr_endpoint *endpoint);
void rr_note_attempt_ended(struct rr_gate *gate, struct rr_endpoint *endpoint);
void rr_note_attempt_cancelled(struct rr_context *ctx, struct rr_gate *gate,
			       struct rr_endpoint *endpoint);
/* Record that an attempt has exceeded its hedge threshold. */
void rr_note_attempt_overdue(struct rr_context *ctx, struct rr_gate *gate,
			     struct rr_endpoint *endpoint);
/* Record a reply of any kind or another contact with the replica. */
void rr_note_contact(struct rr_context *ctx, struct rr_gate *gate,
		     struct rr_endpoint *endpoint);
/* Record a lost attempt.  If the replica was unreachable, start to probe it. */
void rr_note_attempt_lost(struct rr_context *ctx, struct rr_gate *gate,
			  struct rr_endpoint *endpoint, enum rr_loss loss);
void rr_handle_probe_timer(struct rr_context *ctx, struct rr_gate *gate,
			   uint64_t number);
void rr_handle_zone_timer(struct rr_context *ctx, struct rr_gate *gate,
			  uint64_t number, uint32_t sequence);
/* Re-evaluate whether this instance is isolated. */
void rr_update_isolation(struct rr_context *ctx, struct rr_gate *gate);

/* gate-evacuate.c */
/* Reason for not sending a part: all its replicas are in evacuated zones. */
#define RR_REASON_EVACUATED "evacuated"
/* Get or create a zone's evacuation state; the zone need not have replicas. */
struct rr_evacuation *rr_get_evacuation(struct rr_gate *gate, const char *zone);
/* Whether all replicas of a service that could get work are evacuated. */
bool rr_is_service_evacuated(const struct rr_gate_service *service);
/*
 * Whether to skip a replica in this choice because the evacuation of its zone
 * ended recently and the zone gets only part of its work.
 */
bool rr_skip_in_slow_start(struct rr_context *ctx, const struct rr_gate *gate,
			   const struct rr_endpoint *endpoint);
/* gate-cold.c */
/* Return how long a replica of a service is cold after its start. */
int64_t rr_cold_period_us(const struct rr_gate *gate,
			  const struct rr_gate_service *service);
/*
 * Whether a replica may be cold: by the warm-up time in its list entry, or
 * because the evacuation of its zone ended recently.
 */
bool rr_is_cold(const struct rr_gate *gate, const struct rr_endpoint *endpoint);
/*
 * Whether this instance's quota for a cold replica allows one more attempt.
 * Always true if the replica is not cold or its service has no limit.
 */
bool rr_has_cold_quota_left(const struct rr_gate *gate,
			    struct rr_endpoint *endpoint);
/* Count an attempt sent to a replica against its cold quota. */
void rr_charge_cold_quota(const struct rr_gate *gate,
			  struct rr_endpoint *endpoint);

/* gate-account.c */
/*
 * Set the account and the rank of a new request.  Returns 0, or the status to
 * reject it with and the cause, a static string, in `*reason`.
 */
uint16_t rr_authenticate_request(const struct rr_gate *gate,
				 struct rr_gate_request *req,
				 const struct rr_gate_request_info *info,
				 const char **reason);
/*
 * Stop the open requests whose key is not in the current configuration: no new
 * attempts are sent, and those with none in flight are answered.
 */
void rr_stop_revoked_requests(struct rr_context *ctx, struct rr_gate *gate);

/* gate-allowance.c */
struct rr_allowances *
rr_new_gate_allowances(struct rr_context *ctx, struct rr_gate *gate,
		       const struct rr_gate_options *options);
/*
 * Take a token of its account's allowance for a new request.  Returns false if
 * the request waits for one or was rejected.
 */
bool rr_take_request_allowance(struct rr_context *ctx, struct rr_gate *gate,
			       struct rr_gate_request *req);
/* A request ends: give its token back if it did not run. */
void rr_release_request_allowance(struct rr_context *ctx, struct rr_gate *gate,
				  struct rr_gate_request *req);

/* gate-forward.c */
/*
 * Status that rejects a forwarded search which has not run and which another
 * coordinator could not serve either: the replicas have no capacity, or have
 * been asked already.  After a rejection with 503 it is tried elsewhere.
 */
#define RR_STATUS_FINAL_REJECTION 429
/* Cannot collide with a service of a route: those names have no spaces. */
#define RR_COORDINATOR_SERVICE "strong instances"
void rr_free_gate_peer(gpointer data);
/* Recompute the state derived from the peers if any of them changed. */
void rr_update_peers(struct rr_context *ctx, struct rr_gate *gate);
/* Prepare a request for forwarding as one part; false if it is served here. */
bool rr_prepare_forward(struct rr_gate *gate, struct rr_gate_request *req);
/*
 * Wait for the response to a forwarded search, and check whether its
 * coordinator still runs.  Return false if the coordinator is silent.
 */
bool rr_await_forward(struct rr_context *ctx, struct rr_gate *gate,
		      struct rr_gate_request *req);
/*
 * Handle the reply to a call of rr_gate_actions.call_allowance() that checked
 * whether a coordinator runs.  Return false if it was another call.
 */
bool rr_handle_coordinator_reply(struct rr_gate *gate, uint64_t call,
				 bool replied);
/* Return how many instances share the replicas' connections; 0 if unknown. */
uint32_t rr_count_coordinators(const struct rr_gate *gate);

/* gate-choose.c */
enum rr_choice {
	RR_CHOSEN,
	RR_CHOICE_FULL, /* a replica is usable but has no capacity now */
	RR_CHOICE_COLD, /* all usable replicas are cold, quota spent */
	RR_CHOICE_NONE, /* none is usable, or all were tried */
};

/* Return the bounds on this instance's attempts in flight at a replica. */
struct rr_limit_bounds rr_endpoint_bounds(const struct rr_gate *gate,
					  const struct rr_endpoint *endpoint);
/* Choose a replica for a part's next attempt; `*chosen` is not referenced. */
enum rr_choice rr_choose_endpoint(struct rr_context *ctx, struct rr_gate *gate,
				  const struct rr_gate_request *req,
				  const struct rr_gate_part *part,
				  struct rr_endpoint **chosen);
/* Whether a replica may be sent new attempts at all. */
bool rr_is_endpoint_eligible(const struct rr_gate *gate,
			     const struct rr_endpoint *endpoint);
/* Whether an eligible replica of a service has capacity for an attempt. */
bool rr_service_has_capacity(const struct rr_gate *gate,
			     const struct rr_gate_service *service);
/* Return the total limit on attempts in flight at the eligible replicas. */
uint32_t rr_service_capacity(const struct rr_gate *gate,
			     const struct rr_gate_service *service);
/* Whether a service has an eligible replica. */
bool rr_is_service_reachable(const struct rr_gate *gate,
			     const struct rr_gate_service *service);
int64_t rr_typical_attempt_us(const struct rr_gate *gate,
			      const struct rr_route_stats *stats,
			      const struct rr_route *route);

/* gate-attempt.c */
/*
 * Send a part to another replica.  Return false if it cannot be sent now.  If
 * the only obstacle is a lack of capacity and the part has no attempt in
 * flight, queue it and return false as well: callers test `part->queued` to see
 * whether the part will still be sent.
 */
bool rr_try_send_part(struct rr_context *ctx, struct rr_gate *gate,
		      struct rr_gate_request *req, size_t index,
		      const char *reason);
void rr_handle_hedge_timer(struct rr_context *ctx, struct rr_gate *gate,
			   uint64_t id);
/* Remove an attempt from all tables; the caller frees it. */
void rr_remove_attempt(struct rr_gate *gate, struct rr_gate_attempt *attempt);
/* Add an event of an attempt to its trace; `status` is 0 if there is none. */
void rr_trace_attempt(const struct rr_gate *gate, struct rr_gate_request *req,
		      const struct rr_gate_attempt *attempt,
		      enum rr_trace_event_kind kind, const char *reason,
		      uint32_t status);
/* Cancel the other attempts of a part that has been answered. */
void rr_cancel_losers(struct rr_context *ctx, struct rr_gate *gate,
		      struct rr_gate_request *req, size_t index);
/* Cancel the attempts of which no byte was sent: they have not run. */
void rr_cancel_unsent(struct rr_context *ctx, struct rr_gate *gate,
		      struct rr_gate_request *req);
/* Cancel the idempotent attempts of a request except `kept` (may be NULL). */
void rr_cancel_other_attempts(struct rr_context *ctx, struct rr_gate *gate,
			      struct rr_gate_request *req,
			      const struct rr_gate_attempt *kept,
			      const char *reason);
/* Detach a request that ends from its attempts; cancel the idempotent ones. */
void rr_detach_attempts(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_gate_request *req);
void rr_free_attempt(gpointer data);
/* Send queued parts of a service while it has capacity. */
void rr_send_queued_parts(struct rr_context *ctx, struct rr_gate *gate,
			  struct rr_gate_service *service);
/* Retry all queued parts of a service; those that cannot be sent fail. */
void rr_flush_queued_parts(struct rr_context *ctx, struct rr_gate *gate,
			   struct rr_gate_service *service);

/* gate-reply.c */
/*
 * Cancel an attempt if none of its bytes was sent, and send its part to another
 * replica.  Returns false if it cannot be cancelled.
 */
bool rr_redirect_unsent(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_gate_attempt *attempt, const char *reason);

/* gate-admit.c */
enum rr_admission {
	RR_ADMITTED,
	RR_ADMIT_NO_REPLICA, /* too few services have an eligible replica */
	RR_ADMIT_EVACUATED,  /* too few, because of evacuated zones */
	RR_ADMIT_OVERLOADED, /* the load exceeds their capacity */
};

/*
 * Decide whether the eligible replicas can serve a request.  A search that
 * would most likely miss too many parts is rejected as a whole: the work for
 * its other parts would be wasted.
 */
enum rr_admission rr_admit_request(const struct rr_gate *gate,
				   const struct rr_gate_request *req);
/*
 * Credit an admitted request to the retry budgets of its services.  A rejected
 * request earns nothing: a forwarded one may be rejected by several instances
 * in turn and would be credited several times.
 */
void rr_earn_retry_budget(struct rr_gate *gate, struct rr_gate_request *req);

/* gate-deadline.c */
/* Set a request's times from its deadline and its route's settings. */
void rr_set_request_deadlines(const struct rr_gate *gate,
			      struct rr_gate_request *req,
			      const struct rr_gate_request_info *info);
/* Apply the limit of rr_gate_limit_answers(). */
void rr_limit_request_deadlines(const struct rr_gate *gate,
				struct rr_gate_request *req);
/*
 * Return when the response to a forwarded request is due, and how long its
 * coordinator has after that to show that it still runs: as long as this
 * instance has to answer the request.  Guards against a frozen instance that
 * holds forwarded requests until their deadline.
 */
int64_t rr_forward_due_us(const struct rr_gate *gate,
			  const struct rr_gate_request *req);
int64_t rr_forward_patience_us(const struct rr_gate_request *req);
/* Draw a random Retry-After for a caller that waits for another `left_us`. */
uint32_t rr_draw_retry_after_ms(struct rr_context *ctx,
				const struct rr_gate *gate, int64_t left_us);

/* gate-log.c */
/* Reason for not sending a part again: the retry budget is spent. */
#define RR_REASON_NO_RETRY_BUDGET "no-extra-left"
/* Log an attempt whose reply was cut short, malformed or of another request. */
void rr_log_broken_attempt(struct rr_context *ctx, const struct rr_gate *gate,
			   const struct rr_gate_attempt *attempt);
/*
 * Log a request that ends: its whole trace, the events of its missing parts,
 * only its outcome, or nothing.
 */
void rr_log_request(struct rr_context *ctx, struct rr_gate *gate,
		    struct rr_gate_request *req,
		    const struct rr_gate_answer *answer);

/* gate-quarantine.c */
enum rr_quarantine_step {
	RR_QUARANTINE_PASS,
	RR_QUARANTINE_CLAIMING, /* waits for a claim; started if it is granted */
	RR_QUARANTINE_REJECTED, /* answered and freed */
};

struct rr_quarantine *
rr_new_gate_quarantine(const struct rr_gate_policy *policy);
/* Handle an attempt's connection closed by the replica: probe the replica. */
void rr_note_attempt_closed(struct rr_context *ctx, struct rr_gate *gate,
			    const struct rr_gate_attempt *attempt);
/* Handle the outcome of that probe.  May end requests. */
void rr_resolve_closed_attempts(struct rr_context *ctx, struct rr_gate *gate,
				struct rr_endpoint *endpoint, bool reached);
/* Record that a replica completed an attempt: its request is harmless. */
void rr_note_attempt_completed(struct rr_context *ctx, struct rr_gate *gate,
			       const struct rr_gate_attempt *attempt);
/* Check a new request against the quarantine. */
enum rr_quarantine_step rr_check_quarantine(struct rr_context *ctx,
					    struct rr_gate *gate,
					    struct rr_gate_request *req);
/* Reject a request whose claim was not answered in time. */
void rr_handle_claim_timeout(struct rr_context *ctx, struct rr_gate *gate,
			     uint64_t id);
/* Drop the claim of a request that ends before the claim's outcome. */
void rr_drop_pending_claim(struct rr_gate *gate,
			   const struct rr_gate_request *req);
/* Publish what is known of a request that has ended, if not published yet. */
void rr_publish_suspicion(struct rr_context *ctx, struct rr_gate *gate,
			  const struct rr_fingerprint *fingerprint);
/*
 * Start a suspected request, or the trial of a quarantined one, as a canary:
 * with one attempt.  Return false if the request is neither.
 */
bool rr_start_canary(struct rr_context *ctx, struct rr_gate *gate,
		     struct rr_gate_request *req);
/*
 * Send the next attempt of a canary, of the first part that can be sent or
 * queued.  End the request if there is none.
 */
void rr_send_canary(struct rr_context *ctx, struct rr_gate *gate,
		    struct rr_gate_request *req);
/*
 * Handle an unanswered attempt of a request that is a canary or now becomes
 * one.  The request may end.  Return false, without any effect, if the request
 * is not suspected.
 */
bool rr_handle_canary_failure(struct rr_context *ctx, struct rr_gate *gate,
			      struct rr_gate_request *req);
/* Handle a completed attempt of part `index`: send the other parts. */
void rr_end_canary(struct rr_context *ctx, struct rr_gate *gate,
		   struct rr_gate_request *req, size_t index);

/* gate-split.c */
/* Choose a part of a split route in proportion to the weights. */
size_t rr_choose_split_part(struct rr_context *ctx,
			    struct rr_route_stats *stats,
			    const struct rr_route *route);
/*
 * Choose another service for a part if the current routes give its service
 * weight 0.  Guards against requests that were queued or are retried when the
 * operators take a service out of use.
 */
void rr_update_split_service(struct rr_context *ctx, struct rr_gate *gate,
			     const struct rr_gate_request *req,
			     struct rr_gate_part *part);
/* Retry the queued parts of services that have weight 0 in a split. */
void rr_flush_split_queues(struct rr_context *ctx, struct rr_gate *gate);

/* gate-request.c */
/* Start a new request, unless it is in quarantine. */
void rr_pass_request(struct rr_context *ctx, struct rr_gate *gate,
		     struct rr_gate_request *req);
/* Send a new request. */
void rr_start_request(struct rr_context *ctx, struct rr_gate *gate,
		      struct rr_gate_request *req);
/* Answer a request with a failure and free it. */
void rr_fail_request(struct rr_context *ctx, struct rr_gate *gate,
		     struct rr_gate_request *req, const char *reason);
/* Serve a forwarded request here, after the other instance did not run it. */
void rr_serve_locally(struct rr_context *ctx, struct rr_gate *gate,
		      struct rr_gate_request *req);
/* Answer a request if it is complete, has failed or is due. */
void rr_advance_request(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_gate_request *req);
/* Answer with a status generated by this instance. */
void rr_answer_locally(struct rr_context *ctx, struct rr_gate *gate,
		       struct rr_gate_request *req, uint16_t status,
		       const char *reason);
void rr_proxy_reply(struct rr_context *ctx, struct rr_gate *gate,
		    struct rr_gate_request *req,
		    const struct rr_gate_reply *reply);
void rr_merge_part_reply(struct rr_context *ctx, struct rr_gate *gate,
			 struct rr_gate_request *req, struct rr_gate_part *part,
			 const struct rr_gate_reply *reply);
/* Mark a part as failed: no more replies are expected for it. */
void rr_fail_part(struct rr_gate_request *req, struct rr_gate_part *part);
void rr_free_request(gpointer data);
struct rr_gate_request *rr_find_request(const struct rr_gate *gate,
					uint64_t id);

#endif
