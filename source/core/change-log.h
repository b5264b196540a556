/*
 * change-log.h - the store's changes in the form in which they are served to
 * peers.
 *
 * This module makes no calls and knows no formats.  Values are kept as
 * received.
 */
#ifndef RAGWORT_CORE_CHANGE_LOG_H
#define RAGWORT_CORE_CHANGE_LOG_H

#include <glib.h>
#include <stdint.h>

#include "ragwort/feed.h"

struct rr_change_log;

struct rr_change_log *rr_new_change_log(void);
void rr_drop_change_log(struct rr_change_log *change_log);
/*
 * Record that an item was written, or removed if its value is NULL.  Strings
 * are copied.
 */
void rr_put_change(struct rr_change_log *change_log,
		   const struct rr_feed_change *item);
/* Record all changes of another log, which are later. */
void rr_merge_change_log(struct rr_change_log *change_log,
			 const struct rr_change_log *later);
/*
 * Find the latest change of a key.  Its strings are valid until the log changes.
 * Return false if there is none.
 */
bool rr_find_change(const struct rr_change_log *change_log, const char *key,
		    struct rr_feed_change *change);
/*
 * Declare the log complete for changes after `revision`.  Earlier removals, and
 * those at `revision`, are not known.
 */
void rr_start_change_log(struct rr_change_log *change_log, uint64_t revision);
/*
 * List the changes after revision `after` as struct rr_feed_change, oldest
 * first; for 0, all present items.  They point into `change_log` and are valid
 * until it changes; release the array with g_array_unref().  Return NULL if
 * removals since then are no longer kept.
 */
GArray *rr_list_changes_after(const struct rr_change_log *change_log,
			      uint64_t after);
/*
 * Truncate `items` to the first `max_changes`, and those with the same revision
 * as the last of these.  Return the revision of the last one that remains; 0:
 * nothing was dropped.
 */
uint64_t rr_truncate_changes(GArray *items, guint max_changes);

#endif
