/*
 * feed.h - following the platform's store: routes, replicas and instances.
 *
 * This module decides when to read, watch, renew and retry.  The caller sends
 * the calls in the platform's format and passes the replies in.  Calls are kept
 * few, since each is paid for: a few instances of each zone watch the store,
 * and the others read changes from these.  Each instance has an entry in the
 * store; a few instances of each zone (the registrars) write the entries of all
 * under their own leases.  See docs/design/store-calls.md.
 */
#ifndef RAGWORT_FEED_H
#define RAGWORT_FEED_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/context.h"
#include "ragwort/gate.h"
#include "ragwort/quarantine.h"
#include "ragwort/route.h"
#include "ragwort/store-cursor.h"

enum rr_feed_call_kind {
	RR_FEED_RANGE,	       /* read a page of all items */
	RR_FEED_WATCH,	       /* wait for changes */
	RR_FEED_CHECK,	       /* ask a peer for changes, without a wait */
	RR_FEED_LEASE_GRANT,   /* grant a lease */
	RR_FEED_LEASE_RENEW,   /* renew a lease */
	RR_FEED_WRITE_ENTRIES, /* write and remove entries under a lease */
	RR_FEED_LEASE_REVOKE,  /* end a lease and remove its entries */
	/* Write or remove the entry of a query of death. */
	RR_FEED_REPORT,
};

/* An instance, as described by its entry. */
struct rr_instance {
	char *id;
	char *zone;
	char *address;	    /* IP:PORT for peers; "" if there is none */
	double strength;    /* its share of a core */
	int64_t started_ms; /* start time in Unix milliseconds; 0: unknown */
};

struct rr_feed_call {
	uint64_t id;
	const char *peer; /* IP:PORT of the peer to call; NULL: the store */
	enum rr_feed_call_kind kind;
	const char *after_key; /* range: last key received; NULL: start */
	/* range: a copy of the store that is some seconds old is accepted */
	bool allow_stale;
	/* watch, check: revision after which changes are wanted, and its era */
	uint64_t after_revision;
	uint64_t era;
	uint32_t wait_ms;	/* watch: longest wait before an empty reply */
	uint32_t ttl_ms;	/* grant */
	uint64_t lease;		/* renew, write, revoke; 0: the peer's lease */
	const GPtrArray *added; /* write: const struct rr_instance */
	const GPtrArray *removed;		 /* write: const char, ids */
	const struct rr_quarantine_entry *entry; /* report */
	/* report: remove the entry instead of writing it */
	bool remove_entry;
	/* report: expected revision of the key, 0 if absent */
	uint64_t expected_revision;
	uint32_t timeout_ms; /* time after which the call has failed */
};

enum rr_feed_item_kind {
	RR_FEED_OTHER,
	RR_FEED_ROUTES,
	RR_FEED_REPLICA,
	RR_FEED_INSTANCE,
	/* Defined by its key alone; the value is not used. */
	RR_FEED_EVACUATION,
	RR_FEED_QUARANTINE,
};

struct rr_feed_item {
	int extra_refs; /* references besides that of its reply */
	enum rr_feed_item_kind kind;
	char *key;
	/* Id of a replica or instance, name of a zone, or fingerprint. */
	char *id;
	uint64_t revision;
	bool removed;
	char *value;	 /* as text, to be served to peers; NULL: removed */
	bool compressed; /* whether the value is compressed */
	/* why decoding the value failed; NULL: it did not */
	const char *decode_error;
	/* Decoded value; NULL if removed or not decodable. */
	struct rr_route_table *routes;
	struct rr_endpoint_info *replica; /* strings owned by the item */
	struct rr_instance *instance;
	struct rr_quarantine_entry *quarantine;
};

enum rr_feed_status {
	RR_FEED_OK,
	/* Watch: the changes since that revision are no longer kept. */
	RR_FEED_COMPACTED,
	/* Renew, write, report: the lease does not exist any more. */
	RR_FEED_NO_LEASE,
	/*
	 * Report: the key has another revision; `items` has its present value.
	 */
	RR_FEED_CONFLICT,
	/* No usable reply; a write may have taken effect. */
	RR_FEED_FAILED,
};

