/*
 * quarantine.h - entries of the store for queries of death.
 *
 * A query of death is a request that crashes the replicas that run it.
 * Instances share what they know of such requests through the store.
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
	char **crashed; /* incarnations of replicas, NULL-terminated */
	/* Not sent to replicas, except for trials; false: only suspected. */
	bool quarantined;
	uint32_t trials; /* number of canary requests sent while quarantined */
};

/* An update of an entry. */
struct rr_quarantine_report {
	const struct rr_quarantine_entry *entry;
	/* Remove the entry, as a replica has completed the request. */
	bool released;
	/*
	 * Claim a trial: write the entry only if it is unchanged in the store,
	 * and report whether it was written.
	 */
	bool claim;
};

/* Return a deep copy, to be freed with rr_free_quarantine_entry(). */
struct rr_quarantine_entry *
rr_copy_quarantine_entry(const struct rr_quarantine_entry *entry);
/* Free an entry and its list of replicas.  NULL is ignored. */
void rr_free_quarantine_entry(struct rr_quarantine_entry *entry);

#endif
