/*
 * feed-private.h - definition of struct rr_feed and functions shared by its
 * modules.
 */
#ifndef RAGWORT_CORE_FEED_PRIVATE_H
#define RAGWORT_CORE_FEED_PRIVATE_H

#include "core/feed-registration.h"
#include "core/feed-source.h"
#include "core/change-log.h"
#include "ragwort/feed.h"

/*
 * The store is asked after this fraction of the staleness bound without a reply
 * from any source.
 */
#define STORE_FALLBACK_DIVISOR 2

/* The state of one sequence of calls; at most one call is in flight. */
struct rr_feed_call_state {
	uint64_t call_id; /* in flight; 0: none */
	enum rr_feed_call_kind kind;
	int64_t started_us; /* when the call was sent */
	uint32_t wait_ms;   /* that the source may wait */
	/* when to send the next call, while none is in flight */
	int64_t due_us;
	int64_t backoff_us;
};

struct rr_feed_key_state {
	enum rr_feed_item_kind kind;
	char *id;
	uint64_t revision;
	bool seen; /* found by the current range read */
	/* the store lost it in a restore, and it may be written again */
	bool is_missing;
	const char *decode_error; /* of its last value; NULL: none */
	/* the last value was decoded; not set for evacuations */
	bool is_valid;
};

/* What is kept from before a restore of the store, see feed-restore.c. */
struct rr_feed_restore {
	bool was_restored; /* since this process started */
	/* the items of the present era have not all been read yet */
	bool reading;
	uint64_t prior_revision;
	int64_t started_us;
	/* changes of earlier eras; NULL: the restore is settled */
	struct rr_change_log *prior_log;
	GHashTable *held; /* key -> struct held_item */
	/* 0: settled, or not yet known */
	int64_t replicas_settled_us;
	int64_t settled_us;
};

struct rr_feed {
	struct rr_feed_actions actions;
	uint64_t last_call_id;
	int64_t now_us;
	struct rr_instance *self;
	struct rr_sources *sources;
	struct rr_change_log *change_log;
	uint32_t max_staleness_ms;
	bool store_reachable;
	bool leaving;
	/* Reading. */
	bool range_from_peer; /* the current range continues at the same peer */
	bool last_read_ok;    /* the last read succeeded */
	bool store_read_failed; /* since the last read that succeeded */
	/*
	 * Whether anything but an answered watch of the store came before the
	 * next one; see next_watch_ms().
	 */
	bool needs_short_watch;
	bool has_synced;
	bool range_active;
	/* no peers were found, and another read is scheduled */
	bool found_no_peers;
	struct rr_feed_call_state reading;
	char *read_peer;      /* peer of the read in flight; NULL: the store */
	int64_t last_read_us; /* time of the last answered read */
	/*
	 * All changes that the store acknowledged up to this time are known;
	 * the age of those that the reply being handled reports is at most
	 * change_age_us.  See feed-age.c.
	 */
	int64_t complete_us;
	int64_t range_started_us; /* when its first page was asked for */
	int64_t change_age_us;
	/* when changes could last be served to peers */
	int64_t last_serving_us;
	char *after_key;
	uint64_t range_revision; /* lowest revision of the pages read */
	/* when to read again after finding no peers; 0: not scheduled */
	int64_t peer_recheck_us;
	uint64_t revision; /* revision up to which changes are known */
	uint64_t era;	   /* of `revision`; 0: unknown */
	GHashTable *keys;  /* key -> struct rr_feed_key_state */
	/* items of the current reply that were older than the known ones */
	uint32_t n_outdated;
	/* the read in flight accepts a stale copy */
	bool read_is_stale;
	/*
	 * The known items are of a stale copy, which may be of an earlier era
	 * than it states; see feed-verify.c.
	 */
	bool is_unverified;
	/* values of the stale copy while all items are read again, or NULL */
	struct rr_change_log *unverified_log;
	struct rr_feed_restore restore;
	/* Comparison of the watch with another zone. */
	struct rr_feed_call_state checking;
	guint check_turn;      /* index of the zone to ask */
	bool checks_reference; /* the last one asked the reference zone */
	bool checking_failed;  /* that zone did not reply */
	/* no other zone confirms the watch, so the store has to */
	bool is_unconfirmed;
	/* Registration. */
	struct rr_feed_call_state entry;
	/* other instances registered by this one */
	struct rr_registrations *registrations;
	struct rr_report_queue *report_queue;
	uint64_t lease;
	char *registrar; /* peer asked to register this one; NULL: the store */
	int64_t last_registered_us; /* when the entry was last known to exist */
	int64_t lease_renewed_us;   /* time of the last lease renewal */
	guint registrar_turn;	    /* index of the registrar to ask */
	bool is_registered;
	bool registers_itself; /* since no registrar did so in time */
	/*
	 * A registration call to the store failed: the watch may have stopped
	 * delivering as well.
	 */
	bool watch_suspected;
	/* Instance count. */
	uint32_t n_instances;	 /* number of valid entries */
	uint32_t reported_count; /* 0: not reported yet */
	int64_t count_due_us;
	/* when to report a lower count; 0: none is pending */
	int64_t shrink_due_us;
};

