/*
 * upstream.c - The fake upstream.
 *
 * Its replicas reply late, twice, truncated, wrongly or not at all, while
 * index versions and key ranges change.
 */
#include "random/simulation.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void init_upstream(struct simulation *simulation)
{
	simulation->index_version = 10;
	simulation->map_epoch = 1;
	for (int e = 0; e < 64; e++) {
		for (int i = 0; i <= N_SHARDS; i++)
			simulation->shard_bounds[e][i] =
				(uint64_t)i * KEYS_PER_SHARD;
	}
	for (int i = 0; i < N_SHARDS * N_REPLICAS; i++) {
		struct replica *replica = &simulation->replicas[i];

		replica->shard = i / N_REPLICAS;
		replica->zone = i % N_REPLICAS < 2 ? "a" : "b";
		replica->newest_version = simulation->index_version;
		replica->map_epoch = simulation->map_epoch;
	}
}

struct replica *find_replica(struct simulation *simulation, const char *id,
			     int *service)
{
	int shard = -1;
	char letter = 0;

	check(simulation, sscanf(id, "s%d-%c%d", &shard, &letter, service) == 3,
	      "unknown replica %s", id);
	return &simulation->replicas[shard * N_REPLICAS + (letter - 'a')];
}

void format_replica(struct simulation *simulation,
		    const struct replica *replica, int service, char id[24],
		    char address[24])
{
	int i = (int)(replica - simulation->replicas);

	snprintf(id, 24, "s%d-%c%d", replica->shard, 'a' + i % N_REPLICAS,
		 service);
	snprintf(address, 24, "127.0.0.1:%d", 7000 + 100 * service + i);
}

bool holds_version(const struct replica *replica, uint64_t version)
{
	return version <= replica->newest_version &&
	       version + VERSIONS_KEPT > replica->newest_version;
}

struct rr_key_range replica_range(struct simulation *simulation,
				  const struct replica *replica)
{
	uint64_t *bounds = simulation->shard_bounds[replica->map_epoch % 64];

	return (struct rr_key_range){ bounds[replica->shard],
				      bounds[replica->shard + 1] };
}

uint64_t parse_request_number(const char *request_id)
{
	uint64_t number = 0;

	if (request_id)
		sscanf(request_id, "r%" G_GUINT64_FORMAT, &number);
	return number;
}

bool fill_rows(struct simulation *simulation, struct rr_rows *rows,
	       struct rr_key_range range, uint64_t version, uint64_t number,
	       uint32_t limit)
{
	uint64_t key = (range.from + KEY_STEP - 1) / KEY_STEP * KEY_STEP;
	uint32_t n = 0;

	for (; key < range.to; key += KEY_STEP) {
		char text[96];
		int length;

		if (limit && n == limit)
			return true;
		length = snprintf(text, sizeof(text),
				  "{\"k\":%" G_GUINT64_FORMAT
				  ",\"v\":%" G_GUINT64_FORMAT
				  ",\"q\":%" G_GUINT64_FORMAT "}",
				  key, version, number);
		rr_append_row(rows, key, text, (size_t)length);
		n++;
	}
	return false;
}

void count_run(struct simulation *simulation, uint64_t number,
	       const char *service, const char *id)
{
	struct issued_request *issued;

	issued = g_hash_table_lookup(simulation->issued_requests, &number);
	if (issued) {
		issued->n_executions++;
		check(simulation, !issued->reported_not_run,
		      "request %" G_GUINT64_FORMAT
		      " ran after it was reported as not-run",
		      number);
	}
	if (id && *id) {
		char *name = g_strconcat(service, "/", id, NULL);
		uintptr_t runs = (uintptr_t)g_hash_table_lookup(
			simulation->executions_by_key, name);

		check(simulation, runs == 0, "id %s ran %d times", name,
		      (int)runs + 1);
		g_hash_table_insert(
			simulation->results_by_key, g_strdup(name),
			g_strdup_printf("{\"done\":%" G_GUINT64_FORMAT "}",
					number));
		g_hash_table_insert(simulation->executions_by_key, name,
				    (gpointer)(runs + 1));
	}
}

