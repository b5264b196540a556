/*
 * reference.c - print the reference page of all settings from the table.
 */
#include "settings/settings-table.h"

struct scope_section {
	enum rr_setting_scope scope;
	const char *heading;
	const char *note;
};

static const struct scope_section site_sections[] = {
	{ RR_SCOPE_SITE, "Top level", NULL },
	{ RR_SCOPE_SITE_LOG, "`log`", NULL },
	{ RR_SCOPE_SERVICE, "`services`, a list; and `defaults`",
	  "Keys marked * may not stand in `defaults`. A service's own value "
	  "goes before `defaults`, and that before the default shown here." },
	{ RR_SCOPE_SHARD, "`shards` of a service, a list", NULL },
	{ RR_SCOPE_REPLICA, "`replicas` of a shard, a list", NULL },
};

static const struct scope_section start_sections[] = {
	{ RR_SCOPE_START, "Top level", NULL },
	{ RR_SCOPE_START_LOG, "`log`", NULL },
	{ RR_SCOPE_START_TLS, "`tls`", NULL },
	{ RR_SCOPE_START_CURVE, "`curve`", NULL },
};

static const struct scope_section gateway_sections[] = {
	{ RR_SCOPE_GATEWAY, "Top level", NULL },
	{ RR_SCOPE_GATEWAY_LOG, "`log`", NULL },
};

/* Structs as they are before a file sets anything. */
struct default_values {
	struct rr_config *config;
	struct rr_service_config service;
	struct rr_start_settings start;
	struct rr_gateway_settings gateway;
};

static const void *find_defaults(const struct default_values *defaults,
				 enum rr_setting_scope scope)
{
	switch (scope) {
	case RR_SCOPE_SITE:
	case RR_SCOPE_SITE_LOG:
		return defaults->config;
	case RR_SCOPE_SERVICE:
		return &defaults->service;
	case RR_SCOPE_START:
	case RR_SCOPE_START_LOG:
		return &defaults->start;
	case RR_SCOPE_GATEWAY:
	case RR_SCOPE_GATEWAY_LOG:
		return &defaults->gateway;
	default:
		return NULL;
	}
}

static void append_default(const struct rr_setting *setting,
			   const void *defaults, GString *out)
{
	if (setting->required)
		g_string_append(out, "required");
	else if (!defaults || setting->no_field)
		g_string_append(out, "none");
	else
		rr_format_setting_value(setting, defaults, out);
}

static const char *mark_of(const struct rr_setting *setting)
{
	if (setting->scope == RR_SCOPE_SERVICE && setting->not_in_defaults)
		return " *";
	return "";
}

static void append_setting(const struct rr_setting *setting,
			   const struct default_values *defaults, GString *out)
{
	char *allowed = rr_describe_allowed_values(setting);

	g_string_append_printf(out, "| `%s`%s | %s%s%s | ", setting->name,
			       mark_of(setting), allowed,
			       setting->unit ? "; " : "",
			       setting->unit ? setting->unit : "");
	append_default(setting, find_defaults(defaults, setting->scope), out);
	g_string_append_printf(out, " | %s%s%s |\n", setting->help,
			       setting->base_only ? " Base file only." : "",
			       setting->overlay_only ? " Overlay only." : "");
	g_free(allowed);
}

static void append_section(const struct scope_section *section,
			   const struct default_values *defaults, GString *out)
{
	g_string_append_printf(out, "### %s\n\n", section->heading);
	if (section->note)
		g_string_append_printf(out, "%s\n\n", section->note);
	g_string_append(out, "| key | allowed | default | meaning |\n"
			     "| --- | --- | --- | --- |\n");
	for (size_t i = 0; i < rr_n_settings; i++) {
		if (rr_settings[i].scope == section->scope)
			append_setting(&rr_settings[i], defaults, out);
	}
	g_string_append_c(out, '\n');
}

static const char introduction[] =
	"# Settings\n"
	"\n"
	"Made by `ragwort settings-reference` from the table that checks the\n"
	"files; do not edit it by hand. `ragwort check` tells of everything\n"
	"that is wrong in a file, with its line. FORMATS.md shows whole "
	"files.\n"
	"\n"
	"Settings files are plain YAML in UTF-8, at most 1 MiB: no anchors,\n"
	"aliases, tags or second documents; numbers are decimal and without\n"
	"quotes; true and false are written so.\n"
	"\n"
	"## Operators' files: base and overlays\n"
	"\n"
	"Every change is in force within seconds of `ragwort config push`,\n"
	"without a restart.\n"
	"\n";

static const char start_introduction[] =
	"## Start file of an instance\n"
	"\n"
	"Read once: a change is in force after a restart of the instance.\n"
	"The log settings can be replaced without one by `log` of the\n"
	"operators' files, and `SIGHUP` makes the instance read `curve` and the\n"
	"files named in `tls`, `caller_token_file` and `curve` again; see\n"
	"[operators/keys.md](operators/keys.md).\n"
	"\n";

static const char gateway_introduction[] =
	"## Start file of a gateway\n"
	"\n"
	"For `ragwort-gateway`. Read once: a change is in force after a\n"
	"restart. Routes and replicas come from the platform's store.\n"
	"\n";

void rr_format_settings_reference(GString *out)
{
	struct default_values defaults = { .config = rr_new_config() };

	rr_init_service_config(&defaults.service);
	rr_init_start_settings(&defaults.start);
	rr_init_gateway_settings(&defaults.gateway);
	g_string_append(out, introduction);
	for (size_t i = 0; i < G_N_ELEMENTS(site_sections); i++)
		append_section(&site_sections[i], &defaults, out);
	g_string_append(out, start_introduction);
	for (size_t i = 0; i < G_N_ELEMENTS(start_sections); i++)
		append_section(&start_sections[i], &defaults, out);
	g_string_append(out, gateway_introduction);
	for (size_t i = 0; i < G_N_ELEMENTS(gateway_sections); i++)
		append_section(&gateway_sections[i], &defaults, out);
	g_string_truncate(out, out->len - 1);
	rr_drop_config(defaults.config);
	g_strfreev(defaults.start.seed_peers);
	g_strfreev(defaults.gateway.seed_peers);
	g_strfreev(defaults.gateway.zone_regions);
	g_strfreev(defaults.start.peer_allowed_keys);
}

/* What stands before a key that is inside a mapping of the start file. */
static const char *find_outer(enum rr_setting_scope scope)
{
	for (size_t i = 0; i < rr_n_settings; i++) {
		if (rr_settings[i].scope == RR_SCOPE_START &&
		    rr_settings[i].type == RR_TYPE_MAPPING &&
		    rr_settings[i].inner_scope == scope)
			return rr_settings[i].name;
	}
	return NULL;
}

void rr_format_restart_only_keys(GString *out)
{
	for (size_t i = 0; i < rr_n_settings; i++) {
		const struct rr_setting *setting = &rr_settings[i];
		const char *outer = find_outer(setting->scope);

		if (!setting->needs_restart)
			continue;
		g_string_append_printf(out, "%s%s%s%s", out->len ? ", " : "",
				       outer ? outer : "", outer ? "." : "",
				       setting->name);
	}
}