/* feed.c: calls and their replies */
void rr_start_feed_call(struct rr_context *ctx, struct rr_feed *feed,
			struct rr_feed_call_state *state,
			struct rr_feed_call *call);
int64_t rr_max_staleness_us(const struct rr_feed *feed);
void rr_log_feed_call(struct rr_context *ctx, const struct rr_feed *feed,
		      const struct rr_feed_call_state *state, const char *peer,
		      const struct rr_feed_reply *reply);
/* Delay the next call of a sequence, longer after each failure. */
void rr_back_off_feed_call(struct rr_context *ctx, struct rr_feed *feed,
			   struct rr_feed_call_state *state);
void rr_set_store_reachable(struct rr_context *ctx, struct rr_feed *feed,
			    bool reachable);
/*
 * The store is reachable again.  A watch in flight may wait on a dead
 * connection, so it is cancelled and sent anew.
 */
void rr_end_watch_suspicion(struct rr_context *ctx, struct rr_feed *feed);

/* feed-read.c: ranges and watches */
/* Send the next read, unless no source is to be asked now. */
void rr_start_feed_read(struct rr_context *ctx, struct rr_feed *feed);
void rr_handle_feed_read(struct rr_context *ctx, struct rr_feed *feed,
			 const struct rr_feed_reply *reply);
/* Cancel the read in flight, if any, and send another. */
void rr_restart_feed_read(struct rr_feed *feed);
/*
 * Cancel the current watch when a preferred source has appeared or recovered: a
 * peer instead of the store, or the store instead of a peer.
 */
void rr_switch_to_preferred_source(struct rr_feed *feed);

/* feed-age.c: up to when all changes are known */
/* Set the age of the changes in the reply that is being handled. */
void rr_set_change_age(struct rr_feed *feed);
/* Advance the time up to which all changes are known by a successful read. */
void rr_update_complete_time(struct rr_feed *feed,
			     const struct rr_feed_reply *reply);
/* The same by a comparison that found no unknown changes. */
void rr_confirm_complete_time(struct rr_feed *feed,
			      const struct rr_feed_reply *reply);
/* When an open watch is no proof any more, and the store is asked again. */
int64_t rr_feed_unconfirmed_us(const struct rr_feed *feed);
/* Time for which a watcher of the store may have no watch open. */
int64_t rr_watcher_delay_us(const struct rr_feed *feed);

/* feed-range.c: paged range reads */
/* Start reading all items from the first page. */
void rr_start_feed_range(struct rr_feed *feed);
void rr_handle_feed_page(struct rr_context *ctx, struct rr_feed *feed,
			 const struct rr_feed_reply *reply);
/* Handle a page that failed or came from a copy that is too old. */
void rr_handle_feed_range_failure(struct rr_context *ctx, struct rr_feed *feed);

/*
 * Forget the revisions of the known items, since those of the items that are
 * read next must not be compared with them.
 */
void rr_forget_feed_revisions(struct rr_feed *feed);

/* feed-verify.c: items of a stale copy */
/* A range of a stale copy is complete: read all items again from elsewhere. */
void rr_start_feed_verification(struct rr_feed *feed);
/* Whether all items are read again since those known are of a stale copy. */
bool rr_is_verifying_feed(const struct rr_feed *feed);
/* The known items are not, or no longer, those of a stale copy. */
void rr_end_feed_verification(struct rr_feed *feed);

/* feed-check.c: comparison of an open watch with another zone */
/* Ask a watcher of another zone, if that is due. */
void rr_tick_feed_check(struct rr_context *ctx, struct rr_feed *feed);
int64_t rr_feed_check_wake_us(const struct rr_feed *feed);
/* Open the watch again if the reply has changes that it has not reported. */
void rr_handle_feed_check_reply(struct rr_context *ctx, struct rr_feed *feed,
				const struct rr_feed_reply *reply);

