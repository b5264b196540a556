/*
 * gate-private.h - the gateway's state and what its parts share.
 */
#ifndef RAGWORT_CORE_GATE_PRIVATE_H
#define RAGWORT_CORE_GATE_PRIVATE_H

#include <glib.h>

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
 * An availability zone as its replicas are seen from here.  Replicas fail one
 * by one, but a cut silences all of a zone at once: that shows in a fraction
 * of the time that each of them would need.
 */
struct rr_gate_zone {
	uint64_t number; /* names it in timers */
	char *name;
	bool is_local;			  /* this instance's own */
	struct rr_evacuation *evacuation; /* the gate's */
	struct rr_passive_health track;
	uint32_t n_in_flight; /* attempts under way there */
	uint32_t unanswered;  /* given up since the last sign of life */
	bool unreachable;     /* left alone until it is heard again */
	/* It seems silent, or another zone is: probes find out. */
	bool suspected;
	int64_t suspected_us; /* since when */
	bool probed;	      /* since then */
	uint32_t timer_seq;   /* the latest timer set; earlier ones are void */
	uint32_t failed_probes; /* since the last sign of life */
	int64_t last_contact_us;
};

/* What this instance sends a replica while that is cold. */
struct rr_cold_quota {
	uint64_t peers_version; /* of the share */
	double bound;
	uint32_t share;
	struct rr_cold_window window;
};

/* An attempt whose connection was closed by its replica. */
struct rr_closed_attempt {
	struct rr_crash crash; /* if the replica is down */
	uint64_t request;      /* id of its request, or 0 if it has ended */
	size_t part;
};

/* One lifetime of a replica. */
struct rr_endpoint {
	int refs;
	uint64_t number;    /* names it in timers and among the tried ones */
	char *id;	    /* may be that of an earlier lifetime as well */
	int64_t started_ms; /* 0: not told */
	char *incarnation;  /* names this lifetime to the carrier */
	char *address;
	struct rr_gate_service *service;
	struct rr_gate_zone *zone;
	const char *region; /* the gate's; NULL: not known */
	bool probing;	    /* a probe is due or under way */
	bool listed;	    /* in the list of replicas */
	bool draining;	    /* or replaced: it takes no new work any more */
	int64_t unlisted_us;
	int64_t cold_until_us;
	bool remote_coordinator; /* another zone's strong instance: where none here is good */
	uint32_t slots;
	uint32_t pace_percent; /* of its machine, last told; 0: never */
	struct rr_passive_health track;
	struct rr_concurrency_limit
		limit;	  /* of open attempts, in usual times */
	GQueue in_flight; /* struct rr_gate_attempt, the oldest first */
	struct rr_cold_quota
		*cold_quota; /* NULL: it was not sent to while cold */
	/* struct rr_closed_attempt, while it is probed; may be NULL */
	GArray *closed_attempts;
};

/* What replicas and routes of one service share. */
struct rr_gate_service {
	char *name;
	GPtrArray *endpoints; /* struct rr_endpoint, not referenced */
	struct rr_retry_budget retry_budget;
	bool is_shard;	    /* a shard of a search, in the routes in force */
	int64_t typical_us; /* of its last attempt's kind of work */
	struct rr_wait_queue wait_queue; /* parts that found no room */
};

/* What lasts of a route through the versions that name it. */
struct rr_route_stats {
	struct rr_latency_sketch
		attempt_times; /* of its attempts, whatever the replica */
	double *split_credits; /* of a split's parts */
	size_t n_credits;
};

enum rr_part_status {
	RR_PART_PENDING,
	RR_PART_ANSWERED, /* answered well */
	RR_PART_FAILED,	  /* nothing more can come */
};

/* Most replicas of one service that a request is sent to. */
#define RR_MAX_TRIED 8

/* A request's part at one service. */
struct rr_gate_part {
	struct rr_gate_service *service;
	enum rr_part_status status;
	bool queued;	   /* in the service's queue */
	uint8_t n_tried;   /* replicas that it went to */
	uint8_t n_reached; /* of these, that it reached: one is not extra */
	uint8_t n_may_have_run;	      /* of these, where it may have run */
	uint8_t n_crashed;	      /* of these, crashed */
	uint8_t n_in_flight;	      /* attempts under way */
	uint64_t tried[RR_MAX_TRIED]; /* numbers of these replicas */
	int64_t last_sent_us;
	const char *not_sent_reason; /* last reason told */
};

