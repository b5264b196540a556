/*
 * push.h - the decision of one push of a configuration file.
 *
 * A push reads the record, puts the file in, checks the merged result of
 * every site and swaps the record.  No input or output: rr_push_step() says
 * what to do next, the user of this module does it and hands the store's
 * reply in.
 *
 *     push = rr_new_push(ctx, &options);
 *     while (!rr_push_step(push, &step)) {
 *             do as the step says: read, swap or wait;
 *             rr_handle_push_reply(ctx, push, &reply);  (not after a wait)
 *     }
 *     look at rr_push_result(push);
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
	 * The record's revision that the operator's text was made from (shown
	 * by `config show`); 0 when there was no such file.
	 */
	uint64_t base_revision;
	/*
	 * Never used before.  A push that ended unsettled is made again with
	 * the same one and pushed_before: it then takes effect once at most.
	 */
	const char *change_id;
	/*
	 * The change id is one of an earlier push that ended unsettled: its
	 * write may be on its way still, so only an answer of the store can
	 * end this push as not written.
	 */
	bool is_retry;
	const char *author;
	int64_t when_s;
	/* Calls that may fail or conflict before the push ends; 0: 20. */
	uint32_t max_tries;
};

enum rr_push_action {
	RR_PUSH_READ, /* get the key */
	RR_PUSH_SWAP, /* compare-and-swap the key */
	RR_PUSH_WAIT, /* wait, then ask for the next step */
};

/* Pointers are valid until the reply is handed in. */
struct rr_push_step {
	enum rr_push_action action;
	const char *key;
	uint64_t revision; /* RR_PUSH_SWAP: the key's, to compare */
	const char *value;
	size_t length;
	uint32_t wait_ms;
};

enum rr_push_status {
	RR_PUSH_RUNNING,
	/* In force from `revision` on, also when found accepted before. */
	RR_PUSH_ACCEPTED,
	/* The file was changed since base_revision; nothing was written. */
	RR_PUSH_CONFLICT,
	/* The merged result is not valid; nothing was written. */
	RR_PUSH_INVALID,
	/* The store does not answer; nothing was written. */
	RR_PUSH_UNAVAILABLE,
	/*
	 * A write got no reply and may have taken or still take effect: push
	 * again with the same change id.
	 */
	RR_PUSH_UNRESOLVED,
	/* The record in the store cannot be used; nothing was written. */
	RR_PUSH_BAD_RECORD,
};

/* Owned by the push. */
struct rr_push_result {
	enum rr_push_status status;
	uint64_t revision;	/* RR_PUSH_ACCEPTED */
	const char *message;	/* one line for the operator */
	GPtrArray *diagnostics; /* RR_PUSH_INVALID: struct rr_diagnostic */
	uint32_t store_reads;	/* calls that were made */
	uint32_t store_writes;
};

struct rr_push;

/* Strings are copied; the context is kept for the length of each call only. */
struct rr_push *rr_new_push(struct rr_context *ctx,
			    const struct rr_push_options *options);
void rr_drop_push(struct rr_push *push);

/*
 * What to do next; returns true when the push has ended and there is nothing
 * to do.  Each RR_PUSH_READ and RR_PUSH_SWAP is answered by one
 * rr_handle_push_reply() before the next step.
 */
bool rr_push_step(struct rr_push *push, struct rr_push_step *step);
void rr_handle_push_reply(struct rr_context *ctx, struct rr_push *push,
			  const struct rr_store_reply *reply);
const struct rr_push_result *rr_push_result(const struct rr_push *push);

#endif
