/*
 * test-wire.c - encoders and decoders: round trips, and malformed input written
 * by hand and made by seeded mutation.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "ragwort/wire.h"

#define MUTATIONS 30000

static struct rr_peer_message *make_ping(void)
{
	struct rr_peer_message *message = rr_new_peer_message(RR_PEER_PING);

	message->from = g_strdup("ruaraka-1");
	message->from_incarnation = 1764700000000000;
	message->to_incarnation = 5;
	message->config_revision = 12;
	message->sequence = UINT64_MAX;
	message->target = g_strdup("athi-2");
	message->members_count = 9;
	message->members_digest = 0xfedcba9876543210;
	message->n_updates = 2;
	message->updates = g_new0(struct rr_member_update, 2);
	message->updates[0] =
		(struct rr_member_update){ g_strdup("ruaraka-1"),
					   g_strdup("ruaraka"),
					   g_strdup("10.0.0.1:8201"),
					   7,
					   3,
					   RR_MEMBER_LEAVING };
	message->updates[1] =
		(struct rr_member_update){ g_strdup("athi-9"), NULL, NULL, 8, 0,
					   RR_MEMBER_DEAD };
	return message;
}

static struct rr_peer_message *make_relay(void)
{
	struct rr_peer_message *message = rr_new_peer_message(RR_PEER_RELAY);
	struct rr_relay *relay = g_new0(struct rr_relay, 1);

	message->from = g_strdup("ruaraka-1");
	message->from_incarnation = 1;
	message->relay = relay;
	relay->query_id = 77;
	relay->kind = RR_RESERVE;
	relay->service = g_strdup("counter-desk");
	relay->request_id = g_strdup("r-1");
	relay->body = g_strdup("{\"tag\":\"P-17\"}");
	relay->idempotency_key = g_strdup("1764700000-abcdefgh");
	relay->key_from = 17;
	relay->key_to = RR_KEY_LIMIT;
	relay->row_limit = 100;
	relay->version = 7;
	relay->map_epoch = 2;
	relay->remaining_ms = 250;
	relay->batch = true;
	relay->config_revision = 12;
	relay->n_shards = 2;
	relay->shards = g_new0(struct rr_relay_shard, 2);
	relay->shards[0] =
		(struct rr_relay_shard){ g_strdup("desk-01"),
					 g_strdup("desk-01-a"), 5, 7 };
	relay->shards[1] =
		(struct rr_relay_shard){ g_strdup("desk-02"), NULL, 0, 0 };
	return message;
}

static struct rr_peer_message *make_reply(void)
{
	struct rr_peer_message *message =
		rr_new_peer_message(RR_PEER_RELAY_REPLY);
	struct rr_relay_reply *reply = g_new0(struct rr_relay_reply, 1);

	message->from = g_strdup("athi-2");
	message->from_incarnation = 2;
	message->relay_reply = reply;
	reply->query_id = 77;
	reply->version = 7;
	reply->retry_after_ms = 20;
	reply->result = g_strdup("{}");
	reply->rows = rr_new_rows();
	rr_append_row(reply->rows, 0, "{\"a\":1}", 7);
	rr_append_row(reply->rows, RR_KEY_LIMIT - 1, "null", 4);
	reply->n_outcomes = 2;
	reply->outcomes = g_new0(struct rr_relay_outcome, 2);
	reply->outcomes[0].shard = g_strdup("desk-01");
	reply->outcomes[0].covered = true;
	reply->outcomes[0].newest_version = 7;
	reply->outcomes[0].attempts = 2;
	reply->outcomes[0].n_ranges = 2;
	reply->outcomes[0].ranges = g_new0(struct rr_key_range, 2);
	reply->outcomes[0].ranges[0] = (struct rr_key_range){ 0, 10 };
	reply->outcomes[0].ranges[1] = (struct rr_key_range){ 20, 30 };
	reply->outcomes[1].shard = g_strdup("desk-02");
	reply->outcomes[1].reason = RR_MISSING_SHED;
	reply->outcomes[1].not_run = true;
	return message;
}

static struct rr_peer_message *make_config(void)
{
	struct rr_peer_message *message = rr_new_peer_message(RR_PEER_CONFIG);

	message->from = g_strdup("a");
	message->from_incarnation = 1;
	message->config_record = g_strdup("{\"revision\":3}");
	message->config_length = strlen(message->config_record);
	return message;
}

/* Encoding the decoded message must give the same bytes. */
static void check_round_trip(struct rr_peer_message *message)
{
	GBytes *bytes = rr_encode_peer_message(message);
	GBytes *encoded_again;
	GError *error = NULL;
	struct rr_peer_message *decoded;
	gsize length;
	const uint8_t *data = g_bytes_get_data(bytes, &length);

	decoded = rr_decode_peer_message(data, length, &error);
	if (!decoded)
		fail_msg("%s", error->message);
	encoded_again = rr_encode_peer_message(decoded);
	assert_true(g_bytes_equal(bytes, encoded_again));
	g_bytes_unref(bytes);
	g_bytes_unref(encoded_again);
	rr_drop_peer_message(decoded);
}

