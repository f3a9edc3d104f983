#ifndef EVENT_FLUSH_H
#define EVENT_FLUSH_H

#include <uv.h>

/* Writes buffered log lines while a loop runs. */
struct event_flusher {
	uv_prepare_t prepare;
	uint64_t flushed_ms;
};

void event_flusher_init(struct event_flusher *, uv_loop_t *);

#endif
