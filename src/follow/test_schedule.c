#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "follow/schedule.h"

/*
 * Incident 5: the age at which a node read the store was longer than the bound
 * within which a version must be in force.  The worst case of each schedule
 * stays below its bound, and the times leave room for each other.
 */
static void
test_worst_case_is_within_bound(void **state)
{
	struct follow_schedule s;
	uint64_t bound_ms;

	(void)state;
	for (bound_ms = 1000; bound_ms <= 60000; bound_ms += 50) {
		follow_schedule_init(&s, bound_ms);
		/* A fifth is left for late timers and copies to other nodes. */
		assert_true(follow_schedule_worst_ms(&s) <= bound_ms * 4 / 5);
		/* A reader's proof is young enough to be of use. */
		assert_true(s.close_wait_ms < s.query_age_ms);
		/* A lost query is repeated before the store is read. */
		assert_true(s.query_age_ms + s.query_interval_ms + s.check_ms <=
			    s.read_age_ms);
		assert_true(s.check_ms <= s.query_interval_ms);
	}
}

/*
 * The times follow from the bound, so that slower fleets read less often.
 */
static void
test_times_follow_bound(void **state)
{
	struct follow_schedule s;

	(void)state;
	follow_schedule_init(&s, 2000);
	assert_int_equal(s.close_wait_ms, 400);
	assert_int_equal(s.read_age_ms, 720);
	assert_int_equal(s.check_ms, 100);
	assert_int_equal(s.retry_max_ms, 300);
	assert_int_equal(s.read_timeout_ms, 400);
	follow_schedule_init(&s, 13000);
	assert_int_equal(s.close_wait_ms, 2600);
	assert_int_equal(s.check_ms, 100);
	/* Not a read every millisecond. */
	follow_schedule_init(&s, 0);
	assert_int_equal(s.close_wait_ms, 200);
	assert_int_equal(s.check_ms, 50);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_worst_case_is_within_bound),
		cmocka_unit_test(test_times_follow_bound),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
