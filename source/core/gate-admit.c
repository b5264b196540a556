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
		       const struct rr_gate_request *run,
		       const struct rr_gate_service *service)
{
	struct rr_overload_inputs outlook = {
		.now_us = gate->now_us,
		.answer_by_us = run->answer_by_us,
		.typical_us = service->typical_us,
	};

	if (rr_service_has_capacity(gate, service))
		return false;
	outlook.capacity = rr_service_capacity(gate, service);
	return rr_would_overload(&service->wait_queue, &outlook);
}

enum rr_admission rr_admit_request(const struct rr_gate *gate,
				   const struct rr_gate_request *run)
{
	size_t reachable = 0;
	size_t evacuated = 0;
	size_t overrun = 0;

	for (size_t i = 0; i < run->n_parts; i++) {
		const struct rr_gate_service *service = run->parts[i].service;

		if (!rr_is_service_reachable(gate, service)) {
			evacuated += rr_is_service_evacuated(service);
			continue;
		}
		reachable++;
		if (gate->policy.admit_by_wait &&
		    is_overrun(gate, run, service))
			overrun++;
	}
	if (reachable < run->n_required)
		return reachable + evacuated < run->n_required ?
			       RR_ADMIT_NO_REPLICA :
			       RR_ADMIT_EVACUATED;
	return reachable - overrun < run->n_required ? RR_ADMIT_OVERLOADED :
						       RR_ADMITTED;
}

void rr_earn_retry_budget(struct rr_gate *gate, struct rr_gate_request *run)
{
	for (size_t i = 0; i < run->n_parts; i++)
		rr_earn_extra(&run->parts[i].service->retry_budget,
			      gate->now_us);
}
