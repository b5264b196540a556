/*
 * wire-upstream.c - decoding of the JSON body of an upstream's reply.
 *
 * The body is parsed in one pass by events, without building a tree, since a
 * query of 40 shards decodes 40 bodies.  The text of a row is copied verbatim
 * into the block of rows.  It is checked to be JSON, since it becomes part of
 * our own answers.
 */
#include <errno.h>
#include <string.h>
#include <yajl/yajl_parse.h>

#include "wire/wire-private.h"

#define MAX_DEPTH 64

/* Members of the body's object and of a row; FIELD_NONE is an unknown one. */
enum field {
	FIELD_NONE,
	FIELD_VERSION,
	FIELD_OLDEST,
	FIELD_NEWEST,
	FIELD_EPOCH,
	FIELD_RANGES,
	FIELD_ROWS,
	FIELD_ROW_COUNT,
	FIELD_MORE,
	FIELD_STATE,
	FIELD_LOAD,
	FIELD_RESULT,
	FIELD_END,
	FIELD_KEY, /* the first member of a row */
	FIELD_ROW,
	FIELD_COUNT,
};

static const char *const field_names[FIELD_COUNT] = {
	[FIELD_NONE] = "",	   [FIELD_VERSION] = "version",
	[FIELD_OLDEST] = "oldest", [FIELD_NEWEST] = "newest",
	[FIELD_EPOCH] = "epoch",   [FIELD_RANGES] = "ranges",
	[FIELD_ROWS] = "rows",	   [FIELD_ROW_COUNT] = "row_count",
	[FIELD_MORE] = "more",	   [FIELD_STATE] = "state",
	[FIELD_LOAD] = "load",	   [FIELD_RESULT] = "result",
	[FIELD_END] = "end",	   [FIELD_KEY] = "key",
	[FIELD_ROW] = "row",
};

/* Nesting depth of a value. */
#define DEPTH_BODY 1  /* member of the body's object */
#define DEPTH_LIST 2  /* element of ranges or rows */
#define DEPTH_ENTRY 3 /* element of a range, or member of a row */

struct rr_upstream_body {
	struct rr_reply reply;
	GArray *ranges; /* struct rr_key_range */
	char *result;
};

struct decoder {
	struct rr_upstream_body *body;
	yajl_handle parser;
	const char *text;
	size_t length;
	int depth;
	enum field field;	  /* member of the body being parsed */
	enum field row_field;	  /* member of a row being parsed */
	uint32_t seen_fields;	  /* bits of the body's members */
	uint32_t seen_row_fields; /* bits of the current row's members */
	uint64_t row_key;
	size_t value_start; /* offset in `text` of a value copied verbatim */
	size_t row_start;
	size_t row_length;
	uint64_t bounds[2]; /* of the current range */
	size_t n_bounds;
	GError *error;
};

__attribute__((format(printf, 2, 3))) static int fail(struct decoder *d,
						      const char *format, ...)
{
	va_list args;
	char *text;

	if (d->error)
		return 0;
	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	d->error = g_error_new(RR_ERROR, RR_ERROR_SYNTAX, "upstream body: %s",
			       text);
	g_free(text);
	return 0;
}

/* Return whether the parser is at this depth in the body's member `list`. */
static bool in_list(const struct decoder *d, enum field list, int depth)
{
	return d->field == list && d->depth == depth;
}

/* Return whether the next value is copied or skipped, whatever its type. */
static bool is_verbatim(const struct decoder *d)
{
	if (d->depth == DEPTH_BODY)
		return d->field == FIELD_RESULT || d->field == FIELD_NONE;
	if (in_list(d, FIELD_ROWS, DEPTH_ENTRY))
		return d->row_field == FIELD_ROW || d->row_field == FIELD_NONE;
	return d->depth > DEPTH_ENTRY || d->field == FIELD_RESULT ||
	       d->field == FIELD_NONE;
}

/* Save the text of a verbatim value that ends here; skip unknown ones. */
static void save_verbatim(struct decoder *d)
{
	size_t end = yajl_get_bytes_consumed(d->parser);

	if (d->depth == DEPTH_BODY && d->field == FIELD_RESULT) {
		d->body->result = g_strndup(d->text + d->value_start,
					    end - d->value_start);
		d->body->reply.result = d->body->result;
		d->body->reply.result_length = end - d->value_start;
	} else if (in_list(d, FIELD_ROWS, DEPTH_ENTRY) &&
		   d->row_field == FIELD_ROW) {
		d->row_start = d->value_start;
		d->row_length = end - d->value_start;
	}
}

