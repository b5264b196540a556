/*
 * coverage.c - a union of key ranges, kept sorted and merged.
 */
#include "ragwort/coverage.h"

#include <glib.h>

struct rr_coverage {
	GArray *ranges; /* struct rr_key_range: sorted, none touching another */
};

struct rr_coverage *rr_new_coverage(void)
{
	struct rr_coverage *coverage = g_new(struct rr_coverage, 1);

	coverage->ranges =
		g_array_new(FALSE, FALSE, sizeof(struct rr_key_range));
	return coverage;
}

void rr_drop_coverage(struct rr_coverage *coverage)
{
	if (!coverage)
		return;
	g_array_unref(coverage->ranges);
	g_free(coverage);
}

static struct rr_key_range *range_at(const struct rr_coverage *coverage,
				     guint i)
{
	return &g_array_index(coverage->ranges, struct rr_key_range, i);
}

/*
 * Index of the first range that ends at or after `key`; no earlier range can
 * touch the key.
 */
static guint first_reaching(const struct rr_coverage *coverage, uint64_t key)
{
	guint low = 0;
	guint high = coverage->ranges->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;

		if (range_at(coverage, middle)->to < key)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

void rr_add_range(struct rr_coverage *coverage, struct rr_key_range range)
{
	guint first;
	guint end;

	if (range.from >= range.to)
		return;
	first = first_reaching(coverage, range.from);
	end = first;
	while (end < coverage->ranges->len &&
	       range_at(coverage, end)->from <= range.to) {
		range.from = MIN(range.from, range_at(coverage, end)->from);
		range.to = MAX(range.to, range_at(coverage, end)->to);
		end++;
	}
	if (end > first)
		g_array_remove_range(coverage->ranges, first, end - first);
	g_array_insert_val(coverage->ranges, first, range);
}

bool rr_find_first_gap(const struct rr_coverage *coverage,
		       struct rr_key_range within, struct rr_key_range *gap)
{
	uint64_t key = within.from;
	guint i = first_reaching(coverage, key);

	for (; i < coverage->ranges->len && key < within.to; i++) {
		struct rr_key_range *range = range_at(coverage, i);

		if (range->from > key)
			break;
		key = MAX(key, range->to);
	}
	if (key >= within.to)
		return false;
	gap->from = key;
	gap->to = within.to;
	if (i < coverage->ranges->len)
		gap->to = MIN(gap->to, range_at(coverage, i)->from);
	return true;
}

bool rr_covers_range(const struct rr_coverage *coverage,
		     struct rr_key_range range)
{
	struct rr_key_range gap;

	return !rr_find_first_gap(coverage, range, &gap);
}

bool rr_covers_key(const struct rr_coverage *coverage, uint64_t key)
{
	guint i = first_reaching(coverage, key);

	/*
	 * The first range found may end at the key and so not contain it, as
	 * `to` is exclusive; then the next range may.
	 */
	for (; i < coverage->ranges->len; i++) {
		struct rr_key_range *range = range_at(coverage, i);

		if (range->from > key)
			return false;
		if (key < range->to)
			return true;
	}
	return false;
}

void rr_clear_coverage(struct rr_coverage *coverage)
{
	g_array_set_size(coverage->ranges, 0);
}
