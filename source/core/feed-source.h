/*
 * feed-source.h - the source that an instance reads changes from: the store, or
 * another instance that follows the store.
 */
#ifndef RAGWORT_CORE_FEED_SOURCE_H
#define RAGWORT_CORE_FEED_SOURCE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/context.h"
#include "ragwort/feed.h"

struct rr_sources;

/*
 * Create the sources of instance `self`, whose strings may be NULL and are
 * copied.  `seeds` ends with NULL and may be NULL itself.
 */
struct rr_sources *rr_new_sources(const struct rr_instance *self,
				  const char *const *seeds);
void rr_drop_sources(struct rr_sources *sources);

/* Update the sources from an instance's entry; NULL: it was removed. */
void rr_update_source(struct rr_sources *sources, int64_t now_us,
		      const char *id, const struct rr_instance *instance);
/*
 * Allow reading changes from peers.  Before this call the known entries may be
 * a few of many, and only the store and the seeds are used.
 */
void rr_enable_peer_sources(struct rr_sources *sources);

/* What a source is picked for. */
enum rr_read_purpose {
	RR_READ_CHANGES,
	/* All items.  A peer may lag behind, so the store comes first. */
	RR_READ_RANGE,
	/*
	 * All items, in place of those of a stale copy: in the order for
	 * changes, but only watch candidates ask the store.
	 */
	RR_READ_VERIFY,
};
/*
 * Pick the source to ask now.
 * Return "" for the store or the address of an instance, valid until the
 * sources change; NULL if all have failed recently, with the time of the next
 * attempt in *due_us.
 */
const char *rr_pick_source(struct rr_sources *sources, int64_t now_us,
			   enum rr_read_purpose purpose, int64_t *due_us);
/* Whether the store may be asked now, whatever its position in the order. */
bool rr_may_ask_store(struct rr_sources *sources, int64_t now_us);
/* Record the result of a call to a source. */
void rr_mark_source_failed(struct rr_context *ctx, struct rr_sources *sources,
			   const char *address, int64_t now_us);
void rr_mark_source_healthy(struct rr_sources *sources, const char *address);
/* Whether the most preferred source is another instance. */
bool rr_prefers_peer_source(struct rr_sources *sources);
/*
 * Whether changes read from `address` may be served to peers: this instance has
 * children in the tree, and `address` ranks before it.  The ranking is the same
 * for all instances, so no two can serve each other changes that neither has
 * read from the store.
 */
bool rr_may_serve_changes_from(struct rr_sources *sources, const char *address);
/*
 * Return the address of the registrar to ask in this instance's zone: the
 * preferred one for `turn` 0, then the others in turn; valid until the sources
 * change.  NULL: this instance registers itself.
 */
const char *rr_find_registrar(struct rr_sources *sources, guint turn);
/*
 * Return the address of a watcher of another zone, of each zone in turn; valid
 * until the sources change.  NULL: there is none.
 */
const char *rr_find_remote_watcher(struct rr_sources *sources, guint turn);
/*
 * Return the address of a watcher of the reference zone, valid until the sources
 * change; NULL if that is this instance's zone.  All instances that know the
 * same entries agree on the zone.
 */
const char *rr_find_reference_watcher(struct rr_sources *sources);
/* Whether peers may be read from, see rr_enable_peer_sources(). */
bool rr_peer_sources_enabled(const struct rr_sources *sources);
/* Number of watchers in all zones. */
uint32_t rr_count_watchers(struct rr_sources *sources);

#endif
