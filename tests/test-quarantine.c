/*
 * test-quarantine.c - conditions under which a request is quarantined.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "core/quarantine.h"

#define S G_USEC_PER_SEC
#define HOLD_US ((int64_t)600 * S)

static const struct rr_fingerprint crashing = { 1, 2 };

static struct rr_quarantine *new_table(void)
{
	struct rr_quarantine_options options = {
		.crash_threshold = 3,
		.hold_us = HOLD_US,
		.harmless_us = 10 * S,
	};

	return rr_new_quarantine(&options);
}

/* Adds a crash of `incarnation`.  Returns whether it starts the quarantine. */
static bool crash(struct rr_quarantine *quarantine, int64_t sent_us,
		  int64_t closed_us, const char *incarnation)
{
	struct rr_crash crash = {
		.fingerprint = crashing,
		.sent_us = sent_us,
		.closed_us = closed_us,
	};
	struct rr_quarantine_record *record =
		rr_add_crash(quarantine, closed_us, &crash, incarnation);

	return record &&
	       rr_quarantine_if_confirmed(quarantine, closed_us, record);
}

static void test_three_crashes_in_sequence(void **state)
{
	struct rr_quarantine *quarantine = new_table();

	(void)state;
	assert_false(crash(quarantine, 0, 10, "a"));
	assert_false(crash(quarantine, 10, 20, "b"));
	assert_int_equal(rr_count_quarantined(quarantine), 0);
	assert_true(crash(quarantine, 20, 30, "c"));
	assert_int_equal(rr_count_quarantined(quarantine), 1);
	assert_false(crash(quarantine, 30, 40, "d"));
	rr_drop_quarantine(quarantine);
}

/* Guards against quarantine because of replicas that crash at the same time. */
static void test_simultaneous_crashes(void **state)
{
	struct rr_quarantine *quarantine = new_table();

	(void)state;
	for (char name[] = "a"; *name < 'm'; ++*name)
		assert_false(crash(quarantine, 0, 10 + *name, name));
	/*
	 * A later attempt crashes a replica too, so the request is the cause.
	 */
	assert_true(crash(quarantine, 200, 210, "z"));
	rr_drop_quarantine(quarantine);
}

/* Guards against counting one crash for each of several attempts. */
static void test_replica_counts_once(void **state)
{
	struct rr_quarantine *quarantine = new_table();

	(void)state;
	for (int i = 0; i < 9; i++)
		assert_false(crash(quarantine, i * 10, i * 10 + 5, "a"));
	rr_drop_quarantine(quarantine);
}

/* Guards against quarantine of frequent requests that are not the cause. */
static void test_completed_request_is_harmless(void **state)
{
	struct rr_quarantine *quarantine = new_table();
	struct rr_fingerprint other = { 1, 3 };

	(void)state;
	rr_mark_harmless(quarantine, 1 * S, &crashing);
	for (char name[] = "a"; *name < 'g'; ++*name)
		assert_false(crash(quarantine, 2 * S + *name, 2 * S + *name + 1,
				   name));
	assert_true(rr_quarantine_is_empty(quarantine));
	assert_false(rr_is_harmless(quarantine, 2 * S, &other));
	/* The request may still begin to crash replicas later. */
	assert_false(crash(quarantine, 12 * S, 12 * S + 1, "p"));
	assert_false(crash(quarantine, 13 * S, 13 * S + 1, "q"));
	assert_true(crash(quarantine, 14 * S, 14 * S + 1, "r"));
	rr_drop_quarantine(quarantine);
}

/* Guards against crashes that are not added up across instances. */
static void test_crashes_of_peers_count(void **state)
{
	struct rr_quarantine *quarantine = new_table();
	char *crashed[] = { (char *)"a", (char *)"b", NULL };
	struct rr_quarantine_entry entry = {
		.fingerprint = crashing,
		.crashed = crashed,
	};
	struct rr_quarantine_record *record =
		rr_merge_quarantine_entry(quarantine, 100, &entry);

	(void)state;
	assert_int_equal(record->n_crashed, 2);
	rr_merge_quarantine_entry(quarantine, 101, &entry);
	assert_int_equal(record->n_crashed, 2);
	assert_true(crash(quarantine, 110, 120, "c"));
	entry = rr_make_quarantine_entry(record);
	assert_int_equal(g_strv_length(entry.crashed), 3);
	assert_true(entry.quarantined);
	rr_drop_quarantine(quarantine);
}

static void test_trial_backoff(void **state)
{
	struct rr_quarantine *quarantine = new_table();
	char *crashed[] = { (char *)"a", NULL };
	struct rr_quarantine_entry entry = {
		.fingerprint = crashing,
		.crashed = crashed,
		.quarantined = true,
	};
	struct rr_quarantine_record *record =
		rr_merge_quarantine_entry(quarantine, 5, &entry);

	(void)state;
	assert_true(record->next_trial_us == 5 + HOLD_US);
	rr_raise_trial_count(quarantine, HOLD_US + 5, record, 1);
	assert_true(record->next_trial_us == HOLD_US + 5 + 4 * HOLD_US);
	/* An outdated entry changes nothing. */
	entry.trials = 0;
	rr_merge_quarantine_entry(quarantine, 2 * HOLD_US, &entry);
	assert_int_equal(record->trials, 1);
	assert_true(record->next_trial_us == HOLD_US + 5 + 4 * HOLD_US);
	rr_remove_quarantine_record(quarantine, &crashing);
	assert_int_equal(rr_count_quarantined(quarantine), 0);
	assert_null(rr_find_quarantine_record(quarantine, &crashing));
	rr_drop_quarantine(quarantine);
}

/*
 * Guards against unbounded memory with many distinct suspected requests, and
 * against eviction of a quarantined one.
 */
static void test_memory_is_bounded(void **state)
{
	struct rr_quarantine *quarantine = new_table();
	uint32_t n = 0;

	(void)state;
	for (uint64_t i = 0; i < 2; i++)
		crash(quarantine, (int64_t)i, (int64_t)i + 1, i ? "a" : "b");
	assert_true(crash(quarantine, 10, 20, "c"));
	for (uint64_t i = 0; i < 5000; i++) {
		struct rr_crash other = {
			.fingerprint = { 9, i },
			.sent_us = (int64_t)i,
			.closed_us = (int64_t)i + 1,
		};

		rr_add_crash(quarantine, (int64_t)i, &other, "x");
	}
	for (uint64_t i = 0; i < 5000; i++) {
		struct rr_fingerprint other = { 9, i };

		n += rr_find_quarantine_record(quarantine, &other) != NULL;
	}
	assert_int_equal(n, 1023);
	assert_non_null(rr_find_quarantine_record(quarantine, &crashing));
	rr_drop_quarantine(quarantine);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_three_crashes_in_sequence),
		cmocka_unit_test(test_simultaneous_crashes),
		cmocka_unit_test(test_replica_counts_once),
		cmocka_unit_test(test_completed_request_is_harmless),
		cmocka_unit_test(test_crashes_of_peers_count),
		cmocka_unit_test(test_trial_backoff),
		cmocka_unit_test(test_memory_is_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
