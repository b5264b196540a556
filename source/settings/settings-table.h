/*
 * settings-table.h - table of all settings and functions that use it.
 *
 * The table is used to check the files, fill the structs and generate the
 * reference page.
 */
#ifndef SETTINGS_SETTINGS_TABLE_H
#define SETTINGS_SETTINGS_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "settings/yaml-tree.h"

/* Mapping in which a key is allowed. */
enum rr_setting_scope {
	RR_SCOPE_SITE, /* top level of the base and of an overlay */
	RR_SCOPE_SITE_LOG,
	RR_SCOPE_DEFAULTS, /* service keys, except not_in_defaults */
	RR_SCOPE_SERVICE,
	RR_SCOPE_SHARD,
	RR_SCOPE_REPLICA,
	RR_SCOPE_START, /* top level of a start file */
	RR_SCOPE_START_LOG,
	RR_SCOPE_START_TLS,
	RR_SCOPE_START_CURVE,
	RR_SCOPE_GATEWAY, /* top level of a gateway's start file */
	RR_SCOPE_GATEWAY_LOG,
	RR_SCOPE_COUNT,
};

enum rr_setting_type {
	RR_TYPE_NAME,
	RR_TYPE_FILE,
	RR_TYPE_ADDRESS,	/* IP:PORT */
	RR_TYPE_LISTEN_ADDRESS, /* IP:PORT; port 0: any free port */
	RR_TYPE_CURVE_KEY,	/* 40 characters of Z85 */
	RR_TYPE_INTEGER,	/* uint32_t */
	RR_TYPE_NUMBER,		/* double */
	RR_TYPE_DURATION,	/* uint32_t in ms; the file's unit may differ */
	RR_TYPE_BOOL,
	RR_TYPE_ENUM, /* enum; index into `choices` */
	RR_TYPE_KEY_RANGE,
	RR_TYPE_ADDRESS_LIST,
	RR_TYPE_CURVE_KEY_LIST,
	RR_TYPE_ZONE_REGION_LIST, /* list of ZONE/REGION */
	RR_TYPE_MAPPING,	  /* keys of `inner_scope` */
	RR_TYPE_MAPPING_LIST,	  /* list of such mappings */
};

struct rr_setting {
	const char *name;
	enum rr_setting_scope scope;
	enum rr_setting_type type;
	double min; /* for numeric types, in the file's unit */
	double max;
	const char *const *choices; /* NULL-terminated; RR_TYPE_ENUM */
	enum rr_setting_scope inner_scope;
	bool required;
	bool is_identity;     /* its value identifies an element of a list */
	bool base_only;	      /* not in overlays; same for all sites */
	bool overlay_only;    /* not in a base file */
	bool not_in_defaults; /* not allowed in `defaults` */
	bool needs_restart;   /* a change takes effect after a restart */
	bool no_field;	      /* not stored through `offset` */
	/* An invalid value gives a warning, and the default is used. */
	bool default_if_invalid;
	double ms_per_unit; /* RR_TYPE_DURATION */
	size_t offset;	    /* in the scope's struct */
	const char *unit;
	const char *help;
};

/* Memory of a small instance. */
#define RR_DEFAULT_MEMORY_MB 160

extern const struct rr_setting rr_settings[];
extern const size_t rr_n_settings;

/* Find a setting by name in a scope; NULL if there is none. */
const struct rr_setting *rr_find_setting(enum rr_setting_scope scope,
					 const char *name);
/* Return the key that identifies an element of a list; NULL if none. */
const char *rr_find_identity_key(enum rr_setting_scope scope);
/*
 * Return whether a setting is allowed in a scope.  RR_SCOPE_DEFAULTS allows the
 * settings of RR_SCOPE_SERVICE without not_in_defaults.
 */
bool rr_is_setting_in_scope(const struct rr_setting *setting,
			    enum rr_setting_scope scope);
/* Describe the allowed values for messages; freed with g_free(). */
char *rr_describe_allowed_values(const struct rr_setting *setting);

/*
 * Check whether a value is allowed.  If not, append an error, or a warning if
 * the default is used instead, and return false.
 */
bool rr_check_setting_value(const struct rr_setting *setting,
			    const struct rr_yaml_node *node,
			    GPtrArray *diagnostics);
/* Store a checked value in `target`, the struct of the setting's scope. */
void rr_assign_setting_value(const struct rr_setting *setting,
			     const struct rr_yaml_node *node, void *target);
/* Text shown for a value that the operators' files leave unset. */
#define RR_START_FILE_VALUE_TEXT "the start file's"
/* Append a value of `source`, the struct of the scope, in readable form. */
void rr_format_setting_value(const struct rr_setting *setting,
			     const void *source, GString *out);
/* Store all valid values of a mapping, except those of nested mappings. */
void rr_assign_setting_mapping(enum rr_setting_scope scope,
			       const struct rr_yaml_node *mapping,
			       void *target);
/* Parse a key range [from, to); false if it is not valid. */
bool rr_parse_key_range(const struct rr_yaml_node *node, uint64_t *from,
			uint64_t *to);

/*
 * Check one file's tree against the table.  Required keys are not checked:
 * an overlay need not have them; see rr_check_required_keys().
 */
void rr_check_settings_tree(const struct rr_yaml_node *root,
			    enum rr_setting_scope scope, bool overlay,
			    GPtrArray *diagnostics);
/* Append an error for each missing required key, at any depth. */
void rr_check_required_keys(const struct rr_yaml_node *root,
			    enum rr_setting_scope scope,
			    GPtrArray *diagnostics);

/* Merge an overlay into a base of the same scope; nodes move to the base. */
void rr_merge_overlay(struct rr_yaml_node *base, struct rr_yaml_node *overlay,
		      enum rr_setting_scope scope, GPtrArray *diagnostics);

/* Set the defaults of a start file. */
void rr_init_start_settings(struct rr_start_settings *settings);
void rr_init_gateway_settings(struct rr_gateway_settings *settings);

/*
 * Parse and check a file of the keys of `scope`, and store its values in
 * `target`.  On errors, appends them and returns false; values stored before
 * remain in `target`.
 */
bool rr_parse_start_file(const struct rr_settings_source *file,
			 enum rr_setting_scope scope, void *target,
			 GPtrArray *diagnostics);

#endif
