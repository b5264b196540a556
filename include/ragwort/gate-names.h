/*
 * gate-names.h - names of headers and paths that a platform defines.
 *
 * They are passed to the adapters, which define none themselves.
 */
#ifndef RAGWORT_GATE_NAMES_H
#define RAGWORT_GATE_NAMES_H

struct rr_gate_load;

struct rr_gate_names {
	const char *request_id; /* id of one attempt of a caller */
	const char *deadline;	/* remaining time in milliseconds */
	const char *signature;	/* a replica's signature of its answer */
	const char
		*expect_incarnation; /* the incarnation that a request is for */
	const char *not_run; /* a replica's proof that a request did not run */
	const char *part_signatures; /* signatures of a merged answer */
	const char *missing_parts;
	const char *load;	 /* a replica's load, in its answers */
	const char *ready_path;	 /* path of the readiness check */
	const char *store_era;	 /* the store's era, in its answers */
	const char *account_key; /* key of a client account, from callers */
	const char *account;	 /* name of that account, to replicas */
};

#endif
