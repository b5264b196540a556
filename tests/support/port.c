/*
 * port.c - TCP port reservation for tests, by sockets that are bound but never
 * listen.
 */
#define _GNU_SOURCE /* SOCK_CLOEXEC */
#include "support/port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Below the ephemeral port range: any outgoing connection on the machine could
 * use a port of that range.
 */
#define FIRST_PORT 12000
#define LAST_PORT 31999
/*
 * As many connections as a whole fleet opens at once: a stand-in that connects
 * to another one on the same main loop would block waiting for itself.
 */
#define BACKLOG 4096

/*
 * Binds without SO_REUSEADDR, so that it fails if another socket is bound to
 * the port, listens on it or was connected from it. The option is set only
 * afterwards, so that a listener that sets it, as all servers do, can bind to
 * the same port.
 */
static bool reserve_port(uint16_t port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	if (fd < 0) {
		perror("cannot create a socket to reserve a port");
		exit(1);
	}
	if (bind(fd, (const struct sockaddr *)&address, sizeof(address)) < 0) {
		close(fd);
		return false;
	}
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	return true;
}

uint16_t test_reserve_port(void)
{
	uint16_t port;

	do {
		port = (uint16_t)g_random_int_range(FIRST_PORT, LAST_PORT + 1);
	} while (!reserve_port(port));
	return port;
}

char *test_reserve_address(void)
{
	return g_strdup_printf("127.0.0.1:%u", test_reserve_port());
}

GSocket *test_open_listener(uint16_t *port)
{
	GError *error = NULL;
	GSocketAddress *address;
	GSocket *listener =
		g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			     G_SOCKET_PROTOCOL_TCP, &error);

	if (!listener) {
		fprintf(stderr, "stand-in: %s\n", error->message);
		exit(1);
	}
	if (!*port)
		*port = test_reserve_port();
	address = g_inet_socket_address_new_from_string("127.0.0.1", *port);
	g_socket_set_listen_backlog(listener, BACKLOG);
	g_socket_set_blocking(listener, FALSE);
	if (!g_socket_bind(listener, address, TRUE, &error) ||
	    !g_socket_listen(listener, &error)) {
		fprintf(stderr, "stand-in: %s\n", error->message);
		exit(1);
	}
	g_object_unref(address);
	return listener;
}
