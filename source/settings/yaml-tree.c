/*
 * yaml-tree.c - parser of YAML files into a tree with line numbers.
 */
#include "settings/yaml-tree.h"

#include <string.h>
#include <yaml.h>

struct tree_reader {
	yaml_parser_t parser;
	const struct rr_settings_source *source;
	GPtrArray *diagnostics;
	uint32_t nodes;
};

void rr_drop_yaml_entry(struct rr_yaml_entry *entry)
{
	if (!entry)
		return;
	g_free(entry->key);
	rr_drop_yaml_node(entry->value);
	g_free(entry);
}

void rr_drop_yaml_node(struct rr_yaml_node *node)
{
	if (!node)
		return;
	g_free(node->text);
	if (node->items)
		g_ptr_array_unref(node->items);
	if (node->entries)
		g_ptr_array_unref(node->entries);
	g_free(node);
}

static void drop_node(gpointer node)
{
	rr_drop_yaml_node(node);
}

static void drop_entry(gpointer entry)
{
	rr_drop_yaml_entry(entry);
}

static struct rr_yaml_node *new_node(struct tree_reader *reader,
				     enum rr_yaml_kind kind, uint32_t line)
{
	struct rr_yaml_node *node = g_new0(struct rr_yaml_node, 1);

	node->kind = kind;
	node->file = reader->source->file;
	node->line = line;
	if (kind == RR_YAML_LIST)
		node->items = g_ptr_array_new_with_free_func(drop_node);
	if (kind == RR_YAML_MAPPING)
		node->entries = g_ptr_array_new_with_free_func(drop_entry);
	return node;
}

static uint32_t event_line(const yaml_event_t *event)
{
	return (uint32_t)event->start_mark.line + 1;
}

static uint32_t line_of_offset(const struct rr_settings_source *source,
			       size_t offset)
{
	uint32_t line = 1;

	for (size_t i = 0; i < offset && i < source->length; i++) {
		if (source->text[i] == '\n')
			line++;
	}
	return line;
}

/* Return whether a line is indented with a tab, which YAML does not allow. */
static bool has_tab_indent(const struct rr_settings_source *source,
			   uint32_t line)
{
	const char *end = source->text + source->length;
	const char *next = source->text;

	for (uint32_t i = 1; i < line && next < end; i++) {
		const char *newline = memchr(next, '\n', (size_t)(end - next));

		if (!newline)
			return false;
		next = newline + 1;
	}
	while (next < end && *next == ' ')
		next++;
	return next < end && *next == '\t';
}

static void report_syntax_error(struct tree_reader *reader)
{
	const yaml_parser_t *parser = &reader->parser;
	uint32_t line = (uint32_t)parser->problem_mark.line + 1;
	const char *problem = parser->problem;

	if (parser->error == YAML_READER_ERROR)
		line = line_of_offset(reader->source, parser->problem_offset);
	if (!problem)
		problem = "unreadable";
	if (has_tab_indent(reader->source, line))
		problem = "found a tab, indent with spaces only";
	rr_add_diagnostic(reader->diagnostics, reader->source->file, line,
			  "not YAML: %s; the rest of the file was not checked",
			  problem);
}

static bool next_event(struct tree_reader *reader, yaml_event_t *event)
{
	if (yaml_parser_parse(&reader->parser, event))
		return true;
	report_syntax_error(reader);
	return false;
}

/*
 * Report an anchor or a tag.  Anchors are rejected because a few nested aliases
 * can expand to billions of nodes, and tags because a tag could change the
 * meaning of a value.
 */
static void report_anchor_or_tag(struct tree_reader *reader, uint32_t line,
				 const yaml_char_t *anchor,
				 const yaml_char_t *tag)
{
	char *quoted;

	if (anchor) {
		quoted = rr_quote_text((const char *)anchor);
		rr_add_diagnostic(
			reader->diagnostics, reader->source->file, line,
			"found an anchor %s, anchors and aliases are not "
			"allowed: write the value out",
			quoted);
		g_free(quoted);
	}
	if (tag) {
		quoted = rr_quote_text((const char *)tag);
		rr_add_diagnostic(reader->diagnostics, reader->source->file,
				  line, "found a tag %s, tags are not allowed",
				  quoted);
		g_free(quoted);
	}
}

static struct rr_yaml_node *read_node(struct tree_reader *reader,
				      const yaml_event_t *event, int depth);

