/*
 * ledger-value.c - value of one ledger bucket and its protobuf encoding.
 */
#include "wire/ledger-value.h"

#include <string.h>

#include "ledger.pb-c.h"
#include "ragwort/error.h"

#define LEDGER_FORMAT 1
/* Upper bound of an entry's tags, lengths, numbers and fingerprint. */
#define ENTRY_OVERHEAD_BYTES 64
#define BUCKET_OVERHEAD_BYTES 32

static void free_entry(gpointer data)
{
	struct rr_ledger_entry *entry = data;

	g_free(entry->name);
	g_free(entry->instance);
	g_free(entry->result);
	g_free(entry);
}

struct rr_ledger_value *rr_new_ledger_value(void)
{
	struct rr_ledger_value *value = g_new0(struct rr_ledger_value, 1);

	value->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       free_entry);
	value->encoded_size_bound = BUCKET_OVERHEAD_BYTES;
	return value;
}

void rr_drop_ledger_value(struct rr_ledger_value *value)
{
	if (!value)
		return;
	g_hash_table_destroy(value->entries);
	g_free(value);
}

struct rr_ledger_entry *
rr_find_ledger_entry(const struct rr_ledger_value *value, const char *name)
{
	return g_hash_table_lookup(value->entries, name);
}

static size_t entry_size_bound(const struct rr_ledger_entry *entry)
{
	return ENTRY_OVERHEAD_BYTES + strlen(entry->name) +
	       strlen(entry->instance) + entry->result_length;
}

void rr_add_ledger_entry(struct rr_ledger_value *value,
			 const struct rr_ledger_entry *entry)
{
	struct rr_ledger_entry *copy = g_new(struct rr_ledger_entry, 1);

	*copy = *entry;
	copy->name = g_strdup(entry->name);
	copy->instance = g_strdup(entry->instance);
	copy->result = g_memdup2(entry->result, entry->result_length);
	value->encoded_size_bound += entry_size_bound(copy);
	value->max_created_s = MAX(value->max_created_s, copy->created_s);
	g_hash_table_insert(value->entries, copy->name, copy);
}

void rr_finish_ledger_entry(struct rr_ledger_value *value,
			    struct rr_ledger_entry *entry, const char *result,
			    size_t length)
{
	value->encoded_size_bound -= entry_size_bound(entry);
	g_free(entry->result);
	entry->done = true;
	entry->result = g_memdup2(result, length);
	entry->result_length = length;
	value->encoded_size_bound += entry_size_bound(entry);
}

void rr_remove_ledger_entry(struct rr_ledger_value *value, const char *name)
{
	struct rr_ledger_entry *entry = rr_find_ledger_entry(value, name);

	if (!entry)
		return;
	value->encoded_size_bound -= entry_size_bound(entry);
	g_hash_table_remove(value->entries, name);
}

void rr_prune_ledger_value(struct rr_ledger_value *value, int64_t min_created_s,
			   bool (*keep)(const void *data,
					const struct rr_ledger_entry *entry),
			   const void *data)
{
	GHashTableIter iter;
	gpointer item;

	if (min_created_s <= value->min_created_s)
		return;
	value->min_created_s = min_created_s;
	g_hash_table_iter_init(&iter, value->entries);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct rr_ledger_entry *entry = item;

		if (entry->created_s >= min_created_s || keep(data, entry))
			continue;
		value->encoded_size_bound -= entry_size_bound(entry);
		g_hash_table_iter_remove(&iter);
	}
}

static void fill_message(Ragwort__Ledger__Entry *message,
			 const struct rr_ledger_entry *entry)
{
	ragwort__ledger__entry__init(message);
	message->name = entry->name;
	message->made_s = entry->created_s;
	message->fingerprint = entry->fingerprint;
	message->instance = entry->instance;
	message->incarnation = entry->incarnation;
	message->sequence = entry->sequence;
	message->done = entry->done;
	message->result.data = (uint8_t *)entry->result;
	message->result.len = entry->result_length;
}

