#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "route/route.h"

/*
 * Entries that send to simulated servers, each by what it has seen itself,
 * in steps of a millisecond.
 */

#define SERVERS 6 /* two in each of three domains */
#define ENTRIES 6
#define SLOTS 20
#define QUEUE 20
#define MEAN_MS 20.0
#define DEADLINE_MS 300
#define STEPS 20000
#define TROUBLE_FROM 5000
#define TROUBLE_TO 12000
#define WARM_MS 100000 /* the clock at the start: all servers are old */
#define FLIGHTS 4096
#define LATENCIES 400

enum rule {
	RULE_RANDOM,
	RULE_LEAST,
	RULE_CHOSEN,
	RULE_MAX
};

static const char *const rule_names[RULE_MAX] = { "random", "least", "chosen" };

enum trouble {
	TROUBLE_NONE,
	TROUBLE_SLOW,  /* a server takes five times as long */
	TROUBLE_FAILS, /* it fails everything at once */
	TROUBLE_DEAD,  /* nothing listens; it returns later */
	TROUBLE_HALF,  /* it fails half at once */
	TROUBLE_MAX
};

struct scene {
	const char *name;
	double load; /* share of the capacity of all */
	double skew; /* the first domain's entries get this many times more */
	double good_min;
	enum trouble trouble;
	uint32_t p99_max; /* ms */
};

struct flight {
	double work;
	uint32_t start;
	int entry;
	int server; /* -1 if free */
	int runs;
};

