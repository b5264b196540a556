/*
 * simulation.c - Virtual time, the event queue and seeded random numbers.
 */
#include "random/simulation.h"

#include <stdio.h>
#include <stdlib.h>

void fail_check(struct simulation *simulation, const char *condition,
		char *what)
{
	fprintf(stderr,
		"random: FAILED step=%" G_GUINT64_FORMAT
		" now_us=%" G_GINT64_FORMAT ": %s (%s)\n",
		simulation->steps, simulation->now_us, what, condition);
	fflush(NULL);
	abort();
}

bool random_one_in(struct simulation *simulation, int n)
{
	return g_rand_int_range(simulation->random, 0, n) == 0;
}

int64_t random_between(struct simulation *simulation, int64_t low, int64_t high)
{
	return low + (int64_t)(g_rand_double(simulation->random) *
			       (double)(high - low));
}

struct scheduled_event {
	void (*run)(struct simulation *simulation, void *data);
	void *data;
};

static void run_scheduled_event(void *context, void *data)
{
	struct scheduled_event scheduled_event =
		*(struct scheduled_event *)data;

	g_free(data);
	scheduled_event.run(context, scheduled_event.data);
}

void schedule_event(struct simulation *simulation, int64_t at_us,
		    void (*run)(struct simulation *simulation, void *data),
		    void *data)
{
	struct scheduled_event *scheduled_event =
		g_new(struct scheduled_event, 1);

	simulation->sequence++;
	*scheduled_event = (struct scheduled_event){ run, data };
	push_event(simulation->events, MAX(at_us, simulation->now_us),
		   run_scheduled_event, scheduled_event);
}

bool run_event(struct simulation *simulation)
{
	simulation->steps++;
	return run_next_event(simulation->events, &simulation->now_us,
			      simulation);
}

struct delivery {
	int index;
	void (*run)(struct instance *instance, void *data);
	void *data;
	void (*drop)(void *data);
};

static void deliver(struct simulation *simulation, void *data)
{
	struct delivery *delivery = data;
	struct instance *instance = &simulation->instances[delivery->index];

	/* A paused process receives its pending events when it resumes. */
	if (instance->paused_until_us > simulation->now_us) {
		schedule_event(simulation, instance->paused_until_us, deliver,
			       delivery);
		return;
	}
	instance->last_event_us = simulation->now_us;
	delivery->run(instance, delivery->data);
	if (delivery->drop)
		delivery->drop(delivery->data);
	g_free(delivery);
	finish_delivery(instance);
}

void schedule_delivery(struct simulation *simulation, int index, int64_t at_us,
		       void (*run)(struct instance *instance, void *data),
		       void *data, void (*drop)(void *data))
{
	struct delivery *delivery = g_new(struct delivery, 1);

	*delivery = (struct delivery){ index, run, data, drop };
	schedule_event(simulation, at_us, deliver, delivery);
}
