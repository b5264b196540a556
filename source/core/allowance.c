/*
 * allowance.c - extra attempts within a sliding window.
 */
#include "core/allowance.h"

#include <glib.h>
#include <string.h>

#define SLOTS (RR_ALLOWANCE_SLOTS + 1)

void rr_init_allowance(struct rr_allowance *allowance, int64_t window_us,
		       int64_t began_us)
{
	*allowance = (struct rr_allowance){
		.slot_us = MAX(window_us / RR_ALLOWANCE_SLOTS, 1),
		.slack_from_us = began_us + window_us,
	};
}

void rr_set_allowance(struct rr_allowance *allowance, double ratio,
		      double slack)
{
	allowance->ratio = ratio;
	allowance->slack = slack;
}

/* Empty the slots that have come since the newest one. */
static size_t slot_at(struct rr_allowance *allowance, int64_t now_us)
{
	int64_t now = now_us / allowance->slot_us;

	if (now - allowance->newest >= SLOTS) {
		memset(allowance->earned, 0, sizeof(allowance->earned));
		memset(allowance->spent, 0, sizeof(allowance->spent));
		allowance->newest = now;
	}
	while (allowance->newest < now) {
		size_t next = (size_t)(++allowance->newest % SLOTS);

		allowance->earned[next] = 0;
		allowance->spent[next] = 0;
	}
	return (size_t)(allowance->newest % SLOTS);
}

static uint32_t sum_of(const uint32_t *slots)
{
	uint32_t sum = 0;

	for (size_t i = 0; i < SLOTS; i++)
		sum += slots[i];
	return sum;
}

/* The oldest slot lies partly before the window: it earns nothing. */
static double allowed(const struct rr_allowance *allowance, size_t slot,
		      int64_t now_us)
{
	size_t oldest = (slot + 1) % SLOTS;
	uint32_t earned = sum_of(allowance->earned) - allowance->earned[oldest];
	double slack = allowance->slack;

#ifndef RR_MUTANT_ALLOWANCE_AT_ONCE
	if (now_us < allowance->slack_from_us)
		slack = 0;
#endif

	return allowance->ratio * earned + slack;
}

double rr_extras_left(struct rr_allowance *allowance, int64_t now_us)
{
	size_t slot = slot_at(allowance, now_us);

	return allowed(allowance, slot, now_us) - sum_of(allowance->spent);
}

double rr_extras_used(struct rr_allowance *allowance, int64_t now_us)
{
	double most = allowed(allowance, slot_at(allowance, now_us), now_us);
	double spent = sum_of(allowance->spent);

	return spent < most ? spent / most : 1;
}

void rr_earn_extra(struct rr_allowance *allowance, int64_t now_us)
{
	allowance->earned[slot_at(allowance, now_us)]++;
}

bool rr_take_extra(struct rr_allowance *allowance, int64_t now_us)
{
	if (rr_extras_left(allowance, now_us) < 1)
		return false;
	allowance->spent[slot_at(allowance, now_us)]++;
	return true;
}

void rr_return_extra(struct rr_allowance *allowance, int64_t now_us)
{
	size_t slot = slot_at(allowance, now_us);

	/* In a slot that was counted: the newest that has any. */
	for (size_t i = 0; i < SLOTS; i++) {
		uint32_t *spent = &allowance->spent[(slot + SLOTS - i) % SLOTS];

		if (!*spent)
			continue;
		(*spent)--;
		return;
	}
}
