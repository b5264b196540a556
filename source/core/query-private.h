/*
 * query-private.h - a request under way: its tasks (one a shard), their
 * attempts and relays.
 */
#ifndef RAGWORT_CORE_QUERY_PRIVATE_H
#define RAGWORT_CORE_QUERY_PRIVATE_H

#include <glib.h>

#include "core/replica-private.h"
#include "ragwort/core.h"
#include "ragwort/wire.h"

#define RR_MAX_LIVE_ATTEMPTS 3 /* of one task: first, hedge, retry */
#define RR_NO_TASK UINT32_MAX
#define RR_NO_REPLICA SIZE_MAX

enum rr_attempt_status {
	RR_ATTEMPT_QUEUED, /* in a replica's queue: withdrawn for nothing */
	RR_ATTEMPT_SENT,
	RR_ATTEMPT_ENDED,
};

/* One try of a task at one replica. */
struct rr_live_attempt {
	uint64_t id;
	struct rr_query *query;
	uint32_t task;
	size_t replica_index; /* in the shard */
	struct rr_replica *replica;
	enum rr_attempt_status status;
	bool hedge;
	uint32_t in_flight; /* at the replica when it was sent, with it */
	int64_t created_us;
	int64_t sent_us;
	GList *queue_link; /* in the replica's queue while waiting */
};

enum rr_task_status {
	RR_TASK_PENDING, /* to be started */
	RR_TASK_RUNNING, /* attempts or a relay are out */
	RR_TASK_BACKOFF, /* waits for a retry timer */
	RR_TASK_COVERED,
	RR_TASK_FAILED,
};

/* One shard of a query. */
struct rr_task {
	uint32_t shard; /* index in the map */
	enum rr_task_status status;
	enum rr_missing_reason reason; /* the last failure's */
	struct rr_live_attempt *live[RR_MAX_LIVE_ATTEMPTS];
	uint32_t n_live;
	struct rr_outgoing_relay *relay; /* NULL: none out */
	uint64_t tried_mask;		 /* bit a replica index: failed here */
	uint64_t no_version_mask; /* bit a replica: does not hold the pin */
	bool needs_token;	  /* its next start is a retry */
	bool outcome_sent;	  /* its outcome went to the peer */
	bool second_round;	  /* all replicas were tried once */
	uint32_t n_starts;
	size_t requested_replica; /* by the peer's relay; RR_NO_REPLICA: none */
	uint32_t attempts;	  /* sent, own and as owners tell */
	uint32_t n_maybe_run;	  /* sent without proof of not run */
	GArray *covered_ranges;	  /* struct rr_key_range, for a peer's relay */
};

/* A relay sent to an owner. */
struct rr_outgoing_relay {
	uint64_t id;
	struct rr_query *query;
	char *instance;
	char *address;
	char *zone; /* of the replicas asked for */
	uint64_t incarnation;
	uint32_t row_limit;
	uint64_t version;
	int64_t sent_us;
	bool sent;
	GArray *tasks;	  /* uint32_t */
	GArray *replicas; /* size_t: index in the shard, beside tasks */
};

/* Rows of a complete reply. */
struct rr_row_block {
	struct rr_rows *rows;
	uint32_t *row_indices; /* indices taken; NULL: all */
	size_t n_rows;
};

enum rr_query_stage {
	RR_QUERY_CLAIMING, /* waits for the ledger */
	RR_QUERY_RUNNING,
	RR_QUERY_LINGERING, /* answered or left; an outcome is still out */
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

	bool at_most_once; /* goes by the ledger: at most one attempt in flight */
	bool cancelled;	   /* the caller left */
	bool answered;
	bool scheduled; /* in the core's list of queries to look at */
	bool claim_acquired;
	bool wants_restart;    /* a shard does not hold the pin */
	bool coverage_reached; /* latency first: enough is covered */
	bool has_more;

	/* Of a peer: who asked, and by which id of its. */
	char *origin;
	char *origin_address;
	uint64_t origin_incarnation;
	uint64_t origin_query_id;
	GPtrArray *unknown_shards; /* char *: asked for, not known here */
	uint32_t row_limit;

	uint32_t pin_task; /* the task that learns the pin; RR_NO_TASK */
	uint32_t restarts;
	uint32_t retry_after_ms;
	/* Keys asked for. */
	uint64_t key_from;
	uint64_t key_to;
	int64_t started_us;
	int64_t deadline_us;
	uint64_t pin_version; /* 0: to be learnt by the scout */
	uint64_t pin_epoch;

	struct rr_task *tasks;
	size_t n_tasks;
	GArray *pending_tasks; /* uint32_t: tasks to start, from idle_head on */
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

	GPtrArray *relays;	    /* struct rr_outgoing_relay, sent */
	GPtrArray *unsent_relays;   /* struct rr_outgoing_relay, being filled */
	GPtrArray *excluded_owners; /* char *: failed this query */

	uint64_t claim_id;	 /* 0: none */
	struct rr_cursor cursor; /* RR_LIST */
};

