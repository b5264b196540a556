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
	SOURCE_ABOVE,  /* goes before this instance in its own zone */
	SOURCE_BESIDE, /* watches, too, or is of another zone */
	SOURCE_SEED,   /* given at the start: asked for everything only */
};

struct source {
	enum source_kind kind;
	char *address; /* STORE for the store */
	int64_t bad_until_us;
	int64_t wait_us; /* after the next failure */
};

struct rr_sources {
	struct rr_instance self; /* its address is not needed */
	bool may_follow;
	GHashTable *instances; /* id -> struct rr_instance */
	GHashTable *gone;      /* id -> when its entry went, int64_t */
	GPtrArray *order;      /* struct source, the first to ask first */
	bool is_old;	       /* the order: entries have changed since */
	GPtrArray *enterers;   /* addresses, char; none: it enters itself */
	bool is_asked;	       /* a level of its zone is below it */
	bool stands_by;	       /* it watches, or does where others fail */
	uint32_t watchers;     /* of all zones */
};

void rr_free_source(gpointer data);
/* NULL: it is not in the order. */
struct source *rr_find_source(const struct rr_sources *sources,
			      const char *address);
/* Append a source, with what is known of it from the order before. */
void rr_append_source(GPtrArray *order, const struct rr_sources *old,
		      const char *address, enum source_kind kind);
/* Find the order anew, after entries have changed. */
void rr_make_source_order(struct rr_sources *sources);

#endif