/* Return the offset of the value after the key that was just parsed. */
static size_t find_value_start(const struct decoder *d)
{
	size_t at = yajl_get_bytes_consumed(d->parser);

	while (at < d->length &&
	       (d->text[at] == ':' || g_ascii_isspace(d->text[at])))
		at++;
	return at;
}

static enum field find_field(const char *name, size_t length, enum field first,
			     enum field last)
{
	for (enum field f = first; f <= last; f++) {
		if (strlen(field_names[f]) == length &&
		    !memcmp(field_names[f], name, length))
			return f;
	}
	return FIELD_NONE;
}

static int on_key(void *data, const unsigned char *name, size_t length)
{
	struct decoder *d = data;
	enum field field;
	uint32_t *seen_fields;

	if (d->depth == DEPTH_BODY) {
		if (d->seen_fields & 1u << FIELD_END)
			return fail(d, "member after the end mark");
		field = find_field((const char *)name, length, FIELD_VERSION,
				   FIELD_END);
		d->field = field;
		seen_fields = &d->seen_fields;
	} else if (in_list(d, FIELD_ROWS, DEPTH_ENTRY)) {
		field = find_field((const char *)name, length, FIELD_KEY,
				   FIELD_ROW);
		d->row_field = field;
		seen_fields = &d->seen_row_fields;
	} else {
		return 1;
	}
	if (field != FIELD_NONE && (*seen_fields & 1u << field))
		return fail(d, "duplicate \"%s\"", field_names[field]);
	*seen_fields |= 1u << field;
	d->value_start = find_value_start(d);
	return 1;
}

static int fail_wrong_type(struct decoder *d, const char *found)
{
	enum field field = d->field;

	if (in_list(d, FIELD_ROWS, DEPTH_ENTRY))
		field = d->row_field;
	return fail(d, "%s is not allowed as the value of \"%s\"", found,
		    field_names[field]);
}

static int on_start(struct decoder *d, bool map)
{
	bool allowed;

	if (d->depth >= MAX_DEPTH)
		return fail(d, "nested deeper than %d", MAX_DEPTH);
	if (d->depth == 0)
		allowed = map;
	else if (is_verbatim(d))
		allowed = true;
	else if (d->depth == DEPTH_BODY)
		allowed = !map &&
			  (d->field == FIELD_RANGES || d->field == FIELD_ROWS);
	else if (d->depth == DEPTH_LIST)
		allowed = map == (d->field == FIELD_ROWS);
	else
		allowed = false;
	if (!allowed)
		return fail_wrong_type(d, map ? "an object" : "an array");
	d->depth++;
	if (d->depth == DEPTH_ENTRY) {
		d->seen_row_fields = 0;
		d->n_bounds = 0;
	}
	return 1;
}

static int on_start_map(void *data)
{
	return on_start(data, true);
}

static int on_start_array(void *data)
{
	return on_start(data, false);
}

static int finish_row(struct decoder *d)
{
	struct rr_rows *rows = d->body->reply.rows;
	uint32_t both = 1u << FIELD_KEY | 1u << FIELD_ROW;

	if ((d->seen_row_fields & both) != both)
		return fail(d, "row %zu lacks \"key\" or \"row\"",
			    rr_count_rows(rows));
	if (rr_count_rows(rows) >= RR_MAX_UPSTREAM_ROWS)
		return fail(d, "more than %d rows", RR_MAX_UPSTREAM_ROWS);
	rr_append_row(rows, d->row_key, d->text + d->row_start, d->row_length);
	return 1;
}

static int finish_range(struct decoder *d)
{
	struct rr_key_range range = { d->bounds[0], d->bounds[1] };

	if (d->n_bounds != 2 || !rr_is_valid_key_range(range.from, range.to))
		return fail(d, "range %u is not [from, to) with from < to",
			    d->body->ranges->len);
	if (d->body->ranges->len >= RR_MAX_RANGES)
		return fail(d, "more than %d ranges", RR_MAX_RANGES);
	g_array_append_val(d->body->ranges, range);
	return 1;
}

static int on_end(struct decoder *d)
{
	d->depth--;
	if (d->depth > 0 && is_verbatim(d)) {
		save_verbatim(d);
		return 1;
	}
	if (in_list(d, FIELD_ROWS, DEPTH_LIST))
		return finish_row(d);
	if (in_list(d, FIELD_RANGES, DEPTH_LIST))
		return finish_range(d);
	return 1;
}

