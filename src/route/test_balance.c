#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "route/route.h"

/*
 * Simulates entries that send requests to servers, in steps of 1 ms.  Each
 * entry chooses by its own observations.  Compares route_choose() with random
 * and least-loaded choice.
 */

#define SERVERS 6 /* two in each of three domains */
#define ENTRIES 6
#define SLOTS 20
#define QUEUE_LENGTH 20
#define MEAN_WORK_MS 20.0
#define DEADLINE_MS 300
#define DURATION_MS 20000
#define DISTURBANCE_START_MS 5000
#define DISTURBANCE_END_MS 12000
/* Late enough that no server is in its slow start. */
#define CLOCK_START_MS 100000
#define REQUESTS_MAX 4096 /* in flight */
#define LATENCY_MAX_MS 400

enum strategy {
	STRATEGY_RANDOM,
	STRATEGY_LEAST_LOADED,
	STRATEGY_ROUTE_CHOOSE,
	STRATEGY_MAX
};

static const char *const strategy_names[STRATEGY_MAX] = { "random",
	"least loaded", "route_choose" };

enum disturbance {
	DISTURBANCE_NONE,
	DISTURBANCE_SLOW,	/* a server needs five times as long */
	DISTURBANCE_FAILS_ALL,	/* it fails all requests within 1 ms */
	DISTURBANCE_DOWN,	/* it refuses connections */
	DISTURBANCE_FAILS_HALF, /* it fails half of them within 1 ms */
	DISTURBANCE_MAX
};

struct scenario {
	const char *name;
	double load; /* share of the capacity of all servers */
	double skew; /* factor on the load of the first domain's entries */
	double served_share_min;
	enum disturbance disturbance;
	uint32_t p99_ms_max;
};

struct request {
	double work_ms;
	uint32_t start_ms;
	int entry;
	int server; /* -1 if this table entry is free */
	int running;
};

struct sim {
	const struct scenario *scenario;
	enum strategy strategy;
	uint64_t rnd;
	uint32_t now_ms;
	struct route_candidate cand[ENTRIES][SERVERS];
	struct route_stat stat[ENTRIES][SERVERS];
	struct request requests[REQUESTS_MAX];
	uint32_t running[SERVERS], waiting[SERVERS];
	uint32_t requested, served, remote;
	uint32_t latency[LATENCY_MAX_MS];
};

/*
 * Returns the next number of a seeded sequence.
 */
static uint64_t
rnd(struct sim *s)
{
	s->rnd ^= s->rnd << 13;
	s->rnd ^= s->rnd >> 7;
	s->rnd ^= s->rnd << 17;
	return s->rnd;
}

/*
 * Returns an exponentially distributed random number of mean 1.
 */
static double
exponential(struct sim *s)
{
	return -log(((double)(rnd(s) >> 11) + 0.5) / 9007199254740992.0);
}

/*
 * Reports whether a server has this disturbance now.
 */
static int
is_disturbed(const struct sim *s, int server, enum disturbance d)
{
	return server == 0 && s->scenario->disturbance == d &&
	       s->now_ms >= DISTURBANCE_START_MS &&
	       s->now_ms < DISTURBANCE_END_MS;
}

/*
 * Chooses a server by the strategy under test.
 */
static int
choose_server(struct sim *s, int e)
{
	struct route_query q = { CLOCK_START_MS + s->now_ms, rnd(s), 0, 1 };
	const struct route_stat *st = s->stat[e];
	enum route_reason why;
	int i, best = 0;

	if (s->strategy == STRATEGY_ROUTE_CHOOSE)
		return route_choose(s->cand[e], st, SERVERS, &q, &why);
	if (s->strategy == STRATEGY_RANDOM)
		return (int)(q.rnd % SERVERS);
	for (i = 1; i < SERVERS; i++) {
		if (st[i].load.inflight + st[i].inflight <
		    st[best].load.inflight + st[best].inflight)
			best = i;
	}
	return best;
}

/*
 * Ends a request and records its outcome at its entry.
 */
static void
finish_request(struct sim *s, int e, int server, enum route_outcome outcome,
    uint32_t latency_ms)
{
	struct admission_load load = { ADMISSION_LEVEL_ALL, s->running[server],
		SLOTS, s->waiting[server], 0 };

	s->stat[e][server].inflight--;
	route_stat_update(&s->stat[e][server], outcome, latency_ms * 1000ULL,
	    outcome == ROUTE_NO_CONNECTION ? NULL : &load,
	    CLOCK_START_MS + s->now_ms);
	if (outcome != ROUTE_SERVED)
		return;
	s->served++;
	s->latency[latency_ms < LATENCY_MAX_MS ? latency_ms
					       : LATENCY_MAX_MS - 1]++;
}

/*
 * Sends a request from an entry, and retries it once if it was rejected
 * without being run.
 */
