/*
 * soak-fault.c - what goes wrong, and what is planned, drawn at random.
 *
 * Each fault ends by a timer of its own, so that several overlap and the same
 * one may come twice.
 */
#include <signal.h>
#include <string.h>

#include "soak.h"

#define LEAST_FAULT_MS 200
#define MOST_FAULT_MS 3500
/* A process that was killed or has stopped is started again after this. */
#define LEAST_DOWN_MS 50
#define MOST_DOWN_MS 900
/* A drained replica serves on for so long, and then goes. */
#define DRAIN_MS 4500
/* Longer than the bound on news, after which nothing may come any more. */
#define EVACUATED_MS 6500
/* How long watches hear nothing before the store's history goes. */
#define HUSH_MS 1000
/* Never more than this part of the instances at once. */
#define MOST_DOWN_PART 0.7

static uint32_t draw_fault_ms(struct soak *soak)
{
	return LEAST_FAULT_MS +
	       soak_random_below(soak, MOST_FAULT_MS - LEAST_FAULT_MS);
}

static uint32_t draw_down_ms(struct soak *soak)
{
	return LEAST_DOWN_MS +
	       soak_random_below(soak, MOST_DOWN_MS - LEAST_DOWN_MS);
}

static struct soak_instance *draw_instance(struct soak *soak)
{
	return g_ptr_array_index(soak->instances,
				 soak_random_below(soak, soak->instances->len));
}

static struct soak_replica *draw_replica(struct soak *soak)
{
	return g_ptr_array_index(soak->replicas,
				 soak_random_below(soak, soak->replicas->len));
}

static void harm_instance(struct soak_instance *instance)
{
	instance->last_fault_us = g_get_monotonic_time();
}

static void harm_world(struct soak *soak)
{
	soak->last_fault_us = g_get_monotonic_time();
}

/* Instances. */

static bool may_take_down(const struct soak *soak)
{
	uint32_t down = 0;

	for (guint i = 0; i < soak->instances->len; i++) {
		const struct soak_instance *instance =
			g_ptr_array_index(soak->instances, i);

		down += !instance->process || instance->stop_requested_us ||
			instance->frozen;
	}
	return down < MOST_DOWN_PART * soak->instances->len;
}

static gboolean restart(gpointer data)
{
	struct soak_instance *instance = data;

	if (!soak_reap_instance(instance))
		return G_SOURCE_CONTINUE;
	soak_start_instance(instance);
	return G_SOURCE_REMOVE;
}

static bool is_steady(const struct soak_instance *instance)
{
	return instance->process && !instance->stop_requested_us &&
	       !instance->frozen && !instance->killed;
}

static void stop_instance(struct soak *soak)
{
	struct soak_instance *instance = draw_instance(soak);

	if (!is_steady(instance) || !may_take_down(soak))
		return;
	instance->stop_requested_us = g_get_monotonic_time();
	test_signal_process(instance->process, SIGTERM);
	/* A signal that comes twice changes nothing. */
	if (soak_chance(soak, 0.2))
		test_signal_process(instance->process, SIGTERM);
	g_timeout_add(draw_down_ms(soak), restart, instance);
}

static void kill_instance(struct soak *soak)
{
	struct soak_instance *instance = draw_instance(soak);

	if (!is_steady(instance) || !may_take_down(soak))
		return;
	harm_instance(instance);
	instance->killed = true;
	test_signal_process(instance->process, SIGKILL);
	g_timeout_add(draw_down_ms(soak), restart, instance);
}

static void kill_many(struct soak *soak)
{
	for (guint i = 0; i < soak->instances->len / 2; i++)
		kill_instance(soak);
}

static gboolean thaw(gpointer data)
{
	struct soak_instance *instance = data;

	if (instance->frozen && instance->process)
		test_signal_process(instance->process, SIGCONT);
	instance->frozen = false;
	harm_instance(instance);
	return G_SOURCE_REMOVE;
}

static void freeze_instance(struct soak *soak)
{
	struct soak_instance *instance = draw_instance(soak);

	if (!is_steady(instance) || !may_take_down(soak))
		return;
	harm_instance(instance);
	instance->frozen = true;
	test_signal_process(instance->process, SIGSTOP);
	g_timeout_add(draw_fault_ms(soak), thaw, instance);
}

static void hang_up_instance(struct soak *soak)
{
	struct soak_instance *instance = draw_instance(soak);

	if (is_steady(instance))
		test_signal_process(instance->process, SIGHUP);
}

/* Links. */

static gboolean heal_store_link(gpointer data)
{
	struct soak_instance *instance = data;

	soak_set_link_state(instance->store_link, SOAK_LINK_UP, 0);
	harm_instance(instance);
	return G_SOURCE_REMOVE;
}

