/*
 * record.c - configuration record: files, revision and last changes.
 *
 * The record is the value in the platform's key-value service that holds the
 * accepted text of all configuration files.
 */
#include "ragwort/record.h"

#include <string.h>
#include <xxhash.h>

#include "ragwort/invariant.h"
#include "ragwort/settings.h"
#include "settings/record-private.h"

static void free_file(gpointer data)
{
	struct rr_config_file *file = data;

	g_free(file->text);
	g_free(file);
}

static void free_change(struct rr_config_change *change)
{
	g_free((char *)change->change_id);
	g_free((char *)change->file);
	g_free((char *)change->author);
}

struct rr_config_record *rr_new_config_record(void)
{
	struct rr_config_record *record = g_new0(struct rr_config_record, 1);

	record->files = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      free_file);
	return record;
}

void rr_drop_config_record(struct rr_config_record *record)
{
	if (!record)
		return;
	for (size_t i = 0; i < record->n_changes; i++)
		free_change(&record->changes[i]);
	g_hash_table_destroy(record->files);
	g_free(record);
}

void rr_append_config_change(struct rr_config_record *record,
			     const struct rr_config_change *change)
{
	g_assert(record->n_changes < RR_MAX_CONFIG_CHANGES);
	record->changes[record->n_changes++] = *change;
}

void rr_set_config_file(struct rr_config_record *record, const char *name,
			const char *text, uint64_t revision)
{
	struct rr_config_file *file = g_new0(struct rr_config_file, 1);

	file->text = g_strdup(text);
	file->revision = revision;
	g_hash_table_replace(record->files, g_strdup(name), file);
}

struct rr_config_record *
rr_copy_config_record(const struct rr_config_record *record)
{
	struct rr_config_record *copy = rr_new_config_record();
	GHashTableIter iter;
	gpointer name;
	gpointer data;

	copy->revision = record->revision;
	g_hash_table_iter_init(&iter, record->files);
	while (g_hash_table_iter_next(&iter, &name, &data)) {
		const struct rr_config_file *file = data;

		rr_set_config_file(copy, name, file->text, file->revision);
	}
	for (size_t i = 0; i < record->n_changes; i++) {
		struct rr_config_change change = record->changes[i];

		change.change_id = g_strdup(change.change_id);
		change.file = g_strdup(change.file);
		change.author = g_strdup(change.author);
		rr_append_config_change(copy, &change);
	}
	return copy;
}

uint64_t rr_config_record_revision(const struct rr_config_record *record)
{
	return record->revision;
}

GList *rr_list_config_file_names(const struct rr_config_record *record)
{
	GList *names = g_hash_table_get_keys(record->files);

	return g_list_sort(names, (GCompareFunc)strcmp);
}

uint64_t rr_hash_config_record(const struct rr_config_record *record)
{
	XXH64_hash_t hash = record->revision;
	GList *names = rr_list_config_file_names(record);

	for (GList *link = names; link; link = link->next) {
		const char *text = rr_config_file_text(record, link->data);

		/* Hash the NUL too: "a","bc" must differ from "ab","c". */
		hash = XXH3_64bits_withSeed(link->data, strlen(link->data) + 1,
					    hash);
		if (text)
			hash = XXH3_64bits_withSeed(text, strlen(text) + 1,
						    hash);
	}
	g_list_free(names);
	return hash;
}

const char *rr_config_file_text(const struct rr_config_record *record,
				const char *name)
{
	const struct rr_config_file *file =
		g_hash_table_lookup(record->files, name);

	return file ? file->text : NULL;
}

uint64_t rr_config_file_revision(const struct rr_config_record *record,
				 const char *name)
{
	const struct rr_config_file *file =
		g_hash_table_lookup(record->files, name);

	return file ? file->revision : 0;
}

char **rr_list_overlay_sites(const struct rr_config_record *record)
{
	GPtrArray *sites = g_ptr_array_new();
	GList *names = rr_list_config_file_names(record);

	for (GList *link = names; link; link = link->next) {
		if (strcmp(link->data, RR_CONFIG_BASE_FILE) &&
		    rr_config_file_text(record, link->data))
			g_ptr_array_add(sites, g_strdup(link->data));
	}
	g_list_free(names);
	g_ptr_array_add(sites, NULL);
	return (char **)g_ptr_array_free(sites, FALSE);
}

