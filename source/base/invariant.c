/*
 * invariant.c - stop the process on a broken promise.
 */
#include "ragwort/invariant.h"

#include <stdio.h>
#include <stdlib.h>

void rr_fail_invariant(const char *promise, const char *condition,
		       const char *file, int line)
{
	fprintf(stderr, "ragwort: invariant broken: %s: %s (%s:%d)\n", promise,
		condition, file, line);
	fflush(stderr);
	abort();
}
