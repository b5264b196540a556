/*
 * poller.h - many non-blocking sockets on one main loop, through one
 * descriptor.
 *
 * GLib's loop looks at each descriptor at each turn; an instance has hundreds
 * of connections, so they stand behind one epoll descriptor that the loop
 * sees.  Events are edge-triggered: a descriptor is registered once, and who
 * watches reads or writes until nothing is left.
 */
#ifndef RAGWORT_NET_POLLER_H
#define RAGWORT_NET_POLLER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/epoll.h>

struct rr_poller;

/* A descriptor that is watched; lives in what owns the descriptor. */
struct rr_io_watcher {
	int fd;
	/*
	 * EPOLLIN, EPOLLOUT and so on are in `events`.  It may free whatever
	 * it likes, this struct included.
	 */
	void (*ready)(void *data, uint32_t events);
	void *data;
};

/* On the default main context; NULL with an error. */
struct rr_poller *rr_new_poller(GError **error);
void rr_drop_poller(struct rr_poller *poller);
/* False if the descriptor cannot be watched (errno says why). */
bool rr_add_io_watcher(struct rr_poller *poller, struct rr_io_watcher *poll);
/* Before the descriptor is closed; events that wait are dropped. */
void rr_remove_io_watcher(struct rr_poller *poller, struct rr_io_watcher *poll);

#endif
