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
#define STEPS 50
#define CLASS_ROOTS 1

/* Routes of the tests. */
enum route {
	ROUTE_ANY,
	ROUTE_BROWSE,  /* of calendar, makes no call */
	ROUTE_ROSTER,  /* of calendar, calls booking */
	ROUTE_DEPOSIT, /* of payments, calls the roster */
	ROUTE_CONFIRM, /* of booking */
	ROUTE_PROFILE, /* of booking, called */
	ROUTE_UNKNOWN
};

static void
add_server(struct throttle *t, int service, double slots, double run_s)
{
	struct throttle_server s = { slots, run_s, 1, 0 };

	throttle_server(t, service, &s);
}

/* A mesh in which one service is both a root and called. */
struct mesh {
	struct throttle t;
	int calendar, payments, booking;
	int browse, roster, deposit, confirm, profile;
};

static void
mesh_init(struct mesh *m)
{
	struct throttle *t = &m->t;

	throttle_init(t);
	m->calendar = throttle_service(t, "calendar");
	m->payments = throttle_service(t, "payments");
	m->booking = throttle_service(t, "booking");
	m->browse = throttle_find_row(t, m->calendar, ROUTE_BROWSE);
	m->roster = throttle_find_row(t, m->calendar, ROUTE_ROSTER);
	m->deposit = throttle_find_row(t, m->payments, ROUTE_DEPOSIT);
	m->confirm = throttle_find_row(t, m->booking, ROUTE_CONFIRM);
	m->profile = throttle_find_row(t, m->booking, ROUTE_PROFILE);
	/* What the servers of calendar see of all their runs together. */
	throttle_record_calls(t, m->calendar, m->booking, 3.7);
	throttle_record_calls(t, m->payments, m->calendar, 2);
	throttle_record_route(t, m->browse, 0);
	throttle_record_route(t, m->roster, 0);
	throttle_record_calls(t, m->roster, m->profile, 5);
	throttle_record_route(t, m->deposit, 0);
	throttle_record_calls(t, m->deposit, m->roster, 2);
	throttle_record_route(t, m->confirm, 0);
	throttle_record_route(t, m->profile, 0);
}

/*
 * Updates the shares with the demand of the mesh, and the given slots left at
 * its bottleneck.
 */
static void
mesh_step(struct mesh *m, double slots)
{
	throttle_begin_update(&m->t);
	throttle_add_demand(&m->t, m->browse, CLASS_ROOTS, 60);
	throttle_add_demand(&m->t, m->deposit, CLASS_ROOTS, 80);
	throttle_add_demand(&m->t, m->confirm, CLASS_ROOTS, 20);
	add_server(&m->t, m->calendar, 400, 0.1);
	add_server(&m->t, m->payments, 400, 0.2);
	add_server(&m->t, m->booking, slots, 0.05);
	throttle_update_shares(&m->t, STEP_S);
}

static double
share(const struct mesh *m, int row)
{
	return throttle_admitted_share(&m->t, row, CLASS_ROOTS);
}

/*
 * Overload of a service that only some routes of another one call: the routes
 * that make no call stay admitted, and those that call it are limited.
 */
static void
test_routes_without_calls_stay_admitted(void **state)
{
	static struct mesh m;
	int i;

	(void)state;
	mesh_init(&m);
	/* 80 deposits need 40 slots, 20 confirmations one. */
	mesh_step(&m, 112);
	assert_true(share(&m, m.deposit) >= 1);
	for (i = 0; i < STEPS; i++)
		mesh_step(&m, 28 / 4.0);
	assert_true(m.t.services[m.booking].is_limiting);
	assert_true(share(&m, m.browse) >= 1);
	assert_true(share(&m, m.deposit) < 0.3);
	assert_true(share(&m, m.deposit) > 0.05);
	assert_true(share(&m, m.confirm) < 1);
	for (i = 0; i < STEPS; i++)
		mesh_step(&m, 112);
	assert_true(share(&m, m.deposit) >= 1);
}

/*
 * A called service without servers: of the routes of one service, only those
 * that require it are refused.
 */
static void
test_lost_service_refuses_callers_only(void **state)
{
	static struct mesh m;

	(void)state;
	mesh_init(&m);
	mesh_step(&m, 112);
	throttle_begin_update(&m.t);
	throttle_add_demand(&m.t, m.browse, CLASS_ROOTS, 60);
	throttle_add_demand(&m.t, m.deposit, CLASS_ROOTS, 80);
	add_server(&m.t, m.calendar, 400, 0.1);
	add_server(&m.t, m.payments, 400, 0.2);
	throttle_update_shares(&m.t, STEP_S);
	assert_true(share(&m, m.browse) >= 1);
	assert_true(share(&m, m.deposit) < 0.1);
}

/*
 * Runs of different length on one service: a route counts with the time that
 * its own runs hold a slot.
 */