/* An attempt in transit to a replica: a copy of the core's attempt. */
struct attempt_in_transit {
	int instance;
	uint64_t incarnation;
	uint64_t id;
	struct replica *replica;
	int service;
	char idempotency_key[48];
	uint64_t number;
	enum rr_request_kind kind;
	struct rr_key_range requested;
	uint32_t limit;
	uint64_t version;
};

/* A reply in transit to an instance, with the data that it refers to. */
struct reply_in_transit {
	struct rr_reply reply;
	struct rr_key_range range;
	struct replica *replica;
	int service;
	bool reports_draining;
	uint64_t incarnation; /* of the instance that sent the attempt */
	char result[48];
};

static void drop_reply(void *data)
{
	struct reply_in_transit *transit = data;

	rr_drop_rows(transit->reply.rows);
	g_free(transit);
}

static void deliver_reply(struct instance *instance, void *data)
{
	struct reply_in_transit *transit = data;
	struct simulation *simulation = instance->simulation;
	int64_t *known_draining_us;

	known_draining_us =
		&transit->replica
			 ->draining_seen_us[transit->service][instance->index];
	/* The state in a reply that the instance has to drop does not count. */
	if (transit->reports_draining &&
	    transit->incarnation == instance->incarnation &&
	    !g_hash_table_contains(simulation->cancelled_attempts,
				   &transit->reply.attempt_id) &&
	    !*known_draining_us)
		*known_draining_us = simulation->now_us;
	rr_core_handle_reply(instance->ctx, instance->core, simulation->now_us,
			     &transit->reply);
}

static struct reply_in_transit *copy_reply(struct reply_in_transit *transit)
{
	struct reply_in_transit *copy = g_memdup2(transit, sizeof(*transit));

	if (copy->reply.n_ranges)
		copy->reply.ranges = &copy->range;
	if (copy->reply.rows)
		rr_keep_rows(copy->reply.rows);
	if (copy->reply.result)
		copy->reply.result = copy->result;
	copy->reports_draining = false;
	return copy;
}

static void send_reply(struct simulation *simulation, int instance,
		       struct reply_in_transit *transit, int64_t delay_us)
{
	if (random_one_in(simulation, 40)) {
		/* A duplicate, which may arrive much later. */
		schedule_delivery(
			simulation, instance,
			simulation->now_us +
				random_between(simulation, 0, 900 * MS),
			deliver_reply, copy_reply(transit), drop_reply);
	}
	if (random_one_in(simulation, 60)) {
		/* A stray reply: to the other instance, or with another id. */
		struct reply_in_transit *stray = copy_reply(transit);

		if (random_one_in(simulation, 2))
			stray->reply.attempt_id ^=
				G_GUINT64_CONSTANT(1)
				<< random_between(simulation, 24, 60);
		else
			instance = 1 - instance;
		schedule_delivery(simulation, instance,
				  simulation->now_us + delay_us, deliver_reply,
				  stray, drop_reply);
		if (stray->reply.attempt_id == transit->reply.attempt_id)
			instance = 1 - instance;
	}
	schedule_delivery(simulation, instance, simulation->now_us + delay_us,
			  deliver_reply, transit, drop_reply);
}

static struct reply_in_transit *
new_reply(struct attempt_in_transit *attempt_in_transit,
	  enum rr_reply_status status)
{
	struct reply_in_transit *transit = g_new0(struct reply_in_transit, 1);
	struct replica *replica = attempt_in_transit->replica;

	transit->replica = replica;
	transit->service = attempt_in_transit->service;
	transit->incarnation = attempt_in_transit->incarnation;
	transit->reply.attempt_id = attempt_in_transit->id;
	transit->reply.status = status;
	transit->reply.state = RR_UPSTREAM_UNKNOWN;
	transit->reply.load = -1.0;
	if (status == RR_REPLY_LOST)
		return transit;
	transit->reply.newest_version = replica->newest_version;
	transit->reply.oldest_version =
		replica->newest_version - VERSIONS_KEPT + 1;
	transit->reply.map_epoch = replica->map_epoch;
	if (replica->draining) {
		transit->reply.state = RR_UPSTREAM_DRAINING;
		transit->reports_draining = true;
	}
	return transit;
}