/* feed-entry.c: registration of this instance and of others */
/* Send the next registration call if one is due. */
void rr_tick_feed_entry(struct rr_context *ctx, struct rr_feed *feed);
void rr_handle_feed_entry_reply(struct rr_context *ctx, struct rr_feed *feed,
				const struct rr_feed_reply *reply);
int64_t rr_feed_entry_wake_us(const struct rr_feed *feed);

/* Drop the lease and register all again, since the store was restored. */
void rr_reset_feed_entry(struct rr_feed *feed);

/* feed-report.c: publishing queries of death */
struct rr_report_queue *rr_new_report_queue(void);
/* Drop the lease and the known revisions, since the store was restored. */
void rr_reset_report_queue(struct rr_report_queue *queue);
void rr_drop_report_queue(struct rr_report_queue *queue);
/* Send the next call if one is due. */
void rr_tick_report_queue(struct rr_context *ctx, struct rr_feed *feed);
/* Handle a reply.  Replies to other calls are ignored. */
void rr_handle_report_reply(struct rr_context *ctx, struct rr_feed *feed,
			    const struct rr_feed_reply *reply);
int64_t rr_report_queue_wake_us(const struct rr_feed *feed);

/* feed-restore.c: a store that is restored from a copy */
void rr_init_feed_restore(struct rr_feed *feed);
void rr_clear_feed_restore(struct rr_feed *feed);
enum rr_era_match {
	RR_ERA_SAME,
	RR_ERA_EARLIER, /* the reply must not be used */
	RR_ERA_LATER,
};
/* Compare the era of a reply, from a peer or from the store, with the known. */
enum rr_era_match rr_match_feed_era(const struct rr_feed *feed,
				    const struct rr_feed_reply *reply,
				    bool from_peer);
/*
 * Begin a new era, learnt from a reply of the store, or of the peer of the last
 * read: read all items again from there.
 */
void rr_begin_feed_era(struct rr_context *ctx, struct rr_feed *feed,
		       const struct rr_feed_reply *reply, bool from_peer);
/* All items of the new era have been read. */
void rr_finish_feed_reread(struct rr_context *ctx, struct rr_feed *feed);
/*
 * Whether an item is held back, since it was removed before the restore.  An
 * item that was held back and has changed is not any more.
 */
bool rr_hold_restored_item(struct rr_feed *feed, struct rr_feed_item *item);
/*
 * Whether an item has the value that its key had before the restore, or in the
 * stale copy that is being verified.
 */
bool rr_has_prior_value(const struct rr_feed *feed,
			const struct rr_feed_item *item);
/* Return the revision of an item that is held back; 0: it is not. */
uint64_t rr_held_revision(const struct rr_feed *feed, const char *id);
/* A range starts: no item held back has been seen by it. */
void rr_start_held_range(struct rr_feed *feed);
/* A range is complete: drop the items held back that it did not contain. */
void rr_drop_unseen_held_items(struct rr_feed *feed);
/* Apply what is held back and remove what is missing, once that is due. */
void rr_tick_feed_restore(struct rr_context *ctx, struct rr_feed *feed);
int64_t rr_feed_restore_wake_us(const struct rr_feed *feed);

/* feed-items.c: state of the store's keys */
/*
 * Apply an item, unless its key is known at a higher revision.  Guards against
 * changes that a range has already included and a watch repeats: a replica that
 * was removed would be listed again.
 */
void rr_apply_feed_item(struct rr_context *ctx, struct rr_feed *feed,
			struct rr_feed_item *item);
/*
 * Handle the keys that a complete range did not contain: they are removed, or
 * marked as missing after a restore.  Return the number of the latter.
 */
uint32_t rr_handle_unseen_keys(struct rr_feed *feed);
/* Remove a key and report its object as removed. */
void rr_remove_feed_key(struct rr_feed *feed, const char *key,
			uint64_t revision);
/* Apply an item, whether or not it is held back. */
void rr_apply_held_item(struct rr_context *ctx, struct rr_feed *feed,
			const struct rr_feed_item *item);
/* Record an item as a change to be served to peers. */
void rr_log_feed_change(struct rr_feed *feed, const struct rr_feed_item *item);

/* feed-count.c: the instance count */
/*
 * Return when the first count is reported; it is reported earlier if enough
 * entries exist.
 */
int64_t rr_initial_count_due_us(int64_t now_us);
void rr_update_instance_count(struct rr_feed *feed);

#endif
