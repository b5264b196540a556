/*
 * feed-source-private.h - definition of struct rr_sources, shared by the source
 * order and the selection of a source.
 */
#ifndef RAGWORT_CORE_FEED_SOURCE_PRIVATE_H
#define RAGWORT_CORE_FEED_SOURCE_PRIVATE_H

#include "core/feed-source.h"

/* Address of the store in the order; those of instances are never empty. */
#define STORE ""

enum source_kind {
	SOURCE_STORE,
	SOURCE_PRECEDING, /* ranks before this instance in its own zone */
	/*
	 * A watch candidate of the own zone that ranks after this instance, or
	 * a watcher of another zone.
	 */
	SOURCE_FALLBACK,
	/* configured at the start; used for range reads only */
	SOURCE_SEED,
};

struct source {
	enum source_kind kind;
	char *address; /* IP:PORT; STORE for the store */
	int64_t backoff_until_us;
	int64_t next_backoff_us; /* backoff after the next failure */
};

struct rr_sources {
	struct rr_instance self; /* its address is not set */
	bool peers_enabled;
	GHashTable *instances;	/* id -> struct rr_instance */
	GHashTable *removed_at; /* id -> when its entry was removed, int64_t */
	GPtrArray *order;	/* struct source, most preferred first */
	/* entries have changed since the order was built */
	bool order_is_stale;
	GPtrArray *registrars; /* addresses, char; empty: registers itself */
	GPtrArray *remote_watchers; /* the same; one of each other zone */
	/* one of the reference zone; NULL: that is its own zone */
	char *reference_watcher;
	bool has_children;	 /* its zone's tree has a level below it */
	bool is_watch_candidate; /* it watches, or does so when others fail */
	uint32_t n_watchers;	 /* number in all zones */
};

void rr_free_source(gpointer data);
/* Return NULL if the address is not in the order. */
struct source *rr_find_source(const struct rr_sources *sources,
			      const char *address);
/* Append a source, keeping its state from the previous order. */
void rr_append_source(GPtrArray *order, const struct rr_sources *old,
		      const char *address, enum source_kind kind);
/* Rebuild the order after entries have changed. */
void rr_rebuild_source_order(struct rr_sources *sources);

#endif
