/*
 * caller-scene.c - a callers' server whose requests the test answers itself.
 */
#include "support/caller-scene.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

gboolean caller_answer(gpointer data)
{
	struct caller_scene *f = data;

	f->answer.query_id = f->requests;
	rr_give_answer(f->ctx, f->port, &f->answer);
	return G_SOURCE_REMOVE;
}

static uint64_t take_request(void *data, const struct rr_request *request)
{
	struct caller_scene *f = data;

	g_free(f->body);
	g_free(f->service);
	g_free(f->key);
	f->request = *request;
	f->body = g_strdup(request->body);
	f->service = g_strdup(request->service);
	f->key = g_strdup(request->idempotency_key);
	f->requests++;
	f->answer.request_id = "id-1";
	if (!f->hold)
		g_idle_add(caller_answer, f);
	return f->requests;
}

static void take_leaver(void *data, uint64_t query_id)
{
	struct caller_scene *f = data;

	assert_int_equal(query_id, f->requests);
	f->left = true;
}

static bool tell_ready(void *data, const char **reason)
{
	*reason = "no configuration";
	return false;
}

static void tell_status(void *data, GString *out)
{
	g_string_append(out, "{\"instance\":\"x\"}");
}

static void listen_at(struct caller_scene *f, uint32_t max_body_bytes,
		      const char *token_file)
{
	struct rr_caller_port_options options = {
		.address = "127.0.0.1:0",
		.max_body_bytes = max_body_bytes,
		.idle_ms = 60000,
		.token_file = token_file,
		.request = take_request,
		.left = take_leaver,
		.ready = tell_ready,
		.status = tell_status,
		.data = f,
	};
	GError *error = NULL;

	f->port = rr_new_caller_port(f->ctx, &options, &error);
	assert_null(error);
	f->number = rr_caller_port_number(f->port);
}

int caller_set_up(void **state)
{
	struct caller_scene *f = g_new0(struct caller_scene, 1);

	f->ctx = rr_new_context(NULL);
	listen_at(f, 4096, NULL);
	*state = f;
	return 0;
}

int caller_tear_down(void **state)
{
	struct caller_scene *f = *state;

	rr_drop_caller_port(f->port);
	while (g_main_context_iteration(NULL, FALSE))
		;
	rr_drop_context(f->ctx);
	g_free(f->body);
	g_free(f->service);
	g_free(f->key);
	g_free(f);
	return 0;
}

void caller_reopen(struct caller_scene *f, uint32_t max_body_bytes,
		   const char *token_file)
{
	rr_drop_caller_port(f->port);
	listen_at(f, max_body_bytes, token_file);
}
