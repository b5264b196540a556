/*
 * late-forward.c - whether to go on waiting for a coordinator's response.
 */
#include "core/admission/late-forward.h"

#include <stdbool.h>

enum rr_late_forward_step
rr_decide_late_forward(const struct rr_late_forward *search,
		       const struct rr_coordinator_contact *contact,
		       int64_t now_us, int64_t *next_us)
{
	/* An earlier call says nothing about this search. */
	bool asked = contact->asked_us > search->sent_us;
	bool replied = contact->reply_us >= contact->asked_us;
	int64_t reply_by_us = contact->asked_us + search->patience_us;

	*next_us = search->due_us;
	if (now_us < search->due_us)
		return RR_LATE_FORWARD_WAIT;
	if (asked && now_us < reply_by_us) {
		*next_us = reply_by_us;
		return RR_LATE_FORWARD_WAIT;
	}
	if (asked && !replied)
		return RR_LATE_FORWARD_GIVE_UP;
	*next_us = now_us + search->patience_us;
	return RR_LATE_FORWARD_ASK;
}