struct sim {
	const struct scene *sc;
	enum rule rule;
	uint64_t rnd;
	uint32_t now;
	struct route_candidate cand[ENTRIES][SERVERS];
	struct route_stat stat[ENTRIES][SERVERS];
	struct flight flights[FLIGHTS];
	uint32_t runs[SERVERS], waits[SERVERS];
	uint32_t came, good, far;
	uint32_t latency[LATENCIES];
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
 * Returns minus the logarithm of a random number in (0, 1).
 */
static double
exponential(struct sim *s)
{
	return -log(((double)(rnd(s) >> 11) + 0.5) / 9007199254740992.0);
}

/*
 * Tells whether a server is in this trouble now.
 */
static int
troubled(const struct sim *s, int server, enum trouble t)
{
	return server == 0 && s->sc->trouble == t && s->now >= TROUBLE_FROM &&
	       s->now < TROUBLE_TO;
}

/*
 * Chooses a server by the rule that is looked at.
 */
static int
choose(struct sim *s, int e)
{
	struct route_query q = { WARM_MS + s->now, rnd(s), 0, 1 };
	const struct route_stat *st = s->stat[e];
	enum route_reason why;
	int i, best = 0;

	if (s->rule == RULE_CHOSEN)
		return route_choose(s->cand[e], st, SERVERS, &q, &why);
	if (s->rule == RULE_RANDOM)
		return (int)(q.rnd % SERVERS);
	for (i = 1; i < SERVERS; i++) {
		if (st[i].load.inflight + st[i].inflight <
		    st[best].load.inflight + st[best].inflight)
			best = i;
	}
	return best;
}

/*
 * A request is over; its entry learns how it went.
 */
static void
end(struct sim *s, int e, int server, enum route_outcome how, uint32_t took)
{
	struct admission_load load = { ADMISSION_LEVEL_ALL, s->runs[server],
		SLOTS, s->waits[server], 0 };

	s->stat[e][server].inflight--;
	route_stat_update(&s->stat[e][server], how, took * 1000ULL,
	    how == ROUTE_REFUSED ? NULL : &load, WARM_MS + s->now);
	if (how != ROUTE_SERVED)
		return;
	s->good++;
	s->latency[took < LATENCIES ? took : LATENCIES - 1]++;
}

/*
 * An entry sends a request, and once more if it was refused unrun.
 */
static void
send_one(struct sim *s, int e, int again)
{
	struct flight *f = s->flights;
	int at = choose(s, e);

	s->came += !again;
	if (at < 0)
		return;
	s->far += at / 2 != e / 2;
	s->stat[e][at].inflight++;
	if (troubled(s, at, TROUBLE_FAILS) ||
	    (troubled(s, at, TROUBLE_HALF) && rnd(s) % 2 == 0)) {
		end(s, e, at, ROUTE_FAILED, 1);
		return;
	}
	if (troubled(s, at, TROUBLE_DEAD) || s->waits[at] >= QUEUE) {
		end(s, e, at,
		    s->waits[at] >= QUEUE ? ROUTE_SHED : ROUTE_REFUSED, 1);
		if (!again)
			send_one(s, e, 1);
		return;
	}
	while (f->server >= 0)
		f++;
	assert_true(f < s->flights + FLIGHTS);
	*f = (struct flight){ exponential(s) * MEAN_MS, s->now, e, at, 0 };
	s->waits[at]++;
}

/*
 * All servers work for a millisecond; places go to whoever comes first in
 * the table.
 */
static void
work(struct sim *s)
{
	struct flight *f;
	int at;

	for (f = s->flights; f < s->flights + FLIGHTS; f++) {
		if ((at = f->server) < 0)
			continue;
		if (!f->runs && s->runs[at] < SLOTS) {
			f->runs = 1;
			s->runs[at]++;
			s->waits[at]--;
		}
		if (f->runs)
			f->work -= troubled(s, at, TROUBLE_SLOW) ? 0.2 : 1;
		if (f->work > 0 && s->now - f->start < DEADLINE_MS)
			continue;
		if (f->runs)
			s->runs[at]--;
		else
			s->waits[at]--;
		f->server = -1;
		end(s, f->entry, at, f->work > 0 ? ROUTE_TIMEOUT : ROUTE_SERVED,
		    s->now - f->start);
	}
}

/*
 * Runs a scene under a rule.  Sets the share served in time, the latency (ms)
 * that 99 in 100 of those had at most, and the share sent to other domains.
 */
static void
simulate(const struct scene *sc, enum rule rule, double *good, uint32_t *p99,
    double *far)
{
	struct sim *s = calloc(1, sizeof(*s));
	double due[ENTRIES] = { 0 }, rate;
	uint32_t seen = 0;
	int e, i;

	assert_non_null(s);
	s->sc = sc;
	s->rule = rule;
	s->rnd = 88172645463325252ULL;
	for (i = 0; i < FLIGHTS; i++)
		s->flights[i].server = -1;
	for (e = 0; e < ENTRIES; e++) {
		for (i = 0; i < SERVERS; i++) {
			s->cand[e][i].slots = SLOTS;
			s->cand[e][i].near = e / 2 == i / 2 ? ROUTE_SAME_DOMAIN
							    : ROUTE_SAME_REGION;
		}
	}
	for (; s->now < STEPS; s->now++) {
		for (e = 0; e < ENTRIES; e++) {
			rate = sc->load * SERVERS * SLOTS / MEAN_MS / ENTRIES;
			rate *= 3 * (e < 2 ? sc->skew : 1) / (2 + sc->skew);
			for (due[e] += rate; due[e] > 0;) {
				send_one(s, e, 0);
				due[e] -= exponential(s);
			}
		}
		work(s);
	}
	for (i = 0; i < LATENCIES && seen * 100.0 < s->good * 99.0; i++)
		seen += s->latency[i];
	*p99 = (uint32_t)i;
	*good = (double)s->good / s->came;
	*far = (double)s->far / s->came;
	free(s);
}

static const struct scene scenes[] = {
	{ "calm", .6, 1, .999, TROUBLE_NONE, 110 },
	{ "full", .95, 1, .995, TROUBLE_NONE, 140 },
	{ "one domain gets 3x", .6, 3, .99, TROUBLE_NONE, 130 },
	{ "one slow 5x", .6, 1, .995, TROUBLE_SLOW, 130 },
	{ "one fails all", .6, 1, .995, TROUBLE_FAILS, 130 },
	{ "one fails half", .6, 1, .99, TROUBLE_HALF, 130 },
	{ "one dies", .6, 1, .995, TROUBLE_DEAD, 130 },
};

/*
 * Each scene under each rule; the one chosen must hold its bounds.
 */
static void
test_scenes(void **state)
{
	double good = 0, far = 0;
	uint32_t p99 = 0;
	size_t i;
	int r, bad = 0;

	(void)state;
	for (i = 0; i < sizeof(scenes) / sizeof(scenes[0]); i++) {
		print_message("%-19s", scenes[i].name);
		for (r = 0; r < RULE_MAX; r++) {
			simulate(&scenes[i], (enum rule)r, &good, &p99, &far);
			print_message(" | %s %.4f %u ms far %.2f",
			    rule_names[r], good, p99, far);
		}
		print_message("\n");
		bad += good < scenes[i].good_min || p99 > scenes[i].p99_max;
	}
	assert_int_equal(bad, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_scenes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