struct rr_gate_request {
	uint64_t id;
	char *request_id;
	struct rr_fingerprint fingerprint;
	struct rr_route_table *route_table; /* keeps the route */
	const struct rr_route *route;
	struct rr_route_stats *stats;
	int64_t started_us;
	int64_t expires_us;   /* deadline or the route's timeout */
	int64_t answer_by_us; /* leaving later misses the latency objective */
	int64_t deadline_us;  /* as the caller told it; 0: none */
	bool caller_closed;   /* nothing new is sent for it */
	struct rr_gate_part *parts;
	size_t n_parts;
	size_t n_answered;
	size_t n_failed;
	size_t n_required;
	size_t n_may_have_run; /* attempts that may have run */
	GQueue in_flight;      /* struct rr_gate_attempt */
	bool forwarded;	       /* its one part is at another instance */
	bool from_peer;	       /* another instance handed it over to this one */
	/* See gate-quarantine.c. */
	bool canary;		 /* one attempt in flight at a time */
	bool completed;		 /* a replica has completed an attempt */
	bool claim_pending;	 /* waits for the outcome of a claim */
	bool trial;		 /* canary of a quarantined request */
	bool final_rejection;	 /* forwarding it elsewhere is of no use */
	uint32_t n_closed;	 /* attempts closed by replicas */
	uint32_t n_unresolved;	 /* of these, replicas being probed */
	uint32_t n_crashed;	 /* of these, crashed replicas */
	int64_t first_close_us;	 /* time of the first close */
	uint32_t retry_after_ms; /* sent to its caller; 0 if drawn */
	struct rr_top_records top_records;
	GString *signatures;
	struct rr_request_trace trace;
	int64_t last_part_us;  /* when the last part came; 0: none did */
	int64_t routes_age_us; /* since its version came into force */
};

struct rr_gate_attempt {
	uint64_t id;
	struct rr_gate_request *request; /* NULL: its request is over */
	size_t part;
	struct rr_endpoint *endpoint; /* referenced */
	struct rr_route_stats *stats;
	struct rr_fingerprint fingerprint; /* of its request */
	int64_t sent_us;
	uint32_t
		in_flight_at_send; /* at its replica when it was sent, with it */
	bool idempotent;
	bool uses_budget;
	GList endpoint_link; /* in the endpoint's live ones */
	GList request_link;  /* in the request's */
};

/* Another instance, as its entry tells of it. */
struct rr_gate_peer {
	char *id;
	char *zone;
	double strength;
	bool is_forward_target; /* among those that searches are handed to */
	bool is_coordinator;	/* connections to replicas of searches */
	char *address;
	int64_t started_ms;
};

struct rr_gate {
	int64_t now_us;
	char *instance;
	char *zone;
	GHashTable *regions; /* zone's name -> region's */
	struct rr_gate_actions actions;
	struct rr_gate_policy policy;
	double extra_ratio;
	double extra_slack;
	int64_t extra_window_us;
	double cold_overage;
	double cold_slack;
	int64_t process_started_us;
	uint32_t n_instances; /* 0: not counted yet */
	/* struct rr_endpoint, referenced: newly listed, looked at by a tick. */
	GQueue to_preconnect;
	double strength;
	GHashTable *peers;	/* id -> struct rr_gate_peer */
	bool peers_changed;	/* what follows from them is to be found anew */
	uint64_t peers_version; /* grows when it was */
	uint32_t n_coordinators; /* instances that hold connections; 0: all */
	bool forwards_searches;	 /* this one hands searches over */
	struct rr_gate_service *coordinators; /* those it hands them to */
	struct rr_route_table *route_table;
	int64_t routes_applied_us;
	struct rr_log_budget request_log_budget;
	struct rr_log_budget list_log_budget;
	/* Replicas that came, went or were retired and were not told singly. */
	uint32_t suppressed_changes;
	struct rr_timers *timers;
	uint64_t next_id;
	GHashTable *services;	 /* name -> struct rr_gate_service */
	GPtrArray *zones;	 /* struct rr_gate_zone */
	GHashTable *evacuations; /* zone's name -> struct rr_evacuation */
	bool isolated; /* cut off from the other zones, see gate-zone.c */
	GHashTable *endpoints; /* id -> struct rr_endpoint, listed or of late */
	GHashTable
		*incarnations; /* name -> struct rr_endpoint, the same ones */
	GHashTable *
		latest_starts; /* id -> latest start told, see gate-incarnation.c */
	GHashTable *route_stats; /* route's name -> struct rr_route_stats */
	struct rr_quarantine *quarantine;
	GHashTable *requests; /* id -> struct rr_gate_request */
	GHashTable *attempts; /* id -> struct rr_gate_attempt */
};

