/*
 * call-counts.h - Call counters by key prefix and the rate limit of the
 * platform stand-in.
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
	uint32_t max_writes_per_s; /* writes per second; 0: unlimited */
	int64_t current_second;	   /* monotonic time, seconds */
	uint32_t reads;		   /* in the current second */
	uint32_t writes;	   /* in the current second */
};

struct test_call_counts;

struct test_call_counts *test_new_call_counts(void);
void test_drop_call_counts(struct test_call_counts *counts);
/*
 * Return the counters for the key's prefix, the part before the first slash.
 * Creates them if they do not exist; `counts` owns them.
 */
struct test_prefix_counts *
test_get_prefix_counts(struct test_call_counts *counts, const char *key);
/* Format all counters as a JSON object; free it with g_free(). */
char *test_format_call_counts(const struct test_call_counts *counts);

/*
 * Count a call and return true if it exceeds the rate limit.  The platform
 * rejects such a call without executing it.
 */
bool test_rate_limit_call(struct test_call_rate_limiter *rate, bool write);

#endif
