#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "limits/limits_bucket.h"
#include "limits/test_windows.h"

#define MS 1000
#define SPENT_MAX 65536

/* A loan in the model of an entry node. */
struct model_loan {
	uint64_t id; /* 0: no loan */
	uint64_t expire_us;
	uint32_t unspent; /* tokens not spent, or returned later */
	uint32_t not_run; /* spent on requests that do not run */
	int spent;
};

/*
 * The shares of a limit's shards sum to the whole, and the shards lie in
 * different groups.
 */
static void
test_shares_sum_to_limit(void **state)
{
	static const struct {
		double rate;
		uint32_t burst, shards;
	} cases[] = { { 50, 100, 3 }, { 0.5, 2, 1 }, { 10, 29, 1 },
		{ 10, 30, 3 }, { 0.001, 31, 3 }, { 1e6, 32, 3 }, { 0, 1, 1 },
		{ -1, 0, 1 } };
	struct limits_workspace ws = { 12345, 0, 0, 0 };
	struct limits_share s;
	uint64_t rate, burst;
	size_t i;
	uint32_t k;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		ws.rate = cases[i].rate;
		ws.burst = cases[i].burst;
		assert_int_equal(limits_shard_count(ws.burst), cases[i].shards);
		rate = burst = 0;
		for (k = 0; k < cases[i].shards; k++) {
			limits_compute_share(&ws, k, &s);
			rate += s.rate_mt;
			burst += s.burst;
			assert_int_equal(limits_partition_shard(&ws,
					     limits_shard_partition(&ws, k)),
			    k);
			if (cases[i].shards > 1)
				assert_int_equal(
				    limits_shard_partition(&ws, k) /
					LEASE_GROUP_PARTS,
				    k);
		}
		assert_int_equal(burst, ws.burst);
		assert_int_equal(
		    rate, ws.rate > 0 ? (uint64_t)(ws.rate * 1000) : 0);
	}
}

/*
 * Outstanding tokens take room in the bucket until their loan is reported or
 * expires.
 */
static void
test_loans_reserve_room(void **state)
{
	struct limits_share share = { 10000, 10 };
	struct limits_bucket b;

	(void)state;
	bucket_init(&b, &share, 1, 0);
	assert_int_equal(bucket_grant(&b, 1, 8, 8, 0, 500 * MS), 8);
	assert_int_equal(bucket_grant(&b, 1, 8, 8, 0, 500 * MS), 8);
	assert_int_equal(b.outstanding, 8);
	bucket_refill(&b, 400 * MS);
	assert_int_equal(b.level_nt / 1000000000, 2);
	assert_int_equal(bucket_settle_loan(&b, 1, 3, 400 * MS), 0);
	assert_int_equal(bucket_settle_loan(&b, 1, 3, 400 * MS), -1);
	assert_int_equal(b.level_nt / 1000000000, 5);
	assert_int_equal(bucket_grant(&b, 2, 9, 9, 400 * MS, 900 * MS), 5);
	assert_int_equal(bucket_grant(&b, 3, 9, 9, 400 * MS, 900 * MS), 0);
	assert_int_equal(bucket_wait_us(&b, 1), 100001);
	/* Loan 2 expires at 0.9 s: level 5, which rises from then on. */
	bucket_refill(&b, 1100 * MS);
	assert_int_equal(b.level_nt / 1000000, 7000);
	assert_int_equal(bucket_settle_loan(&b, 2, 5, 1100 * MS), -1);
	/* A prefetch gets only a part of what remains. */
	assert_int_equal(bucket_grant(&b, 4, 1, 50, 1100 * MS, 1600 * MS), 2);
	share.burst = 3;
	bucket_resize(&b, &share, 1100 * MS);
	assert_int_equal(b.level_nt / 1000000000, 1);
	bucket_finish(&b);
}

/*
 * For random loans that are spent, returned or left to expire, no window has
 * more requests than rate x window + burst.
 */
