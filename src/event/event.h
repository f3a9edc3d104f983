#ifndef EVENT_EVENT_H
#define EVENT_EVENT_H

#include <stddef.h>
#include <stdint.h>

/*
 * Structured log lines on standard output, one per event.  The table in
 * event.c gives each event's severity and name.  Lines pass through a buffer
 * of fixed size, and logging never blocks: lines that don't fit are dropped
 * and counted.
 */
enum event {
	EVENT_START,
	EVENT_READY,
	EVENT_STOPPING,
	EVENT_STOPPED,
	EVENT_SETTINGS_READ,
	EVENT_CONFIG_TAKEN,
	EVENT_CONFIG_BAD,
	EVENT_CONFIG_OLD,
	EVENT_COPY_FAILED,
	EVENT_STORE_LOST,
	EVENT_STORE_BACK,
	EVENT_PEER_NEW,
	EVENT_PEER_CHANGED,
	EVENT_STRANGERS,
	EVENT_SERVER_NEW,
	EVENT_SERVER_LEAVING,
	EVENT_SERVER_GONE,
	EVENT_SERVER_DOWN,
	EVENT_SERVER_UP,
	EVENT_ANNOUNCE_BAD,
	EVENT_REFUSED,
	EVENT_FAILED,
	EVENT_REPEATED,
	EVENT_CALLER_GONE,
	EVENT_EXIT_REFUSED,
	EVENT_EXIT_FAILED,
	EVENT_STRIKE,
	EVENT_SERVED,
	EVENT_THROTTLE,
	EVENT_LIMIT_OWNED,
	EVENT_DROPPED,
	EVENT_MAX
};

void event_init(const char *, int, uint64_t);
void event_log(enum event, uint64_t, const char *, ...)
    __attribute__((format(printf, 3, 4)));
void event_flush(void);
uint64_t event_dropped(void);

#endif