static void reject_attempt(struct simulation *simulation,
			   struct attempt_in_transit *attempt_in_transit,
			   enum rr_reply_status status)
{
	struct reply_in_transit *transit =
		new_reply(attempt_in_transit, status);

	if (status == RR_REPLY_SHED)
		transit->reply.retry_after_ms =
			(uint32_t)random_between(simulation, 5, 100);
	if (status == RR_REPLY_REFUSED)
		transit->reply.newest_version = transit->reply.oldest_version =
			0;
	send_reply(simulation, attempt_in_transit->instance, transit,
		   random_between(simulation, 100, 5 * MS));
}

/* Returns the reply to an attempt that is executed. */
static struct reply_in_transit *
make_reply(struct simulation *simulation,
	   struct attempt_in_transit *attempt_in_transit, uint64_t version)
{
	struct reply_in_transit *transit =
		new_reply(attempt_in_transit, RR_REPLY_OK);
	struct rr_key_range held =
		replica_range(simulation, attempt_in_transit->replica);

	transit->range.from =
		MAX(held.from, attempt_in_transit->requested.from);
	transit->range.to = MIN(held.to, attempt_in_transit->requested.to);
	transit->reply.version = version;
	transit->reply.rows = rr_new_rows();
	if (transit->range.from < transit->range.to) {
		transit->reply.ranges = &transit->range;
		transit->reply.n_ranges = 1;
		transit->reply.has_more = fill_rows(
			simulation, transit->reply.rows, transit->range,
			version, attempt_in_transit->number,
			attempt_in_transit->limit);
	}
	transit->reply.row_count = (uint32_t)rr_count_rows(transit->reply.rows);
	transit->reply.body_complete = true;
	if (transit->reply.state == RR_UPSTREAM_UNKNOWN)
		transit->reply.state = RR_UPSTREAM_READY;
	transit->reply.load = g_rand_double(simulation->random); /* arbitrary */
	if (attempt_in_transit->kind == RR_RESERVE) {
		snprintf(transit->result, sizeof(transit->result),
			 "{\"done\":%" G_GUINT64_FORMAT "}",
			 attempt_in_transit->number);
		transit->reply.result = transit->result;
		transit->reply.result_length = strlen(transit->result);
	}
	return transit;
}

static void corrupt_reply(struct simulation *simulation,
			  struct reply_in_transit *transit)
{
	switch (g_rand_int_range(simulation->random, 0, 3)) {
	case 0:
		transit->reply.body_complete = false;
		break;
	case 1:
		transit->reply.row_count++;
		break;
	case 2: {
		/* Truncated: rows are missing, the row count is the true one. */
		struct rr_rows *rows = rr_new_rows();

		transit->reply.row_count =
			(uint32_t)rr_count_rows(transit->reply.rows) + 1;
		rr_drop_rows(transit->reply.rows);
		transit->reply.rows = rows;
		break;
	}
	}
}

