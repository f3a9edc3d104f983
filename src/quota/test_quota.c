#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "fleet/fleet.h"
#include "quota/quota.h"

#define TOLERANCE_SHARE 0.1
#define TOLERANCE_TOKENS 20.0
#define WORKSPACE 7
#define RESTARTED_NODES 62
#define NODES 15
#define RUN_MS 30000
#define SERIES_MS (RUN_MS + 1)

static const struct quota_limit limit = { 40, 40 };

/*
 * Returns the highest number of admissions within any window.
 */
static uint32_t
worst_window(const uint32_t *per_ms, int len)
{
	uint32_t sum = 0, worst = 0;
	int i;

	for (i = 0; i < len; i++) {
		sum += per_ms[i];
		if (i >= QUOTA_WINDOW_MS)
			sum -= per_ms[i - QUOTA_WINDOW_MS];
		if (sum > worst)
			worst = sum;
	}
	return worst;
}

/*
 * Returns the number of requests that a limit allows within a window, with its
 * tolerance.
 */
static double
allowed_in_window(const struct quota_limit *l)
{
	return (l->rate * QUOTA_WINDOW_MS / 1000 + l->burst) *
		   (1 + TOLERANCE_SHARE) +
	       TOLERANCE_TOKENS;
}

/*
 * Hot tenant: all nodes request far more than the limit while the owner
 * changes twice and is unavailable for a second, in which the nodes use their
 * reserve.  No window exceeds the limit, and most of the limit is used.
 */
static void
test_window_limit_across_owner_changes(void **state)
{
	static uint32_t per_ms[SERIES_MS];
	struct quota_owner owners[2];
	struct quota_cache stocks[NODES];
	struct quota_grant g;
	uint64_t now, members_changed_ms = 0, id = 1;
	uint32_t need, want, total = 0;
	int owner = 0, n;

	(void)state;
	memset(stocks, 0, sizeof(stocks));
	quota_owner_init(&owners[0]);
	quota_owner_init(&owners[1]);
	for (now = 10000; now < 10000 + RUN_MS; now++) {
		/* Owner 0 until 10 s, 1 until 20 s, none until 21 s. */
		n = now < 20000 ? 0 : now < 30000 ? 1 : now < 31000 ? -1 : 0;
		if (n != owner) {
			quota_owner_drop_bucket(&owners[0], WORKSPACE);
			quota_owner_drop_bucket(&owners[1], WORKSPACE);
			members_changed_ms = now;
			owner = n;
		}
		for (n = 0; n < NODES; n++) {
			if ((now + (uint64_t)n * 7) % 50 != 0)
				continue; /* 20 requests per second and node */
			if (quota_acquire(&stocks[n], now) == QUOTA_ACQUIRED) {
				per_ms[now - 10000]++;
				continue;
			}
			if (owner >= 0) {
				quota_size_request(&stocks[n], 1, &need, &want);
				g = quota_owner_grant_tokens(&owners[owner],
				    WORKSPACE, &limit, id++, need, want,
				    members_changed_ms, now);
				quota_accept_grant(&stocks[n], &g, now);
				if (quota_acquire(&stocks[n], now) ==
				    QUOTA_ACQUIRED) {
					per_ms[now - 10000]++;
					continue;
				}
				if (g.is_owner)
					continue;
			}
			per_ms[now - 10000] +=
			    (uint32_t)quota_acquire_reserve(&stocks[n], &limit,
				TOLERANCE_SHARE, TOLERANCE_TOKENS, NODES, now);
		}
	}
	for (n = 0; n < SERIES_MS; n++)
		total += per_ms[n];
	print_message("worst window %u of %.0f, %u in 30 s at 40 per second\n",
	    worst_window(per_ms, SERIES_MS), allowed_in_window(&limit), total);
	assert_true(
	    worst_window(per_ms, SERIES_MS) <= allowed_in_window(&limit));
	assert_true(total > 40 * 30 * 0.85);
	quota_owner_finish(&owners[0]);
	quota_owner_finish(&owners[1]);
}

