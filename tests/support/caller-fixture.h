/*
 * caller-fixture.h - test fixture with a caller server whose requests the test
 * answers.
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
	/* The last request, and the answer to send. */
	struct rr_request request;
	char *body;
	char *service;
	char *idempotency_key;
	uint32_t requests;
	bool hold_answers;
	bool disconnected;
	struct rr_answer answer;
};

/*
 * Setup and teardown for cmocka: *state is a fixture whose server accepts only
 * short bodies.
 */
int caller_set_up(void **state);
int caller_tear_down(void **state);

/* Replace the server of the fixture by one with other options. */
void caller_reopen_server(struct caller_fixture *fixture,
			  uint32_t max_body_bytes, const char *token_file);
/*
 * Answer the last request, which hold_answers kept open; also usable with
 * g_idle_add().
 */
gboolean caller_send_answer(gpointer fixture);

#endif
