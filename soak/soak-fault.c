/*
 * soak-fault.c - random faults and planned changes.
 *
 * Each fault has a timer that ends it: faults overlap, also with themselves.
 */
#include <signal.h>
#include <string.h>

#include "soak.h"

#define MIN_FAULT_MS 200
#define MAX_FAULT_MS 3500
/* Time after which a stopped or killed process is started again. */
#define MIN_DOWN_MS 50
#define MAX_DOWN_MS 900
#define DRAIN_MS 4500	   /* a draining replica serves this long, then stops */
#define MAX_DOWN_SHARE 0.7 /* of the instances, at the same time */

uint32_t soak_random_fault_ms(struct soak *soak)
{
	return MIN_FAULT_MS +
	       soak_fault_below(soak, MAX_FAULT_MS - MIN_FAULT_MS);
}

static uint32_t random_down_ms(struct soak *soak)
{
	return MIN_DOWN_MS + soak_fault_below(soak, MAX_DOWN_MS - MIN_DOWN_MS);
}

static struct soak_instance *random_instance(struct soak *soak)
{
	return g_ptr_array_index(soak->instances,
				 soak_fault_below(soak, soak->instances->len));
}

static struct soak_replica *random_replica(struct soak *soak)
{
	return g_ptr_array_index(soak->replicas,
				 soak_fault_below(soak, soak->replicas->len));
}

static void record_instance_fault(struct soak_instance *instance)
{
	instance->last_fault_us = g_get_monotonic_time();
}

void soak_record_fault(struct soak *soak)
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
	return down < MAX_DOWN_SHARE * soak->instances->len;
}

static gboolean restart_instance(gpointer data)
{
	struct soak_instance *instance = data;

	if (!soak_reap_instance(instance))
		return G_SOURCE_CONTINUE;
	soak_start_instance(instance);
	return G_SOURCE_REMOVE;
}

static bool is_running(const struct soak_instance *instance)
{
	return instance->process && !instance->stop_requested_us &&
	       !instance->frozen && !instance->killed;
}

static void stop_instance(struct soak *soak)
{
	struct soak_instance *instance = random_instance(soak);

	if (!is_running(instance) || !may_take_down(soak))
		return;
	instance->stop_requested_us = g_get_monotonic_time();
	soak_signal_instance(instance, SIGTERM);
	soak_log_fault(soak, "stop %s", instance->name);
	/* A second signal must have no effect. */
	if (soak_fault_chance(soak, 0.2))
		soak_signal_instance(instance, SIGTERM);
	g_timeout_add(random_down_ms(soak), restart_instance, instance);
}

static void kill_instance(struct soak *soak)
{
	struct soak_instance *instance = random_instance(soak);

	if (!is_running(instance) || !may_take_down(soak))
		return;
	record_instance_fault(instance);
	instance->killed = true;
	soak_log_fault(soak, "kill %s", instance->name);
	soak_signal_instance(instance, SIGKILL);
	g_timeout_add(random_down_ms(soak), restart_instance, instance);
}

static void kill_half(struct soak *soak)
{
	for (guint i = 0; i < soak->instances->len / 2; i++)
		kill_instance(soak);
}

static gboolean resume_instance(gpointer data)
{
	struct soak_instance *instance = data;

	if (instance->frozen)
		soak_log_fault(instance->soak, "resume %s", instance->name);
	if (instance->frozen && instance->process)
		soak_signal_instance(instance, SIGCONT);
	instance->frozen = false;
	record_instance_fault(instance);
	return G_SOURCE_REMOVE;
}

static void freeze_instance(struct soak *soak)
{
	struct soak_instance *instance = random_instance(soak);

	if (!is_running(instance) || !may_take_down(soak))
		return;
	record_instance_fault(instance);
	instance->frozen = true;
	soak_log_fault(soak, "freeze %s", instance->name);
	soak_signal_instance(instance, SIGSTOP);
	g_timeout_add(soak_random_fault_ms(soak), resume_instance, instance);
}

static void send_hangup(struct soak *soak)
{
	struct soak_instance *instance = random_instance(soak);

	if (!is_running(instance))
		return;
	soak_log_fault(soak, "SIGHUP to %s", instance->name);
	soak_signal_instance(instance, SIGHUP);
}

/* Links. */

static gboolean restore_store_link(gpointer data)
{
	struct soak_instance *instance = data;

	soak_set_link_state(instance->store_link, SOAK_LINK_UP, 0);
	record_instance_fault(instance);
	return G_SOURCE_REMOVE;
}

static enum soak_link_state random_link_state(struct soak *soak)
{
	return (enum soak_link_state)soak_fault_below(soak,
						      SOAK_LINK_REFUSED + 1);
}

