/*
 * cut-watchers.c - replicas that are taken away while the instances that watch
 * the store for two zones are cut off from it.
 *
 *     cut-watchers GATEWAY RECORD
 *
 * Starts nine gateways in three zones, the project's stand-in store and
 * 20 shards of two replicas.  In each round the two gateways are cut off, and
 * six of the 40 replicas leave: four report that they drain, two never do, and
 * their entries are removed.  All go on serving.  With TROUBLE=0 nothing is cut.
 * Exits with 1 if the rule was broken, with 0 if it held and with 2 if the
 * deployment did not come up.
 */
#include <string.h>

#include "place.h"
#include "support/raw-http.h"
#include "support/standin-store.h"

#define GATEWAYS 9
#define SHARDS 20
#define COPIES 2
#define ROUNDS 12
#define LEAVE 6	  /* 0.15 of the replicas */
#define ABRUPT 2  /* of them without a report */
#define CALLERS 3 /* for each gateway */
#define DRAIN_US (3000 * 1000)
/* An arrival may be in transit for this long. */
#define TRANSIT_US (20 * 1000)
#define START_US (20 * G_USEC_PER_SEC)
/* Until all are registered and a whole window of retries has passed. */
#define WARM_UP_US (14 * G_USEC_PER_SEC)
#define CUT_LEAD_US (50 * 1000)
#define CUT_US (2500 * 1000)
#define PAUSE_US (5000 * 1000)
#define DEADLINE_MS 1200
#define THINK_US (60 * 1000)
/* The sheet's work, and pauses of 100 ms each 2.4 s. */
#define MIN_WORK_MS 4
#define RANDOM_WORK_MS 8
#define REPLICA_PAUSE_MS 100
#define REPLICA_PERIOD_MS 2400

static const struct {
	const char *name;
	const char *zone;
	bool is_cut; /* first of its zone, so that it watches the store */
} gateway_names[GATEWAYS] = {
	{ "front-athi-1", "athi", true },
	{ "front-athi-2", "athi", false },
	{ "front-athi-3", "athi", false },
	{ "front-embakasi-1", "embakasi", false },
	{ "front-embakasi-2", "embakasi", false },
	{ "front-ruaraka-1", "ruaraka", true },
	{ "front-ruaraka-2", "ruaraka", false },
	{ "front-ruaraka-3", "ruaraka", false },
	{ "front-ruaraka-4", "ruaraka", false },
};
static const char *const replica_zones[COPIES] = { "ruaraka", "embakasi" };

struct deployment;

struct replica {
	struct test_server server;
	struct deployment *deployment;
	char *id;
	int shard;
	int copy;
	int64_t phase_us;
	int64_t acked_us; /* when it left, by the store; 0: it has not */
	bool is_abrupt;
	int n_run;
};

struct caller {
	struct deployment *deployment;
	int gateway;
	int number;
	GThread *thread;
};

struct deployment {
	struct place place;
	struct test_store store;
	struct place_gateway gateways[GATEWAYS];
	struct place_link *links[GATEWAYS]; /* NULL: none */
	struct replica *replicas[SHARDS][COPIES];
	GPtrArray *left; /* struct replica */
	int n_replicas;	 /* started so far */
	struct caller callers[GATEWAYS][CALLERS];
	gint stopped;
	gint n_served[GATEWAYS];
	gint n_others[GATEWAYS];
	int n_late; /* violations */
	GRand *rand;
};

/* A request that a replica works on. */
struct work {
	guint timer;
	struct test_connection *connection;
	struct replica *replica;
	char *request_id;
};

/* Replicas. */

static gboolean finish_work(gpointer data)
{
	static const char records[] = "0123456789abcdef0123456789abcdef";
	struct work *work = data;
	struct test_connection *connection = work->connection;
	char *headers = g_strdup_printf(
		"Request-Id: %s\r\nResponse-Seal: %s.%s\r\n", work->request_id,
		work->replica->id, work->request_id);

	connection->user = NULL;
	g_free(work->request_id);
	g_free(work);
	test_reply_to(connection, 200, headers, records, false);
	g_free(headers);
	return G_SOURCE_REMOVE;
}

