/*
 * context.h - the library context: log, counters and random numbers.
 *
 * A context belongs to one thread.  It is the first argument of every
 * function that may log, count or draw a random number.
 */
#ifndef RAGWORT_CONTEXT_H
#define RAGWORT_CONTEXT_H

#include <glib.h>
#include <stdint.h>

#include "ragwort/log.h"

struct rr_context;

struct rr_context_options {
	/* Seed of the random numbers; the same seed reproduces a run. */
	uint32_t seed;
	struct rr_log_options log;
};

/*
 * Create a context with one reference, released with rr_drop_context().
 * NULL options give seed 0 and discard all log lines.  Never fails.
 */
struct rr_context *rr_new_context(const struct rr_context_options *options);
/* Add a reference and return `ctx`. */
struct rr_context *rr_keep_context(struct rr_context *ctx);
/* Drop a reference; the last one frees the context.  NULL is ignored. */
void rr_drop_context(struct rr_context *ctx);

/* Draw a uniform random number. */
uint32_t rr_random_u32(struct rr_context *ctx);
uint64_t rr_random_u64(struct rr_context *ctx);
/* Draw a uniform random number in [0, limit); limit must not be 0. */
uint32_t rr_random_below(struct rr_context *ctx, uint32_t limit);
/* Draw a uniform random number in [0, 1). */
double rr_random_unit(struct rr_context *ctx);

#endif
