#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <pthread.h>
#include <stdint.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/find.h"
#include "base/stack.h"

#define DEEP_BYTES 65536

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

/*
 * Touches a page deep in the stack and returns its address.
 */
static uintptr_t __attribute__((noinline)) touch_deep(size_t page)
{
	volatile char deep[DEEP_BYTES];

	deep[0] = 1;
	return (uintptr_t)deep & ~(page - 1);
}

/*
 * Tells whether a page is resident.
 */
static int
is_resident(uintptr_t at, size_t page)
{
	unsigned char in = 0;

	assert_int_equal(mincore((void *)at, page, &in), 0);
	return in & 1;
}

/*
 * A thread's stack below its frame is resident once used, and no more once
 * released.
 */
static void *
release_stack(void *ctx)
{
	size_t page = (size_t)sysconf(_SC_PAGESIZE);
	uintptr_t at = touch_deep(page);

	(void)ctx;
	assert_true(is_resident(at, page));
	stack_release(stack_low());
	assert_false(is_resident(at, page));
	return NULL;
}

static void
test_stack_is_released(void **state)
{
	pthread_t t;

	(void)state;
	assert_int_equal(pthread_create(&t, NULL, release_stack, NULL), 0);
	assert_int_equal(pthread_join(t, NULL), 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_finds_collects_all),
		cmocka_unit_test(test_counter_sums),
		cmocka_unit_test(test_clock_is_monotonic),
		cmocka_unit_test(test_stack_is_released),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
