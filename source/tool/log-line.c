/*
 * log-line.c - parser of structured log lines.
 */
#include "tool/log-line.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "tool/tool.h"

static struct rr_log_line *new_line(void)
{
	struct rr_log_line *line = g_new0(struct rr_log_line, 1);

	line->fields =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return line;
}

void rr_free_log_line(gpointer data)
{
	struct rr_log_line *line = data;

	g_hash_table_unref(line->fields);
	g_free(line);
}

const char *rr_get_log_field(const struct rr_log_line *line, const char *key)
{
	const char *value = g_hash_table_lookup(line->fields, key);

	return value ? value : "";
}

double rr_get_log_field_number(const struct rr_log_line *line, const char *key)
{
	return g_ascii_strtod(rr_get_log_field(line, key), NULL);
}

bool rr_is_log_event(const struct rr_log_line *line, const char *event)
{
	return !strcmp(rr_get_log_field(line, "event"), event);
}

/* Parse a quoted value with escapes and advance *position past it. */
static char *parse_quoted(const char **position)
{
	GString *value = g_string_new(NULL);
	const char *c = *position + 1;

	for (; *c && *c != '"'; c++) {
		if (*c == '\\' && c[1])
			c++;
		g_string_append_c(value, *c);
	}
	*position = *c ? c + 1 : c;
	return g_string_free(value, FALSE);
}

static bool is_key(const char *text, size_t length)
{
	if (!length)
		return false;
	for (size_t i = 0; i < length; i++) {
		if (!g_ascii_islower(text[i]) && !g_ascii_isdigit(text[i]) &&
		    text[i] != '_')
			return false;
	}
	return true;
}

static void parse_fields(struct rr_log_line *line, const char *text)
{
	while (*text) {
		size_t length = strcspn(text, "= ");
		const char *position = text + length;
		char *value;

		if (*position != '=' || !is_key(text, length)) {
			text = position + (*position ? 1 : 0);
			continue;
		}
		position++;
		if (*position == '"') {
			value = parse_quoted(&position);
		} else {
			value = g_strndup(position, strcspn(position, " "));
			position += strlen(value);
		}
		g_hash_table_replace(line->fields, g_strndup(text, length),
				     value);
		text = position;
	}
}

static void copy_members(struct rr_log_line *line, JsonObject *object)
{
	GList *names = json_object_get_members(object);

	for (GList *l = names; l; l = l->next) {
		JsonNode *node = json_object_get_member(object, l->data);
		GValue value = G_VALUE_INIT;
		GValue text = G_VALUE_INIT;

		if (!JSON_NODE_HOLDS_VALUE(node))
			continue;
		json_node_get_value(node, &value);
		g_value_init(&text, G_TYPE_STRING);
		if (g_value_transform(&value, &text))
			g_hash_table_replace(line->fields, g_strdup(l->data),
					     g_value_dup_string(&text));
		g_value_unset(&text);
		g_value_unset(&value);
	}
	g_list_free(names);
}

static void parse_json(struct rr_log_line *line, const char *text)
{
	JsonNode *root = rr_parse_json_text(text);

	if (root && JSON_NODE_HOLDS_OBJECT(root))
		copy_members(line, json_node_get_object(root));
	if (root)
		json_node_unref(root);
}

static int64_t parse_time(const char *text)
{
	GDateTime *time = g_date_time_new_from_iso8601(text, NULL);
	int64_t time_us;

	if (!time)
		return 0;
	time_us = g_date_time_to_unix(time) * G_USEC_PER_SEC +
		  g_date_time_get_microsecond(time);
	g_date_time_unref(time);
	return time_us;
}

struct rr_log_line *rr_parse_log_line(const char *text)
{
	struct rr_log_line *line;

	if (!g_utf8_validate(text, -1, NULL))
		return NULL;
	line = new_line();
	if (strchr(text, '{') && strstr(text, "\"event\""))
		parse_json(line, strchr(text, '{'));
	else
		parse_fields(line, text);
	if (!g_hash_table_contains(line->fields, "event")) {
		rr_free_log_line(line);
		return NULL;
	}
	line->time_us = parse_time(rr_get_log_field(line, "time"));
	return line;
}
