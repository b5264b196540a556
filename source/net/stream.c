/*
 * stream.c - one TCP connection on the poller.
 */
#include "net/stream.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/address-private.h"

#define READ_BYTES 16384
/*
 * A peer behind a cut network neither answers nor resets.  Guards against a
 * connection that hangs for minutes: probes find an idle one, the user
 * timeout one with bytes under way.  Shorter than the shortest bound that an
 * operator sets (three seconds for a change to be in force), longer than any
 * pause of a sound peer's system.
 */
#define PROBE_IDLE_S 1
#define PROBE_INTERVAL_S 1
#define PROBES 2
#define USER_TIMEOUT_MS 2000

struct rr_stream {
	int refs; /* of callbacks under way, and the owner's */
	struct rr_poller *poller;
	struct rr_io_watcher poll;
	struct rr_stream_callbacks owner;
	GByteArray *out; /* what the system did not take yet */
	bool connecting;
	bool paused;
	bool more;     /* reading stopped before all was read */
	bool end_seen; /* the peer's end is announced */
	bool ended;    /* the owner knows */
	bool finishing;
};

static void set_option(int fd, int level, int name, int value)
{
	/* Without it the connection works, only slower to notice its end. */
	(void)setsockopt(fd, level, name, &value, sizeof(value));
}

static void set_options(int fd)
{
	set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, PROBE_IDLE_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, PROBE_INTERVAL_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, PROBES);
	set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS);
}

static void unref(struct rr_stream *stream)
{
	if (--stream->refs)
		return;
	g_byte_array_unref(stream->out);
	g_free(stream);
}

static bool is_dropped(const struct rr_stream *stream)
{
	return stream->poll.fd < 0;
}

static void end_stream(struct rr_stream *stream, enum rr_stream_end end)
{
	if (stream->ended || is_dropped(stream))
		return;
	stream->ended = true;
	stream->owner.ended(stream->owner.data, end);
}

static void read_all(struct rr_stream *stream)
{
	uint8_t bytes[READ_BYTES];

	while (!is_dropped(stream) && !stream->ended) {
		ssize_t n;

		if (stream->paused) {
			stream->more = true;
			return;
		}
		n = recv(stream->poll.fd, bytes, sizeof(bytes), 0);
		if (n > 0) {
			stream->owner.received(stream->owner.data, bytes,
					       (size_t)n);
			/* A short read took all there was, but for an end. */
			if (n < (ssize_t)sizeof(bytes) && !stream->end_seen)
				return;
			continue;
		}
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			return;
		end_stream(stream, n ? RR_STREAM_ERROR : RR_STREAM_EOF);
	}
}

/* False when the connection is broken. */
static bool send_some(struct rr_stream *stream, const uint8_t *bytes,
		      size_t length, size_t *sent)
{
	ssize_t n;

	*sent = 0;
	do {
		n = send(stream->poll.fd, bytes, length, MSG_NOSIGNAL);
	} while (n < 0 && errno == EINTR);
	if (n >= 0) {
		*sent = (size_t)n;
		return true;
	}
	return errno == EAGAIN || errno == EWOULDBLOCK;
}

static void flush_out(struct rr_stream *stream)
{
	size_t sent;

	while (stream->out->len) {
		if (!send_some(stream, stream->out->data, stream->out->len,
			       &sent)) {
			end_stream(stream, RR_STREAM_ERROR);
			return;
		}
		if (!sent)
			return;
		g_byte_array_remove_range(stream->out, 0, (guint)sent);
	}
	if (stream->finishing)
		shutdown(stream->poll.fd, SHUT_WR);
	if (stream->owner.flushed)
		stream->owner.flushed(stream->owner.data);
}

/* Whether the connection that was begun stands. */
static bool end_connecting(struct rr_stream *stream)
{
	int error = 0;
	socklen_t length = sizeof(error);

	stream->connecting = false;
	if (getsockopt(stream->poll.fd, SOL_SOCKET, SO_ERROR, &error, &length) <
	    0)
		error = errno;
	if (error) {
		end_stream(stream, error == ECONNREFUSED ? RR_STREAM_REFUSED :
							   RR_STREAM_ERROR);
		return false;
	}
	if (stream->owner.connected)
		stream->owner.connected(stream->owner.data);
	return !is_dropped(stream);
}

