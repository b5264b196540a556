/*
 * push.c - the decision of one push of a configuration file.
 */
#include "ragwort/push.h"

#include <string.h>

#include "ragwort/counters.h"
#include "ragwort/invariant.h"
#include "ragwort/record.h"
#include "ragwort/settings.h"

#define DEFAULT_TRIES 20
#define FIRST_WAIT_MS 20
#define MAX_WAIT_DOUBLINGS 6
/* The platform holds values up to a megabyte. */
#define MAX_RECORD_BYTES 1000000
#define MAX_CHANGE_ID 128

struct rr_push {
	struct rr_push_options options;
	struct rr_push_result result;
	char *message;
	struct rr_push_step step;
	char *value; /* of the swap in flight */
	/* What the swap in flight leads to. */
	uint64_t next_revision;
	uint64_t highest_revision; /* of the key, ever seen */
	/*
	 * A swap on unknown_revision got no reply.  While the key still has
	 * that revision the swap may take effect yet.
	 */
	bool unknown_write;
	uint64_t unknown_revision;
	uint32_t tries;
	bool wait_told;
};

static void end_push(struct rr_push *push, enum rr_push_status status,
		     char *message)
{
	rr_invariant("config", push->result.status == RR_PUSH_RUNNING);
	push->result.status = status;
	g_free(push->message);
	push->message = message;
	push->result.message = message;
}

static void plan_read(struct rr_push *push, uint32_t wait_ms)
{
	push->step.action = RR_PUSH_READ;
	push->step.wait_ms = wait_ms;
	push->wait_told = !wait_ms;
}

static char *check_options(const struct rr_push_options *options)
{
	GError *error = NULL;
	char *message;

	if (!rr_check_config_file_name(options->file, &error)) {
		message = g_strdup(error->message);
		g_error_free(error);
		return message;
	}
	if (!options->text && !strcmp(options->file, RR_CONFIG_BASE_FILE))
		return g_strdup("the base file cannot be removed");
	if (options->text && !g_utf8_validate(options->text, -1, NULL))
		return g_strdup_printf("%s is not UTF-8 text", options->file);
	if (!*options->change_id ||
	    strlen(options->change_id) > MAX_CHANGE_ID ||
	    !g_utf8_validate(options->change_id, -1, NULL))
		return g_strdup_printf("a change id has 1 to %d bytes of UTF-8",
				       MAX_CHANGE_ID);
	if (!g_utf8_validate(options->author, -1, NULL))
		return g_strdup("the author's name is not UTF-8 text");
	return NULL;
}

struct rr_push *rr_new_push(struct rr_context *ctx,
			    const struct rr_push_options *options)
{
	struct rr_push *push = g_new0(struct rr_push, 1);
	char *message = check_options(options);

	(void)ctx;
	push->options = *options;
	push->options.file = g_strdup(options->file);
	push->options.text = g_strdup(options->text);
	push->options.change_id = g_strdup(options->change_id);
	push->options.author = g_strdup(options->author);
	if (!push->options.max_tries)
		push->options.max_tries = DEFAULT_TRIES;
	push->result.diagnostics = rr_new_diagnostics();
	push->step.key = RR_CONFIG_RECORD_KEY;
	plan_read(push, 0);
	if (message)
		end_push(push, RR_PUSH_INVALID, message);
	return push;
}

void rr_drop_push(struct rr_push *push)
{
	if (!push)
		return;
	g_free((char *)push->options.file);
	g_free((char *)push->options.text);
	g_free((char *)push->options.change_id);
	g_free((char *)push->options.author);
	g_ptr_array_unref(push->result.diagnostics);
	g_free(push->message);
	g_free(push->value);
	g_free(push);
}

bool rr_push_step(struct rr_push *push, struct rr_push_step *step)
{
	if (push->result.status != RR_PUSH_RUNNING)
		return true;
	*step = push->step;
	if (!push->wait_told) {
		push->wait_told = true;
		step->action = RR_PUSH_WAIT;
		return false;
	}
	if (step->action == RR_PUSH_READ)
		push->result.store_reads++;
	else
		push->result.store_writes++;
	return false;
}

const struct rr_push_result *rr_push_result(const struct rr_push *push)
{
	return &push->result;
}

/* Whether a write of this change may have taken or may still take effect. */
static bool may_be_written(const struct rr_push *push)
{
	return push->unknown_write || push->options.is_retry;
}

