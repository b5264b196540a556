/*
 * test-feed-registration.c - the instances that a registrar registers.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "core/feed-registration.h"

#define MAX_BATCH_KEYS 32

static bool register_instance(struct rr_registrations *registrations,
			      const char *id, double strength, int64_t now_us)
{
	struct rr_instance instance = {
		.id = (char *)id,
		.zone = (char *)"z",
		.address = (char *)"10.0.0.1:7",
		.strength = strength,
	};

	return rr_register_instance(registrations, &instance, now_us);
}

/* Take the next batch and compare it: "+id" and "-id". */
static void assert_batch(struct rr_registrations *registrations,
			 const char *expected)
{
	struct rr_registration_batch batch =
		rr_take_registration_batch(registrations, MAX_BATCH_KEYS);
	GString *actual = g_string_new(NULL);

	for (guint i = 0; i < batch.added->len; i++) {
		const struct rr_instance *instance =
			g_ptr_array_index(batch.added, i);

		g_string_append_printf(actual, "+%s ", instance->id);
	}
	for (guint i = 0; i < batch.removed->len; i++)
		g_string_append_printf(
			actual, "-%s ",
			(const char *)g_ptr_array_index(batch.removed, i));
	assert_string_equal(actual->str, expected);
	g_string_free(actual, TRUE);
	rr_clear_registration_batch(&batch);
}

/*
 * An entry is written once, however often the instance asks; again when its
 * data change.
 */
static void test_written_once(void **state)
{
	struct rr_registrations *registrations = rr_new_registrations();

	(void)state;
	assert_true(register_instance(registrations, "a", 1, 10));
	assert_batch(registrations, "+a ");
	assert_false(rr_has_unwritten_registrations(registrations));
	rr_confirm_registration_batch(registrations, 5);
	assert_true(register_instance(registrations, "a", 1, 20));
	assert_false(rr_has_unwritten_registrations(registrations));
	assert_true(register_instance(registrations, "a", 2, 30));
	assert_batch(registrations, "+a ");
	rr_retry_registration_batch(registrations);
	assert_batch(registrations, "+a ");
	rr_drop_registrations(registrations);
}

/*
 * An instance registers and leaves while its entry is being written.  The entry
 * would remain as long as the lease, which is renewed for others: it is removed
 * as soon as it has been written.
 */
static void test_leave_during_write(void **state)
{
	struct rr_registrations *registrations = rr_new_registrations();

	(void)state;
	register_instance(registrations, "a", 1, 10);
	assert_batch(registrations, "+a ");
	rr_deregister_instance(registrations, "a");
	assert_false(rr_has_unwritten_registrations(registrations));
	rr_observe_registration(registrations, "a", 5, false);
	rr_confirm_registration_batch(registrations, 5);
	assert_batch(registrations, "-a ");
	/* It registers again before the removal is confirmed. */
	register_instance(registrations, "a", 1, 20);
	rr_confirm_registration_batch(registrations, 6);
	assert_batch(registrations, "+a ");
	rr_confirm_registration_batch(registrations, 7);
	rr_deregister_instance(registrations, "a");
	assert_batch(registrations, "-a ");
	rr_confirm_registration_batch(registrations, 8);
	assert_true(rr_registrations_are_empty(registrations));
	rr_drop_registrations(registrations);
}

/*
 * An instance cannot reach its registrar and moves to another one, which writes
 * its entry anew.  The first has no contact for twelve seconds; if it removed
 * the entry, a healthy instance would disappear for all others.
 */
static void test_moved_instance_is_released(void **state)
{
	struct rr_registrations *registrations = rr_new_registrations();

	(void)state;
	register_instance(registrations, "a", 1, 10);
	assert_batch(registrations, "+a ");
	rr_confirm_registration_batch(registrations, 5);
	rr_observe_registration(registrations, "a", 5, false);
	assert_false(rr_registrations_are_empty(registrations));
	rr_observe_registration(registrations, "a", 9, false);
	rr_expire_registrations(registrations, 100);
	assert_batch(registrations, "");
	assert_true(rr_registrations_are_empty(registrations));
	rr_drop_registrations(registrations);
}

/* A registration without contact for too long expires; the others stay. */
static void test_expiry(void **state)
{
	struct rr_registrations *registrations = rr_new_registrations();

	(void)state;
	register_instance(registrations, "a", 1, 10);
	register_instance(registrations, "b", 1, 90);
	assert_int_equal(rr_oldest_registration_us(registrations), 10);
	rr_expire_registrations(registrations, 50);
	assert_int_equal(rr_oldest_registration_us(registrations), 90);
	/* It was never written, so there is nothing to remove. */
	assert_batch(registrations, "+b ");
	rr_confirm_registration_batch(registrations, 5);
	rr_expire_registrations(registrations, 100);
	assert_batch(registrations, "-b ");
	rr_drop_registrations(registrations);
}

/*
 * Entries that expire with the lease, or are removed by others, are written
 * again.
 */
static void test_lost_entries_are_rewritten(void **state)
{
	struct rr_registrations *registrations = rr_new_registrations();

	(void)state;
	register_instance(registrations, "a", 1, 10);
	assert_batch(registrations, "+a ");
	rr_confirm_registration_batch(registrations, 5);
	rr_observe_registration(registrations, "a", 7, true);
	assert_batch(registrations, "+a ");
	rr_confirm_registration_batch(registrations, 8);
	rr_rewrite_all_registrations(registrations);
	assert_batch(registrations, "+a ");
	rr_rewrite_all_registrations(registrations);
	rr_deregister_instance(registrations, "a");
	rr_rewrite_all_registrations(registrations);
	assert_true(rr_registrations_are_empty(registrations));
	rr_drop_registrations(registrations);
}

/*
 * A batch holds no more than one write may, and the number of registrations is
 * bounded.
 */
static void test_bounds(void **state)
{
	struct rr_registrations *registrations = rr_new_registrations();
	struct rr_registration_batch batch;

	(void)state;
	for (int i = 0; i < 2000; i++) {
		char *id = g_strdup_printf("i%d", i);

		assert_int_equal(register_instance(registrations, id, 1, 1),
				 i < 1024);
		g_free(id);
	}
	batch = rr_take_registration_batch(registrations, MAX_BATCH_KEYS);
	assert_int_equal(batch.added->len, MAX_BATCH_KEYS);
	rr_clear_registration_batch(&batch);
	rr_drop_registrations(registrations);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_written_once),
		cmocka_unit_test(test_leave_during_write),
		cmocka_unit_test(test_moved_instance_is_released),
		cmocka_unit_test(test_expiry),
		cmocka_unit_test(test_lost_entries_are_rewritten),
		cmocka_unit_test(test_bounds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
