/*
 * test-ledger.c - claims of request ids, one failure at a time.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "ragwort/counters.h"
#include "ragwort/ledger.h"
#include "support/fake-store.h"
#include "wire/ledger-value.h"

#define WALL_S 1700000000
#define TIMEOUT_MS 100
#define RETENTION_S 3600
#define ID "1700000000-request-1"
#define KEY "ledger/0/1333"
/* Ids made a day apart share a key. */
#define DAY_S 86400
#define MAX_CLAIMS 4000

struct told {
	bool told;
	enum rr_claim_status status;
	char reason[40];
	char result[64];
};

/* One ledger of one bucket on the fake store. */
struct user {
	struct rr_context *ctx;
	struct rr_ledger *ledger;
	struct fake_client client;
	uint64_t next_call_id;
	int64_t clock_error_s;
	struct told told[MAX_CLAIMS];
};

static void take_claimed(void *data, const struct rr_claim_result *result)
{
	struct user *user = data;
	struct told *told = &user->told[result->claim_id];

	assert_false(told->told);
	told->told = true;
	told->status = result->status;
	if (result->reason)
		g_strlcpy(told->reason, result->reason, sizeof(told->reason));
	if (result->result_length)
		memcpy(told->result, result->result, result->result_length);
}

static void take_reply(void *data, const struct rr_store_reply *reply)
{
	struct user *user = data;

	assert_true(rr_handle_ledger_reply(user->ctx, user->ledger,
					   user->client.store->now_us, reply));
}

static struct rr_ledger *new_ledger(struct user *user, const char *name,
				    uint64_t incarnation)
{
	const struct rr_ledger_options options = {
		.instance = name,
		.incarnation = incarnation,
		.buckets = 1,
		.retention_s = RETENTION_S,
		.call_timeout_ms = TIMEOUT_MS,
		.store = fake_client_port(&user->client),
		.claimed = take_claimed,
		.data = user,
		.next_call_id = &user->next_call_id,
	};

	return rr_new_ledger(user->ctx, &options);
}

static struct user *new_user(struct fake_store *store, const char *name)
{
	struct user *user = g_new0(struct user, 1);

	user->ctx = rr_new_context(NULL);
	user->client = (struct fake_client){ store, take_reply, user };
	user->ledger = new_ledger(user, name, 1);
	return user;
}

static void drop_user(struct user *user)
{
	rr_drop_ledger(user->ledger);
	rr_drop_context(user->ctx);
	g_free(user);
}

/* Run the store and up to two ledgers for some time. */
static void run(struct user *a, struct user *b, int64_t for_us)
{
	struct fake_store *store = a->client.store;
	int64_t until_us = store->now_us + for_us;

	for (;;) {
		int64_t wake_us = rr_ledger_wake_us(a->ledger);
		int64_t due_us = fake_store_due_us(store);

		if (b)
			wake_us = MIN(wake_us, rr_ledger_wake_us(b->ledger));
		if (MIN(wake_us, due_us) > until_us)
			break;
		if (due_us <= wake_us)
			run_fake_store_event(store);
		store->now_us = MAX(store->now_us, MIN(wake_us, due_us));
		rr_tick_ledger(a->ctx, a->ledger, store->now_us);
		if (b)
			rr_tick_ledger(b->ctx, b->ledger, store->now_us);
	}
	store->now_us = until_us;
}

static uint64_t claim(struct user *user, const char *id, uint64_t fingerprint)
{
	int64_t now_us = user->client.store->now_us;
	int64_t wall_us = now_us + (WALL_S + user->clock_error_s) *
					   (int64_t)G_USEC_PER_SEC;

	return rr_claim_request_id(user->ctx, user->ledger, now_us, wall_us,
				   "invoicing", id, fingerprint);
}

static void assert_told(const struct user *user, uint64_t claim,
			enum rr_claim_status status, const char *reason)
{
	assert_true(user->told[claim].told);
	assert_int_equal(user->told[claim].status, status);
	if (reason)
		assert_string_equal(user->told[claim].reason, reason);
}

/* A fresh store with two users of it. */
struct scene {
	struct fake_store *store;
	struct user *a;
	struct user *b;
};

static int set_up(void **state)
{
	struct scene *scene = g_new0(struct scene, 1);

	scene->store = new_fake_store(1);
	scene->a = new_user(scene->store, "a");
	scene->b = new_user(scene->store, "b");
	*state = scene;
	return 0;
}

static int tear_down(void **state)
{
	struct scene *scene = *state;

	drop_user(scene->a);
	drop_user(scene->b);
	drop_fake_store(scene->store);
	g_free(scene);
	return 0;
}

