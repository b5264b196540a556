/*
 * stream.c - non-blocking TCP connection on the poller.
 */
#include "net/stream.h"

#include <errno.h>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/native-address-private.h"

#define READ_BYTES 16384
#define MAX_CHUNK_BYTES 65536
/*
 * A peer behind a partitioned network neither answers nor resets, so a
 * connection would hang for minutes. TCP keepalive detects this on an idle
 * connection, the user timeout on one with unacknowledged data. Both are
 * shorter than the shortest limit that an operator sets (three seconds for a
 * change to take effect), and longer than any pause of a healthy peer system.
 */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
#define USER_TIMEOUT_MS 2000
/*
 * Data that the kernel accepts beyond what the peer's window admits. Its own
 * limit is of the order of megabytes a connection, which are not counted as
 * memory of the process.
 */
#define MAX_UNSENT_KERNEL_BYTES 131072

/*
 * Bytes that the kernel has not accepted yet. Chunks are freed as the peer
 * reads, so that a slow one does not keep the memory of a long response until
 * its end.
 */
struct chunk {
	size_t start; /* bytes sent */
	size_t length;
	uint8_t bytes[];
};

struct rr_stream {
	int refs; /* running callbacks, plus one for the owner */
	struct rr_poller *poller;
	struct rr_io_watcher watcher;
	struct rr_stream_callbacks callbacks;
	GQueue unsent; /* struct chunk */
	size_t n_unsent_bytes;
	bool connecting;
	bool paused;
	bool throttled;
	bool has_unread;  /* reading stopped with data left */
	bool hangup_seen; /* the poller reported a hangup or error */
	bool ended;	  /* the owner was notified of the end */
	bool shutdown_pending;
};

static void set_option(int fd, int level, int name, int value)
{
	/*
	 * If this fails, the connection works, but may be slower or detect the
	 * loss of the peer later.
	 */
	(void)setsockopt(fd, level, name, &value, sizeof(value));
}

static void set_options(int fd)
{
	set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
	set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS);
	set_option(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, MAX_UNSENT_KERNEL_BYTES);
}

static void unref_stream(struct rr_stream *stream)
{
	if (--stream->refs)
		return;
	g_queue_clear_full(&stream->unsent, g_free);
	g_free(stream);
}

static bool is_dropped(const struct rr_stream *stream)
{
	return stream->watcher.fd < 0;
}

static void report_end(struct rr_stream *stream, enum rr_stream_end end)
{
	if (stream->ended || is_dropped(stream))
		return;
	stream->ended = true;
	stream->callbacks.ended(stream->callbacks.data, end);
}

static void read_available(struct rr_stream *stream)
{
	uint8_t bytes[READ_BYTES];

	while (!is_dropped(stream) && !stream->ended) {
		ssize_t n;

		if (stream->paused || stream->throttled) {
			stream->has_unread = true;
			return;
		}
		n = recv(stream->watcher.fd, bytes, sizeof(bytes), 0);
		if (n > 0) {
			stream->callbacks.received(stream->callbacks.data,
						   bytes, (size_t)n);
			/*
			 * A short read emptied the kernel's buffer. Read on
			 * only after a hangup, because the end of the stream
			 * may follow.
			 */
			if (n < (ssize_t)sizeof(bytes) && !stream->hangup_seen)
				return;
			continue;
		}
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			return;
		report_end(stream, n ? RR_STREAM_ERROR : RR_STREAM_EOF);
	}
}

/* Returns false if the connection failed. */
static bool send_some(struct rr_stream *stream, const uint8_t *bytes,
		      size_t length, size_t *sent)
{
	ssize_t n;

	*sent = 0;
	do {
		n = send(stream->watcher.fd, bytes, length, MSG_NOSIGNAL);
	} while (n < 0 && errno == EINTR);
	if (n >= 0) {
		*sent = (size_t)n;
		return true;
	}
	return errno == EAGAIN || errno == EWOULDBLOCK;
}

static void append_unsent(struct rr_stream *stream, const uint8_t *bytes,
			  size_t length)
{
	stream->n_unsent_bytes += length;
	while (length) {
		size_t n = MIN(length, MAX_CHUNK_BYTES);
		struct chunk *chunk = g_malloc(sizeof(*chunk) + n);

		chunk->start = 0;
		chunk->length = n;
		memcpy(chunk->bytes, bytes, n);
		g_queue_push_tail(&stream->unsent, chunk);
		bytes += n;
		length -= n;
	}
}

static void flush_unsent(struct rr_stream *stream)
{
	struct chunk *chunk;
	size_t sent;

	while ((chunk = g_queue_peek_head(&stream->unsent))) {
		if (!send_some(stream, chunk->bytes + chunk->start,
			       chunk->length - chunk->start, &sent)) {
			report_end(stream, RR_STREAM_ERROR);
			return;
		}
		if (!sent)
			return;
		chunk->start += sent;
		stream->n_unsent_bytes -= sent;
		if (chunk->start == chunk->length)
			g_free(g_queue_pop_head(&stream->unsent));
	}
	if (stream->shutdown_pending)
		shutdown(stream->watcher.fd, SHUT_WR);
	if (stream->callbacks.flushed)
		stream->callbacks.flushed(stream->callbacks.data);
}

