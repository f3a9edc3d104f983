#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "throttle/demand.h"
#include "throttle/profile.h"
#include "throttle/throttle.h"

#define STEP_S 0.1
#define KINDS 3
#define STEPS 300
#define OVERLOAD (1.02 / THROTTLE_TARGET_LOAD) /* counts as overload */
#define ROOTS_PER_S 3000.0		       /* requested without a surge */
#define MID_CALLS 2.0			       /* per run of the root service */
#define DEEP_CALLS 4.0	 /* per run of the middle service */
#define RETRY_STEPS 10	 /* until the only retry of a refused caller */
#define LOAD_WEIGHT 0.33 /* of the newest step in the measured load */

/* A kind of root request. */
struct request_kind {
	uint32_t class;
	double work; /* share of the bottleneck's slots if all are admitted */
};

/* A load on a service at the third level, and the required results. */
struct load_case {
	const char *name;
	struct request_kind kinds[KINDS];
	double surge; /* load factor from start_s to end_s */
	double start_s, end_s;
	double overload_max; /* of time, from 2 s into the surge */
	double share0_min;   /* mean admitted share of class 0 */
	double recovery_s;   /* at most, until all are admitted again */
	double share1_min;   /* mean admitted share of class 1 */
	double use_min;	     /* mean use of the bottleneck in the surge */
};

/* Delays and errors between the entry and the bottleneck. */
struct fleet_case {
	const char *name;
	int delay_steps;  /* from root request to bottleneck */
	int report_steps; /* between two heartbeats of a node */
	double cost;	  /* true cost of a run, relative to the reported one */
	int retry;	  /* refused callers retry once */
	int chained;	  /* exits refuse all calls of a chain alike */
};

/*
 * Bottleneck deep in a call tree: browsing makes eight calls to pricing, an
 * order four.  Metastable failure: the limit must end after the surge.
 */
static const struct load_case loads[] = {
	{ "no overload", { { 0, 0.2 }, { 1, 0.1 }, { 2, 0.4 } }, 1, 0, 0, 0, 1,
	    0, 1, 0 },
	{ "surge of 1.8", { { 0, 0.25 }, { 1, 0.07 }, { 2, 0.5 } }, 1.8, 2, 20,
	    0.15, 0.97, 2.0, 0.95, 0.75 },
	{ "short burst", { { 0, 0.2 }, { 1, 0.07 }, { 2, 0.5 } }, 2, 5, 10,
	    0.35, 0.97, 2.0, 0.9, 0.7 },
	{ "a third of the load fits", { { 0, 0.15 }, { 1, 0.03 }, { 2, 0.69 } },
	    3.6, 2, 20, 0.25, 0.85, 3.0, 0.6, 0.75 },
	{ "class 0 alone exceeds the capacity",
	    { { 0, 0.6 }, { 1, 0.1 }, { 2, 0.1 } }, 2.5, 2, 20, 0.25, 0.4, 3.0,
	    0.1, 0.7 },
};

static const struct fleet_case fleets[] = {
	{ "15 nodes", 6, 3, 1, 0, 0 },
	{ "60 nodes", 12, 4, 1, 0, 0 },
	{ "15 nodes, callers retry", 6, 3, 1, 1, 0 },
	{ "60 nodes, callers retry", 12, 4, 1, 1, 0 },
	{ "15 nodes, runs cost a fifth more", 6, 3, 1.2, 0, 0 },
	{ "15 nodes, runs cost a fifth less", 6, 3, 0.8, 0, 0 },
	{ "15 nodes, chains", 6, 3, 1, 0, 1 },
	{ "60 nodes, chains", 12, 4, 1, 0, 1 },
	{ "60 nodes, chains, callers retry", 12, 4, 1, 1, 1 },
	{ "15 nodes, chains, runs cost a fifth more", 6, 3, 1.2, 0, 1 },
	{ "15 nodes, chains, runs cost a fifth less", 6, 3, 0.8, 0, 1 },
};

static void
add_server(
    struct throttle *t, int service, double slots, double run_s, double offered)
{
	struct throttle_server s = { slots, run_s, offered, 0 };

	throttle_server(t, service, &s);
}

/* Measured results of one simulation. */
struct result {
	double admitted[THROTTLE_CLASSES];
	double overload;
	double use;
	double recovery_s;
};

