/*
 * gate-scene.h - a gate with its actions written down, driven by hand.
 */
#ifndef TESTS_SUPPORT_GATE_SCENE_H
#define TESTS_SUPPORT_GATE_SCENE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/gate.h"

#define TEST_MS ((int64_t)1000)

struct test_sent {
	uint64_t attempt;
	uint64_t request;
	char *endpoint;
	char *lifetime;
	char *address;
	int64_t deadline_ms;
	int64_t at_us;
	bool withdrawn;
	bool replied;
};

struct test_answer {
	uint64_t request;
	enum rr_gate_answer_kind kind;
	uint16_t status;
	char *reason;
	uint32_t retry_after_ms;
	bool go_elsewhere;
	char *seals;
	size_t missing;
	size_t length;
	int64_t at_us;
};

struct test_report {
	struct rr_quarantine_entry *entry;
	bool released;
	bool claim;
};

struct gate_scene {
	struct rr_context *ctx;
	struct rr_gate *gate;
	int64_t now_us;
	bool nothing_leaves; /* attempts can be recalled */
	bool caller_is_new;  /* as callers of the next requests are */
	struct rr_fingerprint fingerprint; /* of the next requests */
	GPtrArray *sent;		   /* struct test_sent */
	GPtrArray *answers;		   /* struct test_answer */
	GPtrArray *probes;		   /* char *, lifetimes */
	GPtrArray *opened;
	GPtrArray *forgotten;
	GPtrArray *reports; /* struct test_report */
	GString *log;	    /* lines, each with its line feed */
};

/* In zone "a" of north, as "b", ten instances, extras 0.2 and 50. */
struct gate_scene *test_new_scene(uint32_t seed);
/* The same, and how many instances there are is not told. */
struct gate_scene *test_new_uncounted_scene(uint32_t seed);
void test_drop_scene(struct gate_scene *scene);

/* A route of one service, or of several. */
struct test_route {
	const char *name;
	const char *prefix;
	const char *const *services; /* NULL-terminated */
	bool gather;
	bool once; /* not idempotent */
	uint32_t max_attempts;
	uint32_t objective_ms;
	uint32_t timeout_ms;
	double least_share;
	const double *weights; /* NULL: all the same */
	uint32_t priority;
	const char *region; /* allowed ones, with commas; NULL: any */
	double cold_per_s;  /* that a cold replica of its services bears */
};

/* Of the service "s": may run once, may be repeated. */
extern const struct test_route test_once_route;
extern const struct test_route test_often_route;
/* Of the four services of test_shards, three of which are enough. */
extern const char *const test_shards[];
extern const struct test_route test_search_route;

/* One route, and two replicas of each of its services: S.a near, S.b far. */
struct gate_scene *test_start_scene(const struct test_route *route);
/* The same by another policy than the default; NULL: by that one. */
struct gate_scene *test_start_scene_by(const struct test_route *route,
				       const struct rr_gate_policy *policy);
/* Serve requests well until extra attempts have been earned. */
void test_earn_extras(struct gate_scene *scene, const char *path);
/* Put a table with these routes of host "h" in force; connections 26 each. */
bool test_set_routes(struct gate_scene *scene, uint64_t version,
		     const struct test_route *routes, size_t n);
/* List "SERVICE.ZONE" or any id; ready, warm, two slots. */
void test_list(struct gate_scene *scene, const char *id, const char *service,
	       const char *zone);
void test_list_draining(struct gate_scene *scene, const char *id,
			const char *service, const char *zone);
/* List a replica that tells when it started, at port 1 unless told. */
struct test_lifetime {
	const char *id;
	const char *service;
	const char *zone;
	const char *address; /* NULL: 127.0.0.1:1 */
	int64_t born_ms;
	uint32_t cold_ms;
	bool draining;
};
void test_list_lifetime(struct gate_scene *scene,
			const struct test_lifetime *lifetime);
/* An instance whose zone is NULL has gone. */
void test_note_instance(struct gate_scene *scene, const char *id,
			const char *zone, double strength, int64_t born_ms);
uint64_t test_take(struct gate_scene *scene, const char *path,
		   int64_t deadline_ms);
/* Let time pass, with ticks when they are due. */
void test_pass(struct gate_scene *scene, int64_t us);

struct test_sent *test_sent_at(struct gate_scene *scene, guint i);
/* The open attempts, counted; the first one that is open at an endpoint. */
guint test_count_open(struct gate_scene *scene);
struct test_sent *test_open_at(struct gate_scene *scene, const char *endpoint);
void test_reply(struct gate_scene *scene, struct test_sent *sent,
		enum rr_gate_outcome outcome, uint16_t status);
/* Its replica closes its connection. */
void test_close_sent(struct gate_scene *scene, struct test_sent *sent);
/* A replica was probed. */
void test_probed(struct gate_scene *scene, const char *lifetime, bool reached);
/* Both: it is gone then. */
void test_crash(struct gate_scene *scene, struct test_sent *sent);
/* NULL: nothing was reported. */
struct test_report *test_last_report(struct gate_scene *scene);
/* Answer all open attempts well. */
void test_reply_all(struct gate_scene *scene);
struct test_answer *test_last_answer(struct gate_scene *scene);

#endif
