/*
 * list.c - pages of all rows in key order, pinned to one index version by their
 * cursor.
 *
 * A page queries one shard after the other, so that at most one page of rows is
 * held in memory.  It ends before a shard that is missing: the answer names the
 * shard and has a cursor that continues there, so that a list never has a gap.
 */
#include "core/core-private.h"

bool rr_begin_list(struct rr_context *ctx, struct rr_core *core,
		   struct rr_query *query, const char *cursor,
		   char **error_text)
{
	GError *error = NULL;

	*error_text = NULL;
	if (!cursor)
		return true;
	if (!rr_decode_cursor(query->service->name, cursor, &query->cursor,
			      &error)) {
		*error_text = g_strdup(error ? error->message : "bad cursor");
		g_clear_error(&error);
		return false;
	}
	query->key_from = query->cursor.next_key;
	if (query->cursor.version)
		rr_pin_query(ctx, core, query, query->cursor.version,
			     query->cursor.map_epoch, "cursor");
	return true;
}

uint32_t rr_list_row_limit(const struct rr_query *query)
{
	uint64_t requested =
		(uint64_t)query->max_rows + query->cursor.skip_rows;

	return (uint32_t)(requested > query->n_rows ?
				  requested - query->n_rows :
				  1);
}

void rr_end_list_page(struct rr_query *query, const struct rr_rows *rows)
{
	uint64_t last = 0;

	for (size_t i = 0; i < rr_count_rows(rows); i++)
		last = MAX(last, rr_row_key(rows, i));
	query->key_to = MIN(query->key_to, last + 1);
}

/*
 * Index of the first shard, from `first` on, with keys of the page; n_shards if
 * none.
 */
static size_t next_shard(const struct rr_query *query, size_t first)
{
	const struct rr_service_map *map = query->map;

	while (first < map->n_shards &&
	       map->shards[first].config->key_to <= query->key_from)
		first++;
	return first;
}

/* A page, and the cursor from which the list continues after it. */
struct page {
	GArray *rows; /* rows of the page */
	struct rr_cursor next;
	bool has_next;
};

/*
 * Set the cursor after the last row of the page.  skip_rows counts the rows of
 * its key returned so far, as a key may have several.
 */
static void set_cursor_after_row(const struct rr_query *query,
				 struct page *page)
{
	struct rr_answer_row *last = &g_array_index(
		page->rows, struct rr_answer_row, page->rows->len - 1);
	uint64_t key = rr_row_key(last->rows, last->index);

	page->next.next_key = key;
	page->next.skip_rows = 0;
	for (guint i = page->rows->len; i > 0; i--) {
		struct rr_answer_row *row =
			&g_array_index(page->rows, struct rr_answer_row, i - 1);

		if (rr_row_key(row->rows, row->index) != key)
			break;
		page->next.skip_rows++;
	}
	if (key == query->cursor.next_key)
		page->next.skip_rows += query->cursor.skip_rows;
	page->has_next = true;
}

/* Drop the rows of the cursor's key that earlier pages have returned. */
static void drop_returned_rows(const struct rr_query *query, GArray *rows)
{
	uint32_t skip = 0;

	while (skip < query->cursor.skip_rows && skip < rows->len) {
		struct rr_answer_row *row =
			&g_array_index(rows, struct rr_answer_row, skip);

		if (rr_row_key(row->rows, row->index) != query->cursor.next_key)
			break;
		skip++;
	}
	g_array_remove_range(rows, 0, skip);
}

static void set_cursor_at_key(struct page *page, uint64_t key)
{
	page->next.next_key = key;
	page->next.skip_rows = 0;
	page->has_next = true;
}

/* Find the first key, from the start of the page on, that no reply covers. */
static bool find_resume_key(const struct rr_query *query, uint64_t *key)
{
	const struct rr_service_map *map = query->map;

	for (size_t i = next_shard(query, 0); i < map->n_shards; i++) {
		const struct rr_shard_config *shard = map->shards[i].config;
		struct rr_key_range within = {
			MAX(shard->key_from, query->key_from), shard->key_to
		};
		struct rr_key_range gap;

		if (!rr_find_first_gap(query->coverage, within, &gap))
			continue;
		*key = gap.from;
		return true;
	}
	return false;
}

/*
 * Drop rows from `key` on, the first key that no reply covers.  Guards against
 * a list with a gap: a replica that held only part of its shard's keys during a
 * split may have returned rows beyond the end of the page.  They are left to
 * the next page, which starts at that key.
 */
