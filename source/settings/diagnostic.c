/*
 * diagnostic.c - faults of settings files and how they show what was found.
 */
#include "settings/yaml-tree.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SHOWN_CHARACTERS 40

static void free_fault(gpointer data)
{
	struct rr_diagnostic *fault = data;

	g_free(fault->file);
	g_free(fault->message);
	g_free(fault);
}

GPtrArray *rr_new_diagnostics(void)
{
	return g_ptr_array_new_with_free_func(free_fault);
}

void rr_print_diagnostics(const GPtrArray *faults)
{
	for (guint i = 0; i < faults->len; i++) {
		const struct rr_diagnostic *fault = faults->pdata[i];

		fprintf(stderr, "%s%s:%u: %s\n",
			fault->is_warning ? "warning: " : "", fault->file,
			fault->line, fault->message);
	}
}

void rr_add_diagnostic(GPtrArray *faults, const char *file, uint32_t line,
		       const char *format, ...)
{
	struct rr_diagnostic *fault;
	va_list arguments;

	if (faults->len > RR_MAX_DIAGNOSTICS)
		return;
	fault = g_new0(struct rr_diagnostic, 1);
	fault->file = g_strdup(file);
	fault->line = line;
	if (faults->len == RR_MAX_DIAGNOSTICS) {
		fault->message = g_strdup("more faults follow that are not "
					  "shown: mend the ones above first");
	} else {
		va_start(arguments, format);
		fault->message = g_strdup_vprintf(format, arguments);
		va_end(arguments);
	}
	g_ptr_array_add(faults, fault);
}

void rr_mark_as_warning(GPtrArray *faults)
{
	struct rr_diagnostic *last = g_ptr_array_index(faults, faults->len - 1);

	/* The one that stands for many may stand for others. */
	last->is_warning = faults->len <= RR_MAX_DIAGNOSTICS;
}

bool rr_has_errors(const GPtrArray *faults, guint from)
{
	for (guint i = from; i < faults->len; i++) {
		const struct rr_diagnostic *fault = faults->pdata[i];

		if (!fault->is_warning)
			return true;
	}
	return false;
}

static int compare_faults(gconstpointer a, gconstpointer b)
{
	const struct rr_diagnostic *const *first = a;
	const struct rr_diagnostic *const *second = b;
	int files = strcmp((*first)->file, (*second)->file);

	if (files)
		return files;
	return ((*first)->line > (*second)->line) -
	       ((*first)->line < (*second)->line);
}

void rr_sort_diagnostics(GPtrArray *faults, guint first)
{
	/* The last of too many says so and stays last. */
	if (faults->len <= RR_MAX_DIAGNOSTICS && first < faults->len)
		qsort(faults->pdata + first, faults->len - first,
		      sizeof(gpointer), compare_faults);
}

char *rr_quote_text(const char *text)
{
	GString *shown = g_string_new("'");
	char *valid = g_utf8_make_valid(text, -1);
	const char *next = valid;
	int count = 0;

	for (; *next && count < SHOWN_CHARACTERS; count++) {
		gunichar character = g_utf8_get_char(next);

		if (g_unichar_isprint(character))
			g_string_append_unichar(shown, character);
		else
			g_string_append_c(shown, '?');
		next = g_utf8_next_char(next);
	}
	g_string_append(shown, *next ? "...'" : "'");
	g_free(valid);
	return g_string_free(shown, FALSE);
}

#define SHOWN_ITEMS 4

static char *show_list(const struct rr_yaml_node *list)
{
	GString *shown = g_string_new("[");

	for (guint i = 0; i < list->items->len; i++) {
		const struct rr_yaml_node *item = list->items->pdata[i];
		char *text;

		if (item->kind != RR_YAML_SCALAR || i == SHOWN_ITEMS) {
			g_string_free(shown, TRUE);
			return g_strdup("a list");
		}
		text = rr_quote_text(item->text);
		g_string_append_printf(shown, "%s%s", i ? ", " : "", text);
		g_free(text);
	}
	g_string_append_c(shown, ']');
	return g_string_free(shown, FALSE);
}

char *rr_quote_value(const struct rr_yaml_node *node)
{
	switch (node->kind) {
	case RR_YAML_LIST:
		return show_list(node);
	case RR_YAML_MAPPING:
		return g_strdup("a mapping");
	case RR_YAML_SCALAR:
		break;
	}
	if (!*node->text && !node->quoted)
		return g_strdup("nothing");
	return rr_quote_text(node->text);
}