/* State of a simulation, by step. */
struct simulation {
	double shares[STEPS][KINDS];
	double requested[STEPS][KINDS]; /* per second */
	double offered[STEPS];
	struct demand demand;
	struct throttle th;
	int root, deep;
};

/*
 * Simulates the callers in one step: new requests and retries of refused ones.
 */
static void
simulate_callers(struct simulation *s, const struct load_case *l,
    const struct fleet_case *f, int step, double surge)
{
	struct demand_row *row = demand_row(&s->demand, "catalogue", 0);
	double total = 0, new_per_s;
	int earlier = step - RETRY_STEPS;
	uint32_t k, class;

	for (k = 0; k < KINDS; k++)
		total += l->kinds[k].work;
	for (k = 0; k < KINDS; k++) {
		class = l->kinds[k].class;
		new_per_s = ROOTS_PER_S * surge * l->kinds[k].work / total;
		s->shares[step][k] =
		    throttle_admitted_share(&s->th, s->root, class);
		s->requested[step][k] = new_per_s;
		if (f->retry && earlier >= 0)
			s->requested[step][k] += ROOTS_PER_S *
						 l->kinds[k].work / total *
						 (1 - s->shares[earlier][k]);
		row->counts[class].requested_count +=
		    (uint32_t)(s->requested[step][k] * STEP_S);
	}
	demand_update_rates(&s->demand, STEP_S);
}

/*
 * Returns the work of a step at the bottleneck, as a share of its slots.
 */
static double
bottleneck_work(const struct simulation *s, const struct load_case *l, int step)
{
	double work = 0, total = 0;
	uint32_t k;

	for (k = 0; k < KINDS; k++)
		total += l->kinds[k].work;
	for (k = 0; step >= 0 && k < KINDS; k++)
		work += s->requested[step][k] * s->shares[step][k] * total /
			ROOTS_PER_S;
	return work;
}

static void
simulate(
    const struct load_case *l, const struct fleet_case *f, struct result *r)
{
	static struct simulation s;
	double surge, t, load = 0, reported[KINDS] = { 0 }, reported_load = 0,
			 total = 0;
	int step, mid, surge_steps = 0;
	uint32_t k;

	memset(&s, 0, sizeof(s));
	throttle_init(&s.th);
	s.th.chained_share = f->chained;
	demand_init(&s.demand);
	s.root = throttle_service(&s.th, "catalogue");
	mid = throttle_service(&s.th, "artwork");
	s.deep = throttle_service(&s.th, "pricing");
	throttle_record_calls(&s.th, s.root, mid, MID_CALLS);
	throttle_record_calls(&s.th, mid, s.deep, DEEP_CALLS);
	for (k = 0; k < KINDS; k++)
		total += l->kinds[k].work;
	*r = (struct result){ { 0 }, 0, 0, 0 };
	for (step = 0; step < STEPS; step++) {
		t = step * STEP_S;
		surge = t >= l->start_s && t < l->end_s ? l->surge : 1;
		simulate_callers(&s, l, f, step, surge);
		s.offered[step] = bottleneck_work(&s, l, step - f->delay_steps);
		load += LOAD_WEIGHT * (s.offered[step] - load);
		if (step % f->report_steps == 0) {
			for (k = 0; k < KINDS; k++)
				reported[k] = demand_rate_per_s(
				    demand_row(&s.demand, "catalogue", 0),
				    l->kinds[k].class);
			reported_load = load;
		}
		throttle_begin_update(&s.th);
		for (k = 0; k < KINDS; k++)
			throttle_add_demand(
			    &s.th, s.root, l->kinds[k].class, reported[k]);
		/* One slot, whose capacity is the total work. */
		add_server(&s.th, s.deep, 1,
		    total / (ROOTS_PER_S * MID_CALLS * DEEP_CALLS) / f->cost,
		    reported_load);
		throttle_update_shares(&s.th, STEP_S);
		if (surge > 1 && t >= l->start_s + 2) {
			surge_steps++;
			r->overload += s.offered[step] >
				       throttle_target_load(&s.th) * OVERLOAD;
			r->use += s.offered[step] < 1 ? s.offered[step] : 1;
			for (k = 0; k < KINDS; k++)
				r->admitted[l->kinds[k].class] +=
				    s.shares[step][k];
		}
		if (t >= l->end_s && s.shares[step][KINDS - 1] < 0.99)
			r->recovery_s = t - l->end_s;
	}
	if (surge_steps == 0)
		surge_steps = 1;
	r->overload /= surge_steps;
	r->use /= surge_steps;
	for (k = 0; k < THROTTLE_CLASSES; k++)
		r->admitted[k] /= surge_steps;
}

