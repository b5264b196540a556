/*
 * gate-private.h - the gateway's state and what its parts share.
 */
#ifndef RAGWORT_CORE_GATE_PRIVATE_H
#define RAGWORT_CORE_GATE_PRIVATE_H

#include <glib.h>

#include "core/allowance.h"
#include "core/budget.h"
#include "core/cold-share.h"
#include "core/evacuation.h"
#include "core/limit.h"
#include "core/quarantine.h"
#include "core/timer.h"
#include "core/track.h"
#include "core/trail.h"
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
	bool near;			  /* this instance's own */
	struct rr_evacuation *evacuation; /* the gate's */
	struct rr_track track;
	uint32_t n_live;     /* attempts under way there */
	uint32_t unanswered; /* given up since the last sign of life */
	bool silent;	     /* left alone until it is heard again */
	/* It seems silent, or another zone is: probes find out. */
	bool suspected;
	int64_t suspected_us; /* since when */
	bool probed;	      /* since then */
	uint32_t watch;	      /* the latest timer set; earlier ones are void */
	uint32_t failed_probes; /* since the last sign of life */
	int64_t heard_us;
};

/* What this instance sends a replica while that is cold. */
struct rr_cold_sending {
	uint64_t peers_version; /* of the share */
	double bound;
	uint32_t share;
	struct rr_cold_window window;
};

/* An attempt whose connection was closed by its replica. */
struct rr_closed_attempt {
	struct rr_crash crash; /* if the replica is down */
	uint64_t run;	       /* id of its request, or 0 if it has ended */
	size_t part;
};

/* One lifetime of a replica. */
struct rr_endpoint {
	int refs;
	uint64_t number; /* names it in timers and among the tried ones */
	char *id;	 /* may be that of an earlier lifetime as well */
	int64_t born_ms; /* 0: not told */
	char *lifetime;	 /* names this lifetime to the carrier */
	char *address;
	struct rr_gate_service *service;
	struct rr_gate_zone *zone;
	const char *region; /* the gate's; NULL: not known */
	bool probing;	    /* a probe is due or under way */
	bool listed;	    /* in the list of replicas */
	bool draining;	    /* or replaced: it takes no new work any more */
	int64_t unlisted_us;
	int64_t cold_until_us;
	bool away; /* another zone's strong instance: where none here is good */
	uint32_t slots;
	uint32_t pace_percent; /* of its machine, last told; 0: never */
	struct rr_track track;
	struct rr_limit limit; /* of open attempts, in usual times */
	GQueue live;	       /* struct rr_gate_attempt, the oldest first */
	struct rr_cold_sending *cold; /* NULL: it was not sent to while cold */
	/* struct rr_closed_attempt, while it is probed; may be NULL */
	GArray *closed;
};

/* What replicas and routes of one service share. */
struct rr_gate_service {
	char *name;
	GPtrArray *endpoints; /* struct rr_endpoint, not referenced */
	struct rr_allowance extras;
	bool searched;	    /* a shard of a search, in the routes in force */
	int64_t typical_us; /* of its last attempt's kind of work */
	struct rr_wait_queue waiting; /* parts that found no room */
};

/* What lasts of a route through the versions that name it. */
struct rr_route_record {
	struct rr_sketch times; /* of its attempts, whatever the replica */
	double *credits;	/* of a split's parts */
	size_t n_credits;
};

enum rr_part_status {
	RR_PART_OPEN,
	RR_PART_IN,	 /* answered well */
	RR_PART_LACKING, /* nothing more can come */
};

/* Most replicas of one service that a request is sent to. */
#define RR_MOST_TRIED 8

/* A request's part at one service. */
struct rr_gate_part {
	struct rr_gate_service *service;
	enum rr_part_status status;
	bool waiting;	   /* in the service's queue */
	uint8_t n_tried;   /* replicas that it went to */
	uint8_t n_arrived; /* of these, that it reached: one is not extra */
	uint8_t n_run;	   /* of these, where it may have run */
	uint8_t n_crashed; /* of these, crashed */
	uint8_t n_live;	   /* attempts under way */
	uint64_t tried[RR_MOST_TRIED]; /* numbers of these replicas */
	int64_t last_sent_us;
	const char *refused_for; /* last reason told */
};

