/*
 * standin-replica.c - options, rows and counters of the replicas of the
 * stand-in upstream.
 */
#include "support/standin-replica.h"

#include <stddef.h>
#include <string.h>

static const char *const fault_names[] = {
	"none",	    "reset",  "hang-up",  "half",
	"truncate", "refuse", "redirect", "challenge",
};

const char *test_reported_state(const struct test_replica *replica)
{
	if (replica->reported_state)
		return replica->reported_state;
	if (replica->cold_until_us > g_get_monotonic_time())
		return "cold";
	return replica->state;
}

double test_reported_load(const struct test_replica *replica)
{
	if (replica->reported_load >= 0)
		return replica->reported_load;
	return MIN(1.0, (double)(replica->running + replica->waiting.length) /
				(2.0 * replica->slots));
}

/* Appends a row; tests compute the same content. */
static void append_row(GString *out, const char *shard, int64_t key,
		       int64_t version)
{
	g_string_append_printf(
		out,
		"{\"key\":%" G_GINT64_FORMAT
		",\"row\":{\"shard\":\"%s\",\"key\":%" G_GINT64_FORMAT
		",\"version\":%" G_GINT64_FORMAT "}}",
		key, shard, key, version);
}

int64_t test_append_rows(GString *out, const char *shard, int64_t from,
			 int64_t to, int64_t step, int64_t version,
			 int64_t limit, bool *more)
{
	int64_t key = (from + step - 1) / step * step;
	int64_t n = 0;

	for (; key < to; key += step) {
		if (n == limit) {
			*more = true;
			break;
		}
		if (n++)
			g_string_append_c(out, ',');
		append_row(out, shard, key, version);
	}
	return n;
}

/* Numeric options that POST /control can set. */
static const struct option {
	const char *name;
	bool is_double;
	size_t offset; /* offset in struct test_replica */
} options[] = {
	{ "slots", false, offsetof(struct test_replica, slots) },
	{ "queue", false, offsetof(struct test_replica, queue) },
	{ "connections", false,
	  offsetof(struct test_replica, max_connections) },
	{ "connect_ms", false, offsetof(struct test_replica, connect_ms) },
	{ "service_ms", false, offsetof(struct test_replica, service_ms) },
	{ "slow_ms", false, offsetof(struct test_replica, slow_ms) },
	{ "shed", false, offsetof(struct test_replica, shed) },
	{ "oldest", false, offsetof(struct test_replica, oldest_version) },
	{ "newest", false, offsetof(struct test_replica, newest_version) },
	{ "epoch", false, offsetof(struct test_replica, map_epoch) },
	{ "range_from", false, offsetof(struct test_replica, range_from) },
	{ "range_to", false, offsetof(struct test_replica, range_to) },
	{ "straggle", true,
	  offsetof(struct test_replica, service_time_factor) },
	{ "slow_share", true, offsetof(struct test_replica, slow_share) },
	{ "told_load", true, offsetof(struct test_replica, reported_load) },
};

static void set_number(struct test_replica *replica, const char *name,
		       double number)
{
	if (!strcmp(name, "cold_ms"))
		replica->cold_until_us =
			g_get_monotonic_time() + (int64_t)number * 1000;
	for (guint i = 0; i < G_N_ELEMENTS(options); i++) {
		char *field = (char *)replica + options[i].offset;

		if (strcmp(name, options[i].name) != 0)
			continue;
		if (options[i].is_double)
			*(double *)(void *)field = number;
		else
			*(int64_t *)(void *)field = (int64_t)number;
	}
}

static void set_string(struct test_replica *replica, const char *name,
		       const char *value)
{
	bool draining = !strcmp(value, "draining");

	if (!strcmp(name, "told_state")) {
		replica->reported_state = g_intern_string(value);
	} else if (!strcmp(name, "state")) {
		replica->state = g_intern_string(value);
		replica->draining_since_us =
			draining ? g_get_monotonic_time() : 0;
	} else if (!strcmp(name, "cut")) {
		for (guint i = 0; i < G_N_ELEMENTS(fault_names); i++) {
			if (!strcmp(value, fault_names[i]))
				replica->fault = (enum test_fault_kind)i;
		}
	}
}

void test_set_replica_option(struct test_replica *replica, const char *name,
			     JsonNode *node)
{
	GType type = JSON_NODE_HOLDS_VALUE(node) ?
			     json_node_get_value_type(node) :
			     G_TYPE_INVALID;

	if (type == G_TYPE_STRING)
		set_string(replica, name, json_node_get_string(node));
	else if (type == G_TYPE_BOOLEAN)
		set_number(replica, name, json_node_get_boolean(node));
	else if (type != G_TYPE_INVALID)
		set_number(replica, name, json_node_get_double(node));
}

void test_append_replica_counts(GString *out,
				const struct test_replica *replica)
{
	g_string_append_printf(
		out,
		"{\"replica\":%d,\"port\":%u,\"requests\":%" G_GINT64_FORMAT
		",\"ran\":%" G_GINT64_FORMAT ",\"cancelled\":%" G_GINT64_FORMAT
		",\"cancel_calls\":%" G_GINT64_FORMAT
		",\"abandoned\":%" G_GINT64_FORMAT
		",\"accepted\":%" G_GINT64_FORMAT
		",\"connections\":%u,\"most_connections\":%" G_GINT64_FORMAT
		",\"running\":%d,\"waiting\":%u"
		",\"last_after_drain_ms\":%" G_GINT64_FORMAT "}",
		replica->index, replica->server.port, replica->requests,
		replica->ran, replica->cancelled, replica->cancel_calls,
		replica->abandoned, replica->accepted,
		replica->server.connections->len, replica->peak_connections,
		replica->running, replica->waiting.length,
		replica->last_after_drain_ms);
}
