/*
 * test-route.c - tests of route tables and of the lookup of routes.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "ragwort/route.h"

static struct rr_route *make_route(const char *name, const char *host,
				   const char *prefix, const char *service)
{
	struct rr_route *route = g_new0(struct rr_route, 1);

	route->name = g_strdup(name);
	route->host = g_strdup(host);
	route->prefix = g_strdup(prefix);
	route->parts = g_new0(struct rr_route_part, 1);
	route->parts[0].service = g_strdup(service);
	route->parts[0].weight = 1;
	route->n_parts = 1;
	return route;
}

static const char *find_name(const struct rr_route_table *table,
			     const char *host, const char *path)
{
	const struct rr_route *route =
		rr_find_route(table, host, path, strlen(path));

	return route ? route->name : "none";
}

static struct rr_route_table *make_table(void)
{
	struct rr_route_table *table = rr_new_route_table(7);

	assert_true(
		rr_add_route(table, make_route("all", "a.example", "/", "s1")));
	assert_true(rr_add_route(
		table, make_route("stock", "a.example", "/stock/", "s2")));
	assert_true(rr_add_route(table, make_route("tiles", "a.example",
						   "/stock/tiles/", "s3")));
	assert_true(rr_add_route(
		table, make_route("other", "b.example", "/stock/", "s4")));
	return table;
}

static void test_longest_prefix_wins(void **state)
{
	struct rr_route_table *table = make_table();

	assert_string_equal(find_name(table, "a.example", "/x"), "all");
	assert_string_equal(find_name(table, "a.example", "/stock/1"), "stock");
	assert_string_equal(find_name(table, "a.example", "/stock/tiles/1"),
			    "tiles");
	assert_string_equal(find_name(table, "a.example", "/stock/tilesx/1"),
			    "stock");
	/* A prefix includes its final slash: without it there is no match. */
	assert_string_equal(find_name(table, "a.example", "/stock"), "all");
	assert_string_equal(find_name(table, "b.example", "/stock"), "none");
	assert_string_equal(find_name(table, "b.example", "/stock/"), "other");
	rr_drop_route_table(table);
}

static void test_host_ignores_case_and_port(void **state)
{
	struct rr_route_table *table = make_table();

	assert_string_equal(find_name(table, "A.Example:8080", "/stock/1"),
			    "stock");
	assert_string_equal(find_name(table, "c.example", "/stock/1"), "none");
	rr_drop_route_table(table);
}

/* A slash after the question mark belongs to the query, not to the path. */
static void test_query_is_ignored(void **state)
{
	struct rr_route_table *table = make_table();

	assert_string_equal(find_name(table, "b.example", "/x?/stock/"),
			    "none");
	assert_string_equal(find_name(table, "a.example", "/?to=/stock/tiles/"),
			    "all");
	rr_drop_route_table(table);
}

static void test_invalid_routes_are_rejected(void **state)
{
	struct rr_route_table *table = make_table();
	struct rr_route *route;

	assert_false(rr_add_route(
		table, make_route("twice", "a.example", "/stock/", "s")));
	assert_false(rr_add_route(
		table, make_route("open", "a.example", "/open", "s")));
	assert_false(rr_add_route(
		table, make_route("bare", "a.example", "bare/", "s")));
	assert_false(rr_add_route(
		table, make_route("none", "a.example", "/n/", NULL)));
	route = make_route("least", "a.example", "/least/", "s");
	assert_int_equal(route->max_attempts, 0);
	assert_true(rr_add_route(table, route));
	assert_int_equal(route->max_attempts, 1);
	assert_int_equal(rr_count_routes(table), 5);
	rr_drop_route_table(table);
}

static void test_very_deep_paths(void **state)
{
	struct rr_route_table *table = make_table();
	char path[4096];

	memset(path, '/', sizeof(path));
	assert_string_equal(
		rr_find_route(table, "a.example", path, sizeof(path))->name,
		"all");
	rr_drop_route_table(table);
}

static void test_services_and_limits(void **state)
{
	struct rr_route_table *table = make_table();
	struct rr_route_service *service = g_new0(struct rr_route_service, 1);
	struct rr_caller_limits limits = { .max_body_bytes = 99 };

	service->name = g_strdup("s1");
	service->max_connections = 26;
	rr_add_route_service(table, service);
	rr_set_caller_limits(table, &limits);
	assert_int_equal(rr_find_route_service(table, "s1")->max_connections,
			 26);
	assert_null(rr_find_route_service(table, "s9"));
	assert_int_equal(rr_table_caller_limits(table)->max_body_bytes, 99);
	assert_int_equal(rr_route_table_version(table), 7);
	rr_drop_route_table(rr_keep_route_table(table));
	rr_drop_route_table(table);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_longest_prefix_wins),
		cmocka_unit_test(test_host_ignores_case_and_port),
		cmocka_unit_test(test_query_is_ignored),
		cmocka_unit_test(test_invalid_routes_are_rejected),
		cmocka_unit_test(test_very_deep_paths),
		cmocka_unit_test(test_services_and_limits),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