static void
test_long_runs_count_more(void **state)
{
	static const struct {
		double cost; /* of the only route's runs */
		double least, most;
	} rows[] = {
		{ 1, 0.9, 1 },
		{ 2, 0.4, 0.52 },
		{ 0.25, 1, 1 },
	};
	struct throttle t;
	int a, row, n;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		throttle_init(&t);
		a = throttle_service(&t, "a");
		row = throttle_find_row(&t, a, ROUTE_BROWSE);
		for (n = 0; n < STEPS; n++)
			throttle_record_route(&t, row, rows[i].cost);
		throttle_begin_update(&t);
		throttle_add_demand(&t, row, 0, 100);
		add_server(&t, a, 10, 0.1); /* 100 mean runs a second */
		throttle_update_shares(&t, STEP_S);
		assert_true(
		    throttle_admitted_share(&t, row, 0) >= rows[i].least);
		assert_true(
		    throttle_admitted_share(&t, row, 0) <= rows[i].most);
	}
}

/*
 * Restart of all nodes into an overload: a route that isn't measured is
 * admitted for a while, or it would hardly get measured, and counts as the
 * others of its service if nothing is heard of it.
 */
static void
test_unmeasured_route(void **state)
{
	struct throttle t;
	double first = 0, last = 0;
	int a, b, row, i;

	(void)state;
	throttle_init(&t);
	a = throttle_service(&t, "a");
	b = throttle_service(&t, "b");
	throttle_record_calls(&t, a, b, 1);
	row = throttle_find_row(&t, a, ROUTE_UNKNOWN);
	for (i = 0; i < STEPS; i++) {
		throttle_begin_update(&t);
		throttle_add_demand(&t, row, 0, 100);
		add_server(&t, b, 1, 0.1);
		throttle_update_shares(&t, STEP_S);
		last = throttle_admitted_share(&t, row, 0);
		if (i == 0)
			first = last;
	}
	assert_true(first >= 1);
	assert_true(last < 0.3);
	throttle_record_route(&t, row, 0);
	throttle_begin_update(&t);
	throttle_add_demand(&t, row, 0, 100);
	add_server(&t, b, 1, 0.1);
	throttle_update_shares(&t, STEP_S);
	assert_true(throttle_admitted_share(&t, row, 0) >= 1);
}

static int
is_even(void *ctx, uint32_t route)
{
	(void)ctx;
	return route % 2 == 0;
}

/*
 * More routes than rows: the others share the row of their service.  Routes
 * that the configuration no longer has give their rows to new ones.
 */
static void
test_route_table_full(void **state)
{
	struct throttle t;
	uint32_t route;
	int a, row, gone = 0;

	(void)state;
	throttle_init(&t);
	a = throttle_service(&t, "a");
	for (route = 1; route <= THROTTLE_ROUTES_MAX; route++) {
		row = throttle_find_row(&t, a, route);
		assert_true(throttle_is_row(&t, row, a, route));
		assert_int_not_equal(row, a);
		if (route == 3)
			gone = row;
	}
	throttle_record_calls(&t, a, gone, 1);
	assert_int_equal(throttle_find_row(&t, a, route), a);
	assert_int_equal(throttle_find_row(&t, a, ROUTE_ANY), a);
	throttle_forget_routes(&t, is_even, NULL);
	assert_int_equal(t.rows[a].call_count, 0);
	assert_false(throttle_is_row(&t, gone, a, 3));
	row = throttle_find_row(&t, a, route);
	assert_true(throttle_is_row(&t, row, a, route));
	row = throttle_find_row(&t, a, 2);
	assert_true(throttle_is_row(&t, row, a, 2));
}

/*
 * More callees than a row records: one that is no longer called gives its
 * place to a new one.
 */
static void
test_call_table_full(void **state)
{
	struct throttle t;
	int a, i, n, row;

	(void)state;
	throttle_init(&t);
	a = throttle_service(&t, "a");
	for (i = 1; i <= THROTTLE_CALLS_MAX; i++)
		throttle_record_calls(
		    &t, a, throttle_find_row(&t, a, (uint32_t)i), 1);
	row = throttle_find_row(&t, a, (uint32_t)i);
	throttle_record_calls(&t, a, row, 1);
	for (i = 0; i < THROTTLE_CALLS_MAX; i++)
		assert_int_not_equal(t.rows[a].calls[i].row, row);
	for (n = 0; n < STEPS; n++)
		throttle_record_calls(&t, a, t.rows[a].calls[2].row, 0);
	throttle_record_calls(&t, a, row, 1);
	assert_int_equal(t.rows[a].calls[2].row, row);
}

/*
 * A server runs one route that calls and one that doesn't, the latter for twice
 * as long: each gets its own calls and cost.
 */
