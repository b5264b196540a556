/*
 * feed-report.c - publishing queries of death, which crash replicas, to the
 * store.
 *
 * Each query of death has one key, which is updated by compare-and-swap, one
 * call at a time.  Suspicions are written under a lease and expire with it.
 * Quarantines are written without a lease and stay until they are removed.
 */
#include "core/feed-private.h"

#include "ragwort/counters.h"
#include "ragwort/log.h"

/*
 * Time to live of the lease.  A new lease is granted after half of that time,
 * so that every entry is kept for at least the other half.
 */
#define LEASE_MS 600000
/*
 * Pause between calls, multiplied by the number of instances: limits the fleet
 * to 200 calls a second.
 */
#define CALL_PAUSE_US 5000
/* Maximum queue length; the oldest report is dropped. */
#define MAX_QUEUED_REPORTS 64
/*
 * Maximum number of entries without a lease: while this many entries are known,
 * quarantines are written under the lease as well.
 */
#define MAX_PERSISTENT_ENTRIES 256

struct queued_report {
	struct rr_quarantine_entry *entry;
	bool released;
	bool claim;
};

struct rr_report_queue {
	GQueue pending; /* struct queued_report; the first is in flight */
	struct rr_feed_call_state call_state;
	uint64_t lease;
	int64_t lease_until_us;
	/* Fingerprint -> uint64_t: revisions of own writes. */
	GHashTable *written;
};

static void free_report(gpointer data)
{
	struct queued_report *report = data;

	rr_free_quarantine_entry(report->entry);
	g_free(report);
}

struct rr_report_queue *rr_new_report_queue(void)
{
	struct rr_report_queue *queue = g_new0(struct rr_report_queue, 1);

	g_queue_init(&queue->pending);
	queue->written =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return queue;
}

void rr_drop_report_queue(struct rr_report_queue *queue)
{
	g_queue_clear_full(&queue->pending, free_report);
	g_hash_table_unref(queue->written);
	g_free(queue);
}

void rr_reset_report_queue(struct rr_report_queue *queue)
{
	queue->lease = 0;
	g_hash_table_remove_all(queue->written);
}

/*
 * Find a queued report with the same fingerprint that a new one replaces: no
 * claim, and not in flight.
 */
static GList *find_pending(struct rr_report_queue *queue,
			   const struct rr_fingerprint *fingerprint)
{
	GList *link = queue->pending.head;

	/* The first is in flight. */
	if (link && queue->call_state.call_id)
		link = link->next;
	for (; link; link = link->next) {
		const struct queued_report *report = link->data;

		if (!report->claim &&
		    rr_same_fingerprint(&report->entry->fingerprint,
					fingerprint))
			return link;
	}
	return NULL;
}

void rr_feed_report(struct rr_feed *feed, int64_t now_us,
		    const struct rr_quarantine_report *new_report)
{
	struct rr_report_queue *queue = feed->report_queue;
	struct queued_report *report = g_new0(struct queued_report, 1);
	GList *replaced = find_pending(queue, &new_report->entry->fingerprint);

	feed->now_us = now_us;
	report->entry = rr_copy_quarantine_entry(new_report->entry);
	report->released = new_report->released;
	report->claim = new_report->claim;
	if (replaced) {
		free_report(replaced->data);
		replaced->data = report;
		return;
	}
	g_queue_push_tail(&queue->pending, report);
	if (queue->pending.length > MAX_QUEUED_REPORTS)
		free_report(g_queue_pop_nth(&queue->pending,
					    queue->call_state.call_id ? 1 : 0));
}

/* Remove the first report. */
static void finish_first(struct rr_feed *feed)
{
	struct rr_report_queue *queue = feed->report_queue;

	free_report(g_queue_pop_head(&queue->pending));
	queue->call_state.backoff_us = 0;
	queue->call_state.due_us =
		feed->now_us +
		CALL_PAUSE_US * (int64_t)MAX(feed->n_instances, 1);
}

static const char *
format_report_fingerprint(const struct queued_report *report,
			  char text[RR_FINGERPRINT_TEXT_SIZE])
{
	return rr_format_fingerprint(&report->entry->fingerprint, text);
}

/*
 * Return the latest known revision of the key of a fingerprint, as read or as
 * written by this instance; 0: none.
 */
static uint64_t find_known_revision(const struct rr_feed *feed,
				    const char *text)
{
	const uint64_t *written =
		g_hash_table_lookup(feed->report_queue->written, text);
	uint64_t known_revision = rr_held_revision(feed, text);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, feed->keys);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rr_feed_key_state *state = value;

		if (state->kind == RR_FEED_QUARANTINE &&
		    !g_strcmp0(state->id, text))
			known_revision = state->revision;
	}
	return written ? MAX(*written, known_revision) : known_revision;
}

static uint32_t count_known(const struct rr_feed *feed)
{
	uint32_t n = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, feed->keys);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += ((const struct rr_feed_key_state *)value)->kind ==
		     RR_FEED_QUARANTINE;
	return n;
}

static bool is_persistent(const struct rr_feed *feed,
			  const struct queued_report *report)
{
	return report->released || (report->entry->quarantined &&
				    count_known(feed) < MAX_PERSISTENT_ENTRIES);
}