struct rr_gate_run {
	uint64_t id;
	char *request_id;
	struct rr_fingerprint fingerprint;
	struct rr_route_table *table; /* keeps the route */
	const struct rr_route *route;
	struct rr_route_record *record;
	int64_t started_us;
	int64_t end_us;	     /* deadline or the route's timeout */
	int64_t cut_us;	     /* leaving later misses the latency objective */
	int64_t deadline_us; /* as the caller told it; 0: none */
	bool left;	     /* nothing new is sent for it */
	struct rr_gate_part *parts;
	size_t n_parts;
	size_t n_in;
	size_t n_lacking;
	size_t least;
	size_t n_run;	/* attempts that may have run */
	GQueue live;	/* struct rr_gate_attempt */
	bool handed;	/* its one part is at another instance */
	bool for_other; /* another instance handed it over to this one */
	/* See gate-quarantine.c. */
	bool canary;		 /* one attempt in flight at a time */
	bool completed;		 /* a replica has completed an attempt */
	bool claiming;		 /* waits for the outcome of a claim */
	bool trial;		 /* canary of a quarantined request */
	bool refused_finally;	 /* forwarding it elsewhere is of no use */
	uint32_t n_closed;	 /* attempts closed by replicas */
	uint32_t n_unresolved;	 /* of these, replicas being probed */
	uint32_t n_crashed;	 /* of these, crashed replicas */
	int64_t closed_us;	 /* time of the first close */
	uint32_t retry_after_ms; /* sent to its caller; 0 if drawn */
	struct rr_top_records top;
	GString *seals;
	struct rr_trail trail;
	int64_t part_us;       /* when the last part came; 0: none did */
	int64_t routes_age_us; /* since its version came into force */
};

struct rr_gate_attempt {
	uint64_t id;
	struct rr_gate_run *run; /* NULL: its request is over */
	size_t part;
	struct rr_endpoint *endpoint; /* referenced */
	struct rr_route_record *record;
	struct rr_fingerprint fingerprint; /* of its request */
	int64_t sent_us;
	uint32_t in_flight; /* at its replica when it was sent, with it */
	bool idempotent;
	bool extra;
	GList endpoint_link; /* in the endpoint's live ones */
	GList run_link;	     /* in the request's */
};

/* Another instance, as its entry tells of it. */
struct rr_gate_peer {
	char *id;
	char *zone;
	double strength;
	bool listed; /* among those that searches are handed to */
	bool holds;  /* connections to replicas of searches */
	char *address;
	int64_t born_ms;
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
	int64_t began_us;
	uint32_t instances; /* 0: not counted yet */
	/* struct rr_endpoint, referenced: newly listed, looked at by a tick. */
	GQueue to_open;
	double strength;
	GHashTable *peers;	/* id -> struct rr_gate_peer */
	bool peers_changed;	/* what follows from them is to be found anew */
	uint64_t peers_version; /* grows when it was */
	uint32_t n_holders;	/* instances that hold connections; 0: all */
	bool weak;		/* this one hands searches over */
	struct rr_gate_service *strong; /* those it hands them to */
	struct rr_route_table *table;
	int64_t table_since_us;
	struct rr_trail_budget log_budget;
	struct rr_trail_budget list_budget;
	/* Replicas that came, went or were retired and were not told singly. */
	uint32_t list_untold;
	struct rr_timers *timers;
	uint64_t next_id;
	GHashTable *services;	 /* name -> struct rr_gate_service */
	GPtrArray *zones;	 /* struct rr_gate_zone */
	GHashTable *evacuations; /* zone's name -> struct rr_evacuation */
	bool isolated; /* cut off from the other zones, see gate-zone.c */
	GHashTable *endpoints; /* id -> struct rr_endpoint, listed or of late */
	GHashTable *lifetimes; /* name -> struct rr_endpoint, the same ones */
	GHashTable *born;    /* id -> latest start told, see gate-lifetime.c */
	GHashTable *records; /* route's name -> struct rr_route_record */
	struct rr_quarantine *quarantine;
	GHashTable *runs;     /* id -> struct rr_gate_run */
	GHashTable *attempts; /* id -> struct rr_gate_attempt */
};

/* gate-list.c */
/* Tell in one line of how many replicas no line was written. */
void rr_tell_untold(struct rr_context *ctx, struct rr_gate *gate);
struct rr_gate_service *rr_gate_service_of(struct rr_gate *gate,
					   const char *name);
struct rr_endpoint *rr_keep_endpoint(struct rr_endpoint *endpoint);
void rr_drop_endpoint(struct rr_endpoint *endpoint);
void rr_free_gate_service(gpointer data);
/* Share the allowances of extra attempts anew. */
void rr_refresh_extras(struct rr_gate *gate);
/* New routes: which services are shards of searches, and share anew. */
void rr_mark_searched(struct rr_gate *gate);
/* What the routes in force say of a service; NULL: nothing. */
const struct rr_route_service *rr_service_in_force(const struct rr_gate *gate,
						   const char *name);
