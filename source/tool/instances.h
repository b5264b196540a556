/*
 * instances.h - fetches the status of instances, and waits for a revision.
 */
#ifndef TOOL_INSTANCES_H
#define TOOL_INSTANCES_H

#include <json-glib/json-glib.h>
#include <stdint.h>

struct rr_credentials;
struct rr_command;

/* Status of one instance. */
struct rr_instance_status {
	const char *address;
	JsonNode *json_root; /* a JSON object; NULL if there is no answer */
	char *error_message; /* why there is no answer; else NULL */
};

/*
 * Fetch GET /status from each address of a NULL-terminated list, which must
 * outlive the result.  Return struct rr_instance_status *, to be released with
 * g_ptr_array_unref().
 */
GPtrArray *rr_fetch_instance_statuses(char *const *addresses,
				      const struct rr_credentials *credentials);

/*
 * Wait up to wait_s seconds until every instance has a revision of at least
 * `revision` in force, and print each as it does.  Return the exit code.
 */
int rr_wait_for_revision(const struct rr_command *command, char **addresses,
			 const struct rr_credentials *credentials,
			 uint64_t revision, uint32_t wait_s);

#endif