static struct rr_yaml_node *read_scalar(struct tree_reader *reader,
					const yaml_event_t *event)
{
	uint32_t line = event_line(event);
	const char *value = (const char *)event->data.scalar.value;
	size_t length = event->data.scalar.length;
	struct rr_yaml_node *node = new_node(reader, RR_YAML_SCALAR, line);

	report_anchor_or_tag(reader, line, event->data.scalar.anchor,
			     event->data.scalar.tag);
	if (memchr(value, '\0', length))
		rr_add_diagnostic(reader->diagnostics, reader->source->file,
				  line, "found a NUL character in a value");
	node->text = g_strndup(value, length);
	node->quoted = event->data.scalar.style != YAML_PLAIN_SCALAR_STYLE;
	return node;
}

static struct rr_yaml_node *read_list(struct tree_reader *reader,
				      const yaml_event_t *start, int depth)
{
	struct rr_yaml_node *list =
		new_node(reader, RR_YAML_LIST, event_line(start));
	yaml_event_t event;

	report_anchor_or_tag(reader, list->line,
			     start->data.sequence_start.anchor,
			     start->data.sequence_start.tag);
	while (next_event(reader, &event)) {
		struct rr_yaml_node *item;

		if (event.type == YAML_SEQUENCE_END_EVENT) {
			yaml_event_delete(&event);
			return list;
		}
		item = read_node(reader, &event, depth + 1);
		yaml_event_delete(&event);
		if (!item)
			break;
		g_ptr_array_add(list->items, item);
	}
	rr_drop_yaml_node(list);
	return NULL;
}

/*
 * Add an entry to a mapping.  A duplicate key is an error: the author assumes
 * that both values apply, and YAML parsers differ in which one they use.
 */
static void add_entry(struct tree_reader *reader, struct rr_yaml_node *mapping,
		      GHashTable *seen, struct rr_yaml_entry *entry)
{
	struct rr_yaml_entry *first = g_hash_table_lookup(seen, entry->key);
	char *quoted;

	if (!first) {
		g_hash_table_insert(seen, entry->key, entry);
		g_ptr_array_add(mapping->entries, entry);
		return;
	}
	quoted = rr_quote_text(entry->key);
	rr_add_diagnostic(reader->diagnostics, reader->source->file,
			  entry->line,
			  "duplicate key %s, first defined at line %u", quoted,
			  first->line);
	g_free(quoted);
	rr_drop_yaml_entry(entry);
}

static struct rr_yaml_entry *
read_entry(struct tree_reader *reader, const yaml_event_t *key_event, int depth)
{
	struct rr_yaml_entry *entry;
	yaml_event_t event;

	if (key_event->type != YAML_SCALAR_EVENT) {
		rr_add_diagnostic(
			reader->diagnostics, reader->source->file,
			event_line(key_event),
			"found a key that is not a scalar; the rest of "
			"the file was not checked");
		return NULL;
	}
	if (!next_event(reader, &event))
		return NULL;
	entry = g_new0(struct rr_yaml_entry, 1);
	entry->line = event_line(key_event);
	entry->key = g_strndup((const char *)key_event->data.scalar.value,
			       key_event->data.scalar.length);
	report_anchor_or_tag(reader, entry->line, key_event->data.scalar.anchor,
			     key_event->data.scalar.tag);
	entry->value = read_node(reader, &event, depth + 1);
	yaml_event_delete(&event);
	if (entry->value)
		return entry;
	rr_drop_yaml_entry(entry);
	return NULL;
}

static struct rr_yaml_node *read_mapping(struct tree_reader *reader,
					 const yaml_event_t *start, int depth)
{
	struct rr_yaml_node *mapping =
		new_node(reader, RR_YAML_MAPPING, event_line(start));
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	bool complete = false;
	yaml_event_t event;

	report_anchor_or_tag(reader, mapping->line,
			     start->data.mapping_start.anchor,
			     start->data.mapping_start.tag);
	while (!complete && next_event(reader, &event)) {
		struct rr_yaml_entry *entry = NULL;

		complete = event.type == YAML_MAPPING_END_EVENT;
		if (!complete)
			entry = read_entry(reader, &event, depth);
		yaml_event_delete(&event);
		if (entry)
			add_entry(reader, mapping, seen, entry);
		else
			break;
	}
	g_hash_table_destroy(seen);
	if (complete)
		return mapping;
	rr_drop_yaml_node(mapping);
	return NULL;
}

