/*
 * gate-policy.h - what the gate decides by, in one place.
 *
 * Each mechanism can be varied or switched off here, by tests, emulator and
 * experiments; a deployment needs none of it: what differs between
 * deployments is observed.
 */
#ifndef RAGWORT_GATE_POLICY_H
#define RAGWORT_GATE_POLICY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* By type, the widest first: in the table they stand by what they are for. */
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
 * Set one of it by name; a switch is "on" or "off".  False if there is none
 * of that name, or the text is no value of its type.
 */
bool rr_set_gate_policy(struct rr_gate_policy *policy, const char *name,
			const char *text);
/* The names of its switches, in order, ending with NULL; static. */
const char *const *rr_gate_policy_switches(void);
/* Append the reference page of all of it, in Markdown, made from the table. */
void rr_format_policy_reference(GString *out);

#endif
