/*
 * news.h - the store's items as they were told, to be passed on.
 *
 * A leaf: it knows no calls and no formats.  Values are kept as they came.
 */
#ifndef RAGWORT_CORE_NEWS_H
#define RAGWORT_CORE_NEWS_H

#include <glib.h>
#include <stdint.h>

#include "ragwort/feed.h"

struct rr_news;

struct rr_news *rr_new_news(void);
void rr_drop_news(struct rr_news *news);
/* An item was written, or removed: its value is NULL.  Strings are copied. */
void rr_keep_news(struct rr_news *news, const struct rr_news_item *item);
/*
 * All items as they were at a revision have been kept: what was removed before
 * is not known here.
 */
void rr_begin_news(struct rr_news *news, uint64_t revision);
/*
 * Changes behind a revision as struct rr_news_item, the oldest first; of
 * revision 0 all items there are.  They point into `news` until it changes.
 * NULL: some since then are no longer kept.
 */
GArray *rr_news_after(const struct rr_news *news, uint64_t after);
/*
 * Leave out what is behind the first so many, but for those of the same
 * revision.  The revision of the last that stays; 0: nothing was left out.
 */
uint64_t rr_cut_news(GArray *items, guint most);

#endif
