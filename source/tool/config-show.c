/*
 * config-show.c - `ragwort config show` and `config history`: accepted files
 * and their latest changes.
 */
#include <stdio.h>

#include "tool/platform.h"
#include "tool/tool.h"

static int show_file(const struct rr_command *command,
		     const struct rr_config_record *record, const char *name)
{
	const char *text = rr_config_file_text(record, name);

	if (!text) {
		rr_print_message(command,
				 "there is no accepted file '%s'; `ragwort "
				 "config show` without --site lists the sites",
				 name);
		return RR_EXIT_FAILED;
	}
	fputs(text, stdout);
	rr_print_message(
		command,
		"%s as of revision %" G_GUINT64_FORMAT
		"; to change it, push with --revision %" G_GUINT64_FORMAT,
		name, rr_config_file_revision(record, name),
		rr_config_file_revision(record, name));
	return RR_EXIT_OK;
}

static void list_files(const struct rr_config_record *record)
{
	char **sites = rr_list_overlay_sites(record);

	printf("revision %" G_GUINT64_FORMAT "\n",
	       rr_config_record_revision(record));
	printf("%-24s revision %" G_GUINT64_FORMAT "\n", RR_CONFIG_BASE_FILE,
	       rr_config_file_revision(record, RR_CONFIG_BASE_FILE));
	for (size_t i = 0; sites[i]; i++)
		printf("%-24s revision %" G_GUINT64_FORMAT "\n", sites[i],
		       rr_config_file_revision(record, sites[i]));
	g_strfreev(sites);
}

int rr_run_config_show(const struct rr_command *command, int argc, char **argv)
{
	struct arg_str *platform = arg_str1(NULL, "platform", "IP:PORT",
					    "the platform's key-value service");
	struct arg_str *site =
		arg_str0(NULL, "site", "NAME", "print this site's overlay");
	struct arg_lit *base = arg_lit0(NULL, "base", "print the base file");
	struct rr_common_arguments common = rr_new_common_arguments();
	void *table[] = { platform, site, base, common.help, common.end };
	struct rr_config_record *record = NULL;
	int code;

	if (rr_parse_arguments(command, table, &common, argc, argv, &code))
		record = rr_read_config_record(command, platform->sval[0],
					       &code);
	if (record && site->count)
		code = show_file(command, record, site->sval[0]);
	else if (record && base->count)
		code = show_file(command, record, RR_CONFIG_BASE_FILE);
	else if (record)
		list_files(record);
	rr_drop_config_record(record);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}

static void print_history(const struct rr_config_record *record)
{
	const struct rr_config_change *changes;
	size_t n_changes = rr_list_config_changes(record, &changes);

	printf("%-9s %-20s %-20s %-20s %s\n", "REVISION", "WHEN (UTC)", "FILE",
	       "AUTHOR", "CHANGE ID");
	for (size_t i = 0; i < n_changes; i++) {
		GDateTime *when =
			g_date_time_new_from_unix_utc(changes[i].when_s);
		char *stamp = when ? g_date_time_format(when, "%FT%TZ") :
				     g_strdup("?");

		printf("%-9" G_GUINT64_FORMAT " %-20s %-20s %-20s %s\n",
		       changes[i].revision, stamp, changes[i].file,
		       changes[i].author, changes[i].change_id);
		g_free(stamp);
		if (when)
			g_date_time_unref(when);
	}
}

int rr_run_config_history(const struct rr_command *command, int argc,
			  char **argv)
{
	struct arg_str *platform = arg_str1(NULL, "platform", "IP:PORT",
					    "the platform's key-value service");
	struct rr_common_arguments common = rr_new_common_arguments();
	void *table[] = { platform, common.help, common.end };
	struct rr_config_record *record = NULL;
	int code;

	if (rr_parse_arguments(command, table, &common, argc, argv, &code))
		record = rr_read_config_record(command, platform->sval[0],
					       &code);
	if (record)
		print_history(record);
	rr_drop_config_record(record);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
