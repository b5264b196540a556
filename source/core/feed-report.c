/*
 * feed-report.c - publishing queries of death to the store.
 *
 * Each has one key, which is updated by compare-and-swap, one call at a time.
 * Suspicions are written under a lease and expire with it.  Quarantines are
 * written without a lease and stay until they are removed.
 */
#include "core/feed-private.h"

#include "ragwort/counters.h"
#include "ragwort/log.h"

/* A lease is used for half of its time, then a new one is granted. */
#define LEASE_MS 600000
/*
 * Pause between calls, per instance of the fleet: bounds the rate of the whole
 * fleet at 200 calls a second.
 */
#define GAP_US 5000
/* Bounds the queue; the oldest report is dropped. */
#define MOST_WAITING 64
/* Maximum number of entries without a lease. */
#define MOST_LASTING 256

struct waiting_report {
	struct rr_quarantine_entry *entry;
	bool released;
	bool claim;
};

struct rr_report_queue {
	GQueue waiting; /* struct waiting_report; the first is in flight */
	struct rr_feed_call_state line;
	uint64_t lease;
	int64_t lease_until_us;
	/* Fingerprint -> uint64_t: revisions of own writes. */
	GHashTable *written;
};

static void free_report(gpointer data)
{
	struct waiting_report *report = data;

	rr_free_quarantine_entry(report->entry);
	g_free(report);
}

struct rr_report_queue *rr_new_report_queue(void)
{
	struct rr_report_queue *reports = g_new0(struct rr_report_queue, 1);

	g_queue_init(&reports->waiting);
	reports->written =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return reports;
}

void rr_drop_report_queue(struct rr_report_queue *reports)
{
	g_queue_clear_full(&reports->waiting, free_report);
	g_hash_table_unref(reports->written);
	g_free(reports);
}

/* A queued report of the same content, which a later one replaces. */
static GList *find_waiting(struct rr_report_queue *reports,
			   const struct rr_fingerprint *fingerprint)
{
	GList *link = reports->waiting.head;

	/* The first is in flight. */
	if (link && reports->line.call_id)
		link = link->next;
	for (; link; link = link->next) {
		const struct waiting_report *report = link->data;

		if (!report->claim &&
		    rr_same_fingerprint(&report->entry->fingerprint,
					fingerprint))
			return link;
	}
	return NULL;
}

void rr_feed_report(struct rr_feed *feed, int64_t now_us,
		    const struct rr_quarantine_report *told)
{
	struct rr_report_queue *reports = feed->report_queue;
	struct waiting_report *report = g_new0(struct waiting_report, 1);
	GList *before = find_waiting(reports, &told->entry->fingerprint);

	feed->now_us = now_us;
	report->entry = rr_copy_quarantine_entry(told->entry);
	report->released = told->released;
	report->claim = told->claim;
	if (before) {
		free_report(before->data);
		before->data = report;
		return;
	}
	g_queue_push_tail(&reports->waiting, report);
	if (reports->waiting.length > MOST_WAITING)
		free_report(g_queue_pop_nth(&reports->waiting,
					    reports->line.call_id ? 1 : 0));
}

/* Remove the first report. */
static void end_first(struct rr_feed *feed)
{
	struct rr_report_queue *reports = feed->report_queue;

	free_report(g_queue_pop_head(&reports->waiting));
	reports->line.backoff_us = 0;
	reports->line.due_us =
		feed->now_us + GAP_US * (int64_t)MAX(feed->n_instances, 1);
}

static const char *text_of(const struct waiting_report *report,
			   char text[RR_FINGERPRINT_TEXT_SIZE])
{
	return rr_format_fingerprint(&report->entry->fingerprint, text);
}

/* The latest known revision of its key, or 0. */
static uint64_t revision_of(const struct rr_feed *feed, const char *text)
{
	const uint64_t *written =
		g_hash_table_lookup(feed->report_queue->written, text);
	uint64_t known_revision = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, feed->keys);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rr_feed_key_state *known = value;

		if (known->kind == RR_FEED_QUARANTINE &&
		    !g_strcmp0(known->id, text))
			known_revision = known->revision;
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

static bool lasts(const struct rr_feed *feed,
		  const struct waiting_report *report)
{
	return report->released ||
	       (report->entry->quarantined && count_known(feed) < MOST_LASTING);
}

