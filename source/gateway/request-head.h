/*
 * request-head.h - headers of forwarded requests and answers.
 */
#ifndef RAGWORT_REQUEST_HEAD_H
#define RAGWORT_REQUEST_HEAD_H

#include <glib.h>

#include "net/http-reader.h"
#include "ragwort/gate-names.h"

/* Between instances: account and rank of a forwarded request. */
#define RR_ACCOUNT_HEADER "Ragwort-Account"
#define RR_RANK_HEADER "Ragwort-Rank"

/*
 * Append the request line and the headers of a caller's request as a replica
 * gets them: without hop-by-hop headers and those that the gateway sets
 * itself, and with the body framed by Content-Length.  `uses_accounts` removes
 * the headers of accounts as well.  The empty line at the end is not appended.
 */
void rr_append_request_head(GString *out, const struct rr_http_message *message,
			    const struct rr_gate_names *names,
			    gboolean uses_accounts);
/*
 * Make the headers of an answer to a caller from those of a replica's answer:
 * without hop-by-hop headers, and without Content-Length unless keep_length is
 * set, since the listener adds it. Returns an array of struct rr_http_header
 * that points into the message; free with g_array_unref().
 */
GArray *rr_make_answer_headers(const struct rr_http_message *message,
			       gboolean keep_length);

#endif
