/*
 * standin-replica.h - a replica of the stand-in upstream: its options and
 * faults, the state it reports and the rows it generates.
 */
#ifndef TESTS_SUPPORT_STANDIN_REPLICA_H
#define TESTS_SUPPORT_STANDIN_REPLICA_H

#include <json-glib/json-glib.h>

#include "support/raw-http.h"

enum test_fault_kind {
	TEST_FAULT_NONE,
	/* Close each connection immediately after accepting it. */
	TEST_FAULT_RESET,
	TEST_FAULT_NO_REPLY,	   /* run the request, close without a reply */
	TEST_FAULT_HALF_BODY,	   /* close in the middle of the reply body */
	TEST_FAULT_TRUNCATED_JSON, /* complete reply whose JSON is truncated */
	TEST_FAULT_REFUSED,	   /* close the listening socket */
	TEST_FAULT_REDIRECT,  /* run the request, answer 307 to the same URL */
	TEST_FAULT_CHALLENGE, /* run the request, answer 401 with a challenge */
};

struct test_replica {
	int index;
	struct test_server server;
	GQueue waiting; /* struct test_connection, waiting for a slot */
	int running;
	/* Options and faults; all integers are 64 bits wide. */
	int64_t slots;
	int64_t queue;
	int64_t max_connections;
	int64_t connect_ms;
	int64_t service_ms;
	int64_t slow_ms;
	int64_t shed;
	int64_t oldest_version;
	int64_t newest_version;
	int64_t map_epoch;
	int64_t range_from;
	int64_t range_to;
	double service_time_factor;
	double slow_share;
	double reported_load; /* negative: the true load */
	enum test_fault_kind fault;
	const char *state;
	/* State in health and replies; NULL: the true state. */
	const char *reported_state;
	int64_t cold_until_us;
	int64_t draining_since_us;
	/* Counters. */
	int64_t requests;
	int64_t ran;
	int64_t cancelled;
	int64_t cancel_calls;
	int64_t abandoned;
	int64_t accepted;
	int64_t peak_connections;
	int64_t last_after_drain_ms;
};

/*
 * State and load as reported in replies and health: the true ones, or the
 * overrides.
 */
const char *test_reported_state(const struct test_replica *replica);
double test_reported_load(const struct test_replica *replica);
/* Append the rows of [from, to) as JSON; returns their number. */
int64_t test_append_rows(GString *out, const char *shard, int64_t from,
			 int64_t to, int64_t step, int64_t version,
			 int64_t limit, bool *more);
/* Set an option from a member of POST /control; unknown names are ignored. */
void test_set_replica_option(struct test_replica *replica, const char *name,
			     JsonNode *node);
/* Append the counters of a replica as a JSON object. */
void test_append_replica_counts(GString *out,
				const struct test_replica *replica);

#endif
