/*
 * upstream.c - the fake upstream: replicas that answer late, twice, cut
 * short, wrongly or not at all, while versions and key ranges move.
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
		      " ran after its caller was told not-run",
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

/* An attempt on its way: a copy of what the core asked for. */
struct journey {
	int instance;
	uint64_t incarnation;
	uint64_t id;
	struct replica *replica;
	int service;
	char idempotency_key[48];
	uint64_t number;
	enum rr_request_kind kind;
	struct rr_key_range asked;
	uint32_t limit;
	uint64_t version;
};

/* A reply on its way back, with all it points to. */
struct returning {
	struct rr_reply reply;
	struct rr_key_range range;
	struct replica *replica;
	int service;
	bool draining_news;
	uint64_t incarnation; /* of the instance that sent the attempt */
	char result[48];
};

static void drop_returning(void *data)
{
	struct returning *back = data;

	rr_drop_rows(back->reply.rows);
	g_free(back);
}

static void deliver_reply(struct instance *instance, void *data)
{
	struct returning *back = data;
	struct simulation *simulation = instance->simulation;
	int64_t *told_us;

	told_us = &back->replica
			   ->draining_seen_us[back->service][instance->index];
	/* News of a reply that the instance has to drop does not count. */
	if (back->draining_news && back->incarnation == instance->incarnation &&
	    !g_hash_table_contains(simulation->cancelled_attempts,
				   &back->reply.attempt_id) &&
	    !*told_us)
		*told_us = simulation->now_us;
	rr_core_handle_reply(instance->ctx, instance->core, simulation->now_us,
			     &back->reply);
}

static struct returning *copy_returning(struct returning *back)
{
	struct returning *copy = g_memdup2(back, sizeof(*back));

	if (copy->reply.n_ranges)
		copy->reply.ranges = &copy->range;
	if (copy->reply.rows)
		rr_keep_rows(copy->reply.rows);
	if (copy->reply.result)
		copy->reply.result = copy->result;
	copy->draining_news = false;
	return copy;
}

static void send_back(struct simulation *simulation, int instance,
		      struct returning *back, int64_t delay_us)
{
	if (random_one_in(simulation, 40)) {
		/* Doubled: the second may be much later. */
		schedule_delivery(
			simulation, instance,
			simulation->now_us +
				random_between(simulation, 0, 900 * MS),
			deliver_reply, copy_returning(back), drop_returning);
	}
	if (random_one_in(simulation, 60)) {
		/* Foreign: to the other instance, or under another id. */
		struct returning *foreign = copy_returning(back);

		if (random_one_in(simulation, 2))
			foreign->reply.attempt_id ^=
				G_GUINT64_CONSTANT(1)
				<< random_between(simulation, 24, 60);
		else
			instance = 1 - instance;
		schedule_delivery(simulation, instance,
				  simulation->now_us + delay_us, deliver_reply,
				  foreign, drop_returning);
		if (foreign->reply.attempt_id == back->reply.attempt_id)
			instance = 1 - instance;
	}
	schedule_delivery(simulation, instance, simulation->now_us + delay_us,
			  deliver_reply, back, drop_returning);
}

static struct returning *new_returning(struct journey *journey,
				       enum rr_reply_status status)
{
	struct returning *back = g_new0(struct returning, 1);
	struct replica *replica = journey->replica;

	back->replica = replica;
	back->service = journey->service;
	back->incarnation = journey->incarnation;
	back->reply.attempt_id = journey->id;
	back->reply.status = status;
	back->reply.state = RR_UPSTREAM_UNKNOWN;
	back->reply.load = -1.0;
	if (status == RR_REPLY_LOST)
		return back;
	back->reply.newest_version = replica->newest_version;
	back->reply.oldest_version =
		replica->newest_version - VERSIONS_KEPT + 1;
	back->reply.map_epoch = replica->map_epoch;
	if (replica->draining) {
		back->reply.state = RR_UPSTREAM_DRAINING;
		back->draining_news = true;
	}
	return back;
}

static void refuse(struct simulation *simulation, struct journey *journey,
		   enum rr_reply_status status)
{
	struct returning *back = new_returning(journey, status);

