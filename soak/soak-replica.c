/*
 * soak-replica.c - replicas, their faults, and their checks of each request.
 */
#include <string.h>

#include "soak.h"

/* Minimum service time of a replica, and the maximum of its random part. */
#define MIN_WORK_MS 3
#define MAX_RANDOM_WORK_MS 12
/*
 * Time after which no request may arrive at a draining replica or in an
 * evacuated zone, with a margin for a slow machine.
 */
#define DRAIN_GRACE_US (4000 * MS)

/* A request in execution at a replica. */
struct work {
	struct soak_replica *replica;
	struct test_connection *connection; /* NULL: closed */
	char *request_id;
};

void soak_make_part_records(const char *request_id, const char *service,
			    char *out)
{
	for (int i = 0; i < RECORDS_PER_PART; i++) {
		char *text =
			g_strdup_printf("%s/%s/%d", request_id, service, i);
		char *digest =
			g_compute_checksum_for_string(G_CHECKSUM_MD5, text, -1);

		memcpy(out + i * RECORD_BYTES, digest, RECORD_BYTES);
		g_free(digest);
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

/* Send an answer that is corrupt in one of several ways. */
static void send_corrupt_answer(struct soak *soak, struct work *work,
				const char *headers, const char *body)
{
	struct test_connection *connection = work->connection;
	char *foreign_headers;
	char *text;

	switch (soak_random_below(soak, 3)) {
	case 0: /* truncated */
		test_reply_to(connection, 200, headers, body, true);
		return;
	case 1: /* answer to another request, which was never sent */
		foreign_headers = g_strdup_printf(
			"Response-Seal: %s.%s.none\r\n"
			"Request-Id: none\r\n",
			work->replica->service, work->replica->id);
		test_reply_to(connection, 200, foreign_headers, body, false);
		g_free(foreign_headers);
		return;
	default: /* followed by a second answer */
		text = g_strdup_printf(
			"HTTP/1.1 200 -\r\nContent-Length: %d\r\n"
			"%s\r\n%sHTTP/1.1 200 -\r\n"
			"Content-Length: 1\r\n\r\nx",
			RECORDS_PER_PART * RECORD_BYTES, headers, body);
		g_socket_send(connection->socket, text, strlen(text), NULL,
			      NULL);
		test_close_connection(connection);
		g_free(text);
		return;
	}
}

static void send_answer(struct soak *soak, struct work *work)
{
	struct soak_replica *replica = work->replica;
	char body[RECORDS_PER_PART * RECORD_BYTES + 1];
	char *headers =
		g_strdup_printf("Response-Seal: %s.%s.%s\r\nRequest-Id: %s\r\n",
				replica->service, replica->id, work->request_id,
				work->request_id);

	soak_make_part_records(work->request_id, replica->service, body);
	if (soak_chance(soak, replica->lost_answer_share))
		test_close_connection(work->connection);
	else if (soak_chance(soak, replica->corrupt_answer_share))
		send_corrupt_answer(soak, work, headers, body);
	else
		test_reply_to(work->connection, 200, headers, body, false);
	g_free(headers);
}

static gboolean finish_work(gpointer data)
{
	struct work *work = data;
	struct test_connection *connection = work->connection;

	if (connection) {
		connection->user = NULL;
		if (strstr(connection->path, "deadly"))
			soak_crash_on_query_of_death(work->replica,
						     work->request_id);
		else
			send_answer(work->replica->soak, work);
		work->connection = NULL;
	}
	free_work(work);
	return G_SOURCE_REMOVE;
}

/* The connection was closed: its request gets no answer. */
static void handle_close(struct test_connection *connection)
{
	struct work *work = connection->user;

	if (work)
		work->connection = NULL;
	connection->user = NULL;
}

static uint32_t count_executions(const struct soak_request *request,
				 const char *service)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < request->n_executions; i++)
		n += !strcmp(request->executions[i].service, service);
	return n;
}

