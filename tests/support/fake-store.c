/*
 * fake-store.c - the platform's key-value service in memory.
 */
#include "support/fake-store.h"

#include <string.h>

struct fake_value {
	char *bytes;
	size_t length;
	uint64_t revision;
};

/* A call in progress: it takes effect, then its reply is sent. */
struct call {
	struct fake_client *client;
	bool write;
	char *key;
	char *bytes;
	size_t length;
	uint64_t compare;
	char *guard_key; /* NULL: no guard */
	uint64_t guard_revision;
	uint64_t call_id;
	enum rr_store_status status;
	uint64_t revision;
	uint64_t era;
	bool found;
};

static void free_value(gpointer data)
{
	struct fake_value *value = data;

	g_free(value->bytes);
	g_free(value);
}

static void free_call(void *data)
{
	struct call *call = data;

	g_free(call->key);
	g_free(call->guard_key);
	g_free(call->bytes);
	g_free(call);
}

struct fake_store *new_fake_store(uint32_t seed)
{
	struct fake_store *store = g_new0(struct fake_store, 1);

	store->random = g_rand_new_with_seed(seed);
	store->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      free_value);
	store->events = new_event_queue();
	store->min_delay_us = 1000;
	store->max_delay_us = 2500;
	return store;
}

static GHashTable *copy_values(GHashTable *values)
{
	GHashTable *copy = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, free_value);
	GHashTableIter iter;
	gpointer key;
	gpointer data;

	g_hash_table_iter_init(&iter, values);
	while (g_hash_table_iter_next(&iter, &key, &data)) {
		struct fake_value *value =
			g_memdup2(data, sizeof(struct fake_value));

		value->bytes = g_memdup2(value->bytes, value->length);
		g_hash_table_insert(copy, g_strdup(key), value);
	}
	return copy;
}

void copy_fake_store(struct fake_store *store)
{
	g_clear_pointer(&store->copy, g_hash_table_unref);
	store->copy = copy_values(store->values);
}

void restore_fake_store(struct fake_store *store)
{
	g_hash_table_unref(store->values);
	store->values = copy_values(store->copy);
	store->era++;
}

void drop_fake_store(struct fake_store *store)
{
	g_clear_pointer(&store->copy, g_hash_table_unref);
	g_rand_free(store->random);
	g_hash_table_destroy(store->values);
	drop_event_queue(store->events, free_call);
	g_free(store);
}

static int64_t draw_delay_us(struct fake_store *store)
{
	return g_rand_int_range(store->random, (gint32)store->min_delay_us,
				(gint32)store->max_delay_us + 1);
}

static enum fake_call_outcome draw_outcome(struct fake_store *store, bool write)
{
	uint32_t draw = (uint32_t)g_rand_int_range(store->random, 0, 1000);

	if (write && store->n_next_outcomes) {
		store->n_next_outcomes--;
		return store->next_outcome;
	}
	for (int outcome = FAKE_UNAVAILABLE; outcome < FAKE_CALL_OUTCOME_COUNT;
	     outcome++) {
		if (draw < store->per_mille[outcome])
			return outcome;
		draw -= store->per_mille[outcome];
	}
	return FAKE_OK;
}

/*
 * Time at which a call that arrives at arrival_us takes effect, after those
 * before it.
 */
static int64_t get_effect_time_us(struct fake_store *store, bool write,
				  int64_t arrival_us)
{
	int64_t *free_us = write ? &store->write_free_us : &store->read_free_us;
	uint32_t busy_us = write ? store->write_busy_us : store->read_busy_us;

	*free_us = MAX(*free_us, arrival_us) + busy_us;
	return *free_us;
}

static uint64_t get_revision(struct fake_store *store, const char *key)
{
	const struct fake_value *value =
		g_hash_table_lookup(store->values, key);

	return value ? value->revision : 0;
}

static bool holds_guard(struct fake_store *store, const struct call *call)
{
	return !call->guard_key ||
	       get_revision(store, call->guard_key) == call->guard_revision;
}

static void apply_call(struct fake_store *store, struct call *call)
{
	struct fake_value *value =
		g_hash_table_lookup(store->values, call->key);
	uint64_t revision = value ? value->revision : 0;

	call->status = RR_STORE_OK;
	call->revision = revision;
	call->era = store->era;
	if (call->write &&
	    (call->compare != revision || !holds_guard(store, call))) {
		store->conflicts++;
		call->status = RR_STORE_CONFLICT;
	} else if (call->write) {
		set_fake_value(store, call->key, call->bytes, call->length);
		call->revision = revision + 1;
	} else if (value) {
		call->found = true;
		call->bytes = g_memdup2(value->bytes, value->length);
		call->length = value->length;
	}
}

