/*
 * log-writer.h - log lines to standard output, bounded and never blocking.
 */
#ifndef RAGWORT_LOG_WRITER_H
#define RAGWORT_LOG_WRITER_H

#include <stdint.h>

#include "ragwort/log.h"

/* For struct rr_log_options: keeps the line until it can be written. */
void rr_buffer_log_line(void *data, enum rr_log_level level, const char *line);
/* Write what the reader takes at once; the rest stays. */
void rr_flush_log(void);
/* Whether lines wait to be written. */
int rr_has_buffered_log_lines(void);

#endif
