/*
 * soak-series.c - the series of faults, and what a failed run leaves behind: the
 * faults as they came, the gateways' logs, and for how long the machine stood
 * still.
 */
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

/* Period of the stall monitor; it counts only what exceeds it clearly. */
#define MONITOR_PERIOD_MS 20
#define MIN_STALL_MS 100

struct stall {
	int64_t end_us;
	uint32_t ms;
};

struct soak_stall_monitor {
	int64_t last_us;
	GArray *stalls; /* struct stall */
	guint timer;
};

/* The series. */

void soak_seed_draws(struct soak *soak, uint32_t seed)
{
	const guint32 seeds[] = { soak->options.seed, seed };

	g_rand_set_seed_array(soak->fault_rand, seeds, G_N_ELEMENTS(seeds));
}

void soak_start_draws(struct soak *soak)
{
	soak_seed_draws(soak, ++soak->n_series);
}

uint32_t soak_fault_below(struct soak *soak, uint32_t below)
{
	return below ? (uint32_t)g_rand_int_range(soak->fault_rand, 0,
						  (gint32)below) :
		       0;
}

bool soak_fault_chance(struct soak *soak, double share)
{
	return g_rand_double(soak->fault_rand) < share;
}

/* Logs. */

void soak_open_logs(struct soak *soak)
{
	char *file;

	soak->log_dir = soak->options.log_dir ?
				g_strdup(soak->options.log_dir) :
				g_dir_make_tmp("soak-XXXXXX", NULL);
	file = g_build_filename(soak->log_dir, "faults.log", NULL);
	soak->fault_log = fopen(file, "w");
	if (!soak->fault_log)
		g_error("cannot write %s", file);
	setvbuf(soak->fault_log, NULL, _IOLBF, 0);
	g_free(file);
}

void soak_log_fault(struct soak *soak, const char *format, ...)
{
	int64_t ms = (g_get_monotonic_time() - soak->started_us) / MS;
	char *text;
	va_list args;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	fprintf(soak->fault_log, "%3d.%03d s %s\n", (int)(ms / 1000),
		(int)(ms % 1000), text);
	g_free(text);
}

/* Print for how long a gateway's main loop stood still, by its own log. */
static void print_gateway_stalls(const char *file, const char *name)
{
	static const char event[] = "event=held-up";
	char *text;
	char *at;
	uint32_t n = 0;

	if (!g_file_get_contents(file, &text, NULL, NULL))
		return;
	for (at = text; (at = strstr(at, event)); at += sizeof(event))
		n++;
	at = g_strrstr(text, event);
	if (at)
		printf("soak: %s: held up %u times, last: %.*s\n", name, n,
		       (int)strcspn(at, "\n"), at);
	g_free(text);
}

static void list_logs(struct soak *soak, bool keep)
{
	GDir *dir = g_dir_open(soak->log_dir, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		char *file = g_build_filename(soak->log_dir, name, NULL);

		if (keep)
			print_gateway_stalls(file, name);
		else
			g_unlink(file);
		g_free(file);
	}
	if (dir)
		g_dir_close(dir);
	if (!keep)
		g_rmdir(soak->log_dir);
}

void soak_close_logs(struct soak *soak)
{
	if (soak->violations)
		printf("soak: seed=%u longest stall of the soak itself %u ms; "
		       "faults and logs of the gateways: %s\n",
		       soak->options.seed,
		       soak_longest_stall_ms(soak, soak->started_us),
		       soak->log_dir);
	fclose(soak->fault_log);
	if (soak->violations || !soak->options.log_dir)
		list_logs(soak, soak->violations > 0);
	g_free(soak->log_dir);
	if (soak->stalls) {
		g_source_remove(soak->stalls->timer);
		g_array_unref(soak->stalls->stalls);
		g_free(soak->stalls);
	}
}

/* Stalls. */

static gboolean check_stall(gpointer data)
{
	struct soak *soak = data;
	struct soak_stall_monitor *monitor = soak->stalls;
	int64_t now_us = g_get_monotonic_time();
	int64_t late_ms = (now_us - monitor->last_us) / MS - MONITOR_PERIOD_MS;
	struct stall stall = { now_us, (uint32_t)MAX(late_ms, 0) };

	monitor->last_us = now_us;
	if (late_ms < MIN_STALL_MS)
		return G_SOURCE_CONTINUE;
	g_array_append_val(monitor->stalls, stall);
	soak_log_fault(soak, "the soak itself stood still for %u ms", stall.ms);
	return G_SOURCE_CONTINUE;
}

void soak_monitor_stalls(struct soak *soak)
{
	soak->stalls = g_new0(struct soak_stall_monitor, 1);
	soak->stalls->last_us = g_get_monotonic_time();
	soak->stalls->stalls = g_array_new(FALSE, FALSE, sizeof(struct stall));
	soak->stalls->timer = g_timeout_add_full(
		G_PRIORITY_HIGH, MONITOR_PERIOD_MS, check_stall, soak, NULL);
}

uint32_t soak_longest_stall_ms(const struct soak *soak, int64_t since_us)
{
	uint32_t longest_ms = 0;

	for (guint i = 0; soak->stalls && i < soak->stalls->stalls->len; i++) {
		const struct stall *stall =
			&g_array_index(soak->stalls->stalls, struct stall, i);

		if (stall->end_us >= since_us)
			longest_ms = MAX(longest_ms, stall->ms);
	}
	return longest_ms;
}