static void
send_request(struct sim *s, int e, int is_retry)
{
	struct request *req = s->requests;
	int server = choose_server(s, e);

	s->requested += !is_retry;
	if (server < 0)
		return;
	s->remote += server / 2 != e / 2;
	s->stat[e][server].inflight++;
	if (is_disturbed(s, server, DISTURBANCE_FAILS_ALL) ||
	    (is_disturbed(s, server, DISTURBANCE_FAILS_HALF) &&
		rnd(s) % 2 == 0)) {
		finish_request(s, e, server, ROUTE_FAILED, 1);
		return;
	}
	if (is_disturbed(s, server, DISTURBANCE_DOWN) ||
	    s->waiting[server] >= QUEUE_LENGTH) {
		finish_request(s, e, server,
		    s->waiting[server] >= QUEUE_LENGTH ? ROUTE_SHED
						       : ROUTE_NO_CONNECTION,
		    1);
		if (!is_retry)
			send_request(s, e, 1);
		return;
	}
	while (req->server >= 0)
		req++;
	assert_true(req < s->requests + REQUESTS_MAX);
	*req = (struct request){ exponential(s) * MEAN_WORK_MS, s->now_ms, e,
		server, 0 };
	s->waiting[server]++;
}

/*
 * Runs all servers for 1 ms.  Free slots go to the first waiting requests in
 * table order.
 */
static void
run_servers(struct sim *s)
{
	struct request *req;
	int server;

	for (req = s->requests; req < s->requests + REQUESTS_MAX; req++) {
		if ((server = req->server) < 0)
			continue;
		if (!req->running && s->running[server] < SLOTS) {
			req->running = 1;
			s->running[server]++;
			s->waiting[server]--;
		}
		if (req->running)
			req->work_ms -=
			    is_disturbed(s, server, DISTURBANCE_SLOW) ? 0.2 : 1;
		if (req->work_ms > 0 && s->now_ms - req->start_ms < DEADLINE_MS)
			continue;
		if (req->running)
			s->running[server]--;
		else
			s->waiting[server]--;
		req->server = -1;
		finish_request(s, req->entry, server,
		    req->work_ms > 0 ? ROUTE_TIMEOUT : ROUTE_SERVED,
		    s->now_ms - req->start_ms);
	}
}

/*
 * Simulates a scenario with a strategy.  Sets the share of requests that
 * were served in time, the 99th percentile of their latency, and the share
 * of attempts per request that went to other domains.
 */
static void
simulate(const struct scenario *scenario, enum strategy strategy,
    double *served, uint32_t *p99_ms, double *remote)
{
	struct sim *s = calloc(1, sizeof(*s));
	double due[ENTRIES] = { 0 }, rate;
	uint32_t counted = 0;
	int e, i;

	assert_non_null(s);
	s->scenario = scenario;
	s->strategy = strategy;
	s->rnd = 88172645463325252ULL;
	for (i = 0; i < REQUESTS_MAX; i++)
		s->requests[i].server = -1;
	for (e = 0; e < ENTRIES; e++) {
		for (i = 0; i < SERVERS; i++) {
			s->cand[e][i].slots = SLOTS;
			s->cand[e][i].proximity = e / 2 == i / 2
						      ? ROUTE_SAME_DOMAIN
						      : ROUTE_SAME_REGION;
		}
	}
	for (; s->now_ms < DURATION_MS; s->now_ms++) {
		for (e = 0; e < ENTRIES; e++) {
			rate = scenario->load * SERVERS * SLOTS / MEAN_WORK_MS /
			       ENTRIES;
			rate *= 3 * (e < 2 ? scenario->skew : 1) /
				(2 + scenario->skew);
			for (due[e] += rate; due[e] > 0;) {
				send_request(s, e, 0);
				due[e] -= exponential(s);
			}
		}
		run_servers(s);
	}
	for (i = 0; i < LATENCY_MAX_MS && counted * 100.0 < s->served * 99.0;
	     i++)
		counted += s->latency[i];
	*p99_ms = (uint32_t)i;
	*served = (double)s->served / s->requested;
	*remote = (double)s->remote / s->requested;
	free(s);
}

static const struct scenario scenarios[] = {
	{ "60% load", .6, 1, .999, DISTURBANCE_NONE, 110 },
	{ "95% load", .95, 1, .995, DISTURBANCE_NONE, 140 },
	{ "one domain gets 3x", .6, 3, .99, DISTURBANCE_NONE, 130 },
	{ "one 5x slower", .6, 1, .995, DISTURBANCE_SLOW, 130 },
	{ "one fails all", .6, 1, .995, DISTURBANCE_FAILS_ALL, 130 },
	{ "one fails half", .6, 1, .99, DISTURBANCE_FAILS_HALF, 130 },
	{ "one down", .6, 1, .995, DISTURBANCE_DOWN, 130 },
};

/*
 * Prints the figures of each strategy in each scenario.  Those of
 * route_choose() must meet the bounds.
 */
static void
test_choice_meets_bounds_in_all_scenarios(void **state)
{
	double served = 0, remote = 0;
	uint32_t p99_ms = 0;
	size_t i;
	int r, bad = 0;

	(void)state;
	for (i = 0; i < sizeof(scenarios) / sizeof(scenarios[0]); i++) {
		print_message("%-19s", scenarios[i].name);
		for (r = 0; r < STRATEGY_MAX; r++) {
			simulate(&scenarios[i], (enum strategy)r, &served,
			    &p99_ms, &remote);
			print_message(" | %s %.4f %u ms remote %.2f",
			    strategy_names[r], served, p99_ms, remote);
		}
		print_message("\n");
		bad += served < scenarios[i].served_share_min ||
		       p99_ms > scenarios[i].p99_ms_max;
	}
	assert_int_equal(bad, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_choice_meets_bounds_in_all_scenarios),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
