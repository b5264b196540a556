/*
 * crowd.h - many clients of a process that hold connections and send what they
 * like, and the limits that the process has to stay within.
 */
#ifndef TESTS_SUPPORT_CROWD_H
#define TESTS_SUPPORT_CROWD_H

#include <sys/types.h>

#include "support/raw-peer.h"

#define TEST_MAX_CROWD 150
#define TEST_CROWD_TIMEOUT_US (60 * G_USEC_PER_SEC)

struct test_crowd {
	struct raw_peer *peers[TEST_MAX_CROWD];
	int n;
};

/*
 * Connect `n` more clients to IP:PORT, each of which sends `text`, or as much of
 * it as the process reads before it closes the connection.
 */
void test_add_crowd(struct test_crowd *crowd, int n, const char *address,
		    const char *text);
void test_drop_crowd(struct test_crowd *crowd);

/*
 * Let processes that are started from now on return freed memory, which
 * AddressSanitizer keeps otherwise.
 */
void test_limit_sanitizer_memory(void);
/*
 * Wait until the process has read what it was sent, and assert that its peak of
 * memory and its open descriptors are within the limits.
 */
void test_assert_process_limits(pid_t pid, int64_t max_memory_kb,
				int max_descriptors);

#endif
