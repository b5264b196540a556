/*
 * scenario.c - scenarios from checked files, and drawn ones.
 */
#include "gate/emulator.h"

#include <math.h>
#include <stddef.h>
#include <string.h>

#include "settings/yaml-tree.h"

/* A number of a scenario, a route or a fault, by its key. */
struct number_key {
	const char *name;
	size_t offset;
	double least;
	double most;
};

#define OF_SCENARIO(key, least, most)                                      \
	{                                                                  \
#key, offsetof(struct emulated_scenario, key), least, most \
	}
#define OF_ROUTE(key, least, most)                                      \
	{                                                               \
#key, offsetof(struct emulated_route, key), least, most \
	}
#define OF_FAULT(key, least, most)                                      \
	{                                                               \
#key, offsetof(struct emulated_fault, key), least, most \
	}

static const struct number_key scenario_keys[] = {
	OF_SCENARIO(seconds, 1, 3600),
	OF_SCENARIO(instances, 1, 200),
	OF_SCENARIO(zones, 1, 20),
	OF_SCENARIO(shards, 1, 2000),
	OF_SCENARIO(replicas, 1, 8),
	OF_SCENARIO(slots, 1, 100),
	OF_SCENARIO(queue, 0, 1000),
	OF_SCENARIO(connections, 1, 10000),
	OF_SCENARIO(connect_ms, 0, 1000),
	OF_SCENARIO(pause_ms, 0, 10000),
	OF_SCENARIO(pause_every_ms, 0, 600000),
	OF_SCENARIO(far_ms, 0, 1000),
	OF_SCENARIO(caller_ms, 0, 1000),
	OF_SCENARIO(new_callers, 0, 1),
	OF_SCENARIO(extra_ratio, 0, 10),
	OF_SCENARIO(extra_slack, 0, 100000),
	OF_SCENARIO(cold_per_s, 0, 100000),
};

static const struct number_key route_keys[] = {
	OF_ROUTE(per_s, 0.01, 100000),	  OF_ROUTE(objective_ms, 1, 60000),
	OF_ROUTE(deadline_ms, 1, 600000), OF_ROUTE(least_share, 0, 1),
	OF_ROUTE(work_ms, 0.01, 60000),	  OF_ROUTE(max_attempts, 1, 8),
};

static const struct number_key fault_keys[] = {
	OF_FAULT(at_s, 0, 3600),  OF_FAULT(for_s, 0.001, 3600),
	OF_FAULT(share, 0, 1),	  OF_FAULT(x, 0, 100000),
	OF_FAULT(shard, 0, 2000),
};

