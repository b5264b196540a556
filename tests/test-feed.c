/*
 * test-feed.c - following the store in virtual time: outages, lost answers,
 * forgotten history, silent connections.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "ragwort/feed.h"

#define MS ((int64_t)1000)

struct call {
	uint64_t id;
	char *peer; /* NULL: the store */
	enum rr_feed_call_kind kind;
	char *after_key;
	uint64_t after_revision;
	uint32_t wait_ms;
	uint64_t lease;
	bool over;
};

struct scene {
	struct rr_context *ctx;
	struct rr_feed *feed;
	int64_t now_us;
	GPtrArray *calls; /* struct call */
	GString *places;  /* "+instance", "-instance" */
	GString *news;	  /* "+id", "-id", "routes N", "instances N" */
};

static void free_call(gpointer data)
{
	struct call *call = data;

	g_free(call->after_key);
	g_free(call->peer);
	g_free(call);
}

static void note_call(void *data, const struct rr_feed_call *call)
{
	struct scene *scene = data;
	struct call *kept = g_new0(struct call, 1);

	kept->id = call->id;
	kept->kind = call->kind;
	kept->peer = g_strdup(call->peer);
	kept->after_key = g_strdup(call->after_key);
	kept->after_revision = call->after_revision;
	kept->wait_ms = call->wait_ms;
	kept->lease = call->lease;
	g_ptr_array_add(scene->calls, kept);
}

static void note_cancel(void *data, uint64_t id)
{
	struct scene *scene = data;

	for (guint i = 0; i < scene->calls->len; i++) {
		struct call *call = g_ptr_array_index(scene->calls, i);

		if (call->id == id)
			call->over = true;
	}
}

static void note_routes(void *data, struct rr_route_table *table)
{
	struct scene *scene = data;

	g_string_append_printf(scene->news, "routes %u ",
			       (unsigned)rr_route_table_version(table));
}

static void note_listed(void *data, const struct rr_listing *listing)
{
	struct scene *scene = data;

	g_string_append_printf(scene->news, "+%s ", listing->id);
}

static void note_unlisted(void *data, const char *id)
{
	struct scene *scene = data;

	g_string_append_printf(scene->news, "-%s ", id);
}

static void note_instances(void *data, uint32_t instances)
{
	struct scene *scene = data;

	g_string_append_printf(scene->news, "instances %u ", instances);
}

static void note_instance(void *data, const char *id,
			  const struct rr_instance *instance)
{
	struct scene *scene = data;

	g_string_append_printf(scene->places, "%c%s ", instance ? '+' : '-',
			       id);
}

static struct scene *new_scene_from(const char *const *seeds)
{
	struct scene *scene = g_new0(struct scene, 1);
	struct rr_feed_options options = {
		.actions = {
			.call = note_call,
			.cancel = note_cancel,
			.routes = note_routes,
			.listed = note_listed,
			.unlisted = note_unlisted,
			.instances = note_instances,
			.instance = note_instance,
			.data = scene,
		},
		.self = { .id = (char *)"inst0", .zone = (char *)"z" },
		.seeds = seeds,
		.news_bound_ms = 3000,
	};

	scene->now_us = 50000 * MS;
	scene->ctx = rr_new_context(NULL);
	scene->calls = g_ptr_array_new_with_free_func(free_call);
	scene->news = g_string_new(NULL);
	scene->places = g_string_new(NULL);
	scene->feed = rr_new_feed(scene->ctx, &options, scene->now_us);
	rr_feed_tick(scene->ctx, scene->feed, scene->now_us);
	return scene;
}

static struct scene *new_scene(void)
{
	return new_scene_from(NULL);
}

static void drop_scene(struct scene *scene)
{
	rr_drop_feed(scene->feed);
	rr_drop_context(scene->ctx);
	g_ptr_array_unref(scene->calls);
	g_string_free(scene->news, TRUE);
	g_string_free(scene->places, TRUE);
	g_free(scene);
}

static void pass(struct scene *scene, int64_t us)
{
	int64_t end_us = scene->now_us + us;

	while (rr_feed_wake_us(scene->feed) <= end_us) {
		scene->now_us =
			MAX(scene->now_us, rr_feed_wake_us(scene->feed));
		rr_feed_tick(scene->ctx, scene->feed, scene->now_us);
	}
	scene->now_us = end_us;
}

