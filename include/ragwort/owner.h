/*
 * owner.h - selection of the instances that hold connections to a replica.
 *
 * Rendezvous hashing over the live instances of the replica's availability
 * zone: all instances with the same member list compute the same owners, and a
 * member that joins or leaves moves only its own share. No agreement is needed:
 * a differing member list costs an extra hop or a rejected connection, but
 * breaks no guarantee.
 */
#ifndef RAGWORT_OWNER_H
#define RAGWORT_OWNER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Maximum number of owners per replica; the limit of the setting is the same.
 */
#define RR_MAX_OWNERS 16

struct rr_member_ref {
	const char *instance;
	const char *zone;
	/*
	 * rr_hash_name() of both names, so that they are hashed once for all
	 * replicas; 0 if not precomputed.
	 */
	uint64_t instance_hash;
	uint64_t zone_hash;
};

uint64_t rr_hash_name(const char *name);

/*
 * Write up to `k` owners of a replica into `owners`, as indices into `members`
 * in descending order of weight, and return their number. Only members of
 * `replica_zone` are considered; if that zone has none, members of all zones.
 * `name` is hashed: the core passes the shard's path, so that all replicas of a
 * shard in one zone have the same owners, which can choose and hedge between
 * them.
 */
size_t rr_find_owners(const char *name, const char *replica_zone,
		      const struct rr_member_ref *members, size_t n_members,
		      size_t k, size_t *owners);

/* Return the rendezvous weight of one instance for a replica or other name. */
uint64_t rr_rendezvous_weight(const char *name, const char *instance);

#endif
