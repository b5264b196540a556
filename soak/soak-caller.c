/*
 * soak-caller.c - callers that reuse their connections and check each answer
 * against its request.
 */
#include <string.h>

#include "soak.h"

/* Time between an answer and the next request. */
#define MIN_THINK_TIME_MS 10
#define MAX_THINK_TIME_MS 60
/* A running process answers within this time. */
#define ANSWER_TIMEOUT_US (DEADLINE_MS * MS + 1500 * MS)
/* Maximum time in transit of bytes sent while the peer closes a connection. */
#define IN_TRANSIT_US (200 * MS)
/* Delay before a caller whose connection was refused tries another instance. */
#define RECONNECT_DELAY_MS 30

struct soak_caller {
	struct soak *soak;
	uint32_t instance; /* number; of the open or the next connection */
	GSocket *socket;
	GSource *source;
	GString *input;
	struct soak_request *request; /* NULL: none */
	guint timer;
};

/* The fields of an answer that are checked. */
struct answer {
	int status;
	char *seal;
	char *part_seals;
	int missing;
	const char *body;
	gsize length;
};

static void schedule_next_step(struct soak_caller *caller, uint32_t ms);

static struct soak_instance *get_instance(const struct soak_caller *caller)
{
	return g_ptr_array_index(caller->soak->instances, caller->instance);
}

static void close_connection(struct soak_caller *caller)
{
	if (!caller->socket)
		return;
	g_source_destroy(caller->source);
	g_source_unref(caller->source);
	g_socket_close(caller->socket, NULL);
	g_clear_object(&caller->socket);
	g_string_truncate(caller->input, 0);
}

/* Checks. */

static char *get_header(const char *head, const char *name)
{
	char *start = g_strdup_printf("\r\n%s: ", name);
	const char *at = strstr(head, start);
	char *value = NULL;

	if (at) {
		at += strlen(start);
		value = g_strndup(at, (gsize)(strstr(at, "\r\n") - at));
	}
	g_free(start);
	return value;
}

static gint compare_records(gconstpointer a, gconstpointer b)
{
	return memcmp(b, a, RECORD_BYTES);
}

/*
 * Return the service of a seal, which is SERVICE.REPLICA.REQUEST; NULL if it is
 * invalid or of another request.
 */
static char *get_seal_service(const char *seal, const char *request_id)
{
	char **words = g_strsplit(seal, ".", 3);
	bool ok = g_strv_length(words) == 3 && !strcmp(words[2], request_id);
	char *service = ok ? g_strdup(words[0]) : NULL;

	g_strfreev(words);
	return service;
}

/* Whether the answer consists of the greatest records of these parts. */
static bool has_top_records(const struct soak_request *request, char **services,
			    const struct answer *answer)
{
	GString *all = g_string_new(NULL);
	char part[RECORDS_PER_PART * RECORD_BYTES + 1];
	bool ok;

	for (; *services; services++) {
		soak_make_part_records(request->id, *services, part);
		g_string_append(all, part);
	}
	qsort(all->str, all->len / RECORD_BYTES, RECORD_BYTES, compare_records);
	ok = answer->length ==
		     MIN(all->len, (gsize)TOP_RECORDS * RECORD_BYTES) &&
	     !memcmp(all->str, answer->body, answer->length);
	g_string_free(all, TRUE);
	return ok;
}

/* Whether all shards are of the same configuration version's set. */
static bool is_single_version(char **services)
{
	bool first = false;
	bool second = false;

	for (; *services; services++) {
		first |= (*services)[0] == 's';
		second |= (*services)[0] == 't';
	}
	return first != second;
}

static bool has_duplicates(char **services)
{
	for (; *services; services++) {
		if (g_strv_contains((const char *const *)services + 1,
				    *services))
			return true;
	}
	return false;
}

static void check_search(struct soak *soak, const struct soak_request *request,
			 const struct answer *answer)
{
	char **seals = g_strsplit(answer->part_seals ? answer->part_seals : "",
				  ", ", -1);
	guint n = g_strv_length(seals);
	char **services = g_new0(char *, n + 1);
	bool valid = n > 0;

	for (guint i = 0; valid && i < n; i++) {
		services[i] = get_seal_service(seals[i], request->id);
		valid = services[i] != NULL;
	}
	if (!valid)
		soak_report_violation(soak, "MIXED",
				      "%s got parts of another request: %s",
				      request->id, answer->part_seals);
	else if (has_duplicates(services) || !is_single_version(services))
		soak_report_violation(soak, "MIXED", "%s got parts %s",
				      request->id, answer->part_seals);
	else if (n < MIN_PARTS || (int)n + answer->missing != SHARDS)
		soak_report_violation(soak, "MIXED",
				      "%s got %u parts, %d missing",
				      request->id, n, answer->missing);
	else if (!has_top_records(request, services, answer))
		soak_report_violation(soak, "MIXED", "%s got wrong records",
				      request->id);
	if (answer->missing)
		soak->partial++;
	else
		soak->complete++;
	g_strfreev(services);
	g_strfreev(seals);
}

