/*
 * emulated-fault.c - start and end of a scenario's faults.
 */
#include "gate/emulator-private.h"

/* Delay until a new incarnation's entry reaches the instances. */
#define ANNOUNCE_DELAY_US (400 * 1000)

struct active_fault {
	struct emulation *emulation;
	const struct emulated_fault *fault;
	GPtrArray *targets; /* struct replica; those it applies to */
};

/* Remove a replica's entry from the lists of all instances, or add it again. */
static void set_entry_lost(struct replica *replica, bool lost)
{
	struct emulation *emulation = replica->emulation;

	for (guint i = 0; i < emulation->instances->len; i++) {
		struct instance *instance =
			g_ptr_array_index(emulation->instances, i);

		if (lost)
			rr_gate_unlist_endpoint(instance->ctx, instance->gate,
						emulation->now_us, replica->id);
		else
			announce_replica(instance, replica, false);
	}
}

/* Revisions start again in the new era. */
static void restore_store(struct emulation *emulation)
{
	emulation->store.era++;
	emulation->store.revision = 0;
}

static void set_replica_fault(struct replica *replica,
			      const struct emulated_fault *fault, bool active)
{
	switch (fault->kind) {
	case FAULT_SLOW:
		replica->slowdown_factor = active ? fault->x : 1;
		return;
	case FAULT_UNRESPONSIVE:
		replica->unresponsive = active;
		return;
	case FAULT_DOWN:
	case FAULT_RESTART:
		replica->is_down = active;
		return;
	case FAULT_CRASH:
		if (active)
			crash_replica(replica);
		else
			restart_replica(replica,
					(int64_t)(fault->for_s * US_PER_S));
		return;
	case FAULT_SHED:
		replica->shed_share = active ? fault->x : 0;
		return;
	case FAULT_ERRORS:
		replica->error_share = active ? fault->x : 0;
		return;
	case FAULT_ZONE_ISOLATED:
	case FAULT_BURST:
	case FAULT_QUERY_OF_DEATH:
	case FAULT_EVACUATE:
	case N_FAULT_KINDS:
		return;
	case FAULT_RESTORE:
		set_entry_lost(replica, active);
		return;
	}
}

static void announce_restart(void *context, void *data)
{
	struct replica *replica = data;
	struct emulation *emulation = replica->emulation;

	/*
	 * The new incarnation keeps the id, so instances can't recognise it
	 * before this announcement: the cold period starts here.
	 */
	if (emulation->scenario->cold_per_s > 0)
		replica->cold_until_us = emulation->now_us + COLD_PERIOD_US;
	for (guint i = 0; i < emulation->instances->len; i++)
		announce_replica(g_ptr_array_index(emulation->instances, i),
				 replica, false);
}

void announce_restart_later(struct replica *replica)
{
	push_event(replica->emulation->events,
		   replica->emulation->now_us + ANNOUNCE_DELAY_US,
		   announce_restart, replica);
}

static void set_evacuation(struct emulation *emulation, uint32_t zone,
			   bool active)
{
	char name[16];

	g_snprintf(name, sizeof(name), "z%u", zone);
	emulation->evacuated_zone = active ? (int)zone : -1;
	emulation->evacuation_changed_us = emulation->now_us;
	emulation->store.revision++;
	for (guint i = 0; i < emulation->instances->len; i++) {
		struct instance *instance =
			g_ptr_array_index(emulation->instances, i);

		rr_gate_set_evacuation(instance->ctx, instance->gate,
				       emulation->now_us, name,
				       emulation->store, active);
		schedule_tick(instance);
	}
}

static void end_fault(void *context, void *data)
{
	struct active_fault *active_fault = data;
	struct emulation *emulation = active_fault->emulation;

	if (active_fault->fault->kind == FAULT_ZONE_ISOLATED)
		emulation->isolated_zone = -1;
	if (active_fault->fault->kind == FAULT_BURST)
		emulation->load_factor = 1;
	if (active_fault->fault->kind == FAULT_EVACUATE)
		set_evacuation(emulation, (uint32_t)active_fault->fault->x,
			       false);
	for (guint i = 0; i < active_fault->targets->len; i++) {
		struct replica *replica =
			g_ptr_array_index(active_fault->targets, i);

		set_replica_fault(replica, active_fault->fault, false);
		if (active_fault->fault->kind != FAULT_RESTART)
			continue;
		replica->started_ms +=
			1 + (int64_t)(active_fault->fault->for_s * 1000);
		announce_restart_later(replica);
	}
	g_ptr_array_unref(active_fault->targets);
	g_free(active_fault);
}

struct query_of_death_source {
	struct emulation *emulation;
	const struct emulated_fault *fault;
	int64_t end_us;
};

static void send_next_query_of_death(void *context, void *data)
{
	struct query_of_death_source *source = data;
	struct emulation *emulation = source->emulation;
	const struct emulated_fault *faults = emulation->scenario->faults;

	if (emulation->now_us >= source->end_us) {
		g_free(source);
		return;
	}
	send_query_of_death(emulation, (uint64_t)(source->fault - faults));
	push_event(emulation->events,
		   emulation->now_us + (int64_t)(source->fault->x * US_PER_S),
		   send_next_query_of_death, source);
}

static void start_queries_of_death(struct emulation *emulation,
				   const struct emulated_fault *fault)
{
	struct query_of_death_source *source =
		g_new0(struct query_of_death_source, 1);

	source->emulation = emulation;
	source->fault = fault;
	source->end_us = emulation->now_us + (int64_t)(fault->for_s * US_PER_S);
	push_event(emulation->events, emulation->now_us,
		   send_next_query_of_death, source);
}

static bool is_target(const struct emulated_fault *fault,
		      const struct replica *replica,
		      struct emulation *emulation)
{
	if (fault->shard >= 0 && replica->shard != (uint32_t)fault->shard)
		return false;
	return g_rand_double(emulation->layout_rand) < fault->share;
}

static void begin_fault(void *context, void *data)
{
	struct active_fault *active_fault = data;
	struct emulation *emulation = active_fault->emulation;
	const struct emulated_fault *fault = active_fault->fault;

	if (fault->kind == FAULT_ZONE_ISOLATED)
		emulation->isolated_zone = (int)fault->x;
	if (fault->kind == FAULT_BURST)
		emulation->load_factor = MAX(fault->x, 0.01);
	if (fault->kind == FAULT_EVACUATE)
		set_evacuation(emulation, (uint32_t)fault->x, true);
	if (fault->kind == FAULT_RESTORE)
		restore_store(emulation);
	if (fault->kind == FAULT_QUERY_OF_DEATH)
		start_queries_of_death(emulation, fault);
	for (guint i = 0; i < emulation->replicas->len; i++) {
		struct replica *replica =
			g_ptr_array_index(emulation->replicas, i);

		if (!is_target(fault, replica, emulation))
			continue;
		set_replica_fault(replica, fault, true);
		g_ptr_array_add(active_fault->targets, replica);
	}
	push_event(emulation->events,
		   emulation->now_us + (int64_t)(fault->for_s * US_PER_S),
		   end_fault, active_fault);
}

void schedule_faults(struct emulation *emulation)
{
	for (uint32_t i = 0; i < emulation->scenario->n_faults; i++) {
		struct active_fault *active_fault =
			g_new0(struct active_fault, 1);

		active_fault->emulation = emulation;
		active_fault->fault = &emulation->scenario->faults[i];
		active_fault->targets = g_ptr_array_new();
		push_event(
			emulation->events,
			emulation->now_us +
				(int64_t)(active_fault->fault->at_s * US_PER_S),
			begin_fault, active_fault);
	}
}
