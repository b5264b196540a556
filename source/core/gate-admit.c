/*
 * gate-admit.c - admission control of requests by the load on their services.
 *
 * During a burst, or after the loss of many replicas, the load may exceed the
 * capacity of some services.  A request admitted then waits, misses its
 * objective and uses capacity that others need.  One that is rejected at once
 * can be retried, here or elsewhere, while it still has time.
 */
#include "core/gate-private.h"

/*
 * Whether the load on a service exceeds the capacity of its replicas: queued
 * parts have waited too long, or one more would.
 */
static bool is_overloaded(const struct rr_gate *gate,
			  const struct rr_gate_request *req,
			  const struct rr_gate_service *service)
{
	struct rr_overload_inputs inputs = {
		.now_us = gate->now_us,
		.answer_by_us = req->answer_by_us,
		.typical_us = service->typical_us,
	};

	if (rr_service_has_capacity(gate, service))
		return false;
	inputs.capacity = rr_service_capacity(gate, service);
	return rr_would_overload(&service->wait_queue, &inputs);
}

enum rr_admission rr_admit_request(const struct rr_gate *gate,
				   const struct rr_gate_request *req)
{
	size_t n_reachable = 0;
	size_t n_evacuated = 0;
	size_t n_overloaded = 0;

	for (size_t i = 0; i < req->n_parts; i++) {
		const struct rr_gate_service *service = req->parts[i].service;

		if (!rr_is_service_reachable(gate, service)) {
			n_evacuated += rr_is_service_evacuated(service);
			continue;
		}
		n_reachable++;
		if (gate->policy.admit_by_wait &&
		    is_overloaded(gate, req, service))
			n_overloaded++;
	}
	if (n_reachable < req->n_required)
		return n_reachable + n_evacuated < req->n_required ?
			       RR_ADMIT_NO_REPLICA :
			       RR_ADMIT_EVACUATED;
	return n_reachable - n_overloaded < req->n_required ?
		       RR_ADMIT_OVERLOADED :
		       RR_ADMITTED;
}

void rr_earn_retry_budget(struct rr_gate *gate, struct rr_gate_request *req)
{
	for (size_t i = 0; i < req->n_parts; i++)
		rr_earn_extra(&req->parts[i].service->retry_budget,
			      gate->now_us);
}
