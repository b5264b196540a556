/*
 * quarantine.h - table of queries of death.
 *
 * Every request that runs at a replica when it crashes is suspected.  A
 * request is quarantined once several replicas have crashed while running it,
 * at least one of them on an attempt that was sent after an earlier crash.
 * Requests that completed recently are not suspected.
 *
 * Performs no input or output.  Times are microseconds of a monotonic clock.
 */
#ifndef RAGWORT_CORE_QUARANTINE_H
#define RAGWORT_CORE_QUARANTINE_H

#include <glib.h>

#include "ragwort/quarantine.h"

struct rr_quarantine_record {
	struct rr_fingerprint fingerprint;
	/* Incarnations of replicas, NULL-terminated. */
	char *crashed[RR_QUARANTINE_MAX_CRASHED + 1];
	guint n_crashed; /* length of crashed[] */
	/* A replica crashed on an attempt sent after an earlier crash. */
	bool crash_repeated;
	bool quarantined;
	uint32_t trials; /* number of trials that any instance has sent */
	int64_t first_crash_us; /* when the first crash became known here */
	int64_t next_trial_us;	/* quarantined: earliest time of a trial */
	uint64_t
		claimant_id; /* id of the request that waits for a claim; 0: none */
	guint n_published; /* entries of crashed[] that were published */
	bool quarantine_published; /* `quarantined` was published */
	bool maybe_stored;	   /* the store may hold an entry */
};

struct rr_quarantine_options {
	uint32_t
		crash_threshold; /* number of crashed replicas needed to quarantine */
	int64_t hold_us; /* time until the first trial; quadruples with each trial */
	int64_t harmless_us; /* how long a completed attempt protects a request */
};

struct rr_quarantine;

/* Return an empty table, to be freed with rr_drop_quarantine(). */
struct rr_quarantine *
rr_new_quarantine(const struct rr_quarantine_options *options);
void rr_drop_quarantine(struct rr_quarantine *quarantine);

/*
 * Return a record, or NULL if absent.  Owned by the table, and valid until the
 * next call that adds a record.
 */
struct rr_quarantine_record *
rr_find_quarantine_record(const struct rr_quarantine *quarantine,
			  const struct rr_fingerprint *fingerprint);
/* Whether no request is suspected or quarantined. */
bool rr_quarantine_is_empty(const struct rr_quarantine *quarantine);
/* Return the number of quarantined requests. */
uint32_t rr_count_quarantined(const struct rr_quarantine *quarantine);

/* An attempt during which its replica crashed. */
struct rr_crash {
	struct rr_fingerprint fingerprint;
	int64_t sent_us;
	int64_t closed_us;
};

/*
 * Add a crash of a replica.  Return the record of the request, or NULL if the
 * crash is ignored, since the request completed recently or the crash of this
 * incarnation was added before.
 */
struct rr_quarantine_record *rr_add_crash(struct rr_quarantine *quarantine,
					  int64_t now_us,
					  const struct rr_crash *crash,
					  const char *incarnation);
/* Merge an entry of the store.  Return the record of its request. */
struct rr_quarantine_record *
rr_merge_quarantine_entry(struct rr_quarantine *quarantine, int64_t now_us,
			  const struct rr_quarantine_entry *entry);
/*
 * Quarantine a request if its crashes suffice.  Return false if they do not, or
 * if it was quarantined before.
 */
bool rr_quarantine_if_confirmed(struct rr_quarantine *quarantine,
				int64_t now_us,
				struct rr_quarantine_record *record);
/* Raise the number of trials that any instance has sent. */
void rr_raise_trial_count(const struct rr_quarantine *quarantine,
			  int64_t now_us, struct rr_quarantine_record *record,
			  uint32_t trials);
/* Remove a record, if there is one. */
void rr_remove_quarantine_record(struct rr_quarantine *quarantine,
				 const struct rr_fingerprint *fingerprint);

/* Record that a replica completed the request. */
void rr_mark_harmless(struct rr_quarantine *quarantine, int64_t now_us,
		      const struct rr_fingerprint *fingerprint);
/* Whether a replica completed the request recently. */
bool rr_is_harmless(const struct rr_quarantine *quarantine, int64_t now_us,
		    const struct rr_fingerprint *fingerprint);

/* Return a record as a store entry.  Valid until the record changes. */
struct rr_quarantine_entry
rr_make_quarantine_entry(const struct rr_quarantine_record *record);

#endif