/* gate-endpoint.c */
/* Tell in one line of how many replicas no line was written. */
void rr_log_suppressed_changes(struct rr_context *ctx, struct rr_gate *gate);
struct rr_gate_service *rr_get_gate_service(struct rr_gate *gate,
					    const char *name);
struct rr_endpoint *rr_keep_endpoint(struct rr_endpoint *endpoint);
void rr_drop_endpoint(struct rr_endpoint *endpoint);
void rr_free_gate_service(gpointer data);
/* Share the allowances of extra attempts anew. */
void rr_update_retry_budgets(struct rr_gate *gate);
/* New routes: which services are shards of searches, and share anew. */
void rr_mark_shards(struct rr_gate *gate);
/* What the routes in force say of a service; NULL: nothing. */
const struct rr_route_service *
rr_find_service_config(const struct rr_gate *gate, const char *name);
/* Connections to a replica of a service that are kept at rest. */
uint32_t rr_max_idle_connections(const struct rr_gate *gate, const char *name);
/* Make connections to replicas that were listed since the last tick. */
void rr_preconnect_listed(struct rr_gate *gate);
/* It takes no new work any more. */
void rr_retire_endpoint(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_endpoint *endpoint, const char *reason);
void rr_expire_unlisted(struct rr_context *ctx, struct rr_gate *gate,
			uint64_t number);
/* Its lifetime is over: it is forgotten at once. */
void rr_remove_endpoint(struct rr_context *ctx, struct rr_gate *gate,
			const char *id, const char *reason);

/* gate-incarnation.c */
enum rr_incarnation_match {
	RR_INCARNATION_SAME,	 /* what is told of the one that is known */
	RR_INCARNATION_REPLACED, /* another one takes its place */
	RR_INCARNATION_EARLIER,	 /* one that is over */
	RR_INCARNATION_UNKNOWN, /* does not say which, though its id did before */
};

/* What a listing is of; `endpoint` is the one known by its id, or NULL. */
enum rr_incarnation_match
rr_match_incarnation(const struct rr_gate *gate,
		     const struct rr_endpoint *endpoint,
		     const struct rr_endpoint_info *listing);
/* Remember when a lifetime started, longer than it is listed. */
void rr_note_start(struct rr_gate *gate,
		   const struct rr_endpoint_info *listing);
/*
 * A name for a lifetime, for g_free(), unlike `before`, the name of the one
 * that it takes the place of (NULL: of none).
 */
char *rr_format_incarnation(const struct rr_endpoint_info *listing,
			    uint64_t number, const char *before);

/* gate-zone.c */
struct rr_gate_zone *rr_get_gate_zone(struct rr_gate *gate, const char *name);
void rr_free_gate_zone(gpointer data);
/* An attempt to a replica begins, ends, or was given up unanswered. */
void rr_note_attempt_started(struct rr_gate *gate,
			     struct rr_endpoint *endpoint);
void rr_note_attempt_ended(struct rr_gate *gate, struct rr_endpoint *endpoint);
void rr_note_attempt_cancelled(struct rr_context *ctx, struct rr_gate *gate,
			       struct rr_endpoint *endpoint);
/* An attempt takes longer than most. */
void rr_note_attempt_overdue(struct rr_context *ctx, struct rr_gate *gate,
			     struct rr_endpoint *endpoint);
/* The replica gave any sign of life. */
void rr_note_contact(struct rr_context *ctx, struct rr_gate *gate,
		     struct rr_endpoint *endpoint);
