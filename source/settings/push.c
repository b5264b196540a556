/*
 * push.c - state machine that pushes one configuration file to the store.
 */
#include "ragwort/push.h"

#include <string.h>

#include "ragwort/counters.h"
#include "ragwort/invariant.h"
#include "ragwort/record.h"
#include "ragwort/settings.h"

#define DEFAULT_MAX_TRIES 20
#define BASE_BACKOFF_MS 20
#define MAX_BACKOFF_DOUBLINGS 6
/* The platform accepts values of up to a megabyte. */
#define MAX_RECORD_BYTES 1000000
#define MAX_CHANGE_ID_BYTES 128

struct rr_push {
	struct rr_push_options options;
	struct rr_push_result result;
	char *message;
	struct rr_push_step step;
	char *value;		/* new record, written by the swap in flight */
	uint64_t next_revision; /* of that record */
	uint64_t highest_revision; /* of the key, in the replies to reads */
	/*
	 * A swap that expects unresolved_revision got no reply.  While the key
	 * still has that revision, the swap may yet take effect.
	 */
	bool unresolved_write;
	uint64_t unresolved_revision;
	uint32_t tries;	    /* store calls that failed or conflicted */
	bool wait_returned; /* rr_push_step() has returned the wait, if any */
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

static void schedule_read(struct rr_push *push, uint32_t wait_ms)
{
	push->step.action = RR_PUSH_READ;
	push->step.wait_ms = wait_ms;
	push->wait_returned = !wait_ms;
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
	    strlen(options->change_id) > MAX_CHANGE_ID_BYTES ||
	    !g_utf8_validate(options->change_id, -1, NULL))
		return g_strdup_printf("a change id has 1 to %d bytes of UTF-8",
				       MAX_CHANGE_ID_BYTES);
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
		push->options.max_tries = DEFAULT_MAX_TRIES;
	push->result.diagnostics = rr_new_diagnostics();
	push->step.key = RR_CONFIG_RECORD_KEY;
	schedule_read(push, 0);
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
	if (!push->wait_returned) {
		push->wait_returned = true;
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

/*
 * Return whether a write of this change may have taken effect or may yet do so.
 */
static bool may_be_written(const struct rr_push *push)
{
	return push->unresolved_write || push->options.is_retry;
}

/* Read again after a random, exponentially growing wait, up to max_tries. */
static void retry_or_end(struct rr_context *ctx, struct rr_push *push)
{
	uint32_t doublings = MIN(push->tries, MAX_BACKOFF_DOUBLINGS);

	push->tries++;
	if (push->tries < push->options.max_tries) {
		schedule_read(
			push,
			1 + rr_random_below(ctx, BASE_BACKOFF_MS << doublings));
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
				  "attempt; nothing was written: push again"));
}

static void handle_failure(struct rr_context *ctx, struct rr_push *push)
{
	/*
	 * If no write of this change can have taken effect, the push ends as
	 * not written.  Otherwise it must read the record to find out.
	 */
	if (may_be_written(push))
		retry_or_end(ctx, push);
	else
		end_push(push, RR_PUSH_UNAVAILABLE,
			 g_strdup("the platform's service does not reply; "
				  "nothing was written"));
}

/* Describe the changes made to the file since base_revision. */
static char *describe_conflict(const struct rr_push *push,
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
	g_string_append(text, " review the changes and push from the latest "
			      "revision");
	return g_string_free(text, FALSE);
}

/*
 * Return ledger_buckets; 0 if the record's configuration is not valid.  All
 * sites have the same value, since only the base file can set it.
 */
static uint32_t read_ledger_buckets(const struct rr_config_record *record)
{
	GPtrArray *diagnostics = rr_new_diagnostics();
	char **sites = rr_list_overlay_sites(record);
	struct rr_config *config;
	uint32_t buckets = 0;

	config = rr_build_site_config(
		record, *sites ? *sites : RR_CONFIG_BASE_FILE, diagnostics);
	if (config)
		buckets = config->ledger_buckets;
	rr_drop_config(config);
	g_strfreev(sites);
	g_ptr_array_unref(diagnostics);
	return buckets;
}

/*
 * Return whether a change alters the number of ledger buckets, which determines
 * which ledger key a request id maps to.  With another number, an id that was
 * claimed before would be looked up under another key, not be found there, and
 * its request would run a second time.  So the number must not change once set.
 */
static bool changes_ledger_buckets(const struct rr_config_record *before,
				   const struct rr_config_record *after)
{
	uint32_t buckets = read_ledger_buckets(before);

	return buckets && buckets != read_ledger_buckets(after);
}

static bool validate_change(struct rr_push *push,
			    const struct rr_config_record *before,
			    const struct rr_config_record *after)
{
	GPtrArray *diagnostics = push->result.diagnostics;

	if (!rr_check_config_record(after, diagnostics)) {
		end_push(push, RR_PUSH_INVALID,
			 g_strdup_printf("%u errors; nothing was written",
					 diagnostics->len));
		return false;
	}
	if (changes_ledger_buckets(before, after)) {
		end_push(push, RR_PUSH_INVALID,
			 g_strdup("ledger_buckets cannot change once set: "
				  "reservations made before would not be "
				  "found; nothing was written"));
		return false;
	}
	return true;
}

static void schedule_swap(struct rr_push *push,
			  const struct rr_config_record *before,
			  uint64_t revision)
{
	struct rr_config_record *after = rr_copy_config_record(before);
	size_t length;

	rr_update_config_record(after, push->options.file, push->options.text,
				push->options.change_id, push->options.author,
				push->options.when_s);
	if (!validate_change(push, before, after)) {
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
			 g_strdup_printf("the record of all files takes %zu "
					 "bytes, %d are allowed; nothing was "
					 "written",
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

static char *describe_older_record(const struct rr_push *push,
				   const struct rr_config_record *record)
{
	return g_strdup_printf(
		"the store holds revision %" G_GUINT64_FORMAT
		", older than revision %" G_GUINT64_FORMAT
		" that the push is based on: the store lost changes; nothing "
		"was written",
		rr_config_record_revision(record), push->options.base_revision);
}

static void handle_record(struct rr_push *push,
			  const struct rr_config_record *record,
			  uint64_t key_revision)
{
	const struct rr_push_options *options = &push->options;
	uint64_t revision;

	/* A write whose reply was lost took effect if the record lists it. */
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
	/* Instances ignore lower revisions: the push would have no effect. */
	if (rr_config_record_revision(record) < options->base_revision) {
		end_push(push, RR_PUSH_BAD_RECORD,
			 describe_older_record(push, record));
		return;
	}
#ifndef RR_MUTANT_CONFIG_REVERT
	if (rr_config_file_revision(record, options->file) >
	    options->base_revision) {
		end_push(push, RR_PUSH_CONFLICT,
			 describe_conflict(push, record));
		return;
	}
#endif
	schedule_swap(push, record, key_revision);
}

static struct rr_config_record *decode_reply(struct rr_push *push,
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

static void handle_read_reply(struct rr_context *ctx, struct rr_push *push,
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
	 * A swap without a reply compares the key's revision when it reaches
	 * the store.  Once the key has another revision, the record shows
	 * whether the swap took effect.  While the revision is the same, the
	 * swap may still be in flight, and only a later swap of this push
	 * prevents it from taking effect, so the push writes again.
	 */
	if (push->unresolved_write &&
	    push->unresolved_revision != reply->revision)
		push->unresolved_write = false;
#ifdef RR_MUTANT_CONFIG_NO_FENCE
	push->unresolved_write = false;
#endif
	record = decode_reply(push, reply);
	if (!record)
		return;
	handle_record(push, record, reply->revision);
	rr_drop_config_record(record);
}

static void handle_swap_reply(struct rr_context *ctx, struct rr_push *push,
			      const struct rr_store_reply *reply)
{
	switch (reply->status) {
	case RR_STORE_OK:
		push->unresolved_write = false;
		push->result.revision = push->next_revision;
		end_push(push, RR_PUSH_ACCEPTED, g_strdup("accepted"));
		break;
	case RR_STORE_CONFLICT:
		retry_or_end(ctx, push);
		break;
	case RR_STORE_UNAVAILABLE:
		handle_failure(ctx, push);
		break;
	case RR_STORE_UNKNOWN:
#ifdef RR_MUTANT_CONFIG_NO_SETTLE
		end_push(push, RR_PUSH_UNAVAILABLE, g_strdup("no reply"));
		break;
#endif
		push->unresolved_write = true;
		push->unresolved_revision = push->step.revision;
		retry_or_end(ctx, push);
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
		handle_read_reply(ctx, push, reply);
	else
		handle_swap_reply(ctx, push, reply);
}
