/*
 * feed-fleet-store.c - a simulated store in virtual time: items, leases,
 * watches, stale copies and call counts.
 */
#include "support/feed-fleet-private.h"

#include <string.h>

/* How long new watches are held after a compaction. */
#define HOLD_WATCHES_US (100 * FLEET_MS)

void fleet_drop_change(gpointer data)
{
	struct fleet_change *change = data;

	if (--change->refs)
		return;
	g_free(change->key);
	g_free(change->value);
	g_free(change);
}

/*
 * Values are "zone|address|strength|started_ms" of an instance, or a version.
 */
static char *encode_instance(const struct rr_instance *instance)
{
	return g_strdup_printf("%s|%s|%.3f|%" G_GINT64_FORMAT, instance->zone,
			       instance->address, instance->strength,
			       instance->started_ms);
}

static struct rr_instance *decode_instance(const char *id, const char *value)
{
	char **words = g_strsplit(value, "|", 4);
	struct rr_instance *instance = g_new0(struct rr_instance, 1);

	instance->id = g_strdup(id);
	instance->zone = g_strdup(words[0]);
	instance->address = g_strdup(words[1]);
	instance->strength = g_ascii_strtod(words[2], NULL);
	instance->started_ms = g_ascii_strtoll(words[3], NULL, 10);
	g_strfreev(words);
	return instance;
}

struct rr_feed_item *fleet_make_item(const char *key, const char *value,
				     uint64_t revision)
{
	struct rr_feed_item *item = g_new0(struct rr_feed_item, 1);

	item->key = g_strdup(key);
	item->revision = revision;
	item->removed = !value;
	item->value = g_strdup(value);
	if (!strcmp(key, ROUTES_KEY)) {
		item->kind = RR_FEED_ROUTES;
		item->routes =
			rr_new_route_table(g_ascii_strtoull(value, NULL, 10));
		return item;
	}
	item->id = g_strdup(key + 2);
	item->kind = key[0] == 'i' ? RR_FEED_INSTANCE : RR_FEED_REPLICA;
	if (value && item->kind == RR_FEED_INSTANCE)
		item->instance = decode_instance(item->id, value);
	if (value && item->kind == RR_FEED_REPLICA) {
		item->replica = g_new0(struct rr_endpoint_info, 1);
		item->replica->id = g_strdup(item->id);
	}
	return item;
}

static void write_key(struct fleet *fleet, const char *key, const char *value,
		      uint64_t lease, uint64_t revision)
{
	struct fleet_change *change = g_new0(struct fleet_change, 1);

	change->refs = 1;
	change->revision = revision;
	change->at_us = fleet->now_us;
	change->key = g_strdup(key);
	change->value = g_strdup(value);
	change->lease = lease;
	g_ptr_array_add(fleet->history, change);
	g_hash_table_replace(fleet->items, change->key, change);
}

static void expire_leases(struct fleet *fleet)
{
	GPtrArray *expired = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->items);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct fleet_change *change = value;
		int64_t *until_us =
			g_hash_table_lookup(fleet->leases, &change->lease);

		if (change->value && change->lease &&
		    (!until_us || *until_us <= fleet->now_us))
			g_ptr_array_add(expired, key);
	}
	for (guint i = 0; i < expired->len; i++)
		write_key(fleet, g_ptr_array_index(expired, i), NULL, 0,
			  ++fleet->revision);
	if (expired->len)
		fleet_answer_watches(fleet);
	g_ptr_array_unref(expired);
}

static gint compare_keys(gconstpointer a, gconstpointer b)
{
	return strcmp((*(const struct fleet_change *const *)a)->key,
		      (*(const struct fleet_change *const *)b)->key);
}

/*
 * List the items as of `at_us`, by key; *revision is the store's at that time.
 */
static GPtrArray *items_at(const GPtrArray *history, int64_t at_us,
			   uint64_t *revision)
{
	GHashTable *items = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *sorted = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	*revision = 1;
	for (guint i = 0; i < history->len; i++) {
		struct fleet_change *change = g_ptr_array_index(history, i);

		if (change->at_us > at_us)
			break;
		*revision = change->revision;
		g_hash_table_replace(items, change->key, change);
	}
	g_hash_table_iter_init(&iter, items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((struct fleet_change *)value)->value)
			g_ptr_array_add(sorted, value);
	}
	g_ptr_array_sort(sorted, compare_keys);
	g_hash_table_unref(items);
	return sorted;
}

static void reply_range(struct fleet *fleet, const struct fleet_call *call,
			struct rr_feed_reply *reply)
{
	int64_t at_us = fleet->now_us -
			(call->call.allow_stale ? STALE_COPY_AGE_US : 0);
	GPtrArray *items =
		items_at(at_us < fleet->restored_us ? fleet->prior_history :
						      fleet->history,
			 at_us, &reply->revision);

