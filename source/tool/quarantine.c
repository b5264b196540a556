/*
 * quarantine.c - `ragwort quarantine list` and `release`: requests that
 * crash replicas ("queries of death").
 *
 * The gateways share the list through the platform's key-value service.
 */
#include <stdio.h>

#include "ragwort/feed.h"
#include "tool/platform.h"
#include "tool/tool.h"

static bool is_quarantine(const struct rr_feed_item *item)
{
	return item->kind == RR_FEED_QUARANTINE;
}

static void print_item(const struct rr_feed_item *item)
{
	const struct rr_quarantine_entry *entry = item->quarantine;
	char *crashed;

	if (!entry) {
		printf("%s  cannot be read: %s\n", item->id,
		       item->decode_error);
		return;
	}
	crashed = g_strjoinv(" ", entry->crashed);
	printf("%s  %-11s  trials %u  crashed %s\n", item->id,
	       entry->quarantined ? "quarantined" : "suspected", entry->trials,
	       crashed);
	g_free(crashed);
}

/* Read the quarantine items.  On failure, print the reason and return NULL. */
static GPtrArray *read_items(const struct rr_command *command,
			     const char *address, int *code)
{
	char **addresses = rr_parse_address_list(command, address);
	GPtrArray *items;
	char *reason = NULL;

	*code = RR_EXIT_USAGE;
	if (!addresses)
		return NULL;
	g_strfreev(addresses);
	items = rr_read_platform_items(address, RR_FEED_QUARANTINE, &reason);
	*code = RR_EXIT_OK;
	if (!items) {
		rr_print_message(
			command,
			"the platform's key-value service cannot be read: %s",
			reason);
		*code = RR_EXIT_UNREACHABLE;
	}
	g_free(reason);
	return items;
}

static int list_items(const struct rr_command *command, const char *address)
{
	int code;
	GPtrArray *items = read_items(command, address, &code);

	if (!items)
		return code;
	for (guint i = 0; i < items->len; i++) {
		if (is_quarantine(g_ptr_array_index(items, i)))
			print_item(g_ptr_array_index(items, i));
	}
	g_ptr_array_unref(items);
	return RR_EXIT_OK;
}

static const struct rr_feed_item *find_item(const GPtrArray *items,
					    const char *fingerprint)
{
	for (guint i = 0; i < items->len; i++) {
		const struct rr_feed_item *item = g_ptr_array_index(items, i);

		if (is_quarantine(item) && !g_strcmp0(item->id, fingerprint))
			return item;
	}
	return NULL;
}

static int release_item(const struct rr_command *command, const char *address,
			const char *fingerprint)
{
	int code;
	GPtrArray *items = read_items(command, address, &code);
	const struct rr_feed_item *item;
	char *reason = NULL;

	if (!items)
		return code;
	item = find_item(items, fingerprint);
	if (!item) {
		rr_print_message(command, "%s is not in quarantine",
				 fingerprint);
		code = RR_EXIT_FAILED;
	} else if (!rr_remove_quarantine_item(address, item, &reason)) {
		rr_print_message(command, "%s was not released: %s",
				 fingerprint, reason);
		code = RR_EXIT_FAILED;
	} else {
		printf("released %s\n", fingerprint);
	}
	g_free(reason);
	g_ptr_array_unref(items);
	return code;
}

int rr_run_quarantine_list(const struct rr_command *command, int argc,
			   char **argv)
{
	struct rr_common_arguments common = rr_new_common_arguments();
	struct arg_str *platform = arg_str1(NULL, "platform", "IP:PORT",
					    "the platform's key-value service");
	void *table[] = { platform, common.help, common.end };
	int code = RR_EXIT_OK;

	if (rr_parse_arguments(command, table, &common, argc, argv, &code))
		code = list_items(command, platform->sval[0]);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}

int rr_run_quarantine_release(const struct rr_command *command, int argc,
			      char **argv)
{
	struct rr_common_arguments common = rr_new_common_arguments();
	struct arg_str *platform = arg_str1(NULL, "platform", "IP:PORT",
					    "the platform's key-value service");
	struct arg_str *fingerprint = arg_str1(
		NULL, NULL, "FINGERPRINT", "fingerprint as printed by `list`");
	void *table[] = { platform, fingerprint, common.help, common.end };
	int code = RR_EXIT_OK;

	if (rr_parse_arguments(command, table, &common, argc, argv, &code))
		code = release_item(command, platform->sval[0],
				    fingerprint->sval[0]);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