static void drop_rows_from(GArray *rows, uint64_t key)
{
	guint n = 0;

	while (n < rows->len) {
		struct rr_answer_row *row =
			&g_array_index(rows, struct rr_answer_row, n);

		if (rr_row_key(row->rows, row->index) >= key)
			break;
		n++;
	}
	g_array_set_size(rows, n);
}

static void make_page(const struct rr_query *query, struct page *page)
{
	uint64_t resume_key = 0;
	bool gap = find_resume_key(query, &resume_key);
	bool overfull;

	page->rows = rr_sorted_rows(query, SIZE_MAX);
	if (gap)
		drop_rows_from(page->rows, resume_key);
	drop_returned_rows(query, page->rows);
	overfull = page->rows->len > query->max_rows;
	if (overfull)
		g_array_set_size(page->rows, query->max_rows);
	page->next.version = query->pin_version;
	page->next.map_epoch = query->pin_epoch;
	if ((overfull || query->has_more) && page->rows->len) {
		set_cursor_after_row(query, page);
	} else if (query->has_more) {
		/*
		 * All rows received were on earlier pages: return the cursor of
		 * this page again.
		 */
		page->next = query->cursor;
		page->next.version = query->pin_version;
		page->has_next = true;
	} else if (gap && resume_key == query->cursor.next_key) {
		page->next.next_key = resume_key;
		page->next.skip_rows = query->cursor.skip_rows;
		page->has_next = true;
	} else if (gap) {
		set_cursor_at_key(page, resume_key);
	}
}

static void answer_page(struct rr_context *ctx, struct rr_core *core,
			struct rr_query *query, enum rr_outcome outcome,
			const char *reason)
{
	struct page page = { .has_next = false };
	struct rr_answer answer = { .outcome = outcome, .reason = reason };
	char *cursor = NULL;

	make_page(query, &page);
	/*
	 * With RR_GONE no cursor is returned: the version that it would be
	 * pinned to is no longer held, so the list must be started again.
	 */
	if (page.has_next && page.next.version && outcome != RR_GONE)
		cursor = rr_encode_cursor(query->service->name, &page.next);
	answer.rows = (const struct rr_answer_row *)page.rows->data;
	answer.n_rows = page.rows->len;
	answer.has_more = page.has_next;
	answer.index_version = query->pin_version;
	answer.map_epoch = query->pin_epoch;
	answer.next_cursor = cursor;
	rr_deliver_answer(ctx, core, query, &answer);
	g_free(cursor);
	g_array_unref(page.rows);
	rr_end_query(ctx, core, query);
}

static bool is_page_full(const struct rr_query *query)
{
	return query->has_more ||
	       query->n_rows >=
		       (uint64_t)query->max_rows + query->cursor.skip_rows;
}

/* End the page before the shard of the last task, which failed. */
static void end_before_missing(struct rr_context *ctx, struct rr_core *core,
			       struct rr_query *query, struct rr_task *task)
{
	if (!query->n_covered && query->cursor.version &&
	    task->reason == RR_MISSING_VERSION) {
		answer_page(ctx, core, query, RR_GONE, "version-not-held");
		return;
	}
	if (!query->n_covered && !query->n_maybe_run) {
		answer_page(ctx, core, query, RR_NOT_RUN,
			    rr_missing_reason_name(task->reason));
		return;
	}
	if (query->n_covered && task->reason == RR_MISSING_DEADLINE) {
		/*
		 * The page ends early, before this shard, as its deadline was
		 * reached.  The shard does not count as missing: the next page
		 * starts there.
		 */
		query->n_tasks--;
		answer_page(ctx, core, query, RR_COMPLETE, NULL);
		return;
	}
	answer_page(ctx, core, query, RR_PARTIAL, NULL);
}

void rr_advance_list(struct rr_context *ctx, struct rr_core *core,
		     struct rr_query *query)
{
	struct rr_task *task =
		query->n_tasks ? &query->tasks[query->n_tasks - 1] : NULL;
	size_t next = next_shard(query, task ? task->shard + 1 : 0);

	if (task && task->status == RR_TASK_FAILED) {
		end_before_missing(ctx, core, query, task);
		return;
	}
	if (next == query->map->n_shards || (task && is_page_full(query))) {
		answer_page(ctx, core, query, RR_COMPLETE, NULL);
		return;
	}
	rr_add_tasks(query, next, 1);
	rr_schedule_query(core, query);
}
