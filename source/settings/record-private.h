/*
 * record-private.h - definition of struct rr_config_record.
 */
#ifndef SETTINGS_RECORD_PRIVATE_H
#define SETTINGS_RECORD_PRIVATE_H

#include "ragwort/record.h"

/* Maximum number of changes kept in the record. */
#define RR_MAX_CONFIG_CHANGES 64

struct rr_config_file {
	char *text;	   /* NULL: removed */
	uint64_t revision; /* of the record that last changed the file */
};

struct rr_config_record {
	uint64_t revision;
	GHashTable *files; /* file name to struct rr_config_file */
	size_t n_changes;
	/* The latest changes, newest first. */
	struct rr_config_change changes[RR_MAX_CONFIG_CHANGES];
};

/* Append a change as the oldest; the record takes over its strings. */
void rr_append_config_change(struct rr_config_record *record,
			     const struct rr_config_change *change);
/* Add or replace a file; the name and the text are copied. */
void rr_set_config_file(struct rr_config_record *record, const char *name,
			const char *text, uint64_t revision);
/*
 * List the names of all files, including removed ones, sorted.  The caller
 * frees the list but not the names.
 */
GList *rr_list_config_file_names(const struct rr_config_record *record);

#endif
