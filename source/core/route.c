/*
 * route.c - the route table: one version of the gateway's routes.
 *
 * A route is found by hash lookups of host and prefix, one for each slash of
 * the path, from the last slash that any prefix can reach to the first.  A
 * lookup among hundreds of routes costs no more than among ten.
 */
#include "ragwort/route.h"

#include <glib.h>
#include <string.h>

/* Maximum number of slashes in a path that are tried as the end of a prefix. */
#define MAX_PREFIX_DEPTH 32

struct rr_route_table {
	int refs;
	uint64_t version;
	struct rr_caller_limits limits;
	GPtrArray *routes;		/* struct rr_route */
	GHashTable *by_host_and_prefix; /* "host" + prefix -> struct rr_route */
	GHashTable *services;		/* name -> struct rr_route_service */
	struct rr_account_table *accounts; /* NULL if none are used */
	size_t longest_prefix;
};

static void free_route(gpointer data)
{
	struct rr_route *route = data;

	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	for (size_t i = 0; i < route->n_parts; i++)
		g_free(route->parts[i].service);
	g_free(route->parts);
	g_strfreev(route->regions);
	g_free(route);
}

bool rr_route_allows_region(const struct rr_route *route, const char *region)
{
#ifdef RR_MUTANT_ROUTE_HAS_NO_HOME
	return true;
#endif
	if (!route->regions)
		return true;
	return region &&
	       g_strv_contains((const char *const *)route->regions, region);
}

static void free_service(gpointer data)
{
	struct rr_route_service *service = data;

	g_free(service->name);
	g_free(service);
}

struct rr_route_table *rr_new_route_table(uint64_t version)
{
	struct rr_route_table *table = g_new0(struct rr_route_table, 1);

	table->refs = 1;
	table->version = version;
	table->routes = g_ptr_array_new_with_free_func(free_route);
	table->by_host_and_prefix =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	table->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						free_service);
	return table;
}

struct rr_route_table *rr_keep_route_table(struct rr_route_table *table)
{
	table->refs++;
	return table;
}

void rr_drop_route_table(struct rr_route_table *table)
{
	if (!table || --table->refs)
		return;
	g_hash_table_unref(table->by_host_and_prefix);
	g_hash_table_unref(table->services);
	g_ptr_array_unref(table->routes);
	rr_drop_account_table(table->accounts);
	g_free(table);
}

static bool is_valid(const struct rr_route *route)
{
	size_t length;

	if (!route->name || !route->host || !route->prefix || !route->n_parts)
		return false;
	length = strlen(route->prefix);
	if (!length || route->prefix[0] != '/' ||
	    route->prefix[length - 1] != '/')
		return false;
	for (size_t i = 0; i < route->n_parts; i++) {
		if (!route->parts[i].service || route->parts[i].weight < 0)
			return false;
	}
	return true;
}

bool rr_add_route(struct rr_route_table *table, struct rr_route *route)
{
	char *key;

	if (!is_valid(route)) {
		free_route(route);
		return false;
	}
	key = g_strconcat(route->host, route->prefix, NULL);
	if (g_hash_table_contains(table->by_host_and_prefix, key)) {
		g_free(key);
		free_route(route);
		return false;
	}
	route->max_attempts = MAX(route->max_attempts, 1);
	g_hash_table_insert(table->by_host_and_prefix, key, route);
	g_ptr_array_add(table->routes, route);
	table->longest_prefix =
		MAX(table->longest_prefix, strlen(route->prefix));
	return true;
}

void rr_add_route_service(struct rr_route_table *table,
			  struct rr_route_service *service)
{
	g_hash_table_replace(table->services, service->name, service);
}

void rr_set_caller_limits(struct rr_route_table *table,
			  const struct rr_caller_limits *limits)
{
	table->limits = *limits;
}

void rr_set_route_accounts(struct rr_route_table *table,
			   struct rr_account_table *accounts)
{
	table->accounts = accounts;
}

const struct rr_account_table *
rr_route_table_accounts(const struct rr_route_table *table)
{
	return table->accounts;
}

uint64_t rr_route_table_version(const struct rr_route_table *table)
{
	return table->version;
}

const struct rr_caller_limits *
rr_table_caller_limits(const struct rr_route_table *table)
{
	return &table->limits;
}

size_t rr_count_routes(const struct rr_route_table *table)
{
	return table->routes->len;
}

const struct rr_route *rr_route_at(const struct rr_route_table *table,
				   size_t index)
{
	return g_ptr_array_index(table->routes, index);
}

/* Append the host in the form used by routes: lower case, without a port. */
static void append_host(GString *key, const char *host)
{
	for (; *host && *host != ':'; host++)
		g_string_append_c(key, g_ascii_tolower(*host));
}

const struct rr_route *rr_find_route(const struct rr_route_table *table,
				     const char *host, const char *path,
				     size_t path_length)
{
	const char *query = memchr(path, '?', path_length);
	const struct rr_route *route = NULL;
	size_t prefix_ends[MAX_PREFIX_DEPTH];
	size_t n_prefix_ends = 0;
	size_t host_length;
	GString *key;

	if (query)
		path_length = (size_t)(query - path);
	path_length = MIN(path_length, table->longest_prefix);
	for (size_t i = 0; i < path_length && n_prefix_ends < MAX_PREFIX_DEPTH;
	     i++) {
		if (path[i] == '/')
			prefix_ends[n_prefix_ends++] = i + 1;
	}
	key = g_string_sized_new(128);
	append_host(key, host);
	host_length = key->len;
	while (n_prefix_ends && !route) {
		g_string_truncate(key, host_length);
		g_string_append_len(key, path,
				    (gssize)prefix_ends[--n_prefix_ends]);
		route = g_hash_table_lookup(table->by_host_and_prefix,
					    key->str);
	}
	g_string_free(key, TRUE);
	return route;
}

const struct rr_route_service *
rr_find_route_service(const struct rr_route_table *table, const char *name)
{
	return g_hash_table_lookup(table->services, name);
}
