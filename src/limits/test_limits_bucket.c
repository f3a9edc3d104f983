#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "limits/limits_bucket.h"

#define MS 1000

/*
 * Shards' parts sum to the whole, and lie in different groups.
 */
static void
test_shares(void **state)
{
	static const struct {
		double rate;
		uint32_t burst, shards;
	} cases[] = { { 50, 100, 3 }, { 0.5, 2, 1 }, { 10, 29, 1 },
		{ 10, 30, 3 }, { 0.001, 31, 3 }, { 1e6, 32, 3 }, { 0, 1, 1 },
		{ -1, 0, 1 } };
	struct limits_ws ws = { 12345, 0, 0, 0 };
	struct limits_share s;
	uint64_t rate, burst;
	size_t i;
	uint32_t k;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		ws.rate = cases[i].rate;
		ws.burst = cases[i].burst;
		assert_int_equal(limits_shards(ws.burst), cases[i].shards);
		rate = burst = 0;
		for (k = 0; k < cases[i].shards; k++) {
			limits_share(&ws, k, &s);
			rate += s.rate_mt;
			burst += s.burst;
			assert_int_equal(
			    limits_shard_of(&ws, limits_part(&ws, k)), k);
			if (cases[i].shards > 1)
				assert_int_equal(
				    limits_part(&ws, k) / LEASE_GROUP_PARTS, k);
		}
		assert_int_equal(burst, ws.burst);
		assert_int_equal(
		    rate, ws.rate > 0 ? (uint64_t)(ws.rate * 1000) : 0);
	}
}

/*
 * Loans: what is out takes room in the bucket until reported or lapsed.
 */
static void
test_bucket_loans(void **state)
{
	struct limits_share share = { 10000, 10 };
	struct limits_bucket b;

	(void)state;
	bucket_init(&b, &share, 1, 0);
	assert_int_equal(bucket_lend(&b, 1, 8, 8, 0, 500 * MS), 8);
	assert_int_equal(bucket_lend(&b, 1, 8, 8, 0, 500 * MS), 8);
	assert_int_equal(b.outstanding, 8);
	bucket_refill(&b, 400 * MS);
	assert_int_equal(b.level_nt / 1000000000, 2);
	assert_int_equal(bucket_report(&b, 1, 3, 400 * MS), 0);
	assert_int_equal(bucket_report(&b, 1, 3, 400 * MS), -1);
	assert_int_equal(b.level_nt / 1000000000, 5);
	assert_int_equal(bucket_lend(&b, 2, 9, 9, 400 * MS, 900 * MS), 5);
	assert_int_equal(bucket_lend(&b, 3, 9, 9, 400 * MS, 900 * MS), 0);
	assert_int_equal(bucket_wait_us(&b, 1), 100001);
	/* Lapsed at 0.9 s: 5 tokens by then, and it fills from there on. */
	bucket_refill(&b, 1100 * MS);
	assert_int_equal(b.level_nt / 1000000, 7000);
	assert_int_equal(bucket_report(&b, 2, 5, 1100 * MS), -1);
	/* A prefetch gets a part of what is left only. */
	assert_int_equal(bucket_lend(&b, 4, 1, 50, 1100 * MS, 1600 * MS), 2);
	share.burst = 3;
	bucket_resize(&b, &share, 1100 * MS);
	assert_int_equal(b.level_nt / 1000000000, 1);
	bucket_finish(&b);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_shares),
		cmocka_unit_test(test_bucket_loans),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
