/*
 * check.c - Checks answers against the upstream stand-in's rows, for
 * scripts/demo.
 *
 *     check ports N                print N free TCP ports of 127.0.0.1
 *     check search SHARDS FILE     all rows present, correct, of one version
 *     check lookup KEY FILE
 *     check reserve KEY FILE
 *     check list SHARDS FILE...    the pages of one list, in order
 *     check member NAME FILE       print a member of the answer
 *
 * Shard NN of a service holds the keys [(NN-1)*1000, NN*1000), every 100th
 * of which has a row.  Prints a one-line summary of the answer.  If an answer
 * is wrong, prints the reason and exits with code 1.
 */
#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support/port.h"
#include "support/process.h"

#define KEYS_PER_SHARD 1000
#define KEY_STEP 100
#define ROWS_PER_SHARD (KEYS_PER_SHARD / KEY_STEP)

struct answer {
	JsonNode *root;
	JsonObject *object;
	JsonArray *rows;
	JsonArray *covered;
	JsonArray *missing;
	const char *outcome;
	gint64 version;
};

G_GNUC_PRINTF(1, 2) G_NORETURN static void fail(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	fputs("wrong: ", stderr);
	vfprintf(stderr, format, args);
	fputc('\n', stderr);
	va_end(args);
	exit(1);
}

static struct answer read_answer(const char *file)
{
	struct answer answer = { 0 };
	GError *error = NULL;
	JsonObject *coverage;
	char *text;

	if (!g_file_get_contents(file, &text, NULL, &error))
		fail("%s", error->message);
	answer.root = json_from_string(text, &error);
	if (!answer.root || !JSON_NODE_HOLDS_OBJECT(answer.root))
		fail("%s: not a JSON object: %s", file, text);
	g_free(text);
	answer.object = json_node_get_object(answer.root);
	if (!json_object_has_member(answer.object, "coverage"))
		fail("%s: no member 'coverage'", file);
	coverage = json_object_get_object_member(answer.object, "coverage");
	answer.rows = json_object_get_array_member(answer.object, "rows");
	answer.covered = json_object_get_array_member(coverage, "covered");
	answer.missing = json_object_get_array_member(coverage, "lacking");
	answer.outcome =
		json_object_get_string_member(answer.object, "outcome");
	answer.version =
		json_object_get_int_member(answer.object, "index_version");
	return answer;
}

/* The last number in a shard's name. */
static guint parse_shard_number(const char *name)
{
	const char *dash = strrchr(name, '-');

	return dash ? (guint)atoi(dash + 1) : 0;
}

/* Check that a row has the expected key, version and shard; returns its key. */
static gint64 check_row(const struct answer *answer, guint i)
{
	JsonObject *row = json_array_get_object_element(answer->rows, i);
	gint64 key = json_object_get_int_member(row, "key");
	JsonObject *content = json_object_get_object_member(row, "row");
	guint shard = parse_shard_number(
		json_object_get_string_member(content, "shard"));

	if (json_object_get_int_member(content, "key") != key)
		fail("row %u: key %" G_GINT64_FORMAT
		     " differs from the key in the row's content",
		     i, key);
	if (json_object_get_int_member(content, "version") != answer->version)
		fail("row %u: version differs from the answer's index version",
		     i);
	if (shard != (guint)(key / KEYS_PER_SHARD) + 1)
		fail("row %u: key %" G_GINT64_FORMAT
		     " is from the wrong shard %u",
		     i, key, shard);
	return key;
}

static void print_summary(const struct answer *answer)
{
	printf("%s, version %" G_GINT64_FORMAT ", %u rows, %u covered",
	       answer->outcome, answer->version,
	       json_array_get_length(answer->rows),
	       json_array_get_length(answer->covered));
	for (guint i = 0; i < json_array_get_length(answer->missing); i++) {
		JsonObject *missing =
			json_array_get_object_element(answer->missing, i);

		printf("%s%s (yard %s): %s", i ? ", " : "; lacking ",
		       json_object_get_string_member(missing, "shard"),
		       json_object_get_string_member(missing, "yard"),
		       json_object_get_string_member(missing, "reason"));
	}
	printf("\n");
}

