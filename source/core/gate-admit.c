/*
 * gate-admit.c - whether a request is taken, by the load on the services that
 * it needs.
 *
 * Load it answers: more comes than the replicas of some services can do, as
 * in a burst, or after many of them went.  What is taken then waits, misses
 * its objective and uses room that others need; what is refused at once can
 * come back, or go elsewhere, while it still has time.
 */
#include "core/gate-private.h"

/*
 * Whether more work comes for a service than its replicas can do: some has
 * waited too long, or one more would.
 */
static bool is_overrun(const struct rr_gate *gate,
		       const struct rr_gate_run *run,
		       const struct rr_gate_service *service)
{
	struct rr_wait_outlook outlook = {
		.now_us = gate->now_us,
		.cut_us = run->cut_us,
		.typical_us = service->typical_us,
	};

	if (rr_service_has_room(gate, service))
		return false;
	outlook.capacity = rr_service_capacity(gate, service);
	return rr_would_overrun(&service->waiting, &outlook);
}

enum rr_admission rr_admit_run(const struct rr_gate *gate,
			       const struct rr_gate_run *run)
{
	size_t reachable = 0;
	size_t evacuated = 0;
	size_t overrun = 0;

	for (size_t i = 0; i < run->n_parts; i++) {
		const struct rr_gate_service *service = run->parts[i].service;

		if (!rr_service_reachable(gate, service)) {
			evacuated += rr_is_service_evacuated(service);
			continue;
		}
		reachable++;
		if (gate->policy.admit_by_wait &&
		    is_overrun(gate, run, service))
			overrun++;
	}
	if (reachable < run->least)
		return reachable + evacuated < run->least ? RR_NO_REPLICA :
							    RR_EVACUATED;
	return reachable - overrun < run->least ? RR_NO_ROOM : RR_ADMITTED;
}

void rr_earn_extras(struct rr_gate *gate, struct rr_gate_run *run)
{
	for (size_t i = 0; i < run->n_parts; i++)
		rr_earn_extra(&run->parts[i].service->extras, gate->now_us);
}
