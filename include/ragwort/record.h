/*
 * record.h - the accepted configuration: one record under one key.
 *
 * The record holds the operators' files as they wrote them (base and one
 * overlay a site), a revision that only grows, the ids of the last changes
 * and a short history.  A push validates the merged result for every site
 * and swaps the record; instances only ever move to a higher revision.
 */
#ifndef RAGWORT_RECORD_H
#define RAGWORT_RECORD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/config.h"

#define RR_CONFIG_RECORD_KEY "ragwort/config"
#define RR_CONFIG_BASE_FILE "base"

struct rr_config_record;

struct rr_config_record *rr_new_config_record(void); /* revision 0, no files */
void rr_drop_config_record(struct rr_config_record *record);
struct rr_config_record *
rr_copy_config_record(const struct rr_config_record *record);

/* Decode the stored JSON; NULL with an error for anything malformed. */
struct rr_config_record *rr_decode_config_record(const char *text,
						 size_t length, GError **error);
/* Encode; the caller frees the text with g_free(). */
char *rr_encode_config_record(const struct rr_config_record *record,
			      size_t *length);

uint64_t rr_config_record_revision(const struct rr_config_record *record);
/* Hash of the files and the revision: tells two records apart. */
uint64_t rr_hash_config_record(const struct rr_config_record *record);
/* A file's text: RR_CONFIG_BASE_FILE or a site's name; NULL if there is none. */
const char *rr_config_file_text(const struct rr_config_record *record,
				const char *name);
/* The revision that last changed or removed a file; 0: there never was one. */
uint64_t rr_config_file_revision(const struct rr_config_record *record,
				 const char *name);
/* Whether a file may have that name; else an error that says what may. */
bool rr_check_config_file_name(const char *name, GError **error);
/* Sites with an overlay, sorted; NULL-terminated, freed by g_strfreev(). */
char **rr_list_overlay_sites(const struct rr_config_record *record);
/* Whether this change is one of the last that were accepted. */
bool rr_find_config_change(const struct rr_config_record *record,
			   const char *change_id, uint64_t *revision);

/*
 * Put a new text in place of a file and take the next revision.  NULL text
 * removes an overlay.  `author`, `when_s` go to the history.
 */
void rr_update_config_record(struct rr_config_record *record, const char *name,
			     const char *text, const char *change_id,
			     const char *author, int64_t when_s);

struct rr_config_change {
	uint64_t revision;
	const char *change_id;
	const char *file;
	const char *author;
	int64_t when_s;
};

/* The last changes, newest first, owned by the record. */
size_t rr_list_config_changes(const struct rr_config_record *record,
			      const struct rr_config_change **changes);

/* The configuration of one site with the record's revision; see settings.h. */
/* A site without an overlay runs by the base alone. */
struct rr_config *rr_build_site_config(const struct rr_config_record *record,
				       const char *site, GPtrArray *faults);
/*
 * Check the merged result of every site with an overlay, or the base alone
 * where there is none; false with faults appended.
 */
bool rr_check_config_record(const struct rr_config_record *record,
			    GPtrArray *faults);

#endif
