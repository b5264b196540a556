/*
 * test-feed-registration.c - whose entries one instance keeps for others.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "core/feed-registration.h"

#define MOST 32

static bool enroll(struct rr_registrations *roster, const char *id,
		   double strength, int64_t now_us)
{
	struct rr_instance instance = {
		.id = (char *)id,
		.zone = (char *)"z",
		.address = (char *)"10.0.0.1:7",
		.strength = strength,
	};

	return rr_register_instance(roster, &instance, now_us);
}

/* Take what is to be written: "+id" and "-id". */
static void assert_batch(struct rr_registrations *roster, const char *expected)
{
	struct rr_registration_batch batch =
		rr_take_registration_batch(roster, MOST);
	GString *told = g_string_new(NULL);

	for (guint i = 0; i < batch.added->len; i++) {
		const struct rr_instance *instance =
			g_ptr_array_index(batch.added, i);

		g_string_append_printf(told, "+%s ", instance->id);
	}
	for (guint i = 0; i < batch.removed->len; i++)
		g_string_append_printf(
			told, "-%s ",
			(const char *)g_ptr_array_index(batch.removed, i));
	assert_string_equal(told->str, expected);
	g_string_free(told, TRUE);
	rr_clear_registration_batch(&batch);
}

/* Written once, however often it is heard; again when it says another thing. */
static void test_written_once(void **state)
{
	struct rr_registrations *roster = rr_new_registrations();

	(void)state;
	assert_true(enroll(roster, "a", 1, 10));
	assert_batch(roster, "+a ");
	assert_false(rr_has_unwritten_registrations(roster));
	rr_confirm_registration_batch(roster, 5);
	assert_true(enroll(roster, "a", 1, 20));
	assert_false(rr_has_unwritten_registrations(roster));
	assert_true(enroll(roster, "a", 2, 30));
	assert_batch(roster, "+a ");
	rr_retry_registration_batch(roster);
	assert_batch(roster, "+a ");
	rr_drop_registrations(roster);
}

/*
 * Story: an instance enters and leaves again while its entry is being written.
 * The entry would stand until the lease ends, which others keep alive: it is
 * removed as soon as it is there.
 */
static void test_left_while_it_is_written(void **state)
{
	struct rr_registrations *roster = rr_new_registrations();

	(void)state;
	enroll(roster, "a", 1, 10);
	assert_batch(roster, "+a ");
	rr_deregister_instance(roster, "a");
	assert_false(rr_has_unwritten_registrations(roster));
	rr_observe_registration(roster, "a", 5, false);
	rr_confirm_registration_batch(roster, 5);
	assert_batch(roster, "-a ");
	/* It is back before the removal is done. */
	enroll(roster, "a", 1, 20);
	rr_confirm_registration_batch(roster, 6);
	assert_batch(roster, "+a ");
	rr_confirm_registration_batch(roster, 7);
	rr_deregister_instance(roster, "a");
	assert_batch(roster, "-a ");
	rr_confirm_registration_batch(roster, 8);
	assert_true(rr_registrations_are_empty(roster));
	rr_drop_registrations(roster);
}

/*
 * Story: an instance lost its way to the one that entered it and goes to
 * another, which writes its entry anew.  The first hears nothing of it for
 * twelve seconds; were it to remove the entry, one that is well would vanish
 * for all others.
 */
static void test_one_that_moved_is_let_go(void **state)
{
	struct rr_registrations *roster = rr_new_registrations();

	(void)state;
	enroll(roster, "a", 1, 10);
	assert_batch(roster, "+a ");
	rr_confirm_registration_batch(roster, 5);
	rr_observe_registration(roster, "a", 5, false);
	assert_false(rr_registrations_are_empty(roster));
	rr_observe_registration(roster, "a", 9, false);
	rr_expire_registrations(roster, 100);
	assert_batch(roster, "");
	assert_true(rr_registrations_are_empty(roster));
	rr_drop_registrations(roster);
}

/* Silent for too long, it is struck off; the others stay. */
static void test_silent_ones_go(void **state)
{
	struct rr_registrations *roster = rr_new_registrations();

	(void)state;
	enroll(roster, "a", 1, 10);
	enroll(roster, "b", 1, 90);
	assert_int_equal(rr_oldest_registration_us(roster), 10);
	rr_expire_registrations(roster, 50);
	assert_int_equal(rr_oldest_registration_us(roster), 90);
	/* Nothing of it was written: there is nothing to remove. */
	assert_batch(roster, "+b ");
	rr_confirm_registration_batch(roster, 5);
	rr_expire_registrations(roster, 100);
	assert_batch(roster, "-b ");
	rr_drop_registrations(roster);
}

/* Entries end with the lease, or are removed by somebody: written again. */
static void test_entries_that_are_gone(void **state)
{
	struct rr_registrations *roster = rr_new_registrations();

	(void)state;
	enroll(roster, "a", 1, 10);
	assert_batch(roster, "+a ");
	rr_confirm_registration_batch(roster, 5);
	rr_observe_registration(roster, "a", 7, true);
	assert_batch(roster, "+a ");
	rr_confirm_registration_batch(roster, 8);
	rr_rewrite_all_registrations(roster);
	assert_batch(roster, "+a ");
	rr_rewrite_all_registrations(roster);
	rr_deregister_instance(roster, "a");
	rr_rewrite_all_registrations(roster);
	assert_true(rr_registrations_are_empty(roster));
	rr_drop_registrations(roster);
}

/* A batch holds no more than one write may; nobody fills the memory. */
static void test_bounds(void **state)
{
	struct rr_registrations *roster = rr_new_registrations();
	struct rr_registration_batch batch;

	(void)state;
	for (int i = 0; i < 2000; i++) {
		char *id = g_strdup_printf("i%d", i);

		assert_int_equal(enroll(roster, id, 1, 1), i < 1024);
		g_free(id);
	}
	batch = rr_take_registration_batch(roster, MOST);
	assert_int_equal(batch.added->len, MOST);
	rr_clear_registration_batch(&batch);
	rr_drop_registrations(roster);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_written_once),
		cmocka_unit_test(test_left_while_it_is_written),
		cmocka_unit_test(test_one_that_moved_is_let_go),
		cmocka_unit_test(test_silent_ones_go),
		cmocka_unit_test(test_entries_that_are_gone),
		cmocka_unit_test(test_bounds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