/* Check the rules for executions that hold under all faults. */
static void check_execution(struct soak_replica *replica,
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
				      "%s ran at %s after it was rejected",
				      request->id, replica->id);
	if (!request->on_lost_replica &&
	    count_executions(request, replica->service) >= MAX_ATTEMPTS)
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
	    now_us - replica->draining_since_us < DRAIN_GRACE_US)
		return;
	if (soak_is_fault_free_since(soak, NULL, replica->draining_since_us))
		soak_report_violation(
			soak, "DRAIN", "%s arrived at %s after %d ms", id,
			replica->id,
			(int)((now_us - replica->draining_since_us) / MS));
}

/* Whether the present configuration sends requests of that kind here. */
static bool is_current_service(const struct soak *soak,
			       enum soak_request_kind kind, const char *service)
{
	if (kind == SOAK_SEARCH)
		return service[0] == (soak->use_second_shards ? 't' : 's');
	return service[0] == (soak->use_second_service ? 'b' : 'a');
}

/* Same limit as for a drain: both are changes in the store. */
static void check_config(struct soak_replica *replica,
			 const struct soak_request *request)
{
	struct soak *soak = replica->soak;
	int64_t age_us = request->sent_us - soak->config_written_us;

	if (!soak->options.check_timing || age_us < DRAIN_GRACE_US ||
	    is_current_service(soak, request->kind, replica->service))
		return;
	if (soak_is_fault_free_since(soak, NULL, request->sent_us))
		soak_report_violation(soak, "CONFIG",
				      "%s ran at %s, %d ms after a "
				      "configuration without it",
				      request->id, replica->service,
				      (int)(age_us / MS));
}

/* Same limit as for a drain: both are changes in the store. */
static void check_evacuation(struct soak_replica *replica, const char *id)
{
	struct soak *soak = replica->soak;
	int64_t since_us = soak->evacuated_since_us[replica->zone];
	int64_t elapsed_us = g_get_monotonic_time() - since_us;

	if (!soak->options.check_timing || !since_us ||
	    elapsed_us < DRAIN_GRACE_US)
		return;
	if (soak_is_fault_free_since(soak, NULL, since_us))
		soak_report_violation(soak, "EVAC",
				      "%s arrived at %s of zone %u after "
				      "%d ms",
				      id, replica->id, replica->zone,
				      (int)(elapsed_us / MS));
}

/*
 * The limit holds for any period of a second.  It is not checked after a fault
 * of a link, which may deliver delayed requests together.
 */
static void check_cold(struct soak_replica *replica, const char *id)
{
	const uint32_t max_per_s =
		(uint32_t)(COLD_PER_S * COLD_OVERAGE + COLD_SLACK);
	struct soak *soak = replica->soak;
	int64_t now_us = g_get_monotonic_time();
	int64_t before_us;

	if (now_us >= replica->cold_until_us)
		return;
	before_us =
		replica->n_arrivals < max_per_s ?
			0 :
			replica->arrivals_us[(replica->n_arrivals - max_per_s) %
					     ARRIVAL_RING_SIZE];
	replica->arrivals_us[replica->n_arrivals++ % ARRIVAL_RING_SIZE] =
		now_us;
	if (soak->options.check_timing && before_us &&
	    now_us - before_us < 1000 * MS &&
	    soak_is_fault_free_since(soak, NULL, before_us))
		soak_report_violation(
			soak, "FAILBACK",
			"%s is request %u in %d ms at %s, which is cold", id,
			max_per_s + 1, (int)((now_us - before_us) / MS),
			replica->id);
}

static void record_execution(struct soak_replica *replica,
			     struct soak_request *request)
{
	struct soak_execution *execution;

	replica->soak->executions++;
	if (request->n_executions == MAX_EXECUTIONS)
		return;
	execution = &request->executions[request->n_executions++];
	execution->incarnation = replica->incarnation;
	g_strlcpy(execution->service, replica->service,
		  sizeof(execution->service));
}

