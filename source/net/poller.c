/*
 * poller.c - an epoll descriptor as a GLib main loop source.
 */
#include "net/poller.h"

#include <errno.h>
#include <glib.h>
#include <unistd.h>

#define MAX_EVENTS 64

struct rr_poller {
	GSource source; /* first, as GLib allocates and frees it */
	int fd;
	/*
	 * Events of the current dispatch, kept so that those of a removed
	 * watcher can be skipped.
	 */
	struct epoll_event events[MAX_EVENTS];
	int n_events;
	int next;
};

static gboolean dispatch(GSource *source, GSourceFunc callback, gpointer data)
{
	struct rr_poller *poller = (struct rr_poller *)source;

	poller->n_events =
		epoll_wait(poller->fd, poller->events, MAX_EVENTS, 0);
	for (poller->next = 0; poller->next < poller->n_events;
	     poller->next++) {
		struct epoll_event *event = &poller->events[poller->next];
		struct rr_io_watcher *watcher = event->data.ptr;

		if (watcher)
			watcher->ready(watcher->data, event->events);
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
		g_set_error(error, G_FILE_ERROR,
			    (gint)g_file_error_from_errno(errno), "epoll: %s",
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

bool rr_add_io_watcher(struct rr_poller *poller, struct rr_io_watcher *watcher)
{
	struct epoll_event event = {
		.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET,
		.data.ptr = watcher,
	};

	return epoll_ctl(poller->fd, EPOLL_CTL_ADD, watcher->fd, &event) == 0;
}

/*
 * The handler of one event may remove and free the watcher of another event of
 * the same dispatch. The events of the removed watcher are therefore cleared,
 * so that its handler does not run on freed memory.
 */
void rr_remove_io_watcher(struct rr_poller *poller,
			  struct rr_io_watcher *watcher)
{
	struct epoll_event unused = { 0 };

	epoll_ctl(poller->fd, EPOLL_CTL_DEL, watcher->fd, &unused);
	for (int i = poller->next; i < poller->n_events; i++) {
		if (poller->events[i].data.ptr == watcher)
			poller->events[i].data.ptr = NULL;
	}
}
