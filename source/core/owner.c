/*
 * owner.c - rendezvous hashing of replicas over live instances.
 */
#include "ragwort/owner.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/*
 * Arbitrary odd multipliers; the shifts in mix_weight() spread high bits to low
 * ones.
 */
#define MIX_FIRST UINT64_C(0x9e3779b97f4a7c15)
#define MIX_SECOND UINT64_C(0xbf58476d1ce4e5b9)

uint64_t rr_hash_name(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

/*
 * Compute the weight from two hashes: mixing the hash of the name with that of
 * each instance costs a tenth of hashing both strings again for every pair.
 */
static uint64_t mix_weight(uint64_t name_hash, uint64_t instance_hash)
{
	uint64_t weight = name_hash * MIX_FIRST ^ instance_hash;

	weight = (weight ^ weight >> 32) * MIX_SECOND;
	weight = (weight ^ weight >> 29) * MIX_FIRST;
	return weight ^ weight >> 32;
}

uint64_t rr_rendezvous_weight(const char *name, const char *instance)
{
	return mix_weight(rr_hash_name(name), rr_hash_name(instance));
}

/*
 * Insert a candidate into the k best, in descending order of weight. Returns
 * the new count.
 */
static size_t insert_owner(size_t *owners, uint64_t *weights, size_t n,
			   size_t k, size_t candidate, uint64_t weight)
{
	size_t at = n;

	while (at > 0 && weights[at - 1] < weight)
		at--;
	if (at >= k)
		return n;
	if (n < k)
		n++;
	for (size_t i = n - 1; i > at; i--) {
		owners[i] = owners[i - 1];
		weights[i] = weights[i - 1];
	}
	owners[at] = candidate;
	weights[at] = weight;
	return n;
}

static uint64_t get_or_compute_hash(uint64_t precomputed, const char *name)
{
	return precomputed ? precomputed : rr_hash_name(name);
}

/*
 * Find the owners among the members of one zone; of all zones if `zone_hash` is
 * 0.
 */
static size_t find_in_zone(const char *name, uint64_t zone_hash,
			   const struct rr_member_ref *members,
			   size_t n_members, size_t k, size_t *owners)
{
	uint64_t key_hash = rr_hash_name(name);
	uint64_t weights[RR_MAX_OWNERS];
	size_t n = 0;

	for (size_t i = 0; i < n_members; i++) {
		const struct rr_member_ref *member = &members[i];
		uint64_t weight;

		if (zone_hash &&
		    zone_hash != get_or_compute_hash(member->zone_hash,
						     member->zone))
			continue;
		weight = mix_weight(key_hash,
				    get_or_compute_hash(member->instance_hash,
							member->instance));
#ifdef RR_MUTANT_OWNER_MODULO
		weight = (i + key_hash) % n_members;
#endif
		n = insert_owner(owners, weights, n, k, i, weight);
	}
	return n;
}

size_t rr_find_owners(const char *name, const char *replica_zone,
		      const struct rr_member_ref *members, size_t n_members,
		      size_t k, size_t *owners)
{
	size_t n;

	k = MIN(k, RR_MAX_OWNERS);
	if (!k)
		return 0;
	n = find_in_zone(name, rr_hash_name(replica_zone), members, n_members,
			 k, owners);
	if (n)
		return n;
	return find_in_zone(name, 0, members, n_members, k, owners);
}
