/*
 * call-counts.c - Counts calls by key prefix and limits their rate.
 */
#include "support/call-counts.h"

#include <string.h>

/* The platform allows about two thousand reads to several hundred writes. */
#define READS_PER_WRITE 5

struct test_call_counts {
	GHashTable *by_prefix; /* to struct test_prefix_counts */
};

struct test_call_counts *test_new_call_counts(void)
{
	struct test_call_counts *counts = g_new0(struct test_call_counts, 1);

	counts->by_prefix =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return counts;
}

void test_drop_call_counts(struct test_call_counts *counts)
{
	g_hash_table_destroy(counts->by_prefix);
	g_free(counts);
}

struct test_prefix_counts *
test_get_prefix_counts(struct test_call_counts *counts, const char *key)
{
	const char *slash = strchr(key, '/');
	char *prefix =
		g_strndup(key, slash ? (size_t)(slash - key) : strlen(key));
	struct test_prefix_counts *prefix_counts =
		g_hash_table_lookup(counts->by_prefix, prefix);

	if (prefix_counts) {
		g_free(prefix);
		return prefix_counts;
	}
	prefix_counts = g_new0(struct test_prefix_counts, 1);
	g_hash_table_insert(counts->by_prefix, prefix, prefix_counts);
	return prefix_counts;
}

char *test_format_call_counts(const struct test_call_counts *counts)
{
	GString *text = g_string_new("{");
	GHashTableIter iter;
	gpointer prefix;
	gpointer data;

	g_hash_table_iter_init(&iter, counts->by_prefix);
	while (g_hash_table_iter_next(&iter, &prefix, &data)) {
		const struct test_prefix_counts *prefix_counts = data;

		g_string_append_printf(
			text,
			"%s\"%s\": {\"reads\": %" G_GUINT64_FORMAT
			", \"writes\": %" G_GUINT64_FORMAT
			", \"watches\": %" G_GUINT64_FORMAT
			", \"conflicts\": %" G_GUINT64_FORMAT "}",
			text->len > 1 ? ", " : "", (char *)prefix,
			prefix_counts->reads, prefix_counts->writes,
			prefix_counts->watches, prefix_counts->conflicts);
	}
	g_string_append(text, "}\n");
	return g_string_free(text, FALSE);
}

bool test_rate_limit_call(struct test_call_rate_limiter *rate, bool write)
{
	int64_t second = g_get_monotonic_time() / G_USEC_PER_SEC;

	if (!rate->max_writes_per_s)
		return false;
	if (second != rate->current_second) {
		rate->current_second = second;
		rate->reads = 0;
		rate->writes = 0;
	}
	if (write)
		return ++rate->writes > rate->max_writes_per_s;
	return ++rate->reads > rate->max_writes_per_s * READS_PER_WRITE;
}