/* The open call of a kind; NULL if there is none. */
static struct call *find_call(struct scene *scene, enum rr_feed_call_kind kind)
{
	for (guint i = 0; i < scene->calls->len; i++) {
		struct call *call = g_ptr_array_index(scene->calls, i);

		if (!call->over && call->kind == kind)
			return call;
	}
	return NULL;
}

static guint count_calls(struct scene *scene, enum rr_feed_call_kind kind)
{
	guint n = 0;

	for (guint i = 0; i < scene->calls->len; i++) {
		struct call *call = g_ptr_array_index(scene->calls, i);

		n += call->kind == kind;
	}
	return n;
}

/* "inst5" in a zone of its own; "inst5/z/3" in zone z with strength 3. */
static struct rr_instance *make_instance(const char *what)
{
	struct rr_instance *instance = g_new0(struct rr_instance, 1);
	char **words = g_strsplit(what, "/", 3);
	bool placed = g_strv_length(words) == 3;

	instance->id = g_strdup(what);
	instance->zone = g_strdup(placed ? words[1] : what);
	instance->address = g_strconcat(what, ":1", NULL);
	instance->strength = placed ? g_ascii_strtod(words[2], NULL) : 1;
	g_strfreev(words);
	return instance;
}

static struct rr_feed_item *make_item(const char *what, uint64_t revision)
{
	struct rr_feed_item *item = g_new0(struct rr_feed_item, 1);

	item->removed = what[0] == '-';
	if (item->removed)
		what++;
	item->key = g_strdup(what);
	item->revision = revision;
	if (g_str_has_prefix(what, "routes")) {
		item->kind = RR_FEED_ROUTES;
		item->key[6] = '\0';
		item->routes = rr_new_route_table(
			g_ascii_strtoull(what + 6, NULL, 10));
	} else if (g_str_has_prefix(what, "inst")) {
		item->kind = RR_FEED_INSTANCE;
		item->id = g_strdup(what);
		if (!item->removed)
			item->instance = make_instance(what);
	} else if (!g_str_has_prefix(what, "other")) {
		item->kind = RR_FEED_REPLICA;
		item->id = g_strdup(what);
	}
	if (!item->removed)
		item->value = g_strdup("dmFsdWU=");
	if (item->kind == RR_FEED_REPLICA && !item->removed) {
		item->replica = g_new0(struct rr_listing, 1);
		item->replica->id = g_strdup(what);
	}
	return item;
}

/* `items` is "name@revision" separated by blanks; "-name" is removed. */
static void answer(struct scene *scene, struct call *call,
		   enum rr_feed_status status, const char *items,
		   uint64_t revision, bool more)
{
	struct rr_feed_reply reply = {
		.call = call->id,
		.status = status,
		.items = g_ptr_array_new_with_free_func(rr_free_feed_item),
		.revision = revision,
		.more = more,
		.lease = 77,
	};
	char **words = g_strsplit(items ? items : "", " ", -1);

	for (size_t i = 0; words[i]; i++) {
		char *at = strchr(words[i], '@');

		if (!at)
			continue;
		*at = '\0';
		g_ptr_array_add(reply.items,
				make_item(words[i],
					  g_ascii_strtoull(at + 1, NULL, 10)));
	}
	call->over = true;
	rr_feed_reply(scene->ctx, scene->feed, scene->now_us, &reply);
	rr_feed_tick(scene->ctx, scene->feed, scene->now_us);
	g_ptr_array_unref(reply.items);
	g_strfreev(words);
}

static void answer_ok(struct scene *scene, enum rr_feed_call_kind kind,
		      const char *items, uint64_t revision)
{
	struct call *call = find_call(scene, kind);

	assert_non_null(call);
	answer(scene, call, RR_FEED_OK, items, revision, false);
}

static void assert_news(struct scene *scene, const char *news)
{
	assert_string_equal(scene->news->str, news);
	g_string_truncate(scene->news, 0);
}

