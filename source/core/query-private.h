/*
 * query-private.h - a request in progress: its tasks (one for each shard),
 * their attempts and relays.
 *
 * Attempts are sent to replicas that this instance owns.  For other replicas a
 * relay asks an owner, another instance, to run the tasks.
 */
#ifndef RAGWORT_CORE_QUERY_PRIVATE_H
#define RAGWORT_CORE_QUERY_PRIVATE_H

#include <glib.h>

#include "core/replica-private.h"
#include "ragwort/core.h"
#include "ragwort/wire.h"

#define RR_MAX_LIVE_ATTEMPTS 3 /* of one task: first, hedge and retry */
#define RR_NO_TASK UINT32_MAX
#define RR_NO_REPLICA SIZE_MAX

enum rr_attempt_status {
	RR_ATTEMPT_QUEUED, /* in a replica's queue, not sent */
	RR_ATTEMPT_SENT,
	RR_ATTEMPT_ENDED,
};

/* One attempt of a task at one replica. */
struct rr_live_attempt {
	uint64_t id;
	struct rr_query *query;
	uint32_t task;
	size_t replica_index; /* index in the shard */
	struct rr_replica *replica;
	enum rr_attempt_status status;
	bool hedge;
	/*
	 * this instance's attempts in flight at the replica when this one was
	 * sent, itself included
	 */
	uint32_t in_flight;
	int64_t created_us;
	int64_t sent_us;
	GList *queue_link; /* link in the replica's queue; NULL once sent */
};

enum rr_task_status {
	RR_TASK_PENDING, /* to be started */
	RR_TASK_RUNNING, /* an attempt or a relay is in progress */
	RR_TASK_BACKOFF, /* waits for a retry timer */
	/* replies cover all of its keys, or its reservation ran */
	RR_TASK_COVERED,
	RR_TASK_FAILED,
};

/* The part of a query for one shard. */
struct rr_task {
	uint32_t shard; /* index in the map */
	enum rr_task_status status;
	enum rr_missing_reason reason; /* of the last failure */
	struct rr_live_attempt *live[RR_MAX_LIVE_ATTEMPTS];
	uint32_t n_live;
	/* relay in progress that includes this task; NULL: none */
	struct rr_outgoing_relay *relay;
	/* one bit per replica index: an attempt of this task failed there */
	uint64_t tried_mask;
	/* one bit per replica index: does not hold the pinned version */
	uint64_t no_version_mask;
	bool needs_token;  /* its next start takes a retry token */
	bool outcome_sent; /* its outcome was sent to the peer */
	/* all replicas were tried once; they are tried a second time */
	bool second_round;
	uint32_t n_starts;
	/*
	 * for a relay from a peer: index of the replica that it asks for;
	 * RR_NO_REPLICA: none
	 */
	size_t requested_replica;
	uint32_t attempts; /* sent by this instance and reported by owners */
	/* attempts and relays sent that no reply proves not to have run */
	uint32_t n_maybe_run;
	/*
	 * struct rr_key_range: keys covered so far, kept only for a relay from
	 * a peer
	 */
	GArray *covered_ranges;
};

/* A relay sent, or to be sent, to an owner. */
struct rr_outgoing_relay {
	uint64_t id;
	struct rr_query *query;
	char *instance;
	char *address;
	char *zone; /* zone of the replicas */
	uint64_t incarnation;
	uint32_t row_limit;
	uint64_t version;
	int64_t sent_us;
	bool sent;
	GArray *tasks; /* indices of tasks (uint32_t) */
	/* replica index in the shard (size_t) for each task */
	GArray *replicas;
};

/* Rows of a complete reply. */
struct rr_row_block {
	struct rr_rows *rows;
	uint32_t *row_indices; /* indices of the rows used; NULL: all rows */
	size_t n_rows;
};

enum rr_query_stage {
	RR_QUERY_CLAIMING, /* waiting for the ledger */
	RR_QUERY_RUNNING,
	RR_QUERY_LINGERING, /* answered or cancelled; an outcome is pending */
	RR_QUERY_DONE,
};

struct rr_query {
	uint64_t id;
	enum rr_query_stage stage;
	enum rr_request_kind kind;
	enum rr_priority priority;
	uint32_t max_rows;
	char *request_id;
	char *body;
	char *idempotency_key;
	uint64_t key;
	struct rr_service *service;
	struct rr_service_map *map;

	/* claimed in the ledger; at most one attempt in flight */
	bool at_most_once;
	bool cancelled; /* the caller disconnected or cancelled */
	bool answered;
	bool scheduled; /* in the core's list of queries to advance */
	bool claim_acquired;
	bool wants_restart; /* a shard does not hold the pinned version */
	/* answer mode "latency": the minimum coverage is reached */
	bool coverage_reached;
	bool has_more;

