/*
 * ledger-value.h - value of one ledger bucket and its protobuf encoding.
 *
 * The ledger records the ids and results of requests that must run at most
 * once, such as reservations, so that a repeated request does not run again.
 * Ids are distributed over buckets, each of which is one key of the platform's
 * key-value service.  proto/ledger.proto defines the encoding.
 */
#ifndef WIRE_LEDGER_VALUE_H
#define WIRE_LEDGER_VALUE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct rr_ledger_entry {
	char *name;	   /* SERVICE/ID */
	int64_t created_s; /* creation time of the id, in seconds since 1970 */
	uint64_t fingerprint; /* of the request */
	/* Nonce that identifies the claim: instance, incarnation, sequence. */
	char *instance;
	uint64_t incarnation;
	uint64_t sequence;
	bool done;    /* the result is recorded */
	char *result; /* NULL until done */
	size_t result_length;
	/* Changed in memory and not known to be stored yet; not encoded. */
	bool uncommitted;
};

struct rr_ledger_value {
	GHashTable *entries; /* name to struct rr_ledger_entry */
	/* Ids created before this second may have been pruned. */
	int64_t min_created_s;
	/* Creation time of the newest id ever added, in seconds. */
	int64_t max_created_s;
	/* Upper bound of the encoded size, in bytes. */
	size_t encoded_size_bound;
};

/* Create an empty value, freed with rr_drop_ledger_value(). */
struct rr_ledger_value *rr_new_ledger_value(void);
/* Free a value and its entries; NULL is ignored. */
void rr_drop_ledger_value(struct rr_ledger_value *value);

/* Return the entry of that name, owned by the value; NULL if absent. */
struct rr_ledger_entry *
rr_find_ledger_entry(const struct rr_ledger_value *value, const char *name);
/* Add a copy of an entry; its name must not be in the value yet. */
void rr_add_ledger_entry(struct rr_ledger_value *value,
			 const struct rr_ledger_entry *entry);
/* Mark an entry as done and store a copy of its result, `length` bytes. */
void rr_finish_ledger_entry(struct rr_ledger_value *value,
			    struct rr_ledger_entry *entry, const char *result,
			    size_t length);
/* Remove the entry of that name, if there is one. */
void rr_remove_ledger_entry(struct rr_ledger_value *value, const char *name);
/*
 * Remove the entries of ids created before `min_created_s`, except those for
 * which keep() returns true, and set the value's min_created_s to it.  Does
 * nothing unless this raises the value's min_created_s.
 */
void rr_prune_ledger_value(struct rr_ledger_value *value, int64_t min_created_s,
			   bool (*keep)(const void *data,
					const struct rr_ledger_entry *entry),
			   const void *data);

/*
 * The era of the store in which the ledger was last used, with the time before
 * which ids may have been claimed in an earlier era and lost.
 */
struct rr_ledger_era_value {
	uint64_t era;
	int64_t floor_s; /* in seconds since 1970 */
};

/* Encode it as text; free with g_free(). */
char *rr_encode_ledger_era(const struct rr_ledger_era_value *value);
/* Return false if the text is malformed. */
bool rr_decode_ledger_era(const char *bytes, size_t length,
			  struct rr_ledger_era_value *value);

/* Encode a value in *length bytes, which the caller frees with g_free(). */
char *rr_encode_ledger_value(const struct rr_ledger_value *value,
			     size_t *length);
/*
 * Decode a value, freed with rr_drop_ledger_value(); NULL with an error if it
 * is malformed or has an unknown format.
 */
struct rr_ledger_value *rr_decode_ledger_value(const char *bytes, size_t length,
					       GError **error);

#endif
