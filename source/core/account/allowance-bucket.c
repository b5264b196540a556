/*
 * allowance-bucket.c - the buckets that hold a zone's part of an allowance, and
 * which of them this instance may use.
 *
 * With L = rate * window + burst, the buckets of all zones together give, in
 * any window: the main ones L * (1 + overage / 10) + slack / 2, the reserves
 * L * overage / 5 + 0.15 slack.  What is left of L * (1 + overage) + slack
 * covers new buckets' first tokens after a restart, loans and grants that move
 * to the next window, and a moment with two owners.
 */
#include "core/account/allowance-private.h"

#include "ragwort/counters.h"

#define MAIN_OVERAGE 0.1
#define MAIN_SLACK 0.5
#define RESERVE_OVERAGE 0.2
#define RESERVE_SLACK 0.15
#define FIRST_SLACK 0.1
#define BUSY_SLOT_US (100 * 1000)
/* A member that goes first is probed after this long without a reply. */
#define CONTACT_FRESH_US (200 * 1000)
/* An owner that does not take over for this long starts with no tokens. */
#define TAKEOVER_GAP_US G_USEC_PER_SEC
/* An owner without any contact for this long checks that it is reachable. */
#define OWN_CONTACT_US (300 * 1000)
#define MAX_RETRY_US (5 * G_USEC_PER_SEC)

GPtrArray *rr_allowance_order(struct rr_allowances *allowances,
			      struct rr_account_allowance *account)
{
	struct rr_allowance_members *members = &allowances->members;

	if (account->order && account->order_version == members->version)
		return account->order;
	if (account->order)
		g_ptr_array_unref(account->order);
	account->order = rr_order_owners(members, members->zone, account->name);
	account->order_version = members->version;
	return account->order;
}

enum rr_allowance_role rr_allowance_role(struct rr_allowances *allowances,
					 struct rr_account_allowance *account)
{
	GPtrArray *order = rr_allowance_order(allowances, account);
	uint32_t n_up = 0;

	if (rr_is_allowance_isolated(&allowances->members, allowances->now_us))
		return RR_ROLE_NONE;
	for (guint i = 0; i < order->len; i++) {
		struct rr_allowance_member *member =
			g_ptr_array_index(order, i);

		if (member->is_self) {
			if (!i)
				return RR_ROLE_OWNER;
			if (n_up)
				return n_up == 1 ? RR_ROLE_DEPUTY :
						   RR_ROLE_NONE;
			return RR_ROLE_TAKEOVER;
		}
		if (allowances->now_us - member->contact_us > CONTACT_FRESH_US)
			rr_probe_allowance_member(allowances, member);
		n_up += !rr_is_member_gone(member);
	}
	return RR_ROLE_NONE;
}

static double zone_part(const struct rr_allowances *allowances, double amount)
{
#ifdef RR_MUTANT_ALLOWANCE_PART_UNDIVIDED
	return amount;
#endif
	return amount / allowances->options.n_zones;
}

static double window_s(const struct rr_allowances *allowances)
{
	return allowances->options.window_ms / 1000.0;
}

static void resize_main(struct rr_allowances *allowances,
			const struct rr_account_allowance *account,
			struct rr_token_bucket *bucket)
{
	const struct rr_allowance_options *options = &allowances->options;
	double factor = 1 + MAIN_OVERAGE * options->overage;
	double capacity =
		zone_part(allowances, factor * account->burst +
					      MAIN_SLACK * options->slack);

	/* A whole token has to fit, or nothing could ever be granted. */
	rr_set_token_bucket(bucket, allowances->now_us,
			    zone_part(allowances, factor * account->rate_per_s),
			    MAX(capacity, 1));
}

static void resize_reserve(struct rr_allowances *allowances,
			   struct rr_account_allowance *account)
{
	const struct rr_allowance_options *options = &allowances->options;
	double limit =
		account->rate_per_s * window_s(allowances) + account->burst;
	double in_window = zone_part(
		allowances, RESERVE_OVERAGE * options->overage * limit +
				    RESERVE_SLACK * options->slack);
	double capacity = in_window / 2;

