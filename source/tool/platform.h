/*
 * platform.h - blocking client of the platform's key-value service.
 */
#ifndef TOOL_PLATFORM_H
#define TOOL_PLATFORM_H

#include "ragwort/feed.h"
#include "ragwort/record.h"
#include "ragwort/store.h"

#define RR_PLATFORM_TIMEOUT_MS 5000

/*
 * Read or compare-and-swap a key and wait for the reply.  reply->value points
 * into *body.  *reason describes a failure.  The caller frees both with
 * g_free().
 */
void rr_get_platform_key(const char *address, const char *key,
			 struct rr_store_reply *reply, char **body,
			 char **reason);
void rr_cas_platform_key(const char *address, const char *key,
			 uint64_t revision, const char *value, size_t length,
			 struct rr_store_reply *reply, char **reason);

/*
 * Read all items of a kind.  Return struct rr_feed_item *, to be released with
 * g_ptr_array_unref(), or NULL on failure with a description in *reason, to be
 * freed with g_free().
 */
GPtrArray *rr_read_platform_items(const char *address,
				  enum rr_feed_item_kind kind, char **reason);
/*
 * Remove an item unless it has changed since it was read.  On failure, return
 * false with a description in *reason, to be freed with g_free().
 */
bool rr_remove_quarantine_item(const char *address,
			       const struct rr_feed_item *item, char **reason);

/*
 * Read the accepted configuration, or an empty record if there is none yet.
 * *code is set to the exit code.  On failure, print a message on stderr and
 * return NULL.
 */
struct rr_command;
struct rr_config_record *rr_read_config_record(const struct rr_command *command,
					       const char *address, int *code);

#endif
