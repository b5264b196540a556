/*
 * passive-health.c - slowness, losses and suspicion of one replica.
 */
#include "core/passive-health.h"

#include <glib.h>
#include <math.h>

/* Weight of a new sample: the last eight or so decide. */
#define SLOWNESS_WEIGHT 0.125
#define LOSS_WEIGHT 0.125
/* Bounds on one sample: a pause of a replica is no measure of its speed. */
#define LEAST_SLOWNESS 0.3
#define MOST_SLOWNESS 16.0
/* An open attempt counts from this much more than usual on. */
#define OVERDUE_FACTOR 2.0
/* What was seen is worth half after this: twice a replica's usual pause. */
#define FADE_HALF_US (2 * G_USEC_PER_SEC)
/*
 * How long a silent replica is left alone, unless a probe reaches it before:
 * first a little more than a pause, then doubling.
 */
#define FIRST_SUSPICION_US (400 * 1000)
#define MOST_SUSPICION_US (3 * G_USEC_PER_SEC)

void rr_init_passive_health(struct rr_passive_health *track)
{
	*track = (struct rr_passive_health){ .slowness = 1 };
}

static void mix_slowness(struct rr_passive_health *track, int64_t now_us,
			 double sample)
{
	double old = rr_decayed_slowness(track, now_us);

	sample = CLAMP(sample, LEAST_SLOWNESS, MOST_SLOWNESS);
	track->slowness = old + SLOWNESS_WEIGHT * (sample - old);
	track->slowness_sampled_us = now_us;
}

static void mix_losses(struct rr_passive_health *track, int64_t now_us,
		       double sample)
{
	double old = rr_decayed_loss_rate(track, now_us);

	track->loss_rate = old + LOSS_WEIGHT * (sample - old);
	track->loss_sampled_us = now_us;
}

void rr_observe_answer(struct rr_passive_health *track, int64_t now_us,
		       int64_t took_us, int64_t typical_us)
{
	if (typical_us > 0)
		mix_slowness(track, now_us,
			     (double)took_us / (double)typical_us);
	mix_losses(track, now_us, 0);
	rr_observe_contact(track, now_us);
}

void rr_observe_overdue(struct rr_passive_health *track, int64_t now_us,
			int64_t age_us, int64_t typical_us)
{
	double sample;

	if (typical_us <= 0)
		return;
	sample = (double)age_us / (double)typical_us;
	if (sample > OVERDUE_FACTOR &&
	    sample > rr_decayed_slowness(track, now_us))
		mix_slowness(track, now_us, sample);
}

void rr_observe_unreachable(struct rr_passive_health *track, int64_t now_us)
{
	int64_t wait_us = FIRST_SUSPICION_US;

	if (track->suspected_until_us > now_us)
		return;
	for (uint32_t i = 0;
	     i < track->consecutive_silences && wait_us < MOST_SUSPICION_US;
	     i++)
		wait_us *= 2;
	track->consecutive_silences++;
	track->suspected_until_us = now_us + MIN(wait_us, MOST_SUSPICION_US);
}

void rr_observe_loss(struct rr_passive_health *track, int64_t now_us,
		     enum rr_loss loss)
{
	mix_losses(track, now_us, 1);
	if (loss == RR_LOSS_UNREACHABLE)
		rr_observe_unreachable(track, now_us);
}

void rr_resume_silence_clock(struct rr_passive_health *track, int64_t now_us)
{
	track->open_since_us = now_us;
}

int64_t rr_silence_us(const struct rr_passive_health *track, int64_t now_us)
{
	return track->silent_us +
	       (track->open_since_us ? now_us - track->open_since_us : 0);
}

void rr_pause_silence_clock(struct rr_passive_health *track, int64_t now_us)
{
	track->silent_us = rr_silence_us(track, now_us);
	track->open_since_us = 0;
}

void rr_observe_rejection(struct rr_passive_health *track, int64_t now_us)
{
	mix_losses(track, now_us, 1);
	rr_observe_contact(track, now_us);
}

void rr_observe_contact(struct rr_passive_health *track, int64_t now_us)
{
	track->silent_us = 0;
	if (track->open_since_us)
		track->open_since_us = now_us;
	track->consecutive_silences = 0;
	track->suspected_until_us = 0;
}

/* What is left of something seen that long ago. */
static double fade(int64_t age_us)
{
	return exp2(-(double)age_us / FADE_HALF_US);
}

double rr_decayed_slowness(const struct rr_passive_health *track,
			   int64_t now_us)
{
	if (!track->slowness_sampled_us)
		return 1;
	return 1 + (track->slowness - 1) *
			   fade(now_us - track->slowness_sampled_us);
}

double rr_decayed_loss_rate(const struct rr_passive_health *track,
			    int64_t now_us)
{
	return track->loss_rate * fade(now_us - track->loss_sampled_us);
}

bool rr_is_suspected(const struct rr_passive_health *track, int64_t now_us)
{
	return track->suspected_until_us > now_us;
}

void rr_observe_reachable(struct rr_passive_health *track)
{
	track->suspected_until_us = 0;
	track->silent_us = 0;
}