static void check_search(guint n_shards, const char *file)
{
	struct answer answer = read_answer(file);
	guint n_covered = json_array_get_length(answer.covered);
	guint n_missing = json_array_get_length(answer.missing);
	bool *covered = g_new0(bool, n_shards + 1);
	gint64 last = -1;

	if (strcmp(answer.outcome, n_missing ? "partial" : "complete") != 0)
		fail("outcome %s with %u missing shards", answer.outcome,
		     n_missing);
	if (n_covered + n_missing != n_shards)
		fail("%u covered and %u missing of %u shards", n_covered,
		     n_missing, n_shards);
	for (guint i = 0; i < n_covered; i++)
		covered[parse_shard_number(json_array_get_string_element(
			answer.covered, i))] = true;
	for (guint i = 0; i < json_array_get_length(answer.rows); i++) {
		gint64 key = check_row(&answer, i);

		if (key <= last)
			fail("row %u is out of order or duplicated", i);
		if (!covered[key / KEYS_PER_SHARD + 1])
			fail("a row belongs to a shard that is not covered");
		last = key;
	}
	if (json_array_get_length(answer.rows) != n_covered * ROWS_PER_SHARD)
		fail("%u rows for %u covered shards",
		     json_array_get_length(answer.rows), n_covered);
	g_free(covered);
	print_summary(&answer);
}

static void check_lookup(gint64 key, const char *file)
{
	struct answer answer = read_answer(file);

	if (!strcmp(answer.outcome, "complete")) {
		if (json_array_get_length(answer.rows) != 1 ||
		    check_row(&answer, 0) != key)
			fail("expected only the row of key %" G_GINT64_FORMAT,
			     key);
	} else if (json_array_get_length(answer.rows) != 0 ||
		   json_array_get_length(answer.missing) != 1) {
		fail("outcome %s with rows, or without one missing shard",
		     answer.outcome);
	}
	print_summary(&answer);
}

static void check_reserve(gint64 key, const char *file)
{
	struct answer answer = read_answer(file);
	JsonObject *result;
	bool replayed = json_object_has_member(answer.object, "replayed");

	if (strcmp(answer.outcome, "complete") != 0)
		fail("outcome %s", answer.outcome);
	result = json_object_get_object_member(answer.object, "result");
	if (!result || json_object_get_int_member(result, "reserved") != key)
		fail("expected the result of key %" G_GINT64_FORMAT, key);
	printf("complete%s, replica %" G_GINT64_FORMAT "\n",
	       replayed ? ", replayed" : "",
	       json_object_get_int_member(result, "replica"));
}

static void check_list(guint n_shards, int n_pages, char **files)
{
	gint64 next = 0;
	gint64 version = 0;

	for (int page = 0; page < n_pages; page++) {
		struct answer answer = read_answer(files[page]);
		bool last =
			!json_object_has_member(answer.object, "next_cursor");

		if (strcmp(answer.outcome, "complete") != 0)
			fail("page %d: outcome %s", page, answer.outcome);
		if (version && answer.version != version)
			fail("page %d has a different index version", page);
		version = answer.version;
		for (guint i = 0; i < json_array_get_length(answer.rows); i++) {
			if (check_row(&answer, i) != next)
				fail("page %d: expected key %" G_GINT64_FORMAT
				     " at row %u",
				     page, next, i);
			next += KEY_STEP;
		}
		if (last != (page == n_pages - 1))
			fail("page %d: missing or unexpected cursor", page);
	}
	if (next != (gint64)n_shards * KEYS_PER_SHARD)
		fail("the list ends before key %" G_GINT64_FORMAT, next);
	printf("complete, version %" G_GINT64_FORMAT ", %" G_GINT64_FORMAT
	       " rows in %d pages\n",
	       version, next / KEY_STEP, n_pages);
}

static void print_member(const char *name, const char *file)
{
	struct answer answer = read_answer(file);

	if (json_object_has_member(answer.object, name))
		printf("%s\n",
		       json_object_get_string_member(answer.object, name));
}

static void print_ports(int n)
{
	for (int i = 0; i < n; i++)
		printf("%u\n", test_reserve_port());
}

int main(int argc, char **argv)
{
	const char *mode = argc > 2 ? argv[1] : "";

	if (!strcmp(mode, "ports"))
		print_ports(atoi(argv[2]));
	else if (argc < 4)
		fail("usage: check MODE ARGUMENT FILE...");
	else if (!strcmp(mode, "search"))
		check_search((guint)atoi(argv[2]), argv[3]);
	else if (!strcmp(mode, "lookup"))
		check_lookup(atoll(argv[2]), argv[3]);
	else if (!strcmp(mode, "reserve"))
		check_reserve(atoll(argv[2]), argv[3]);
	else if (!strcmp(mode, "list"))
		check_list((guint)atoi(argv[2]), argc - 3, argv + 3);
	else if (!strcmp(mode, "member"))
		print_member(argv[2], argv[3]);
	else
		fail("unknown mode %s", mode);
	return 0;
}
