/*
 * token-budget.c - token bucket for extra attempts, and a latency histogram.
 */
#include "core/token-budget.h"

#include <glib.h>
#include <math.h>

/* Buckets of the histogram: each about 15 % wide, the first from 50 us. */
#define SKETCH_MIN_US 50.0
#define SKETCH_STEP 1.15
/*
 * Counts are halved at this total, so that the last few thousand attempts
 * dominate.
 */
#define SKETCH_MAX_TOTAL 8192
/* With fewer samples no quantile is estimated. */
#define SKETCH_MIN_SAMPLES 20

void rr_set_token_budget(struct rr_token_budget *budget, double ratio,
			 double cap, double initial)
{
	bool is_new = budget->cap <= 0;

	budget->ratio = ratio;
	budget->cap = ratio > 0 ? cap : 0;
	if (is_new)
		budget->tokens = initial;
	budget->tokens = MIN(budget->tokens, budget->cap);
}

void rr_earn_token(struct rr_token_budget *budget)
{
	budget->tokens = MIN(budget->cap, budget->tokens + budget->ratio);
}

bool rr_take_tokens(struct rr_token_budget *budget, double n)
{
	if (budget->tokens < n)
		return false;
	budget->tokens -= n;
	return true;
}

static size_t bucket_of(int64_t latency_us)
{
	double index;

	if (latency_us <= (int64_t)SKETCH_MIN_US)
		return 0;
	index = log((double)latency_us / SKETCH_MIN_US) / log(SKETCH_STEP);
	return MIN((size_t)index, RR_SKETCH_BUCKETS - 1);
}

void rr_add_latency(struct rr_latency_sketch *sketch, int64_t latency_us)
{
	sketch->counts[bucket_of(latency_us)]++;
	if (++sketch->total < SKETCH_MAX_TOTAL)
		return;
	sketch->total = 0;
	for (size_t i = 0; i < RR_SKETCH_BUCKETS; i++) {
		sketch->counts[i] /= 2;
		sketch->total += sketch->counts[i];
	}
}

int64_t rr_sketch_quantile_us(const struct rr_latency_sketch *sketch,
			      double quantile)
{
	uint32_t rank = (uint32_t)ceil(quantile * sketch->total);
	uint32_t cumulative = 0;

	if (sketch->total < SKETCH_MIN_SAMPLES)
		return 0;
	for (size_t i = 0; i < RR_SKETCH_BUCKETS; i++) {
		cumulative += sketch->counts[i];
		if (cumulative >= rank)
			return (int64_t)(SKETCH_MIN_US *
					 pow(SKETCH_STEP, (double)(i + 1)));
	}
	return (int64_t)(SKETCH_MIN_US * pow(SKETCH_STEP, RR_SKETCH_BUCKETS));
}

double rr_budget_used_fraction(const struct rr_token_budget *budget)
{
	return budget->cap > 0 ? 1.0 - budget->tokens / budget->cap : 1;
}

int64_t rr_hedge_threshold_us(double used_fraction, int64_t min_us,
			      int64_t max_us)
{
	if (max_us < min_us)
		return min_us;
	return min_us + (int64_t)(used_fraction * (double)(max_us - min_us));
}
