/*
 * allowance.c - Fuzz target: calls and replies between instances that keep
 * allowances.
 *
 * What is accepted must stay the same after it is encoded and parsed again.
 */
#include <stdlib.h>
#include <string.h>

#include "ragwort/allowance.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length);

static void check_call(const struct rr_allowance_call *call)
{
	GString *text = rr_encode_allowance_call(call);
	struct rr_allowance_call again;

	if (!rr_parse_allowance_call((const uint8_t *)text->str, text->len,
				     &again) ||
	    again.verb != call->verb || again.tokens != call->tokens ||
	    again.wait_ms != call->wait_ms ||
	    strcmp(again.account, call->account))
		abort();
	rr_clear_allowance_call(&again);
	g_string_free(text, TRUE);
}

static void check_reply(const struct rr_allowance_reply *reply)
{
	GString *text = rr_encode_allowance_reply(reply);
	struct rr_allowance_reply again;

	if (!rr_parse_allowance_reply((const uint8_t *)text->str, text->len,
				      &again) ||
	    again.status != reply->status || again.tokens != reply->tokens ||
	    again.retry_ms != reply->retry_ms)
		abort();
	g_string_free(text, TRUE);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length)
{
	struct rr_allowance_call call;
	struct rr_allowance_reply reply;

	if (rr_parse_allowance_call(data, length, &call)) {
		check_call(&call);
		rr_clear_allowance_call(&call);
	}
	if (rr_parse_allowance_reply(data, length, &reply))
		check_reply(&reply);
	return 0;
}
