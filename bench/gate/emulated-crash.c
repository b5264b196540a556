/*
 * emulated-crash.c - crashes of replicas, queries of death, and the store's
 * quarantine entries.
 */
#include "gate/emulator-private.h"

/* Restart time of a crashed replica. */
#define RESTART_US (3 * G_USEC_PER_SEC)
/* Delay from a write to the store until all instances have read it. */
#define STORE_DELAY_US (400 * 1000)
/* Time after the third crash from which arrivals are counted. */
#define SETTLED_US (4 * G_USEC_PER_SEC)

static void abort_attempts(struct replica *replica)
{
	struct emulation *emulation = replica->emulation;
	GPtrArray *aborted = g_ptr_array_new();

	for (guint i = 0; i < emulation->instances->len; i++) {
		struct instance *instance =
			g_ptr_array_index(emulation->instances, i);
		GHashTableIter iter;
		gpointer value;

		instance->idle_conns[replica->number] = 0;
		g_hash_table_iter_init(&iter, instance->attempts);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			struct emulated_attempt *attempt = value;

			if (attempt->replica == replica && attempt->accepted &&
			    !attempt->done)
				g_ptr_array_add(aborted, attempt);
		}
	}
	for (guint i = 0; i < aborted->len; i++)
		abort_attempt(g_ptr_array_index(aborted, i));
	g_ptr_array_unref(aborted);
}

void crash_replica(struct replica *replica)
{
	if (replica->is_down)
		return;
	replica->is_down = true;
	replica->emulation->result->crashes++;
	abort_attempts(replica);
}

void restart_replica(struct replica *replica, int64_t after_us)
{
	replica->is_down = false;
	replica->started_ms += 1 + after_us / 1000;
	announce_restart_later(replica);
}

static void handle_restart(void *context, void *data)
{
	restart_replica(data, RESTART_US);
}

void crash_on_query_of_death(struct emulated_attempt *attempt)
{
	struct replica *replica = attempt->replica;
	struct emulation *emulation = replica->emulation;

	if (replica->is_down)
		return;
	crash_replica(replica);
	if (++emulation->query_of_death_crashes == 3)
		emulation->third_crash_us = emulation->now_us;
	push_event(emulation->events, emulation->now_us + RESTART_US,
		   handle_restart, replica);
}

void count_late_query_of_death(const struct emulated_attempt *attempt)
{
	struct emulation *emulation = attempt->emulation;

	if (!emulation->third_crash_us ||
	    emulation->now_us < emulation->third_crash_us + SETTLED_US)
		return;
	if (g_hash_table_add(emulation->late_numbers,
			     g_memdup2(&attempt->request_number,
				       sizeof(attempt->request_number))))
		emulation->result->late_queries_of_death++;
}

/* Requests sent before an evacuation have arrived after this time. */
#define IN_TRANSIT_US (50 * 1000)

static uint32_t count_recent_arrivals(const struct replica *replica)
{
	int64_t now_us = replica->emulation->now_us;
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

void count_limit_violations(const struct emulated_attempt *attempt)
{
	struct replica *replica = attempt->replica;
	struct emulation *emulation = replica->emulation;

	if ((int)replica->zone == emulation->evacuated_zone &&
	    emulation->now_us - emulation->evacuation_changed_us >=
		    IN_TRANSIT_US)
		emulation->result->evacuated_arrivals++;
	if (emulation->now_us >= replica->cold_until_us)
		return;
	g_array_append_val(replica->arrivals_us, emulation->now_us);
	if (count_recent_arrivals(replica) > max_cold_per_s(emulation))
		emulation->result->cold_excess++;
}

/* An update in transit to all instances. */
struct store_update {
	struct emulation *emulation;
	struct rr_quarantine_entry *entry; /* NULL if removed */
	struct rr_fingerprint fingerprint;
};

static void deliver_update(void *context, void *data)
{
	struct store_update *store_update = data;
	struct emulation *emulation = store_update->emulation;

	for (guint i = 0; i < emulation->instances->len; i++) {
		struct instance *instance =
			g_ptr_array_index(emulation->instances, i);

		rr_gate_apply_quarantine(
			instance->ctx, instance->gate, emulation->now_us,
			&store_update->fingerprint, store_update->entry);
		schedule_tick(instance);
	}
	rr_free_quarantine_entry(store_update->entry);
	g_free(store_update);
}

/* Emulate compare-and-swap: entries with nothing new are not written. */
static bool is_up_to_date(const struct emulation *emulation,
			  const struct rr_quarantine_entry *entry)
{
	const struct rr_quarantine_entry *stored = g_hash_table_lookup(
		emulation->quarantine_entries, &entry->fingerprint.low);

	return stored && stored->quarantined >= entry->quarantined &&
	       g_strv_length(stored->crashed) >= g_strv_length(entry->crashed);
}

static void store_entry(struct emulation *emulation,
			const struct rr_quarantine_entry *entry)
{
	struct rr_quarantine_entry *copy = rr_copy_quarantine_entry(entry);

	g_hash_table_replace(emulation->quarantine_entries,
			     &copy->fingerprint.low, copy);
}

void free_quarantine_entry(gpointer data)
{
	rr_free_quarantine_entry(data);
}

void write_quarantine_report(void *data,
			     const struct rr_quarantine_report *report)
{
	const struct instance *instance = data;
	struct emulation *emulation = instance->emulation;
	struct store_update *store_update;

	emulation->result->quarantine_reports++;
	/* Ignore trial claims: a run ends before a trial is due. */
	if (report->claim ||
	    (!report->released && is_up_to_date(emulation, report->entry)))
		return;
	store_update = g_new0(struct store_update, 1);
	store_update->emulation = emulation;
	store_update->fingerprint = report->entry->fingerprint;
	if (report->released) {
		g_hash_table_remove(emulation->quarantine_entries,
				    &store_update->fingerprint.low);
	} else {
		store_update->entry = rr_copy_quarantine_entry(report->entry);
		store_entry(emulation, report->entry);
	}
	push_event(emulation->events, emulation->now_us + STORE_DELAY_US,
		   deliver_update, store_update);
}
