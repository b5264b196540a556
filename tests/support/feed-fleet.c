/*
 * feed-fleet.c - feeds, their calls, and a store that answers them.
 */
#include "support/feed-fleet.h"

#include <string.h>

/* One way, to the store and among instances. */
#define WAY_US (2 * FLEET_MS)
/* How old a copy is that may be old. */
#define OLD_US (1 * FLEET_S)
#define PAGE_ITEMS 500
#define NEWS_BOUND_MS 6000
#define ROUTES_KEY "routes"

struct fleet_change {
	uint64_t revision;
	int64_t at_us;
	char *key;
	char *value; /* NULL: removed */
	uint64_t lease;
};

/* A call on its way, at the store or at another instance. */
struct fleet_call {
	struct fleet_node *node;
	struct fleet_node *peer; /* NULL: the store */
	uint32_t lifetime;
	struct rr_feed_call call;
	char *after_key;
	GPtrArray *entered; /* struct rr_instance */
	GPtrArray *removed; /* char */
	int64_t until_us;
	bool over;
	guint refs;
};

static void free_change(gpointer data)
{
	struct fleet_change *change = data;

	g_free(change->key);
	g_free(change->value);
	g_free(change);
}

static void drop_call(gpointer data)
{
	struct fleet_call *call = data;

	if (--call->refs)
		return;
	g_ptr_array_unref(call->entered);
	g_ptr_array_unref(call->removed);
	g_free(call->after_key);
	g_free(call);
}

static struct fleet_call *keep_call(struct fleet_call *call)
{
	call->refs++;
	return call;
}

/* Values are "zone|address|strength|born" of an instance, or a version. */
static char *encode_instance(const struct rr_instance *instance)
{
	return g_strdup_printf("%s|%s|%.3f|%" G_GINT64_FORMAT, instance->zone,
			       instance->address, instance->strength,
			       instance->born_ms);
}

static struct rr_instance *decode_instance(const char *id, const char *value)
{
	char **words = g_strsplit(value, "|", 4);
	struct rr_instance *instance = g_new0(struct rr_instance, 1);

	instance->id = g_strdup(id);
	instance->zone = g_strdup(words[0]);
	instance->address = g_strdup(words[1]);
	instance->strength = g_ascii_strtod(words[2], NULL);
	instance->born_ms = g_ascii_strtoll(words[3], NULL, 10);
	g_strfreev(words);
	return instance;
}

static struct rr_feed_item *make_item(const char *key, const char *value,
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
		item->replica = g_new0(struct rr_listing, 1);
		item->replica->id = g_strdup(item->id);
	}
	return item;
}

/* The store. */

static void answer_watches(struct fleet *fleet);

static void write_key(struct fleet *fleet, const char *key, const char *value,
		      uint64_t lease, uint64_t revision)
{
	struct fleet_change *change = g_new0(struct fleet_change, 1);

	change->revision = revision;
	change->at_us = fleet->now_us;
	change->key = g_strdup(key);
	change->value = g_strdup(value);
	change->lease = lease;
	g_ptr_array_add(fleet->history, change);
	g_hash_table_replace(fleet->items, change->key, change);
}

static void end_leases(struct fleet *fleet)
{
	GPtrArray *gone = g_ptr_array_new();
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
			g_ptr_array_add(gone, key);
	}
	for (guint i = 0; i < gone->len; i++)
		write_key(fleet, g_ptr_array_index(gone, i), NULL, 0,
			  ++fleet->revision);
	if (gone->len)
		answer_watches(fleet);
	g_ptr_array_unref(gone);
}

static gint compare_keys(gconstpointer a, gconstpointer b)
{
	return strcmp((*(const struct fleet_change *const *)a)->key,
		      (*(const struct fleet_change *const *)b)->key);
}

/* What stood at a moment, by key; *revision: of then. */
static GPtrArray *items_at(const struct fleet *fleet, int64_t at_us,
			   uint64_t *revision)
{
	GHashTable *items = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *sorted = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	*revision = 1;
	for (guint i = 0; i < fleet->history->len; i++) {
		struct fleet_change *change =
			g_ptr_array_index(fleet->history, i);

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

static void answer_range(struct fleet *fleet, const struct fleet_call *call,
			 struct rr_feed_reply *reply)
{
	int64_t at_us = fleet->now_us - (call->call.may_be_old ? OLD_US : 0);
	GPtrArray *items = items_at(fleet, at_us, &reply->revision);

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
				make_item(change->key, change->value,
					  change->revision));
	}
	g_ptr_array_unref(items);
}