/* Read everything and enter; a watch is open afterwards. */
static struct scene *settled_scene(void)
{
	struct scene *scene = new_scene();

	answer_ok(scene, RR_FEED_RANGE,
		  "routes3@10 r1@11 r2@12 inst1@13 inst2@14 inst3@15", 20);
	answer_ok(scene, RR_FEED_GRANT, NULL, 0);
	answer_ok(scene, RR_FEED_ENTER, NULL, 0);
	assert_news(scene, "routes 3 +r1 +r2 instances 3 ");
	return scene;
}

static void test_first_reading(void **state)
{
	struct scene *scene = new_scene();

	assert_false(rr_feed_has_read(scene->feed));
	answer(scene, find_call(scene, RR_FEED_RANGE), RR_FEED_OK,
	       "routes3@10 r1@11", 20, true);
	assert_false(rr_feed_has_read(scene->feed));
	assert_string_equal(find_call(scene, RR_FEED_RANGE)->after_key, "r1");
	/* The second page is read later, but changes count from the first. */
	answer_ok(scene, RR_FEED_RANGE, "r2@25", 26);
	assert_true(rr_feed_has_read(scene->feed));
	assert_int_equal(find_call(scene, RR_FEED_WATCH)->after_revision, 20);
	assert_news(scene, "routes 3 +r1 +r2 ");
	drop_scene(scene);
}

static void test_changes(void **state)
{
	struct scene *scene = settled_scene();

	answer_ok(scene, RR_FEED_WATCH, "r3@21 -r1@22 routes4@23", 23);
	assert_news(scene, "+r3 -r1 routes 4 ");
	pass(scene, 1000 * MS);
	assert_int_equal(find_call(scene, RR_FEED_WATCH)->after_revision, 23);
	drop_scene(scene);
}

/* A watch tells again what the second page of the range had already. */
static void test_old_news_counts_for_nothing(void **state)
{
	struct scene *scene = new_scene();

	answer(scene, find_call(scene, RR_FEED_RANGE), RR_FEED_OK, "r1@11", 20,
	       true);
	answer_ok(scene, RR_FEED_RANGE, "r2@25", 26);
	assert_news(scene, "+r1 +r2 ");
	answer_ok(scene, RR_FEED_WATCH, "r2@21 -r2@23 r2@25", 26);
	assert_news(scene, "");
	drop_scene(scene);
}

/* The count of paid calls: a burst of changes is one watch, not one each. */
static void test_bursts_are_merged(void **state)
{
	struct scene *scene = settled_scene();
	guint before = count_calls(scene, RR_FEED_WATCH);

	answer_ok(scene, RR_FEED_WATCH, "r3@21", 21);
	pass(scene, 300 * MS);
	assert_null(find_call(scene, RR_FEED_WATCH));
	pass(scene, 200 * MS);
	assert_non_null(find_call(scene, RR_FEED_WATCH));
	assert_int_equal(count_calls(scene, RR_FEED_WATCH), before + 1);
	drop_scene(scene);
}

/* Each change wakes all watches: the more there are, the longer they wait,
 * but never for more than a third of the bound. */
static void test_many_instances_merge_more(void **state)
{
	struct scene *scene = new_scene();
	GString *items = g_string_new(NULL);

	for (int i = 0; i < 100; i++)
		g_string_append_printf(items, "inst%d@%d ", i, i + 1);
	answer_ok(scene, RR_FEED_RANGE, items->str, 200);
	answer_ok(scene, RR_FEED_WATCH, "r3@201", 201);
	pass(scene, 990 * MS);
	assert_null(find_call(scene, RR_FEED_WATCH));
	pass(scene, 20 * MS);
	assert_non_null(find_call(scene, RR_FEED_WATCH));
	g_string_free(items, TRUE);
	drop_scene(scene);
}

/*
 * Story: an instance is turned away by the store for nine seconds of a
 * reshard.  What it missed comes in answers of some hundred changes, the
 * configuration in the last of them; with a pause after each it is in force
 * too late.
 */
