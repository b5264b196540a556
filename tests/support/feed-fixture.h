/*
 * feed-fixture.h - a feed with its calls written down, driven by hand.
 */
#ifndef TESTS_SUPPORT_FEED_FIXTURE_H
#define TESTS_SUPPORT_FEED_FIXTURE_H

#include "ragwort/feed.h"

#define MS ((int64_t)1000)

struct recorded_call {
	uint64_t id;
	char *peer; /* NULL: the store */
	enum rr_feed_call_kind kind;
	char *after_key;
	uint64_t after_revision;
	uint32_t wait_ms;
	uint64_t lease;
	bool allow_stale;
	GString *entries; /* "+entered" and "-removed" instances */
	/* Of a report, as in the news; revision that its key is to have. */
	char *report;
	uint64_t expected_revision;
	bool done;
};

struct feed_fixture {
	struct rr_context *ctx;
	struct rr_feed *feed;
	int64_t now_us;
	GPtrArray *calls;	  /* struct recorded_call */
	GString *instance_events; /* "+instance", "-instance" */
	/*
	 * "+id", "-id", "routes N", "instances N"; for queries of death
	 * "suspected N", "quarantined N", "released N", "granted N" and
	 * "not-granted N", where N is the low half of the fingerprint.
	 */
	GString *events;
};

struct feed_fixture *feed_new_fixture_with_seeds(const char *const *seeds);
/* An instance of that strength. */
struct feed_fixture *feed_new_fixture_with_strength(double strength);
struct feed_fixture *feed_new_fixture(void);
void feed_drop_fixture(struct feed_fixture *scene);
void feed_advance(struct feed_fixture *scene, int64_t us);
/* The open call of a kind; NULL if there is none. */
struct recorded_call *feed_find_call(struct feed_fixture *scene,
				     enum rr_feed_call_kind kind);
/* How many calls the store has had. */
guint feed_count_store_calls(struct feed_fixture *scene);
guint feed_count_calls(struct feed_fixture *scene, enum rr_feed_call_kind kind);
struct rr_feed_item *feed_make_item(const char *what, uint64_t revision);
/* Publish a record of request N with one crashed replica. */
void feed_report(struct feed_fixture *scene, uint64_t n, bool in_force);
/* Claim a trial of it. */
void feed_claim(struct feed_fixture *scene, uint64_t n);
/* Publish that it completed. */
void feed_release(struct feed_fixture *scene, uint64_t n);
/*
 * `items` is "name@revision" separated by blanks; "suspected/N" and
 * "quarantined/N" are of requests that crash replicas; "-name" is removed, "?name"
 * has a value that is none of its kind.
 */
void feed_answer(struct feed_fixture *scene, struct recorded_call *call,
		 enum rr_feed_status status, const char *items,
		 uint64_t revision, bool more);
void feed_answer_ok(struct feed_fixture *scene, enum rr_feed_call_kind kind,
		    const char *items, uint64_t revision);
void feed_assert_events(struct feed_fixture *scene, const char *news);
/* Read everything and enter; a watch is open afterwards. */
struct feed_fixture *feed_new_synced_fixture(void);

#endif