static struct rr_peer_message *(*const message_makers[])(void) = {
	make_ping,
	make_relay,
	make_reply,
	make_config,
};

static void test_peer_round_trips(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(message_makers); i++) {
		struct rr_peer_message *message = message_makers[i]();

		check_round_trip(message);
		rr_drop_peer_message(message);
	}
}

/*
 * A round trip does not notice a field that both the encoder and the decoder
 * omit, so fields are checked one by one.
 */
static void test_peer_fields(void **state)
{
	struct rr_peer_message *sent = make_reply();
	GBytes *bytes = rr_encode_peer_message(sent);
	gsize length;
	const uint8_t *data = g_bytes_get_data(bytes, &length);
	struct rr_peer_message *message =
		rr_decode_peer_message(data, length, NULL);
	struct rr_relay_reply *reply = message->relay_reply;
	size_t row_length;

	(void)state;
	assert_int_equal(message->kind, RR_PEER_RELAY_REPLY);
	assert_string_equal(message->from, "athi-2");
	assert_int_equal(reply->query_id, 77);
	assert_int_equal(reply->version, 7);
	assert_int_equal(reply->retry_after_ms, 20);
	assert_string_equal(reply->result, "{}");
	assert_int_equal(rr_count_rows(reply->rows), 2);
	assert_int_equal(rr_row_key(reply->rows, 1), RR_KEY_LIMIT - 1);
	assert_memory_equal(rr_row_json(reply->rows, 0, &row_length),
			    "{\"a\":1}", 7);
	assert_int_equal(row_length, 7);
	assert_true(reply->outcomes[0].covered);
	assert_int_equal(reply->outcomes[0].attempts, 2);
	assert_int_equal(reply->outcomes[0].ranges[1].to, 30);
	assert_int_equal(reply->outcomes[1].reason, RR_MISSING_SHED);
	assert_true(reply->outcomes[1].not_run);
	rr_drop_peer_message(message);
	rr_drop_peer_message(sent);
	g_bytes_unref(bytes);

	sent = make_relay();
	bytes = rr_encode_peer_message(sent);
	data = g_bytes_get_data(bytes, &length);
	message = rr_decode_peer_message(data, length, NULL);
	assert_int_equal(message->relay->kind, RR_RESERVE);
	assert_string_equal(message->relay->body, sent->relay->body);
	assert_string_equal(message->relay->idempotency_key,
			    sent->relay->idempotency_key);
	assert_int_equal(message->relay->key_to, RR_KEY_LIMIT);
	assert_int_equal(message->relay->remaining_ms, 250);
	assert_true(message->relay->batch);
	assert_string_equal(message->relay->shards[0].preferred_replica,
			    "desk-01-a");
	assert_null(message->relay->shards[1].preferred_replica);
	rr_drop_peer_message(message);
	rr_drop_peer_message(sent);
	g_bytes_unref(bytes);
}

static void assert_rejected(struct rr_peer_message *message,
			    const char *expected)
{
	GBytes *bytes = rr_encode_peer_message(message);
	GError *error = NULL;
	gsize length;
	const uint8_t *data = g_bytes_get_data(bytes, &length);

	assert_null(rr_decode_peer_message(data, length, &error));
	if (!strstr(error->message, expected))
		fail_msg("\"%s\" lacks \"%s\"", error->message, expected);
	g_error_free(error);
	g_bytes_unref(bytes);
	rr_drop_peer_message(message);
}

