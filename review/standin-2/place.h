/*
 * place.h - a small deployment on loopback addresses: gateways as processes of
 * their own, the record of a run, and links to the store that can be cut.
 */
#ifndef REVIEW_STANDIN_2_PLACE_H
#define REVIEW_STANDIN_2_PLACE_H

#include <gio/gio.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

struct place {
	const char *program; /* of the gateway */
	char *folder;	     /* temporary */
	FILE *record;
	int64_t started_us;
	bool ending;
};

/* Bounds of the site, as in its settings. */
struct place_bounds {
	uint32_t config_apply_ms;
	uint32_t drain_ms;
	uint32_t retry_slack;
};

struct place_gateway {
	struct place *place;
	const char *name;
	const char *zone;
	const char *strength;
	uint16_t store_port;
	char *caller_address;
	char *settings_file;
	GSubprocess *process;
	int n_ends; /* by itself */
};

/* Create the temporary folder and the record; false on failure. */
bool place_open(struct place *place, const char *program, const char *record);
/* Remove the folder. */
void place_close(struct place *place);
/* Write a line with the time since the start. */
void place_record(struct place *place, const char *format, ...)
	G_GNUC_PRINTF(2, 3);
/* Run the main loop for some microseconds. */
void place_run_for(int64_t us);

/*
 * Start a gateway with the settings that deploy/gateway.yaml.template makes.
 * One that ends by itself is started again after a short delay.
 */
void place_start_gateway(struct place_gateway *gateway,
			 const struct place_bounds *bounds);
/* Kill the gateway and remove its files. */
void place_stop_gateway(struct place_gateway *gateway);

/*
 * Send a request on a new connection and read the whole answer.  Returns its
 * status, 0 if there is none.  May run in any thread.
 */
int place_send_request(const char *address, const char *path,
		       const char *request_id, int deadline_ms);

/* A link to the store, run by a thread of its own. */
struct place_link;

struct place_link *place_open_link(uint16_t store_port);
uint16_t place_link_port(const struct place_link *link);
/*
 * Cut the link: bytes of open connections are held, and new connections get no
 * answer to their opening packet.
 */
void place_cut_link(struct place_link *link);
void place_heal_link(struct place_link *link);
void place_close_link(struct place_link *link);

#endif
