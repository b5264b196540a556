/*
 * caller-answer.c - answers to callers in JSON, appended directly to the text
 * of the reply.
 */
#include "net/caller-private.h"

#include <inttypes.h>

#include "base/json-private.h"

static void append_member(GString *out, const char *name, const char *value)
{
	g_string_append_printf(out, ",\"%s\":", name);
	rr_append_json_string(out, value);
}

static void append_u64(GString *out, uint64_t value)
{
	char digits[24];

	g_snprintf(digits, sizeof(digits), "%" PRIu64, value);
	g_string_append(out, digits);
}

static void append_rows(GString *out, const struct rr_answer *answer)
{
	for (size_t i = 0; i < answer->n_rows; i++) {
		const struct rr_answer_row *row = &answer->rows[i];
		size_t length;
		const char *json = rr_row_json(row->rows, row->index, &length);

		g_string_append(out, i ? ",{\"key\":" : "{\"key\":");
		append_u64(out, rr_row_key(row->rows, row->index));
		g_string_append(out, ",\"row\":");
		g_string_append_len(out, json, (gssize)length);
		g_string_append_c(out, '}');
	}
}

static void append_coverage(GString *out, const struct rr_answer *answer)
{
	g_string_append(out, ",\"coverage\":{\"covered\":[");
	for (size_t i = 0; i < answer->n_covered; i++) {
		if (i)
			g_string_append_c(out, ',');
		rr_append_json_string(out, answer->covered[i]);
	}
	g_string_append(out, "],\"lacking\":[");
	for (size_t i = 0; i < answer->n_missing; i++) {
		const struct rr_missing_shard *missing = &answer->missing[i];

		g_string_append(out, i ? ",{\"shard\":" : "{\"shard\":");
		rr_append_json_string(out, missing->shard);
		append_member(out, "yard", missing->public_name);
		append_member(out, "reason",
			      rr_missing_reason_name(missing->reason));
		g_string_append_c(out, '}');
	}
	g_string_append(out, "]}");
}

void rr_format_answer(const struct rr_answer *answer, GString *out)
{
	char elapsed_ms[G_ASCII_DTOSTR_BUF_SIZE];

	g_string_append(out, "{\"request_id\":");
	rr_append_json_string(out, answer->request_id);
	append_member(out, "outcome", rr_outcome_name(answer->outcome));
	if (answer->reason)
		append_member(out, "reason", answer->reason);
	g_string_append(out, ",\"index_version\":");
	append_u64(out, answer->index_version);
	g_string_append(out, ",\"rows\":[");
	append_rows(out, answer);
	g_string_append_printf(out, "],\"rows_cut\":%s",
			       answer->has_more ? "true" : "false");
	append_coverage(out, answer);
	if (answer->result) {
		g_string_append(out, ",\"result\":");
		g_string_append(out, answer->result);
	}
	if (answer->replayed)
		g_string_append(out, ",\"replayed\":true");
	if (answer->next_cursor)
		append_member(out, "next_cursor", answer->next_cursor);
	if (answer->retry_after_ms)
		g_string_append_printf(out, ",\"retry_after_ms\":%u",
				       answer->retry_after_ms);
	g_ascii_formatd(elapsed_ms, sizeof(elapsed_ms), "%.3f",
			(double)answer->elapsed_us / 1000);
	g_string_append_printf(out, ",\"elapsed_ms\":%s,\"attempts\":%u}\n",
			       elapsed_ms, answer->attempts);
}

void rr_format_rejection(enum rr_outcome outcome, const char *reason,
			 GString *out)
{
	g_string_append_printf(out, "{\"outcome\":\"%s\"",
			       rr_outcome_name(outcome));
	append_member(out, "reason", reason);
	g_string_append(out, "}\n");
}

uint32_t rr_answer_http_status(const struct rr_answer *answer)
{
	switch (answer->outcome) {
	case RR_COMPLETE:
	case RR_PARTIAL:
		return SOUP_STATUS_OK;
	case RR_NOT_RUN:
		return SOUP_STATUS_SERVICE_UNAVAILABLE;
	case RR_UNKNOWN:
		return SOUP_STATUS_GATEWAY_TIMEOUT;
	case RR_GONE:
		return SOUP_STATUS_GONE;
	case RR_INVALID:
		break;
	}
	if (!g_strcmp0(answer->reason, RR_REASON_UNKNOWN_SERVICE))
		return SOUP_STATUS_NOT_FOUND;
	return SOUP_STATUS_BAD_REQUEST;
}
