/*
 * gate-attempt.c - one request at one replica: sent, repeated, hedged, left
 * to run out or withdrawn.
 */
#include "core/gate-private.h"

void rr_free_attempt(gpointer data)
{
	struct rr_gate_attempt *attempt = data;

	rr_drop_endpoint(attempt->endpoint);
	g_free(attempt);
}

void rr_end_attempt(struct rr_gate *gate, struct rr_gate_attempt *attempt)
{
	g_hash_table_steal(gate->attempts, &attempt->id);
	g_queue_unlink(&attempt->endpoint->live, &attempt->endpoint_link);
	rr_note_ended(gate, attempt->endpoint);
	if (!attempt->run)
		return;
	g_queue_unlink(&attempt->run->live, &attempt->run_link);
	attempt->run->parts[attempt->part].n_live--;
}

void rr_note_attempt(const struct rr_gate *gate, struct rr_gate_run *run,
		     const struct rr_gate_attempt *attempt,
		     enum rr_trail_kind kind, const char *reason,
		     uint32_t status)
{
	const struct rr_endpoint *endpoint = attempt->endpoint;
	struct rr_trail_step step = {
		.at_us = gate->now_us,
		.kind = kind,
		.reason = reason,
		.service = endpoint->service->name,
		.endpoint = endpoint->lifetime,
		.attempt = attempt->id,
		.status = status,
		.in_flight = endpoint->live.length,
		.slowness = rr_track_slowness(&endpoint->track, gate->now_us),
		.pace_percent = endpoint->pace_percent,
		.extras_left = rr_extras_left(&endpoint->service->extras,
					      gate->now_us),
	};

	rr_note_step(&run->trail, &step);
}

static void note_part(const struct rr_gate *gate, struct rr_gate_run *run,
		      const struct rr_gate_part *part, enum rr_trail_kind kind,
		      const char *reason)
{
	struct rr_trail_step step = {
		.at_us = gate->now_us,
		.kind = kind,
		.reason = reason,
		.service = part->service->name,
		.extras_left =
			rr_extras_left(&part->service->extras, gate->now_us),
	};

	rr_note_step(&run->trail, &step);
}

static void withdraw(struct rr_context *ctx, struct rr_gate *gate,
		     struct rr_gate_attempt *attempt, const char *reason)
{
	if (attempt->run)
		rr_note_attempt(gate, attempt->run, attempt, RR_TRAIL_WITHDRAWN,
				reason, 0);
	rr_count(ctx, RR_N_WITHDRAWN, 1);
	gate->actions.withdraw(gate->actions.data, attempt->id);
	rr_end_attempt(gate, attempt);
	rr_note_given_up(ctx, gate, attempt->endpoint);
	rr_free_attempt(attempt);
}

static void set_timer(struct rr_gate *gate, int64_t due_us,
		      enum rr_timer_kind kind, uint64_t id)
{
	rr_set_timer(gate->timers, due_us, kind, id, 0);
}

/* The time after which an attempt is hedged, by what is left of the budget. */
static int64_t hedge_after_us(const struct rr_gate *gate,
			      const struct rr_gate_run *run,
			      const struct rr_gate_part *part)
{
	const struct rr_gate_policy *policy = &gate->policy;
	int64_t typical_us = rr_typical_us(gate, run->record, run->route);
	int64_t cheap_us =
		rr_sketch_quantile(&run->record->times, policy->hedge_quantile);
	double dear_us = policy->hedge_dear_factor * (double)typical_us;
	int64_t last_us;

	if (!cheap_us)
		cheap_us = (int64_t)(policy->hedge_guess_factor *
				     (double)typical_us);
	cheap_us = MAX(cheap_us, policy->hedge_least_us);
	/* A hedge that could not answer in time any more is worth little. */
	last_us = run->cut_us - 2 * typical_us - part->last_sent_us;
	return rr_hedge_price_us(
		rr_extras_used(&part->service->extras, gate->now_us), cheap_us,
		MIN((int64_t)dear_us, last_us));
}

static void send_attempt(struct rr_context *ctx, struct rr_gate *gate,
			 struct rr_gate_run *run, size_t index,
			 struct rr_endpoint *endpoint, const char *why)
{
	struct rr_gate_part *part = &run->parts[index];
	struct rr_gate_attempt *attempt = g_new0(struct rr_gate_attempt, 1);
	struct rr_gate_send send = { 0 };

