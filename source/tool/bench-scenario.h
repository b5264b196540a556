/*
 * bench-scenario.h - scenario file of `ragwort bench` (YAML).
 */
#ifndef TOOL_BENCH_SCENARIO_H
#define TOOL_BENCH_SCENARIO_H

#include <glib.h>
#include <stdint.h>

#include "ragwort/request.h"
#include "ragwort/settings.h"

/* One kind of request.  A scenario sends a mix of several kinds. */
struct rr_bench_mix_entry {
	char *name;
	enum rr_request_kind kind;
	char *service;
	char *query; /* JSON */
	double rate; /* requests per second */
	uint32_t max_rows;
	uint64_t key_from; /* lookup and reserve: first key of the range */
	uint64_t key_to;   /* end of the range, exclusive */
	bool batch;	   /* send with X-Priority: batch */
};

struct rr_bench_scenario {
	uint32_t duration_s; /* measured time, after the warm-up */
	uint32_t warm_up_s;  /* load before the measurement */
	uint32_t seed;	     /* of the random arrival times and keys */
	uint32_t deadline_ms;
	struct rr_bench_mix_entry *entries;
	size_t n_entries;
};

/*
 * Parse a scenario.  On errors, append them with their lines to an array of
 * struct rr_diagnostic * and return NULL.  Release the result with
 * rr_drop_bench_scenario().
 */
struct rr_bench_scenario *
rr_parse_bench_scenario(const struct rr_settings_source *file,
			GPtrArray *diagnostics);
void rr_drop_bench_scenario(struct rr_bench_scenario *scenario);

#endif