static void handle_arrival(struct simulation *simulation, void *data)
{
	struct attempt_in_transit *attempt_in_transit = data;
	struct replica *replica = attempt_in_transit->replica;
	uint64_t version = attempt_in_transit->version;
	struct reply_in_transit *transit;
	bool cancelled = g_hash_table_contains(simulation->cancelled_attempts,
					       &attempt_in_transit->id);

	if (cancelled && random_one_in(simulation, 2))
		goto out; /* cancelled before it ran */
	if (replica->down) {
		if (random_one_in(simulation, 3))
			goto out; /* the connection attempt hangs */
		reject_attempt(simulation, attempt_in_transit,
			       RR_REPLY_REFUSED);
		goto out;
	}
	if (replica->shedding && !random_one_in(simulation, 4)) {
		reject_attempt(simulation, attempt_in_transit, RR_REPLY_SHED);
		goto out;
	}
	if (replica->draining && random_one_in(simulation, 2)) {
		reject_attempt(simulation, attempt_in_transit,
			       RR_REPLY_DRAINING);
		goto out;
	}
	if (random_one_in(simulation, 30)) {
		reject_attempt(simulation, attempt_in_transit,
			       RR_REPLY_REFUSED);
		goto out;
	}
	if (!version)
		version = replica->newest_version;
	if (!holds_version(replica, version)) {
		if (!random_one_in(simulation, 8)) {
			reject_attempt(simulation, attempt_in_transit,
				       RR_REPLY_NO_VERSION);
			goto out;
		}
		/* A faulty upstream replies with the version that it has. */
		version = replica->newest_version;
	}
	if (replica->hung && random_one_in(simulation, 2))
		goto out; /* received and never run */
	count_run(simulation, attempt_in_transit->number,
		  service_names[attempt_in_transit->service],
		  attempt_in_transit->kind == RR_RESERVE ?
			  attempt_in_transit->idempotency_key :
			  NULL);
	if (replica->hung)
		goto out;
	if (!simulation->faults_stopped && random_one_in(simulation, 30)) {
		transit = new_reply(attempt_in_transit, RR_REPLY_LOST);
	} else {
		transit = make_reply(simulation, attempt_in_transit, version);
		if (!simulation->faults_stopped &&
		    random_one_in(simulation, 30))
			corrupt_reply(simulation, transit);
	}
	send_reply(simulation, attempt_in_transit->instance, transit,
		   random_one_in(simulation, 20) ?
			   random_between(simulation, 50 * MS, 600 * MS) :
			   random_between(simulation, 500, 10 * MS));
out:
	g_free(attempt_in_transit);
}

void handle_attempt(struct simulation *simulation, struct instance *instance,
		    const struct rr_attempt *attempt)
{
	struct attempt_in_transit *attempt_in_transit =
		g_new0(struct attempt_in_transit, 1);
	int service;
	struct replica *replica =
		find_replica(simulation, attempt->replica, &service);
	int64_t known_draining_us =
		replica->draining_seen_us[service][instance->index];
	char id[24];
	char address[24];

	simulation->n_attempts++;
	format_replica(simulation, replica, service, id, address);
	check(simulation,
	      !known_draining_us ||
		      simulation->now_us - known_draining_us <= 3000 * MS,
	      "drain: attempt to %s %" G_GINT64_FORMAT
	      " us after it reported draining",
	      id, simulation->now_us - known_draining_us);
	check(simulation, !strcmp(attempt->address, address),
	      "wrong address %s for %s", attempt->address, id);
	check(simulation, !strcmp(attempt->service, service_names[service]),
	      "attempt of service %s sent to %s", attempt->service, id);
	attempt_in_transit->instance = instance->index;
	attempt_in_transit->incarnation = instance->incarnation;
	attempt_in_transit->id = attempt->id;
	attempt_in_transit->replica = replica;
	attempt_in_transit->service = service;
	if (attempt->idempotency_key)
		g_strlcpy(attempt_in_transit->idempotency_key,
			  attempt->idempotency_key,
			  sizeof(attempt_in_transit->idempotency_key));
	attempt_in_transit->number = parse_request_number(attempt->request_id);
	attempt_in_transit->kind = attempt->kind;
	attempt_in_transit->requested.from = attempt->key_from;
	attempt_in_transit->requested.to = attempt->key_to;
	attempt_in_transit->limit = attempt->row_limit;
	attempt_in_transit->version = attempt->version;
	schedule_event(simulation,
		       simulation->now_us +
			       random_between(simulation, 100, 3 * MS),
		       handle_arrival, attempt_in_transit);
}

struct health_reply {
	struct replica *replica;
	int service;
	struct rr_health health;
	char id[24];
};

static void deliver_health(struct instance *instance, void *data)
{
	struct health_reply *reply = data;
	int64_t *known_draining_us =
		&reply->replica
			 ->draining_seen_us[reply->service][instance->index];

	/*
	 * A new process without a configuration does not know the replica yet,
	 * so the reply to its predecessor's poll does not count (seed 307: the
	 * process was then paused for 5 s before its own first poll).
	 */
	if (instance->config_revision && !*known_draining_us &&
	    reply->health.state == RR_UPSTREAM_DRAINING)
		*known_draining_us = instance->simulation->now_us;
	if (reply->health.reachable &&
	    reply->health.state != RR_UPSTREAM_DRAINING)
		*known_draining_us = 0;
	rr_core_handle_health(instance->ctx, instance->core,
			      instance->simulation->now_us, &reply->health);
}