	for (guint i = 0; i < items->len; i++) {
		const struct fleet_change *change = g_ptr_array_index(items, i);

		if (call->after_key &&
		    strcmp(change->key, call->after_key) <= 0)
			continue;
		if (reply->items->len == PAGE_ITEMS) {
			reply->more = true;
			break;
		}
		g_ptr_array_add(reply->items,
				fleet_make_item(change->key, change->value,
						change->revision));
	}
	g_ptr_array_unref(items);
}

static void reply_changes(const struct fleet *fleet,
			  const struct fleet_call *call,
			  struct rr_feed_reply *reply)
{
	reply->revision = fleet->revision;
	for (guint i = 0; i < fleet->history->len; i++) {
		const struct fleet_change *change =
			g_ptr_array_index(fleet->history, i);

		if (change->revision <= call->call.after_revision)
			continue;
		g_ptr_array_add(reply->items,
				fleet_make_item(change->key, change->value,
						change->revision));
	}
}

static void write_entries(struct fleet *fleet, const struct fleet_call *call,
			  struct rr_feed_reply *reply)
{
	if (!g_hash_table_contains(fleet->leases, &call->call.lease)) {
		reply->status = RR_FEED_NO_LEASE;
		return;
	}
	reply->revision = ++fleet->revision;
	for (guint i = 0; i < call->entered->len; i++) {
		const struct rr_instance *instance =
			g_ptr_array_index(call->entered, i);
		char *key = g_strconcat("i/", instance->id, NULL);
		char *value = encode_instance(instance);

		write_key(fleet, key, value, call->call.lease, fleet->revision);
		g_free(value);
		g_free(key);
	}
	for (guint i = 0; i < call->removed->len; i++) {
		char *key = g_strconcat(
			"i/", (char *)g_ptr_array_index(call->removed, i),
			NULL);

		if (g_hash_table_contains(fleet->items, key))
			write_key(fleet, key, NULL, 0, fleet->revision);
		g_free(key);
	}
	fleet_answer_watches(fleet);
}

static void grant_lease(struct fleet *fleet, const struct fleet_call *call,
			struct rr_feed_reply *reply)
{
	uint64_t *id = g_new(uint64_t, 1);
	int64_t *until_us = g_new(int64_t, 1);

	reply->lease = *id = ++fleet->next_lease;
	*until_us = fleet->now_us + (int64_t)call->call.ttl_ms * 1000;
	g_hash_table_insert(fleet->leases, id, until_us);
}

static void renew_lease(struct fleet *fleet, const struct fleet_call *call,
			struct rr_feed_reply *reply)
{
	int64_t *until_us =
		g_hash_table_lookup(fleet->leases, &call->call.lease);

	if (until_us && *until_us > fleet->now_us)
		*until_us = fleet->now_us + 12 * FLEET_S;
	else
		reply->status = RR_FEED_NO_LEASE;
}

static void count_call(struct fleet *fleet, const struct fleet_call *call)
{
	bool cheap =
		call->call.kind == RR_FEED_LEASE_RENEW ||
		(call->call.kind == RR_FEED_RANGE && call->call.allow_stale);

	fleet->billed_calls += cheap ? 0.1 : 1;
	if (fleet->current_second != fleet->now_us / FLEET_S)
		fleet->calls_this_second = 0;
	fleet->current_second = fleet->now_us / FLEET_S;
	fleet->calls_this_second += !cheap;
	fleet->peak_calls_per_s =
		MAX(fleet->peak_calls_per_s, fleet->calls_this_second);
}

static void answer_watch(struct fleet *fleet, struct fleet_call *call)
{
	bool lost = call->call.after_revision > fleet->revision ||
		    call->call.after_revision < fleet->compacted_revision;
	struct delivery *delivery =
		fleet_new_delivery(call, lost ? RR_FEED_COMPACTED : RR_FEED_OK);

	delivery->reply.era = fleet->era;
	if (!lost)
		reply_changes(fleet, call, &delivery->reply);
	fleet_answer(fleet, delivery);
}

void fleet_answer_watches(struct fleet *fleet)
{
	guint i = 0;

	while (i < fleet->watches->len) {
		struct fleet_call *call = g_ptr_array_index(fleet->watches, i);

		if (!call->done && !call->node->rejected_by_store &&
		    !fleet->store_down && call->deadline_us > fleet->now_us &&
		    (call->is_held ||
		     fleet->revision == call->call.after_revision)) {
			i++;
			continue;
		}
		if (fleet->store_down || call->node->rejected_by_store)
			fleet_fail(fleet, call);
		else if (!call->done)
			answer_watch(fleet, call);
		g_ptr_array_remove_index(fleet->watches, i);
	}
}

