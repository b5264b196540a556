/*
 * log-writer.c - a bounded buffer before standard output.
 *
 * A reader that stalls must not stall requests: what does not fit any more is
 * left out, and a line says how many were.
 */
#include "gateway/log-writer.h"

#include <glib.h>
#include <limits.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

/* About ten seconds of lines at the usual bound. */
#define MOST_BYTES (256 * 1024)

static GString *kept;
static uint64_t left_out;

void rr_buffer_log_line(void *data, enum rr_log_level level, const char *line)
{
	if (!kept)
		kept = g_string_sized_new(4096);
	if (kept->len + strlen(line) > MOST_BYTES) {
		left_out++;
		return;
	}
	if (left_out) {
		g_string_append_printf(kept,
				       "level=warning event=lines-left-out "
				       "lines=%" G_GUINT64_FORMAT "\n",
				       left_out);
		left_out = 0;
	}
	g_string_append(kept, line);
	g_string_append_c(kept, '\n');
}

int rr_has_buffered_log_lines(void)
{
	return kept && kept->len;
}

static gboolean takes_bytes(void)
{
	struct pollfd fd = { .fd = STDOUT_FILENO, .events = POLLOUT };

	return poll(&fd, 1, 0) == 1 && (fd.revents & POLLOUT);
}

void rr_flush_log(void)
{
	/* A pipe that is writable takes this much without blocking. */
	while (rr_has_buffered_log_lines() && takes_bytes()) {
		ssize_t n = write(STDOUT_FILENO, kept->str,
				  MIN(kept->len, (gsize)PIPE_BUF));

		if (n <= 0)
			return;
		g_string_erase(kept, 0, n);
	}
}
