/*
 * gate-fixture.h - a gate with its actions written down, driven by hand.
 */
#ifndef TESTS_SUPPORT_GATE_SCENE_H
#define TESTS_SUPPORT_GATE_SCENE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/gate.h"

#define TEST_MS ((int64_t)1000)

struct test_sent_attempt {
	uint64_t attempt;
	uint64_t request;
	char *endpoint;
	char *incarnation;
	char *address;
	int64_t deadline_ms;
	int64_t at_us;
	bool cancelled;
	bool replied;
};

struct test_answer {
	uint64_t request;
	enum rr_gate_answer_kind kind;
	uint16_t status;
	char *reason;
	uint32_t retry_after_ms;
	bool close_connection;
	char *signatures;
	size_t missing;
	size_t length;
	int64_t at_us;
};

struct test_report {
	struct rr_quarantine_entry *entry;
	bool released;
	bool claim;
};

struct gate_fixture {
	struct rr_context *ctx;
	struct rr_gate *gate;
	int64_t now_us;
	bool nothing_sent;   /* attempts can be recalled */
	bool new_connection; /* as callers of the next requests are */
	struct rr_fingerprint fingerprint; /* of the next requests */
	GPtrArray *attempts;		   /* struct test_sent_attempt */
	GPtrArray *answers;		   /* struct test_answer */
	GPtrArray *probes;		   /* char *, lifetimes */
	GPtrArray *preconnected;
	GPtrArray *idle_closed;
	GPtrArray *reports; /* struct test_report */
	GString *log;	    /* lines, each with its line feed */
};

/* In zone "a" of north, as "b", ten instances, extras 0.2 and 50. */
struct gate_fixture *test_new_gate(uint32_t seed);
/* The same, and how many instances there are is not told. */
struct gate_fixture *test_new_uncounted_gate(uint32_t seed);
void test_free_gate(struct gate_fixture *scene);

/* A route of one service, or of several. */
struct test_route {
	const char *name;
	const char *prefix;
	const char *const *services; /* NULL-terminated */
	bool gather;
	bool non_idempotent; /* not idempotent */
	uint32_t max_attempts;
	uint32_t objective_ms;
	uint32_t timeout_ms;
	double min_share;
	const double *weights; /* NULL: all the same */
	uint32_t priority;
	const char *region; /* allowed ones, with commas; NULL: any */
	double cold_per_s;  /* that a cold replica of its services bears */
};

/* Of the service "s": may run once, may be repeated. */
extern const struct test_route test_non_idempotent_route;
extern const struct test_route test_idempotent_route;
/* Of the four services of test_shards, three of which are enough. */
extern const char *const test_shards[];
extern const struct test_route test_search_route;

/* One route, and two replicas of each of its services: S.a near, S.b far. */
struct gate_fixture *test_start_gate(const struct test_route *route);
/* The same by another policy than the default; NULL: by that one. */
struct gate_fixture *
test_start_gate_with_policy(const struct test_route *route,
			    const struct rr_gate_policy *policy);
/* Serve requests well until extra attempts have been earned. */
void test_earn_retry_budget(struct gate_fixture *scene, const char *path);
/* Put a table with these routes of host "h" in force; connections 26 each. */
bool test_set_routes(struct gate_fixture *scene, uint64_t version,
		     const struct test_route *routes, size_t n);
/* List "SERVICE.ZONE" or any id; ready, warm, two slots. */
void test_list_replica(struct gate_fixture *scene, const char *id,
		       const char *service, const char *zone);
void test_list_draining_replica(struct gate_fixture *scene, const char *id,
				const char *service, const char *zone);
/* List a replica that tells when it started, at port 1 unless told. */
struct test_incarnation {
	const char *id;
	const char *service;
	const char *zone;
	const char *address; /* NULL: 127.0.0.1:1 */
	int64_t started_ms;
	uint32_t cold_ms;
	bool draining;
};
void test_list_incarnation(struct gate_fixture *scene,
			   const struct test_incarnation *lifetime);
/* An instance whose zone is NULL has gone. */
void test_update_instance(struct gate_fixture *scene, const char *id,
			  const char *zone, double strength, int64_t born_ms);
uint64_t test_submit(struct gate_fixture *scene, const char *path,
		     int64_t deadline_ms);
/* Let time pass, with ticks when they are due. */
void test_advance_time(struct gate_fixture *scene, int64_t us);

struct test_sent_attempt *test_attempt_at(struct gate_fixture *scene, guint i);
/* The open attempts, counted; the first one that is open at an endpoint. */
guint test_count_open_attempts(struct gate_fixture *scene);
struct test_sent_attempt *test_find_open_attempt(struct gate_fixture *scene,
						 const char *endpoint);
void test_reply(struct gate_fixture *scene, struct test_sent_attempt *sent,
		enum rr_gate_outcome outcome, uint16_t status);
/* Its replica closes its connection. */
void test_close_attempt(struct gate_fixture *scene,
			struct test_sent_attempt *sent);
/* A replica was probed. */
void test_report_probe(struct gate_fixture *scene, const char *lifetime,
		       bool reached);
/* Both: it is gone then. */
void test_crash_replica(struct gate_fixture *scene,
			struct test_sent_attempt *sent);
/* NULL: nothing was reported. */
struct test_report *test_last_report(struct gate_fixture *scene);
/* Answer all open attempts well. */
void test_reply_all(struct gate_fixture *scene);
struct test_answer *test_last_answer(struct gate_fixture *scene);

#endif
