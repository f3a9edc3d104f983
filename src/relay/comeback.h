#ifndef RELAY_COMEBACK_H
#define RELAY_COMEBACK_H

#include <stdint.h>

/*
 * When a caller whose request was refused should come back.
 */

enum comeback {
	COMEBACK_FULL,	    /* all servers asked were full */
	COMEBACK_THROTTLED, /* a service below is overloaded */
	COMEBACK_OVER_RATE,
	COMEBACK_NO_OWNER,  /* nobody decides for the limit now */
	COMEBACK_NO_CONFIG, /* the node has just started */
	COMEBACK_REFUSED,   /* the configuration doesn't allow it, or is old */
	COMEBACK_TIMEOUT,   /* nobody took it in time */
	COMEBACK_MAX
};

uint64_t comeback_ms(enum comeback, uint64_t, uint64_t);

#endif
