/*
 * http-reader.c - HTTP/1.1 message reader on top of http_parser.
 */
#include "net/http-reader.h"

#include <http_parser.h>
#include <string.h>

/*
 * Limit on the number of headers, which is not configurable; far above what
 * callers send.
 */
#define MAX_HEADERS 200
#define NO_LIMIT UINT32_MAX
/* "HTTP/1.1 200 ": the start of a response, up to what follows its status. */
#define STATUS_START 9
#define STATUS_END 12
/* Larger buffers are freed between messages, since a connection may be idle. */
#define MAX_IDLE_BUFFER_BYTES 4096

/* Offsets of the strings of a header in `text`. */
struct span {
	uint32_t name;
	uint32_t value;
};

struct rr_http_reader {
	struct http_parser parser;
	enum http_parser_type type;
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	bool no_body;
	bool started;
	bool has_headers;
	bool complete;
	bool in_value; /* the last callback was for a value */
	bool in_trailer;
	uint32_t n_header_bytes;
	char line_start[STATUS_END + 1]; /* of a response */
	uint32_t n_line_start;
	enum rr_http_result error_result;
	GString *target;
	GString *reason;
	GString *text; /* names and values, each NUL-terminated */
	GArray *spans; /* struct span */
	GByteArray *body;
	/* Elements: struct rr_http_header, filled after the last header. */
	GArray *headers;
	struct rr_http_message message;
};

static struct rr_http_reader *get_reader(struct http_parser *parser)
{
	return parser->data;
}

static int on_message_begin(struct http_parser *parser)
{
	get_reader(parser)->started = true;
	return 0;
}

static int on_target(struct http_parser *parser, const char *at, size_t n)
{
	g_string_append_len(get_reader(parser)->target, at, (gssize)n);
	return 0;
}

static int on_reason(struct http_parser *parser, const char *at, size_t n)
{
	g_string_append_len(get_reader(parser)->reason, at, (gssize)n);
	return 0;
}

static int on_header_name(struct http_parser *parser, const char *at, size_t n)
{
	struct rr_http_reader *reader = get_reader(parser);
	struct span span = { 0 };

	if (reader->in_trailer)
		return 0;
	if (reader->in_value || !reader->spans->len) {
		if (reader->spans->len >= MAX_HEADERS) {
			reader->error_result = RR_HTTP_HEADERS_TOO_LARGE;
			return -1;
		}
		if (reader->spans->len)
			g_string_append_c(reader->text, '\0');
		span.name = (uint32_t)reader->text->len;
		g_array_append_val(reader->spans, span);
		reader->in_value = false;
	}
	g_string_append_len(reader->text, at, (gssize)n);
	return 0;
}

static int on_header_value(struct http_parser *parser, const char *at, size_t n)
{
	struct rr_http_reader *reader = get_reader(parser);
	struct span *last;

	if (reader->in_trailer)
		return 0;
	last = &g_array_index(reader->spans, struct span,
			      reader->spans->len - 1);
	if (!reader->in_value) {
		g_string_append_c(reader->text, '\0');
		last->value = (uint32_t)reader->text->len;
		reader->in_value = true;
	}
	g_string_append_len(reader->text, at, (gssize)n);
	return 0;
}

static void make_headers(struct rr_http_reader *reader)
{
	g_string_append_c(reader->text, '\0');
	for (guint i = 0; i < reader->spans->len; i++) {
		const struct span *span =
			&g_array_index(reader->spans, struct span, i);
		struct rr_http_header header = {
			.name = reader->text->str + span->name,
			.value = span->value ? reader->text->str + span->value :
					       "",
		};

		g_array_append_val(reader->headers, header);
	}
	reader->message.headers =
		(struct rr_http_header *)(void *)reader->headers->data;
	reader->message.n_headers = reader->headers->len;
}

