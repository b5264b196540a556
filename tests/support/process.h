/*
 * process.h - programs under test and stand-ins as processes of their own.
 *
 * Programs are found beside the running test: build/tests/NAME looks in
 * build/ and build/standin/.
 */
#ifndef TESTS_SUPPORT_PROCESS_H
#define TESTS_SUPPORT_PROCESS_H

#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

/* How long an event may take before a test gives up. */
#define TEST_TIMEOUT_MS 30000

struct test_process {
	GSubprocess *handle;
	GDataInputStream *output; /* NULL unless asked for */
	pid_t pid;
};

/* Start build/PROGRAM; `arguments` is NULL-terminated. Aborts on failure. */
struct test_process *test_start_process(const char *program,
					const char *const *arguments,
					bool read_output);
/* The same, with its standard output appended to a file. */
struct test_process *test_start_logged_process(const char *program,
					       const char *const *arguments,
					       const char *log_file);
/* Start a gateway with this settings file. Aborts on failure. */
struct test_process *test_start_gateway(const char *settings_path);
void test_signal_process(struct test_process *process, int signal_number);
/* Wait for the end; returns the exit code, -1 if a signal ended it. */
int test_wait_process(struct test_process *process);
/* Kill if it still runs, wait and free. */
void test_drop_process(struct test_process *process);

#define TEST_MAX_REPLICAS 64

struct test_upstreams {
	struct test_process *process;
	uint16_t control_port;
	uint16_t ports[TEST_MAX_REPLICAS];
	int n_replicas;
};

/* Start the upstream stand-in with further arguments (may be NULL). */
struct test_upstreams *test_start_upstreams(int n_replicas,
					    const char *const *arguments);
void test_drop_upstreams(struct test_upstreams *upstreams);
struct test_platform {
	struct test_process *process;
	uint16_t port;
	uint16_t control_port;
};

/* Start the platform stand-in. */
struct test_platform *test_start_platform(void);
void test_drop_platform(struct test_platform *platform);

/* POST /control. */
void test_post_control(uint16_t control_port, const char *json);
/* A number from GET /control/counts; `replica` -1: of the whole. */
int64_t test_read_count(const struct test_upstreams *upstreams, int replica,
			const char *name);
/* How often an idempotency key ran. */
int64_t test_read_run_count(const struct test_upstreams *upstreams,
			    const char *key);

struct test_http_reply {
	uint32_t status; /* 0: no reply */
	char *body;
	JsonNode *json;	   /* NULL if the body is none */
	char *retry_after; /* header, NULL if none */
};

/*
 * A blocking HTTP call over a connection of its own; `headers` are pairs,
 * NULL-terminated, or NULL.
 */
struct test_http_reply *test_http_request(const char *method, uint16_t port,
					  const char *path,
					  const char *const *headers,
					  const char *body);
/* The same from a thread, while this one runs its main loop. */
struct test_http_reply *
test_http_request_in_thread(const char *method, uint16_t port, const char *path,
			    const char *const *headers, const char *body);
void test_drop_reply(struct test_http_reply *reply);
/* A string member at the top of a reply's JSON; "" if there is none. */
const char *test_get_reply_string(const struct test_http_reply *reply,
				  const char *name);

/* Run the main loop until *done; fails the test after TEST_TIMEOUT_MS. */
void test_run_until(const bool *done);
/* Call until it gives true, 20 ms apart; false after TEST_TIMEOUT_MS. */
bool test_wait_until(bool (*condition)(void *data), void *data);

#endif
