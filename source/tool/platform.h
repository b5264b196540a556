/*
 * platform.h - the tool's calls to the platform's key-value service.
 */
#ifndef TOOL_PLATFORM_H
#define TOOL_PLATFORM_H

#include "ragwort/feed.h"
#include "ragwort/record.h"
#include "ragwort/store.h"

#define RR_PLATFORM_TIMEOUT_MS 5000

/*
 * Read or swap a key and wait.  reply->value points into *body, which the
 * caller frees with g_free(); *why (g_free()) says what went wrong.
 */
void rr_get_platform_key(const char *address, const char *key,
			 struct rr_store_reply *reply, char **body, char **why);
void rr_cas_platform_key(const char *address, const char *key,
			 uint64_t revision, const char *value, size_t length,
			 struct rr_store_reply *reply, char **why);

/*
 * Read all items of a kind: struct rr_feed_item, to be released with
 * g_ptr_array_unref().  NULL on failure, with the reason in *why (g_free()).
 */
GPtrArray *rr_read_platform_items(const char *address,
				  enum rr_feed_item_kind kind, char **why);
/* Remove an item if it is unchanged.  False, with *why, on failure. */
bool rr_remove_quarantine_item(const char *address,
			       const struct rr_feed_item *item, char **why);

/*
 * Read the accepted configuration; an empty record when there is none yet.
 * NULL with *code set and a line on stderr when it cannot be had.
 */
struct rr_command;
struct rr_config_record *rr_read_config_record(const struct rr_command *command,
					       const char *address, int *code);

#endif
