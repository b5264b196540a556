/*
 * main.c - ragwort-gateway's command line and start file.
 */
#include <argtable2.h>
#include <stdio.h>

#include "gateway/gateway.h"
#include "gateway/log-writer.h"
#include "ragwort/version.h"

#define PROGRAM "ragwort-gateway"
/* Names the start file where the command line does not. */
#define FILE_VARIABLE "RAGWORTROUTE_BOOT"

enum exit_code {
	EXIT_OK = 0,	   /* stopped as asked, or the check passed */
	EXIT_FAILED = 1,   /* the system said no: an address in use */
	EXIT_SETTINGS = 2, /* bad command line or start file */
};

/* NULL when the file is unreadable or faulty; all faults are printed. */
static struct rr_gateway_settings *read_settings(const char *file)
{
	GPtrArray *faults = rr_new_faults();
	struct rr_gateway_settings *settings = NULL;
	struct rr_source source = { .file = file };
	GError *error = NULL;
	char *text;

	if (g_file_get_contents(file, &text, &source.length, &error)) {
		source.text = text;
		settings = rr_parse_gateway_settings(&source, faults);
		g_free(text);
	} else {
		fprintf(stderr, "%s: %s\n", PROGRAM, error->message);
		g_error_free(error);
	}
	rr_print_faults(faults);
	g_ptr_array_unref(faults);
	return settings;
}

static enum exit_code run(const struct rr_gateway_settings *settings)
{
	struct rr_context_options options = {
		.seed = g_random_int(),
		.log = {
			.write = rr_keep_log_line,
			.clock = rr_log_clock,
			.max_level = settings->log_level,
			.format = settings->log_format,
			.max_lines_per_s = settings->log_max_lines_per_s,
		},
	};
	struct rr_context *ctx = rr_new_context(&options);
	enum exit_code code = EXIT_OK;
	struct rr_gateway *gateway;
	GError *error = NULL;

	gateway = rr_new_gateway(ctx, settings, &error);
	if (gateway) {
		rr_run_gateway(gateway);
	} else {
		fprintf(stderr, "%s: %s\n", PROGRAM, error->message);
		g_error_free(error);
		code = EXIT_FAILED;
	}
	rr_drop_gateway(gateway);
	rr_drop_context(ctx);
	rr_flush_log();
	return code;
}

static void print_help(void **table)
{
	printf("Usage: %s", PROGRAM);
	arg_print_syntax(stdout, table, "\n\n");
	arg_print_glossary(stdout, table, "  %-20s %s\n");
	printf("\nWithout --settings the variable %s names the file.\n"
	       "Exit codes: 0 stopped as asked or check passed, 1 the system "
	       "refused\nsomething such as an address in use, 2 bad command "
	       "line or start file.\nSIGTERM stops gracefully.\n",
	       FILE_VARIABLE);
}

int main(int argc, char **argv)
{
	struct arg_file *file =
		arg_file0(NULL, "settings", "FILE", "the gateway's start file");
	struct arg_lit *check =
		arg_lit0(NULL, "check", "check the start file and exit");
	struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
	struct arg_lit *version =
		arg_lit0(NULL, "version", "print the version and exit");
	struct arg_end *end = arg_end(10);
	void *table[] = { file, check, help, version, end };
	int faults = arg_parse(argc, argv, table);
	const char *name =
		file->count ? file->filename[0] : g_getenv(FILE_VARIABLE);
	struct rr_gateway_settings *settings;
	enum exit_code code = EXIT_OK;

	if (help->count) {
		print_help(table);
	} else if (version->count) {
		printf("%s %s\n", PROGRAM, RR_VERSION);
	} else if (faults || !name) {
		arg_print_errors(stderr, end, PROGRAM);
		fprintf(stderr, "%s: --settings FILE is needed; see --help\n",
			PROGRAM);
		code = EXIT_SETTINGS;
	} else {
		settings = read_settings(name);
		if (!settings)
			code = EXIT_SETTINGS;
		else if (!check->count)
			code = run(settings);
		rr_drop_gateway_settings(settings);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return (int)code;
}
