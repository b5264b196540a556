/*
 * callers.c - callers that search, look up, reserve, list, ask again, long
 * after too, and leave.
 */
#include "random/simulation.h"

#include <stdio.h>
#include <string.h>

#define MOST_IDS 2000 /* that may be asked again */

struct asking {
	struct rr_request request;
	struct issued_request *issued;
	char request_id[24];
	char *cursor;
	char *id;
};

static void drop_asking(void *data)
{
	struct asking *asking = data;

	g_free(asking->cursor);
	g_free(asking->id);
	g_free(asking);
}

static int64_t wall_us(struct simulation *simulation)
{
	return WALL_START_US + simulation->now_us + simulation->wall_offset_us;
}

static void ask(struct instance *instance, void *data)
{
	struct asking *asking = data;
	struct simulation *simulation = instance->simulation;
	struct issued_request *issued;
	uint64_t query_id;
	uint32_t deadline_ms =
		asking->request.deadline_ms ? asking->request.deadline_ms : 300;

	issued = add_issued_request(simulation, instance, asking->request.kind,
				    deadline_ms);
	g_strlcpy(issued->service, asking->request.service,
		  sizeof(issued->service));
	if (asking->request.idempotency_key)
		g_strlcpy(issued->idempotency_key,
			  asking->request.idempotency_key,
			  sizeof(issued->idempotency_key));
	issued->key_created_us =
		g_ascii_strtoll(issued->idempotency_key, NULL, 10) *
			G_USEC_PER_SEC -
		WALL_START_US;
	issued->key = asking->request.key;
	issued->max_rows = asking->request.max_rows;
	issued->list_number = asking->issued->list_number;
	snprintf(asking->request_id, sizeof(asking->request_id),
		 "r%" G_GUINT64_FORMAT, issued->number);
	asking->request.request_id = asking->request_id;
	asking->request.cursor = asking->cursor;
	query_id = rr_core_handle_request(
		instance->ctx, instance->core, simulation->now_us,
		wall_us(simulation), &asking->request);
	check(simulation, query_id != 0, "query id 0");
	check(simulation, !issued->query_id || issued->query_id == query_id,
	      "answered under another query id");
	issued->query_id = query_id;
	g_free(asking->issued);
}

/* Ids are asked again soon, or long after: past their retention too. */
static const char *choose_id(struct simulation *simulation)
{
	guint n = simulation->recent_keys->len;

	if (n && random_one_in(simulation, 2)) {
		guint newest = random_one_in(simulation, 4) ? n : MIN(n, 8);

		return g_ptr_array_index(
			simulation->recent_keys,
			n - 1 -
				(guint)g_rand_int_range(simulation->random, 0,
							(int)newest));
	}
	if (n >= MOST_IDS)
		g_ptr_array_remove_index(simulation->recent_keys, 0);
	g_ptr_array_add(simulation->recent_keys,
			g_strdup_printf("%" G_GINT64_FORMAT
					"-order-%08" G_GINT64_MODIFIER "u",
					(WALL_START_US + simulation->now_us) /
						G_USEC_PER_SEC,
					simulation->sequence));
	return g_ptr_array_index(simulation->recent_keys,
				 simulation->recent_keys->len - 1);
}

/* The caller of a list asks page by page, and gives up after a while. */
static bool plan_list(struct simulation *simulation, struct asking *asking)
{
	GHashTableIter iter;
	gpointer value = NULL;
	struct paged_list *chain = NULL;

	g_hash_table_iter_init(&iter, simulation->paged_lists);
	if (g_hash_table_iter_next(&iter, NULL, &value))
		chain = value;
	if (chain && chain->page_sent_us) {
		if (simulation->now_us - chain->page_sent_us > 20000 * MS)
			g_hash_table_remove(simulation->paged_lists,
					    &chain->number);
		return false;
	}
	if (!chain) {
		chain = g_new0(struct paged_list, 1);
		chain->number = ++simulation->last_list_number;
		g_hash_table_insert(simulation->paged_lists, &chain->number,
				    chain);
	}
	chain->page_sent_us = simulation->now_us;
	asking->issued->list_number = chain->number;
	asking->cursor = g_strdup(chain->cursor);
	return true;
}

static void plan_request(struct simulation *simulation, struct asking *asking)
{
	struct rr_request *request = &asking->request;

	request->kind = RR_SEARCH;
	request->service =
		service_names[g_rand_int_range(simulation->random, 0, 2)];
	request->body = "{\"text\":\"brick\"}";
	if (random_one_in(simulation, 8))
		request->deadline_ms =
			(uint32_t)random_between(simulation, 20, 300);
	if (random_one_in(simulation, 8))
		request->max_rows = (uint32_t)random_between(simulation, 5, 70);
	if (random_one_in(simulation, 5))
		request->priority = RR_BATCH;
	switch (g_rand_int_range(simulation->random, 0, 8)) {
	case 0:
		request->kind = RR_LOOKUP;
		request->key =
			(uint64_t)random_between(simulation, 0, KEY_END) /
			KEY_STEP * KEY_STEP;
		break;
	case 1:
	case 2:
		request->kind = RR_RESERVE;
		request->service = SERVICE_WRITE;
		request->idempotency_key = choose_id(simulation);
		request->key = g_str_hash(request->idempotency_key) % KEY_END;
		break;
	case 3:
		request->kind = RR_LIST;
		request->service = SERVICE_READ;
		request->max_rows = 7;
		break;
	}
}

void send_random_request(struct simulation *simulation)
{
	struct asking *asking = g_new0(struct asking, 1);

	asking->issued = g_new0(struct issued_request, 1);
	plan_request(simulation, asking);
	if (asking->request.kind == RR_LIST && !plan_list(simulation, asking))
		asking->request.kind = RR_SEARCH;
	/* Kept here: the caller's list of ids moves on. */
	asking->id = g_strdup(asking->request.idempotency_key);
	asking->request.idempotency_key = asking->id;
	schedule_delivery(simulation,
			  g_rand_int_range(simulation->random, 0, N_INSTANCES),
			  simulation->now_us, ask, asking, drop_asking);
}

static void cancel(struct instance *instance, void *data)
{
	struct simulation *simulation = instance->simulation;
	struct issued_request *issued =
		g_hash_table_lookup(simulation->issued_requests, data);

	if (!issued || issued->answered || issued->from_peer ||
	    issued->instance != instance->index ||
	    issued->incarnation != instance->incarnation)
		return;
	issued->cancelled = true;
	rr_core_cancel(instance->ctx, instance->core, simulation->now_us,
		       issued->query_id);
}

void cancel_random_request(struct simulation *simulation)
{
	uint64_t number = simulation->last_request_number -
			  (uint64_t)random_between(simulation, 0, 5);
	struct issued_request *issued =
		g_hash_table_lookup(simulation->issued_requests, &number);

	if (issued)
		schedule_delivery(simulation, issued->instance,
				  simulation->now_us, cancel,
				  g_memdup2(&number, sizeof(number)), g_free);
}
