/*
 * simulation.c - virtual time, the event queue and seeded chance.
 */
#include "random/simulation.h"

#include <stdio.h>
#include <stdlib.h>

void fail_check(struct world *world, const char *condition, char *what)
{
	fprintf(stderr,
		"random: FAILED step=%" G_GUINT64_FORMAT
		" now_us=%" G_GINT64_FORMAT ": %s (%s)\n",
		world->steps, world->now_us, what, condition);
	fflush(NULL);
	abort();
}

bool random_one_in(struct world *world, int n)
{
	return g_rand_int_range(world->random, 0, n) == 0;
}

int64_t between(struct world *world, int64_t low, int64_t high)
{
	return low +
	       (int64_t)(g_rand_double(world->random) * (double)(high - low));
}

struct planned {
	void (*run)(struct world *world, void *data);
	void *data;
};

static void run_planned(void *context, void *data)
{
	struct planned planned = *(struct planned *)data;

	g_free(data);
	planned.run(context, planned.data);
}

void schedule(struct world *world, int64_t at_us,
	      void (*run)(struct world *world, void *data), void *data)
{
	struct planned *planned = g_new(struct planned, 1);

	world->sequence++;
	*planned = (struct planned){ run, data };
	push_event(world->events, MAX(at_us, world->now_us), run_planned,
		   planned);
}

bool run_event(struct world *world)
{
	world->steps++;
	return run_next_event(world->events, &world->now_us, world);
}

struct delivery {
	int index;
	void (*run)(struct instance *instance, void *data);
	void *data;
	void (*drop)(void *data);
};

static void deliver(struct world *world, void *data)
{
	struct delivery *delivery = data;
	struct instance *instance = &world->instances[delivery->index];

	/* A paused process finds all that came meanwhile when it goes on. */
	if (instance->paused_until_us > world->now_us) {
		schedule(world, instance->paused_until_us, deliver, delivery);
		return;
	}
	instance->last_event_us = world->now_us;
	delivery->run(instance, delivery->data);
	if (delivery->drop)
		delivery->drop(delivery->data);
	g_free(delivery);
	finish_delivery(instance);
}

void schedule_delivery(struct world *world, int index, int64_t at_us,
		       void (*run)(struct instance *instance, void *data),
		       void *data, void (*drop)(void *data))
{
	struct delivery *delivery = g_new(struct delivery, 1);

	*delivery = (struct delivery){ index, run, data, drop };
	schedule(world, at_us, deliver, delivery);
}
