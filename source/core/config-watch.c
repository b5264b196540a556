/*
 * config-watch.c - selection of the instances that watch the configuration
 * record: those of each zone with the highest rendezvous weights.
 */
#include "core/core-private.h"
#include "ragwort/owner.h"

#define WATCH_HASH_KEY "config-watch"

bool rr_core_is_config_watcher(const struct rr_core *core, uint32_t per_zone)
{
	uint64_t weight = rr_rendezvous_weight(WATCH_HASH_KEY, core->instance);
	uint32_t n_preceding = 0;

	for (size_t i = 0; i < core->n_members; i++) {
		const struct rr_member_ref *member = &core->member_refs[i];

		if (!g_strcmp0(member->zone, core->zone) &&
		    rr_rendezvous_weight(WATCH_HASH_KEY, member->instance) >
			    weight)
			n_preceding++;
	}
	return n_preceding < per_zone;
}
