/*
 * log.h - structured logging, one line per event, as key=value or JSON.
 *
 * A line has a level, an event name and typed fields.  The lines per
 * second of each event are limited, so that a fault cannot flood the log; the
 * number of dropped lines is a field of the event's next line.
 */
#ifndef RAGWORT_LOG_H
#define RAGWORT_LOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct rr_context;

enum rr_log_level {
	RR_LOG_ERROR,
	RR_LOG_WARNING,
	RR_LOG_INFO,
	/* One line for each routing or placement decision. */
	RR_LOG_DECISION,
	RR_LOG_DEBUG,
};

enum rr_log_format {
	RR_LOG_KEY_VALUE,
	RR_LOG_JSON,
};

enum rr_log_field_type {
	RR_LOG_STRING,
	RR_LOG_U64,
	RR_LOG_I64,
	RR_LOG_DOUBLE,
	RR_LOG_BOOL,
};

struct rr_log_field {
	const char *key;
	enum rr_log_field_type type;
	union {
		const char *string;
		uint64_t u64;
		int64_t i64;
		double f64;
		bool boolean;
	} value;
};

#define RR_FIELD_STRING(k, v) \
	((struct rr_log_field){ (k), RR_LOG_STRING, { .string = (v) } })
#define RR_FIELD_U64(k, v) \
	((struct rr_log_field){ (k), RR_LOG_U64, { .u64 = (v) } })
#define RR_FIELD_I64(k, v) \
	((struct rr_log_field){ (k), RR_LOG_I64, { .i64 = (v) } })
#define RR_FIELD_DOUBLE(k, v) \
	((struct rr_log_field){ (k), RR_LOG_DOUBLE, { .f64 = (v) } })
#define RR_FIELD_BOOL(k, v) \
	((struct rr_log_field){ (k), RR_LOG_BOOL, { .boolean = (v) } })

struct rr_log_options {
	/*
	 * Writes one line, which has no line feed; the string is only valid
	 * during the call.  NULL discards all lines.
	 */
	void (*write)(void *data, enum rr_log_level level, const char *line);
	/*
	 * Returns the wall-clock time in microseconds since 1970, for
	 * timestamps and the rate limit.  NULL disables both.
	 */
	int64_t (*clock)(void *data);
	void *data; /* passed to both callbacks */
	enum rr_log_level max_level;
	enum rr_log_format format;
	/* Lines per second of one event; 0 for no limit. */
	uint32_t max_lines_per_s;
};

/*
 * Write one line if the level is enabled and the event is within its rate
 * limit.  Callers use the rr_log() macro, which counts the fields.
 */
void rr_log_fields(struct rr_context *ctx, enum rr_log_level level,
		   const char *event, const struct rr_log_field *fields,
		   size_t n_fields);

/*
 * Return whether lines of this level are written, so that callers can skip
 * building the fields.
 */
bool rr_log_enabled(struct rr_context *ctx, enum rr_log_level level);

/* Change the level, format and rate limit of a context. */
void rr_set_log_options(struct rr_context *ctx, enum rr_log_level max_level,
			enum rr_log_format format, uint32_t max_lines_per_s);

#define rr_log(ctx, level, event, ...)                                     \
	do {                                                               \
		if (rr_log_enabled((ctx), (level))) {                      \
			const struct rr_log_field rr_fields_[] = {         \
				__VA_ARGS__                                \
			};                                                 \
			rr_log_fields((ctx), (level), (event), rr_fields_, \
				      G_N_ELEMENTS(rr_fields_));           \
		}                                                          \
	} while (0)

#endif
