/*
 * change-log.h - the store's items as they were told, to be passed on.
 *
 * A leaf: it knows no calls and no formats.  Values are kept as they came.
 */
#ifndef RAGWORT_CORE_CHANGE_LOG_H
#define RAGWORT_CORE_CHANGE_LOG_H

#include <glib.h>
#include <stdint.h>

#include "ragwort/feed.h"

struct rr_change_log;

struct rr_change_log *rr_new_change_log(void);
void rr_drop_change_log(struct rr_change_log *news);
/* An item was written, or removed: its value is NULL.  Strings are copied. */
void rr_put_change(struct rr_change_log *news,
		   const struct rr_feed_change *item);
/*
 * All items as they were at a revision have been kept: what was removed before
 * is not known here.
 */
void rr_start_change_log(struct rr_change_log *news, uint64_t revision);
/*
 * Changes behind a revision as struct rr_feed_change, the oldest first; of
 * revision 0 all items there are.  They point into `news` until it changes.
 * NULL: some since then are no longer kept.
 */
GArray *rr_list_changes_after(const struct rr_change_log *news, uint64_t after);
/*
 * Leave out what is behind the first so many, but for those of the same
 * revision.  The revision of the last that stays; 0: nothing was left out.
 */
uint64_t rr_truncate_changes(GArray *items, guint most);

#endif
