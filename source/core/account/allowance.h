/*
 * allowance.h - the allowance of each account, kept by all instances together.
 *
 * Each zone keeps an equal part of every allowance in a token bucket.  The
 * first instance of the zone by rendezvous hashing, the owner, grants from it;
 * the next one stands in for it.  Owners of different zones lend to each
 * other.  Grants and loans expire soon.  docs/design/allowances.md gives the
 * bound that this keeps in any window.
 *
 * Load that it answers: an account that sends many times its allowance over
 * all instances, and many small accounts whose share of one instance is less
 * than a request.
 *
 * No input or output: calls between instances are actions, and their replies
 * are passed back.  Times are in microseconds of a monotonic clock.
 */
#ifndef RAGWORT_CORE_ACCOUNT_ALLOWANCE_H
#define RAGWORT_CORE_ACCOUNT_ALLOWANCE_H

#include <stdbool.h>
#include <stdint.h>

#include "ragwort/account.h"
#include "ragwort/allowance.h"
#include "ragwort/context.h"

enum rr_allowance_outcome {
	RR_ALLOWANCE_TAKEN,   /* the request has a token or needs none */
	RR_ALLOWANCE_BEYOND,  /* the allowance is spent */
	RR_ALLOWANCE_UNKNOWN, /* no instance that may grant was reached */
	RR_ALLOWANCE_WAITING, /* the decide action follows */
};

struct rr_allowance_actions {
	/* Call another instance; rr_allowances_handle_reply() follows. */
	void (*call)(void *data, uint64_t id, const char *address,
		     uint32_t timeout_ms, const struct rr_allowance_call *call);
	/* Reply to a call of another instance. */
	void (*reply)(void *data, uint64_t handle,
		      const struct rr_allowance_reply *reply);
	/* Decide on a request that waits; never RR_ALLOWANCE_WAITING. */
	void (*decide)(void *data, struct rr_context *ctx, uint64_t request,
		       enum rr_allowance_outcome outcome, uint32_t retry_ms);
	void *data;
};

struct rr_allowance_options {
	const char *instance; /* id; copied */
	const char *zone;     /* copied */
	uint32_t n_zones;     /* zones that share each allowance, at least 1 */
	/*
	 * In any window of this length at most (rate * window + burst) *
	 * (1 + overage) + slack requests of an account may run.
	 */
	uint32_t window_ms;
	double overage;
	double slack;
	int64_t started_us;
	struct rr_allowance_actions actions;
};

struct rr_allowances;

/* The context is kept until rr_drop_allowances(). */
struct rr_allowances *
rr_new_allowances(struct rr_context *ctx,
		  const struct rr_allowance_options *options);
void rr_drop_allowances(struct rr_allowances *allowances);

/* Apply the accounts of a version; NULL if it has none. */
void rr_allowances_set_accounts(struct rr_allowances *allowances,
				int64_t now_us,
				const struct rr_account_table *accounts);
/* Apply the entry of an instance; a NULL zone removes it. */
void rr_allowances_update_member(struct rr_allowances *allowances,
				 int64_t now_us, const char *id,
				 const char *zone, const char *address);

/*
 * Take a token for a request.  If it returns RR_ALLOWANCE_WAITING, the decide
 * action follows within `wait_us`, never from inside this function.  For
 * RR_ALLOWANCE_BEYOND, `*retry_ms` is when there will be a token.
 */
enum rr_allowance_outcome rr_allowances_take(struct rr_allowances *allowances,
					     int64_t now_us,
					     const char *account,
					     uint64_t request, int64_t wait_us,
					     uint32_t *retry_ms);
/*
 * Take a token for a request that would be late.  While the allowance is short
 * it gets none, so that tokens go to requests that can be answered in time:
 * as many are served, and more of them in time.  Otherwise the same as
 * rr_allowances_take().
 */
enum rr_allowance_outcome
rr_allowances_take_late(struct rr_allowances *allowances, int64_t now_us,
			const char *account, uint64_t request, int64_t wait_us,
			uint32_t *retry_ms);
/* A request that waits has ended. */
void rr_allowances_forget(struct rr_allowances *allowances, uint64_t request);
/*
 * Return when the token that was taken last expires, 0 if none was needed; it
 * is valid in the decide action and after RR_ALLOWANCE_TAKEN.
 */
int64_t rr_allowances_token_end_us(const struct rr_allowances *allowances);
/* Give back the token of a request that did not run; it may have expired. */
void rr_allowances_give_back(struct rr_allowances *allowances, int64_t now_us,
			     const char *account, int64_t token_end_us);

/* Handle a call of another instance; the reply action uses `handle`. */
void rr_allowances_handle_call(struct rr_allowances *allowances, int64_t now_us,
			       uint64_t handle,
			       const struct rr_allowance_call *call);
/* The caller of a call that was not replied to is gone. */
void rr_allowances_drop_call(struct rr_allowances *allowances, uint64_t handle);
void rr_allowances_handle_reply(struct rr_allowances *allowances,
				int64_t now_us, uint64_t id,
				const struct rr_allowance_reply *reply);

/* This instance stalled for `delay_us`: buckets do not fill meanwhile. */
void rr_allowances_report_stall(struct rr_allowances *allowances,
				int64_t now_us, int64_t delay_us);
/* Whether this instance reaches no other one, so that it grants nothing. */
bool rr_allowances_is_isolated(const struct rr_allowances *allowances,
			       int64_t now_us);
void rr_allowances_tick(struct rr_allowances *allowances, int64_t now_us);
/* Return when rr_allowances_tick() is due; INT64_MAX for never. */
int64_t rr_allowances_next_tick_us(const struct rr_allowances *allowances);

#endif
