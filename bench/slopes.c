/*
 * slopes.c - CPU time per attempt, merged row and peer message, and memory per
 * replica and open query.  Prints one JSON line each.
 *
 * docs/CAPACITY.md multiplies these by the size of the target deployment.
 */
#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "ragwort/core.h"
#include "ragwort/wire.h"

#define KEYS_PER_SHARD 1000

struct bench {
	struct rr_context *ctx;
	struct rr_core *core;
	GArray *sent; /* struct sent */
	int64_t now_us;
	uint64_t answers;
	uint64_t rows;
};

struct sent {
	uint64_t id;
	uint64_t version;
	uint64_t key_from;
	uint64_t key_to;
};

static double cpu_us(void)
{
	struct timespec time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return (double)time.tv_sec * 1e6 + (double)time.tv_nsec / 1e3;
}

static size_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static void on_send_attempt(void *data, const struct rr_attempt *attempt)
{
	struct bench *bench = data;
	struct sent sent = { attempt->id, attempt->version, attempt->key_from,
			     attempt->key_to };

	g_array_append_val(bench->sent, sent);
}

static void on_cancel_attempt(void *data, uint64_t attempt_id)
{
}

static void on_answer(void *data, const struct rr_answer *answer)
{
	struct bench *bench = data;

	bench->answers += answer->outcome == RR_COMPLETE;
	bench->rows += answer->n_rows;
}

static void on_send_peer(void *data, const char *instance, const char *address,
			 const struct rr_peer_message *message)
{
}

static void on_poll_health(void *data, const char *replica, const char *address)
{
}

static void on_config_record(void *data, const char *record, size_t length)
{
}

static void on_get(void *data, uint64_t call_id, const char *key)
{
}

static void on_swap(void *data, uint64_t call_id, const char *key,
		    uint64_t revision, const char *value, size_t length,
		    const struct rr_store_guard *guard)
{
}

static struct rr_config *make_config(uint32_t n_shards, uint32_t n_replicas)
{
	struct rr_config *config = rr_new_config();
	struct rr_service_config *service;

	config->revision = 1;
	config->site = g_strdup("bench");
	config->n_services = 1;
	config->services = g_new0(struct rr_service_config, 1);
	service = &config->services[0];
	rr_init_service_config(service);
	service->name = g_strdup("stock");
	service->max_open_requests = 100000;
	service->max_rows = 1000000;
	service->slots = 1000;
	service->connections = 4000;
	service->n_shards = n_shards;
	service->shards = g_new0(struct rr_shard_config, n_shards);
	for (uint32_t s = 0; s < n_shards; s++) {
		struct rr_shard_config *shard = &service->shards[s];

		shard->name = g_strdup_printf("shard-%04u", s);
		shard->public_name = g_strdup(shard->name);
		shard->key_from = (uint64_t)s * KEYS_PER_SHARD;
		shard->key_to = shard->key_from + KEYS_PER_SHARD;
		shard->n_replicas = n_replicas;
		shard->replicas = g_new0(struct rr_replica_config, n_replicas);
		for (uint32_t r = 0; r < n_replicas; r++) {
			shard->replicas[r].id =
				g_strdup_printf("shard-%04u-%u", s, r);
			shard->replicas[r].zone = g_strdup("a");
			shard->replicas[r].address =
				g_strdup_printf("127.0.0.1:%u", 1024 + s);
		}
	}
	return config;
}

static void start_bench(struct bench *bench, uint32_t n_shards,
			uint32_t n_replicas)
{
	struct rr_core_options options = {
		.instance = "only",
		.zone = "a",
		.peer_address = "127.0.0.1:9000",
		.incarnation = 1,
		.actions = { on_send_attempt, on_cancel_attempt, on_answer,
			     on_send_peer, on_poll_health, on_config_record,
			     bench },
		.store = { on_get, on_swap, bench },
		/* The adaptive limit starts low and would queue the burst. */
		.switches = { .no_hedge = true, .no_adaptive_limit = true },
	};
	struct rr_config *config = make_config(n_shards, n_replicas);

	memset(bench, 0, sizeof(*bench));
	bench->now_us = 1000000;
	bench->ctx = rr_new_context(NULL);
	bench->core = rr_new_core(bench->ctx, &options, bench->now_us);
	bench->sent = g_array_new(FALSE, FALSE, sizeof(struct sent));
	rr_core_set_config(bench->ctx, bench->core, bench->now_us, config, "1",
			   1);
	for (uint32_t s = 0; s < n_shards; s++) {
		for (uint32_t r = 0; r < n_replicas; r++) {
			struct rr_health health = {
				.replica = config->services[0]
						   .shards[s]
						   .replicas[r]
						   .id,
				.reachable = true,
				.state = RR_UPSTREAM_READY,
				.oldest_version = 5,
				.newest_version = 7,
				.map_epoch = 1,
			};

			rr_core_handle_health(bench->ctx, bench->core,
					      bench->now_us, &health);
		}
	}
	rr_drop_config(config);
}