/* The caller has gone: the work is dropped. */
static void drop_work(struct test_connection *connection)
{
	struct work *work = connection->user;

	if (!work)
		return;
	g_source_remove(work->timer);
	g_free(work->request_id);
	g_free(work);
	connection->user = NULL;
}

static guint draw_work_ms(struct replica *replica)
{
	int64_t period_us = (int64_t)REPLICA_PERIOD_MS * 1000;
	int64_t into_us =
		(g_get_monotonic_time() + replica->phase_us) % period_us;
	int64_t left_us = (int64_t)REPLICA_PAUSE_MS * 1000 - into_us;

	return MIN_WORK_MS +
	       (guint)g_rand_int_range(replica->deployment->rand, 0,
				       RANDOM_WORK_MS) +
	       (left_us > 0 ? (guint)(left_us / 1000) : 0);
}

/*
 * Check the rule.  Request ids begin with the number of the gateway that the
 * caller sent the request to; none of these gateways hands searches on.
 */
static void check_arrival(struct replica *replica, const char *request_id)
{
	struct deployment *deployment = replica->deployment;
	int gateway = request_id[0] - '0';
	int64_t after_us = g_get_monotonic_time() - replica->acked_us;

	if (!replica->acked_us || after_us <= DRAIN_US + TRANSIT_US)
		return;
	place_record(
		&deployment->place,
		"request %s reached %s (shard %d, %s) %d ms after the ack, "
		"from %s%s",
		request_id, replica->id, replica->shard,
		replica->is_abrupt ? "entry removed" : "draining",
		(int)(after_us / 1000), gateway_names[gateway].name,
		gateway_names[gateway].is_cut ? ", which was cut off" : "");
	if (!gateway_names[gateway].is_cut)
		deployment->n_late++;
}

static void handle_request(struct test_connection *connection)
{
	struct replica *replica = connection->server->data;
	const char *id = test_request_header(connection, "request-id");
	struct work *work;

	if (g_strcmp0(test_request_header(connection, "expect-instance"),
		      replica->id)) {
		test_reply_to(connection, 421, "Not-Executed: 1\r\n", "",
			      false);
		return;
	}
	replica->n_run++;
	check_arrival(replica, id);
	work = g_new0(struct work, 1);
	work->connection = connection;
	work->replica = replica;
	work->request_id = g_strdup(id);
	work->timer = g_timeout_add(draw_work_ms(replica), finish_work, work);
	connection->user = work;
}

static void write_entry(struct replica *replica, bool draining)
{
	char *service = g_strdup_printf("counter-desk-%d", replica->shard);
	char *address = g_strdup_printf("127.0.0.1:%u", replica->server.port);
	struct test_replica_entry entry = {
		.id = replica->id,
		.service = service,
		.address = address,
		.zone = replica_zones[replica->copy],
		.slots = 2,
		.draining = draining,
	};

	test_store_put_replica(&replica->deployment->store, &entry);
	g_free(address);
	g_free(service);
}

static void remove_entry(struct replica *replica)
{
	char *key = g_strdup_printf("servers/%s", replica->id);

	test_store_remove(&replica->deployment->store, key);
	g_free(key);
}

static void start_replica(struct deployment *deployment, int shard, int copy)
{
	struct replica *replica = g_new0(struct replica, 1);

	replica->deployment = deployment;
	replica->shard = shard;
	replica->copy = copy;
	replica->id = g_strdup_printf("i-%d", ++deployment->n_replicas);
	replica->phase_us =
		g_rand_int_range(deployment->rand, 0, REPLICA_PERIOD_MS * 1000);
	replica->server.data = replica;
	replica->server.request = handle_request;
	replica->server.closing = drop_work;
	test_set_listening(&replica->server, true);
	deployment->replicas[shard][copy] = replica;
	write_entry(replica, false);
}

