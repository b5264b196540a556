/*
 * query-private.h - a request in progress: its tasks (one for each shard),
 * their attempts and relays.
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
	/* in flight at the replica when sent, itself included */
	uint32_t in_flight;
	int64_t created_us;
	int64_t sent_us;
	GList *queue_link; /* link in the replica's queue; NULL once sent */
};

enum rr_task_status {
	RR_TASK_PENDING, /* to be started */
	RR_TASK_RUNNING, /* an attempt or a relay is in progress */
	RR_TASK_BACKOFF, /* waits for a retry timer */
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
	struct rr_outgoing_relay *relay; /* relay in progress; NULL: none */
	/* one bit per replica index: failed for this task */
	uint64_t tried_mask;
	/* one bit per replica index: does not hold the pinned version */
	uint64_t no_version_mask;
	bool needs_token;  /* its next start takes a retry token */
	bool outcome_sent; /* its outcome was sent to the peer */
	bool second_round; /* all replicas were tried once; second round */
	uint32_t n_starts;
	/* replica index named in the relay; RR_NO_REPLICA: none */
	size_t requested_replica;
	uint32_t attempts;    /* sent by this instance and reported by owners */
	uint32_t n_maybe_run; /* sent without proof of not run */
	GArray *covered_ranges; /* struct rr_key_range, for a peer's relay */
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
	uint32_t *row_indices; /* rows used (indices); NULL: all */
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
	/* answer mode "latency": the minimum is covered */
	bool coverage_reached;
	bool has_more;

	/* For a relay from a peer: the peer, and its query id. */
	char *origin;
	char *origin_address;
	uint64_t origin_incarnation;
	uint64_t origin_query_id;
	/* names (char *) of requested shards not known here */
	GPtrArray *unknown_shards;
	uint32_t row_limit;

	uint32_t pin_task; /* task whose reply sets the pin; RR_NO_TASK: none */
	uint32_t restarts;
	uint32_t retry_after_ms;
	/* Keys requested: [key_from, key_to). */
	uint64_t key_from;
	uint64_t key_to;
	int64_t started_us;
	int64_t deadline_us;
	uint64_t pin_version; /* 0: set by the first reply */
	uint64_t pin_epoch;

