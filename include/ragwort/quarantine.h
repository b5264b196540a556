/*
 * quarantine.h - requests that crash the replicas that run them (queries of
 * death), as instances tell each other of them through the store.
 */
#ifndef RAGWORT_QUARANTINE_H
#define RAGWORT_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#include "ragwort/fingerprint.h"

/* Most replicas that an entry names. */
#define RR_QUARANTINE_MOST_CRASHED 4

struct rr_quarantine_entry {
	struct rr_fingerprint fingerprint;
	char **crashed; /* replicas' lifetimes; ends with NULL */
	/* It is kept from replicas; else one attempt at a time is sent. */
	bool in_force;
	uint32_t trials; /* canary requests that were let through since */
};

/* What an instance tells the others. */
struct rr_quarantine_report {
	const struct rr_quarantine_entry *entry;
	/* It ran to its end after all: the entry goes. */
	bool released;
	/*
	 * A trial is asked for: the entry is written only if nobody else has
	 * changed it, and the outcome is told.
	 */
	bool claim;
};

struct rr_quarantine_entry *
rr_copy_quarantine_entry(const struct rr_quarantine_entry *entry);
void rr_free_quarantine_entry(struct rr_quarantine_entry *entry);

#endif
