#include <string.h>

#include "throttle/profile.h"

/* A route without a run for longer may give its place to another. */
#define IDLE_ROUTE_S 10.0
/*
 * Runs that must have ended for a reliable mean run time, and for reliable
 * calls: those of a route differ little, and each call's run is known.
 */
#define COST_RUNS_MIN 2.0
#define CALLS_RUNS_MIN 6.0

static struct profile_route *find_route(struct profile_set *, uint32_t);
static struct profile_route *add_route(struct profile_set *, uint32_t);

/*
 * Initializes a set without measurements.
 */
void
profile_set_init(struct profile_set *s)
{
	memset(s, 0, sizeof(*s));
	profile_init(&s->all);
}

/*
 * Returns the runs of a route, or NULL if they aren't measured.
 */
static struct profile_route *
find_route(struct profile_set *s, uint32_t route)
{
	uint32_t i;

	for (i = 0; route != 0 && i < s->route_count; i++)
		if (s->routes[i].route == route)
			return &s->routes[i];
	return NULL;
}

/*
 * Adds a route in a free place, or in that of the route that has been idle
 * longest.  Returns NULL if there is none, or the route has no id.
 */
static struct profile_route *
add_route(struct profile_set *s, uint32_t route)
{
	struct profile_route *r = NULL;
	double idle_s = IDLE_ROUTE_S;
	uint32_t i;

	if (route == 0)
		return NULL;
	if (s->route_count < PROFILE_ROUTES_MAX)
		r = &s->routes[s->route_count++];
	for (i = 0; r == NULL && i < s->route_count; i++)
		if (s->routes[i].held_slots == 0 &&
		    s->routes[i].idle_s > idle_s) {
			idle_s = s->routes[i].idle_s;
			r = &s->routes[i];
		}
	if (r == NULL)
		return NULL;
	memset(r, 0, sizeof(*r));
	r->route = route;
	profile_init(&r->runs);
	r->runs.known_runs_min = CALLS_RUNS_MIN;
	return r;
}

/*
 * Records the start of a run of a route; 0: the route isn't known.
 */
void
profile_set_run_started(struct profile_set *s, uint32_t route)
{
	struct profile_route *r = find_route(s, route);

	profile_run_started(&s->all);
	if (r == NULL)
		r = add_route(s, route);
	if (r == NULL)
		return;
	profile_run_started(&r->runs);
	r->held_slots++;
	r->idle_s = 0;
}

/*
 * Records the end of a run of a route.
 */
void
profile_set_run_ended(struct profile_set *s, uint32_t route)
{
	struct profile_route *r = find_route(s, route);

	profile_run_ended(&s->all);
	if (r == NULL || r->held_slots == 0)
		return;
	profile_run_ended(&r->runs);
	r->held_slots--;
}

/*
 * Records a call that a run of route from makes to route to of a service;
 * run_known says whether that run is known.
 */
void
profile_set_call_started(struct profile_set *s, uint32_t from,
    const char *service, uint32_t to, int run_known)
{
	struct profile_route *r = find_route(s, from);

	profile_call_started(&s->all, service, 0, run_known);
	if (r != NULL && run_known)
		profile_call_started(&r->runs, service, to, run_known);
}

/*
 * Records the end of a call by a run of a route.
 */
void
profile_set_call_ended(struct profile_set *s, uint32_t from, int refused)
{
	struct profile_route *r = find_route(s, from);

	profile_call_ended(&s->all, refused);
	if (r != NULL)
		profile_call_ended(&r->runs, refused);
}

/*
 * Updates the averages after the given seconds, during which held_slots slots
 * were in use.  The run times of the routes decay like that of all runs, so
 * that they can be compared.
 */
void
profile_set_update(struct profile_set *s, uint32_t held_slots, double seconds)
{
	double decay = profile_slot_decay(&s->all, held_slots, seconds);
	struct profile_route *r;
	uint32_t i;

	profile_update_decayed(&s->all, held_slots, seconds, decay);
	for (i = 0; i < s->route_count; i++) {
		r = &s->routes[i];
		r->idle_s = r->held_slots > 0 ? 0 : r->idle_s + seconds;
		profile_update_decayed(&r->runs, r->held_slots, seconds, decay);
	}
}

/*
 * Returns the mean run time of a route, given by its place in the set, relative
 * to that of all runs, or 0 if too few have ended.
 */
double
profile_set_cost(const struct profile_set *s, uint32_t i)
{
	const struct profile *p = &s->routes[i].runs;
	double all_s = profile_mean_run_s(&s->all);

	if (p->ended_runs < COST_RUNS_MIN || all_s <= 0)
		return 0;
	return profile_mean_run_s(p) / all_s;
}

/*
 * Records the calls and the cost of a route, given by its place in the set, for
 * the given service of a throttle, unless too little is known.
 */
void
profile_set_record(
    const struct profile_set *s, uint32_t i, struct throttle *t, int service)
{
	const struct profile *p = &s->routes[i].runs;
	int row, to;
	uint32_t k;

	if (!profile_calls_known(p))
		return;
	row = throttle_find_row(t, service, s->routes[i].route);
	if (row == service)
		return;
	throttle_record_route(t, row, profile_set_cost(s, i));
	for (k = 0; k < p->call_count; k++) {
		to = throttle_service(t, p->calls[k].service);
		if (to >= 0)
			throttle_record_calls(t, row,
			    throttle_find_row(t, to, p->calls[k].route),
			    profile_calls_per_run(p, k));
	}
}