static void
test_profile_by_route(void **state)
{
	static struct profile_set s;
	struct throttle t;
	int i, k, a, browse, roster, profile;

	(void)state;
	profile_set_init(&s);
	for (i = 0; i < 60; i++) {
		profile_set_run_started(&s, ROUTE_ROSTER);
		profile_set_run_started(&s, ROUTE_BROWSE);
		for (k = 0; k < 5; k++) {
			profile_set_call_started(
			    &s, ROUTE_ROSTER, "booking", ROUTE_PROFILE, 1);
			profile_set_call_ended(&s, ROUTE_ROSTER, 0);
		}
		profile_set_update(&s, 2, 0.02);
		profile_set_run_ended(&s, ROUTE_ROSTER);
		profile_set_update(&s, 1, 0.02);
		profile_set_run_ended(&s, ROUTE_BROWSE);
	}
	throttle_init(&t);
	a = throttle_service(&t, "calendar");
	for (i = 0; i < STEPS; i++)
		for (k = 0; k < (int)s.route_count; k++)
			profile_set_record(&s, (uint32_t)k, &t, a);
	browse = throttle_find_row(&t, a, ROUTE_BROWSE);
	roster = throttle_find_row(&t, a, ROUTE_ROSTER);
	profile = throttle_find_row(
	    &t, throttle_service(&t, "booking"), ROUTE_PROFILE);
	assert_true(t.rows[browse].measured && t.rows[roster].measured);
	assert_int_equal(t.rows[browse].call_count, 0);
	assert_int_equal(t.rows[roster].call_count, 1);
	assert_int_equal(t.rows[roster].calls[0].row, profile);
	assert_true(t.rows[roster].calls[0].calls_per_run > 4.5);
	assert_true(t.rows[roster].calls[0].calls_per_run < 5.5);
	assert_true(t.rows[browse].cost > 1.2 && t.rows[browse].cost < 1.45);
	assert_true(t.rows[roster].cost > 0.6 && t.rows[roster].cost < 0.8);
}

/*
 * A server that begins to fail all requests at once: the cost of a route that
 * it no longer runs isn't compared with the short failed runs of others.
 */
static void
test_cost_of_idle_route(void **state)
{
	static struct profile_set s;
	double cost;
	uint32_t k;
	int i;

	(void)state;
	profile_set_init(&s);
	for (i = 0; i < 400; i++) {
		if (i < 40)
			profile_set_run_started(&s, ROUTE_BROWSE);
		profile_set_run_started(&s, ROUTE_ROSTER);
		profile_set_update(&s, i < 40 ? 2 : 1, i < 40 ? 0.1 : 0.001);
		if (i < 40)
			profile_set_run_ended(&s, ROUTE_BROWSE);
		profile_set_run_ended(&s, ROUTE_ROSTER);
		profile_set_update(&s, 0, i < 40 ? 0.01 : 0.1);
		/* The mean cost of all runs is 1. */
		cost = 0;
		for (k = 0; k < s.route_count; k++)
			cost += profile_set_cost(&s, k) *
				s.routes[k].runs.ended_runs;
		assert_true(cost <= 1.001 * s.all.ended_runs);
	}
	assert_true(profile_mean_run_s(&s.all) < 0.002);
	assert_true(profile_set_cost(&s, 0) <= 0);
	assert_true(profile_set_cost(&s, 1) > 0.9);
}

/*
 * Calls of runs that this node hasn't seen count for the service, but for no
 * route.  Runs without a route, and of routes beyond the table, count for the
 * service only; a route that was idle long gives up its place.
 */
static void
test_profile_unknown_routes(void **state)
{
	static struct profile_set s;
	uint32_t i;

	(void)state;
	profile_set_init(&s);
	profile_set_run_started(&s, ROUTE_ANY);
	profile_set_call_started(&s, ROUTE_ANY, "b", ROUTE_PROFILE, 0);
	assert_int_equal(s.route_count, 0);
	assert_int_equal(s.all.call_count, 1);
	for (i = 1; i <= PROFILE_ROUTES_MAX; i++)
		profile_set_run_started(&s, i);
	profile_set_run_started(&s, i);
	profile_set_run_ended(&s, i);
	assert_int_equal(s.route_count, PROFILE_ROUTES_MAX);
	assert_int_equal(s.routes[0].held_slots, 1);
	profile_set_run_ended(&s, 1);
	profile_set_update(&s, 1, 60);
	profile_set_run_started(&s, i);
	assert_int_equal(s.routes[0].route, i);
	assert_int_equal(s.routes[1].route, 2);
}

/*
 * Demand on more routes than a node has rows for: the others count for their
 * service, none is lost.
 */
static void
test_demand_of_many_routes(void **state)
{
	struct demand d;
	double total = 0;
	uint32_t i;

	(void)state;
	demand_init(&d);
	for (i = 1; i <= 40; i++)
		demand_row(&d, "a", i)->counts[1].requested_count += 10;
	demand_update_rates(&d, 100);
	assert_int_equal(d.count, DEMAND_ROUTES_MAX + 1);
	for (i = 0; i < d.count; i++)
		total += demand_rate_per_s(&d.rows[i], 1) * 100;
	assert_true(total > 399 && total < 401);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_routes_without_calls_stay_admitted),
		cmocka_unit_test(test_lost_service_refuses_callers_only),
		cmocka_unit_test(test_long_runs_count_more),
		cmocka_unit_test(test_unmeasured_route),
		cmocka_unit_test(test_route_table_full),
		cmocka_unit_test(test_call_table_full),
		cmocka_unit_test(test_profile_by_route),
		cmocka_unit_test(test_cost_of_idle_route),
		cmocka_unit_test(test_profile_unknown_routes),
		cmocka_unit_test(test_demand_of_many_routes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
