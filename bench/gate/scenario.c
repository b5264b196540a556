/*
 * scenario.c - scenario files, and randomly generated scenarios.
 */
#include "gate/emulator.h"

#include <math.h>
#include <stddef.h>
#include <string.h>

#include "settings/yaml-tree.h"

/* A numeric key of a scenario, a route or a fault. */
struct number_key {
	const char *name;
	size_t offset;
	double min;
	double max;
};

#define SCENARIO_KEY(key, min, max)                                     \
	{                                                               \
#key, offsetof(struct emulated_scenario, key), min, max \
	}
#define ROUTE_KEY(key, min, max)                                     \
	{                                                            \
#key, offsetof(struct emulated_route, key), min, max \
	}
#define FAULT_KEY(key, min, max)                                     \
	{                                                            \
#key, offsetof(struct emulated_fault, key), min, max \
	}

static const struct number_key scenario_keys[] = {
	SCENARIO_KEY(seconds, 1, 3600),
	SCENARIO_KEY(instances, 1, 200),
	SCENARIO_KEY(zones, 1, 20),
	SCENARIO_KEY(shards, 1, 2000),
	SCENARIO_KEY(replicas, 1, 8),
	SCENARIO_KEY(slots, 1, 100),
	SCENARIO_KEY(queue, 0, 1000),
	SCENARIO_KEY(connections, 1, 10000),
	SCENARIO_KEY(connect_ms, 0, 1000),
	SCENARIO_KEY(pause_ms, 0, 10000),
	SCENARIO_KEY(pause_every_ms, 0, 600000),
	SCENARIO_KEY(far_ms, 0, 1000),
	SCENARIO_KEY(caller_ms, 0, 1000),
	SCENARIO_KEY(new_callers, 0, 1),
	SCENARIO_KEY(extra_ratio, 0, 10),
	SCENARIO_KEY(extra_slack, 0, 100000),
	SCENARIO_KEY(cold_per_s, 0, 100000),
};

static const struct number_key route_keys[] = {
	ROUTE_KEY(per_s, 0.01, 100000),	   ROUTE_KEY(objective_ms, 1, 60000),
	ROUTE_KEY(deadline_ms, 1, 600000), ROUTE_KEY(least_share, 0, 1),
	ROUTE_KEY(work_ms, 0.01, 60000),   ROUTE_KEY(max_attempts, 1, 8),
};

static const struct number_key fault_keys[] = {
	FAULT_KEY(at_s, 0, 3600),  FAULT_KEY(for_s, 0.001, 3600),
	FAULT_KEY(share, 0, 1),	   FAULT_KEY(x, 0, 100000),
	FAULT_KEY(shard, 0, 2000),
};

static const char *const fault_kind_names[N_FAULT_KINDS] = {
	[FAULT_SLOW] = "slow",	       [FAULT_UNRESPONSIVE] = "silent",
	[FAULT_DOWN] = "gone",	       [FAULT_SHED] = "shed",
	[FAULT_ERRORS] = "fail",       [FAULT_ZONE_ISOLATED] = "cut",
	[FAULT_BURST] = "burst",       [FAULT_RESTART] = "reborn",
	[FAULT_CRASH] = "crash",       [FAULT_QUERY_OF_DEATH] = "deadly",
	[FAULT_EVACUATE] = "evacuate", [FAULT_RESTORE] = "restore",
};

void init_scenario(struct emulated_scenario *scenario)
{
	*scenario = (struct emulated_scenario){
		.seconds = 20,
		.instances = 9,
		.zones = 4,
		.shards = 20,
		.replicas = 2,
		.slots = 2,
		.queue = 12,
		.connections = 26,
		.connect_ms = 6,
		.pause_ms = 100,
		.pause_every_ms = 2400,
		.far_ms = 0.5,
		.caller_ms = 3,
		.new_callers = 0.05,
		.extra_ratio = 0.2,
		.extra_slack = 58,
	};
}

static bool parse_number(const struct rr_yaml_entry *entry, const char *file,
			 const struct number_key *keys, size_t n, void *target,
			 GPtrArray *diagnostics)
{
	const char *text =
		entry->value->kind == RR_YAML_SCALAR ? entry->value->text : "";
	char *end;
	double number = g_ascii_strtod(text, &end);

	for (size_t i = 0; i < n; i++) {
		if (strcmp(keys[i].name, entry->key))
			continue;
		if (end == text || *end || number < keys[i].min ||
		    number > keys[i].max)
			rr_add_diagnostic(diagnostics, file, entry->line,
					  "%s: must be a number from %g to %g",
					  entry->key, keys[i].min, keys[i].max);
		else
			*(double *)(void *)((char *)target + keys[i].offset) =
				number;
		return true;
	}
	return false;
}

