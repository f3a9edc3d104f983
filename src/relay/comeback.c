#include "relay/comeback.h"

#define TARGET_SHARE 0.5 /* leaves as much for the answer to be in time */

/*
 * Times are drawn from a range, so that callers refused together don't return
 * together (thundering herd).
 */
struct delay_range {
	uint64_t min_ms;
	uint64_t spread_ms;
};

/* A slot is free within a run or so, an overload lasts for seconds. */
static const struct delay_range delay_ranges[COMEBACK_MAX] = {
	[COMEBACK_FULL] = { 150, 350 },
	[COMEBACK_THROTTLED] = { 600, 1000 },
	[COMEBACK_OVER_RATE] = { 300, 700 },
	[COMEBACK_NO_OWNER] = { 300, 0 },
	[COMEBACK_NO_CONFIG] = { 300, 0 },
	[COMEBACK_REFUSED] = { 500, 0 },
	[COMEBACK_TIMEOUT] = { 200, 0 },
};

/*
 * Returns after how long (ms) a refused caller should come back, given the
 * time within which it wants its answer (0: any) and a random number.  The
 * whole range shrinks until all who come back can still be in time.
 */
uint64_t
comeback_ms(enum comeback reason, uint64_t target_ms, uint64_t rnd)
{
	const struct delay_range *r = &delay_ranges[reason];
	uint64_t delay_ms =
	    r->min_ms + (r->spread_ms > 0 ? rnd % r->spread_ms : 0);
	double limit_ms = TARGET_SHARE * (double)target_ms;
	double longest_ms = (double)(r->min_ms + r->spread_ms);

	if (target_ms == 0 || longest_ms <= limit_ms)
		return delay_ms;
	delay_ms = (uint64_t)((double)delay_ms * limit_ms / longest_ms);
	return delay_ms > 0 ? delay_ms : 1;
}
