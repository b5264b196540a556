/*
 * weighted-choice.h - choosing between two by their expected waits.
 */
#ifndef RAGWORT_CORE_PICK_H
#define RAGWORT_CORE_PICK_H

#include <stdbool.h>

#include "ragwort/context.h"

/*
 * Toss a coin weighted by `power` of the waits: true for x.  The one with
 * less wait nearly always wins, but now and then the other does.  Guards
 * against an estimate that is never put right because nothing is sent there:
 * a replica that was slow once would stay idle for good.  Waits are above 0.
 */
bool rr_choose_by_wait(struct rr_context *ctx, double wait_x, double wait_y,
		       double power);

#endif
