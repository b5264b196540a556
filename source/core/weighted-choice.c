/*
 * weighted-choice.c - weighted random choice between two replicas.
 */
#include "core/weighted-choice.h"

#include <math.h>

bool rr_choose_by_wait(struct rr_context *ctx, double wait_x, double wait_y,
		       double power)
{
	double odds = pow(wait_y / wait_x, power);

	if (isinf(odds))
		return true;
	return rr_random_unit(ctx) * (1 + odds) < odds;
}
