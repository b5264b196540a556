/*
 * peer.c - cost of peer messages: encoding and decoding, sending a message
 * between transports, and a connection; plain and with CURVE.
 *
 *     build/bench/peer
 *
 * CPU time is that of the whole process, including the library's threads and
 * both ends of a connection.
 */
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <zmq.h>

#include "ragwort/counters.h"
#include "ragwort/net-peer.h"
#include "ragwort/wire.h"

#define CODEC_ROUNDS 20000
#define N_MESSAGES 100000
#define MAX_IN_FLIGHT 100
#define N_LINKS 200

struct key_pair {
	char public_key[41];
	char secret_key[41];
};

static double cpu_us(void)
{
	return (double)clock() * 1e6 / CLOCKS_PER_SEC;
}

static struct rr_peer_message *make_relay(size_t n_shards)
{
	struct rr_peer_message *message = rr_new_peer_message(RR_PEER_RELAY);
	struct rr_relay *relay = g_new0(struct rr_relay, 1);

	message->from = g_strdup("ruaraka-1");
	message->from_incarnation = 1;
	message->relay = relay;
	relay->kind = RR_SEARCH;
	relay->service = g_strdup("counter-desk");
	relay->request_id = g_strdup("0123456789abcdef");
	relay->body = g_strdup("{\"text\":\"old nairobi red\",\"max\":100}");
	relay->key_to = RR_KEY_LIMIT;
	relay->n_shards = n_shards;
	relay->shards = g_new0(struct rr_relay_shard, n_shards);
	for (size_t i = 0; i < n_shards; i++) {
		relay->shards[i].shard =
			g_strdup_printf("counter-desk-%02zu", i);
		relay->shards[i].preferred_replica =
			g_strdup_printf("counter-desk-%02zu-a", i);
	}
	return message;
}

static struct rr_peer_message *make_reply(size_t n_shards, size_t n_rows)
{
	static const char row[] = "{\"tag\":\"P-0017\",\"yard\":\"ruaraka\","
				  "\"kind\":\"brick\",\"count\":480,"
				  "\"batch\":\"1962-04\"}";
	struct rr_peer_message *message =
		rr_new_peer_message(RR_PEER_RELAY_REPLY);
	struct rr_relay_reply *reply = g_new0(struct rr_relay_reply, 1);

	message->from = g_strdup("ruaraka-1");
	message->from_incarnation = 1;
	message->relay_reply = reply;
	reply->rows = rr_new_rows();
	for (size_t i = 0; i < n_rows; i++)
		rr_append_row(reply->rows, i, row, strlen(row));
	reply->n_outcomes = n_shards;
	reply->outcomes = g_new0(struct rr_relay_outcome, n_shards);
	for (size_t i = 0; i < n_shards; i++) {
		struct rr_relay_outcome *outcome = &reply->outcomes[i];

		outcome->shard = g_strdup_printf("counter-desk-%02zu", i);
		outcome->covered = true;
		outcome->n_ranges = 1;
		outcome->ranges = g_new0(struct rr_key_range, 1);
		outcome->ranges[0].to = RR_KEY_LIMIT;
	}
	return message;
}

static void measure_codec(const char *name, struct rr_peer_message *message)
{
	double before_us = cpu_us();
	double encoded_us;
	GBytes *bytes = rr_encode_peer_message(message);
	gsize length;
	const uint8_t *data = g_bytes_get_data(bytes, &length);

	for (int i = 0; i < CODEC_ROUNDS; i++)
		g_bytes_unref(rr_encode_peer_message(message));
	encoded_us = cpu_us();
	for (int i = 0; i < CODEC_ROUNDS; i++)
		rr_drop_peer_message(
			rr_decode_peer_message(data, length, NULL));
	printf("{\"bench\":\"peer\",\"codec\":\"%s\",\"bytes\":%zu,"
	       "\"encode_us\":%.2f,\"decode_us\":%.2f}\n",
	       name, length, (encoded_us - before_us) / CODEC_ROUNDS,
	       (cpu_us() - encoded_us) / CODEC_ROUNDS);
	g_bytes_unref(bytes);
	rr_drop_peer_message(message);
}

static void measure_upstream_body(size_t n_rows)
{
	GString *text = g_string_new(
		"{\"version\":7,\"oldest\":5,\"newest\":7,\"epoch\":1,"
		"\"ranges\":[[0,1000000]],\"rows\":[");
	double before_us;

	for (size_t i = 0; i < n_rows; i++)
		g_string_append_printf(
			text,
			"%s{\"key\":%zu,\"row\":{\"tag\":\"P-0017\","
			"\"yard\":\"ruaraka\",\"kind\":\"brick\","
			"\"count\":480,\"batch\":\"1962-04\"}}",
			i ? "," : "", i);
	g_string_append_printf(text,
			       "],\"row_count\":%zu,\"more\":false,"
			       "\"state\":\"ready\",\"load\":0.25,"
			       "\"end\":true}",
			       n_rows);
	before_us = cpu_us();
	for (int i = 0; i < CODEC_ROUNDS; i++)
		rr_drop_upstream_body(
			rr_decode_upstream_body(text->str, text->len, NULL));
	printf("{\"bench\":\"peer\",\"codec\":\"upstream-body\",\"rows\":%zu,"
	       "\"bytes\":%zu,\"decode_us\":%.2f}\n",
	       n_rows, text->len, (cpu_us() - before_us) / CODEC_ROUNDS);
	g_string_free(text, TRUE);
}

