/*
 * main.c - the program ragwort-gateway: reads the start file and runs a
 * gateway.
 */
#include <stdio.h>

#include "gateway/gateway.h"
#include "gateway/log-writer.h"
#include "ragwort/log.h"
#include "ragwort/program.h"

#define PROGRAM "ragwort-gateway"

/*
 * Read and parse the start file.  Returns NULL if it is unreadable or invalid.
 * Prints all diagnostics and appends them to `diagnostics`.
 */
static struct rr_gateway_settings *read_settings(const char *file,
						 GPtrArray *diagnostics)
{
	struct rr_gateway_settings *settings = NULL;
	struct rr_settings_source source = { .file = file };
	GError *error = NULL;
	char *text;

	if (g_file_get_contents(file, &text, &source.length, &error)) {
		source.text = text;
		settings = rr_parse_gateway_settings(&source, diagnostics);
		g_free(text);
	} else {
		fprintf(stderr, "%s: %s\n", PROGRAM, error->message);
		g_error_free(error);
	}
	rr_print_diagnostics(diagnostics);
	return settings;
}

/*
 * Log the settings that were ignored: the platform may write anything in place
 * of a number, and an invalid number is not used.
 */
static void log_ignored_settings(struct rr_context *ctx,
				 const GPtrArray *diagnostics)
{
	for (guint i = 0; i < diagnostics->len; i++) {
		const struct rr_diagnostic *diagnostic =
			g_ptr_array_index(diagnostics, i);

		rr_log(ctx, RR_LOG_WARNING, "setting-left-out",
		       RR_FIELD_STRING("reason", diagnostic->message),
		       RR_FIELD_U64("line", diagnostic->line));
	}
}

static enum rr_program_exit
run_gateway(const struct rr_gateway_settings *settings,
	    const GPtrArray *diagnostics)
{
	struct rr_context_options options = {
		.seed = g_random_int(),
		.log = {
			.write = rr_buffer_log_line,
			.clock = rr_read_wall_clock,
			.max_level = settings->log_level,
			.format = settings->log_format,
			.max_lines_per_s = settings->log_max_lines_per_s,
		},
	};
	struct rr_context *ctx = rr_new_context(&options);
	enum rr_program_exit code = RR_PROGRAM_OK;
	struct rr_gateway *gateway;
	GError *error = NULL;

	log_ignored_settings(ctx, diagnostics);
	gateway = rr_new_gateway(ctx, settings, &error);
	if (gateway) {
		rr_run_gateway(gateway);
	} else {
		fprintf(stderr, "%s: %s\n", PROGRAM, error->message);
		g_error_free(error);
		code = RR_PROGRAM_FAILED;
	}
	rr_drop_gateway(gateway);
	rr_drop_context(ctx);
	rr_flush_log();
	return code;
}

static enum rr_program_exit run(const char *file, bool check_only)
{
	GPtrArray *diagnostics = rr_new_diagnostics();
	struct rr_gateway_settings *settings = read_settings(file, diagnostics);
	enum rr_program_exit code = RR_PROGRAM_OK;

	if (!settings)
		code = RR_PROGRAM_USAGE;
	else if (!check_only)
		code = run_gateway(settings, diagnostics);
	rr_drop_gateway_settings(settings);
	g_ptr_array_unref(diagnostics);
	return code;
}

int main(int argc, char **argv)
{
	static const struct rr_program program = {
		.name = PROGRAM,
		.settings_help = "the gateway's start file",
		.settings_env_var = "RAGWORTROUTE_BOOT",
		.signals_help = "SIGTERM stops gracefully.\n",
		.run = run,
	};

	return rr_run_program(&program, argc, argv);
}
