/*
 * bench-scrape.h - reads counters of instances and of upstream stand-ins, which
 * simulate replicas, over HTTP.
 */
#ifndef TOOL_BENCH_SCRAPE_H
#define TOOL_BENCH_SCRAPE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct rr_credentials;

/* Metrics of an instance, from GET /metrics. */
enum rr_bench_metric {
	RR_BENCH_CPU_MS,
	RR_BENCH_RESIDENT_BYTES,
	RR_BENCH_REQUESTS,
	RR_BENCH_ATTEMPTS,
	RR_BENCH_HEDGES,
	RR_BENCH_RETRIES,
	RR_BENCH_REJECTED, /* attempts rejected by an upstream */
	RR_BENCH_RELAYS_SENT,
	RR_BENCH_PEER_MESSAGES,
	RR_BENCH_METRIC_COUNT,
};

struct rr_bench_instance {
	const char *address;
	bool answered; /* false: all values are 0 */
	uint64_t values[RR_BENCH_METRIC_COUNT];
};

/* Counters of a replica of a stand-in, from GET /control/counts. */
struct rr_bench_replica {
	const char *control_address;
	int64_t replica_number;
	int64_t requests;
	int64_t connections_opened;
	int64_t peak_connections; /* maximum since the stand-in started */
};

struct rr_bench_scrape {
	GArray *instances; /* struct rr_bench_instance */
	GArray *replicas;  /* struct rr_bench_replica */
	int64_t scraped_us;
};

/*
 * Query all addresses (NULL-terminated lists of IP:PORT, which must outlive
 * the result).  An instance that does not answer has zero values; a stand-in
 * that does not answer has no replicas in the result.
 */
struct rr_bench_scrape *
rr_scrape_bench_metrics(char *const *instances, char *const *control_addresses,
			const struct rr_credentials *credentials);
void rr_drop_bench_scrape(struct rr_bench_scrape *scrape);

#endif
