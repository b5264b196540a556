/*
 * test-explain.c - `ragwort explain` as the engineer on call runs it: from a
 * failed request's id and logs to its cause.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "support/tool-run.h"

/* Lines of two instances, with those of other programs between them. */
static const char logs[] =
	/* Long before: replicas crash under what is asked again later. */
	"time=2026-09-12T06:31:00.000000Z level=warning "
	"event=request-quarantined fingerprint=0badc0de reason=crashes-replicas "
	"crashed=3 endpoints=i-71,i-72,i-73 age_us=9000 trials=0\n"
	"time=2026-09-12T06:31:00.100000Z level=warning "
	"event=request-quarantined fingerprint=0ddba11 reason=told "
	"crashed=3 endpoints=i-81,i-82,i-83 age_us=9000 trials=0\n"
	"  33.0794 front-1 time=2026-09-12T06:37:16.878969Z level=info "
	"event=endpoint-suspected endpoint=i-9 service=s9 reason=silent "
	"for_us=400000\n"
	"time=2026-09-12T06:37:17.000000Z level=warning event=zone-silent "
	"zone=athi unanswered=6 silent_us=479679\n"
	"a line of some other program\n"
	/* Refused. */
	"time=2026-09-12T06:37:17.100000Z level=info event=answered "
	"request=ref1 instance=front-1 after_us=120 route=r version=7 "
	"version_age_us=9448107 status=503 reason=no-replica parts=20 "
	"missing=20 may_have_run=0 late=false objective_us=73800 "
	"end_us=1197000 retry_after_ms=214 steps_left_out=0\n"
	/* Partial. */
	"time=2026-09-12T06:37:17.200000Z level=info event=sent request=part1 "
	"after_us=0 attempt=1 service=s1 endpoint=i-1 reason=first status=0 "
	"in_flight=1 slowness=1 extras_left=3\n"
	"time=2026-09-12T06:37:17.200001Z level=info event=sent request=part1 "
	"after_us=0 attempt=2 service=s9 endpoint=i-9 reason=first status=0 "
	"in_flight=1 slowness=1.5 extras_left=0.5\n"
	"time=2026-09-12T06:37:17.200002Z level=info event=reply request=part1 "
	"after_us=5210 attempt=1 service=s1 endpoint=i-1 reason=answered "
	"status=200 in_flight=1 slowness=1 extras_left=3\n"
	"time=2026-09-12T06:37:17.200003Z level=info event=not-sent "
	"request=part1 after_us=12000 service=s9 reason=no-extra-left extras_left=0.5\n"
	"time=2026-09-12T06:37:17.200004Z level=info event=answered "
	"request=part1 instance=front-1 after_us=74000 route=r version=7 "
	"version_age_us=100 status=200 reason=partial parts=2 missing=1 "
	"may_have_run=2 late=true objective_us=73800 end_us=1197000 "
	"retry_after_ms=0 steps_left_out=0\n"
	/* Outcome unknown, as JSON of another instance. */
	"{\"time\":\"2026-09-12T06:37:18.000000Z\",\"event\":\"sent\","
	"\"request\":\"once1\",\"after_us\":0,\"attempt\":7,"
	"\"service\":\"k\",\"endpoint\":\"i-5\",\"reason\":\"first\","
	"\"in_flight\":1,\"slowness\":1.0,\"extras_left\":0}\n"
	"{\"time\":\"2026-09-12T06:37:18.000001Z\",\"event\":\"reply\","
	"\"request\":\"once1\",\"after_us\":4100,\"attempt\":7,"
	"\"service\":\"k\",\"endpoint\":\"i-5\",\"reason\":\"broken\","
	"\"status\":0,\"in_flight\":1,\"slowness\":1.0,\"extras_left\":0}\n"
	"{\"time\":\"2026-09-12T06:37:18.000002Z\",\"event\":\"answered\","
	"\"request\":\"once1\",\"instance\":\"front-2\",\"after_us\":4100,"
	"\"route\":\"p\",\"version\":7,\"status\":502,"
	"\"reason\":\"no-replica\",\"parts\":1,\"missing\":1,"
	"\"may_have_run\":1,\"late\":false}\n"
	/* Its steps were over the bound of the log. */
	"time=2026-09-12T06:37:18.900000Z level=info event=answered "
	"request=bare1 instance=front-1 after_us=429021 route=r version=22 "
	"version_age_us=13349703 status=504 reason=time-over parts=30 "
	"missing=9 may_have_run=42 late=true objective_us=69600 end_us=428000 "
	"retry_after_ms=0 steps_left_out=81\n"
	/* Of 180 shards twelve lacked; their steps were over the bound. */
	"time=2026-09-12T06:37:18.905000Z level=info event=answered "
	"request=wide1 instance=front-1 after_us=69000 route=r version=22 "
	"version_age_us=13349703 status=200 reason=partial parts=180 "
	"missing=12 may_have_run=201 handed=false "
	"last_part_us=68000 lacks_waiting=2 lacks_no_replica=0 "
	"lacks_no_extra=0 lacks_one_asked=3 lacks_more_asked=7 late=true "
	"objective_us=69600 end_us=428000 retry_after_ms=0 "
	"steps_left_out=611\n"
	/* Handed to a strong instance, which had no room. */
	"time=2026-09-12T06:37:18.910000Z level=info event=answered "
	"request=there1 instance=front-3 after_us=4100 route=r version=22 "
	"version_age_us=13349703 status=503 reason=refused-there parts=1 "
	"missing=1 may_have_run=0 late=false objective_us=69600 end_us=428000 "
	"retry_after_ms=90 steps_left_out=0\n"
	/* All replicas that it needs are in zones that are evacuated. */
	"time=2026-09-12T06:37:18.910500Z level=warning event=zone-evacuated "
	"zone=athi revision=412 endpoints=93 in_flight=0\n"
	"time=2026-09-12T06:37:18.911000Z level=info event=answered "
	"request=empty1 instance=front-3 after_us=90 route=r version=22 "
	"version_age_us=13349703 status=503 reason=evacuated parts=3 "
	"missing=3 may_have_run=0 late=false objective_us=69600 end_us=428000 "
	"retry_after_ms=90 steps_left_out=0\n"
	"time=2026-09-12T06:37:18.912000Z level=info event=answered "
	"request=deadly1 fingerprint=0badc0de instance=front-3 after_us=0 "
	"route=r version=22 version_age_us=13349703 status=503 "
	"reason=quarantined parts=0 missing=0 may_have_run=0 late=false "
	"objective_us=69600 end_us=428000 retry_after_ms=230000 "
	"steps_left_out=0\n"
	/* Only its steps: the end was cut off. */
	"time=2026-09-12T06:37:19.000000Z level=info event=sent request=cut1 "
	"after_us=0 attempt=9 service=s1 endpoint=i-1 reason=first\n"
	"time=2026-09-12T06:37:19.000000Z level=info event=ans";

