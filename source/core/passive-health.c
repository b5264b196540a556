/*
 * passive-health.c - slowness, loss rate and suspicion of one replica.
 */
#include "core/passive-health.h"

#include <glib.h>
#include <math.h>

/*
 * Bounds on the weight of a new sample.  About the last eight samples dominate
 * if they are frequent, the last three if they are rare.
 */
#define MIN_SAMPLE_WEIGHT 0.125
#define MAX_SAMPLE_WEIGHT 0.3
/* Bounds on a sample, since a pause of a replica says nothing of its speed. */
#define MIN_SLOWNESS 0.3
#define MAX_SLOWNESS 16.0
/* An attempt in flight is sampled from this multiple of the usual time on. */
#define OVERDUE_FACTOR 2.0
/* Half-life of observations: twice the usual length of a replica's pause. */
#define HALF_LIFE_US (2 * G_USEC_PER_SEC)
/*
 * How long an unreachable replica is suspected, unless a probe reaches it
 * before: at first a little longer than a pause, then doubling.
 */
#define FIRST_SUSPICION_US (400 * 1000)
#define MAX_SUSPICION_US (3 * G_USEC_PER_SEC)

void rr_init_passive_health(struct rr_passive_health *health)
{
	*health = (struct rr_passive_health){ .slowness = 1 };
}

/* Returns the remaining weight of an observation of that age. */
static double decay(int64_t age_us)
{
	return exp2(-(double)age_us / HALF_LIFE_US);
}

/*
 * The older the last sample, the more a new one weighs.  Guards against a slow
 * replica that an instance asks once in two seconds: at a fixed weight, what
 * one sample adds decays before the next, and every search finds the replica
 * slow again.
 */
static double sample_weight(int64_t last_us, int64_t now_us)
{
	double forgotten = last_us ? 1 - decay(now_us - last_us) : 1;

	return CLAMP(forgotten, MIN_SAMPLE_WEIGHT, MAX_SAMPLE_WEIGHT);
}

static void update_slowness(struct rr_passive_health *health, int64_t now_us,
			    double sample)
{
	double old = rr_decayed_slowness(health, now_us);

	sample = CLAMP(sample, MIN_SLOWNESS, MAX_SLOWNESS);
	health->slowness =
		old + sample_weight(health->slowness_sampled_us, now_us) *
			      (sample - old);
	health->slowness_sampled_us = now_us;
}

static void update_loss_rate(struct rr_passive_health *health, int64_t now_us,
			     double sample)
{
	double old = rr_decayed_loss_rate(health, now_us);

	health->loss_rate =
		old +
		sample_weight(health->loss_sampled_us, now_us) * (sample - old);
	health->loss_sampled_us = now_us;
}

void rr_observe_answer(struct rr_passive_health *health, int64_t now_us,
		       int64_t latency_us, int64_t typical_us)
{
	if (typical_us > 0)
		update_slowness(health, now_us,
				(double)latency_us / (double)typical_us);
	update_loss_rate(health, now_us, 0);
	rr_observe_contact(health, now_us);
}

void rr_observe_overdue(struct rr_passive_health *health, int64_t now_us,
			int64_t age_us, int64_t typical_us)
{
	double sample;

	if (typical_us <= 0)
		return;
	sample = (double)age_us / (double)typical_us;
	if (sample > OVERDUE_FACTOR &&
	    sample > rr_decayed_slowness(health, now_us))
		update_slowness(health, now_us, sample);
}

void rr_observe_unreachable(struct rr_passive_health *health, int64_t now_us)
{
	int64_t suspicion_us = FIRST_SUSPICION_US;

	if (health->suspected_until_us > now_us)
		return;
	for (uint32_t i = 0; i < health->consecutive_suspicions &&
			     suspicion_us < MAX_SUSPICION_US;
	     i++)
		suspicion_us *= 2;
	health->consecutive_suspicions++;
	health->suspected_until_us =
		now_us + MIN(suspicion_us, MAX_SUSPICION_US);
}

void rr_observe_loss(struct rr_passive_health *health, int64_t now_us,
		     enum rr_loss loss)
{
	update_loss_rate(health, now_us, 1);
	if (loss == RR_LOSS_UNREACHABLE)
		rr_observe_unreachable(health, now_us);
}

void rr_resume_silence_clock(struct rr_passive_health *health, int64_t now_us)
{
	health->in_flight_since_us = now_us;
}

int64_t rr_silence_us(const struct rr_passive_health *health, int64_t now_us)
{
	return health->accumulated_silence_us +
	       (health->in_flight_since_us ?
			now_us - health->in_flight_since_us :
			0);
}

void rr_pause_silence_clock(struct rr_passive_health *health, int64_t now_us)
{
	health->accumulated_silence_us = rr_silence_us(health, now_us);
	health->in_flight_since_us = 0;
}

void rr_observe_rejection(struct rr_passive_health *health, int64_t now_us)
{
	update_loss_rate(health, now_us, 1);
	rr_observe_contact(health, now_us);
}

void rr_observe_contact(struct rr_passive_health *health, int64_t now_us)
{
	health->accumulated_silence_us = 0;
	if (health->in_flight_since_us)
		health->in_flight_since_us = now_us;
	health->consecutive_suspicions = 0;
	health->suspected_until_us = 0;
}

double rr_decayed_slowness(const struct rr_passive_health *health,
			   int64_t now_us)
{
	if (!health->slowness_sampled_us)
		return 1;
	return 1 + (health->slowness - 1) *
			   decay(now_us - health->slowness_sampled_us);
}

double rr_decayed_loss_rate(const struct rr_passive_health *health,
			    int64_t now_us)
{
	return health->loss_rate * decay(now_us - health->loss_sampled_us);
}

bool rr_is_suspected(const struct rr_passive_health *health, int64_t now_us)
{
	return health->suspected_until_us > now_us;
}

void rr_observe_reachable(struct rr_passive_health *health)
{
	health->suspected_until_us = 0;
	health->accumulated_silence_us = 0;
}