static void
test_no_window_over_limit(void **state)
{
	struct limits_workspace ws = { 1, 37.5, 11, 0 };
	static uint64_t spent[SPENT_MAX];
	struct limits_share share;
	struct limits_bucket b;
	uint64_t t = 0, expire_us;
	uint32_t granted, used;
	size_t n = 0, i;

	(void)state;
	srandom(11);
	limits_compute_share(&ws, 0, &share);
	bucket_init(&b, &share, 1, 0);
	for (i = 1; i < 5000; i++) {
		t += (uint64_t)random() % 60000;
		expire_us = t + (uint64_t)random() % 100000;
		granted = bucket_grant(&b, i, (uint32_t)random() % 6,
		    (uint32_t)random() % 12, t, expire_us);
		used = granted > 0 ? (uint32_t)random() % (granted + 1) : 0;
		assert_true(b.outstanding <= ws.burst);
		/* Spend as late as the loan allows, or at once. */
		if (random() % 2 == 0) {
			t = expire_us > t ? expire_us - 1 : t;
			bucket_refill(&b, t);
			if (random() % 2 == 0)
				bucket_settle_loan(&b, i, granted - used, t);
		} else if (random() % 2 == 0)
			bucket_settle_loan(&b, i, granted - used, t);
		while (used-- > 0)
			spent[n++] = t;
	}
	assert_true(n > 1000);
	check_windows(spent, n, &ws);
	bucket_finish(&b);
}

/*
 * Spends one loan of the next test: some tokens on requests that run now, some
 * on requests that are later found not to have run.
 */
static void
model_spend(struct model_loan *ln, struct limits_bucket *b, uint64_t t,
    uint64_t *run_us, size_t *n)
{
	uint32_t to_run = (uint32_t)random() % (ln->unspent + 1);

	if (t < ln->expire_us) {
		while (to_run-- > 0) {
			run_us[(*n)++] = t;
			ln->unspent--;
		}
		ln->not_run +=
		    ln->unspent > 0 ? (uint32_t)random() % ln->unspent : 0;
		ln->unspent -= ln->not_run;
	}
	ln->spent = 1;
	if (random() % 8 > 0)
		bucket_settle_loan(b, ln->id, ln->unspent, t);
}

/*
 * Tokens of requests that did not run are returned late and in any order, with
 * some reports repeated or out of order.  The requests that ran stay within
 * the limit in every window, and more of them run than without the returns.
 */
static void
test_late_refunds_stay_within_limit(void **state)
{
	struct limits_workspace ws = { 1, 37.5, 11, 0 };
	static uint64_t run_us[SPENT_MAX];
	struct model_loan loans[8], *ln;
	struct limits_share share;
	struct limits_bucket b;
	uint64_t t, id, returned;
	size_t n, seed;

	(void)state;
	limits_compute_share(&ws, 0, &share);
	for (seed = 1, returned = 0; seed <= 20; seed++) {
		srandom((unsigned int)seed);
		bucket_init(&b, &share, 1, 0);
		memset(loans, 0, sizeof(loans));
		for (t = n = 0, id = 1; id < 4000;) {
			/* Long gaps fill the bucket, short ones empty it. */
			t += (uint64_t)random() %
			     (random() % 64 > 0 ? 2000 : 600000);
			ln = &loans[random() % 8];
			if (ln->id == 0) {
				ln->id = id++;
				ln->expire_us = t + (uint64_t)random() % 100000;
				ln->unspent = bucket_grant(
				    &b, ln->id, 4, 4, t, ln->expire_us);
			} else if (!ln->spent) {
				model_spend(ln, &b, t, run_us, &n);
			} else if (ln->not_run == 0 || random() % 16 == 0) {
				memset(ln, 0, sizeof(*ln));
			} else {
				ln->not_run--;
				returned += bucket_settle_loan(&b, ln->id,
						++ln->unspent, t) == 0;
				bucket_settle_loan(&b, ln->id,
				    ln->unspent - (uint32_t)random() % 2, t);
			}
			assert_true(
			    b.level_nt + b.credit_nt <=
			    ((int64_t)ws.burst - (int64_t)b.outstanding) *
				1000000000);
		}
		assert_true(n > 1000);
		check_windows(run_us, n, &ws);
		bucket_finish(&b);
	}
	assert_true(returned > 1000);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_shares_sum_to_limit),
		cmocka_unit_test(test_loans_reserve_room),
		cmocka_unit_test(test_no_window_over_limit),
		cmocka_unit_test(test_late_refunds_stay_within_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