	if (status == RR_REPLY_SHED)
		back->reply.retry_after_ms =
			(uint32_t)random_between(simulation, 5, 100);
	if (status == RR_REPLY_REFUSED)
		back->reply.newest_version = back->reply.oldest_version = 0;
	send_back(simulation, journey->instance, back,
		  random_between(simulation, 100, 5 * MS));
}

/* The reply of an attempt that runs. */
static struct returning *make_reply(struct simulation *simulation,
				    struct journey *journey, uint64_t version)
{
	struct returning *back = new_returning(journey, RR_REPLY_OK);
	struct rr_key_range held = replica_range(simulation, journey->replica);

	back->range.from = MAX(held.from, journey->asked.from);
	back->range.to = MIN(held.to, journey->asked.to);
	back->reply.version = version;
	back->reply.rows = rr_new_rows();
	if (back->range.from < back->range.to) {
		back->reply.ranges = &back->range;
		back->reply.n_ranges = 1;
		back->reply.has_more =
			fill_rows(simulation, back->reply.rows, back->range,
				  version, journey->number, journey->limit);
	}
	back->reply.row_count = (uint32_t)rr_count_rows(back->reply.rows);
	back->reply.body_complete = true;
	if (back->reply.state == RR_UPSTREAM_UNKNOWN)
		back->reply.state = RR_UPSTREAM_READY;
	back->reply.load =
		g_rand_double(simulation->random); /* means nothing */
	if (journey->kind == RR_RESERVE) {
		snprintf(back->result, sizeof(back->result),
			 "{\"done\":%" G_GUINT64_FORMAT "}", journey->number);
		back->reply.result = back->result;
		back->reply.result_length = strlen(back->result);
	}
	return back;
}

static void spoil_reply(struct simulation *simulation, struct returning *back)
{
	switch (g_rand_int_range(simulation->random, 0, 3)) {
	case 0:
		back->reply.body_complete = false;
		break;
	case 1:
		back->reply.row_count++;
		break;
	case 2: {
		/* Cut: some rows are missing, the count is the true one. */
		struct rr_rows *rows = rr_new_rows();

		back->reply.row_count =
			(uint32_t)rr_count_rows(back->reply.rows) + 1;
		rr_drop_rows(back->reply.rows);
		back->reply.rows = rows;
		break;
	}
	}
}

static void arrive(struct simulation *simulation, void *data)
{
	struct journey *journey = data;
	struct replica *replica = journey->replica;
	uint64_t version = journey->version;
	struct returning *back;
	bool cancelled = g_hash_table_contains(simulation->cancelled_attempts,
					       &journey->id);

	if (cancelled && random_one_in(simulation, 2))
		goto out; /* withdrawn before it ran */
	if (replica->down) {
		if (random_one_in(simulation, 3))
			goto out; /* the connection attempt hangs */
		refuse(simulation, journey, RR_REPLY_REFUSED);
		goto out;
	}
	if (replica->shedding && !random_one_in(simulation, 4)) {
		refuse(simulation, journey, RR_REPLY_SHED);
		goto out;
	}
	if (replica->draining && random_one_in(simulation, 2)) {
		refuse(simulation, journey, RR_REPLY_DRAINING);
		goto out;
	}
	if (random_one_in(simulation, 30)) {
		refuse(simulation, journey, RR_REPLY_REFUSED);
		goto out;
	}
	if (!version)
		version = replica->newest_version;
	if (!holds_version(replica, version)) {
		if (!random_one_in(simulation, 8)) {
			refuse(simulation, journey, RR_REPLY_NO_VERSION);
			goto out;
		}
		/* A faulty upstream answers with what it has. */
		version = replica->newest_version;
	}
	if (replica->hung && random_one_in(simulation, 2))
		goto out; /* read and never run */
	count_run(simulation, journey->number, service_names[journey->service],
		  journey->kind == RR_RESERVE ? journey->idempotency_key :
						NULL);
	if (replica->hung)
		goto out;
	if (!simulation->faults_stopped && random_one_in(simulation, 30)) {
		back = new_returning(journey, RR_REPLY_LOST);
	} else {
		back = make_reply(simulation, journey, version);
		if (!simulation->faults_stopped &&
		    random_one_in(simulation, 30))
			spoil_reply(simulation, back);
	}
	send_back(simulation, journey->instance, back,
		  random_one_in(simulation, 20) ?
			  random_between(simulation, 50 * MS, 600 * MS) :
			  random_between(simulation, 500, 10 * MS));
out:
	g_free(journey);
}

