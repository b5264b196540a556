/*
 * error.c - GError domain and names of request kinds, outcomes and reasons.
 */
#include "ragwort/error.h"
#include "ragwort/request.h"

GQuark rr_error_quark(void)
{
	return g_quark_from_static_string("ragwort-error");
}

const char *rr_missing_reason_name(enum rr_missing_reason reason)
{
	static const char *const names[RR_MISSING_REASON_COUNT] = {
		[RR_MISSING_NONE] = "none",
		[RR_MISSING_NO_REPLICA] = "no-replica",
		[RR_MISSING_DEADLINE] = "deadline",
		[RR_MISSING_SHED] = "shed",
		[RR_MISSING_LOST] = "lost",
		[RR_MISSING_VERSION] = "version-not-held",
		[RR_MISSING_TRUNCATED] = "truncated",
		[RR_MISSING_MOVED] = "moved",
		[RR_MISSING_UNREACHABLE_ZONE] = "zone-unreachable",
		[RR_MISSING_MIN_COVERAGE] = "enough",
	};

	if ((unsigned int)reason >= RR_MISSING_REASON_COUNT)
		return "invalid";
	return names[reason];
}

const char *rr_request_kind_name(enum rr_request_kind kind)
{
	switch (kind) {
	case RR_SEARCH:
		return "search";
	case RR_LOOKUP:
		return "lookup";
	case RR_RESERVE:
		return "reserve";
	case RR_LIST:
		return "list";
	}
	return "search";
}

const char *rr_outcome_name(enum rr_outcome outcome)
{
	switch (outcome) {
	case RR_COMPLETE:
		return "complete";
	case RR_PARTIAL:
		return "partial";
	case RR_NOT_RUN:
		return "not-run";
	case RR_UNKNOWN:
		return "unknown";
	case RR_INVALID:
		return "invalid";
	case RR_GONE:
		return "gone";
	}
	return "invalid";
}