/* query.c */
struct rr_query *rr_new_query(struct rr_core *core, struct rr_service *service,
			      const struct rr_request *request);
struct rr_query *rr_find_query(struct rr_core *core, uint64_t id);
/* Make the tasks for the shards [first, first + n) of the map. */
void rr_add_tasks(struct rr_query *query, size_t first, size_t n);
/* Put a query on the list that is looked at when the event ends. */
void rr_schedule_query(struct rr_core *core, struct rr_query *query);
void rr_begin_query(struct rr_context *ctx, struct rr_core *core,
		    struct rr_query *query);
/* Start what is idle, flush relays, finish what has nothing open. */
void rr_advance_query(struct rr_context *ctx, struct rr_core *core,
		      struct rr_query *query);
void rr_end_query_at_deadline(struct rr_context *ctx, struct rr_core *core,
			      struct rr_query *query);
void rr_end_query_at_min_coverage(struct rr_context *ctx, struct rr_core *core,
				  struct rr_query *query);
/* Withdraw all that is out; it is freed when the event ends. */
void rr_end_query(struct rr_context *ctx, struct rr_core *core,
		  struct rr_query *query);
void rr_free_query(struct rr_core *core, struct rr_query *query);
/* Free it with all that is out, telling nobody: the core goes. */
void rr_discard_query(struct rr_core *core, struct rr_query *query);

/* task.c */
void rr_start_task(struct rr_context *ctx, struct rr_core *core,
		   struct rr_query *query, uint32_t index);
void rr_mark_task_covered(struct rr_core *core, struct rr_query *query,
			  uint32_t index);
void rr_mark_task_failed(struct rr_context *ctx, struct rr_core *core,
			 struct rr_query *query, uint32_t index,
			 enum rr_missing_reason reason);
/* A try of the task failed: try again, wait, or give it up. */
void rr_handle_task_failure(struct rr_context *ctx, struct rr_core *core,
			    struct rr_query *query, uint32_t index,
			    enum rr_missing_reason reason, bool proven);
void rr_enqueue_task(struct rr_query *query, uint32_t index);
/* Withdraw attempts and the part in a relay; the task is open no more. */
void rr_cancel_task_attempts(struct rr_context *ctx, struct rr_core *core,
			     struct rr_query *query, uint32_t index);

/* hedge.c */
void rr_set_hedge_timer(struct rr_core *core,
			const struct rr_live_attempt *attempt);
/* An attempt is slow: send a second one, or look again later. */
void rr_hedge_attempt(struct rr_context *ctx, struct rr_core *core,
		      struct rr_live_attempt *attempt);

/* The keys that a task's reply has to cover. */
struct rr_key_range rr_task_range(const struct rr_query *query,
				  const struct rr_task *task);

/* choose.c */
/*
 * The replica of the task's shard to try next, as an index; RR_NO_REPLICA
 * with the reason and, where waiting may help, the time in *retry_us.
 */
size_t rr_choose_replica(struct rr_context *ctx, struct rr_core *core,
			 struct rr_query *query, uint32_t index,
			 enum rr_missing_reason *reason, int64_t *retry_us);
/* Whether a replica is slow beyond its fellows, and is set aside for it. */
void rr_update_outlier_ejection(struct rr_context *ctx, struct rr_core *core,
				struct rr_replica *replica);

/* attempt.c */
void rr_queue_attempt(struct rr_context *ctx, struct rr_core *core,
		      struct rr_query *query, uint32_t task,
		      size_t replica_index, bool hedge);
void rr_cancel_live_attempt(struct rr_context *ctx, struct rr_core *core,
			    struct rr_live_attempt *attempt);
/* Free an attempt, telling nobody. */
void rr_discard_attempt(struct rr_core *core, struct rr_live_attempt *attempt);
/* Send what waits, as far as slots allow. */
void rr_dispatch_queued_attempts(struct rr_context *ctx, struct rr_core *core,
				 struct rr_replica *replica);
void rr_handle_reply(struct rr_context *ctx, struct rr_core *core,
		     const struct rr_reply *reply);
void rr_handle_attempt_timeout(struct rr_context *ctx, struct rr_core *core,
			       uint64_t attempt_id);
/* Return the waiting attempts of a replica to their tasks. */
void rr_return_queued_attempts(struct rr_context *ctx, struct rr_core *core,
			       struct rr_replica *replica);

/* merge.c */
/* Whether every row's key is in one of the ranges. */
bool rr_rows_within(const struct rr_rows *rows,
		    const struct rr_key_range *ranges, size_t n_ranges);
/* The parts of the ranges that were asked for: a new array. */
GArray *rr_clip_ranges(const struct rr_key_range *ranges, size_t n_ranges,
		       struct rr_key_range asked);
/*
 * Take a complete reply's rows and ranges into the query.  Rows outside the
 * ranges are left out; `all_within` says that there are none.
 */