/* The replica leaves; it goes on serving, for longer than it has to. */
static void leave(struct replica *replica, bool is_abrupt)
{
	replica->is_abrupt = is_abrupt;
	if (is_abrupt)
		remove_entry(replica);
	else
		write_entry(replica, true);
	replica->acked_us = g_get_monotonic_time();
	g_ptr_array_add(replica->deployment->left, replica);
	place_record(&replica->deployment->place, "%s of shard %d leaves: %s",
		     replica->id, replica->shard,
		     is_abrupt ? "its entry is removed" : "it is draining");
}

/* Callers. */

static gpointer run_caller(gpointer data)
{
	struct caller *caller = data;
	struct deployment *deployment = caller->deployment;
	const char *address =
		deployment->gateways[caller->gateway].caller_address;

	for (int n = 0; !g_atomic_int_get(&deployment->stopped); n++) {
		char *id = g_strdup_printf("%d-%d-%d", caller->gateway,
					   caller->number, n);
		char *path = g_strdup_printf("/match/%s", id);
		int status = place_send_request(address, path, id, DEADLINE_MS);

		g_atomic_int_inc(
			status == 200 ? &deployment->n_served[caller->gateway] :
					&deployment->n_others[caller->gateway]);
		g_free(path);
		g_free(id);
		g_usleep(THINK_US);
	}
	return NULL;
}

/* The run. */

static void write_config(struct deployment *deployment)
{
	GString *text = g_string_new(
		"{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
		"\"prefix\":\"/match/\",\"routeType\":\"idempotent\","
		"\"timeoutMs\":1200,\"targetLatencyMs\":80,\"priority\":1,"
		"\"maxAttempts\":2,\"topK\":20,\"minShardRatio\":0.89,"
		"\"shardServices\":[");

	for (int i = 0; i < SHARDS; i++)
		g_string_append_printf(text, "%s\"counter-desk-%d\"",
				       i ? "," : "", i);
	g_string_append(text, "]}],\"services\":[");
	for (int i = 0; i < SHARDS; i++)
		g_string_append_printf(
			text,
			"%s{\"name\":\"counter-desk-%d\",\"maxConnections\":26}",
			i ? "," : "", i);
	g_string_append(text,
			"],\"limits\":{\"maxHeaderBytes\":16384,"
			"\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
			"\"idleTimeoutMs\":15000}}");
	test_store_put(&deployment->store, "op/config", text->str);
	g_string_free(text, TRUE);
}

static void start_gateway(struct deployment *deployment, int i)
{
	const struct place_bounds bounds = { .config_apply_ms = 3000,
					     .drain_ms = 3000,
					     .retry_slack = 58 };
	struct place_gateway *gateway = &deployment->gateways[i];

	gateway->place = &deployment->place;
	gateway->name = gateway_names[i].name;
	gateway->zone = gateway_names[i].zone;
	gateway->strength = "0.25";
	gateway->store_port = deployment->store.server.port;
	if (gateway_names[i].is_cut) {
		deployment->links[i] = place_open_link(gateway->store_port);
		gateway->store_port = place_link_port(deployment->links[i]);
	}
	place_start_gateway(gateway, &bounds);
}

static void start_callers(struct deployment *deployment)
{
	for (int i = 0; i < GATEWAYS; i++) {
		for (int j = 0; j < CALLERS; j++) {
			struct caller *caller = &deployment->callers[i][j];

			caller->deployment = deployment;
			caller->gateway = i;
			caller->number = j;
			caller->thread =
				g_thread_new("caller", run_caller, caller);
		}
	}
}