static void set_next_fate(struct scene *scene, enum fake_call_outcome fate,
			  uint32_t n)
{
	scene->store->next_outcome = fate;
	scene->store->n_next_outcomes = n;
}

static void record(struct user *user, uint64_t claim, const char *result)
{
	rr_record_claim_result(user->ctx, user->ledger,
			       user->client.store->now_us, claim, result,
			       strlen(result));
}

static void test_second_claim_is_told(void **state)
{
	struct scene *scene = *state;
	uint64_t first = claim(scene->a, ID, 1);
	uint64_t second;

	run(scene->a, scene->b, 100000);
	assert_told(scene->a, first, RR_CLAIM_ACQUIRED, NULL);
	second = claim(scene->b, ID, 1);
	run(scene->a, scene->b, 100000);
	assert_told(scene->b, second, RR_CLAIM_HELD, NULL);
	record(scene->a, first, "{\"ok\":1}");
	run(scene->a, scene->b, 100000);
	second = claim(scene->b, ID, 1);
	run(scene->a, scene->b, 100000);
	assert_told(scene->b, second, RR_CLAIM_DONE, NULL);
	assert_string_equal(scene->b->told[second].result, "{\"ok\":1}");
	second = claim(scene->b, ID, 2);
	run(scene->a, scene->b, 100000);
	assert_told(scene->b, second, RR_CLAIM_REJECTED,
		    "id-used-for-another-request");
}

static void test_released_id_is_free(void **state)
{
	struct scene *scene = *state;
	uint64_t first = claim(scene->a, ID, 1);
	uint64_t second;

	run(scene->a, scene->b, 100000);
	rr_release_claim(scene->a->ctx, scene->a->ledger, scene->store->now_us,
			 first);
	run(scene->a, scene->b, 100000);
	second = claim(scene->b, ID, 1);
	run(scene->a, scene->b, 100000);
	assert_told(scene->b, second, RR_CLAIM_ACQUIRED, NULL);
}

/*
 * Story: counter staff saw "not run" for a reservation, yet its id stayed
 * held for a day.  The claim's write got no reply, a read showed the id
 * absent, "not run" was answered; a second later the write, delayed on its
 * way, took effect.  Cause: a read proves nothing while the key's revision
 * is the one the write compares.
 */
static void test_late_write_is_fenced(void **state)
{
	struct scene *scene = *state;
	struct rr_ledger_value *value;
	uint64_t first;
	uint64_t revision;
	size_t length;
	const char *bytes;

	scene->store->max_late_us = 50000;
	set_next_fate(scene, FAKE_LATE_EFFECT, 1);
	first = claim(scene->a, ID, 1);
	run(scene->a, scene->b, 1000000);
	assert_told(scene->a, first, RR_CLAIM_ACQUIRED, NULL);
	/* The late write met the fence. */
	assert_int_equal(scene->store->conflicts, 1);
	assert_int_equal(scene->store->writes, 2);
	bytes = peek_fake_value(scene->store, KEY, &length, &revision);
	value = rr_decode_ledger_value(bytes, length, NULL);
	assert_int_equal(revision, 1);
	assert_int_equal(g_hash_table_size(value->entries), 1);
	rr_drop_ledger_value(value);
}

/*
 * Story: a reservation's write got no reply and the store went down.  The
 * write took effect seconds later; other instances then found the id held by
 * a claimant that had given up long ago.  Cause: nobody took the entry out.
 */
static void test_unsettled_claim_is_released_later(void **state)
{
	struct scene *scene = *state;
	uint64_t first;
	uint64_t second;

	scene->store->max_late_us = 300000;
	set_next_fate(scene, FAKE_LATE_EFFECT, 1);
	first = claim(scene->a, ID, 1);
	run(scene->a, NULL, 4000);
	scene->store->per_mille[FAKE_UNAVAILABLE] = 1000;
	run(scene->a, NULL, 400000);
	assert_told(scene->a, first, RR_CLAIM_UNRESOLVED, NULL);
	assert_false(rr_ledger_is_idle(scene->a->ledger));
	scene->store->per_mille[FAKE_UNAVAILABLE] = 0;
	second = claim(scene->b, ID, 1);
	run(scene->b, NULL, 100000);
	assert_told(scene->b, second, RR_CLAIM_HELD, NULL);
	run(scene->a, scene->b, 2000000);
	assert_true(rr_ledger_is_idle(scene->a->ledger));
	second = claim(scene->b, ID, 1);
	run(scene->a, scene->b, 100000);
	assert_told(scene->b, second, RR_CLAIM_ACQUIRED, NULL);
}

