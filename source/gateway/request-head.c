/*
 * request-head.c - selection of the headers that the gateway forwards.
 */
#include "gateway/request-head.h"

static gboolean is_set_by_gateway(const char *name,
				  const struct rr_gate_names *names)
{
	return !g_ascii_strcasecmp(name, names->deadline) ||
	       !g_ascii_strcasecmp(name, names->expect_incarnation) ||
	       !g_ascii_strcasecmp(name, RR_ACCOUNT_HEADER) ||
	       !g_ascii_strcasecmp(name, RR_RANK_HEADER) ||
	       !g_ascii_strcasecmp(name, "Content-Length") ||
	       !g_ascii_strcasecmp(name, "Expect");
}

static gboolean is_of_accounts(const char *name,
			       const struct rr_gate_names *names)
{
#ifdef RR_MUTANT_ACCOUNT_KEY_PASSED_ON
	return FALSE;
#endif
	return !g_ascii_strcasecmp(name, names->account_key) ||
	       !g_ascii_strcasecmp(name, names->account);
}

static void append_header(GString *out, const char *name, const char *value)
{
	g_string_append(out, name);
	g_string_append(out, ": ");
	g_string_append(out, value);
	g_string_append(out, "\r\n");
}

void rr_append_request_head(GString *out, const struct rr_http_message *message,
			    const struct rr_gate_names *names,
			    gboolean uses_accounts)
{
	gboolean has_framing =
		rr_find_http_header(message, "Content-Length") ||
		rr_find_http_header(message, "Transfer-Encoding");

	g_string_append(out, message->method);
	g_string_append_c(out, ' ');
	g_string_append_len(out, message->target,
			    (gssize)message->target_length);
	g_string_append(out, " HTTP/1.1\r\n");
	for (size_t i = 0; i < message->n_headers; i++) {
		const struct rr_http_header *header = &message->headers[i];

		if (uses_accounts && is_of_accounts(header->name, names))
			continue;
		if (!is_set_by_gateway(header->name, names) &&
		    !rr_is_hop_by_hop_header(message, header->name))
			append_header(out, header->name, header->value);
	}
	if (has_framing)
		g_string_append_printf(
			out, "Content-Length: %" G_GSIZE_FORMAT "\r\n",
			message->body_length);
}

GArray *rr_make_answer_headers(const struct rr_http_message *message,
			       gboolean keep_length)
{
	GArray *headers =
		g_array_new(FALSE, FALSE, sizeof(struct rr_http_header));

	for (size_t i = 0; i < message->n_headers; i++) {
		const struct rr_http_header *header = &message->headers[i];

		if (rr_is_hop_by_hop_header(message, header->name))
			continue;
		if (!keep_length &&
		    !g_ascii_strcasecmp(header->name, "Content-Length"))
			continue;
		g_array_append_val(headers, *header);
	}
	return headers;
}