static void run_reply(void *context, void *data)
{
	struct call *call = data;
	const struct rr_store_reply reply = {
		.call_id = call->call_id,
		.status = call->status,
		.value = call->found ? call->bytes : NULL,
		.length = call->found ? call->length : 0,
		.revision = call->revision,
		.era = call->era,
	};

	(void)context;
	if (call->client->reply)
		call->client->reply(call->client->data, &reply);
	free_call(call);
}

static void run_effect(void *context, void *data)
{
	struct fake_store *store = context;
	struct call *call = data;

	apply_call(store, call);
	push_event(store->events, store->now_us + draw_delay_us(store),
		   run_reply, call);
}

/* Apply a call whose reply is lost. */
static void run_effect_without_reply(void *context, void *data)
{
	apply_call(context, data);
	free_call(data);
}

static void add_effect_without_reply(struct fake_store *store,
				     const struct call *call, int64_t due_us)
{
	struct call *effect = g_memdup2(call, sizeof(*call));

	effect->key = g_strdup(call->key);
	effect->guard_key = g_strdup(call->guard_key);
	effect->bytes = g_memdup2(call->bytes, call->length);
	push_event(store->events, due_us, run_effect_without_reply, effect);
}

static void add_call(struct fake_client *client, struct call *call)
{
	struct fake_store *store = client->store;
	enum fake_call_outcome outcome = draw_outcome(store, call->write);
	int64_t arrival_us = store->now_us + draw_delay_us(store);
	int64_t late_us = store->max_late_us;

	call->client = client;
	call->status = RR_STORE_UNKNOWN;
	if (outcome == FAKE_OK) {
		push_event(store->events,
			   get_effect_time_us(store, call->write, arrival_us),
			   run_effect, call);
		return;
	}
	if (outcome == FAKE_UNAVAILABLE) {
		call->status = RR_STORE_UNAVAILABLE;
	} else if (call->write && outcome == FAKE_LOST_AFTER_EFFECT) {
		add_effect_without_reply(store, call, arrival_us);
	} else if (call->write && outcome == FAKE_LATE_EFFECT) {
		late_us =
			late_us / 10 + (int64_t)(g_rand_double(store->random) *
						 0.9 * (double)late_us);
		add_effect_without_reply(store, call, arrival_us + late_us);
	}
	push_event(store->events, arrival_us, run_reply, call);
}

static void fake_get(void *data, uint64_t call_id, const char *key)
{
	struct fake_client *client = data;
	struct call *call = g_new0(struct call, 1);

	client->store->reads++;
	call->call_id = call_id;
	call->key = g_strdup(key);
	add_call(client, call);
}

static void fake_swap(void *data, uint64_t call_id, const char *key,
		      uint64_t revision, const char *value, size_t length,
		      const struct rr_store_guard *guard)
{
	struct fake_client *client = data;
	struct call *call = g_new0(struct call, 1);

	client->store->writes++;
	client->store->bytes_written += length;
	call->call_id = call_id;
	call->write = true;
	call->key = g_strdup(key);
	call->compare = revision;
	call->bytes = g_memdup2(value, length);
	call->length = length;
	if (guard) {
		call->guard_key = g_strdup(guard->key);
		call->guard_revision = guard->revision;
	}
	add_call(client, call);
}

struct rr_store_port fake_client_port(struct fake_client *client)
{
	return (struct rr_store_port){ fake_get, fake_swap, client };
}

int64_t fake_store_due_us(const struct fake_store *store)
{
	return next_event_us(store->events);
}

void run_fake_store_event(struct fake_store *store)
{
	run_next_event(store->events, &store->now_us, store);
}

const char *get_fake_value(struct fake_store *store, const char *key,
			   size_t *length, uint64_t *revision)
{
	struct fake_value *value = g_hash_table_lookup(store->values, key);

	*length = value ? value->length : 0;
	*revision = value ? value->revision : 0;
	return value ? value->bytes : NULL;
}

void set_fake_value(struct fake_store *store, const char *key,
		    const char *bytes, size_t length)
{
	struct fake_value *value = g_hash_table_lookup(store->values, key);

	if (!value) {
		value = g_new0(struct fake_value, 1);
		g_hash_table_insert(store->values, g_strdup(key), value);
	}
	g_free(value->bytes);
	value->bytes = g_memdup2(bytes, length);
	value->length = length;
	value->revision++;
}
