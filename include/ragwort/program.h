/*
 * program.h - command line, exit codes and log clock of the daemons' main
 * programs.
 */
#ifndef RAGWORT_PROGRAM_H
#define RAGWORT_PROGRAM_H

#include <stdbool.h>
#include <stdint.h>

enum rr_program_exit {
	RR_PROGRAM_OK = 0,     /* stopped on request, or check passed */
	RR_PROGRAM_FAILED = 1, /* system error, e.g. address in use */
	RR_PROGRAM_USAGE = 2,  /* invalid command line or start file */
};

struct rr_program {
	const char *name;
	const char *settings_help; /* help text of --settings */
	/*
	 * Environment variable with the start file's name, used without
	 * --settings; NULL if there is none.
	 */
	const char *settings_env_var;
	/* Lines of --help about signals, each ending in \n. */
	const char *signals_help;
	/* Reads the start file, then runs unless check_only. */
	enum rr_program_exit (*run)(const char *file, bool check_only);
};

/*
 * Parse a daemon's command line and run it, check the start file, or print
 * help or version.  Errors go to stderr.  Return the exit code, one of enum
 * rr_program_exit.
 */
int rr_run_program(const struct rr_program *program, int argc, char **argv);
/*
 * Let SIGHUP be delivered, once its handler is installed.  It is blocked from
 * the start of rr_run_program(), so that one sent before is handled then.
 */
void rr_unblock_reload_signal(void);

/*
 * Return the wall-clock time in microseconds since 1970.  It can be the clock
 * of struct rr_log_options; `data` is ignored.
 */
int64_t rr_read_wall_clock(void *data);

#endif