static void answer_changes(const struct fleet *fleet,
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
				make_item(change->key, change->value,
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
	answer_watches(fleet);
}

static void grant(struct fleet *fleet, const struct fleet_call *call,
		  struct rr_feed_reply *reply)
{
	uint64_t *id = g_new(uint64_t, 1);
	int64_t *until_us = g_new(int64_t, 1);

	reply->lease = *id = ++fleet->next_lease;
	*until_us = fleet->now_us + (int64_t)call->call.ttl_ms * 1000;
	g_hash_table_insert(fleet->leases, id, until_us);
}

static void keep_lease(struct fleet *fleet, const struct fleet_call *call,
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
		call->call.kind == RR_FEED_KEEP ||
		(call->call.kind == RR_FEED_RANGE && call->call.may_be_old);

	fleet->priced += cheap ? 0.1 : 1;
	if (fleet->second != fleet->now_us / FLEET_S)
		fleet->in_second = 0;
	fleet->second = fleet->now_us / FLEET_S;
	fleet->in_second += !cheap;
	fleet->busiest = MAX(fleet->busiest, fleet->in_second);
}

/* Answers. */

static void run_node(struct fleet_node *node);

struct delivery {
	struct fleet_call *call;
	struct rr_feed_reply reply;
};

static void free_delivery(struct delivery *delivery)
{
	g_ptr_array_unref(delivery->reply.items);
	drop_call(delivery->call);
	g_free(delivery);
}

static void deliver(void *context, void *data)
{
	struct delivery *delivery = data;
	struct fleet_call *call = delivery->call;
	struct fleet_node *node = call->node;

	if (!call->over && node->feed && node->lifetime == call->lifetime &&
	    !node->fleet->over) {
		call->over = true;
		delivery->reply.call = call->call.id;
		rr_feed_reply(node->ctx, node->feed, node->fleet->now_us,
			      &delivery->reply);
		run_node(node);
	}
	free_delivery(delivery);
}

static struct delivery *new_delivery(struct fleet_call *call,
				     enum rr_feed_status status)
{
	struct delivery *delivery = g_new0(struct delivery, 1);

	delivery->call = keep_call(call);
	delivery->reply.status = status;
	delivery->reply.items =
		g_ptr_array_new_with_free_func(rr_free_feed_item);
	return delivery;
}

static void answer(struct fleet *fleet, struct delivery *delivery)
{
	push_event(fleet->events, fleet->now_us + WAY_US, deliver, delivery);
}

static void fail(struct fleet *fleet, struct fleet_call *call)
{
	answer(fleet, new_delivery(call, RR_FEED_FAILED));
}

static void answer_watch(struct fleet *fleet, struct fleet_call *call)
{
	struct delivery *delivery = new_delivery(call, RR_FEED_OK);

	answer_changes(fleet, call, &delivery->reply);
	answer(fleet, delivery);
}

static void answer_watches(struct fleet *fleet)
{
	guint i = 0;

	while (i < fleet->watches->len) {
		struct fleet_call *call = g_ptr_array_index(fleet->watches, i);

		if (!call->over && !call->node->turned_away &&
		    !fleet->store_away &&
		    fleet->revision <= call->call.after_revision &&
		    call->until_us > fleet->now_us) {
			i++;
			continue;
		}
		if (fleet->store_away || call->node->turned_away)
			fail(fleet, call);
		else if (!call->over)
			answer_watch(fleet, call);
		g_ptr_array_remove_index(fleet->watches, i);
	}
}

static void take_at_store(struct fleet *fleet, struct fleet_call *call)
{
	struct delivery *delivery;

	count_call(fleet, call);
	if (fleet->store_away || call->node->turned_away) {
		fail(fleet, call);
		return;
	}
	if (call->call.kind == RR_FEED_WATCH) {
		g_ptr_array_add(fleet->watches, keep_call(call));
		answer_watches(fleet);
		return;
	}
	delivery = new_delivery(call, RR_FEED_OK);
	if (call->call.kind == RR_FEED_RANGE)
		answer_range(fleet, call, &delivery->reply);
	else if (call->call.kind == RR_FEED_GRANT)
		grant(fleet, call, &delivery->reply);
	else if (call->call.kind == RR_FEED_KEEP)
		keep_lease(fleet, call, &delivery->reply);
	else if (call->call.kind == RR_FEED_ENTER)
		write_entries(fleet, call, &delivery->reply);
	answer(fleet, delivery);
}

/* At another instance. */

static void tell(struct fleet_node *peer, struct fleet_call *call)
{
	bool everything = call->call.kind == RR_FEED_RANGE;
	uint64_t revision;
	GArray *items = rr_feed_changes(
		peer->feed, everything ? 0 : call->call.after_revision,
		&revision);
	struct delivery *delivery =
		new_delivery(call, items ? RR_FEED_OK : RR_FEED_FORGOTTEN);

	delivery->reply.revision = revision;
	for (guint i = 0; items && i < items->len; i++) {
		const struct rr_news_item *item =
			&g_array_index(items, struct rr_news_item, i);

		g_ptr_array_add(
			delivery->reply.items,
			make_item(item->key, item->value, item->revision));
	}
	if (items)
		g_array_unref(items);
	answer(peer->fleet, delivery);
}

/* As the gateway answers those who ask; false: it waits on. */
static bool answer_asker(struct fleet_node *peer, struct fleet_call *call)
{
	int64_t now_us = peer->fleet->now_us;

	if (!rr_feed_passes_on(peer->feed)) {
		if (rr_feed_passes_on_soon(peer->feed, now_us))
			return false;
		fail(peer->fleet, call);
		return true;
	}
	if (call->until_us > now_us &&
	    rr_feed_revision(peer->feed) <= call->call.after_revision)
		return false;
	tell(peer, call);
	return true;
}

static void answer_askers(struct fleet_node *node)
{
	guint i = 0;

	while (i < node->askers->len) {
		if (answer_asker(node, g_ptr_array_index(node->askers, i)))
			g_ptr_array_remove_index(node->askers, i);
		else
			i++;
	}
}

static void enter_for(struct fleet_node *peer, struct fleet_call *call)
{
	bool taken = true;

	for (guint i = 0; i < call->removed->len; i++)
		rr_feed_strike_off(peer->feed, peer->fleet->now_us,
				   g_ptr_array_index(call->removed, i));
	for (guint i = 0; i < call->entered->len && taken; i++)
		taken = rr_feed_enroll(peer->ctx, peer->feed,
				       peer->fleet->now_us,
				       g_ptr_array_index(call->entered, i));
	answer(peer->fleet,
	       new_delivery(call, taken ? RR_FEED_OK : RR_FEED_FAILED));
}

static void take_at_peer(struct fleet_node *peer, struct fleet_call *call)
{
	if (!peer->feed)
		fail(peer->fleet, call);
	else if (call->call.kind == RR_FEED_ENTER)
		enter_for(peer, call);
	else if (call->call.kind == RR_FEED_RANGE)
		tell(peer, call);
	else
		g_ptr_array_add(peer->askers, keep_call(call));
	if (peer->feed)
		run_node(peer);
}

static void arrive(void *context, void *data)
{
	struct fleet *fleet = context;
	struct fleet_call *call = data;

	call->until_us = fleet->now_us + (int64_t)call->call.wait_ms * 1000;
	if (fleet->over)
		call->over = true;
	else if (call->peer)
		take_at_peer(call->peer, call);
	else
		take_at_store(fleet, call);
	drop_call(call);
}

static void time_out(void *context, void *data)
{
	struct fleet *fleet = context;
	struct fleet_call *call = data;

	if (!call->over && !fleet->over)
		fail(fleet, call);
	drop_call(call);
}

/* Nodes. */

static struct fleet_node *find_peer(const struct fleet *fleet,
				    const char *address)
{
	return g_ptr_array_index(fleet->nodes, atoi(address));
}

static void free_instance(gpointer data)
{
	rr_free_instance(data);
}

static void make_call(void *data, const struct rr_feed_call *made)
{
	struct fleet_node *node = data;
	struct fleet *fleet = node->fleet;
	struct fleet_call *call = g_new0(struct fleet_call, 1);

	call->refs = 2;
	call->node = node;
	call->lifetime = node->lifetime;
	call->call = *made;
	call->peer = made->peer ? find_peer(fleet, made->peer) : NULL;
	call->after_key = g_strdup(made->after_key);
	call->entered = g_ptr_array_new_with_free_func(free_instance);
	call->removed = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; made->entered && i < made->entered->len; i++)
		g_ptr_array_add(
			call->entered,
			rr_copy_instance(g_ptr_array_index(made->entered, i)));
	for (guint i = 0; made->removed && i < made->removed->len; i++)
		g_ptr_array_add(call->removed,
				g_strdup(g_ptr_array_index(made->removed, i)));
	push_event(fleet->events, fleet->now_us + WAY_US, arrive, call);
	push_event(fleet->events,
		   fleet->now_us + (int64_t)made->timeout_ms * 1000, time_out,
		   call);
}

