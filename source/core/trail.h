/*
 * trail.h - what was decided for one request, kept until its end and then
 * told whole or not at all.
 *
 * Most requests go well and are not worth their lines.  Which ones are is
 * known only at the end, so decisions are kept as small records meanwhile.
 */
#ifndef RAGWORT_CORE_TRAIL_H
#define RAGWORT_CORE_TRAIL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/context.h"

enum rr_trail_kind {
	RR_TRAIL_SENT,
	RR_TRAIL_REPLY,
	RR_TRAIL_WITHDRAWN,
	RR_TRAIL_WAITS,	   /* no replica had room */
	RR_TRAIL_NOT_SENT, /* a hedge or repeat that could not be */
	RR_TRAIL_LEFT,	   /* its caller closed */
};

/* One decision with what decided it; strings live as long as the gate. */
struct rr_trail_step {
	int64_t at_us;
	enum rr_trail_kind kind;
	const char *reason;  /* or outcome */
	const char *service; /* may be NULL, and those below */
	char *endpoint;	     /* the trail's */
	uint64_t attempt;
	uint32_t status;
	uint32_t in_flight;
	double slowness;
	uint32_t pace_percent; /* that the replica last told; 0: it did not */
	double extras_left;    /* of the service, when it was decided */
};

struct rr_trail {
	GArray *steps; /* struct rr_trail_step */
};

/* Lines that may be written: so many a second, saved up for two. */
struct rr_trail_budget {
	double tokens;
	double per_s;
	int64_t filled_us;
};

void rr_init_trail(struct rr_trail *trail);
void rr_clear_trail(struct rr_trail *trail);
/* Keep a step; the endpoint's id is copied. */
void rr_note_step(struct rr_trail *trail, const struct rr_trail_step *step);
/*
 * Take the lines of a trail from the budget.  Ordinary ones get only what is
 * left while half of it is saved, so that those that went wrong find room.
 */
bool rr_take_trail_lines(struct rr_trail_budget *budget, int64_t now_us,
			 size_t lines, bool ordinary);
/* Write the steps of a request that began at `began_us`. */
void rr_write_steps(struct rr_context *ctx, const struct rr_trail *trail,
		    const char *request, int64_t began_us);
/* Those steps only that are wanted; how many these are. */
void rr_write_some_steps(struct rr_context *ctx, const struct rr_trail *trail,
			 const char *request, int64_t began_us,
			 bool (*wanted)(void *data,
					const struct rr_trail_step *step),
			 void *data);
size_t rr_count_steps(const struct rr_trail *trail,
		      bool (*wanted)(void *data,
				     const struct rr_trail_step *step),
		      void *data);
/* Whether this id is among those told although they went well. */
bool rr_is_sampled(const char *request_id);

#endif