static void check_proxied(struct soak *soak, const struct soak_request *request,
			  const struct answer *answer)
{
	char *service = answer->seal ?
				get_seal_service(answer->seal, request->id) :
				NULL;
	char body[RECORDS_PER_PART * RECORD_BYTES + 1];

	if (!service) {
		soak_report_violation(soak, "MIXED",
				      "%s got an invalid seal: %s", request->id,
				      answer->seal ? answer->seal : "none");
		return;
	}
	soak_make_part_records(request->id, service, body);
	if (answer->length != sizeof(body) - 1 ||
	    memcmp(answer->body, body, answer->length))
		soak_report_violation(soak, "MIXED", "%s got a wrong body",
				      request->id);
	soak->complete++;
	g_free(service);
}

static void check_rejection(struct soak *soak, struct soak_request *request)
{
	soak->rejected++;
	request->rejected = true;
	if (request->kind == SOAK_NON_IDEMPOTENT && request->n_executions)
		soak_report_violation(soak, "REFUSED",
				      "%s was rejected but has run",
				      request->id);
}

static void check_answer(struct soak *soak, struct soak_request *request,
			 const struct answer *answer)
{
	soak->answered++;
	switch (answer->status) {
	case 200:
		if (request->kind == SOAK_SEARCH)
			check_search(soak, request, answer);
		else
			check_proxied(soak, request, answer);
		return;
	case 429:
	case 503:
		check_rejection(soak, request);
		return;
	case 502:
	case 504:
		soak->unknown_outcome++;
		return;
	default:
		soak_report_violation(soak, "DENIED", "%s got %d", request->id,
				      answer->status);
	}
}

/* Check and remove an answer from the input; false if it is incomplete. */
static bool consume_answer(struct soak_caller *caller, bool *close_after)
{
	char *end = strstr(caller->input->str, "\r\n\r\n");
	struct answer answer = { 0 };
	char *length;
	char *missing;
	char *connection;
	char *head;
	gsize total;

	if (!end)
		return false;
	head = g_strndup(caller->input->str,
			 (gsize)(end - caller->input->str) + 4);
	length = get_header(head, "Content-Length");
	answer.length = length ? g_ascii_strtoull(length, NULL, 10) : 0;
	total = strlen(head) + answer.length;
	g_free(length);
	if (caller->input->len < total) {
		g_free(head);
		return false;
	}
	missing = get_header(head, "Missing-Parts");
	connection = get_header(head, "Connection");
	answer.status =
		(int)g_ascii_strtoll(head + strlen("HTTP/1.1 "), NULL, 10);
	answer.seal = get_header(head, "Response-Seal");
	answer.part_seals = get_header(head, "Part-Seals");
	answer.missing = missing ? (int)g_ascii_strtoll(missing, NULL, 10) : 0;
	answer.body = caller->input->str + strlen(head);
	*close_after = connection && !g_ascii_strcasecmp(connection, "close");
	if (caller->request)
		check_answer(caller->soak, caller->request, &answer);
	else
		soak_report_violation(
			caller->soak, "MIXED",
			"received an answer without an open request");
	caller->request = NULL;
	g_string_erase(caller->input, 0, (gssize)total);
	g_free(answer.seal);
	g_free(answer.part_seals);
	g_free(missing);
	g_free(connection);
	g_free(head);
	return true;
}

/*
 * Whether a request without an answer had been received by the instance: it
 * ran at a replica or was open for some time.  A request that crosses the close
 * of an idle connection was not received.
 */
static bool was_received(const struct soak_request *request)
{
	return request->n_executions ||
	       g_get_monotonic_time() - request->sent_us > IN_TRANSIT_US;
}

/*
 * A connection closed with a request open.  That is allowed after a kill, but a
 * planned stop must answer all requests that the instance received.
 */
static void record_unanswered(struct soak_caller *caller)
{
	struct soak *soak = caller->soak;
	const struct soak_instance *instance = get_instance(caller);
	const struct soak_request *request = caller->request;
	int64_t now_us = g_get_monotonic_time();

	soak->unanswered++;
	if (soak->options.check_timing && instance->stop_requested_us &&
	    was_received(request) &&
	    soak_is_fault_free_since(
		    soak, instance,
		    MIN(instance->stop_requested_us, request->sent_us)))
		soak_report_violation(
			soak, "LOST",
			"%s, sent %d ms after the stop request of %s, ran %u "
			"times and lost its connection %d ms later",
			request->id,
			(int)((request->sent_us - instance->stop_requested_us) /
			      MS),
			instance->name, request->n_executions,
			(int)((now_us - request->sent_us) / MS));
	caller->request = NULL;
}

static gboolean read_connection(GSocket *socket, GIOCondition condition,
				gpointer data)
{
	struct soak_caller *caller = data;
	char bytes[8192];
	gssize n = g_socket_receive(socket, bytes, sizeof(bytes), NULL, NULL);
	bool close_after = false;

	if (n <= 0) {
		if (caller->request)
			record_unanswered(caller);
		close_connection(caller);
		schedule_next_step(caller, MIN_THINK_TIME_MS);
		return G_SOURCE_REMOVE;
	}
	g_string_append_len(caller->input, bytes, n);
	if (!consume_answer(caller, &close_after))
		return G_SOURCE_CONTINUE;
	schedule_next_step(
		caller, MIN_THINK_TIME_MS +
				soak_random_below(caller->soak,
						  MAX_THINK_TIME_MS -
							  MIN_THINK_TIME_MS));
	if (!close_after)
		return G_SOURCE_CONTINUE;
	close_connection(caller);
	return G_SOURCE_REMOVE;
}

