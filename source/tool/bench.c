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
	struct arg_str *controls;
	struct arg_lit *json;
	struct arg_file *plot;
	struct rr_credential_arguments keys;
	struct rr_common_arguments common;
};

/* What is measured at the ends of the load. */
struct bench_run {
	char **instances;
	char **controls;
	struct rr_credentials access;
	struct rr_bench_scrape *before;
	struct rr_bench_scrape *after;
};

static void take_before(void *data)
{
	struct bench_run *run = data;

	run->before = rr_scrape_bench_metrics(run->instances, run->controls,
					      &run->access);
}

static void take_after(void *data)
{
	struct bench_run *run = data;

	run->after = rr_scrape_bench_metrics(run->instances, run->controls,
					     &run->access);
}

static struct rr_bench_scenario *read_scenario(const struct rr_command *command,
					       const char *name)
{
	struct rr_settings_source file = { .file = name };
	struct rr_bench_scenario *scenario;
	GPtrArray *faults;
	char *text;

	if (!rr_read_file(command, name, &text, &file.length))
		return NULL;
	file.text = text;
	faults = rr_new_diagnostics();
	scenario = rr_parse_bench_scenario(&file, faults);
	rr_print_diagnostics(faults);
	g_ptr_array_unref(faults);
	g_free(text);
	return scenario;
}

static bool write_plot(const struct rr_command *command, const char *name,
		       const struct rr_bench_result *result)
{
	struct rr_bench_histogram *all = g_new0(struct rr_bench_histogram, 1);
	GString *picture = g_string_new(NULL);
	GError *error = NULL;
	bool fine;

	for (size_t i = 0; i < result->scenario->n_entries; i++)
		rr_merge_bench_histogram(all, &result->stats[i].latencies);
	rr_format_bench_plot(all, "ragwort bench", picture);
	fine = g_file_set_contents(name, picture->str, (gssize)picture->len,
				   &error);
	if (!fine)
		rr_print_message(command, "--plot: %s", error->message);
	g_clear_error(&error);
	g_string_free(picture, TRUE);
	g_free(all);
	return fine;
}

static bool any_answer(const struct rr_bench_result *result)
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
	if (any_answer(result))
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
				      .credentials = &run->access,
				      .measurement_started = take_before,
				      .measurement_ended = take_after,
				      .data = run };
	struct rr_bench_stats *tallies;
	int code;

	if (!scenario)
		return RR_EXIT_USAGE;
	tallies = rr_run_bench_load(&load);
	code = report(command, arguments,
		      &(struct rr_bench_result){ .scenario = scenario,
						 .stats = tallies,
						 .before = run->before,
						 .after = run->after });
	g_free(tallies);
	rr_drop_bench_scenario(scenario);
	return code;
}

static int start_bench(const struct rr_command *command,
		       const struct bench_arguments *arguments)
{
	struct bench_run run = { .instances = NULL };
	int code = RR_EXIT_USAGE;

	if (!rr_load_credentials(command, &arguments->keys, &run.access))
		return code;
	run.instances =
		rr_parse_address_list(command, arguments->instances->sval[0]);
	if (arguments->controls->count)
		run.controls = rr_parse_address_list(
			command, arguments->controls->sval[0]);
	else
		run.controls = g_new0(char *, 1);
	if (run.instances && run.controls)
		code = run_load(command, arguments, &run);
	rr_drop_bench_scrape(run.before);
	rr_drop_bench_scrape(run.after);
	g_strfreev(run.instances);
	g_strfreev(run.controls);
	rr_clear_credentials(&run.access);
	return code;
}

int rr_run_bench(const struct rr_command *command, int argc, char **argv)
{
	struct bench_arguments arguments = {
		.instances = arg_str1(NULL, "instances", "IP:PORT,...",
				      "the instances, asked in turn"),
		.scenario = arg_file1(NULL, "scenario", "FILE",
				      "what is asked, at which rates (YAML)"),
		.controls = arg_str0(NULL, "upstream-control", "IP:PORT,...",
				     "upstream stand-ins to ask what they "
				     "counted"),
		.json = arg_lit0(NULL, "json", "print JSON lines"),
		.plot = arg_file0(NULL, "plot", "FILE",
				  "write the distribution as an SVG picture"),
		.keys = rr_new_credential_arguments(),
		.common = rr_new_common_arguments(),
	};
	void *table[] = { arguments.instances,	  arguments.scenario,
			  arguments.controls,	  arguments.json,
			  arguments.plot,	  arguments.keys.token_file,
			  arguments.keys.ca_file, arguments.common.help,
			  arguments.common.end };
	int code;

	if (rr_parse_arguments(command, table, &arguments.common, argc, argv,
			       &code))
		code = start_bench(command, &arguments);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
