/*
 * replica.c - state of replicas as this instance knows it.
 *
 * Outcomes of this instance's own attempts take precedence over reports by
 * others.
 */
#include "core/core-private.h"

#include <string.h>

/* Weight of a new sample in the latency estimate. */
#define LATENCY_WEIGHT 0.125
/*
 * Cap on a sample in the latency estimate, in median latencies of the service.
 */
#define MAX_SAMPLE_MEDIANS 5.0
/*
 * A report that a replica is down is ignored if the replica completed an
 * attempt within this time.
 */
#define RECENT_REPLY_US (2 * G_USEC_PER_SEC)
/*
 * Consecutive polls answered "ready" that end a drain.  One is not enough: its
 * reply may have been delayed and be from before the drain.
 */
#define READY_POLLS 2
/*
 * Time after which an instance that does not poll a replica ignores its drain,
 * as no poll would tell it that the drain has ended.
 */
#define DRAIN_EXPIRY_US (60 * G_USEC_PER_SEC)
/*
 * Factor on the limit of attempts in flight after a loss, or a rejection as
 * overloaded.
 */
#define LIMIT_SHRINK_FACTOR 0.7
/* Used if a reply that rejects an attempt as overloaded has no retry time. */
#define DEFAULT_SHED_RETRY_MS 50

struct rr_replica *rr_keep_replica(struct rr_replica *replica)
{
	replica->refs++;
	return replica;
}

void rr_drop_replica(struct rr_replica *replica)
{
	if (!replica || --replica->refs > 0)
		return;
	g_free(replica->id);
	g_free(replica->zone);
	g_free(replica->address);
	g_free(replica);
}

struct rr_replica *rr_find_replica(struct rr_core *core, const char *id)
{
	return id ? g_hash_table_lookup(core->replicas, id) : NULL;
}

struct rr_replica *rr_find_replica_by_number(struct rr_core *core,
					     uint64_t number)
{
	return g_hash_table_lookup(core->replicas_by_number, &number);
}

struct rr_replica *rr_add_replica(struct rr_context *ctx, struct rr_core *core,
				  struct rr_service *service,
				  const struct rr_replica_config *config)
{
	struct rr_replica *replica = g_new0(struct rr_replica, 1);

	replica->refs = 1;
	replica->number = ++core->next_replica_number;
	replica->id = g_strdup(config->id);
	replica->zone = g_strdup(config->zone);
	replica->address = g_strdup(config->address);
	replica->service = service;
	replica->reported_load = -1;
	for (int i = 0; i < RR_PRIORITY_COUNT; i++)
		g_queue_init(&replica->queues[i]);
	g_hash_table_insert(core->replicas, replica->id, replica);
	g_hash_table_insert(core->replicas_by_number, &replica->number,
			    replica);
	return replica;
}

void rr_retire_replica(struct rr_core *core, struct rr_replica *replica)
{
	replica->shard = NULL;
	replica->owned = false;
	if (g_hash_table_lookup(core->replicas, replica->id) == replica)
		g_hash_table_remove(core->replicas, replica->id);
	g_hash_table_remove(core->replicas_by_number, &replica->number);
	rr_drop_replica(replica);
}

void rr_update_replica_versions(const struct rr_core *core,
				struct rr_replica *replica, uint64_t oldest,
				uint64_t newest, uint64_t epoch)
{
	if (!newest || oldest > newest)
		return;
	replica->versions_updated_us = core->now_us;
	if (replica->oldest_version == oldest &&
	    replica->newest_version == newest && replica->map_epoch == epoch)
		return;
	replica->oldest_version = oldest;
	replica->newest_version = newest;
	replica->map_epoch = epoch;
	replica->service->change_count++;
}

static void begin_drain(struct rr_context *ctx, struct rr_core *core,
			struct rr_replica *replica, const char *source)
{
#ifdef RR_MUTANT_DRAIN_IGNORED
	return;
#endif
	replica->ready_polls = 0;
	replica->state = RR_UPSTREAM_DRAINING;
	if (replica->draining_since_us)
		return;
	replica->draining_since_us = core->now_us;
	rr_log(ctx, RR_LOG_DECISION, "replica-draining",
	       RR_FIELD_STRING("replica", replica->id),
	       RR_FIELD_STRING("reason", source));
	rr_return_queued_attempts(ctx, core, replica);
}

