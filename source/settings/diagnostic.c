/*
 * diagnostic.c - list of errors in settings files and quoting of their values.
 */
#include "settings/yaml-tree.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_QUOTED_CHARACTERS 40

static void free_diagnostic(gpointer data)
{
	struct rr_diagnostic *diagnostic = data;

	g_free(diagnostic->file);
	g_free(diagnostic->message);
	g_free(diagnostic);
}

GPtrArray *rr_new_diagnostics(void)
{
	return g_ptr_array_new_with_free_func(free_diagnostic);
}

void rr_print_diagnostics(const GPtrArray *diagnostics)
{
	for (guint i = 0; i < diagnostics->len; i++) {
		const struct rr_diagnostic *diagnostic = diagnostics->pdata[i];

		fprintf(stderr, "%s%s:%u: %s\n",
			diagnostic->is_warning ? "warning: " : "",
			diagnostic->file, diagnostic->line,
			diagnostic->message);
	}
}

void rr_add_diagnostic(GPtrArray *diagnostics, const char *file, uint32_t line,
		       const char *format, ...)
{
	struct rr_diagnostic *diagnostic;
	va_list arguments;

	if (diagnostics->len > RR_MAX_DIAGNOSTICS)
		return;
	diagnostic = g_new0(struct rr_diagnostic, 1);
	diagnostic->file = g_strdup(file);
	diagnostic->line = line;
	if (diagnostics->len == RR_MAX_DIAGNOSTICS) {
		diagnostic->message =
			g_strdup("too many errors: the rest are not shown");
	} else {
		va_start(arguments, format);
		diagnostic->message = g_strdup_vprintf(format, arguments);
		va_end(arguments);
	}
	g_ptr_array_add(diagnostics, diagnostic);
}

void rr_mark_as_warning(GPtrArray *diagnostics)
{
	struct rr_diagnostic *last =
		g_ptr_array_index(diagnostics, diagnostics->len - 1);

	/*
	 * The diagnostic that stands for all further ones remains an error,
	 * as some of those may be errors.
	 */
	last->is_warning = diagnostics->len <= RR_MAX_DIAGNOSTICS;
}

bool rr_has_errors(const GPtrArray *diagnostics, guint from)
{
	for (guint i = from; i < diagnostics->len; i++) {
		const struct rr_diagnostic *diagnostic = diagnostics->pdata[i];

		if (!diagnostic->is_warning)
			return true;
	}
	return false;
}

static int compare_diagnostics(gconstpointer a, gconstpointer b)
{
	const struct rr_diagnostic *const *first = a;
	const struct rr_diagnostic *const *second = b;
	int files = strcmp((*first)->file, (*second)->file);

	if (files)
		return files;
	return ((*first)->line > (*second)->line) -
	       ((*first)->line < (*second)->line);
}

void rr_sort_diagnostics(GPtrArray *diagnostics, guint first)
{
	/*
	 * A full list ends with the line that says that the rest are not
	 * shown; it must remain last, so the list is not sorted.
	 */
	if (diagnostics->len <= RR_MAX_DIAGNOSTICS && first < diagnostics->len)
		qsort(diagnostics->pdata + first, diagnostics->len - first,
		      sizeof(gpointer), compare_diagnostics);
}

char *rr_quote_text(const char *text)
{
	GString *out = g_string_new("'");
	char *valid = g_utf8_make_valid(text, -1);
	const char *next = valid;
	int count = 0;

	for (; *next && count < MAX_QUOTED_CHARACTERS; count++) {
		gunichar character = g_utf8_get_char(next);

		if (g_unichar_isprint(character))
			g_string_append_unichar(out, character);
		else
			g_string_append_c(out, '?');
		next = g_utf8_next_char(next);
	}
	g_string_append(out, *next ? "...'" : "'");
	g_free(valid);
	return g_string_free(out, FALSE);
}

#define MAX_QUOTED_ITEMS 4

static char *quote_list(const struct rr_yaml_node *list)
{
	GString *out = g_string_new("[");

	for (guint i = 0; i < list->items->len; i++) {
		const struct rr_yaml_node *item = list->items->pdata[i];
		char *text;

		if (item->kind != RR_YAML_SCALAR || i == MAX_QUOTED_ITEMS) {
			g_string_free(out, TRUE);
			return g_strdup("a list");
		}
		text = rr_quote_text(item->text);
		g_string_append_printf(out, "%s%s", i ? ", " : "", text);
		g_free(text);
	}
	g_string_append_c(out, ']');
	return g_string_free(out, FALSE);
}

char *rr_quote_value(const struct rr_yaml_node *node)
{
	switch (node->kind) {
	case RR_YAML_LIST:
		return quote_list(node);
	case RR_YAML_MAPPING:
		return g_strdup("a mapping");
	case RR_YAML_SCALAR:
		break;
	}
	if (!*node->text && !node->quoted)
		return g_strdup("nothing");
	return rr_quote_text(node->text);
}