/* What is cancelled is answered to nobody: its id is not known any more. */
static void ignore_cancel(void *data, uint64_t call)
{
}

static void take_routes(void *data, struct rr_route_table *table)
{
	struct fleet_node *node = data;

	if (rr_route_table_version(table) <= node->routes)
		return;
	node->routes = rr_route_table_version(table);
	node->routes_us = node->fleet->now_us;
}

static void ignore_listed(void *data, const struct rr_listing *listing)
{
}

static void ignore_unlisted(void *data, const char *id)
{
}

static void ignore_instances(void *data, uint32_t instances)
{
}

static void ignore_instance(void *data, const char *id,
			    const struct rr_instance *instance)
{
}

static void tick(void *context, void *data)
{
	struct fleet_node *node = data;

	if (node->tick_us > node->fleet->now_us || node->fleet->over)
		return;
	node->tick_us = INT64_MAX;
	if (node->feed)
		run_node(node);
}

static void run_node(struct fleet_node *node)
{
	struct fleet *fleet = node->fleet;
	int64_t wake_us;

	rr_feed_tick(node->ctx, node->feed, fleet->now_us);
	answer_askers(node);
	if (!node->read_us && rr_feed_has_read(node->feed))
		node->read_us = fleet->now_us;
	wake_us = rr_feed_wake_us(node->feed);
	for (guint i = 0; i < node->askers->len; i++) {
		const struct fleet_call *call =
			g_ptr_array_index(node->askers, i);

		wake_us = MIN(wake_us, call->until_us);
	}
	if (node->askers->len)
		wake_us = MIN(wake_us, rr_feed_soon_until_us(node->feed));
	wake_us = MAX(wake_us, fleet->now_us + FLEET_MS);
	if (wake_us >= node->tick_us)
		return;
	node->tick_us = wake_us;
	push_event(fleet->events, wake_us, tick, node);
}

