/*
 * gate-loop-delay.c - this instance's own delay is not the silence of others.
 *
 * While the loop is busy, its process is frozen or its share of the processor
 * is used up, answers lie unread.  That time counts for nothing: not for how
 * long an attempt takes, nor for how long a replica or zone is silent.
 */
#include "core/gate-private.h"

/* Delays of so long are told; shorter ones are counted only. */
#define TOLD_US (50 * 1000)

/* Not later than now: what began meanwhile was delayed by less. */
static int64_t later_by(int64_t since_us, int64_t delay_us, int64_t now_us)
{
	return since_us ? MIN(since_us + delay_us, now_us) : 0;
}

static void excuse_track(struct rr_passive_health *track, int64_t delay_us,
			 int64_t now_us)
{
	track->open_since_us = later_by(track->open_since_us, delay_us, now_us);
}

static void excuse_zones(struct rr_gate *gate, int64_t delay_us)
{
	for (guint i = 0; i < gate->zones->len; i++) {
		struct rr_gate_zone *zone = g_ptr_array_index(gate->zones, i);

		excuse_track(&zone->track, delay_us, gate->now_us);
		zone->suspected_us =
			later_by(zone->suspected_us, delay_us, gate->now_us);
		zone->last_contact_us =
			later_by(zone->last_contact_us, delay_us, gate->now_us);
	}
}

static void excuse_endpoints(struct rr_gate *gate, int64_t delay_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gate->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		excuse_track(&((struct rr_endpoint *)value)->track, delay_us,
			     gate->now_us);
}

static void excuse_attempts(struct rr_gate *gate, int64_t delay_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gate->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rr_gate_attempt *attempt = value;

		attempt->sent_us =
			later_by(attempt->sent_us, delay_us, gate->now_us);
	}
}

static void excuse_parts(struct rr_gate *gate, int64_t delay_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gate->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rr_gate_request *run = value;

		for (size_t i = 0; i < run->n_parts; i++)
			run->parts[i].last_sent_us =
				later_by(run->parts[i].last_sent_us, delay_us,
					 gate->now_us);
	}
}

void rr_gate_report_stall(struct rr_context *ctx, struct rr_gate *gate,
			  int64_t now_us, int64_t delay_us)
{
	gate->now_us = now_us;
	rr_count(ctx, RR_N_LOOP_STALLS, 1);
	if (delay_us >= TOLD_US)
		rr_log(ctx, RR_LOG_INFO, "held-up",
		       RR_FIELD_I64("delay_us", delay_us),
		       RR_FIELD_U64("attempts",
				    g_hash_table_size(gate->attempts)));
#ifndef RR_MUTANT_GATE_BLAMES_OTHERS
	excuse_zones(gate, delay_us);
	excuse_endpoints(gate, delay_us);
	excuse_attempts(gate, delay_us);
	excuse_parts(gate, delay_us);
#endif
}
