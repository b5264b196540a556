/*
 * test-net-peer.c - peer transports of several instances in one process.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>
#include <zmq.h>

#include "ragwort/counters.h"
#include "ragwort/net-peer.h"

#define TIMEOUT_MS 30000
#define RESEND_PERIOD_MS 20
/* More than the buffers of a connection hold. */
#define N_LARGE 100
#define LARGE_BYTES (256 * 1024)

struct node {
	struct rr_context *ctx;
	struct rr_peer_transport *transport;
	GArray *sequences; /* received, in order */
	size_t record_bytes;
};

struct key_pair {
	char public_key[41];
	char secret_key[41];
};

static void on_received(void *data, const struct rr_peer_message *message)
{
	struct node *node = data;

	g_array_append_val(node->sequences, message->sequence);
	node->record_bytes += message->config_length;
}

static void open_node(struct node *node, const char *address,
		      const struct rr_peer_keys *keys)
{
	struct rr_peer_transport_options options = {
		.address = address ? address : "127.0.0.1:0",
		.keys = keys,
		.received = on_received,
		.data = node,
	};
	GError *error = NULL;

	memset(node, 0, sizeof(*node));
	node->ctx = rr_new_context(NULL);
	node->sequences = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	node->transport = rr_new_peer_transport(node->ctx, &options, &error);
	if (!node->transport)
		fail_msg("%s", error->message);
}

static void close_node(struct node *node)
{
	rr_drop_peer_transport(node->transport);
	rr_drop_context(node->ctx);
	g_array_unref(node->sequences);
}

static void send_sequence(struct node *from, const char *address,
			  uint64_t sequence, size_t record_bytes)
{
	struct rr_peer_message *message = rr_new_peer_message(
		record_bytes ? RR_PEER_CONFIG : RR_PEER_PING);

	message->from = g_strdup("a");
	message->from_incarnation = 1;
	message->sequence = sequence;
	if (record_bytes) {
		message->config_record = g_strnfill(record_bytes, 'x');
		message->config_length = record_bytes;
	}
	rr_send_to_peer(from->ctx, from->transport, "b", address, message);
	rr_drop_peer_message(message);
}

static gboolean set_flag(gpointer data)
{
	*(bool *)data = true;
	return G_SOURCE_CONTINUE;
}

/*
 * Runs the main loop until the condition holds; fails the test after
 * TIMEOUT_MS.
 */
