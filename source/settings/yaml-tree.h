/*
 * yaml-tree.h - tree of a YAML file whose nodes record their file and line.
 *
 * Supports the subset of YAML that settings need: scalars, lists, mappings.
 * Anchors, aliases, tags and multiple documents are errors, and size, depth
 * and number of nodes are limited, so that no file can exhaust the memory or
 * the stack of the process.
 */
#ifndef SETTINGS_YAML_TREE_H
#define SETTINGS_YAML_TREE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/settings.h"

/* Maximum size of a file, as of a value in the platform's key-value service. */
#define RR_MAX_SETTINGS_BYTES (1u << 20)
#define RR_MAX_SETTINGS_DEPTH 12
#define RR_MAX_SETTINGS_NODES 300000
/* Diagnostics reported by one check; more would only hide the first ones. */
#define RR_MAX_DIAGNOSTICS 200

enum rr_yaml_kind {
	RR_YAML_SCALAR,
	RR_YAML_LIST,
	RR_YAML_MAPPING,
};

struct rr_yaml_node {
	enum rr_yaml_kind kind;
	const char *file; /* owned by the source, which outlives the tree */
	uint32_t line;
	char *text;	    /* scalar: value */
	bool quoted;	    /* scalar: not written in plain style */
	GPtrArray *items;   /* list: nodes */
	GPtrArray *entries; /* mapping: struct rr_yaml_entry * */
};

struct rr_yaml_entry {
	char *key;
	uint32_t line;
	struct rr_yaml_node *value;
};

/*
 * Parse a file.  Return NULL, with an error appended, if it cannot be parsed
 * to its end.  Errors that do not stop the parser (a duplicate key, an alias)
 * are appended too, and the tree is returned.  The caller frees it with
 * rr_drop_yaml_node().
 */
struct rr_yaml_node *rr_parse_yaml(const struct rr_settings_source *source,
				   GPtrArray *diagnostics);
void rr_drop_yaml_node(struct rr_yaml_node *node);
void rr_drop_yaml_entry(struct rr_yaml_entry *entry);

/* Return the value of a key of a mapping; NULL if there is none. */
struct rr_yaml_node *rr_find_yaml_value(const struct rr_yaml_node *mapping,
					const char *key);
/* Return a key's scalar text; NULL if absent or not a scalar. */
const char *rr_find_yaml_text(const struct rr_yaml_node *mapping,
			      const char *key);

/*
 * Append an error.  After RR_MAX_DIAGNOSTICS, a single line is appended that
 * says that there are more.
 */
void rr_add_diagnostic(GPtrArray *diagnostics, const char *file, uint32_t line,
		       const char *format, ...) G_GNUC_PRINTF(4, 5);
/* Turn the last diagnostic into a warning, which does not reject the file. */
void rr_mark_as_warning(GPtrArray *diagnostics);
/* Return whether any diagnostic from index `from` on is an error. */
bool rr_has_errors(const GPtrArray *diagnostics, guint from);
/* Sort the diagnostics from index `first` on by file and line. */
void rr_sort_diagnostics(GPtrArray *diagnostics, guint first);
/*
 * Format a value for messages: quoted, shortened, only printable characters.
 * The caller frees the result with g_free().
 */
char *rr_quote_value(const struct rr_yaml_node *node);
char *rr_quote_text(const char *text);

#endif