static void count_message(void *data, const struct rr_peer_message *message)
{
	(void)message;
	++*(uint64_t *)data;
}

static struct rr_peer_transport *open_transport(struct rr_context *ctx,
						const struct rr_peer_keys *keys,
						uint64_t *received)
{
	struct rr_peer_transport_options options = {
		.address = "127.0.0.1:0",
		.keys = keys,
		.received = count_message,
		.data = received,
	};
	GError *error = NULL;
	struct rr_peer_transport *transport =
		rr_new_peer_transport(ctx, &options, &error);

	if (!transport)
		g_error("peer: %s", error->message);
	return transport;
}

/* Send messages with at most MAX_IN_FLIGHT of them in flight. */
static void measure_transport(const char *security,
			      const struct rr_peer_keys *keys, size_t n_shards)
{
	struct rr_context *ctx = rr_new_context(NULL);
	uint64_t received = 0;
	struct rr_peer_transport *from = open_transport(ctx, keys, &received);
	struct rr_peer_transport *to = open_transport(ctx, keys, &received);
	struct rr_peer_message *message = make_relay(n_shards);
	uint64_t sent = 0;
	double before_us = cpu_us();

	while (received < N_MESSAGES) {
		while (sent < N_MESSAGES && sent - received < MAX_IN_FLIGHT) {
			rr_send_to_peer(ctx, from, "b",
					rr_peer_transport_address(to), message);
			sent++;
		}
		g_main_context_iteration(NULL, TRUE);
	}
	printf("{\"bench\":\"peer\",\"port\":\"%s\",\"shards\":%zu,"
	       "\"messages\":%d,\"cpu_us_per_message\":%.2f}\n",
	       security, n_shards, N_MESSAGES,
	       (cpu_us() - before_us) / N_MESSAGES);
	rr_drop_peer_message(message);
	rr_drop_peer_transport(from);
	rr_drop_peer_transport(to);
	rr_drop_context(ctx);
}

static size_t resident_bytes(void)
{
	char *text = NULL;
	unsigned long total = 0;
	unsigned long resident = 0;

	if (g_file_get_contents("/proc/self/statm", &text, NULL, NULL) &&
	    sscanf(text, "%lu %lu", &total, &resident) != 2)
		resident = 0;
	g_free(text);
	return resident * (size_t)sysconf(_SC_PAGESIZE);
}

/*
 * Measure connections from one transport to many.  All ends are in this
 * process, so the memory of a connection is that of both ends together.
 */
static void measure_links(const char *security, const struct rr_peer_keys *keys)
{
	struct rr_context *ctx = rr_new_context(NULL);
	uint64_t received = 0;
	struct rr_peer_transport *from = open_transport(ctx, keys, &received);
	struct rr_peer_transport *to[N_LINKS];
	struct rr_peer_message *message = rr_new_peer_message(RR_PEER_PING);
	size_t resident;
	double before_us;

	message->from = g_strdup("a");
	message->from_incarnation = 1;
	for (int i = 0; i < N_LINKS; i++)
		to[i] = open_transport(ctx, keys, &received);
	resident = resident_bytes();
	before_us = cpu_us();
	for (int i = 0; i < N_LINKS; i++)
		rr_send_to_peer(ctx, from, "b",
				rr_peer_transport_address(to[i]), message);
	while (received + rr_counter_value(ctx, RR_N_PEER_MESSAGES_DROPPED) <
	       N_LINKS)
		g_main_context_iteration(NULL, TRUE);
	printf("{\"bench\":\"peer\",\"links\":\"%s\",\"opened\":%d,"
	       "\"arrived\":%" G_GUINT64_FORMAT
	       ",\"cpu_us_per_link\":%.0f,\"bytes_per_link_both_ends\":%zu}\n",
	       security, N_LINKS, received, (cpu_us() - before_us) / N_LINKS,
	       (resident_bytes() - resident) / N_LINKS);
	for (int i = 0; i < N_LINKS; i++)
		rr_drop_peer_transport(to[i]);
	rr_drop_peer_message(message);
	rr_drop_peer_transport(from);
	rr_drop_context(ctx);
}

int main(void)
{
	struct key_pair pair;
	const char *allowed[] = { pair.public_key, NULL };
	struct rr_peer_keys keys = { pair.public_key, pair.secret_key,
				     allowed };

	zmq_curve_keypair(pair.public_key, pair.secret_key);
	measure_links("plain", NULL);
	measure_links("curve", &keys);
	measure_codec("relay-of-1", make_relay(1));
	measure_codec("relay-of-40", make_relay(40));
	measure_codec("reply-of-40-no-rows", make_reply(40, 0));
	measure_codec("reply-of-40-100-rows", make_reply(40, 100));
	measure_upstream_body(0);
	measure_upstream_body(10);
	measure_upstream_body(100);
	measure_transport("plain", NULL, 1);
	measure_transport("plain", NULL, 40);
	measure_transport("curve", &keys, 1);
	measure_transport("curve", &keys, 40);
	return 0;
}
