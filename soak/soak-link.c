/*
 * soak-link.c - control of the links, which run in processes of their own.
 */
#include "soak-link.h"

#include <sys/socket.h>
#include <unistd.h>

/* A process has up to 20,000 descriptors, and about 100 for each gateway. */
#define GATEWAYS_PER_HOST 40

struct link_host {
	int fd;
	uint32_t n_failed_connections;
};

struct soak_link_hosts {
	GArray *hosts; /* struct link_host */
	guint next;    /* host of the next link */
};

struct soak_link {
	struct link_host *host;
	uint32_t number; /* in its host */
	uint16_t port;
};

struct soak_link_hosts *soak_start_link_hosts(uint32_t n_instances)
{
	struct soak_link_hosts *hosts = g_new0(struct soak_link_hosts, 1);

	hosts->hosts = g_array_new(FALSE, FALSE, sizeof(struct link_host));
	for (uint32_t i = 0; i <= n_instances / GATEWAYS_PER_HOST; i++) {
		struct link_host host = { .fd = soak_fork_link_host() };

		g_array_append_val(hosts->hosts, host);
	}
	return hosts;
}

void soak_stop_link_hosts(struct soak_link_hosts *hosts)
{
	for (guint i = 0; i < hosts->hosts->len; i++)
		close(g_array_index(hosts->hosts, struct link_host, i).fd);
	g_array_unref(hosts->hosts);
	g_free(hosts);
}

uint32_t soak_count_failed_connections(const struct soak_link_hosts *hosts)
{
	uint32_t n = 0;

	for (guint i = 0; i < hosts->hosts->len; i++)
		n += g_array_index(hosts->hosts, struct link_host, i)
			     .n_failed_connections;
	return n;
}

static struct soak_link_reply
send_command(struct link_host *host, const struct soak_link_command *command)
{
	struct soak_link_reply reply;

	if (send(host->fd, command, sizeof(*command), MSG_NOSIGNAL) !=
		    sizeof(*command) ||
	    recv(host->fd, &reply, sizeof(reply), 0) != sizeof(reply))
		g_error("a process of the links has ended");
	host->n_failed_connections = reply.n_failed_connections;
	return reply;
}

struct soak_link *soak_new_link(struct soak *soak, uint16_t target_port)
{
	const struct soak_link_command command = {
		.kind = SOAK_LINK_NEW,
		.target_port = target_port,
	};
	struct soak_link_hosts *hosts = soak->link_hosts;
	struct soak_link *link = g_new0(struct soak_link, 1);
	struct soak_link_reply reply;

	link->host = &g_array_index(hosts->hosts, struct link_host,
				    hosts->next++ % hosts->hosts->len);
	reply = send_command(link->host, &command);
	link->number = reply.link;
	link->port = reply.port;
	return link;
}

void soak_drop_link(struct soak_link *link)
{
	soak_set_link_listening(link, false);
	soak_close_link_conns(link);
	g_free(link);
}

uint16_t soak_link_port(const struct soak_link *link)
{
	return link->port;
}

void soak_set_link_state(struct soak_link *link, enum soak_link_state state,
			 uint32_t delay_ms)
{
	const struct soak_link_command command = {
		.kind = SOAK_LINK_SET_STATE,
		.link = link->number,
		.state = state,
		.delay_ms = delay_ms,
	};

	send_command(link->host, &command);
}

void soak_set_link_listening(struct soak_link *link, bool open)
{
	const struct soak_link_command command = {
		.kind = SOAK_LINK_SET_LISTENING,
		.link = link->number,
		.listening = open,
	};

	send_command(link->host, &command);
}

void soak_close_link_conns(struct soak_link *link)
{
	const struct soak_link_command command = {
		.kind = SOAK_LINK_CLOSE_CONNS,
		.link = link->number,
	};

	send_command(link->host, &command);
}
