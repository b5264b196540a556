/*
 * quarantine.h - what an instance knows of requests that crash replicas.
 *
 * A replica that crashes takes along all that it runs: a request is suspected
 * if it ran at one that crashed, and in quarantine once enough replicas have
 * crashed under it, one of them on an attempt that was sent after an earlier
 * crash.  One that ran to its end a moment ago is neither.
 *
 * No input or output; times are microseconds of a monotonic clock.
 */
#ifndef RAGWORT_CORE_QUARANTINE_H
#define RAGWORT_CORE_QUARANTINE_H

#include <glib.h>

#include "ragwort/quarantine.h"

struct rr_quarantine_record {
	struct rr_fingerprint fingerprint;
	/* Lifetimes of replicas; ends with NULL. */
	char *crashed[RR_QUARANTINE_MOST_CRASHED + 1];
	guint n_crashed;
	/* One of them crashed on an attempt sent after an earlier crash. */
	bool repeated;
	bool in_force;
	uint32_t trials;
	int64_t since_us;    /* when the first crash was known here */
	int64_t retry_us;    /* in force: no trial before */
	uint64_t claiming;   /* the request that waits for a trial; 0: none */
	guint n_reported;    /* of the crashed, that the others know */
	bool force_reported; /* they know that it is in force */
	bool stored;	     /* others may hold an entry of it */
};

struct rr_quarantine_options {
	uint32_t crashes;    /* replicas that put it into force */
	int64_t hold_us;     /* until the first trial; four times that each */
	int64_t harmless_us; /* how long a run to the end is proof */
};

struct rr_quarantine;

struct rr_quarantine *
rr_new_quarantine(const struct rr_quarantine_options *options);
void rr_drop_quarantine(struct rr_quarantine *quarantine);

/* NULL if nothing is known of it.  Valid until the next call that adds one. */
struct rr_quarantine_record *
rr_find_quarantined(const struct rr_quarantine *quarantine,
		    const struct rr_fingerprint *fingerprint);
bool rr_quarantine_is_empty(const struct rr_quarantine *quarantine);
/* Records in force. */
uint32_t rr_count_quarantined(const struct rr_quarantine *quarantine);

/* A replica crashed under an attempt that was sent and closed at these times. */
struct rr_crash {
	struct rr_fingerprint fingerprint;
	int64_t sent_us;
	int64_t closed_us;
};

/*
 * Note it.  NULL if it counts for nothing: the request is harmless, or the
 * crash is known.
 */
struct rr_quarantine_record *rr_note_crash(struct rr_quarantine *quarantine,
					   int64_t now_us,
					   const struct rr_crash *crash,
					   const char *lifetime);
/* What another instance knows is added. */
struct rr_quarantine_record *
rr_merge_quarantine(struct rr_quarantine *quarantine, int64_t now_us,
		    const struct rr_quarantine_entry *entry);
/* Put it into force if there is reason to; true if it was not before. */
bool rr_enforce_quarantine(struct rr_quarantine *quarantine, int64_t now_us,
			   struct rr_quarantine_record *record);
/* One more trial was let through, by this instance or another. */
void rr_count_trials(const struct rr_quarantine *quarantine, int64_t now_us,
		     struct rr_quarantine_record *record, uint32_t trials);
void rr_forget_quarantined(struct rr_quarantine *quarantine,
			   const struct rr_fingerprint *fingerprint);

/* It ran to its end. */
void rr_note_harmless(struct rr_quarantine *quarantine, int64_t now_us,
		      const struct rr_fingerprint *fingerprint);
bool rr_is_harmless(const struct rr_quarantine *quarantine, int64_t now_us,
		    const struct rr_fingerprint *fingerprint);

/* As it is told to others; valid until the record changes. */
struct rr_quarantine_entry
rr_entry_of_record(const struct rr_quarantine_record *record);

#endif
