/*
 * retry-budget.h - limit on the extra attempts of a service.
 *
 * Extra attempts are retries and hedges.  In any window their number is at most
 * a fixed ratio of the requests plus a constant, the slack.  Unlike a token
 * bucket, which refills only as requests earn tokens, the slack is available
 * again in every window.  Independent of requests and replicas.
 *
 * A process that has just started does not know what its predecessor spent.
 * Part of the slack is therefore reserved for the first window of a process and
 * not used afterwards, so that both together stay within the slack.  It answers
 * the load after many processes started at once: each has served too few
 * requests to earn an extra attempt, while some replicas of every search pause.
 */
#ifndef RAGWORT_CORE_RETRY_BUDGET_H
#define RAGWORT_CORE_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Slots per window.  The limit is inexact by up to one slot, and always on the
 * strict side.
 */
#define RR_RETRY_BUDGET_SLOTS 20

struct rr_retry_budget {
	double ratio;	       /* extra attempts per request */
	double slack;	       /* extra attempts per window in addition */
	double start_slack;    /* the same, before `slack_from_us` */
	int64_t slot_us;       /* length of a slot */
	int64_t slack_from_us; /* start of the time with slack */
	int64_t newest_slot;   /* number of the newest slot */
	uint32_t earned[RR_RETRY_BUDGET_SLOTS + 1]; /* requests, by slot */
	uint32_t spent[RR_RETRY_BUDGET_SLOTS + 1];  /* extras, by slot */
	uint32_t earned_sum; /* of all slots; read by every check */
	uint32_t spent_sum;  /* of all slots */
};

/*
 * Initialise a budget with a window of `window_us`.  `started_us` is the time
 * the process started: `start_slack` replaces the slack for one window after
 * it.  Guards against a process that restarts and so spends the slack of one
 * window twice.
 */
void rr_init_retry_budget(struct rr_retry_budget *budget, int64_t window_us,
			  int64_t started_us);
/*
 * Set the ratio and both slacks, whose sum is the most that a process and its
 * predecessor spend in one window in addition to what requests earn.  Extra
 * attempts already made still count.
 */
void rr_set_retry_budget(struct rr_retry_budget *budget, double ratio,
			 double slack, double start_slack);
/* Count a request, which adds `ratio` to the budget. */
void rr_earn_extra(struct rr_retry_budget *budget, int64_t now_us);
/* Charge one extra attempt.  Return false if the budget is exhausted. */
bool rr_take_extra(struct rr_retry_budget *budget, int64_t now_us);
/* Refund an extra attempt that reached no replica. */
void rr_return_extra(struct rr_retry_budget *budget, int64_t now_us);
/* Return the extra attempts left; negative after the budget was reduced. */
double rr_extras_left(struct rr_retry_budget *budget, int64_t now_us);
/* Return the used fraction of the budget, 0 to 1. */
double rr_retry_budget_used_fraction(struct rr_retry_budget *budget,
				     int64_t now_us);

#endif
