/*
 * test-passive-health.c - what is believed of a replica: slowness, silence, and the
 * limit of attempts at it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "core/concurrency-limit.h"
#include "core/passive-health.h"

#define MS 1000

static void test_slowness_is_learnt_and_fades(void **state)
{
	struct rr_passive_health track;

	rr_init_passive_health(&track);
	for (int i = 1; i <= 40; i++)
		rr_observe_answer(&track, i * 10 * MS, 80 * MS, 10 * MS);
	assert_true(rr_decayed_slowness(&track, 400 * MS) > 6);
	assert_true(rr_decayed_slowness(&track, 2400 * MS) < 5);
	assert_true(rr_decayed_slowness(&track, 20000 * MS) < 1.1);
}

static void test_one_pause_is_not_slowness(void **state)
{
	struct rr_passive_health track;

	rr_init_passive_health(&track);
	for (int i = 1; i <= 20; i++)
		rr_observe_answer(&track, i * 10 * MS, 10 * MS, 10 * MS);
	rr_observe_answer(&track, 310 * MS, 110 * MS, 10 * MS);
	assert_true(rr_decayed_slowness(&track, 310 * MS) < 3);
}

/*
 * Story: a slow replica looks well, since each of its slow attempts is
 * withdrawn when a hedge answers, and only its quick ones are counted.
 */
static void test_overdue_attempts_count(void **state)
{
	struct rr_passive_health track;

	rr_init_passive_health(&track);
	for (int i = 1; i <= 20; i++)
		rr_observe_overdue(&track, i * 100 * MS, 60 * MS, 10 * MS);
	assert_true(rr_decayed_slowness(&track, 2000 * MS) > 3);
	rr_init_passive_health(&track);
	rr_observe_overdue(&track, 100 * MS, 15 * MS, 10 * MS);
	assert_true(rr_decayed_slowness(&track, 100 * MS) <= 1);
}

static void test_suspicion_doubles_and_ends(void **state)
{
	struct rr_passive_health track;
	int64_t first_us;
	int64_t second_us;

	rr_init_passive_health(&track);
	rr_observe_loss(&track, 0, RR_LOSS_UNREACHABLE);
	first_us = track.suspected_until_us;
	assert_true(rr_is_suspected(&track, first_us - 1));
	assert_false(rr_is_suspected(&track, first_us));
	rr_observe_loss(&track, first_us, RR_LOSS_UNREACHABLE);
	second_us = track.suspected_until_us - first_us;
	assert_int_equal(second_us, 2 * first_us);
	/* Reached, it may be tried, but is not trusted as before. */
	rr_observe_reachable(&track);
	assert_false(rr_is_suspected(&track, first_us + 1));
	rr_observe_loss(&track, 2 * first_us, RR_LOSS_UNREACHABLE);
	assert_int_equal(track.suspected_until_us - 2 * first_us, 4 * first_us);
	/* An answer makes it as good as new. */
	rr_observe_answer(&track, 3 * first_us, 10, 10);
	assert_false(rr_is_suspected(&track, 3 * first_us));
	rr_observe_loss(&track, 3 * first_us, RR_LOSS_UNREACHABLE);
	assert_int_equal(track.suspected_until_us - 3 * first_us, first_us);
}

static void test_broken_answers_are_no_silence(void **state)
{
	struct rr_passive_health track;

	rr_init_passive_health(&track);
	for (int i = 0; i < 50; i++)
		rr_observe_loss(&track, i * MS, RR_LOSS_BROKEN);
	assert_false(rr_is_suspected(&track, 50 * MS));
	assert_true(track.loss_rate > 0.9);
}

/* Silence counts only while an attempt is open: an idle replica is not one. */
static void test_silence_adds_up_over_attempts(void **state)
{
	struct rr_passive_health track;

	rr_init_passive_health(&track);
	rr_resume_silence_clock(&track, 100 * MS);
	rr_pause_silence_clock(&track, 150 * MS);
	assert_int_equal(rr_silence_us(&track, 5000 * MS), 50 * MS);
	rr_resume_silence_clock(&track, 5000 * MS);
	assert_int_equal(rr_silence_us(&track, 5100 * MS), 150 * MS);
	rr_observe_contact(&track, 5100 * MS);
	assert_int_equal(rr_silence_us(&track, 5120 * MS), 20 * MS);
}

static void test_limit_grows_while_there_is_no_queue(void **state)
{
	const struct rr_limit_bounds bounds = { .share = 1, .highest = 4 };
	struct rr_concurrency_limit limit;

	rr_reset_limit(&limit, 1);
	for (int i = 0; i < 50; i++)
		rr_adapt_limit(&limit, &bounds, 1.0, 1,
			       rr_current_limit(&limit, bounds.highest));
	assert_int_equal(rr_current_limit(&limit, bounds.highest), 4);
	/* Twice the usual time: that is a queue. */
	for (int i = 0; i < 200; i++)
		rr_adapt_limit(&limit, &bounds, 2.0, 1,
			       rr_current_limit(&limit, bounds.highest));
	assert_int_equal(rr_current_limit(&limit, bounds.highest), 1);
}

static void test_refusals_shrink_the_limit(void **state)
{
	struct rr_concurrency_limit limit;

	rr_reset_limit(&limit, 8);
	rr_shrink_limit(&limit, 0.5);
	assert_int_equal(rr_current_limit(&limit, 8), 4);
	for (int i = 0; i < 9; i++)
		rr_shrink_limit(&limit, 0.5);
	assert_int_equal(rr_current_limit(&limit, 8), 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_slowness_is_learnt_and_fades),
		cmocka_unit_test(test_one_pause_is_not_slowness),
		cmocka_unit_test(test_overdue_attempts_count),
		cmocka_unit_test(test_suspicion_doubles_and_ends),
		cmocka_unit_test(test_broken_answers_are_no_silence),
		cmocka_unit_test(test_silence_adds_up_over_attempts),
		cmocka_unit_test(test_limit_grows_while_there_is_no_queue),
		cmocka_unit_test(test_refusals_shrink_the_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
