/*
 * line-diff.c - the lines in which two texts differ, by the longest common
 * subsequence of what lies between their common beginning and end.
 */
#include "tool/line-diff.h"

#include <stdbool.h>
#include <stdint.h>
#include <string.h>

/* Cells of the table; beyond, all lines between the ends are shown. */
#define MOST_CELLS (16u << 20)

/* Lines [from, to) of a text. */
struct part {
	char **lines;
	guint from;
	guint to;
};

static guint part_length(const struct part *part)
{
	return part->to - part->from;
}

static struct part split(const char *text)
{
	struct part part = { .lines = g_strsplit(text ? text : "", "\n", -1) };

	part.to = g_strv_length(part.lines);
	/* The last line feed ends a line and begins none. */
	if (part.to && !*part.lines[part.to - 1])
		part.to--;
	return part;
}

static void trim_common_ends(struct part *a, struct part *b)
{
	while (a->from < a->to && b->from < b->to &&
	       !strcmp(a->lines[a->from], b->lines[b->from])) {
		a->from++;
		b->from++;
	}
	while (a->from < a->to && b->from < b->to &&
	       !strcmp(a->lines[a->to - 1], b->lines[b->to - 1])) {
		a->to--;
		b->to--;
	}
}

static void show_line(GString *out, char sign, const struct part *part, guint i)
{
	g_string_append_printf(out, "%c%5u  %s\n", sign, i + 1, part->lines[i]);
}

/*
 * lengths[i][j]: lines in common of a's and b's rest from i and j on, in rows
 * of the width of b and one.
 */
static uint32_t *measure(const struct part *a, const struct part *b)
{
	guint height = part_length(a);
	guint width = part_length(b);
	uint32_t *lengths = g_new0(uint32_t, (gsize)(height + 1) * (width + 1));

	for (guint i = height; i-- > 0;) {
		uint32_t *row = lengths + (gsize)i * (width + 1);
		const uint32_t *below = row + width + 1;

		for (guint j = width; j-- > 0;) {
			bool same = !strcmp(a->lines[a->from + i],
					    b->lines[b->from + j]);

			row[j] = same ? below[j + 1] + 1 :
					MAX(below[j], row[j + 1]);
		}
	}
	return lengths;
}

static void show_measured(const struct part *a, const struct part *b,
			  const uint32_t *lengths, GString *out)
{
	guint width = part_length(b);
	guint i = 0;
	guint j = 0;

	while (i < part_length(a) || j < width) {
		const uint32_t *row = lengths + (gsize)i * (width + 1);
		bool more_a = i < part_length(a);
		bool more_b = j < width;

		if (more_a && more_b &&
		    !strcmp(a->lines[a->from + i], b->lines[b->from + j])) {
			i++;
			j++;
		} else if (more_a &&
			   (!more_b || row[width + 1 + j] >= row[j + 1])) {
			show_line(out, '-', a, a->from + i++);
		} else {
			show_line(out, '+', b, b->from + j++);
		}
	}
}

static void show_all(const struct part *a, const struct part *b, GString *out)
{
	for (guint i = a->from; i < a->to; i++)
		show_line(out, '-', a, i);
	for (guint j = b->from; j < b->to; j++)
		show_line(out, '+', b, j);
}

void rr_format_line_diff(const char *old, const char *new, GString *out)
{
	struct part a = split(old);
	struct part b = split(new);
	uint32_t *lengths;

	trim_common_ends(&a, &b);
	if ((uint64_t)(part_length(&a) + 1) * (part_length(&b) + 1) >
	    MOST_CELLS) {
		show_all(&a, &b, out);
	} else {
		lengths = measure(&a, &b);
		show_measured(&a, &b, lengths, out);
		g_free(lengths);
	}
	g_strfreev(a.lines);
	g_strfreev(b.lines);
}