#define WAIT_FOR(condition)                                                    \
	do {                                                                   \
		bool timed_out = false;                                        \
		guint timer = g_timeout_add(TIMEOUT_MS, set_flag, &timed_out); \
		while (!(condition) && !timed_out)                             \
			g_main_context_iteration(NULL, TRUE);                  \
		g_source_remove(timer);                                        \
		if (timed_out)                                                 \
			fail_msg("timed out: %s", #condition);                 \
	} while (0)

/* Runs the main loop for RESEND_PERIOD_MS. */
static void run_briefly(void)
{
	bool done = false;
	guint timer = g_timeout_add(RESEND_PERIOD_MS, set_flag, &done);

	while (!done)
		g_main_context_iteration(NULL, TRUE);
	g_source_remove(timer);
}

static uint64_t counter_value(struct node *node, enum rr_counter counter)
{
	return rr_counter_value(node->ctx, counter);
}

/*
 * Guards against a reply to a forwarded request that is lost when the instance
 * exits right after it has sent it.
 */
static void test_messages_sent_before_exit_arrive(void **state)
{
	struct node a;
	struct node b;

	(void)state;
	open_node(&a, NULL, NULL);
	open_node(&b, NULL, NULL);
	send_sequence(&a, rr_peer_transport_address(b.transport), 0, 0);
	WAIT_FOR(b.sequences->len == 1);
	for (uint64_t i = 1; i <= N_LARGE; i++)
		send_sequence(&a, rr_peer_transport_address(b.transport), i,
			      LARGE_BYTES);
	close_node(&a);
	WAIT_FOR(b.sequences->len == 1 + N_LARGE);
	close_node(&b);
}

/*
 * Guards against replies to forwarded requests that stay unread until the next
 * message arrives, so that under load the query reaches its deadline. The cause
 * is that ZMQ_FD is edge-triggered: a reader that takes one message per wake-up
 * leaves the others.
 */
static void test_bursts_arrive_completely(void **state)
{
	struct node a;
	struct node b;

	(void)state;
	open_node(&a, NULL, NULL);
	open_node(&b, NULL, NULL);
	for (uint64_t round = 0; round < 10; round++) {
		for (uint64_t i = 0; i < 200; i++) {
			send_sequence(&a,
				      rr_peer_transport_address(b.transport),
				      round * 200 + i, 0);
			send_sequence(&b,
				      rr_peer_transport_address(a.transport), i,
				      0);
		}
		WAIT_FOR(b.sequences->len == (round + 1) * 200);
		WAIT_FOR(a.sequences->len == (round + 1) * 200);
	}
	for (uint64_t i = 0; i < b.sequences->len; i++)
		assert_int_equal(g_array_index(b.sequences, uint64_t, i), i);
	send_sequence(&a, rr_peer_transport_address(b.transport), 1, 4u << 20);
	WAIT_FOR(b.record_bytes == 4u << 20);
	assert_int_equal(counter_value(&a, RR_N_PEER_MESSAGES_DROPPED), 0);
	close_node(&a);
	close_node(&b);
}

/*
 * Guards against old messages reaching a replacement: an instance dies, and a
 * request forwarded to it is queued and runs on the instance that takes over
 * the address seconds later, after the caller has been answered. The cause is
 * that libzmq queues messages for a future connection.
 */
static void test_replacement_gets_no_old_messages(void **state)
{
	struct node a;
	struct node b;
	char *address;

	(void)state;
	open_node(&a, NULL, NULL);
	open_node(&b, NULL, NULL);
	address = g_strdup(rr_peer_transport_address(b.transport));
	close_node(&b);
	send_sequence(&a, address, 1, 0);
	WAIT_FOR(counter_value(&a, RR_N_PEER_MESSAGES_DROPPED) == 1);
	open_node(&b, address, NULL);
	send_sequence(&a, address, 2, 0);
	WAIT_FOR(b.sequences->len > 0);
	assert_int_equal(g_array_index(b.sequences, uint64_t, 0), 2);

	/* An established connection is restored automatically. */
	close_node(&b);
	open_node(&b, address, NULL);
	while (!b.sequences->len) {
		send_sequence(&a, address, 3, 0);
		run_briefly();
	}
	close_node(&a);
	close_node(&b);
	g_free(address);
}

/*
 * Guards against instances of a fleet of 1,200 that open connections to all
 * others and run out of memory and descriptors. The least recently used link
 * must be closed, without losing a message.
 */
static void test_link_limit(void **state)
{
	struct node a;
	struct node b;
	const char *port;

	(void)state;
	open_node(&a, NULL, NULL);
	open_node(&b, "0.0.0.0:0", NULL);
	port = strrchr(rr_peer_transport_address(b.transport), ':');
	for (guint i = 0; i < 300; i++) {
		char *address = g_strdup_printf("127.0.%u.%u%s", 1 + i / 200,
						1 + i % 200, port);

		send_sequence(&a, address, i, 0);
		WAIT_FOR(b.sequences->len == i + 1);
		g_free(address);
	}
	assert_int_equal(counter_value(&a, RR_G_PEER_LINKS), 256);
	assert_int_equal(counter_value(&a, RR_N_PEER_MESSAGES_DROPPED), 0);
	close_node(&a);
	close_node(&b);
}

static void test_malformed_messages_are_counted(void **state)
{
	struct node b;
	void *zmq = zmq_ctx_new();
	void *dealer = zmq_socket(zmq, ZMQ_DEALER);
	char *endpoint;

	(void)state;
	open_node(&b, NULL, NULL);
	endpoint = g_strdup_printf("tcp://%s",
				   rr_peer_transport_address(b.transport));
	zmq_connect(dealer, endpoint);
	zmq_send(dealer, "garbage", 7, 0);
	WAIT_FOR(counter_value(&b, RR_N_PEER_MESSAGES_BAD) == 1);
	zmq_send(dealer, "two", 3, ZMQ_SNDMORE);
	zmq_send(dealer, "frames", 6, 0);
	WAIT_FOR(counter_value(&b, RR_N_PEER_MESSAGES_BAD) == 2);
	zmq_send(dealer, "", 0, 0);
	WAIT_FOR(counter_value(&b, RR_N_PEER_MESSAGES_BAD) == 3);
	assert_int_equal(b.sequences->len, 0);
	zmq_close(dealer);
	zmq_ctx_term(zmq);
	close_node(&b);
	g_free(endpoint);
}

static void test_invalid_options(void **state)
{
	static const char *const invalid[] = { "127.0.0.1", "localhost:80",
					       "[::1]:80",  "127.0.0.1:70000",
					       "",	    "127.0.0.1:" };
	struct rr_context *ctx = rr_new_context(NULL);
	struct rr_peer_keys keys = { "short", "short", NULL };
	struct rr_peer_transport_options options = { 0 };

	(void)state;
	for (size_t i = 0; i <= G_N_ELEMENTS(invalid); i++) {
		GError *error = NULL;

		options.address = "127.0.0.1:0";
		if (i < G_N_ELEMENTS(invalid))
			options.address = invalid[i];
		else
			options.keys = &keys;
		assert_null(rr_new_peer_transport(ctx, &options, &error));
		assert_non_null(error);
		g_error_free(error);
	}
	rr_drop_context(ctx);
}

static void generate_pair(struct key_pair *pair)
{
	assert_int_equal(zmq_curve_keypair(pair->public_key, pair->secret_key),
			 0);
}

static struct rr_peer_keys make_keys(const struct key_pair *pair,
				     const char *const *allowed)
{
	return (struct rr_peer_keys){ pair->public_key, pair->secret_key,
				      allowed };
}

/*
 * Sends repeatedly until a message arrives, because a link may be changing its
 * keys.
 */
static void expect_traffic(struct node *from, struct node *to)
{
	guint n_before = to->sequences->len;
	bool timed_out = false;
	guint timer = g_timeout_add(TIMEOUT_MS, set_flag, &timed_out);

	while (to->sequences->len == n_before && !timed_out) {
		send_sequence(from, rr_peer_transport_address(to->transport), 1,
			      0);
		run_briefly();
	}
	g_source_remove(timer);
	assert_false(timed_out);
}

/*
 * Guards against unauthorised members: a program that speaks the peer protocol
 * could join the membership. With keys configured, only allowed keys may
 * connect, and an unencrypted connection is rejected as well.
 */
static void test_unknown_key_is_rejected(void **state)
{
	struct key_pair ours;
	struct key_pair unknown;
	const char *allowed[] = { ours.public_key, NULL };
	struct rr_peer_keys keys;
	struct rr_peer_keys unknown_keys;
	struct node a;
	struct node b;
	struct node c;
	struct node plain;

	(void)state;
	generate_pair(&ours);
	generate_pair(&unknown);
	keys = make_keys(&ours, allowed);
	unknown_keys = make_keys(&unknown, allowed);
	open_node(&a, NULL, &keys);
	open_node(&b, NULL, &keys);
	open_node(&c, NULL, &unknown_keys);
	open_node(&plain, NULL, NULL);
	expect_traffic(&a, &b);
	send_sequence(&c, rr_peer_transport_address(b.transport), 66, 0);
	send_sequence(&plain, rr_peer_transport_address(b.transport), 67, 0);
	WAIT_FOR(counter_value(&b, RR_N_PEER_AUTH_FAILURES) > 0);
	WAIT_FOR(counter_value(&c, RR_N_PEER_MESSAGES_DROPPED) == 1);
	WAIT_FOR(counter_value(&plain, RR_N_PEER_MESSAGES_DROPPED) == 1);
	for (guint i = 0; i < b.sequences->len; i++)
		assert_int_equal(g_array_index(b.sequences, uint64_t, i), 1);
	close_node(&a);
	close_node(&b);
	close_node(&c);
	close_node(&plain);
}

static void set_keys(struct node *node, const struct key_pair *pair,
		     const char *const *allowed)
{
	struct rr_peer_keys keys = make_keys(pair, allowed);

	assert_true(rr_set_peer_keys(node->ctx, node->transport, &keys, NULL));
}

/*
 * The key pair must be replaceable while searches run, at a site without
 * remote logins. Both keys are allowed, the pair of one instance after the
 * other is changed, then only the new key is allowed: messages must arrive in
 * both directions after each change.
 */
static void test_key_rotation_while_running(void **state)
{
	struct key_pair old_pair;
	struct key_pair new_pair;
	const char *old_only[] = { old_pair.public_key, NULL };
	const char *both[] = { old_pair.public_key, new_pair.public_key, NULL };
	const char *new_only[] = { new_pair.public_key, NULL };
	struct rr_peer_keys keys;
	struct node a;
	struct node b;
	struct node stale;

	(void)state;
	generate_pair(&old_pair);
	generate_pair(&new_pair);
	keys = make_keys(&old_pair, old_only);
	open_node(&a, NULL, &keys);
	open_node(&b, NULL, &keys);
	expect_traffic(&a, &b);
	set_keys(&a, &old_pair, both);
	set_keys(&b, &old_pair, both);
	expect_traffic(&a, &b);
	set_keys(&a, &new_pair, both);
	expect_traffic(&a, &b);
	expect_traffic(&b, &a);
	set_keys(&b, &new_pair, both);
	expect_traffic(&a, &b);
	expect_traffic(&b, &a);
	set_keys(&a, &new_pair, new_only);
	set_keys(&b, &new_pair, new_only);
	expect_traffic(&a, &b);
	expect_traffic(&b, &a);

	/* An instance that missed the change can no longer connect. */
	keys = make_keys(&old_pair, both);
	open_node(&stale, NULL, &keys);
	send_sequence(&stale, rr_peer_transport_address(b.transport), 66, 0);
	WAIT_FOR(counter_value(&stale, RR_N_PEER_MESSAGES_DROPPED) > 0);
	for (guint i = 0; i < b.sequences->len; i++)
		assert_int_equal(g_array_index(b.sequences, uint64_t, i), 1);
	close_node(&a);
	close_node(&b);
	close_node(&stale);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_messages_sent_before_exit_arrive),
		cmocka_unit_test(test_bursts_arrive_completely),
		cmocka_unit_test(test_replacement_gets_no_old_messages),
		cmocka_unit_test(test_link_limit),
		cmocka_unit_test(test_malformed_messages_are_counted),
		cmocka_unit_test(test_invalid_options),
		cmocka_unit_test(test_unknown_key_is_rejected),
		cmocka_unit_test(test_key_rotation_while_running),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