/*
 * A workspace that stays within its rate has no request refused, even if most
 * nodes get less than one of its requests per second.
 */
static void
test_low_rate_is_not_refused(void **state)
{
	static const struct quota_limit small = { 5, 5 };
	struct quota_cache stocks[NODES];
	struct quota_owner owner;
	struct quota_grant g;
	uint32_t need, want, refused = 0, asked = 0;
	uint64_t now;
	int n;

	(void)state;
	memset(stocks, 0, sizeof(stocks));
	quota_owner_init(&owner);
	for (now = 20000; now < 40000; now += 250) {
		n = (int)(now / 250 * 7 % NODES);
		asked++;
		if (quota_acquire(&stocks[n], now) == QUOTA_ACQUIRED)
			continue;
		quota_size_request(&stocks[n], 1, &need, &want);
		g = quota_owner_grant_tokens(
		    &owner, WORKSPACE, &small, now, need, want, 0, now);
		quota_accept_grant(&stocks[n], &g, now);
		refused += quota_acquire(&stocks[n], now) != QUOTA_ACQUIRED;
	}
	print_message("%u of %u refused\n", refused, asked);
	assert_int_equal(refused, 0);
	quota_owner_finish(&owner);
}

/*
 * A repeated request gets the same tokens again and uses up no others.
 */
static void
test_repeated_request_gets_same_grant(void **state)
{
	struct quota_owner o;
	struct quota_grant a, b;

	(void)state;
	quota_owner_init(&o);
	a = quota_owner_grant_tokens(
	    &o, WORKSPACE, &limit, 1, 10, 10, 0, 10000);
	b = quota_owner_grant_tokens(
	    &o, WORKSPACE, &limit, 1, 10, 10, 0, 10010);
	assert_int_equal(a.tokens, 10);
	assert_int_equal(b.tokens, 10);
	b = quota_owner_grant_tokens(
	    &o, WORKSPACE, &limit, 2, 40, 40, 0, 10010);
	assert_int_equal(b.tokens, 30);
	b = quota_owner_grant_tokens(&o, WORKSPACE, &limit, 3, 1, 1, 0, 10011);
	assert_int_equal(b.tokens, 0);
	assert_int_equal(b.is_owner, 1);
	assert_true(b.wait_ms > 0);
	quota_owner_finish(&o);
}

/*
 * A new owner grants nothing until the previous owner has stopped.
 */
static void
test_new_owner_waits(void **state)
{
	struct quota_owner o;
	struct quota_grant g;

	(void)state;
	quota_owner_init(&o);
	g = quota_owner_grant_tokens(
	    &o, WORKSPACE, &limit, 1, 1, 1, 10000, 10100);
	assert_int_equal(g.is_owner, 0);
	g = quota_owner_grant_tokens(
	    &o, WORKSPACE, &limit, 2, 1, 1, 10000, 12000);
	assert_int_equal(g.is_owner, 1);
	assert_int_equal(g.tokens, 1);
	quota_owner_finish(&o);
}

/*
 * Hot tenant during a change of the owner: half of the nodes still use the old
 * owner, which has a full bucket, until they notice the change.
 */
