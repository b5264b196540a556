/*
 * gate-loop-delay.c - compensation for delays of this instance's event loop.
 *
 * While the event loop is busy, the process is stopped or its CPU quota is
 * exhausted, responses stay unread.  That time is excluded from the duration of
 * attempts and from the time without contact of replicas and zones.
 */
#include "core/gate-private.h"

/* Delays of at least this length are logged; all are counted. */
#define MIN_LOGGED_US (50 * 1000)

/*
 * Moves a time by the delay, but not past now: what started during the delay
 * was delayed by less.  0 means unset.
 */
static int64_t add_delay(int64_t since_us, int64_t delay_us, int64_t now_us)
{
	return since_us ? MIN(since_us + delay_us, now_us) : 0;
}

static void shift_health(struct rr_passive_health *health, int64_t delay_us,
			 int64_t now_us)
{
	health->in_flight_since_us =
		add_delay(health->in_flight_since_us, delay_us, now_us);
}

static void shift_zones(struct rr_gate *gate, int64_t delay_us)
{
	for (guint i = 0; i < gate->zones->len; i++) {
		struct rr_gate_zone *zone = g_ptr_array_index(gate->zones, i);

		shift_health(&zone->health, delay_us, gate->now_us);
		zone->suspected_us =
			add_delay(zone->suspected_us, delay_us, gate->now_us);
		zone->last_contact_us = add_delay(zone->last_contact_us,
						  delay_us, gate->now_us);
	}
}

static void shift_endpoints(struct rr_gate *gate, int64_t delay_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gate->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		shift_health(&((struct rr_endpoint *)value)->health, delay_us,
			     gate->now_us);
}

static void shift_attempts(struct rr_gate *gate, int64_t delay_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gate->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rr_gate_attempt *attempt = value;

		attempt->sent_us =
			add_delay(attempt->sent_us, delay_us, gate->now_us);
	}
}

static void shift_parts(struct rr_gate *gate, int64_t delay_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gate->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rr_gate_request *req = value;

		for (size_t i = 0; i < req->n_parts; i++)
			req->parts[i].last_sent_us =
				add_delay(req->parts[i].last_sent_us, delay_us,
					  gate->now_us);
	}
}

void rr_gate_report_stall(struct rr_context *ctx, struct rr_gate *gate,
			  int64_t now_us, int64_t delay_us)
{
	gate->now_us = now_us;
	rr_count(ctx, RR_N_LOOP_STALLS, 1);
	if (delay_us >= MIN_LOGGED_US)
		rr_log(ctx, RR_LOG_INFO, "held-up",
		       RR_FIELD_I64("delay_us", delay_us),
		       RR_FIELD_U64("attempts",
				    g_hash_table_size(gate->attempts)));
	if (gate->allowances)
		rr_allowances_report_stall(gate->allowances, now_us, delay_us);
#ifndef RR_MUTANT_GATE_BLAMES_OTHERS
	shift_zones(gate, delay_us);
	shift_endpoints(gate, delay_us);
	shift_attempts(gate, delay_us);
	shift_parts(gate, delay_us);
#endif
}
