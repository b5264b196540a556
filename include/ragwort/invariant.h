/*
 * invariant.h - checks that abort the process when an invariant is violated.
 *
 * Unlike assert(), they are compiled into every build.  All other failures are
 * returned as values.
 */
#ifndef RAGWORT_INVARIANT_H
#define RAGWORT_INVARIANT_H

/*
 * Abort if the condition is false, after writing the invariant's name, the
 * condition, file and line to stderr.  `name` is one of the names in
 * docs/PROOFS.md, such as "one-snapshot".
 */
#define rr_invariant(name, condition)                                   \
	do {                                                            \
		if (!(condition))                                       \
			rr_fail_invariant((name), #condition, __FILE__, \
					  __LINE__);                    \
	} while (0)

__attribute__((noreturn)) void rr_fail_invariant(const char *name,
						 const char *condition,
						 const char *file, int line);

#endif
