/*
 * allowance-private.h - state of the allowances, shared by its files.
 */
#ifndef RAGWORT_CORE_ACCOUNT_ALLOWANCE_PRIVATE_H
#define RAGWORT_CORE_ACCOUNT_ALLOWANCE_PRIVATE_H

#include <glib.h>

#include "core/account/allowance-members.h"
#include "core/account/allowance.h"
#include "core/account/token-bucket.h"
#include "core/timer.h"

/* Tokens of other instances; they are lost at `until_us`. */
struct rr_held_tokens {
	uint32_t tokens;
	int64_t until_us;
};

/* A request of this instance's callers that waits for a token. */
struct rr_allowance_waiter {
	uint64_t request;
	struct rr_account_allowance *account;
	int64_t until_us;
	GList link; /* in rr_account_allowance.waiters */
};

/* Another instance's call that waits for a loan. */
struct rr_allowance_taker {
	uint64_t handle;
	struct rr_account_allowance *account;
	uint32_t tokens;
	GList link; /* in rr_account_allowance.takers */
};

/* The allowance of one account, as far as this instance has a part in it. */
struct rr_account_allowance {
	char *name;
	double rate_per_s;
	double burst;
	GPtrArray *order; /* of this zone's members; NULL if not known */
	uint64_t order_version;
	bool has_main;
	struct rr_token_bucket main; /* as the owner */
	int64_t main_checked_us;
	bool has_reserve;
	struct rr_token_bucket reserve; /* while the owner is reachable */
	bool has_takeover;
	struct rr_token_bucket takeover; /* while the owner is down */
	int64_t takeover_used_us;
	GArray *held;	    /* struct rr_held_tokens, granted by another one */
	GArray *loans;	    /* struct rr_held_tokens, lent by other zones */
	GQueue waiters;	    /* struct rr_allowance_waiter, oldest first */
	GQueue takers;	    /* struct rr_allowance_taker, oldest first */
	uint64_t take_call; /* the call that waiters wait for; 0 if none */
	uint32_t n_loan_calls;
	int64_t no_loan_until_us; /* other zones had nothing to lend */
	int64_t spent_until_us;	  /* the owner had no token */
	int64_t last_beyond_us;	  /* last request rejected as beyond it; or 0 */
	/* Time to return that a caller was last given. */
	int64_t promised_us;
	/* Tokens used here in this slot of BUSY_SLOT_US and in the last. */
	int64_t busy_slot;
	uint32_t busy[2];
};

/* A call to another instance. */
struct rr_allowance_open_call {
	uint64_t id;
	enum rr_allowance_verb verb;
	char *account;
	char *member;
	bool abandoned; /* too slow: its waiters asked elsewhere */
};

enum rr_allowance_role {
	RR_ROLE_OWNER,	  /* first of the zone: grants from the main bucket */
	RR_ROLE_TAKEOVER, /* all before it are down */
	RR_ROLE_DEPUTY,	  /* second of those that are up: uses its reserve */
	RR_ROLE_NONE,
};

struct rr_allowances {
	struct rr_context *ctx;
	struct rr_allowance_options options; /* strings are not kept */
	struct rr_allowance_members members;
	GHashTable *accounts; /* name -> struct rr_account_allowance */
	GHashTable *calls;    /* id -> struct rr_allowance_open_call */
	GHashTable *waiters;  /* request -> struct rr_allowance_waiter */
	GHashTable *takers;   /* handle -> struct rr_allowance_taker */
	struct rr_timers *timers;
	int64_t token_end_us; /* of the token that was taken last */
	uint64_t next_call;
	bool probe_scheduled;
	int64_t now_us;
};

/* A grant or a loan is lost after this time. */
#define RR_ALLOWANCE_HOLD_US (200 * 1000)
/* A reply that takes less is never slow. */
#define RR_ALLOWANCE_MIN_SLOW_US (3 * 1000)

/* Find an account that has an allowance; NULL if it has none. */
struct rr_account_allowance *
rr_find_account_allowance(struct rr_allowances *allowances, const char *name);

/* allowance-wait.c */
/* Decide on a waiter and free it. */
void rr_decide_waiter(struct rr_allowances *allowances,
		      struct rr_allowance_waiter *waiter,
		      enum rr_allowance_outcome outcome, uint32_t retry_ms);
/* Reject all waiters of an account, each with a later time to return. */
void rr_reject_waiters(struct rr_allowances *allowances,
		       struct rr_account_allowance *account,
		       enum rr_allowance_outcome outcome, uint32_t retry_ms);