/*
 * Checks the results of a load.  Retries of callers refused in the surge are
 * load too, so recovery counts from the last retry.
 */
static void
check_result(const struct load_case *l, const struct fleet_case *f,
    const struct result *s)
{
	double mean = 0, work = 0;
	uint32_t k;

	assert_true(s->overload <= l->overload_max);
	assert_true(s->recovery_s - (f->retry ? RETRY_STEPS * STEP_S : 0) <=
		    l->recovery_s);
	if (l->surge <= 1)
		return;
	assert_true(s->use >= l->use_min);
	/* Starvation: at least a quarter of the mean share. */
	for (k = 0; k < KINDS; k++) {
		mean += l->kinds[k].work * s->admitted[l->kinds[k].class];
		work += l->kinds[k].work;
	}
	for (k = 0; k < KINDS; k++)
		assert_true(s->admitted[k] >= mean / work / 4);
	/* Priority inversion: never more of a less important class. */
	assert_true(s->admitted[0] + 0.001 >= s->admitted[1]);
	assert_true(s->admitted[1] + 0.001 >= s->admitted[2]);
	assert_true(s->admitted[0] >= l->share0_min);
	assert_true(s->admitted[1] >= l->share1_min);
}

/*
 * Overload at the bottleneck: the least important class is reduced first, and
 * all requests are admitted again soon after the surge.
 */
static void
test_overload_cuts_least_important_first(void **state)
{
	struct result s;
	size_t i, j;

	(void)state;
	for (j = 0; j < sizeof(fleets) / sizeof(fleets[0]); j++) {
		print_message("%s\n", fleets[j].name);
		for (i = 0; i < sizeof(loads) / sizeof(loads[0]); i++) {
			simulate(&loads[i], &fleets[j], &s);
			print_message("%-34s overloaded %.2f use %.2f first "
				      "%.2f second %.2f third %.2f recovered "
				      "%.1f s\n",
			    loads[i].name, s.overload, s.use, s.admitted[0],
			    s.admitted[1], s.admitted[2], s.recovery_s);
			check_result(&loads[i], &fleets[j], &s);
		}
	}
}

/*
 * Grey failure: the work that a failing server doesn't get must fit at others.
 * If all servers fail alike, no capacity is lost.
 */
static void
test_failing_server_loses_capacity(void **state)
{
	static const struct {
		double failing[3];
		double least, most; /* admitted share */
	} rows[] = {
		{ { 0, 0, 0 }, 0.9, 0.95 },
		{ { 0, 0, 0.45 }, 0.6, 0.65 },
		{ { 0.01, 0, 0.1 }, 0.8, 0.88 },
		{ { 0.5, 0.5, 0.5 }, 0.9, 0.95 },
	};
	struct throttle_server s = { 10, 0.1, 0.9, 0 };
	struct throttle th;
	size_t i;
	int a, k, n;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		throttle_init(&th);
		a = throttle_service(&th, "a");
		for (n = 0; n < 3; n++) {
			throttle_begin_update(&th);
			throttle_add_demand(&th, a, 0, 300);
			for (k = 0; k < 3; k++) {
				s.failure_share = rows[i].failing[k];
				throttle_server(&th, a, &s);
			}
			throttle_update_shares(&th, STEP_S);
		}
		assert_true(
		    throttle_admitted_share(&th, a, 0) >= rows[i].least);
		assert_true(throttle_admitted_share(&th, a, 0) <= rows[i].most);
	}
}

/*
 * An overloaded service limits only the call trees that reach it.
 */
