/*
 * request.c - a caller's request is checked, admitted or refused.
 */
#include "core/core-private.h"

#define STOPPING_RETRY_MS 100

/* Why a request can't be taken; `what` NULL if it can. */
struct refusal {
	enum rr_outcome outcome;
	const char *what;
	uint32_t retry_after_ms;
	char *detail; /* to be freed; `what` may point to it */
};

static bool refuse(struct refusal *refusal, enum rr_outcome outcome,
		   const char *what, uint32_t retry_after_ms)
{
	refusal->outcome = outcome;
	refusal->what = what;
	refusal->retry_after_ms = retry_after_ms;
	return false;
}

static bool check_open(const struct rr_core *core, struct refusal *refusal)
{
	if (core->draining)
		return refuse(refusal, RR_NOT_RUN, "stopping",
			      STOPPING_RETRY_MS);
	if (!core->config)
		return refuse(refusal, RR_NOT_RUN, "no-configuration",
			      RR_DEFAULT_RETRY_AFTER_MS);
	return true;
}

static bool goes_by_ledger(const struct rr_service_config *config,
			   enum rr_request_kind kind)
{
	return kind == RR_RESERVE || config->costs_money || !config->idempotent;
}

static bool check_guarded(const struct rr_request *request,
			  struct refusal *refusal)
{
	GError *error = NULL;
	int64_t made_s;

	if (request->kind == RR_LIST)
		return refuse(refusal, RR_INVALID, "list-not-offered", 0);
	if (!request->idempotency_key)
		return refuse(refusal, RR_INVALID, "idempotency-key-missing",
			      0);
	if (rr_parse_request_id(request->idempotency_key, &made_s, &error))
		return true;
	refusal->detail =
		g_strdup(error ? error->message : "idempotency-key-malformed");
	g_clear_error(&error);
	return refuse(refusal, RR_INVALID, refusal->detail, 0);
}

static bool check_kind(const struct rr_service *service,
		       const struct rr_request *request,
		       struct refusal *refusal)
{
	switch (request->kind) {
	case RR_SEARCH:
	case RR_LIST:
		break;
	case RR_LOOKUP:
	case RR_RESERVE:
		if (rr_find_shard_by_key(service->map, request->key) ==
		    service->map->n_shards)
			return refuse(refusal, RR_INVALID, "key-in-no-shard",
				      0);
		break;
	default:
		return refuse(refusal, RR_INVALID, "unknown-kind", 0);
	}
	if (goes_by_ledger(service->map->service, request->kind))
		return check_guarded(request, refusal);
	return true;
}

static bool check_admission(struct rr_core *core, struct rr_service *service,
			    const struct rr_request *request,
			    struct refusal *refusal)
{
	uint32_t deadline_ms = service->map->service->deadline_ms;
	const char *why;

	if (request->deadline_ms && request->deadline_ms < deadline_ms)
		deadline_ms = request->deadline_ms;
	why = rr_check_query_admission(core, service, request->priority,
				       deadline_ms, &refusal->retry_after_ms);
	return !why ||
	       refuse(refusal, RR_NOT_RUN, why, refusal->retry_after_ms);
}

static bool check_request(struct rr_context *ctx, struct rr_core *core,
			  const struct rr_request *request,
			  struct rr_service **service, struct refusal *refusal)
{
	if (!check_open(core, refusal))
		return false;
	*service = rr_find_service_state(core, request->service);
	if (!*service)
		return refuse(refusal, RR_INVALID, RR_REASON_UNKNOWN_SERVICE,
			      0);
	if (!check_kind(*service, request, refusal))
		return false;
	if (check_admission(core, *service, request, refusal))
		return true;
	rr_count(ctx, RR_N_REQUESTS_REJECTED, 1);
	return false;
}

static void begin(struct rr_context *ctx, struct rr_core *core,
		  struct rr_query *query, const struct rr_request *request)
{
	char *fault = NULL;

	if (query->at_most_once) {
		rr_claim_query(ctx, core, query, core->wall_us);
		return;
	}
	if (query->kind == RR_LIST &&
	    !rr_begin_list(ctx, core, query, request->cursor, &fault)) {
		rr_answer_query(ctx, core, query, RR_INVALID, fault);
		g_free(fault);
		return;
	}
	rr_begin_query(ctx, core, query);
}

uint64_t rr_core_handle_request(struct rr_context *ctx, struct rr_core *core,
				int64_t now_us, int64_t wall_us,
				const struct rr_request *request)
{
	struct refusal refusal = { .what = NULL };
	struct rr_service *service = NULL;
	struct rr_query *query;
	uint64_t id;

	core->ctx = ctx;
	core->now_us = MAX(core->now_us, now_us);
	core->wall_us = wall_us;
	rr_count(ctx, RR_N_REQUESTS, 1);
	if (!check_request(ctx, core, request, &service, &refusal)) {
		id = rr_next_id(core);
		rr_answer_rejected(ctx, core, request, id, refusal.outcome,
				   refusal.what, refusal.retry_after_ms);
		g_free(refusal.detail);
		return id;
	}
	query = rr_new_query(core, service, request);
	id = query->id;
	begin(ctx, core, query, request);
	rr_run_scheduled_work(ctx, core);
	return id;
}

void rr_core_cancel(struct rr_context *ctx, struct rr_core *core,
		    int64_t now_us, uint64_t query_id)
{
	struct rr_query *query;

	core->ctx = ctx;
	core->now_us = MAX(core->now_us, now_us);
	query = rr_find_query(core, query_id);
	if (query && !query->origin) {
		rr_log(ctx, RR_LOG_DECISION, "cancel",
		       RR_FIELD_STRING("request", query->request_id),
		       RR_FIELD_U64("query", query->id));
		query->cancelled = true;
		if (query->at_most_once)
			rr_cancel_at_most_once(ctx, core, query);
		else
			rr_end_query(ctx, core, query);
	}
	rr_run_scheduled_work(ctx, core);
}
