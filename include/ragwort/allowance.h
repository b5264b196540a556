/*
 * allowance.h - messages between instances that keep the accounts' allowances.
 */
#ifndef RAGWORT_ALLOWANCE_H
#define RAGWORT_ALLOWANCE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum rr_allowance_verb {
	RR_ALLOWANCE_TAKE,  /* tokens for requests of the sender's callers */
	RR_ALLOWANCE_LEND,  /* tokens for the owner of another zone */
	RR_ALLOWANCE_PROBE, /* checks that the receiver is reachable */
};

/* A call from one instance to another. */
struct rr_allowance_call {
	enum rr_allowance_verb verb;
	const char *account; /* "" for a probe */
	uint32_t tokens;
	uint32_t wait_ms; /* the receiver may wait this long for a loan */
};

enum rr_allowance_status {
	RR_ALLOWANCE_GRANTED,
	RR_ALLOWANCE_EMPTY, /* the allowance is spent, see retry_ms */
	/* The receiver may not grant: another instance owns the account. */
	RR_ALLOWANCE_NOT_OWNER,
	/* No reply was received; never sent. */
	RR_ALLOWANCE_NO_REPLY,
};

struct rr_allowance_reply {
	enum rr_allowance_status status;
	uint32_t tokens;   /* granted; they expire soon */
	uint32_t retry_ms; /* if empty: time until there will be a token */
};

/* Encode a call; free with g_string_free(). */
GString *rr_encode_allowance_call(const struct rr_allowance_call *call);
/*
 * Parse a call.  Returns false if it is malformed; else the caller frees
 * call->account with rr_clear_allowance_call().
 */
bool rr_parse_allowance_call(const uint8_t *bytes, size_t length,
			     struct rr_allowance_call *call);
void rr_clear_allowance_call(struct rr_allowance_call *call);
/* Encode a reply; free with g_string_free(). */
GString *rr_encode_allowance_reply(const struct rr_allowance_reply *reply);
/* Parse a reply.  Returns false if it is malformed. */
bool rr_parse_allowance_reply(const uint8_t *bytes, size_t length,
			      struct rr_allowance_reply *reply);

#endif
