/*
 * main.c - entry point of ragwortd.
 */
#include <stdio.h>

#include "daemon/daemon.h"
#include "ragwort/program.h"

#define PROGRAM "ragwortd"

/* Read the start file.  On failure, print all errors and return NULL. */
static struct rr_start_settings *read_settings(const char *file)
{
	GPtrArray *diagnostics = rr_new_diagnostics();
	GError *error = NULL;
	struct rr_start_settings *settings =
		rr_read_start_file(file, diagnostics, &error);

	if (error) {
		fprintf(stderr, "%s: %s\n", PROGRAM, error->message);
		g_error_free(error);
	}
	rr_print_diagnostics(diagnostics);
	g_ptr_array_unref(diagnostics);
	return settings;
}

static enum rr_program_exit
run_instance(const char *file, const struct rr_start_settings *settings)
{
	struct rr_context_options options = {
		.seed = g_random_int(),
		.log = {
			.write = rr_write_log_line,
			.clock = rr_read_wall_clock,
			.max_level = settings->log_level,
			.format = settings->log_format,
			.max_lines_per_s = settings->log_max_lines_per_s,
		},
	};
	struct rr_context *ctx = rr_new_context(&options);
	struct rr_daemon *daemon;
	GError *error = NULL;
	enum rr_program_exit code = RR_PROGRAM_OK;

	daemon = rr_new_daemon(ctx, file, settings, &error);
	if (daemon) {
		rr_run_daemon(daemon);
	} else {
		fprintf(stderr, "%s: %s\n", PROGRAM, error->message);
		g_error_free(error);
		code = RR_PROGRAM_FAILED;
	}
	rr_drop_daemon(daemon);
	rr_drop_context(ctx);
	return code;
}

static enum rr_program_exit run(const char *file, bool check_only)
{
	struct rr_start_settings *settings = read_settings(file);
	enum rr_program_exit code = RR_PROGRAM_OK;

	if (!settings)
		return RR_PROGRAM_USAGE;
	if (!check_only)
		code = run_instance(file, settings);
	rr_drop_start_settings(settings);
	return code;
}

int main(int argc, char **argv)
{
	static const struct rr_program program = {
		.name = PROGRAM,
		.settings_help = "the instance's start file",
		.signals_help = "SIGTERM drains and exits; SIGHUP reloads "
				"certificate, tokens and peer keys.\n",
		.run = run,
	};

	return rr_run_program(&program, argc, argv);
}
