/*
 * test-net-peer.c - ports of several instances in one process.
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

#define LIMIT_MS 30000
#define SEND_AGAIN_MS 20

struct station {
	struct rr_context *ctx;
	struct rr_peer_transport *port;
	GArray *sequences; /* received, in order */
	size_t record_bytes;
};

struct key_pair {
	char public_key[41];
	char secret_key[41];
};

static void on_received(void *data, const struct rr_peer_message *message)
{
	struct station *station = data;

	g_array_append_val(station->sequences, message->sequence);
	station->record_bytes += message->config_length;
}

static void open_station(struct station *station, const char *address,
			 const struct rr_peer_keys *keys)
{
	struct rr_peer_transport_options options = {
		.address = address ? address : "127.0.0.1:0",
		.keys = keys,
		.received = on_received,
		.data = station,
	};
	GError *error = NULL;

	memset(station, 0, sizeof(*station));
	station->ctx = rr_new_context(NULL);
	station->sequences = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	station->port = rr_new_peer_transport(station->ctx, &options, &error);
	if (!station->port)
		fail_msg("%s", error->message);
}

static void close_station(struct station *station)
{
	rr_drop_peer_transport(station->port);
	rr_drop_context(station->ctx);
	g_array_unref(station->sequences);
}

static void send_sequence(struct station *from, const char *address,
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
	rr_send_to_peer(from->ctx, from->port, "b", address, message);
	rr_drop_peer_message(message);
}

static gboolean set_flag(gpointer data)
{
	*(bool *)data = true;
	return G_SOURCE_CONTINUE;
}