void handle_health_poll(struct simulation *simulation,
			struct instance *instance, const char *id)
{
	int service;
	struct replica *replica = find_replica(simulation, id, &service);
	struct health_reply *reply;

	if (replica->hung ||
	    (!simulation->faults_stopped && random_one_in(simulation, 20)))
		return; /* the poll gets no reply */
	reply = g_new0(struct health_reply, 1);
	reply->replica = replica;
	reply->service = service;
	g_strlcpy(reply->id, id, sizeof(reply->id));
	reply->health.replica = reply->id;
	reply->health.reachable = !replica->down;
	reply->health.load = g_rand_double(simulation->random);
	if (!replica->down) {
		reply->health.state = replica->draining ? RR_UPSTREAM_DRAINING :
							  RR_UPSTREAM_READY;
		reply->health.newest_version = replica->newest_version;
		reply->health.oldest_version =
			replica->newest_version - VERSIONS_KEPT + 1;
		reply->health.map_epoch = replica->map_epoch;
	}
	schedule_delivery(simulation, instance->index,
			  simulation->now_us +
				  random_between(simulation, 200, 5 * MS),
			  deliver_health, reply, g_free);
}

static void repartition(struct simulation *simulation)
{
	uint64_t *old = simulation->shard_bounds[simulation->map_epoch % 64];
	uint64_t *bounds;
	int shard = g_rand_int_range(simulation->random, 1, N_SHARDS);

	simulation->map_epoch++;
	bounds = simulation->shard_bounds[simulation->map_epoch % 64];
	memcpy(bounds, old, sizeof(simulation->shard_bounds[0]));
	/* Close to the configured boundary, so that each shard keeps keys. */
	bounds[shard] = (uint64_t)shard * KEYS_PER_SHARD +
			(uint64_t)g_rand_int_range(simulation->random, -40, 41);
}

void perturb_upstream(struct simulation *simulation)
{
	struct replica *replica;

	replica = &simulation->replicas[g_rand_int_range(
		simulation->random, 0, N_SHARDS * N_REPLICAS)];
	switch (g_rand_int_range(simulation->random, 0, 10)) {
	case 0:
	case 1:
		simulation->index_version++;
		break;
	case 2:
		if (random_one_in(simulation, 4))
			repartition(simulation);
		break;
	case 3:
		replica->draining = random_one_in(simulation, 3);
		break;
	case 4:
		replica->down = random_one_in(simulation, 4);
		break;
	case 5:
		replica->hung = random_one_in(simulation, 6);
		break;
	case 6:
		replica->shedding = random_one_in(simulation, 4);
		break;
	default:
		/* Recover, and catch up with the index version and the map. */
		if (random_one_in(simulation, 2)) {
			replica->draining = false;
			replica->down = false;
			replica->hung = false;
			replica->shedding = false;
		}
		replica->newest_version = simulation->index_version;
		if (simulation->map_epoch - replica->map_epoch > 60 ||
		    random_one_in(simulation, 2))
			replica->map_epoch = simulation->map_epoch;
		break;
	}
	if (random_one_in(simulation, 3)) {
		for (int i = 0; i < N_SHARDS * N_REPLICAS; i++) {
			if (random_one_in(simulation, 2))
				continue;
			simulation->replicas[i].newest_version =
				simulation->index_version;
			simulation->replicas[i].map_epoch =
				simulation->map_epoch;
		}
	}
}

void restore_upstream(struct simulation *simulation)
{
	for (int i = 0; i < N_SHARDS * N_REPLICAS; i++) {
		struct replica *replica = &simulation->replicas[i];

		replica->draining = false;
		replica->down = false;
		replica->hung = false;
		replica->shedding = false;
		replica->newest_version = simulation->index_version;
		replica->map_epoch = simulation->map_epoch;
	}
}
