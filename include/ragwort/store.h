/*
 * store.h - the platform's key-value service as the core sees it: a port of
 * callbacks, so that an adapter or a fake can stand behind it.
 *
 * Every call is answered exactly once by rr_core_handle_store_reply(), also when the
 * service is down (RR_STORE_UNAVAILABLE or RR_STORE_UNKNOWN).
 */
#ifndef RAGWORT_STORE_H
#define RAGWORT_STORE_H

#include <stddef.h>
#include <stdint.h>

enum rr_store_status {
	RR_STORE_OK,
	/* Compare-and-swap: the key's revision was another; nothing changed. */
	RR_STORE_CONFLICT,
	/* Proof that the call had no effect: it never reached the service. */
	RR_STORE_UNAVAILABLE,
	/* No reply: a write may or may not have taken effect. */
	RR_STORE_UNKNOWN,
};

struct rr_store_reply {
	uint64_t call_id;
	enum rr_store_status status;
	/* RR_STORE_OK of a get: the value; NULL for a key that is not there. */
	const char *value;
	size_t length;
	/*
	 * RR_STORE_OK: the key's revision now, 0 for a key that is not there.
	 */
	uint64_t revision;
};

struct rr_store_port {
	/* Read a key. */
	void (*get)(void *data, uint64_t call_id, const char *key);
	/*
	 * Write a key if its revision is still `revision` (0: not there).
	 * The value is copied.
	 */
	void (*compare_and_swap)(void *data, uint64_t call_id, const char *key,
				 uint64_t revision, const char *value,
				 size_t length);
	void *data;
};

#endif