/* Connections to a replica of a service that are kept at rest. */
uint32_t rr_kept_connections(const struct rr_gate *gate, const char *name);
/* Make connections to replicas that were listed since the last tick. */
void rr_open_listed(struct rr_gate *gate);
/* It takes no new work any more. */
void rr_retire_endpoint(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_endpoint *endpoint, const char *reason);
void rr_expire_unlisted(struct rr_context *ctx, struct rr_gate *gate,
			uint64_t number);
/* Its lifetime is over: it is forgotten at once. */
void rr_end_endpoint(struct rr_context *ctx, struct rr_gate *gate,
		     const char *id, const char *reason);

/* gate-lifetime.c */
enum rr_lifetime {
	RR_LIFETIME_SAME,    /* what is told of the one that is known */
	RR_LIFETIME_OTHER,   /* another one takes its place */
	RR_LIFETIME_EARLIER, /* one that is over */
	RR_LIFETIME_UNTOLD,  /* does not say which, though its id did before */
};

/* What a listing is of; `endpoint` is the one known by its id, or NULL. */
enum rr_lifetime rr_judge_lifetime(const struct rr_gate *gate,
				   const struct rr_endpoint *endpoint,
				   const struct rr_listing *listing);
/* Remember when a lifetime started, longer than it is listed. */
void rr_note_born(struct rr_gate *gate, const struct rr_listing *listing);
/*
 * A name for a lifetime, for g_free(), unlike `before`, the name of the one
 * that it takes the place of (NULL: of none).
 */
char *rr_name_lifetime(const struct rr_listing *listing, uint64_t number,
		       const char *before);

/* gate-zone.c */
struct rr_gate_zone *rr_gate_zone_of(struct rr_gate *gate, const char *name);
void rr_free_gate_zone(gpointer data);
/* An attempt to a replica begins, ends, or was given up unanswered. */
void rr_note_begun(struct rr_gate *gate, struct rr_endpoint *endpoint);
void rr_note_ended(struct rr_gate *gate, struct rr_endpoint *endpoint);
void rr_note_given_up(struct rr_context *ctx, struct rr_gate *gate,
		      struct rr_endpoint *endpoint);
/* An attempt takes longer than most. */
void rr_note_overdue(struct rr_context *ctx, struct rr_gate *gate,
		     struct rr_endpoint *endpoint);
/* The replica gave any sign of life. */
void rr_note_alive(struct rr_context *ctx, struct rr_gate *gate,
		   struct rr_endpoint *endpoint);
/* An attempt was lost; a silent replica is probed from then on. */
void rr_note_lost(struct rr_context *ctx, struct rr_gate *gate,
		  struct rr_endpoint *endpoint, enum rr_loss loss);
void rr_fire_probe(struct rr_context *ctx, struct rr_gate *gate,
		   uint64_t number);
void rr_fire_zone_probe(struct rr_context *ctx, struct rr_gate *gate,
			uint64_t number, uint32_t watch);
/* Look anew at whether this instance is cut off. */
void rr_judge_isolation(struct rr_context *ctx, struct rr_gate *gate);

/* gate-evacuate.c */
/* Why a part was not sent: only evacuated zones have replicas of it. */
#define RR_ALL_EVACUATED "evacuated"
/* What is known of a zone's evacuation, whether it has replicas or not. */
struct rr_evacuation *rr_evacuation_of(struct rr_gate *gate, const char *zone);
/* Whether every replica of a service that could take work is evacuated. */
bool rr_is_service_evacuated(const struct rr_gate_service *service);
/*
 * Whether a replica is left out of this choice, as its zone was taken back a
 * moment ago and gets only a part of its work.
 */
bool rr_is_held_back(struct rr_context *ctx, const struct rr_gate *gate,
		     const struct rr_endpoint *endpoint);
/* gate-cold.c */
/* For how long a replica of a service is cold after a start. */
int64_t rr_cold_us(const struct rr_gate *gate,
		   const struct rr_gate_service *service);
/* Whether it may be cold: by its entry, or as its zone was evacuated. */
bool rr_is_cold(const struct rr_gate *gate, const struct rr_endpoint *endpoint);
/* Whether this instance may send a replica one more, should it be cold. */
bool rr_cold_takes_more(const struct rr_gate *gate,
			struct rr_endpoint *endpoint);
/* An attempt is sent to it. */
void rr_note_cold_sent(const struct rr_gate *gate,
		       struct rr_endpoint *endpoint);

/* gate-peer.c */
/*
 * The status that tells another instance that its search has not run and
 * would not do better elsewhere: replicas have no room, or were asked already.
 * Refused with 503, it is tried elsewhere.
 */