static void test_backlog_is_read_without_pauses(void **state)
{
	struct scene *scene = settled_scene();
	GString *items = g_string_new(NULL);

	for (int i = 0; i < 100; i++)
		g_string_append_printf(items, "x%d@%d ", i, 30 + i);
	answer_ok(scene, RR_FEED_WATCH, items->str, 129);
	assert_int_equal(find_call(scene, RR_FEED_WATCH)->after_revision, 129);
	answer_ok(scene, RR_FEED_WATCH, "routes9@130", 130);
	assert_null(find_call(scene, RR_FEED_WATCH));
	g_string_free(items, TRUE);
	drop_scene(scene);
}

/* Nothing new for minutes: a long watch each time, nothing else is read. */
static void test_quiet_minutes(void **state)
{
	struct scene *scene = settled_scene();

	for (int i = 0; i < 240; i++) {
		struct call *keep;

		pass(scene, 1000 * MS);
		keep = find_call(scene, RR_FEED_KEEP);
		if (keep)
			answer(scene, keep, RR_FEED_OK, NULL, 0, false);
		if (i % 25 == 24)
			answer_ok(scene, RR_FEED_WATCH, NULL, 30);
	}
	assert_true(count_calls(scene, RR_FEED_WATCH) <= 11);
	assert_int_equal(count_calls(scene, RR_FEED_RANGE), 1);
	assert_in_range(count_calls(scene, RR_FEED_KEEP), 100, 170);
	drop_scene(scene);
}

/*
 * Story: the store drops its history while a watch is cut.  What changed in
 * the gap is found by reading everything again: a replica that left is gone.
 */
static void test_forgotten_history(void **state)
{
	struct scene *scene = settled_scene();
	struct call *watch = find_call(scene, RR_FEED_WATCH);

	answer(scene, watch, RR_FEED_FORGOTTEN, NULL, 0, false);
	answer_ok(scene, RR_FEED_RANGE, "routes5@40 r2@12 r4@41", 50);
	assert_news(scene, "routes 5 +r4 -r1 ");
	assert_int_equal(find_call(scene, RR_FEED_WATCH)->after_revision, 50);
	drop_scene(scene);
}

/* A range that breaks off between its pages begins anew, losing nobody. */
static void test_range_breaks_off(void **state)
{
	struct scene *scene = settled_scene();

	answer(scene, find_call(scene, RR_FEED_WATCH), RR_FEED_FORGOTTEN, NULL,
	       0, false);
	answer(scene, find_call(scene, RR_FEED_RANGE), RR_FEED_OK, "r1@11", 50,
	       true);
	answer(scene, find_call(scene, RR_FEED_RANGE), RR_FEED_FAILED, NULL, 0,
	       false);
	assert_news(scene, "");
	pass(scene, 3000 * MS);
	assert_null(find_call(scene, RR_FEED_RANGE)->after_key);
	answer_ok(scene, RR_FEED_RANGE, "routes3@10 r1@11 r2@12", 60);
	assert_news(scene, "");
	drop_scene(scene);
}

/*
 * Story: the store turns this machine away for some seconds, in silence.  The
 * watch that was asked meanwhile will never be answered, though the store is
 * back.  The renewal shows both the loss and the return; a change is in force
 * within three seconds of the return.
 */
static void test_a_watch_that_will_not_be_answered(void **state)
{
	struct scene *scene = settled_scene();
	struct call *watch = find_call(scene, RR_FEED_WATCH);

	pass(scene, 1600 * MS);
	answer(scene, find_call(scene, RR_FEED_KEEP), RR_FEED_FAILED, NULL, 0,
	       false);
	assert_false(rr_feed_is_reached(scene->feed));
	assert_false(watch->over);
	pass(scene, 2000 * MS);
	answer_ok(scene, RR_FEED_KEEP, NULL, 0);
	assert_true(rr_feed_is_reached(scene->feed));
	assert_true(watch->over);
	assert_non_null(find_call(scene, RR_FEED_WATCH));
	answer_ok(scene, RR_FEED_WATCH, "routes9@70", 70);
	assert_news(scene, "routes 9 ");
	drop_scene(scene);
}

