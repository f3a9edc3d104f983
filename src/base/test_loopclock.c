#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <cmocka.h>

#include "base/loopclock.h"

static uint64_t steady_us, suspended_us;

/*
 * Clocks that stand where the test puts them.
 */
static int
fake(clockid_t which, struct timespec *ts)
{
	uint64_t us = steady_us + (which == CLOCK_BOOTTIME ? suspended_us : 0);

	ts->tv_sec = (time_t)(us / 1000000);
	ts->tv_nsec = (long)(us % 1000000) * 1000;
	return 0;
}

/*
 * Waits until the loop's time has moved on, so that the clocks are read.
 */
static uint64_t
next_ms(uv_loop_t *loop)
{
	uint64_t before = uv_now(loop);

	while (uv_now(loop) == before)
		uv_update_time(loop);
	return loop_ms(loop) - uv_now(loop);
}

/*
 * What the machine was suspended for is added, what lies between two readings
 * of the clocks isn't, and time never goes back.
 */
static void
test_suspended(void **state)
{
	uint64_t first;
	uv_loop_t loop;

	(void)state;
	uv_loop_init(&loop);
	steady_us = 5000000;
	loop_clock_use(fake);
	first = next_ms(&loop);
	steady_us += 999;
	suspended_us += 30000;
	assert_int_equal(next_ms(&loop), first);
	suspended_us += 2000000;
	assert_int_equal(next_ms(&loop), first + 2030);
	steady_us += 1;
	assert_int_equal(next_ms(&loop), first + 2030);
	suspended_us -= 1000000;
	assert_int_equal(next_ms(&loop), first + 2030);
	suspended_us += 6000000;
	assert_int_equal(next_ms(&loop), first + 7030);
	assert_int_equal(uv_loop_close(&loop), 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_suspended),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
