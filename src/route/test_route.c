#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#include "base/clock.h"
#include "route/route.h"

#define NOW 100000 /* ms */
#define DRAWS 4000
#define SERVERS 4
#define MEMBERS 1600
#define PICKS 200000
#define THREADS 8

/* Bounds on the share of requests that the first of four servers gets. */
struct rule {
	const char *name;
	struct route_candidate cand;
	struct route_stat stat;
	double min_share, max_share;
	int may_probe;
};

static const struct rule rules[] = {
	{ "equal", { .slots = 50 }, { .successes = 10 }, .22, .28, 1 },
	{ "leaving", { .slots = 50, .leaving = 1 }, { 0 }, 0, 0, 1 },
	{ "suspect", { .slots = 50, .suspect = 1 }, { .successes = 10 }, 0, 0,
	    1 },
	{ "suspect in the own domain",
	    { .slots = 50, .suspect = 1, .proximity = ROUTE_SAME_DOMAIN },
	    { .successes = 10 }, 0, 0, 1 },
	{ "refused as leaving", { .slots = 50 },
	    { .leaving_until_ms = NOW + 1 }, 0, 0, 1 },
	{ "tried", { .slots = 50, .already_tried = 1 }, { 0 }, 0, 0, 1 },
	{ "no slots", { .slots = 0 }, { 0 }, 0, 0, 1 },
	{ "ejected", { .slots = 50 },
	    { .ejected_until_ms = NOW + 1, .needs_probe = 1 }, 0, 0, 1 },
	{ "ejection over", { .slots = 50 },
	    { .ejected_until_ms = NOW - 1, .needs_probe = 1 }, .1, .15, 1 },
	{ "ejection over, request may not probe", { .slots = 50 },
	    { .ejected_until_ms = NOW - 1, .needs_probe = 1 }, 0, 0, 0 },
	{ "ejection long over, request may not probe", { .slots = 50 },
	    { .ejected_until_ms = NOW - 6000, .needs_probe = 1 }, .1, .15, 0 },
	{ "probe in flight", { .slots = 50 },
	    { .ejected_until_ms = NOW - 1, .needs_probe = 1, .inflight = 1 }, 0,
	    0, 1 },
	{ "slow start", { .slots = 50, .first_seen_ms = NOW - 100 },
	    { .successes = 10 }, 0, .01, 1 },
	{ "loaded", { .slots = 50 }, { .inflight = 20 }, 0, .01, 1 },
	{ "reports high load", { .slots = 50 },
	    { .load_reported_ms = NOW, .load = { 1023, 20, 50, 0, 0 } }, 0, .01,
	    1 },
	{ "reported high load long ago", { .slots = 50 },
	    { .load_reported_ms = NOW - 20000, .load = { 0, 20, 50, 9, 0 } },
	    .22, .51, 1 },
	{ "gossip reports high load",
	    { .slots = 50,
		.load_reported_ms = NOW,
		.load = { 1023, 20, 50, 0, 0 } },
	    { 0 }, 0, .01, 1 },
	{ "sheds", { .slots = 50 },
	    { .load_reported_ms = NOW, .load = { 499, 0, 50, 0, 0 } }, 0, .03,
	    1 },
	{ "larger, one request in flight", { .slots = 100 }, { .inflight = 1 },
	    .22, .51, 1 },
	{ "fails fast", { .slots = 50 },
	    { .failures = 5,
		.successes = 10,
		.latency_us = 100,
		.last_used_ms = NOW },
	    0, .01, 1 },
	{ "fails, equal latency", { .slots = 50 },
	    { .failures = 5, .successes = 10 }, 0, .01, 1 },
	{ "slow", { .slots = 50 },
	    { .latency_us = 90000, .successes = 10, .last_used_ms = NOW }, 0,
	    .01, 1 },
	{ "slow long ago", { .slots = 50 },
	    { .latency_us = 90000, .last_used_ms = NOW - 60000 }, .1, .51, 1 },
	{ "own domain", { .slots = 50, .proximity = ROUTE_SAME_DOMAIN },
	    { .successes = 10 }, 1, 1, 1 },
	{ "own domain, loaded", { .slots = 50, .proximity = ROUTE_SAME_DOMAIN },
	    { .inflight = 40 }, 0, 0, 1 },
	{ "own region", { .slots = 50, .proximity = ROUTE_SAME_REGION },
	    { .successes = 10 }, 1, 1, 1 },
	{ "own region, loaded", { .slots = 50, .proximity = ROUTE_SAME_REGION },
	    { .inflight = 40 }, 0, 0, 1 },
	{ "own region, slow", { .slots = 50, .proximity = ROUTE_SAME_REGION },
	    { .latency_us = 90000, .successes = 10, .last_used_ms = NOW }, 0,
	    .01, 1 },
};

/*
 * Chooses many times and returns the share of choices of one index, or of
 * rejections for -1.
 */
