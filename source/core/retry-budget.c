/*
 * retry-budget.c - retry budget over a sliding window.
 */
#include "core/retry-budget.h"

#include <glib.h>

#define SLOTS (RR_RETRY_BUDGET_SLOTS + 1)

void rr_init_retry_budget(struct rr_retry_budget *budget, int64_t window_us,
			  int64_t started_us)
{
	*budget = (struct rr_retry_budget){
		.slot_us = MAX(window_us / RR_RETRY_BUDGET_SLOTS, 1),
		.slack_from_us = started_us + window_us,
	};
}

void rr_set_retry_budget(struct rr_retry_budget *budget, double ratio,
			 double slack, double start_slack)
{
	budget->ratio = ratio;
	budget->slack = slack;
	budget->start_slack = start_slack;
}

static void clear_slot(struct rr_retry_budget *budget, size_t slot)
{
	budget->earned_sum -= budget->earned[slot];
	budget->spent_sum -= budget->spent[slot];
	budget->earned[slot] = 0;
	budget->spent[slot] = 0;
}

/* Advances to the slot of `now_us` and clears the slots passed on the way. */
static size_t advance_to(struct rr_retry_budget *budget, int64_t now_us)
{
	int64_t now = now_us / budget->slot_us;

	budget->newest_slot = MAX(budget->newest_slot, now - SLOTS);
	while (budget->newest_slot < now)
		clear_slot(budget, (size_t)(++budget->newest_slot % SLOTS));
	return (size_t)(budget->newest_slot % SLOTS);
}

/*
 * Requests in the oldest slot are not counted, since the slot lies partly
 * before the window.
 */
static double extras_allowed(const struct rr_retry_budget *budget, size_t slot,
			     int64_t now_us)
{
	size_t oldest = (slot + 1) % SLOTS;
	uint32_t earned = budget->earned_sum - budget->earned[oldest];
	double slack = budget->slack;

#ifndef RR_MUTANT_ALLOWANCE_AT_ONCE
	if (now_us < budget->slack_from_us)
		slack = budget->start_slack;
#endif

	return budget->ratio * earned + slack;
}

double rr_extras_left(struct rr_retry_budget *budget, int64_t now_us)
{
	size_t slot = advance_to(budget, now_us);

	return extras_allowed(budget, slot, now_us) - budget->spent_sum;
}

double rr_retry_budget_used_fraction(struct rr_retry_budget *budget,
				     int64_t now_us)
{
	double limit =
		extras_allowed(budget, advance_to(budget, now_us), now_us);
	double spent = budget->spent_sum;

	return spent < limit ? spent / limit : 1;
}

void rr_earn_extra(struct rr_retry_budget *budget, int64_t now_us)
{
	budget->earned[advance_to(budget, now_us)]++;
	budget->earned_sum++;
}

bool rr_take_extra(struct rr_retry_budget *budget, int64_t now_us)
{
	if (rr_extras_left(budget, now_us) < 1)
		return false;
	budget->spent[advance_to(budget, now_us)]++;
	budget->spent_sum++;
	return true;
}

void rr_return_extra(struct rr_retry_budget *budget, int64_t now_us)
{
	size_t slot = advance_to(budget, now_us);

	/* Subtracts from the newest slot that has any. */
	for (size_t i = 0; i < SLOTS; i++) {
		uint32_t *spent = &budget->spent[(slot + SLOTS - i) % SLOTS];

		if (!*spent)
			continue;
		(*spent)--;
		budget->spent_sum--;
		return;
	}
}
