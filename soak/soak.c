/*
 * soak.c - start the deployment, inject faults, wait for recovery and report.
 */
#include "soak.h"

#include <argtable2.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Time between random faults, and between planned changes. */
#define MIN_GAP_MS 60
#define MAX_GAP_MS 400
#define PLANNED_GAP_MS 700
#define RANDOM_FAULTS_MS 8000
#define PLANNED_MS 9000
/* Longer than any fault, and than FAULT_FREE_US. */
#define QUIET_MS 8000
/* Time without faults that the rules with time limits require. */
#define FAULT_FREE_US (4000 * MS)
/* Time limit for searches to succeed again, also on a slow machine. */
#define RECOVERY_LIMIT_MS 60000
#define REPLICAS_PER_SINGLE_SERVICE 3
/* The first ones show the fault; the total is reported at the end. */
#define MAX_PRINTED_VIOLATIONS 20

void soak_report_violation(struct soak *soak, const char *rule,
			   const char *format, ...)
{
	char *text;
	va_list args;

	if (soak->violations++ >= MAX_PRINTED_VIOLATIONS)
		return;
	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	printf("soak: seed=%u broken %s: %s (longest stall of the soak in 10 s: "
	       "%u ms)\n",
	       soak->options.seed, rule, text,
	       soak_longest_stall_ms(soak,
				     g_get_monotonic_time() - 10000 * MS));
	soak_log_fault(soak, "broken %s: %s", rule, text);
	g_free(text);
}

uint32_t soak_random_below(struct soak *soak, uint32_t below)
{
	return below ? (uint32_t)g_rand_int_range(soak->rand, 0,
						  (gint32)below) :
		       0;
}

bool soak_chance(struct soak *soak, double share)
{
	return g_rand_double(soak->rand) < share;
}

bool soak_is_fault_free_since(const struct soak *soak,
			      const struct soak_instance *instance,
			      int64_t since_us)
{
	int64_t from_us = since_us - FAULT_FREE_US;

	if (soak->last_fault_us > from_us)
		return false;
	if (instance)
		return instance->last_fault_us <= from_us;
	for (guint i = 0; i < soak->instances->len; i++) {
		const struct soak_instance *other =
			g_ptr_array_index(soak->instances, i);

		if (other->last_fault_us > from_us || other->frozen ||
		    !other->process)
			return false;
	}
	return true;
}

static void free_request(gpointer data)
{
	struct soak_request *request = data;

	g_free(request->id);
	g_free(request);
}

static void add_replicas(struct soak *soak, const char *service, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		struct soak_replica *replica = soak_new_replica(
			soak, service, (soak->replicas->len + i) % ZONES);

		g_ptr_array_add(soak->replicas, replica);
		soak_register_replica(replica);
	}
}

static void start_deployment(struct soak *soak)
{
	char name[4];

	test_open_store(&soak->store, soak->options.seed);
	for (int i = 0; i < 2 * SHARDS; i++) {
		g_snprintf(name, sizeof(name), "%c%d", i < SHARDS ? 's' : 't',
			   i % SHARDS);
		add_replicas(soak, name, 2);
	}
	add_replicas(soak, "a1", REPLICAS_PER_SINGLE_SERVICE);
	add_replicas(soak, "b1", REPLICAS_PER_SINGLE_SERVICE);
	soak_write_config(soak);
	for (uint32_t i = 0; i < soak->options.instances; i++)
		g_ptr_array_add(soak->instances, soak_new_instance(soak, i));
	for (uint32_t i = 0; i < soak->options.instances; i++)
		soak_start_instance(g_ptr_array_index(soak->instances, i));
}

static void start_callers(struct soak *soak)
{
	for (uint32_t i = 0;
	     i < soak->options.instances * soak->options.callers; i++)
		g_ptr_array_add(
			soak->callers,
			soak_new_caller(soak, i % soak->options.instances));
}

static gboolean set_flag(gpointer data)
{
	*(bool *)data = true;
	return G_SOURCE_REMOVE;
}

