/*
 * soak-store.c - faults of the store, its restore from a copy, and evacuations.
 */
#include <string.h>

#include "soak.h"

/* Longer than the time after which no request may arrive in the zone. */
#define EVACUATION_MS 6500
#define WATCH_MUTE_MS 1000 /* from muting watches to compacting the history */
/* Age of the copy that the store is restored from. */
#define MAX_COPY_AGE_MS 3000
/* Time after which operators and replicas write again what was lost. */
#define MAX_REWRITE_MS 1500
/* Time for which stale reads still return the content from before a restore. */
#define STALE_READS_MS 2000

/* The store. */

static gboolean end_faults(gpointer data)
{
	struct soak *soak = data;

	test_store_set_state(&soak->store, TEST_STORE_UP);
	soak->store.answer_delay_ms = 0;
	soak->store.lost_write_share = 0;
	soak->store.leases_expire_down = false;
	soak_record_fault(soak);
	return G_SOURCE_REMOVE;
}

void soak_disturb_store(struct soak *soak)
{
	enum test_store_state state;
	uint32_t fault_ms;

	soak_record_fault(soak);
	soak->store.leases_expire_down = soak_fault_chance(soak, 0.5);
	state = (enum test_store_state)(
		1 + soak_fault_below(soak, TEST_STORE_BUSY));
	fault_ms = soak_random_fault_ms(soak);
	soak_log_fault(soak, "store: state %d for %u ms, leases %s", (int)state,
		       fault_ms,
		       soak->store.leases_expire_down ? "expire" : "pause");
	test_store_set_state(&soak->store, state);
	g_timeout_add(fault_ms, end_faults, soak);
}

void soak_slow_store(struct soak *soak)
{
	soak_record_fault(soak);
	soak->store.answer_delay_ms = 50 + soak_fault_below(soak, 400);
	soak_log_fault(soak, "store: answers after %u ms, 30%% are lost",
		       soak->store.answer_delay_ms);
	soak->store.lost_write_share = 0.3;
	g_timeout_add(soak_random_fault_ms(soak), end_faults, soak);
}

static gboolean compact_history(gpointer data)
{
	struct soak *soak = data;

	soak_log_fault(soak, "compact the store");
	soak_record_fault(soak);
	test_compact_store(&soak->store);
	return G_SOURCE_REMOVE;
}

/* Mute watches, then compact the history, so that missed events are lost. */
void soak_mute_watches(struct soak *soak)
{
	soak_log_fault(soak, "mute watches");
	soak_record_fault(soak);
	soak->store.watches_muted = true;
	g_timeout_add(WATCH_MUTE_MS, compact_history, soak);
}

void soak_end_store_faults(struct soak *soak)
{
	end_faults(soak);
}

/* Zones evacuated by the operators. */

static char *evacuation_key(uint32_t zone)
{
	return g_strdup_printf("op/evacuate/z%u", zone);
}

void soak_end_evacuation(struct soak *soak, uint32_t zone)
{
	char *key = evacuation_key(zone);

	if (soak->evacuated_since_us[zone]) {
		soak_log_fault(soak, "end the evacuation of z%u", zone);
		test_store_remove(&soak->store, key);
	}
	soak->evacuated_since_us[zone] = 0;
	g_free(key);
}

/* End the evacuations that have lasted EVACUATION_MS. */
static gboolean end_old_evacuations(gpointer data)
{
	struct soak *soak = data;

	for (uint32_t zone = 0; zone < ZONES; zone++) {
		if (soak->evacuated_since_us[zone] &&
		    g_get_monotonic_time() - soak->evacuated_since_us[zone] >=
			    EVACUATION_MS * MS)
			soak_end_evacuation(soak, zone);
	}
	return G_SOURCE_REMOVE;
}

void soak_evacuate_zone(struct soak *soak)
{
	uint32_t zone = soak_fault_below(soak, ZONES);
	char *key = evacuation_key(zone);

	if (!soak->evacuated_since_us[zone]) {
		soak_log_fault(soak, "evacuate z%u", zone);
		test_store_put(&soak->store, key,
			       soak_fault_chance(soak, 0.2) ? "odd" : "{}");
		soak->evacuated_since_us[zone] = g_get_monotonic_time();
		g_timeout_add(EVACUATION_MS + 1, end_old_evacuations, soak);
	}
	g_free(key);
}

