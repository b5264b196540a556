/*
 * quarantine.c - records of queries of death, and a cache of requests that
 * completed recently.
 */
#include "core/quarantine.h"

#include <string.h>

/* Bounds memory.  The oldest record is evicted, suspected ones first. */
#define MAX_RECORDS 1024
/*
 * The hold, the time until the next trial, grows by this factor with each of
 * the first MAX_HOLDS trials.
 */
#define HOLD_FACTOR 4
#define MAX_HOLDS 8
/* Size of the cache of completed requests.  A power of two. */
#define HARMLESS_SLOTS 2048

/* A slot of the direct-mapped cache of completed requests. */
struct harmless {
	struct rr_fingerprint fingerprint;
	int64_t at_us;
};

struct rr_quarantine {
	struct rr_quarantine_options options;
	GHashTable *records; /* fingerprint -> struct rr_quarantine_record */
	uint32_t n_quarantined;
	struct harmless harmless[HARMLESS_SLOTS]; /* by fingerprint */
};

static guint hash_fingerprint(gconstpointer key)
{
	const struct rr_fingerprint *fingerprint = key;

	return (guint)fingerprint->low;
}

static gboolean equal_fingerprints(gconstpointer a, gconstpointer b)
{
	return rr_same_fingerprint(a, b);
}

static void free_record(gpointer data)
{
	struct rr_quarantine_record *record = data;

	for (guint i = 0; i < record->n_crashed; i++)
		g_free(record->crashed[i]);
	g_free(record);
}

struct rr_quarantine *
rr_new_quarantine(const struct rr_quarantine_options *options)
{
	struct rr_quarantine *quarantine = g_new0(struct rr_quarantine, 1);

	quarantine->options = *options;
	quarantine->records = g_hash_table_new_full(
		hash_fingerprint, equal_fingerprints, NULL, free_record);
	return quarantine;
}

void rr_drop_quarantine(struct rr_quarantine *quarantine)
{
	g_hash_table_unref(quarantine->records);
	g_free(quarantine);
}

struct rr_quarantine_record *
rr_find_quarantine_record(const struct rr_quarantine *quarantine,
			  const struct rr_fingerprint *fingerprint)
{
	return g_hash_table_lookup(quarantine->records, fingerprint);
}

bool rr_quarantine_is_empty(const struct rr_quarantine *quarantine)
{
	return !g_hash_table_size(quarantine->records);
}

uint32_t rr_count_quarantined(const struct rr_quarantine *quarantine)
{
	return quarantine->n_quarantined;
}

void rr_remove_quarantine_record(struct rr_quarantine *quarantine,
				 const struct rr_fingerprint *fingerprint)
{
	struct rr_quarantine_record *record =
		rr_find_quarantine_record(quarantine, fingerprint);

	if (!record)
		return;
	quarantine->n_quarantined -= record->quarantined;
	g_hash_table_remove(quarantine->records, fingerprint);
}

static bool is_evicted_before(const struct rr_quarantine_record *a,
			      const struct rr_quarantine_record *b)
{
	if (a->quarantined != b->quarantined)
		return !a->quarantined;
	return a->first_crash_us < b->first_crash_us;
}

static void evict_if_full(struct rr_quarantine *quarantine)
{
	struct rr_quarantine_record *victim = NULL;
	GHashTableIter iter;
	gpointer value;

	if (g_hash_table_size(quarantine->records) < MAX_RECORDS)
		return;
	g_hash_table_iter_init(&iter, quarantine->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!victim || is_evicted_before(value, victim))
			victim = value;
	}
	rr_remove_quarantine_record(quarantine, &victim->fingerprint);
}

static struct rr_quarantine_record *
get_record(struct rr_quarantine *quarantine, int64_t first_crash_us,
	   const struct rr_fingerprint *fingerprint)
{
	struct rr_quarantine_record *record =
		rr_find_quarantine_record(quarantine, fingerprint);

	if (record)
		return record;
	evict_if_full(quarantine);
	record = g_new0(struct rr_quarantine_record, 1);
	record->fingerprint = *fingerprint;
	record->first_crash_us = first_crash_us;
	g_hash_table_insert(quarantine->records, &record->fingerprint, record);
	return record;
}

static bool has_crashed(const struct rr_quarantine_record *record,
			const char *incarnation)
{
	return g_strv_contains((const char *const *)record->crashed,
			       incarnation);
}

/* Ignores replicas beyond the maximum. */
static void add_crashed(struct rr_quarantine_record *record,
			const char *incarnation)
{
	if (record->n_crashed < RR_QUARANTINE_MAX_CRASHED &&
	    !has_crashed(record, incarnation))
		record->crashed[record->n_crashed++] = g_strdup(incarnation);
}