static void report_unknown_key(const struct rr_yaml_entry *entry,
			       const char *file, GPtrArray *diagnostics)
{
	rr_add_diagnostic(diagnostics, file, entry->line,
			  "found the unknown key '%s'", entry->key);
}

static void parse_name(const struct rr_yaml_entry *entry, char *name)
{
	if (entry->value->kind == RR_YAML_SCALAR)
		g_strlcpy(name, entry->value->text, NAME_SIZE);
}

static void parse_route(const struct rr_yaml_node *node, const char *file,
			struct emulated_route *route, GPtrArray *diagnostics)
{
	*route = (struct emulated_route){ .max_attempts = 2 };
	for (guint i = 0; node->entries && i < node->entries->len; i++) {
		const struct rr_yaml_entry *entry = node->entries->pdata[i];

		if (!strcmp(entry->key, "name"))
			parse_name(entry, route->name);
		else if (!parse_number(entry, file, route_keys,
				       G_N_ELEMENTS(route_keys), route,
				       diagnostics))
			report_unknown_key(entry, file, diagnostics);
	}
	if (!*route->name || route->per_s <= 0 || route->work_ms <= 0 ||
	    route->objective_ms <= 0 || route->deadline_ms <= 0)
		rr_add_diagnostic(
			diagnostics, file, node->line,
			"a route needs name, per_s, work_ms, objective_ms "
			"and deadline_ms");
}

static void parse_fault_kind(const struct rr_yaml_entry *entry,
			     const char *file, struct emulated_fault *fault,
			     GPtrArray *diagnostics)
{
	for (int i = 0; i < N_FAULT_KINDS; i++) {
		if (g_strcmp0(entry->value->text, fault_kind_names[i]))
			continue;
		fault->kind = (enum emulated_fault_kind)i;
		return;
	}
	rr_add_diagnostic(diagnostics, file, entry->line,
			  "kind: found an unknown kind of fault");
}

static void parse_fault(const struct rr_yaml_node *node, const char *file,
			struct emulated_fault *fault, GPtrArray *diagnostics)
{
	*fault = (struct emulated_fault){ .for_s = 5, .x = 1, .shard = -1 };
	for (guint i = 0; node->entries && i < node->entries->len; i++) {
		const struct rr_yaml_entry *entry = node->entries->pdata[i];

		if (!strcmp(entry->key, "kind"))
			parse_fault_kind(entry, file, fault, diagnostics);
		else if (!parse_number(entry, file, fault_keys,
				       G_N_ELEMENTS(fault_keys), fault,
				       diagnostics))
			report_unknown_key(entry, file, diagnostics);
	}
}

static void parse_list(const struct rr_yaml_entry *entry, const char *file,
		       struct emulated_scenario *scenario,
		       GPtrArray *diagnostics)
{
	bool is_routes = !strcmp(entry->key, "routes");
	guint max = is_routes ? MAX_ROUTES : MAX_FAULTS;
	const GPtrArray *items = entry->value->items;

	if (entry->value->kind != RR_YAML_LIST || items->len > max) {
		rr_add_diagnostic(diagnostics, file, entry->line,
				  "%s: must be a list of up to %u mappings",
				  entry->key, max);
		return;
	}
	for (guint i = 0; i < items->len; i++) {
		if (is_routes)
			parse_route(items->pdata[i], file, &scenario->routes[i],
				    diagnostics);
		else
			parse_fault(items->pdata[i], file, &scenario->faults[i],
				    diagnostics);
	}
	if (is_routes)
		scenario->n_routes = items->len;
	else
		scenario->n_faults = items->len;
}

static void parse_scenario(const struct rr_yaml_node *root, const char *file,
			   struct emulated_scenario *scenario,
			   GPtrArray *diagnostics)
{
	for (guint i = 0; root->entries && i < root->entries->len; i++) {
		const struct rr_yaml_entry *entry = root->entries->pdata[i];

		if (!strcmp(entry->key, "name"))
			parse_name(entry, scenario->name);
		else if (!strcmp(entry->key, "routes") ||
			 !strcmp(entry->key, "faults"))
			parse_list(entry, file, scenario, diagnostics);
		else if (!parse_number(entry, file, scenario_keys,
				       G_N_ELEMENTS(scenario_keys), scenario,
				       diagnostics))
			report_unknown_key(entry, file, diagnostics);
	}
	if (!scenario->n_routes)
		rr_add_diagnostic(diagnostics, file, root->line,
				  "the key 'routes' is missing");
}