static bool connect_caller(struct soak_caller *caller)
{
	GSocketAddress *address;
	bool ok;

	address = g_inet_socket_address_new_from_string(
		"127.0.0.1", get_instance(caller)->port);
	caller->socket =
		g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			     G_SOCKET_PROTOCOL_TCP, NULL);
	ok = g_socket_connect(caller->socket, address, NULL, NULL);
	g_object_unref(address);
	if (!ok) {
		g_clear_object(&caller->socket);
		return false;
	}
	g_socket_set_blocking(caller->socket, FALSE);
	caller->source = g_socket_create_source(caller->socket, G_IO_IN, NULL);
	g_source_set_callback(caller->source, G_SOURCE_FUNC(read_connection),
			      caller, NULL);
	g_source_attach(caller->source, NULL);
	return true;
}

static struct soak_request *new_request(struct soak *soak)
{
	struct soak_request *request = g_new0(struct soak_request, 1);

	request->id = g_strdup_printf("q%" G_GUINT64_FORMAT,
				      ++soak->last_request_number);
	request->kind = (enum soak_request_kind)soak_random_below(
		soak, SOAK_N_REQUEST_KINDS);
	request->sent_us = g_get_monotonic_time();
	soak_draw_query_of_death(soak, request);
	g_hash_table_insert(soak->requests, request->id, request);
	return request;
}

static void send_request(struct soak_caller *caller)
{
	static const char *const request_lines[] = { "GET /search/",
						     "GET /often/",
						     "POST /once/" };
	struct soak_request *request = new_request(caller->soak);
	char *text = g_strdup_printf(
		"%s%s HTTP/1.1\r\nHost: soak\r\nRequest-Id: %s\r\n"
		"Deadline-Ms: %d\r\n%s\r\n",
		request_lines[request->kind],
		request->query_of_death[0] ? request->query_of_death :
					     request->id,
		request->id, DEADLINE_MS,
		request->kind == SOAK_NON_IDEMPOTENT ? "Content-Length: 0\r\n" :
						       "");

	caller->request = request;
	if (g_socket_send(caller->socket, text, strlen(text), NULL, NULL) < 0) {
		caller->request = NULL;
		close_connection(caller);
		schedule_next_step(caller, MIN_THINK_TIME_MS);
	}
	g_free(text);
}

/* Check whether the open request has timed out. */
static void check_timeout(struct soak_caller *caller)
{
	struct soak *soak = caller->soak;
	const struct soak_instance *instance = get_instance(caller);
	int64_t age_us = g_get_monotonic_time() - caller->request->sent_us;

	if (age_us < ANSWER_TIMEOUT_US) {
		schedule_next_step(caller, MAX_THINK_TIME_MS);
		return;
	}
	if (soak->options.check_timing && !instance->frozen &&
	    soak_is_fault_free_since(soak, instance, caller->request->sent_us))
		soak_report_violation(soak, "CONFIG",
				      "%s has no answer from %s",
				      caller->request->id, instance->name);
	record_unanswered(caller);
	close_connection(caller);
	schedule_next_step(caller, MIN_THINK_TIME_MS);
}

static gboolean next_step(gpointer data)
{
	struct soak_caller *caller = data;
	struct soak *soak = caller->soak;

	caller->timer = 0;
	if (caller->request) {
		check_timeout(caller);
		return G_SOURCE_REMOVE;
	}
	/* After a refused connection, use a random instance. */
	if (!caller->socket && !connect_caller(caller)) {
		caller->instance =
			soak_random_below(soak, soak->instances->len);
		schedule_next_step(caller, RECONNECT_DELAY_MS);
		return G_SOURCE_REMOVE;
	}
	send_request(caller);
	if (!caller->timer)
		schedule_next_step(caller, MAX_THINK_TIME_MS);
	return G_SOURCE_REMOVE;
}

static void schedule_next_step(struct soak_caller *caller, uint32_t ms)
{
	if (caller->timer)
		g_source_remove(caller->timer);
	caller->timer = g_timeout_add(ms, next_step, caller);
}

struct soak_caller *soak_new_caller(struct soak *soak, uint32_t instance)
{
	struct soak_caller *caller = g_new0(struct soak_caller, 1);

	caller->soak = soak;
	caller->instance = instance;
	caller->input = g_string_new(NULL);
	schedule_next_step(caller,
			   MIN_THINK_TIME_MS +
				   soak_random_below(soak, MAX_THINK_TIME_MS));
	return caller;
}

void soak_drop_caller(struct soak_caller *caller)
{
	if (caller->timer)
		g_source_remove(caller->timer);
	close_connection(caller);
	g_string_free(caller->input, TRUE);
	g_free(caller);
}
