/*
 * push.h - state machine that pushes one configuration file to the store.
 *
 * A push reads the configuration record, replaces the file in it, checks the
 * merged configuration of every site and writes the record back by
 * compare-and-swap.  The module does no I/O: rr_push_step() returns the next
 * action, and the caller performs it and passes the store's reply in.
 *
 *     push = rr_new_push(ctx, &options);
 *     while (!rr_push_step(push, &step)) {
 *             perform step.action: read, swap or wait;
 *             rr_handle_push_reply(ctx, push, &reply);  (not after a wait)
 *     }
 *     use rr_push_result(push);
 */
#ifndef RAGWORT_PUSH_H
#define RAGWORT_PUSH_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwort/context.h"
#include "ragwort/store.h"

struct rr_push_options {
	const char *file; /* RR_CONFIG_BASE_FILE or a site's name */
	const char *text; /* NULL removes the site's overlay */
	/*
	 * Revision of the record that the text was edited from (printed by
	 * `config show`); 0 if the file did not exist.
	 */
	uint64_t base_revision;
	/*
	 * Unique for each change.  A push that ended as RR_PUSH_UNRESOLVED is
	 * retried with the same id and is_retry set, so that the change takes
	 * effect at most once.
	 */
	const char *change_id;
	/*
	 * The change id is that of an earlier push that ended as
	 * RR_PUSH_UNRESOLVED.  Its write may still be in flight, so only a
	 * reply from the store can end this push as not written.
	 */
	bool is_retry;
	const char *author;
	int64_t when_s;
	/*
	 * Number of failed or conflicting store calls after which the push
	 * ends; 0 stands for 20.
	 */
	uint32_t max_tries;
};

enum rr_push_action {
	RR_PUSH_READ, /* read the key */
	RR_PUSH_SWAP, /* compare-and-swap the key */
	RR_PUSH_WAIT, /* wait for wait_ms, then call rr_push_step() */
};

/* Pointers are valid until the call of rr_handle_push_reply(). */
struct rr_push_step {
	enum rr_push_action action;
	const char *key;
	uint64_t revision; /* RR_PUSH_SWAP: expected revision of the key */
	const char *value;
	size_t length;
	uint32_t wait_ms;
};

enum rr_push_status {
	RR_PUSH_RUNNING,
	/*
	 * In effect from `revision` on.  Also reported if the record already
	 * had the change or the same text.
	 */
	RR_PUSH_ACCEPTED,
	/* The file has changed since base_revision; nothing was written. */
	RR_PUSH_CONFLICT,
	/* The options or the merged result are invalid; nothing was written. */
	RR_PUSH_INVALID,
	/*
	 * The store does not reply, or other writers changed the record at
	 * each attempt; nothing was written.
	 */
	RR_PUSH_UNAVAILABLE,
	/*
	 * A write got no reply and may have taken effect or may do so later:
	 * retry with the same change id.
	 */
	RR_PUSH_UNRESOLVED,
	/*
	 * The record in the store is malformed or older than base_revision;
	 * nothing was written.
	 */
	RR_PUSH_BAD_RECORD,
};

/* Owned by the push. */
struct rr_push_result {
	enum rr_push_status status;
	uint64_t revision;   /* RR_PUSH_ACCEPTED */
	const char *message; /* one line for the operator; NULL while running */
	GPtrArray *diagnostics; /* RR_PUSH_INVALID: struct rr_diagnostic */
	uint32_t store_reads;	/* number of read calls made */
	uint32_t store_writes;	/* number of write calls made */
};

struct rr_push;

/*
 * Create a push.  The strings of `options` are copied; no function here keeps
 * `ctx` after it returns.  Free the result with rr_drop_push().
 */
struct rr_push *rr_new_push(struct rr_context *ctx,
			    const struct rr_push_options *options);
void rr_drop_push(struct rr_push *push);

/*
 * Write the next action into `step`.  Return true, leaving `step` unchanged,
 * once the push has ended.  After RR_PUSH_READ and RR_PUSH_SWAP, call
 * rr_handle_push_reply() exactly once before the next rr_push_step().
 */
bool rr_push_step(struct rr_push *push, struct rr_push_step *step);
void rr_handle_push_reply(struct rr_context *ctx, struct rr_push *push,
			  const struct rr_store_reply *reply);
/* Return the state of the push, owned by it. */
const struct rr_push_result *rr_push_result(const struct rr_push *push);

#endif
