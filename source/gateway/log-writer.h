/*
 * log-writer.h - bounded, non-blocking log output to standard output.
 */
#ifndef RAGWORT_LOG_WRITER_H
#define RAGWORT_LOG_WRITER_H

#include <stdint.h>

#include "ragwort/log.h"

/*
 * Buffer a line until it can be written, or drop it if the buffer is full.  For
 * the member `write` of struct rr_log_options.
 */
void rr_buffer_log_line(void *data, enum rr_log_level level, const char *line);
/* Write as much as possible without blocking; the rest stays buffered. */
void rr_flush_log(void);
/* Whether any lines are still to be written. */
int rr_has_buffered_log_lines(void);

#endif
