/*
 * feed-private.h - inside of struct rr_feed, and what its parts share.
 */
#ifndef RAGWORT_CORE_FEED_PRIVATE_H
#define RAGWORT_CORE_FEED_PRIVATE_H

#include "core/feed-source.h"
#include "core/news.h"
#include "ragwort/feed.h"

/* One of the two things that calls go on for. */
struct rr_feed_line {
	uint64_t call; /* under way; 0: none */
	enum rr_feed_call_kind kind;
	int64_t since_us; /* when it was made */
	int64_t due_us; /* of the next call, while none is under way */
	int64_t backoff_us;
};

struct rr_feed_known {
	enum rr_feed_item_kind kind;
	char *id;
	uint64_t revision;
	bool seen;	   /* in the range under way */
	const char *fault; /* of its last value; NULL: it could be read */
	bool names_one;	   /* a replica or instance, by its last value */
};

struct rr_feed {
	struct rr_feed_actions actions;
	uint64_t next_call;
	int64_t now_us;
	uint32_t news_bound_ms;
	struct rr_sources *sources;
	struct rr_news *news;
	bool reached;
	bool leaving;
	/* Reading. */
	struct rr_feed_line reading;
	char *asked; /* the peer of the call under way; NULL: the store */
	bool heard;  /* the last question was answered */
	/* A question failed, and the store has answered none since. */
	bool doubted;
	bool has_read;
	bool ranging;
	char *after_key;
	uint64_t range_revision; /* of the first page */
	uint64_t revision;	 /* up to which changes are known */
	GHashTable *known;	 /* key -> struct rr_feed_known */
	/* The entry. */
	struct rr_feed_line entry;
	uint64_t lease;
	bool entered;
	/* A renewal failed: the watch may have fallen silent as well. */
	bool suspect;
	/* The count. */
	uint32_t told; /* 0: not yet */
	int64_t count_from_us;
	int64_t shrink_us; /* 0: the count has not shrunk */
};

/* feed-items.c: what is known of the store's keys */
/*
 * An item that is older than what is known of its key counts for nothing.
 * Guards against changes that a range has seen already and a watch tells
 * again: a replica that left would be listed once more.
 */
void rr_take_feed_item(struct rr_context *ctx, struct rr_feed *feed,
		       const struct rr_feed_item *item);
/* What a whole range did not have is gone. */
void rr_forget_unseen(struct rr_feed *feed);

/* feed-count.c: how many instances there are */
/* When the count is told at first, unless many entries stand already. */
int64_t rr_first_count_us(int64_t now_us);
void rr_look_at_count(struct rr_feed *feed);

#endif
