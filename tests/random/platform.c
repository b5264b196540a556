/*
 * platform.c - The fake platform's store.
 *
 * It keeps values with revisions.  Its faults are outages, slow replies,
 * replies that are lost after the write took effect, and writes that take
 * effect late.
 */
#include "random/simulation.h"

#include <string.h>

static void free_value(gpointer data)
{
	struct store_value *value = data;

	g_free(value->value);
	g_free(value);
}

void init_store(struct simulation *simulation)
{
	simulation->store_values = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, free_value);
}

void drop_store(struct simulation *simulation)
{
	g_hash_table_destroy(simulation->store_values);
}

struct call {
	int instance;
	uint64_t id;
	bool is_write;
	bool reply_lost;
	char *key;
	char *value;
	size_t length;
	uint64_t revision;
};

struct pending_reply {
	struct rr_store_reply reply;
	char *value;
};

static void drop_pending_reply(void *data)
{
	struct pending_reply *pending_reply = data;

	g_free(pending_reply->value);
	g_free(pending_reply);
}

static void deliver_store_reply(struct instance *instance, void *data)
{
	struct pending_reply *pending_reply = data;

	pending_reply->reply.value = pending_reply->value;
	rr_core_handle_store_reply(instance->ctx, instance->core,
				   instance->simulation->now_us,
				   &pending_reply->reply);
}

static void reply_to_call(struct simulation *simulation, int instance,
			  uint64_t id, enum rr_store_status status,
			  const struct store_value *value, int64_t delay_us)
{
	struct pending_reply *pending_reply = g_new0(struct pending_reply, 1);

	pending_reply->reply.call_id = id;
	pending_reply->reply.status = status;
	if (status == RR_STORE_OK && value) {
		pending_reply->value =
			g_memdup2(value->value, value->length + 1);
		pending_reply->reply.length = value->length;
		pending_reply->reply.revision = value->revision;
	}
	schedule_delivery(simulation, instance, simulation->now_us + delay_us,
			  deliver_store_reply, pending_reply,
			  drop_pending_reply);
}

static enum rr_store_status swap_value(struct simulation *simulation,
				       struct call *call,
				       struct store_value **value)
{
	uint64_t current_revision = *value ? (*value)->revision : 0;

	if (current_revision != call->revision)
		return RR_STORE_CONFLICT;
	if (!*value) {
		*value = g_new0(struct store_value, 1);
		g_hash_table_insert(simulation->store_values,
				    g_strdup(call->key), *value);
	}
	g_free((*value)->value);
	(*value)->value = g_memdup2(call->value, call->length + 1);
	(*value)->length = call->length;
	(*value)->revision++;
	return RR_STORE_OK;
}

static void run_call(struct simulation *simulation, void *data)
{
	struct call *call = data;
	struct store_value *value;
	enum rr_store_status status = RR_STORE_OK;

	value = g_hash_table_lookup(simulation->store_values, call->key);
	if (call->is_write)
		status = swap_value(simulation, call, &value);
	if (!call->reply_lost)
		reply_to_call(simulation, call->instance, call->id, status,
			      call->is_write && status != RR_STORE_OK ? NULL :
									value,
			      random_between(simulation, 200, 2 * MS));
	g_free(call->key);
	g_free(call->value);
	g_free(call);
}

static void start_call(struct instance *instance, struct call *call)
{
	struct simulation *simulation = instance->simulation;
	int64_t delay_us = random_between(simulation, 300, 3 * MS);

	call->instance = instance->index;
	if (simulation->store_slow)
		delay_us += random_between(simulation, 0, 900 * MS);
	if (simulation->store_down ||
	    (!simulation->faults_stopped && random_one_in(simulation, 60))) {
		/*
		 * Either the connection was refused, which proves that the call
		 * had no effect, or it was lost after the call was sent.
		 */
		if (random_one_in(simulation, 2)) {
			reply_to_call(simulation, call->instance, call->id,
				      RR_STORE_UNAVAILABLE, NULL, delay_us);
			g_free(call->key);
			g_free(call->value);
			g_free(call);
			return;
		}
		call->reply_lost = true;
	}
	if (simulation->store_loses_replies && random_one_in(simulation, 2))
		call->reply_lost = true;
	if (call->reply_lost) {
		reply_to_call(simulation, call->instance, call->id,
			      RR_STORE_UNKNOWN, NULL, delay_us);
		if (random_one_in(simulation, 2)) {
			g_free(call->key);
			g_free(call->value);
			g_free(call);
			return; /* without effect */
		}
		/* Takes effect, perhaps long after the call has timed out. */
		delay_us = random_between(simulation, 0, 3000 * MS);
	}
	schedule_event(simulation, simulation->now_us + delay_us, run_call,
		       call);
}

static void get(void *data, uint64_t call_id, const char *key)
{
	struct call *call = g_new0(struct call, 1);

	call->id = call_id;
	call->key = g_strdup(key);
	call->value = g_strdup("");
	start_call(data, call);
}

static void compare_and_swap(void *data, uint64_t call_id, const char *key,
			     uint64_t revision, const char *value,
			     size_t length, const struct rr_store_guard *guard)
{
	struct call *call = g_new0(struct call, 1);

	call->id = call_id;
	call->is_write = true;
	call->key = g_strdup(key);
	call->revision = revision;
	call->value = g_malloc0(length + 1);
	memcpy(call->value, value, length);
	call->length = length;
	start_call(data, call);
}

struct rr_store_port make_fake_store_port(struct instance *instance)
{
	return (struct rr_store_port){ get, compare_and_swap, instance };
}

void perturb_store(struct simulation *simulation)
{
	switch (g_rand_int_range(simulation->random, 0, 4)) {
	case 0:
		simulation->store_down = random_one_in(simulation, 4);
		break;
	case 1:
		simulation->store_slow = random_one_in(simulation, 4);
		break;
	case 2:
		simulation->store_loses_replies = random_one_in(simulation, 3);
		break;
	case 3:
		simulation->store_down = false;
		break;
	}
}
