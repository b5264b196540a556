/*
 * port.h - TCP port reservation on 127.0.0.1 for tests.
 */
#ifndef TESTS_SUPPORT_PORT_H
#define TESTS_SUPPORT_PORT_H

#include <gio/gio.h>
#include <stdint.h>

/*
 * Reserve a port for this process until it ends. No other call here, or in
 * another process that reserves its ports with this function, returns it, but a
 * daemon or listener that is given the port can listen on it.
 */
uint16_t test_reserve_port(void);
/* Return IP:PORT of such a port, to be freed with g_free(). */
char *test_reserve_address(void);

/*
 * Listen on `*port`, or on a port reserved and stored there if it is 0. The
 * socket is non-blocking and owned by the caller. On failure the program exits
 * with a message.
 */
GSocket *test_open_listener(uint16_t *port);

#endif