	attempt->id = ++gate->next_id;
	attempt->run = run;
	attempt->part = index;
	attempt->endpoint = rr_keep_endpoint(endpoint);
	attempt->record = run->record;
	attempt->fingerprint = run->fingerprint;
	attempt->sent_us = gate->now_us;
	attempt->idempotent = run->route->idempotent;
	attempt->in_flight = endpoint->live.length + 1;
	attempt->extra = part->n_arrived > 0;
	attempt->endpoint_link.data = attempt;
	attempt->run_link.data = attempt;
	g_hash_table_insert(gate->attempts, &attempt->id, attempt);
	rr_note_begun(gate, endpoint);
	rr_note_cold_sent(gate, endpoint);
	g_queue_push_tail_link(&endpoint->live, &attempt->endpoint_link);
	g_queue_push_tail_link(&run->live, &attempt->run_link);
	part->tried[part->n_tried++] = endpoint->number;
	part->n_arrived++;
	part->n_run++;
	part->n_live++;
	part->last_sent_us = gate->now_us;
	run->n_run++;
	rr_count(ctx, RR_N_ATTEMPTS, 1);
	rr_note_attempt(gate, run, attempt, RR_TRAIL_SENT, why, 0);
	send.attempt = attempt->id;
	send.request = run->id;
	send.endpoint = endpoint->id;
	send.lifetime = endpoint->lifetime;
	send.address = endpoint->address;
	send.idempotent = attempt->idempotent;
	send.kept_connections =
		rr_kept_connections(gate, endpoint->service->name);
	send.handed = run->handed;
	send.handed_left_us = MAX(run->cut_us - gate->now_us, 0);
	send.deadline_ms =
		run->deadline_us ?
			MAX(run->deadline_us - gate->now_us, 0) / 1000 :
			-1;
	if (run->route->idempotent && !run->handed && gate->policy.hedge_slow)
		set_timer(gate, gate->now_us + hedge_after_us(gate, run, part),
			  RR_TIMER_GATE_HEDGE, attempt->id);
	gate->actions.send(gate->actions.data, &send);
}

static void wait_for_room(const struct rr_gate *gate, struct rr_gate_run *run,
			  size_t index)
{
	struct rr_gate_part *part = &run->parts[index];
	struct rr_waiter waiter = {
		.run = run->id,
		.part = (uint32_t)index,
		.priority = run->route->priority,
		.since_us = gate->now_us,
		.cut_us = run->cut_us,
	};

	if (part->waiting)
		return;
	note_part(gate, run, part, RR_TRAIL_WAITS, "no-room");
	part->waiting = true;
	rr_push_waiter(&part->service->waiting, &waiter);
}

static bool may_try(const struct rr_gate_run *run,
		    const struct rr_gate_part *part)
{
	if (run->left || part->status != RR_PART_OPEN)
		return false;
	if (part->n_tried >= RR_MOST_TRIED)
		return false;
	if (run->canary && run->live.length)
		return false;
#ifndef RR_MUTANT_GATE_REPEAT_ONCE
	if (!run->route->idempotent && part->n_run)
		return false;
#endif
	/* Crashed replicas do not count against max_attempts. */
	return part->n_run < run->route->max_attempts + part->n_crashed;
}

/* Once a part: a hedge that waits for a token is looked at often. */
static void note_refusal(const struct rr_gate *gate, struct rr_gate_run *run,
			 struct rr_gate_part *part, const char *reason)
{
	if (part->refused_for == reason)
		return;
	part->refused_for = reason;
	note_part(gate, run, part, RR_TRAIL_NOT_SENT, reason);
}

static const char *name_choice(const struct rr_gate_part *part,
			       enum rr_choice choice)
{
	if (choice == RR_CHOICE_FULL)
		return "no-room";
	if (choice == RR_CHOICE_COLD)
		return "cold";
	return rr_is_service_evacuated(part->service) ? RR_ALL_EVACUATED :
							"no-replica";
}

bool rr_try_part(struct rr_context *ctx, struct rr_gate *gate,
		 struct rr_gate_run *run, size_t index, const char *why)
{
	struct rr_gate_part *part = &run->parts[index];
	bool extra = part->n_arrived > 0;
	struct rr_endpoint *endpoint;
	enum rr_choice choice;

	if (!may_try(run, part))
		return false;
#ifndef RR_MUTANT_GATE_NO_BUDGET
	if (extra && rr_extras_left(&part->service->extras, gate->now_us) < 1) {
		note_refusal(gate, run, part, RR_NO_EXTRA_LEFT);
		return false;
	}
#endif
	choice = rr_choose_endpoint(ctx, gate, run, part, &endpoint);
	if (choice == RR_CHOICE_FULL && !part->n_live)
		wait_for_room(gate, run, index);
	if (choice != RR_CHOSEN) {
		note_refusal(gate, run, part, name_choice(part, choice));
		return false;
	}
	if (extra)
		rr_take_extra(&part->service->extras, gate->now_us);
	send_attempt(ctx, gate, run, index, endpoint, why);
	return true;
}

static void end_wait(struct rr_context *ctx, struct rr_gate *gate,
		     struct rr_gate_run *run, size_t index)
{
	struct rr_gate_part *part = &run->parts[index];

	part->waiting = false;
	if (rr_try_part(ctx, gate, run, index, "room") || part->waiting)
		return;
	/* A canary has one attempt in flight. */
	if (run->canary) {
		if (!run->live.length && !run->n_unresolved)
			rr_send_canary(ctx, gate, run);
		return;
	}
	if (part->status == RR_PART_OPEN && !part->n_live)
		rr_give_up_part(run, part);
	rr_advance_run(ctx, gate, run);
}

/* False if nothing waits there. */
static bool try_first_waiter(struct rr_context *ctx, struct rr_gate *gate,
			     struct rr_gate_service *service)
{
	struct rr_gate_run *run;
	struct rr_waiter waiter;

