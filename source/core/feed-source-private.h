/*
 * feed-source-private.h - inside of struct rr_sources, shared by the order of
 * sources and what came of asking them.
 */
#ifndef RAGWORT_CORE_FEED_SOURCE_PRIVATE_H
#define RAGWORT_CORE_FEED_SOURCE_PRIVATE_H

#include "core/feed-source.h"

#define STORE ""

enum source_kind {
	SOURCE_STORE,
	SOURCE_PRECEDING, /* goes before this instance in its own zone */
	SOURCE_FALLBACK,  /* watches, too, or is of another zone */
	SOURCE_SEED,	  /* given at the start: asked for everything only */
};

struct source {
	enum source_kind kind;
	char *address; /* STORE for the store */
	int64_t backoff_until_us;
	int64_t next_backoff_us; /* after the next failure */
};

struct rr_sources {
	struct rr_instance self; /* its address is not needed */
	bool peers_enabled;
	GHashTable *instances;	 /* id -> struct rr_instance */
	GHashTable *removed_at;	 /* id -> when its entry went, int64_t */
	GPtrArray *order;	 /* struct source, the first to ask first */
	bool order_is_stale;	 /* the order: entries have changed since */
	GPtrArray *registrars;	 /* addresses, char; none: it enters itself */
	bool has_children;	 /* a level of its zone is below it */
	bool is_watch_candidate; /* it watches, or does where others fail */
	uint32_t n_watchers;	 /* of all zones */
};

void rr_free_source(gpointer data);
/* NULL: it is not in the order. */
struct source *rr_find_source(const struct rr_sources *sources,
			      const char *address);
/* Append a source, with what is known of it from the order before. */
void rr_append_source(GPtrArray *order, const struct rr_sources *old,
		      const char *address, enum source_kind kind);
/* Find the order anew, after entries have changed. */
void rr_rebuild_source_order(struct rr_sources *sources);

#endif