/* While it is away, calls are few, and never at the same moments. */
static void test_backoff(void **state)
{
	struct scene *scene = settled_scene();
	guint before;

	answer(scene, find_call(scene, RR_FEED_WATCH), RR_FEED_FAILED, NULL, 0,
	       false);
	before = scene->calls->len;
	for (int i = 0; i < 600; i++) {
		pass(scene, 100 * MS);
		for (guint j = 0; j < scene->calls->len; j++) {
			struct call *call = g_ptr_array_index(scene->calls, j);

			if (!call->over)
				answer(scene, call, RR_FEED_FAILED, NULL, 0,
				       false);
		}
	}
	assert_in_range(scene->calls->len - before, 60, 140);
	assert_true(rr_feed_has_read(scene->feed));
	assert_news(scene, "");
	drop_scene(scene);
}

/* Leases may lapse with the store: the entry is made anew. */
static void test_entry_is_made_anew(void **state)
{
	struct scene *scene = settled_scene();

	pass(scene, 1600 * MS);
	answer(scene, find_call(scene, RR_FEED_KEEP), RR_FEED_NO_LEASE, NULL, 0,
	       false);
	pass(scene, 1600 * MS);
	answer_ok(scene, RR_FEED_GRANT, NULL, 0);
	answer_ok(scene, RR_FEED_ENTER, NULL, 0);
	pass(scene, 1600 * MS);
	assert_int_equal(find_call(scene, RR_FEED_KEEP)->lease, 77);
	drop_scene(scene);
}

/*
 * Budgets and connections are shared by the count: it grows at once and
 * shrinks only when a window has passed, or a restart of many would let the
 * others spend what these have spent already.
 */
static void test_count_of_instances(void **state)
{
	struct scene *scene = new_scene();

	answer_ok(scene, RR_FEED_RANGE, "inst1@1 inst2@2 inst3@3 inst4@4", 9);
	assert_news(scene, "instances 4 ");
	answer_ok(scene, RR_FEED_WATCH, "inst5@10", 10);
	assert_news(scene, "instances 5 ");
	pass(scene, 1000 * MS);
	answer_ok(scene, RR_FEED_WATCH, "-inst1@11 -inst2@12", 12);
	pass(scene, 9000 * MS);
	assert_news(scene, "");
	answer_ok(scene, RR_FEED_WATCH, "inst1@13", 13);
	pass(scene, 13000 * MS);
	assert_news(scene, "instances 4 ");
	assert_string_equal(scene->places->str,
			    "+inst1 +inst2 +inst3 +inst4 +inst5 -inst1 "
			    "-inst2 +inst1 ");
	drop_scene(scene);
}

static void test_first_of_all_waits_for_others(void **state)
{
	struct scene *scene = new_scene();

	answer_ok(scene, RR_FEED_RANGE, "inst1@1", 9);
	assert_news(scene, "");
	answer_ok(scene, RR_FEED_WATCH, "inst2@10", 10);
	assert_news(scene, "");
	pass(scene, 2100 * MS);
	assert_news(scene, "instances 2 ");
	drop_scene(scene);
}

static void test_leaving(void **state)
{
	struct scene *scene = settled_scene();

	rr_feed_leave(scene->ctx, scene->feed, scene->now_us);
	assert_int_equal(find_call(scene, RR_FEED_LEAVE)->lease, 77);
	pass(scene, 5000 * MS);
	assert_int_equal(count_calls(scene, RR_FEED_KEEP), 0);
	/* Changes are still followed while the last requests are served. */
	answer_ok(scene, RR_FEED_WATCH, "-r1@30", 30);
	assert_news(scene, "-r1 ");
	drop_scene(scene);
}

static void test_unreadable_items_change_nothing(void **state)
{
	struct scene *scene = settled_scene();
	struct call *watch = find_call(scene, RR_FEED_WATCH);
	struct rr_feed_item *item = make_item("-r9", 31);
	struct rr_feed_reply reply = {
		.call = watch->id,
		.items = g_ptr_array_new_with_free_func(rr_free_feed_item),
		.revision = 31,
	};

	item->removed = false;
	g_ptr_array_add(reply.items, item);
	rr_feed_reply(scene->ctx, scene->feed, scene->now_us, &reply);
	assert_news(scene, "");
	g_ptr_array_unref(reply.items);
	drop_scene(scene);
}