#define RR_NO_BETTER_ELSEWHERE 429
/* No service of routes is called so: names there have no blank. */
#define RR_STRONG_SERVICE "strong instances"
void rr_free_gate_peer(gpointer data);
/* Find out what follows from peers that changed, once for all of them. */
void rr_settle_peers(struct rr_context *ctx, struct rr_gate *gate);
/* Whether a request is handed over; it has its one part then. */
bool rr_hand_over(struct rr_gate *gate, struct rr_gate_run *run);
/* Instances among which replicas' connections are shared; 0: not known. */
uint32_t rr_count_holders(const struct rr_gate *gate);

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
				  const struct rr_gate_run *run,
				  const struct rr_gate_part *part,
				  struct rr_endpoint **chosen);
/* Whether it may be sent new work at all. */
bool rr_takes_work(const struct rr_gate *gate,
		   const struct rr_endpoint *endpoint);
/* Whether a replica that takes work has room for an attempt. */
bool rr_service_has_room(const struct rr_gate *gate,
			 const struct rr_gate_service *service);
/* Attempts that may be open at the replicas that take work, all together. */
uint32_t rr_service_capacity(const struct rr_gate *gate,
			     const struct rr_gate_service *service);
/* Whether a service has a replica that answers. */
bool rr_service_reachable(const struct rr_gate *gate,
			  const struct rr_gate_service *service);
int64_t rr_typical_us(const struct rr_gate *gate,
		      const struct rr_route_record *record,
		      const struct rr_route *route);

/* gate-attempt.c */
/*
 * Send a part to one more replica.  False if none can take it now; where one
 * only lacks room, the part waits for it.
 */
bool rr_try_part(struct rr_context *ctx, struct rr_gate *gate,
		 struct rr_gate_run *run, size_t part, const char *why);
void rr_fire_hedge(struct rr_context *ctx, struct rr_gate *gate, uint64_t id);
/* Out of all tables; the caller frees it. */
void rr_end_attempt(struct rr_gate *gate, struct rr_gate_attempt *attempt);
/* Keep a step of an attempt for the log; `status` 0: there is none. */
void rr_note_attempt(const struct rr_gate *gate, struct rr_gate_run *run,
		     const struct rr_gate_attempt *attempt,
		     enum rr_trail_kind kind, const char *reason,
		     uint32_t status);
/* End the other attempts of a part that has its answer. */
void rr_withdraw_losers(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_gate_run *run, size_t index);
/* Take back attempts that have not left: they were not run. */
void rr_recall_unsent(struct rr_context *ctx, struct rr_gate *gate,
		      struct rr_gate_run *run);
/* Withdraw the idempotent attempts of a request, except `kept` (or NULL). */
void rr_withdraw_others(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_gate_run *run,
			const struct rr_gate_attempt *kept, const char *reason);
/* The request is over, and with it its attempts. */
void rr_leave_attempts(struct rr_context *ctx, struct rr_gate *gate,
		       struct rr_gate_run *run);
void rr_free_attempt(gpointer data);
/* Try parts that wait for room at a service. */
void rr_pump_service(struct rr_context *ctx, struct rr_gate *gate,
		     struct rr_gate_service *service);
/* Try all that wait there once more; what can go nowhere is given up. */
void rr_flush_service(struct rr_context *ctx, struct rr_gate *gate,
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
	RR_NO_REPLICA, /* too few of its services have one that answers */
	RR_EVACUATED,  /* they would, but for zones that are evacuated */
	RR_NO_ROOM,    /* they answer, but more comes than they can do */
};

/*
 * Whether a request can be served by the replicas that answer now.  A search
 * that would most likely lack too many parts is turned away whole: the work
 * for its other parts would be done in vain.
 */
enum rr_admission rr_admit_run(const struct rr_gate *gate,
			       const struct rr_gate_run *run);
/*
 * A request that is taken earns extra attempts.  One that is refused earns
 * nothing: handed over, it may be refused by several, which all together
 * would earn more than one request may.
 */
void rr_earn_extras(struct rr_gate *gate, struct rr_gate_run *run);

/* gate-times.c */
/* From its caller's deadline, the route's timeout and objective. */
void rr_set_run_times(const struct rr_gate *gate, struct rr_gate_run *run,
		      const struct rr_gate_ask *ask);
/*
 * Until when another instance's answer is waited for: as long again as its
 * caller wants to wait.  Guards against requests that are held to their
 * deadline by an instance that is frozen.
 */
int64_t rr_hand_over_end_us(const struct rr_gate *gate,
			    const struct rr_gate_run *run);
