/*
 * yaml-tree.h - a YAML file as a tree whose nodes know their file and line.
 *
 * Only the plain part of YAML that settings need: scalars, lists, mappings.
 * Anchors, aliases, tags and several documents are faults, and size, depth
 * and number of nodes are bounded, so that no file can use up the process.
 */
#ifndef SETTINGS_YAML_TREE_H
#define SETTINGS_YAML_TREE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/settings.h"

/* What the platform's service holds in one value. */
#define RR_MAX_SETTINGS_BYTES (1u << 20)
#define RR_MAX_SETTINGS_DEPTH 12
#define RR_MAX_SETTINGS_NODES 300000
/* Faults told of one check; more would only hide the first ones. */
#define RR_MAX_DIAGNOSTICS 200

enum rr_yaml_kind {
	RR_YAML_SCALAR,
	RR_YAML_LIST,
	RR_YAML_MAPPING,
};

struct rr_yaml_node {
	enum rr_yaml_kind kind;
	const char *file; /* the source's, which outlives the tree */
	uint32_t line;
	char *text; /* scalar */
	bool quoted;
	GPtrArray *items;   /* list: nodes */
	GPtrArray *entries; /* mapping: struct rr_yaml_entry * */
};

struct rr_yaml_entry {
	char *key;
	uint32_t line;
	struct rr_yaml_node *value;
};

/*
 * Read a file.  NULL, with a fault, when it cannot be read to its end; what
 * can be told without giving up (a doubled key, an alias) is a fault too but
 * leaves a tree.
 */
struct rr_yaml_node *rr_parse_yaml(const struct rr_settings_source *source,
				   GPtrArray *faults);
void rr_drop_yaml_node(struct rr_yaml_node *node);
void rr_drop_yaml_entry(struct rr_yaml_entry *entry);

/* The value of a key of a mapping; NULL if there is none. */
struct rr_yaml_node *rr_find_yaml_value(const struct rr_yaml_node *mapping,
					const char *key);
/* A key's scalar text; NULL if there is none or it is no scalar. */
const char *rr_find_yaml_text(const struct rr_yaml_node *mapping,
			      const char *key);

/* Append a fault; past RR_MAX_DIAGNOSTICS only one line says that there are more. */
void rr_add_diagnostic(GPtrArray *faults, const char *file, uint32_t line,
		       const char *format, ...) G_GNUC_PRINTF(4, 5);
/* The fault just appended leaves a value out; the file holds all the same. */
void rr_mark_as_warning(GPtrArray *faults);
/* Whether any from `from` on does not: the file is refused. */
bool rr_has_errors(const GPtrArray *faults, guint from);
/* Put the faults from the first one given on in the order of files, lines. */
void rr_sort_diagnostics(GPtrArray *faults, guint first);
/* A value as a fault shows it: quoted, short, printable; to be g_free()d. */
char *rr_quote_value(const struct rr_yaml_node *node);
char *rr_quote_text(const char *text);

#endif
