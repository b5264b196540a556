/*
 * feed-source.h - whom an instance asks for news: the store, or another
 * instance that watches it.
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
 * `self` is this instance, its strings may be NULL and are copied; `seeds`
 * ends with NULL and may be NULL itself.
 */
struct rr_sources *rr_new_sources(const struct rr_instance *self,
				  const char *const *seeds);
void rr_drop_sources(struct rr_sources *sources);

/* An instance's entry; NULL: it has gone. */
void rr_update_source(struct rr_sources *sources, int64_t now_us,
		      const char *id, const struct rr_instance *instance);
/*
 * Follow from now on: before, the entries that are known may be a few of
 * many, and the store alone is asked.
 */
void rr_enable_peer_sources(struct rr_sources *sources);

/*
 * Whom to ask now, for changes or for everything: "" for the store, an
 * address for another instance; valid until the sources change.  NULL: all
 * have failed of late, until *due_us.
 */
const char *rr_pick_source(struct rr_sources *sources, int64_t now_us,
			   bool everything, int64_t *due_us);
/* Whether the store may be asked now, wherever it stands in the order. */
bool rr_may_ask_store(struct rr_sources *sources, int64_t now_us);
/* What came of asking. */
void rr_mark_source_failed(struct rr_context *ctx, struct rr_sources *sources,
			   const char *address, int64_t now_us);
void rr_mark_source_healthy(struct rr_sources *sources, const char *address);
/* Whether the one to ask first is another instance. */
bool rr_prefers_peer_source(struct rr_sources *sources);
/*
 * Whether what `address` tells may be passed on: there are instances that ask
 * this one, and `address` goes before it.  The order is the same for all, so
 * that no two can tell each other what neither heard of the store.
 */
bool rr_may_serve_changes_from(struct rr_sources *sources, const char *address);
/*
 * The instance of its zone that enters this one in the store: the first choice
 * for 0, another for 1 and on in turn; valid until the sources change.  NULL:
 * this instance enters itself.
 */
const char *rr_find_registrar(struct rr_sources *sources, guint turn);
/* Whether it may follow, see rr_enable_peer_sources(). */
bool rr_peer_sources_enabled(const struct rr_sources *sources);
/* How many watch the store, in all zones. */
uint32_t rr_count_watchers(struct rr_sources *sources);

#endif
