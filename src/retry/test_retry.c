#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#include "base/clock.h"
#include "retry/parents.h"
#include "retry/retry.h"

#define TREES 3000
#define DEPTH_MIN 4
#define DEPTH_MAX 18
#define THREADS 8
#define GRANTS 20000
#define LOOKUPS 200000

/* A call tree whose calls fail at random at every level. */
struct tree {
	uint64_t rnd;
	uint32_t depth;
	uint32_t width;
	uint32_t fail_in_8;
	uint32_t retries; /* used in the whole tree */
};

/*
 * Returns the next number of a seeded sequence, below n.
 */
static uint32_t
random_below(struct tree *t, uint32_t n)
{
	t->rnd = t->rnd * 6364136223846793005ULL + 1442695040888963407ULL;
	return (uint32_t)(t->rnd >> 33) % n;
}

/*
 * Simulates one call with its attempts and, at the server, its inner calls.
 * Returns the unused retries of its grant.
 */
static uint32_t
simulate_call(struct tree *t, uint32_t granted, uint32_t depth)
{
	struct retry_chain caller_chain, server_chain;
	uint32_t attempt_grant, left, i, call_grants[3] = { 0 };

	retry_chain_init(&caller_chain, granted);
	for (;;) {
		attempt_grant = retry_grant_to_attempt(&caller_chain);
		retry_chain_init(&server_chain, attempt_grant);
		if (depth > 1) {
			for (i = 0; i < t->width; i++)
				call_grants[i] =
				    retry_grant_to_call(&server_chain);
			for (i = 0; i < t->width; i++) {
				left =
				    simulate_call(t, call_grants[i], depth - 1);
				if (random_below(t, 8) >= t->fail_in_8)
					retry_return_unused(&server_chain,
					    call_grants[i], left);
			}
		}
		left = retry_chain_close(&server_chain);
		retry_return_unused(&server_chain, RETRY_MAX, RETRY_MAX);
		assert_int_equal(retry_grant_to_call(&server_chain), 0);
		if (random_below(t, 8) >= t->fail_in_8) {
			retry_return_unused(&caller_chain, attempt_grant, left);
			break;
		}
		if (random_below(t, 2) == 0)
			retry_return_unused(&caller_chain, attempt_grant, left);
		if (!retry_spend(&caller_chain))
			break;
		t->retries++;
	}
	return retry_chain_close(&caller_chain);
}

/*
 * A call tree uses at most the retries of its root, whatever fails at
 * whatever depth.  Some trees use all of them.
 */
static void
test_tree_never_exceeds_root_retries(void **state)
{
	struct tree t = { 42, 0, 0, 0, 0 };
	uint32_t i, root, fully_used = 0;

	(void)state;
	for (i = 0; i < TREES; i++) {
		t.depth =
		    DEPTH_MIN + random_below(&t, DEPTH_MAX - DEPTH_MIN + 1);
		t.width = t.depth <= 6 ? 1 + random_below(&t, 3) : 1;
		t.fail_in_8 = random_below(&t, 8);
		t.retries = 0;
		root = random_below(&t, RETRY_MAX + 1);
		simulate_call(&t, root, t.depth);
		assert_true(t.retries <= root);
		fully_used += root > 0 && t.retries == root;
	}
	print_message(
	    "%u of %d call trees used all their retries\n", fully_used, TREES);
	assert_true(fully_used > TREES / 20);
}

/*
 * An answer that reports more retries than were granted returns the grant at
 * most.
 */
static void
test_return_is_clamped_to_grant(void **state)
{
	struct retry_chain c;
	uint32_t granted;

	(void)state;
	retry_chain_init(&c, 4);
	granted = retry_grant_to_attempt(&c);
	assert_int_equal(granted, 3);
	retry_return_unused(&c, granted, 1000);
	assert_int_equal(retry_chain_close(&c), 4);
}

/*
 * Grants to consecutive inner calls, and to an attempt, by the number of
 * retries left.
 */
