/*
 * member.h - group membership and failure detection, similar to SWIM.
 *
 * In each period a member pings one other member at random. If no ack arrives,
 * it asks a few others to ping that member, then marks it as suspect, and after
 * a timeout declares it dead. Updates are piggybacked on pings and acks. A
 * member refutes a false suspicion of itself with a higher refutation number.
 * Unlike with heartbeats to all, the amount a member sends does not grow with
 * the number of members.
 *
 * Source: A. Das, I. Gupta, A. Motivala: SWIM: Scalable Weakly-consistent
 * Infection-style Process Group Membership Protocol, 2002.
 */
#ifndef RAGWORT_MEMBER_H
#define RAGWORT_MEMBER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwort/context.h"
#include "ragwort/owner.h"
#include "ragwort/peer.h"

struct rr_members_options {
	const char *instance;
	const char *zone;
	const char *address;
	uint64_t incarnation;
	uint32_t probe_period_ms; /* 0: default of 500 */
	uint32_t ack_timeout_ms;  /* 0: default of 150 */
	/* 0: default of 2500; multiplied by log10 of the number of members */
	uint32_t suspicion_timeout_ms;
	uint32_t ping_request_fanout; /* 0: default of 3 */
	/*
	 * Time that a dead member is kept and occasionally pinged, so that the
	 * two sides of a partition find each other when it ends.
	 */
	uint32_t dead_retention_ms; /* 0: default of one hour */
	/*
	 * Sends a ping, ack or ping request; the message is freed after the
	 * call. `instance` is NULL for a seed whose name is not known yet.
	 */
	void (*send)(void *data, const char *instance, const char *address,
		     struct rr_peer_message *message);
	/* Called when the set of usable members (alive or suspect) changed. */
	void (*changed)(void *data);
	void *data;
};

struct rr_members;

struct rr_members *rr_new_members(struct rr_context *ctx,
				  const struct rr_members_options *options,
				  int64_t now_us);
void rr_drop_members(struct rr_members *members);

/*
 * Report that an instance may exist: it is pinged, and considered alive once it
 * answers. `instance` and `zone` are NULL if only an address is known (seed
 * peers); such a hint is never removed.
 */
void rr_hint_member(struct rr_context *ctx, struct rr_members *members,
		    int64_t now_us, const char *instance, const char *zone,
		    const char *address);
/*
 * Handle a ping, ack or ping request. Messages of other kinds only prove that
 * the sender is alive.
 */
void rr_handle_member_message(struct rr_context *ctx,
			      struct rr_members *members, int64_t now_us,
			      const struct rr_peer_message *message);
void rr_tick_members(struct rr_context *ctx, struct rr_members *members,
		     int64_t now_us);
int64_t rr_members_wake_us(const struct rr_members *members);
/* Announce to other members that this instance is leaving. */
void rr_announce_leaving(struct rr_context *ctx, struct rr_members *members,
			 int64_t now_us);

/*
 * Return the members that may be sent work, sorted by instance name: alive or
 * suspect, not leaving; this instance itself is included unless it is leaving.
 * The array is owned by `members` and valid until the next call with a
 * non-const `members`.
 */
const struct rr_member_ref *rr_usable_members(struct rr_members *members,
					      size_t *n_members);
/*
 * Look up a member's address and incarnation; return false if it is not usable.
 */
bool rr_find_member(const struct rr_members *members, const char *instance,
		    const char **address, uint64_t *incarnation);
/*
 * Return all known members with their states for status output, this instance
 * first: a new array to be released with g_free(). Its strings are owned by
 * `members`.
 */
struct rr_member_update *rr_list_members(const struct rr_members *members,
					 size_t *n_members);
bool rr_members_is_leaving(const struct rr_members *members);
/*
 * Return the approximate memory in bytes used for all members; for benchmarks.
 */
size_t rr_members_bytes(const struct rr_members *members);

#endif