/* Read everything in a zone with two stronger ones, and ask one of them. */
static struct scene *following_scene(void)
{
	struct scene *scene = new_scene();

	answer_ok(scene, RR_FEED_RANGE,
		  "routes3@10 r1@11 inst1/z/4@12 inst2/z/4@13 inst3/z/1@14",
		  20);
	answer_ok(scene, RR_FEED_GRANT, NULL, 0);
	answer_ok(scene, RR_FEED_ENTER, NULL, 0);
	assert_news(scene, "routes 3 +r1 instances 3 ");
	return scene;
}

static bool asks_peer(struct scene *scene)
{
	struct call *watch = find_call(scene, RR_FEED_WATCH);

	return watch && watch->peer;
}

/*
 * Story: each replica that comes or goes wakes every watch, and each is paid
 * for.  Where two others of its zone watch, an instance asks one of them: the
 * store sees its renewals only, fewer of them.
 */
static void test_others_tell(void **state)
{
	struct scene *scene = following_scene();

	assert_true(asks_peer(scene));
	assert_int_equal(find_call(scene, RR_FEED_WATCH)->after_revision, 20);
	assert_int_equal(find_call(scene, RR_FEED_WATCH)->wait_ms, 750);
	answer_ok(scene, RR_FEED_WATCH, "r2@21", 21);
	assert_news(scene, "+r2 ");
	assert_true(asks_peer(scene));
	for (int i = 0; i < 16; i++) {
		pass(scene, 750 * MS);
		answer_ok(scene, RR_FEED_WATCH, NULL, 21);
		assert_true(asks_peer(scene));
		if (find_call(scene, RR_FEED_KEEP))
			answer_ok(scene, RR_FEED_KEEP, NULL, 0);
	}
	assert_in_range(count_calls(scene, RR_FEED_KEEP), 2, 4);
	drop_scene(scene);
}

/*
 * Story: both watchers of a zone freeze just before a replica drains.  Who
 * asks them gives each up and is at the store within the bound.
 */
static void test_others_fall_silent(void **state)
{
	struct scene *scene = following_scene();
	struct call *first = find_call(scene, RR_FEED_WATCH);

	answer(scene, first, RR_FEED_FAILED, NULL, 0, false);
	assert_true(asks_peer(scene));
	assert_string_not_equal(find_call(scene, RR_FEED_WATCH)->peer,
				first->peer);
	answer(scene, find_call(scene, RR_FEED_WATCH), RR_FEED_FAILED, NULL, 0,
	       false);
	assert_non_null(find_call(scene, RR_FEED_WATCH));
	assert_false(asks_peer(scene));
	answer_ok(scene, RR_FEED_WATCH, "-r1@30", 30);
	assert_news(scene, "-r1 ");
	/* When they answer again, they are asked again. */
	pass(scene, 4000 * MS);
	assert_true(asks_peer(scene));
	drop_scene(scene);
}

/* What another no longer knows, the store may know. */
static void test_others_have_forgotten(void **state)
{
	struct scene *scene = following_scene();

	for (int i = 0; i < 2; i++)
		answer(scene, find_call(scene, RR_FEED_WATCH),
		       RR_FEED_FORGOTTEN, NULL, 0, false);
	assert_false(asks_peer(scene));
	answer(scene, find_call(scene, RR_FEED_WATCH), RR_FEED_FORGOTTEN, NULL,
	       0, false);
	assert_null(find_call(scene, RR_FEED_RANGE)->peer);
	drop_scene(scene);
}

/*
 * Two that ask each other would both believe that nothing changes: only who
 * watches the store itself, and is answered, passes changes on.
 */