void handle_attempt(struct simulation *simulation, struct instance *instance,
		    const struct rr_attempt *attempt)
{
	struct journey *journey = g_new0(struct journey, 1);
	int service;
	struct replica *replica =
		find_replica(simulation, attempt->replica, &service);
	int64_t told_us = replica->draining_seen_us[service][instance->index];
	char id[24];
	char address[24];

	simulation->n_attempts++;
	format_replica(simulation, replica, service, id, address);
	check(simulation, !told_us || simulation->now_us - told_us <= 3000 * MS,
	      "drain: attempt to %s %" G_GINT64_FORMAT
	      " us after it said draining",
	      id, simulation->now_us - told_us);
	check(simulation, !strcmp(attempt->address, address),
	      "wrong address %s for %s", attempt->address, id);
	check(simulation, !strcmp(attempt->service, service_names[service]),
	      "attempt of service %s at %s", attempt->service, id);
	journey->instance = instance->index;
	journey->incarnation = instance->incarnation;
	journey->id = attempt->id;
	journey->replica = replica;
	journey->service = service;
	if (attempt->idempotency_key)
		g_strlcpy(journey->idempotency_key, attempt->idempotency_key,
			  sizeof(journey->idempotency_key));
	journey->number = parse_request_number(attempt->request_id);
	journey->kind = attempt->kind;
	journey->asked.from = attempt->key_from;
	journey->asked.to = attempt->key_to;
	journey->limit = attempt->row_limit;
	journey->version = attempt->version;
	schedule_event(simulation,
		       simulation->now_us +
			       random_between(simulation, 100, 3 * MS),
		       arrive, journey);
}

struct health_news {
	struct replica *replica;
	int service;
	struct rr_health health;
	char id[24];
};

static void deliver_health(struct instance *instance, void *data)
{
	struct health_news *news = data;
	int64_t *told_us =
		&news->replica
			 ->draining_seen_us[news->service][instance->index];

	/*
	 * A new process that has no configuration yet does not know the
	 * replica: the answer to its predecessor's poll tells it nothing
	 * (seed 307: it was then paused for 5 s before its own first poll).
	 */
	if (instance->config_revision && !*told_us &&
	    news->health.state == RR_UPSTREAM_DRAINING)
		*told_us = instance->simulation->now_us;
	if (news->health.reachable &&
	    news->health.state != RR_UPSTREAM_DRAINING)
		*told_us = 0;
	rr_core_handle_health(instance->ctx, instance->core,
			      instance->simulation->now_us, &news->health);
}

void handle_health_poll(struct simulation *simulation,
			struct instance *instance, const char *id)
{
	int service;
	struct replica *replica = find_replica(simulation, id, &service);
	struct health_news *news;

	if (replica->hung ||
	    (!simulation->faults_stopped && random_one_in(simulation, 20)))
		return; /* the poll is never answered */
	news = g_new0(struct health_news, 1);
	news->replica = replica;
	news->service = service;
	g_strlcpy(news->id, id, sizeof(news->id));
	news->health.replica = news->id;
	news->health.reachable = !replica->down;
	news->health.load = g_rand_double(simulation->random);
	if (!replica->down) {
		news->health.state = replica->draining ? RR_UPSTREAM_DRAINING :
							 RR_UPSTREAM_READY;
		news->health.newest_version = replica->newest_version;
		news->health.oldest_version =
			replica->newest_version - VERSIONS_KEPT + 1;
		news->health.map_epoch = replica->map_epoch;
	}
	schedule_delivery(simulation, instance->index,
			  simulation->now_us +
				  random_between(simulation, 200, 5 * MS),
			  deliver_health, news, g_free);
}

static void repartition(struct simulation *simulation)
{
	uint64_t *old = simulation->shard_bounds[simulation->map_epoch % 64];
	uint64_t *bounds;
	int moved = g_rand_int_range(simulation->random, 1, N_SHARDS);

	simulation->map_epoch++;
	bounds = simulation->shard_bounds[simulation->map_epoch % 64];
	memcpy(bounds, old, sizeof(simulation->shard_bounds[0]));
	/* Never far from the declared place, so that shards keep keys. */
	bounds[moved] = (uint64_t)moved * KEYS_PER_SHARD +
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
		/* Recover, and catch up with index and map, on its own. */
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
