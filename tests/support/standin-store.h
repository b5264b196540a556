/*
 * standin-store.h - in-memory stand-in for the platform's key-value store.
 *
 * Speaks the real protocol and simulates the faults of the store. Runs on the
 * default main context of its program.
 */
#ifndef TESTS_SUPPORT_STANDIN_STORE_H
#define TESTS_SUPPORT_STANDIN_STORE_H

#include "support/call-counts.h"
#include "support/raw-http.h"

enum test_store_state {
	TEST_STORE_UP,
	TEST_STORE_UNRESPONSIVE, /* calls are read but never answered */
	TEST_STORE_RESET,	 /* connections are closed */
	TEST_STORE_BUSY,	 /* calls are answered 503 and not executed */
};

struct test_store {
	struct test_server server;
	enum test_store_state state;
	uint32_t answer_delay_ms; /* added to the time of each answer */
	/* Share of writes executed without an answer. */
	double lost_write_share;
	/* Number of next writes executed without an answer. */
	uint32_t lose_next_writes;
	/*
	 * Number of next writes that are not answered, and are executed after
	 * write_delay_ms if their conditions still hold.
	 */
	uint32_t delay_next_writes;
	uint32_t write_delay_ms;
	/* Calls above the rate are answered 429 and not executed. */
	struct test_call_rate_limiter rate;
	struct test_call_counts *counts; /* NULL: no counting */
	bool watches_muted;		 /* watches report no changes */
	/* Leases expire even while the store is not up. */
	bool leases_expire_down;
	uint64_t calls; /* calls answered */
	/* Internal state. */
	uint64_t revision;
	/* Number of restores from a copy, plus one; stated in all answers. */
	uint64_t era;
	struct test_store_copy *copy; /* NULL: none was made */
	/* Returned by stale reads; NULL: the present content. */
	struct test_store_copy *stale_copy;
	/* Changes up to this revision were removed. */
	uint64_t compacted_revision;
	int64_t hold_watches_until_us;
	GHashTable *items;  /* key -> struct test_store_item */
	GPtrArray *changes; /* struct test_store_item, oldest first */
	GHashTable *leases; /* id -> struct test_store_lease */
	GPtrArray *waiters; /* struct waiter */
	guint timer;
	GRand *rand;
};

/* Open a store on a free port of 127.0.0.1, stored in store->server.port. */
void test_open_store(struct test_store *store, uint32_t seed);
/* Open a store on a given port; 0: any. */
void test_open_store_at(struct test_store *store, uint16_t port, uint32_t seed);
void test_close_store(struct test_store *store);

/*
 * Write or remove a key, as the operator and the replicas do; `value` is plain
 * text.
 */
void test_store_put(struct test_store *store, const char *key,
		    const char *value);
void test_store_remove(struct test_store *store, const char *key);

/*
 * Entry that a replica writes for itself; NULL texts and 0 slots get defaults.
 */
struct test_replica_entry {
	const char *id;
	const char *service;
	const char *address;
	const char *zone;
	uint32_t slots;
	bool draining;
	int64_t started_ms; /* 0: unknown */
	uint32_t cold_ms;   /* how long it stays cold */
};

/* Return the value of an entry, to be freed with g_free(). */
char *test_make_replica_entry(const struct test_replica_entry *entry);
/* Write an entry under its key, as the replica does. */
void test_store_put_replica(struct test_store *store,
			    const struct test_replica_entry *entry);
/* Return whether there is a watch that has seen all changes. */
bool test_store_has_current_watch(const struct test_store *store);
/*
 * Compact the store: drop all changes so far and close all connections. A watch
 * opened shortly afterwards reports nothing and is answered 410 at its end,
 * because its revision was compacted.
 */
void test_compact_store(struct test_store *store);
/*
 * Copy the store's present content, for test_restore_store(); an earlier copy
 * is dropped.
 */
void test_copy_store(struct test_store *store);
/*
 * Restore the store from its copy: later changes and leases are lost, their
 * revisions are given out again, the era rises by one, and all connections are
 * closed.  Keys of operators and replicas are to be written again by the caller.
 */
void test_restore_store(struct test_store *store);
/*
 * Let stale reads (`serializable`) return the present content and revision from
 * now on, also after a restore.  They state the present era, like all replies.
 */
void test_hold_stale_reads(struct test_store *store);
/* Let stale reads return the present content again. */
void test_release_stale_reads(struct test_store *store);
/* Set the state and close all connections. */
void test_store_set_state(struct test_store *store,
			  enum test_store_state state);

#endif