char *rr_encode_ledger_value(const struct rr_ledger_value *value,
			     size_t *length)
{
	Ragwort__Ledger__Bucket bucket = RAGWORT__LEDGER__BUCKET__INIT;
	size_t n = g_hash_table_size(value->entries);
	Ragwort__Ledger__Entry *messages = g_new(Ragwort__Ledger__Entry, n);
	Ragwort__Ledger__Entry **pointers = g_new(Ragwort__Ledger__Entry *, n);
	GHashTableIter iter;
	gpointer data;
	size_t i = 0;
	char *bytes;

	g_hash_table_iter_init(&iter, value->entries);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		fill_message(&messages[i], data);
		pointers[i] = &messages[i];
		i++;
	}
	bucket.format = LEDGER_FORMAT;
	bucket.floor_s = value->min_created_s;
	bucket.n_entries = n;
	bucket.entries = pointers;
	*length = ragwort__ledger__bucket__get_packed_size(&bucket);
	bytes = g_malloc(*length);
	ragwort__ledger__bucket__pack(&bucket, (uint8_t *)bytes);
	g_free(pointers);
	g_free(messages);
	return bytes;
}

static bool check_entry(const struct rr_ledger_value *value,
			const Ragwort__Ledger__Entry *message, GError **error)
{
	if (!strchr(message->name, '/') || !*message->instance) {
		g_set_error(error, RR_ERROR, RR_ERROR_SYNTAX,
			    "ledger entry '%s' has no service or no claimant",
			    message->name);
		return false;
	}
	if (rr_find_ledger_entry(value, message->name)) {
		g_set_error(error, RR_ERROR, RR_ERROR_SYNTAX,
			    "duplicate ledger entry '%s'", message->name);
		return false;
	}
	return true;
}

static bool fill_value(struct rr_ledger_value *value,
		       const Ragwort__Ledger__Bucket *bucket, GError **error)
{
	if (bucket->format != LEDGER_FORMAT) {
		g_set_error(error, RR_ERROR, RR_ERROR_UNSUPPORTED,
			    "ledger bucket has format %u, supported is %d",
			    bucket->format, LEDGER_FORMAT);
		return false;
	}
	value->min_created_s = bucket->floor_s;
	for (size_t i = 0; i < bucket->n_entries; i++) {
		const Ragwort__Ledger__Entry *message = bucket->entries[i];
		struct rr_ledger_entry entry = {
			.name = message->name,
			.created_s = message->made_s,
			.fingerprint = message->fingerprint,
			.instance = message->instance,
			.incarnation = message->incarnation,
			.sequence = message->sequence,
			.done = message->done,
			.result = (char *)message->result.data,
			.result_length = message->result.len,
		};

		if (!check_entry(value, message, error))
			return false;
		rr_add_ledger_entry(value, &entry);
	}
	return true;
}

struct rr_ledger_value *rr_decode_ledger_value(const char *bytes, size_t length,
					       GError **error)
{
	Ragwort__Ledger__Bucket *bucket;
	struct rr_ledger_value *value;

	bucket = ragwort__ledger__bucket__unpack(NULL, length,
						 (const uint8_t *)bytes);
	if (!bucket) {
		g_set_error(error, RR_ERROR, RR_ERROR_SYNTAX,
			    "ledger bucket of %zu bytes is not a Bucket "
			    "message",
			    length);
		return NULL;
	}
	value = rr_new_ledger_value();
	if (!fill_value(value, bucket, error)) {
		rr_drop_ledger_value(value);
		value = NULL;
	}
	ragwort__ledger__bucket__free_unpacked(bucket, NULL);
	return value;
}

char *rr_encode_ledger_era(const struct rr_ledger_era_value *value)
{
	return g_strdup_printf("%" G_GUINT64_FORMAT " %" G_GINT64_FORMAT,
			       value->era, value->floor_s);
}

bool rr_decode_ledger_era(const char *bytes, size_t length,
			  struct rr_ledger_era_value *value)
{
	char *text = g_strndup(bytes, length);
	char **words = g_strsplit(text, " ", 0);
	bool ok = g_strv_length(words) == 2 &&
		  g_ascii_string_to_unsigned(words[0], 10, 1, G_MAXUINT64,
					     &value->era, NULL) &&
		  g_ascii_string_to_signed(words[1], 10, 0, G_MAXINT64,
					   &value->floor_s, NULL);

	g_strfreev(words);
	g_free(text);
	return ok;
}
