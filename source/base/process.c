/*
 * process.c - gauges of this process's processor time and memory.
 */
#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

#include "ragwort/counters.h"

static uint64_t timeval_to_ms(const struct timeval *time)
{
	return (uint64_t)time->tv_sec * 1000 + (uint64_t)time->tv_usec / 1000;
}

/*
 * Return the second number of /proc/self/statm, the resident size in pages, in
 * bytes; 0 if the file cannot be opened.
 */
static uint64_t resident_bytes(void)
{
	FILE *file = fopen("/proc/self/statm", "re");
	char line[128] = "";
	char *pages_text = line;

	if (!file)
		return 0;
	if (fgets(line, sizeof(line), file))
		g_ascii_strtoull(line, &pages_text, 10);
	fclose(file);
	return g_ascii_strtoull(pages_text, NULL, 10) *
	       (uint64_t)sysconf(_SC_PAGESIZE);
}

void rr_update_process_gauges(struct rr_context *ctx)
{
	struct rusage usage;

	if (!getrusage(RUSAGE_SELF, &usage))
		rr_set_gauge(ctx, RR_G_CPU_MS,
			     timeval_to_ms(&usage.ru_utime) +
				     timeval_to_ms(&usage.ru_stime));
	rr_set_gauge(ctx, RR_G_RESIDENT_BYTES, resident_bytes());
}
