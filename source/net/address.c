/*
 * address.c - IP:PORT parser; does no name lookup.
 */
#include "net/address-private.h"

#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "ragwort/error.h"

/* Accepts digits without a sign or leading zero. */
static bool parse_port(const char *text, guint64 *port)
{
	if (text[0] == '0' && text[1])
		return false;
	return g_ascii_string_to_unsigned(text, 10, 0, UINT16_MAX, port, NULL);
}

/*
 * Returns the host of IP:PORT, to be freed with g_free(); NULL if there is no
 * port.
 */
static char *split_address(const char *text, guint64 *port)
{
	const char *colon = strrchr(text, ':');
	char *host;
	size_t length;

	if (!colon || !parse_port(colon + 1, port))
		return NULL;
	host = g_strndup(text, (gsize)(colon - text));
	length = strlen(host);
	if (length > 2 && host[0] == '[' && host[length - 1] == ']') {
		host[length - 1] = '\0';
		memmove(host, host + 1, length - 1);
	} else if (strchr(host, ':')) {
		host[0] = '\0'; /* IPv6 requires brackets */
	}
	return host;
}

bool rr_is_address(const char *text)
{
	guint64 port = 0;
	char *host = split_address(text, &port);
	bool valid = host && port && g_hostname_is_ip_address(host);

	g_free(host);
	return valid;
}

GSocketAddress *rr_parse_address(const char *text, GError **error)
{
	GSocketAddress *address = NULL;
	guint64 port;
	char *host = split_address(text, &port);

	if (host)
		address = g_inet_socket_address_new_from_string(host,
								(guint)port);
	g_free(host);
	if (!address)
		g_set_error(error, RR_ERROR, RR_ERROR_SYNTAX,
			    "address \"%s\": IP:PORT is needed", text);
	return address;
}