/* Returns whether a header name is a token (RFC 9110, 5.6.2). */
static bool is_token(const char *name)
{
	if (!*name)
		return false;
	for (; *name; name++) {
		if (!g_ascii_isalnum(*name) &&
		    !strchr("!#$%&'*+-.^_`|~", *name))
			return false;
	}
	return true;
}

/*
 * Rejects blanks in names, which http_parser accepts. Otherwise a header such
 * as "Content-Length :" could be read differently by the next server, which
 * allows request smuggling.
 */
static bool has_valid_names(const struct rr_http_reader *reader)
{
	for (size_t i = 0; i < reader->message.n_headers; i++) {
		if (!is_token(reader->message.headers[i].name))
			return false;
	}
	return true;
}

/* Returns whether a message has no body, whatever its headers say. */
static bool is_bodiless(const struct rr_http_reader *reader)
{
	unsigned int status = reader->parser.status_code;

	if (reader->no_body)
		return true;
	return reader->type == HTTP_RESPONSE &&
	       (status < 200 || status == 204 || status == 304);
}

/* Keeps the start of a status line; http_parser skips empty lines before it. */
static void keep_line_start(struct rr_http_reader *reader, const uint8_t *bytes,
			    size_t length)
{
	for (size_t i = 0;
	     i < length && reader->n_line_start < sizeof(reader->line_start);
	     i++) {
		if (!reader->n_line_start &&
		    (bytes[i] == '\r' || bytes[i] == '\n'))
			continue;
		reader->line_start[reader->n_line_start++] = (char)bytes[i];
	}
}

/*
 * Returns whether a message may have its status (RFC 9110, 15). One under 100 is
 * no interim response, and 101 would answer an Upgrade that is never sent.
 * http_parser accepts any number of digits.
 */
static bool has_valid_status(const struct rr_http_reader *reader)
{
	unsigned int status = reader->parser.status_code;

	if (reader->type != HTTP_RESPONSE)
		return true;
	return reader->line_start[STATUS_START] != '0' &&
	       !g_ascii_isdigit(reader->line_start[STATUS_END]) &&
	       status >= 100 && status < 600 && status != 101;
}

static int on_headers_complete(struct http_parser *parser)
{
	struct rr_http_reader *reader = get_reader(parser);
	const char *expect;

	make_headers(reader);
#ifndef RR_MUTANT_READER_ANY_NAME
	if (!has_valid_names(reader))
		return -1;
#endif
#ifndef RR_MUTANT_READER_ANY_STATUS
	if (!has_valid_status(reader))
		return -1;
#endif
	if (reader->target->len + reader->text->len >
	    reader->max_header_bytes) {
		reader->error_result = RR_HTTP_HEADERS_TOO_LARGE;
		return -1;
	}
	reader->has_headers = true;
	reader->in_trailer = true;
	/*
	 * Ignore Upgrade: no other protocol is supported, so the bytes that
	 * follow are parsed as HTTP.
	 */
	parser->upgrade = 0;
	expect = rr_find_http_header(&reader->message, "Expect");
	reader->message.expects_continue =
		expect && !g_ascii_strcasecmp(expect, "100-continue");
	if ((parser->flags & F_CONTENTLENGTH) &&
	    parser->content_length > reader->max_body_bytes &&
	    !is_bodiless(reader)) {
		reader->error_result = RR_HTTP_BODY_TOO_LARGE;
		return -1;
	}
	return is_bodiless(reader) ? 1 : 0;
}

static int on_body(struct http_parser *parser, const char *at, size_t n)
{
	struct rr_http_reader *reader = get_reader(parser);

	if (reader->body->len + n > reader->max_body_bytes) {
		reader->error_result = RR_HTTP_BODY_TOO_LARGE;
		return -1;
	}
	g_byte_array_append(reader->body, (const guint8 *)at, (guint)n);
	return 0;
}

