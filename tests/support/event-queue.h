/*
 * event-queue.h - events in virtual time, run in order of time and then of
 * arrival, so that a run repeats exactly.
 */
#ifndef RAGWORT_TESTS_EVENT_QUEUE_H
#define RAGWORT_TESTS_EVENT_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

struct event_queue;

struct event_queue *new_event_queue(void);
/* Free the data of each event left; `free_data` NULL: it is left alone. */
void drop_event_queue(struct event_queue *queue, void (*free_data)(void *data));

/* Call `run(context, data)` at a time; `run` owns the data. */
void push_event(struct event_queue *queue, int64_t at_us,
		void (*run)(void *context, void *data), void *data);
/* When the next event is due; INT64_MAX for none. */
int64_t next_event_us(const struct event_queue *queue);
/*
 * Move *now_us on to the next event's time, unless it is past, and run it;
 * false if there is none.
 */
bool run_next_event(struct event_queue *queue, int64_t *now_us, void *context);

#endif
