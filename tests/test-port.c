/*
 * Ports of the tests themselves.
 */
#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "support/port.h"

/* Enough that some would be drawn twice; few enough for 1,024 descriptors. */
#define N_PORTS 300

/*
 * A soak reports that one gateway ended by itself at its start and that all
 * its callers got 404, with no fault begun.  Its port was found free and let
 * go again; before the gateway was started, a link to the store drew the same
 * one of 20,000 and listened there.
 */
static void test_port_is_nobody_elses(void **state)
{
	GHashTable *taken = g_hash_table_new(NULL, NULL);

	(void)state;
	for (int i = 0; i < N_PORTS; i++) {
		uint16_t port = test_reserve_port();

		assert_true(g_hash_table_add(taken, GUINT_TO_POINTER(port)));
	}
	for (int i = 0; i < N_PORTS; i++) {
		uint16_t port = 0;
		GSocket *listener = test_open_listener(&port);

		assert_true(g_hash_table_add(taken, GUINT_TO_POINTER(port)));
		g_object_unref(listener);
	}
	g_hash_table_unref(taken);
}

static void test_holder_of_the_port_can_listen_again(void **state)
{
	uint16_t port = test_reserve_port();

	(void)state;
	for (int i = 0; i < 3; i++) {
		uint16_t again = port;
		GSocket *listener = test_open_listener(&again);

		assert_int_equal(again, port);
		assert_true(g_socket_close(listener, NULL));
		g_object_unref(listener);
	}
}

/* A held port refuses as one with nobody there. */
static void test_held_port_refuses(void **state)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(test_reserve_port()),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	(void)state;
	assert_int_equal(
		connect(fd, (const struct sockaddr *)&address, sizeof(address)),
		-1);
	assert_int_equal(errno, ECONNREFUSED);
	close(fd);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_port_is_nobody_elses),
		cmocka_unit_test(test_holder_of_the_port_can_listen_again),
		cmocka_unit_test(test_held_port_refuses),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