/* When a caller is asked back that will wait for so long, drawn at random. */
uint32_t rr_draw_retry_ms(struct rr_context *ctx, const struct rr_gate *gate,
			  int64_t left_us);

/* gate-tell.c */
/* Why a part was not asked again: the budget of extra attempts is spent. */
#define RR_NO_EXTRA_LEFT "no-extra-left"
/* Log an attempt that was broken off by its replica. */
void rr_log_broken(struct rr_context *ctx, const struct rr_gate *gate,
		   const struct rr_gate_attempt *attempt);
/* Tell a request whole, or what it lacks, or its end only, or nothing. */
void rr_tell_answer(struct rr_context *ctx, struct rr_gate *gate,
		    struct rr_gate_run *run,
		    const struct rr_gate_answer *answer);

/* gate-quarantine.c */
enum rr_quarantine_step {
	RR_QUARANTINE_PASS,
	RR_QUARANTINE_WAITS,   /* for a claim; rr_start_run() follows */
	RR_QUARANTINE_REFUSED, /* answered and freed */
};

struct rr_quarantine *
rr_new_gate_quarantine(const struct rr_gate_policy *policy);
/* A replica closed an attempt's connection: probe the replica. */
void rr_note_closed(struct rr_context *ctx, struct rr_gate *gate,
		    const struct rr_gate_attempt *attempt);
/* The outcome of that probe.  May end requests. */
void rr_resolve_closed(struct rr_context *ctx, struct rr_gate *gate,
		       struct rr_endpoint *endpoint, bool reached);
/* A replica completed an attempt. */
void rr_note_completed(struct rr_context *ctx, struct rr_gate *gate,
		       const struct rr_gate_attempt *attempt);
/* Check a new request against the quarantine. */
enum rr_quarantine_step rr_look_up_quarantine(struct rr_context *ctx,
					      struct rr_gate *gate,
					      struct rr_gate_run *run);
/* The timeout of a claim, and the end of a request with a claim pending. */
void rr_fire_claim(struct rr_context *ctx, struct rr_gate *gate, uint64_t id);
void rr_forget_trial(struct rr_gate *gate, const struct rr_gate_run *run);
/* A request has ended: publish its record if that is due. */
void rr_publish_ended(struct rr_context *ctx, struct rr_gate *gate,
		      const struct rr_fingerprint *fingerprint);
/* Start a suspected request with one attempt.  False if it is not suspected. */
bool rr_start_canary(struct rr_context *ctx, struct rr_gate *gate,
		     struct rr_gate_run *run);
/* Send the next attempt, of any part.  Ends the request if none can be sent. */
void rr_send_canary(struct rr_context *ctx, struct rr_gate *gate,
		    struct rr_gate_run *run);
/*
 * Handle an attempt that was not answered.  True if its request continues as a
 * canary, or has ended.
 */
bool rr_continue_canary(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_gate_run *run);
/* An attempt of part `index` completed: send the other parts. */
void rr_end_canary(struct rr_context *ctx, struct rr_gate *gate,
		   struct rr_gate_run *run, size_t index);

/* gate-run.c */
/* Send a new request. */
void rr_start_run(struct rr_context *ctx, struct rr_gate *gate,
		  struct rr_gate_run *run);
/* Answer a request with a failure and free it. */
void rr_fail_run(struct rr_context *ctx, struct rr_gate *gate,
		 struct rr_gate_run *run, const char *reason);
/* What was handed over, and was not run there, is served here after all. */
void rr_take_back(struct rr_context *ctx, struct rr_gate *gate,
		  struct rr_gate_run *run);
/* Look at a request: answer it if it is time. */
void rr_advance_run(struct rr_context *ctx, struct rr_gate *gate,
		    struct rr_gate_run *run);
/* Answer with a status of ours. */
void rr_answer_own(struct rr_context *ctx, struct rr_gate *gate,
		   struct rr_gate_run *run, uint16_t status,
		   const char *reason);
void rr_forward_reply(struct rr_context *ctx, struct rr_gate *gate,
		      struct rr_gate_run *run,
		      const struct rr_gate_reply *reply);
void rr_take_part(struct rr_context *ctx, struct rr_gate *gate,
		  struct rr_gate_run *run, struct rr_gate_part *part,
		  const struct rr_gate_reply *reply);
/* Nothing more can come for a part. */
void rr_give_up_part(struct rr_gate_run *run, struct rr_gate_part *part);
void rr_free_run(gpointer data);
struct rr_gate_run *rr_find_run(const struct rr_gate *gate, uint64_t id);

#endif