/* Returns whether the pending connection was established and is still open. */
static bool finish_connect(struct rr_stream *stream)
{
	int error = 0;
	socklen_t length = sizeof(error);

	stream->connecting = false;
	if (getsockopt(stream->watcher.fd, SOL_SOCKET, SO_ERROR, &error,
		       &length) < 0)
		error = errno;
	if (error) {
		report_end(stream, error == ECONNREFUSED ? RR_STREAM_REFUSED :
							   RR_STREAM_ERROR);
		return false;
	}
	if (stream->callbacks.connected)
		stream->callbacks.connected(stream->callbacks.data);
	return !is_dropped(stream);
}

static void on_events(void *data, uint32_t events)
{
	struct rr_stream *stream = data;

	stream->refs++;
	if (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))
		stream->hangup_seen = true;
	if (stream->connecting) {
		if (!(events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) ||
		    !finish_connect(stream))
			goto done;
	}
	if ((events & EPOLLOUT) && stream->n_unsent_bytes)
		flush_unsent(stream);
	if (is_dropped(stream))
		goto done;
	if (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR))
		read_available(stream);
	/* An end is reported even while paused, an error in any case. */
	if (((stream->paused && stream->hangup_seen) ||
	     (stream->throttled && (events & EPOLLERR))) &&
	    !is_dropped(stream))
		report_end(stream, events & (EPOLLHUP | EPOLLERR) ?
					   RR_STREAM_ERROR :
					   RR_STREAM_EOF);
done:
	unref_stream(stream);
}

static struct rr_stream *new_stream(struct rr_poller *poller, int fd,
				    const struct rr_stream_callbacks *callbacks)
{
	struct rr_stream *stream = g_new0(struct rr_stream, 1);

	stream->refs = 1;
	stream->poller = poller;
	stream->callbacks = *callbacks;
	g_queue_init(&stream->unsent);
	stream->watcher.fd = fd;
	stream->watcher.ready = on_events;
	stream->watcher.data = stream;
	if (rr_add_io_watcher(poller, &stream->watcher))
		return stream;
	stream->watcher.fd = -1;
	unref_stream(stream);
	return NULL;
}

static int open_socket(const char *address)
{
	struct rr_native_address target;
	int fd;

	if (!rr_parse_native_address(address, &target, NULL))
		return -1;
	fd = socket(target.storage.ss_family,
		    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	set_options(fd);
	if (connect(fd, (struct sockaddr *)&target.storage, target.length) <
		    0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

struct rr_stream *rr_connect_stream(struct rr_poller *poller,
				    const char *address,
				    const struct rr_stream_callbacks *callbacks)
{
	int fd = open_socket(address);
	struct rr_stream *stream;

	if (fd < 0)
		return NULL;
	stream = new_stream(poller, fd, callbacks);
	if (!stream) {
		close(fd);
		return NULL;
	}
	stream->connecting = true;
	return stream;
}

struct rr_stream *
rr_new_accepted_stream(struct rr_poller *poller, int fd,
		       const struct rr_stream_callbacks *callbacks)
{
	set_options(fd);
	return new_stream(poller, fd, callbacks);
}

void rr_drop_stream(struct rr_stream *stream)
{
	if (!stream || is_dropped(stream))
		return;
	rr_remove_io_watcher(stream->poller, &stream->watcher);
	close(stream->watcher.fd);
	stream->watcher.fd = -1;
	unref_stream(stream);
}

bool rr_write_stream(struct rr_stream *stream, const uint8_t *bytes,
		     size_t length, bool *taken)
{
	size_t sent = 0;

	*taken = true;
	if (!stream->n_unsent_bytes && !stream->connecting &&
	    !send_some(stream, bytes, length, &sent)) {
		*taken = false;
		return false;
	}
	append_unsent(stream, bytes + sent, length - sent);
	return true;
}

size_t rr_unsent_bytes(const struct rr_stream *stream)
{
	return stream->n_unsent_bytes;
}

void rr_shutdown_stream_write(struct rr_stream *stream)
{
	stream->shutdown_pending = true;
	if (!stream->n_unsent_bytes)
		shutdown(stream->watcher.fd, SHUT_WR);
}

/* Reads what arrived while reading was stopped. */
static void resume_reading(struct rr_stream *stream)
{
	if (stream->paused || stream->throttled || !stream->has_unread)
		return;
	stream->has_unread = false;
	stream->refs++;
	read_available(stream);
	unref_stream(stream);
}

void rr_set_stream_paused(struct rr_stream *stream, bool paused)
{
	stream->paused = paused;
	resume_reading(stream);
}

void rr_set_stream_throttled(struct rr_stream *stream, bool throttled)
{
	stream->throttled = throttled;
	resume_reading(stream);
}

bool rr_stream_has_input(const struct rr_stream *stream)
{
	uint8_t byte;
	ssize_t n = recv(stream->watcher.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

char *rr_stream_peer_ip(const struct rr_stream *stream)
{
	struct sockaddr_storage address;
	socklen_t length = sizeof(address);
	char ip[NI_MAXHOST];

	if (getpeername(stream->watcher.fd, (struct sockaddr *)&address,
			&length) < 0 ||
	    getnameinfo((struct sockaddr *)&address, length, ip, sizeof(ip),
			NULL, 0, NI_NUMERICHOST))
		return g_strdup("unknown");
	return g_strdup(ip);
}

int64_t rr_stream_rtt_us(const struct rr_stream *stream)
{
	struct tcp_info info = { 0 };
	socklen_t length = sizeof(info);

	if (getsockopt(stream->watcher.fd, IPPROTO_TCP, TCP_INFO, &info,
		       &length) < 0)
		return 0;
	return info.tcpi_rtt;
}
