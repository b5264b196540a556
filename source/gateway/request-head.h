/*
 * request-head.h - a caller's request as a replica gets it.
 */
#ifndef RAGWORT_REQUEST_HEAD_H
#define RAGWORT_REQUEST_HEAD_H

#include <glib.h>

#include "net/http-reader.h"
#include "ragwort/gate-names.h"

/*
 * Append request line and headers as they are, but for those that concern
 * one connection, those the gateway sets itself, and the framing, which is
 * by length.  The empty line is left to the caller.
 */
void rr_append_request_head(GString *out, const struct rr_http_message *message,
			    const struct rr_gate_names *names);
/*
 * Make the headers of an answer from a replica's, without those that concern
 * one connection and without framing where we frame it ourselves.  An array
 * of struct rr_http_header that points into the message.
 */
GArray *rr_make_answer_headers(const struct rr_http_message *message,
			       gboolean keep_length);

#endif