bool load_scenario(const char *file, struct emulated_scenario *scenario,
		   GPtrArray *diagnostics)
{
	struct rr_settings_source source = { .file = file };
	struct rr_yaml_node *root = NULL;
	GError *error = NULL;
	char *text = NULL;

	init_scenario(scenario);
	if (g_file_get_contents(file, &text, &source.length, &error)) {
		source.text = text;
		root = rr_parse_yaml(&source, diagnostics);
	} else {
		rr_add_diagnostic(diagnostics, file, 1, "%s", error->message);
		g_error_free(error);
	}
	if (root)
		parse_scenario(root, file, scenario, diagnostics);
	rr_drop_yaml_node(root);
	g_free(text);
	return !diagnostics->len;
}

/* Log-uniform distribution. */
static double draw_log_uniform(GRand *rand, double min, double max)
{
	return min * pow(max / min, g_rand_double(rand));
}

static double draw_integer(GRand *rand, int min, int max)
{
	return g_rand_int_range(rand, min, max + 1);
}

static void draw_faults(GRand *rand, struct emulated_scenario *scenario)
{
	scenario->n_faults = (uint32_t)draw_integer(rand, 0, 3);
	for (uint32_t i = 0; i < scenario->n_faults; i++) {
		static const enum emulated_fault_kind kinds[] = {
			FAULT_SLOW, FAULT_UNRESPONSIVE, FAULT_DOWN,
			FAULT_SHED, FAULT_RESTART,
		};
		struct emulated_fault *fault = &scenario->faults[i];

		fault->kind = kinds[g_rand_int_range(
			rand, 0, (gint32)G_N_ELEMENTS(kinds))];
		fault->at_s = 1 + 6 * g_rand_double(rand);
		fault->for_s = 1 + 4 * g_rand_double(rand);
		fault->share = 0.3 * g_rand_double(rand);
		fault->x = fault->kind == FAULT_SLOW ?
				   draw_log_uniform(rand, 2, 20) :
				   g_rand_double(rand);
		fault->shard = -1;
	}
}

void generate_scenario(uint32_t seed, struct emulated_scenario *scenario)
{
	GRand *rand = g_rand_new_with_seed(seed);
	struct emulated_route *route = &scenario->routes[0];
	double capacity_per_s;

	init_scenario(scenario);
	g_snprintf(scenario->name, sizeof(scenario->name), "drawn-%u", seed);
	scenario->seconds = 10;
	scenario->shards = floor(draw_log_uniform(rand, 5, 200));
	scenario->replicas = draw_integer(rand, 1, 4);
	scenario->zones = draw_integer(rand, 1, 5);
	scenario->instances =
		MAX(scenario->zones, floor(draw_log_uniform(rand, 3, 60)));
	scenario->slots = draw_integer(rand, 1, 6);
	scenario->connections = 3 * scenario->instances;
	scenario->pause_every_ms = 2400;
	scenario->pause_ms = draw_integer(rand, 0, 2) * 100;
	scenario->far_ms = 0.2 + 2 * g_rand_double(rand);
	scenario->caller_ms = 0.5 + 3 * g_rand_double(rand);
	g_strlcpy(route->name, "search", sizeof(route->name));
	route->work_ms = draw_log_uniform(rand, 1, 200);
	route->objective_ms = route->work_ms * (5 + 5 * g_rand_double(rand)) +
			      4 * scenario->caller_ms + 10;
	route->deadline_ms = 8 * route->objective_ms + 200;
	route->least_share = 0.75 + 0.2 * g_rand_double(rand);
	route->max_attempts = 2;
	capacity_per_s =
		scenario->replicas * scenario->slots * 1000 / route->work_ms;
	/* Enough requests to measure, few enough for a short run. */
	route->per_s = MIN(capacity_per_s * (0.1 + 0.4 * g_rand_double(rand)),
			   40000 / scenario->shards);
	scenario->n_routes = 1;
	scenario->extra_slack = route->per_s;
	draw_faults(rand, scenario);
	g_rand_free(rand);
}

void init_baseline_policy(struct rr_gate_policy *policy)
{
	static const char *const disabled[] = {
		"admit_by_wait",    "choose_by_slowness",
		"choose_by_losses", "choose_avoids_suspects",
		"limit_adapts",	    "hedge_slow",
		"silence_of_zones",
	};

	rr_init_gate_policy(policy);
	for (size_t i = 0; i < G_N_ELEMENTS(disabled); i++)
		rr_set_gate_policy(policy, disabled[i], "off");
}
