/*
 * gate-policy.h - parameters of the gate's decisions.
 *
 * Tests, the emulator and experiments can vary or switch off each mechanism
 * here.  Deployments do not set any of it: differences between deployments are
 * measured at run time.
 */
#ifndef RAGWORT_GATE_POLICY_H
#define RAGWORT_GATE_POLICY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Ordered by type, the widest first; gate-policy-list.h orders by purpose. */
struct rr_gate_policy {
#define RR_POLICY_TIME(name, value, help) int64_t name;
#define RR_POLICY_NUMBER(name, value, unit, help) double name;
#define RR_POLICY_COUNT(name, value, unit, help)
#define RR_POLICY_SWITCH(name, value, help)
#include "ragwort/gate-policy-list.h"
#undef RR_POLICY_TIME
#undef RR_POLICY_NUMBER
#undef RR_POLICY_COUNT
#undef RR_POLICY_SWITCH
#define RR_POLICY_TIME(name, value, help)
#define RR_POLICY_NUMBER(name, value, unit, help)
#define RR_POLICY_COUNT(name, value, unit, help) uint32_t name;
#define RR_POLICY_SWITCH(name, value, help)
#include "ragwort/gate-policy-list.h"
#undef RR_POLICY_COUNT
#undef RR_POLICY_SWITCH
#define RR_POLICY_COUNT(name, value, unit, help)
#define RR_POLICY_SWITCH(name, value, help) bool name;
#include "ragwort/gate-policy-list.h"
#undef RR_POLICY_TIME
#undef RR_POLICY_NUMBER
#undef RR_POLICY_COUNT
#undef RR_POLICY_SWITCH
};

void rr_init_gate_policy(struct rr_gate_policy *policy);
/*
 * Set a parameter by name; a switch is "on" or "off".  Returns false if the
 * name is unknown or the text is not a valid value of its type.
 */
bool rr_set_gate_policy(struct rr_gate_policy *policy, const char *name,
			const char *text);
/* Return the names of the switches in order, a static NULL-terminated array. */
const char *const *rr_gate_policy_switches(void);
/* Append a reference page of all parameters in Markdown. */
void rr_format_policy_reference(GString *out);

#endif