/*
 * Story: a reservation was told "not run" though its claim had taken effect,
 * and the id stayed held.  Its write's reply was lost, a read settled it,
 * but a second claim of the bucket needed another read and that one failed.
 * Cause: the settled claim was only looked at after the second read.
 */
static void test_settled_claim_survives_next_failure(void **state)
{
	struct scene *scene = *state;
	uint64_t first = claim(scene->a, ID, 1);
	uint64_t second;
	uint64_t third;

	run(scene->a, NULL, 100000);
	set_next_fate(scene, FAKE_LOST_AFTER_EFFECT, 1);
	second = claim(scene->a, "1700000000-request-2", 1);
	while (scene->store->reads < 2)
		run(scene->a, NULL, 100);
	/* A duplicate of the first asks for a read of its own. */
	third = claim(scene->a, ID, 1);
	scene->store->per_mille[FAKE_UNAVAILABLE] = 1000;
	run(scene->a, NULL, 1000000);
	assert_told(scene->a, first, RR_CLAIM_ACQUIRED, NULL);
	assert_told(scene->a, second, RR_CLAIM_ACQUIRED, NULL);
	assert_told(scene->a, third, RR_CLAIM_REJECTED, "store-unavailable");
}

/*
 * Story: with the store down callers waited out their deadline for each
 * reservation.  Cause: the claim was retried although it was proven that
 * nothing was written.
 */
static void test_store_down_is_told_at_once(void **state)
{
	struct scene *scene = *state;
	uint64_t first;
	uint64_t second;
	uint64_t reads;

	scene->store->per_mille[FAKE_UNAVAILABLE] = 1000;
	first = claim(scene->a, ID, 1);
	run(scene->a, NULL, 3000);
	assert_told(scene->a, first, RR_CLAIM_REJECTED, "store-unavailable");
	reads = scene->store->reads;
	second = claim(scene->a, ID, 1);
	run(scene->a, NULL, 0);
	assert_told(scene->a, second, RR_CLAIM_REJECTED, "store-unavailable");
	assert_int_equal(scene->store->reads, reads);
}

static void test_ids_are_checked(void **state)
{
	static const struct {
		const char *id;
		const char *reason;
	} ids[] = {
		{ "", "id-malformed" },
		{ "1700000000", "id-malformed" },
		{ "1700000000-", "id-malformed" },
		{ "1700000000-short", "id-malformed" },
		{ "-1700000000-request-1", "id-malformed" },
		{ "17e8-request-1", "id-malformed" },
		{ "1700000000-request/1", "id-malformed" },
		{ "9999999999999-request-1", "id-malformed" },
		{ "1700000301-request-1", "id-from-the-future" },
		{ "1699996399-request-1", "id-too-old" },
	};
	struct scene *scene = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
		uint64_t number = claim(scene->a, ids[i].id, 1);

		assert_false(scene->a->told[number].told);
		run(scene->a, NULL, 0);
		assert_told(scene->a, number, RR_CLAIM_REJECTED, ids[i].reason);
	}
	assert_int_equal(scene->store->reads, 0);
}

static void test_claims_are_written_in_groups(void **state)
{
	struct scene *scene = *state;
	char id[64];

	for (int i = 0; i < 1000; i++) {
		g_snprintf(id, sizeof(id), "%d-request-%d", WALL_S, i);
		claim(scene->a, id, 1);
	}
	run(scene->a, NULL, 100000);
	for (int i = 1; i <= 1000; i++)
		assert_told(scene->a, i, RR_CLAIM_ACQUIRED, NULL);
	assert_int_equal(scene->store->reads, 1);
	assert_int_equal(scene->store->writes, 1);
}

/*
 * Story: a day-old reservation was sent again under its id and ran a second
 * time.  One instance with a clock behind the others still took the id for
 * young, and another had pruned its entry.  Cause: the age was checked by
 * clocks alone.
 */
static void test_pruned_id_is_refused_by_a_slow_clock(void **state)
{
	struct scene *scene = *state;
	uint64_t first = claim(scene->a, ID, 1);
	uint64_t second;

	run(scene->a, NULL, 100000);
	record(scene->a, first, "{}");
	run(scene->a, NULL, 100000);
	scene->b->clock_error_s = -DAY_S;
	scene->store->now_us += DAY_S * (int64_t)G_USEC_PER_SEC;
	/* A fresh id makes a write the bucket, and prune it. */
	claim(scene->a, "1700086400-request-2", 1);
	run(scene->a, NULL, 100000);
	second = claim(scene->b, ID, 1);
	run(scene->a, scene->b, 100000);
	assert_told(scene->b, second, RR_CLAIM_REJECTED, "id-too-old");
}