	/* For a relay from a peer: the peer, and its query id. */
	char *origin;
	char *origin_address;
	uint64_t origin_incarnation;
	uint64_t origin_query_id;
	/*
	 * names (char *) of shards that the relay asks for but that are not in
	 * the configuration of this instance
	 */
	GPtrArray *unknown_shards;
	uint32_t row_limit;

	/* task whose reply sets pin_version; RR_NO_TASK: none */
	uint32_t pin_task;
	uint32_t restarts;
	uint32_t retry_after_ms;
	/* Keys requested: [key_from, key_to). */
	uint64_t key_from;
	uint64_t key_to;
	int64_t started_us;
	int64_t deadline_us;
	/*
	 * index version that every reply must have; 0: not chosen yet, the
	 * first reply sets it
	 */
	uint64_t pin_version;
	uint64_t pin_epoch;

	struct rr_task *tasks;
	size_t n_tasks;
	/* indices of tasks to start (uint32_t), from pending_head on */
	GArray *pending_tasks;
	guint pending_head;
	uint32_t n_open;
	uint32_t n_covered;
	/* attempts and relays sent that no reply proves not to have run */
	uint32_t n_maybe_run;
	uint32_t attempts;

	struct rr_coverage *coverage;
	GArray *row_blocks; /* struct rr_row_block */
	size_t n_rows;
	char *result;
	uint64_t result_version;

	GPtrArray *relays;	  /* struct rr_outgoing_relay: sent */
	GPtrArray *unsent_relays; /* struct rr_outgoing_relay: being filled */
	/* names (char *) of owners that failed this query */
	GPtrArray *excluded_owners;

	uint64_t claim_id;	 /* 0: no claim */
	struct rr_cursor cursor; /* RR_LIST: where the page starts */
};

/* query.c */
struct rr_query *rr_new_query(struct rr_core *core, struct rr_service *service,
			      const struct rr_request *request);
struct rr_query *rr_find_query(struct rr_core *core, uint64_t id);
/* Add tasks for the shards [first, first + n) of the map. */
void rr_add_tasks(struct rr_query *query, size_t first, size_t n);
/* Schedule a query to be advanced at the end of the event. */
void rr_schedule_query(struct rr_core *core, struct rr_query *query);
void rr_begin_query(struct rr_context *ctx, struct rr_core *core,
		    struct rr_query *query);
/* Start pending tasks, send relays, and finish the query if no task is open. */
void rr_advance_query(struct rr_context *ctx, struct rr_core *core,
		      struct rr_query *query);
void rr_end_query_at_deadline(struct rr_context *ctx, struct rr_core *core,
			      struct rr_query *query);
void rr_end_query_at_min_coverage(struct rr_context *ctx, struct rr_core *core,
				  struct rr_query *query);
/*
 * Cancel all attempts and relays of a query.  It is freed at the end of the
 * event.
 */
void rr_end_query(struct rr_context *ctx, struct rr_core *core,
		  struct rr_query *query);
void rr_free_query(struct rr_core *core, struct rr_query *query);
/*
 * Free a query and its attempts without sending cancellations; used when the
 * core is freed.
 */
void rr_discard_query(struct rr_core *core, struct rr_query *query);

/* task.c */
void rr_start_task(struct rr_context *ctx, struct rr_core *core,
		   struct rr_query *query, uint32_t index);
void rr_mark_task_covered(struct rr_core *core, struct rr_query *query,
			  uint32_t index);
void rr_mark_task_failed(struct rr_context *ctx, struct rr_core *core,
			 struct rr_query *query, uint32_t index,
			 enum rr_missing_reason reason);
/*
 * Handle a failed attempt or relay of a task: retry at once, retry later, or
 * fail the task.  `proven` says that the attempt certainly did not run.
 */
void rr_handle_task_failure(struct rr_context *ctx, struct rr_core *core,
			    struct rr_query *query, uint32_t index,
			    enum rr_missing_reason reason, bool proven);
void rr_enqueue_task(struct rr_query *query, uint32_t index);
/* Cancel the attempts of a task and remove it from its relay. */
void rr_cancel_task_attempts(struct rr_context *ctx, struct rr_core *core,
			     struct rr_query *query, uint32_t index);

/* hedge.c */
void rr_set_hedge_timer(struct rr_core *core,
			const struct rr_live_attempt *attempt);
/* Hedge a slow attempt, or check it again later. */
void rr_hedge_attempt(struct rr_context *ctx, struct rr_core *core,
		      struct rr_live_attempt *attempt);

