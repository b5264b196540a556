/*
 * process.h - Programs under test and stand-ins as separate processes.
 *
 * Programs are located relative to the running test: build/tests/NAME looks
 * in build/ and build/standin/.
 */
#ifndef TESTS_SUPPORT_PROCESS_H
#define TESTS_SUPPORT_PROCESS_H

#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Time limit for an expected event; the test fails after it. */
#define TEST_TIMEOUT_MS 30000

struct test_process {
	GSubprocess *handle;
	GDataInputStream *output; /* standard output; NULL unless requested */
	pid_t pid;
};

/*
 * Start build/PROGRAM.  `arguments` is NULL-terminated, or NULL.  With
 * `read_output` its standard output can be read from `output`.  Aborts on
 * failure.
 */
struct test_process *test_start_process(const char *program,
					const char *const *arguments,
					bool read_output);
/* The same, with the standard output written to `log_file`. */
struct test_process *test_start_logged_process(const char *program,
					       const char *const *arguments,
					       const char *log_file);
/* The same with SIGHUP ignored, as by a service manager or nohup(1). */
struct test_process *test_start_ignoring_hangup(const char *program,
						const char *const *arguments,
						const char *log_file);
/* Start a gateway with this settings file.  Aborts on failure. */
struct test_process *test_start_gateway(const char *settings_path);
void test_signal_process(struct test_process *process, int signal_number);
/* Wait for exit; returns the exit code, or -1 if a signal ended the process. */
int test_wait_process(struct test_process *process);
/* Kill the process if it still runs, wait for it and free it; NULL allowed. */
void test_drop_process(struct test_process *process);

#define TEST_MAX_REPLICAS 64

struct test_upstreams {
	struct test_process *process;
	uint16_t control_port;
	uint16_t ports[TEST_MAX_REPLICAS];
	int n_replicas;
};

/*
 * Start the upstream stand-in and wait until it is ready.  `arguments` holds
 * further arguments, NULL-terminated, or is NULL.  Aborts on failure.
 */
struct test_upstreams *test_start_upstreams(int n_replicas,
					    const char *const *arguments);
void test_drop_upstreams(struct test_upstreams *upstreams);
struct test_platform {
	struct test_process *process;
	uint16_t port;
	uint16_t control_port;
};

/* Start the platform stand-in and wait for its ports.  Aborts on failure. */
struct test_platform *test_start_platform(void);
void test_drop_platform(struct test_platform *platform);

/* Send POST /control to a stand-in; aborts unless the reply is a 200. */
void test_post_control(uint16_t control_port, const char *json);
/*
 * Return a number from GET /control/counts of one replica, or, with `replica`
 * -1, of the whole process; 0 if the member is absent.
 */
int64_t test_read_count(const struct test_upstreams *upstreams, int replica,
			const char *name);
/* Return how many times the requests of an idempotency key were executed. */
int64_t test_read_run_count(const struct test_upstreams *upstreams,
			    const char *key);

struct test_http_reply {
	uint32_t status; /* 0: no reply received */
	char *body;
	JsonNode *json;	   /* NULL if the body is not JSON */
	char *retry_after; /* Retry-After header; NULL if absent */
};

/*
 * Send an HTTP request over a new connection and block until the reply.
 * `headers` holds name and value pairs, NULL-terminated, or is NULL.  Free the
 * reply with test_drop_reply().
 */
struct test_http_reply *test_http_request(const char *method, uint16_t port,
					  const char *path,
					  const char *const *headers,
					  const char *body);
/* The same from another thread, while this one runs its main loop. */
struct test_http_reply *
test_http_request_in_thread(const char *method, uint16_t port, const char *path,
			    const char *const *headers, const char *body);
void test_drop_reply(struct test_http_reply *reply);
/* Return a top-level string member of a reply's JSON; "" if absent. */
const char *test_get_reply_string(const struct test_http_reply *reply,
				  const char *name);

/* Run the main loop until *done; aborts after TEST_TIMEOUT_MS. */
void test_run_until(const bool *done);
/*
 * Call `condition` every 20 ms until it returns true.  Returns false after
 * TEST_TIMEOUT_MS.
 */
bool test_wait_until(bool (*condition)(void *data), void *data);

#endif