void rr_tick_report_queue(struct rr_context *ctx, struct rr_feed *feed)
{
	struct rr_report_queue *reports = feed->report_queue;
	struct waiting_report *report = g_queue_peek_head(&reports->waiting);
	struct rr_feed_call call = { .kind = RR_FEED_REPORT };
	char text[RR_FINGERPRINT_TEXT_SIZE];

	if (!report || reports->line.call_id ||
	    reports->line.due_us > feed->now_us)
		return;
	if (!lasts(feed, report)) {
		if (!reports->lease ||
		    reports->lease_until_us <= feed->now_us) {
			call.kind = RR_FEED_LEASE_GRANT;
			call.ttl_ms = LEASE_MS;
			rr_start_feed_call(ctx, feed, &reports->line, &call);
			return;
		}
		call.lease = reports->lease;
	}
	call.entry = report->entry;
	call.remove_entry = report->released;
	call.expected_revision = revision_of(feed, text_of(report, text));
#ifdef RR_MUTANT_REPORTS_KNOW_NO_REVISION
	call.expected_revision = 0;
#endif
	rr_start_feed_call(ctx, feed, &reports->line, &call);
}

int64_t rr_report_queue_wake_us(const struct rr_feed *feed)
{
	const struct rr_report_queue *reports = feed->report_queue;

	if (!reports->waiting.length || reports->line.call_id)
		return INT64_MAX;
	return reports->line.due_us;
}

static void tell_claim(struct rr_feed *feed,
		       const struct waiting_report *report, bool granted)
{
	if (report->claim)
		feed->actions.claim_decided(feed->actions.data, report->entry,
					    granted);
}

static void set_written(struct rr_feed *feed,
			const struct waiting_report *report, uint64_t revision)
{
	struct rr_report_queue *reports = feed->report_queue;
	char text[RR_FINGERPRINT_TEXT_SIZE];
	uint64_t *kept = g_new(uint64_t, 1);

	*kept = revision;
	if (g_hash_table_size(reports->written) >= MOST_LASTING)
		g_hash_table_remove_all(reports->written);
	g_hash_table_insert(reports->written, g_strdup(text_of(report, text)),
			    kept);
}

/*
 * Another instance has written the key.  Its entry is merged, and the gate
 * publishes the result if it has more crashes.
 */
static void take_conflict(struct rr_context *ctx, struct rr_feed *feed,
			  const struct rr_feed_reply *reply)
{
	struct waiting_report *report =
		g_queue_peek_head(&feed->report_queue->waiting);
	bool again = !reply->items->len && !report->claim && !report->released;

	set_written(feed, report, 0);
	tell_claim(feed, report, false);
	if (again) {
		rr_back_off_feed_call(ctx, feed, &feed->report_queue->line);
		return;
	}
	end_first(feed);
	for (guint i = 0; i < reply->items->len; i++)
		rr_apply_feed_item(ctx, feed,
				   g_ptr_array_index(reply->items, i));
}

static void take_failure(struct rr_context *ctx, struct rr_feed *feed)
{
	struct waiting_report *report =
		g_queue_peek_head(&feed->report_queue->waiting);

	rr_count(ctx, RR_N_STORE_FAILURES, 1);
	if (report->claim) {
		tell_claim(feed, report, false);
		end_first(feed);
		return;
	}
	rr_back_off_feed_call(ctx, feed, &feed->report_queue->line);
}

static void take_good(struct rr_feed *feed, const struct rr_feed_reply *reply)
{
	struct rr_report_queue *reports = feed->report_queue;
	struct waiting_report *report = g_queue_peek_head(&reports->waiting);

	if (reports->line.kind == RR_FEED_LEASE_GRANT) {
		reports->lease = reply->lease;
		reports->lease_until_us =
			feed->now_us + (int64_t)LEASE_MS * 1000 / 2;
		reports->line.due_us = feed->now_us;
		return;
	}
	set_written(feed, report, report->released ? 0 : reply->revision);
	tell_claim(feed, report, true);
	end_first(feed);
}

void rr_handle_report_reply(struct rr_context *ctx, struct rr_feed *feed,
			    const struct rr_feed_reply *reply)
{
	struct rr_report_queue *reports = feed->report_queue;

	if (!reply->call_id || reply->call_id != reports->line.call_id)
		return;
	rr_log_feed_call(ctx, feed, &reports->line, NULL, reply);
	reports->line.call_id = 0;
	switch (reply->status) {
	case RR_FEED_OK:
		take_good(feed, reply);
		break;
	case RR_FEED_CONFLICT:
		take_conflict(ctx, feed, reply);
		break;
	case RR_FEED_NO_LEASE:
		reports->lease = 0;
		rr_back_off_feed_call(ctx, feed, &reports->line);
		break;
	case RR_FEED_COMPACTED:
	case RR_FEED_FAILED:
		take_failure(ctx, feed);
		break;
	}
}