static double
chosen_share_of(const struct route_candidate *cand,
    const struct route_stat *stat, int may_probe, int index)
{
	struct route_query q = { NOW, 88172645463325252ULL, 500, may_probe };
	enum route_reason why;
	int i, n = 0;

	for (i = 0; i < DRAWS; i++) {
		q.rnd ^= q.rnd << 13;
		q.rnd ^= q.rnd >> 7;
		q.rnd ^= q.rnd << 17;
		n += route_choose(cand, stat, SERVERS, &q, &why) == index;
	}
	return (double)n / DRAWS;
}

/*
 * Initialises a service of equal, healthy servers in another region.
 */
static void
init_service(struct route_candidate *cand, struct route_stat *stat)
{
	int i;

	memset(cand, 0, SERVERS * sizeof(*cand));
	memset(stat, 0, SERVERS * sizeof(*stat));
	for (i = 0; i < SERVERS; i++) {
		cand[i].slots = 50;
		stat[i].successes = 10;
		stat[i].latency_us = 10000;
	}
}

/*
 * For each rule, the first server gets the share of requests that its state
 * allows.
 */
static void
test_choice_by_server_state(void **state)
{
	struct route_candidate cand[SERVERS];
	struct route_stat stat[SERVERS];
	const struct rule *r;
	double chosen_share;
	size_t i;
	int bad = 0;

	(void)state;
	for (i = 0; i < sizeof(rules) / sizeof(rules[0]); i++) {
		r = &rules[i];
		init_service(cand, stat);
		cand[0] = r->cand;
		stat[0] = r->stat;
		if (stat[0].latency_us == 0)
			stat[0].latency_us = 10000;
		chosen_share = chosen_share_of(cand, stat, r->may_probe, 0);
		if (chosen_share < r->min_share ||
		    chosen_share > r->max_share) {
			print_message("%s: %.3f\n", r->name, chosen_share);
			bad++;
		}
	}
	assert_int_equal(bad, 0);
}

/*
 * At least half of the service stays usable, however many servers are
 * ejected.  Suspect servers are used if there are no others.  Nothing is
 * sent if all servers leave, and most requests are rejected if all shed.
 */
static void
test_all_servers_degraded(void **state)
{
	struct route_candidate cand[SERVERS];
	struct route_stat stat[SERVERS];
	int i;

	(void)state;
	init_service(cand, stat);
	for (i = 0; i < SERVERS; i++) {
		stat[i].ejected_until_ms = NOW + 1 + (uint64_t)i;
		stat[i].needs_probe = 1;
	}
	assert_true(chosen_share_of(cand, stat, 0, 0) > .4);
	assert_true(chosen_share_of(cand, stat, 0, 1) > .4);
	assert_true(chosen_share_of(cand, stat, 0, 3) <= 0);
	init_service(cand, stat);
	for (i = 0; i < SERVERS; i++)
		cand[i].leaving = 1;
	assert_true(chosen_share_of(cand, stat, 0, -1) >= 1);
	init_service(cand, stat);
	for (i = 0; i < SERVERS; i++)
		cand[i].suspect = 1;
	assert_true(chosen_share_of(cand, stat, 0, -1) <= 0);
	init_service(cand, stat);
	for (i = 0; i < SERVERS; i++) {
		stat[i].load_reported_ms = NOW;
		stat[i].load.level = 100;
	}
	assert_true(chosen_share_of(cand, stat, 0, -1) > .9);
}

/*
 * Sequences of outcomes cause the expected number of ejections and leave the
 * expected time until the last one ends.
 */
static void
test_ejection_after_outcomes(void **state)
{
	static const struct {
		/*
		 * s served, f failed, t timeout, T timeout while other
		 * requests are answered, r no connection, o shed, w waits 1 s
		 */
		const char *outcomes;
		uint64_t remaining_ms;
		uint32_t ejections;
	} cases[] = {
		{ "ssssffff", 0, 0 },
		{ "fffff", 1000, 1 },
		{ "ffffsffff", 0, 0 },
		{ "sssffsfsffsff", 1000, 1 },
		{ "r", 1000, 1 },
		{ "rrrrrr", 1000, 1 },
		{ "rwr", 2000, 2 },
		{ "rwrwwr", 4000, 3 },
		{ "rwsr", 2000, 2 },
		{ "ttttt", 1000, 1 },
		{ "TTTTTTTTTTTTTTTT", 0, 0 },
		{ "oooooooooooooooo", 0, 0 },
	};
	struct route_stat s;
	uint64_t now;
	const char *p;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(&s, 0, sizeof(s));
		now = NOW;
		for (p = cases[i].outcomes; *p != '\0'; p++) {
			if (*p == 'T')
				s.last_answer_ms = now;
			if (*p == 'w')
				now += 1000;
			else
				route_stat_update(&s,
				    *p == 's'	? ROUTE_SERVED
				    : *p == 'f' ? ROUTE_FAILED
				    : *p == 'r' ? ROUTE_NO_CONNECTION
				    : *p == 'o' ? ROUTE_SHED
						: ROUTE_TIMEOUT,
				    500000, NULL, now);
		}
		assert_int_equal(s.ejections, cases[i].ejections);
		assert_int_equal(
		    s.ejected_until_ms > now ? s.ejected_until_ms - now : 0,
		    cases[i].remaining_ms);
	}
}