/*
 * Story: after one instance's clock jumped days ahead, no reservation of the
 * bucket was taken anywhere.  Cause: that instance pruned by its clock alone
 * and left a floor that every id of the day was below.
 */
static void test_fast_clock_prunes_nothing_young(void **state)
{
	struct scene *scene = *state;
	uint64_t first = claim(scene->b, ID, 1);
	uint64_t second;

	run(scene->b, NULL, 100000);
	scene->b->clock_error_s = 100 * RETENTION_S;
	second = claim(scene->b, "1700000000-request-2", 1);
	rr_release_claim(scene->b->ctx, scene->b->ledger, scene->store->now_us,
			 first);
	run(scene->a, scene->b, 100000);
	assert_told(scene->b, second, RR_CLAIM_REJECTED, "id-too-old");
	assert_int_equal(scene->store->writes, 2);
	second = claim(scene->a, "1700000000-request-2", 1);
	run(scene->a, scene->b, 100000);
	assert_told(scene->a, second, RR_CLAIM_ACQUIRED, NULL);
}

static void test_full_bucket_refuses(void **state)
{
	struct scene *scene = *state;
	struct rr_ledger_value *value = rr_new_ledger_value();
	uint64_t number;
	size_t length;
	char *bytes;

	for (int i = 0; value->encoded_size_bound < 900000; i++) {
		char *name =
			g_strdup_printf("invoicing/%d-old-%06d", WALL_S, i);
		const struct rr_ledger_entry entry = {
			.name = name,
			.created_s = WALL_S,
			.instance = "c",
		};

		rr_add_ledger_entry(value, &entry);
		g_free(name);
	}
	bytes = rr_encode_ledger_value(value, &length);
	poke_fake_value(scene->store, KEY, bytes, length);
	rr_drop_ledger_value(value);
	g_free(bytes);
	number = claim(scene->a, ID, 1);
	run(scene->a, NULL, 100000);
	assert_told(scene->a, number, RR_CLAIM_REJECTED, "ledger-full");
	assert_int_equal(scene->store->writes, 0);
	/* Past retention and its margin the entries go and claims go on. */
	scene->store->now_us += DAY_S * (int64_t)G_USEC_PER_SEC;
	number = claim(scene->a, "1700086400-request-2", 1);
	run(scene->a, NULL, 100000);
	assert_told(scene->a, number, RR_CLAIM_ACQUIRED, NULL);
}

static void test_malformed_value_is_left_alone(void **state)
{
	struct scene *scene = *state;
	const char *bytes;
	uint64_t revision;
	uint64_t number;
	size_t length;

	poke_fake_value(scene->store, KEY, "nonsense", 8);
	number = claim(scene->a, ID, 1);
	run(scene->a, NULL, 100000);
	assert_told(scene->a, number, RR_CLAIM_REJECTED, "ledger-unreadable");
	assert_int_equal(
		rr_counter_value(scene->a->ctx, RR_N_LEDGER_VALUES_BAD), 1);
	bytes = peek_fake_value(scene->store, KEY, &length, &revision);
	assert_int_equal(length, 8);
	assert_memory_equal(bytes, "nonsense", 8);
	assert_int_equal(revision, 1);
}

/*
 * Story: after an instance was replaced, its reservations of one key were
 * refused for good.  A reply to a call of the process before came late, had
 * the id of a call of the new one, and told the revision of another key.
 */
static void test_reply_to_a_former_process(void **state)
{
	struct scene *scene = *state;
	const struct rr_store_reply reply = {
		.call_id = scene->a->next_call_id,
		.revision = 100,
	};

	claim(scene->a, ID, 1);
	scene->a->client.reply = NULL;
	rr_drop_ledger(scene->a->ledger);
	scene->a->next_call_id = 0;
	scene->a->ledger = new_ledger(scene->a, "a", 2);
	claim(scene->a, ID, 1);
	assert_false(rr_handle_ledger_reply(scene->a->ctx, scene->a->ledger,
					    scene->store->now_us, &reply));
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_second_claim_is_told),
		TEST(test_released_id_is_free),
		TEST(test_late_write_is_fenced),
		TEST(test_unsettled_claim_is_released_later),
		TEST(test_settled_claim_survives_next_failure),
		TEST(test_store_down_is_told_at_once),
		TEST(test_ids_are_checked),
		TEST(test_claims_are_written_in_groups),
		TEST(test_pruned_id_is_refused_by_a_slow_clock),
		TEST(test_fast_clock_prunes_nothing_young),
		TEST(test_full_bucket_refuses),
		TEST(test_malformed_value_is_left_alone),
		TEST(test_reply_to_a_former_process),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
