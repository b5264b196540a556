/*
 * start-settings.c - defaults and parser of an instance's start file.
 */
#include "settings/settings-table.h"

#define DEFAULT_MAX_LINES_PER_S 1000
#define DEFAULT_DRAIN_TIMEOUT_MS 30000
#define DEFAULT_MAX_BODY_BYTES 65536
#define DEFAULT_CALLER_IDLE_MS 60000
/* The same as the gateway's limit.  A caller needs one or two connections. */
#define DEFAULT_MAX_CALLER_CONNECTIONS 2000

#define BYTES_PER_MB (1024 * 1024)
/*
 * The rest of the memory is for the state of the instance, for messages that
 * pass at any time because they are short, and for copies.
 */
#define CALLER_MEMORY_DIVISOR 4

uint64_t rr_caller_memory_bytes(uint32_t memory_mb)
{
	return (uint64_t)memory_mb * BYTES_PER_MB / CALLER_MEMORY_DIVISOR;
}

void rr_init_start_settings(struct rr_start_settings *settings)
{
	*settings = (struct rr_start_settings){
		.seed_peers = g_new0(char *, 1),
		.log_level = RR_LOG_DECISION,
		.log_format = RR_LOG_KEY_VALUE,
		.log_max_lines_per_s = DEFAULT_MAX_LINES_PER_S,
		.drain_timeout_ms = DEFAULT_DRAIN_TIMEOUT_MS,
		.peer_allowed_keys = g_new0(char *, 1),
		.max_body_bytes = DEFAULT_MAX_BODY_BYTES,
		.caller_idle_ms = DEFAULT_CALLER_IDLE_MS,
		.caller_max_connections = DEFAULT_MAX_CALLER_CONNECTIONS,
		.memory_mb = RR_DEFAULT_MEMORY_MB,
	};
}

static void assign_nested_mappings(const struct rr_yaml_node *root,
				   enum rr_setting_scope scope, void *target)
{
	for (size_t i = 0; i < rr_n_settings; i++) {
		const struct rr_setting *setting = &rr_settings[i];
		const struct rr_yaml_node *value;

		if (setting->scope != scope || setting->type != RR_TYPE_MAPPING)
			continue;
		value = rr_find_yaml_value(root, setting->name);
		if (value && value->kind == RR_YAML_MAPPING)
			rr_assign_setting_mapping(setting->inner_scope, value,
						  target);
	}
}

bool rr_parse_start_file(const struct rr_settings_source *file,
			 enum rr_setting_scope scope, void *target,
			 GPtrArray *diagnostics)
{
	guint n_before = diagnostics->len;
	struct rr_yaml_node *root = rr_parse_yaml(file, diagnostics);

	if (!root)
		return false;
	rr_check_settings_tree(root, scope, false, diagnostics);
	rr_check_required_keys(root, scope, diagnostics);
	if (root->kind == RR_YAML_MAPPING) {
		rr_assign_setting_mapping(scope, root, target);
		assign_nested_mappings(root, scope, target);
	}
	rr_drop_yaml_node(root);
	rr_sort_diagnostics(diagnostics, n_before);
	return !rr_has_errors(diagnostics, n_before);
}

struct rr_start_settings *
rr_parse_start_settings(const struct rr_settings_source *file,
			GPtrArray *diagnostics)
{
	struct rr_start_settings *settings =
		g_new0(struct rr_start_settings, 1);

	rr_init_start_settings(settings);
	if (rr_parse_start_file(file, RR_SCOPE_START, settings, diagnostics))
		return settings;
	rr_drop_start_settings(settings);
	return NULL;
}

void rr_drop_start_settings(struct rr_start_settings *settings)
{
	if (!settings)
		return;
	g_free(settings->instance);
	g_free(settings->zone);
	g_free(settings->site);
	g_free(settings->caller_address);
	g_free(settings->peer_address);
	g_free(settings->platform_address);
	g_strfreev(settings->seed_peers);
	g_free(settings->tls_certificate_file);
	g_free(settings->tls_key_file);
	g_free(settings->caller_token_file);
	g_free(settings->peer_public_key);
	g_free(settings->peer_secret_key_file);
	g_strfreev(settings->peer_allowed_keys);
	g_free(settings);
}
