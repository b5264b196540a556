/*
 * health-poll.c - health polls of the replicas that this instance owns, about
 * once a second.
 *
 * Only owners poll, so the load on a replica is bounded by the number of owners
 * and not by the number of instances.
 */
#include "core/core-private.h"

#define POLL_PERIOD_US G_USEC_PER_SEC
/* Random spread of the poll period, so that owners do not poll in step. */
#define POLL_SPREAD_US (POLL_PERIOD_US / 5)
#define POLL_TIMEOUT_US (3 * G_USEC_PER_SEC / 2)
/* One lost poll may be chance; two in a row indicate a failure. */
#define MAX_POLL_FAILURES 2

void rr_schedule_poll(struct rr_context *ctx, struct rr_core *core,
		      struct rr_replica *replica, bool at_once)
{
	int64_t delay_us = POLL_PERIOD_US - POLL_SPREAD_US;

	if (replica->poll_scheduled)
		return;
	replica->poll_scheduled = true;
	if (at_once)
		delay_us = 0;
	delay_us += rr_random_below(ctx, POLL_SPREAD_US);
	rr_set_timer(core->timers, core->now_us + delay_us, RR_TIMER_POLL,
		     replica->number, 0);
}

void rr_handle_poll_timer(struct rr_context *ctx, struct rr_core *core,
			  struct rr_replica *replica)
{
	replica->poll_scheduled = false;
	rr_refresh_owners(core, replica);
	if (!replica->shard || !replica->owned)
		return;
	rr_schedule_poll(ctx, core, replica, false);
	if (replica->poll_pending)
		return;
	replica->poll_pending = true;
	replica->poll_sent_us = core->now_us;
	rr_set_timer(core->timers, core->now_us + POLL_TIMEOUT_US,
		     RR_TIMER_POLL_TIMEOUT, replica->number, 0);
	core->actions.poll_health(core->actions.data, replica->id,
				  replica->address);
}

static void count_failure(struct rr_context *ctx, struct rr_core *core,
			  struct rr_replica *replica, const char *source)
{
	if (++replica->poll_failures >= MAX_POLL_FAILURES)
		rr_update_replica_state(ctx, core, replica, RR_UPSTREAM_DOWN,
					source);
}

/*
 * A poll without a reply must not stop the polling: the replica would keep its
 * last known state forever.
 */
void rr_handle_poll_timeout(struct rr_context *ctx, struct rr_core *core,
			    struct rr_replica *replica)
{
	if (!replica->poll_pending ||
	    core->now_us - replica->poll_sent_us < POLL_TIMEOUT_US)
		return;
	replica->poll_pending = false;
	count_failure(ctx, core, replica, "health-timeout");
}

void rr_handle_health_reply(struct rr_context *ctx, struct rr_core *core,
			    const struct rr_health *health)
{
	struct rr_replica *replica = rr_find_replica(core, health->replica);

	if (!replica)
		return;
	replica->poll_pending = false;
	if (!health->reachable) {
		count_failure(ctx, core, replica, "health");
		return;
	}
	replica->poll_failures = 0;
	replica->reported_load = health->load;
	rr_update_replica_versions(core, replica, health->oldest_version,
				   health->newest_version, health->map_epoch);
	rr_update_replica_state(ctx, core, replica, health->state, "health");
	rr_schedule_dispatch(core, replica);
}

void rr_poll_owned_replicas(struct rr_context *ctx, struct rr_core *core)
{
	for (guint i = 0; i < core->replica_list->len; i++) {
		struct rr_replica *replica =
			g_ptr_array_index(core->replica_list, i);

		rr_refresh_owners(core, replica);
		if (replica->owned)
			rr_schedule_poll(ctx, core, replica, true);
	}
}
