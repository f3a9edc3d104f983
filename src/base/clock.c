#include <sodium.h>
#include <time.h>

#include "base/clock.h"

/*
 * Returns microseconds since boot.  The clock also runs while the process
 * or the machine is suspended, so that a lease never outlives its term.
 */
uint64_t
clock_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

/*
 * Returns milliseconds since boot.
 */
uint64_t
clock_ms(void)
{
	return clock_us() / 1000;
}

/*
 * Returns 64 unpredictable random bits.
 */
uint64_t
rand_u64(void)
{
	uint64_t r;

	randombytes_buf(&r, sizeof(r));
	return r;
}
