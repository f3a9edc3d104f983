#include "base/loopclock.h"

#define SLEPT_MIN_MS 50 /* less is the time between two readings of clocks */
#define MS_PER_S 1000
#define NS_PER_MS 1000000

static uint64_t read_ms(clockid_t);

/* Of the machine, so there is one. */
static loop_clock_fn read_clock = clock_gettime;
static uint64_t slept_ms; /* while the machine was suspended */
static uint64_t seen_ms = UINT64_MAX;

/*
 * Reads a clock in milliseconds.
 */
static uint64_t
read_ms(clockid_t which)
{
	struct timespec ts;

	(void)read_clock(which, &ts);
	return (uint64_t)ts.tv_sec * MS_PER_S +
	       (uint64_t)ts.tv_nsec / NS_PER_MS;
}

/*
 * Returns the loop's time in milliseconds, and adds what it doesn't count: the
 * time in which the machine was suspended.  All that has an age (the proof of
 * a configuration, a beat, a token) has aged meanwhile.  Never goes back.
 */
uint64_t
loop_ms(const uv_loop_t *loop)
{
	uint64_t now = uv_now(loop), all, steady;

	if (now != seen_ms) {
		seen_ms = now;
		steady = read_ms(CLOCK_MONOTONIC);
		all = read_ms(CLOCK_BOOTTIME);
		if (all > steady + slept_ms + SLEPT_MIN_MS)
			slept_ms = all - steady;
	}
	return now + slept_ms;
}

/*
 * Reads the clocks by another function from now on, for tests.
 */
void
loop_clock_use(loop_clock_fn fn)
{
	read_clock = fn;
	seen_ms = UINT64_MAX;
}
