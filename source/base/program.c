/*
 * program.c - the command line of the daemons.
 */
#include "ragwort/program.h"

#include <argtable2.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>

#include "ragwort/version.h"

static void print_help(const struct rr_program *program, void **table)
{
	printf("Usage: %s", program->name);
	arg_print_syntax(stdout, table, "\n\n");
	arg_print_glossary(stdout, table, "  %-20s %s\n");
	printf("\n");
	if (program->settings_env_var)
		printf("Without --settings, the environment variable %s names "
		       "the file.\n",
		       program->settings_env_var);
	printf("Exit codes: 0 stopped on request or check passed, 1 system "
	       "error such as\nan address in use, 2 invalid command line or "
	       "start file.\n%s",
	       program->signals_help);
}

static const char *find_start_file(const struct rr_program *program,
				   const struct arg_file *file)
{
	if (file->count)
		return file->filename[0];
	return program->settings_env_var ? g_getenv(program->settings_env_var) :
					   NULL;
}

static void mask_reload_signal(int how)
{
	sigset_t signals;

	sigemptyset(&signals);
	sigaddset(&signals, SIGHUP);
	pthread_sigmask(how, &signals, NULL);
}

static void block_reload_signal(void)
{
	mask_reload_signal(SIG_BLOCK);
}

/* Runs before main() and all constructors, as the signal ends the process. */
static void (*const preinit[])(void)
	__attribute__((section(".preinit_array"), used)) = {
		block_reload_signal,
	};

void rr_unblock_reload_signal(void)
{
	mask_reload_signal(SIG_UNBLOCK);
}

int rr_run_program(const struct rr_program *program, int argc, char **argv)
{
	struct arg_file *file =
		arg_file0(NULL, "settings", "FILE", program->settings_help);
	struct arg_lit *check =
		arg_lit0(NULL, "check", "check the start file and exit");
	struct arg_lit *help =
		arg_lit0("h", "help", "print this help and exit");
	struct arg_lit *version =
		arg_lit0(NULL, "version", "print the version and exit");
	struct arg_end *end = arg_end(10);
	void *table[] = { file, check, help, version, end };
	int n_errors = arg_parse(argc, argv, table);
	const char *name = find_start_file(program, file);
	enum rr_program_exit code = RR_PROGRAM_OK;

	if (help->count) {
		print_help(program, table);
	} else if (version->count) {
		printf("%s %s\n", program->name, RR_VERSION);
	} else if (n_errors || !name) {
		arg_print_errors(stderr, end, program->name);
		fprintf(stderr, "%s: --settings FILE is required; see --help\n",
			program->name);
		code = RR_PROGRAM_USAGE;
	} else {
		code = program->run(name, check->count > 0);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return (int)code;
}

int64_t rr_read_wall_clock(void *data)
{
	return g_get_real_time();
}
