/*
 * retry-budget.h - how many extra attempts a service may get: in any window, a
 * share of its requests and so many more.
 *
 * A leaf: it knows neither requests nor replicas.  Unlike a bucket of tokens,
 * whose savings come back only as requests earn them, the slack is there anew
 * for each window.
 */
#ifndef RAGWORT_CORE_ALLOWANCE_H
#define RAGWORT_CORE_ALLOWANCE_H

#include <stdbool.h>
#include <stdint.h>

/* Slots of a window; what it is off by is one of them, always too strict. */
#define RR_RETRY_BUDGET_SLOTS 20

struct rr_retry_budget {
	double ratio;
	double slack;
	int64_t slot_us;
	int64_t slack_from_us; /* no slack before */
	int64_t newest_slot;   /* number of the newest slot */
	uint32_t earned[RR_RETRY_BUDGET_SLOTS + 1];
	uint32_t spent[RR_RETRY_BUDGET_SLOTS + 1];
	uint32_t earned_sum; /* of all slots; asked for at each step */
	uint32_t spent_sum;
};

/*
 * A new one.  A process that began at `began_us` has no slack for a window.
 * Guards against a restart that spends its part of one window twice.
 */
void rr_init_retry_budget(struct rr_retry_budget *allowance, int64_t window_us,
			  int64_t began_us);
/* Set what is allowed; what was spent stays counted. */
void rr_set_retry_budget(struct rr_retry_budget *allowance, double ratio,
			 double slack);
/* A request came, which earns its share. */
void rr_earn_extra(struct rr_retry_budget *allowance, int64_t now_us);
/* Take one extra attempt; false if there is none left. */
bool rr_take_extra(struct rr_retry_budget *allowance, int64_t now_us);
/* One that was taken reached nobody. */
void rr_return_extra(struct rr_retry_budget *allowance, int64_t now_us);
/* How many are left; below 0 when the allowance has shrunk. */
double rr_extras_left(struct rr_retry_budget *allowance, int64_t now_us);
/* The part of the allowance that is used, 0 to 1. */
double rr_extras_used_fraction(struct rr_retry_budget *allowance,
			       int64_t now_us);

#endif
