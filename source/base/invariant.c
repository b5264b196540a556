/*
 * invariant.c - abort the process when an invariant is violated.
 */
#include "ragwort/invariant.h"

#include <stdio.h>
#include <stdlib.h>

void rr_fail_invariant(const char *name, const char *condition,
		       const char *file, int line)
{
	fprintf(stderr, "ragwort: invariant broken: %s: %s (%s:%d)\n", name,
		condition, file, line);
	fflush(stderr);
	abort();
}
