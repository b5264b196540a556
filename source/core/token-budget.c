/*
 * token-budget.c - token budgets for extra attempts, and the sketch of attempt
 * times that hedges are set by.
 */
#include "core/token-budget.h"

#include <glib.h>
#include <math.h>

/* Buckets of the sketch: each about 15 % wide, from 50 us up. */
#define SKETCH_FLOOR_US 50.0
#define SKETCH_STEP 1.15
/* Counts are halved here, so that the last few thousand attempts decide. */
#define SKETCH_FULL 8192
#define SKETCH_FEWEST 20

void rr_set_token_budget(struct rr_token_budget *budget, double ratio,
			 double cap, double first)
{
	bool is_new = budget->cap <= 0;

	budget->ratio = ratio;
	budget->cap = ratio > 0 ? cap : 0;
	if (is_new)
		budget->tokens = first;
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

static size_t bucket_of(int64_t took_us)
{
	double at;

	if (took_us <= (int64_t)SKETCH_FLOOR_US)
		return 0;
	at = log((double)took_us / SKETCH_FLOOR_US) / log(SKETCH_STEP);
	return MIN((size_t)at, RR_SKETCH_BUCKETS - 1);
}

void rr_add_latency(struct rr_latency_sketch *sketch, int64_t took_us)
{
	sketch->counts[bucket_of(took_us)]++;
	if (++sketch->total < SKETCH_FULL)
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
	uint32_t wanted = (uint32_t)ceil(quantile * sketch->total);
	uint32_t seen = 0;

	if (sketch->total < SKETCH_FEWEST)
		return 0;
	for (size_t i = 0; i < RR_SKETCH_BUCKETS; i++) {
		seen += sketch->counts[i];
		if (seen >= wanted)
			return (int64_t)(SKETCH_FLOOR_US *
					 pow(SKETCH_STEP, (double)(i + 1)));
	}
	return (int64_t)(SKETCH_FLOOR_US * pow(SKETCH_STEP, RR_SKETCH_BUCKETS));
}

double rr_budget_used_fraction(const struct rr_token_budget *budget)
{
	return budget->cap > 0 ? 1.0 - budget->tokens / budget->cap : 1;
}

int64_t rr_hedge_threshold_us(double used, int64_t cheap_us, int64_t dear_us)
{
	if (dear_us < cheap_us)
		return cheap_us;
	return cheap_us + (int64_t)(used * (double)(dear_us - cheap_us));
}
