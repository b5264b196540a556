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
	struct caller_fixture *f = data;

	f->answer.query_id = f->requests;
	rr_answer_call(f->ctx, f->server, &f->answer);
	return G_SOURCE_REMOVE;
}

static uint64_t on_request(void *data, const struct rr_request *request)
{
	struct caller_fixture *f = data;

	g_free(f->body);
	g_free(f->service);
	g_free(f->idempotency_key);
	f->request = *request;
	f->body = g_strdup(request->body);
	f->service = g_strdup(request->service);
	f->idempotency_key = g_strdup(request->idempotency_key);
	f->requests++;
	f->answer.request_id = "id-1";
	if (!f->hold_answers)
		g_idle_add(caller_send_answer, f);
	return f->requests;
}

static void on_disconnected(void *data, uint64_t query_id)
{
	struct caller_fixture *f = data;

	assert_int_equal(query_id, f->requests);
	f->disconnected = true;
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

static void start_server(struct caller_fixture *f, uint32_t max_body_bytes,
			 const char *token_file)
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
		.data = f,
	};
	GError *error = NULL;

	f->server = rr_new_caller_server(f->ctx, &options, &error);
	assert_null(error);
	f->tcp_port = rr_caller_server_tcp_port(f->server);
}

int caller_set_up(void **state)
{
	struct caller_fixture *f = g_new0(struct caller_fixture, 1);

	f->ctx = rr_new_context(NULL);
	start_server(f, 4096, NULL);
	*state = f;
	return 0;
}

int caller_tear_down(void **state)
{
	struct caller_fixture *f = *state;

	rr_drop_caller_server(f->server);
	while (g_main_context_iteration(NULL, FALSE))
		;
	rr_drop_context(f->ctx);
	g_free(f->body);
	g_free(f->service);
	g_free(f->idempotency_key);
	g_free(f);
	return 0;
}

void caller_reopen_server(struct caller_fixture *f, uint32_t max_body_bytes,
			  const char *token_file)
{
	rr_drop_caller_server(f->server);
	start_server(f, max_body_bytes, token_file);
}