static void test_passing_on(void **state)
{
	struct scene *scene = following_scene();
	struct scene *watcher;
	GArray *changes;

	assert_false(rr_feed_passes_on(scene->feed));
	drop_scene(scene);
	watcher = settled_scene();
	assert_true(rr_feed_passes_on(watcher->feed));
	answer_ok(watcher, RR_FEED_WATCH, "-r1@21 r3@22", 22);
	assert_int_equal(rr_feed_revision(watcher->feed), 22);
	changes = rr_feed_changes(watcher->feed, 20);
	assert_int_equal(changes->len, 2);
	assert_null(g_array_index(changes, struct rr_news_item, 0).value);
	assert_string_equal(g_array_index(changes, struct rr_news_item, 1).key,
			    "r3");
	g_array_unref(changes);
	pass(watcher, 1600 * MS);
	answer(watcher, find_call(watcher, RR_FEED_KEEP), RR_FEED_FAILED, NULL,
	       0, false);
	assert_false(rr_feed_passes_on(watcher->feed));
	drop_scene(watcher);
}

/*
 * Story: all processes are killed while the store is down.  The first to
 * start knows nothing and says so; those after it read from an instance that
 * they were given to start from, and serve.
 */
static void test_start_while_the_store_is_away(void **state)
{
	static const char *const seeds[] = { "10.0.0.1:7", "10.0.0.2:7", NULL };
	struct scene *scene = new_scene_from(seeds);

	answer(scene, find_call(scene, RR_FEED_RANGE), RR_FEED_FAILED, NULL, 0,
	       false);
	assert_string_equal(find_call(scene, RR_FEED_RANGE)->peer, seeds[0]);
	answer(scene, find_call(scene, RR_FEED_RANGE), RR_FEED_FAILED, NULL, 0,
	       false);
	assert_string_equal(find_call(scene, RR_FEED_RANGE)->peer, seeds[1]);
	answer_ok(scene, RR_FEED_RANGE, "routes3@10 r1@11", 20);
	assert_true(rr_feed_has_read(scene->feed));
	assert_news(scene, "routes 3 +r1 ");
	/* The store is back, with what has changed meanwhile. */
	pass(scene, 2000 * MS);
	assert_null(find_call(scene, RR_FEED_WATCH)->peer);
	assert_int_equal(find_call(scene, RR_FEED_WATCH)->after_revision, 20);
	drop_scene(scene);
}

/* One that has fallen behind must not unlist what came after. */
static void test_an_older_copy_is_left_out(void **state)
{
	static const char *const seeds[] = { "10.0.0.1:7", NULL };
	struct scene *scene = new_scene_from(seeds);

	answer_ok(scene, RR_FEED_RANGE, "routes3@10 r1@11 r2@19", 20);
	assert_news(scene, "routes 3 +r1 +r2 ");
	answer(scene, find_call(scene, RR_FEED_WATCH), RR_FEED_FORGOTTEN, NULL,
	       0, false);
	answer(scene, find_call(scene, RR_FEED_RANGE), RR_FEED_FAILED, NULL, 0,
	       false);
	assert_non_null(find_call(scene, RR_FEED_RANGE)->peer);
	answer_ok(scene, RR_FEED_RANGE, "routes3@10 r1@11", 15);
	assert_news(scene, "");
	pass(scene, 300 * MS);
	assert_null(find_call(scene, RR_FEED_RANGE)->peer);
	drop_scene(scene);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_first_reading),
		cmocka_unit_test(test_changes),
		cmocka_unit_test(test_old_news_counts_for_nothing),
		cmocka_unit_test(test_bursts_are_merged),
		cmocka_unit_test(test_many_instances_merge_more),
		cmocka_unit_test(test_backlog_is_read_without_pauses),
		cmocka_unit_test(test_quiet_minutes),
		cmocka_unit_test(test_forgotten_history),
		cmocka_unit_test(test_range_breaks_off),
		cmocka_unit_test(test_a_watch_that_will_not_be_answered),
		cmocka_unit_test(test_backoff),
		cmocka_unit_test(test_entry_is_made_anew),
		cmocka_unit_test(test_count_of_instances),
		cmocka_unit_test(test_first_of_all_waits_for_others),
		cmocka_unit_test(test_leaving),
		cmocka_unit_test(test_unreadable_items_change_nothing),
		cmocka_unit_test(test_others_tell),
		cmocka_unit_test(test_others_fall_silent),
		cmocka_unit_test(test_others_have_forgotten),
		cmocka_unit_test(test_passing_on),
		cmocka_unit_test(test_start_while_the_store_is_away),
		cmocka_unit_test(test_an_older_copy_is_left_out),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
