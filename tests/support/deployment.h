/*
 * deployment.h - A small deployment as processes, for tests of failures.
 *
 * It consists of the platform and upstream stand-ins and ragwortd instances.
 *
 * Shard N (from 1) holds the keys [(N-1)*1000, N*1000), every 100th of which
 * has a row.  Its replica J (from 0) is replica N-1 of upstream process J, in
 * zone (N-1+J) modulo the number of zones.  Instance I is in zone I modulo the
 * number of zones.
 */
#ifndef TESTS_SUPPORT_DEPLOYMENT_H
#define TESTS_SUPPORT_DEPLOYMENT_H

#include "support/process.h"

#define TEST_MAX_INSTANCES 4
#define TEST_SERVICE "/v1/services/desk"

struct test_deployment_options {
	int n_shards;
	int replicas_per_shard; /* 1 or 2 */
	int n_zones;
	int n_instances;
	/* Number of keys moved from the end of shard 1 to shard 2. */
	int n_moved_keys;
	/* Lines of the service's settings, each "    key: value\n", or NULL. */
	const char *service_settings;
	/* Additional lines of each instance's start file; may be NULL. */
	const char *start_file_lines[TEST_MAX_INSTANCES];
};

struct test_deployment {
	struct test_deployment_options options;
	struct test_platform *platform;
	struct test_upstreams *upstreams[2]; /* by replica of a shard */
	struct test_process *instances[TEST_MAX_INSTANCES];
	uint16_t caller_ports[TEST_MAX_INSTANCES];
	uint16_t peer_ports[TEST_MAX_INSTANCES];
	char *directory; /* of the start files */
	struct rr_config_record *config_record;
};

/*
 * Start all processes, write the configuration, and wait until all instances
 * are ready and see each other.
 */
struct test_deployment *
test_start_deployment(const struct test_deployment_options *options);
/* Kill all processes that still run and free the deployment. */
void test_drop_deployment(struct test_deployment *d);

/* Start instance i, also again after it has ended. */
void test_start_instance(struct test_deployment *d, int i);
/* Rewrite instance i's start file, with d->options.start_file_lines[i]. */
void test_write_start_file(struct test_deployment *d, int i);
/*
 * Write a new configuration record with these service settings; returns its
 * revision.  `service_settings` must remain valid.
 */
uint64_t test_change_settings(struct test_deployment *d,
			      const char *service_settings);
/* Wait until instance i reports that it is ready. */
void test_wait_ready(struct test_deployment *d, int i);

/* Read a metric of instance i; `name` omits the prefix "ragwort_". */
int64_t test_read_metric(struct test_deployment *d, int i, const char *name);

/*
 * A POST request that runs in a thread, with one header; with `header` NULL
 * it has none.
 */
struct test_pending_request;
struct test_pending_request *test_start_request(uint16_t port, const char *path,
						const char *header,
						const char *value,
						const char *body);
bool test_is_request_pending(struct test_pending_request *pending);
/* Wait for the reply and free the pending request. */
struct test_http_reply *
test_finish_request(struct test_pending_request *pending);

/* Send a search over all shards to instance i. */
struct test_http_reply *test_search(struct test_deployment *d, int i);
/* Send a reservation of key 0 with an Idempotency-Key to instance i. */
struct test_http_reply *test_reserve(struct test_deployment *d, int i,
				     const char *id);
/* Return an Idempotency-Key created now; free it with g_free(). */
char *test_new_idempotency_key(const char *name);

/*
 * Check the reply to a search: status 200, every row of the answer's index
 * version, all rows of each covered shard and no others.  Returns the number
 * of missing shards.
 */
int test_check_search(struct test_deployment *d,
		      const struct test_http_reply *reply);
/* Conditions for test_wait_until(), with a deployment as data. */
/* Whether a search at the first instance covers every shard. */
bool test_search_is_complete(void *deployment);
/* Whether the first shard's first replica is executing a request. */
bool test_is_first_shard_busy(void *deployment);
/* Return the reason of the first missing shard; "" if none is missing. */
const char *test_missing_reason(const struct test_http_reply *reply);

#endif
