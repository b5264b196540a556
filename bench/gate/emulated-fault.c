/*
 * emulated-fault.c - what goes wrong, and when it is well again.
 */
#include "gate/emulator-private.h"

/* A new lifetime's entry comes to the instances within this time. */
#define NEWS_US (400 * 1000)

struct trouble {
	struct world *world;
	const struct emulated_fault *fault;
	GPtrArray *hit; /* struct replica */
};

static void set_on_replica(struct replica *replica,
			   const struct emulated_fault *fault, bool on)
{
	switch (fault->kind) {
	case FAULT_SLOW:
		replica->slowdown_factor = on ? fault->x : 1;
		return;
	case FAULT_UNRESPONSIVE:
		replica->unresponsive = on;
		return;
	case FAULT_DOWN:
	case FAULT_RESTART:
		replica->is_down = on;
		return;
	case FAULT_CRASH:
		if (on)
			crash_replica(replica);
		else
			restart_replica(replica,
					(int64_t)(fault->for_s * US_PER_S));
		return;
	case FAULT_SHED:
		replica->shed_share = on ? fault->x : 0;
		return;
	case FAULT_ERRORS:
		replica->error_share = on ? fault->x : 0;
		return;
	case FAULT_ZONE_ISOLATED:
	case FAULT_BURST:
	case FAULT_QUERY_OF_DEATH:
	case FAULT_EVACUATE:
	case N_FAULT_KINDS:
		return;
	}
}

static void tell_rebirth(void *context, void *data)
{
	struct replica *replica = data;
	struct world *world = replica->world;

	/* Its id is that of the lifetime before: it is known only from here. */
	if (world->scenario->cold_per_s > 0)
		replica->cold_until_us = world->now_us + COLD_PERIOD_US;
	for (guint i = 0; i < world->instances->len; i++)
		announce_replica(g_ptr_array_index(world->instances, i),
				 replica, false);
}

void announce_restart_later(struct replica *replica)
{
	push_event(replica->world->events, replica->world->now_us + NEWS_US,
		   tell_rebirth, replica);
}

static void set_evacuated(struct world *world, uint32_t zone, bool in_force)
{
	char name[16];

	g_snprintf(name, sizeof(name), "z%u", zone);
	world->evacuated_zone = in_force ? (int)zone : -1;
	world->evacuation_changed_us = world->now_us;
	for (guint i = 0; i < world->instances->len; i++) {
		struct instance *instance =
			g_ptr_array_index(world->instances, i);

		rr_gate_set_evacuation(instance->ctx, instance->gate,
				       world->now_us, name,
				       (uint64_t)world->now_us, in_force);
		schedule_tick(instance);
	}
}

static void end_trouble(void *context, void *data)
{
	struct trouble *trouble = data;
	struct world *world = trouble->world;

	if (trouble->fault->kind == FAULT_ZONE_ISOLATED)
		world->isolated_zone = -1;
	if (trouble->fault->kind == FAULT_BURST)
		world->load_factor = 1;
	if (trouble->fault->kind == FAULT_EVACUATE)
		set_evacuated(world, (uint32_t)trouble->fault->x, false);
	for (guint i = 0; i < trouble->hit->len; i++) {
		struct replica *replica = g_ptr_array_index(trouble->hit, i);

		set_on_replica(replica, trouble->fault, false);
		if (trouble->fault->kind != FAULT_RESTART)
			continue;
		replica->started_ms +=
			1 + (int64_t)(trouble->fault->for_s * 1000);
		announce_restart_later(replica);
	}
	g_ptr_array_unref(trouble->hit);
	g_free(trouble);
}

struct visits {
	struct world *world;
	const struct emulated_fault *fault;
	int64_t end_us;
};

static void visit(void *context, void *data)
{
	struct visits *visits = data;
	struct world *world = visits->world;
	const struct emulated_fault *faults = world->scenario->faults;

	if (world->now_us >= visits->end_us) {
		g_free(visits);
		return;
	}
	send_query_of_death(world, (uint64_t)(visits->fault - faults));
	push_event(world->events,
		   world->now_us + (int64_t)(visits->fault->x * US_PER_S),
		   visit, visits);
}

static void begin_visits(struct world *world,
			 const struct emulated_fault *fault)
{
	struct visits *visits = g_new0(struct visits, 1);

	visits->world = world;
	visits->fault = fault;
	visits->end_us = world->now_us + (int64_t)(fault->for_s * US_PER_S);
	push_event(world->events, world->now_us, visit, visits);
}

static bool is_meant(const struct emulated_fault *fault,
		     const struct replica *replica, struct world *world)
{
	if (fault->shard >= 0 && replica->shard != (uint32_t)fault->shard)
		return false;
	return g_rand_double(world->layout_rand) < fault->share;
}

static void begin_trouble(void *context, void *data)
{
	struct trouble *trouble = data;
	struct world *world = trouble->world;
	const struct emulated_fault *fault = trouble->fault;

	if (fault->kind == FAULT_ZONE_ISOLATED)
		world->isolated_zone = (int)fault->x;
	if (fault->kind == FAULT_BURST)
		world->load_factor = MAX(fault->x, 0.01);
	if (fault->kind == FAULT_EVACUATE)
		set_evacuated(world, (uint32_t)fault->x, true);
	if (fault->kind == FAULT_QUERY_OF_DEATH)
		begin_visits(world, fault);
	for (guint i = 0; i < world->replicas->len; i++) {
		struct replica *replica = g_ptr_array_index(world->replicas, i);

		if (!is_meant(fault, replica, world))
			continue;
		set_on_replica(replica, fault, true);
		g_ptr_array_add(trouble->hit, replica);
	}
	push_event(world->events,
		   world->now_us + (int64_t)(fault->for_s * US_PER_S),
		   end_trouble, trouble);
}

void schedule_faults(struct world *world)
{
	for (uint32_t i = 0; i < world->scenario->n_faults; i++) {
		struct trouble *trouble = g_new0(struct trouble, 1);

		trouble->world = world;
		trouble->fault = &world->scenario->faults[i];
		trouble->hit = g_ptr_array_new();
		push_event(world->events,
			   world->now_us +
				   (int64_t)(trouble->fault->at_s * US_PER_S),
			   begin_trouble, trouble);
	}
}
