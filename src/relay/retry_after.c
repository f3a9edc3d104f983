#include "relay/retry_after.h"

#define TARGET_SHARE 0.5 /* the rest of the target is left for the retry */

/*
 * Delays are random within a range.  Otherwise callers that were refused
 * together would also retry together (thundering herd).
 */
struct delay_range {
	uint64_t min_ms;
	uint64_t spread_ms;
};

/* A slot is usually free after about one run; an overload lasts seconds. */
static const struct delay_range delay_ranges[RETRY_AFTER_MAX] = {
	[RETRY_AFTER_SERVERS_FULL] = { 150, 350 },
	[RETRY_AFTER_THROTTLED] = { 600, 1000 },
	[RETRY_AFTER_OVER_RATE] = { 300, 700 },
	[RETRY_AFTER_NO_LIMIT_OWNER] = { 300, 0 },
	[RETRY_AFTER_NO_CONFIG] = { 300, 0 },
	[RETRY_AFTER_REFUSED] = { 500, 0 },
	[RETRY_AFTER_TIMEOUT] = { 200, 0 },
};

/*
 * Returns the delay (ms) after which a refused caller should retry.  target_ms
 * is the caller's target latency (0: none) and rnd a random number.  If the
 * delay could exceed half of the target, the whole range is scaled down to
 * fit, and every retry can still meet it.
 */
uint64_t
retry_after_delay_ms(
    enum retry_after_reason reason, uint64_t target_ms, uint64_t rnd)
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
