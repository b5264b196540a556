/*
 * deployment.h - a whole small deployment as processes: platform and upstream
 * stand-ins and ragwortd instances, for tests of failures.
 *
 * Shard N (from 1) holds the keys [(N-1)*1000, N*1000), every 100th of which
 * has a row.  Its replica J is number (N-1) of upstream process J, in zone
 * (N-1+J) modulo the number of zones; instance I is in zone I modulo it.
 */
#ifndef TESTS_SUPPORT_DEPLOYMENT_H
#define TESTS_SUPPORT_DEPLOYMENT_H

#include "support/process.h"

#define TEST_MAX_INSTANCES 4
#define TEST_SERVICE "/v1/services/desk"

struct test_deployment_options {
	int n_shards;
	int replicas_per_shard; /* replicas of a shard, 1 or 2 */
	int n_zones;
	int n_instances;
	/* The first shard's last keys, this many, are the second's. */
	int n_moved_keys;
	/* Lines of the service's settings, each "    key: value\n". */
	const char *service_settings;
	/* Further lines of each instance's start file; may be NULL. */
	const char *start_file_lines[TEST_MAX_INSTANCES];
};

struct test_deployment {
	struct test_deployment_options options;
	struct test_platform *platform;
	struct test_upstreams *upstreams[2]; /* one a copy */
	struct test_process *instances[TEST_MAX_INSTANCES];
	uint16_t caller_ports[TEST_MAX_INSTANCES]; /* callers' */
	uint16_t peer_ports[TEST_MAX_INSTANCES];
	char *directory; /* start files */
	struct rr_config_record *config_record;
};

/* Start all, put the configuration in force, wait until all are ready. */
struct test_deployment *
test_start_deployment(const struct test_deployment_options *options);
/* Kill what still runs and free. */
void test_drop_deployment(struct test_deployment *d);

/* Start instance i again, after it ended. */
void test_start_instance(struct test_deployment *d, int i);
/* Write instance i's start file anew, with d->options.start_lines[i]. */
void test_write_start_file(struct test_deployment *d, int i);
/* Accept another text of the service's settings; returns its revision. */
uint64_t test_change_settings(struct test_deployment *d,
			      const char *service_settings);
/* Wait until instance i says that it is ready. */
void test_wait_ready(struct test_deployment *d, int i);

/* A number from instance i's metrics, without "ragwort_". */
int64_t test_read_metric(struct test_deployment *d, int i, const char *name);

/* A call that runs in a thread; at most one header pair may be given. */
struct test_pending_request;
struct test_pending_request *test_start_request(uint16_t port, const char *path,
						const char *header,
						const char *value,
						const char *body);
bool test_is_request_pending(struct test_pending_request *pending);
/* Wait for the reply and free the pending call. */
struct test_http_reply *
test_finish_request(struct test_pending_request *pending);

/* A search of every shard at instance i. */
struct test_http_reply *test_search(struct test_deployment *d, int i);
/* A reservation of key 0 under an id. */
struct test_http_reply *test_reserve(struct test_deployment *d, int i,
				     const char *id);
/* An Idempotency-Key made now; freed with g_free(). */
char *test_new_idempotency_key(const char *name);

/*
 * Check a search's reply: status 200, every row of the answer's version,
 * each covered shard's rows all there and none other.  Returns how many
 * shards are lacking.
 */
int test_check_search(struct test_deployment *d,
		      const struct test_http_reply *reply);
/* For test_wait_until(), with a deployment as data. */
/* A search at the first instance covers every shard. */
bool test_search_is_complete(void *deployment);
/* The first shard's first replica is at work. */
bool test_is_first_shard_busy(void *deployment);
/* The reason of the first lacking shard; "" if none is. */
const char *test_missing_reason(const struct test_http_reply *reply);

#endif
