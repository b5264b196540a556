/*
 * instances.c - fetches the status of instances, and waits for a revision.
 */
#include "tool/instances.h"

#include <stdio.h>

#include "tool/http.h"
#include "tool/tool.h"

#define STATUS_TIMEOUT_MS 3000
#define POLL_INTERVAL_MS 200
#define HTTP_OK 200
/* Maximum number of concurrent status requests. */
#define MAX_CONCURRENT 64

static void free_status(gpointer data)
{
	struct rr_instance_status *status = data;

	if (status->json_root)
		json_node_unref(status->json_root);
	g_free(status->error_message);
	g_free(status);
}

static void parse_status(struct rr_instance_status *status,
			 const struct rr_http_reply *reply)
{
	if (reply->status == HTTP_OK)
		status->json_root = rr_parse_json_text(reply->body);
	if (status->json_root && !JSON_NODE_HOLDS_OBJECT(status->json_root))
		g_clear_pointer(&status->json_root, json_node_unref);
	if (!status->json_root)
		status->error_message = g_strdup_printf(
			"status %u without a JSON object", reply->status);
}

/* Fetch up to MAX_CONCURRENT statuses concurrently and append them. */
static void fetch_group(char *const *addresses, size_t n,
			const struct rr_credentials *credentials,
			GPtrArray *statuses)
{
	struct rr_http_request requests[MAX_CONCURRENT] = { 0 };
	struct rr_http_reply replies[MAX_CONCURRENT] = { 0 };
	GError *errors[MAX_CONCURRENT] = { NULL };

	for (size_t i = 0; i < n; i++)
		requests[i] = (struct rr_http_request){
			.method = "GET",
			.address = addresses[i],
			.credentials = credentials,
			.path = "/status",
			.timeout_ms = STATUS_TIMEOUT_MS,
		};
	rr_send_http_requests(requests, replies, errors, n);
	for (size_t i = 0; i < n; i++) {
		struct rr_instance_status *status =
			g_new0(struct rr_instance_status, 1);

		status->address = addresses[i];
		if (errors[i])
			status->error_message = g_strdup(errors[i]->message);
		else
			parse_status(status, &replies[i]);
		g_ptr_array_add(statuses, status);
		g_clear_error(&errors[i]);
		rr_clear_http_reply(&replies[i]);
	}
}

GPtrArray *rr_fetch_instance_statuses(char *const *addresses,
				      const struct rr_credentials *credentials)
{
	GPtrArray *statuses = g_ptr_array_new_with_free_func(free_status);
	size_t n = g_strv_length((char **)addresses);

	for (size_t i = 0; i < n; i += MAX_CONCURRENT)
		fetch_group(addresses + i, MIN(n - i, MAX_CONCURRENT),
			    credentials, statuses);
	return statuses;
}

/* Return whether an instance has applied the revision; if so, print it. */
static bool report_revision(const struct rr_instance_status *status,
			    uint64_t revision, int64_t start_us)
{
	JsonObject *object = status->json_root ?
				     json_node_get_object(status->json_root) :
				     NULL;
	uint64_t current = (uint64_t)rr_json_integer_or(object, "revision", 0);

	if (!object || current < revision)
		return false;
	printf("in force at %s (%s, zone %s): revision %" G_GUINT64_FORMAT
	       " after %.1f s\n",
	       status->address, rr_json_string_or(object, "instance", "?"),
	       rr_json_string_or(object, "zone", "?"), current,
	       (double)(g_get_monotonic_time() - start_us) / G_USEC_PER_SEC);
	return true;
}

static void print_missing(const struct rr_command *command,
			  const GPtrArray *statuses)
{
	for (guint i = 0; i < statuses->len; i++) {
		const struct rr_instance_status *status = statuses->pdata[i];
		JsonObject *object =
			status->json_root ?
				json_node_get_object(status->json_root) :
				NULL;

		if (object)
			rr_print_message(
				command,
				"not yet in force at %s, which has revision "
				"%" G_GINT64_FORMAT "; the new one is "
				"accepted and will be applied automatically",
				status->address,
				rr_json_integer_or(object, "revision", 0));
		else
			rr_print_message(
				command,
				"not known to be in force at %s: %s; the "
				"revision is accepted and will be applied "
				"automatically",
				status->address, status->error_message);
	}
}

/*
 * Poll the instances in the list, remove those that have applied the revision
 * and return the statuses of the others.
 */
static GPtrArray *poll_missing(GPtrArray *missing,
			       const struct rr_credentials *credentials,
			       uint64_t revision, int64_t start_us)
{
	GPtrArray *statuses;

	g_ptr_array_add(missing, NULL);
	statuses = rr_fetch_instance_statuses((char **)missing->pdata,
					      credentials);
	g_ptr_array_set_size(missing, 0);
	for (guint i = 0; i < statuses->len;) {
		const struct rr_instance_status *status = statuses->pdata[i];

		if (report_revision(status, revision, start_us)) {
			g_ptr_array_remove_index(statuses, i);
			continue;
		}
		g_ptr_array_add(missing, (char *)status->address);
		i++;
	}
	return statuses;
}

int rr_wait_for_revision(const struct rr_command *command, char **addresses,
			 const struct rr_credentials *credentials,
			 uint64_t revision, uint32_t wait_s)
{
	int64_t start_us = g_get_monotonic_time();
	int64_t end_us = start_us + (int64_t)wait_s * G_USEC_PER_SEC;
	GPtrArray *missing = g_ptr_array_new();
	GPtrArray *statuses;
	bool timed_out = false;
	int code;

	for (size_t i = 0; addresses[i]; i++)
		g_ptr_array_add(missing, addresses[i]);
	statuses = poll_missing(missing, credentials, revision, start_us);
	while (missing->len && !timed_out) {
		g_usleep(POLL_INTERVAL_MS * 1000);
		g_ptr_array_unref(statuses);
		statuses =
			poll_missing(missing, credentials, revision, start_us);
		timed_out = g_get_monotonic_time() >= end_us;
	}
	print_missing(command, statuses);
	code = statuses->len ? RR_EXIT_FAILED : RR_EXIT_OK;
	g_ptr_array_unref(statuses);
	g_ptr_array_unref(missing);
	return code;
}
