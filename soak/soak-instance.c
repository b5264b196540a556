/*
 * soak-instance.c - start, reap and check the gateway processes.
 */
#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#include "soak.h"
#include "support/port.h"
#include "support/tool-run.h"

/* Number of instances in seed_peers. */
#define N_SEED_PEERS 3

static uint16_t get_peer_port(const struct soak *soak, uint32_t number)
{
	const struct soak_instance *instance =
		g_ptr_array_index(soak->instances, number);

	return instance->peer_port;
}

static char *make_start_config(const struct soak_instance *instance)
{
	const struct soak *soak = instance->soak;
	GString *text = g_string_new(NULL);

	g_string_append_printf(
		text,
		"instance: %s\nzone: z%u\ncaller_address: \"127.0.0.1:%u\"\n"
		"ready_address: \"127.0.0.1:%u\"\n"
		"peer_address: \"127.0.0.1:%u\"\n"
		"store_address: \"127.0.0.1:%u\"\n"
		"strength: %s\nextra_share: 0.2\nextra_slack: 100\n"
		"cold_overage: %g\ncold_slack: %d\n"
		"news_bound_ms: 3000\nstop_timeout_s: 6\nseed_peers: [",
		instance->name, instance->number % ZONES, instance->port,
		instance->ready_port, instance->peer_port,
		soak_link_port(instance->store_link),
		instance->number < ZONES ? "0.5" : "0.2", COLD_OVERAGE,
		COLD_SLACK);
	for (uint32_t i = 0; i < MIN(N_SEED_PEERS, soak->instances->len); i++)
		g_string_append_printf(text, "%s\"127.0.0.1:%u\"",
				       i ? ", " : "", get_peer_port(soak, i));
	g_string_append(text, "]\nlog: {level: info}\n");
	return g_string_free(text, FALSE);
}

struct soak_instance *soak_new_instance(struct soak *soak, uint32_t number)
{
	struct soak_instance *instance = g_new0(struct soak_instance, 1);

	instance->soak = soak;
	instance->number = number;
	instance->name = g_strdup_printf("gw-%u", number);
	instance->port = test_reserve_port();
	instance->ready_port = test_reserve_port();
	instance->peer_port = test_reserve_port();
	instance->store_link = soak_new_link(soak, soak->store.server.port);
	return instance;
}

void soak_start_instance(struct soak_instance *instance)
{
	const char *arguments[] = { "--settings", NULL, NULL };
	char *log_file =
		g_strdup_printf("%s/%s-%u.log", instance->soak->log_dir,
				instance->name, instance->n_starts++);

	if (!instance->settings_file) {
		char *text = make_start_config(instance);

		instance->settings_file = test_write_temp_file(text);
		g_free(text);
	}
	arguments[1] = instance->settings_file;
	instance->process = test_start_logged_process("ragwort-gateway",
						      arguments, log_file);
	instance->started_us = g_get_monotonic_time();
	instance->last_signal = 0;
	instance->stop_requested_us = 0;
	instance->frozen = false;
	instance->killed = false;
	instance->last_fault_us = g_get_monotonic_time();
	g_free(log_file);
}

/* Check without reaping: test_drop_process() does that. */
static bool get_exit(const struct soak_instance *instance, siginfo_t *info)
{
	memset(info, 0, sizeof(*info));
	return waitid(P_PID, (id_t)instance->process->pid, info,
		      WEXITED | WNOHANG | WNOWAIT) < 0 ||
	       info->si_pid;
}

static bool has_exited(const struct soak_instance *instance)
{
	siginfo_t info;

	return get_exit(instance, &info);
}

void soak_signal_instance(struct soak_instance *instance, int number)
{
	instance->last_signal = number;
	instance->last_signal_us = g_get_monotonic_time();
	test_signal_process(instance->process, number);
}

/*
 * Return how a process ended, "signal 1" or "code 2"; free it with g_free().
 * GLib may have reaped it already.
 */
static char *describe_exit(const struct soak_instance *instance,
			   const siginfo_t *info)
{
	GSubprocess *handle = instance->process->handle;

	if (info->si_pid)
		return g_strdup_printf("%s %d",
				       info->si_code == CLD_EXITED ? "code" :
								     "signal",
				       info->si_status);
	if (g_subprocess_get_identifier(handle))
		return g_strdup("unknown");
	if (g_subprocess_get_if_signaled(handle))
		return g_strdup_printf("signal %d",
				       g_subprocess_get_term_sig(handle));
	return g_strdup_printf("code %d", g_subprocess_get_exit_status(handle));
}

/* Report how a process ended, which its own log does not contain. */
static void report_exit(struct soak_instance *instance, const siginfo_t *info)
{
	char *end = describe_exit(instance, info);

	soak_report_violation(
		instance->soak, "ENDED",
		"%s exited unexpectedly, %s, started %d ms ago, last signal "
		"%d, sent %d us after its start",
		instance->name, end,
		(int)((g_get_monotonic_time() - instance->started_us) / MS),
		instance->last_signal,
		instance->last_signal ?
			(int)(instance->last_signal_us - instance->started_us) :
			0);
	g_free(end);
}

void soak_check_instance_alive(struct soak_instance *instance)
{
	siginfo_t info;

	if (instance->process && !instance->killed &&
	    !instance->stop_requested_us && get_exit(instance, &info))
		report_exit(instance, &info);
}

bool soak_reap_instance(struct soak_instance *instance)
{
	if (!instance->process)
		return true;
	if (!has_exited(instance))
		return false;
	test_drop_process(instance->process);
	instance->process = NULL;
	return true;
}

void soak_drop_instance(struct soak_instance *instance)
{
	if (instance->process)
		test_drop_process(instance->process);
	if (instance->settings_file)
		test_remove_temp_file(instance->settings_file);
	soak_drop_link(instance->store_link);
	g_free(instance->name);
	g_free(instance);
}