/* Return the keys that replies to a task must cover (in task.c). */
struct rr_key_range rr_task_range(const struct rr_query *query,
				  const struct rr_task *task);

/* choose.c */
/*
 * Choose the replica of the task's shard to try next.
 *
 * Return its index in the shard, or RR_NO_REPLICA with *reason set.  *retry_us
 * is the time from which a replica may be available again, INT64_MAX if waiting
 * does not help.
 */
size_t rr_choose_replica(struct rr_context *ctx, struct rr_core *core,
			 struct rr_query *query, uint32_t index,
			 enum rr_missing_reason *reason, int64_t *retry_us);
/*
 * Eject the replica for some time if its losses or its latency make it an
 * outlier among the replicas of its service and not too many are ejected.
 */
void rr_update_outlier_ejection(struct rr_context *ctx, struct rr_core *core,
				struct rr_replica *replica);

/* attempt.c */
void rr_queue_attempt(struct rr_context *ctx, struct rr_core *core,
		      struct rr_query *query, uint32_t task,
		      size_t replica_index, bool hedge);
void rr_cancel_live_attempt(struct rr_context *ctx, struct rr_core *core,
			    struct rr_live_attempt *attempt);
/* Free an attempt without cancelling it at the replica. */
void rr_discard_attempt(struct rr_core *core, struct rr_live_attempt *attempt);
/*
 * Send queued attempts to a replica as far as its limit allows; if nothing may
 * be sent to it now, return them to their tasks.
 */
void rr_dispatch_queued_attempts(struct rr_context *ctx, struct rr_core *core,
				 struct rr_replica *replica);
void rr_handle_reply(struct rr_context *ctx, struct rr_core *core,
		     const struct rr_reply *reply);
void rr_handle_attempt_timeout(struct rr_context *ctx, struct rr_core *core,
			       uint64_t attempt_id);
/* End the queued attempts of a replica; their tasks choose a replica again. */
void rr_return_queued_attempts(struct rr_context *ctx, struct rr_core *core,
			       struct rr_replica *replica);

/* merge.c */
/* Whether every row's key is in one of the ranges. */
bool rr_rows_within(const struct rr_rows *rows,
		    const struct rr_key_range *ranges, size_t n_ranges);
/*
 * Intersect the ranges with the requested one.  Return a new array of struct
 * rr_key_range, owned by the caller.
 */
GArray *rr_clip_ranges(const struct rr_key_range *ranges, size_t n_ranges,
		       struct rr_key_range requested);
/*
 * Merge the rows and ranges of a complete reply into the query.  Rows outside
 * the ranges are dropped, as are rows of keys that an earlier reply has
 * covered.  `all_within` must be false if any row is outside the ranges.
 */
void rr_merge_rows(struct rr_query *query, struct rr_rows *rows,
		   const struct rr_key_range *ranges, size_t n_ranges,
		   bool all_within, uint64_t version);
/*
 * Return at most `limit` rows in key order, as a new array of struct
 * rr_answer_row owned by the caller.
 */
GArray *rr_sorted_rows(const struct rr_query *query, size_t limit);
/* Drop the rows merged so far; the coverage is kept. */
void rr_clear_row_blocks(struct rr_query *query);
void rr_clear_merge(struct rr_query *query);

/* snapshot.c */
/*
 * Return the index version to pin a query to, 0 if none is known, with its map
 * epoch and the number of shards known to hold it.
 */
uint64_t rr_choose_pin(struct rr_context *ctx, struct rr_core *core,
		       struct rr_service *service, uint64_t *epoch,
		       size_t *n_shards);
void rr_pin_query(struct rr_context *ctx, struct rr_core *core,
		  struct rr_query *query, uint64_t version, uint64_t epoch,
		  const char *reason);
/* Restart the query on a newer version; return false if that is not allowed. */
bool rr_restart_query(struct rr_context *ctx, struct rr_core *core,
		      struct rr_query *query);

/* relay.c: at the requesting instance */
/* Whether a relay for the query can be sent to an owner of the replica. */
bool rr_is_replica_reachable(struct rr_core *core, const struct rr_query *query,
			     struct rr_replica *replica);
void rr_add_task_to_relay(struct rr_context *ctx, struct rr_core *core,
			  struct rr_query *query, uint32_t task,
			  size_t replica_index);
void rr_flush_relays(struct rr_context *ctx, struct rr_core *core,
		     struct rr_query *query);
/* Return the reason for a shard whose relay had no reply by the deadline. */
enum rr_missing_reason
rr_unanswered_relay_reason(const struct rr_core *core,
			   const struct rr_outgoing_relay *outgoing);