static void set_down(struct rr_context *ctx, struct rr_core *core,
		     struct rr_replica *replica, const char *source)
{
	if (replica->state == RR_UPSTREAM_DOWN)
		return;
	/*
	 * Reports may be late or wrong: if a replica answers attempts, a report
	 * that it is down would remove a healthy replica.
	 */
	if (replica->last_success_us &&
	    core->now_us - replica->last_success_us < RECENT_REPLY_US)
		return;
	replica->state = RR_UPSTREAM_DOWN;
	rr_log(ctx, RR_LOG_DECISION, "replica-down",
	       RR_FIELD_STRING("replica", replica->id),
	       RR_FIELD_STRING("reason", source));
	rr_return_queued_attempts(ctx, core, replica);
}

/*
 * Start a replica again with a low limit: its earlier samples say nothing about
 * its present capacity.
 */
static void reset_estimates(struct rr_replica *replica)
{
	replica->samples = 0;
	replica->consecutive_losses = 0;
	replica->ejected_until_us = 0;
	rr_reset_limit(&replica->limit, rr_slot_share(replica));
}

bool rr_update_replica_start_time(struct rr_context *ctx,
				  struct rr_replica *replica,
				  int64_t started_ms)
{
	bool is_later = started_ms > replica->started_ms;

	if (started_ms < replica->started_ms)
		return false;
	/*
	 * The first start time that is reported may be that of the incarnation
	 * already in use, so it resets nothing.
	 */
	if (is_later && replica->started_ms) {
		reset_estimates(replica);
		replica->draining_since_us = 0;
		replica->ready_polls = 0;
		replica->oldest_version = 0;
		replica->newest_version = 0;
		replica->map_epoch = 0;
		replica->state = RR_UPSTREAM_UNKNOWN;
		rr_log(ctx, RR_LOG_DECISION, "replica-born",
		       RR_FIELD_STRING("replica", replica->id),
		       RR_FIELD_I64("born_ms", started_ms),
		       RR_FIELD_I64("before_ms", replica->started_ms));
	}
	replica->started_ms = started_ms;
	return true;
}

/*
 * Mark a replica ready.  A drain ends only by the replica's own health replies,
 * READY_POLLS of them to polls sent after the drain was reported.  An owned
 * replica that was down becomes ready only by its own health replies or replies
 * to attempts, not by a report.
 */
static void set_ready(struct rr_context *ctx, struct rr_core *core,
		      struct rr_replica *replica, enum rr_upstream_state state,
		      const char *source)
{
	bool health = !strcmp(source, "health");
	bool was_unavailable = replica->state == RR_UPSTREAM_DOWN;

	if (replica->draining_since_us) {
		if (!health ||
		    replica->poll_sent_us <= replica->draining_since_us)
			return;
		if (++replica->ready_polls < READY_POLLS)
			return;
		replica->draining_since_us = 0;
		was_unavailable = true;
	}
	if (was_unavailable && !health && strcmp(source, "reply") &&
	    replica->owned)
		return;
	replica->state = state;
	if (!was_unavailable)
		return;
	reset_estimates(replica);
	rr_log(ctx, RR_LOG_DECISION, "replica-back",
	       RR_FIELD_STRING("replica", replica->id),
	       RR_FIELD_STRING("reason", source));
}

void rr_update_replica_state(struct rr_context *ctx, struct rr_core *core,
			     struct rr_replica *replica,
			     enum rr_upstream_state state, const char *source)
{
	enum rr_upstream_state before = replica->state;

	switch (state) {
	case RR_UPSTREAM_UNKNOWN:
		return;
	case RR_UPSTREAM_DRAINING:
		begin_drain(ctx, core, replica, source);
		break;
	case RR_UPSTREAM_DOWN:
		if (!replica->draining_since_us)
			set_down(ctx, core, replica, source);
		break;
	case RR_UPSTREAM_READY:
	case RR_UPSTREAM_COLD:
		set_ready(ctx, core, replica, state, source);
		break;
	}
	if (replica->state != before)
		replica->service->change_count++;
}

/*
 * Add a sample to the latency estimate.  Guards against the ejection of a
 * replica for one or two attempts that were slow by chance: a sample is capped
 * at a few medians, so that only many consecutive slow ones move the estimate
 * far.
 */
