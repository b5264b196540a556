/*
 * token-budget.h - token bucket for extra attempts, and a latency histogram.
 *
 * Both are small records, independent of queries and of the core.
 */
#ifndef RAGWORT_CORE_TOKEN_BUDGET_H
#define RAGWORT_CORE_TOKEN_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* Tokens earned by required attempts and spent on extra ones. */
struct rr_token_budget {
	double tokens; /* current level */
	double ratio;  /* tokens earned by each call of rr_earn_token() */
	double cap;    /* maximum level */
};

#define RR_SKETCH_BUCKETS 96

/*
 * Histogram of the latencies of one kind of attempt.  All counts are halved
 * from time to time, so that old samples lose weight.
 */
struct rr_latency_sketch {
	uint32_t counts[RR_SKETCH_BUCKETS];
	uint32_t total;
};

/*
 * Set ratio and cap.  A new budget starts with `initial` tokens.  A ratio of 0
 * sets the cap to 0.
 */
void rr_set_token_budget(struct rr_token_budget *budget, double ratio,
			 double cap, double initial);
/* Add `ratio` tokens, up to the cap. */
void rr_earn_token(struct rr_token_budget *budget);
/* Take `n` tokens.  Return false, and take none, if there are fewer. */
bool rr_take_tokens(struct rr_token_budget *budget, double n);

void rr_add_latency(struct rr_latency_sketch *sketch, int64_t latency_us);
/* Return a quantile in microseconds; 0 if there are too few samples. */
int64_t rr_sketch_quantile_us(const struct rr_latency_sketch *sketch,
			      double quantile);
/* Return the spent fraction of the cap, 0 to 1. */
double rr_budget_used_fraction(const struct rr_token_budget *budget);
/*
 * Return how long an attempt must have been in flight before it is hedged:
 * `min_us` while none of the budget is used, growing linearly to `max_us` as
 * `used_fraction` approaches 1, so that the last hedges go to attempts that are
 * certainly slow.  If `max_us` is less than `min_us`, the result is `min_us`.
 */
int64_t rr_hedge_threshold_us(double used_fraction, int64_t min_us,
			      int64_t max_us);

#endif