static void start_node(void *context, void *data)
{
	struct fleet_node *node = data;
	struct rr_feed_options options = {
		.actions = {
			.call = make_call,
			.cancel = ignore_cancel,
			.routes = take_routes,
			.listed = ignore_listed,
			.unlisted = ignore_unlisted,
			.instances = ignore_instances,
			.instance = ignore_instance,
			.data = node,
		},
		.self = node->self,
		.news_bound_ms = NEWS_BOUND_MS,
	};

	if (node->fleet->over)
		return;
	node->started_us = node->fleet->now_us;
	node->read_us = 0;
	node->routes = 0;
	node->tick_us = INT64_MAX;
	node->feed = rr_new_feed(node->ctx, &options, node->fleet->now_us);
	run_node(node);
}

static void tick_store(void *context, void *data)
{
	struct fleet *fleet = context;

	if (fleet->over)
		return;
	end_leases(fleet);
	answer_watches(fleet);
	push_event(fleet->events, fleet->now_us + 100 * FLEET_MS, tick_store,
		   NULL);
}

static void add_node(struct fleet *fleet, guint index, guint zones)
{
	struct fleet_node *node = g_new0(struct fleet_node, 1);
	struct rr_context_options options = { .seed = index + 1 };

	node->fleet = fleet;
	node->index = index;
	node->self.id = g_strdup_printf("n%u", index);
	node->self.zone = g_strdup_printf("z%u", index % zones);
	node->self.address = g_strdup_printf("%u", index);
	node->self.strength = index < 3 * zones ? 0.5 : 0.12;
	node->ctx = rr_new_context(&options);
	node->askers = g_ptr_array_new_with_free_func(drop_call);
	g_ptr_array_add(fleet->nodes, node);
}

