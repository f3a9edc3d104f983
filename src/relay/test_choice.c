#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "relay/budget.h"
#include "relay/choice.h"
#include "relay/retry_after.h"

#define SAMPLE_COUNT 4000
#define SERVER_COUNT 3
#define RETRY_RATIO 0.2
#define RETRY_SLACK 49
#define WINDOW_S 10
#define NODE_COUNT 15

/* Three candidate servers and the index of the one to choose. */
struct choice_case {
	const char *name;
	struct choice list[SERVER_COUNT];
	int best;
};

static const struct choice_case choice_cases[] = {
	{ "server with the least outstanding work",
	    { { 0.5, 0, 0, 1, 0, 0 }, { 0.2, 0, 1, 1, 0, 0 },
		{ 0.9, 0, 2, 1, 0, 0 } },
	    1 },
	{ "same zone while it has room",
	    { { 0.4, 0, 0, 1, 0, 0 }, { 0.2, 0, 1, 0, 0, 0 },
		{ 0.3, 0, 2, 0, 0, 0 } },
	    0 },
	{ "another zone where this one is full",
	    { { 0.9, 0, 0, 1, 0, 0 }, { 0.2, 0, 1, 0, 0, 0 },
		{ 0.6, 0, 2, 0, 0, 0 } },
	    1 },
	{ "grey failure: a quickly failing server isn't preferred",
	    { { 0, 0.5, 0, 1, 0, 0 }, { 0.7, 0, 1, 1, 0, 0 },
		{ 0.8, 0, 2, 1, 0, 0 } },
	    1 },
	{ "recently started server is avoided",
	    { { 0, 0, 0, 1, 1, 0 }, { 0.4, 0, 1, 1, 0, 0 },
		{ 0.5, 0, 2, 1, 0, 0 } },
	    1 },
	{ "unreachable server only as a last resort",
	    { { 0, 0, 0, 1, 0, 1 }, { 3, 0.9, 1, 0, 1, 0 },
		{ 5, 0.9, 2, 0, 1, 0 } },
	    1 },
};

/*
 * The expected server is chosen whatever the random seed.
 */
static void
test_best_server(void **state)
{
	const struct choice_case *r;
	size_t i, draw;

	(void)state;
	for (i = 0; i < sizeof(choice_cases) / sizeof(choice_cases[0]); i++) {
		r = &choice_cases[i];
		print_message("%s\n", r->name);
		for (draw = 0; draw < SAMPLE_COUNT; draw++)
			assert_int_equal(choice_best(r->list, SERVER_COUNT,
					     draw * 2654435761u),
			    r->best);
	}
	assert_int_equal(choice_best(choice_cases[0].list, 0, 1), -1);
}

/*
 * Grey failure: a failing server is noticed after a few attempts.  Its failure
 * share decays without traffic, so a recovered server is tried again.
 */
static void
test_failures_fade(void **state)
{
	struct choice_health h = { 0, 0 };
	int i;

	(void)state;
	for (i = 0; i < 20; i++)
		choice_record_attempt(&h, i % 2, 1000 + (uint64_t)i);
	assert_true(choice_failure_share(&h, 1020) > 0.3);
	assert_true(choice_failure_share(&h, 1020) < 0.9);
	assert_true(choice_failure_share(&h, 9000) < 0.05);
	for (i = 0; i < 100; i++)
		choice_record_attempt(&h, 0, 9000);
	assert_true(choice_failure_share(&h, 9000) < 0.01);
}

/*
 * Equal servers get about equal shares of the requests.
 */
static void
test_equal_servers_share_load(void **state)
{
	static const struct choice same = { 0.5, 0, 0, 1, 0, 0 };
	struct choice list[SERVER_COUNT] = { same, same, same };
	uint32_t chosen[SERVER_COUNT] = { 0 };
	size_t draw;

	(void)state;
	for (draw = 0; draw < SAMPLE_COUNT; draw++)
		chosen[choice_best(
		    list, SERVER_COUNT, draw * 0x9e3779b97f4a7c15u)]++;
	for (draw = 0; draw < SERVER_COUNT; draw++)
		assert_in_range(
		    chosen[draw], SAMPLE_COUNT / 4, SAMPLE_COUNT / 2);
}

/*
 * Thundering herd: the delays of callers refused together differ by at least
 * the time of a run, and none is zero.
 */