static void start_deployment(struct deployment *deployment)
{
	deployment->rand = g_rand_new_with_seed(1);
	deployment->left = g_ptr_array_new();
	test_open_store(&deployment->store, 1);
	write_config(deployment);
	for (int i = 0; i < SHARDS; i++) {
		for (int j = 0; j < COPIES; j++)
			start_replica(deployment, i, j);
	}
	for (int i = 0; i < GATEWAYS; i++)
		start_gateway(deployment, i);
	start_callers(deployment);
}

static bool all_serve(struct deployment *deployment)
{
	for (int i = 0; i < GATEWAYS; i++) {
		if (!g_atomic_int_get(&deployment->n_served[i]))
			return false;
	}
	return true;
}

static void set_cut(struct deployment *deployment, bool cut)
{
	place_record(&deployment->place, cut ? "two gateways are cut off" :
					       "they are connected again");
	for (int i = 0; i < GATEWAYS; i++) {
		if (!deployment->links[i])
			continue;
		if (cut)
			place_cut_link(deployment->links[i]);
		else
			place_heal_link(deployment->links[i]);
	}
}

/* The replicas that left exit; new ones of the same shards start. */
static void replace_left(struct deployment *deployment)
{
	for (guint i = 0; i < deployment->left->len; i++) {
		struct replica *replica = deployment->left->pdata[i];

		if (!replica->is_abrupt)
			remove_entry(replica);
		test_stop_server(&replica->server);
		start_replica(deployment, replica->shard, replica->copy);
	}
	g_ptr_array_set_size(deployment->left, 0);
}

static void play_round(struct deployment *deployment, int round, bool trouble)
{
	if (trouble)
		set_cut(deployment, true);
	place_run_for(CUT_LEAD_US);
	for (int i = 0; i < LEAVE; i++) {
		int shard = (round * LEAVE + i) % SHARDS;

		leave(deployment->replicas[shard][(round + i) % COPIES],
		      i < ABRUPT);
	}
	place_run_for(CUT_US - CUT_LEAD_US);
	if (trouble)
		set_cut(deployment, false);
	place_run_for(PAUSE_US / 2);
	replace_left(deployment);
	place_run_for(PAUSE_US / 2);
}

static void record_counts(struct deployment *deployment)
{
	for (int i = 0; i < GATEWAYS; i++)
		place_record(&deployment->place,
			     "%s was sent %d requests, served %d",
			     gateway_names[i].name,
			     g_atomic_int_get(&deployment->n_served[i]) +
				     g_atomic_int_get(&deployment->n_others[i]),
			     g_atomic_int_get(&deployment->n_served[i]));
}

static void end_deployment(struct deployment *deployment)
{
	deployment->place.ending = true;
	g_atomic_int_set(&deployment->stopped, 1);
	for (int i = 0; i < GATEWAYS; i++)
		place_stop_gateway(&deployment->gateways[i]);
	for (int i = 0; i < GATEWAYS; i++) {
		for (int j = 0; j < CALLERS; j++)
			g_thread_join(deployment->callers[i][j].thread);
		if (deployment->links[i])
			place_close_link(deployment->links[i]);
	}
	place_close(&deployment->place);
}

int main(int argc, char **argv)
{
	static struct deployment deployment;
	bool trouble = g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
	int64_t end_us = g_get_monotonic_time() + START_US;

	if (argc != 3 || !place_open(&deployment.place, argv[1], argv[2]))
		return 2;
	start_deployment(&deployment);
	while (!all_serve(&deployment) && g_get_monotonic_time() < end_us)
		place_run_for(100 * 1000);
	if (!all_serve(&deployment)) {
		place_record(&deployment.place, "not all gateways serve");
		end_deployment(&deployment);
		return 2;
	}
	place_run_for(WARM_UP_US);
	for (int i = 0; i < ROUNDS; i++)
		play_round(&deployment, i, trouble);
	record_counts(&deployment);
	place_record(&deployment.place, "DRAIN: %s, %d late requests",
		     deployment.n_late ? "broken" : "held", deployment.n_late);
	end_deployment(&deployment);
	return deployment.n_late ? 1 : 0;
}