static enum soak_link_state draw_link_state(struct soak *soak)
{
	return (enum soak_link_state)soak_random_below(soak,
						       SOAK_LINK_REFUSED + 1);
}

static void harm_store_link(struct soak *soak)
{
	struct soak_instance *instance = draw_instance(soak);

	harm_instance(instance);
	soak_set_link_state(instance->store_link, draw_link_state(soak),
			    soak_random_below(soak, 200));
	g_timeout_add(draw_fault_ms(soak), heal_store_link, instance);
}

static gboolean heal_replica(gpointer data)
{
	struct soak_replica *replica = data;

	soak_set_link_state(replica->link, SOAK_LINK_UP, 0);
	replica->extra_work_ms = 0;
	replica->shed_share = 0;
	replica->no_answer_share = 0;
	replica->bad_answer_share = 0;
	harm_world(replica->soak);
	return G_SOURCE_REMOVE;
}

static void heal_later(struct soak_replica *replica)
{
	harm_world(replica->soak);
	g_timeout_add(draw_fault_ms(replica->soak), heal_replica, replica);
}

static void harm_replica_link(struct soak *soak)
{
	struct soak_replica *replica = draw_replica(soak);

	soak_set_link_state(replica->link, draw_link_state(soak),
			    soak_random_below(soak, 80));
	heal_later(replica);
}

static void reset_replica_link(struct soak *soak)
{
	harm_world(soak);
	soak_close_link_conns(draw_replica(soak)->link);
}

/* All of one zone at once. */
static void cut_zone(struct soak *soak)
{
	uint32_t zone = soak_random_below(soak, ZONES);

	for (guint i = 0; i < soak->replicas->len; i++) {
		struct soak_replica *replica =
			g_ptr_array_index(soak->replicas, i);

		if (replica->zone != zone)
			continue;
		soak_set_link_state(replica->link, SOAK_LINK_STALLED, 0);
		heal_later(replica);
	}
}

/* Replicas. */

static void slow_replica(struct soak *soak)
{
	struct soak_replica *replica = draw_replica(soak);

	replica->extra_work_ms = 20 + soak_random_below(soak, 200);
	heal_later(replica);
}

static void pause_replica(struct soak *soak)
{
	harm_world(soak);
	draw_replica(soak)->paused_until_us =
		g_get_monotonic_time() +
		(50 + soak_random_below(soak, 250)) * MS;
}

static void shed_at_replica(struct soak *soak)
{
	struct soak_replica *replica = draw_replica(soak);

	replica->shed_share = 0.6;
	heal_later(replica);
}

static void lose_answers(struct soak *soak)
{
	struct soak_replica *replica = draw_replica(soak);

	replica->no_answer_share = 0.3;
	heal_later(replica);
}

static void garble_answers(struct soak *soak)
{
	struct soak_replica *replica = draw_replica(soak);

	replica->bad_answer_share = 0.3;
	heal_later(replica);
}

static gboolean revive(gpointer data)
{
	struct soak_replica *replica = data;
	char service[sizeof(replica->service)];

	harm_world(replica->soak);
	g_strlcpy(service, replica->service, sizeof(service));
	if (!replica->up)
		soak_restart_replica(replica, service);
	return G_SOURCE_REMOVE;
}

static void crash_replica(struct soak *soak)
{
	struct soak_replica *replica = draw_replica(soak);

	if (!replica->up || replica->draining_since_us)
		return;
	harm_world(soak);
	soak_crash_replica(replica);
	g_timeout_add(draw_fault_ms(soak), revive, replica);
}

/* Two replicas die, and each one's address goes to the other's service. */
static void swap_addresses(struct soak *soak)
{
	struct soak_replica *one = draw_replica(soak);
	struct soak_replica *other = draw_replica(soak);
	char service[sizeof(one->service)];

	if (one == other || !one->up || !other->up || one->draining_since_us ||
	    other->draining_since_us)
		return;
	harm_world(soak);
	soak_crash_replica(one);
	soak_crash_replica(other);
	g_strlcpy(service, one->service, sizeof(service));
	soak_restart_replica(one, other->service);
	soak_restart_replica(other, service);
}

static gboolean leave(gpointer data)
{
	struct soak_replica *replica = data;
	char service[sizeof(replica->service)];

	if (!replica->draining_since_us)
		return G_SOURCE_REMOVE;
	g_strlcpy(service, replica->service, sizeof(service));
	soak_crash_replica(replica);
	soak_restart_replica(replica, service);
	return G_SOURCE_REMOVE;
}

