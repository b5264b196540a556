/*
 * caller-fixture.h - a callers' server whose requests the test answers itself.
 */
#ifndef TESTS_SUPPORT_CALLER_FIXTURE_H
#define TESTS_SUPPORT_CALLER_FIXTURE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/net-caller.h"

struct caller_fixture {
	struct rr_context *ctx;
	struct rr_caller_server *server;
	uint16_t tcp_port;
	/* The last request, and how to answer it. */
	struct rr_request request;
	char *body;
	char *service;
	char *idempotency_key;
	uint32_t requests;
	bool hold_answers;
	bool disconnected;
	struct rr_answer answer;
};

/* For cmocka: *state becomes a scene with a port for short bodies. */
int caller_set_up(void **state);
int caller_tear_down(void **state);

/* A port of its own for the scene, in place of the one it has. */
void caller_reopen_server(struct caller_fixture *scene, uint32_t max_body_bytes,
			  const char *token_file);
/* Answer the request that is held; for g_idle_add() as well. */
gboolean caller_send_answer(gpointer scene);

#endif