/* An attempt was lost; a silent replica is probed from then on. */
void rr_note_attempt_lost(struct rr_context *ctx, struct rr_gate *gate,
			  struct rr_endpoint *endpoint, enum rr_loss loss);
void rr_handle_probe_timer(struct rr_context *ctx, struct rr_gate *gate,
			   uint64_t number);
void rr_handle_zone_timer(struct rr_context *ctx, struct rr_gate *gate,
			  uint64_t number, uint32_t watch);
/* Look anew at whether this instance is cut off. */
void rr_update_isolation(struct rr_context *ctx, struct rr_gate *gate);

/* gate-evacuate.c */
/* Why a part was not sent: only evacuated zones have replicas of it. */
#define RR_REASON_EVACUATED "evacuated"
/* What is known of a zone's evacuation, whether it has replicas or not. */
struct rr_evacuation *rr_get_evacuation(struct rr_gate *gate, const char *zone);
/* Whether every replica of a service that could take work is evacuated. */
bool rr_is_service_evacuated(const struct rr_gate_service *service);
/*
 * Whether a replica is left out of this choice, as its zone was taken back a
 * moment ago and gets only a part of its work.
 */
bool rr_skip_in_slow_start(struct rr_context *ctx, const struct rr_gate *gate,
			   const struct rr_endpoint *endpoint);
/* gate-cold.c */
/* For how long a replica of a service is cold after a start. */
int64_t rr_cold_period_us(const struct rr_gate *gate,
			  const struct rr_gate_service *service);
/* Whether it may be cold: by its entry, or as its zone was evacuated. */
bool rr_is_cold(const struct rr_gate *gate, const struct rr_endpoint *endpoint);
/* Whether this instance may send a replica one more, should it be cold. */
bool rr_has_cold_quota_left(const struct rr_gate *gate,
			    struct rr_endpoint *endpoint);
/* An attempt is sent to it. */
void rr_charge_cold_quota(const struct rr_gate *gate,
			  struct rr_endpoint *endpoint);

/* gate-forward.c */
/*
 * The status that tells another instance that its search has not run and
 * would not do better elsewhere: replicas have no room, or were asked already.
 * Refused with 503, it is tried elsewhere.
 */
#define RR_STATUS_FINAL_REJECTION 429
/* No service of routes is called so: names there have no blank. */
#define RR_COORDINATOR_SERVICE "strong instances"
void rr_free_gate_peer(gpointer data);
/* Find out what follows from peers that changed, once for all of them. */
void rr_update_peers(struct rr_context *ctx, struct rr_gate *gate);
/* Whether a request is handed over; it has its one part then. */
bool rr_prepare_forward(struct rr_gate *gate, struct rr_gate_request *run);
/* Instances among which replicas' connections are shared; 0: not known. */
uint32_t rr_count_coordinators(const struct rr_gate *gate);

/* gate-choose.c */
enum rr_choice {
	RR_CHOSEN,
	RR_CHOICE_FULL, /* there is one, but it has no room now */
	RR_CHOICE_COLD, /* all that there are have had what cold ones may */
	RR_CHOICE_NONE, /* all seem gone, or were tried */
};

/* How many attempts this instance may have open at a replica. */
struct rr_limit_bounds rr_endpoint_bounds(const struct rr_gate *gate,
					  const struct rr_endpoint *endpoint);
/* A replica for one more attempt of a part. */
enum rr_choice rr_choose_endpoint(struct rr_context *ctx, struct rr_gate *gate,
				  const struct rr_gate_request *run,
				  const struct rr_gate_part *part,
				  struct rr_endpoint **chosen);
/* Whether it may be sent new work at all. */
bool rr_is_endpoint_eligible(const struct rr_gate *gate,
			     const struct rr_endpoint *endpoint);
/* Whether a replica that takes work has room for an attempt. */
bool rr_service_has_capacity(const struct rr_gate *gate,
			     const struct rr_gate_service *service);
/* Attempts that may be open at the replicas that take work, all together. */
uint32_t rr_service_capacity(const struct rr_gate *gate,
			     const struct rr_gate_service *service);
/* Whether a service has a replica that answers. */
bool rr_is_service_reachable(const struct rr_gate *gate,
			     const struct rr_gate_service *service);
