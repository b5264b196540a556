/*
 * gather.c - the greatest records of many parts, and the decision when to stop
 * waiting for parts.
 */
#include "ragwort/gather.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Compensates for the rounding of decimal shares: 0.89 of 100 is 89, not 90. */
#define SHARE_EPSILON 1e-9

void rr_init_top_records(struct rr_top_records *top, size_t capacity)
{
	top->records = g_malloc(MAX(capacity, 1) * RR_RECORD_BYTES);
	top->n = 0;
	top->capacity = capacity;
}

void rr_clear_top_records(struct rr_top_records *top)
{
	g_clear_pointer(&top->records, g_free);
	top->n = 0;
}

static uint8_t *record_at(const struct rr_top_records *top, size_t i)
{
	return top->records + i * RR_RECORD_BYTES;
}

/* Insert position of a record: after all that are not less. */
static size_t find_position(const struct rr_top_records *top,
			    const uint8_t *record)
{
	size_t low = 0;
	size_t high = top->n;

	while (low < high) {
		size_t middle = (low + high) / 2;

		if (memcmp(record_at(top, middle), record, RR_RECORD_BYTES) >=
		    0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static void add_record(struct rr_top_records *top, const uint8_t *record)
{
	size_t position = find_position(top, record);
	size_t n_after;

	if (position >= top->capacity)
		return;
	if (top->n < top->capacity)
		top->n++;
	n_after = top->n - 1 - position;
	memmove(record_at(top, position + 1), record_at(top, position),
		n_after * RR_RECORD_BYTES);
	memcpy(record_at(top, position), record, RR_RECORD_BYTES);
}

void rr_add_part_records(struct rr_top_records *top, const uint8_t *body,
			 size_t length)
{
	for (; length >= RR_RECORD_BYTES; length -= RR_RECORD_BYTES) {
		add_record(top, body);
		body += RR_RECORD_BYTES;
	}
}

size_t rr_required_parts(size_t parts, double min_share)
{
	double min_parts = ceil(min_share * (double)parts - SHARE_EPSILON);

	if (min_parts < 1)
		return 1;
	return MIN((size_t)min_parts, parts);
}

enum rr_gather_step rr_decide_gather(const struct rr_gather_state *state)
{
	size_t open = state->parts - state->answered - state->failed;

	if (state->answered + open < state->required)
		return RR_GATHER_FAIL;
	if (!open)
		return RR_GATHER_ANSWER;
	if (state->answered < state->required)
		return RR_GATHER_WAIT;
	if (state->now_us >= state->answer_by_us)
		return RR_GATHER_ANSWER;
	return open > state->unreachable ? RR_GATHER_WAIT : RR_GATHER_ANSWER;
}
