/*
 * gate-names.h - names of headers and paths that a platform chooses, handed
 * to the adapters, which know none of their own.
 */
#ifndef RAGWORT_GATE_NAMES_H
#define RAGWORT_GATE_NAMES_H

struct rr_gate_load;

struct rr_gate_names {
	const char *request_id; /* of one attempt of a caller */
	const char *deadline;	/* milliseconds that are left */
	const char *signature;	/* a replica's signature of its answer */
	const char
		*expect_incarnation; /* the lifetime a request is meant for */
	const char *not_run; /* proof of a replica that it did not run */
	const char *part_signatures; /* signatures of a gathered answer */
	const char *missing_parts;
	const char *load;	/* of a replica, in its answers */
	const char *ready_path; /* of the question whether callers may come */
};

#endif