/* Read again after a random wait that grows, or give up after max_tries. */
static void try_again(struct rr_context *ctx, struct rr_push *push)
{
	uint32_t doublings = MIN(push->tries, MAX_WAIT_DOUBLINGS);

	push->tries++;
	if (push->tries < push->options.max_tries) {
		plan_read(push,
			  1 + rr_random_below(ctx, FIRST_WAIT_MS << doublings));
		return;
	}
	if (may_be_written(push))
		end_push(push, RR_PUSH_UNRESOLVED,
			 g_strdup_printf("a write got no reply and may have "
					 "taken effect: push again with change "
					 "id %s",
					 push->options.change_id));
	else
		end_push(push, RR_PUSH_UNAVAILABLE,
			 g_strdup("others changed the configuration at each "
				  "try; nothing was written: push again"));
}

static void handle_failure(struct rr_context *ctx, struct rr_push *push)
{
	/* Only a push with nothing on its way can say "not written" at once. */
	if (may_be_written(push))
		try_again(ctx, push);
	else
		end_push(push, RR_PUSH_UNAVAILABLE,
			 g_strdup("the platform's service does not answer; "
				  "nothing was written"));
}

/* Whose changes the operator has not seen. */
static char *describe_changes(const struct rr_push *push,
			      const struct rr_config_record *record)
{
	const struct rr_config_change *changes;
	size_t n = rr_list_config_changes(record, &changes);
	GString *text = g_string_new(NULL);

	g_string_printf(text,
			"%s was changed since revision %" G_GUINT64_FORMAT ":",
			push->options.file, push->options.base_revision);
	for (size_t i = 0; i < n; i++) {
		if (changes[i].revision <= push->options.base_revision)
			break;
		if (strcmp(changes[i].file, push->options.file))
			continue;
		g_string_append_printf(
			text, " revision %" G_GUINT64_FORMAT " by %s (%s);",
			changes[i].revision, changes[i].author,
			changes[i].change_id);
	}
	g_string_append(text, " look at it and push from the newest");
	return g_string_free(text, FALSE);
}

/* 0 where the record makes no valid configuration. */
static uint32_t find_buckets(const struct rr_config_record *record)
{
	GPtrArray *faults = rr_new_diagnostics();
	char **sites = rr_list_overlay_sites(record);
	struct rr_config *config;
	uint32_t buckets = 0;

	config = rr_build_site_config(
		record, *sites ? *sites : RR_CONFIG_BASE_FILE, faults);
	if (config)
		buckets = config->ledger_buckets;
	rr_drop_config(config);
	g_strfreev(sites);
	g_ptr_array_unref(faults);
	return buckets;
}

/*
 * A request id maps to a ledger key by the number of buckets.  With another
 * number an id claimed before would be looked for in another key, found
 * absent and run a second time, so the number stays what it first was.
 */
static bool moves_buckets(const struct rr_config_record *before,
			  const struct rr_config_record *after)
{
	uint32_t buckets = find_buckets(before);

	return buckets && buckets != find_buckets(after);
}

static bool check_change(struct rr_push *push,
			 const struct rr_config_record *before,
			 const struct rr_config_record *after)
{
	GPtrArray *faults = push->result.diagnostics;

	if (!rr_check_config_record(after, faults)) {
		end_push(push, RR_PUSH_INVALID,
			 g_strdup_printf("%u faults; nothing was written",
					 faults->len));
		return false;
	}
	if (moves_buckets(before, after)) {
		end_push(push, RR_PUSH_INVALID,
			 g_strdup("ledger_buckets cannot change once set: "
				  "reservations made before would not be "
				  "found; nothing was written"));
		return false;
	}
	return true;
}

static void plan_swap(struct rr_push *push,
		      const struct rr_config_record *before, uint64_t revision)
{
	struct rr_config_record *after = rr_copy_config_record(before);
	size_t length;

	rr_update_config_record(after, push->options.file, push->options.text,
				push->options.change_id, push->options.author,
				push->options.when_s);
	if (!check_change(push, before, after)) {
		rr_drop_config_record(after);
		return;
	}
	rr_invariant("config", rr_config_record_revision(after) >
				       rr_config_record_revision(before));
	g_free(push->value);
	push->value = rr_encode_config_record(after, &length);
	push->next_revision = rr_config_record_revision(after);
	rr_drop_config_record(after);
	if (length > MAX_RECORD_BYTES) {
		end_push(push, RR_PUSH_INVALID,
			 g_strdup_printf("all files together take %zu bytes, "
					 "%d are allowed; nothing was written",
					 length, MAX_RECORD_BYTES));
		return;
	}
	push->step.action = RR_PUSH_SWAP;
	push->step.revision = revision;
	push->step.value = push->value;
	push->step.length = length;
}