static void run_for(uint32_t ms)
{
	bool done = false;

	g_timeout_add(ms, set_flag, &done);
	while (!done)
		g_main_context_iteration(NULL, TRUE);
}

/* Wait for `n` more complete answers; return false on timeout. */
static bool wait_for_complete_answers(struct soak *soak, uint32_t n)
{
	uint32_t wanted = soak->complete + n;

	for (int ms = 0; ms < RECOVERY_LIMIT_MS && soak->complete < wanted;
	     ms += MIN_GAP_MS)
		run_for(MIN_GAP_MS);
	return soak->complete >= wanted;
}

/*
 * Report that this program has used up its descriptors: what callers see after
 * that says nothing of the gateways.
 */
static void check_descriptors(struct soak *soak)
{
	uint32_t n_failed = soak_count_failed_connections(soak->link_hosts);
	int fd = dup(STDIN_FILENO);

	if (fd >= 0)
		close(fd);
	if ((fd >= 0 && !n_failed) || soak->lacks_descriptors)
		return;
	soak->lacks_descriptors = true;
	soak_report_violation(
		soak, "DESCRIPTORS", "%s, %u connections of links failed",
		fd < 0 ? "none left" : "too few for the links", n_failed);
}

static void check_instances(struct soak *soak)
{
	check_descriptors(soak);
	for (guint i = 0; i < soak->instances->len; i++)
		soak_check_instance_alive(
			g_ptr_array_index(soak->instances, i));
}

static void run_phase(struct soak *soak, enum soak_phase phase,
		      uint32_t phase_ms, uint32_t max_gap_ms)
{
	int64_t start_us = g_get_monotonic_time();
	uint32_t planned_ms = 0;

	while (planned_ms < phase_ms && !soak->violations) {
		int64_t late_ms;

		check_instances(soak);
		soak_start_draws(soak);
		planned_ms += MIN_GAP_MS +
			      soak_fault_below(soak, max_gap_ms - MIN_GAP_MS);
		soak_inject_fault(soak, phase);
		late_ms = (g_get_monotonic_time() - start_us) / MS;
		run_for((uint32_t)MAX((int64_t)planned_ms - late_ms, 1));
	}
}

/*
 * Run phases of random faults, each followed by a recovery and a phase of
 * planned changes.  The rules with time limits apply only to the latter.
 */
static void run_faults(struct soak *soak)
{
	int64_t end_us = g_get_monotonic_time() +
			 (int64_t)soak->options.seconds * 1000 * MS;

	while (g_get_monotonic_time() < end_us && !soak->violations) {
		run_phase(soak, SOAK_RANDOM_FAULTS, RANDOM_FAULTS_MS,
			  MAX_GAP_MS);
		soak_clear_faults(soak);
		run_for(QUIET_MS);
		soak_start_draws(soak);
		run_phase(soak,
			  SOAK_INSTANCE_STOPS +
				  soak_fault_below(soak,
						   SOAK_N_PHASES -
							   SOAK_INSTANCE_STOPS),
			  PLANNED_MS, PLANNED_GAP_MS);
	}
}

static void free_all(struct soak *soak)
{
	for (guint i = 0; i < soak->callers->len; i++)
		soak_drop_caller(g_ptr_array_index(soak->callers, i));
	for (guint i = 0; i < soak->instances->len; i++)
		soak_drop_instance(g_ptr_array_index(soak->instances, i));
	for (guint i = 0; i < soak->replicas->len; i++)
		soak_drop_replica(g_ptr_array_index(soak->replicas, i));
	test_close_store(&soak->store);
	g_free(soak->config_text);
	g_hash_table_unref(soak->requests);
	g_hash_table_unref(soak->queries_of_death);
	g_ptr_array_unref(soak->callers);
	g_ptr_array_unref(soak->instances);
	g_ptr_array_unref(soak->replicas);
	g_rand_free(soak->rand);
	g_rand_free(soak->fault_rand);
	soak_stop_link_hosts(soak->link_hosts);
}