void fleet_handle_at_store(struct fleet *fleet, struct fleet_call *call)
{
	struct delivery *delivery;

	count_call(fleet, call);
	if (fleet->store_down || call->node->rejected_by_store) {
		fleet_fail(fleet, call);
		return;
	}
	if (call->call.kind == RR_FEED_WATCH) {
		call->is_held =
			call->call.after_revision < fleet->compacted_revision &&
			fleet->now_us < fleet->hold_watches_until_us;
		g_ptr_array_add(fleet->watches, fleet_keep_call(call));
		fleet_answer_watches(fleet);
		return;
	}
	delivery = fleet_new_delivery(call, RR_FEED_OK);
	delivery->reply.era = fleet->era;
	if (call->call.kind == RR_FEED_RANGE)
		reply_range(fleet, call, &delivery->reply);
	else if (call->call.kind == RR_FEED_LEASE_GRANT)
		grant_lease(fleet, call, &delivery->reply);
	else if (call->call.kind == RR_FEED_LEASE_RENEW)
		renew_lease(fleet, call, &delivery->reply);
	else if (call->call.kind == RR_FEED_WRITE_ENTRIES)
		write_entries(fleet, call, &delivery->reply);
	fleet_answer(fleet, delivery);
}

void fleet_tick_store(void *context, void *data)
{
	struct fleet *fleet = context;

	if (fleet->stopping)
		return;
	expire_leases(fleet);
	fleet_answer_watches(fleet);
	push_event(fleet->events, fleet->now_us + 100 * FLEET_MS,
		   fleet_tick_store, NULL);
}

void fleet_write_routes(struct fleet *fleet, uint64_t version)
{
	char *value = g_strdup_printf("%" G_GUINT64_FORMAT, version);

	write_key(fleet, ROUTES_KEY, value, 0, ++fleet->revision);
	fleet_answer_watches(fleet);
	g_free(value);
}

void fleet_write_replica(struct fleet *fleet, guint number)
{
	char *key = g_strdup_printf("r/%u", number);

	write_key(fleet, key, "replica", 0, ++fleet->revision);
	fleet_answer_watches(fleet);
	g_free(key);
}

void fleet_remove_replica(struct fleet *fleet, guint number)
{
	char *key = g_strdup_printf("r/%u", number);

	write_key(fleet, key, NULL, 0, ++fleet->revision);
	fleet_answer_watches(fleet);
	g_free(key);
}

/*
 * Drop the leases granted after those of the restored items; their ids are
 * given out again.
 */
static void drop_later_leases(struct fleet *fleet)
{
	GHashTableIter iter;
	gpointer id;
	gpointer value;

	fleet->next_lease = 0;
	g_hash_table_iter_init(&iter, fleet->items);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fleet->next_lease = MAX(fleet->next_lease,
					((struct fleet_change *)value)->lease);
	g_hash_table_iter_init(&iter, fleet->leases);
	while (g_hash_table_iter_next(&iter, &id, NULL)) {
		if (*(uint64_t *)id > fleet->next_lease)
			g_hash_table_iter_remove(&iter);
	}
}

static void keep_prior_history(struct fleet *fleet)
{
	g_ptr_array_set_size(fleet->prior_history, 0);
	for (guint i = 0; i < fleet->history->len; i++) {
		struct fleet_change *change =
			g_ptr_array_index(fleet->history, i);

		change->refs++;
		g_ptr_array_add(fleet->prior_history, change);
	}
	fleet->restored_us = fleet->now_us;
}

void fleet_restore_store(struct fleet *fleet, int64_t age_us)
{
	GPtrArray *items = items_at(fleet->history, fleet->now_us - age_us,
				    &fleet->revision);
	guint n = fleet->history->len;

	keep_prior_history(fleet);
	g_hash_table_remove_all(fleet->items);
	for (guint i = 0; i < items->len; i++) {
		struct fleet_change *change = g_ptr_array_index(items, i);

		g_hash_table_replace(fleet->items, change->key, change);
	}
	while (n &&
	       ((struct fleet_change *)g_ptr_array_index(fleet->history, n - 1))
			       ->at_us > fleet->now_us - age_us)
		n--;
	g_ptr_array_set_size(fleet->history, (gint)n);
	g_ptr_array_unref(items);
	drop_later_leases(fleet);
	fleet->compacted_revision =
		MIN(fleet->compacted_revision, fleet->revision);
	fleet->era++;
	fleet_close_store_conns(fleet);
}

void fleet_compact_store(struct fleet *fleet)
{
	fleet->compacted_revision = fleet->revision;
	fleet->hold_watches_until_us = fleet->now_us + HOLD_WATCHES_US;
	fleet_close_store_conns(fleet);
}

void fleet_set_store_down(struct fleet *fleet, bool down)
{
	fleet->store_down = down;
	fleet_close_store_conns(fleet);
}

guint fleet_count_entries(struct fleet *fleet)
{
	GHashTableIter iter;
	gpointer value;
	guint n = 0;

	g_hash_table_iter_init(&iter, fleet->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct fleet_change *change = value;

		n += change->key[0] == 'i' && change->value;
	}
	return n;
}
