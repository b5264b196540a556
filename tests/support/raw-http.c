/*
 * raw-http.c - HTTP/1.1 server on plain sockets, on the default main context.
 */
#include "support/raw-http.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support/port.h"

#define MAX_REQUEST_BYTES (1u << 23)

const char *test_request_header(struct test_connection *connection,
				const char *name)
{
	return g_hash_table_lookup(connection->headers, name);
}

int64_t test_request_header_i64(struct test_connection *connection,
				const char *name)
{
	const char *text = test_request_header(connection, name);

	return text ? g_ascii_strtoll(text, NULL, 10) : 0;
}

static void clear_request(struct test_connection *connection)
{
	g_clear_pointer(&connection->method, g_free);
	g_clear_pointer(&connection->path, g_free);
	g_clear_pointer(&connection->body, g_free);
	g_clear_pointer(&connection->headers, g_hash_table_unref);
}

void test_close_connection(struct test_connection *connection)
{
	struct test_server *server = connection->server;

	if (server->closing)
		server->closing(connection);
	g_source_destroy(connection->source);
	g_source_unref(connection->source);
	g_socket_close(connection->socket, NULL);
	g_object_unref(connection->socket);
	g_string_free(connection->input, TRUE);
	clear_request(connection);
	g_ptr_array_remove_fast(server->connections, connection);
	g_free(connection->user);
	g_free(connection);
	if (server->closed)
		server->closed(server);
}

static bool send_bytes(struct test_connection *connection, const char *bytes,
		       gsize length)
{
	while (length) {
		gssize sent = g_socket_send_with_blocking(
			connection->socket, bytes, length, TRUE, NULL, NULL);

		if (sent <= 0)
			return false;
		bytes += sent;
		length -= (gsize)sent;
	}
	return true;
}

static GHashTable *parse_headers(char **lines)
{
	GHashTable *headers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

	for (char **line = lines; *line; line++) {
		char *colon = strchr(*line, ':');

		if (!colon)
			continue;
		*colon = '\0';
		g_hash_table_insert(headers, g_ascii_strdown(*line, -1),
				    g_strdup(g_strstrip(colon + 1)));
	}
	return headers;
}

/* Passes on a complete request from the input, if there is one. */
static void parse_input(struct test_connection *connection)
{
	char *end = strstr(connection->input->str, "\r\n\r\n");
	char *head;
	char **lines;
	char **words;
	gsize head_length;
	gsize body_length;

	if (connection->busy || connection->held || !end)
		return;
	head_length = (gsize)(end - connection->input->str) + 4;
	head = g_strndup(connection->input->str, head_length - 4);
	lines = g_strsplit(head, "\r\n", -1);
	words = g_strsplit(lines[0], " ", 3);
	g_free(head);
	clear_request(connection);
	connection->headers = parse_headers(lines + 1);
	body_length = test_request_header_i64(connection, "content-length");
	if (words[0] && words[1] &&
	    connection->input->len >= head_length + body_length) {
		connection->method = g_strdup(words[0]);
		connection->path = g_strdup(words[1]);
		connection->body = g_strndup(
			connection->input->str + head_length, body_length);
		g_string_erase(connection->input, 0,
			       (gssize)(head_length + body_length));
		g_strfreev(lines);
		g_strfreev(words);
		connection->busy = true;
		connection->server->request(connection);
		return;
	}
	g_strfreev(lines);
	g_strfreev(words);
}

void test_reply_to(struct test_connection *connection, int status,
		   const char *extra, const char *body, bool half)
{
	gsize length = strlen(body);
	GString *text = g_string_new(NULL);
	bool sent;

	g_string_printf(text,
			"HTTP/1.1 %d -\r\nContent-Type: application/json\r\n"
			"Content-Length: %zu\r\n%s\r\n",
			status, length, extra);
	g_string_append_len(text, body, (gssize)(half ? length / 2 : length));
	connection->busy = false;
	clear_request(connection);
	sent = send_bytes(connection, text->str, text->len);
	g_string_free(text, TRUE);
	if (!sent || half)
		test_close_connection(connection);
	else
		parse_input(connection);
}

void test_release_connection(struct test_connection *connection)
{
	connection->held = false;
	parse_input(connection);
}

static gboolean on_readable(GSocket *socket, GIOCondition condition,
			    gpointer data)
{
	struct test_connection *connection = data;
	char bytes[16384];
	gssize length =
		g_socket_receive(socket, bytes, sizeof(bytes), NULL, NULL);

	if (length <= 0 || connection->input->len > MAX_REQUEST_BYTES) {
		test_close_connection(connection);
		return G_SOURCE_REMOVE;
	}
	g_string_append_len(connection->input, bytes, length);
	parse_input(connection);
	return G_SOURCE_CONTINUE;
}

static gboolean accept_connection(GSocket *listener, GIOCondition condition,
				  gpointer data)
{
	struct test_server *server = data;
	GSocket *socket = g_socket_accept(listener, NULL, NULL);
	struct test_connection *connection;

	if (!socket)
		return G_SOURCE_CONTINUE;
	if (server->reset) {
		g_socket_close(socket, NULL);
		g_object_unref(socket);
		return G_SOURCE_CONTINUE;
	}
	connection = g_new0(struct test_connection, 1);
	connection->server = server;
	connection->socket = socket;
	connection->input = g_string_new(NULL);
	g_socket_set_blocking(socket, FALSE);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	connection->source = g_socket_create_source(socket, G_IO_IN, NULL);
	g_source_set_callback(connection->source, G_SOURCE_FUNC(on_readable),
			      connection, NULL);
	g_source_attach(connection->source, NULL);
	g_ptr_array_add(server->connections, connection);
	if (server->accepted)
		server->accepted(connection);
	return G_SOURCE_CONTINUE;
}

void test_set_listening(struct test_server *server, bool open)
{
	if (!server->connections)
		server->connections = g_ptr_array_new();
	if (open && !server->listener) {
		server->listener = test_open_listener(&server->port);
		server->source =
			g_socket_create_source(server->listener, G_IO_IN, NULL);
		g_source_set_callback(server->source,
				      G_SOURCE_FUNC(accept_connection), server,
				      NULL);
		g_source_attach(server->source, NULL);
	} else if (!open && server->listener) {
		g_source_destroy(server->source);
		g_source_unref(server->source);
		g_socket_close(server->listener, NULL);
		g_clear_object(&server->listener);
	}
}

void test_stop_server(struct test_server *server)
{
	GPtrArray *open = g_ptr_array_copy(server->connections, NULL, NULL);

	test_set_listening(server, false);
	for (guint i = 0; i < open->len; i++)
		test_close_connection(g_ptr_array_index(open, i));
	g_ptr_array_unref(open);
}

void test_destroy_server(struct test_server *server)
{
	test_stop_server(server);
	g_ptr_array_unref(server->connections);
}