void rr_merge_rows(struct rr_query *query, struct rr_rows *rows,
		   const struct rr_key_range *ranges, size_t n_ranges,
		   bool all_within, uint64_t version);
/* Rows in key order, at most `limit`: new array of struct rr_answer_row. */
GArray *rr_sorted_rows(const struct rr_query *query, size_t limit);
/* Forget the rows; what they cover stays. */
void rr_clear_row_blocks(struct rr_query *query);
void rr_clear_merge(struct rr_query *query);

/* snapshot.c */
/* The version to pin for a new query; 0 if none is known. */
uint64_t rr_choose_pin(struct rr_context *ctx, struct rr_core *core,
		       struct rr_service *service, uint64_t *epoch,
		       size_t *n_shards);
void rr_pin_query(struct rr_context *ctx, struct rr_core *core,
		  struct rr_query *query, uint64_t version, uint64_t epoch,
		  const char *reason);
/* Begin anew on a newer version; false if that is not allowed. */
bool rr_restart_query(struct rr_context *ctx, struct rr_core *core,
		      struct rr_query *query);

/* relay.c: at the instance that asks */
/* Whether an owner of the replica can be sent a relay for the query. */
bool rr_is_replica_reachable(struct rr_core *core, const struct rr_query *query,
			     struct rr_replica *replica);
void rr_add_task_to_relay(struct rr_context *ctx, struct rr_core *core,
			  struct rr_query *query, uint32_t task,
			  size_t replica_index);
void rr_flush_relays(struct rr_context *ctx, struct rr_core *core,
		     struct rr_query *query);
/* Why a shard lacks whose relay had no reply by the deadline. */
enum rr_missing_reason
rr_unanswered_relay_reason(const struct rr_core *core,
			   const struct rr_outgoing_relay *run);
/* Send the query's shards to this owner no more. */
void rr_exclude_owner(struct rr_query *query, const char *instance);
/* A reply was taken: the relay ends once it has told of every shard. */
void rr_end_relay_if_complete(struct rr_core *core,
			      struct rr_outgoing_relay *run);
void rr_fail_relay(struct rr_context *ctx, struct rr_core *core, uint64_t id,
		   const char *why);
/* Lost, unless its owner was heard since. */
void rr_handle_relay_timeout(struct rr_context *ctx, struct rr_core *core,
			     uint64_t id);
/* Relays to members that are gone fail at once. */
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
/* Part of the shards are slow: tell the peer what is covered so far. */
void rr_send_relay_progress(struct rr_context *ctx, struct rr_core *core,
			    struct rr_query *query);
void rr_send_relay_reply(struct rr_context *ctx, struct rr_core *core,
			 struct rr_query *query);

/* answer.c */
/* Fill in what every answer tells and hand it out, exactly once. */
void rr_deliver_answer(struct rr_context *ctx, struct rr_core *core,
		       struct rr_query *query, struct rr_answer *answer);
/* Answer the caller, or the peer that asked, exactly once. */
void rr_answer_query(struct rr_context *ctx, struct rr_core *core,
		     struct rr_query *query, enum rr_outcome outcome,
		     const char *reason);
/* Answer a request that never became a query. */
void rr_answer_rejected(struct rr_context *ctx, struct rr_core *core,
			const struct rr_request *request, uint64_t id,
			enum rr_outcome outcome, const char *reason,
			uint32_t retry_after_ms);

/* admission.c */
/* NULL: taken; else a word for why not, with *retry_after_ms. */
const char *rr_check_query_admission(struct rr_core *core,
				     struct rr_service *service,
				     enum rr_priority priority,
				     uint32_t deadline_ms,
				     uint32_t *retry_after_ms);

/* reserve.c */
void rr_claim_query(struct rr_context *ctx, struct rr_core *core,
		    struct rr_query *query, int64_t wall_us);
/* Settle the claim of a guarded query that has nothing open any more. */
void rr_finish_at_most_once(struct rr_context *ctx, struct rr_core *core,
			    struct rr_query *query);

/* Answer at the deadline; what was sent runs on to its outcome. */
void rr_end_at_most_once_at_deadline(struct rr_context *ctx,
				     struct rr_core *core,
				     struct rr_query *query);
/* The outcome did not come: the claim stays held for good. */
void rr_end_lingering_query(struct rr_context *ctx, struct rr_core *core,
			    struct rr_query *query);
/* The caller left: what was sent runs on, the rest is withdrawn. */
void rr_cancel_at_most_once(struct rr_context *ctx, struct rr_core *core,
			    struct rr_query *query);

/* list.c */
bool rr_begin_list(struct rr_context *ctx, struct rr_core *core,
		   struct rr_query *query, const char *cursor, char **fault);
/* After a task settled: go on to the next shard or answer the page. */
void rr_advance_list(struct rr_context *ctx, struct rr_core *core,
		     struct rr_query *query);
uint32_t rr_list_row_limit(const struct rr_query *query);
/* Rows were cut: the page ends with the last key that came. */
void rr_end_list_page(struct rr_query *query, const struct rr_rows *rows);

#endif