	if (!rr_pop_waiter(&service->waiting, gate->now_us, service->typical_us,
			   &waiter))
		return false;
	run = rr_find_run(gate, waiter.run);
	if (run)
		end_wait(ctx, gate, run, waiter.part);
	return true;
}

void rr_pump_service(struct rr_context *ctx, struct rr_gate *gate,
		     struct rr_gate_service *service)
{
	guint n = service->waiting.waiters->len;

	while (n-- && rr_service_has_room(gate, service) &&
	       try_first_waiter(ctx, gate, service))
		;
}

void rr_flush_service(struct rr_context *ctx, struct rr_gate *gate,
		      struct rr_gate_service *service)
{
	guint n = service->waiting.waiters->len;

	while (n-- && try_first_waiter(ctx, gate, service))
		;
}

void rr_fire_hedge(struct rr_context *ctx, struct rr_gate *gate, uint64_t id)
{
	struct rr_gate_attempt *attempt =
		g_hash_table_lookup(gate->attempts, &id);
	struct rr_gate_run *run = attempt ? attempt->run : NULL;
	struct rr_gate_part *part;
	int64_t due_us;

	if (!run || run->canary)
		return;
	part = &run->parts[attempt->part];
	if (part->last_sent_us != attempt->sent_us || !may_try(run, part))
		return;
	due_us = part->last_sent_us + hedge_after_us(gate, run, part);
	if (gate->now_us < due_us) {
		set_timer(gate, due_us, RR_TIMER_GATE_HEDGE, id);
		return;
	}
	rr_track_overdue(&attempt->endpoint->track, gate->now_us,
			 gate->now_us - attempt->sent_us,
			 rr_typical_us(gate, run->record, run->route));
	rr_note_overdue(ctx, gate, attempt->endpoint);
	if (rr_try_part(ctx, gate, run, attempt->part, "hedge")) {
		rr_count(ctx, RR_N_HEDGES, 1);
		return;
	}
	if (gate->now_us + gate->policy.hedge_check_us < run->end_us)
		set_timer(gate, gate->now_us + gate->policy.hedge_check_us,
			  RR_TIMER_GATE_HEDGE, id);
}

/*
 * The part has its answer: attempts still under way for it are ended.
 * Guards against replicas that work off, after a pause or a slow spell, what
 * nobody waits for any more, while what somebody waits for queues behind it.
 */
void rr_withdraw_losers(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_gate_run *run, size_t index)
{
	GList *next;

	for (GList *l = run->live.head; l; l = next) {
		struct rr_gate_attempt *attempt = l->data;

		next = l->next;
		if (attempt->part != index || !attempt->idempotent)
			continue;
		rr_track_overdue(&attempt->endpoint->track, gate->now_us,
				 gate->now_us - attempt->sent_us,
				 rr_typical_us(gate, run->record, run->route));
		withdraw(ctx, gate, attempt, "lost-to-another");
	}
}

/* Allow another attempt at a replica that an attempt was withdrawn from. */
static void forget_tried(struct rr_gate_part *part, uint64_t number)
{
	for (uint8_t i = 0; i < part->n_tried; i++) {
		if (part->tried[i] == number) {
			part->tried[i] = part->tried[--part->n_tried];
			return;
		}
	}
}

void rr_withdraw_others(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_gate_run *run,
			const struct rr_gate_attempt *kept, const char *reason)
{
	GList *next;

	for (GList *l = run->live.head; l; l = next) {
		struct rr_gate_attempt *attempt = l->data;

		next = l->next;
		if (attempt == kept || !attempt->idempotent)
			continue;
		forget_tried(&run->parts[attempt->part],
			     attempt->endpoint->number);
		withdraw(ctx, gate, attempt, reason);
	}
}

void rr_recall_unsent(struct rr_context *ctx, struct rr_gate *gate,
		      struct rr_gate_run *run)
{
	GList *next;

	for (GList *l = run->live.head; l; l = next) {
		struct rr_gate_attempt *attempt = l->data;

		next = l->next;
		if (!gate->actions.recall(gate->actions.data, attempt->id))
			continue;
		rr_note_attempt(gate, run, attempt, RR_TRAIL_WITHDRAWN,
				"not-sent-yet", 0);
		run->parts[attempt->part].n_run--;
		run->parts[attempt->part].n_arrived--;
		run->n_run--;
		rr_end_attempt(gate, attempt);
		rr_note_lost(ctx, gate, attempt->endpoint, RR_LOSS_SILENT);
		rr_free_attempt(attempt);
	}
}

void rr_leave_attempts(struct rr_context *ctx, struct rr_gate *gate,
		       struct rr_gate_run *run)
{
	GList *link;

	while ((link = g_queue_pop_head_link(&run->live))) {
		struct rr_gate_attempt *attempt = link->data;

		run->parts[attempt->part].n_live--;
		attempt->run = NULL;
		/*
		 * What may run once at most is never broken off: its end is
		 * worth knowing, and the replica stops at its deadline.
		 */
		if (attempt->idempotent)
			withdraw(ctx, gate, attempt, "request-over");
	}
}