/* Restores from a copy. */

/* A restore, as it was drawn. */
struct restore {
	struct soak *soak;
	uint32_t rewrite_ms; /* until what was lost is written again */
	bool changes_config;
	uint32_t seed; /* of the draws of that change */
};

static bool is_registered(const struct soak *soak, const char *id)
{
	for (guint i = 0; i < soak->replicas->len; i++) {
		const struct soak_replica *replica =
			g_ptr_array_index(soak->replicas, i);

		if (replica->registered && !strcmp(replica->id, id))
			return true;
	}
	return false;
}

/* Remove the entries of replicas that have left since the copy was made. */
static void remove_old_entries(struct soak *soak)
{
	GList *keys = g_hash_table_get_keys(soak->store.items);

	for (GList *l = keys; l; l = l->next) {
		const char *key = l->data;
		char *copy;

		if (!g_str_has_prefix(key, "servers/") ||
		    is_registered(soak, key + strlen("servers/")))
			continue;
		copy = g_strdup(key);
		test_store_remove(&soak->store, copy);
		g_free(copy);
	}
	g_list_free(keys);
}

/* Operators and replicas write again what the restore has lost. */
static gboolean write_again(gpointer data)
{
	struct restore *restore = data;
	struct soak *soak = restore->soak;

	soak_record_fault(soak);
	remove_old_entries(soak);
	for (guint i = 0; i < soak->replicas->len; i++) {
		struct soak_replica *replica =
			g_ptr_array_index(soak->replicas, i);

		if (replica->up && replica->registered)
			soak_register_replica(replica);
	}
	for (uint32_t zone = 0; zone < ZONES; zone++) {
		char *key = evacuation_key(zone);

		if (soak->evacuated_since_us[zone])
			test_store_put(&soak->store, key, "{}");
		else
			test_store_remove(&soak->store, key);
		g_free(key);
	}
	test_store_put(&soak->store, "op/config", soak->config_text);
	soak->config_written_us = g_get_monotonic_time();
	soak_log_fault(soak, "write again what was lost");
	if (restore->changes_config) {
		soak_seed_draws(soak, restore->seed);
		soak_change_config(soak);
	}
	g_free(restore);
	return G_SOURCE_REMOVE;
}

static gboolean end_stale_reads(gpointer data)
{
	struct soak *soak = data;

	test_release_stale_reads(&soak->store);
	soak_record_fault(soak);
	return G_SOURCE_REMOVE;
}

static gboolean restore_from_copy(gpointer data)
{
	struct restore *restore = data;
	struct soak *soak = restore->soak;

	soak_record_fault(soak);
	test_hold_stale_reads(&soak->store);
	test_restore_store(&soak->store);
	g_timeout_add(STALE_READS_MS, end_stale_reads, soak);
	soak_log_fault(soak,
		       "restore the store: era %" G_GUINT64_FORMAT
		       ", revision %" G_GUINT64_FORMAT,
		       soak->store.era, soak->store.revision);
	soak->n_restores++;
	g_timeout_add(restore->rewrite_ms, write_again, restore);
	return G_SOURCE_REMOVE;
}

/* Copy the store now, and restore it from the copy a little later. */
void soak_restore_store(struct soak *soak)
{
	struct restore *restore = g_new0(struct restore, 1);
	uint32_t age_ms = 1 + soak_fault_below(soak, MAX_COPY_AGE_MS);

	restore->soak = soak;
	restore->rewrite_ms = 1 + soak_fault_below(soak, MAX_REWRITE_MS);
	restore->changes_config = soak_fault_chance(soak, 0.5);
	restore->seed = g_rand_int(soak->fault_rand);
	soak_record_fault(soak);
	soak_log_fault(soak, "copy the store, for a restore after %u ms",
		       age_ms);
	test_copy_store(&soak->store);
	g_timeout_add(age_ms, restore_from_copy, restore);
}
