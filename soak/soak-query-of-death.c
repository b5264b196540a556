/*
 * soak-query-of-death.c - queries of death: callers repeat them, with a new id each
 * time, and replicas count how often they receive them.
 */
#include <string.h>

#include "soak.h"

/* Share of all requests. */
#define SHARE 0.005
/* Lifetime of one query of death of each kind. */
#define EPOCH_US (20000 * MS)
#define RESTART_MS 400
#define CRASHES 3
/* Time after the third crash from which quarantine is checked. */
#define SETTLED_US (4500 * MS)
#define MARGIN_US (500 * MS)
#define MOST_LATE 3

struct deadly {
	uint32_t crashes;
	int64_t third_us; /* time of the third crash, or 0 */
	uint32_t late;	  /* requests received later than SETTLED_US */
};

void soak_draw_query_of_death(struct soak *soak, struct soak_request *request)
{
	int64_t epoch = g_get_monotonic_time() / EPOCH_US;

	if (soak_chance(soak, SHARE))
		g_snprintf(request->query_of_death,
			   sizeof(request->query_of_death), "deadly-%d-%d",
			   (int)(epoch % 10000), (int)request->kind);
}

static struct deadly *deadly_of(struct soak *soak,
				const struct soak_request *request)
{
	struct deadly *deadly = g_hash_table_lookup(soak->queries_of_death,
						    request->query_of_death);

	if (!deadly) {
		deadly = g_new0(struct deadly, 1);
		g_hash_table_insert(soak->queries_of_death,
				    g_strdup(request->query_of_death), deadly);
	}
	return deadly;
}

void soak_check_query_of_death(struct soak *soak,
			       const struct soak_request *request)
{
	struct deadly *deadly;
	int64_t now_us = g_get_monotonic_time();

	if (!request->query_of_death[0] || request->n_executions)
		return;
	deadly = deadly_of(soak, request);
	if (!soak->options.check_timing || !deadly->third_us ||
	    now_us - deadly->third_us < SETTLED_US ||
	    !soak_is_fault_free_since(soak, NULL, now_us - MARGIN_US))
		return;
	if (++deadly->late > MOST_LATE)
		soak_report_violation(
			soak, "BUDGET",
			"%s came as %s %u times after three replicas "
			"had crashed under it",
			request->query_of_death, request->id, deadly->late);
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
	struct deadly *deadly = deadly_of(
		soak, g_hash_table_lookup(soak->requests, request_id));

	if (!replica->up)
		return;
	soak->crashes++;
	if (++deadly->crashes == CRASHES)
		deadly->third_us = g_get_monotonic_time();
	soak_crash_replica(replica);
	g_timeout_add(RESTART_MS, restart, replica);
}