struct rr_quarantine_record *rr_add_crash(struct rr_quarantine *quarantine,
					  int64_t now_us,
					  const struct rr_crash *crash,
					  const char *incarnation)
{
	struct rr_quarantine_record *record;
	bool repeated;

#ifndef RR_MUTANT_QUARANTINE_KNOWS_NO_HARMLESS
	if (rr_is_harmless(quarantine, now_us, &crash->fingerprint))
		return NULL;
#endif
	record = get_record(quarantine, crash->closed_us, &crash->fingerprint);
	if (has_crashed(record, incarnation))
		return NULL;
	repeated =
		record->n_crashed && crash->sent_us >= record->first_crash_us;
#ifdef RR_MUTANT_QUARANTINE_BLAMES_BYSTANDERS
	repeated = true;
#endif
	record->crash_repeated |= repeated;
	record->first_crash_us = MIN(record->first_crash_us, crash->closed_us);
	add_crashed(record, incarnation);
	return record;
}

/* Returns the earliest time of the next trial. */
static int64_t next_trial_at(const struct rr_quarantine *quarantine,
			     int64_t now_us, uint32_t trials)
{
	int64_t hold_us = quarantine->options.hold_us;

	for (uint32_t i = 0; i < MIN(trials, MAX_HOLDS); i++)
		hold_us *= HOLD_FACTOR;
	return now_us + hold_us;
}

static void start_quarantine(struct rr_quarantine *quarantine, int64_t now_us,
			     struct rr_quarantine_record *record)
{
	if (record->quarantined)
		return;
	record->quarantined = true;
	record->next_trial_us =
		next_trial_at(quarantine, now_us, record->trials);
	quarantine->n_quarantined++;
}

void rr_raise_trial_count(const struct rr_quarantine *quarantine,
			  int64_t now_us, struct rr_quarantine_record *record,
			  uint32_t trials)
{
	if (trials <= record->trials)
		return;
	record->trials = trials;
	record->next_trial_us = next_trial_at(quarantine, now_us, trials);
}

struct rr_quarantine_record *
rr_merge_quarantine_entry(struct rr_quarantine *quarantine, int64_t now_us,
			  const struct rr_quarantine_entry *entry)
{
	struct rr_quarantine_record *record =
		get_record(quarantine, now_us, &entry->fingerprint);

	for (char **incarnation = entry->crashed; *incarnation; incarnation++)
		add_crashed(record, *incarnation);
	if (entry->quarantined)
		start_quarantine(quarantine, now_us, record);
	rr_raise_trial_count(quarantine, now_us, record, entry->trials);
	record->maybe_stored = true;
	record->n_published = g_strv_length(entry->crashed);
	record->quarantine_published = entry->quarantined;
	return record;
}

bool rr_quarantine_if_confirmed(struct rr_quarantine *quarantine,
				int64_t now_us,
				struct rr_quarantine_record *record)
{
	if (record->quarantined || !record->crash_repeated ||
	    record->n_crashed < quarantine->options.crash_threshold)
		return false;
	start_quarantine(quarantine, now_us, record);
	return true;
}

static struct harmless *slot_of(struct rr_quarantine *quarantine,
				const struct rr_fingerprint *fingerprint)
{
	return &quarantine->harmless[fingerprint->low % HARMLESS_SLOTS];
}

void rr_mark_harmless(struct rr_quarantine *quarantine, int64_t now_us,
		      const struct rr_fingerprint *fingerprint)
{
	struct harmless *slot = slot_of(quarantine, fingerprint);

	slot->fingerprint = *fingerprint;
	slot->at_us = now_us;
}

bool rr_is_harmless(const struct rr_quarantine *quarantine, int64_t now_us,
		    const struct rr_fingerprint *fingerprint)
{
	const struct harmless *slot =
		slot_of((struct rr_quarantine *)quarantine, fingerprint);

	return rr_is_fingerprint_set(fingerprint) &&
	       rr_same_fingerprint(&slot->fingerprint, fingerprint) &&
	       now_us - slot->at_us < quarantine->options.harmless_us;
}

struct rr_quarantine_entry
rr_make_quarantine_entry(const struct rr_quarantine_record *record)
{
	return (struct rr_quarantine_entry){
		.fingerprint = record->fingerprint,
		.crashed = (char **)record->crashed,
		.quarantined = record->quarantined,
		.trials = record->trials,
	};
}

struct rr_quarantine_entry *
rr_copy_quarantine_entry(const struct rr_quarantine_entry *entry)
{
	struct rr_quarantine_entry *copy = g_new(struct rr_quarantine_entry, 1);

	*copy = *entry;
	copy->crashed = g_strdupv(entry->crashed);
	return copy;
}

void rr_free_quarantine_entry(struct rr_quarantine_entry *entry)
{
	if (!entry)
		return;
	g_strfreev(entry->crashed);
	g_free(entry);
}
