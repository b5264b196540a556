/*
 * store.h - the port to the platform's key-value store: callbacks that an
 * adapter or a test double implements.
 *
 * Every call is answered exactly once by rr_core_handle_store_reply(), also
 * when the store is down (RR_STORE_UNAVAILABLE or RR_STORE_UNKNOWN).
 */
#ifndef RAGWORT_STORE_H
#define RAGWORT_STORE_H

#include <stddef.h>
#include <stdint.h>

enum rr_store_status {
	RR_STORE_OK,
	/* Compare-and-swap: the key has another revision; nothing changed. */
	RR_STORE_CONFLICT,
	/* The call had no effect: it never reached the store. */
	RR_STORE_UNAVAILABLE,
	/* No reply: a write may or may not have taken effect. */
	RR_STORE_UNKNOWN,
};

struct rr_store_reply {
	uint64_t call_id;
	enum rr_store_status status;
	/* RR_STORE_OK of a get: the value; NULL if the key is absent. */
	const char *value;
	size_t length;
	/*
	 * RR_STORE_OK, RR_STORE_CONFLICT: the key's present revision, 0 if the
	 * key is absent.
	 */
	uint64_t revision;
	uint64_t era; /* of the store, see store-cursor.h; 0: not stated */
};

/* A further condition of a write: another key has this revision. */
struct rr_store_guard {
	const char *key;
	uint64_t revision;
};

struct rr_store_port {
	/* Read a key. */
	void (*get)(void *data, uint64_t call_id, const char *key);
	/*
	 * Write a key if its revision is still `revision` (0: absent), and the
	 * guard holds; NULL: none.  The value is copied.
	 */
	void (*compare_and_swap)(void *data, uint64_t call_id, const char *key,
				 uint64_t revision, const char *value,
				 size_t length,
				 const struct rr_store_guard *guard);
	void *data;
};

#endif