bool rr_find_config_change(const struct rr_config_record *record,
			   const char *change_id, uint64_t *revision)
{
	for (size_t i = 0; i < record->n_changes; i++) {
		if (strcmp(record->changes[i].change_id, change_id))
			continue;
		if (revision)
			*revision = record->changes[i].revision;
		return true;
	}
	return false;
}

void rr_update_config_record(struct rr_config_record *record, const char *name,
			     const char *text, const char *change_id,
			     const char *author, int64_t when_s)
{
	const size_t n_kept = MIN(record->n_changes, RR_MAX_CONFIG_CHANGES - 1);

	rr_invariant("config", record->revision < UINT64_MAX);
	record->revision++;
	rr_set_config_file(record, name, text, record->revision);
	if (record->n_changes > n_kept)
		free_change(&record->changes[n_kept]);
	for (size_t i = n_kept; i > 0; i--)
		record->changes[i] = record->changes[i - 1];
	record->changes[0] = (struct rr_config_change){
		.revision = record->revision,
		.change_id = g_strdup(change_id),
		.file = g_strdup(name),
		.author = g_strdup(author),
		.when_s = when_s,
	};
	record->n_changes = n_kept + 1;
}

/* Number of the newest changes of `stored` that `record` lacks. */
static size_t count_unknown_changes(const struct rr_config_record *record,
				    const struct rr_config_record *stored)
{
	for (size_t i = 0; i < stored->n_changes; i++) {
		if (rr_find_config_change(record, stored->changes[i].change_id,
					  NULL))
			return i;
	}
	/* They have no change in common: neither descends from the other. */
	return 0;
}

struct rr_config_record *
rr_rebase_config_record(const struct rr_config_record *record,
			const struct rr_config_record *stored)
{
	size_t n = count_unknown_changes(record, stored);
	struct rr_config_record *rebased;

#ifdef RR_MUTANT_CONFIG_OVERWRITES
	n = 0;
#endif
	if (!n)
		return NULL;
	rebased = rr_copy_config_record(record);
	while (n--) {
		const struct rr_config_change *change = &stored->changes[n];

		rr_update_config_record(
			rebased, change->file,
			rr_config_file_text(stored, change->file),
			change->change_id, change->author, change->when_s);
	}
	return rebased;
}

size_t rr_list_config_changes(const struct rr_config_record *record,
			      const struct rr_config_change **changes)
{
	*changes = record->changes;
	return record->n_changes;
}

static void add_error(GPtrArray *diagnostics, const char *file,
		      const char *message)
{
	struct rr_diagnostic *diagnostic = g_new0(struct rr_diagnostic, 1);

	diagnostic->file = g_strdup(file);
	diagnostic->line = 1;
	diagnostic->message = g_strdup(message);
	g_ptr_array_add(diagnostics, diagnostic);
}

static struct rr_settings_source make_source(const char *file, const char *text)
{
	return (struct rr_settings_source){ file, text, strlen(text) };
}

struct rr_config *rr_build_site_config(const struct rr_config_record *record,
				       const char *site, GPtrArray *diagnostics)
{
	const char *base_text =
		rr_config_file_text(record, RR_CONFIG_BASE_FILE);
	const char *overlay_text = NULL;
	struct rr_settings_source base;
	struct rr_settings_source overlay;
	struct rr_config *config;

	if (!base_text) {
		add_error(diagnostics, RR_CONFIG_BASE_FILE,
			  "there is no base file");
		return NULL;
	}
	if (strcmp(site, RR_CONFIG_BASE_FILE))
		overlay_text = rr_config_file_text(record, site);
	base = make_source(RR_CONFIG_BASE_FILE, base_text);
	if (overlay_text)
		overlay = make_source(site, overlay_text);
	config = rr_parse_config(&base, overlay_text ? &overlay : NULL, site,
				 diagnostics);
	if (config)
		config->revision = record->revision;
	return config;
}

bool rr_check_config_record(const struct rr_config_record *record,
			    GPtrArray *diagnostics)
{
	char **sites = rr_list_overlay_sites(record);
	const guint n_before = diagnostics->len;
	size_t i = 0;

	/* If there is no overlay, all sites use the base alone. */
	do {
		const char *site = sites[i] ? sites[i] : RR_CONFIG_BASE_FILE;

		rr_drop_config(rr_build_site_config(record, site, diagnostics));
	} while (sites[i] && sites[++i]);
	g_strfreev(sites);
	return diagnostics->len == n_before;
}
