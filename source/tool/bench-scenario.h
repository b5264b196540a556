/*
 * bench-scenario.h - what `ragwort bench` asks, from a YAML file.
 */
#ifndef TOOL_BENCH_SCENARIO_H
#define TOOL_BENCH_SCENARIO_H

#include <glib.h>
#include <stdint.h>

#include "ragwort/request.h"
#include "ragwort/settings.h"

/* One kind of request of the mix, at its own rate. */
struct rr_bench_mix_entry {
	char *name;
	enum rr_request_kind kind;
	char *service;
	char *query; /* JSON */
	double rate; /* requests due each second */
	uint32_t max_rows;
	uint64_t key_from; /* look-ups and reservations: keys drawn from */
	uint64_t key_to;   /* exclusive */
	bool batch;
};

struct rr_bench_scenario {
	uint32_t duration_s; /* measured */
	uint32_t warm_up_s;  /* asked before, and not measured */
	uint32_t seed;
	uint32_t deadline_ms;
	struct rr_bench_mix_entry *entries;
	size_t n_entries;
};

/*
 * Read a scenario.  Faults, with their lines, are appended to an array of
 * struct rr_diagnostic *; NULL when there is any.
 */
struct rr_bench_scenario *
rr_parse_bench_scenario(const struct rr_settings_source *file,
			GPtrArray *faults);
void rr_drop_bench_scenario(struct rr_bench_scenario *scenario);

#endif
