/*
 * tool.h - declarations shared by the subcommands of `ragwort`.
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

/* Exit codes, documented in docs/operators/runbook.md. */
enum rr_exit {
	RR_EXIT_OK = 0,
	RR_EXIT_FAILED = 1,	 /* the operation failed */
	RR_EXIT_USAGE = 2,	 /* bad input or usage */
	RR_EXIT_UNREACHABLE = 3, /* no reply received */
};

struct rr_command {
	const char *name; /* one or two words */
	int (*run)(const struct rr_command *command, int argc, char **argv);
	const char *help;    /* one line, in lower case */
	const char *example; /* complete command line */
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

/* Entries of the argument table that all subcommands have. */
struct rr_common_arguments {
	struct arg_lit *help;
	struct arg_end *end;
};

struct rr_common_arguments rr_new_common_arguments(void);
/* Make rr_parse_arguments() only check the command line, and return false. */
void rr_set_parse_only(void);
/*
 * Parse a subcommand's arguments.  Return false, with *code set, if the command
 * must not run: RR_EXIT_OK after --help or rr_set_parse_only(), RR_EXIT_USAGE
 * after a usage error, which is printed on stderr.
 */
bool rr_parse_arguments(const struct rr_command *command, void **table,
			const struct rr_common_arguments *common, int argc,
			char **argv, int *code);

/* Print a message on stderr, prefixed with "ragwort COMMAND: ". */
void rr_print_message(const struct rr_command *command, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/*
 * Split a comma-separated list of one or more IP:PORT.  Return NULL after
 * printing an error on stderr if the list is empty or an element is invalid.
 * Free the result with g_strfreev().
 */
char **rr_parse_address_list(const struct rr_command *command,
			     const char *text);

/*
 * Read a file into *text, to be freed with g_free().  On failure, print the
 * error on stderr and return false.
 */
bool rr_read_file(const struct rr_command *command, const char *name,
		  char **text, size_t *length);

/*
 * JSON members that may be missing or of another type: these return the
 * fallback, false or NULL then.  object may be NULL.
 */
const char *rr_json_string_or(JsonObject *object, const char *name,
			      const char *fallback);
int64_t rr_json_integer_or(JsonObject *object, const char *name,
			   int64_t fallback);
double rr_json_number_or(JsonObject *object, const char *name, double fallback);
bool rr_json_boolean(JsonObject *object, const char *name);
JsonObject *rr_json_object(JsonObject *object, const char *name);
/*
 * Parse a reply or a log line.  NULL if it is not JSON or nested deeper than
 * any answer; free with json_node_unref().
 */
JsonNode *rr_parse_json_text(const char *text);
JsonArray *rr_json_array(JsonObject *object, const char *name);
/* Return the i-th element, or NULL if it is not an object. */
JsonObject *rr_json_object_at(JsonArray *array, guint i);

#endif
