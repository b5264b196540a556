/*
 * feed-registration.h - the instances that this one registers in the store.
 *
 * One lease and one write serve many instances instead of a lease and a write
 * each.  This module makes no calls itself.
 */
#ifndef RAGWORT_CORE_FEED_REGISTRATION_H
#define RAGWORT_CORE_FEED_REGISTRATION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/feed.h"

struct rr_registrations;

/*
 * The content of one write.  The pointers are valid until the registrations
 * change.
 */
struct rr_registration_batch {
	GPtrArray *added;   /* const struct rr_instance */
	GPtrArray *removed; /* const char, ids */
};

struct rr_registrations *rr_new_registrations(void);
void rr_drop_registrations(struct rr_registrations *registrations);

/*
 * Add or refresh an instance, as it describes itself.  Return false if the
 * maximum number of registrations is reached.
 */
bool rr_register_instance(struct rr_registrations *registrations,
			  const struct rr_instance *instance, int64_t now_us);
/* Mark an instance as having left; its entry is to be removed. */
void rr_deregister_instance(struct rr_registrations *registrations,
			    const char *id);
/* Expire the registrations without contact since `since_us`. */
void rr_expire_registrations(struct rr_registrations *registrations,
			     int64_t since_us);
/*
 * Return the earliest last contact of all present registrations; INT64_MAX if
 * there are none.
 */
int64_t rr_oldest_registration_us(const struct rr_registrations *registrations);

/* Whether there are changes to write that are not in flight. */
bool rr_has_unwritten_registrations(
	const struct rr_registrations *registrations);
bool rr_registrations_are_empty(const struct rr_registrations *registrations);
/* Take up to `max_keys` changes to write; they are in flight afterwards. */
struct rr_registration_batch
rr_take_registration_batch(struct rr_registrations *registrations,
			   guint max_keys);
void rr_clear_registration_batch(struct rr_registration_batch *batch);
/* The batch in flight was written at `revision`. */
void rr_confirm_registration_batch(struct rr_registrations *registrations,
				   uint64_t revision);
/* The batch in flight may have failed; it is to be written again. */
void rr_retry_registration_batch(struct rr_registrations *registrations);
/* The lease has ended and all entries with it; write all again. */
void rr_rewrite_all_registrations(struct rr_registrations *registrations);
/*
 * Handle a change of an entry as read from the store.  If its revision is
 * higher than that of this instance's write, another registrar has written the
 * entry, and the registration is dropped here; if the entry was removed
 * although the instance is present, it is to be written again.
 */
void rr_observe_registration(struct rr_registrations *registrations,
			     const char *id, uint64_t revision, bool removed);

#endif
