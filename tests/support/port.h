/*
 * port.h - TCP ports of 127.0.0.1 that nobody else is given.
 */
#ifndef TESTS_SUPPORT_PORT_H
#define TESTS_SUPPORT_PORT_H

#include <gio/gio.h>
#include <stdint.h>

/*
 * A port that is this process's until it ends: no other call here or in
 * another process that takes its ports here is given it, while whoever is
 * told of it (a daemon, a listener) can listen there.
 */
uint16_t test_reserve_port(void);
/* IP:PORT of such a port, for g_free(). */
char *test_reserve_address(void);

/*
 * Listen at `*port`, or at a port taken for it where that is 0.  The socket
 * does not block and is the caller's.  The program ends with a message if
 * the port cannot be had.
 */
GSocket *test_open_listener(uint16_t *port);

#endif
