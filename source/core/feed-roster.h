/*
 * feed-roster.h - the instances whose entries this one keeps in the store.
 *
 * One lease and a write for many in place of a lease and a write each.  A
 * leaf: it knows no calls.
 */
#ifndef RAGWORT_CORE_FEED_ROSTER_H
#define RAGWORT_CORE_FEED_ROSTER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/feed.h"

struct rr_roster;

/* What one write holds; pointers are the roster's until it changes. */
struct rr_roster_batch {
	GPtrArray *entered; /* const struct rr_instance */
	GPtrArray *removed; /* const char, ids */
};

struct rr_roster *rr_new_roster(void);
void rr_drop_roster(struct rr_roster *roster);

/* An instance is there, as it says itself.  False: there is no room for it. */
bool rr_enroll(struct rr_roster *roster, const struct rr_instance *instance,
	       int64_t now_us);
/* It leaves: its entry is to be removed. */
void rr_strike_off(struct rr_roster *roster, const char *id);
/* Those not heard of since then have gone. */
void rr_strike_off_silent(struct rr_roster *roster, int64_t since_us);
/* When the one that was heard of longest ago was; INT64_MAX: there is none. */
int64_t rr_roster_oldest_us(const struct rr_roster *roster);

/* Whether something is to be written. */
bool rr_roster_is_due(const struct rr_roster *roster);
bool rr_roster_is_empty(const struct rr_roster *roster);
/* What is to be written, `most` keys at the most; it is under way then. */
struct rr_roster_batch rr_take_roster_batch(struct rr_roster *roster,
					    guint most);
void rr_clear_roster_batch(struct rr_roster_batch *batch);
/* What was under way is in the store, by a write of that revision. */
void rr_roster_written(struct rr_roster *roster, uint64_t revision);
/* It may not be: it is to be written again. */
void rr_roster_not_written(struct rr_roster *roster);
/* The lease has ended, and with it all entries. */
void rr_roster_lapsed(struct rr_roster *roster);
/*
 * What the store tells of an entry.  Written later than by this instance, it
 * is another's to keep; removed, it is to be written again.
 */
void rr_roster_heard(struct rr_roster *roster, const char *id,
		     uint64_t revision, bool removed);

#endif