static void
test_window_limit_while_owners_overlap(void **state)
{
	static const struct quota_limit large = { 470, 470 };
	static uint32_t per_ms[SERIES_MS];
	struct quota_owner owners[2];
	struct quota_grant g;
	uint64_t now, id = 1;
	uint32_t worst;
	int owner;

	(void)state;
	quota_owner_init(&owners[0]);
	quota_owner_init(&owners[1]);
	memset(per_ms, 0, sizeof(per_ms));
	for (now = 20000; now < 30000; now++) {
		/* The owner changes at 20.5 s; the old one stops at 21.3 s. */
		for (owner = 0; owner < 2; owner++) {
			if (owner == 0 && now >= 21300)
				continue;
			if (owner == 1 && now < 20500)
				continue;
			g = quota_owner_grant_tokens(&owners[owner], WORKSPACE,
			    &large, id++, 5, 5, owner == 0 ? 0 : 20500, now);
			per_ms[now - 20000] += g.tokens;
		}
	}
	worst = worst_window(per_ms, SERIES_MS);
	print_message(
	    "worst window %u of %.0f\n", worst, allowed_in_window(&large));
	assert_true(worst <= allowed_in_window(&large));
	quota_owner_finish(&owners[0]);
	quota_owner_finish(&owners[1]);
}

/*
 * A lowered limit applies from the next request on.
 */
static void
test_lowered_limit_applies_at_once(void **state)
{
	static const struct quota_limit low = { 2, 2 };
	struct quota_owner o;
	struct quota_grant g;
	uint64_t now;
	uint32_t granted = 0;

	(void)state;
	quota_owner_init(&o);
	quota_owner_grant_tokens(&o, WORKSPACE, &limit, 1, 1, 1, 0, 10000);
	for (now = 10001; now < 15001; now += 10) {
		g = quota_owner_grant_tokens(
		    &o, WORKSPACE, &low, now, 1, 1, 0, now);
		granted += g.tokens;
	}
	assert_true(granted <= 2 * 5 + 2);
	quota_owner_finish(&o);
}

/*
 * The token of a request that didn't run serves another request.
 */
static void
test_returned_token_is_reused(void **state)
{
	struct quota_cache s;
	struct quota_grant none = { 0, 50, 1, 0 };

	(void)state;
	memset(&s, 0, sizeof(s));
	quota_accept_grant(&s, &none, 10000);
	assert_int_equal(quota_acquire(&s, 10001), QUOTA_EXHAUSTED);
	quota_return_token(&s, 10002);
	assert_int_equal(quota_acquire(&s, 10003), QUOTA_ACQUIRED);
	assert_int_equal(quota_acquire(&s, 10004), QUOTA_ASK_OWNER);
}

/*
 * Thundering herd: the whole fleet restarts while one workspace requests far
 * more than its rate.  Nodes that don't know the fleet size yet grant nothing
 * from the reserve, and all nodes together never exceed it.
 */
static void
test_reserve_at_fleet_restart(void **state)
{
	const struct quota_limit big = { 470, 470 };
	static struct quota_cache stocks[RESTARTED_NODES];
	uint32_t granted = 0, n, i;

	(void)state;
	for (n = 0; n < RESTARTED_NODES; n++)
		for (i = 0; i < 100; i++)
			granted += (uint32_t)quota_acquire_reserve(&stocks[n],
			    &big, TOLERANCE_SHARE, TOLERANCE_TOKENS,
			    FLEET_SIZE_UNKNOWN, 20000 + i);
	assert_int_equal(granted, 0);
	for (n = 0; n < RESTARTED_NODES; n++)
		for (i = 0; i < 100; i++)
			granted += (uint32_t)quota_acquire_reserve(&stocks[n],
			    &big, TOLERANCE_SHARE, TOLERANCE_TOKENS,
			    RESTARTED_NODES, 20100 + i);
	assert_true(granted > 0);
	assert_true(
	    granted <= (470 * 5 + 470) * TOLERANCE_SHARE + TOLERANCE_TOKENS);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_window_limit_across_owner_changes),
		cmocka_unit_test(test_low_rate_is_not_refused),
		cmocka_unit_test(test_repeated_request_gets_same_grant),
		cmocka_unit_test(test_new_owner_waits),
		cmocka_unit_test(test_window_limit_while_owners_overlap),
		cmocka_unit_test(test_lowered_limit_applies_at_once),
		cmocka_unit_test(test_returned_token_is_reused),
		cmocka_unit_test(test_reserve_at_fleet_restart),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
