/*
 * record-json.c - JSON encoding and decoding of the configuration record.
 */
#include <json-glib/json-glib.h>
#include <string.h>

#include "base/json-private.h"
#include "ragwort/error.h"
#include "settings/record-private.h"

#define RECORD_FORMAT_VERSION 1
#define MAX_NAME_LENGTH 63
#define MAX_DEPTH 8

static void build_files(JsonBuilder *builder,
			const struct rr_config_record *record)
{
	GList *names = rr_list_config_file_names(record);

	json_builder_set_member_name(builder, "files");
	json_builder_begin_object(builder);
	for (GList *link = names; link; link = link->next) {
		const char *text = rr_config_file_text(record, link->data);
		uint64_t revision = rr_config_file_revision(record, link->data);

		json_builder_set_member_name(builder, link->data);
		json_builder_begin_object(builder);
		json_builder_set_member_name(builder, "revision");
		json_builder_add_int_value(builder, (gint64)revision);
		json_builder_set_member_name(builder, "text");
		if (text)
			json_builder_add_string_value(builder, text);
		else
			json_builder_add_null_value(builder);
		json_builder_end_object(builder);
	}
	json_builder_end_object(builder);
	g_list_free(names);
}

static void add_string(JsonBuilder *builder, const char *name,
		       const char *value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, value);
}

static void add_int(JsonBuilder *builder, const char *name, int64_t value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, value);
}

