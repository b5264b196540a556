/*
 * token-budget.h - tokens for extra attempts, and a sketch of attempt times: small
 * records that know neither query nor core.
 */
#ifndef RAGWORT_CORE_BUDGET_H
#define RAGWORT_CORE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* Tokens earned by needed attempts and spent on extra ones. */
struct rr_token_budget {
	double tokens;
	double ratio;
	double cap;
};

#define RR_SKETCH_BUCKETS 96

/* Attempt times of one kind of work; old ones fade by halving. */
struct rr_latency_sketch {
	uint32_t counts[RR_SKETCH_BUCKETS];
	uint32_t total;
};

/* Set ratio and cap; a new budget starts with `first` tokens. */
void rr_set_token_budget(struct rr_token_budget *budget, double ratio,
			 double cap, double first);
void rr_earn_token(struct rr_token_budget *budget);
bool rr_take_tokens(struct rr_token_budget *budget, double n);

void rr_add_latency(struct rr_latency_sketch *sketch, int64_t took_us);
/* In microseconds; 0 while there are too few. */
int64_t rr_sketch_quantile_us(const struct rr_latency_sketch *sketch,
			      double quantile);
/* The part of the cap that is spent, 0 to 1. */
double rr_budget_used_fraction(const struct rr_token_budget *budget);
/*
 * The price of a hedge as the time an attempt must have taken: the `cheap`
 * time while little of what is allowed is used, growing to `dear` as it runs
 * out, so that the last goes to what is certainly slow.
 */
int64_t rr_hedge_threshold_us(double used, int64_t cheap_us, int64_t dear_us);

#endif