	struct rr_task *tasks;
	size_t n_tasks;
	/* indices of tasks to start (uint32_t), from pending_head on */
	GArray *pending_tasks;
	guint pending_head;
	uint32_t n_open;
	uint32_t n_covered;
	uint32_t n_maybe_run; /* sent without proof of not run */
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
	struct rr_cursor cursor; /* RR_LIST: position of the page */
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
/* Start pending tasks, flush relays, finish the query if no task is open. */
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
 * Free a query with its attempts without sending cancellations, when the core
 * is freed.
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

/* The keys that replies to a task must cover. */
struct rr_key_range rr_task_range(const struct rr_query *query,
				  const struct rr_task *task);

/* choose.c */
/*
 * Choose the replica of the task's shard to try next.
 *
 * Returns its index in the shard, or RR_NO_REPLICA with *reason set.  *retry_us
 * is the time from which a replica may be available again, INT64_MAX if waiting
 * does not help.
 */
size_t rr_choose_replica(struct rr_context *ctx, struct rr_core *core,
			 struct rr_query *query, uint32_t index,
			 enum rr_missing_reason *reason, int64_t *retry_us);
/* Eject a replica that is an outlier among the replicas of its service. */
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
/* Send queued attempts of a replica as far as its limit allows. */
void rr_dispatch_queued_attempts(struct rr_context *ctx, struct rr_core *core,
				 struct rr_replica *replica);
void rr_handle_reply(struct rr_context *ctx, struct rr_core *core,
		     const struct rr_reply *reply);
void rr_handle_attempt_timeout(struct rr_context *ctx, struct rr_core *core,
			       uint64_t attempt_id);
/* Return the queued attempts of a replica to their tasks. */
void rr_return_queued_attempts(struct rr_context *ctx, struct rr_core *core,
			       struct rr_replica *replica);

/* merge.c */
/* Whether every row's key is in one of the ranges. */
bool rr_rows_within(const struct rr_rows *rows,
		    const struct rr_key_range *ranges, size_t n_ranges);
/*
 * Intersect the ranges with the requested one.  Returns a new array of struct
 * rr_key_range, owned by the caller.
 */
GArray *rr_clip_ranges(const struct rr_key_range *ranges, size_t n_ranges,
		       struct rr_key_range requested);
/*
 * Merge the rows and ranges of a complete reply into the query.  Rows outside
 * the ranges are dropped; `all_within` says that there are none.
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
/* Return the version to pin for a new query; 0 if none is known. */
uint64_t rr_choose_pin(struct rr_context *ctx, struct rr_core *core,
		       struct rr_service *service, uint64_t *epoch,
		       size_t *n_shards);
void rr_pin_query(struct rr_context *ctx, struct rr_core *core,
		  struct rr_query *query, uint64_t version, uint64_t epoch,
		  const char *reason);
/*
 * Restart the query on a newer version; returns false if that is not allowed.
 */
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
/* Send no more shards of the query to this owner. */
void rr_exclude_owner(struct rr_query *query, const char *instance);
/* End a relay once outcomes for all of its shards have been received. */
void rr_end_relay_if_complete(struct rr_core *core,
			      struct rr_outgoing_relay *outgoing);
void rr_fail_relay(struct rr_context *ctx, struct rr_core *core, uint64_t id,
		   const char *reason);
/*
 * Handle a relay time-out: the relay is lost unless its owner was in contact
 * since.
 */
void rr_handle_relay_timeout(struct rr_context *ctx, struct rr_core *core,
			     uint64_t id);
/* Fail at once the relays to members that are dead. */
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
 * Send the outcomes known so far to the peer, as part of the shards are slow.
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
/* Answer the caller, or the requesting peer, exactly once. */
void rr_answer_query(struct rr_context *ctx, struct rr_core *core,
		     struct rr_query *query, enum rr_outcome outcome,
		     const char *reason);
/* Answer a request that never became a query. */
void rr_answer_rejected(struct rr_context *ctx, struct rr_core *core,
			const struct rr_request *request, uint64_t id,
			enum rr_outcome outcome, const char *reason,
			uint32_t retry_after_ms);

/* admission.c */
/*
 * Check whether a request can be admitted.  Returns NULL if it can; else the
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
 * Finish an at-most-once query that has no open tasks: record, release or
 * abandon its claim.
 */
void rr_finish_at_most_once(struct rr_context *ctx, struct rr_core *core,
			    struct rr_query *query);

/*
 * Answer at the deadline; attempts that were sent run until their outcome is
 * known.
 */
void rr_end_at_most_once_at_deadline(struct rr_context *ctx,
				     struct rr_core *core,
				     struct rr_query *query);
/* End a query whose outcome was not received: its claim is never released. */
void rr_end_lingering_query(struct rr_context *ctx, struct rr_core *core,
			    struct rr_query *query);
/*
 * Handle the disconnection of the caller: attempts that were sent run on, the
 * rest are cancelled.
 */
void rr_cancel_at_most_once(struct rr_context *ctx, struct rr_core *core,
			    struct rr_query *query);

/* list.c */
bool rr_begin_list(struct rr_context *ctx, struct rr_core *core,
		   struct rr_query *query, const char *cursor,
		   char **error_text);
/* Continue with the next shard after a task has ended, or answer the page. */
void rr_advance_list(struct rr_context *ctx, struct rr_core *core,
		     struct rr_query *query);
uint32_t rr_list_row_limit(const struct rr_query *query);
/* End the page after the last key received, as rows were omitted. */
void rr_end_list_page(struct rr_query *query, const struct rr_rows *rows);

#endif