static struct tool_run *explain(const char *request)
{
	char *path = test_write_temp_file(logs);
	struct tool_run *run =
		test_run_tool("explain", request, "--logs", path, NULL);

	test_remove_temp_file(path);
	return run;
}

static void assert_tells(const char *request, const char *const *words)
{
	struct tool_run *run = explain(request);

	assert_int_equal(run->exit_code, 0);
	for (size_t i = 0; words[i]; i++) {
		if (!strstr(run->out, words[i]))
			fail_msg("no '%s' in:\n%s", words[i], run->out);
	}
	test_drop_tool_run(run);
}

/* Guards against a refusal for evacuated zones that names no cause. */
static void test_all_its_replicas_were_evacuated(void **state)
{
	static const char *const words[] = {
		"outside the zones that the operators evacuated",
		"zone-evacuated",
		"athi",
		NULL,
	};

	(void)state;
	assert_tells("empty1", words);
}

/* Guards against a refusal whose crashes are in lines of minutes before. */
static void test_its_replicas_crashed_before(void **state)
{
	static const char *const words[] = {
		"fingerprint 0badc0de",
		"replicas crashed under it before",
		"request-quarantined",
		"i-71,i-72,i-73",
		NULL,
	};
	struct tool_run *run = explain("deadly1");

	(void)state;
	assert_null(strstr(run->out, "i-81"));
	test_drop_tool_run(run);
	assert_tells("deadly1", words);
}

/*
 * Story: a search of 180 shards comes late.  Its steps would fill the log, so
 * its last line counts why its parts lacked.
 */
static void test_a_wide_search(void **state)
{
	static const char *const words[] = {
		"12 of 180 parts lacked",
		"2 had no replica with room",
		"3 had one slow replica and no other",
		"7 had only slow replicas",
		NULL,
	};

	(void)state;
	assert_tells("wide1", words);
}

/* Refused: what was believed of its zone and replicas stands with it. */
static void test_refused(void **state)
{
	static const char *const words[] = {
		"at front-1",
		"cause: refused, and not run: too few of the services",
		"zone-silent",
		"athi",
		NULL,
	};

	assert_tells("ref1", words);
}

/* Late and partial: which service lacks, and why. */
static void test_partial(void **state)
{
	static const char *const words[] = {
		"1 of 2 parts",
		"cause: partial; s9: the budget of extra attempts was spent",
		"endpoint-suspected s9 i-9 silent",
		"time line",
		NULL,
	};

	assert_tells("part1", words);
}

/* Outcome unknown: it was sent, and its answer lost. */
static void test_unknown_outcome(void **state)
{
	static const char *const words[] = {
		"at front-2",
		"ended with 502",
		"1 attempts may have run",
		"k: its replica's answer was lost or no good",
		NULL,
	};

	assert_tells("once1", words);
}

/*
 * Under much load a failed request is told by its end only.  The cause must
 * then say so, and how much lacked, in place of an empty list of reasons.
 */
static void test_steps_left_out(void **state)
{
	static const char *const words[] = {
		"81 steps were left out",
		"its time was over; 9 of 30 parts lacked, why each did is not",
		"zone-silent",
		NULL,
	};

	assert_tells("bare1", words);
}

static void test_refused_at_a_strong_instance(void **state)
{
	static const char *const words[] = {
		"cause: refused, and not run: the strong instance",
		NULL,
	};

	assert_tells("there1", words);
}

static void test_cut_logs(void **state)
{
	static const char *const words[] = { "is not in these lines", "i-1",
					     NULL };
	struct tool_run *run = explain("cut1");

	assert_non_null(strstr(run->err, "are no log lines"));
	test_drop_tool_run(run);
	assert_tells("cut1", words);
}

static void test_no_such_request(void **state)
{
	test_expect_output(explain("nobody"), 1, "", "no line tells of");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_refused),
		cmocka_unit_test(test_partial),
		cmocka_unit_test(test_unknown_outcome),
		cmocka_unit_test(test_steps_left_out),
		cmocka_unit_test(test_refused_at_a_strong_instance),
		cmocka_unit_test(test_cut_logs),
		cmocka_unit_test(test_no_such_request),
		cmocka_unit_test(test_its_replicas_crashed_before),
		cmocka_unit_test(test_a_wide_search),
		cmocka_unit_test(test_all_its_replicas_were_evacuated),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