static void start_work(struct soak_replica *replica,
		       struct test_connection *connection,
		       struct soak_request *request)
{
	struct soak *soak = replica->soak;
	struct work *work = g_new0(struct work, 1);
	int64_t pause_us = replica->paused_until_us - g_get_monotonic_time();
	uint32_t work_ms = MIN_WORK_MS +
			   soak_random_below(soak, MAX_RANDOM_WORK_MS) +
			   replica->extra_work_ms;

	work->replica = replica;
	work->connection = connection;
	work->request_id = g_strdup(request->id);
	connection->user = work;
	if (pause_us > 0)
		work_ms += (uint32_t)(pause_us / MS);
	g_timeout_add(work_ms, finish_work, work);
}

static void handle_request(struct test_connection *connection)
{
	struct soak_replica *replica = connection->server->data;
	const char *id = test_request_header(connection, "request-id");
	const char *expected =
		test_request_header(connection, "expect-instance");
	struct soak_request *request =
		id ? g_hash_table_lookup(replica->soak->requests, id) : NULL;

	if (!request) {
		soak_report_violation(replica->soak, "UNASKED",
				      "%s arrived at %s but was never sent",
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
	check_config(replica, request);
	check_cold(replica, id);
	if (soak_chance(replica->soak, replica->shed_share)) {
		test_reply_to(connection, 503, "Not-Executed: 1\r\n", "",
			      false);
		return;
	}
	check_execution(replica, request, connection);
	soak_check_query_of_death(replica->soak, request);
	record_execution(replica, request);
	start_work(replica, connection, request);
}

/* Start times of a replica differ, even if it restarts within 1 ms. */
static int64_t next_start_ms(const struct soak_replica *replica)
{
	return MAX(g_get_real_time() / MS, replica->started_ms + 1);
}

static void start_incarnation(struct soak_replica *replica, const char *service)
{
	bool reuses_id = !strcmp(replica->service, service) &&
			 soak_fault_chance(replica->soak, 0.5);

	replica->incarnation = ++replica->soak->last_incarnation;
	replica->started_ms = next_start_ms(replica);
	if (reuses_id)
		replica->soak->reused_ids++;
	else
		g_snprintf(replica->id, sizeof(replica->id), "i-%u",
			   replica->incarnation);
	g_strlcpy(replica->service, service, sizeof(replica->service));
	replica->draining_since_us = 0;
	/*
	 * An incarnation that reuses an id can't be distinguished from the
	 * previous one until its entry is read.
	 */
	replica->cold_until_us = replica->link && !reuses_id ?
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
	replica->server.request = handle_request;
	replica->server.closing = handle_close;
	start_incarnation(replica, service);
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
	char *own_key = g_strdup_printf("servers/%s", replica->id);
	uint32_t selected = soak_fault_below(soak, G_N_ELEMENTS(keys) + 1);

	test_store_put(&soak->store,
		       selected < G_N_ELEMENTS(keys) ? keys[selected] : own_key,
		       values[soak_fault_below(soak, G_N_ELEMENTS(values))]);
	g_free(own_key);
}

/* Exempt the requests that ran at this replica from the attempt limit. */
static void mark_requests_lost(struct soak_replica *replica)
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
	mark_requests_lost(replica);
	soak_set_link_listening(replica->link, false);
	test_stop_server(&replica->server);
}

void soak_restart_replica(struct soak_replica *replica, const char *service)
{
	char *key = g_strdup_printf("servers/%s", replica->id);
	char *id = g_strdup(replica->id);

	start_incarnation(replica, service);
	if (strcmp(id, replica->id) || soak_fault_chance(replica->soak, 0.5))
		test_store_remove(&replica->soak->store, key);
	soak_register_replica(replica);
	g_free(id);
	g_free(key);
}
