#include "base/loopclock.h"
#include "event/event.h"
#include "event/flush.h"

#define FLUSH_INTERVAL_MS 50 /* shortest time between two writes of the log */

static void on_prepare(uv_prepare_t *);

/*
 * Writes buffered log lines before the loop waits, at most every
 * FLUSH_INTERVAL_MS.
 */
static void
on_prepare(uv_prepare_t *handle)
{
	struct event_flusher *f = handle->data;
	uint64_t now = loop_ms(handle->loop);

	if (now - f->flushed_ms < FLUSH_INTERVAL_MS)
		return;
	f->flushed_ms = now;
	event_flush();
}

/*
 * Starts to write the lines that are buffered while a loop runs.
 */
void
event_flusher_init(struct event_flusher *f, uv_loop_t *loop)
{
	f->flushed_ms = 0;
	uv_prepare_init(loop, &f->prepare);
	f->prepare.data = f;
	uv_prepare_start(&f->prepare, on_prepare);
}
