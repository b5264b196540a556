/*
 * feed-private.h - inside of struct rr_feed, and what its parts share.
 */
#ifndef RAGWORT_CORE_FEED_PRIVATE_H
#define RAGWORT_CORE_FEED_PRIVATE_H

#include "core/feed-registration.h"
#include "core/feed-source.h"
#include "core/change-log.h"
#include "ragwort/feed.h"

/* One of the two things that calls go on for. */
struct rr_feed_call_state {
	uint64_t call_id; /* under way; 0: none */
	enum rr_feed_call_kind kind;
	int64_t started_us; /* when it was made */
	int64_t due_us;	    /* of the next call, while none is under way */
	int64_t backoff_us;
};

struct rr_feed_key_state {
	enum rr_feed_item_kind kind;
	char *id;
	uint64_t revision;
	bool seen; /* in the range under way */
	const char
		*decode_error; /* of its last value; NULL: it could be read */
	bool is_valid;	       /* a replica or instance, by its last value */
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
	bool range_from_peer; /* the range under way goes on at the peer asked */
	bool last_read_ok;    /* the last question was answered */
	/* A question failed, and the store has answered none since. */
	bool needs_short_watch;
	bool has_synced;
	bool range_active;
	bool found_no_peers; /* nobody else was known, and it looks again */
	struct rr_feed_call_state reading;
	char *read_peer; /* the peer of the call under way; NULL: the store */
	int64_t last_read_us;	 /* when a question was last answered */
	int64_t last_serving_us; /* when changes could last be passed on */
	char *after_key;
	uint64_t range_revision; /* the least of its pages */
	int64_t peer_recheck_us; /* when it looks again; 0: it does not */
	uint64_t revision;	 /* up to which changes are known */
	GHashTable *keys;	 /* key -> struct rr_feed_key_state */
	/* The entry. */
	struct rr_feed_call_state entry;
	struct rr_registrations
		*registrations; /* others that are entered by this one */
	struct rr_report_queue *report_queue;
	uint64_t lease;
	char *registrar; /* the peer asked to enter; NULL: the store */
	int64_t last_registered_us; /* when the entry was last known to be kept */
	int64_t lease_renewed_us;   /* when the lease was last renewed */
	guint registrar_turn;	    /* which of them is asked */
	bool is_registered;
	bool registers_itself; /* nobody else did */
	/* A renewal failed: the watch may have fallen silent as well. */
	bool watch_suspected;
	/* The count. */
	uint32_t n_instances;	 /* entries that name one */
	uint32_t reported_count; /* 0: not yet */
	int64_t count_due_us;
	int64_t shrink_due_us; /* 0: the count has not shrunk */
};

/* feed.c: calls, and what is made of their answers */
void rr_start_feed_call(struct rr_context *ctx, struct rr_feed *feed,
			struct rr_feed_call_state *line,
			struct rr_feed_call *call);
void rr_log_feed_call(struct rr_context *ctx, const struct rr_feed *feed,
		      const struct rr_feed_call_state *line, const char *peer,
		      const struct rr_feed_reply *reply);
/* The next call of a line waits, longer after each failure. */
void rr_back_off_feed_call(struct rr_context *ctx, struct rr_feed *feed,
			   struct rr_feed_call_state *line);
void rr_set_store_reachable(struct rr_context *ctx, struct rr_feed *feed,
			    bool reached);
/*
 * The store answers again after it did not: the watch may wait on a
 * connection that nothing will come back on, so it is asked anew.
 */
void rr_end_watch_suspicion(struct rr_context *ctx, struct rr_feed *feed);

/* feed-range.c: everything, page by page */
/* Begin to read everything anew. */
void rr_start_feed_range(struct rr_feed *feed);
void rr_handle_feed_page(struct rr_context *ctx, struct rr_feed *feed,
			 const struct rr_feed_reply *reply);
/* A page was not answered, or by a copy that is too old. */
void rr_handle_feed_range_failure(struct rr_context *ctx, struct rr_feed *feed);

/* feed-entry.c: this instance's entry, and those of others */
/* Make the next call for them, if one is due. */
void rr_tick_feed_entry(struct rr_context *ctx, struct rr_feed *feed);
void rr_handle_feed_entry_reply(struct rr_context *ctx, struct rr_feed *feed,
				const struct rr_feed_reply *reply);
int64_t rr_feed_entry_wake_us(const struct rr_feed *feed);

/* feed-report.c: publishing queries of death */
struct rr_report_queue *rr_new_report_queue(void);
void rr_drop_report_queue(struct rr_report_queue *reports);
/* Send the next call if one is due. */
void rr_tick_report_queue(struct rr_context *ctx, struct rr_feed *feed);
/* Handle a reply.  Replies to other calls are ignored. */
void rr_handle_report_reply(struct rr_context *ctx, struct rr_feed *feed,
			    const struct rr_feed_reply *reply);
int64_t rr_report_queue_wake_us(const struct rr_feed *feed);

/* feed-items.c: what is known of the store's keys */
/*
 * An item that is older than what is known of its key counts for nothing.
 * Guards against changes that a range has seen already and a watch tells
 * again: a replica that left would be listed once more.
 */
void rr_apply_feed_item(struct rr_context *ctx, struct rr_feed *feed,
			const struct rr_feed_item *item);
/* What a whole range did not have is gone. */
void rr_remove_unseen_keys(struct rr_feed *feed);

/* feed-count.c: how many instances there are */
/* When the count is told at first, unless many entries stand already. */
int64_t rr_initial_count_due_us(int64_t now_us);
void rr_update_instance_count(struct rr_feed *feed);

#endif
