/*
 * event-queue.h - Event queue in virtual time.
 *
 * Events run in the order of their times; events of the same time run in the
 * order in which they were pushed, so that a run is reproducible.
 */
#ifndef RAGWORT_TESTS_EVENT_QUEUE_H
#define RAGWORT_TESTS_EVENT_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

struct event_queue;

struct event_queue *new_event_queue(void);
/*
 * Free the queue, and the data of each remaining event with `free_data`.  If
 * `free_data` is NULL, the data is not freed.
 */
void drop_event_queue(struct event_queue *queue, void (*free_data)(void *data));

/* Schedule `run(context, data)` for `at_us`; `run` takes over the data. */
void push_event(struct event_queue *queue, int64_t at_us,
		void (*run)(void *context, void *data), void *data);
/* Return the time of the next event; INT64_MAX if the queue is empty. */
int64_t next_event_us(const struct event_queue *queue);
/*
 * Run the next event, after advancing *now_us to its time unless that has
 * already passed.  Returns false if the queue is empty.
 */
bool run_next_event(struct event_queue *queue, int64_t *now_us, void *context);

#endif
