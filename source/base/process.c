/*
 * process.c - what this process uses of the machine, as gauges.
 */
#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

#include "ragwort/counters.h"

static uint64_t to_ms(const struct timeval *time)
{
	return (uint64_t)time->tv_sec * 1000 + (uint64_t)time->tv_usec / 1000;
}

/* The second number of statm, in pages; 0 where there is no such file. */
static uint64_t resident_bytes(void)
{
	FILE *file = fopen("/proc/self/statm", "re");
	char line[128] = "";
	char *end = line;

	if (!file)
		return 0;
	if (fgets(line, sizeof(line), file))
		g_ascii_strtoull(line, &end, 10);
	fclose(file);
	return g_ascii_strtoull(end, NULL, 10) *
	       (uint64_t)sysconf(_SC_PAGESIZE);
}

void rr_update_process_gauges(struct rr_context *ctx)
{
	struct rusage usage;

	if (!getrusage(RUSAGE_SELF, &usage))
		rr_set_gauge(ctx, RR_G_CPU_MS,
			     to_ms(&usage.ru_utime) + to_ms(&usage.ru_stime));
	rr_set_gauge(ctx, RR_G_RESIDENT_BYTES, resident_bytes());
}
