/*
 * ledger-value.h - the value of one ledger bucket in memory, and its
 * encoding (proto/ledger.proto).
 */
#ifndef WIRE_LEDGER_VALUE_H
#define WIRE_LEDGER_VALUE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct rr_ledger_entry {
	char *name; /* SERVICE/ID */
	int64_t created_s;
	uint64_t fingerprint;
	/* The nonce of the claimant. */
	char *instance;
	uint64_t incarnation;
	uint64_t sequence;
	bool done;
	char *result;
	size_t result_length;
	/* Not encoded: changed in memory and not yet known to be stored. */
	bool uncommitted;
};

struct rr_ledger_value {
	GHashTable *entries; /* name to struct rr_ledger_entry */
	/* Ids made before this may have been pruned. */
	int64_t min_created_s;
	/* When the newest id in it was made. */
	int64_t max_created_s;
	/* An upper bound of the encoded size. */
	size_t encoded_size_bound;
};

struct rr_ledger_value *rr_new_ledger_value(void);
void rr_drop_ledger_value(struct rr_ledger_value *value);

/* The entry of that name, owned by the value; NULL if there is none. */
struct rr_ledger_entry *
rr_find_ledger_entry(const struct rr_ledger_value *value, const char *name);
/* Copy an entry into the value; its name must not be in it. */
void rr_add_ledger_entry(struct rr_ledger_value *value,
			 const struct rr_ledger_entry *entry);
/* Mark an entry as done with a copy of its result. */
void rr_finish_ledger_entry(struct rr_ledger_value *value,
			    struct rr_ledger_entry *entry, const char *result,
			    size_t length);
void rr_remove_ledger_entry(struct rr_ledger_value *value, const char *name);
/*
 * Remove the entries of ids made before `floor_s` and raise the floor to it;
 * entries that keep() wants stay.  A lower floor than the present one changes
 * nothing.
 */
void rr_prune_ledger_value(struct rr_ledger_value *value, int64_t floor_s,
			   bool (*keep)(const void *data,
					const struct rr_ledger_entry *entry),
			   const void *data);

/* The bytes are freed with g_free(). */
char *rr_encode_ledger_value(const struct rr_ledger_value *value,
			     size_t *length);
/* NULL with an error for anything malformed. */
struct rr_ledger_value *rr_decode_ledger_value(const char *bytes, size_t length,
					       GError **error);

#endif