static void
test_grants_to_calls_and_attempts(void **state)
{
	static const struct {
		uint32_t left, calls[4], attempt;
	} rows[] = {
		{ 0, { 0, 0, 0, 0 }, 0 },
		{ 1, { 1, 0, 0, 0 }, 1 },
		{ 2, { 1, 1, 0, 0 }, 1 },
		{ 3, { 2, 1, 0, 0 }, 2 },
		{ 10, { 5, 3, 1, 1 }, 9 },
		{ 99, { 5, 3, 1, 1 }, 9 },
	};
	struct retry_chain c;
	size_t i, j;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		retry_chain_init(&c, rows[i].left);
		for (j = 0; j < 4; j++)
			assert_int_equal(
			    retry_grant_to_call(&c), rows[i].calls[j]);
		retry_chain_init(&c, rows[i].left);
		assert_int_equal(retry_grant_to_attempt(&c), rows[i].attempt);
	}
}

/*
 * The verdict for every reason, for requests that may have run and for those
 * that did not.
 */
static void
test_verdict_for_each_reason(void **state)
{
	static const struct {
		struct retry_failure q;
		uint32_t left;
		int budget_empty;
		enum retry_verdict verdict;
	} rows[] = {
		{ { RETRY_NO_CONNECTION, 1, 0, 0, 1, 0, 9999999, 0, 7 }, 1, 0,
		    RETRY_NOW },
		{ { RETRY_NO_CONNECTION, 1, 0, 0, 1, 0, 9999999, 0, 7 }, 0, 0,
		    RETRY_GIVE_UP },
		{ { RETRY_NO_CONNECTION, 1, 0, 0, 1, 0, 9999999, 0, 7 }, 1, 1,
		    RETRY_NOW },
		{ { RETRY_LEAVING, 1, 0, 0, 1, 0, 9999999, 0, 7 }, 1, 1,
		    RETRY_NOW },
		{ { RETRY_OVERLOAD, 1, 0, 0, 1, 1, 9999999, 0, 7 }, 1, 0,
		    RETRY_NOW },
		{ { RETRY_OVERLOAD, 1, 0, 0, 2, 2, 9999999, 0, 7 }, 1, 0,
		    RETRY_GIVE_UP },
		{ { RETRY_OVERLOAD, 1, 0, 0, 1, 1, 9999999, 0, 7 }, 1, 1,
		    RETRY_GIVE_UP },
		{ { RETRY_OVERLOAD_ALL, 1, 1, 0, 1, 0, 9999999, 0, 7 }, 9, 0,
		    RETRY_GIVE_UP },
		{ { RETRY_BROKEN_EXCHANGE, 0, 1, 0, 1, 0, 9999999, 0, 7 }, 1, 0,
		    RETRY_AFTER_DELAY },
		{ { RETRY_BROKEN_EXCHANGE, 0, 0, 0, 1, 0, 9999999, 0, 7 }, 9, 0,
		    RETRY_GIVE_UP },
		{ { RETRY_BROKEN_EXCHANGE, 0, 1, 0, 1, 0, 9999999, 0, 7 }, 9, 1,
		    RETRY_GIVE_UP },
		{ { RETRY_BROKEN_EXCHANGE, 0, 1, 1, 1, 0, 9999999, 0, 7 }, 9, 0,
		    RETRY_GIVE_UP },
		{ { RETRY_SERVER_FAILED, 0, 1, 0, 1, 0, 9999999, 0, 7 }, 1, 0,
		    RETRY_AFTER_DELAY },
		{ { RETRY_SERVER_FAILED, 0, 0, 0, 1, 0, 9999999, 0, 7 }, 1, 0,
		    RETRY_GIVE_UP },
		{ { RETRY_SERVER_FAILED, 0, 1, 0, 1, 0, 5000, 0, 7 }, 1, 0,
		    RETRY_GIVE_UP },
		{ { RETRY_SERVER_FAILED, 0, 1, 0, 1, 0, 50000, 50000, 7 }, 1, 0,
		    RETRY_GIVE_UP },
		{ { RETRY_DEADLINE, 0, 1, 0, 1, 0, 9999999, 0, 7 }, 9, 0,
		    RETRY_GIVE_UP },
		{ { RETRY_NOT_RETRYABLE, 1, 1, 0, 1, 0, 9999999, 0, 7 }, 9, 0,
		    RETRY_GIVE_UP },
		/* The reason was never set. */
		{ { .not_run = 1, .idempotent = 1, .time_left_us = 9999999 }, 9,
		    0, RETRY_GIVE_UP },
	};
	struct retry_chain c;
	struct retry_budget b;
	enum retry_verdict v;
	uint32_t delay;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		retry_chain_init(&c, rows[i].left);
		retry_budget_init(&b, 5000);
		while (rows[i].budget_empty && retry_budget_spend(&b, 5000))
			;
		v = retry_decide(&rows[i].q, &c, &b, 5000, &delay);
		assert_int_equal(v, rows[i].verdict);
		assert_int_equal(
		    retry_chain_close(&c), rows[i].left - (v != RETRY_GIVE_UP));
	}
}

