/*
 * record-private.h - inside of struct rr_config_record.
 */
#ifndef SETTINGS_RECORD_PRIVATE_H
#define SETTINGS_RECORD_PRIVATE_H

#include "ragwort/record.h"

/* Changes kept in the record, newest first. */
#define RR_MAX_CONFIG_CHANGES 64

struct rr_config_file {
	char *text; /* NULL: removed */
	uint64_t revision;
};

struct rr_config_record {
	uint64_t revision;
	GHashTable *files; /* name to struct rr_config_file */
	size_t n_changes;
	struct rr_config_change changes[RR_MAX_CONFIG_CHANGES];
};

/* Put one change, whose strings the record takes, behind the others. */
void rr_append_config_change(struct rr_config_record *record,
			     const struct rr_config_change *change);
/* Put a file, copying the text. */
void rr_set_config_file(struct rr_config_record *record, const char *name,
			const char *text, uint64_t revision);
/* Names of all files, removed ones too, sorted; the list is the caller's. */
GList *rr_list_config_file_names(const struct rr_config_record *record);

#endif
