/*
 * emulated-crash.c - crashes of replicas, queries of death, and the store
 * entries that instances share.
 */
#include "gate/emulator-private.h"

/* Restart time of a crashed replica. */
#define RESTART_US (3 * G_USEC_PER_SEC)
/* Time from a write to the store until all instances have read it. */
#define STORE_US (400 * 1000)
/* Time after the third crash from which arrivals are counted. */
#define SETTLED_US (4 * G_USEC_PER_SEC)

static void close_works(struct replica *replica)
{
	struct world *world = replica->world;
	GPtrArray *closed = g_ptr_array_new();

	for (guint i = 0; i < world->instances->len; i++) {
		struct instance *instance =
			g_ptr_array_index(world->instances, i);
		GHashTableIter iter;
		gpointer value;

		instance->idle_conns[replica->number] = 0;
		g_hash_table_iter_init(&iter, instance->attempts);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			struct work *work = value;

			if (work->replica == replica && work->accepted &&
			    !work->done)
				g_ptr_array_add(closed, work);
		}
	}
	for (guint i = 0; i < closed->len; i++)
		abort_attempt(g_ptr_array_index(closed, i));
	g_ptr_array_unref(closed);
}

void crash_replica(struct replica *replica)
{
	if (replica->is_down)
		return;
	replica->is_down = true;
	replica->world->result->crashes++;
	close_works(replica);
}

void restart_replica(struct replica *replica, int64_t after_us)
{
	replica->is_down = false;
	replica->started_ms += 1 + after_us / 1000;
	announce_restart_later(replica);
}

static void restart(void *context, void *data)
{
	restart_replica(data, RESTART_US);
}

void crash_on_query_of_death(struct work *work)
{
	struct replica *replica = work->replica;
	struct world *world = replica->world;

	if (replica->is_down)
		return;
	crash_replica(replica);
	if (++world->query_of_death_crashes == 3)
		world->third_crash_us = world->now_us;
	push_event(world->events, world->now_us + RESTART_US, restart, replica);
}

void count_late_query_of_death(const struct work *work)
{
	struct world *world = work->world;

	if (!world->third_crash_us ||
	    world->now_us < world->third_crash_us + SETTLED_US)
		return;
	if (g_hash_table_add(world->late_numbers,
			     g_memdup2(&work->request_number,
				       sizeof(work->request_number))))
		world->result->late_queries_of_death++;
}

/* Requests that were sent before an evacuation have arrived after this. */
#define IN_TRANSIT_US (50 * 1000)

static uint32_t count_last_second(const struct replica *replica)
{
	int64_t now_us = replica->world->now_us;
	uint32_t n = 0;

	for (guint i = replica->arrivals_us->len; i > 0; i--) {
		if (now_us - g_array_index(replica->arrivals_us, int64_t,
					   i - 1) >=
		    G_USEC_PER_SEC)
			break;
		n++;
	}
	return n;
}

void count_limit_violations(const struct work *work)
{
	struct replica *replica = work->replica;
	struct world *world = replica->world;

	if ((int)replica->zone == world->evacuated_zone &&
	    world->now_us - world->evacuation_changed_us >= IN_TRANSIT_US)
		world->result->evacuated_arrivals++;
	if (world->now_us >= replica->cold_until_us)
		return;
	g_array_append_val(replica->arrivals_us, world->now_us);
	if (count_last_second(replica) > max_cold_per_s(world))
		world->result->cold_excess++;
}

/* An update in transit to all instances. */
struct news {
	struct world *world;
	struct rr_quarantine_entry *entry; /* NULL if removed */
	struct rr_fingerprint fingerprint;
};

static void deliver(void *context, void *data)
{
	struct news *news = data;
	struct world *world = news->world;

	for (guint i = 0; i < world->instances->len; i++) {
		struct instance *instance =
			g_ptr_array_index(world->instances, i);

		rr_gate_apply_quarantine(instance->ctx, instance->gate,
					 world->now_us, &news->fingerprint,
					 news->entry);
		schedule_tick(instance);
	}
	rr_free_quarantine_entry(news->entry);
	g_free(news);
}

/* Emulates compare-and-swap: entries with nothing new are not written. */
static bool is_known(const struct world *world,
		     const struct rr_quarantine_entry *entry)
{
	const struct rr_quarantine_entry *known = g_hash_table_lookup(
		world->quarantine_entries, &entry->fingerprint.low);

	return known && known->quarantined >= entry->quarantined &&
	       g_strv_length(known->crashed) >= g_strv_length(entry->crashed);
}

static void write_entry(struct world *world,
			const struct rr_quarantine_entry *entry)
{
	struct rr_quarantine_entry *copy = rr_copy_quarantine_entry(entry);

	g_hash_table_replace(world->quarantine_entries, &copy->fingerprint.low,
			     copy);
}

void free_entry(gpointer data)
{
	rr_free_quarantine_entry(data);
}

void write_quarantine_report(void *data,
			     const struct rr_quarantine_report *report)
{
	const struct instance *instance = data;
	struct world *world = instance->world;
	struct news *news;

	world->result->quarantine_reports++;
	/* Runs are shorter than the wait for a trial. */
	if (report->claim ||
	    (!report->released && is_known(world, report->entry)))
		return;
	news = g_new0(struct news, 1);
	news->world = world;
	news->fingerprint = report->entry->fingerprint;
	if (report->released) {
		g_hash_table_remove(world->quarantine_entries,
				    &news->fingerprint.low);
	} else {
		news->entry = rr_copy_quarantine_entry(report->entry);
		write_entry(world, report->entry);
	}
	push_event(world->events, world->now_us + STORE_US, deliver, news);
}