static int on_message_complete(struct http_parser *parser)
{
	struct rr_http_reader *reader = get_reader(parser);

	reader->complete = true;
	reader->message.keep_alive = http_should_keep_alive(parser);
	/* Stop here: the bytes after it belong to the next message. */
	http_parser_pause(parser, 1);
	return 0;
}

static const struct http_parser_settings callbacks = {
	.on_message_begin = on_message_begin,
	.on_url = on_target,
	.on_status = on_reason,
	.on_header_field = on_header_name,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

struct rr_http_reader *
rr_new_http_reader(const struct rr_http_reader_options *options)
{
	struct rr_http_reader *reader = g_new0(struct rr_http_reader, 1);

	reader->type = options->parse_responses ? HTTP_RESPONSE : HTTP_REQUEST;
	reader->target = g_string_new(NULL);
	reader->reason = g_string_new(NULL);
	reader->text = g_string_new(NULL);
	reader->spans = g_array_new(FALSE, FALSE, sizeof(struct span));
	reader->headers =
		g_array_new(FALSE, FALSE, sizeof(struct rr_http_header));
	reader->body = g_byte_array_new();
	rr_set_http_reader_limits(reader, options->max_header_bytes,
				  options->max_body_bytes);
	rr_reset_http_reader(reader, false);
	return reader;
}

void rr_drop_http_reader(struct rr_http_reader *reader)
{
	if (!reader)
		return;
	g_string_free(reader->target, TRUE);
	g_string_free(reader->reason, TRUE);
	g_string_free(reader->text, TRUE);
	g_array_unref(reader->spans);
	g_array_unref(reader->headers);
	g_byte_array_unref(reader->body);
	g_free(reader);
}

void rr_set_http_reader_limits(struct rr_http_reader *reader,
			       uint32_t max_header_bytes,
			       uint32_t max_body_bytes)
{
	reader->max_header_bytes =
		max_header_bytes ? max_header_bytes : NO_LIMIT;
	reader->max_body_bytes = max_body_bytes ? max_body_bytes : NO_LIMIT;
}

static void clear_text(GString **text)
{
	if ((*text)->allocated_len > MAX_IDLE_BUFFER_BYTES) {
		g_string_free(*text, TRUE);
		*text = g_string_new(NULL);
	}
	g_string_truncate(*text, 0);
}

static void clear_body(struct rr_http_reader *reader)
{
	if (reader->body->len > MAX_IDLE_BUFFER_BYTES) {
		g_byte_array_unref(reader->body);
		reader->body = g_byte_array_new();
	}
	g_byte_array_set_size(reader->body, 0);
}

void rr_reset_http_reader(struct rr_http_reader *reader, bool no_body)
{
	http_parser_init(&reader->parser, reader->type);
	reader->parser.data = reader;
	reader->no_body = no_body;
	reader->started = false;
	reader->has_headers = false;
	reader->complete = false;
	reader->in_value = false;
	reader->in_trailer = false;
	reader->n_header_bytes = 0;
	reader->n_line_start = 0;
	reader->error_result = RR_HTTP_MALFORMED;
	clear_text(&reader->target);
	clear_text(&reader->reason);
	clear_text(&reader->text);
	g_array_set_size(reader->spans, 0);
	g_array_set_size(reader->headers, 0);
	clear_body(reader);
	memset(&reader->message, 0, sizeof(reader->message));
}

static void fill_message(struct rr_http_reader *reader)
{
	struct rr_http_message *message = &reader->message;

	message->method =
		http_method_str((enum http_method)reader->parser.method);
	message->target = reader->target->str;
	message->target_length = reader->target->len;
	message->status = (uint16_t)reader->parser.status_code;
	message->reason = reader->reason->str;
	message->body = reader->body->data;
	message->body_length = reader->body->len;
}

/*
 * Returns whether the message is an interim response (1xx), before the final
 * one.
 */
static bool is_interim(const struct rr_http_reader *reader)
{
	return reader->type == HTTP_RESPONSE &&
	       reader->parser.status_code < 200;
}

enum rr_http_result rr_parse_http(struct rr_http_reader *reader,
				  const uint8_t *bytes, size_t length,
				  size_t *used)
{
	*used = 0;
	while (*used < length) {
		enum http_errno error;
		size_t n;

		if (!reader->has_headers)
			keep_line_start(reader, bytes + *used, length - *used);
		n = http_parser_execute(&reader->parser, &callbacks,
					(const char *)bytes + *used,
					length - *used);
		error = HTTP_PARSER_ERRNO(&reader->parser);
		*used += n;
		if (!reader->has_headers)
			reader->n_header_bytes += (uint32_t)n;
		if (reader->n_header_bytes > reader->max_header_bytes)
			return RR_HTTP_HEADERS_TOO_LARGE;
		if (reader->complete && error == HPE_PAUSED) {
			if (is_interim(reader)) {
				rr_reset_http_reader(reader, reader->no_body);
				continue;
			}
			fill_message(reader);
			return RR_HTTP_COMPLETE;
		}
		if (error != HPE_OK)
			return reader->error_result;
	}
	return RR_HTTP_INCOMPLETE;
}

enum rr_http_result rr_finish_http(struct rr_http_reader *reader)
{
	if (!reader->has_headers || reader->type != HTTP_RESPONSE)
		return RR_HTTP_MALFORMED;
	http_parser_execute(&reader->parser, &callbacks, NULL, 0);
	if (!reader->complete)
		return RR_HTTP_MALFORMED;
	fill_message(reader);
	reader->message.close_delimited = true;
	reader->message.keep_alive = false;
	return RR_HTTP_COMPLETE;
}

bool rr_http_is_started(const struct rr_http_reader *reader)
{
	return reader->started;
}

bool rr_http_has_headers(const struct rr_http_reader *reader)
{
	return reader->has_headers;
}

size_t rr_http_reader_bytes(const struct rr_http_reader *reader)
{
	return reader->target->allocated_len + reader->reason->allocated_len +
	       reader->text->allocated_len + reader->body->len +
	       reader->spans->len * sizeof(struct span) +
	       reader->headers->len * sizeof(struct rr_http_header);
}

const struct rr_http_message *rr_http_message(struct rr_http_reader *reader)
{
	return &reader->message;
}

const char *rr_find_http_header(const struct rr_http_message *message,
				const char *name)
{
	for (size_t i = 0; i < message->n_headers; i++) {
		if (!g_ascii_strcasecmp(message->headers[i].name, name))
			return message->headers[i].value;
	}
	return NULL;
}

/* Returns whether a comma-separated list contains a word, ignoring case. */
static bool list_contains(const char *list, const char *word)
{
	size_t length = strlen(word);

	while (*list) {
		size_t n;

		list += strspn(list, " \t,");
		n = strcspn(list, ",");
		while (n && (list[n - 1] == ' ' || list[n - 1] == '\t'))
			n--;
		if (n == length && !g_ascii_strncasecmp(list, word, n))
			return true;
		list += strcspn(list, ",");
	}
	return false;
}

bool rr_is_hop_by_hop_header(const struct rr_http_message *message,
			     const char *name)
{
	static const char *const hop_headers[] = {
		"Connection",
		"Keep-Alive",
		"Proxy-Connection",
		"TE",
		"Trailer",
		"Transfer-Encoding",
		"Upgrade",
		"Proxy-Authenticate",
		"Proxy-Authorization",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(hop_headers); i++) {
		if (!g_ascii_strcasecmp(name, hop_headers[i]))
			return true;
	}
	for (size_t i = 0; i < message->n_headers; i++) {
		if (!g_ascii_strcasecmp(message->headers[i].name,
					"Connection") &&
		    list_contains(message->headers[i].value, name))
			return true;
	}
	return false;
}