static void test_malformed_peer_messages_are_rejected(void **state)
{
	struct rr_peer_message *message;

	(void)state;
	message = make_ping();
	message->kind = (enum rr_peer_kind)99;
	assert_rejected(message, "kind 99");
	message = make_ping();
	message->from_incarnation = 0;
	assert_rejected(message, "without incarnation");
	message = make_ping();
	message->from[0] = '-';
	assert_rejected(message, "sender is missing or not a valid name");
	message = make_ping();
	message->updates[0].address[0] = 'x';
	assert_rejected(message, "not IP:PORT");
	message = make_ping();
	message->updates[0].state = (enum rr_member_state)4;
	assert_rejected(message, "member state 4");
	message = make_relay();
	message->relay->key_to = 17;
	assert_rejected(message, "invalid key range");
	message = make_relay();
	g_clear_pointer(&message->relay->idempotency_key, g_free);
	assert_rejected(message, "without idempotency key");
	message = make_reply();
	message->relay_reply->outcomes[0].covered = false;
	assert_rejected(message, "reason contradicts covered");
	message = make_reply();
	message->relay_reply->outcomes[0].ranges[0].to = 0;
	assert_rejected(message, "invalid key range");
	message = make_reply();
	message->kind = RR_PEER_RELAY;
	assert_rejected(message, "without payload");
}

/*
 * A short message of many empty submessages must not use memory out of
 * proportion to its size: each takes 2 bytes on the wire and about a hundred
 * when unpacked.
 */
static void test_peer_memory_is_bounded(void **state)
{
	size_t length = 4u << 20;
	uint8_t *bytes = g_malloc(length);
	GError *error = NULL;

	(void)state;
	for (size_t i = 0; i < length; i += 2) {
		bytes[i] = 9 << 3 | 2; /* an empty update */
		bytes[i + 1] = 0;
	}
	assert_null(rr_decode_peer_message(bytes, length, &error));
	assert_non_null(strstr(error->message, "not a valid message"));
	g_error_free(error);
	g_free(bytes);
}

/* Overwrite, flip, insert or cut off bytes, 1 to 3 times. */
static GByteArray *mutate(GRand *random, const uint8_t *data, size_t length)
{
	GByteArray *bytes = g_byte_array_new();
	int changes = g_rand_int_range(random, 1, 4);

	g_byte_array_append(bytes, data, (guint)length);
	while (changes-- && bytes->len > 1) {
		guint offset =
			(guint)g_rand_int_range(random, 0, (int)bytes->len);
		uint8_t other = (uint8_t)g_rand_int(random);

		switch (g_rand_int_range(random, 0, 4)) {
		case 0:
			bytes->data[offset] = other;
			break;
		case 1:
			bytes->data[offset] ^= (uint8_t)(1u << other % 8);
			break;
		case 2:
			g_byte_array_set_size(bytes, offset + 1);
			break;
		default:
			g_byte_array_append(bytes, &other, 1);
			memmove(bytes->data + offset + 1, bytes->data + offset,
				bytes->len - offset - 1);
			bytes->data[offset] = other;
			break;
		}
	}
	return bytes;
}

static void test_peer_mutations(void **state)
{
	GRand *random = g_rand_new_with_seed(3);
	int accepted = 0;

	(void)state;
	for (int i = 0; i < MUTATIONS; i++) {
		struct rr_peer_message *message =
			message_makers[i % G_N_ELEMENTS(message_makers)]();
		GBytes *valid = rr_encode_peer_message(message);
		gsize length;
		const uint8_t *data = g_bytes_get_data(valid, &length);
		GByteArray *bytes = mutate(random, data, length);
		GError *error = NULL;
		struct rr_peer_message *decoded =
			rr_decode_peer_message(bytes->data, bytes->len, &error);

		assert_true((decoded == NULL) == (error != NULL));
		if (decoded) {
			check_round_trip(decoded);
			accepted++;
		}
		g_clear_error(&error);
		rr_drop_peer_message(decoded);
		g_byte_array_unref(bytes);
		g_bytes_unref(valid);
		rr_drop_peer_message(message);
	}
	assert_true(accepted > 0 && accepted < MUTATIONS);
	g_rand_free(random);
}

#define BODY_HEAD "{\"version\":7,\"oldest\":5,\"newest\":8,\"epoch\":2,"
#define BODY_ROWS                                                   \
	"\"ranges\":[[0,10],[20,30]],\"rows\":[{\"key\":3,\"row\":" \
	"{\"a\": [1, {\"b\":\"\\u00e9 \\\"]}\"}]}},"                \
	" {\"row\":-1.5e3 , \"key\":29}],\"row_count\":2,"
#define BODY_TAIL                                          \
	"\"more\":true,\"state\":\"cold\",\"load\":0.25,"  \
	"\"extra\":{\"rows\":[1]},\"result\": [1,\"x\"] ," \
	"\"end\":true}"

static const char whole_body[] = BODY_HEAD BODY_ROWS BODY_TAIL;

