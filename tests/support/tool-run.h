/*
 * tool-run.h - `ragwort` as operators run it: a process with its exit code
 * and what it prints; and the platform's stand-in for it.
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

/* Run `ragwort` with the words given, NULL-terminated, to its end. */
struct tool_run *test_run_tool(const char *first, ...) G_GNUC_NULL_TERMINATED;
void test_drop_tool_run(struct tool_run *run);
/* Check exit code and a part of what was printed, then drop the run. */
void test_expect_output(struct tool_run *run, int code, const char *out,
			const char *err);

/* A file of the test's own with the given text. */
char *test_write_temp_file(const char *text);
/* Delete it and free its name. */
void test_remove_temp_file(char *path);

/* The platform's stand-in, and an instance that goes by it. */
struct platform_fixture {
	struct test_platform *standin;
	char *address;
	GSubprocess *daemon; /* an instance that a test started; NULL: none */
};

/* A fixture's set-up and tear-down: *state is a struct platform_fixture. */
int test_set_up_platform(void **state);
/* Runs after a failed test too: no process is left behind. */
int test_tear_down_platform(void **state);

/* A small base file: ledger_buckets, deadline_ms, end of the keys. */
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
