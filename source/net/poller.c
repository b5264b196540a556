/*
 * poller.c - one epoll descriptor as a source of the main loop.
 */
#include "net/poller.h"

#include <errno.h>
#include <gio/gio.h>
#include <unistd.h>

#define MOST_EVENTS 64

struct rr_poller {
	GSource source; /* first: GLib makes and frees it */
	int fd;
	/* Of the turn under way, so that a removed one is passed over. */
	struct epoll_event events[MOST_EVENTS];
	int n_events;
	int at;
};

static gboolean dispatch(GSource *source, GSourceFunc callback, gpointer data)
{
	struct rr_poller *poller = (struct rr_poller *)source;

	poller->n_events =
		epoll_wait(poller->fd, poller->events, MOST_EVENTS, 0);
	for (poller->at = 0; poller->at < poller->n_events; poller->at++) {
		struct epoll_event *event = &poller->events[poller->at];
		struct rr_io_watcher *poll = event->data.ptr;

		if (poll)
			poll->ready(poll->data, event->events);
	}
	poller->n_events = 0;
	return G_SOURCE_CONTINUE;
}

static void finalize(GSource *source)
{
	struct rr_poller *poller = (struct rr_poller *)source;

	if (poller->fd >= 0)
		close(poller->fd);
}

static GSourceFuncs poller_funcs = {
	.dispatch = dispatch,
	.finalize = finalize,
};

struct rr_poller *rr_new_poller(GError **error)
{
	struct rr_poller *poller = (struct rr_poller *)g_source_new(
		&poller_funcs, sizeof(struct rr_poller));

	poller->n_events = 0;
	poller->fd = epoll_create1(EPOLL_CLOEXEC);
	if (poller->fd < 0) {
		g_set_error(error, G_IO_ERROR,
			    (gint)g_io_error_from_errno(errno), "epoll: %s",
			    g_strerror(errno));
		g_source_unref(&poller->source);
		return NULL;
	}
	g_source_add_unix_fd(&poller->source, poller->fd, G_IO_IN);
	g_source_attach(&poller->source, NULL);
	return poller;
}

void rr_drop_poller(struct rr_poller *poller)
{
	if (!poller)
		return;
	g_source_destroy(&poller->source);
	g_source_unref(&poller->source);
}

bool rr_add_io_watcher(struct rr_poller *poller, struct rr_io_watcher *poll)
{
	struct epoll_event event = {
		.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET,
		.data.ptr = poll,
	};

	return epoll_ctl(poller->fd, EPOLL_CTL_ADD, poll->fd, &event) == 0;
}

/*
 * An event taken in this turn may be for a descriptor that another one's
 * handler closes: it must not be handed on to freed memory.
 */
void rr_remove_io_watcher(struct rr_poller *poller, struct rr_io_watcher *poll)
{
	struct epoll_event unused = { 0 };

	epoll_ctl(poller->fd, EPOLL_CTL_DEL, poll->fd, &unused);
	for (int i = poller->at; i < poller->n_events; i++) {
		if (poller->events[i].data.ptr == poll)
			poller->events[i].data.ptr = NULL;
	}
}
