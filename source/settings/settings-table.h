/*
 * settings-table.h - the one table of all settings: it checks the files,
 * fills the structs and prints the reference page.
 */
#ifndef SETTINGS_SETTINGS_TABLE_H
#define SETTINGS_SETTINGS_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "settings/yaml-tree.h"

/* The mapping a key stands in. */
enum rr_setting_scope {
	RR_SCOPE_SITE, /* top level of the base and of an overlay */
	RR_SCOPE_SITE_LOG,
	RR_SCOPE_DEFAULTS, /* service keys, but for what names one */
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
	RR_TYPE_LISTEN_ADDRESS, /* IP:PORT, port 0 lets the system choose */
	RR_TYPE_CURVE_KEY,	/* 40 characters of Z85 */
	RR_TYPE_INTEGER,	/* uint32_t */
	RR_TYPE_NUMBER,		/* double */
	RR_TYPE_DURATION,	/* uint32_t milliseconds, whatever its unit */
	RR_TYPE_BOOL,
	RR_TYPE_ENUM, /* enum: the index into `choices` */
	RR_TYPE_KEY_RANGE,
	RR_TYPE_ADDRESS_LIST,
	RR_TYPE_CURVE_KEY_LIST,
	RR_TYPE_ZONE_REGION_LIST, /* ZONE/REGION */
	RR_TYPE_MAPPING,	  /* of `inner` */
	RR_TYPE_MAPPING_LIST,	  /* list of mappings of `inner` */
};

struct rr_setting {
	const char *name;
	enum rr_setting_scope scope;
	enum rr_setting_type type;
	double min; /* integers, numbers and times, in the file's unit */
	double max;
	const char *const *choices; /* NULL-terminated */
	enum rr_setting_scope inner_scope;
	bool required;
	bool is_identity;     /* names its list element */
	bool base_only;	      /* the same for all sites */
	bool overlay_only;    /* means nothing in a base */
	bool not_in_defaults; /* may not stand in `defaults` */
	bool needs_restart;
	bool no_field; /* has no place in a struct of its own */
	/* A value that is not allowed is left out, and the default holds. */
	bool default_if_invalid;
	double ms_per_unit; /* of a time */
	size_t offset;	    /* in the scope's struct */
	const char *unit;
	const char *help;
};

extern const struct rr_setting rr_settings[];
extern const size_t rr_n_settings;

/* The setting of that name in a scope; NULL if there is none. */
const struct rr_setting *rr_find_setting(enum rr_setting_scope scope,
					 const char *name);
/* The key that names a list element of a scope; NULL if there is none. */
const char *rr_find_identity_key(enum rr_setting_scope scope);
/* Whether a setting may stand in a scope; `defaults` borrows from services. */
bool rr_is_setting_in_scope(const struct rr_setting *setting,
			    enum rr_setting_scope scope);
/* What is allowed, in words; to be g_free()d. */
char *rr_describe_allowed_values(const struct rr_setting *setting);

/*
 * Whether a value is allowed; appends a fault if not, as one left out where
 * its default holds instead.
 */
bool rr_check_setting_value(const struct rr_setting *setting,
			    const struct rr_yaml_node *node, GPtrArray *faults);
/* Put a value that was checked into the scope's struct. */
void rr_assign_setting_value(const struct rr_setting *setting,
			     const struct rr_yaml_node *node, void *target);
/* How a value that the operators' files leave unset is shown. */
#define RR_START_FILE_VALUE_TEXT "the start file's"
/* Append a scope's struct's value as a person reads it. */
void rr_format_setting_value(const struct rr_setting *setting,
			     const void *source, GString *out);
/* Store all values of a mapping that are allowed; nested ones are left. */
void rr_assign_setting_mapping(enum rr_setting_scope scope,
			       const struct rr_yaml_node *mapping,
			       void *target);
/* Read [from, to); false if it is not one. */
bool rr_parse_key_range(const struct rr_yaml_node *node, uint64_t *from,
			uint64_t *to);

/* Check one file's tree by the table; required keys are left for later. */
void rr_check_settings_tree(const struct rr_yaml_node *root,
			    enum rr_setting_scope scope, bool overlay,
			    GPtrArray *faults);
/* Append a fault for each required key that is missing, at any depth. */
void rr_check_required_keys(const struct rr_yaml_node *root,
			    enum rr_setting_scope scope, GPtrArray *faults);

/* Lay an overlay over a base of the same scope; nodes move into the base. */
void rr_merge_overlay(struct rr_yaml_node *base, struct rr_yaml_node *overlay,
		      enum rr_setting_scope scope, GPtrArray *faults);

/* A start file's defaults, for the parser and the reference page. */
void rr_init_start_settings(struct rr_start_settings *settings);
void rr_init_gateway_settings(struct rr_gateway_settings *settings);

/*
 * Parse, check and store a file that is one mapping of `scope` with mappings
 * in it.  False with faults appended; what was stored stays.
 */
bool rr_parse_start_file(const struct rr_settings_source *file,
			 enum rr_setting_scope scope, void *target,
			 GPtrArray *faults);

#endif