static int on_end_map(void *data)
{
	return on_end(data);
}

static int on_end_array(void *data)
{
	return on_end(data);
}

/* Parse an integer in [0, 2^63) without fraction or exponent. */
static bool parse_integer(const char *text, size_t length, uint64_t *value)
{
	*value = 0;
	if (!length || length > 19)
		return false;
	for (size_t i = 0; i < length; i++) {
		if (!g_ascii_isdigit(text[i]))
			return false;
		*value = *value * 10 + (uint64_t)(text[i] - '0');
	}
	return *value < RR_KEY_LIMIT;
}

static int parse_load(struct decoder *d, const char *text, size_t length)
{
	char number[G_ASCII_DTOSTR_BUF_SIZE];
	double load = -1;

	if (length < sizeof(number)) {
		memcpy(number, text, length);
		number[length] = 0;
		load = g_ascii_strtod(number, NULL);
	}
	if (!(load >= 0 && load <= 1))
		return fail(d, "\"load\" is not within 0 to 1");
	d->body->reply.load = load;
	return 1;
}

static int set_body_integer(struct decoder *d, uint64_t value)
{
	struct rr_reply *reply = &d->body->reply;

	switch (d->field) {
	case FIELD_VERSION:
		reply->version = value;
		return 1;
	case FIELD_OLDEST:
		reply->oldest_version = value;
		return 1;
	case FIELD_NEWEST:
		reply->newest_version = value;
		return 1;
	case FIELD_EPOCH:
		reply->map_epoch = value;
		return 1;
	case FIELD_ROW_COUNT:
		if (value > RR_MAX_UPSTREAM_ROWS)
			return fail(d, "row_count over %d",
				    RR_MAX_UPSTREAM_ROWS);
		reply->row_count = (uint32_t)value;
		return 1;
	default:
		return fail_wrong_type(d, "a number");
	}
}

static int on_number(void *data, const char *text, size_t length)
{
	struct decoder *d = data;
	uint64_t value;

	if (d->depth == 0)
		return fail(d, "a number instead of an object");
	if (is_verbatim(d)) {
		save_verbatim(d);
		return 1;
	}
	if (d->depth == DEPTH_BODY && d->field == FIELD_LOAD)
		return parse_load(d, text, length);
	if (!parse_integer(text, length, &value))
		return fail(d,
			    "\"%s\" has a number that is not an integer in "
			    "[0, 2^63)",
			    field_names[d->field]);
	if (d->depth == DEPTH_BODY)
		return set_body_integer(d, value);
	if (in_list(d, FIELD_RANGES, DEPTH_ENTRY)) {
		if (d->n_bounds < 2)
			d->bounds[d->n_bounds] = value;
		d->n_bounds++;
		return 1;
	}
	if (in_list(d, FIELD_ROWS, DEPTH_ENTRY)) {
		d->row_key = value;
		return 1;
	}
	return fail_wrong_type(d, "a number");
}

static int on_boolean(void *data, int value)
{
	struct decoder *d = data;

	if (d->depth > 0 && is_verbatim(d))
		save_verbatim(d);
	else if (d->depth == DEPTH_BODY && d->field == FIELD_MORE)
		d->body->reply.has_more = value;
	else if (d->depth == DEPTH_BODY && d->field == FIELD_END && value)
		d->body->reply.body_complete = true;
	else
		return fail_wrong_type(d, "a boolean");
	return 1;
}

static int on_null(void *data)
{
	struct decoder *d = data;

	if (d->depth == 0 || !is_verbatim(d))
		return fail_wrong_type(d, "null");
	save_verbatim(d);
	return 1;
}

static int parse_state(struct decoder *d, const char *text, size_t length)
{
	static const struct {
		const char *name;
		enum rr_upstream_state state;
	} states[] = {
		{ "ready", RR_UPSTREAM_READY },
		{ "cold", RR_UPSTREAM_COLD },
		{ "draining", RR_UPSTREAM_DRAINING },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(states); i++) {
		if (strlen(states[i].name) == length &&
		    !memcmp(states[i].name, text, length)) {
			d->body->reply.state = states[i].state;
			return 1;
		}
	}
	return fail(d, "\"state\" is not one of ready, cold, draining");
}

static int on_string(void *data, const unsigned char *text, size_t length)
{
	struct decoder *d = data;

	if (d->depth > 0 && is_verbatim(d)) {
		save_verbatim(d);
		return 1;
	}
	if (d->depth == DEPTH_BODY && d->field == FIELD_STATE)
		return parse_state(d, (const char *)text, length);
	return fail_wrong_type(d, "a string");
}

