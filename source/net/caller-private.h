/*
 * caller-private.h - JSON of callers: request parser and answer formatter.
 */
#ifndef RAGWORT_CALLER_PRIVATE_H
#define RAGWORT_CALLER_PRIVATE_H

#include <libsoup/soup.h>
#include <stdbool.h>

#include "ragwort/context.h"
#include "ragwort/request.h"

/* A parsed call; `request` points into the strings. */
struct rr_call_request {
	struct rr_request request;
	char *request_id;
	char *service;
	char *body;
	char *idempotency_key;
	char *cursor;
};

/*
 * Parse a call to `path`. Returns false with an error and sets *status to the
 * HTTP status of the rejection.
 */
bool rr_parse_call(struct rr_context *ctx, SoupServerMessage *message,
		   const char *path, GHashTable *query,
		   struct rr_call_request *call, uint32_t *status,
		   GError **error);
void rr_clear_call(struct rr_call_request *call);

/* Append an answer as JSON. */
void rr_format_answer(const struct rr_answer *answer, GString *out);
/* Append the JSON of a call that the adapter itself rejects. */
void rr_format_rejection(enum rr_outcome outcome, const char *reason,
			 GString *out);
/* Return the HTTP status of an answer. */
uint32_t rr_answer_http_status(const struct rr_answer *answer);

/* A token bucket per address; requests above the rate are rejected. */
struct rr_caller_rate_limiter;

struct rr_caller_rate_limiter *rr_new_caller_rate_limiter(uint32_t per_s);
/* NULL is allowed. */
void rr_drop_caller_rate_limiter(struct rr_caller_rate_limiter *limiter);
/*
 * Take a token for a request from the address. Returns whether the request is
 * within the rate.
 */
bool rr_consume_rate_token(struct rr_caller_rate_limiter *limiter,
			   GInetAddress *address, int64_t now_us);

/*
 * Read the lines of a token file. Returns NULL with an error if it cannot be
 * read or contains no token. Free the result with g_strfreev().
 */
char **rr_read_tokens(const char *file, GError **error);
/* Return whether a header "Bearer TOKEN" contains one of the tokens. */
bool rr_check_token(char **tokens, const char *header);

#endif