static bool same_text(const char *a, const char *b)
{
	return a && b ? !strcmp(a, b) : a == b;
}

static char *describe_setback(const struct rr_push *push,
			      const struct rr_config_record *record)
{
	return g_strdup_printf(
		"the store holds revision %" G_GUINT64_FORMAT
		", older than the %" G_GUINT64_FORMAT
		" that was pushed from: it lost changes; nothing was written",
		rr_config_record_revision(record), push->options.base_revision);
}

static void take_record(struct rr_push *push,
			const struct rr_config_record *record,
			uint64_t key_revision)
{
	const struct rr_push_options *options = &push->options;
	uint64_t revision;

	/* Here a lost reply is settled: the record says that it was written. */
	if (rr_find_config_change(record, options->change_id, &revision)) {
		push->result.revision = revision;
		end_push(push, RR_PUSH_ACCEPTED, g_strdup("accepted"));
		return;
	}
	if (same_text(rr_config_file_text(record, options->file),
		      options->text)) {
		push->result.revision = rr_config_record_revision(record);
		end_push(push, RR_PUSH_ACCEPTED, g_strdup("no change"));
		return;
	}
	/* Instances would leave a lower revision out: it would not take effect. */
	if (rr_config_record_revision(record) < options->base_revision) {
		end_push(push, RR_PUSH_BAD_RECORD,
			 describe_setback(push, record));
		return;
	}
#ifndef RR_MUTANT_CONFIG_REVERT
	if (rr_config_file_revision(record, options->file) >
	    options->base_revision) {
		end_push(push, RR_PUSH_CONFLICT,
			 describe_changes(push, record));
		return;
	}
#endif
	plan_swap(push, record, key_revision);
}

static struct rr_config_record *decode_read(struct rr_push *push,
					    const struct rr_store_reply *reply)
{
	struct rr_config_record *record;
	GError *error = NULL;

	if (!reply->value)
		return rr_new_config_record();
	record = rr_decode_config_record(reply->value, reply->length, &error);
	if (record)
		return record;
	end_push(push, RR_PUSH_BAD_RECORD, g_strdup(error->message));
	g_error_free(error);
	return NULL;
}

static void take_read(struct rr_context *ctx, struct rr_push *push,
		      const struct rr_store_reply *reply)
{
	struct rr_config_record *record;

	if (reply->status != RR_STORE_OK ||
	    reply->revision < push->highest_revision) {
		handle_failure(ctx, push);
		return;
	}
	push->highest_revision = reply->revision;
	/*
	 * A swap without a reply compares the revision when it arrives: once
	 * the key has another one, the record says whether it took effect.
	 * While it is the same, the swap may still be on its way; then only a
	 * later swap of ours fences it off, so we go on to write.
	 */
	if (push->unknown_write && push->unknown_revision != reply->revision)
		push->unknown_write = false;
#ifdef RR_MUTANT_CONFIG_NO_FENCE
	push->unknown_write = false;
#endif
	record = decode_read(push, reply);
	if (!record)
		return;
	take_record(push, record, reply->revision);
	rr_drop_config_record(record);
}

static void take_swap(struct rr_context *ctx, struct rr_push *push,
		      const struct rr_store_reply *reply)
{
	switch (reply->status) {
	case RR_STORE_OK:
		push->unknown_write = false;
		push->result.revision = push->next_revision;
		end_push(push, RR_PUSH_ACCEPTED, g_strdup("accepted"));
		break;
	case RR_STORE_CONFLICT:
		try_again(ctx, push);
		break;
	case RR_STORE_UNAVAILABLE:
		handle_failure(ctx, push);
		break;
	case RR_STORE_UNKNOWN:
#ifdef RR_MUTANT_CONFIG_NO_SETTLE
		end_push(push, RR_PUSH_UNAVAILABLE, g_strdup("no reply"));
		break;
#endif
		push->unknown_write = true;
		push->unknown_revision = push->step.revision;
		try_again(ctx, push);
		break;
	}
}

void rr_handle_push_reply(struct rr_context *ctx, struct rr_push *push,
			  const struct rr_store_reply *reply)
{
	rr_count(ctx, RR_N_STORE_CALLS, 1);
	if (push->result.status != RR_PUSH_RUNNING)
		return;
	if (push->step.action == RR_PUSH_READ)
		take_read(ctx, push, reply);
	else
		take_swap(ctx, push, reply);
}
