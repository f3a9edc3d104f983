#ifndef RELAY_COMEBACK_H
#define RELAY_COMEBACK_H

#include <stdint.h>

/*
 * Delay after which a caller should retry a refused request.
 */

/* Why the request was refused. */
enum comeback {
	COMEBACK_FULL,	    /* every server tried had no free slot */
	COMEBACK_THROTTLED, /* a downstream service is overloaded */
	COMEBACK_OVER_RATE,
	COMEBACK_NO_OWNER,  /* the workspace's limit has no owner */
	COMEBACK_NO_CONFIG, /* the node has no configuration yet */
	COMEBACK_REFUSED,   /* not allowed, or configuration stale */
	COMEBACK_TIMEOUT,   /* no server accepted it in time */
	COMEBACK_MAX
};

uint64_t comeback_ms(enum comeback, uint64_t, uint64_t);

#endif
