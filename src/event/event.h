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
	EVENT_SETTINGS_INVALID,
	EVENT_SETTING_CHANGED,
	EVENT_CONFIG_IN_FORCE,
	EVENT_CONFIG_INVALID,
	EVENT_CONFIG_OUTDATED,
	EVENT_CONFIG_COPY_FAILED,
	EVENT_STORE_READERS,
	EVENT_PROOF_OVERDUE,
	EVENT_STORE_LOST,
	EVENT_STORE_REGAINED,
	EVENT_STORE_RESTORED,
	EVENT_PEER_NEW,
	EVENT_PEER_CHANGED,
	EVENT_QUORUM,
	EVENT_NODE_DELISTED,
	EVENT_SEAL_REJECTED,
	EVENT_SERVER_NEW,
	EVENT_SERVER_LEAVING,
	EVENT_SERVER_DEPARTED,
	EVENT_SERVER_LOST,
	EVENT_SERVER_REGAINED,
	EVENT_SERVER_RATE,
	EVENT_ANNOUNCEMENT_INVALID,
	EVENT_REQUEST_REFUSED,
	EVENT_REQUEST_FAILED,
	EVENT_REQUEST_RETRIED,
	EVENT_CALLER_DISCONNECTED,
	EVENT_SERVER_REFUSAL,
	EVENT_SERVER_FAILURE,
	EVENT_RUN_CANCELLED,
	EVENT_CRASH_REPORT,
	EVENT_SERVED,
	EVENT_THROTTLE,
	EVENT_LIMIT_OWNED,
	EVENT_LINES_DROPPED,
	EVENT_MAX
};

void event_init(const char *, int, uint64_t);
void event_log(enum event, uint64_t, const char *, ...)
    __attribute__((format(printf, 3, 4)));
void event_flush(void);
uint64_t event_dropped(void);

#endif
