/*
 * bench.c - `ragwort bench`: open-loop load on running instances.
 */
#include <stdio.h>

#include "tool/credentials.h"
#include "tool/bench-load.h"
#include "tool/bench-scrape.h"
#include "tool/bench-report.h"
#include "tool/bench-scenario.h"
#include "tool/tool.h"

struct bench_arguments {
	struct arg_str *instances;
	struct arg_file *scenario;
	struct arg_str *control_addresses;
	struct arg_lit *json;
	struct arg_file *plot;
	struct rr_credential_arguments credential_options;
	struct rr_common_arguments common;
};

/* Addresses, and the counters scraped at both ends of the measurement. */
struct bench_run {
	char **instances;
	char **control_addresses;
	struct rr_credentials credentials;
	struct rr_bench_scrape *before;
	struct rr_bench_scrape *after;
};

static void scrape_before(void *data)
{
	struct bench_run *run = data;

	run->before = rr_scrape_bench_metrics(
		run->instances, run->control_addresses, &run->credentials);
}

static void scrape_after(void *data)
{
	struct bench_run *run = data;

	run->after = rr_scrape_bench_metrics(
		run->instances, run->control_addresses, &run->credentials);
}

static struct rr_bench_scenario *read_scenario(const struct rr_command *command,
					       const char *name)
{
	struct rr_settings_source file = { .file = name };
	struct rr_bench_scenario *scenario;
	GPtrArray *diagnostics;
	char *text;

	if (!rr_read_file(command, name, &text, &file.length))
		return NULL;
	file.text = text;
	diagnostics = rr_new_diagnostics();
	scenario = rr_parse_bench_scenario(&file, diagnostics);
	rr_print_diagnostics(diagnostics);
	g_ptr_array_unref(diagnostics);
	g_free(text);
	return scenario;
}

static bool write_plot(const struct rr_command *command, const char *name,
		       const struct rr_bench_result *result)
{
	struct rr_bench_histogram *total = g_new0(struct rr_bench_histogram, 1);
	GString *svg = g_string_new(NULL);
	GError *error = NULL;
	bool ok;

	for (size_t i = 0; i < result->scenario->n_entries; i++)
		rr_merge_bench_histogram(total, &result->stats[i].latencies);
	rr_format_bench_plot(total, "ragwort bench", svg);
	ok = g_file_set_contents(name, svg->str, (gssize)svg->len, &error);
	if (!ok)
		rr_print_message(command, "--plot: %s", error->message);
	g_clear_error(&error);
	g_string_free(svg, TRUE);
	g_free(total);
	return ok;
}

static bool has_answer(const struct rr_bench_result *result)
{
	for (size_t i = 0; i < result->scenario->n_entries; i++) {
		for (int j = 0; j < RR_BENCH_NO_ANSWER; j++) {
			if (result->stats[i].outcome_counts[j])
				return true;
		}
	}
	return false;
}

static int report(const struct rr_command *command,
		  const struct bench_arguments *arguments,
		  const struct rr_bench_result *result)
{
	if (arguments->json->count)
		rr_print_bench_json(result);
	else
		rr_print_bench_tables(result);
	if (arguments->plot->count &&
	    !write_plot(command, arguments->plot->filename[0], result))
		return RR_EXIT_FAILED;
	if (has_answer(result))
		return RR_EXIT_OK;
	rr_print_message(command, "no instance answered a request");
	return RR_EXIT_UNREACHABLE;
}

static int run_load(const struct rr_command *command,
		    const struct bench_arguments *arguments,
		    struct bench_run *run)
{
	struct rr_bench_scenario *scenario =
		read_scenario(command, arguments->scenario->filename[0]);
	struct rr_bench_load load = { .scenario = scenario,
				      .addresses = run->instances,
				      .credentials = &run->credentials,
				      .measurement_started = scrape_before,
				      .measurement_ended = scrape_after,
				      .data = run };
	struct rr_bench_stats *stats;
	int code;

	if (!scenario)
		return RR_EXIT_USAGE;
	stats = rr_run_bench_load(&load);
	code = report(command, arguments,
		      &(struct rr_bench_result){ .scenario = scenario,
						 .stats = stats,
						 .before = run->before,
						 .after = run->after });
	g_free(stats);
	rr_drop_bench_scenario(scenario);
	return code;
}

static int start_bench(const struct rr_command *command,
		       const struct bench_arguments *arguments)
{
	struct bench_run run = { .instances = NULL };
	int code = RR_EXIT_USAGE;

	if (!rr_load_credentials(command, &arguments->credential_options,
				 &run.credentials))
		return code;
	run.instances =
		rr_parse_address_list(command, arguments->instances->sval[0]);
	if (arguments->control_addresses->count)
		run.control_addresses = rr_parse_address_list(
			command, arguments->control_addresses->sval[0]);
	else
		run.control_addresses = g_new0(char *, 1);
	if (run.instances && run.control_addresses)
		code = run_load(command, arguments, &run);
	rr_drop_bench_scrape(run.before);
	rr_drop_bench_scrape(run.after);
	g_strfreev(run.instances);
	g_strfreev(run.control_addresses);
	rr_clear_credentials(&run.credentials);
	return code;
}

int rr_run_bench(const struct rr_command *command, int argc, char **argv)
{
	struct bench_arguments arguments = {
		.instances = arg_str1(NULL, "instances", "IP:PORT,...",
				      "instances, used round-robin"),
		.scenario = arg_file1(NULL, "scenario", "FILE",
				      "requests and their rates (YAML)"),
		.control_addresses =
			arg_str0(NULL, "upstream-control", "IP:PORT,...",
				 "control addresses of upstream "
				 "stand-ins, for their counters"),
		.json = arg_lit0(NULL, "json", "print JSON lines"),
		.plot = arg_file0(NULL, "plot", "FILE",
				  "write the latency distribution as SVG"),
		.credential_options = rr_new_credential_arguments(),
		.common = rr_new_common_arguments(),
	};
	void *table[] = { arguments.instances,
			  arguments.scenario,
			  arguments.control_addresses,
			  arguments.json,
			  arguments.plot,
			  arguments.credential_options.token_file,
			  arguments.credential_options.ca_file,
			  arguments.common.help,
			  arguments.common.end };
	int code;

	if (rr_parse_arguments(command, table, &arguments.common, argc, argv,
			       &code))
		code = start_bench(command, &arguments);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
