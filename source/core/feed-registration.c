/*
 * feed-registration.c - table of the instances that this one registers, with
 * the changes that are not yet in the store.
 */
#include "core/feed-registration.h"

#include <string.h>

/* Several times the number that one registrar has in the largest zone. */
#define MAX_REGISTRATIONS 1024

struct registration {
	struct rr_instance *instance;
	/* false: it has left, or its registration has expired */
	bool present;
	bool unwritten; /* its state is not yet in the store */
	/* included in the write in flight, with its state at the start */
	bool in_flight;
	uint64_t revision; /* revision of its last write; 0: not known */
	int64_t last_contact_us;
};

struct rr_registrations {
	GHashTable *by_id; /* id -> struct registration */
};

static void free_registration(gpointer data)
{
	struct registration *registration = data;

	rr_free_instance(registration->instance);
	g_free(registration);
}

struct rr_registrations *rr_new_registrations(void)
{
	struct rr_registrations *registrations =
		g_new0(struct rr_registrations, 1);

	registrations->by_id = g_hash_table_new_full(g_str_hash, g_str_equal,
						     NULL, free_registration);
	return registrations;
}

void rr_drop_registrations(struct rr_registrations *registrations)
{
	if (!registrations)
		return;
	g_hash_table_unref(registrations->by_id);
	g_free(registrations);
}

static bool same_instance(const struct rr_instance *a,
			  const struct rr_instance *b)
{
	return !strcmp(a->zone, b->zone) && !strcmp(a->address, b->address) &&
	       a->strength == b->strength && a->started_ms == b->started_ms;
}

bool rr_register_instance(struct rr_registrations *registrations,
			  const struct rr_instance *instance, int64_t now_us)
{
	struct registration *registration =
		g_hash_table_lookup(registrations->by_id, instance->id);

	if (!registration) {
		if (g_hash_table_size(registrations->by_id) >=
		    MAX_REGISTRATIONS)
			return false;
		registration = g_new0(struct registration, 1);
		registration->instance = rr_copy_instance(instance);
		g_hash_table_insert(registrations->by_id,
				    registration->instance->id, registration);
	}
	if (!registration->present ||
	    !same_instance(registration->instance, instance))
		registration->unwritten = true;
	registration->present = true;
	registration->last_contact_us = now_us;
	g_free(registration->instance->zone);
	g_free(registration->instance->address);
	registration->instance->zone = g_strdup(instance->zone);
	registration->instance->address = g_strdup(instance->address);
	registration->instance->strength = instance->strength;
	registration->instance->started_ms = instance->started_ms;
	return true;
}

/* Whether the store may hold an entry written by this instance. */
static bool may_be_written(const struct registration *registration)
{
	return registration->in_flight || registration->revision;
}

static void mark_absent(struct registration *registration)
{
	registration->present = false;
	registration->unwritten = true;
}

void rr_deregister_instance(struct rr_registrations *registrations,
			    const char *id)
{
	struct registration *registration =
		g_hash_table_lookup(registrations->by_id, id);

	if (!registration || !registration->present)
		return;
	if (may_be_written(registration))
		mark_absent(registration);
	else
		g_hash_table_remove(registrations->by_id, id);
}

void rr_expire_registrations(struct rr_registrations *registrations,
			     int64_t since_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, registrations->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct registration *registration = value;

		if (!registration->present ||
		    registration->last_contact_us >= since_us)
			continue;
		if (may_be_written(registration))
			mark_absent(registration);
		else
			g_hash_table_iter_remove(&iter);
	}
}

int64_t rr_oldest_registration_us(const struct rr_registrations *registrations)
{
	int64_t oldest_us = INT64_MAX;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, registrations->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct registration *registration = value;

		if (registration->present)
			oldest_us =
				MIN(oldest_us, registration->last_contact_us);
	}
	return oldest_us;
}

bool rr_has_unwritten_registrations(
	const struct rr_registrations *registrations)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, registrations->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct registration *registration = value;

		if (registration->unwritten && !registration->in_flight)
			return true;
	}
	return false;
}

bool rr_registrations_are_empty(const struct rr_registrations *registrations)
{
	return !g_hash_table_size(registrations->by_id);
}

struct rr_registration_batch
rr_take_registration_batch(struct rr_registrations *registrations,
			   guint max_keys)
{
	struct rr_registration_batch batch = { .added = g_ptr_array_new(),
					       .removed = g_ptr_array_new() };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, registrations->by_id);
	while (batch.added->len + batch.removed->len < max_keys &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		struct registration *registration = value;

		if (!registration->unwritten || registration->in_flight)
			continue;
		registration->unwritten = false;
		registration->in_flight = true;
		if (registration->present)
			g_ptr_array_add(batch.added, registration->instance);
		else
			g_ptr_array_add(batch.removed,
					registration->instance->id);
	}
	return batch;
}

void rr_clear_registration_batch(struct rr_registration_batch *batch)
{
	g_ptr_array_unref(batch->added);
	g_ptr_array_unref(batch->removed);
}

void rr_confirm_registration_batch(struct rr_registrations *registrations,
				   uint64_t revision)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, registrations->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct registration *registration = value;

		if (!registration->in_flight)
			continue;
		registration->in_flight = false;
		registration->revision = revision;
		if (!registration->present && !registration->unwritten)
			g_hash_table_iter_remove(&iter);
	}
}

void rr_retry_registration_batch(struct rr_registrations *registrations)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, registrations->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct registration *registration = value;

		if (!registration->in_flight)
			continue;
		registration->unwritten = true;
		registration->in_flight = false;
		/* A write without a reply may have taken effect. */
		registration->revision = MAX(registration->revision, 1);
	}
}

void rr_rewrite_all_registrations(struct rr_registrations *registrations)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, registrations->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct registration *registration = value;

		registration->in_flight = false;
		registration->unwritten = true;
		registration->revision = 0;
		if (!registration->present)
			g_hash_table_iter_remove(&iter);
	}
}

void rr_observe_registration(struct rr_registrations *registrations,
			     const char *id, uint64_t revision, bool removed)
{
	struct registration *registration =
		g_hash_table_lookup(registrations->by_id, id);

	if (!registration || registration->in_flight ||
	    !registration->revision || revision <= registration->revision)
		return;
	if (removed && registration->present) {
		registration->unwritten = true;
		return;
	}
	/*
	 * Guards against an instance that moved to another registrar and
	 * expires here later: its entry then belongs to the other registrar and
	 * must not be removed.
	 */
#ifndef RR_MUTANT_ROSTER_KEEPS_MOVED
	g_hash_table_remove(registrations->by_id, id);
#endif
}
