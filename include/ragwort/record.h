/*
 * record.h - the accepted configuration, stored as one record under one key.
 *
 * The record holds the operators' files as written (the base and one overlay
 * per site), an increasing revision, the ids of the last changes and a short
 * history.  A push validates the merged result for every site and replaces the
 * record by compare-and-swap; instances only move to a higher revision.
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
/* Encode as JSON; the caller frees the text with g_free(). */
char *rr_encode_config_record(const struct rr_config_record *record,
			      size_t *length);

uint64_t rr_config_record_revision(const struct rr_config_record *record);
/* Hash of the files and the revision, to distinguish two records. */
uint64_t rr_hash_config_record(const struct rr_config_record *record);
/*
 * Return the text of a file, RR_CONFIG_BASE_FILE or a site's name; NULL if
 * there is none.
 */
const char *rr_config_file_text(const struct rr_config_record *record,
				const char *name);
/*
 * Return the revision that last changed or removed a file; 0: it never existed.
 */
uint64_t rr_config_file_revision(const struct rr_config_record *record,
				 const char *name);
/*
 * Whether `name` is a valid file name; otherwise the error describes valid
 * names.
 */
bool rr_check_config_file_name(const char *name, GError **error);
/*
 * List the sites with an overlay, sorted; NULL-terminated, freed by
 * g_strfreev().
 */
char **rr_list_overlay_sites(const struct rr_config_record *record);
/*
 * Whether `change_id` is among the last accepted changes; *revision is set to
 * its revision.
 */
bool rr_find_config_change(const struct rr_config_record *record,
			   const char *change_id, uint64_t *revision);

/*
 * Replace the text of a file and increase the revision.  NULL text removes an
 * overlay.  `author` and `when_s` (Unix seconds) are added to the history.
 */
void rr_update_config_record(struct rr_config_record *record, const char *name,
			     const char *text, const char *change_id,
			     const char *author, int64_t when_s);

/*
 * Make the changes of `stored` that `record` lacks again, on top of it, with
 * revisions of their own; both descend from one record.  Return the new record;
 * NULL if there are no such changes.
 */
struct rr_config_record *
rr_rebase_config_record(const struct rr_config_record *record,
			const struct rr_config_record *stored);

struct rr_config_change {
	uint64_t revision;
	const char *change_id;
	const char *file;
	const char *author;
	int64_t when_s;
};

/*
 * List the last changes, newest first, owned by the record; return their
 * number.
 */
size_t rr_list_config_changes(const struct rr_config_record *record,
			      const struct rr_config_change **changes);

/*
 * Build the configuration of one site, with the record's revision; see
 * settings.h.  A site without an overlay uses the base alone.
 */
struct rr_config *rr_build_site_config(const struct rr_config_record *record,
				       const char *site,
				       GPtrArray *diagnostics);
/*
 * Check the merged result of every site with an overlay, or the base alone if
 * there are none; return false with `diagnostics` appended.
 */
bool rr_check_config_record(const struct rr_config_record *record,
			    GPtrArray *diagnostics);

#endif