static int run(const struct soak_options *options)
{
	struct soak soak = {
		.options = *options,
		.rand = g_rand_new_with_seed(options->seed),
		.fault_rand = g_rand_new_with_seed(options->seed),
		.started_us = g_get_monotonic_time(),
		.replicas = g_ptr_array_new(),
		.instances = g_ptr_array_new(),
		.callers = g_ptr_array_new(),
		.requests = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  free_request),
		.queries_of_death = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, g_free),
	};

	/* Before the first thread of this program. */
	soak.link_hosts = soak_start_link_hosts(options->instances);
	soak_open_logs(&soak);
	soak_monitor_stalls(&soak);
	start_deployment(&soak);
	start_callers(&soak);
	if (!wait_for_complete_answers(&soak, options->instances))
		soak_report_violation(&soak, "RECOVER",
				      "no service after the start");
	run_faults(&soak);
	soak_clear_faults(&soak);
	/* Let the timers of faults expire and processes restart. */
	run_for(QUIET_MS);
	check_instances(&soak);
	if (!wait_for_complete_answers(&soak, 10 * options->instances))
		soak_report_violation(&soak, "RECOVER",
				      "no service after the faults");
	printf("soak: seed=%u %s faults=%u requests=%u whole=%u partial=%u "
	       "refused=%u unknown=%u cut=%u runs=%u crashes=%u "
	       "restores=%u violations=%u\n",
	       options->seed, soak.violations ? "FAILED" : "ok", soak.n_faults,
	       (unsigned int)g_hash_table_size(soak.requests), soak.complete,
	       soak.partial, soak.rejected, soak.unknown_outcome,
	       soak.unanswered, soak.executions, soak.crashes, soak.n_restores,
	       soak.violations);
	soak_close_logs(&soak);
	fflush(stdout);
	free_all(&soak);
	return soak.violations ? 1 : 0;
}

int main(int argc, char **argv)
{
	struct arg_int *seed =
		arg_int0(NULL, "seed", "N", "random seed, default 1");
	struct arg_int *seconds = arg_int0(
		NULL, "seconds", "N", "duration of the faults, default 30");
	struct arg_int *instances = arg_int0(NULL, "instances", "N",
					     "number of gateways, default 6");
	struct arg_int *callers = arg_int0(NULL, "callers", "N",
					   "callers per gateway, default 4");
	struct arg_lit *timing =
		arg_lit0(NULL, "timing", "also check time limits");
	struct arg_str *logs =
		arg_str0(NULL, "logs", "DIR",
			 "write the logs of faults and gateways to this "
			 "directory; without it, only a failed run keeps them");
	struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
	struct arg_end *end = arg_end(10);
	void *table[] = { seed,	  seconds, instances, callers,
			  timing, logs,	   help,      end };
	struct soak_options options = {
		.seed = 1, .seconds = 30, .instances = 6, .callers = 4
	};
	int n_errors = arg_parse(argc, argv, table);
	int exit_code = 0;

	if (help->count || n_errors) {
		arg_print_errors(stderr, end, "soak");
		printf("Usage: soak");
		arg_print_syntax(stdout, table, "\n\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		exit_code = n_errors ? 2 : 0;
	} else {
		options.seed = seed->count ? (uint32_t)*seed->ival : 1;
		options.seconds =
			seconds->count ? (uint32_t)*seconds->ival : 30;
		options.instances =
			instances->count ? (uint32_t)*instances->ival : 6;
		options.callers = callers->count ? (uint32_t)*callers->ival : 4;
		options.check_timing = timing->count > 0;
		options.log_dir = logs->count ? *logs->sval : NULL;
		/* Line-buffered: keeps the output if this is killed. */
		setvbuf(stdout, NULL, _IOLBF, 0);
		printf("soak: seed=%u begins\n", options.seed);
		exit_code = run(&options);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return exit_code;
}