/* Give tokens to the waiters of an account, or ask another instance. */
void rr_serve_waiters(struct rr_allowances *allowances,
		      struct rr_account_allowance *account);
/* Take a token that is at hand; false if it has to be asked for. */
bool rr_take_at_once(struct rr_allowances *allowances,
		     struct rr_account_allowance *account);

/* allowance-grant.c */
/* Reply to a taker and free it. */
void rr_end_taker(struct rr_allowances *allowances,
		  struct rr_allowance_taker *taker,
		  enum rr_allowance_status status, uint32_t tokens,
		  uint32_t retry_ms);
/* Reply to the takers of an account, unless they have to wait for a loan. */
void rr_serve_takers(struct rr_allowances *allowances,
		     struct rr_account_allowance *account);
/* The wait of a taker for a loan has ended. */
void rr_handle_taker_end(struct rr_allowances *allowances, uint64_t handle);

/* allowance-reply.c */
/* A call should have been replied to by now. */
void rr_handle_slow_call(struct rr_allowances *allowances, uint64_t id);
void rr_handle_call_timeout(struct rr_allowances *allowances, uint64_t id);

/* allowance-bucket.c: the buckets of an account, and who may use which */
/* Return the members of this zone in the order of ownership. */
GPtrArray *rr_allowance_order(struct rr_allowances *allowances,
			      struct rr_account_allowance *account);
enum rr_allowance_role rr_allowance_role(struct rr_allowances *allowances,
					 struct rr_account_allowance *account);
/* Take up to `n` tokens in a role; returns how many. */
uint32_t rr_take_allowance_tokens(struct rr_allowances *allowances,
				  struct rr_account_allowance *account,
				  enum rr_allowance_role role, uint32_t n);
/* Return how many tokens an owner can lend without need for them itself. */
uint32_t rr_lend_allowance_tokens(struct rr_allowances *allowances,
				  struct rr_account_allowance *account,
				  enum rr_allowance_role role, uint32_t n);
/* Return the time in which an account is granted one request. */
int64_t rr_token_interval_us(const struct rr_account_allowance *account);
/*
 * Return the time in ms after which a rejected caller should return: not before
 * `earliest_us`, and later than the one rejected before it.
 */
uint32_t rr_promise_return_ms(struct rr_allowances *allowances,
			      struct rr_account_allowance *account,
			      int64_t earliest_us);
/* Return when a caller that gets no token should come back. */
uint32_t rr_next_token_ms(struct rr_allowances *allowances,
			  struct rr_account_allowance *account,
			  enum rr_allowance_role role);
/* Apply rate and burst to the buckets of an account. */
void rr_resize_allowance_buckets(struct rr_allowances *allowances,
				 struct rr_account_allowance *account);
/* Take one of the tokens that have not expired; false if there is none. */
bool rr_take_held_token(struct rr_allowances *allowances, GArray *held);
void rr_hold_tokens(GArray *held, uint32_t tokens, int64_t until_us);
void rr_count_token_use(struct rr_account_allowance *account, int64_t now_us);
/* Return how many tokens are used in the time for which a grant lasts. */
uint32_t rr_expected_token_use(struct rr_account_allowance *account,
			       int64_t now_us);

/* Ask the other zones for a loan; false if there is none to be had now. */
bool rr_borrow_tokens(struct rr_allowances *allowances,
		      struct rr_account_allowance *account,
		      enum rr_allowance_role role);

/* allowance-call.c: calls to other instances */
uint64_t rr_call_member(struct rr_allowances *allowances,
			struct rr_allowance_member *member,
			const struct rr_allowance_call *call, int64_t slow_us);
/* Probe a member, unless that was done a moment ago. */
void rr_probe_allowance_member(struct rr_allowances *allowances,
			       struct rr_allowance_member *member);
/* Probe any member, to find out whether this instance is isolated. */
void rr_probe_any_member(struct rr_allowances *allowances);
/* Probe from time to time, for as long as this instance is isolated. */
void rr_schedule_isolated_probe(struct rr_allowances *allowances);
void rr_handle_isolated_probe(struct rr_allowances *allowances);
/* Remove an open call and return it; NULL if it is unknown. */
struct rr_allowance_open_call *
rr_steal_open_call(struct rr_allowances *allowances, uint64_t id);
void rr_free_open_call(gpointer data);
/* Abandon the open calls for an account that is removed. */
void rr_abandon_account_calls(struct rr_allowances *allowances,
			      const char *account);

#endif
