/*
 * fault.c - faults of settings files and how they show what was found.
 */
#include "settings/yaml-tree.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SHOWN_CHARACTERS 40

static void free_fault(gpointer data)
{
	struct rr_fault *fault = data;

	g_free(fault->file);
	g_free(fault->what);
	g_free(fault);
}

GPtrArray *rr_new_faults(void)
{
	return g_ptr_array_new_with_free_func(free_fault);
}

void rr_print_faults(const GPtrArray *faults)
{
	for (guint i = 0; i < faults->len; i++) {
		const struct rr_fault *fault = faults->pdata[i];

		fprintf(stderr, "%s%s:%u: %s\n",
			fault->left_out ? "warning: " : "", fault->file,
			fault->line, fault->what);
	}
}

void rr_add_fault(GPtrArray *faults, const char *file, uint32_t line,
		  const char *format, ...)
{
	struct rr_fault *fault;
	va_list arguments;

	if (faults->len > RR_MAX_FAULTS)
		return;
	fault = g_new0(struct rr_fault, 1);
	fault->file = g_strdup(file);
	fault->line = line;
	if (faults->len == RR_MAX_FAULTS) {
		fault->what = g_strdup("more faults follow that are not "
				       "shown: mend the ones above first");
	} else {
		va_start(arguments, format);
		fault->what = g_strdup_vprintf(format, arguments);
		va_end(arguments);
	}
	g_ptr_array_add(faults, fault);
}

void rr_leave_out_fault(GPtrArray *faults)
{
	struct rr_fault *last = g_ptr_array_index(faults, faults->len - 1);

	/* The one that stands for many may stand for others. */
	last->left_out = faults->len <= RR_MAX_FAULTS;
}

bool rr_has_faults(const GPtrArray *faults, guint from)
{
	for (guint i = from; i < faults->len; i++) {
		const struct rr_fault *fault = faults->pdata[i];

		if (!fault->left_out)
			return true;
	}
	return false;
}

static int compare_faults(gconstpointer a, gconstpointer b)
{
	const struct rr_fault *const *first = a;
	const struct rr_fault *const *second = b;
	int files = strcmp((*first)->file, (*second)->file);

	if (files)
		return files;
	return ((*first)->line > (*second)->line) -
	       ((*first)->line < (*second)->line);
}

void rr_sort_faults(GPtrArray *faults, guint first)
{
	/* The last of too many says so and stays last. */
	if (faults->len <= RR_MAX_FAULTS && first < faults->len)
		qsort(faults->pdata + first, faults->len - first,
		      sizeof(gpointer), compare_faults);
}

char *rr_show_text(const char *text)
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
		text = rr_show_text(item->text);
		g_string_append_printf(shown, "%s%s", i ? ", " : "", text);
		g_free(text);
	}
	g_string_append_c(shown, ']');
	return g_string_free(shown, FALSE);
}

char *rr_show_value(const struct rr_yaml_node *node)
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
	return rr_show_text(node->text);
}
