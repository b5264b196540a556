/*
 * callers.c - Simulated callers.
 *
 * They search, look up, reserve, list, repeat requests, also long after the
 * first one, and disconnect.
 */
#include "random/simulation.h"

#include <stdio.h>
#include <string.h>

#define MAX_RECENT_KEYS 2000 /* idempotency keys that may be repeated */

struct caller_request {
	struct rr_request request;
	struct issued_request *issued;
	char request_id[24];
	char *cursor;
	char *id;
};

static void drop_caller_request(void *data)
{
	struct caller_request *caller_request = data;

	g_free(caller_request->cursor);
	g_free(caller_request->id);
	g_free(caller_request);
}

static int64_t wall_clock_us(struct simulation *simulation)
{
	return WALL_START_US + simulation->now_us + simulation->wall_offset_us;
}

static void send_caller_request(struct instance *instance, void *data)
{
	struct caller_request *caller_request = data;
	struct simulation *simulation = instance->simulation;
	struct issued_request *issued;
	uint64_t query_id;
	uint32_t deadline_ms = caller_request->request.deadline_ms ?
				       caller_request->request.deadline_ms :
				       300;

	issued = add_issued_request(simulation, instance,
				    caller_request->request.kind, deadline_ms);
	g_strlcpy(issued->service, caller_request->request.service,
		  sizeof(issued->service));
	if (caller_request->request.idempotency_key)
		g_strlcpy(issued->idempotency_key,
			  caller_request->request.idempotency_key,
			  sizeof(issued->idempotency_key));
	issued->key_created_us =
		g_ascii_strtoll(issued->idempotency_key, NULL, 10) *
			G_USEC_PER_SEC -
		WALL_START_US;
	issued->key = caller_request->request.key;
	issued->max_rows = caller_request->request.max_rows;
	issued->list_number = caller_request->issued->list_number;
	snprintf(caller_request->request_id, sizeof(caller_request->request_id),
		 "r%" G_GUINT64_FORMAT, issued->number);
	caller_request->request.request_id = caller_request->request_id;
	caller_request->request.cursor = caller_request->cursor;
	query_id = rr_core_handle_request(
		instance->ctx, instance->core, simulation->now_us,
		wall_clock_us(simulation), &caller_request->request);
	check(simulation, query_id != 0, "query id 0");
	check(simulation, !issued->query_id || issued->query_id == query_id,
	      "answered with a different query id");
	issued->query_id = query_id;
	g_free(caller_request->issued);
}

/* Keys are repeated soon, or long after, even past their retention. */
static const char *choose_idempotency_key(struct simulation *simulation)
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
	if (n >= MAX_RECENT_KEYS)
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

/*
 * Prepare the request for the next page of a list.  Returns false while a page
 * is pending; a list whose page is pending for 20 s is abandoned.
 */
static bool prepare_list(struct simulation *simulation,
			 struct caller_request *caller_request)
{
	GHashTableIter iter;
	gpointer value = NULL;
	struct paged_list *list = NULL;

	g_hash_table_iter_init(&iter, simulation->paged_lists);
	if (g_hash_table_iter_next(&iter, NULL, &value))
		list = value;
	if (list && list->page_sent_us) {
		if (simulation->now_us - list->page_sent_us > 20000 * MS)
			g_hash_table_remove(simulation->paged_lists,
					    &list->number);
		return false;
	}
	if (!list) {
		list = g_new0(struct paged_list, 1);
		list->number = ++simulation->last_list_number;
		g_hash_table_insert(simulation->paged_lists, &list->number,
				    list);
	}
	list->page_sent_us = simulation->now_us;
	caller_request->issued->list_number = list->number;
	caller_request->cursor = g_strdup(list->cursor);
	return true;
}

static void prepare_request(struct simulation *simulation,
			    struct caller_request *caller_request)
{
	struct rr_request *request = &caller_request->request;

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
		request->idempotency_key = choose_idempotency_key(simulation);
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
	struct caller_request *caller_request =
		g_new0(struct caller_request, 1);

	caller_request->issued = g_new0(struct issued_request, 1);
	prepare_request(simulation, caller_request);
	if (caller_request->request.kind == RR_LIST &&
	    !prepare_list(simulation, caller_request))
		caller_request->request.kind = RR_SEARCH;
	/* A copy, since the key may be removed from recent_keys. */
	caller_request->id = g_strdup(caller_request->request.idempotency_key);
	caller_request->request.idempotency_key = caller_request->id;
	schedule_delivery(simulation,
			  g_rand_int_range(simulation->random, 0, N_INSTANCES),
			  simulation->now_us, send_caller_request,
			  caller_request, drop_caller_request);
}

static void cancel_request(struct instance *instance, void *data)
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
				  simulation->now_us, cancel_request,
				  g_memdup2(&number, sizeof(number)), g_free);
}
