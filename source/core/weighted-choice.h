/*
 * weighted-choice.h - weighted random choice between two replicas.
 */
#ifndef RAGWORT_CORE_WEIGHTED_CHOICE_H
#define RAGWORT_CORE_WEIGHTED_CHOICE_H

#include <stdbool.h>

#include "ragwort/context.h"

/*
 * Choose at random between replicas x and y, with weights of 1 / wait raised to
 * `power`.  Return true for x.  The expected waits, in any common unit, must be
 * positive.  The replica with the shorter wait is nearly always chosen, the
 * other occasionally: otherwise a replica that was slow once would get no
 * requests, so that its estimate would never be corrected and it would stay
 * idle permanently.
 */
bool rr_choose_by_wait(struct rr_context *ctx, double wait_x, double wait_y,
		       double power);

#endif
