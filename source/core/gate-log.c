/*
 * gate-log.c - log lines of requests.
 *
 * A search over hundreds of shards has more trace events than the budget of log
 * lines allows.  A request that failed, was late or incomplete, or whose caller
 * closed its connection always gets an outcome line, which counts the missing
 * parts by cause.  It is preceded by all trace events if the budget allows,
 * else by those of the missing parts, else by none.  Of the other requests only
 * a sample is logged, if the budget allows.
 */
#include "core/gate-private.h"

/* Numbers of parts without an answer, by cause. */
struct missing_parts {
	size_t queued;	   /* no replica had capacity */
	size_t evacuated;  /* all replicas are in evacuated zones */
	size_t no_replica; /* no replica could be tried */
	/* Sent to one replica, not answered in time; no retry budget left. */
	size_t no_budget;
	/* Sent to one replica, not answered in time, for any other reason. */
	size_t one_tried;
	/* Sent to several replicas, none answered in time. */
	size_t several_tried;
};

static void count_missing_part(struct missing_parts *missing_parts,
			       const struct rr_gate_part *part)
{
	if (part->queued)
		missing_parts->queued++;
	else if (!part->n_tried &&
		 !g_strcmp0(part->not_sent_reason, RR_REASON_EVACUATED))
		missing_parts->evacuated++;
	else if (!part->n_tried)
		missing_parts->no_replica++;
	else if (part->n_tried > 1)
		missing_parts->several_tried++;
	else if (!g_strcmp0(part->not_sent_reason, RR_REASON_NO_RETRY_BUDGET))
		missing_parts->no_budget++;
	else
		missing_parts->one_tried++;
}

static struct missing_parts
count_missing_parts(const struct rr_gate_request *req)
{
	struct missing_parts missing_parts = { 0 };

	for (size_t i = 0; i < req->n_parts; i++) {
		if (req->parts[i].status != RR_PART_ANSWERED)
			count_missing_part(&missing_parts, &req->parts[i]);
	}
	return missing_parts;
}

static bool is_late(const struct rr_gate *gate,
		    const struct rr_gate_request *req)
{
	return req->route->objective_ms && gate->now_us > req->answer_by_us;
}

/*
 * Whether a request was answered completely, in time and without an error, and
 * its caller did not close.
 */
static bool is_normal(const struct rr_gate *gate,
		      const struct rr_gate_request *req,
		      const struct rr_gate_answer *answer)
{
	return answer->status < 400 && !answer->missing &&
	       !req->caller_closed && !is_late(gate, req);
}

static int64_t since_start_us(const struct rr_gate_request *req, int64_t at_us)
{
	return at_us ? at_us - req->started_us : -1;
}

static void log_outcome(struct rr_context *ctx, const struct rr_gate *gate,
			const struct rr_gate_request *req,
			const struct rr_gate_answer *answer,
			size_t steps_left_out)
{
	struct missing_parts missing_parts = count_missing_parts(req);
	char fingerprint[RR_FINGERPRINT_TEXT_SIZE];

	rr_format_fingerprint(&req->fingerprint, fingerprint);
	rr_log(ctx, RR_LOG_INFO, "answered",
	       RR_FIELD_STRING("request", req->request_id),
	       RR_FIELD_STRING("fingerprint", fingerprint),
	       RR_FIELD_STRING("instance", gate->instance),
	       RR_FIELD_I64("after_us", gate->now_us - req->started_us),
	       RR_FIELD_STRING("route", req->route->name),
	       RR_FIELD_STRING("account", req->account ? req->account : ""),
	       RR_FIELD_U64("version",
			    rr_route_table_version(req->route_table)),
	       RR_FIELD_I64("version_age_us", req->routes_age_us),
	       RR_FIELD_U64("status", answer->status),
	       RR_FIELD_STRING("reason", answer->reason),
	       RR_FIELD_U64("parts", req->n_parts),
	       RR_FIELD_U64("missing", answer->missing),
	       RR_FIELD_U64("may_have_run", req->n_may_have_run),
	       RR_FIELD_BOOL("handed", req->forwarded),
	       RR_FIELD_I64("last_part_us",
			    since_start_us(req, req->last_part_us)),
	       RR_FIELD_U64("lacks_waiting", missing_parts.queued),
	       RR_FIELD_U64("lacks_evacuated", missing_parts.evacuated),
	       RR_FIELD_U64("lacks_no_replica", missing_parts.no_replica),
	       RR_FIELD_U64("lacks_no_extra", missing_parts.no_budget),
	       RR_FIELD_U64("lacks_one_asked", missing_parts.one_tried),
	       RR_FIELD_U64("lacks_more_asked", missing_parts.several_tried),
	       RR_FIELD_BOOL("late", is_late(gate, req)),
	       RR_FIELD_I64("objective_us",
			    req->answer_by_us - req->started_us),
	       RR_FIELD_I64("end_us", req->expires_us - req->started_us),
	       RR_FIELD_U64("retry_after_ms", answer->retry_after_ms),
	       RR_FIELD_U64("steps_left_out", steps_left_out));
}

