/*
 * request.c - requests of callers: checked, then admitted or rejected.
 */
#include "core/core-private.h"

#define STOPPING_RETRY_MS 100

/* Why a request is rejected; `reason` is NULL if the request is accepted. */
struct rejection {
	enum rr_outcome outcome;
	const char *reason;
	uint32_t retry_after_ms;
	char *detail; /* owned; `reason` may point to it */
};

static bool reject(struct rejection *rejection, enum rr_outcome outcome,
		   const char *reason, uint32_t retry_after_ms)
{
	rejection->outcome = outcome;
	rejection->reason = reason;
	rejection->retry_after_ms = retry_after_ms;
	return false;
}

static bool check_running(const struct rr_core *core,
			  struct rejection *rejection)
{
	if (core->draining)
		return reject(rejection, RR_NOT_RUN, "stopping",
			      STOPPING_RETRY_MS);
	if (!core->config)
		return reject(rejection, RR_NOT_RUN, "no-configuration",
			      RR_DEFAULT_RETRY_AFTER_MS);
	return true;
}

static bool needs_ledger(const struct rr_service_config *config,
			 enum rr_request_kind kind)
{
	return kind == RR_RESERVE || config->costs_money || !config->idempotent;
}

static bool check_at_most_once(const struct rr_request *request,
			       struct rejection *rejection)
{
	GError *error = NULL;
	int64_t created_s;

	if (request->kind == RR_LIST)
		return reject(rejection, RR_INVALID, "list-not-offered", 0);
	if (!request->idempotency_key)
		return reject(rejection, RR_INVALID, "idempotency-key-missing",
			      0);
	if (rr_parse_request_id(request->idempotency_key, &created_s, &error))
		return true;
	rejection->detail =
		g_strdup(error ? error->message : "idempotency-key-malformed");
	g_clear_error(&error);
	return reject(rejection, RR_INVALID, rejection->detail, 0);
}

static bool check_kind(const struct rr_service *service,
		       const struct rr_request *request,
		       struct rejection *rejection)
{
	switch (request->kind) {
	case RR_SEARCH:
	case RR_LIST:
		break;
	case RR_LOOKUP:
	case RR_RESERVE:
		if (rr_find_shard_by_key(service->map, request->key) ==
		    service->map->n_shards)
			return reject(rejection, RR_INVALID, "key-in-no-shard",
				      0);
		break;
	default:
		return reject(rejection, RR_INVALID, "unknown-kind", 0);
	}
	if (needs_ledger(service->map->service, request->kind))
		return check_at_most_once(request, rejection);
	return true;
}

static bool check_admission(struct rr_core *core, struct rr_service *service,
			    const struct rr_request *request,
			    struct rejection *rejection)
{
	uint32_t deadline_ms = service->map->service->deadline_ms;
	const char *reason;

	if (request->deadline_ms && request->deadline_ms < deadline_ms)
		deadline_ms = request->deadline_ms;
	reason = rr_check_query_admission(core, service, request->priority,
					  deadline_ms,
					  &rejection->retry_after_ms);
	return !reason ||
	       reject(rejection, RR_NOT_RUN, reason, rejection->retry_after_ms);
}

static bool check_request(struct rr_context *ctx, struct rr_core *core,
			  const struct rr_request *request,
			  struct rr_service **service,
			  struct rejection *rejection)
{
	if (!check_running(core, rejection))
		return false;
	*service = rr_find_service_state(core, request->service);
	if (!*service)
		return reject(rejection, RR_INVALID, RR_REASON_UNKNOWN_SERVICE,
			      0);
	if (!check_kind(*service, request, rejection))
		return false;
	if (check_admission(core, *service, request, rejection))
		return true;
	rr_count(ctx, RR_N_REQUESTS_REJECTED, 1);
	return false;
}

static void begin_request(struct rr_context *ctx, struct rr_core *core,
			  struct rr_query *query,
			  const struct rr_request *request)
{
	char *error_text = NULL;

	if (query->at_most_once) {
		rr_claim_query(ctx, core, query, core->wall_us);
		return;
	}
	if (query->kind == RR_LIST &&
	    !rr_begin_list(ctx, core, query, request->cursor, &error_text)) {
		rr_answer_query(ctx, core, query, RR_INVALID, error_text);
		g_free(error_text);
		return;
	}
	rr_begin_query(ctx, core, query);
}

uint64_t rr_core_handle_request(struct rr_context *ctx, struct rr_core *core,
				int64_t now_us, int64_t wall_us,
				const struct rr_request *request)
{
	struct rejection rejection = { .reason = NULL };
	struct rr_service *service = NULL;
	struct rr_query *query;
	uint64_t id;

	core->ctx = ctx;
	core->now_us = MAX(core->now_us, now_us);
	core->wall_us = wall_us;
	rr_count(ctx, RR_N_REQUESTS, 1);
	if (!check_request(ctx, core, request, &service, &rejection)) {
		id = rr_next_id(core);
		rr_answer_rejected_request(ctx, core, request, id,
					   rejection.outcome, rejection.reason,
					   rejection.retry_after_ms);
		g_free(rejection.detail);
		return id;
	}
	query = rr_new_query(core, service, request);
	id = query->id;
	begin_request(ctx, core, query, request);
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