static const char *const trouble_names[N_FAULT_KINDS] = {
	[FAULT_SLOW] = "slow",	       [FAULT_UNRESPONSIVE] = "silent",
	[FAULT_DOWN] = "gone",	       [FAULT_SHED] = "shed",
	[FAULT_ERRORS] = "fail",       [FAULT_ZONE_ISOLATED] = "cut",
	[FAULT_BURST] = "burst",       [FAULT_RESTART] = "reborn",
	[FAULT_CRASH] = "crash",       [FAULT_QUERY_OF_DEATH] = "deadly",
	[FAULT_EVACUATE] = "evacuate",
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

static bool store_number(const struct rr_yaml_entry *entry, const char *file,
			 const struct number_key *keys, size_t n, void *target,
			 GPtrArray *faults)
{
	const char *text =
		entry->value->kind == RR_YAML_SCALAR ? entry->value->text : "";
	char *end;
	double number = g_ascii_strtod(text, &end);

	for (size_t i = 0; i < n; i++) {
		if (strcmp(keys[i].name, entry->key))
			continue;
		if (end == text || *end || number < keys[i].least ||
		    number > keys[i].most)
			rr_add_diagnostic(
				faults, file, entry->line,
				"%s: allowed is a number from %g to %g",
				entry->key, keys[i].least, keys[i].most);
		else
			*(double *)(void *)((char *)target + keys[i].offset) =
				number;
		return true;
	}
	return false;
}

static void refuse_key(const struct rr_yaml_entry *entry, const char *file,
		       GPtrArray *faults)
{
	rr_add_diagnostic(faults, file, entry->line,
			  "found the unknown key '%s'", entry->key);
}

static void store_name(const struct rr_yaml_entry *entry, char *name)
{
	if (entry->value->kind == RR_YAML_SCALAR)
		g_strlcpy(name, entry->value->text, NAME_SIZE);
}

static void store_route(const struct rr_yaml_node *node, const char *file,
			struct emulated_route *route, GPtrArray *faults)
{
	*route = (struct emulated_route){ .max_attempts = 2 };
	for (guint i = 0; node->entries && i < node->entries->len; i++) {
		const struct rr_yaml_entry *entry = node->entries->pdata[i];

		if (!strcmp(entry->key, "name"))
			store_name(entry, route->name);
		else if (!store_number(entry, file, route_keys,
				       G_N_ELEMENTS(route_keys), route, faults))
			refuse_key(entry, file, faults);
	}
	if (!*route->name || route->per_s <= 0 || route->work_ms <= 0 ||
	    route->objective_ms <= 0 || route->deadline_ms <= 0)
		rr_add_diagnostic(
			faults, file, node->line,
			"a route needs name, per_s, work_ms, objective_ms "
			"and deadline_ms");
}

static void store_kind(const struct rr_yaml_entry *entry, const char *file,
		       struct emulated_fault *fault, GPtrArray *faults)
{
	for (int i = 0; i < N_FAULT_KINDS; i++) {
		if (g_strcmp0(entry->value->text, trouble_names[i]))
			continue;
		fault->kind = (enum emulated_fault_kind)i;
		return;
	}
	rr_add_diagnostic(faults, file, entry->line,
			  "kind: found no known trouble");
}

static void store_fault(const struct rr_yaml_node *node, const char *file,
			struct emulated_fault *fault, GPtrArray *faults)
{
	*fault = (struct emulated_fault){ .for_s = 5, .x = 1, .shard = -1 };
	for (guint i = 0; node->entries && i < node->entries->len; i++) {
		const struct rr_yaml_entry *entry = node->entries->pdata[i];

		if (!strcmp(entry->key, "kind"))
			store_kind(entry, file, fault, faults);
		else if (!store_number(entry, file, fault_keys,
				       G_N_ELEMENTS(fault_keys), fault, faults))
			refuse_key(entry, file, faults);
	}
}

static void store_list(const struct rr_yaml_entry *entry, const char *file,
		       struct emulated_scenario *scenario, GPtrArray *faults)
{
	bool is_routes = !strcmp(entry->key, "routes");
	guint most = is_routes ? MAX_ROUTES : MAX_FAULTS;
	const GPtrArray *items = entry->value->items;

	if (entry->value->kind != RR_YAML_LIST || items->len > most) {
		rr_add_diagnostic(faults, file, entry->line,
				  "%s: allowed is a list of up to %u mappings",
				  entry->key, most);
		return;
	}
	for (guint i = 0; i < items->len; i++) {
		if (is_routes)
			store_route(items->pdata[i], file, &scenario->routes[i],
				    faults);
		else
			store_fault(items->pdata[i], file, &scenario->faults[i],
				    faults);
	}
	if (is_routes)
		scenario->n_routes = items->len;
	else
		scenario->n_faults = items->len;
}

static void store_scenario(const struct rr_yaml_node *root, const char *file,
			   struct emulated_scenario *scenario,
			   GPtrArray *faults)
{
	for (guint i = 0; root->entries && i < root->entries->len; i++) {
		const struct rr_yaml_entry *entry = root->entries->pdata[i];

		if (!strcmp(entry->key, "name"))
			store_name(entry, scenario->name);
		else if (!strcmp(entry->key, "routes") ||
			 !strcmp(entry->key, "faults"))
			store_list(entry, file, scenario, faults);
		else if (!store_number(entry, file, scenario_keys,
				       G_N_ELEMENTS(scenario_keys), scenario,
				       faults))
			refuse_key(entry, file, faults);
	}
	if (!scenario->n_routes)
		rr_add_diagnostic(faults, file, root->line,
				  "the key 'routes' is missing");
}

bool load_scenario(const char *file, struct emulated_scenario *scenario,
		   GPtrArray *faults)
{
	struct rr_settings_source source = { .file = file };
	struct rr_yaml_node *root = NULL;
	GError *error = NULL;
	char *text = NULL;

	init_scenario(scenario);
	if (g_file_get_contents(file, &text, &source.length, &error)) {
		source.text = text;
		root = rr_parse_yaml(&source, faults);
	} else {
		rr_add_diagnostic(faults, file, 1, "%s", error->message);
		g_error_free(error);
	}
	if (root)
		store_scenario(root, file, scenario, faults);
	rr_drop_yaml_node(root);
	g_free(text);
	return !faults->len;
}

/* Evenly over orders of magnitude. */
static double draw_scale(GRand *rand, double least, double most)
{
	return least * pow(most / least, g_rand_double(rand));
}

static double draw_whole(GRand *rand, int least, int most)
{
	return g_rand_int_range(rand, least, most + 1);
}

static void draw_faults(GRand *rand, struct emulated_scenario *scenario)
{
	scenario->n_faults = (uint32_t)draw_whole(rand, 0, 3);
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
		fault->x = fault->kind == FAULT_SLOW ? draw_scale(rand, 2, 20) :
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
	scenario->shards = floor(draw_scale(rand, 5, 200));
	scenario->replicas = draw_whole(rand, 1, 4);
	scenario->zones = draw_whole(rand, 1, 5);
	scenario->instances =
		MAX(scenario->zones, floor(draw_scale(rand, 3, 60)));
	scenario->slots = draw_whole(rand, 1, 6);
	scenario->connections = 3 * scenario->instances;
	scenario->pause_every_ms = 2400;
	scenario->pause_ms = draw_whole(rand, 0, 2) * 100;
	scenario->far_ms = 0.2 + 2 * g_rand_double(rand);
	scenario->caller_ms = 0.5 + 3 * g_rand_double(rand);
	g_strlcpy(route->name, "search", sizeof(route->name));
	route->work_ms = draw_scale(rand, 1, 200);
	route->objective_ms = route->work_ms * (5 + 5 * g_rand_double(rand)) +
			      4 * scenario->caller_ms + 10;
	route->deadline_ms = 8 * route->objective_ms + 200;
	route->least_share = 0.75 + 0.2 * g_rand_double(rand);
	route->max_attempts = 2;
	capacity_per_s =
		scenario->replicas * scenario->slots * 1000 / route->work_ms;
	/* Enough requests to measure, few enough to be soon done. */
	route->per_s = MIN(capacity_per_s * (0.1 + 0.4 * g_rand_double(rand)),
			   40000 / scenario->shards);
	scenario->n_routes = 1;
	scenario->extra_slack = route->per_s;
	draw_faults(rand, scenario);
	g_rand_free(rand);
}

void init_baseline_policy(struct rr_gate_policy *policy)
{
	static const char *const off[] = {
		"admit_by_wait",    "choose_by_slowness",
		"choose_by_losses", "choose_avoids_suspects",
		"limit_adapts",	    "hedge_slow",
		"silence_of_zones",
	};

	rr_init_gate_policy(policy);
	for (size_t i = 0; i < G_N_ELEMENTS(off); i++)
		rr_set_gate_policy(policy, off[i], "off");
}
