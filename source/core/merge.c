/*
 * merge.c - merging of the rows of complete replies, each key from only one of
 * them.
 */
#include "core/core-private.h"

#include <stdlib.h>

static bool is_key_within(uint64_t key, const struct rr_key_range *ranges,
			  size_t n_ranges)
{
	for (size_t i = 0; i < n_ranges; i++) {
		if (key >= ranges[i].from && key < ranges[i].to)
			return true;
	}
	return false;
}

bool rr_rows_within(const struct rr_rows *rows,
		    const struct rr_key_range *ranges, size_t n_ranges)
{
	size_t n = rr_count_rows(rows);

	for (size_t i = 0; i < n; i++) {
		if (!is_key_within(rr_row_key(rows, i), ranges, n_ranges))
			return false;
	}
	return true;
}

/* Whether any key of the range is already covered. */
static bool overlaps_coverage(const struct rr_coverage *coverage,
			      struct rr_key_range range)
{
	struct rr_key_range gap;

	if (range.from >= range.to)
		return false;
	if (!rr_find_first_gap(coverage, range, &gap))
		return true;
	return gap.from != range.from || gap.to != range.to;
}

/*
 * Keep only rows within `ranges` whose keys no earlier reply has covered.
 * Guards against rows counted twice while shards are being split or joined,
 * when both the old and the new holder answer for the same keys.
 */
static void keep_uncovered(const struct rr_query *query,
			   struct rr_row_block *block,
			   const struct rr_key_range *ranges, size_t n_ranges)
{
	size_t n = rr_count_rows(block->rows);

	block->row_indices = g_new(uint32_t, MAX(1, n));
	block->n_rows = 0;
	for (size_t i = 0; i < n; i++) {
		uint64_t key = rr_row_key(block->rows, i);

		if (is_key_within(key, ranges, n_ranges) &&
		    !rr_covers_key(query->coverage, key))
			block->row_indices[block->n_rows++] = (uint32_t)i;
	}
}

static bool any_covered(const struct rr_query *query,
			const struct rr_key_range *ranges, size_t n_ranges)
{
	for (size_t i = 0; i < n_ranges; i++) {
		if (overlaps_coverage(query->coverage, ranges[i]))
			return true;
	}
	return false;
}

void rr_merge_rows(struct rr_query *query, struct rr_rows *rows,
		   const struct rr_key_range *ranges, size_t n_ranges,
		   bool all_within, uint64_t version)
{
	struct rr_row_block block = { .n_rows = rr_count_rows(rows) };

	/*
	 * All merged replies must have the pinned version: rows of different
	 * versions could contradict each other, for example show the same item
	 * as both present and removed.
	 */
	rr_invariant("one-snapshot", version && version == query->pin_version);
	if (block.n_rows) {
		block.rows = rr_keep_rows(rows);
		if (!all_within || any_covered(query, ranges, n_ranges))
			keep_uncovered(query, &block, ranges, n_ranges);
		query->n_rows += block.n_rows;
		g_array_append_val(query->row_blocks, block);
	}
	for (size_t i = 0; i < n_ranges; i++)
		rr_add_range(query->coverage, ranges[i]);
}

/*
 * A replica returns only rows of the keys requested, but may name all the
 * ranges that it holds: keys that were not requested are not covered by its
 * reply.
 */
GArray *rr_clip_ranges(const struct rr_key_range *ranges, size_t n_ranges,
		       struct rr_key_range requested)
{
	GArray *clipped =
		g_array_new(FALSE, FALSE, sizeof(struct rr_key_range));

	for (size_t i = 0; i < n_ranges; i++) {
		struct rr_key_range range = {
			.from = MAX(ranges[i].from, requested.from),
			.to = MIN(ranges[i].to, requested.to),
		};

		if (range.from < range.to)
			g_array_append_val(clipped, range);
	}
	return clipped;
}

struct sort_entry {
	uint64_t key;
	uint32_t block;
	uint32_t index;
};

static int compare_entries(const void *a, const void *b)
{
	const struct sort_entry *x = a;
	const struct sort_entry *y = b;

	if (x->key != y->key)
		return x->key < y->key ? -1 : 1;
	if (x->block != y->block)
		return x->block < y->block ? -1 : 1;
	return x->index < y->index ? -1 : x->index > y->index;
}

static size_t gather_entries(const struct rr_query *query,
			     struct sort_entry *entries)
{
	size_t n = 0;

	for (guint b = 0; b < query->row_blocks->len; b++) {
		struct rr_row_block *block = &g_array_index(
			query->row_blocks, struct rr_row_block, b);

		for (size_t i = 0; i < block->n_rows; i++) {
			uint32_t row = block->row_indices ?
					       block->row_indices[i] :
					       (uint32_t)i;

			entries[n].key = rr_row_key(block->rows, row);
			entries[n].block = b;
			entries[n].index = row;
			n++;
		}
	}
	return n;
}

GArray *rr_sorted_rows(const struct rr_query *query, size_t limit)
{
	struct sort_entry *entries =
		g_new(struct sort_entry, MAX(1, query->n_rows));
	size_t n = gather_entries(query, entries);
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct rr_answer_row));

	qsort(entries, n, sizeof(*entries), compare_entries);
	for (size_t i = 0; i < MIN(n, limit); i++) {
		struct rr_row_block *block =
			&g_array_index(query->row_blocks, struct rr_row_block,
				       entries[i].block);
		struct rr_answer_row row = {
			.rows = block->rows,
			.index = entries[i].index,
		};

		g_array_append_val(rows, row);
	}
	g_free(entries);
	return rows;
}

void rr_clear_row_blocks(struct rr_query *query)
{
	for (guint b = 0; b < query->row_blocks->len; b++) {
		struct rr_row_block *block = &g_array_index(
			query->row_blocks, struct rr_row_block, b);

		rr_drop_rows(block->rows);
		g_free(block->row_indices);
	}
	g_array_set_size(query->row_blocks, 0);
	query->n_rows = 0;
}

void rr_clear_merge(struct rr_query *query)
{
	rr_clear_row_blocks(query);
	query->has_more = false;
	rr_clear_coverage(query->coverage);
}
