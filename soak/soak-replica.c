/*
 * soak-replica.c - replicas that work, fail and leave, and check what comes.
 */
#include <string.h>

#include "soak.h"

/* A replica's usual work, and what is drawn on top. */
#define WORK_MS 3
#define MOST_MORE_MS 12
/* What is drained gets nothing after this, and as much for the machine. */
#define DRAIN_BOUND_US (4000 * MS)

/* A request that a replica works on. */
struct work {
	struct soak_replica *replica;
	struct test_connection *connection; /* NULL: its caller has gone */
	char *request_id;
};

void soak_make_part_records(const char *request_id, const char *service,
			    char *out)
{
	for (int i = 0; i < RECORDS_PER_PART; i++) {
		char *text =
			g_strdup_printf("%s/%s/%d", request_id, service, i);
		char *sum =
			g_compute_checksum_for_string(G_CHECKSUM_MD5, text, -1);

		memcpy(out + i * RECORD_BYTES, sum, RECORD_BYTES);
		g_free(sum);
		g_free(text);
	}
	out[RECORDS_PER_PART * RECORD_BYTES] = '\0';
}

static void free_work(struct work *work)
{
	if (work->connection)
		work->connection->user = NULL;
	g_free(work->request_id);
	g_free(work);
}

/* An answer that is not what it should be, in one of several ways. */
static void answer_garbled(struct soak *soak, struct work *work,
			   const char *extra, const char *body)
{
	struct test_connection *connection = work->connection;
	char *foreign;
	char *text;

	switch (soak_random_below(soak, 3)) {
	case 0: /* breaks off in the middle */
		test_reply_to(connection, 200, extra, body, true);
		return;
	case 1: /* is the answer to another request, which nobody sent */
		foreign = g_strdup_printf("Response-Seal: %s.%s.none\r\n"
					  "Request-Id: none\r\n",
					  work->replica->service,
					  work->replica->id);
		test_reply_to(connection, 200, foreign, body, false);
		g_free(foreign);
		return;
	default: /* comes twice */
		text = g_strdup_printf(
			"HTTP/1.1 200 -\r\nContent-Length: %d\r\n"
			"%s\r\n%sHTTP/1.1 200 -\r\n"
			"Content-Length: 1\r\n\r\nx",
			RECORDS_PER_PART * RECORD_BYTES, extra, body);
		g_socket_send(connection->socket, text, strlen(text), NULL,
			      NULL);
		test_close_connection(connection);
		g_free(text);
		return;
	}
}

static void answer_work(struct soak *soak, struct work *work)
{
	struct soak_replica *replica = work->replica;
	char body[RECORDS_PER_PART * RECORD_BYTES + 1];
	char *extra =
		g_strdup_printf("Response-Seal: %s.%s.%s\r\nRequest-Id: %s\r\n",
				replica->service, replica->id, work->request_id,
				work->request_id);

	soak_make_part_records(work->request_id, replica->service, body);
	if (soak_chance(soak, replica->no_answer_share))
		test_close_connection(work->connection);
	else if (soak_chance(soak, replica->bad_answer_share))
		answer_garbled(soak, work, extra, body);
	else
		test_reply_to(work->connection, 200, extra, body, false);
	g_free(extra);
}

static gboolean end_work(gpointer data)
{
	struct work *work = data;
	struct test_connection *connection = work->connection;

	if (connection) {
		connection->user = NULL;
		if (strstr(connection->path, "deadly"))
			soak_crash_on_query_of_death(work->replica,
						     work->request_id);
		else
			answer_work(work->replica->soak, work);
		work->connection = NULL;
	}
	free_work(work);
	return G_SOURCE_REMOVE;
}

/* Its caller has closed: the work is dropped. */
static void drop_connection(struct test_connection *connection)
{
	struct work *work = connection->user;

	if (work)
		work->connection = NULL;
	connection->user = NULL;
}

static uint32_t count_replicas(const struct soak_request *request,
			       const char *service)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < request->n_executions; i++)
		n += !strcmp(request->executions[i].service, service);
	return n;
}

/* What a run of a request must not do, whatever fails. */
static void check_run(struct soak_replica *replica,
		      struct soak_request *request,
		      const struct test_connection *connection)
{
	struct soak *soak = replica->soak;
	static const char *const prefixes[] = { "/search/", "/often/",
						"/once/" };
	const char *prefix = prefixes[request->kind];

	if (!g_str_has_prefix(connection->path, prefix) ||
	    strcmp(connection->path + strlen(prefix),
		   request->query_of_death[0] ? request->query_of_death :
						request->id) ||
	    strcmp(connection->method,
		   request->kind == SOAK_NON_IDEMPOTENT ? "POST" : "GET"))
		soak_report_violation(soak, "UNASKED", "%s %s ran for %s",
				      connection->method, connection->path,
				      request->id);
	if (request->kind == SOAK_NON_IDEMPOTENT && request->n_executions)
		soak_report_violation(soak, "TWICE", "%s ran at %s after %s",
				      request->id, replica->id,
				      request->executions[0].service);
	if (request->rejected && request->kind == SOAK_NON_IDEMPOTENT)
		soak_report_violation(soak, "REFUSED",
				      "%s ran at %s after the promise",
				      request->id, replica->id);
	if (!request->on_lost_replica &&
	    count_replicas(request, replica->service) >= MAX_ATTEMPTS)
		soak_report_violation(soak, "BUDGET", "%s ran %u times at %s",
				      request->id, MAX_ATTEMPTS + 1,
				      replica->service);
	if ((request->kind == SOAK_SEARCH) !=
	    (replica->service[0] == 's' || replica->service[0] == 't'))
		soak_report_violation(soak, "ROUTE", "%s ran at service %s",
				      connection->path, replica->service);
}

