#include "model/world.h"

static gint compare(gconstpointer, gconstpointer, gpointer);

/*
 * Orders events by time, and by their order of creation within it.
 */
static gint
compare(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct event *x = a, *y = b;

	(void)unused;
	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return x->order < y->order ? -1 : x->order > y->order;
}

/*
 * Prepares an empty queue.
 */
void
queue_init(struct world *w)
{
	w->queue = g_sequence_new(g_free);
}

/*
 * Frees the queue and the events in it.
 */
void
queue_finish(struct world *w)
{
	g_sequence_free(w->queue);
}

/*
 * Adds an event so many microseconds from now.
 */
void
queue_add(struct world *w, uint64_t in_us, enum event_kind kind, handle request,
    int value)
{
	struct event *e = g_new(struct event, 1);

	e->at_us = w->now_us + in_us;
	e->order = w->events++;
	e->kind = kind;
	e->request = request;
	e->value = value;
	g_sequence_insert_sorted(w->queue, e, compare, NULL);
}

/*
 * Takes the next event and moves the time on.  Returns 0 if there is none.
 */
int
queue_next(struct world *w, struct event *e)
{
	GSequenceIter *first = g_sequence_get_begin_iter(w->queue);

	if (g_sequence_iter_is_end(first))
		return 0;
	*e = *(struct event *)g_sequence_get(first);
	g_sequence_remove(first);
	w->now_us = e->at_us;
	return 1;
}
