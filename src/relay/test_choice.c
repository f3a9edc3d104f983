#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "relay/budget.h"
#include "relay/choice.h"
#include "relay/comeback.h"

#define SAMPLE_COUNT 4000
#define SERVER_COUNT 3
#define RETRY_RATIO 0.2
#define RETRY_SLACK 49
#define WINDOW_S 10
#define NODE_COUNT 15

/* Three servers, and which of them must get the request. */
struct choice_case {
	const char *name;
	struct choice list[SERVER_COUNT];
	int best;
};

static const struct choice_case choice_cases[] = {
	{ "least outstanding",
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
	{ "grey server: quick failures don't draw requests",
	    { { 0, 0.5, 0, 1, 0, 0 }, { 0.7, 0, 1, 1, 0, 0 },
		{ 0.8, 0, 2, 1, 0, 0 } },
	    1 },
	{ "cold server",
	    { { 0, 0, 0, 1, 1, 0 }, { 0.4, 0, 1, 1, 0, 0 },
		{ 0.5, 0, 2, 1, 0, 0 } },
	    1 },
	{ "one that can't be reached only where nothing else is left",
	    { { 0, 0, 0, 1, 0, 1 }, { 3, 0.9, 1, 0, 1, 0 },
		{ 5, 0.9, 2, 0, 1, 0 } },
	    1 },
};

/*
 * Each row's server is chosen whatever the noise.
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
 * Grey server: failures show after a few attempts, and once it is sound again
 * it is tried again, though nothing was sent there meanwhile.
 */
static void
test_failures_fade(void **state)
{
	struct choice_health h = { 0, 0 };
	int i;

	(void)state;
	for (i = 0; i < 20; i++)
		choice_note(&h, i % 2, 1000 + (uint64_t)i);
	assert_true(choice_failing(&h, 1020) > 0.3);
	assert_true(choice_failing(&h, 1020) < 0.9);
	assert_true(choice_failing(&h, 9000) < 0.05);
	for (i = 0; i < 100; i++)
		choice_note(&h, 0, 9000);
	assert_true(choice_failing(&h, 9000) < 0.01);
}

/*
 * Servers that are alike get alike: entries don't all take the first.
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
 * Thundering herd: callers refused together return over at least as long as
 * a run takes, and none of them at once.
 */
static void
test_retry_after_spread(void **state)
{
	uint64_t ms, least = UINT64_MAX, most = 0, rnd;

	(void)state;
	for (rnd = 0; rnd < SAMPLE_COUNT; rnd++) {
		ms = comeback_ms(COMEBACK_THROTTLED, 0, rnd * 2654435761u);
		least = ms < least ? ms : least;
		most = ms > most ? ms : most;
	}
	assert_true(least >= 500);
	assert_true(most - least >= 900);
	for (rnd = 0; rnd < COMEBACK_MAX; rnd++)
		assert_true(comeback_ms((enum comeback)rnd, 0, 0) > 0);
}

/*
 * Refused look-ups that come back too late for their aim: whoever returns can
 * still be served within half of it, and all return over as long a time.
 */
static void
test_retry_after_within_target(void **state)
{
	static const uint64_t targets[] = { 200, 600, 1500, 5000 };
	uint64_t ms, least, most, rnd;
	enum comeback reason;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(targets) / sizeof(targets[0]); i++)
		for (reason = 0; reason < COMEBACK_MAX; reason++) {
			least = UINT64_MAX;
			most = 0;
			for (rnd = 0; rnd < SAMPLE_COUNT; rnd++) {
				ms = comeback_ms(
				    reason, targets[i], rnd * 2654435761u);
				least = ms < least ? ms : least;
				most = ms > most ? ms : most;
			}
			assert_true(least > 0);
			assert_true(most <= targets[i] / 2);
			if (reason == COMEBACK_THROTTLED && targets[i] <= 1500)
				assert_true(most - least >= targets[i] / 4);
		}
}

/*
 * Retry storm: every request fails for a while at every node, and all repeats
 * that the budgets give stay within what the fleet may have.
 */
static void
test_budget_limits_retry_storm(void **state)
{
	struct budget_ask ask = { .slack = RETRY_SLACK, .nodes = NODE_COUNT };
	struct budget b[NODE_COUNT];
	uint32_t repeats = 0, requests = 0;
	int node, i;

	(void)state;
	for (node = 0; node < NODE_COUNT; node++) {
		budget_init(&b[node]);
		for (i = 0; i < 1000; i++) /* a calm time before */
			budget_earn(&b[node], RETRY_RATIO, 0);
	}
	for (i = 0; i < WINDOW_S * 100; i++) {
		ask.now_ms = (uint64_t)i * 10;
		for (node = 0; node < NODE_COUNT; node++) {
			requests++;
			budget_earn(&b[node], RETRY_RATIO, ask.now_ms);
			repeats += (uint32_t)budget_spend(&b[node], &ask);
		}
	}
	assert_true(repeats <= requests * RETRY_RATIO + RETRY_SLACK);
	assert_true(repeats >= requests * RETRY_RATIO / 2);
}

/*
 * Where a service's servers turn away more than may be repeated (priority
 * inversion): what is left goes to the more important classes, and in the one
 * that gets a part to the same root requests, not to some calls of each.
 */
static void
test_budget_prefers_important(void **state)
{
	struct budget_ask ask = { .slack = RETRY_SLACK, .nodes = NODE_COUNT };
	uint32_t requested[3] = { 0 }, granted[3] = { 0 }, i, low = 0, high = 0;
	const uint64_t step = UINT64_MAX / 97;
	struct budget b;

	(void)state;
	budget_init(&b);
	/* 1 of 10 calls is of the first class, 2 of the second; half fail. */
	for (i = 0; i < 40000; i++) {
		ask.now_ms = i * 5;
		budget_earn(&b, RETRY_RATIO, ask.now_ms);
		if (i % 2 == 0)
			continue;
		ask.class = i % 20 < 2 ? 0 : i % 20 < 6 ? 1 : 2;
		ask.root_hash = step * (i * 31 % 97);
		requested[ask.class]++;
		if (budget_spend(&b, &ask) == 0)
			continue;
		granted[ask.class]++;
		low += ask.class == 1 && ask.root_hash < UINT64_MAX / 4;
		high += ask.class == 1 && ask.root_hash > UINT64_MAX / 4 * 3;
	}
	/* 0.12 repeats a call: 0.05 for the first class, 0.07 of 0.1. */
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
