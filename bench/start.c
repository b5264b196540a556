/*
 * start.c - CPU time an instance takes at its start to read the platform's
 * list: to decode the items, to apply them and to run the tick that follows,
 * by the number of instances and replicas.
 */
#include <argtable2.h>
#include <stdio.h>
#include <time.h>

#include "platform/platform.h"
#include "support/standin-store.h"

#define ZONES 5
#define REPLICAS_PER_SERVICE 3

struct start {
	struct rr_context *ctx;
	struct rr_gate *gate;
	struct rr_feed *feed;
	uint64_t range_call_id; /* id of the call that reads the list */
};

static double cpu_ms(void)
{
	return (double)clock() * 1000 / CLOCKS_PER_SEC;
}

static void append_item(GString *out, const char *key, const char *value,
			uint64_t revision)
{
	char *encoded = g_base64_encode((const guchar *)value, strlen(value));

	g_string_append_printf(out,
			       "%s{\"key\":\"%s\",\"value\":\"%s\","
			       "\"revision\":%" G_GUINT64_FORMAT
			       ",\"lease\":1}",
			       revision > 1 ? "," : "", key, encoded, revision);
	g_free(encoded);
}

static void append_instance(GString *out, uint32_t number, uint64_t revision)
{
	char *key = g_strdup_printf("%si-%u", rr_store_prefix(RR_FEED_INSTANCE),
				    number);
	char *value =
		g_strdup_printf("{\"zone\":\"z%u\",\"address\":"
				"\"10.0.0.1:7\",\"strength\":%u}",
				number % ZONES, number < 3 * ZONES ? 500 : 120);

	append_item(out, key, value, revision);
	g_free(value);
	g_free(key);
}

static void append_replica(GString *out, uint32_t number, uint64_t revision)
{
	char *key = g_strdup_printf("%sr-%u", rr_store_prefix(RR_FEED_REPLICA),
				    number);
	char *id = g_strdup_printf("r-%u", number);
	char *service = g_strdup_printf("s%u", number / REPLICAS_PER_SERVICE);
	struct test_replica_entry entry = {
		.id = id,
		.service = service,
		.address = "10.0.0.2:7",
		.slots = 3,
	};
	char *value = test_make_replica_entry(&entry);

	append_item(out, key, value, revision);
	g_free(value);
	g_free(service);
	g_free(id);
	g_free(key);
}

static GString *make_list(uint32_t instances, uint32_t replicas)
{
	GString *out = g_string_new("{\"items\":[");
	uint64_t revision = 0;

	for (uint32_t i = 0; i < instances; i++)
		append_instance(out, i, ++revision);
	for (uint32_t i = 0; i < replicas; i++)
		append_replica(out, i, ++revision);
	g_string_append_printf(out,
			       "],\"hasMore\":false,\"storeRevision\":"
			       "%" G_GUINT64_FORMAT "}",
			       revision);
	return out;
}

static void record_call(void *data, const struct rr_feed_call *call)
{
	struct start *start = data;

	if (call->kind == RR_FEED_RANGE)
		start->range_call_id = call->id;
}

static void ignore_cancel(void *data, uint64_t call)
{
}

static void ignore_routes(void *data, struct rr_route_table *table)
{
}

static void handle_listed(void *data, const struct rr_endpoint_info *endpoint)
{
	struct start *start = data;

	rr_gate_update_endpoint(start->ctx, start->gate, 1, endpoint);
}

static void ignore_unlisted(void *data, const char *id)
{
}

static void handle_instance_count(void *data, uint32_t instances)
{
	struct start *start = data;

	rr_gate_set_instance_count(start->ctx, start->gate, instances);
}

static void handle_instance(void *data, const char *id,
			    const struct rr_instance *instance)
{
	struct start *start = data;
	struct rr_gate_instance info = {
		.id = id,
		.zone = instance ? instance->zone : NULL,
		.address = instance ? instance->address : NULL,
		.strength = instance ? instance->strength : 0,
	};

	rr_gate_update_instance(start->ctx, start->gate, 1, &info);
}

static void ignore_close_idle(void *data, const char *incarnation)
{
}

static void ignore_preconnect(void *data, const char *incarnation,
			      const char *address)
{
}

static void discard_line(void *data, enum rr_log_level level, const char *line)
{
}

static int64_t get_wall_time(void *data)
{
	return g_get_real_time();
}

static struct rr_context *make_context(void)
{
	struct rr_context_options options = {
		.log = {
			.write = discard_line,
			.clock = get_wall_time,
			.max_level = RR_LOG_INFO,
		},
		.seed = 1,
	};

	return rr_new_context(&options);
}

static void start_cores(struct start *start)
{
	struct rr_gate_options gate = {
		.instance = "i-0",
		.zone = "z0",
		.actions = { .preconnect = ignore_preconnect,
			     .close_idle = ignore_close_idle,
			     .data = start },
		.extra_ratio = 0.2,
		.extra_slack = 58,
		.extra_window_ms = 10000,
		.strength = 0.12,
	};
	struct rr_feed_options feed = {
		.actions = {
			.call = record_call,
			.cancel = ignore_cancel,
			.routes = ignore_routes,
			.replica_listed = handle_listed,
			.replica_unlisted = ignore_unlisted,
			.instance_count = handle_instance_count,
			.instance = handle_instance,
			.data = start,
		},
		.self = { .id = (char *)"i-0", .zone = (char *)"z0",
			  .strength = 0.12 },
		.max_staleness_ms = 6000,
	};

	start->gate = rr_new_gate(start->ctx, &gate);
	start->feed = rr_new_feed(start->ctx, &feed, 1);
	rr_feed_tick(start->ctx, start->feed, 1);
}

static void read_list(uint32_t instances, uint32_t replicas)
{
	GString *list = make_list(instances, replicas);
	struct start start = { .ctx = make_context() };
	struct rr_feed_reply reply = { 0 };
	double start_ms = cpu_ms();
	double decoded_ms;
	double applied_ms;

	start_cores(&start);
	rr_decode_feed_reply(RR_FEED_RANGE, 200, (const uint8_t *)list->str,
			     list->len, &reply);
	reply.call_id = start.range_call_id;
	decoded_ms = cpu_ms();
	rr_feed_reply(start.ctx, start.feed, 1, &reply);
	applied_ms = cpu_ms();
	rr_gate_tick(start.ctx, start.gate, 1);
	printf("instances=%u replicas=%u bytes=%zu decode_ms=%.2f take_ms=%.2f "
	       "settle_ms=%.2f\n",
	       instances, replicas, list->len, decoded_ms - start_ms,
	       applied_ms - decoded_ms, cpu_ms() - applied_ms);
	g_ptr_array_unref(reply.items);
	rr_drop_feed(start.feed);
	rr_drop_gate(start.gate);
	rr_drop_context(start.ctx);
	g_string_free(list, TRUE);
}

int main(int argc, char **argv)
{
	struct arg_int *instances = arg_int0(
		NULL, "instances", "N", "number of instances, default 295");
	struct arg_int *replicas = arg_int0(NULL, "replicas", "N",
					    "number of replicas, default 540");
	struct arg_end *end = arg_end(5);
	void *table[] = { instances, replicas, end };

	instances->ival[0] = 295;
	replicas->ival[0] = 540;
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "start");
		return 2;
	}
	read_list((uint32_t)instances->ival[0], (uint32_t)replicas->ival[0]);
	arg_freetable(table, G_N_ELEMENTS(table));
	return 0;
}
