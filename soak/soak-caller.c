/*
 * soak-caller.c - callers that keep their connections for many requests, and
 * check each answer against what they asked.
 */
#include <string.h>

#include "soak.h"

/* Between an answer and the next request. */
#define LEAST_THINK_MS 10
#define MOST_THINK_MS 60
/* An answer comes by then, from a process that runs. */
#define LATE_US (DEADLINE_MS * MS + 1500 * MS)
/* Bytes that cross the close of a connection are on their way so long. */
#define CROSSING_US (200 * MS)
/* Until a caller whose connection was refused tries another instance. */
#define REFUSED_MS 30

struct soak_caller {
	struct soak *soak;
	uint32_t instance; /* to begin with, and of the open connection */
	GSocket *socket;
	GSource *source;
	GString *in;
	struct soak_request *open; /* NULL: no answer is due */
	guint timer;
};

/* One answer, cut into what is checked. */
struct answer {
	int status;
	char *seal;
	char *part_seals;
	int missing;
	const char *body;
	gsize length;
};

static void think(struct soak_caller *caller, uint32_t ms);

static struct soak_instance *instance_of(const struct soak_caller *caller)
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
	g_string_truncate(caller->in, 0);
}

/* Checks. */

static char *header_of(const char *head, const char *name)
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

/* A seal is SERVICE.REPLICA.REQUEST; its service, NULL if it is another's. */
static char *service_of(const char *seal, const char *request_id)
{
	char **words = g_strsplit(seal, ".", 3);
	bool good = g_strv_length(words) == 3 && !strcmp(words[2], request_id);
	char *service = good ? g_strdup(words[0]) : NULL;

	g_strfreev(words);
	return service;
}

/* The greatest records of the parts named, as the answer must have them. */
static bool has_greatest(const struct soak_request *request, char **services,
			 const struct answer *answer)
{
	GString *all = g_string_new(NULL);
	char part[RECORDS_PER_PART * RECORD_BYTES + 1];
	bool good;

	for (; *services; services++) {
		soak_make_part_records(request->id, *services, part);
		g_string_append(all, part);
	}
	qsort(all->str, all->len / RECORD_BYTES, RECORD_BYTES, compare_records);
	good = answer->length ==
		       MIN(all->len, (gsize)TOP_RECORDS * RECORD_BYTES) &&
	       !memcmp(all->str, answer->body, answer->length);
	g_string_free(all, TRUE);
	return good;
}

/* Shards of one version: never some of either set. */
static bool is_one_set(char **services)
{
	bool first = false;
	bool second = false;

	for (; *services; services++) {
		first |= (*services)[0] == 's';
		second |= (*services)[0] == 't';
	}
	return first != second;
}

static bool has_twins(char **services)
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
	bool own = n > 0;

	for (guint i = 0; own && i < n; i++) {
		services[i] = service_of(seals[i], request->id);
		own = services[i] != NULL;
	}
	if (!own)
		soak_report_violation(soak, "MIXED",
				      "%s got parts of another: %s",
				      request->id, answer->part_seals);
	else if (has_twins(services) || !is_one_set(services))
		soak_report_violation(soak, "MIXED", "%s got parts %s",
				      request->id, answer->part_seals);
	else if (n < MIN_PARTS || (int)n + answer->missing != SHARDS)
		soak_report_violation(soak, "MIXED",
				      "%s got %u parts, %d missing",
				      request->id, n, answer->missing);
	else if (!has_greatest(request, services, answer))
		soak_report_violation(soak, "MIXED", "%s got other records",
				      request->id);
	if (answer->missing)
		soak->partial++;
	else
		soak->complete++;
	g_strfreev(services);
	g_strfreev(seals);
}