int64_t rr_typical_attempt_us(const struct rr_gate *gate,
			      const struct rr_route_stats *record,
			      const struct rr_route *route);

/* gate-attempt.c */
/*
 * Send a part to one more replica.  False if none can take it now; where one
 * only lacks room, the part waits for it.
 */
bool rr_try_send_part(struct rr_context *ctx, struct rr_gate *gate,
		      struct rr_gate_request *run, size_t part,
		      const char *why);
void rr_handle_hedge_timer(struct rr_context *ctx, struct rr_gate *gate,
			   uint64_t id);
/* Out of all tables; the caller frees it. */
void rr_remove_attempt(struct rr_gate *gate, struct rr_gate_attempt *attempt);
/* Keep a step of an attempt for the log; `status` 0: there is none. */
void rr_trace_attempt(const struct rr_gate *gate, struct rr_gate_request *run,
		      const struct rr_gate_attempt *attempt,
		      enum rr_trace_event_kind kind, const char *reason,
		      uint32_t status);
/* End the other attempts of a part that has its answer. */
void rr_cancel_losers(struct rr_context *ctx, struct rr_gate *gate,
		      struct rr_gate_request *run, size_t index);
/* Take back attempts that have not left: they were not run. */
void rr_cancel_unsent(struct rr_context *ctx, struct rr_gate *gate,
		      struct rr_gate_request *run);
/* Withdraw the idempotent attempts of a request, except `kept` (or NULL). */
void rr_cancel_other_attempts(struct rr_context *ctx, struct rr_gate *gate,
			      struct rr_gate_request *run,
			      const struct rr_gate_attempt *kept,
			      const char *reason);
/* The request is over, and with it its attempts. */
void rr_detach_attempts(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_gate_request *run);
void rr_free_attempt(gpointer data);
/* Try parts that wait for room at a service. */
void rr_send_queued_parts(struct rr_context *ctx, struct rr_gate *gate,
			  struct rr_gate_service *service);
/* Try all that wait there once more; what can go nowhere is given up. */
void rr_flush_queued_parts(struct rr_context *ctx, struct rr_gate *gate,
			   struct rr_gate_service *service);

/* gate-reply.c */
/*
 * Take an attempt back if none of its bytes has left, and send its part
 * elsewhere; false if it is on its way.
 */
bool rr_redirect_unsent(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_gate_attempt *attempt, const char *reason);

/* gate-admit.c */
enum rr_admission {
	RR_ADMITTED,
	RR_ADMIT_NO_REPLICA, /* too few of its services have one that answers */
	RR_ADMIT_EVACUATED,  /* they would, but for zones that are evacuated */
	RR_ADMIT_OVERLOADED, /* they answer, but more comes than they can do */
};

/*
 * Whether a request can be served by the replicas that answer now.  A search
 * that would most likely lack too many parts is turned away whole: the work
 * for its other parts would be done in vain.
 */
enum rr_admission rr_admit_request(const struct rr_gate *gate,
				   const struct rr_gate_request *run);
/*
 * A request that is taken earns extra attempts.  One that is refused earns
 * nothing: handed over, it may be refused by several, which all together
 * would earn more than one request may.
 */
void rr_earn_retry_budget(struct rr_gate *gate, struct rr_gate_request *run);

/* gate-deadline.c */
/* From its caller's deadline, the route's timeout and objective. */
void rr_set_request_deadlines(const struct rr_gate *gate,
			      struct rr_gate_request *run,
			      const struct rr_gate_request_info *ask);
/*
 * Until when another instance's answer is waited for: as long again as its
 * caller wants to wait.  Guards against requests that are held to their
 * deadline by an instance that is frozen.
 */
int64_t rr_forward_expires_us(const struct rr_gate *gate,
			      const struct rr_gate_request *run);
/* When a caller is asked back that will wait for so long, drawn at random. */
uint32_t rr_draw_retry_after_ms(struct rr_context *ctx,
				const struct rr_gate *gate, int64_t left_us);

/* gate-log.c */
/* Why a part was not asked again: the budget of extra attempts is spent. */
#define RR_REASON_NO_RETRY_BUDGET "no-extra-left"
/* Log an attempt that was broken off by its replica. */
void rr_log_broken_attempt(struct rr_context *ctx, const struct rr_gate *gate,
			   const struct rr_gate_attempt *attempt);