static void
test_unreached_service_limits_nothing(void **state)
{
	struct throttle th;
	int a, b, c, i;

	(void)state;
	throttle_init(&th);
	a = throttle_service(&th, "a");
	b = throttle_service(&th, "b");
	c = throttle_service(&th, "c");
	throttle_record_calls(&th, a, b, 1);
	throttle_record_calls(&th, b, a, 0.5); /* cycles must end */
	for (i = 0; i < 20; i++) {
		throttle_begin_update(&th);
		throttle_add_demand(&th, a, 3, 100);
		throttle_add_demand(&th, b, 3, 100);
		throttle_add_demand(&th, c, 3, 100);
		add_server(&th, b, 10, 0.1, 2);
		throttle_update_shares(&th, STEP_S);
	}
	assert_true(throttle_admitted_share(&th, a, 3) < 0.5);
	assert_true(throttle_admitted_share(&th, b, 3) < 0.5);
	assert_true(throttle_admitted_share(&th, c, 3) >= 1);
}

/*
 * Shares of the classes by capacity: the least important is reduced first, and
 * no share falls to zero.
 */
static void
test_class_shares_by_capacity(void **state)
{
	static const struct {
		double room; /* runs per second; each class requests 100 */
		double least[THROTTLE_CLASSES], most[THROTTLE_CLASSES];
	} rows[] = {
		{ 500, { 1, 1, 1, 1 }, { 1, 1, 1, 1 } },
		{ 400, { 1, 1, 1, 0.6 }, { 1, 1, 1, 0.8 } },
		{ 300, { 1, 1, 0.55, 0.2 }, { 1, 1, 0.65, 0.3 } },
		{ 100, { 0.6, 0.05, 0.05, 0.05 }, { 0.8, 0.2, 0.1, 0.1 } },
		{ 10, { 0.02, 0.02, 0.02, 0.02 }, { 0.04, 0.04, 0.04, 0.04 } },
	};
	struct throttle th;
	double share;
	uint32_t k;
	size_t i;
	int a;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		throttle_init(&th);
		a = throttle_service(&th, "a");
		throttle_begin_update(&th);
		for (k = 0; k < THROTTLE_CLASSES; k++)
			throttle_add_demand(&th, a, k, 100);
		add_server(&th, a, rows[i].room / 10, 0.1, 0.9);
		throttle_update_shares(&th, STEP_S);
		for (k = 0; k < THROTTLE_CLASSES; k++) {
			share = throttle_admitted_share(&th, a, k);
			assert_true(share >= rows[i].least[k]);
			assert_true(share <= rows[i].most[k]);
		}
	}
}

/*
 * The target load grows with the reported share of chained calls.
 */
static void
test_target_follows_chained_share(void **state)
{
	static const struct {
		double reported[2]; /* by two alternating servers */
		double least, most;
	} rows[] = {
		{ { 0, 0 }, THROTTLE_TARGET_LOAD, THROTTLE_TARGET_LOAD },
		{ { 1, 1 }, THROTTLE_TARGET_LOAD_CHAINED - 0.001,
		    THROTTLE_TARGET_LOAD_CHAINED },
		{ { 0, 1 }, 1.05, 1.08 },
	};
	struct throttle th;
	size_t i;
	int n;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		throttle_init(&th);
		for (n = 0; n < 200; n++)
			throttle_record_chained(&th, rows[i].reported[n % 2]);
		assert_true(throttle_target_load(&th) >= rows[i].least);
		assert_true(throttle_target_load(&th) <= rows[i].most);
	}
}

/*
 * Two bottlenecks: the worse one is limited first, and the other isn't limited
 * again for load that is already removed.
 */
static void
test_two_bottlenecks(void **state)
{
	struct throttle th;
	int a, b, c;

	(void)state;
	throttle_init(&th);
	a = throttle_service(&th, "a");
	b = throttle_service(&th, "b");
	c = throttle_service(&th, "c");
	throttle_record_calls(&th, a, b, 1);
	throttle_record_calls(&th, a, c, 1);
	throttle_begin_update(&th);
	throttle_add_demand(&th, a, 0, 100);
	add_server(&th, b, 5, 0.1, 0.9); /* capacity for half */
	add_server(&th, c, 8, 0.1, 0.4); /* capacity for four fifths */
	throttle_update_shares(&th, STEP_S);
	assert_true(throttle_admitted_share(&th, a, 0) > 0.4);
	assert_true(throttle_admitted_share(&th, a, 0) < 0.5);
	assert_true(th.services[b].is_limiting);
	assert_false(th.services[c].is_limiting);
}

/*
 * Services beyond the table size get no handle.
 */
