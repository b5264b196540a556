/*
 * feed-entry.c - registration of instances in the store.
 *
 * The highest-ranked instances of a zone (the registrars) register themselves,
 * each under a lease of its own.  The others ask one of them to register them
 * under its lease, and repeat the request every few seconds.  Entries written
 * by an instance that died remain until its lease expires; by then their owners
 * have asked another registrar.
 */
#include "core/feed-private.h"

#include "ragwort/counters.h"
#include "ragwort/log.h"

/*
 * Time to live of entries without renewal.  An instance that freezes for some
 * seconds keeps its entry, so that the others do not take over its share.
 */
#define LEASE_MS 12000
/*
 * Renewal period.  Renewals also show whether the store is reachable: a change
 * must be in force within three seconds, and only a failed renewal reveals a
 * watch that has stopped delivering.
 */
#define LEASE_RENEWAL_PERIOD_US (1500 * 1000)
/* Period of requests to a registrar: a third of the lease. */
#define REGISTRATION_PERIOD_US (4 * G_USEC_PER_SEC)
/*
 * Writes of other instances' entries are delayed this long, so that instances
 * that start together share one write.
 */
#define REGISTRATION_BATCH_DELAY_US (400 * 1000)
/* Maximum number of keys in one write, a limit of the platform. */
#define MAX_KEYS_PER_WRITE 32
/*
 * An instance whose requests to registrars have failed for this long registers
 * itself.  Longer than a lease, since failed registrars are replaced when their
 * leases expire.
 */
#define SELF_REGISTRATION_DELAY_US (15 * G_USEC_PER_SEC)

/*
 * Return the address of the registrar to ask, or NULL if this instance is to
 * register itself.
 */
static const char *find_registrar(struct rr_feed *feed)
{
	if (feed->now_us - feed->last_registered_us >=
	    SELF_REGISTRATION_DELAY_US)
		feed->registers_itself = true;
	if (feed->registers_itself)
		return NULL;
	return rr_find_registrar(feed->sources, feed->registrar_turn);
}

static void write_entries(struct rr_context *ctx, struct rr_feed *feed)
{
	struct rr_registration_batch batch = rr_take_registration_batch(
		feed->registrations, MAX_KEYS_PER_WRITE - 1);
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
 * Whether the lease must be renewed before the next write.  Guards against a
 * lease that expires during a sequence of writes, since a write does not renew
 * it.
 */
static bool must_renew_lease(const struct rr_feed *feed)
{
	return feed->is_registered &&
	       feed->now_us - feed->lease_renewed_us >= REGISTRATION_PERIOD_US;
}

/* Register this instance and others by calls to the store. */
static void register_at_store(struct rr_context *ctx, struct rr_feed *feed)
{
	struct rr_feed_call call = { .kind = RR_FEED_LEASE_GRANT,
				     .ttl_ms = LEASE_MS,
				     .lease = feed->lease };

	g_clear_pointer(&feed->registrar, g_free);
	rr_expire_registrations(feed->registrations,
				feed->now_us - (int64_t)LEASE_MS * 1000);
	if (feed->lease && !must_renew_lease(feed) &&
	    (!feed->is_registered ||
	     rr_has_unwritten_registrations(feed->registrations))) {
		write_entries(ctx, feed);
		return;
	}
	if (feed->lease)
		call.kind = RR_FEED_LEASE_RENEW;
	rr_start_feed_call(ctx, feed, &feed->entry, &call);
}

/*
 * Ask another instance to register this one.  This instance's own lease is left
 * to expire: by then the entry is under the registrar's lease, whereas revoking
 * the lease would remove the entry now.
 */
static void register_at_peer(struct rr_context *ctx, struct rr_feed *feed,
			     const char *registrar)
{
	GPtrArray *added = g_ptr_array_new();
	struct rr_feed_call call = { .kind = RR_FEED_WRITE_ENTRIES,
				     .added = added };

	g_ptr_array_add(added, feed->self);
	g_free(feed->registrar);
	feed->registrar = g_strdup(registrar);
	call.peer = feed->registrar;
	feed->lease = 0;
	feed->is_registered = false;
	feed->watch_suspected = false;
	rr_rewrite_all_registrations(feed->registrations);
	rr_start_feed_call(ctx, feed, &feed->entry, &call);
	g_ptr_array_unref(added);
}

/* Registrars are known only once all items have been read. */
static bool may_register(const struct rr_feed *feed)
{
	return feed->has_synced && !feed->peer_recheck_us && !feed->leaving &&
	       rr_peer_sources_enabled(feed->sources);
}

void rr_tick_feed_entry(struct rr_context *ctx, struct rr_feed *feed)
{
	const char *registrar;

	if (feed->entry.call_id || !may_register(feed) ||
	    feed->entry.due_us > feed->now_us)
		return;
	registrar = find_registrar(feed);
	if (registrar)
		register_at_peer(ctx, feed, registrar);
	else
		register_at_store(ctx, feed);
}

int64_t rr_feed_entry_wake_us(const struct rr_feed *feed)
{
	if (feed->entry.call_id || !may_register(feed))
		return INT64_MAX;
	return feed->entry.due_us;
}

static void handle_store_reply(struct rr_context *ctx, struct rr_feed *feed,
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
			 REGISTRATION_BATCH_DELAY_US :
			 LEASE_RENEWAL_PERIOD_US);
}

/* The registrar has accepted the entry. */
static void handle_registrar_reply(struct rr_feed *feed)
{
	feed->last_registered_us = feed->now_us;
	feed->entry.due_us = feed->now_us + REGISTRATION_PERIOD_US;
}

static void handle_failure(struct rr_context *ctx, struct rr_feed *feed)
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
			handle_registrar_reply(feed);
		else
			handle_store_reply(ctx, feed, reply);
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
		handle_failure(ctx, feed);
		return;
	}
}

void rr_reset_feed_entry(struct rr_feed *feed)
{
	if (feed->registrar || feed->leaving)
		return;
	if (feed->entry.call_id)
		feed->actions.cancel(feed->actions.data, feed->entry.call_id);
	feed->entry.call_id = 0;
	feed->entry.due_us = feed->now_us;
#ifndef RR_MUTANT_FEED_KEEPS_LOST_LEASE
	feed->lease = 0;
#endif
	feed->is_registered = false;
	rr_rewrite_all_registrations(feed->registrations);
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
		feed->entry.due_us = MIN(feed->entry.due_us,
					 now_us + REGISTRATION_BATCH_DELAY_US);
	return true;
}

void rr_feed_deregister_instance(struct rr_feed *feed, int64_t now_us,
				 const char *id)
{
	feed->now_us = now_us;
	rr_deregister_instance(feed->registrations, id);
	if (rr_has_unwritten_registrations(feed->registrations))
		feed->entry.due_us = MIN(feed->entry.due_us,
					 now_us + REGISTRATION_BATCH_DELAY_US);
}

/*
 * Remove only this instance's entry.  The entries that it wrote for others
 * remain until these have asked another registrar.
 */
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