struct rr_feed_reply {
	uint64_t call_id;
	enum rr_feed_status status;
	uint16_t http_status; /* 0: no reply */
	GPtrArray *items;     /* struct rr_feed_item; NULL: none */
	bool more;	      /* range: more pages follow */
	uint64_t revision;    /* of the store; range, watch, write, report */
	/*
	 * Number of times that the store was restored from a copy, in any
	 * reply; 0: not stated.
	 */
	uint64_t era;
	uint64_t lease; /* grant */
	/* watch at a peer: how long ago the peer knew all changes, at most */
	int64_t age_us;
};

/* Callbacks of the feed; arguments are valid during the call only. */
struct rr_feed_actions {
	void (*call)(void *data, const struct rr_feed_call *call);
	void (*cancel)(void *data, uint64_t call);
	void (*routes)(void *data, struct rr_route_table *table);
	void (*replica_listed)(void *data,
			       const struct rr_endpoint_info *listing);
	void (*replica_unlisted)(void *data, const char *id);
	void (*instance_count)(void *data, uint32_t instances);
	/* An instance's entry, also this one's; NULL: it was removed. */
	void (*instance)(void *data, const char *id,
			 const struct rr_instance *instance);
	/*
	 * The operators evacuate a zone, or end its evacuation; `cursor` is
	 * the store's at that change, or a later one.
	 */
	void (*evacuation)(void *data, const char *zone,
			   struct rr_store_cursor cursor, bool in_force);
	/* The entry of a query of death; NULL if it was removed. */
	void (*quarantine)(void *data, const struct rr_fingerprint *fingerprint,
			   const struct rr_quarantine_entry *entry);
	/*
	 * A restore of the store has lost the entry of a query of death; it is
	 * to be published again.
	 */
	void (*quarantine_lost)(void *data,
				const struct rr_fingerprint *fingerprint);
	/* The outcome of a claim that was passed to rr_feed_report(). */
	void (*claim_decided)(void *data,
			      const struct rr_quarantine_entry *entry,
			      bool granted);
	void *data;
};

/* A change as it is served to a peer. */
struct rr_feed_change {
	const char *key;
	const char *value; /* NULL: removed */
	bool compressed;   /* whether the value is compressed */
	uint64_t revision;
};

struct rr_feed_options {
	struct rr_feed_actions actions;
	/* This instance; its strings may be NULL. */
	struct rr_instance self;
	/* IP:PORT of instances to read from while the store is unreachable. */
	const char *const *seeds; /* NULL-terminated; NULL: none */
	/* Maximum time until a change must be in force here. */
	uint32_t max_staleness_ms;
};

struct rr_feed;

/* Create a feed, which starts to read on its first tick. */
struct rr_feed *rr_new_feed(struct rr_context *ctx,
			    const struct rr_feed_options *options,
			    int64_t now_us);
void rr_drop_feed(struct rr_feed *feed);
/* Handle a reply to a call that was not cancelled. */
void rr_feed_reply(struct rr_context *ctx, struct rr_feed *feed, int64_t now_us,
		   const struct rr_feed_reply *reply);
/*
 * The store has closed an idle connection.  Guards against a store
 * that compacts its history between two watches: the one opened after it may
 * receive nothing until its end, and no call has failed.
 */
void rr_feed_handle_disconnect(struct rr_feed *feed, int64_t now_us);
void rr_feed_tick(struct rr_context *ctx, struct rr_feed *feed, int64_t now_us);
int64_t rr_feed_wake_us(const struct rr_feed *feed);
/*
 * Remove this instance's entry, since it leaves, and stop renewing its lease.
 */
void rr_feed_leave(struct rr_context *ctx, struct rr_feed *feed,
		   int64_t now_us);
