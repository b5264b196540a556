/*
 * test-gate-policy.c - tests of policy parameters by name.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwort/gate-policy.h"
#include "support/gate-fixture.h"
#include "support/paths.h"

static void test_set_by_name(void **state)
{
	struct rr_gate_policy policy;

	rr_init_gate_policy(&policy);
	assert_true(policy.hedge_slow);
	assert_true(rr_set_gate_policy(&policy, "hedge_slow", "off"));
	assert_false(policy.hedge_slow);
	assert_true(rr_set_gate_policy(&policy, "hedge_quantile", "0.5"));
	assert_true(policy.hedge_quantile == 0.5);
	assert_true(rr_set_gate_policy(&policy, "silence_probe_us", "1000"));
	assert_int_equal(policy.silence_probe_us, 1000);
	assert_true(rr_set_gate_policy(&policy, "choose_draws", "2"));
	assert_int_equal(policy.choose_draws, 2);
}

static void test_invalid_values(void **state)
{
	static const char *const texts[] = { "",     "x",   "-1",
					     "1e99", "nan", "true" };
	struct rr_gate_policy policy;

	rr_init_gate_policy(&policy);
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		assert_false(rr_set_gate_policy(&policy, "hedge_quantile",
						texts[i]));
		assert_false(
			rr_set_gate_policy(&policy, "hedge_slow", texts[i]));
	}
	assert_false(rr_set_gate_policy(&policy, "hedge", "1"));
	assert_true(policy.hedge_slow);
}

/* Requests are served with any single switch off. */
static void test_each_switch_can_be_off(void **state)
{
	const char *const *names = rr_gate_policy_switches();
	size_t n = 0;

	for (; names[n]; n++) {
		struct rr_gate_policy policy;
		struct gate_fixture *fixture;

		rr_init_gate_policy(&policy);
		assert_true(rr_set_gate_policy(&policy, names[n], "off"));
		fixture = test_start_gate_with_policy(&test_search_route,
						      &policy);
		for (int i = 0; i < 40; i++) {
			test_submit(fixture, "/search/1", 900);
			test_advance_time(fixture, 5 * TEST_MS);
			test_reply_all(fixture);
			test_advance_time(fixture, 5 * TEST_MS);
		}
		assert_int_equal(fixture->answers->len, 40);
		assert_int_equal(test_last_answer(fixture)->status, 200);
		test_free_gate(fixture);
	}
	assert_true(n > 10);
}

static void test_reference_page_is_current(void **state)
{
	GString *page = g_string_new(NULL);

	rr_format_policy_reference(page);
	rr_assert_page_is_current("docs/POLICY.md", page->str);
	g_string_free(page, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_set_by_name),
		cmocka_unit_test(test_invalid_values),
		cmocka_unit_test(test_each_switch_can_be_off),
		cmocka_unit_test(test_reference_page_is_current),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
