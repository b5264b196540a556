/*
 * member.h - which instances are live: SWIM-like membership.
 *
 * Each period a member pings one other at random; when no ack comes it asks a
 * few others to ping for it, then suspects, and after a while declares dead.
 * News rides on pings and acks.  A member refutes a false suspicion of itself
 * with a higher refutation number.  What a member sends does not grow with the
 * number of members, as it would with heartbeats to all.
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
	uint32_t probe_period_ms; /* 0: default 500 */
	uint32_t ack_timeout_ms;  /* 0: default 150 */
	uint32_t
		suspicion_timeout_ms; /* 0: default 2500, times log10 of the size */
	uint32_t ping_request_fanout; /* 0: default 3 */
	/*
	 * How long a dead member is remembered, and now and then pinged, so
	 * that two sides of a partition find each other again when it ends.
	 */
	uint32_t dead_retention_ms; /* 0: default an hour */
	/*
	 * Sends a ping, ack or ping request; the message is freed after the
	 * call.  `instance` is NULL for a seed whose name is not known yet.
	 */
	void (*send)(void *data, const char *instance, const char *address,
		     struct rr_peer_message *message);
	/* The set of usable members changed (alive or suspect). */
	void (*changed)(void *data);
	void *data;
};

struct rr_members;

struct rr_members *rr_new_members(struct rr_context *ctx,
				  const struct rr_members_options *options,
				  int64_t now_us);
void rr_drop_members(struct rr_members *members);

/*
 * Somebody said that there is an instance: it is pinged, and believed live
 * once it answered.  `instance` and `zone` are NULL where only an address is
 * known (seed peers); such a hint is kept for good.
 */
void rr_hint_member(struct rr_context *ctx, struct rr_members *members,
		    int64_t now_us, const char *instance, const char *zone,
		    const char *address);
/* Ping, ack and ping request; other kinds only prove that the sender lives. */
void rr_handle_member_message(struct rr_context *ctx,
			      struct rr_members *members, int64_t now_us,
			      const struct rr_peer_message *message);
void rr_tick_members(struct rr_context *ctx, struct rr_members *members,
		     int64_t now_us);
int64_t rr_members_wake_us(const struct rr_members *members);
/* Tell everyone that this instance is leaving. */
void rr_announce_leaving(struct rr_context *ctx, struct rr_members *members,
			 int64_t now_us);

/*
 * The members that may be sent work: alive or suspect, not leaving, and this
 * instance itself unless it is leaving.  Owned by `members`, valid until the
 * next call that takes it, sorted by instance name.
 */
const struct rr_member_ref *rr_usable_members(struct rr_members *members,
					      size_t *n_members);
/* A member's address and incarnation; false if it is not usable. */
bool rr_find_member(const struct rr_members *members, const char *instance,
		    const char **address, uint64_t *incarnation);
/*
 * All known, this instance first, with their states, for status: a new array
 * to g_free(); its strings are owned by `members`.
 */
struct rr_member_update *rr_list_members(const struct rr_members *members,
					 size_t *n_members);
bool rr_members_is_leaving(const struct rr_members *members);
/* Bytes of memory held for all members, for the experiments. */
size_t rr_members_bytes(const struct rr_members *members);

#endif