/*
 * Publish the entry of `new_report`.  Retried until the store accepts it,
 * except for a claim, which is sent once.
 */
void rr_feed_report(struct rr_feed *feed, int64_t now_us,
		    const struct rr_quarantine_report *new_report);
/* Whether all items have been read at least once. */
bool rr_feed_has_synced(const struct rr_feed *feed);
/* Whether the store answered the last call. */
bool rr_feed_is_store_reachable(const struct rr_feed *feed);

/*
 * Whether this instance reads from the store, or from a peer that ranks before
 * it in its zone; only then does it serve changes to peers.
 */
bool rr_feed_can_serve_changes(const struct rr_feed *feed);
/*
 * Whether this instance could serve changes until recently and is reconnecting
 * (the grace period): a peer that waits here for changes should keep waiting
 * rather than call another source.
 */
bool rr_feed_is_in_serve_grace(const struct rr_feed *feed, int64_t now_us);
/*
 * Return the end of the grace period; INT64_MAX if there is none, or changes
 * are served.
 */
int64_t rr_feed_serve_grace_end_us(const struct rr_feed *feed);
/*
 * Whether all items can be served to a peer: they have been read at least once,
 * and none is of an earlier era of the store.
 */
bool rr_feed_can_serve_items(const struct rr_feed *feed);
/*
 * While a callback of the feed runs: return how long ago the change was made,
 * at most; 0 if the store was unreachable since the last read, so that entries
 * may have expired meanwhile.
 */
int64_t rr_feed_change_age_us(const struct rr_feed *feed);
/*
 * Return how long ago, at most, all changes that the store acknowledged were
 * known here.  See docs/design/removed-replicas.md.
 */
int64_t rr_feed_age_us(const struct rr_feed *feed, int64_t now_us);
/*
 * Return until when an instance that reads from the store serves changes to
 * peers, unless the store or another zone confirms its knowledge before.
 */
int64_t rr_feed_serve_end_us(const struct rr_feed *feed);
/*
 * Return the longest age of a change that is learned while one source after
 * another is silent, or is cut off from the store, and the store answers.
 */
int64_t rr_longest_change_age_us(uint32_t max_staleness_ms);
/* Return the position up to which changes are known. */
struct rr_store_cursor rr_feed_cursor(const struct rr_feed *feed);
/*
 * Whether a peer that knows the changes up to `after` need not wait: there are
 * later ones, or it has to read all items, since `after` is of another era.
 */
bool rr_feed_has_changes_after(const struct rr_feed *feed,
			       struct rr_store_cursor after);
/*
 * List the changes after `after` as struct rr_feed_change, as many as an
 * instance applies without delaying its callers; for revision 0, all items.
 * *upto is set to the position up to which they are complete.  They point into
 * the feed and are valid until its next event; release the array with
 * g_array_unref().  Return NULL if some changes since then are no longer kept,
 * or if `after` is of another era.
 */
GArray *rr_feed_changes(const struct rr_feed *feed,
			struct rr_store_cursor after,
			struct rr_store_cursor *upto);
/*
 * Register another instance in the store on its request, which it repeats every
 * few seconds.  Return false if this instance does not do so now.
 */
bool rr_feed_register_instance(struct rr_context *ctx, struct rr_feed *feed,
			       int64_t now_us,
			       const struct rr_instance *instance);
/* Remove the entry of an instance that this one registered and that leaves. */
void rr_feed_deregister_instance(struct rr_feed *feed, int64_t now_us,
				 const char *id);

/* Keep an item beyond its reply; release it with rr_free_feed_item(). */
struct rr_feed_item *rr_keep_feed_item(struct rr_feed_item *item);
void rr_free_feed_item(gpointer item);
/*
 * Copy an instance, to be freed with rr_free_instance(); strings that are NULL
 * become "".
 */
struct rr_instance *rr_copy_instance(const struct rr_instance *instance);
void rr_free_instance(struct rr_instance *instance);

#endif