	if (in_window >= 1)
		capacity = MAX(capacity, 1);
	rr_set_token_bucket(&account->reserve, allowances->now_us,
			    (in_window - capacity) / window_s(allowances),
			    capacity);
}

void rr_resize_allowance_buckets(struct rr_allowances *allowances,
				 struct rr_account_allowance *account)
{
	if (account->has_main)
		resize_main(allowances, account, &account->main);
	if (account->has_takeover)
		resize_main(allowances, account, &account->takeover);
	if (account->has_reserve)
		resize_reserve(allowances, account);
}

/*
 * The main bucket of the owner.  It is empty if another instance may have
 * granted from the same part a moment ago: one that went before this one and
 * has left.  Guards against a second burst from each owner in turn.
 */
static struct rr_token_bucket *get_main(struct rr_allowances *allowances,
					struct rr_account_allowance *account)
{
	int64_t now_us = allowances->now_us;
	int64_t changed_us = rr_last_owner_change_us(
		&allowances->members, now_us,
		(int64_t)allowances->options.window_ms * 1000, account->name);
	int64_t since_us = allowances->options.started_us;
	double first =
		zone_part(allowances, FIRST_SLACK * allowances->options.slack);

	if (!account->has_main) {
		account->has_main = true;
		resize_main(allowances, account, &account->main);
		if (changed_us > since_us) {
			since_us = changed_us;
			first = 0;
		}
#ifdef RR_MUTANT_ALLOWANCE_STARTS_FULL
		first = account->main.capacity;
#endif
		rr_start_token_bucket(&account->main, first, since_us);
	} else if (changed_us > account->main_checked_us) {
		rr_start_token_bucket(&account->main, 0, changed_us);
	}
	account->main_checked_us = now_us;
	return &account->main;
}

/* The bucket of an instance that stands in for an owner that is down. */
static struct rr_token_bucket *
get_takeover(struct rr_allowances *allowances,
	     struct rr_account_allowance *account)
{
	int64_t now_us = allowances->now_us;

	if (!account->has_takeover ||
	    now_us - account->takeover_used_us > TAKEOVER_GAP_US) {
		account->has_takeover = true;
		resize_main(allowances, account, &account->takeover);
		rr_start_token_bucket(&account->takeover, 0, now_us);
	}
	account->takeover_used_us = now_us;
	return &account->takeover;
}

static struct rr_token_bucket *get_reserve(struct rr_allowances *allowances,
					   struct rr_account_allowance *account)
{
	if (!account->has_reserve) {
		account->has_reserve = true;
		resize_reserve(allowances, account);
		rr_start_token_bucket(&account->reserve,
				      account->reserve.capacity,
				      allowances->now_us);
	}
	return &account->reserve;
}

bool rr_take_held_token(struct rr_allowances *allowances, GArray *held)
{
	while (held->len) {
		struct rr_held_tokens *first =
			&g_array_index(held, struct rr_held_tokens, 0);

		if (first->tokens && first->until_us > allowances->now_us) {
			first->tokens--;
			allowances->token_end_us = first->until_us;
			return true;
		}
		rr_count(allowances->ctx, RR_N_ALLOWANCE_TOKENS_EXPIRED,
			 first->tokens);
		g_array_remove_index(held, 0);
	}
	return false;
}

void rr_hold_tokens(GArray *held, uint32_t tokens, int64_t until_us)
{
	struct rr_held_tokens entry = { tokens, until_us };

#ifdef RR_MUTANT_ALLOWANCE_GRANT_STAYS
	entry.until_us = INT64_MAX;
#endif
	if (tokens)
		g_array_append_val(held, entry);
}

static uint32_t take_loans(struct rr_allowances *allowances,
			   struct rr_account_allowance *account, uint32_t n)
{
	uint32_t taken = 0;

	while (taken < n && rr_take_held_token(allowances, account->loans))
		taken++;
	return taken;
}

uint32_t rr_take_allowance_tokens(struct rr_allowances *allowances,
				  struct rr_account_allowance *account,
				  enum rr_allowance_role role, uint32_t n)
{
	int64_t now_us = allowances->now_us;
	uint32_t taken;

