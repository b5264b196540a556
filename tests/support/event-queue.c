/*
 * event-queue.c - Event queue in virtual time, as a binary heap.
 */
#include "support/event-queue.h"

#include <glib.h>

struct event {
	int64_t at_us;
	uint64_t sequence;
	void (*run)(void *context, void *data);
	void *data;
};

struct event_queue {
	struct event *heap;
	size_t length;
	size_t capacity;
	uint64_t sequence;
};

struct event_queue *new_event_queue(void)
{
	return g_new0(struct event_queue, 1);
}

void drop_event_queue(struct event_queue *queue, void (*free_data)(void *data))
{
	for (size_t i = 0; free_data && i < queue->length; i++)
		free_data(queue->heap[i].data);
	g_free(queue->heap);
	g_free(queue);
}

static struct event *event_at(struct event_queue *queue, size_t i)
{
	return &queue->heap[i];
}

static bool is_earlier(const struct event *a, const struct event *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->sequence < b->sequence;
}

static void swap_events(struct event_queue *queue, size_t i, size_t j)
{
	struct event event = *event_at(queue, i);

	*event_at(queue, i) = *event_at(queue, j);
	*event_at(queue, j) = event;
}

void push_event(struct event_queue *queue, int64_t at_us,
		void (*run)(void *context, void *data), void *data)
{
	struct event event = { at_us, queue->sequence++, run, data };
	size_t i = queue->length++;

	if (queue->length > queue->capacity) {
		queue->capacity = MAX(64, 2 * queue->capacity);
		queue->heap =
			g_renew(struct event, queue->heap, queue->capacity);
	}
	queue->heap[i] = event;
	while (i > 0 &&
	       is_earlier(event_at(queue, i), event_at(queue, (i - 1) / 2))) {
		swap_events(queue, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static void sift_down(struct event_queue *queue)
{
	size_t i = 0;

	for (;;) {
		size_t child = 2 * i + 1;

		if (child >= queue->length)
			break;
		if (child + 1 < queue->length &&
		    is_earlier(event_at(queue, child + 1),
			       event_at(queue, child)))
			child++;
		if (!is_earlier(event_at(queue, child), event_at(queue, i)))
			break;
		swap_events(queue, i, child);
		i = child;
	}
}

int64_t next_event_us(const struct event_queue *queue)
{
	return queue->length ? queue->heap[0].at_us : INT64_MAX;
}

bool run_next_event(struct event_queue *queue, int64_t *now_us, void *context)
{
	struct event event;

	if (!queue->length)
		return false;
	event = *event_at(queue, 0);
	swap_events(queue, 0, --queue->length);
	sift_down(queue);
	*now_us = MAX(*now_us, event.at_us);
	event.run(context, event.data);
	return true;
}