static void drain_replica(struct soak *soak)
{
	struct soak_replica *replica = draw_replica(soak);

	if (!replica->up || replica->draining_since_us ||
	    soak->store.state != TEST_STORE_UP)
		return;
	replica->draining_since_us = g_get_monotonic_time();
	soak_register_replica(replica);
	g_timeout_add(DRAIN_MS, leave, replica);
}

/* The replica's own next entry puts it right. */
static gboolean list_again(gpointer data)
{
	struct soak_replica *replica = data;

	harm_world(replica->soak);
	if (replica->up)
		soak_register_replica(replica);
	return G_SOURCE_REMOVE;
}

static void write_odd_entry(struct soak *soak)
{
	struct soak_replica *replica = draw_replica(soak);

	harm_world(soak);
	soak_write_invalid_entry(replica);
	g_timeout_add(draw_fault_ms(soak), list_again, replica);
}

/* The store. */

static gboolean heal_store(gpointer data)
{
	struct soak *soak = data;

	test_store_set_state(&soak->store, TEST_STORE_UP);
	soak->store.answer_delay_ms = 0;
	soak->store.lost_write_share = 0;
	soak->store.leases_expire_down = false;
	harm_world(soak);
	return G_SOURCE_REMOVE;
}

static void harm_store(struct soak *soak)
{
	harm_world(soak);
	soak->store.leases_expire_down = soak_chance(soak, 0.5);
	test_store_set_state(
		&soak->store,
		(enum test_store_state)(
			1 + soak_random_below(soak, TEST_STORE_BUSY)));
	g_timeout_add(draw_fault_ms(soak), heal_store, soak);
}

static void slow_store(struct soak *soak)
{
	harm_world(soak);
	soak->store.answer_delay_ms = 50 + soak_random_below(soak, 400);
	soak->store.lost_write_share = 0.3;
	g_timeout_add(draw_fault_ms(soak), heal_store, soak);
}

static gboolean drop_history(gpointer data)
{
	struct soak *soak = data;

	harm_world(soak);
	test_compact_store(&soak->store);
	return G_SOURCE_REMOVE;
}

/* Watches hear of no change for a while, and then can no longer be told. */
static void forget_history(struct soak *soak)
{
	harm_world(soak);
	soak->store.watches_muted = true;
	g_timeout_add(HUSH_MS, drop_history, soak);
}

/* Zones that the operators evacuate. */

static char *evacuation_key(uint32_t zone)
{
	return g_strdup_printf("op/evacuate/z%u", zone);
}

static void take_back_zone(struct soak *soak, uint32_t zone)
{
	char *key = evacuation_key(zone);

	if (soak->evacuated_since_us[zone])
		test_store_remove(&soak->store, key);
	soak->evacuated_since_us[zone] = 0;
	g_free(key);
}

/* The first of those that are evacuated, as they began in turn or together. */
static gboolean end_evacuation(gpointer data)
{
	struct soak *soak = data;

	for (uint32_t zone = 0; zone < ZONES; zone++) {
		if (soak->evacuated_since_us[zone] &&
		    g_get_monotonic_time() - soak->evacuated_since_us[zone] >=
			    EVACUATED_MS * MS)
			take_back_zone(soak, zone);
	}
	return G_SOURCE_REMOVE;
}

static void evacuate_zone(struct soak *soak)
{
	uint32_t zone = soak_random_below(soak, ZONES);
	char *key = evacuation_key(zone);

	if (!soak->evacuated_since_us[zone]) {
		test_store_put(&soak->store, key,
			       soak_chance(soak, 0.2) ? "odd" : "{}");
		soak->evacuated_since_us[zone] = g_get_monotonic_time();
		g_timeout_add(EVACUATED_MS + 1, end_evacuation, soak);
	}
	g_free(key);
}

/* The configuration. */

static void append_route(GString *out, const char *name, const char *type,
			 const char *target)
{
	g_string_append_printf(
		out,
		"%s{\"name\":\"%s\",\"host\":\"soak\",\"prefix\":\"/%s/\","
		"\"routeType\":\"%s\",\"timeoutMs\":%d,\"targetLatencyMs\":150,"
		"\"priority\":1,\"maxAttempts\":%d,%s}",
		out->str[out->len - 1] == '[' ? "" : ",", name, name, type,
		DEADLINE_MS, MAX_ATTEMPTS, target);
}

