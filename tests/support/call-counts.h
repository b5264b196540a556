/*
 * call-counts.h - the calls that the platform's stand-in has had, by key
 * prefix, and the rate over which it refuses them.
 */
#ifndef TESTS_SUPPORT_CALL_COUNTS_H
#define TESTS_SUPPORT_CALL_COUNTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct test_prefix_counts {
	uint64_t reads;
	uint64_t writes;
	uint64_t watches;
	uint64_t conflicts;
};

struct test_call_rate_limiter {
	uint32_t max_writes_per_s; /* writes per second; 0: none */
	int64_t current_second;
	uint32_t reads;
	uint32_t writes;
};

struct test_call_counts;

struct test_call_counts *test_new_call_counts(void);
void test_drop_call_counts(struct test_call_counts *counts);
/* The calls on keys of the prefix before the first slash; made if new. */
struct test_prefix_counts *
test_get_prefix_counts(struct test_call_counts *counts, const char *key);
/* All as a JSON object; freed with g_free(). */
char *test_format_call_counts(const struct test_call_counts *counts);

/* Over the rate the platform refuses a call, with nothing done for it. */
bool test_rate_limit_call(struct test_call_rate_limiter *rate, bool write);

#endif
