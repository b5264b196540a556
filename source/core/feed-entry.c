/*
 * feed-entry.c - the entries of instances in the store.
 *
 * The first of a zone enter themselves, each under a lease of its own; the
 * others ask one of these to enter them under its lease, and ask again every
 * few seconds.  What an instance that died has entered stands until its lease
 * ends; by then the others have asked another one.
 */
#include "core/feed-private.h"

#include "ragwort/counters.h"
#include "ragwort/log.h"

/*
 * Entries last this long without renewal: a freeze of seconds leaves them in
 * place, so that the others do not take this instance's share.
 */
#define LEASE_MS 12000
/*
 * Renewal, which also tells whether the store answers: a change has to be in
 * force within three seconds, and a watch that fell silent shows only here.
 */
#define KEEP_US (1500 * 1000)
/* How often another is asked to keep the entry: a third of the lease. */
#define ASK_US (4 * G_USEC_PER_SEC)
/* Entries of others wait so long, so that those that start together share. */
#define GATHER_US (400 * 1000)
/* Keys of one write, as the platform allows. */
#define MOST_KEYS 32
/*
 * Nobody has entered this instance for so long, though it asked: it enters
 * itself.  Longer than a lease: when those that entered it are gone, others
 * are in their place by then.
 */
#define UNENTERED_US (15 * G_USEC_PER_SEC)

/* The instance to be entered by; NULL: by itself. */
static const char *find_enterer(struct rr_feed *feed)
{
	if (feed->now_us - feed->last_registered_us >= UNENTERED_US)
		feed->registers_itself = true;
	if (feed->registers_itself)
		return NULL;
	return rr_find_registrar(feed->sources, feed->registrar_turn);
}

static void write_entries(struct rr_context *ctx, struct rr_feed *feed)
{
	struct rr_registration_batch batch =
		rr_take_registration_batch(feed->registrations, MOST_KEYS - 1);
	struct rr_feed_call call = { .kind = RR_FEED_WRITE_ENTRIES,
				     .lease = feed->lease,
				     .added = batch.added,
				     .removed = batch.removed };

	if (!feed->is_registered)
		g_ptr_array_insert(batch.added, 0, feed->self);
	rr_start_feed_call(ctx, feed, &feed->entry, &call);
	rr_clear_registration_batch(&batch);
}

/*
 * Guards against a lease that ends since entries are written one after the
 * other: a write does not renew it.
 */
static bool must_keep(const struct rr_feed *feed)
{
	return feed->is_registered &&
	       feed->now_us - feed->lease_renewed_us >= ASK_US;
}

/* Enter this instance and others by calls to the store. */
static void renew(struct rr_context *ctx, struct rr_feed *feed)
{
	struct rr_feed_call call = { .kind = RR_FEED_LEASE_GRANT,
				     .ttl_ms = LEASE_MS,
				     .lease = feed->lease };

	g_clear_pointer(&feed->registrar, g_free);
	rr_expire_registrations(feed->registrations,
				feed->now_us - (int64_t)LEASE_MS * 1000);
	if (feed->lease && !must_keep(feed) &&
	    (!feed->is_registered ||
	     rr_has_unwritten_registrations(feed->registrations))) {
		write_entries(ctx, feed);
		return;
	}
	if (feed->lease)
		call.kind = RR_FEED_LEASE_RENEW;
	rr_start_feed_call(ctx, feed, &feed->entry, &call);
}

/* The lease is left to end: by then the entry is under the other's. */
static void ask_to_be_entered(struct rr_context *ctx, struct rr_feed *feed,
			      const char *enterer)
{
	GPtrArray *entered = g_ptr_array_new();
	struct rr_feed_call call = { .kind = RR_FEED_WRITE_ENTRIES,
				     .added = entered };

	g_ptr_array_add(entered, feed->self);
	g_free(feed->registrar);
	feed->registrar = g_strdup(enterer);
	call.peer = feed->registrar;
	feed->lease = 0;
	feed->is_registered = false;
	feed->watch_suspected = false;
	rr_rewrite_all_registrations(feed->registrations);
	rr_start_feed_call(ctx, feed, &feed->entry, &call);
	g_ptr_array_unref(entered);
}

/* Who is entered by whom shows once everything was read. */
static bool may_enter(const struct rr_feed *feed)
{
	return feed->has_synced && !feed->peer_recheck_us && !feed->leaving &&
	       rr_peer_sources_enabled(feed->sources);
}

void rr_tick_feed_entry(struct rr_context *ctx, struct rr_feed *feed)
{
	const char *enterer;

	if (feed->entry.call_id || !may_enter(feed) ||
	    feed->entry.due_us > feed->now_us)
		return;
	enterer = find_enterer(feed);
	if (enterer)
		ask_to_be_entered(ctx, feed, enterer);
	else
		renew(ctx, feed);
}

int64_t rr_feed_entry_wake_us(const struct rr_feed *feed)
{
	if (feed->entry.call_id || !may_enter(feed))
		return INT64_MAX;
	return feed->entry.due_us;
}

