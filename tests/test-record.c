/*
 * test-record.c - the configuration record: changes, encoding, bad input.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "ragwort/record.h"
#include "ragwort/settings.h"

#define BASE                       \
	"services:\n"              \
	"  - name: banco\n"        \
	"    shards:\n"            \
	"      - name: banco-01\n" \
	"        keys: [0, 100]\n" \
	"        replicas:\n"      \
	"          - {id: banco-01-a, zone: sala, address: 127.0.0.1:1}\n"

static struct rr_config_record *make_record(void)
{
	struct rr_config_record *record = rr_new_config_record();

	rr_update_config_record(record, RR_CONFIG_BASE_FILE, BASE, "c-1",
				"anna", 100);
	rr_update_config_record(record, "sala", "# \"quoted\" \\ \t\n", "c-2",
				"bo", 101);
	rr_update_config_record(record, "athi", "", "c-3", "bo", 102);
	rr_update_config_record(record, "sala", NULL, "c-4", "anna", 103);
	return record;
}

static void test_encode_and_decode(void **state)
{
	struct rr_config_record *record = make_record();
	const struct rr_config_change *changes;
	struct rr_config_record *copy;
	uint64_t revision;
	size_t length;
	char **sites;
	char *text = rr_encode_config_record(record, &length);

	(void)state;
	copy = rr_decode_config_record(text, length, NULL);
	assert_non_null(copy);
	assert_int_equal(rr_config_record_revision(copy), 4);
	assert_int_equal(rr_hash_config_record(copy),
			 rr_hash_config_record(record));
	assert_string_equal(rr_config_file_text(copy, RR_CONFIG_BASE_FILE),
			    BASE);
	assert_string_equal(rr_config_file_text(copy, "athi"), "");
	assert_null(rr_config_file_text(copy, "sala"));
	assert_int_equal(rr_config_file_revision(copy, "sala"), 4);
	assert_int_equal(rr_config_file_revision(copy, "none"), 0);
	assert_true(rr_find_config_change(copy, "c-2", &revision));
	assert_int_equal(revision, 2);
	assert_false(rr_find_config_change(copy, "c-5", &revision));
	assert_int_equal(rr_list_config_changes(copy, &changes), 4);
	assert_string_equal(changes[0].author, "anna");
	assert_int_equal(changes[3].when_s, 100);
	sites = rr_list_overlay_sites(copy);
	assert_string_equal(sites[0], "athi");
	assert_null(sites[1]);
	g_strfreev(sites);
	g_free(text);
	rr_drop_config_record(copy);
	rr_drop_config_record(record);
}

static void test_last_changes_are_kept(void **state)
{
	struct rr_config_record *record = rr_new_config_record();
	const struct rr_config_change *changes;
	char id[16];

	(void)state;
	for (int i = 1; i <= 100; i++) {
		g_snprintf(id, sizeof(id), "c-%d", i);
		rr_update_config_record(record, RR_CONFIG_BASE_FILE, id, id,
					"anna", i);
	}
	assert_int_equal(rr_config_record_revision(record), 100);
	assert_int_equal(rr_list_config_changes(record, &changes), 64);
	assert_string_equal(changes[63].change_id, "c-37");
	assert_true(rr_find_config_change(record, "c-37", NULL));
	assert_false(rr_find_config_change(record, "c-36", NULL));
	rr_drop_config_record(record);
}

/*
 * Guards against an accepted change that is dropped since another record, with
 * changes that a restore of the store has lost, is in force.
 */
static void test_changes_of_two_records_are_kept(void **state)
{
	struct rr_config_record *copy = make_record();
	struct rr_config_record *in_force = rr_copy_config_record(copy);
	struct rr_config_record *rebased;
	uint64_t revision;

	(void)state;
	rr_update_config_record(in_force, "athi", "lost", "c-5", "bo", 104);
	rr_update_config_record(in_force, "sala", "lost", "c-6", "bo", 105);
	/* An older record has nothing to add. */
	assert_null(rr_rebase_config_record(in_force, copy));
	rr_update_config_record(copy, "sala", "pushed", "c-7", "anna", 106);
	rebased = rr_rebase_config_record(in_force, copy);
	assert_non_null(rebased);
	assert_int_equal(rr_config_record_revision(rebased), 7);
	assert_string_equal(rr_config_file_text(rebased, "athi"), "lost");
	assert_string_equal(rr_config_file_text(rebased, "sala"), "pushed");
	assert_true(rr_find_config_change(rebased, "c-5", NULL));
	assert_true(rr_find_config_change(rebased, "c-7", &revision));
	assert_int_equal(revision, 7);
	assert_null(rr_rebase_config_record(rebased, copy));
	rr_drop_config_record(rebased);
	rr_drop_config_record(in_force);
	rr_drop_config_record(copy);
}

