/*
 * ledger-era.c - the era of the store, for claims that a restore has lost.
 *
 * A store that is restored from a copy has lost the claims acknowledged since
 * the copy was made, and gives their revisions out again.  The key RECORD_KEY
 * holds the era in which the ledger was last used.  The first instance that
 * finds a later era writes it there, with a floor: ids created before it may
 * have been claimed and run, and are rejected unless they have an entry.  All
 * writes of buckets are guarded by the revision of that key, so that none that
 * is based on an earlier era takes effect once claims are decided in a later
 * one.
 */
#include "core/ledger-private.h"
#include "ragwort/counters.h"

#include <string.h>

#define RECORD_KEY "ledger/era"
/*
 * How much later than now the floor is: an id may be that much ahead of the
 * clock of the instance that claimed it.
 */
#define FLOOR_MARGIN_S 300
#define RETRY_MS 100

bool rr_ledger_era_is_recorded(const struct rr_ledger *ledger)
{
	return ledger->era.recorded == ledger->era.known;
}

bool rr_ledger_guard(const struct rr_ledger *ledger,
		     struct rr_store_guard *guard)
{
#ifdef RR_MUTANT_LEDGER_NO_GUARD
	return false;
#endif
	*guard = (struct rr_store_guard){ RECORD_KEY, ledger->era.revision };
	return ledger->era.known != 0;
}

static void start_call(struct rr_context *ctx, struct rr_ledger *ledger,
		       int64_t now_us, bool is_write)
{
	struct rr_ledger_era *era = &ledger->era;

	era->call_id = (*ledger->options.next_call_id)++;
	era->is_write = is_write;
	era->call_deadline_us =
		now_us + (int64_t)ledger->options.call_timeout_ms * 1000;
	rr_count(ctx, RR_N_STORE_CALLS, 1);
}

void rr_advance_ledger_era(struct rr_context *ctx, struct rr_ledger *ledger,
			   int64_t now_us)
{
	const struct rr_store_port *store = &ledger->options.store;
	struct rr_ledger_era *era = &ledger->era;

	if (rr_ledger_era_is_recorded(ledger) || era->call_id ||
	    now_us < era->retry_us)
		return;
	start_call(ctx, ledger, now_us, false);
	store->get(store->data, era->call_id, RECORD_KEY);
}

bool rr_note_ledger_era(struct rr_context *ctx, struct rr_ledger *ledger,
			const struct rr_store_reply *reply)
{
	struct rr_ledger_era *era = &ledger->era;

#ifdef RR_MUTANT_LEDGER_IGNORES_ERA
	return true;
#endif
	if (!reply->era || reply->era == era->known)
		return true;
	if (reply->era < era->known)
		return false;
	if (era->known) {
		era->was_restored = true;
		rr_count(ctx, RR_N_STORE_RESTORES, 1);
		rr_log(ctx, RR_LOG_WARNING, "ledger-store-restored",
		       RR_FIELD_U64("era", reply->era),
		       RR_FIELD_U64("era_before", era->known));
	}
	era->known = reply->era;
	rr_forget_bucket_values(ledger);
	return false;
}

void rr_expire_ledger_era(struct rr_ledger *ledger)
{
	ledger->era.recorded = 0;
}

static void write_record(struct rr_context *ctx, struct rr_ledger *ledger,
			 int64_t now_us, uint64_t revision, int64_t floor_s)
{
	const struct rr_store_port *store = &ledger->options.store;
	struct rr_ledger_era *era = &ledger->era;
	char *text;

	era->written = (struct rr_ledger_era_value){ era->known, floor_s };
	text = rr_encode_ledger_era(&era->written);
	start_call(ctx, ledger, now_us, true);
	store->compare_and_swap(store->data, era->call_id, RECORD_KEY, revision,
				text, strlen(text), NULL);
	g_free(text);
}

/* The floor of an era that begins now. */
static int64_t new_floor_s(const struct rr_ledger *ledger, int64_t now_us)
{
	return (now_us + ledger->wall_offset_us) / G_USEC_PER_SEC +
	       FLOOR_MARGIN_S;
}

static void adopt_record(struct rr_context *ctx, struct rr_ledger *ledger,
			 const struct rr_ledger_era_value *value,
			 uint64_t revision)
{
	struct rr_ledger_era *era = &ledger->era;

	if (value->floor_s != era->floor_s)
		rr_log(ctx, RR_LOG_INFO, "ledger-floor",
		       RR_FIELD_U64("era", era->known),
		       RR_FIELD_I64("floor_s", value->floor_s));
	era->recorded = era->known;
	era->floor_s = value->floor_s;
	era->revision = revision;
}

static void handle_read_reply(struct rr_context *ctx, struct rr_ledger *ledger,
			      int64_t now_us,
			      const struct rr_store_reply *reply)
{
	struct rr_ledger_era_value value = { 0 };

	/*
	 * Without a record the ledger was never used since eras are recorded,
	 * unless this process saw the restore.
	 */
	if (!reply->value) {
		write_record(ctx, ledger, now_us, reply->revision,
			     ledger->era.was_restored ?
				     new_floor_s(ledger, now_us) :
				     0);
		return;
	}
	if (rr_decode_ledger_era(reply->value, reply->length, &value) &&
	    value.era >= ledger->era.known) {
		adopt_record(ctx, ledger, &value, reply->revision);
		return;
	}
	write_record(ctx, ledger, now_us, reply->revision,
		     MAX(value.floor_s, new_floor_s(ledger, now_us)));
}

bool rr_handle_ledger_era_reply(struct rr_context *ctx,
				struct rr_ledger *ledger, int64_t now_us,
				const struct rr_store_reply *reply)
{
	struct rr_ledger_era *era = &ledger->era;

	if (!era->call_id || reply->call_id != era->call_id)
		return false;
	era->call_id = 0;
	/* A call made in another era, without a reply, or after a conflict. */
	if (!rr_note_ledger_era(ctx, ledger, reply) ||
	    reply->status != RR_STORE_OK) {
		if (reply->status != RR_STORE_OK)
			era->retry_us =
				now_us +
				(1 + rr_random_below(ctx, RETRY_MS)) * 1000;
	} else if (era->is_write) {
		/* One that was written for an earlier era is read again. */
		if (era->written.era == era->known)
			adopt_record(ctx, ledger, &era->written,
				     reply->revision);
	} else {
		handle_read_reply(ctx, ledger, now_us, reply);
	}
	return true;
}

void rr_tick_ledger_era(struct rr_context *ctx, struct rr_ledger *ledger,
			int64_t now_us)
{
	struct rr_ledger_era *era = &ledger->era;
	struct rr_store_reply lost = { .call_id = era->call_id,
				       .status = RR_STORE_UNKNOWN };

	if (era->call_id && now_us >= era->call_deadline_us) {
		g_hash_table_add(
			ledger->timed_out_calls,
			g_memdup2(&era->call_id, sizeof(era->call_id)));
		rr_handle_ledger_era_reply(ctx, ledger, now_us, &lost);
	}
	if (ledger->active_buckets->len)
		rr_advance_ledger_era(ctx, ledger, now_us);
}

int64_t rr_ledger_era_wake_us(const struct rr_ledger *ledger)
{
	const struct rr_ledger_era *era = &ledger->era;

	if (era->call_id)
		return era->call_deadline_us;
	/* Without claims nothing waits for the record. */
	if (rr_ledger_era_is_recorded(ledger) || !ledger->active_buckets->len)
		return INT64_MAX;
	return era->retry_us;
}
