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
enum rr_scope {
	RR_IN_SITE, /* top level of the base and of an overlay */
	RR_IN_SITE_LOG,
	RR_IN_DEFAULTS, /* service keys, but for what names one */
	RR_IN_SERVICE,
	RR_IN_SHARD,
	RR_IN_REPLICA,
	RR_IN_START, /* top level of a start file */
	RR_IN_START_LOG,
	RR_IN_START_TLS,
	RR_IN_START_CURVE,
	RR_IN_GATEWAY, /* top level of a gateway's start file */
	RR_IN_GATEWAY_LOG,
	RR_SCOPE_COUNT,
};

enum rr_setting_type {
	RR_SET_NAME,
	RR_SET_FILE,
	RR_SET_ADDRESS,	       /* IP:PORT */
	RR_SET_LISTEN_ADDRESS, /* IP:PORT, port 0 lets the system choose */
	RR_SET_CURVE_KEY,      /* 40 characters of Z85 */
	RR_SET_INTEGER,	       /* uint32_t */
	RR_SET_NUMBER,	       /* double */
	RR_SET_TIME,	       /* uint32_t milliseconds, whatever its unit */
	RR_SET_BOOL,
	RR_SET_CHOICE, /* enum: the index into `choices` */
	RR_SET_KEY_RANGE,
	RR_SET_ADDRESS_LIST,
	RR_SET_CURVE_KEY_LIST,
	RR_SET_PLACE_LIST, /* ZONE/REGION */
	RR_SET_MAPPING,	   /* of `inner` */
	RR_SET_MAPPINGS,   /* list of mappings of `inner` */
};

struct rr_setting {
	const char *name;
	enum rr_scope scope;
	enum rr_setting_type type;
	double min; /* integers, numbers and times, in the file's unit */
	double max;
	const char *const *choices; /* NULL-terminated */
	enum rr_scope inner;
	bool required;
	bool identity;	   /* names its list element */
	bool base_only;	   /* the same for all sites */
	bool overlay_only; /* means nothing in a base */
	bool no_default;   /* may not stand in `defaults` */
	bool needs_restart;
	bool unstored; /* has no place in a struct of its own */
	/* A value that is not allowed is left out, and the default holds. */
	bool or_default;
	double unit_ms; /* of a time */
	size_t offset;	/* in the scope's struct */
	const char *unit;
	const char *help;
};

extern const struct rr_setting rr_settings[];
extern const size_t rr_n_settings;

/* The setting of that name in a scope; NULL if there is none. */
const struct rr_setting *rr_find_setting(enum rr_scope scope, const char *name);
/* The key that names a list element of a scope; NULL if there is none. */
const char *rr_identity_key(enum rr_scope scope);
/* Whether a setting may stand in a scope; `defaults` borrows from services. */
bool rr_setting_in_scope(const struct rr_setting *setting, enum rr_scope scope);
/* What is allowed, in words; to be g_free()d. */
char *rr_describe_allowed(const struct rr_setting *setting);

/*
 * Whether a value is allowed; appends a fault if not, as one left out where
 * its default holds instead.
 */
bool rr_check_value(const struct rr_setting *setting,
		    const struct rr_yaml_node *node, GPtrArray *faults);
/* Put a value that was checked into the scope's struct. */
void rr_store_value(const struct rr_setting *setting,
		    const struct rr_yaml_node *node, void *target);
/* How a value that the operators' files leave unset is shown. */
#define RR_LEFT_TO_START_FILE "the start file's"
/* Append a scope's struct's value as a person reads it. */
void rr_format_stored(const struct rr_setting *setting, const void *source,
		      GString *out);
/* Store all values of a mapping that are allowed; nested ones are left. */
void rr_store_mapping(enum rr_scope scope, const struct rr_yaml_node *mapping,
		      void *target);
/* Read [from, to); false if it is not one. */
bool rr_read_key_range(const struct rr_yaml_node *node, uint64_t *from,
		       uint64_t *to);

/* Check one file's tree by the table; required keys are left for later. */
void rr_check_tree(const struct rr_yaml_node *root, enum rr_scope scope,
		   bool overlay, GPtrArray *faults);
/* Append a fault for each required key that is missing, at any depth. */
void rr_check_required(const struct rr_yaml_node *root, enum rr_scope scope,
		       GPtrArray *faults);

/* Lay an overlay over a base of the same scope; nodes move into the base. */
void rr_lay_overlay(struct rr_yaml_node *base, struct rr_yaml_node *overlay,
		    enum rr_scope scope, GPtrArray *faults);

/* A start file's defaults, for the parser and the reference page. */
void rr_init_start_settings(struct rr_start_settings *settings);
void rr_init_gateway_settings(struct rr_gateway_settings *settings);

/*
 * Parse, check and store a file that is one mapping of `scope` with mappings
 * in it.  False with faults appended; what was stored stays.
 */
bool rr_parse_start_file(const struct rr_source *file, enum rr_scope scope,
			 void *target, GPtrArray *faults);

#endif