static void check_drain(struct soak_replica *replica, const char *id)
{
	struct soak *soak = replica->soak;
	int64_t now_us = g_get_monotonic_time();

	if (!soak->options.check_timing || !replica->draining_since_us ||
	    now_us - replica->draining_since_us < DRAIN_BOUND_US)
		return;
	if (soak_is_fault_free_since(soak, NULL, replica->draining_since_us))
		soak_report_violation(
			soak, "DRAIN", "%s came to %s after %d ms", id,
			replica->id,
			(int)((now_us - replica->draining_since_us) / MS));
}

/* As for a drain: an evacuation is another change in the store. */
static void check_evacuation(struct soak_replica *replica, const char *id)
{
	struct soak *soak = replica->soak;
	int64_t since_us = soak->evacuated_since_us[replica->zone];
	int64_t late_us = g_get_monotonic_time() - since_us;

	if (!soak->options.check_timing || !since_us ||
	    late_us < DRAIN_BOUND_US)
		return;
	if (soak_is_fault_free_since(soak, NULL, since_us))
		soak_report_violation(soak, "EVAC",
				      "%s came to %s of zone %u after "
				      "%d ms",
				      id, replica->id, replica->zone,
				      (int)(late_us / MS));
}

/*
 * The bound holds for any second.  It is not checked after harm to a link,
 * which may deliver delayed requests together.
 */
static void check_cold(struct soak_replica *replica, const char *id)
{
	const uint32_t most =
		(uint32_t)(COLD_PER_S * COLD_OVERAGE + COLD_SLACK);
	struct soak *soak = replica->soak;
	int64_t now_us = g_get_monotonic_time();
	int64_t before_us;

	if (now_us >= replica->cold_until_us)
		return;
	before_us = replica->n_arrivals < most ?
			    0 :
			    replica->arrivals_us[(replica->n_arrivals - most) %
						 ARRIVAL_RING_SIZE];
	replica->arrivals_us[replica->n_arrivals++ % ARRIVAL_RING_SIZE] =
		now_us;
	if (soak->options.check_timing && before_us &&
	    now_us - before_us < 1000 * MS &&
	    soak_is_fault_free_since(soak, NULL, before_us))
		soak_report_violation(
			soak, "FAILBACK",
			"%s is number %u in %d ms at %s, which is cold", id,
			most + 1, (int)((now_us - before_us) / MS),
			replica->id);
}

static void note_run(struct soak_replica *replica, struct soak_request *request)
{
	struct soak_execution *run;

	replica->soak->executions++;
	if (request->n_executions == MAX_EXECUTIONS)
		return;
	run = &request->executions[request->n_executions++];
	run->incarnation = replica->incarnation;
	g_strlcpy(run->service, replica->service, sizeof(run->service));
}

static void start_work(struct soak_replica *replica,
		       struct test_connection *connection,
		       struct soak_request *request)
{
	struct soak *soak = replica->soak;
	struct work *work = g_new0(struct work, 1);
	int64_t pause_us = replica->paused_until_us - g_get_monotonic_time();
	uint32_t work_ms = WORK_MS + soak_random_below(soak, MOST_MORE_MS) +
			   replica->extra_work_ms;

	work->replica = replica;
	work->connection = connection;
	work->request_id = g_strdup(request->id);
	connection->user = work;
	if (pause_us > 0)
		work_ms += (uint32_t)(pause_us / MS);
	g_timeout_add(work_ms, end_work, work);
}

static void take_request(struct test_connection *connection)
{
	struct soak_replica *replica = connection->server->data;
	const char *id = test_request_header(connection, "request-id");
	const char *expected =
		test_request_header(connection, "expect-instance");
	struct soak_request *request =
		id ? g_hash_table_lookup(replica->soak->requests, id) : NULL;

	if (!request) {
		soak_report_violation(replica->soak, "UNASKED",
				      "%s came to %s, which nobody sent",
				      id ? id : "a request without id",
				      replica->id);
		test_reply_to(connection, 400, "Not-Executed: 1\r\n", "",
			      false);
		return;
	}
	if (!expected || strcmp(expected, replica->id)) {
		test_reply_to(connection, 421, "Not-Executed: 1\r\n", "",
			      false);
		return;
	}
	check_drain(replica, id);
	check_evacuation(replica, id);
	check_cold(replica, id);
	if (soak_chance(replica->soak, replica->shed_share)) {
		test_reply_to(connection, 503, "Not-Executed: 1\r\n", "",
			      false);
		return;
	}
	check_run(replica, request, connection);
	soak_check_query_of_death(replica->soak, request);
	note_run(replica, request);
	start_work(replica, connection, request);
}

