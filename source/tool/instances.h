/*
 * instances.h - ask a list of instances for their status.
 */
#ifndef TOOL_INSTANCES_H
#define TOOL_INSTANCES_H

#include <json-glib/json-glib.h>
#include <stdint.h>

struct rr_credentials;
struct rr_command;

/* What one instance said. */
struct rr_instance_status {
	const char *address;
	JsonNode *json_root; /* its status as an object; NULL: no answer */
	char *error_message; /* why not */
};

/* Ask each address; an array that frees its elements. */
GPtrArray *rr_fetch_instance_statuses(char *const *addresses,
				      const struct rr_credentials *access);

/*
 * Wait until every instance has a revision of at least `revision` in force,
 * and print each as it gets there; the exit code.
 */
int rr_wait_for_revision(const struct rr_command *command, char **addresses,
			 const struct rr_credentials *access, uint64_t revision,
			 uint32_t wait_s);

#endif
