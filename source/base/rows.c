/*
 * rows.c - blocks of result rows; a block keeps the JSON texts of all its rows
 * in one buffer.
 */
#include "ragwort/rows.h"

#include <glib.h>

struct row_entry {
	uint64_t key;
	/* position of the JSON text in rr_rows.text */
	uint32_t offset;
	uint32_t length;
};

struct rr_rows {
	int refs;
	GArray *entries; /* struct row_entry */
	GByteArray *text;
};

struct rr_rows *rr_new_rows(void)
{
	struct rr_rows *rows = g_new0(struct rr_rows, 1);

	rows->refs = 1;
	rows->entries = g_array_new(FALSE, FALSE, sizeof(struct row_entry));
	rows->text = g_byte_array_new();
	return rows;
}

struct rr_rows *rr_keep_rows(struct rr_rows *rows)
{
	rows->refs++;
	return rows;
}

void rr_drop_rows(struct rr_rows *rows)
{
	if (!rows || --rows->refs > 0)
		return;
	g_array_unref(rows->entries);
	g_byte_array_unref(rows->text);
	g_free(rows);
}

void rr_append_row(struct rr_rows *rows, uint64_t key, const char *json,
		   size_t length)
{
	struct row_entry entry = {
		.key = key,
		.offset = rows->text->len,
		.length = (uint32_t)length,
	};

	g_byte_array_append(rows->text, (const guint8 *)json, (guint)length);
	g_array_append_val(rows->entries, entry);
}

size_t rr_count_rows(const struct rr_rows *rows)
{
	return rows ? rows->entries->len : 0;
}

uint64_t rr_row_key(const struct rr_rows *rows, size_t i)
{
	return g_array_index(rows->entries, struct row_entry, i).key;
}

const char *rr_row_json(const struct rr_rows *rows, size_t i, size_t *length)
{
	struct row_entry *entry =
		&g_array_index(rows->entries, struct row_entry, i);

	*length = entry->length;
	return (const char *)rows->text->data + entry->offset;
}

size_t rr_rows_bytes(const struct rr_rows *rows)
{
	return rows ? rows->text->len : 0;
}
