#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/find.h"

static const struct find_msg msgs[] = {
	{ FIND_WARNING, "unused" },
	{ FIND_ERROR, "missing" },
};

/*
 * All findings are kept, and only errors are counted as such.
 */
static void
test_finds_collects_all(void **state)
{
	struct finds fs;
	int i;

	(void)state;
	finds_init(&fs);
	for (i = 0; i < 20; i++)
		finds_add(&fs, &msgs[i % 2], "/routes/0", "item %d", i);
	assert_int_equal(fs.count, 20);
	assert_int_equal(fs.errors, 10);
	assert_string_equal(fs.list[19].detail, "item 19");
	finds_finish(&fs);
}

/*
 * A counter sums what was added, and every counter has a name.
 */
static void
test_counter_sums(void **state)
{
	int i;

	(void)state;
	counter_add(CTR_SHED, 2);
	counter_add(CTR_SHED, 3);
	assert_int_equal(counter_sum(CTR_SHED), 5);
	for (i = 0; i < CTR_MAX; i++)
		assert_non_null(counter_name((enum counter)i));
}

/*
 * The clock doesn't run backwards.
 */
static void
test_clock_is_monotonic(void **state)
{
	uint64_t a = clock_us(), b = clock_us();

	(void)state;
	assert_true(b >= a);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_finds_collects_all),
		cmocka_unit_test(test_counter_sums),
		cmocka_unit_test(test_clock_is_monotonic),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