void rr_tick_report_queue(struct rr_context *ctx, struct rr_feed *feed)
{
	struct rr_report_queue *queue = feed->report_queue;
	struct queued_report *report = g_queue_peek_head(&queue->pending);
	struct rr_feed_call call = { .kind = RR_FEED_REPORT };
	char text[RR_FINGERPRINT_TEXT_SIZE];

	if (!report || queue->call_state.call_id ||
	    queue->call_state.due_us > feed->now_us)
		return;
	if (!is_persistent(feed, report)) {
		if (!queue->lease || queue->lease_until_us <= feed->now_us) {
			call.kind = RR_FEED_LEASE_GRANT;
			call.ttl_ms = LEASE_MS;
			rr_start_feed_call(ctx, feed, &queue->call_state,
					   &call);
			return;
		}
		call.lease = queue->lease;
	}
	call.entry = report->entry;
	call.remove_entry = report->released;
	call.expected_revision = find_known_revision(
		feed, format_report_fingerprint(report, text));
#ifdef RR_MUTANT_REPORTS_KNOW_NO_REVISION
	call.expected_revision = 0;
#endif
	rr_start_feed_call(ctx, feed, &queue->call_state, &call);
}

int64_t rr_report_queue_wake_us(const struct rr_feed *feed)
{
	const struct rr_report_queue *queue = feed->report_queue;

	if (!queue->pending.length || queue->call_state.call_id)
		return INT64_MAX;
	return queue->call_state.due_us;
}

static void report_claim_outcome(struct rr_feed *feed,
				 const struct queued_report *report,
				 bool granted)
{
	if (report->claim)
		feed->actions.claim_decided(feed->actions.data, report->entry,
					    granted);
}

static void set_written_revision(struct rr_feed *feed,
				 const struct queued_report *report,
				 uint64_t revision)
{
	struct rr_report_queue *queue = feed->report_queue;
	char text[RR_FINGERPRINT_TEXT_SIZE];
	uint64_t *stored = g_new(uint64_t, 1);

	*stored = revision;
	if (g_hash_table_size(queue->written) >= MAX_PERSISTENT_ENTRIES)
		g_hash_table_remove_all(queue->written);
	g_hash_table_insert(queue->written,
			    g_strdup(format_report_fingerprint(report, text)),
			    stored);
}

/*
 * Another instance has written the key.  Its entry is passed to the gate, which
 * merges it and publishes the result if that has more crashes.  If the key was
 * removed instead, a report that is neither a claim nor a release is sent
 * again.
 */
static void handle_conflict(struct rr_context *ctx, struct rr_feed *feed,
			    const struct rr_feed_reply *reply)
{
	struct queued_report *report =
		g_queue_peek_head(&feed->report_queue->pending);
	bool again = !reply->items->len && !report->claim && !report->released;

	set_written_revision(feed, report, 0);
	report_claim_outcome(feed, report, false);
	if (again) {
		rr_back_off_feed_call(ctx, feed,
				      &feed->report_queue->call_state);
		return;
	}
	finish_first(feed);
	for (guint i = 0; i < reply->items->len; i++)
		rr_apply_feed_item(ctx, feed,
				   g_ptr_array_index(reply->items, i));
}

static void handle_failure(struct rr_context *ctx, struct rr_feed *feed)
{
	struct queued_report *report =
		g_queue_peek_head(&feed->report_queue->pending);

	rr_count(ctx, RR_N_STORE_FAILURES, 1);
	if (report->claim) {
		report_claim_outcome(feed, report, false);
		finish_first(feed);
		return;
	}
	rr_back_off_feed_call(ctx, feed, &feed->report_queue->call_state);
}

static void handle_success(struct rr_feed *feed,
			   const struct rr_feed_reply *reply)
{
	struct rr_report_queue *queue = feed->report_queue;
	struct queued_report *report = g_queue_peek_head(&queue->pending);

	if (queue->call_state.kind == RR_FEED_LEASE_GRANT) {
		queue->lease = reply->lease;
		queue->lease_until_us =
			feed->now_us + (int64_t)LEASE_MS * 1000 / 2;
		queue->call_state.due_us = feed->now_us;
		return;
	}
	set_written_revision(feed, report,
			     report->released ? 0 : reply->revision);
	report_claim_outcome(feed, report, true);
	finish_first(feed);
}

void rr_handle_report_reply(struct rr_context *ctx, struct rr_feed *feed,
			    const struct rr_feed_reply *reply)
{
	struct rr_report_queue *queue = feed->report_queue;

	if (!reply->call_id || reply->call_id != queue->call_state.call_id)
		return;
	rr_log_feed_call(ctx, feed, &queue->call_state, NULL, reply);
	queue->call_state.call_id = 0;
	switch (reply->status) {
	case RR_FEED_OK:
		handle_success(feed, reply);
		break;
	case RR_FEED_CONFLICT:
		handle_conflict(ctx, feed, reply);
		break;
	case RR_FEED_NO_LEASE:
		queue->lease = 0;
		rr_back_off_feed_call(ctx, feed, &queue->call_state);
		break;
	case RR_FEED_COMPACTED:
	case RR_FEED_FAILED:
		handle_failure(ctx, feed);
		break;
	}
}
