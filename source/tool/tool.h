/*
 * tool.h - what the subcommands of `ragwort` share.
 */
#ifndef TOOL_TOOL_H
#define TOOL_TOOL_H

#include <argtable2.h>
#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/settings.h"
#include "ragwort/version.h"

/* What the tool ends with; docs/operators/runbook.md tells operators. */
enum rr_exit {
	RR_EXIT_OK = 0,
	RR_EXIT_FAILED = 1,	 /* the thing asked for failed */
	RR_EXIT_USAGE = 2,	 /* bad input or usage */
	RR_EXIT_UNREACHABLE = 3, /* nobody answered */
};

struct rr_command {
	const char *name; /* one or two words */
	int (*run)(const struct rr_command *command, int argc, char **argv);
	const char *help;    /* one line */
	const char *example; /* a whole command line */
};

int rr_run_bench(const struct rr_command *command, int argc, char **argv);
int rr_run_check(const struct rr_command *command, int argc, char **argv);
int rr_run_config_push(const struct rr_command *command, int argc, char **argv);
int rr_run_config_show(const struct rr_command *command, int argc, char **argv);
int rr_run_config_history(const struct rr_command *command, int argc,
			  char **argv);
int rr_run_explain(const struct rr_command *command, int argc, char **argv);
int rr_run_query(const struct rr_command *command, int argc, char **argv);
int rr_run_quarantine_list(const struct rr_command *command, int argc,
			   char **argv);
int rr_run_quarantine_release(const struct rr_command *command, int argc,
			      char **argv);
int rr_run_status(const struct rr_command *command, int argc, char **argv);

int rr_run_keys_new(const struct rr_command *command, int argc, char **argv);

/* The part of an argument table that every subcommand has. */
struct rr_common_arguments {
	struct arg_lit *help;
	struct arg_end *end;
};

struct rr_common_arguments rr_new_common_arguments(void);
/* From now on command lines are parsed and nothing is done. */
void rr_set_parse_only(void);
/*
 * Parse a subcommand's arguments.  False when the command is done: after
 * --help or rr_set_parse_only() (*code RR_EXIT_OK), or a usage error told on stderr (RR_EXIT_USAGE).
 */
bool rr_parse_arguments(const struct rr_command *command, void **table,
			const struct rr_common_arguments *common, int argc,
			char **argv, int *code);

/* Tell a problem on stderr, as "ragwort COMMAND: ...". */
void rr_print_message(const struct rr_command *command, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/*
 * Split "IP:PORT,IP:PORT" (a single one too); NULL after telling on stderr
 * what is none.  Freed by g_strfreev().
 */
char **rr_parse_address_list(const struct rr_command *command,
			     const char *text);

/* Read a file into *text (g_free()); tells on stderr when it cannot. */
bool rr_read_file(const struct rr_command *command, const char *name,
		  char **text, size_t *length);

/* Members of JSON that may be missing or of another type. */
const char *rr_json_string_or(JsonObject *object, const char *name,
			      const char *fallback);
int64_t rr_json_integer_or(JsonObject *object, const char *name,
			   int64_t fallback);
double rr_json_number_or(JsonObject *object, const char *name, double fallback);
bool rr_json_boolean(JsonObject *object, const char *name);
JsonObject *rr_json_object(JsonObject *object, const char *name);
JsonArray *rr_json_array(JsonObject *object, const char *name);
/* The i-th element where it is an object, else NULL. */
JsonObject *rr_json_object_at(JsonArray *array, guint i);

#endif