static void disturb_store_link(struct soak *soak)
{
	struct soak_instance *instance = random_instance(soak);
	enum soak_link_state state = random_link_state(soak);
	uint32_t delay_ms = soak_fault_below(soak, 200);
	uint32_t fault_ms = soak_random_fault_ms(soak);

	soak_log_fault(soak, "store link of %s: state %d, %u ms, for %u ms",
		       instance->name, (int)state, delay_ms, fault_ms);
	record_instance_fault(instance);
	soak_set_link_state(instance->store_link, state, delay_ms);
	g_timeout_add(fault_ms, restore_store_link, instance);
}

static gboolean restore_replica(gpointer data)
{
	struct soak_replica *replica = data;

	soak_set_link_state(replica->link, SOAK_LINK_UP, 0);
	replica->extra_work_ms = 0;
	replica->shed_share = 0;
	replica->lost_answer_share = 0;
	replica->corrupt_answer_share = 0;
	soak_record_fault(replica->soak);
	return G_SOURCE_REMOVE;
}

static void schedule_replica_restore(struct soak_replica *replica)
{
	soak_record_fault(replica->soak);
	g_timeout_add(soak_random_fault_ms(replica->soak), restore_replica,
		      replica);
}

static void log_replica_fault(struct soak_replica *replica, const char *what)
{
	soak_log_fault(replica->soak, "%s %s of %s in z%u", what, replica->id,
		       replica->service, replica->zone);
}

static void disturb_replica_link(struct soak *soak)
{
	struct soak_replica *replica = random_replica(soak);

	log_replica_fault(replica, "disturb the link of");
	soak_set_link_state(replica->link, random_link_state(soak),
			    soak_fault_below(soak, 80));
	schedule_replica_restore(replica);
}

static void reset_replica_link(struct soak *soak)
{
	soak_record_fault(soak);
	soak_close_link_conns(random_replica(soak)->link);
}

/* Stall the links of all replicas of a zone. */
static void isolate_zone(struct soak *soak)
{
	uint32_t zone = soak_fault_below(soak, ZONES);

	soak_log_fault(soak, "stall the replicas of z%u", zone);
	for (guint i = 0; i < soak->replicas->len; i++) {
		struct soak_replica *replica =
			g_ptr_array_index(soak->replicas, i);

		if (replica->zone != zone)
			continue;
		soak_set_link_state(replica->link, SOAK_LINK_STALLED, 0);
		schedule_replica_restore(replica);
	}
}

/* Replicas. */

static void slow_replica(struct soak *soak)
{
	struct soak_replica *replica = random_replica(soak);

	log_replica_fault(replica, "slow");
	replica->extra_work_ms = 20 + soak_fault_below(soak, 200);
	schedule_replica_restore(replica);
}

static void pause_replica(struct soak *soak)
{
	soak_record_fault(soak);
	random_replica(soak)->paused_until_us =
		g_get_monotonic_time() +
		(50 + soak_fault_below(soak, 250)) * MS;
}

static void shed_at_replica(struct soak *soak)
{
	struct soak_replica *replica = random_replica(soak);

	log_replica_fault(replica, "overload");
	replica->shed_share = 0.6;
	schedule_replica_restore(replica);
}

static void drop_answers(struct soak *soak)
{
	struct soak_replica *replica = random_replica(soak);

	log_replica_fault(replica, "lose answers of");
	replica->lost_answer_share = 0.3;
	schedule_replica_restore(replica);
}

static void corrupt_answers(struct soak *soak)
{
	struct soak_replica *replica = random_replica(soak);

	log_replica_fault(replica, "corrupt answers of");
	replica->corrupt_answer_share = 0.3;
	schedule_replica_restore(replica);
}

static gboolean restart_crashed_replica(gpointer data)
{
	struct soak_replica *replica = data;
	char service[sizeof(replica->service)];

	soak_record_fault(replica->soak);
	g_strlcpy(service, replica->service, sizeof(service));
	if (!replica->up)
		soak_restart_replica(replica, service);
	return G_SOURCE_REMOVE;
}

static void crash_replica(struct soak *soak)
{
	struct soak_replica *replica = random_replica(soak);

	if (!replica->up || replica->draining_since_us)
		return;
	log_replica_fault(replica, "crash");
	soak_record_fault(soak);
	soak_crash_replica(replica);
	g_timeout_add(soak_random_fault_ms(soak), restart_crashed_replica,
		      replica);
}

/* Crash two replicas and restart each with the other's service. */
static void swap_addresses(struct soak *soak)
{
	struct soak_replica *one = random_replica(soak);
	struct soak_replica *other = random_replica(soak);
	char service[sizeof(one->service)];

	if (one == other || !one->up || !other->up || one->draining_since_us ||
	    other->draining_since_us)
		return;
	log_replica_fault(one, "swap");
	log_replica_fault(other, "with");
	soak_record_fault(soak);
	soak_crash_replica(one);
	soak_crash_replica(other);
	g_strlcpy(service, one->service, sizeof(service));
	soak_restart_replica(one, other->service);
	soak_restart_replica(other, service);
}

