/*
 * feed-registration.c - who is entered by this instance, and what of it the store
 * has yet to be told.
 */
#include "core/feed-registration.h"

#include <string.h>

/* Several times what one instance of a zone of the largest size has. */
#define MOST_ENROLLED 1024

struct enrolled {
	struct rr_instance *instance;
	bool present;	   /* else it has left, or is silent */
	bool due;	   /* the store has yet to be told */
	bool busy;	   /* in the write under way, as it was then */
	uint64_t revision; /* of its last write; 0: none is known */
	int64_t heard_us;
};

struct rr_registrations {
	GHashTable *all; /* id -> struct enrolled */
};

static void free_enrolled(gpointer data)
{
	struct enrolled *enrolled = data;

	rr_free_instance(enrolled->instance);
	g_free(enrolled);
}

struct rr_registrations *rr_new_registrations(void)
{
	struct rr_registrations *roster = g_new0(struct rr_registrations, 1);

	roster->all = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    free_enrolled);
	return roster;
}

void rr_drop_registrations(struct rr_registrations *roster)
{
	if (!roster)
		return;
	g_hash_table_unref(roster->all);
	g_free(roster);
}

static bool is_same(const struct rr_instance *a, const struct rr_instance *b)
{
	return !strcmp(a->zone, b->zone) && !strcmp(a->address, b->address) &&
	       a->strength == b->strength && a->started_ms == b->started_ms;
}

bool rr_register_instance(struct rr_registrations *roster,
			  const struct rr_instance *instance, int64_t now_us)
{
	struct enrolled *enrolled =
		g_hash_table_lookup(roster->all, instance->id);

	if (!enrolled) {
		if (g_hash_table_size(roster->all) >= MOST_ENROLLED)
			return false;
		enrolled = g_new0(struct enrolled, 1);
		enrolled->instance = rr_copy_instance(instance);
		g_hash_table_insert(roster->all, enrolled->instance->id,
				    enrolled);
	}
	if (!enrolled->present || !is_same(enrolled->instance, instance))
		enrolled->due = true;
	enrolled->present = true;
	enrolled->heard_us = now_us;
	g_free(enrolled->instance->zone);
	g_free(enrolled->instance->address);
	enrolled->instance->zone = g_strdup(instance->zone);
	enrolled->instance->address = g_strdup(instance->address);
	enrolled->instance->strength = instance->strength;
	enrolled->instance->started_ms = instance->started_ms;
	return true;
}

/* Whether it may be in the store by a write of this instance. */
static bool may_be_written(const struct enrolled *enrolled)
{
	return enrolled->busy || enrolled->revision;
}

static void strike_off(struct enrolled *enrolled)
{
	enrolled->present = false;
	enrolled->due = true;
}

void rr_deregister_instance(struct rr_registrations *roster, const char *id)
{
	struct enrolled *enrolled = g_hash_table_lookup(roster->all, id);

	if (!enrolled || !enrolled->present)
		return;
	if (may_be_written(enrolled))
		strike_off(enrolled);
	else
		g_hash_table_remove(roster->all, id);
}

void rr_expire_registrations(struct rr_registrations *roster, int64_t since_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, roster->all);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct enrolled *enrolled = value;

		if (!enrolled->present || enrolled->heard_us >= since_us)
			continue;
		if (may_be_written(enrolled))
			strike_off(enrolled);
		else
			g_hash_table_iter_remove(&iter);
	}
}

int64_t rr_oldest_registration_us(const struct rr_registrations *roster)
{
	int64_t oldest_us = INT64_MAX;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, roster->all);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct enrolled *enrolled = value;

		if (enrolled->present)
			oldest_us = MIN(oldest_us, enrolled->heard_us);
	}
	return oldest_us;
}

bool rr_has_unwritten_registrations(const struct rr_registrations *roster)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, roster->all);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct enrolled *enrolled = value;

		if (enrolled->due && !enrolled->busy)
			return true;
	}
	return false;
}

bool rr_registrations_are_empty(const struct rr_registrations *roster)
{
	return !g_hash_table_size(roster->all);
}

struct rr_registration_batch
rr_take_registration_batch(struct rr_registrations *roster, guint most)
{
	struct rr_registration_batch batch = { .added = g_ptr_array_new(),
					       .removed = g_ptr_array_new() };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, roster->all);
	while (batch.added->len + batch.removed->len < most &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		struct enrolled *enrolled = value;

		if (!enrolled->due || enrolled->busy)
			continue;
		enrolled->due = false;
		enrolled->busy = true;
		if (enrolled->present)
			g_ptr_array_add(batch.added, enrolled->instance);
		else
			g_ptr_array_add(batch.removed, enrolled->instance->id);
	}
	return batch;
}

void rr_clear_registration_batch(struct rr_registration_batch *batch)
{
	g_ptr_array_unref(batch->added);
	g_ptr_array_unref(batch->removed);
}

void rr_confirm_registration_batch(struct rr_registrations *roster,
				   uint64_t revision)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, roster->all);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct enrolled *enrolled = value;

		if (!enrolled->busy)
			continue;
		enrolled->busy = false;
		enrolled->revision = revision;
		if (!enrolled->present && !enrolled->due)
			g_hash_table_iter_remove(&iter);
	}
}

void rr_retry_registration_batch(struct rr_registrations *roster)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, roster->all);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct enrolled *enrolled = value;

		if (!enrolled->busy)
			continue;
		enrolled->due = true;
		enrolled->busy = false;
		/* A write without an answer may have taken effect. */
		enrolled->revision = MAX(enrolled->revision, 1);
	}
}

void rr_rewrite_all_registrations(struct rr_registrations *roster)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, roster->all);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct enrolled *enrolled = value;

		enrolled->busy = false;
		enrolled->due = true;
		enrolled->revision = 0;
		if (!enrolled->present)
			g_hash_table_iter_remove(&iter);
	}
}

void rr_observe_registration(struct rr_registrations *roster, const char *id,
			     uint64_t revision, bool removed)
{
	struct enrolled *enrolled = g_hash_table_lookup(roster->all, id);

	if (!enrolled || enrolled->busy || !enrolled->revision ||
	    revision <= enrolled->revision)
		return;
	if (removed && enrolled->present) {
		enrolled->due = true;
		return;
	}
	/*
	 * Guards against one that moved to another instance and is struck off
	 * here later: its entry is the other's then, and must not be removed.
	 */
#ifndef RR_MUTANT_ROSTER_KEEPS_MOVED
	g_hash_table_remove(roster->all, id);
#endif
}