/* Run the loop until the condition holds; the limit fails the test. */
#define WAIT_FOR(condition)                                             \
	do {                                                            \
		bool late = false;                                      \
		guint limit = g_timeout_add(LIMIT_MS, set_flag, &late); \
		while (!(condition) && !late)                           \
			g_main_context_iteration(NULL, TRUE);           \
		g_source_remove(limit);                                 \
		if (late)                                               \
			fail_msg("limit reached: %s", #condition);      \
	} while (0)

/* Let the loop run for one short while. */
static void run_briefly(void)
{
	bool over = false;
	guint timer = g_timeout_add(SEND_AGAIN_MS, set_flag, &over);

	while (!over)
		g_main_context_iteration(NULL, TRUE);
	g_source_remove(timer);
}

static uint64_t counted(struct station *station, enum rr_counter counter)
{
	return rr_counter_value(station->ctx, counter);
}

/*
 * Story: under load a relay's reply lay unread until the next message came,
 * and the query ran into its deadline.  Cause: the descriptor tells a change
 * once; who reads one message at each wake-up leaves the others.
 */
static void test_bursts_arrive_whole(void **state)
{
	struct station a;
	struct station b;

	(void)state;
	open_station(&a, NULL, NULL);
	open_station(&b, NULL, NULL);
	for (uint64_t round = 0; round < 10; round++) {
		for (uint64_t i = 0; i < 200; i++) {
			send_sequence(&a, rr_peer_transport_address(b.port),
				      round * 200 + i, 0);
			send_sequence(&b, rr_peer_transport_address(a.port), i,
				      0);
		}
		WAIT_FOR(b.sequences->len == (round + 1) * 200);
		WAIT_FOR(a.sequences->len == (round + 1) * 200);
	}
	for (uint64_t i = 0; i < b.sequences->len; i++)
		assert_int_equal(g_array_index(b.sequences, uint64_t, i), i);
	send_sequence(&a, rr_peer_transport_address(b.port), 1, 4u << 20);
	WAIT_FOR(b.record_bytes == 4u << 20);
	assert_int_equal(counted(&a, RR_N_PEER_MESSAGES_DROPPED), 0);
	close_station(&a);
	close_station(&b);
}

/*
 * Story: an instance dies; a relay for it waits in a queue and runs on the
 * instance that takes the address seconds later, after the caller has been
 * answered.  Cause: the library queues for a connection still to come.
 */
static void test_replacement_gets_nothing_old(void **state)
{
	struct station a;
	struct station b;
	char *address;

	(void)state;
	open_station(&a, NULL, NULL);
	open_station(&b, NULL, NULL);
	address = g_strdup(rr_peer_transport_address(b.port));
	close_station(&b);
	send_sequence(&a, address, 1, 0);
	WAIT_FOR(counted(&a, RR_N_PEER_MESSAGES_DROPPED) == 1);
	open_station(&b, address, NULL);
	send_sequence(&a, address, 2, 0);
	WAIT_FOR(b.sequences->len > 0);
	assert_int_equal(g_array_index(b.sequences, uint64_t, 0), 2);

	/* A connection that stood comes back by itself. */
	close_station(&b);
	open_station(&b, address, NULL);
	while (!b.sequences->len) {
		send_sequence(&a, address, 3, 0);
		run_briefly();
	}
	close_station(&a);
	close_station(&b);
	g_free(address);
}

/*
 * Story: a fleet of 1,200 opens connections to all, and instances run out of
 * memory and descriptors.  The longest unused link has to make room, and no
 * message may be lost for it.
 */
static void test_links_are_bounded(void **state)
{
	struct station a;
	struct station b;
	const char *port;

	(void)state;
	open_station(&a, NULL, NULL);
	open_station(&b, "0.0.0.0:0", NULL);
	port = strrchr(rr_peer_transport_address(b.port), ':');
	for (guint i = 0; i < 300; i++) {
		char *address = g_strdup_printf("127.0.%u.%u%s", 1 + i / 200,
						1 + i % 200, port);

		send_sequence(&a, address, i, 0);
		WAIT_FOR(b.sequences->len == i + 1);
		g_free(address);
	}
	assert_int_equal(counted(&a, RR_G_PEER_LINKS), 256);
	assert_int_equal(counted(&a, RR_N_PEER_MESSAGES_DROPPED), 0);
	close_station(&a);
	close_station(&b);
}

static void test_malformed_is_counted(void **state)
{
	struct station b;
	void *zmq = zmq_ctx_new();
	void *dealer = zmq_socket(zmq, ZMQ_DEALER);
	char *endpoint;

	(void)state;
	open_station(&b, NULL, NULL);
	endpoint =
		g_strdup_printf("tcp://%s", rr_peer_transport_address(b.port));
	zmq_connect(dealer, endpoint);
	zmq_send(dealer, "garbage", 7, 0);
	WAIT_FOR(counted(&b, RR_N_PEER_MESSAGES_BAD) == 1);
	zmq_send(dealer, "two", 3, ZMQ_SNDMORE);
	zmq_send(dealer, "frames", 6, 0);
	WAIT_FOR(counted(&b, RR_N_PEER_MESSAGES_BAD) == 2);
	zmq_send(dealer, "", 0, 0);
	WAIT_FOR(counted(&b, RR_N_PEER_MESSAGES_BAD) == 3);
	assert_int_equal(b.sequences->len, 0);
	zmq_close(dealer);
	zmq_ctx_term(zmq);
	close_station(&b);
	g_free(endpoint);
}

static void test_bad_options(void **state)
{
	static const char *const bad[] = { "127.0.0.1", "localhost:80",
					   "[::1]:80",	"127.0.0.1:70000",
					   "",		"127.0.0.1:" };
	struct rr_context *ctx = rr_new_context(NULL);
	struct rr_peer_keys keys = { "short", "short", NULL };
	struct rr_peer_transport_options options = { 0 };

	(void)state;
	for (size_t i = 0; i <= G_N_ELEMENTS(bad); i++) {
		GError *error = NULL;

		options.address = "127.0.0.1:0";
		if (i < G_N_ELEMENTS(bad))
			options.address = bad[i];
		else
			options.keys = &keys;
		assert_null(rr_new_peer_transport(ctx, &options, &error));
		assert_non_null(error);
		g_error_free(error);
	}
	rr_drop_context(ctx);
}

static void make_pair(struct key_pair *pair)
{
	assert_int_equal(zmq_curve_keypair(pair->public_key, pair->secret_key),
			 0);
}

static struct rr_peer_keys use_pair(const struct key_pair *pair,
				    const char *const *allowed)
{
	return (struct rr_peer_keys){ pair->public_key, pair->secret_key,
				      allowed };
}

/* Send again and again until it has arrived: a link may be renewed. */
static void expect_traffic(struct station *from, struct station *to)
{
	guint had = to->sequences->len;
	bool late = false;
	guint limit = g_timeout_add(LIMIT_MS, set_flag, &late);

	while (to->sequences->len == had && !late) {
		send_sequence(from, rr_peer_transport_address(to->port), 1, 0);
		run_briefly();
	}
	g_source_remove(limit);
	assert_false(late);
}

/*
 * Story: somebody in the network starts a program that speaks the peers'
 * protocol and takes part in the membership.  With keys set, only allowed
 * ones may connect, and a plain connection is refused as well.
 */
static void test_unknown_key_refused(void **state)
{
	struct key_pair ours;
	struct key_pair foreign;
	const char *allowed[] = { ours.public_key, NULL };
	struct rr_peer_keys keys;
	struct rr_peer_keys foreign_keys;
	struct station a;
	struct station b;
	struct station c;
	struct station plain;

	(void)state;
	make_pair(&ours);
	make_pair(&foreign);
	keys = use_pair(&ours, allowed);
	foreign_keys = use_pair(&foreign, allowed);
	open_station(&a, NULL, &keys);
	open_station(&b, NULL, &keys);
	open_station(&c, NULL, &foreign_keys);
	open_station(&plain, NULL, NULL);
	expect_traffic(&a, &b);
	send_sequence(&c, rr_peer_transport_address(b.port), 66, 0);
	send_sequence(&plain, rr_peer_transport_address(b.port), 67, 0);
	WAIT_FOR(counted(&b, RR_N_PEER_AUTH_FAILURES) > 0);
	WAIT_FOR(counted(&c, RR_N_PEER_MESSAGES_DROPPED) == 1);
	WAIT_FOR(counted(&plain, RR_N_PEER_MESSAGES_DROPPED) == 1);
	for (guint i = 0; i < b.sequences->len; i++)
		assert_int_equal(g_array_index(b.sequences, uint64_t, i), 1);
	close_station(&a);
	close_station(&b);
	close_station(&c);
	close_station(&plain);
}

static void set_keys(struct station *station, const struct key_pair *pair,
		     const char *const *allowed)
{
	struct rr_peer_keys keys = use_pair(pair, allowed);

	assert_true(rr_set_peer_keys(station->ctx, station->port, &keys, NULL));
}

/*
 * Story: the key pair has to be replaced at a site nobody can log into, while
 * searches run.  Allow both, change the pair of one instance after the other,
 * then allow the new one only: traffic goes on between any two of them.
 */
static void test_rotation_on_running_ports(void **state)
{
	struct key_pair old_pair;
	struct key_pair new_pair;
	const char *old_only[] = { old_pair.public_key, NULL };
	const char *both[] = { old_pair.public_key, new_pair.public_key, NULL };
	const char *new_only[] = { new_pair.public_key, NULL };
	struct rr_peer_keys keys;
	struct station a;
	struct station b;
	struct station stale;

	(void)state;
	make_pair(&old_pair);
	make_pair(&new_pair);
	keys = use_pair(&old_pair, old_only);
	open_station(&a, NULL, &keys);
	open_station(&b, NULL, &keys);
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

	/* Who missed the change gets in no more. */
	keys = use_pair(&old_pair, both);
	open_station(&stale, NULL, &keys);
	send_sequence(&stale, rr_peer_transport_address(b.port), 66, 0);
	WAIT_FOR(counted(&stale, RR_N_PEER_MESSAGES_DROPPED) > 0);
	for (guint i = 0; i < b.sequences->len; i++)
		assert_int_equal(g_array_index(b.sequences, uint64_t, i), 1);
	close_station(&a);
	close_station(&b);
	close_station(&stale);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_bursts_arrive_whole),
		cmocka_unit_test(test_replacement_gets_nothing_old),
		cmocka_unit_test(test_links_are_bounded),
		cmocka_unit_test(test_malformed_is_counted),
		cmocka_unit_test(test_bad_options),
		cmocka_unit_test(test_unknown_key_refused),
		cmocka_unit_test(test_rotation_on_running_ports),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