/* Starts of one replica differ, however soon they follow each other. */
static int64_t next_born_ms(const struct soak_replica *replica)
{
	return MAX(g_get_real_time() / MS, replica->started_ms + 1);
}

static void begin_lifetime(struct soak_replica *replica, const char *service)
{
	bool keeps_id = !strcmp(replica->service, service) &&
			soak_chance(replica->soak, 0.5);

	replica->incarnation = ++replica->soak->last_incarnation;
	replica->started_ms = next_born_ms(replica);
	if (keeps_id)
		replica->soak->reused_ids++;
	else
		g_snprintf(replica->id, sizeof(replica->id), "i-%u",
			   replica->incarnation);
	g_strlcpy(replica->service, service, sizeof(replica->service));
	replica->draining_since_us = 0;
	/*
	 * A lifetime that reuses an id cannot be told from the one before
	 * until its entry is read.
	 */
	replica->cold_until_us = replica->link && !keeps_id ?
					 g_get_monotonic_time() + COLD_MS * MS :
					 0;
	replica->n_arrivals = 0;
	replica->up = true;
	test_set_listening(&replica->server, true);
	if (replica->link)
		soak_set_link_listening(replica->link, true);
}

struct soak_replica *soak_new_replica(struct soak *soak, const char *service,
				      uint32_t zone)
{
	struct soak_replica *replica = g_new0(struct soak_replica, 1);

	replica->soak = soak;
	replica->zone = zone;
	replica->server.data = replica;
	replica->server.request = take_request;
	replica->server.closing = drop_connection;
	begin_lifetime(replica, service);
	replica->link = soak_new_link(soak, replica->server.port);
	return replica;
}

void soak_drop_replica(struct soak_replica *replica)
{
	test_destroy_server(&replica->server);
	soak_drop_link(replica->link);
	g_free(replica);
}

void soak_register_replica(struct soak_replica *replica)
{
	char *address =
		g_strdup_printf("127.0.0.1:%u", soak_link_port(replica->link));
	char *zone = g_strdup_printf("z%u", replica->zone);
	struct test_replica_entry entry = {
		.id = replica->id,
		.service = replica->service,
		.address = address,
		.zone = zone,
		.slots = 4,
		.draining = replica->draining_since_us != 0,
		.started_ms = replica->started_ms,
		.cold_ms = (uint32_t)(MAX(replica->cold_until_us -
						  g_get_monotonic_time(),
					  0) /
				      MS),
	};

	replica->registered = true;
	test_store_put_replica(&replica->soak->store, &entry);
	g_free(zone);
	g_free(address);
}

void soak_write_invalid_entry(struct soak_replica *replica)
{
	static const char *const values[] = {
		"",
		"nonsense",
		"{\"service\":\"s0\"}",
		"{\"service\":\"s0\",\"address\":\"127.0.0.1:1\",\"zone\":"
		"\"z0\",\"version\":\"1\",\"slots\":4,\"state\":\"odd\","
		"\"coldRemainingMs\":0,\"sequence\":1}",
	};
	struct soak *soak = replica->soak;
	static const char *const keys[] = {
		"servers/\"odd\"",
		"servers/o\nd",
		"ragwort/instances/odd",
		"servers/odd\\",
	};
	char *own = g_strdup_printf("servers/%s", replica->id);
	uint32_t drawn = soak_random_below(soak, G_N_ELEMENTS(keys) + 1);

	test_store_put(&soak->store,
		       drawn < G_N_ELEMENTS(keys) ? keys[drawn] : own,
		       values[soak_random_below(soak, G_N_ELEMENTS(values))]);
	g_free(own);
}

/* Requests that it had: its runs count no more for the bound on attempts. */
static void note_lost(struct soak_replica *replica)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, replica->soak->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct soak_request *request = value;

		for (uint32_t i = 0; i < request->n_executions; i++)
			request->on_lost_replica |=
				request->executions[i].incarnation ==
				replica->incarnation;
	}
}

void soak_crash_replica(struct soak_replica *replica)
{
	replica->up = false;
	note_lost(replica);
	soak_set_link_listening(replica->link, false);
	test_stop_server(&replica->server);
}

void soak_restart_replica(struct soak_replica *replica, const char *service)
{
	char *key = g_strdup_printf("servers/%s", replica->id);
	char *id = g_strdup(replica->id);

	begin_lifetime(replica, service);
	if (strcmp(id, replica->id) || soak_chance(replica->soak, 0.5))
		test_store_remove(&replica->soak->store, key);
	soak_register_replica(replica);
	g_free(id);
	g_free(key);
}
