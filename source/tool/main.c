/*
 * main.c - `ragwort`: table and dispatch of the subcommands.
 */
#include <stdio.h>
#include <string.h>

#include "ragwort/counters.h"
#include "ragwort/gate-policy.h"
#include "tool/tool.h"

#define PARSE_ONLY "--parse-only"

static int run_version(const struct rr_command *command, int argc, char **argv);
static int run_settings_reference(const struct rr_command *command, int argc,
				  char **argv);
static int run_metrics_reference(const struct rr_command *command, int argc,
				 char **argv);
static int run_policy_reference(const struct rr_command *command, int argc,
				char **argv);

static const struct rr_command commands[] = {
	{ "bench", rr_run_bench, "put load on instances and report the results",
	  "ragwort bench --instances 127.0.0.1:8101 --scenario bench.yaml" },
	{ "check", rr_run_check, "report all errors of a configuration file",
	  "ragwort check base.yaml --overlay nairobi.yaml --site nairobi" },
	{ "config push", rr_run_config_push, "push a base file or an overlay",
	  "ragwort config push --platform 127.0.0.1:8001 --file base.yaml" },
	{ "config show", rr_run_config_show, "print the accepted files",
	  "ragwort config show --platform 127.0.0.1:8001 --site nairobi" },
	{ "config history", rr_run_config_history,
	  "list the latest accepted changes",
	  "ragwort config history --platform 127.0.0.1:8001" },
	{ "explain", rr_run_explain,
	  "explain the outcome of a gateway's request from logs",
	  "ragwort explain 76fa2c4d41ae4cb5 --logs gateway.log" },
	{ "quarantine list", rr_run_quarantine_list,
	  "list requests that crash replicas",
	  "ragwort quarantine list --platform 127.0.0.1:8001" },
	{ "quarantine release", rr_run_quarantine_release,
	  "release a request from quarantine",
	  "ragwort quarantine release --platform 127.0.0.1:8001 "
	  "1b4e28ba2fa111d2883f0016d3cca427" },
	{ "query", rr_run_query, "query a service and print its answer",
	  "ragwort query --instance 127.0.0.1:8101 --service counter-desk" },
	{ "status", rr_run_status, "show instances, upstreams and revisions",
	  "ragwort status --instances 127.0.0.1:8101,127.0.0.1:8102" },
	{ "keys new", rr_run_keys_new, "generate a key pair for `curve`",
	  "ragwort keys new --secret-file peer-2.key" },
	{ "settings-reference", run_settings_reference,
	  "print the reference page of all settings",
	  "ragwort settings-reference" },
	{ "metrics-reference", run_metrics_reference,
	  "print the reference page of all metrics",
	  "ragwort metrics-reference" },
	{ "policy-reference", run_policy_reference,
	  "print the reference page of the gateway's policy",
	  "ragwort policy-reference" },
	{ "version", run_version, "print the version", "ragwort version" },
};

/* Parse the command line of a subcommand without arguments of its own. */
static bool parse_no_arguments(const struct rr_command *command, int argc,
			       char **argv, int *code)
{
	struct rr_common_arguments common = rr_new_common_arguments();
	void *table[] = { common.help, common.end };
	bool proceed =
		rr_parse_arguments(command, table, &common, argc, argv, code);

	arg_freetable(table, G_N_ELEMENTS(table));
	return proceed;
}

static int run_version(const struct rr_command *command, int argc, char **argv)
{
	int code = RR_EXIT_OK;

	if (parse_no_arguments(command, argc, argv, &code))
		printf("ragwort %s\n", RR_VERSION);
	return code;
}

/* Print a reference page that is generated from a table in the source. */
static int print_reference(const struct rr_command *command, int argc,
			   char **argv, void (*format)(GString *out))
{
	GString *page = g_string_new(NULL);
	int code = RR_EXIT_OK;

	if (parse_no_arguments(command, argc, argv, &code)) {
		format(page);
		fputs(page->str, stdout);
	}
	g_string_free(page, TRUE);
	return code;
}

static int run_settings_reference(const struct rr_command *command, int argc,
				  char **argv)
{
	return print_reference(command, argc, argv,
			       rr_format_settings_reference);
}

static int run_metrics_reference(const struct rr_command *command, int argc,
				 char **argv)
{
	return print_reference(command, argc, argv,
			       rr_format_metrics_reference);
}

static int run_policy_reference(const struct rr_command *command, int argc,
				char **argv)
{
	return print_reference(command, argc, argv, rr_format_policy_reference);
}

static void print_help(FILE *out)
{
	fprintf(out, "Usage: ragwort COMMAND [OPTIONS]\n"
		     "Operate and query a ragwortroute query tier.\n\n");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(out, "  %-20s %s\n", commands[i].name,
			commands[i].help);
	fprintf(out,
		"\n`ragwort COMMAND --help` lists the options of a command, "
		"with an example.\n"
		"`ragwort " PARSE_ONLY " COMMAND ...` only checks the command "
		"line.\n\n"
		"Exit codes: 0 done, 1 the operation failed, 2 bad "
		"input or usage,\n3 no reply received.\n");
}

/* Return how many words name this command, or 0 if it is another one. */
static int match_command(const struct rr_command *command, int argc,
			 char **argv)
{
	char *two_words;
	bool matches;

	if (argc < 2)
		return 0;
	if (!strcmp(command->name, argv[1]))
		return 1;
	if (argc < 3)
		return 0;
	two_words = g_strdup_printf("%s %s", argv[1], argv[2]);
	matches = !strcmp(command->name, two_words);
	g_free(two_words);
	return matches ? 2 : 0;
}

int main(int argc, char **argv)
{
	if (argc > 1 && !strcmp(argv[1], PARSE_ONLY)) {
		rr_set_parse_only();
		argv++;
		argc--;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		int words = match_command(&commands[i], argc, argv);

		if (words)
			return commands[i].run(&commands[i], argc - words,
					       argv + words);
	}
	if (argc > 1 && !strcmp(argv[1], "--help")) {
		print_help(stdout);
		return RR_EXIT_OK;
	}
	if (argc > 1 && !strcmp(argv[1], "--version")) {
		printf("ragwort %s\n", RR_VERSION);
		return RR_EXIT_OK;
	}
	if (argc > 1)
		fprintf(stderr, "ragwort: unknown command '%s'\n", argv[1]);
	print_help(stderr);
	return RR_EXIT_USAGE;
}
