/*
 * passive-health.h - passive health checks of one replica.
 *
 * Slowness, loss rate and reachability of a replica, as this instance observes
 * them on its own attempts.  What replicas report about themselves is not used,
 * since it lags or misleads.  Independent of requests and of their senders.
 */
#ifndef RAGWORT_CORE_PASSIVE_HEALTH_H
#define RAGWORT_CORE_PASSIVE_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

struct rr_passive_health {
	/* Ratio of its response time to the usual time of the same work. */
	double slowness;
	int64_t slowness_sampled_us; /* time of the last sample; 0: none */
	/* Fraction of attempts lost or rejected, at `loss_sampled_us`. */
	double loss_rate;
	int64_t loss_sampled_us; /* time of the last loss or response */
	/*
	 * Time with an attempt in flight since the last contact, not counting
	 * the time since `in_flight_since_us`.
	 */
	int64_t accumulated_silence_us;
	int64_t in_flight_since_us;	 /* 0: no attempt is in flight */
	uint32_t consecutive_suspicions; /* suspicions since the last contact */
	int64_t suspected_until_us;	 /* 0: not suspected */
};

/* Kinds of lost attempts. */
enum rr_loss {
	RR_LOSS_BROKEN, /* reset, truncated or malformed: replica is reachable */
	RR_LOSS_UNREACHABLE, /* no connection or no byte: it may be down */
};

/* Set the state of a replica of which nothing is known. */
void rr_init_passive_health(struct rr_passive_health *health);
/*
 * Record a response that took `latency_us`, where `typical_us` is usual; 0 if
 * the usual time is not known.
 */
void rr_observe_answer(struct rr_passive_health *health, int64_t now_us,
		       int64_t latency_us, int64_t typical_us);
/*
 * Record an attempt that has been in flight for `age_us`: it takes at least
 * that long.  Ignored unless `age_us` is well above `typical_us`.
 */
void rr_observe_overdue(struct rr_passive_health *health, int64_t now_us,
			int64_t age_us, int64_t typical_us);
/* Record a lost attempt. */
void rr_observe_loss(struct rr_passive_health *health, int64_t now_us,
		     enum rr_loss loss);
/*
 * Record that the replica could not be reached, by an attempt or a probe.
 * Unless it is already suspected, suspect it, for longer each time until the
 * next contact.
 */
void rr_observe_unreachable(struct rr_passive_health *health, int64_t now_us);
/*
 * Count the time without contact only while an attempt is in flight: resume
 * with the first one, pause when the last one ends.
 */
void rr_resume_silence_clock(struct rr_passive_health *health, int64_t now_us);
void rr_pause_silence_clock(struct rr_passive_health *health, int64_t now_us);
/* Return the time without contact while an attempt was in flight. */
int64_t rr_silence_us(const struct rr_passive_health *health, int64_t now_us);
/* Record a confirmed rejection for lack of capacity. */
void rr_observe_rejection(struct rr_passive_health *health, int64_t now_us);
/* Record contact: the replica is not suspected any more. */
void rr_observe_contact(struct rr_passive_health *health, int64_t now_us);

/*
 * Return its estimated slowness; 1 is the usual speed.  Observations decay with
 * time, since a replica that gets no more requests yields no observation of its
 * recovery.
 */
double rr_decayed_slowness(const struct rr_passive_health *health,
			   int64_t now_us);
/* Return its loss rate, 0 to 1, which decays like its slowness. */
double rr_decayed_loss_rate(const struct rr_passive_health *health,
			    int64_t now_us);
/* Whether it is suspected to be down, and is to get no attempts for now. */
bool rr_is_suspected(const struct rr_passive_health *health, int64_t now_us);
/*
 * Record a probe that reached the replica, which may get attempts again.  If it
 * is suspected again before it responds, the suspicion lasts longer.
 */
void rr_observe_reachable(struct rr_passive_health *health);

#endif