static void test_upstream_body(void **state)
{
	struct rr_upstream_body *body;
	struct rr_reply *reply;
	const char *json;
	size_t length;

	(void)state;
	body = rr_decode_upstream_body(whole_body, strlen(whole_body), NULL);
	assert_non_null(body);
	reply = rr_get_upstream_reply(body);
	assert_int_equal(reply->status, RR_REPLY_OK);
	assert_int_equal(reply->version, 7);
	assert_int_equal(reply->oldest_version, 5);
	assert_int_equal(reply->newest_version, 8);
	assert_int_equal(reply->map_epoch, 2);
	assert_int_equal(reply->n_ranges, 2);
	assert_int_equal(reply->ranges[1].to, 30);
	assert_int_equal(reply->row_count, 2);
	assert_true(reply->body_complete);
	assert_true(reply->has_more);
	assert_int_equal(reply->state, RR_UPSTREAM_COLD);
	assert_true(reply->load == 0.25);
	assert_int_equal(reply->result_length, 7);
	assert_string_equal(reply->result, "[1,\"x\"]");
	assert_int_equal(rr_row_key(reply->rows, 0), 3);
	json = rr_row_json(reply->rows, 0, &length);
	assert_int_equal(length,
			 strlen("{\"a\": [1, {\"b\":\"\\u00e9 \\\"]}\"}]}"));
	assert_memory_equal(json, "{\"a\": [1, {\"b\":\"\\u00e9 \\\"]}\"}]}",
			    length);
	json = rr_row_json(reply->rows, 1, &length);
	assert_int_equal(length, 6);
	assert_memory_equal(json, "-1.5e3", length);
	rr_drop_upstream_body(body);
}

static void assert_body_rejected(const char *text, size_t length,
				 const char *expected)
{
	GError *error = NULL;

	assert_null(rr_decode_upstream_body(text, length, &error));
	if (!strstr(error->message, expected))
		fail_msg("\"%s\" lacks \"%s\"", error->message, expected);
	g_error_free(error);
}

/*
 * A connection breaks inside a body, and the rows received so far are taken for
 * the shard's complete answer: a pallet is sold twice.  A body truncated at any
 * byte must be rejected with an error that says so.
 */
static void test_truncated_upstream_body_is_rejected(void **state)
{
	(void)state;
	for (size_t length = 0; length < strlen(whole_body); length++)
		assert_body_rejected(whole_body, length, "truncated");
}

