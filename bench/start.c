/*
 * start.c - what reading the platform's list costs an instance at its start:
 * processor time to decode the items, to take them in, and to find out what
 * follows, by the number of instances and replicas.
 */
#include <argtable2.h>
#include <stdio.h>
#include <time.h>

#include "platform/platform.h"
#include "support/standin-store.h"

#define ZONES 5
#define REPLICAS_OF_SERVICE 3

struct start {
	struct rr_context *ctx;
	struct rr_gate *gate;
	struct rr_feed *feed;
	uint64_t reading; /* the call that reads everything */
};

static double cpu_ms(void)
{
	return (double)clock() * 1000 / CLOCKS_PER_SEC;
}

static void append_item(GString *out, const char *key, const char *value,
			uint64_t revision)
{
	char *coded = g_base64_encode((const guchar *)value, strlen(value));

	g_string_append_printf(out,
			       "%s{\"key\":\"%s\",\"value\":\"%s\","
			       "\"revision\":%" G_GUINT64_FORMAT
			       ",\"lease\":1}",
			       revision > 1 ? "," : "", key, coded, revision);
	g_free(coded);
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
	char *service = g_strdup_printf("s%u", number / REPLICAS_OF_SERVICE);
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

static void note_call(void *data, const struct rr_feed_call *call)
{
	struct start *start = data;

	if (call->kind == RR_FEED_RANGE)
		start->reading = call->id;
}

static void ignore_cancel(void *data, uint64_t call)
{
}

static void ignore_routes(void *data, struct rr_route_table *table)
{
}

static void take_listed(void *data, const struct rr_endpoint_info *listing)
{
	struct start *start = data;

	rr_gate_update_endpoint(start->ctx, start->gate, 1, listing);
}

static void ignore_id(void *data, const char *id)
{
}

static void take_instances(void *data, uint32_t instances)
{
	struct start *start = data;

	rr_gate_set_instance_count(start->ctx, start->gate, instances);
}

static void take_instance(void *data, const char *id,
			  const struct rr_instance *instance)
{
	struct start *start = data;
	struct rr_gate_instance told = {
		.id = id,
		.zone = instance ? instance->zone : NULL,
		.address = instance ? instance->address : NULL,
		.strength = instance ? instance->strength : 0,
	};

	rr_gate_update_instance(start->ctx, start->gate, 1, &told);
}

static void ignore_lifetime(void *data, const char *lifetime)
{
}

static void ignore_open(void *data, const char *lifetime, const char *address)
{
}

static void throw_away(void *data, enum rr_log_level level, const char *line)
{
}

static int64_t tell_time(void *data)
{
	return g_get_real_time();
}

static struct rr_context *make_context(void)
{
	struct rr_context_options options = {
		.log = {
			.write = throw_away,
			.clock = tell_time,
			.max_level = RR_LOG_INFO,
		},
		.seed = 1,
	};

	return rr_new_context(&options);
}

static void make_cores(struct start *start)
{
	struct rr_gate_options gate = {
		.instance = "i-0",
		.zone = "z0",
		.actions = { .preconnect = ignore_open,
			     .close_idle = ignore_lifetime,
			     .data = start },
		.extra_ratio = 0.2,
		.extra_slack = 58,
		.extra_window_ms = 10000,
		.strength = 0.12,
	};
	struct rr_feed_options feed = {
		.actions = {
			.call = note_call,
			.cancel = ignore_cancel,
			.routes = ignore_routes,
			.replica_listed = take_listed,
			.replica_unlisted = ignore_id,
			.instance_count = take_instances,
			.instance = take_instance,
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
	double from_ms = cpu_ms();
	double decoded_ms;
	double taken_ms;

	make_cores(&start);
	rr_decode_feed_reply(RR_FEED_RANGE, 200, (const uint8_t *)list->str,
			     list->len, &reply);
	reply.call_id = start.reading;
	decoded_ms = cpu_ms();
	rr_feed_reply(start.ctx, start.feed, 1, &reply);
	taken_ms = cpu_ms();
	rr_gate_tick(start.ctx, start.gate, 1);
	printf("instances=%u replicas=%u bytes=%zu decode_ms=%.2f take_ms=%.2f "
	       "settle_ms=%.2f\n",
	       instances, replicas, list->len, decoded_ms - from_ms,
	       taken_ms - decoded_ms, cpu_ms() - taken_ms);
	g_ptr_array_unref(reply.items);
	rr_drop_feed(start.feed);
	rr_drop_gate(start.gate);
	rr_drop_context(start.ctx);
	g_string_free(list, TRUE);
}

int main(int argc, char **argv)
{
	struct arg_int *instances = arg_int0(NULL, "instances", "N",
					     "instances with an entry (295)");
	struct arg_int *replicas =
		arg_int0(NULL, "replicas", "N", "replicas listed (540)");
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
