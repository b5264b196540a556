/*
 * raw-peer.c - remote end of a TCP connection for tests, on plain sockets.
 */
#include "support/raw-peer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static void iterate(void)
{
	if (!g_main_context_iteration(NULL, FALSE))
		g_usleep(200);
}

void raw_run_for(int64_t us)
{
	int64_t deadline_us = g_get_monotonic_time() + us;

	while (g_get_monotonic_time() < deadline_us)
		iterate();
}

void raw_run_until(const int *flag, int n)
{
	int64_t deadline_us = g_get_monotonic_time() + RAW_TIMEOUT_US;

	while (*flag < n) {
		iterate();
		if (g_get_monotonic_time() > deadline_us)
			g_error("timed out waiting for an event");
	}
}

struct raw_listener *raw_listen(void)
{
	struct raw_listener *listener = g_new0(struct raw_listener, 1);
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t length = sizeof(address);

	listener->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	g_assert_cmpint(bind(listener->fd, (struct sockaddr *)&address,
			     sizeof(address)),
			==, 0);
	g_assert_cmpint(listen(listener->fd, 16), ==, 0);
	getsockname(listener->fd, (struct sockaddr *)&address, &length);
	listener->address =
		g_strdup_printf("127.0.0.1:%u", ntohs(address.sin_port));
	return listener;
}

void raw_close_listener(struct raw_listener *listener)
{
	if (listener->fd >= 0)
		close(listener->fd);
	listener->fd = -1;
}

void raw_drop_listener(struct raw_listener *listener)
{
	raw_close_listener(listener);
	g_free(listener->address);
	g_free(listener);
}

static struct raw_peer *new_peer(int fd)
{
	struct raw_peer *peer = g_new0(struct raw_peer, 1);

	peer->fd = fd;
	peer->received = g_string_new(NULL);
	return peer;
}

struct raw_peer *raw_accept(struct raw_listener *listener)
{
	int64_t deadline_us = g_get_monotonic_time() + RAW_TIMEOUT_US;

	for (;;) {
		int fd = accept(listener->fd, NULL, NULL);

		if (fd >= 0)
			return new_peer(fd);
		g_assert_true(errno == EAGAIN);
		g_assert_cmpint(g_get_monotonic_time(), <, deadline_us);
		iterate();
	}
}

bool raw_has_connection(struct raw_listener *listener)
{
	int fd;

	raw_run_for(30000);
	fd = accept(listener->fd, NULL, NULL);
	if (fd >= 0)
		close(fd);
	return fd >= 0;
}

/* Returns a negative value if the connection is refused. */
static int connect_to(const char *address)
{
	struct sockaddr_in target = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
		.sin_port = htons((uint16_t)atoi(strchr(address, ':') + 1)),
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (!connect(fd, (struct sockaddr *)&target, sizeof(target)))
		return fd;
	close(fd);
	return -1;
}

struct raw_peer *raw_connect(const char *address)
{
	int fd = connect_to(address);

	g_assert_cmpint(fd, >=, 0);
	return new_peer(fd);
}

bool raw_is_refused(const char *address)
{
	int fd = connect_to(address);

	if (fd >= 0)
		close(fd);
	return fd < 0;
}

void raw_send(struct raw_peer *peer, const char *text)
{
	size_t length = strlen(text);

	g_assert_cmpint(send(peer->fd, text, length, MSG_NOSIGNAL), ==,
			(ssize_t)length);
}

void raw_shutdown_write(struct raw_peer *peer)
{
	shutdown(peer->fd, SHUT_WR);
}

void raw_reset(struct raw_peer *peer)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(peer->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(peer->fd);
	peer->fd = -1;
}

void raw_drop(struct raw_peer *peer)
{
	if (peer->fd >= 0)
		close(peer->fd);
	g_string_free(peer->received, TRUE);
	g_free(peer);
}

static void read_some(struct raw_peer *peer)
{
	char bytes[4096];
	ssize_t n = recv(peer->fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	if (n > 0)
		g_string_append_len(peer->received, bytes, n);
	else if (n == 0)
		peer->closed = true;
	else if (errno != EAGAIN)
		peer->closed = peer->reset = true;
}

void raw_expect(struct raw_peer *peer, const char *text)
{
	int64_t deadline_us = g_get_monotonic_time() + RAW_TIMEOUT_US;

	while (!strstr(peer->received->str, text)) {
		read_some(peer);
		if (g_get_monotonic_time() > deadline_us || peer->closed)
			g_error("expected '%s', received '%s'", text,
				peer->received->str);
		iterate();
	}
}

void raw_expect_end(struct raw_peer *peer)
{
	int64_t deadline_us = g_get_monotonic_time() + RAW_TIMEOUT_US;

	while (!peer->closed) {
		read_some(peer);
		if (g_get_monotonic_time() > deadline_us)
			g_error("timed out waiting for the end of the connection");
		iterate();
	}
}

char *raw_read_available(struct raw_peer *peer)
{
	char *text;

	raw_run_for(30000);
	read_some(peer);
	text = g_strdup(peer->received->str);
	g_string_truncate(peer->received, 0);
	return text;
}
