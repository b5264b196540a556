/*
 * fake-cluster-actions.c - actions of the cores: replies of replicas, of the
 * store and of other instances.
 */
#include "support/fake-cluster-private.h"

#include <string.h>

#include "ragwort/wire.h"

#define KEYS_PER_ROW 10

struct fake_value {
	GBytes *bytes;
	uint64_t revision;
};

/* An event that is delivered to an instance. */
struct event {
	struct fake_instance *instance;
	struct rr_reply reply;
	struct rr_key_range range;
	struct rr_health health;
	struct rr_store_reply store;
	struct rr_peer_message *message;
	char *text; /* memory that the reply points to */
};

void fake_free_event(void *data)
{
	struct event *event = data;

	rr_drop_rows(event->reply.rows);
	rr_drop_peer_message(event->message);
	g_free(event->text);
	g_free(event);
}

static void deliver_reply(void *context, void *data)
{
	struct fake_cluster *cluster = context;
	struct event *event = data;
	struct fake_instance *instance = event->instance;

	if (instance->core)
		rr_core_handle_reply(instance->ctx, instance->core,
				     cluster->now_us, &event->reply);
	fake_free_event(event);
}

static void deliver_health(void *context, void *data)
{
	struct fake_cluster *cluster = context;
	struct event *event = data;
	struct fake_instance *instance = event->instance;

	if (instance->core)
		rr_core_handle_health(instance->ctx, instance->core,
				      cluster->now_us, &event->health);
	fake_free_event(event);
}

static void deliver_store_reply(void *context, void *data)
{
	struct fake_cluster *cluster = context;
	struct event *event = data;
	struct fake_instance *instance = event->instance;

	if (instance->core)
		rr_core_handle_store_reply(instance->ctx, instance->core,
					   cluster->now_us, &event->store);
	fake_free_event(event);
}

static void deliver_message(void *context, void *data)
{
	struct fake_cluster *cluster = context;
	struct event *event = data;
	struct fake_instance *instance = event->instance;

	if (instance->core)
		rr_core_handle_peer_message(
			instance->ctx, instance->core, cluster->now_us,
			fake_wall_us(cluster), event->message);
	fake_free_event(event);
}

static struct event *add_event(struct fake_instance *instance,
			       void (*run)(void *context, void *data),
			       int64_t delay_us)
{
	struct fake_cluster *cluster = instance->cluster;
	struct event *event = g_new0(struct event, 1);

	event->instance = instance;
	push_event(cluster->events, cluster->now_us + delay_us, run, event);
	return event;
}

static struct rr_rows *make_rows(const struct fake_replica *replica,
				 const struct rr_attempt *attempt,
				 uint64_t version, bool *more)
{
	struct rr_rows *rows = rr_new_rows();
	uint64_t from = MAX(replica->range.from, attempt->key_from);
	uint64_t to = MIN(replica->range.to, attempt->key_to);

	*more = false;
	for (uint64_t key = from; key < to; key++) {
		char *json;

		if (key % KEYS_PER_ROW)
			continue;
		if (rr_count_rows(rows) == attempt->row_limit) {
			*more = true;
			break;
		}
		json = g_strdup_printf("%" G_GUINT64_FORMAT, version);
		rr_append_row(rows, key, json, strlen(json));
		g_free(json);
	}
	return rows;
}

static void count_reservation_run(struct fake_replica *replica,
				  const struct rr_attempt *attempt)
{
	const char *id = attempt->idempotency_key;
	int runs =
		GPOINTER_TO_INT(g_hash_table_lookup(replica->run_counts, id));

	g_hash_table_insert(replica->run_counts, g_strdup(id),
			    GINT_TO_POINTER(runs + 1));
}

static bool holds_version(const struct fake_replica *replica, uint64_t version)
{
	return !version ||
	       (version >= replica->oldest && version <= replica->newest);
}

static void fill_rejection(struct event *event,
			   const struct fake_replica *replica)
{
	event->reply.status = replica->mode == FAKE_SHED ? RR_REPLY_SHED :
			      replica->mode == FAKE_DRAINING ?
							   RR_REPLY_DRAINING :
							   RR_REPLY_REFUSED;
	event->reply.retry_after_ms = replica->retry_after_ms;
}

