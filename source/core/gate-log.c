/*
 * gate-log.c - what the log tells of a request.
 *
 * A search of hundreds of shards takes more steps than may be written.  What is
 * always told is why its parts lack, counted; then, as far as the bound on
 * lines goes, all of its steps, or those of the parts that lack.
 */
#include "core/gate-private.h"

/* Parts without an answer, by why. */
struct lacks {
	size_t waiting;	   /* no replica had room */
	size_t evacuated;  /* it has replicas in evacuated zones only */
	size_t no_replica; /* none could be asked */
	size_t no_extra;   /* one was slow, and no extra attempt was left */
	size_t one_asked;  /* one was slow, and it was too soon or no other */
	size_t more_asked; /* each that was asked was slow */
};

static void add_lack(struct lacks *lacks, const struct rr_gate_part *part)
{
	if (part->queued)
		lacks->waiting++;
	else if (!part->n_tried &&
		 !g_strcmp0(part->not_sent_reason, RR_REASON_EVACUATED))
		lacks->evacuated++;
	else if (!part->n_tried)
		lacks->no_replica++;
	else if (part->n_tried > 1)
		lacks->more_asked++;
	else if (!g_strcmp0(part->not_sent_reason, RR_REASON_NO_RETRY_BUDGET))
		lacks->no_extra++;
	else
		lacks->one_asked++;
}

static struct lacks count_lacks(const struct rr_gate_request *run)
{
	struct lacks lacks = { 0 };

	for (size_t i = 0; i < run->n_parts; i++) {
		if (run->parts[i].status != RR_PART_ANSWERED)
			add_lack(&lacks, &run->parts[i]);
	}
	return lacks;
}

static bool is_late(const struct rr_gate *gate,
		    const struct rr_gate_request *run)
{
	return run->route->objective_ms && gate->now_us > run->answer_by_us;
}

/* Whether nothing about a request went as it should not. */
static bool is_ordinary(const struct rr_gate *gate,
			const struct rr_gate_request *run,
			const struct rr_gate_answer *answer)
{
	return answer->status < 400 && !answer->missing &&
	       !run->caller_closed && !is_late(gate, run);
}

static int64_t since_start_us(const struct rr_gate_request *run, int64_t at_us)
{
	return at_us ? at_us - run->started_us : -1;
}

static void write_end(struct rr_context *ctx, const struct rr_gate *gate,
		      const struct rr_gate_request *run,
		      const struct rr_gate_answer *answer,
		      size_t steps_left_out)
{
	struct lacks lacks = count_lacks(run);
	char fingerprint[RR_FINGERPRINT_TEXT_SIZE];

	rr_format_fingerprint(&run->fingerprint, fingerprint);
	rr_log(ctx, RR_LOG_INFO, "answered",
	       RR_FIELD_STRING("request", run->request_id),
	       RR_FIELD_STRING("fingerprint", fingerprint),
	       RR_FIELD_STRING("instance", gate->instance),
	       RR_FIELD_I64("after_us", gate->now_us - run->started_us),
	       RR_FIELD_STRING("route", run->route->name),
	       RR_FIELD_U64("version",
			    rr_route_table_version(run->route_table)),
	       RR_FIELD_I64("version_age_us", run->routes_age_us),
	       RR_FIELD_U64("status", answer->status),
	       RR_FIELD_STRING("reason", answer->reason),
	       RR_FIELD_U64("parts", run->n_parts),
	       RR_FIELD_U64("missing", answer->missing),
	       RR_FIELD_U64("may_have_run", run->n_may_have_run),
	       RR_FIELD_BOOL("handed", run->forwarded),
	       RR_FIELD_I64("last_part_us",
			    since_start_us(run, run->last_part_us)),
	       RR_FIELD_U64("lacks_waiting", lacks.waiting),
	       RR_FIELD_U64("lacks_evacuated", lacks.evacuated),
	       RR_FIELD_U64("lacks_no_replica", lacks.no_replica),
	       RR_FIELD_U64("lacks_no_extra", lacks.no_extra),
	       RR_FIELD_U64("lacks_one_asked", lacks.one_asked),
	       RR_FIELD_U64("lacks_more_asked", lacks.more_asked),
	       RR_FIELD_BOOL("late", is_late(gate, run)),
	       RR_FIELD_I64("objective_us",
			    run->answer_by_us - run->started_us),
	       RR_FIELD_I64("end_us", run->expires_us - run->started_us),
	       RR_FIELD_U64("retry_after_ms", answer->retry_after_ms),
	       RR_FIELD_U64("steps_left_out", steps_left_out));
}

/* Names of the services whose parts lack. */
static GPtrArray *list_lacking(const struct rr_gate_request *run)
{
	GPtrArray *names = g_ptr_array_new();

	for (size_t i = 0; i < run->n_parts; i++) {
		const struct rr_gate_part *part = &run->parts[i];

		if (part->status != RR_PART_ANSWERED)
			g_ptr_array_add(names, part->service->name);
	}
	return names;
}

/* Whether a step is of a part that lacks, or of the whole request. */
static bool is_of_lacking(void *data, const struct rr_trace_event *step)
{
	return !step->service || g_ptr_array_find(data, step->service, NULL);
}

/* Write the steps of what lacks if there is room; how many were written. */
static size_t tell_lacking(struct rr_context *ctx, struct rr_gate *gate,
			   const struct rr_gate_request *run)
{
	GPtrArray *lacking = list_lacking(run);
	size_t n = rr_count_trace_events(&run->trace, is_of_lacking, lacking);

	if (rr_take_log_lines(&gate->request_log_budget, gate->now_us, n + 1,
			      false))
		rr_log_trace_matching(ctx, &run->trace, run->request_id,
				      run->started_us, is_of_lacking, lacking);
	else
		n = 0;
	g_ptr_array_unref(lacking);
	return n;
}

void rr_log_broken_attempt(struct rr_context *ctx, const struct rr_gate *gate,
			   const struct rr_gate_attempt *attempt)
{
	const struct rr_gate_request *run = attempt->request;
	const struct rr_endpoint *endpoint = attempt->endpoint;
	char fingerprint[RR_FINGERPRINT_TEXT_SIZE];

	rr_format_fingerprint(&attempt->fingerprint, fingerprint);
	rr_log(ctx, RR_LOG_INFO, "attempt-broken",
	       RR_FIELD_STRING("request", run ? run->request_id : ""),
	       RR_FIELD_STRING("fingerprint", fingerprint),
	       RR_FIELD_U64("attempt", attempt->id),
	       RR_FIELD_STRING("service", endpoint->service->name),
	       RR_FIELD_STRING("endpoint", endpoint->incarnation),
	       RR_FIELD_I64("ran_us", gate->now_us - attempt->sent_us),
	       RR_FIELD_U64("in_flight", endpoint->in_flight.length));
}

void rr_log_request(struct rr_context *ctx, struct rr_gate *gate,
		    struct rr_gate_request *run,
		    const struct rr_gate_answer *answer)
{
	bool ordinary = is_ordinary(gate, run, answer);
	size_t steps = run->trace.events->len;

	if (ordinary && !rr_is_sampled(run->request_id))
		return;
	if (rr_take_log_lines(&gate->request_log_budget, gate->now_us,
			      steps + 1, ordinary)) {
		rr_log_trace(ctx, &run->trace, run->request_id,
			     run->started_us);
		write_end(ctx, gate, run, answer, 0);
		return;
	}
	if (!ordinary)
		write_end(ctx, gate, run, answer,
			  steps - tell_lacking(ctx, gate, run));
}
