/*
 * port.c - ports are held by sockets that are bound and never listen.
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
 * Below the ports that the system gives to outgoing connections: any
 * connection of the machine could take one of those.
 */
#define FIRST_PORT 12000
#define LAST_PORT 31999
/*
 * As many as a whole fleet opens at once: a stand-in that connects to another
 * one of its own loop would wait for itself.
 */
#define BACKLOG 4096

/*
 * Bound without SO_REUSEADDR, so that it fails where anyone holds, listens
 * at or was connected from the port; marked as reusable only then, so that a
 * listener that sets the option, as all servers do, can be bound beside it.
 */
static bool hold_port(uint16_t port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int yes = 1;

	if (fd < 0) {
		perror("no socket to hold a port with");
		exit(1);
	}
	if (bind(fd, (const struct sockaddr *)&address, sizeof(address)) < 0) {
		close(fd);
		return false;
	}
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
	return true;
}

uint16_t test_reserve_port(void)
{
	uint16_t port;

	do {
		port = (uint16_t)g_random_int_range(FIRST_PORT, LAST_PORT + 1);
	} while (!hold_port(port));
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
			     G_SOCKET_PROTOCOL_TCP, NULL);

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
