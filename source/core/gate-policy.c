/*
 * gate-policy.c - the gate's policy parameters, set and listed by name.
 */
#include "ragwort/gate-policy.h"

#include <stddef.h>
#include <string.h>

enum policy_type {
	POLICY_TIME,
	POLICY_NUMBER,
	POLICY_COUNT,
	POLICY_SWITCH,
};

struct policy_entry {
	const char *name;
	enum policy_type type;
	size_t offset;
	double value; /* default */
	const char *unit;
	const char *help;
};

#define ENTRY(name, type, value, unit, help)                        \
	{                                                           \
		#name, type, offsetof(struct rr_gate_policy, name), \
		value, unit, help                                   \
	},

static const struct policy_entry entries[] = {
#define RR_POLICY_TIME(name, value, help) \
	ENTRY(name, POLICY_TIME, value, "us", help)
#define RR_POLICY_NUMBER(name, value, unit, help) \
	ENTRY(name, POLICY_NUMBER, value, unit, help)
#define RR_POLICY_COUNT(name, value, unit, help) \
	ENTRY(name, POLICY_COUNT, value, unit, help)
#define RR_POLICY_SWITCH(name, value, help) \
	ENTRY(name, POLICY_SWITCH, value, "on or off", help)
#include "ragwort/gate-policy-list.h"
};

static void set_parameter(struct rr_gate_policy *policy,
			  const struct policy_entry *entry, double value)
{
	void *place = (char *)policy + entry->offset;

	switch (entry->type) {
	case POLICY_TIME:
		*(int64_t *)place = (int64_t)value;
		break;
	case POLICY_NUMBER:
		*(double *)place = value;
		break;
	case POLICY_COUNT:
		*(uint32_t *)place = (uint32_t)value;
		break;
	case POLICY_SWITCH:
		*(bool *)place = value != 0;
		break;
	}
}

void rr_init_gate_policy(struct rr_gate_policy *policy)
{
	for (size_t i = 0; i < G_N_ELEMENTS(entries); i++)
		set_parameter(policy, &entries[i], entries[i].value);
}

static bool parse_switch(const char *text, double *value)
{
	*value = !strcmp(text, "on");
	return *value != 0 || !strcmp(text, "off");
}

static bool parse_value(const struct policy_entry *entry, const char *text,
			double *value)
{
	char *end;

	if (entry->type == POLICY_SWITCH)
		return parse_switch(text, value);
	*value = g_ascii_strtod(text, &end);
	return end != text && !*end && *value >= 0 && *value <= G_MAXUINT32;
}

bool rr_set_gate_policy(struct rr_gate_policy *policy, const char *name,
			const char *text)
{
	double value;

	for (size_t i = 0; i < G_N_ELEMENTS(entries); i++) {
		if (strcmp(entries[i].name, name))
			continue;
		if (!parse_value(&entries[i], text, &value))
			return false;
		set_parameter(policy, &entries[i], value);
		return true;
	}
	return false;
}

const char *const *rr_gate_policy_switches(void)
{
	static const char *names[G_N_ELEMENTS(entries) + 1];
	size_t n = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(entries); i++) {
		if (entries[i].type == POLICY_SWITCH)
			names[n++] = entries[i].name;
	}
	names[n] = NULL;
	return names;
}

static void append_default(GString *out, const struct policy_entry *entry)
{
	if (entry->type == POLICY_SWITCH)
		g_string_append(out, entry->value != 0 ? "on" : "off");
	else
		g_string_append_printf(out, "%.10g", entry->value);
}

void rr_format_policy_reference(GString *out)
{
	g_string_append(
		out,
		"# Policy of the gateway\n\n"
		"Made from include/ragwort/gate-policy-list.h by "
		"`make reference`. These parameters are not settings:\n"
		"differences between deployments are measured at run time. "
		"`build/bench/gate` varies them.\n\n"
		"| name | default | unit | what it does |\n| --- | --- | --- | --- |\n");
	for (size_t i = 0; i < G_N_ELEMENTS(entries); i++) {
		g_string_append_printf(out, "| `%s` | ", entries[i].name);
		append_default(out, &entries[i]);
		g_string_append_printf(out, " | %s | %s |\n", entries[i].unit,
				       entries[i].help);
	}
}
