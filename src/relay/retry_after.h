#ifndef RELAY_RETRY_AFTER_H
#define RELAY_RETRY_AFTER_H

#include <stdint.h>

/*
 * Delay after which a caller should retry a refused request.
 */

/* Why the request was refused. */
enum retry_after_reason {
	RETRY_AFTER_SERVERS_FULL, /* every server tried had no free slot */
	RETRY_AFTER_THROTTLED,	  /* a downstream service is overloaded */
	RETRY_AFTER_OVER_RATE,
	RETRY_AFTER_NO_LIMIT_OWNER, /* the workspace's limit has no owner */
	RETRY_AFTER_NO_CONFIG,	    /* the node has no configuration yet */
	RETRY_AFTER_REFUSED,	    /* not allowed, or configuration stale */
	RETRY_AFTER_TIMEOUT,	    /* no server accepted it in time */
	RETRY_AFTER_MAX
};

uint64_t retry_after_delay_ms(enum retry_after_reason, uint64_t, uint64_t);

#endif
