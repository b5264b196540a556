/*
 * line-diff.c - line-based diff of two texts.
 *
 * After the common prefix and suffix are removed, the remaining lines are
 * compared by their longest common subsequence.
 */
#include "tool/line-diff.h"

#include <stdbool.h>
#include <stdint.h>
#include <string.h>

/*
 * Bound on the size of the table.  Above it, all lines between the common
 * prefix and suffix are printed as removed and added.
 */
#define MAX_TABLE_CELLS (16u << 20)

/* Lines [from, to) of a text. */
struct range {
	char **lines;
	guint from;
	guint to;
};

static guint range_length(const struct range *range)
{
	return range->to - range->from;
}

static struct range split_lines(const char *text)
{
	struct range range = { .lines =
				       g_strsplit(text ? text : "", "\n", -1) };

	range.to = g_strv_length(range.lines);
	/* A final line feed ends the last line and does not start another. */
	if (range.to && !*range.lines[range.to - 1])
		range.to--;
	return range;
}

static void trim_common_ends(struct range *a, struct range *b)
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

static void format_line(GString *out, char sign, const struct range *range,
			guint i)
{
	g_string_append_printf(out, "%c%5u  %s\n", sign, i + 1,
			       range->lines[i]);
}

/*
 * Return the table of the longest common subsequence: lengths[i][j] is its
 * length for the lines of a from i on and those of b from j on.  A row has one
 * element more than b has lines.
 */
static uint32_t *build_lcs_table(const struct range *a, const struct range *b)
{
	guint height = range_length(a);
	guint width = range_length(b);
	uint32_t *lengths = g_new0(uint32_t, (gsize)(height + 1) * (width + 1));

	for (guint i = height; i-- > 0;) {
		uint32_t *row = lengths + (gsize)i * (width + 1);
		const uint32_t *next_row = row + width + 1;

		for (guint j = width; j-- > 0;) {
			bool same = !strcmp(a->lines[a->from + i],
					    b->lines[b->from + j]);

			row[j] = same ? next_row[j + 1] + 1 :
					MAX(next_row[j], row[j + 1]);
		}
	}
	return lengths;
}

static void format_lcs_diff(const struct range *a, const struct range *b,
			    const uint32_t *lengths, GString *out)
{
	guint width = range_length(b);
	guint i = 0;
	guint j = 0;

	while (i < range_length(a) || j < width) {
		const uint32_t *row = lengths + (gsize)i * (width + 1);
		bool has_a = i < range_length(a);
		bool has_b = j < width;

		if (has_a && has_b &&
		    !strcmp(a->lines[a->from + i], b->lines[b->from + j])) {
			i++;
			j++;
		} else if (has_a &&
			   (!has_b || row[width + 1 + j] >= row[j + 1])) {
			format_line(out, '-', a, a->from + i++);
		} else {
			format_line(out, '+', b, b->from + j++);
		}
	}
}

static void format_all_lines(const struct range *a, const struct range *b,
			     GString *out)
{
	for (guint i = a->from; i < a->to; i++)
		format_line(out, '-', a, i);
	for (guint j = b->from; j < b->to; j++)
		format_line(out, '+', b, j);
}

void rr_format_line_diff(const char *old, const char *new, GString *out)
{
	struct range a = split_lines(old);
	struct range b = split_lines(new);
	uint32_t *lengths;

	trim_common_ends(&a, &b);
	if ((uint64_t)(range_length(&a) + 1) * (range_length(&b) + 1) >
	    MAX_TABLE_CELLS) {
		format_all_lines(&a, &b, out);
	} else {
		lengths = build_lcs_table(&a, &b);
		format_lcs_diff(&a, &b, lengths, out);
		g_free(lengths);
	}
	g_strfreev(a.lines);
	g_strfreev(b.lines);
}