static void check_forwarded(struct soak *soak,
			    const struct soak_request *request,
			    const struct answer *answer)
{
	char *service =
		answer->seal ? service_of(answer->seal, request->id) : NULL;
	char body[RECORDS_PER_PART * RECORD_BYTES + 1];

	if (!service) {
		soak_report_violation(soak, "MIXED", "%s got the seal %s",
				      request->id,
				      answer->seal ? answer->seal : "none");
		return;
	}
	soak_make_part_records(request->id, service, body);
	if (answer->length != sizeof(body) - 1 ||
	    memcmp(answer->body, body, answer->length))
		soak_report_violation(soak, "MIXED", "%s got another body",
				      request->id);
	soak->complete++;
	g_free(service);
}

static void check_refusal(struct soak *soak, struct soak_request *request)
{
	soak->rejected++;
	request->rejected = true;
	if (request->kind == SOAK_NON_IDEMPOTENT && request->n_executions)
		soak_report_violation(soak, "REFUSED",
				      "%s was refused and has run",
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
			check_forwarded(soak, request, answer);
		return;
	case 429:
	case 503:
		check_refusal(soak, request);
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

/* Take a whole answer off the input; false if there is none yet. */
static bool take_answer(struct soak_caller *caller, bool *closes)
{
	char *end = strstr(caller->in->str, "\r\n\r\n");
	struct answer answer = { 0 };
	char *length;
	char *missing;
	char *connection;
	char *head;
	gsize whole;

	if (!end)
		return false;
	head = g_strndup(caller->in->str, (gsize)(end - caller->in->str) + 4);
	length = header_of(head, "Content-Length");
	answer.length = length ? g_ascii_strtoull(length, NULL, 10) : 0;
	whole = strlen(head) + answer.length;
	g_free(length);
	if (caller->in->len < whole) {
		g_free(head);
		return false;
	}
	missing = header_of(head, "Missing-Parts");
	connection = header_of(head, "Connection");
	answer.status =
		(int)g_ascii_strtoll(head + strlen("HTTP/1.1 "), NULL, 10);
	answer.seal = header_of(head, "Response-Seal");
	answer.part_seals = header_of(head, "Part-Seals");
	answer.missing = missing ? (int)g_ascii_strtoll(missing, NULL, 10) : 0;
	answer.body = caller->in->str + strlen(head);
	*closes = connection && !g_ascii_strcasecmp(connection, "close");
	if (caller->open)
		check_answer(caller->soak, caller->open, &answer);
	else
		soak_report_violation(caller->soak, "MIXED",
				      "an answer that nobody waits for");
	caller->open = NULL;
	g_string_erase(caller->in, 0, (gssize)whole);
	g_free(answer.seal);
	g_free(answer.part_seals);
	g_free(missing);
	g_free(connection);
	g_free(head);
	return true;
}

/*
 * Whether a request that was cut had been taken: a replica has it, or it was
 * there for a while.  One that crosses the close of an idle connection was not.
 */
static bool was_taken(const struct soak_request *request)
{
	return request->n_executions ||
	       g_get_monotonic_time() - request->sent_us > CROSSING_US;
}

/*
 * A connection ended with a request open.  That is nobody's fault after a
 * kill; a planned stop cuts none that was taken.
 */
static void note_cut(struct soak_caller *caller)
{
	struct soak *soak = caller->soak;
	const struct soak_instance *instance = instance_of(caller);
	const struct soak_request *request = caller->open;
	int64_t now_us = g_get_monotonic_time();

	soak->unanswered++;
	if (soak->options.check_timing && instance->stop_requested_us &&
	    was_taken(request) &&
	    soak_is_fault_free_since(
		    soak, instance,
		    MIN(instance->stop_requested_us, request->sent_us)))
		soak_report_violation(
			soak, "LOST",
			"%s, sent %d ms after the stop of %s, ran %u "
			"times and was cut %d ms later",
			request->id,
			(int)((request->sent_us - instance->stop_requested_us) /
			      MS),
			instance->name, request->n_executions,
			(int)((now_us - request->sent_us) / MS));
	caller->open = NULL;
}

static gboolean read_caller(GSocket *socket, GIOCondition condition,
			    gpointer data)
{
	struct soak_caller *caller = data;
	char bytes[8192];
	gssize n = g_socket_receive(socket, bytes, sizeof(bytes), NULL, NULL);
	bool closes = false;

	if (n <= 0) {
		if (caller->open)
			note_cut(caller);
		close_connection(caller);
		think(caller, LEAST_THINK_MS);
		return G_SOURCE_REMOVE;
	}
	g_string_append_len(caller->in, bytes, n);
	if (!take_answer(caller, &closes))
		return G_SOURCE_CONTINUE;
	think(caller, LEAST_THINK_MS + soak_random_below(
					       caller->soak,
					       MOST_THINK_MS - LEAST_THINK_MS));
	if (!closes)
		return G_SOURCE_CONTINUE;
	close_connection(caller);
	return G_SOURCE_REMOVE;
}

static bool connect_caller(struct soak_caller *caller)
{
	GSocketAddress *address;
	bool good;

	address = g_inet_socket_address_new_from_string(
		"127.0.0.1", instance_of(caller)->port);
	caller->socket =
		g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			     G_SOCKET_PROTOCOL_TCP, NULL);
	good = g_socket_connect(caller->socket, address, NULL, NULL);
	g_object_unref(address);
	if (!good) {
		g_clear_object(&caller->socket);
		return false;
	}
	g_socket_set_blocking(caller->socket, FALSE);
	caller->source = g_socket_create_source(caller->socket, G_IO_IN, NULL);
	g_source_set_callback(caller->source, G_SOURCE_FUNC(read_caller),
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
	static const char *const lines[] = { "GET /search/", "GET /often/",
					     "POST /once/" };
	struct soak_request *request = new_request(caller->soak);
	char *text = g_strdup_printf(
		"%s%s HTTP/1.1\r\nHost: soak\r\nRequest-Id: %s\r\n"
		"Deadline-Ms: %d\r\n%s\r\n",
		lines[request->kind],
		request->query_of_death[0] ? request->query_of_death :
					     request->id,
		request->id, DEADLINE_MS,
		request->kind == SOAK_NON_IDEMPOTENT ? "Content-Length: 0\r\n" :
						       "");

	caller->open = request;
	if (g_socket_send(caller->socket, text, strlen(text), NULL, NULL) < 0) {
		caller->open = NULL;
		close_connection(caller);
		think(caller, LEAST_THINK_MS);
	}
	g_free(text);
}

/* The answer has not come though it is long due. */
static void check_late(struct soak_caller *caller)
{
	struct soak *soak = caller->soak;
	const struct soak_instance *instance = instance_of(caller);
	int64_t age_us = g_get_monotonic_time() - caller->open->sent_us;

	if (age_us < LATE_US) {
		think(caller, MOST_THINK_MS);
		return;
	}
	if (soak->options.check_timing && !instance->frozen &&
	    soak_is_fault_free_since(soak, instance, caller->open->sent_us))
		soak_report_violation(soak, "CONFIG", "%s has no answer of %s",
				      caller->open->id, instance->name);
	note_cut(caller);
	close_connection(caller);
	think(caller, LEAST_THINK_MS);
}

static gboolean next_step(gpointer data)
{
	struct soak_caller *caller = data;
	struct soak *soak = caller->soak;

	caller->timer = 0;
	if (caller->open) {
		check_late(caller);
		return G_SOURCE_REMOVE;
	}
	/* One that is led elsewhere, or finds nobody, goes to any instance. */
	if (!caller->socket && !connect_caller(caller)) {
		caller->instance =
			soak_random_below(soak, soak->instances->len);
		think(caller, REFUSED_MS);
		return G_SOURCE_REMOVE;
	}
	send_request(caller);
	if (!caller->timer)
		think(caller, MOST_THINK_MS);
	return G_SOURCE_REMOVE;
}

static void think(struct soak_caller *caller, uint32_t ms)
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
	caller->in = g_string_new(NULL);
	think(caller, LEAST_THINK_MS + soak_random_below(soak, MOST_THINK_MS));
	return caller;
}

void soak_drop_caller(struct soak_caller *caller)
{
	if (caller->timer)
		g_source_remove(caller->timer);
	close_connection(caller);
	g_string_free(caller->in, TRUE);
	g_free(caller);
}