static void test_malformed_upstream_bodies_are_rejected(void **state)
{
	static const char *const cases[][2] = {
		{ "[]", "an array" },
		{ "7 ", "a number" },
		{ "nonsense", "invalid JSON" },
		{ "{\"version\":\"7\"}", "\"version\"" },
		{ "{\"version\":-7}", "not an integer" },
		{ "{\"version\":9223372036854775808}", "not an integer" },
		{ "{\"version\":7.0}", "not an integer" },
		{ "{\"version\":7,\"version\":7}", "duplicate" },
		{ "{\"ranges\":[[3,3]]}", "range 0" },
		{ "{\"ranges\":[[3]]}", "range 0" },
		{ "{\"ranges\":[[1,2,3]]}", "range 0" },
		{ "{\"ranges\":[{\"from\":1}]}", "an object" },
		{ "{\"ranges\":{}}", "an object" },
		{ "{\"rows\":[{\"key\":1}]}", "row 0 lacks" },
		{ "{\"rows\":[{\"row\":1}]}", "row 0 lacks" },
		{ "{\"rows\":[{\"key\":1,\"key\":1,\"row\":1}]}", "duplicate" },
		{ "{\"rows\":[[1,2]]}", "an array" },
		{ "{\"state\":\"gone\"}", "not one of ready" },
		{ "{\"load\":1.5}", "within 0 to 1" },
		{ "{\"load\":-0.1}", "within 0 to 1" },
		{ "{\"end\":false}", "a boolean" },
		{ "{\"end\":true,\"version\":1}", "after the end mark" },
		{ "{\"version\":1,\"end\":true}", "\"ranges\" is missing" },
		{ "{\"version\":1,\"ranges\":[],\"rows\":[],\"row_count\":1,"
		  "\"end\":true}",
		  "row_count 1 but 0 rows" },
		{ "{\"version\":0,\"ranges\":[],\"rows\":[],\"row_count\":0,"
		  "\"end\":true}",
		  "\"version\" is 0" },
		{ "{\"version\":1,\"oldest\":3,\"newest\":2,\"ranges\":[],"
		  "\"rows\":[],\"row_count\":0,\"end\":true}",
		  "above" },
		{ "{\"version\":1,\"ranges\":[[0,3]],\"rows\":[{\"key\":3,"
		  "\"row\":0}],\"row_count\":1,\"end\":true}",
		  "outside all ranges" },
		{ "{\"version\":1,\"ranges\":[],\"rows\":[],\"row_count\":0,"
		  "\"end\":true}{}",
		  "invalid JSON" },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		assert_body_rejected(cases[i][0], strlen(cases[i][0]),
				     cases[i][1]);
}

static void test_upstream_nesting_is_bounded(void **state)
{
	GString *text = g_string_new("{\"result\":");

	(void)state;
	for (int i = 0; i < 100000; i++)
		g_string_append_c(text, '[');
	assert_body_rejected(text->str, text->len, "nested deeper");
	g_string_free(text, TRUE);
}

static void test_upstream_mutations(void **state)
{
	GRand *random = g_rand_new_with_seed(4);

	(void)state;
	for (int i = 0; i < MUTATIONS; i++) {
		GByteArray *bytes = mutate(random, (const uint8_t *)whole_body,
					   strlen(whole_body));
		GError *error = NULL;
		struct rr_upstream_body *body = rr_decode_upstream_body(
			(const char *)bytes->data, bytes->len, &error);

		assert_true((body == NULL) == (error != NULL));
		if (body) {
			struct rr_reply *reply = rr_get_upstream_reply(body);

			assert_int_equal(reply->row_count,
					 rr_count_rows(reply->rows));
			assert_true(reply->version > 0 && reply->body_complete);
		}
		g_clear_error(&error);
		rr_drop_upstream_body(body);
		g_byte_array_unref(bytes);
	}
	g_rand_free(random);
}

static void test_attempt(void **state)
{
	struct rr_attempt attempt = {
		.shard = "desk-01",
		.kind = RR_LOOKUP,
		.body = "{\"q\":1}",
		.key_from = 17,
		.key_to = 18,
		.row_limit = 100,
	};
	size_t length;
	char *body = rr_encode_attempt_body(&attempt, &length);
	char *path = rr_format_attempt_path(&attempt);

	(void)state;
	assert_string_equal(path, "/v1/shards/desk-01/lookup");
	assert_string_equal(body, "{\"query\":{\"q\":1},\"key_from\":17,"
				  "\"key_to\":18,\"limit\":100}");
	assert_int_equal(length, strlen(body));
	g_free(body);
	g_free(path);
}

/*
 * A nightly job sends the cursor of another service, or a truncated one; the
 * list continues at another position and skips rows.  Any change of the text
 * must be detected.
 */
static void test_cursor(void **state)
{
	struct rr_cursor cursor = { 7, 2, RR_KEY_LIMIT, UINT32_MAX };
	struct rr_cursor decoded;
	GError *error = NULL;
	char *text = rr_encode_cursor("riordino", &cursor);
	size_t length = strlen(text);

	(void)state;
	assert_true(rr_decode_cursor("riordino", text, &decoded, NULL));
	/* Compared by field, since the struct ends in padding. */
	assert_int_equal(decoded.version, cursor.version);
	assert_int_equal(decoded.map_epoch, cursor.map_epoch);
	assert_int_equal(decoded.next_key, cursor.next_key);
	assert_int_equal(decoded.skip_rows, cursor.skip_rows);
	assert_false(rr_decode_cursor("officina", text, &decoded, &error));
	assert_non_null(strstr(error->message, "officina"));
	g_clear_error(&error);
	for (size_t i = 0; i < length; i++) {
		char original = text[i];

		for (char c = ' '; c < 127; c++) {
			text[i] = c;
			if (c == original || g_ascii_tolower(c) == original)
				continue;
			assert_false(rr_decode_cursor("riordino", text,
						      &decoded, &error));
			g_clear_error(&error);
		}
		text[i] = '\0';
		assert_false(
			rr_decode_cursor("riordino", text, &decoded, &error));
		g_clear_error(&error);
		text[i] = original;
	}
	g_free(text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_peer_round_trips),
		cmocka_unit_test(test_peer_fields),
		cmocka_unit_test(test_malformed_peer_messages_are_rejected),
		cmocka_unit_test(test_peer_memory_is_bounded),
		cmocka_unit_test(test_peer_mutations),
		cmocka_unit_test(test_upstream_body),
		cmocka_unit_test(test_truncated_upstream_body_is_rejected),
		cmocka_unit_test(test_malformed_upstream_bodies_are_rejected),
		cmocka_unit_test(test_upstream_nesting_is_bounded),
		cmocka_unit_test(test_upstream_mutations),
		cmocka_unit_test(test_attempt),
		cmocka_unit_test(test_cursor),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