static void add_latency_sample(struct rr_replica *replica, double took_us)
{
	double median_us = (double)rr_sketch_quantile_us(
		&replica->service->latencies, 0.5);

	if (median_us > 0)
		took_us = MIN(took_us, MAX_SAMPLE_MEDIANS * median_us);
	if (!replica->samples++)
		replica->latency_us = took_us;
	replica->latency_us += LATENCY_WEIGHT * (took_us - replica->latency_us);
}

void rr_record_success(struct rr_context *ctx, struct rr_core *core,
		       struct rr_replica *replica, int64_t took_us,
		       uint32_t in_flight)
{
	replica->last_success_us = core->now_us;
	replica->consecutive_losses = 0;
	add_latency_sample(replica, (double)MAX(1, took_us));
	rr_adapt_replica_limit(replica, took_us, in_flight);
	rr_add_latency(&replica->service->latencies, took_us);
	rr_update_outlier_ejection(ctx, core, replica);
}

/*
 * Guards against a slow replica with a low latency estimate: its slow attempts
 * are cancelled when their hedges win, and only its fast ones would be sampled.
 */
void rr_record_cancelled_attempt(struct rr_context *ctx, struct rr_core *core,
				 struct rr_replica *replica, int64_t took_us)
{
	if ((double)took_us <= replica->latency_us)
		return;
	add_latency_sample(replica, (double)took_us);
	rr_update_outlier_ejection(ctx, core, replica);
}

void rr_record_loss(struct rr_context *ctx, struct rr_core *core,
		    struct rr_replica *replica)
{
	replica->consecutive_losses++;
	rr_shrink_limit(&replica->limit, LIMIT_SHRINK_FACTOR);
	rr_update_outlier_ejection(ctx, core, replica);
}

void rr_record_shed(struct rr_core *core, struct rr_replica *replica,
		    uint32_t retry_after_ms)
{
	if (!retry_after_ms)
		retry_after_ms = DEFAULT_SHED_RETRY_MS;
	replica->shed_until_us =
		MAX(replica->shed_until_us,
		    core->now_us + (int64_t)retry_after_ms * 1000);
	rr_shrink_limit(&replica->limit, LIMIT_SHRINK_FACTOR);
	rr_set_timer(core->timers, replica->shed_until_us, RR_TIMER_SEND_QUEUED,
		     replica->number, 0);
}

bool rr_is_replica_usable(const struct rr_core *core,
			  const struct rr_replica *replica)
{
	if (!replica->shard || replica->state == RR_UPSTREAM_DOWN)
		return false;
	if (!replica->draining_since_us)
		return true;
	/*
	 * An instance that does not poll the replica is not informed when the
	 * drain ends, so it tries the replica again after DRAIN_EXPIRY_US.  An
	 * owner is informed, and rejects relays that arrive too early.
	 */
	return !replica->owned &&
	       core->now_us - replica->draining_since_us > DRAIN_EXPIRY_US;
}

/*
 * Clear the state that this instance no longer keeps current, as it is no
 * longer an owner.
 */
static void clear_polled_state(struct rr_replica *replica)
{
	if (replica->state == RR_UPSTREAM_DOWN)
		replica->state = RR_UPSTREAM_UNKNOWN;
	replica->poll_pending = false;
	replica->poll_failures = 0;
}

void rr_refresh_owners(struct rr_core *core, struct rr_replica *replica)
{
	bool was_owned = replica->owned;

	if (replica->owners_generation == core->members_generation ||
	    !replica->shard)
		return;
	replica->owners_generation = core->members_generation;
	replica->n_owners = rr_find_owners(
		replica->shard->owner_key, replica->zone, core->member_refs,
		core->n_members,
		core->config ? core->config->owners_per_replica : 1,
		replica->owners);
	/*
	 * A draining instance is no longer an owner to others, but finishes its
	 * open work over its own connections.
	 */
	replica->owned = !replica->n_owners || (core->draining && was_owned);
	for (size_t i = 0; i < replica->n_owners; i++) {
		const char *name =
			core->member_copies[replica->owners[i]].instance;

		if (!strcmp(name, core->instance))
			replica->owned = true;
	}
	if (replica->owned && !was_owned)
		rr_reset_limit(&replica->limit, rr_slot_share(replica));
	if (was_owned && !replica->owned)
		clear_polled_state(replica);
}
