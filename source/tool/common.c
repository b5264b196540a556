/*
 * common.c - argument, file, message and JSON helpers of the subcommands.
 */
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "base/json-private.h"
#include "net/address-private.h"
#include "tool/tool.h"

#define MAX_PARSE_ERRORS 20
/* An answer's levels around a row, which may have 64 levels. */
#define MAX_REPLY_DEPTH 96

struct rr_common_arguments rr_new_common_arguments(void)
{
	struct rr_common_arguments common = {
		.help = arg_lit0(NULL, "help", "print this help"),
		.end = arg_end(MAX_PARSE_ERRORS),
	};

	return common;
}

static void print_command_help(const struct rr_command *command, void **table)
{
	printf("Usage: ragwort %s", command->name);
	arg_print_syntax(stdout, table, "\n");
	printf("%c%s.\n\n", g_ascii_toupper(command->help[0]),
	       command->help + 1);
	arg_print_glossary(stdout, table, "  %-28s %s\n");
	printf("\nExample:\n  %s\n", command->example);
}

static bool parse_only;

void rr_set_parse_only(void)
{
	parse_only = true;
}

bool rr_parse_arguments(const struct rr_command *command, void **table,
			const struct rr_common_arguments *common, int argc,
			char **argv, int *code)
{
	char *name = g_strdup_printf("ragwort %s", command->name);
	int errors = arg_parse(argc, argv, table);

	*code = RR_EXIT_OK;
	if (common->help->count > 0) {
		print_command_help(command, table);
	} else if (errors) {
		arg_print_errors(stderr, common->end, name);
		fprintf(stderr, "%s --help lists the options\n", name);
		*code = RR_EXIT_USAGE;
	}
	g_free(name);
	return !common->help->count && !errors && !parse_only;
}

void rr_print_message(const struct rr_command *command, const char *format, ...)
{
	va_list arguments;
	char *text;

	va_start(arguments, format);
	text = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	fprintf(stderr, "ragwort %s: %s\n", command->name, text);
	g_free(text);
}

char **rr_parse_address_list(const struct rr_command *command, const char *text)
{
	char **addresses = g_strsplit(text, ",", -1);
	GError *error = NULL;

	if (!addresses[0])
		rr_print_message(command,
				 "found no address, expected IP:PORT,...");
	for (size_t i = 0; addresses[i] && !error; i++) {
		GSocketAddress *address =
			rr_parse_address(addresses[i], &error);

		if (address)
			g_object_unref(address);
	}
	if (!error && addresses[0])
		return addresses;
	if (error)
		rr_print_message(command, "%s", error->message);
	g_clear_error(&error);
	g_strfreev(addresses);
	return NULL;
}

bool rr_read_file(const struct rr_command *command, const char *name,
		  char **text, size_t *length)
{
	GError *error = NULL;

	if (g_file_get_contents(name, text, length, &error))
		return true;
	rr_print_message(command, "cannot read the file: %s", error->message);
	g_clear_error(&error);
	return false;
}

static JsonNode *value_member(JsonObject *object, const char *name)
{
	JsonNode *node = object ? json_object_get_member(object, name) : NULL;

	return node && JSON_NODE_HOLDS_VALUE(node) ? node : NULL;
}

const char *rr_json_string_or(JsonObject *object, const char *name,
			      const char *fallback)
{
	JsonNode *node = value_member(object, name);
	const char *text = node ? json_node_get_string(node) : NULL;

	return text ? text : fallback;
}

int64_t rr_json_integer_or(JsonObject *object, const char *name,
			   int64_t fallback)
{
	JsonNode *node = value_member(object, name);

	return node ? json_node_get_int(node) : fallback;
}

double rr_json_number_or(JsonObject *object, const char *name, double fallback)
{
	JsonNode *node = value_member(object, name);

	return node ? json_node_get_double(node) : fallback;
}

bool rr_json_boolean(JsonObject *object, const char *name)
{
	JsonNode *node = value_member(object, name);

	return node && json_node_get_boolean(node);
}

JsonObject *rr_json_object(JsonObject *object, const char *name)
{
	JsonNode *node = object ? json_object_get_member(object, name) : NULL;

	if (!node || !JSON_NODE_HOLDS_OBJECT(node))
		return NULL;
	return json_node_get_object(node);
}

JsonNode *rr_parse_json_text(const char *text)
{
	if (!rr_check_json_nesting(text, strlen(text), MAX_REPLY_DEPTH, NULL))
		return NULL;
	return json_from_string(text, NULL);
}

JsonArray *rr_json_array(JsonObject *object, const char *name)
{
	JsonNode *node = object ? json_object_get_member(object, name) : NULL;

	if (!node || !JSON_NODE_HOLDS_ARRAY(node))
		return NULL;
	return json_node_get_array(node);
}

JsonObject *rr_json_object_at(JsonArray *array, guint i)
{
	JsonNode *node = json_array_get_element(array, i);

	return JSON_NODE_HOLDS_OBJECT(node) ? json_node_get_object(node) : NULL;
}