/*
 * One of four servers fails every request at once.  Guards against routing
 * that sends it ever more requests because it answers fast: of 10,000
 * requests in ten seconds, fewer than 20 may fail.
 */
static void
test_fast_failing_server_is_avoided(void **state)
{
	struct route_candidate cand[SERVERS];
	struct route_stat stat[SERVERS], unused[SERVERS];
	struct route_query q = { NOW, 1, 500, 1 };
	enum route_reason why;
	int chosen, i, failed = 0;

	(void)state;
	init_service(cand, stat);
	init_service(cand, unused);
	for (i = 0; i < 10000; i++, q.now_ms = NOW + (uint64_t)i) {
		q.rnd = q.rnd * 6364136223846793005ULL + 1442695040888963407ULL;
		chosen = route_choose(cand, stat, SERVERS, &q, &why);
		assert_true(chosen >= 0);
		route_stat_update(&stat[chosen],
		    chosen == 0 ? ROUTE_FAILED : ROUTE_SERVED,
		    chosen == 0 ? 100 : 10000, NULL, q.now_ms);
		failed += chosen == 0;
	}
	print_message("%d of 10000 requests failed\n", failed);
	assert_true(failed < 20);
}

/*
 * The table distinguishes 1,600 servers and counts their requests in flight.
 * Prints the time of one choice.
 */
static void
test_stats_per_server(void **state)
{
	static struct route_candidate cand[MEMBERS];
	struct route_query q = { NOW, 1, 500, 1 };
	struct admission_load load = { 1023, 5, 50, 0, 1000 };
	struct route_table b;
	struct route_stat s;
	enum route_reason why;
	uint64_t t;
	uint32_t i;

	(void)state;
	route_table_init(&b);
	for (i = 0; i < MEMBERS; i++) {
		cand[i].id = (struct node_id){ 0x7f000001, (uint16_t)i, 77 };
		cand[i].slots = 50;
		route_request_started(&b, &cand[i].id, NOW);
		route_request_started(&b, &cand[i].id, NOW);
		route_request_ended(
		    &b, &cand[i].id, ROUTE_SERVED, 1000 + i, &load, NOW);
	}
	for (i = 0; i < MEMBERS; i++) {
		route_table_get(&b, &cand[i].id, &s);
		assert_int_equal(s.inflight, 1);
		assert_int_equal((int)s.latency_us, 1000 + i);
	}
	cand[0].id.incarnation++;
	route_table_get(&b, &cand[0].id, &s);
	assert_int_equal(s.key, 0);
	t = clock_us();
	for (i = 0; i < PICKS; i++) {
		q.rnd = q.rnd * 6364136223846793005ULL + 1442695040888963407ULL;
		assert_true(
		    route_table_choose(&b, cand + 1, 22, &q, &why) >= 0);
	}
	t = clock_us() - t;
	print_message(
	    "%.0f ns per choice among 22 servers\n", (double)t * 1e3 / PICKS);
	route_table_finish(&b);
}

/*
 * Sends and ends requests at a few servers many times.
 */
static void *
send_requests(void *arg)
{
	struct route_candidate cand[SERVERS] = { 0 };
	struct route_query q = { NOW, 1, 500, 1 };
	enum route_reason why;
	int i, chosen;

	for (i = 0; i < SERVERS; i++) {
		cand[i].id.rpc_port = (uint16_t)(i + 1);
		cand[i].slots = 50;
	}
	for (i = 0; i < DRAWS; i++) {
		q.rnd = q.rnd * 6364136223846793005ULL + 1442695040888963407ULL;
		chosen = route_table_choose(arg, cand, SERVERS, &q, &why);
		assert_true(chosen >= 0);
		route_request_started(arg, &cand[chosen].id, NOW);
		route_request_ended(arg, &cand[chosen].id,
		    i % 7 == 0 ? ROUTE_FAILED : ROUTE_SERVED, 1000, NULL, NOW);
	}
	return NULL;
}

/*
 * Threads that use one table concurrently lose no update of the requests in
 * flight.
 */
static void
test_concurrent_updates(void **state)
{
	pthread_t th[THREADS];
	struct route_table b;
	struct route_stat s;
	struct node_id id = { 0, 0, 0 };
	int i;

	(void)state;
	route_table_init(&b);
	for (i = 0; i < THREADS; i++)
		pthread_create(&th[i], NULL, send_requests, &b);
	for (i = 0; i < THREADS; i++)
		pthread_join(th[i], NULL);
	for (i = 0; i < SERVERS; i++) {
		id.rpc_port = (uint16_t)(i + 1);
		route_table_get(&b, &id, &s);
		assert_int_equal(s.inflight, 0);
	}
	route_table_finish(&b);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_choice_by_server_state),
		cmocka_unit_test(test_all_servers_degraded),
		cmocka_unit_test(test_ejection_after_outcomes),
		cmocka_unit_test(test_fast_failing_server_is_avoided),
		cmocka_unit_test(test_stats_per_server),
		cmocka_unit_test(test_concurrent_updates),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