/*
 * While every request fails, a route's retries fall to one in two seconds.
 * While requests succeed, a tenth of them may be retried.
 */
static void
test_budget_limits_retry_rate(void **state)
{
	struct retry_budget b;
	uint64_t now;
	int i, spent = 0;

	(void)state;
	retry_budget_init(&b, 0);
	for (now = 1; now <= 20000; now++)
		spent += retry_budget_spend(&b, now);
	assert_int_equal(spent, 10 + 10);
	spent = 0;
	for (i = 0; i < 1000; i++) {
		retry_budget_add_success(&b);
		spent += retry_budget_spend(&b, now);
	}
	assert_int_equal(spent, 100);
}

/*
 * Grants and returns retries of a shared chain many times.
 */
static void *
grant_and_return(void *arg)
{
	struct retry_chain *c = arg;
	uint32_t i, n;

	for (i = 0; i < GRANTS; i++) {
		n = retry_grant_to_call(c);
		retry_return_unused(c, n, n);
	}
	return NULL;
}

/*
 * Threads that grant and return concurrently neither lose nor create a
 * retry.
 */
static void
test_concurrent_grants(void **state)
{
	pthread_t th[THREADS];
	struct retry_chain c;
	int i;

	(void)state;
	retry_chain_init(&c, RETRY_MAX);
	for (i = 0; i < THREADS; i++)
		pthread_create(&th[i], NULL, grant_and_return, &c);
	for (i = 0; i < THREADS; i++)
		pthread_join(th[i], NULL);
	assert_int_equal(retry_chain_close(&c), RETRY_MAX);
}

/*
 * A token finds its request until the request ends.  A reference that is still
 * held then shows that the request has ended.  Malformed and unknown tokens
 * find nothing.
 */
static void
test_token_valid_until_request_ends(void **state)
{
	static const char *const bad[] = { "", "00", "zz",
		"00000000000000000000000000000000",
		"0000000000000000000000000000000g",
		"000000000000000000000000000000000" };
	struct parent_context ctx = { .root_hash = 7, .workspace = "acme" };
	struct parent *p, *found;
	struct parents ps;
	char text[PARENT_TOKEN_TEXT];
	uint64_t t;
	size_t i;

	(void)state;
	parents_init(&ps);
	p = parents_add(&ps, &ctx, 3);
	parent_token_format(p, text);
	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		assert_null(parents_get(&ps, bad[i]));
	found = parents_get(&ps, text);
	assert_ptr_equal(found, p);
	assert_string_equal(found->context.workspace, "acme");
	assert_int_equal(retry_grant_to_call(&found->chain), 2);
	t = clock_us();
	for (i = 0; i < LOOKUPS; i++)
		parent_put(parents_get(&ps, text));
	t = clock_us() - t;
	print_message("%.0f ns per lookup\n", (double)t * 1e3 / LOOKUPS);
	assert_int_equal(parent_chain_level(p), ADMISSION_CHAIN_LEVEL_UNKNOWN);
	parent_lower_chain_level(found, 70);
	parent_lower_chain_level(found, 90);
	assert_int_equal(parent_chain_level(p), 70);
	assert_false(parent_has_ended(found));
	assert_int_equal(parents_count(&ps), 1);
	assert_int_equal(parents_end(&ps, p), 1);
	assert_null(parents_get(&ps, text));
	assert_true(parent_has_ended(found));
	assert_int_equal(retry_grant_to_call(&found->chain), 0);
	parent_put(found);
	assert_int_equal(parents_count(&ps), 0);
	parents_finish(&ps);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_tree_never_exceeds_root_retries),
		cmocka_unit_test(test_return_is_clamped_to_grant),
		cmocka_unit_test(test_grants_to_calls_and_attempts),
		cmocka_unit_test(test_verdict_for_each_reason),
		cmocka_unit_test(test_budget_limits_retry_rate),
		cmocka_unit_test(test_concurrent_grants),
		cmocka_unit_test(test_token_valid_until_request_ends),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
