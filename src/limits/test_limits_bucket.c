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

/* A loan as the model of its entry sees it. */
struct model_loan {
	uint64_t id; /* 0: none */
	uint64_t end_us;
	uint32_t left; /* not spent, or spent in vain */
	uint32_t shed; /* spent on requests that won't run */
	int spent;
};

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

/*
 * Whatever is lent, spent, returned and left to lapse, no window has more
 * than rate x window + burst.
 */
static void
test_bucket_windows(void **state)
{
	struct limits_ws ws = { 1, 37.5, 11, 0 };
	static uint64_t spent[SPENT_MAX];
	struct limits_share share;
	struct limits_bucket b;
	uint64_t t = 0, end;
	uint32_t got, use;
	size_t n = 0, i;

	(void)state;
	srandom(11);
	limits_share(&ws, 0, &share);
	bucket_init(&b, &share, 1, 0);
	for (i = 1; i < 5000; i++) {
		t += (uint64_t)random() % 60000;
		end = t + (uint64_t)random() % 100000;
		got = bucket_lend(&b, i, (uint32_t)random() % 6,
		    (uint32_t)random() % 12, t, end);
		use = got > 0 ? (uint32_t)random() % (got + 1) : 0;
		assert_true(b.outstanding <= ws.burst);
		/* Some is spent as late as the loan allows, or at once. */
		if (random() % 2 == 0) {
			t = end > t ? end - 1 : t;
			bucket_refill(&b, t);
			if (random() % 2 == 0)
				bucket_report(&b, i, got - use, t);
		} else if (random() % 2 == 0)
			bucket_report(&b, i, got - use, t);
		while (use-- > 0)
			spent[n++] = t;
	}
	assert_true(n > 1000);
	check_windows(spent, n, &ws);
	bucket_finish(&b);
}

/*
 * Spends one loan of the next test: some of its tokens on requests that run
 * now, some on ones that turn out later not to have run.
 */
static void
model_spend(struct model_loan *ln, struct limits_bucket *b, uint64_t t,
    uint64_t *ran, size_t *n)
{
	uint32_t run = (uint32_t)random() % (ln->left + 1);

	if (t < ln->end_us) {
		while (run-- > 0) {
			ran[(*n)++] = t;
			ln->left--;
		}
		ln->shed += ln->left > 0 ? (uint32_t)random() % ln->left : 0;
		ln->left -= ln->shed;
	}
	ln->spent = 1;
	if (random() % 8 > 0)
		bucket_report(b, ln->id, ln->left, t);
}

/*
 * Tokens of requests that did not run go back late, in any order, some of
 * their reports twice or overtaken; what ran stays within the limit in every
 * window, and more runs than without.
 */
static void
test_bucket_refunds(void **state)
{
	struct limits_ws ws = { 1, 37.5, 11, 0 };
	static uint64_t ran[SPENT_MAX];
	struct model_loan loans[8], *ln;
	struct limits_share share;
	struct limits_bucket b;
	uint64_t t, id, back;
	size_t n, seed;

	(void)state;
	limits_share(&ws, 0, &share);
	for (seed = 1, back = 0; seed <= 20; seed++) {
		srandom((unsigned int)seed);
		bucket_init(&b, &share, 1, 0);
		memset(loans, 0, sizeof(loans));
		for (t = n = 0, id = 1; id < 4000;) {
			/* Long calms fill the bucket, bursts empty it. */
			t += (uint64_t)random() %
			     (random() % 64 > 0 ? 2000 : 600000);
			ln = &loans[random() % 8];
			if (ln->id == 0) {
				ln->id = id++;
				ln->end_us = t + (uint64_t)random() % 100000;
				ln->left = bucket_lend(
				    &b, ln->id, 4, 4, t, ln->end_us);
			} else if (!ln->spent) {
				model_spend(ln, &b, t, ran, &n);
			} else if (ln->shed == 0 || random() % 16 == 0) {
				memset(ln, 0, sizeof(*ln));
			} else {
				ln->shed--;
				back += bucket_report(
					    &b, ln->id, ++ln->left, t) == 0;
				bucket_report(&b, ln->id,
				    ln->left - (uint32_t)random() % 2, t);
			}
			assert_true(
			    b.level_nt + b.credit_nt <=
			    ((int64_t)ws.burst - (int64_t)b.outstanding) *
				1000000000);
		}
		assert_true(n > 1000);
		check_windows(ran, n, &ws);
		bucket_finish(&b);
	}
	assert_true(back > 1000);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_shares),
		cmocka_unit_test(test_bucket_loans),
		cmocka_unit_test(test_bucket_windows),
		cmocka_unit_test(test_bucket_refunds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
