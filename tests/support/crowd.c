/*
 * crowd.c - many clients of a process, on plain sockets.
 */
#include "support/crowd.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

/* Send more of `text`; false if all is sent or the process refused it. */
static bool send_rest(struct raw_peer *peer, const char *text, size_t *sent)
{
	ssize_t n = send(peer->fd, text + *sent, strlen(text) - *sent,
			 MSG_DONTWAIT | MSG_NOSIGNAL);

	if (n < 0)
		return errno == EAGAIN;
	*sent += (size_t)n;
	return text[*sent];
}

void test_add_crowd(struct test_crowd *crowd, int n, const char *address,
		    const char *text)
{
	struct raw_peer **peers = crowd->peers + crowd->n;
	int64_t deadline_us = g_get_monotonic_time() + TEST_CROWD_TIMEOUT_US;
	size_t sent[TEST_MAX_CROWD] = { 0 };
	bool is_sending = true;

	crowd->n += n;
	g_assert_cmpint(crowd->n, <=, TEST_MAX_CROWD);
	for (int i = 0; i < n; i++)
		peers[i] = raw_connect(address);
	while (is_sending) {
		is_sending = false;
		for (int i = 0; i < n; i++)
			is_sending |= send_rest(peers[i], text, &sent[i]);
		g_assert_cmpint(g_get_monotonic_time(), <, deadline_us);
		raw_run_for(1000);
	}
}

void test_drop_crowd(struct test_crowd *crowd)
{
	for (int i = 0; i < crowd->n; i++)
		raw_drop(crowd->peers[i]);
	crowd->n = 0;
}

void test_limit_sanitizer_memory(void)
{
	const char *set = g_getenv("ASAN_OPTIONS");
	char *options =
		g_strdup_printf("%s:quarantine_size_mb=1", set ? set : "");

	g_setenv("ASAN_OPTIONS", options, true);
	g_free(options);
}

static int64_t read_peak_kb(pid_t pid)
{
	static const char field[] = "VmHWM:";
	char *path = g_strdup_printf("/proc/%d/status", (int)pid);
	char *text = NULL;
	const char *line;
	int64_t kb;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	line = strstr(text, field);
	g_assert_nonnull(line);
	kb = g_ascii_strtoll(line + strlen(field), NULL, 10);
	g_free(text);
	g_free(path);
	return kb;
}

static int count_descriptors(pid_t pid)
{
	char *path = g_strdup_printf("/proc/%d/fd", (int)pid);
	GDir *directory = g_dir_open(path, 0, NULL);
	int n = 0;

	g_assert_nonnull(directory);
	while (g_dir_read_name(directory))
		n++;
	g_dir_close(directory);
	g_free(path);
	return n;
}

void test_assert_process_limits(pid_t pid, int64_t max_memory_kb,
				int max_descriptors)
{
	int64_t peak_kb = 0;

	for (int i = 0; i < 10; i++) {
		int64_t now_kb = read_peak_kb(pid);

		if (now_kb != peak_kb)
			i = 0;
		peak_kb = now_kb;
		raw_run_for(100 * 1000);
	}
	g_assert_cmpint(peak_kb, <=, max_memory_kb);
	g_assert_cmpint(count_descriptors(pid), <=, max_descriptors);
}
