/*
 * log-writer.c - a bounded buffer for log lines to standard output.
 *
 * A reader that stalls must not delay requests: lines that do not fit into the
 * buffer are dropped, and a later line reports how many.
 */
#include "gateway/log-writer.h"

#include <glib.h>
#include <limits.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

/* About 10 s of lines at the usual rate limit. */
#define MAX_BUFFERED_BYTES (256 * 1024)

static GString *buffer;
static uint64_t n_dropped;

void rr_buffer_log_line(void *data, enum rr_log_level level, const char *line)
{
	if (!buffer)
		buffer = g_string_sized_new(4096);
	if (buffer->len + strlen(line) > MAX_BUFFERED_BYTES) {
		n_dropped++;
		return;
	}
	if (n_dropped) {
		g_string_append_printf(buffer,
				       "level=warning event=lines-left-out "
				       "lines=%" G_GUINT64_FORMAT "\n",
				       n_dropped);
		n_dropped = 0;
	}
	g_string_append(buffer, line);
	g_string_append_c(buffer, '\n');
}

int rr_has_buffered_log_lines(void)
{
	return buffer && buffer->len;
}

static gboolean is_stdout_writable(void)
{
	struct pollfd fd = { .fd = STDOUT_FILENO, .events = POLLOUT };

	return poll(&fd, 1, 0) == 1 && (fd.revents & POLLOUT);
}

void rr_flush_log(void)
{
	/*
	 * A pipe that poll() reports as writable accepts PIPE_BUF bytes without
	 * blocking.
	 */
	while (rr_has_buffered_log_lines() && is_stdout_writable()) {
		ssize_t n = write(STDOUT_FILENO, buffer->str,
				  MIN(buffer->len, (gsize)PIPE_BUF));

		if (n <= 0)
			return;
		g_string_erase(buffer, 0, n);
	}
}