static void
test_service_table_full(void **state)
{
	struct throttle th;
	char name[16];
	int i;

	(void)state;
	throttle_init(&th);
	for (i = 0; i < THROTTLE_SERVICES_MAX; i++) {
		snprintf(name, sizeof(name), "s%d", i);
		assert_int_equal(throttle_service(&th, name), i);
	}
	assert_int_equal(throttle_service(&th, "more"), -1);
	assert_int_equal(throttle_service(&th, "s3"), 3);
}

/*
 * Simulates runs that make calls in sequence until one is refused.
 */
static void
simulate_runs(struct profile *p, int runs, int calls_per_run, int refuse_every)
{
	static int made;
	int i, c, refused;

	for (i = 0; i < runs; i++) {
		profile_run_started(p);
		for (refused = c = 0; c < calls_per_run && !refused; c++) {
			refused =
			    refuse_every > 0 && ++made % refuse_every == 0;
			profile_call_started(p, "pricing", 0, 1);
			profile_call_ended(p, refused);
		}
		profile_run_ended(p);
		profile_update(p, 8, 0.01);
	}
}

/*
 * The calls per run are measured, and retained while calls are refused for
 * lack of a slot: with free slots, a run would make all of them.
 */
static void
test_profile_remembers_refused_calls(void **state)
{
	struct profile p;

	(void)state;
	profile_init(&p);
	assert_false(profile_calls_known(&p));
	assert_true(profile_mean_run_s(&p) <= 0);
	simulate_runs(&p, 300, 4, 0);
	assert_true(profile_calls_known(&p));
	assert_true(profile_calls_per_run(&p, 0) > 3.9);
	assert_true(profile_calls_per_run(&p, 0) < 4.1);
	/* Little's law: 8 slots held, 100 runs ended per second. */
	assert_true(profile_mean_run_s(&p) > 0.075);
	assert_true(profile_mean_run_s(&p) < 0.085);
	simulate_runs(&p, 300, 4, 2); /* every second call refused */
	assert_true(profile_calls_per_run(&p, 0) > 3.7);
	simulate_runs(&p, 600, 1, 0); /* fewer calls, none refused */
	assert_true(profile_calls_per_run(&p, 0) < 1.2);
}

/*
 * A node that restarts beside a busy server sees calls of runs whose start it
 * missed.  They must not count as calls of the runs that it counts.  If no
 * call's run is ever known, all calls count.
 */
static void
test_profile_skips_unseen_runs(void **state)
{
	static const struct {
		int known;
		double most;
	} rows[] = { { 1, 4.5 }, { 0, 14 } };
	struct profile p;
	size_t k;
	int i;

	(void)state;
	for (k = 0; k < sizeof(rows) / sizeof(rows[0]); k++) {
		profile_init(&p);
		for (i = 0; i < 200; i++)
			profile_call_started(&p, "pricing", 0, 0);
		for (i = 0; i < 100; i++) {
			profile_run_started(&p);
			profile_call_started(&p, "pricing", 0, rows[k].known);
			profile_call_started(&p, "pricing", 0, rows[k].known);
			profile_call_started(&p, "pricing", 0, rows[k].known);
			profile_call_started(&p, "pricing", 0, rows[k].known);
			profile_call_started(&p, "pricing", 0, 0);
			profile_run_ended(&p);
			profile_update(&p, 8, 0.01);
		}
		assert_true(profile_calls_per_run(&p, 0) > 3.5);
		assert_true(profile_calls_per_run(&p, 0) < rows[k].most);
	}
}

/*
 * A stalled server shows in the run time before its runs end.
 */
static void
test_profile_shows_stall(void **state)
{
	struct profile p;
	int i;

	(void)state;
	profile_init(&p);
	simulate_runs(&p, 300, 0, 0);
	for (i = 0; i < 100; i++)
		profile_update(&p, 8, 0.01);
	assert_true(profile_mean_run_s(&p) > 0.12);
}

/*
 * Demand includes requests refused by the throttle, but none above their rate.
 */
