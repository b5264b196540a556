/*
 * retry-budget.c - extra attempts within a sliding window.
 */
#include "core/retry-budget.h"

#include <glib.h>

#define SLOTS (RR_RETRY_BUDGET_SLOTS + 1)

void rr_init_retry_budget(struct rr_retry_budget *allowance, int64_t window_us,
			  int64_t began_us)
{
	*allowance = (struct rr_retry_budget){
		.slot_us = MAX(window_us / RR_RETRY_BUDGET_SLOTS, 1),
		.slack_from_us = began_us + window_us,
	};
}

void rr_set_retry_budget(struct rr_retry_budget *allowance, double ratio,
			 double slack)
{
	allowance->ratio = ratio;
	allowance->slack = slack;
}

static void empty_slot(struct rr_retry_budget *allowance, size_t slot)
{
	allowance->earned_sum -= allowance->earned[slot];
	allowance->spent_sum -= allowance->spent[slot];
	allowance->earned[slot] = 0;
	allowance->spent[slot] = 0;
}

/* Empty the slots that have come since the newest one. */
static size_t slot_at(struct rr_retry_budget *allowance, int64_t now_us)
{
	int64_t now = now_us / allowance->slot_us;

	allowance->newest_slot = MAX(allowance->newest_slot, now - SLOTS);
	while (allowance->newest_slot < now)
		empty_slot(allowance,
			   (size_t)(++allowance->newest_slot % SLOTS));
	return (size_t)(allowance->newest_slot % SLOTS);
}

/* The oldest slot lies partly before the window: it earns nothing. */
static double allowed(const struct rr_retry_budget *allowance, size_t slot,
		      int64_t now_us)
{
	size_t oldest = (slot + 1) % SLOTS;
	uint32_t earned = allowance->earned_sum - allowance->earned[oldest];
	double slack = allowance->slack;

#ifndef RR_MUTANT_ALLOWANCE_AT_ONCE
	if (now_us < allowance->slack_from_us)
		slack = 0;
#endif

	return allowance->ratio * earned + slack;
}

double rr_extras_left(struct rr_retry_budget *allowance, int64_t now_us)
{
	size_t slot = slot_at(allowance, now_us);

	return allowed(allowance, slot, now_us) - allowance->spent_sum;
}

double rr_extras_used_fraction(struct rr_retry_budget *allowance,
			       int64_t now_us)
{
	double most = allowed(allowance, slot_at(allowance, now_us), now_us);
	double spent = allowance->spent_sum;

	return spent < most ? spent / most : 1;
}

void rr_earn_extra(struct rr_retry_budget *allowance, int64_t now_us)
{
	allowance->earned[slot_at(allowance, now_us)]++;
	allowance->earned_sum++;
}

bool rr_take_extra(struct rr_retry_budget *allowance, int64_t now_us)
{
	if (rr_extras_left(allowance, now_us) < 1)
		return false;
	allowance->spent[slot_at(allowance, now_us)]++;
	allowance->spent_sum++;
	return true;
}

void rr_return_extra(struct rr_retry_budget *allowance, int64_t now_us)
{
	size_t slot = slot_at(allowance, now_us);

	/* In a slot that was counted: the newest that has any. */
	for (size_t i = 0; i < SLOTS; i++) {
		uint32_t *spent = &allowance->spent[(slot + SLOTS - i) % SLOTS];

		if (!*spent)
			continue;
		(*spent)--;
		allowance->spent_sum--;
		return;
	}
}
