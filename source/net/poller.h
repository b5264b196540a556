/*
 * poller.h - many non-blocking sockets on one main loop, through one
 * descriptor.
 *
 * The GLib main loop checks every descriptor in every iteration. An instance
 * has hundreds of connections, so they are registered with an epoll descriptor,
 * and the loop polls only that. Events are edge-triggered: a descriptor is
 * registered once, and its handler reads or writes until nothing is left.
 */
#ifndef RAGWORT_NET_POLLER_H
#define RAGWORT_NET_POLLER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/epoll.h>

struct rr_poller;

/* A watched descriptor; embedded in the object that owns the descriptor. */
struct rr_io_watcher {
	int fd;
	/*
	 * `events` has EPOLLIN, EPOLLOUT and so on. The callback may free any
	 * watcher, this one included.
	 */
	void (*ready)(void *data, uint32_t events);
	void *data;
};

/* Create a poller on the default main context; NULL with an error. */
struct rr_poller *rr_new_poller(GError **error);
void rr_drop_poller(struct rr_poller *poller);
/* Register a descriptor. Returns false with errno set on failure. */
bool rr_add_io_watcher(struct rr_poller *poller, struct rr_io_watcher *watcher);
/* Remove a descriptor, before it is closed; its pending events are dropped. */
void rr_remove_io_watcher(struct rr_poller *poller,
			  struct rr_io_watcher *watcher);

#endif