static void append_services(GString *out)
{
	static const char *const singles[] = { "a1", "b1" };

	g_string_append(out, "],\"services\":[");
	for (int i = 0; i < 2 * SHARDS; i++)
		g_string_append_printf(
			out,
			"{\"name\":\"%c%d\",\"maxConnections\":64,"
			"\"coldPerS\":%d,\"coldStartS\":%d},",
			i < SHARDS ? 's' : 't', i % SHARDS, COLD_PER_S,
			COLD_MS / 1000);
	for (gsize i = 0; i < G_N_ELEMENTS(singles); i++)
		g_string_append_printf(
			out,
			"%s{\"name\":\"%s\",\"maxConnections\":64,"
			"\"coldPerS\":%d,\"coldStartS\":%d}",
			i ? "," : "", singles[i], COLD_PER_S, COLD_MS / 1000);
}

void soak_write_config(struct soak *soak)
{
	GString *out = g_string_new(NULL);
	GString *shards = g_string_new("\"shardServices\":[");
	char *single = g_strdup_printf("\"service\":\"%s\"",
				       soak->use_second_service ? "b1" : "a1");

	for (int i = 0; i < SHARDS; i++)
		g_string_append_printf(shards, "%s\"%c%d\"", i ? "," : "",
				       soak->use_second_shards ? 't' : 's', i);
	g_string_append_printf(shards, "],\"topK\":%d,\"minShardRatio\":0.6",
			       TOP_RECORDS);
	soak->config_version += 1 + soak_random_below(soak, 5);
	g_string_append_printf(
		out, "{\"version\":%" G_GUINT64_FORMAT ",\"routes\":[",
		soak->config_version);
	append_route(out, "search", "idempotent", shards->str);
	append_route(out, "often", "idempotent", single);
	append_route(out, "once", "non_idempotent", single);
	append_services(out);
	g_string_append(out, "],\"limits\":{\"maxHeaderBytes\":16384,"
			     "\"maxBodyBytes\":65536,\"headerTimeoutMs\":5000,"
			     "\"idleTimeoutMs\":15000}}");
	test_store_put(&soak->store, "op/config", out->str);
	g_string_free(shards, TRUE);
	g_string_free(out, TRUE);
	g_free(single);
}

static void change_config(struct soak *soak)
{
	soak->use_second_shards = soak_chance(soak, 0.5);
	soak->use_second_service = soak_chance(soak, 0.5);
	soak_write_config(soak);
}

/* Versions in quick succession. */
static void storm_config(struct soak *soak)
{
	for (int i = 0; i < 8; i++)
		change_config(soak);
}

static void begin_one(struct soak *soak, void (*const *faults)(struct soak *),
		      uint32_t n)
{
	soak->n_faults++;
	faults[soak_random_below(soak, n)](soak);
}

void soak_inject_fault(struct soak *soak, enum soak_phase phase)
{
	static void (*const all[])(struct soak * soak) = {
		stop_instance,	   stop_instance,      kill_instance,
		kill_many,	   freeze_instance,    hang_up_instance,
		harm_store_link,   harm_store_link,    harm_replica_link,
		harm_replica_link, reset_replica_link, cut_zone,
		slow_replica,	   pause_replica,      shed_at_replica,
		lose_answers,	   garble_answers,     crash_replica,
		crash_replica,	   swap_addresses,     drain_replica,
		drain_replica,	   harm_store,	       slow_store,
		forget_history,	   change_config,      change_config,
		storm_config,	   write_odd_entry,    evacuate_zone,
	};
	static void (*const stops[])(struct soak * soak) = {
		stop_instance,
		hang_up_instance,
		change_config,
	};
	static void (*const drains[])(struct soak * soak) = {
		drain_replica,
		change_config,
		storm_config,
	};
	static void (*const evacuations[])(struct soak * soak) = {
		evacuate_zone,
		evacuate_zone,
		change_config,
	};

	switch (phase) {
	case SOAK_RANDOM_FAULTS:
		begin_one(soak, all, G_N_ELEMENTS(all));
		return;
	case SOAK_INSTANCE_STOPS:
		begin_one(soak, stops, G_N_ELEMENTS(stops));
		return;
	case SOAK_REPLICA_DRAINS:
		begin_one(soak, drains, G_N_ELEMENTS(drains));
		return;
	case SOAK_ZONE_EVACUATIONS:
		begin_one(soak, evacuations, G_N_ELEMENTS(evacuations));
		return;
	case SOAK_N_PHASES:
		return;
	}
}

void soak_clear_faults(struct soak *soak)
{
	heal_store(soak);
	for (uint32_t zone = 0; zone < ZONES; zone++)
		take_back_zone(soak, zone);
	for (guint i = 0; i < soak->replicas->len; i++)
		heal_replica(g_ptr_array_index(soak->replicas, i));
	for (guint i = 0; i < soak->instances->len; i++) {
		struct soak_instance *instance =
			g_ptr_array_index(soak->instances, i);

		heal_store_link(instance);
		thaw(instance);
	}
}
