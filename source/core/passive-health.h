/*
 * passive-health.h - what an instance has seen of one replica itself: how slow it is,
 * how often its answers are lost, whether it seems gone.
 *
 * A leaf: it knows neither requests nor who sends them.  Reports of replicas
 * about themselves lag or mislead, so none goes in here.
 */
#ifndef RAGWORT_CORE_TRACK_H
#define RAGWORT_CORE_TRACK_H

#include <stdbool.h>
#include <stdint.h>

struct rr_passive_health {
	/* Time of its answers against the usual time of the same work. */
	double slowness;
	int64_t slowness_sampled_us; /* when that was last told; 0: never */
	/* Share of attempts without a usable answer, when last told. */
	double loss_rate;
	int64_t loss_sampled_us;
	/*
	 * How long it has been silent: time with an attempt open, since its
	 * last sign of life.
	 */
	int64_t silent_us;
	int64_t open_since_us; /* 0: no attempt is open */
	uint32_t consecutive_silences;
	int64_t suspected_until_us;
};

/* How a loss showed. */
enum rr_loss {
	RR_LOSS_BROKEN, /* reset, cut short or garbled: the replica is there */
	RR_LOSS_UNREACHABLE, /* no connection or no byte: it may be gone */
};

void rr_init_passive_health(struct rr_passive_health *track);
/* An answer took `took_us`, where `typical_us` is usual (0: not known). */
void rr_observe_answer(struct rr_passive_health *track, int64_t now_us,
		       int64_t took_us, int64_t typical_us);
/* As above for one that is still open: it takes at least that. */
void rr_observe_overdue(struct rr_passive_health *track, int64_t now_us,
			int64_t age_us, int64_t typical_us);
void rr_observe_loss(struct rr_passive_health *track, int64_t now_us,
		     enum rr_loss loss);
/* A probe did not reach it either. */
void rr_observe_unreachable(struct rr_passive_health *track, int64_t now_us);
/* Its first open attempt begins, or its last one ends. */
void rr_resume_silence_clock(struct rr_passive_health *track, int64_t now_us);
void rr_pause_silence_clock(struct rr_passive_health *track, int64_t now_us);
/* How long it has been silent with an attempt open. */
int64_t rr_silence_us(const struct rr_passive_health *track, int64_t now_us);
/* It refused for want of room, with proof. */
void rr_observe_rejection(struct rr_passive_health *track, int64_t now_us);
/* Seen anew after it seemed gone, by another sign than an answer. */
void rr_observe_contact(struct rr_passive_health *track, int64_t now_us);

/*
 * How slow it is believed to be, 1 as usual.  What was seen fades with time:
 * nothing else would tell that a replica, which is no longer asked, is well.
 */
double rr_decayed_slowness(const struct rr_passive_health *track,
			   int64_t now_us);
/* The share of attempts that it loses; what was seen fades as above. */
double rr_decayed_loss_rate(const struct rr_passive_health *track,
			    int64_t now_us);
/* Whether it seems gone: nothing is expected of it until it is tried anew. */
bool rr_is_suspected(const struct rr_passive_health *track, int64_t now_us);
/*
 * It was reached by a probe: it may be tried again.  Suspected once more
 * before it answers, it is left alone for longer.
 */
void rr_observe_reachable(struct rr_passive_health *track);

#endif
