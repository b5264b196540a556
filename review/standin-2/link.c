/*
 * link.c - a link between a gateway and the store that can be cut.
 *
 * While it is cut, it reads from no connection, and its queue of new connections
 * is full, so that the kernel drops their opening packets, as a partition does.
 */
#include "place.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_PAIRS 64
#define POLL_MS 5
/* More than fit into the queue of new connections. */
#define N_FILLERS 4

struct pair {
	int near_fd;
	int far_fd;
};

struct place_link {
	int listener;
	uint16_t port;
	uint16_t store_port;
	gint cut;
	gint stopped;
	bool is_full; /* the queue of new connections */
	int fillers[N_FILLERS];
	struct pair pairs[MAX_PAIRS];
	int n_pairs;
	GThread *thread;
};

static struct sockaddr_in loopback(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

static int connect_to(uint16_t port, bool wait)
{
	struct sockaddr_in address = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | (wait ? 0 : SOCK_NONBLOCK), 0);

	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

static void fill_queue(struct place_link *link)
{
	for (int i = 0; i < N_FILLERS; i++)
		link->fillers[i] = connect_to(link->port, false);
	link->is_full = true;
}

static void empty_queue(struct place_link *link)
{
	for (int i = 0; i < N_FILLERS; i++) {
		if (link->fillers[i] >= 0)
			close(link->fillers[i]);
	}
	link->is_full = false;
}

static void accept_pair(struct place_link *link)
{
	struct pair pair = { .near_fd = accept(link->listener, NULL, NULL) };

	if (pair.near_fd < 0)
		return;
	pair.far_fd = connect_to(link->store_port, true);
	if (pair.far_fd < 0 || link->n_pairs == MAX_PAIRS) {
		close(pair.near_fd);
		if (pair.far_fd >= 0)
			close(pair.far_fd);
		return;
	}
	link->pairs[link->n_pairs++] = pair;
}

/* Pass on what one end has sent; false if it has ended. */
static bool pass_on(int from_fd, int to_fd)
{
	char bytes[65536];
	ssize_t n = recv(from_fd, bytes, sizeof(bytes), 0);

	for (ssize_t at = 0; at < n;) {
		ssize_t sent =
			send(to_fd, bytes + at, (size_t)(n - at), MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		at += sent;
	}
	return n > 0;
}

static void close_pair(struct place_link *link, int i)
{
	close(link->pairs[i].near_fd);
	close(link->pairs[i].far_fd);
	link->pairs[i] = link->pairs[--link->n_pairs];
}

static void pass_all_on(struct place_link *link)
{
	struct pollfd polled[2 * MAX_PAIRS + 1] = {
		{ .fd = link->listener, .events = POLLIN },
	};
	int n_pairs = link->n_pairs;
	nfds_t n_polled = 1;

	for (int i = 0; i < n_pairs; i++) {
		polled[2 * i + 1] =
			(struct pollfd){ .fd = link->pairs[i].near_fd,
					 .events = POLLIN };
		polled[2 * i + 2] =
			(struct pollfd){ .fd = link->pairs[i].far_fd,
					 .events = POLLIN };
		n_polled += 2;
	}
	if (poll(polled, n_polled, POLL_MS) <= 0)
		return;
	for (int i = n_pairs - 1; i >= 0; i--) {
		const struct pair *pair = &link->pairs[i];

		if ((polled[2 * i + 1].revents &&
		     !pass_on(pair->near_fd, pair->far_fd)) ||
		    (polled[2 * i + 2].revents &&
		     !pass_on(pair->far_fd, pair->near_fd)))
			close_pair(link, i);
	}
	if (polled[0].revents)
		accept_pair(link);
}

static gpointer run_link(gpointer data)
{
	struct place_link *link = data;

	while (!g_atomic_int_get(&link->stopped)) {
		if (!g_atomic_int_get(&link->cut)) {
			if (link->is_full)
				empty_queue(link);
			pass_all_on(link);
			continue;
		}
		if (!link->is_full)
			fill_queue(link);
		g_usleep(POLL_MS * 1000);
	}
	return NULL;
}

struct place_link *place_open_link(uint16_t store_port)
{
	struct place_link *link = g_new0(struct place_link, 1);
	struct sockaddr_in address = loopback(0);
	socklen_t length = sizeof(address);

	link->store_port = store_port;
	link->listener = socket(AF_INET, SOCK_STREAM, 0);
	if (bind(link->listener, (struct sockaddr *)&address, length) < 0 ||
	    listen(link->listener, 1) < 0 ||
	    getsockname(link->listener, (struct sockaddr *)&address, &length) <
		    0) {
		g_free(link);
		return NULL;
	}
	link->port = ntohs(address.sin_port);
	link->thread = g_thread_new("link", run_link, link);
	return link;
}

uint16_t place_link_port(const struct place_link *link)
{
	return link->port;
}

void place_cut_link(struct place_link *link)
{
	g_atomic_int_set(&link->cut, 1);
}

void place_heal_link(struct place_link *link)
{
	g_atomic_int_set(&link->cut, 0);
}

void place_close_link(struct place_link *link)
{
	g_atomic_int_set(&link->stopped, 1);
	g_thread_join(link->thread);
	while (link->n_pairs)
		close_pair(link, 0);
	close(link->listener);
	g_free(link);
}