/* Tell a request whole, or what it lacks, or its end only, or nothing. */
void rr_log_request(struct rr_context *ctx, struct rr_gate *gate,
		    struct rr_gate_request *run,
		    const struct rr_gate_answer *answer);

/* gate-quarantine.c */
enum rr_quarantine_step {
	RR_QUARANTINE_PASS,
	RR_QUARANTINE_CLAIMING, /* for a claim; rr_start_request() follows */
	RR_QUARANTINE_REJECTED, /* answered and freed */
};

struct rr_quarantine *
rr_new_gate_quarantine(const struct rr_gate_policy *policy);
/* A replica closed an attempt's connection: probe the replica. */
void rr_note_attempt_closed(struct rr_context *ctx, struct rr_gate *gate,
			    const struct rr_gate_attempt *attempt);
/* The outcome of that probe.  May end requests. */
void rr_resolve_closed_attempts(struct rr_context *ctx, struct rr_gate *gate,
				struct rr_endpoint *endpoint, bool reached);
/* A replica completed an attempt. */
void rr_note_attempt_completed(struct rr_context *ctx, struct rr_gate *gate,
			       const struct rr_gate_attempt *attempt);
/* Check a new request against the quarantine. */
enum rr_quarantine_step rr_check_quarantine(struct rr_context *ctx,
					    struct rr_gate *gate,
					    struct rr_gate_request *run);
/* The timeout of a claim, and the end of a request with a claim pending. */
void rr_handle_claim_timeout(struct rr_context *ctx, struct rr_gate *gate,
			     uint64_t id);
void rr_drop_pending_claim(struct rr_gate *gate,
			   const struct rr_gate_request *run);
/* A request has ended: publish its record if that is due. */
void rr_publish_suspicion(struct rr_context *ctx, struct rr_gate *gate,
			  const struct rr_fingerprint *fingerprint);
/* Start a suspected request with one attempt.  False if it is not suspected. */
bool rr_start_canary(struct rr_context *ctx, struct rr_gate *gate,
		     struct rr_gate_request *run);
/* Send the next attempt, of any part.  Ends the request if none can be sent. */
void rr_send_canary(struct rr_context *ctx, struct rr_gate *gate,
		    struct rr_gate_request *run);
/*
 * Handle an attempt that was not answered.  True if its request continues as a
 * canary, or has ended.
 */
bool rr_continue_canary(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_gate_request *run);
/* An attempt of part `index` completed: send the other parts. */
void rr_end_canary(struct rr_context *ctx, struct rr_gate *gate,
		   struct rr_gate_request *run, size_t index);

/* gate-request.c */
/* Send a new request. */
void rr_start_request(struct rr_context *ctx, struct rr_gate *gate,
		      struct rr_gate_request *run);
/* Answer a request with a failure and free it. */
void rr_fail_request(struct rr_context *ctx, struct rr_gate *gate,
		     struct rr_gate_request *run, const char *reason);
/* What was handed over, and was not run there, is served here after all. */
void rr_serve_locally(struct rr_context *ctx, struct rr_gate *gate,
		      struct rr_gate_request *run);
/* Look at a request: answer it if it is time. */
void rr_advance_request(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_gate_request *run);
/* Answer with a status of ours. */
void rr_answer_locally(struct rr_context *ctx, struct rr_gate *gate,
		       struct rr_gate_request *run, uint16_t status,
		       const char *reason);
void rr_proxy_reply(struct rr_context *ctx, struct rr_gate *gate,
		    struct rr_gate_request *run,
		    const struct rr_gate_reply *reply);
void rr_merge_part_reply(struct rr_context *ctx, struct rr_gate *gate,
			 struct rr_gate_request *run, struct rr_gate_part *part,
			 const struct rr_gate_reply *reply);
/* Nothing more can come for a part. */
void rr_fail_part(struct rr_gate_request *run, struct rr_gate_part *part);
void rr_free_request(gpointer data);
struct rr_gate_request *rr_find_request(const struct rr_gate *gate,
					uint64_t id);

#endif
