/*
 * feed-registration.h - the instances whose entries this one keeps in the store.
 *
 * One lease and a write for many in place of a lease and a write each.  A
 * leaf: it knows no calls.
 */
#ifndef RAGWORT_CORE_FEED_REGISTRATION_H
#define RAGWORT_CORE_FEED_REGISTRATION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/feed.h"

struct rr_registrations;

/* What one write holds; pointers are the roster's until it changes. */
struct rr_registration_batch {
	GPtrArray *added;   /* const struct rr_instance */
	GPtrArray *removed; /* const char, ids */
};

struct rr_registrations *rr_new_registrations(void);
void rr_drop_registrations(struct rr_registrations *roster);

/* An instance is there, as it says itself.  False: there is no room for it. */
bool rr_register_instance(struct rr_registrations *roster,
			  const struct rr_instance *instance, int64_t now_us);
/* It leaves: its entry is to be removed. */
void rr_deregister_instance(struct rr_registrations *roster, const char *id);
/* Those not heard of since then have gone. */
void rr_expire_registrations(struct rr_registrations *roster, int64_t since_us);
/* When the one that was heard of longest ago was; INT64_MAX: there is none. */
int64_t rr_oldest_registration_us(const struct rr_registrations *roster);

/* Whether something is to be written. */
bool rr_has_unwritten_registrations(const struct rr_registrations *roster);
bool rr_registrations_are_empty(const struct rr_registrations *roster);
/* What is to be written, `most` keys at the most; it is under way then. */
struct rr_registration_batch
rr_take_registration_batch(struct rr_registrations *roster, guint most);
void rr_clear_registration_batch(struct rr_registration_batch *batch);
/* What was under way is in the store, by a write of that revision. */
void rr_confirm_registration_batch(struct rr_registrations *roster,
				   uint64_t revision);
/* It may not be: it is to be written again. */
void rr_retry_registration_batch(struct rr_registrations *roster);
/* The lease has ended, and with it all entries. */
void rr_rewrite_all_registrations(struct rr_registrations *roster);
/*
 * What the store tells of an entry.  Written later than by this instance, it
 * is another's to keep; removed, it is to be written again.
 */
void rr_observe_registration(struct rr_registrations *roster, const char *id,
			     uint64_t revision, bool removed);

#endif
