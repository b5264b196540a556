/*
 * quarantine.h - queries of death: requests that crash the replicas that run
 * them, as instances share them through the store.
 */
#ifndef RAGWORT_QUARANTINE_H
#define RAGWORT_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#include "ragwort/fingerprint.h"

/* Maximum number of replicas listed in an entry. */
#define RR_QUARANTINE_MAX_CRASHED 4

struct rr_quarantine_entry {
	struct rr_fingerprint fingerprint;
	char **crashed; /* lifetimes of replicas, NULL-terminated */
	/* Quarantined: not sent to replicas.  Otherwise only suspected. */
	bool quarantined;
	uint32_t trials; /* canary requests sent while quarantined */
};

/* An update of an entry. */
struct rr_quarantine_report {
	const struct rr_quarantine_entry *entry;
	/* Remove the entry: a replica has completed the request. */
	bool released;
	/*
	 * Claim a trial: write the entry only if it is unchanged in the store,
	 * and report whether it was written.
	 */
	bool claim;
};

struct rr_quarantine_entry *
rr_copy_quarantine_entry(const struct rr_quarantine_entry *entry);
void rr_free_quarantine_entry(struct rr_quarantine_entry *entry);

#endif