static struct rr_yaml_node *read_alias(struct tree_reader *reader,
				       const yaml_event_t *event)
{
	struct rr_yaml_node *node =
		new_node(reader, RR_YAML_SCALAR, event_line(event));

	rr_add_diagnostic(
		reader->diagnostics, reader->source->file, node->line,
		"found an alias, anchors and aliases are not allowed: "
		"write the value out");
	node->text = g_strdup("");
	return node;
}

static struct rr_yaml_node *read_node(struct tree_reader *reader,
				      const yaml_event_t *event, int depth)
{
	if (depth > RR_MAX_SETTINGS_DEPTH) {
		rr_add_diagnostic(
			reader->diagnostics, reader->source->file,
			event_line(event),
			"nested deeper than %d levels; the rest of the "
			"file was not checked",
			RR_MAX_SETTINGS_DEPTH);
		return NULL;
	}
	if (++reader->nodes > RR_MAX_SETTINGS_NODES) {
		rr_add_diagnostic(
			reader->diagnostics, reader->source->file,
			event_line(event),
			"more than %d values; the rest of the file was "
			"not checked",
			RR_MAX_SETTINGS_NODES);
		return NULL;
	}
	switch (event->type) {
	case YAML_SCALAR_EVENT:
		return read_scalar(reader, event);
	case YAML_SEQUENCE_START_EVENT:
		return read_list(reader, event, depth);
	case YAML_MAPPING_START_EVENT:
		return read_mapping(reader, event, depth);
	default:
		return read_alias(reader, event);
	}
}

/* Read the start of the stream and of the document, then the root node. */
static struct rr_yaml_node *read_document(struct tree_reader *reader)
{
	struct rr_yaml_node *root = NULL;
	yaml_event_t event;
	bool before_root = true;

	while (before_root && next_event(reader, &event)) {
		before_root = event.type == YAML_STREAM_START_EVENT ||
			      event.type == YAML_DOCUMENT_START_EVENT;
		if (event.type == YAML_STREAM_END_EVENT)
			rr_add_diagnostic(reader->diagnostics,
					  reader->source->file, 1,
					  "the file holds no settings");
		else if (!before_root)
			root = read_node(reader, &event, 0);
		yaml_event_delete(&event);
	}
	return root;
}

/* Return true if the document is the last one; report a second one. */
static bool check_stream_end(struct tree_reader *reader)
{
	yaml_event_t event;

	while (next_event(reader, &event)) {
		yaml_event_type_t type = event.type;
		uint32_t line = event_line(&event);

		yaml_event_delete(&event);
		if (type == YAML_STREAM_END_EVENT)
			return true;
		if (type == YAML_DOCUMENT_END_EVENT)
			continue;
		rr_add_diagnostic(reader->diagnostics, reader->source->file,
				  line,
				  "found a second document, a settings file "
				  "has only one");
		return false;
	}
	return false;
}

struct rr_yaml_node *rr_parse_yaml(const struct rr_settings_source *source,
				   GPtrArray *diagnostics)
{
	struct tree_reader reader = { .source = source,
				      .diagnostics = diagnostics };
	struct rr_yaml_node *root;

	if (source->length > RR_MAX_SETTINGS_BYTES) {
		rr_add_diagnostic(
			diagnostics, source->file, 1,
			"found %zu bytes, a settings file has at most %u",
			source->length, RR_MAX_SETTINGS_BYTES);
		return NULL;
	}
	if (!yaml_parser_initialize(&reader.parser)) {
		rr_add_diagnostic(diagnostics, source->file, 1,
				  "out of memory");
		return NULL;
	}
	yaml_parser_set_input_string(&reader.parser,
				     (const unsigned char *)source->text,
				     source->length);
	root = read_document(&reader);
	if (root && !check_stream_end(&reader)) {
		rr_drop_yaml_node(root);
		root = NULL;
	}
	yaml_parser_delete(&reader.parser);
	return root;
}

struct rr_yaml_node *rr_find_yaml_value(const struct rr_yaml_node *mapping,
					const char *key)
{
	if (mapping->kind != RR_YAML_MAPPING)
		return NULL;
	for (guint i = 0; i < mapping->entries->len; i++) {
		struct rr_yaml_entry *entry = mapping->entries->pdata[i];

		if (!strcmp(entry->key, key))
			return entry->value;
	}
	return NULL;
}

const char *rr_find_yaml_text(const struct rr_yaml_node *mapping,
			      const char *key)
{
	struct rr_yaml_node *value = rr_find_yaml_value(mapping, key);

	if (!value || value->kind != RR_YAML_SCALAR)
		return NULL;
	return value->text;
}
