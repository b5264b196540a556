/*
 * standin-store.h - the platform's key-value store in memory, in its real
 * protocol, with the faults that it has.
 *
 * Runs on the default main context of the program that holds it.
 */
#ifndef TESTS_SUPPORT_STANDIN_STORE_H
#define TESTS_SUPPORT_STANDIN_STORE_H

#include "support/call-counts.h"
#include "support/raw-http.h"

enum test_store_state {
	TEST_STORE_UP,
	TEST_STORE_UNRESPONSIVE, /* calls are read and never answered */
	TEST_STORE_RESET,	 /* connections end */
	TEST_STORE_BUSY,	 /* 503: nothing was done */
};

struct test_store {
	struct test_server server;
	enum test_store_state state;
	uint32_t answer_delay_ms;  /* each answer takes so much longer */
	double lost_write_share;   /* of writes: done, and not answered */
	uint32_t lose_next_writes; /* so many writes: done, and not answered */
	/*
	 * So many writes are not answered, and done that much later if their
	 * condition still holds.
	 */
	uint32_t delay_next_writes;
	uint32_t write_delay_ms;
	/* Calls over its rate get 429, with nothing done. */
	struct test_call_rate_limiter rate;
	struct test_call_counts *counts; /* NULL: not counted */
	bool watches_muted;		 /* watches hear of no change */
	/* Leases run out while it is not up. */
	bool leases_expire_down;
	uint64_t calls; /* that were answered */
	/* Inside. */
	uint64_t revision;
	uint64_t compacted_revision; /* changes up to here are forgotten */
	int64_t hold_watches_until_us;
	GHashTable *items;  /* key -> struct item */
	GPtrArray *changes; /* struct item, the oldest first */
	GHashTable *leases; /* id -> struct lease */
	GPtrArray *waiters; /* struct waiter */
	guint timer;
	GRand *rand;
};

/* Listen on a free port of 127.0.0.1, which is store->server.port. */
void test_open_store(struct test_store *store, uint32_t seed);
/* The same on a port of one's choice; 0: any. */
void test_open_store_at(struct test_store *store, uint16_t port, uint32_t seed);
void test_close_store(struct test_store *store);

/* What the operator and the replicas write; `value` is plain text. */
void test_store_put(struct test_store *store, const char *key,
		    const char *value);
void test_store_remove(struct test_store *store, const char *key);

/* What a replica writes of itself; texts of NULL and slots of 0 have one. */
struct test_replica_entry {
	const char *id;
	const char *service;
	const char *address;
	const char *zone;
	uint32_t slots;
	bool draining;
	int64_t started_ms; /* 0: not told */
	uint32_t cold_ms;   /* it stays cold for that long */
};

/* The value of an entry, for g_free(). */
char *test_make_replica_entry(const struct test_replica_entry *entry);
/* As the replica writes it, under its key. */
void test_store_put_replica(struct test_store *store,
			    const struct test_replica_entry *entry);
/* Whether a watch waits that knows of everything. */
bool test_store_has_current_watch(const struct test_store *store);
/*
 * Forget all changes so far, and end the watches that wait.  One that is
 * opened just then hears nothing, and learns at its end that it came too late.
 */
void test_compact_store(struct test_store *store);
/* Connections end; `state` holds from then on. */
void test_store_set_state(struct test_store *store,
			  enum test_store_state state);

#endif
