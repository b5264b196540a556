/*
 * test-process-lost-change.c - a change of the configuration that is accepted
 * after a restore of the store and before lost changes are written back.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "platform/platform.h"
#include "ragwort/record.h"
#include "support/deployment.h"

#define SETTINGS "    deadline_ms: 5000\n    attempt_timeout_ms: 5000\n"
#define N_INSTANCES 2
#define CHANGE "# after the restore\n"

static struct test_http_reply *call_store(const struct test_deployment *d,
					  struct rr_store_request *call)
{
	struct test_http_reply *reply = test_http_request(
		call->method, d->platform->port, call->path, NULL, call->body);

	rr_clear_store_request(call);
	return reply;
}

/* Return the record in the store; *key_revision is its key's. */
static struct rr_config_record *read_record(const struct test_deployment *d,
					    uint64_t *key_revision)
{
	struct rr_config_record *record;
	struct rr_key_reply stored;
	struct rr_store_request call;
	struct test_http_reply *reply;

	rr_make_get_request(&call, RR_CONFIG_RECORD_KEY);
	reply = call_store(d, &call);
	rr_decode_get_reply((uint16_t)reply->status, reply->body,
			    strlen(reply->body), &stored);
	assert_non_null(stored.value);
	record = rr_decode_config_record(stored.value, stored.length, NULL);
	assert_non_null(record);
	*key_revision = stored.revision;
	rr_clear_key_reply(&stored);
	test_drop_reply(reply);
	return record;
}

/* Push a change based on what the store has, as `ragwort config push` does. */
static void push_change(const struct test_deployment *d)
{
	uint64_t key_revision;
	struct rr_config_record *record = read_record(d, &key_revision);
	char *base = g_strconcat(
		rr_config_file_text(record, RR_CONFIG_BASE_FILE), CHANGE, NULL);
	struct rr_store_request call;
	struct test_http_reply *reply;
	size_t length;
	char *text;

	rr_update_config_record(record, RR_CONFIG_BASE_FILE, base, "after",
				"test", 1);
	text = rr_encode_config_record(record, &length);
	rr_make_cas_request(&call, RR_CONFIG_RECORD_KEY, key_revision, text,
			    length, NULL);
	reply = call_store(d, &call);
	assert_int_equal(reply->status, 200);
	test_drop_reply(reply);
	g_free(text);
	g_free(base);
	rr_drop_config_record(record);
}

struct force_wait {
	struct test_deployment *d;
	int64_t changes_before[N_INSTANCES];
};

static int64_t count_changes(struct test_deployment *d, int i)
{
	return test_read_metric(d, i, "config_changes_total");
}

/* Whether the store has the change, and all instances have applied one since. */
static bool is_in_force(void *data)
{
	struct force_wait *wait = data;
	uint64_t key_revision;
	struct rr_config_record *record = read_record(wait->d, &key_revision);
	bool in_force = strstr(rr_config_file_text(record, RR_CONFIG_BASE_FILE),
			       CHANGE) != NULL;

	for (int i = 0; in_force && i < N_INSTANCES; i++)
		in_force =
			count_changes(wait->d, i) > wait->changes_before[i] &&
			test_read_metric(wait->d, i, "config_revision") ==
				(int64_t)rr_config_record_revision(record);
	rr_drop_config_record(record);
	return in_force;
}

struct revision_wait {
	struct test_deployment *d;
	int64_t revision;
};

static bool all_have_revision(void *data)
{
	struct revision_wait *wait = data;

	for (int i = 0; i < N_INSTANCES; i++) {
		if (test_read_metric(wait->d, i, "config_revision") !=
		    wait->revision)
			return false;
	}
	return true;
}

static void signal_instances(struct test_deployment *d, int number)
{
	for (int i = 0; i < N_INSTANCES; i++)
		test_signal_process(d->instances[i], number);
}

/*
 * Guards against an accepted change that is not in force since instances have a
 * lost change of the same or a higher revision.  Without changes lost, it is in
 * force: see test-process-change.
 */
static void expect_change_in_force(int n_lost)
{
	struct test_deployment_options options = {
		.n_shards = 3,
		.replicas_per_shard = 1,
		.n_zones = 1,
		.n_instances = N_INSTANCES,
		.service_settings = SETTINGS,
	};
	struct test_deployment *d = test_start_deployment(&options);
	struct revision_wait lost = { .d = d };
	struct force_wait wait = { .d = d };

	test_post_control(d->platform->control_port, "{\"copy\":true}");
	for (int i = 0; i < n_lost; i++)
		lost.revision = (int64_t)test_change_settings(
			d, i % 2 ? SETTINGS "    slots: 4\n" :
				   SETTINGS "    slots: 3\n");
	assert_true(test_wait_until(all_have_revision, &lost));
	for (int i = 0; i < N_INSTANCES; i++)
		wait.changes_before[i] = count_changes(d, i);
	signal_instances(d, SIGSTOP);
	/* All threads are stopped by then. */
	g_usleep(200 * 1000);
	test_post_control(d->platform->control_port, "{\"restore\":true}");
	push_change(d);
	signal_instances(d, SIGCONT);
	assert_true(test_wait_until(is_in_force, &wait));
	test_drop_deployment(d);
}

static void test_change_at_revision_of_lost_change(void **state)
{
	(void)state;
	expect_change_in_force(1);
}

static void test_change_below_revision_of_lost_change(void **state)
{
	(void)state;
	expect_change_in_force(2);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_change_at_revision_of_lost_change),
		cmocka_unit_test(test_change_below_revision_of_lost_change),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
