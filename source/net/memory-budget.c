/*
 * memory-budget.c - counts the memory that connections hold, and queues those
 * that have to wait for more.
 */
#include "net/memory-budget.h"

#define MIN_RECLAIM_AGE_US (500 * 1000)
/* Parts of the limit: freed before waiting users read on, and its excess. */
#define RELEASED_SHARE 8
#define EXCESS_SHARE 8

struct rr_memory_budget {
	uint64_t limit_bytes;
	uint64_t held_bytes;
	GQueue waiting; /* struct rr_memory_user, longest wait first */
	/*
	 * The one user that reads on although the limit is reached. Otherwise
	 * incomplete messages could use up the limit and wait for each other.
	 */
	struct rr_memory_user *exempt;
};

struct rr_memory_budget *rr_new_memory_budget(uint64_t limit_bytes)
{
	struct rr_memory_budget *budget = g_new0(struct rr_memory_budget, 1);

	budget->limit_bytes = limit_bytes;
	g_queue_init(&budget->waiting);
	return budget;
}

void rr_drop_memory_budget(struct rr_memory_budget *budget)
{
	g_free(budget);
}

void rr_init_memory_user(struct rr_memory_user *user,
			 struct rr_memory_budget *budget,
			 void (*resume)(void *data), void *data)
{
	*user = (struct rr_memory_user){
		.budget = budget,
		.resume = resume,
		.data = data,
		.link.data = user,
	};
}

void rr_clear_memory_user(struct rr_memory_user *user)
{
	rr_end_memory_wait(user);
	rr_hold_memory(user, 0);
}

void rr_hold_memory(struct rr_memory_user *user, size_t n_bytes)
{
	if (user->budget)
		user->budget->held_bytes += n_bytes - user->held_bytes;
	user->held_bytes = n_bytes;
}

bool rr_wait_for_memory(struct rr_memory_user *user)
{
	struct rr_memory_budget *budget = user->budget;

	if (!budget || budget->held_bytes < budget->limit_bytes ||
	    user == budget->exempt)
		return false;
#ifndef RR_MUTANT_MEMORY_SHORT_WAIT
	if (user->held_bytes <= RR_SHORT_MESSAGE_BYTES)
		return false;
#endif
	if (!user->is_waiting)
		g_queue_push_tail_link(&budget->waiting, &user->link);
	user->is_waiting = true;
	return true;
}

void rr_end_memory_wait(struct rr_memory_user *user)
{
	if (user->is_waiting)
		g_queue_unlink(&user->budget->waiting, &user->link);
	user->is_waiting = false;
	if (user->budget && user->budget->exempt == user)
		user->budget->exempt = NULL;
}

uint64_t rr_held_memory_bytes(const struct rr_memory_budget *budget)
{
	return budget->held_bytes;
}

bool rr_is_memory_short(const struct rr_memory_budget *budget)
{
	return budget && (budget->waiting.length ||
			  budget->held_bytes > budget->limit_bytes);
}

uint64_t rr_memory_shortage_bytes(const struct rr_memory_budget *budget)
{
	uint64_t wanted_bytes;

	if (!rr_is_memory_short(budget))
		return 0;
	wanted_bytes =
		budget->limit_bytes - budget->limit_bytes / RELEASED_SHARE;
	return budget->held_bytes > wanted_bytes ?
		       budget->held_bytes - wanted_bytes :
		       0;
}

double rr_memory_cost(const struct rr_memory_user *user, int64_t age_us)
{
	if (age_us < MIN_RECLAIM_AGE_US ||
	    user->held_bytes <= RR_SHORT_MESSAGE_BYTES)
		return 0;
	return (double)user->held_bytes * (double)age_us;
}

static void resume_next(struct rr_memory_budget *budget, bool exempt)
{
	struct rr_memory_user *user = g_queue_peek_head(&budget->waiting);

	rr_end_memory_wait(user);
	if (exempt)
		budget->exempt = user;
	user->resume(user->data);
}

void rr_tick_memory_budget(struct rr_memory_budget *budget)
{
	for (guint n = budget->waiting.length;
	     n && budget->waiting.length &&
	     budget->held_bytes < budget->limit_bytes;
	     n--)
		resume_next(budget, false);
#ifdef RR_MUTANT_MEMORY_NO_EXEMPTION
	return;
#endif
	if (budget->waiting.length && !budget->exempt &&
	    budget->held_bytes <
		    budget->limit_bytes + budget->limit_bytes / EXCESS_SHARE)
		resume_next(budget, true);
}