static void
test_retry_after_spread(void **state)
{
	uint64_t ms, least = UINT64_MAX, most = 0, rnd;

	(void)state;
	for (rnd = 0; rnd < SAMPLE_COUNT; rnd++) {
		ms = retry_after_delay_ms(
		    RETRY_AFTER_THROTTLED, 0, rnd * 2654435761u);
		least = ms < least ? ms : least;
		most = ms > most ? ms : most;
	}
	assert_true(least >= 500);
	assert_true(most - least >= 900);
	for (rnd = 0; rnd < RETRY_AFTER_MAX; rnd++)
		assert_true(retry_after_delay_ms(
				(enum retry_after_reason)rnd, 0, 0) > 0);
}

/*
 * With a target latency every delay is at most half of it, so that retries can
 * still meet the target.  The delays remain spread out.
 */
static void
test_retry_after_within_target(void **state)
{
	static const uint64_t targets[] = { 200, 600, 1500, 5000 };
	uint64_t ms, least, most, rnd;
	enum retry_after_reason reason;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(targets) / sizeof(targets[0]); i++)
		for (reason = 0; reason < RETRY_AFTER_MAX; reason++) {
			least = UINT64_MAX;
			most = 0;
			for (rnd = 0; rnd < SAMPLE_COUNT; rnd++) {
				ms = retry_after_delay_ms(
				    reason, targets[i], rnd * 2654435761u);
				least = ms < least ? ms : least;
				most = ms > most ? ms : most;
			}
			assert_true(least > 0);
			assert_true(most <= targets[i] / 2);
			if (reason == RETRY_AFTER_THROTTLED &&
			    targets[i] <= 1500)
				assert_true(most - least >= targets[i] / 4);
		}
}

/*
 * Retry storm: while every request fails at every node, the retries of all
 * nodes stay within the fleet's budget.
 */
static void
test_budget_limits_retry_storm(void **state)
{
	struct budget_query ask = { .fleet_slack = RETRY_SLACK,
		.node_count = NODE_COUNT };
	struct budget b[NODE_COUNT];
	uint32_t repeats = 0, requests = 0;
	int node, i;

	(void)state;
	for (node = 0; node < NODE_COUNT; node++) {
		budget_init(&b[node]);
		for (i = 0; i < 1000; i++) /* requests without failures */
			budget_add_request(&b[node], RETRY_RATIO, 0);
	}
	for (i = 0; i < WINDOW_S * 100; i++) {
		ask.now_ms = (uint64_t)i * 10;
		for (node = 0; node < NODE_COUNT; node++) {
			requests++;
			budget_add_request(&b[node], RETRY_RATIO, ask.now_ms);
			repeats += (uint32_t)budget_take_retry(&b[node], &ask);
		}
	}
	assert_true(repeats <= requests * RETRY_RATIO + RETRY_SLACK);
	assert_true(repeats >= requests * RETRY_RATIO / 2);
}

/*
 * Priority inversion: if more requests fail than the budget can retry, retries
 * go to the more important classes first.  In the class that gets a part, they
 * go to the same root requests each time.
 */
static void
test_budget_prefers_important(void **state)
{
	struct budget_query ask = { .fleet_slack = RETRY_SLACK,
		.node_count = NODE_COUNT };
	uint32_t requested[3] = { 0 }, granted[3] = { 0 }, i, low = 0, high = 0;
	const uint64_t step = UINT64_MAX / 97;
	struct budget b;

	(void)state;
	budget_init(&b);
	/* Class 0: 1 of 10 calls, class 1: 2 of 10.  Half of the calls fail. */
	for (i = 0; i < 40000; i++) {
		ask.now_ms = i * 5;
		budget_add_request(&b, RETRY_RATIO, ask.now_ms);
		if (i % 2 == 0)
			continue;
		ask.class = i % 20 < 2 ? 0 : i % 20 < 6 ? 1 : 2;
		ask.root_hash = step * (i * 31 % 97);
		requested[ask.class]++;
		if (budget_take_retry(&b, &ask) == 0)
			continue;
		granted[ask.class]++;
		low += ask.class == 1 && ask.root_hash < UINT64_MAX / 4;
		high += ask.class == 1 && ask.root_hash > UINT64_MAX / 4 * 3;
	}
	/* 0.12 retries per call: 0.05 for class 0; 0.07 of 0.1 for class 1. */
	assert_true(granted[0] >= requested[0] * 85 / 100);
	assert_true(granted[1] >= requested[1] / 2 &&
		    granted[1] <= requested[1] * 3 / 4);
	assert_true(granted[2] <= requested[2] / 20);
	assert_true(low >= 3 * high);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_best_server),
		cmocka_unit_test(test_failures_fade),
		cmocka_unit_test(test_equal_servers_share_load),
		cmocka_unit_test(test_retry_after_spread),
		cmocka_unit_test(test_retry_after_within_target),
		cmocka_unit_test(test_budget_limits_retry_storm),
		cmocka_unit_test(test_budget_prefers_important),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
