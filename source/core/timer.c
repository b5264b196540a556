/*
 * timer.c - timers in a binary heap.
 */
#include "core/timer.h"

#include <glib.h>

struct rr_timers {
	GArray *heap; /* struct rr_timer, a min-heap by due time */
	uint64_t next_sequence;
};

struct rr_timers *rr_new_timers(void)
{
	struct rr_timers *timers = g_new0(struct rr_timers, 1);

	timers->heap = g_array_new(FALSE, FALSE, sizeof(struct rr_timer));
	return timers;
}

void rr_drop_timers(struct rr_timers *timers)
{
	if (!timers)
		return;
	g_array_unref(timers->heap);
	g_free(timers);
}

static struct rr_timer *timer_at(const struct rr_timers *timers, guint i)
{
	return &g_array_index(timers->heap, struct rr_timer, i);
}

static bool is_before(const struct rr_timer *a, const struct rr_timer *b)
{
	if (a->due_us != b->due_us)
		return a->due_us < b->due_us;
	return a->sequence < b->sequence;
}

static void swap_timers(struct rr_timer *a, struct rr_timer *b)
{
	struct rr_timer copy = *a;

	*a = *b;
	*b = copy;
}

void rr_set_timer(struct rr_timers *timers, int64_t due_us,
		  enum rr_timer_kind kind, uint64_t id, uint32_t index)
{
	struct rr_timer timer = {
		.due_us = due_us,
		.sequence = timers->next_sequence++,
		.kind = kind,
		.index = index,
		.id = id,
	};
	guint pos = timers->heap->len;

	g_array_append_val(timers->heap, timer);
	while (pos > 0) {
		guint parent = (pos - 1) / 2;

		if (!is_before(timer_at(timers, pos), timer_at(timers, parent)))
			break;
		swap_timers(timer_at(timers, pos), timer_at(timers, parent));
		pos = parent;
	}
}

static void sift_down(struct rr_timers *timers)
{
	guint pos = 0;

	for (;;) {
		guint earliest = pos;
		guint child = 2 * pos + 1;

		for (guint i = child; i <= child + 1; i++) {
			if (i < timers->heap->len &&
			    is_before(timer_at(timers, i),
				      timer_at(timers, earliest)))
				earliest = i;
		}
		if (earliest == pos)
			return;
		swap_timers(timer_at(timers, pos), timer_at(timers, earliest));
		pos = earliest;
	}
}

bool rr_pop_timer(struct rr_timers *timers, int64_t now_us,
		  struct rr_timer *timer)
{
	if (!timers->heap->len || timer_at(timers, 0)->due_us > now_us)
		return false;
	*timer = *timer_at(timers, 0);
	*timer_at(timers, 0) = *timer_at(timers, timers->heap->len - 1);
	g_array_set_size(timers->heap, timers->heap->len - 1);
	sift_down(timers);
	return true;
}

int64_t rr_next_timer_us(const struct rr_timers *timers)
{
	return timers->heap->len ? timer_at(timers, 0)->due_us : INT64_MAX;
}
