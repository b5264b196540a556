/*
 * native-address.c - IP:PORT parser; does no name lookup.
 */
#include "net/native-address-private.h"

#include <arpa/inet.h>
#include <netdb.h>
#include <netinet/in.h>
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

static bool make_ipv4(const char *host, uint16_t port,
		      struct rr_native_address *address)
{
	struct sockaddr_in *ipv4 = (struct sockaddr_in *)&address->storage;

	if (inet_pton(AF_INET, host, &ipv4->sin_addr) != 1)
		return false;
	ipv4->sin_family = AF_INET;
	ipv4->sin_port = htons(port);
	address->length = sizeof(*ipv4);
	return true;
}

/* Also accepts a scope, as in fe80::1%eth0, which inet_pton() does not. */
static bool make_ipv6(const char *host, uint16_t port,
		      struct rr_native_address *address)
{
	const struct addrinfo hints = { .ai_flags = AI_NUMERICHOST,
					.ai_family = AF_INET6,
					.ai_socktype = SOCK_STREAM };
	struct sockaddr_in6 *ipv6 = (struct sockaddr_in6 *)&address->storage;
	struct addrinfo *found;

	if (getaddrinfo(host, NULL, &hints, &found))
		return false;
	memcpy(ipv6, found->ai_addr, sizeof(*ipv6));
	freeaddrinfo(found);
	ipv6->sin6_port = htons(port);
	address->length = sizeof(*ipv6);
	return true;
}

static bool make_native(const char *host, uint16_t port,
			struct rr_native_address *address)
{
	memset(address, 0, sizeof(*address));
	address->port = port;
	return strchr(host, ':') ? make_ipv6(host, port, address) :
				   make_ipv4(host, port, address);
}

bool rr_is_address(const char *text)
{
	guint64 port = 0;
	char *host = split_address(text, &port);
	bool valid = host && port && g_hostname_is_ip_address(host);

	g_free(host);
	return valid;
}

bool rr_parse_native_address(const char *text,
			     struct rr_native_address *address, GError **error)
{
	guint64 port;
	char *host = split_address(text, &port);
	bool valid = host && make_native(host, (uint16_t)port, address);

	g_free(host);
	if (!valid)
		g_set_error(error, RR_ERROR, RR_ERROR_SYNTAX,
			    "address \"%s\": IP:PORT is needed", text);
	return valid;
}
