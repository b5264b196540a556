/*
 * test-wait-queue.c - the order in which waiting work is served, and what it
 * is good for when more comes than can be done.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "core/wait-queue.h"

#define MS 1000
#define WORK_US (10 * MS)

static void push(struct rr_wait_queue *queue, uint64_t run, uint32_t priority,
		 int64_t since_us, int64_t cut_us)
{
	struct rr_waiter waiter = {
		.request = run,
		.priority = priority,
		.since_us = since_us,
		.answer_by_us = cut_us,
	};

	rr_push_waiter(queue, &waiter);
}

static uint64_t pop(struct rr_wait_queue *queue, int64_t now_us)
{
	struct rr_waiter waiter;

	return rr_pop_waiter(queue, now_us, WORK_US, &waiter) ? waiter.request :
								0;
}

static void test_oldest_first_while_all_goes_well(void **state)
{
	struct rr_wait_queue queue;

	rr_init_wait_queue(&queue);
	push(&queue, 1, 1, 0, 100 * MS);
	push(&queue, 2, 1, 5 * MS, 105 * MS);
	push(&queue, 3, 1, 9 * MS, 109 * MS);
	assert_false(rr_is_overloaded(&queue, 10 * MS));
	assert_int_equal(pop(&queue, 10 * MS), 1);
	assert_int_equal(pop(&queue, 11 * MS), 2);
	assert_int_equal(pop(&queue, 12 * MS), 3);
	assert_int_equal(pop(&queue, 13 * MS), 0);
	rr_clear_wait_queue(&queue);
}

static void test_highest_priority_first(void **state)
{
	struct rr_wait_queue queue;

	rr_init_wait_queue(&queue);
	push(&queue, 1, 2, 0, 100 * MS);
	push(&queue, 2, 0, 1 * MS, 100 * MS);
	push(&queue, 3, 1, 2 * MS, 100 * MS);
	assert_int_equal(pop(&queue, 3 * MS), 2);
	assert_int_equal(pop(&queue, 3 * MS), 3);
	assert_int_equal(pop(&queue, 3 * MS), 1);
	rr_clear_wait_queue(&queue);
}

static void test_newest_first_when_overrun(void **state)
{
	struct rr_wait_queue queue;

	rr_init_wait_queue(&queue);
	push(&queue, 1, 1, 0, 100 * MS);
	push(&queue, 2, 1, 30 * MS, 130 * MS);
	push(&queue, 3, 1, 40 * MS, 140 * MS);
	assert_true(rr_is_overloaded(&queue, 45 * MS));
	assert_int_equal(pop(&queue, 45 * MS), 3);
	assert_int_equal(pop(&queue, 45 * MS), 2);
	rr_clear_wait_queue(&queue);
}

/* Work that would be late anyway does not make other work late. */
static void test_those_in_time_go_first(void **state)
{
	struct rr_wait_queue queue;

	rr_init_wait_queue(&queue);
	push(&queue, 1, 0, 0, 95 * MS);
	push(&queue, 2, 2, 80 * MS, 200 * MS);
	assert_int_equal(pop(&queue, 90 * MS), 2);
	assert_int_equal(pop(&queue, 90 * MS), 1);
	rr_clear_wait_queue(&queue);
}

/*
 * Story: with a zone cut, shards of which one replica is left get 20 % more
 * work than it can do.  Served oldest first, everybody waits for the whole
 * of the time they have and nearly all come late; the queue has to give up
 * some so that the others are in time.  The load: a piece of work each 10 ms
 * that takes 12 ms, 100 ms to be in time, for 20 s.
 */
static void test_replay_of_an_overrun_shard(void **state)
{
	const int64_t gap_us = 10 * MS;
	const int64_t work_us = 12 * MS;
	const int64_t allowed_us = 100 * MS;
	struct rr_wait_queue queue;
	struct rr_waiter waiter;
	int64_t free_us = 0;
	int64_t next_us = 0;
	uint64_t n = 0;
	int in_time = 0;

	rr_init_wait_queue(&queue);
	while (next_us < 20 * 1000 * MS) {
		while (next_us <= free_us) {
			push(&queue, ++n, 1, next_us, next_us + allowed_us);
			next_us += gap_us;
		}
		if (!rr_pop_waiter(&queue, free_us, work_us, &waiter)) {
			free_us = next_us;
			continue;
		}
		free_us = MAX(free_us, waiter.since_us) + work_us;
		if (free_us <= waiter.answer_by_us)
			in_time++;
	}
	/* What the replica can do at all is 10 / 12 of what comes. */
	assert_true(in_time > 0.80 * (double)n);
	rr_clear_wait_queue(&queue);
}

/*
 * Story: a burst brings nine times the usual load for five seconds.  A queue
 * that takes everything until its oldest has waited too long turns away only
 * then, and serves much of what it took too late.  The load: two at once, 60
 * ms each, one more each 4 ms, 190 ms to be in time.
 */
static void test_replay_of_a_burst(void **state)
{
	const int64_t work_us = 60 * MS;
	const int64_t allowed_us = 190 * MS;
	struct rr_wait_queue queue;
	struct rr_waiter waiter;
	int64_t free_us[2] = { 0, 0 };
	int taken = 0;
	int in_time = 0;

	rr_init_wait_queue(&queue);
	for (int64_t now_us = 0; now_us < 5000 * MS; now_us += 4 * MS) {
		struct rr_overload_inputs outlook = {
			.now_us = now_us,
			.answer_by_us = now_us + allowed_us,
			.typical_us = work_us,
			.capacity = 2,
		};

		for (int i = 0; i < 2; i++) {
			if (free_us[i] > now_us ||
			    !rr_pop_waiter(&queue, now_us, work_us, &waiter))
				continue;
			free_us[i] = now_us + work_us;
			in_time += free_us[i] <= waiter.answer_by_us;
		}
		if (rr_would_overload(&queue, &outlook))
			continue;
		taken++;
		push(&queue, (uint64_t)taken, 1, now_us, now_us + allowed_us);
	}
	/* All that two can do in the time, and next to nothing in vain. */
	assert_true(in_time > 0.9 * 2 * 5000 / 60);
	assert_true(in_time > 0.95 * taken);
	rr_clear_wait_queue(&queue);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_oldest_first_while_all_goes_well),
		cmocka_unit_test(test_highest_priority_first),
		cmocka_unit_test(test_newest_first_when_overrun),
		cmocka_unit_test(test_those_in_time_go_first),
		cmocka_unit_test(test_replay_of_an_overrun_shard),
		cmocka_unit_test(test_replay_of_a_burst),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
