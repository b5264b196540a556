/*
 * program.h - what the daemons' main programs share: command line, exit
 * codes, the clock that stamps log lines.
 */
#ifndef RAGWORT_PROGRAM_H
#define RAGWORT_PROGRAM_H

#include <stdbool.h>
#include <stdint.h>

enum rr_program_exit {
	RR_PROGRAM_OK = 0,     /* stopped as asked, or the check passed */
	RR_PROGRAM_FAILED = 1, /* the system said no: an address in use */
	RR_PROGRAM_USAGE = 2,  /* bad command line or start file */
};

struct rr_program {
	const char *name;
	const char *settings_help; /* of --settings */
	/* Names the start file where the command line does not; or NULL. */
	const char *settings_env_var;
	const char *signals_help; /* what they do: whole lines of --help */
	/* Read the start file, and run by it unless it is to be checked. */
	enum rr_program_exit (*run)(const char *file, bool check_only);
};

/*
 * Read a daemon's command line and do what it asks for: run, check the start
 * file, or print help or version.  Faults go to stderr.  Returns the exit
 * code, one of enum rr_program_exit.
 */
int rr_run_program(const struct rr_program *program, int argc, char **argv);

/* Microseconds since 1970: for struct rr_log_options. */
int64_t rr_read_wall_clock(void *data);

#endif