static void test_malformed_record_is_rejected(void **state)
{
	static const struct {
		const char *text;
		const char *expected;
	} bad[] = {
		{ "", "not a JSON object" },
		{ "[]", "not a JSON object" },
		{ "{", "" },
		{ "\xff", "UTF-8" },
		{ "{\"revision\":1}", "'format'" },
		{ "{\"format\":2,\"revision\":1}", "1 is allowed" },
		{ "{\"format\":1,\"revision\":-1}", "'revision'" },
		{ "{\"format\":1,\"revision\":1.5}", "'revision'" },
		{ "{\"format\":1,\"revision\":1}", "'files'" },
		{ "{\"format\":1,\"revision\":1,\"files\":{}}", "'changes'" },
		{ "{\"format\":1,\"revision\":1,\"files\":{\"a/b\":{}}}",
		  "a/b" },
		{ "{\"format\":1,\"revision\":1,\"files\":{\"a\":7}}",
		  "not an object" },
		{ "{\"format\":1,\"revision\":1} // \"", "not JSON" },
		{ "{\"format\":1,\"revision\":1,\"files\":"
		  "{\"a\":{\"revision\":2,\"text\":\"\"}}}",
		  "newer" },
		{ "{\"format\":1,\"revision\":1,\"files\":"
		  "{\"a\":{\"revision\":1,\"text\":7}}}",
		  "'text'" },
		/* An octal escape, which JSON does not have: found by fuzzing. */
		{ "{\"format\":1,\"revision\":1,\"files\":"
		  "{\"a\":{\"revision\":1,\"text\":\"\\222\"}}}",
		  "not UTF-8" },
		{ "{\"format\":1,\"revision\":1,\"files\":{},"
		  "\"changes\":[7]}",
		  "not an object" },
		{ "{\"format\":1,\"revision\":1,\"files\":{},"
		  "\"changes\":[{\"revision\":1}]}",
		  "'id'" },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		GError *error = NULL;

		assert_null(rr_decode_config_record(
			bad[i].text, strlen(bad[i].text), &error));
		assert_non_null(error);
		assert_non_null(strstr(error->message, bad[i].expected));
		g_error_free(error);
	}
}

/*
 * Guards against a crash on each read of the store: a megabyte of brackets
 * stored there made the parser recurse once for each.
 */
static void test_deep_nesting_is_rejected(void **state)
{
	static const char *const starts[] = { "{\"x\":", "/*\"*/", "#\"\n" };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(starts); i++) {
		GString *text = g_string_new(starts[i]);
		GError *error = NULL;

		while (text->len < 1000000)
			g_string_append(text, "[");
		assert_null(
			rr_decode_config_record(text->str, text->len, &error));
		assert_non_null(error);
		g_error_free(error);
		g_string_free(text, TRUE);
	}
}

/* Whichever bytes are changed, the record is decoded or rejected. */
static void test_random_damage(void **state)
{
	struct rr_config_record *record = make_record();
	GRand *random = g_rand_new_with_seed(5);
	int n_rejected = 0;
	size_t length;
	char *text = rr_encode_config_record(record, &length);

	(void)state;
	for (int i = 0; i < 20000; i++) {
		char *damaged = g_memdup2(text, length);
		size_t cut =
			(size_t)g_rand_int_range(random, 1, (int)length + 1);
		GError *error = NULL;
		struct rr_config_record *decoded;

		for (int n = g_rand_int_range(random, 1, 4); n; n--)
			damaged[g_rand_int_range(random, 0, (int)length)] =
				(char)g_rand_int(random);
		decoded = rr_decode_config_record(damaged, i % 2 ? cut : length,
						  &error);
		n_rejected += !decoded;
		assert_true(!decoded == !!error);
		rr_drop_config_record(decoded);
		g_clear_error(&error);
		g_free(damaged);
	}
	assert_true(n_rejected > 10000);
	g_free(text);
	g_rand_free(random);
	rr_drop_config_record(record);
}

static bool check(const struct rr_config_record *record)
{
	GPtrArray *diagnostics = rr_new_diagnostics();
	bool good = rr_check_config_record(record, diagnostics);

	assert_int_equal(good, !diagnostics->len);
	for (guint i = 0; i < diagnostics->len; i++) {
		const struct rr_diagnostic *diagnostic = diagnostics->pdata[i];

		print_message("%s:%u: %s\n", diagnostic->file, diagnostic->line,
			      diagnostic->message);
	}
	g_ptr_array_unref(diagnostics);
	return good;
}

static void test_every_site_is_checked(void **state)
{
	struct rr_config_record *record = rr_new_config_record();
	GPtrArray *diagnostics = rr_new_diagnostics();
	struct rr_config *config;

	(void)state;
	assert_false(check(record)); /* no base */
	rr_update_config_record(record, RR_CONFIG_BASE_FILE, BASE, "c-1",
				"anna", 100);
	assert_true(check(record));
	rr_update_config_record(record, "sala", "owners_per_replica: 3\n",
				"c-2", "bo", 101);
	assert_true(check(record));
	config = rr_build_site_config(record, "sala", diagnostics);
	assert_non_null(config);
	assert_int_equal(config->revision, 2);
	assert_int_equal(config->owners_per_replica, 3);
	rr_drop_config(config);
	/* The sites share the ledger's keys. */
	rr_update_config_record(record, "athi", "ledger_buckets: 17\n", "c-3",
				"bo", 102);
	assert_false(check(record));
	rr_update_config_record(record, "athi", "nonsense: 1\n", "c-4", "bo",
				103);
	assert_false(check(record));
	rr_update_config_record(record, "athi", NULL, "c-5", "bo", 104);
	assert_true(check(record));
	g_ptr_array_unref(diagnostics);
	rr_drop_config_record(record);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_encode_and_decode),
		cmocka_unit_test(test_last_changes_are_kept),
		cmocka_unit_test(test_changes_of_two_records_are_kept),
		cmocka_unit_test(test_malformed_record_is_rejected),
		cmocka_unit_test(test_deep_nesting_is_rejected),
		cmocka_unit_test(test_random_damage),
		cmocka_unit_test(test_every_site_is_checked),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