static void stop_bench(struct bench *bench)
{
	rr_drop_core(bench->core);
	rr_drop_context(bench->ctx);
	g_array_unref(bench->sent);
}

static void submit_query(struct bench *bench)
{
	struct rr_request request = {
		.kind = RR_SEARCH,
		.request_id = "bench",
		.service = "stock",
		.body = "{\"text\":\"old nairobi red\"}",
	};

	rr_core_handle_request(bench->ctx, bench->core, bench->now_us,
			       1700000000000000, &request);
}

static struct rr_rows *make_rows(uint64_t key_from, uint32_t n)
{
	static const char text[] =
		"{\"tag\":\"P-000017\",\"text\":\"old nairobi red, 400\"}";
	struct rr_rows *rows = rr_new_rows();

	for (uint32_t i = 0; i < n; i++)
		rr_append_row(rows, key_from + i, text, sizeof(text) - 1);
	return rows;
}

static void reply_all(struct bench *bench, uint32_t rows_per_shard)
{
	for (guint i = 0; i < bench->sent->len; i++) {
		struct sent sent = g_array_index(bench->sent, struct sent, i);
		struct rr_key_range range = { sent.key_from, sent.key_to };
		struct rr_reply reply = {
			.attempt_id = sent.id,
			.status = RR_REPLY_OK,
			.version = sent.version ? sent.version : 7,
			.oldest_version = 5,
			.newest_version = 7,
			.map_epoch = 1,
			.ranges = &range,
			.n_ranges = 1,
			.rows = make_rows(sent.key_from, rows_per_shard),
			.row_count = rows_per_shard,
			.body_complete = true,
			.state = RR_UPSTREAM_READY,
		};

		rr_core_handle_reply(bench->ctx, bench->core, bench->now_us,
				     &reply);
		rr_drop_rows(reply.rows);
	}
	g_array_set_size(bench->sent, 0);
}

static void measure_queries(uint32_t n_shards, uint32_t rows_per_shard)
{
	struct bench bench;
	uint32_t queries = 200000 / n_shards / (1 + rows_per_shard / 10);
	uint64_t attempts = 0;
	double start_us;
	double used_us;

	start_bench(&bench, n_shards, 2);
	start_us = cpu_us();
	for (uint32_t i = 0; i < queries; i++) {
		bench.now_us += 1000;
		submit_query(&bench);
		attempts += bench.sent->len;
		while (bench.sent->len)
			reply_all(&bench, rows_per_shard);
		rr_core_tick(bench.ctx, bench.core, bench.now_us);
	}
	used_us = cpu_us() - start_us;
	printf("{\"slope\":\"core\",\"shards\":%u,\"rows_a_shard\":%u,"
	       "\"queries\":%u,\"complete\":%" G_GUINT64_FORMAT
	       ",\"us_a_query\":%.1f,\"us_an_attempt\":%.3f,"
	       "\"us_a_row\":%.4f}\n",
	       n_shards, rows_per_shard, queries, bench.answers,
	       used_us / queries, used_us / (double)MAX(attempts, 1),
	       used_us / (double)MAX(bench.rows, 1));
	stop_bench(&bench);
}

static void measure_memory(uint32_t n_shards, uint32_t n_replicas)
{
	struct bench bench;
	size_t before = heap_bytes();
	size_t with_config;
	size_t with_queries;
	uint32_t queries = 20000 / n_shards + 1;

	start_bench(&bench, n_shards, n_replicas);
	with_config = heap_bytes();
	for (uint32_t i = 0; i < queries; i++)
		submit_query(&bench);
	with_queries = heap_bytes();
	printf("{\"slope\":\"memory\",\"shards\":%u,\"replicas\":%u,"
	       "\"bytes_a_replica\":%.0f,\"bytes_an_open_query\":%.0f,"
	       "\"bytes_an_open_attempt\":%.0f}\n",
	       n_shards, n_shards * n_replicas,
	       (double)(with_config - before) / (n_shards * n_replicas),
	       (double)(with_queries - with_config) / queries,
	       (double)(with_queries - with_config) / queries / n_shards);
	stop_bench(&bench);
}

static struct rr_peer_message *make_relay(uint32_t n_shards)
{
	struct rr_peer_message *message = rr_new_peer_message(RR_PEER_RELAY);
	struct rr_relay *relay = g_new0(struct rr_relay, 1);