static void take_from_store(struct rr_context *ctx, struct rr_feed *feed,
			    const struct rr_feed_reply *reply)
{
	rr_end_watch_suspicion(ctx, feed);
	feed->last_registered_us = feed->now_us;
	switch (feed->entry.kind) {
	case RR_FEED_LEASE_GRANT:
		feed->lease = reply->lease;
		feed->lease_renewed_us = feed->now_us;
		feed->is_registered = false;
		feed->entry.due_us = feed->now_us;
		return;
	case RR_FEED_WRITE_ENTRIES:
		feed->is_registered = true;
		rr_confirm_registration_batch(feed->registrations,
					      reply->revision);
		break;
	default:
		feed->lease_renewed_us = feed->now_us;
		break;
	}
	feed->entry.due_us =
		feed->now_us +
		(rr_has_unwritten_registrations(feed->registrations) ?
			 GATHER_US :
			 KEEP_US);
}

/* Another instance took this one's entry over. */
static void take_from_enterer(struct rr_feed *feed)
{
	feed->last_registered_us = feed->now_us;
	feed->entry.due_us = feed->now_us + ASK_US;
}

static void take_failure(struct rr_context *ctx, struct rr_feed *feed)
{
	if (feed->registrar) {
		feed->registrar_turn++;
	} else {
		rr_count(ctx, RR_N_STORE_FAILURES, 1);
		feed->watch_suspected = true;
		rr_retry_registration_batch(feed->registrations);
		rr_set_store_reachable(ctx, feed, false);
	}
	rr_back_off_feed_call(ctx, feed, &feed->entry);
}

void rr_handle_feed_entry_reply(struct rr_context *ctx, struct rr_feed *feed,
				const struct rr_feed_reply *reply)
{
	feed->entry.call_id = 0;
	switch (reply->status) {
	case RR_FEED_OK:
		feed->entry.backoff_us = 0;
		if (feed->registrar)
			take_from_enterer(feed);
		else
			take_from_store(ctx, feed, reply);
		return;
	case RR_FEED_NO_LEASE:
		rr_end_watch_suspicion(ctx, feed);
		feed->lease = 0;
		feed->is_registered = false;
		feed->registers_itself = false;
		feed->last_registered_us = feed->now_us;
		rr_rewrite_all_registrations(feed->registrations);
		rr_back_off_feed_call(ctx, feed, &feed->entry);
		return;
	case RR_FEED_COMPACTED:
	case RR_FEED_CONFLICT:
	case RR_FEED_FAILED:
		take_failure(ctx, feed);
		return;
	}
}

bool rr_feed_register_instance(struct rr_context *ctx, struct rr_feed *feed,
			       int64_t now_us,
			       const struct rr_instance *instance)
{
	feed->now_us = now_us;
	if (feed->leaving || !feed->is_registered || feed->registrar ||
	    !feed->store_reachable ||
	    g_strcmp0(instance->zone, feed->self->zone))
		return false;
	if (!rr_register_instance(feed->registrations, instance, now_us)) {
		rr_log(ctx, RR_LOG_WARNING, "not-entered",
		       RR_FIELD_STRING("instance", instance->id),
		       RR_FIELD_STRING("reason", "too-many"));
		return false;
	}
	if (rr_has_unwritten_registrations(feed->registrations))
		feed->entry.due_us =
			MIN(feed->entry.due_us, now_us + GATHER_US);
	return true;
}

void rr_feed_deregister_instance(struct rr_feed *feed, int64_t now_us,
				 const char *id)
{
	feed->now_us = now_us;
	rr_deregister_instance(feed->registrations, id);
	if (rr_has_unwritten_registrations(feed->registrations))
		feed->entry.due_us =
			MIN(feed->entry.due_us, now_us + GATHER_US);
}

/* Its own entry goes; those of others stand until they have asked another. */
static void remove_own_entry(struct rr_context *ctx, struct rr_feed *feed,
			     const char *peer)
{
	GPtrArray *removed = g_ptr_array_new();
	struct rr_feed_call call = { .kind = RR_FEED_WRITE_ENTRIES,
				     .peer = peer,
				     .lease = feed->lease,
				     .removed = removed };

	g_ptr_array_add(removed, feed->self->id);
	rr_start_feed_call(ctx, feed, &feed->entry, &call);
	g_ptr_array_unref(removed);
}

void rr_feed_leave(struct rr_context *ctx, struct rr_feed *feed, int64_t now_us)
{
	struct rr_feed_call call = { .kind = RR_FEED_LEASE_REVOKE,
				     .lease = feed->lease };

	feed->now_us = now_us;
	if (feed->leaving)
		return;
	feed->leaving = true;
	if (feed->entry.call_id)
		feed->actions.cancel(feed->actions.data, feed->entry.call_id);
	feed->entry.call_id = 0;
	if (feed->registrar)
		remove_own_entry(ctx, feed, feed->registrar);
	else if (feed->lease && rr_registrations_are_empty(feed->registrations))
		rr_start_feed_call(ctx, feed, &feed->entry, &call);
	else if (feed->lease)
		remove_own_entry(ctx, feed, NULL);
}