	if (role == RR_ROLE_NONE)
		return 0;
	if (now_us - allowances->members.contact_us > OWN_CONTACT_US)
		rr_probe_any_member(allowances);
	if (role == RR_ROLE_DEPUTY) {
		taken = take_loans(allowances, account, n);
		taken += rr_take_from_bucket(get_reserve(allowances, account),
					     now_us, n - taken);
	} else {
		struct rr_token_bucket *bucket =
			role == RR_ROLE_OWNER ?
				get_main(allowances, account) :
				get_takeover(allowances, account);

		taken = take_loans(allowances, account, n);
		taken += rr_take_from_bucket(bucket, now_us, n - taken);
		if (taken < n && role == RR_ROLE_TAKEOVER)
			taken += rr_take_from_bucket(
				get_reserve(allowances, account), now_us,
				n - taken);
	}
	allowances->token_end_us = now_us + RR_ALLOWANCE_HOLD_US;
	for (uint32_t i = 0; i < taken; i++)
		rr_count_token_use(account, now_us);
	return taken;
}

uint32_t rr_lend_allowance_tokens(struct rr_allowances *allowances,
				  struct rr_account_allowance *account,
				  enum rr_allowance_role role, uint32_t n)
{
	struct rr_token_bucket *bucket;
	uint32_t needed;
	uint32_t tokens;

	if (role != RR_ROLE_OWNER && role != RR_ROLE_TAKEOVER)
		return 0;
	bucket = role == RR_ROLE_OWNER ? get_main(allowances, account) :
					 get_takeover(allowances, account);
	needed = rr_expected_token_use(account, allowances->now_us);
	tokens = rr_count_bucket_tokens(bucket, allowances->now_us);
	if (tokens <= needed)
		return 0;
	return rr_take_from_bucket(bucket, allowances->now_us,
				   MIN(n, tokens - needed));
}

int64_t rr_token_interval_us(const struct rr_account_allowance *account)
{
	double interval_us = 1e6 / account->rate_per_s;

	return interval_us < (double)MAX_RETRY_US ? (int64_t)interval_us :
						    MAX_RETRY_US;
}

uint32_t rr_promise_return_ms(struct rr_allowances *allowances,
			      struct rr_account_allowance *account,
			      int64_t earliest_us)
{
	int64_t now_us = allowances->now_us;

	account->promised_us =
		MAX(account->promised_us + rr_token_interval_us(account),
		    earliest_us);
	account->promised_us = MIN(account->promised_us, now_us + MAX_RETRY_US);
	return (uint32_t)(MAX(account->promised_us - now_us, 0) / 1000) + 1;
}

uint32_t rr_next_token_ms(struct rr_allowances *allowances,
			  struct rr_account_allowance *account,
			  enum rr_allowance_role role)
{
	int64_t now_us = allowances->now_us;
	struct rr_token_bucket *bucket =
		role == RR_ROLE_TAKEOVER ? &account->takeover : &account->main;
	int64_t next_us = rr_time_until_tokens_us(bucket, now_us, 1);

	if (next_us > MAX_RETRY_US)
		return MAX_RETRY_US / 1000;
	/*
	 * Each caller gets a later time.  Guards against all that are
	 * rejected coming back together, when there is one token.
	 */
	return rr_promise_return_ms(allowances, account, now_us + next_us);
}

static void advance_busy_slot(struct rr_account_allowance *account,
			      int64_t now_us)
{
	int64_t slot = now_us / BUSY_SLOT_US;

	if (slot == account->busy_slot)
		return;
	account->busy[1] =
		slot == account->busy_slot + 1 ? account->busy[0] : 0;
	account->busy[0] = 0;
	account->busy_slot = slot;
}

void rr_count_token_use(struct rr_account_allowance *account, int64_t now_us)
{
	advance_busy_slot(account, now_us);
	account->busy[0]++;
}

uint32_t rr_expected_token_use(struct rr_account_allowance *account,
			       int64_t now_us)
{
	advance_busy_slot(account, now_us);
	return MAX(account->busy[0], account->busy[1]);
}