struct fleet *fleet_new(guint n, guint zones, guint replicas)
{
	struct fleet *fleet = g_new0(struct fleet, 1);

	fleet->events = new_event_queue();
	fleet->now_us = 100 * FLEET_S;
	fleet->nodes = g_ptr_array_new();
	fleet->history = g_ptr_array_new_with_free_func(free_change);
	fleet->items = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, g_free);
	fleet->watches = g_ptr_array_new_with_free_func(drop_call);
	fleet->revision = 1;
	for (guint i = 0; i < n; i++)
		add_node(fleet, i, zones);
	fleet_write_routes(fleet, 1);
	for (guint i = 0; i < replicas; i++)
		fleet_write_replica(fleet, i);
	fleet->now_us += 10 * FLEET_S;
	tick_store(fleet, NULL);
	return fleet;
}

void fleet_drop(struct fleet *fleet)
{
	fleet->over = true;
	while (run_next_event(fleet->events, &fleet->now_us, fleet))
		;
	drop_event_queue(fleet->events, NULL);
	for (guint i = 0; i < fleet->nodes->len; i++) {
		struct fleet_node *node = g_ptr_array_index(fleet->nodes, i);

		rr_drop_feed(node->feed);
		rr_drop_context(node->ctx);
		g_ptr_array_unref(node->askers);
		g_free(node->self.id);
		g_free(node->self.zone);
		g_free(node->self.address);
		g_free(node);
	}
	g_ptr_array_unref(fleet->nodes);
	g_ptr_array_unref(fleet->watches);
	g_hash_table_unref(fleet->items);
	g_hash_table_unref(fleet->leases);
	g_ptr_array_unref(fleet->history);
	g_free(fleet);
}

void fleet_start_all(struct fleet *fleet, int64_t within_us)
{
	for (guint i = 0; i < fleet->nodes->len; i++)
		push_event(fleet->events,
			   fleet->now_us + within_us * ((i * 37) % 100) / 100,
			   start_node, g_ptr_array_index(fleet->nodes, i));
}

void fleet_kill_all(struct fleet *fleet)
{
	for (guint i = 0; i < fleet->nodes->len; i++) {
		struct fleet_node *node = g_ptr_array_index(fleet->nodes, i);

		rr_drop_feed(node->feed);
		node->feed = NULL;
		node->lifetime++;
		node->self.born_ms++;
		g_ptr_array_set_size(node->askers, 0);
	}
}

void fleet_run(struct fleet *fleet, int64_t us)
{
	int64_t end_us = fleet->now_us + us;

	while (next_event_us(fleet->events) <= end_us)
		run_next_event(fleet->events, &fleet->now_us, fleet);
	fleet->now_us = end_us;
}

void fleet_write_routes(struct fleet *fleet, uint64_t version)
{
	char *value = g_strdup_printf("%" G_GUINT64_FORMAT, version);

	write_key(fleet, ROUTES_KEY, value, 0, ++fleet->revision);
	answer_watches(fleet);
	g_free(value);
}

void fleet_write_replica(struct fleet *fleet, guint number)
{
	char *key = g_strdup_printf("r/%u", number);

	write_key(fleet, key, "replica", 0, ++fleet->revision);
	answer_watches(fleet);
	g_free(key);
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

int64_t fleet_slowest_read_us(const struct fleet *fleet)
{
	int64_t slowest_us = 0;

	for (guint i = 0; i < fleet->nodes->len; i++) {
		const struct fleet_node *node =
			g_ptr_array_index(fleet->nodes, i);

		if (!node->read_us)
			return INT64_MAX;
		slowest_us = MAX(slowest_us, node->read_us - node->started_us);
	}
	return slowest_us;
}

int64_t fleet_in_force_us(const struct fleet *fleet, uint64_t version)
{
	int64_t last_us = 0;

	for (guint i = 0; i < fleet->nodes->len; i++) {
		const struct fleet_node *node =
			g_ptr_array_index(fleet->nodes, i);

		if (node->feed && node->routes < version)
			return INT64_MAX;
		last_us = MAX(last_us, node->routes_us);
	}
	return last_us;
}
