/*
 * rows.h - a block of result rows, each a key and a JSON text.
 *
 * Blocks are reference-counted, so that a merge need not copy the rows of a
 * reply.
 */
#ifndef RAGWORT_ROWS_H
#define RAGWORT_ROWS_H

#include <stddef.h>
#include <stdint.h>

struct rr_rows;

struct rr_rows *rr_new_rows(void);
struct rr_rows *rr_keep_rows(struct rr_rows *rows);
void rr_drop_rows(struct rr_rows *rows);

/* Append a copy of one row. */
void rr_append_row(struct rr_rows *rows, uint64_t key, const char *json,
		   size_t length);
size_t rr_count_rows(const struct rr_rows *rows);
uint64_t rr_row_key(const struct rr_rows *rows, size_t i);
/*
 * Return the JSON text of a row, owned by the block; its length is stored in
 * *length.
 */
const char *rr_row_json(const struct rr_rows *rows, size_t i, size_t *length);
/* Return the total length of all JSON texts in bytes. */
size_t rr_rows_bytes(const struct rr_rows *rows);

#endif