/* Return the names of the services whose parts are missing. */
static GPtrArray *list_missing_services(const struct rr_gate_request *req)
{
	GPtrArray *names = g_ptr_array_new();

	for (size_t i = 0; i < req->n_parts; i++) {
		const struct rr_gate_part *part = &req->parts[i];

		if (part->status != RR_PART_ANSWERED)
			g_ptr_array_add(names, part->service->name);
	}
	return names;
}

/* Whether an event belongs to a missing part or to the whole request. */
static bool concerns_missing_part(void *data,
				  const struct rr_trace_event *event)
{
	return !event->service || g_ptr_array_find(data, event->service, NULL);
}

/* Log the missing parts' events if the budget allows; returns their number. */
static size_t log_missing_parts(struct rr_context *ctx, struct rr_gate *gate,
				const struct rr_gate_request *req)
{
	GPtrArray *missing = list_missing_services(req);
	size_t n = rr_count_trace_events(&req->trace, concerns_missing_part,
					 missing);

	if (rr_take_log_lines(&gate->request_log_budget, gate->now_us, n + 1,
			      false))
		rr_log_trace_matching(ctx, &req->trace, req->request_id,
				      req->started_us, concerns_missing_part,
				      missing);
	else
		n = 0;
	g_ptr_array_unref(missing);
	return n;
}

void rr_log_broken_attempt(struct rr_context *ctx, const struct rr_gate *gate,
			   const struct rr_gate_attempt *attempt)
{
	const struct rr_gate_request *req = attempt->request;
	const struct rr_endpoint *endpoint = attempt->endpoint;
	char fingerprint[RR_FINGERPRINT_TEXT_SIZE];

	rr_format_fingerprint(&attempt->fingerprint, fingerprint);
	rr_log(ctx, RR_LOG_INFO, "attempt-broken",
	       RR_FIELD_STRING("request", req ? req->request_id : ""),
	       RR_FIELD_STRING("fingerprint", fingerprint),
	       RR_FIELD_U64("attempt", attempt->id),
	       RR_FIELD_STRING("service", endpoint->service->name),
	       RR_FIELD_STRING("endpoint", endpoint->incarnation),
	       RR_FIELD_I64("ran_us", gate->now_us - attempt->sent_us),
	       RR_FIELD_U64("in_flight", endpoint->in_flight.length));
}

void rr_log_request(struct rr_context *ctx, struct rr_gate *gate,
		    struct rr_gate_request *req,
		    const struct rr_gate_answer *answer)
{
	bool normal = is_normal(gate, req, answer);
	size_t n_events = req->trace.events->len;

	if (normal && !rr_is_sampled(req->request_id))
		return;
	if (rr_take_log_lines(&gate->request_log_budget, gate->now_us,
			      n_events + 1, normal)) {
		rr_log_trace(ctx, &req->trace, req->request_id,
			     req->started_us);
		log_outcome(ctx, gate, req, answer, 0);
		return;
	}
	if (!normal)
		log_outcome(ctx, gate, req, answer,
			    n_events - log_missing_parts(ctx, gate, req));
}