static gboolean finish_drain(gpointer data)
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
	struct soak_replica *replica = random_replica(soak);

	if (!replica->up || replica->draining_since_us ||
	    soak->store.state != TEST_STORE_UP)
		return;
	log_replica_fault(replica, "drain");
	replica->draining_since_us = g_get_monotonic_time();
	soak_register_replica(replica);
	g_timeout_add(DRAIN_MS, finish_drain, replica);
}

/* Repair the replica's entry by writing it again. */
static gboolean register_again(gpointer data)
{
	struct soak_replica *replica = data;

	soak_record_fault(replica->soak);
	if (replica->up)
		soak_register_replica(replica);
	return G_SOURCE_REMOVE;
}

static void write_invalid_entry(struct soak *soak)
{
	struct soak_replica *replica = random_replica(soak);

	log_replica_fault(replica, "invalid entry for");
	soak_record_fault(soak);
	soak_write_invalid_entry(replica);
	g_timeout_add(soak_random_fault_ms(soak), register_again, replica);
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
	soak->config_version += 1 + soak_fault_below(soak, 5);
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
	g_free(soak->config_text);
	soak->config_text = g_strdup(out->str);
	soak->config_written_us = g_get_monotonic_time();
	soak_log_fault(soak,
		       "configuration %" G_GUINT64_FORMAT ": shards %c, "
		       "service %s, era %" G_GUINT64_FORMAT
		       ", revision %" G_GUINT64_FORMAT,
		       soak->config_version,
		       soak->use_second_shards ? 't' : 's',
		       soak->use_second_service ? "b1" : "a1", soak->store.era,
		       soak->store.revision);
	g_string_free(shards, TRUE);
	g_string_free(out, TRUE);
	g_free(single);
}

void soak_change_config(struct soak *soak)
{
	soak->use_second_shards = soak_fault_chance(soak, 0.5);
	soak->use_second_service = soak_fault_chance(soak, 0.5);
	soak_write_config(soak);
}

static void write_many_configs(struct soak *soak)
{
	for (int i = 0; i < 8; i++)
		soak_change_config(soak);
}

static void inject_one(struct soak *soak, void (*const *faults)(struct soak *),
		       uint32_t n)
{
	soak->n_faults++;
	faults[soak_fault_below(soak, n)](soak);
}

void soak_inject_fault(struct soak *soak, enum soak_phase phase)
{
	static void (*const all[])(struct soak * soak) = {
		stop_instance,	      stop_instance,
		kill_instance,	      kill_half,
		freeze_instance,      send_hangup,
		disturb_store_link,   disturb_store_link,
		disturb_replica_link, disturb_replica_link,
		reset_replica_link,   isolate_zone,
		slow_replica,	      pause_replica,
		shed_at_replica,      drop_answers,
		corrupt_answers,      crash_replica,
		crash_replica,	      swap_addresses,
		drain_replica,	      drain_replica,
		soak_disturb_store,   soak_slow_store,
		soak_restore_store,   soak_restore_store,
		soak_mute_watches,    soak_change_config,
		soak_change_config,   write_many_configs,
		write_invalid_entry,  soak_evacuate_zone,
	};
	static void (*const stops[])(struct soak * soak) = {
		stop_instance,
		send_hangup,
		soak_change_config,
	};
	static void (*const drains[])(struct soak * soak) = {
		drain_replica,
		soak_change_config,
		write_many_configs,
	};
	static void (*const evacuations[])(struct soak * soak) = {
		soak_evacuate_zone,
		soak_evacuate_zone,
		soak_change_config,
	};

	switch (phase) {
	case SOAK_RANDOM_FAULTS:
		inject_one(soak, all, G_N_ELEMENTS(all));
		return;
	case SOAK_INSTANCE_STOPS:
		inject_one(soak, stops, G_N_ELEMENTS(stops));
		return;
	case SOAK_REPLICA_DRAINS:
		inject_one(soak, drains, G_N_ELEMENTS(drains));
		return;
	case SOAK_ZONE_EVACUATIONS:
		inject_one(soak, evacuations, G_N_ELEMENTS(evacuations));
		return;
	case SOAK_N_PHASES:
		return;
	}
}

void soak_clear_faults(struct soak *soak)
{
	soak_log_fault(soak, "end all faults");
	soak_end_store_faults(soak);
	for (uint32_t zone = 0; zone < ZONES; zone++)
		soak_end_evacuation(soak, zone);
	for (guint i = 0; i < soak->replicas->len; i++)
		restore_replica(g_ptr_array_index(soak->replicas, i));
	for (guint i = 0; i < soak->instances->len; i++) {
		struct soak_instance *instance =
			g_ptr_array_index(soak->instances, i);

		restore_store_link(instance);
		resume_instance(instance);
	}
}
