/*
 * test-memory-budget.c - the limit on the memory of all connections.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "net/memory-budget.h"

#define LIMIT 800000
#define N_USERS 5

struct fixture {
	struct rr_memory_budget *budget;
	struct rr_memory_user users[N_USERS];
	char resumed[16]; /* a letter for each user, in order */
	struct rr_memory_user *cleared_on_resume;
};

static struct fixture fixture;

static void record_resume(void *data)
{
	struct rr_memory_user *user = data;
	size_t n = strlen(fixture.resumed);

	assert_true(n + 1 < sizeof(fixture.resumed));
	fixture.resumed[n] = (char)('a' + (user - fixture.users));
	if (fixture.cleared_on_resume)
		rr_clear_memory_user(fixture.cleared_on_resume);
}

/* All users hold as much as uses up the limit, and the last four wait. */
static int set_up(void **state)
{
	memset(&fixture, 0, sizeof(fixture));
	fixture.budget = rr_new_memory_budget(LIMIT);
	for (size_t i = 0; i < N_USERS; i++) {
		rr_init_memory_user(&fixture.users[i], fixture.budget,
				    record_resume, &fixture.users[i]);
		rr_hold_memory(&fixture.users[i], LIMIT / N_USERS);
	}
	for (size_t i = 1; i < N_USERS; i++)
		assert_true(rr_wait_for_memory(&fixture.users[i]));
	return 0;
}

static int tear_down(void **state)
{
	for (size_t i = 0; i < N_USERS; i++)
		rr_clear_memory_user(&fixture.users[i]);
	assert_false(rr_is_memory_short(fixture.budget));
	assert_int_equal(rr_held_memory_bytes(fixture.budget), 0);
	rr_drop_memory_budget(fixture.budget);
	return 0;
}

/*
 * Guards against incomplete messages that wait for each other for ever: one of
 * them reads on until it is complete, then the next.
 */
static void test_one_reads_on_at_the_limit(void **state)
{
	rr_tick_memory_budget(fixture.budget);
	rr_tick_memory_budget(fixture.budget);
	assert_string_equal(fixture.resumed, "b");
	rr_hold_memory(&fixture.users[1], LIMIT);
	assert_false(rr_wait_for_memory(&fixture.users[1]));
	rr_end_memory_wait(&fixture.users[1]);
	rr_tick_memory_budget(fixture.budget);
	assert_string_equal(fixture.resumed, "b");
	rr_clear_memory_user(&fixture.users[1]);
	rr_hold_memory(&fixture.users[0], 2 * LIMIT / N_USERS);
	rr_tick_memory_budget(fixture.budget);
	assert_string_equal(fixture.resumed, "bc");
}

/* Guards against long messages that keep short ones from being read. */
static void test_short_messages_pass(void **state)
{
	struct rr_memory_user user;

	rr_init_memory_user(&user, fixture.budget, record_resume, &user);
	rr_hold_memory(&user, RR_SHORT_MESSAGE_BYTES);
	assert_false(rr_wait_for_memory(&user));
	rr_clear_memory_user(&user);
}

/* Guards against the use of a connection that closes while it waits. */
static void test_waiting_user_is_cleared(void **state)
{
	rr_clear_memory_user(&fixture.users[1]);
	fixture.cleared_on_resume = &fixture.users[3];
	assert_int_equal(rr_memory_shortage_bytes(fixture.budget), 0);
	rr_tick_memory_budget(fixture.budget);
	assert_string_equal(fixture.resumed, "ce");
	rr_hold_memory(&fixture.users[0], LIMIT);
	assert_int_equal(rr_memory_shortage_bytes(fixture.budget),
			 LIMIT + 2 * LIMIT / N_USERS - LIMIT / 8 * 7);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_one_reads_on_at_the_limit,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_short_messages_pass,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_waiting_user_is_cleared,
						set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