/* Send no more relays for the query to this owner. */
void rr_exclude_owner(struct rr_query *query, const char *instance);
/* End a relay once outcomes for all of its shards have been received. */
void rr_end_relay_if_complete(struct rr_core *core,
			      struct rr_outgoing_relay *outgoing);
void rr_fail_relay(struct rr_context *ctx, struct rr_core *core, uint64_t id,
		   const char *reason);
/*
 * Handle the timeout of a relay: wait on if a message from its owner has
 * arrived since the relay was sent, else fail the relay.
 */
void rr_handle_relay_timeout(struct rr_context *ctx, struct rr_core *core,
			     uint64_t id);
/* Fail relays to dead members at once, without waiting for their timeout. */
void rr_fail_relays_to_dead(struct rr_context *ctx, struct rr_core *core);
void rr_cancel_relays(struct rr_context *ctx, struct rr_core *core,
		      struct rr_query *query);

/* relay-reply.c */
void rr_handle_relay_reply(struct rr_context *ctx, struct rr_core *core,
			   const struct rr_peer_message *message);

/* relay-serve.c: at the owner */
void rr_remove_relay_origin(struct rr_core *core, const struct rr_query *query);
void rr_handle_relay(struct rr_context *ctx, struct rr_core *core,
		     const struct rr_peer_message *message);
void rr_handle_relay_cancel(struct rr_context *ctx, struct rr_core *core,
			    const struct rr_peer_message *message);
/*
 * Send the outcomes known so far to the peer, because some of the shards are
 * slow.
 */
void rr_send_relay_progress(struct rr_context *ctx, struct rr_core *core,
			    struct rr_query *query);
void rr_send_relay_reply(struct rr_context *ctx, struct rr_core *core,
			 struct rr_query *query);

/* answer.c */
/*
 * Fill in the fields that all answers have and send the answer, exactly once.
 */
void rr_deliver_answer(struct rr_context *ctx, struct rr_core *core,
		       struct rr_query *query, struct rr_answer *answer);
/*
 * Answer the caller with the rows merged so far, exactly once, and end the
 * query.
 */
void rr_answer_query(struct rr_context *ctx, struct rr_core *core,
		     struct rr_query *query, enum rr_outcome outcome,
		     const char *reason);
/* Answer a request that was rejected before a query was created for it. */
void rr_answer_rejected_request(struct rr_context *ctx, struct rr_core *core,
				const struct rr_request *request, uint64_t id,
				enum rr_outcome outcome, const char *reason,
				uint32_t retry_after_ms);

/* admission.c */
/*
 * Check whether a request can be admitted.  Return NULL if it can; else the
 * reason (a static string), with *retry_after_ms set.
 */
const char *rr_check_query_admission(struct rr_core *core,
				     struct rr_service *service,
				     enum rr_priority priority,
				     uint32_t deadline_ms,
				     uint32_t *retry_after_ms);

/* reserve.c */
void rr_claim_query(struct rr_context *ctx, struct rr_core *core,
		    struct rr_query *query, int64_t wall_us);
/*
 * Finish an at-most-once query that has no open tasks: record its result,
 * release its claim if nothing ran or abandon it if something may have run, and
 * answer if that has not been done.
 */
void rr_finish_at_most_once(struct rr_context *ctx, struct rr_core *core,
			    struct rr_query *query);

/*
 * Answer an at-most-once query at its deadline; attempts that were sent run
 * until their outcome is known.
 */
void rr_end_at_most_once_at_deadline(struct rr_context *ctx,
				     struct rr_core *core,
				     struct rr_query *query);
/*
 * End a query whose outcome was not received while it lingered.  Its claim is
 * not released, as the request may have run.
 */
void rr_end_lingering_query(struct rr_context *ctx, struct rr_core *core,
			    struct rr_query *query);
/*
 * Handle the disconnection of the caller of an at-most-once query: attempts
 * that were sent run on, the rest are cancelled.
 */
void rr_cancel_at_most_once(struct rr_context *ctx, struct rr_core *core,
			    struct rr_query *query);

/* list.c */
/*
 * Prepare a list query from its cursor (NULL: first page).  Return false with
 * *error_text set, to be freed by the caller, if the cursor is invalid.
 */
bool rr_begin_list(struct rr_context *ctx, struct rr_core *core,
		   struct rr_query *query, const char *cursor,
		   char **error_text);
/* Continue with the next shard after a task has ended, or answer the page. */
void rr_advance_list(struct rr_context *ctx, struct rr_core *core,
		     struct rr_query *query);
/* Return the number of rows to ask of the next shard of a page. */
uint32_t rr_list_row_limit(const struct rr_query *query);
/* End the page after the last key received, as rows were omitted. */
void rr_end_list_page(struct rr_query *query, const struct rr_rows *rows);

#endif
