/*
 * test-port.c - TCP port reservation for tests.
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
 * Guards against a port that two parts of a test use. In a soak test one
 * gateway exited at its start and all its callers got 404, although no fault
 * had been injected. Its port had been found free and released; before the
 * gateway was started, a link to the store picked the same one of 20,000 ports
 * and listened on it.
 */
static void test_ports_are_unique(void **state)
{
	GHashTable *reserved = g_hash_table_new(NULL, NULL);

	(void)state;
	for (int i = 0; i < N_PORTS; i++) {
		uint16_t port = test_reserve_port();

		assert_true(g_hash_table_add(reserved, GUINT_TO_POINTER(port)));
	}
	for (int i = 0; i < N_PORTS; i++) {
		uint16_t port = 0;
		GSocket *listener = test_open_listener(&port);

		assert_true(g_hash_table_add(reserved, GUINT_TO_POINTER(port)));
		g_object_unref(listener);
	}
	g_hash_table_unref(reserved);
}

static void test_reserved_port_can_be_reopened(void **state)
{
	uint16_t port = test_reserve_port();

	(void)state;
	for (int i = 0; i < 3; i++) {
		uint16_t same_port = port;
		GSocket *listener = test_open_listener(&same_port);

		assert_int_equal(same_port, port);
		assert_true(g_socket_close(listener, NULL));
		g_object_unref(listener);
	}
}

/* A reserved port refuses connections like one without a listener. */
static void test_reserved_port_refuses_connections(void **state)
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
		cmocka_unit_test(test_ports_are_unique),
		cmocka_unit_test(test_reserved_port_can_be_reopened),
		cmocka_unit_test(test_reserved_port_refuses_connections),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