	message->from = g_strdup("ruaraka-1");
	message->from_incarnation = 1;
	message->relay = relay;
	relay->query_id = 1;
	relay->kind = RR_SEARCH;
	relay->service = g_strdup("stock");
	relay->request_id = g_strdup("bench");
	relay->body = g_strdup("{\"text\":\"old nairobi red\"}");
	relay->key_to = (uint64_t)n_shards * KEYS_PER_SHARD;
	relay->row_limit = 100;
	relay->version = 7;
	relay->map_epoch = 1;
	relay->remaining_ms = 80;
	relay->shards = g_new0(struct rr_relay_shard, n_shards);
	relay->n_shards = n_shards;
	for (uint32_t i = 0; i < n_shards; i++) {
		relay->shards[i].shard = g_strdup_printf("shard-%04u", i);
		relay->shards[i].preferred_replica =
			g_strdup_printf("shard-%04u-0", i);
	}
	return message;
}

static struct rr_peer_message *make_relay_reply(uint32_t n_shards,
						uint32_t rows_per_shard)
{
	struct rr_peer_message *message =
		rr_new_peer_message(RR_PEER_RELAY_REPLY);
	struct rr_relay_reply *reply = g_new0(struct rr_relay_reply, 1);

	message->from = g_strdup("ruaraka-1");
	message->from_incarnation = 1;
	message->relay_reply = reply;
	reply->query_id = 1;
	reply->version = 7;
	reply->rows = rr_new_rows();
	reply->outcomes = g_new0(struct rr_relay_outcome, n_shards);
	reply->n_outcomes = n_shards;
	for (uint32_t i = 0; i < n_shards; i++) {
		struct rr_relay_outcome *outcome = &reply->outcomes[i];
		struct rr_rows *rows =
			make_rows((uint64_t)i * KEYS_PER_SHARD, rows_per_shard);

		outcome->shard = g_strdup_printf("shard-%04u", i);
		outcome->covered = true;
		outcome->oldest_version = 5;
		outcome->newest_version = 7;
		outcome->attempts = 1;
		outcome->ranges = g_new0(struct rr_key_range, 1);
		outcome->ranges[0].from = (uint64_t)i * KEYS_PER_SHARD;
		outcome->ranges[0].to = (uint64_t)(i + 1) * KEYS_PER_SHARD;
		outcome->n_ranges = 1;
		for (size_t j = 0; j < rr_count_rows(rows); j++) {
			size_t length;
			const char *text = rr_row_json(rows, j, &length);

			rr_append_row(reply->rows, rr_row_key(rows, j), text,
				      length);
		}
		rr_drop_rows(rows);
	}
	return message;
}

static void measure_message(const char *name, struct rr_peer_message *message,
			    uint32_t n_shards, uint32_t rows_per_shard)
{
	const uint32_t rounds = 2000;
	double start_us = cpu_us();
	double encoded_us;
	double decoded_us;
	gsize length = 0;
	GBytes *bytes = NULL;

	for (uint32_t i = 0; i < rounds; i++) {
		g_clear_pointer(&bytes, g_bytes_unref);
		bytes = rr_encode_peer_message(message);
	}
	encoded_us = cpu_us() - start_us;
	start_us = cpu_us();
	for (uint32_t i = 0; i < rounds; i++) {
		const uint8_t *data = g_bytes_get_data(bytes, &length);
		GError *error = NULL;
		struct rr_peer_message *copy =
			rr_decode_peer_message(data, length, &error);

		if (!copy)
			g_error("decode: %s", error->message);
		rr_drop_peer_message(copy);
	}
	decoded_us = cpu_us() - start_us;
	printf("{\"slope\":\"message\",\"kind\":\"%s\",\"shards\":%u,"
	       "\"rows_a_shard\":%u,\"bytes\":%" G_GSIZE_FORMAT
	       ",\"encode_us\":%.2f,\"decode_us\":%.2f}\n",
	       name, n_shards, rows_per_shard, length, encoded_us / rounds,
	       decoded_us / rounds);
	g_bytes_unref(bytes);
	rr_drop_peer_message(message);
}

int main(void)
{
	static const uint32_t shard_counts[] = { 1, 20, 100, 1100 };
	static const uint32_t row_counts[] = { 0, 1, 10, 100 };

	for (size_t s = 0; s < G_N_ELEMENTS(shard_counts); s++) {
		for (size_t r = 0; r < G_N_ELEMENTS(row_counts); r++)
			measure_queries(shard_counts[s], row_counts[r]);
	}
	measure_memory(20, 2);
	measure_memory(1100, 2);
	measure_memory(1800, 3);
	for (size_t s = 0; s < G_N_ELEMENTS(shard_counts); s++) {
		uint32_t n = shard_counts[s];

		measure_message("relay", make_relay(n), n, 0);
		measure_message("relay-reply", make_relay_reply(n, 1), n, 1);
		measure_message("relay-reply", make_relay_reply(n, 10), n, 10);
	}
	return 0;
}