static void fill_ok(struct event *event, struct fake_replica *replica,
		    const struct rr_attempt *attempt)
{
	uint64_t version = attempt->version;

	if (!version || replica->mode == FAKE_WRONG_VERSION)
		version = replica->newest;
	event->reply.status = RR_REPLY_OK;
	event->reply.version = version;
	event->reply.state = replica->state;
	event->reply.rows =
		make_rows(replica, attempt, version, &event->reply.has_more);
	event->reply.row_count = (uint32_t)rr_count_rows(event->reply.rows);
	event->range = replica->range;
	event->reply.ranges = &event->range;
	event->reply.n_ranges = 1;
	event->reply.body_complete = replica->mode != FAKE_TRUNCATE;
	if (attempt->kind != RR_RESERVE)
		return;
	count_reservation_run(replica, attempt);
	event->text = g_strdup_printf("{\"by\":\"%s\"}", replica->id);
	event->reply.result = event->text;
	event->reply.result_length = strlen(event->text);
}

static void send_attempt(void *data, const struct rr_attempt *attempt)
{
	struct fake_instance *instance = data;
	struct fake_replica *replica =
		fake_replica(instance->cluster, attempt->replica);
	struct event *event;

	replica->attempts++;
	if (replica->mode == FAKE_HANG)
		return;
	event = add_event(instance, deliver_reply, replica->latency_us);
	event->reply.attempt_id = attempt->id;
	event->reply.load = -1;
	event->reply.oldest_version = replica->oldest;
	event->reply.newest_version = replica->newest;
	event->reply.map_epoch = 1;
	if (replica->mode == FAKE_SHED || replica->mode == FAKE_REFUSE ||
	    replica->mode == FAKE_DOWN || replica->mode == FAKE_DRAINING) {
		fill_rejection(event, replica);
	} else if (replica->mode == FAKE_NO_VERSION ||
		   (replica->mode == FAKE_OK &&
		    !holds_version(replica, attempt->version))) {
		event->reply.status = RR_REPLY_NO_VERSION;
	} else if (replica->mode == FAKE_LOSE_REPLY) {
		event->reply.status = RR_REPLY_LOST;
		if (attempt->kind == RR_RESERVE)
			count_reservation_run(replica, attempt);
	} else {
		fill_ok(event, replica, attempt);
	}
}

static void cancel_attempt(void *data, uint64_t attempt_id)
{
	struct fake_instance *instance = data;
	GHashTableIter iter;
	gpointer value;

	(void)attempt_id;
	g_hash_table_iter_init(&iter, instance->cluster->replicas);
	if (g_hash_table_iter_next(&iter, NULL, &value))
		((struct fake_replica *)value)->cancelled++;
}

static void copy_rows(const struct rr_answer *answer, struct fake_answer *copy)
{
	for (size_t i = 0; i < answer->n_rows; i++) {
		const struct rr_answer_row *row = &answer->rows[i];
		uint64_t key = rr_row_key(row->rows, row->index);
		size_t length;
		const char *json = rr_row_json(row->rows, row->index, &length);
		char *text = g_strndup(json, length);
		uint64_t version = g_ascii_strtoull(text, NULL, 10);

		g_array_append_val(copy->keys, key);
		g_array_append_val(copy->versions, version);
		g_free(text);
	}
}

static void copy_lists(const struct rr_answer *answer, struct fake_answer *copy)
{
	for (size_t i = 0; i < answer->n_covered; i++)
		g_ptr_array_add(copy->covered, g_strdup(answer->covered[i]));
	for (size_t i = 0; i < answer->n_missing; i++) {
		const struct rr_missing_shard *missing = &answer->missing[i];

		g_ptr_array_add(copy->missing,
				g_strdup_printf("%s:%s", missing->shard,
						rr_missing_reason_name(
							missing->reason)));
	}
}

static void send_answer(void *data, const struct rr_answer *answer)
{
	struct fake_instance *instance = data;
	struct fake_answer *copy = g_new0(struct fake_answer, 1);

	copy->query_id = answer->query_id;
	copy->outcome = answer->outcome;
	copy->reason = g_strdup(answer->reason);
	copy->version = answer->index_version;
	copy->keys = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	copy->versions = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	copy->covered = g_ptr_array_new_with_free_func(g_free);
	copy->missing = g_ptr_array_new_with_free_func(g_free);
	copy->result = g_strdup(answer->result);
	copy->cursor = g_strdup(answer->next_cursor);
	copy->replayed = answer->replayed;
	copy->has_more = answer->has_more;
	copy->retry_after_ms = answer->retry_after_ms;
	copy->attempts = answer->attempts;
	copy->answered_us = instance->cluster->now_us;
	copy_rows(answer, copy);
	copy_lists(answer, copy);
	g_ptr_array_add(instance->answers, copy);
}

static struct fake_instance *find_instance(struct fake_cluster *cluster,
					   const char *name)
{
	for (guint i = 0; name && i < cluster->instances->len; i++) {
		struct fake_instance *instance =
			g_ptr_array_index(cluster->instances, i);

		if (instance->core && !strcmp(instance->name, name))
			return instance;
	}
	return NULL;
}

