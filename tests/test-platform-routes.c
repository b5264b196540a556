/*
 * test-platform-routes.c - decoding of the operators' configuration.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "platform/platform.h"

static const char config[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"r1\",\"host\":\"Pupu.example\",\"prefix\":\"/b/\","
	"\"routeType\":\"idempotent\",\"timeoutMs\":600,\"targetLatencyMs\":40,"
	"\"priority\":2,\"shardServices\":[\"x\",\"y\",\"z\"],"
	"\"maxAttempts\":2,\"topK\":5,\"minShardRatio\":0.75},"
	"{\"name\":\"r2\",\"host\":\"pupu.example\",\"prefix\":\"/t/\","
	"\"routeType\":\"non_idempotent\",\"timeoutMs\":4000,"
	"\"service\":\"k\",\"maxAttempts\":3,"
	"\"allowedRegions\":[\"north\",\"south\"]},"
	"{\"name\":\"r3\",\"host\":\"pupu.example\",\"prefix\":\"/s/\","
	"\"routeType\":\"idempotent\",\"trafficSplit\":["
	"{\"service\":\"k\",\"weight\":0.75},{\"service\":\"x\",\"weight\":"
	"0.25}]}],"
	"\"services\":[{\"name\":\"x\",\"maxConnections\":26,"
	"\"coldStartS\":2.5,\"coldPerS\":7.5},"
	"{\"name\":\"y\",\"coldStartS\":-1,\"coldPerS\":\"many\"}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"news\":[1]}";

static const struct rr_route *find_route(const struct rr_route_table *table,
					 const char *path)
{
	return rr_find_route(table, "pupu.example", path, strlen(path));
}

static void test_valid_routes(void **state)
{
	const char *fault;
	struct rr_route_table *table =
		rr_decode_routes(config, strlen(config), &fault);
	const struct rr_route *route;

	assert_non_null(table);
	assert_int_equal(rr_route_table_version(table), 7);
	route = find_route(table, "/b/1");
	assert_string_equal(route->name, "r1");
	assert_int_equal(route->mode, RR_ROUTE_GATHER);
	assert_true(route->idempotent);
	assert_int_equal(route->n_parts, 3);
	assert_string_equal(route->parts[2].service, "z");
	assert_int_equal(route->top_k, 5);
	assert_true(route->min_share == 0.75);
	assert_int_equal(route->objective_ms, 40);
	assert_int_equal(route->timeout_ms, 600);
	assert_int_equal(route->priority, 2);
	route = find_route(table, "/t/1");
	assert_int_equal(route->mode, RR_ROUTE_PROXY);
	assert_false(route->idempotent);
	assert_int_equal(route->max_attempts, 3);
	assert_string_equal(route->parts[0].service, "k");
	assert_true(rr_route_allows_region(route, "south"));
	assert_false(rr_route_allows_region(route, "west"));
	assert_false(rr_route_allows_region(route, NULL));
	route = find_route(table, "/s/1");
	assert_true(rr_route_allows_region(route, NULL));
	assert_int_equal(route->n_parts, 2);
	assert_true(route->parts[0].weight == 0.75);
	assert_int_equal(rr_find_route_service(table, "x")->max_connections,
			 26);
	assert_int_equal(rr_find_route_service(table, "x")->cold_ms, 2500);
	assert_true(rr_find_route_service(table, "x")->cold_per_s == 7.5);
	assert_int_equal(rr_find_route_service(table, "y")->cold_ms, 0);
	assert_true(rr_find_route_service(table, "y")->cold_per_s == 0);
	assert_int_equal(rr_table_caller_limits(table)->idle_timeout_ms, 15000);
	rr_drop_route_table(table);
}

static void test_invalid_routes(void **state)
{
	static const char *const texts[] = {
		"",
		"[]",
		"{\"routes\":[]}",
		"{\"version\":1}",
		"{\"version\":1,\"routes\":[{}]}",
		"{\"version\":1,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
		"\"prefix\":\"/a/\"}]}",
		"{\"version\":1,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
		"\"prefix\":\"/a/\",\"shardServices\":[\"x\",3]}]}",
		"{\"version\":1,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
		"\"prefix\":\"a\",\"service\":\"x\"}]}",
		"{\"version\":1,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
		"\"prefix\":\"/a/\",\"service\":\"x\","
		"\"allowedRegions\":\"north\"}]}",
		"{\"version\":1,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
		"\"prefix\":\"/a/\",\"service\":\"x\","
		"\"allowedRegions\":[\"north\",7]}]}",
	};
	const char *fault;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		assert_null(
			rr_decode_routes(texts[i], strlen(texts[i]), &fault));
		assert_non_null(fault);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_valid_routes),
		cmocka_unit_test(test_invalid_routes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
