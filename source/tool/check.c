/*
 * check.c - `ragwort check`: reports all errors of a configuration file.
 */
#include <stdio.h>

#include "tool/check.h"

struct check_arguments {
	struct arg_file *file;
	struct arg_file *overlay;
	struct arg_str *site;
	struct arg_lit *start;
	struct rr_common_arguments common;
};

static void print_summary(const struct rr_config *config)
{
	size_t shards = 0;
	size_t replicas = 0;

	for (size_t i = 0; i < config->n_services; i++) {
		const struct rr_service_config *service = &config->services[i];

		shards += service->n_shards;
		for (size_t j = 0; j < service->n_shards; j++)
			replicas += service->shards[j].n_replicas;
	}
	printf("ok: %zu services, %zu shards, %zu replicas\n",
	       config->n_services, shards, replicas);
	printf("takes effect without a restart once pushed\n");
}

static int check_site(const struct rr_command *command,
		      const struct check_arguments *arguments)
{
	struct rr_settings_source base = {
		.file = arguments->file->filename[0]
	};
	struct rr_settings_source overlay = { 0 };
	const char *site = NULL;
	GPtrArray *diagnostics;
	struct rr_config *config;
	char *base_text = NULL;
	char *overlay_text = NULL;
	int code = RR_EXIT_USAGE;

	if (!rr_read_file(command, base.file, &base_text, &base.length))
		return RR_EXIT_USAGE;
	base.text = base_text;
	if (arguments->overlay->count) {
		overlay.file = arguments->overlay->filename[0];
		if (!rr_read_file(command, overlay.file, &overlay_text,
				  &overlay.length))
			goto done;
		overlay.text = overlay_text;
	}
	if (arguments->site->count)
		site = arguments->site->sval[0];
	diagnostics = rr_new_diagnostics();
	config = rr_parse_config(&base, overlay.file ? &overlay : NULL, site,
				 diagnostics);
	if (config)
		print_summary(config);
	code = rr_report_check_result(command, diagnostics);
	rr_drop_config(config);
	g_ptr_array_unref(diagnostics);
done:
	g_free(base_text);
	g_free(overlay_text);
	return code;
}

int rr_run_check(const struct rr_command *command, int argc, char **argv)
{
	struct check_arguments arguments = {
		.file = arg_file1(NULL, NULL, "FILE",
				  "base file, or a start file with --start"),
		.overlay = arg_file0(
			NULL, "overlay", "FILE",
			"overlay of a site, applied to the base file"),
		.site = arg_str0(NULL, "site", "NAME", "site of the overlay"),
		.start = arg_lit0(NULL, "start",
				  "FILE is an instance's start file"),
		.common = rr_new_common_arguments(),
	};
	void *table[] = { arguments.file,	 arguments.overlay,
			  arguments.site,	 arguments.start,
			  arguments.common.help, arguments.common.end };
	int code;

	if (rr_parse_arguments(command, table, &arguments.common, argc, argv,
			       &code)) {
		if (!arguments.start->count) {
			code = check_site(command, &arguments);
		} else if (arguments.overlay->count || arguments.site->count) {
			rr_print_message(command,
					 "--start cannot be combined with "
					 "--overlay or --site");
			code = RR_EXIT_USAGE;
		} else {
			code = rr_check_start_file(command,
						   arguments.file->filename[0]);
		}
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
