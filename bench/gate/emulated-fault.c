/*
 * emulated-fault.c - what goes wrong, and when it is well again.
 */
#include "gate/emulator-private.h"

/* A new lifetime's entry comes to the instances within this time. */
#define NEWS_US (400 * 1000)

struct trouble {
	struct emulation *emulation;
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
	struct emulation *emulation = replica->emulation;

	/* Its id is that of the lifetime before: it is known only from here. */
	if (emulation->scenario->cold_per_s > 0)
		replica->cold_until_us = emulation->now_us + COLD_PERIOD_US;
	for (guint i = 0; i < emulation->instances->len; i++)
		announce_replica(g_ptr_array_index(emulation->instances, i),
				 replica, false);
}

void announce_restart_later(struct replica *replica)
{
	push_event(replica->emulation->events,
		   replica->emulation->now_us + NEWS_US, tell_rebirth, replica);
}

static void set_evacuated(struct emulation *emulation, uint32_t zone,
			  bool in_force)
{
	char name[16];

	g_snprintf(name, sizeof(name), "z%u", zone);
	emulation->evacuated_zone = in_force ? (int)zone : -1;
	emulation->evacuation_changed_us = emulation->now_us;
	for (guint i = 0; i < emulation->instances->len; i++) {
		struct instance *instance =
			g_ptr_array_index(emulation->instances, i);

		rr_gate_set_evacuation(instance->ctx, instance->gate,
				       emulation->now_us, name,
				       (uint64_t)emulation->now_us, in_force);
		schedule_tick(instance);
	}
}

static void end_trouble(void *context, void *data)
{
	struct trouble *trouble = data;
	struct emulation *emulation = trouble->emulation;

	if (trouble->fault->kind == FAULT_ZONE_ISOLATED)
		emulation->isolated_zone = -1;
	if (trouble->fault->kind == FAULT_BURST)
		emulation->load_factor = 1;
	if (trouble->fault->kind == FAULT_EVACUATE)
		set_evacuated(emulation, (uint32_t)trouble->fault->x, false);
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
	struct emulation *emulation;
	const struct emulated_fault *fault;
	int64_t end_us;
};

static void visit(void *context, void *data)
{
	struct visits *visits = data;
	struct emulation *emulation = visits->emulation;
	const struct emulated_fault *faults = emulation->scenario->faults;

	if (emulation->now_us >= visits->end_us) {
		g_free(visits);
		return;
	}
	send_query_of_death(emulation, (uint64_t)(visits->fault - faults));
	push_event(emulation->events,
		   emulation->now_us + (int64_t)(visits->fault->x * US_PER_S),
		   visit, visits);
}

static void begin_visits(struct emulation *emulation,
			 const struct emulated_fault *fault)
{
	struct visits *visits = g_new0(struct visits, 1);

	visits->emulation = emulation;
	visits->fault = fault;
	visits->end_us = emulation->now_us + (int64_t)(fault->for_s * US_PER_S);
	push_event(emulation->events, emulation->now_us, visit, visits);
}

static bool is_meant(const struct emulated_fault *fault,
		     const struct replica *replica, struct emulation *emulation)
{
	if (fault->shard >= 0 && replica->shard != (uint32_t)fault->shard)
		return false;
	return g_rand_double(emulation->layout_rand) < fault->share;
}

static void begin_trouble(void *context, void *data)
{
	struct trouble *trouble = data;
	struct emulation *emulation = trouble->emulation;
	const struct emulated_fault *fault = trouble->fault;

	if (fault->kind == FAULT_ZONE_ISOLATED)
		emulation->isolated_zone = (int)fault->x;
	if (fault->kind == FAULT_BURST)
		emulation->load_factor = MAX(fault->x, 0.01);
	if (fault->kind == FAULT_EVACUATE)
		set_evacuated(emulation, (uint32_t)fault->x, true);
	if (fault->kind == FAULT_QUERY_OF_DEATH)
		begin_visits(emulation, fault);
	for (guint i = 0; i < emulation->replicas->len; i++) {
		struct replica *replica =
			g_ptr_array_index(emulation->replicas, i);

		if (!is_meant(fault, replica, emulation))
			continue;
		set_on_replica(replica, fault, true);
		g_ptr_array_add(trouble->hit, replica);
	}
	push_event(emulation->events,
		   emulation->now_us + (int64_t)(fault->for_s * US_PER_S),
		   end_trouble, trouble);
}

void schedule_faults(struct emulation *emulation)
{
	for (uint32_t i = 0; i < emulation->scenario->n_faults; i++) {
		struct trouble *trouble = g_new0(struct trouble, 1);

		trouble->emulation = emulation;
		trouble->fault = &emulation->scenario->faults[i];
		trouble->hit = g_ptr_array_new();
		push_event(emulation->events,
			   emulation->now_us +
				   (int64_t)(trouble->fault->at_s * US_PER_S),
			   begin_trouble, trouble);
	}
}