static void build_changes(JsonBuilder *builder,
			  const struct rr_config_record *record)
{
	json_builder_set_member_name(builder, "changes");
	json_builder_begin_array(builder);
	for (size_t i = 0; i < record->n_changes; i++) {
		const struct rr_config_change *change = &record->changes[i];

		json_builder_begin_object(builder);
		add_int(builder, "revision", (int64_t)change->revision);
		add_string(builder, "id", change->change_id);
		add_string(builder, "file", change->file);
		add_string(builder, "author", change->author);
		add_int(builder, "when_s", change->when_s);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
}

char *rr_encode_config_record(const struct rr_config_record *record,
			      size_t *length)
{
	JsonBuilder *builder = json_builder_new();
	JsonNode *root;
	char *text;

	json_builder_begin_object(builder);
	add_int(builder, "format", RECORD_FORMAT_VERSION);
	add_int(builder, "revision", (int64_t)record->revision);
	build_files(builder, record);
	build_changes(builder, record);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	text = json_to_string(root, FALSE);
	json_node_unref(root);
	g_object_unref(builder);
	*length = strlen(text);
	return text;
}

static bool set_error(GError **error, const char *message)
{
	g_set_error(error, RR_ERROR, RR_ERROR_SYNTAX,
		    "configuration record: %s", message);
	return false;
}

static bool read_int(JsonObject *object, const char *name, int64_t min,
		     int64_t *value, GError **error)
{
	JsonNode *node = json_object_get_member(object, name);

	if (!node || json_node_get_value_type(node) != G_TYPE_INT64 ||
	    json_node_get_int(node) < min) {
		g_set_error(error, RR_ERROR, RR_ERROR_SYNTAX,
			    "configuration record: '%s' is not a whole number "
			    "of at least %" G_GINT64_FORMAT,
			    name, min);
		return false;
	}
	*value = json_node_get_int(node);
	return true;
}

static bool read_string(JsonObject *object, const char *name,
			const char **value, GError **error)
{
	JsonNode *node = json_object_get_member(object, name);

	if (!node || json_node_get_value_type(node) != G_TYPE_STRING) {
		g_set_error(error, RR_ERROR, RR_ERROR_SYNTAX,
			    "configuration record: '%s' is not a string", name);
		return false;
	}
	*value = json_node_get_string(node);
	/*
	 * json-glib also accepts C's octal escapes, which can produce bytes
	 * that are not UTF-8; such a text would change when the record is
	 * encoded again.
	 */
	if (!g_utf8_validate(*value, -1, NULL)) {
		g_set_error(error, RR_ERROR, RR_ERROR_SYNTAX,
			    "configuration record: '%s' is not UTF-8", name);
		return false;
	}
	return true;
}

bool rr_check_config_file_name(const char *name, GError **error)
{
	size_t length = strspn(name, "abcdefghijklmnopqrstuvwxyz"
				     "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "0123456789._-");

	if (length && !name[length] && length <= MAX_NAME_LENGTH &&
	    g_ascii_isalnum(name[0]))
		return true;
	g_set_error(error, RR_ERROR, RR_ERROR_SYNTAX,
		    "configuration file name '%.80s': 1 to %d of "
		    "[A-Za-z0-9._-], a letter or digit first, are allowed",
		    name, MAX_NAME_LENGTH);
	return false;
}

static bool read_file(struct rr_config_record *record, const char *name,
		      JsonNode *node, GError **error)
{
	const char *text = NULL;
	JsonObject *object;
	int64_t revision;

	if (!rr_check_config_file_name(name, error))
		return false;
	if (!JSON_NODE_HOLDS_OBJECT(node))
		return set_error(error, "a file is not an object");
	object = json_node_get_object(node);
	if (!read_int(object, "revision", 1, &revision, error))
		return false;
	if ((uint64_t)revision > record->revision)
		return set_error(error, "a file is newer than the record");
	if (!json_object_has_member(object, "text"))
		return set_error(error, "a file has no 'text'");
	if (!json_object_get_null_member(object, "text") &&
	    !read_string(object, "text", &text, error))
		return false;
	rr_set_config_file(record, name, text, (uint64_t)revision);
	return true;
}

static bool read_files(struct rr_config_record *record, JsonObject *root,
		       GError **error)
{
	JsonNode *node = json_object_get_member(root, "files");
	JsonObjectIter iter;
	const char *name;

	if (!node || !JSON_NODE_HOLDS_OBJECT(node))
		return set_error(error, "'files' is not an object");
	json_object_iter_init(&iter, json_node_get_object(node));
	while (json_object_iter_next(&iter, &name, &node)) {
		if (!read_file(record, name, node, error))
			return false;
	}
	return true;
}

static bool read_change(struct rr_config_record *record, JsonNode *node,
			GError **error)
{
	struct rr_config_change change;
	JsonObject *object;
	int64_t revision;

	if (!JSON_NODE_HOLDS_OBJECT(node))
		return set_error(error, "a change is not an object");
	object = json_node_get_object(node);
	if (!read_int(object, "revision", 1, &revision, error) ||
	    !read_string(object, "id", &change.change_id, error) ||
	    !read_string(object, "file", &change.file, error) ||
	    !read_string(object, "author", &change.author, error) ||
	    !read_int(object, "when_s", G_MININT64, &change.when_s, error))
		return false;
	change.revision = (uint64_t)revision;
	if (change.revision > record->revision)
		return set_error(error, "a change is newer than the record");
	change.change_id = g_strdup(change.change_id);
	change.file = g_strdup(change.file);
	change.author = g_strdup(change.author);
	rr_append_config_change(record, &change);
	return true;
}

static bool read_changes(struct rr_config_record *record, JsonObject *root,
			 GError **error)
{
	JsonNode *node = json_object_get_member(root, "changes");
	JsonArray *array;

	if (!node || !JSON_NODE_HOLDS_ARRAY(node))
		return set_error(error, "'changes' is not an array");
	array = json_node_get_array(node);
	if (json_array_get_length(array) > RR_MAX_CONFIG_CHANGES)
		return set_error(error, "'changes' holds more than 64");
	for (guint i = 0; i < json_array_get_length(array); i++) {
		if (!read_change(record, json_array_get_element(array, i),
				 error))
			return false;
	}
	return true;
}

static bool read_record(struct rr_config_record *record, JsonNode *node,
			GError **error)
{
	JsonObject *root;
	int64_t format;
	int64_t revision;

	if (!node || !JSON_NODE_HOLDS_OBJECT(node))
		return set_error(error, "not a JSON object");
	root = json_node_get_object(node);
	if (!read_int(root, "format", 1, &format, error))
		return false;
	if (format != RECORD_FORMAT_VERSION)
		return set_error(error, "'format' is unknown, 1 is allowed");
	if (!read_int(root, "revision", 0, &revision, error))
		return false;
	record->revision = (uint64_t)revision;
	return read_files(record, root, error) &&
	       read_changes(record, root, error);
}

struct rr_config_record *rr_decode_config_record(const char *text,
						 size_t length, GError **error)
{
	JsonParser *parser;
	struct rr_config_record *record;

	if (memchr(text, '\0', length) ||
	    !g_utf8_validate_len(text, length, NULL)) {
		set_error(error, "not UTF-8 text");
		return NULL;
	}
	if (!rr_check_json_nesting(text, length, MAX_DEPTH, error)) {
		g_prefix_error(error, "configuration record: ");
		return NULL;
	}
	parser = json_parser_new_immutable();
	record = rr_new_config_record();
	if (!json_parser_load_from_data(parser, text, (gssize)length, error) ||
	    !read_record(record, json_parser_get_root(parser), error)) {
		rr_drop_config_record(record);
		record = NULL;
	}
	g_object_unref(parser);
	return record;
}