static void take_events(void *data, uint32_t events)
{
	struct rr_stream *stream = data;

	stream->refs++;
	if (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))
		stream->end_seen = true;
	if (stream->connecting) {
		if (!(events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) ||
		    !end_connecting(stream))
			goto done;
	}
	if ((events & EPOLLOUT) && stream->out->len)
		flush_out(stream);
	if (is_dropped(stream))
		goto done;
	if (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR))
		read_all(stream);
	/* While paused, an end is told all the same. */
	if (stream->paused && stream->end_seen && !is_dropped(stream))
		end_stream(stream, events & (EPOLLHUP | EPOLLERR) ?
					   RR_STREAM_ERROR :
					   RR_STREAM_EOF);
done:
	unref(stream);
}

static struct rr_stream *watch_fd(struct rr_poller *poller, int fd,
				  const struct rr_stream_callbacks *owner)
{
	struct rr_stream *stream = g_new0(struct rr_stream, 1);

	stream->refs = 1;
	stream->poller = poller;
	stream->owner = *owner;
	stream->out = g_byte_array_new();
	stream->poll.fd = fd;
	stream->poll.ready = take_events;
	stream->poll.data = stream;
	if (rr_add_io_watcher(poller, &stream->poll))
		return stream;
	stream->poll.fd = -1;
	unref(stream);
	return NULL;
}

static int open_socket(const char *address)
{
	GSocketAddress *target = rr_parse_address(address, NULL);
	struct sockaddr_storage native;
	gssize length;
	int fd = -1;

	if (!target)
		return -1;
	length = g_socket_address_get_native_size(target);
	if (g_socket_address_to_native(target, &native, sizeof(native), NULL))
		fd = socket(native.ss_family,
			    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	g_object_unref(target);
	if (fd < 0)
		return -1;
	set_options(fd);
	if (connect(fd, (struct sockaddr *)&native, (socklen_t)length) < 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

struct rr_stream *rr_connect_stream(struct rr_poller *poller,
				    const char *address,
				    const struct rr_stream_callbacks *owner)
{
	int fd = open_socket(address);
	struct rr_stream *stream;

	if (fd < 0)
		return NULL;
	stream = watch_fd(poller, fd, owner);
	if (!stream) {
		close(fd);
		return NULL;
	}
	stream->connecting = true;
	return stream;
}

struct rr_stream *
rr_new_accepted_stream(struct rr_poller *poller, int fd,
		       const struct rr_stream_callbacks *owner)
{
	set_options(fd);
	return watch_fd(poller, fd, owner);
}

void rr_drop_stream(struct rr_stream *stream)
{
	if (!stream || is_dropped(stream))
		return;
	rr_remove_io_watcher(stream->poller, &stream->poll);
	close(stream->poll.fd);
	stream->poll.fd = -1;
	unref(stream);
}

bool rr_write_stream(struct rr_stream *stream, const uint8_t *bytes,
		     size_t length, bool *taken)
{
	size_t sent = 0;

	*taken = true;
	if (!stream->out->len && !stream->connecting &&
	    !send_some(stream, bytes, length, &sent)) {
		*taken = false;
		return false;
	}
	if (sent < length)
		g_byte_array_append(stream->out, bytes + sent,
				    (guint)(length - sent));
	return true;
}

size_t rr_unsent_bytes(const struct rr_stream *stream)
{
	return stream->out->len;
}

void rr_shutdown_stream_write(struct rr_stream *stream)
{
	stream->finishing = true;
	if (!stream->out->len)
		shutdown(stream->poll.fd, SHUT_WR);
}

void rr_set_stream_paused(struct rr_stream *stream, bool paused)
{
	stream->paused = paused;
	if (paused || !stream->more)
		return;
	stream->more = false;
	stream->refs++;
	read_all(stream);
	unref(stream);
}

bool rr_stream_has_input(const struct rr_stream *stream)
{
	uint8_t byte;
	ssize_t n = recv(stream->poll.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

int64_t rr_stream_rtt_us(const struct rr_stream *stream)
{
	struct tcp_info info = { 0 };
	socklen_t length = sizeof(info);

	if (getsockopt(stream->poll.fd, IPPROTO_TCP, TCP_INFO, &info, &length) <
	    0)
		return 0;
	return info.tcpi_rtt;
}
