/*
 * invariant.h - checks that stop the process when a promise is broken.
 *
 * Compiled into every build.  All other failures are values.
 */
#ifndef RAGWORT_INVARIANT_H
#define RAGWORT_INVARIANT_H

/*
 * Abort with file, line, the promise and the condition when the condition
 * does not hold.  The promise is one of the names in docs/PROOFS.md, such as
 * "one-snapshot".
 */
#define rr_invariant(promise, condition)                                   \
	do {                                                               \
		if (!(condition))                                          \
			rr_fail_invariant((promise), #condition, __FILE__, \
					  __LINE__);                       \
	} while (0)

__attribute__((noreturn)) void rr_fail_invariant(const char *promise,
						 const char *condition,
						 const char *file, int line);

#endif
