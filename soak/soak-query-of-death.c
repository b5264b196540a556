/*
 * soak-query-of-death.c - queries of death.
 *
 * Callers repeat them, each time with a new id, and replicas count how often
 * they receive them.
 */
#include <string.h>

#include "soak.h"

/* Share of queries of death in all requests. */
#define QUERY_OF_DEATH_SHARE 0.005
/* Time after which the content of the queries of death changes. */
#define EPOCH_US (20000 * MS)
#define RESTART_DELAY_MS 400
#define QUARANTINE_CRASHES 3
/* Time after the third crash from which the quarantine is checked. */
#define SETTLED_US (4500 * MS)
#define FAULT_MARGIN_US (500 * MS)
#define MAX_LATE 3

struct query_of_death {
	uint32_t crashes;
	int64_t third_crash_us; /* time of the third crash; 0: not yet */
	uint32_t n_late;	/* received SETTLED_US after the third crash */
};

void soak_draw_query_of_death(struct soak *soak, struct soak_request *request)
{
	int64_t epoch = g_get_monotonic_time() / EPOCH_US;

	if (soak_chance(soak, QUERY_OF_DEATH_SHARE))
		g_snprintf(request->query_of_death,
			   sizeof(request->query_of_death), "deadly-%d-%d",
			   (int)(epoch % 10000), (int)request->kind);
}

static struct query_of_death *
get_query_of_death(struct soak *soak, const struct soak_request *request)
{
	struct query_of_death *query_of_death = g_hash_table_lookup(
		soak->queries_of_death, request->query_of_death);

	if (!query_of_death) {
		query_of_death = g_new0(struct query_of_death, 1);
		g_hash_table_insert(soak->queries_of_death,
				    g_strdup(request->query_of_death),
				    query_of_death);
	}
	return query_of_death;
}

void soak_check_query_of_death(struct soak *soak,
			       const struct soak_request *request)
{
	struct query_of_death *query_of_death;
	int64_t now_us = g_get_monotonic_time();

	if (!request->query_of_death[0] || request->n_executions)
		return;
	query_of_death = get_query_of_death(soak, request);
	if (!soak->options.check_timing || !query_of_death->third_crash_us ||
	    now_us - query_of_death->third_crash_us < SETTLED_US ||
	    !soak_is_fault_free_since(soak, NULL, now_us - FAULT_MARGIN_US))
		return;
	if (++query_of_death->n_late > MAX_LATE)
		soak_report_violation(
			soak, "BUDGET",
			"%s arrived as %s, %u times after three replicas "
			"had crashed on it",
			request->query_of_death, request->id,
			query_of_death->n_late);
}

static gboolean restart(gpointer data)
{
	struct soak_replica *replica = data;
	char service[sizeof(replica->service)];

	g_strlcpy(service, replica->service, sizeof(service));
	if (!replica->up)
		soak_restart_replica(replica, service);
	return G_SOURCE_REMOVE;
}

void soak_crash_on_query_of_death(struct soak_replica *replica,
				  const char *request_id)
{
	struct soak *soak = replica->soak;
	struct query_of_death *query_of_death = get_query_of_death(
		soak, g_hash_table_lookup(soak->requests, request_id));

	if (!replica->up)
		return;
	soak->crashes++;
	if (++query_of_death->crashes == QUARANTINE_CRASHES)
		query_of_death->third_crash_us = g_get_monotonic_time();
	soak_crash_replica(replica);
	g_timeout_add(RESTART_DELAY_MS, restart, replica);
}