static const yajl_callbacks callbacks = {
	.yajl_null = on_null,
	.yajl_boolean = on_boolean,
	.yajl_number = on_number,
	.yajl_string = on_string,
	.yajl_start_map = on_start_map,
	.yajl_map_key = on_key,
	.yajl_end_map = on_end_map,
	.yajl_start_array = on_start_array,
	.yajl_end_array = on_end_array,
};

/*
 * Return whether the key of every row is in one of the reply's ranges.  During
 * a repartition a replica may send rows outside the ranges that it reports;
 * the reply of the other replica that holds them would then duplicate them.
 */
static bool rows_within_ranges(const struct rr_upstream_body *body)
{
	struct rr_coverage *coverage = rr_new_coverage();
	size_t n = rr_count_rows(body->reply.rows);
	bool within = true;

	for (guint i = 0; i < body->ranges->len; i++)
		rr_add_range(coverage, g_array_index(body->ranges,
						     struct rr_key_range, i));
	for (size_t i = 0; i < n && within; i++)
		within = rr_covers_key(coverage,
				       rr_row_key(body->reply.rows, i));
	rr_drop_coverage(coverage);
	return within;
}

static int check_body(struct decoder *d)
{
	const struct rr_reply *reply = &d->body->reply;
	size_t n = rr_count_rows(reply->rows);
	static const enum field required[] = {
		FIELD_VERSION,
		FIELD_RANGES,
		FIELD_ROWS,
		FIELD_ROW_COUNT,
	};

	if (!reply->body_complete)
		return fail(d, "truncated: no end mark");
	for (size_t i = 0; i < G_N_ELEMENTS(required); i++) {
		if (!(d->seen_fields & 1u << required[i]))
			return fail(d, "\"%s\" is missing",
				    field_names[required[i]]);
	}
	if (reply->row_count != n)
		return fail(d, "truncated: row_count %u but %zu rows",
			    reply->row_count, n);
	if (!reply->version)
		return fail(d, "\"version\" is 0, allowed from 1");
	if (reply->oldest_version > reply->newest_version)
		return fail(d, "\"oldest\" is above \"newest\"");
	if (!rows_within_ranges(d->body))
		return fail(d, "a row's key is outside all ranges");
	return 1;
}

static void parse_body(struct decoder *d)
{
	const unsigned char *text = (const unsigned char *)d->text;
	yajl_status status = yajl_parse(d->parser, text, d->length);
	size_t consumed = yajl_get_bytes_consumed(d->parser);

	if (status == yajl_status_ok && d->depth == 0 && d->seen_fields)
		status = yajl_complete_parse(d->parser);
	else if (status == yajl_status_ok)
		fail(d, "truncated after %zu bytes", d->length);
	if (status == yajl_status_error)
		fail(d, "invalid JSON at byte %zu", consumed);
	if (!d->error)
		check_body(d);
}

struct rr_upstream_body *rr_decode_upstream_body(const char *text,
						 size_t length, GError **error)
{
	struct rr_upstream_body *body;
	struct decoder d = { .text = text, .length = length };

	if (length > RR_MAX_UPSTREAM_BYTES) {
		g_set_error(error, RR_ERROR, RR_ERROR_TOO_LARGE,
			    "upstream body: %zu bytes, allowed %u", length,
			    RR_MAX_UPSTREAM_BYTES);
		return NULL;
	}
	body = g_new0(struct rr_upstream_body, 1);
	body->reply.status = RR_REPLY_OK;
	body->reply.load = -1;
	body->reply.rows = rr_new_rows();
	body->ranges = g_array_new(FALSE, FALSE, sizeof(struct rr_key_range));
	d.body = body;
	d.parser = yajl_alloc(&callbacks, NULL, &d);
	parse_body(&d);
	yajl_free(d.parser);
	if (d.error) {
		g_propagate_error(error, d.error);
		rr_drop_upstream_body(body);
		return NULL;
	}
	body->reply.ranges = (const struct rr_key_range *)body->ranges->data;
	body->reply.n_ranges = body->ranges->len;
	return body;
}

struct rr_reply *rr_get_upstream_reply(struct rr_upstream_body *body)
{
	return &body->reply;
}

void rr_drop_upstream_body(struct rr_upstream_body *body)
{
	if (!body)
		return;
	rr_drop_rows(body->reply.rows);
	g_array_unref(body->ranges);
	g_free(body->result);
	g_free(body);
}
