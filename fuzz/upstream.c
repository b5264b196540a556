/*
 * upstream.c - Fuzz target: reply bodies of upstreams.
 *
 * An accepted body must be complete, and every row must be valid JSON on its
 * own.
 */
#include <stdlib.h>
#include <yajl/yajl_parse.h>

#include "ragwort/wire.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length);

static void check_json(const char *text, size_t length)
{
	yajl_handle parser = yajl_alloc(NULL, NULL, NULL);
	const unsigned char *bytes = (const unsigned char *)text;

	if (yajl_parse(parser, bytes, length) != yajl_status_ok ||
	    yajl_complete_parse(parser) != yajl_status_ok)
		abort();
	yajl_free(parser);
}

static void check_reply(const struct rr_reply *reply)
{
	if (!reply->body_complete || !reply->version ||
	    reply->row_count != rr_count_rows(reply->rows))
		abort();
	for (size_t i = 0; i < rr_count_rows(reply->rows); i++) {
		size_t length;
		const char *json = rr_row_json(reply->rows, i, &length);

		check_json(json, length);
	}
	if (reply->result)
		check_json(reply->result, reply->result_length);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length)
{
	GError *error = NULL;
	struct rr_upstream_body *body =
		rr_decode_upstream_body((const char *)data, length, &error);

	if ((body == NULL) != (error != NULL))
		abort();
	if (body)
		check_reply(rr_get_upstream_reply(body));
	g_clear_error(&error);
	rr_drop_upstream_body(body);
	return 0;
}
