/*
 * tool-run.h - runs `ragwort` as a process, against the platform stand-in.
 */
#ifndef TESTS_SUPPORT_TOOL_RUN_H
#define TESTS_SUPPORT_TOOL_RUN_H

#include "support/process.h"

struct tool_run {
	bool done;
	int exit_code;
	char *out;
	char *err;
};

/*
 * Run `ragwort` with the given arguments (NULL-terminated) and wait until it
 * exits.  Release with test_drop_tool_run().
 */
struct tool_run *test_run_tool(const char *first, ...) G_GNUC_NULL_TERMINATED;
void test_drop_tool_run(struct tool_run *run);
/*
 * Check the exit code and that the output contains the given texts (NULL for
 * any), then release the run.
 */
void test_expect_output(struct tool_run *run, int code, const char *out,
			const char *err);

/* Create a temporary file; return its path for test_remove_temp_file(). */
char *test_write_temp_file(const char *text);
/* Delete a temporary file and free its path. */
void test_remove_temp_file(char *path);

/* Platform stand-in, and an instance that uses it. */
struct platform_fixture {
	struct test_platform *standin;
	char *address;
	GSubprocess *daemon; /* started by the test; NULL if none */
};

/* Fixture functions: *state is a struct platform_fixture. */
int test_set_up_platform(void **state);
/* Ends the instance, also after a failed test. */
int test_tear_down_platform(void **state);

/*
 * Format of a small base file; arguments: ledger_buckets, deadline_ms and the
 * end of the key range.
 */
#define TEST_BASE_CONFIG_FORMAT                \
	"ledger_buckets: %d\n"                 \
	"services:\n"                          \
	"  - name: desk\n"                     \
	"    deadline_ms: %d\n"                \
	"    shards:\n"                        \
	"      - name: desk-1\n"               \
	"        keys: [0, %d]\n"              \
	"        replicas: [{id: a, zone: z, " \
	"address: '10.0.0.1:1'}]\n"

#endif
