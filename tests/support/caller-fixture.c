/*
 * caller-fixture.c - test fixture with a caller server whose requests the test
 * answers.
 */
#include "support/caller-fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

gboolean caller_send_answer(gpointer data)
{
	struct caller_fixture *fixture = data;

	fixture->answer.query_id = fixture->requests;
	rr_answer_call(fixture->ctx, fixture->server, &fixture->answer);
	return G_SOURCE_REMOVE;
}

static uint64_t on_request(void *data, const struct rr_request *request)
{
	struct caller_fixture *fixture = data;

	g_free(fixture->body);
	g_free(fixture->service);
	g_free(fixture->idempotency_key);
	fixture->request = *request;
	fixture->body = g_strdup(request->body);
	fixture->service = g_strdup(request->service);
	fixture->idempotency_key = g_strdup(request->idempotency_key);
	fixture->requests++;
	fixture->answer.request_id = "id-1";
	if (!fixture->hold_answers)
		g_idle_add(caller_send_answer, fixture);
	return fixture->requests;
}

static void on_disconnected(void *data, uint64_t query_id)
{
	struct caller_fixture *fixture = data;

	assert_int_equal(query_id, fixture->requests);
	fixture->disconnected = true;
}

static bool is_ready(void *data, const char **reason)
{
	*reason = "no configuration";
	return false;
}

static void append_status(void *data, GString *out)
{
	g_string_append(out, "{\"instance\":\"x\"}");
}

static void start_server(struct caller_fixture *fixture,
			 uint32_t max_body_bytes, const char *token_file)
{
	struct rr_caller_server_options options = {
		.address = "127.0.0.1:0",
		.max_body_bytes = max_body_bytes,
		.io_timeout_ms = 60000,
		.token_file = token_file,
		.request = on_request,
		.disconnected = on_disconnected,
		.is_ready = is_ready,
		.append_status = append_status,
		.data = fixture,
	};
	GError *error = NULL;

	fixture->server = rr_new_caller_server(fixture->ctx, &options, &error);
	assert_null(error);
	fixture->tcp_port = rr_caller_server_tcp_port(fixture->server);
}

int caller_set_up(void **state)
{
	struct caller_fixture *fixture = g_new0(struct caller_fixture, 1);

	fixture->ctx = rr_new_context(NULL);
	start_server(fixture, 4096, NULL);
	*state = fixture;
	return 0;
}

int caller_tear_down(void **state)
{
	struct caller_fixture *fixture = *state;

	rr_drop_caller_server(fixture->server);
	while (g_main_context_iteration(NULL, FALSE))
		;
	rr_drop_context(fixture->ctx);
	g_free(fixture->body);
	g_free(fixture->service);
	g_free(fixture->idempotency_key);
	g_free(fixture);
	return 0;
}

void caller_reopen_server(struct caller_fixture *fixture,
			  uint32_t max_body_bytes, const char *token_file)
{
	rr_drop_caller_server(fixture->server);
	start_server(fixture, max_body_bytes, token_file);
}