/* Encode and decode messages, as they are between processes. */
static void send_peer(void *data, const char *instance, const char *address,
		      const struct rr_peer_message *message)
{
	struct fake_instance *from = data;
	struct fake_instance *to = find_instance(from->cluster, instance);
	struct event *event;
	GError *error = NULL;
	GBytes *bytes;
	size_t length;
	const uint8_t *raw;

	(void)address;
	from->sent_by_kind[message->kind]++;
	if (!to || to->partitioned || from->partitioned)
		return;
	bytes = rr_encode_peer_message(message);
	raw = g_bytes_get_data(bytes, &length);
	event = add_event(to, deliver_message, from->cluster->link_delay_us);
	event->message = rr_decode_peer_message(raw, length, &error);
	if (!event->message)
		g_error("%s", error->message);
	g_bytes_unref(bytes);
}

static void poll_health(void *data, const char *replica, const char *address)
{
	struct fake_instance *instance = data;
	struct fake_replica *polled = fake_replica(instance->cluster, replica);
	struct event *event;

	(void)address;
	polled->polls++;
	if (polled->no_health)
		return;
	event = add_event(instance, deliver_health, FAKE_MS);
	event->health = (struct rr_health){
		.replica = polled->id,
		.reachable = polled->mode != FAKE_DOWN,
		.state = polled->state,
		.load = -1,
		.oldest_version = polled->oldest,
		.newest_version = polled->newest,
		.map_epoch = 1,
	};
}

static void record_offered_config(void *data, const char *record, size_t length)
{
	struct fake_instance *instance = data;

	(void)length;
	instance->offered_revision = g_ascii_strtoull(record, NULL, 10);
}

void fake_free_value(gpointer data)
{
	struct fake_value *value = data;

	g_bytes_unref(value->bytes);
	g_free(value);
}

/*
 * Create the reply to a store call.  If replies are lost, the call fails after
 * a second, the time-out of the store's adapter.
 */
static struct event *add_store_reply(struct fake_instance *instance,
				     uint64_t call_id)
{
	const struct fake_cluster *cluster = instance->cluster;
	int64_t delay_us = cluster->store_loses_replies ?
				   G_USEC_PER_SEC :
				   cluster->store_delay_us;
	struct event *event =
		add_event(instance, deliver_store_reply, delay_us);

	event->store.call_id = call_id;
	event->store.status = RR_STORE_OK;
	if (cluster->store_loses_replies)
		event->store.status = RR_STORE_UNKNOWN;
	else if (cluster->store_down)
		event->store.status = RR_STORE_UNAVAILABLE;
	return event;
}

static void store_get(void *data, uint64_t call_id, const char *key)
{
	struct fake_instance *instance = data;
	struct fake_value *value =
		g_hash_table_lookup(instance->cluster->values, key);
	struct event *event = add_store_reply(instance, call_id);

	if (!value || event->store.status != RR_STORE_OK)
		return;
	event->text = g_memdup2(g_bytes_get_data(value->bytes, NULL),
				g_bytes_get_size(value->bytes));
	event->store.value = event->text;
	event->store.length = g_bytes_get_size(value->bytes);
	event->store.revision = value->revision;
}

/*
 * Compare and swap a value.  If replies are lost, the call still takes effect.
 */
static void store_swap(void *data, uint64_t call_id, const char *key,
		       uint64_t revision, const char *text, size_t length,
		       const struct rr_store_guard *guard)
{
	struct fake_instance *instance = data;
	struct fake_cluster *cluster = instance->cluster;
	struct fake_value *value = g_hash_table_lookup(cluster->values, key);
	uint64_t current = value ? value->revision : 0;
	struct event *event = add_store_reply(instance, call_id);

	if (event->store.status == RR_STORE_UNAVAILABLE)
		return;
	if (current != revision) {
		if (event->store.status == RR_STORE_OK)
			event->store.status = RR_STORE_CONFLICT;
		return;
	}
	value = g_new0(struct fake_value, 1);
	value->bytes = g_bytes_new(text, length);
	value->revision = current + 1;
	g_hash_table_insert(cluster->values, g_strdup(key), value);
	event->store.revision = value->revision;
}

struct rr_core_actions fake_actions(struct fake_instance *instance)
{
	return (struct rr_core_actions){ send_attempt, cancel_attempt,
					 send_answer,  send_peer,
					 poll_health,  record_offered_config,
					 instance };
}

struct rr_store_port fake_store_actions(struct fake_instance *instance)
{
	return (struct rr_store_port){ store_get, store_swap, instance };
}