static void
test_demand_excludes_over_rate(void **state)
{
	struct demand_row *r;
	struct demand d;
	char name[16];
	int i;

	(void)state;
	demand_init(&d);
	for (i = 0; i < 1000; i++) {
		r = demand_row(&d, "catalogue", 0);
		r->counts[2].requested_count += 20;
		r->counts[2].admitted_count += 12;
		r->counts[2].over_rate_count += 8;
		demand_update_rates(&d, 0.1);
	}
	assert_true(demand_rate_per_s(r, 2) > 65);
	assert_true(demand_rate_per_s(r, 2) < 68);
	assert_true(demand_rate_per_s(r, 1) <= 0);
	for (i = 1; i < DEMAND_ROWS_MAX; i++) {
		snprintf(name, sizeof(name), "s%d", i);
		demand_row(&d, name, 0)->counts[0].requested_count = 1;
	}
	assert_null(demand_row(&d, "one too many", 0));
	demand_update_rates(&d, 100);
	assert_non_null(demand_row(&d, "in place of a forgotten one", 0));
}

/*
 * A decoded rate is within 2.6 % and 0.002 per second of the encoded one.
 */
static void
test_demand_code_precision(void **state)
{
	double v, decoded;
	int code, i;

	(void)state;
	assert_int_equal(demand_encode_rate(0), 0);
	assert_int_equal(demand_encode_rate(-1), 0);
	assert_true(demand_decode_rate(0) <= 0);
	assert_int_equal(demand_encode_rate(1e9), 255);
	for (code = 0; code < 256; code++)
		assert_int_equal(
		    demand_encode_rate(demand_decode_rate((uint8_t)code)),
		    code);
	for (i = 0; i < 1660; i++) {
		v = 0.001 * pow(1.01, i); /* up to 15,000 */
		decoded = demand_decode_rate(demand_encode_rate(v));
		assert_true(decoded >= v * 0.974 - 0.002);
		assert_true(decoded <= v * 1.026 + 0.002);
	}
}

/*
 * Cascading failure: a service loses all its servers.  Roots that require it
 * are refused, except a few that show its return.  Roots that rarely call it
 * stay admitted; so do all while other nodes report a server or if it never
 * had one.
 */
static void
test_service_without_servers(void **state)
{
	static const struct {
		int servers, reported_elsewhere;
		double most, least;
	} rows[] = {
		{ 0, 0, 1, 1 }, /* never had a server */
		{ 1, 0, 1, 1 },
		{ 0, 0, 0.05, 0.01 },
		{ 0, 1, 1, 1 },
		{ 0, 0, 0.05, 0.01 },
		{ 1, 0, 1, 1 },
	};
	int heavy, rare, proofs;
	struct throttle t;
	size_t i;

	(void)state;
	throttle_init(&t);
	heavy = throttle_service(&t, "catalogue");
	rare = throttle_service(&t, "orders");
	proofs = throttle_service(&t, "proofs");
	throttle_record_calls(&t, heavy, proofs, 2);
	throttle_record_calls(&t, rare, proofs, 0.3);
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		throttle_begin_update(&t);
		add_server(&t, heavy, 100, 0.1, 0.1);
		add_server(&t, rare, 100, 0.1, 0.1);
		if (rows[i].servers)
			add_server(&t, proofs, 100, 0.02, 0.1);
		if (rows[i].reported_elsewhere)
			throttle_assume_reachable(&t, proofs);
		throttle_add_demand(&t, heavy, 1, 50);
		throttle_add_demand(&t, rare, 0, 50);
		throttle_update_shares(&t, STEP_S);
		assert_true(
		    throttle_admitted_share(&t, heavy, 1) <= rows[i].most);
		assert_true(
		    throttle_admitted_share(&t, heavy, 1) >= rows[i].least);
		assert_true(throttle_admitted_share(&t, rare, 0) >= 1);
		assert_true(throttle_admitted_share(&t, proofs, 2) >= 1);
		assert_true(t.services[proofs].capacity_factor <= 1);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_overload_cuts_least_important_first),
		cmocka_unit_test(test_failing_server_loses_capacity),
		cmocka_unit_test(test_unreached_service_limits_nothing),
		cmocka_unit_test(test_class_shares_by_capacity),
		cmocka_unit_test(test_target_follows_chained_share),
		cmocka_unit_test(test_two_bottlenecks),
		cmocka_unit_test(test_service_table_full),
		cmocka_unit_test(test_profile_remembers_refused_calls),
		cmocka_unit_test(test_profile_skips_unseen_runs),
		cmocka_unit_test(test_profile_shows_stall),
		cmocka_unit_test(test_service_without_servers),
		cmocka_unit_test(test_demand_excludes_over_rate),
		cmocka_unit_test(test_demand_code_precision),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
