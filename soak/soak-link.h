/*
 * soak-link.h - commands from the soak to the processes that run its links.
 */
#ifndef SOAK_SOAK_LINK_H
#define SOAK_SOAK_LINK_H

#include "soak.h"

enum soak_link_command_kind {
	SOAK_LINK_NEW,
	SOAK_LINK_SET_STATE,
	SOAK_LINK_SET_LISTENING,
	SOAK_LINK_CLOSE_CONNS,
};

/* Executed before it is replied to. */
struct soak_link_command {
	enum soak_link_command_kind kind;
	uint32_t link; /* number in its process */
	uint16_t target_port;
	enum soak_link_state state;
	uint32_t delay_ms;
	bool listening;
};

struct soak_link_reply {
	uint32_t link; /* number of the link made last */
	uint16_t port;
	/*
	 * Connections, since the start, that the process could not accept or
	 * pass on, for want of descriptors.
	 */
	uint32_t n_failed_connections;
};

/*
 * Start a process for links.  Returns the socket for its commands.  To be called
 * while the program has no other thread.
 */
int soak_fork_link_host(void);

#endif
