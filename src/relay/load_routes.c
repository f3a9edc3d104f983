#include <string.h>

#include "relay/relay_int.h"

/*
 * Time between two reports of a server for each server of its service.  The
 * reports of a service then arrive at a steady rate, however many servers it
 * has.
 */
#define REPORT_PER_SERVER_MS 2000
#define PER_THOUSAND 1000.0
/* Reported costs and calls above are taken as mistakes. */
#define REPORTED_MAX 1000000

static uint64_t report_interval_ms(const struct relay *);
static void report_route(struct relay *, uint32_t);

/*
 * Returns the time in milliseconds between two reports of this node.
 */
static uint64_t
report_interval_ms(const struct relay *r)
{
	const struct fleet_peer *p;
	uint64_t ms = REPORT_PER_SERVER_MS;
	size_t i;

	for (i = 0; i < r->fleet.count; i++) {
		p = &r->fleet.peers[i];
		if (!p->has_departed &&
		    strcmp(p->server.service, r->server.service) == 0)
			ms += REPORT_PER_SERVER_MS;
	}
	return ms;
}

/*
 * Sends all nodes the calls and the cost of the runs of one route, given by its
 * place in the set.
 */
static void
report_route(struct relay *r, uint32_t place)
{
	const struct profile *p = &r->profiles.routes[place].runs;
	double cost = profile_set_cost(&r->profiles, place);
	fleet_call calls[FLEET_CALLS_MAX];
	struct fleet_msg m;
	uint32_t i;

	memset(&m, 0, sizeof(m));
	m.kind = FLEET_ROUTE_PROFILE;
	m.fleet_msg_u.profile.service = r->server.service;
	m.fleet_msg_u.profile.route = r->profiles.routes[place].route;
	m.fleet_msg_u.profile.cost_per_1000 =
	    (unsigned int)(cost * PER_THOUSAND);
	m.fleet_msg_u.profile.calls.calls_val = calls;
	m.fleet_msg_u.profile.calls.calls_len = p->call_count;
	for (i = 0; i < p->call_count; i++) {
		calls[i].service =
		    r->profiles.routes[place].runs.calls[i].service;
		calls[i].route = p->calls[i].route;
		calls[i].per_1000 =
		    (unsigned int)(profile_calls_per_run(p, i) * PER_THOUSAND);
	}
	fleet_send_all(&r->net, &m);
}

/*
 * Returns 1 if no server has reported a route of the local server's service.
 */
static int
is_unreported(struct relay *r, uint32_t route)
{
	int h = throttle_service(&r->throttle, r->server.service);

	return h >= 0 &&
	       !r->throttle.rows[throttle_find_row(&r->throttle, h, route)]
		    .measured;
}

/*
 * Reports the routes that the local server runs to all nodes: all when a report
 * is due, and at once one that is newly measured and not heard of yet.
 */
void
load_report_routes(struct relay *r)
{
	uint64_t now = relay_now(r);
	struct profile_route *p;
	uint32_t i;
	int due;

	if (r->server.id[0] == '\0' || r->server.leaving)
		return;
	due = now - r->routes_reported_ms >= report_interval_ms(r);
	if (due)
		r->routes_reported_ms = now;
	for (i = 0; i < r->profiles.route_count; i++) {
		p = &r->profiles.routes[i];
		if (!profile_calls_known(&p->runs))
			continue;
		if (due || (!p->reported && is_unreported(r, p->route)))
			report_route(r, i);
		p->reported = 1;
	}
}

/*
 * Adds the calls and costs of the routes that the local server runs to the
 * throttle.
 */
void
load_add_own_routes(struct relay *r, int service)
{
	uint32_t i;

	for (i = 0; i < r->profiles.route_count; i++)
		profile_set_record(&r->profiles, i, &r->throttle, service);
}

/*
 * Stores the calls and the cost of a route's runs that another node reports.
 */
void
load_on_route_profile(void *ctx, const struct fleet_route_profile *m)
{
	struct relay *r = ctx;
	struct throttle *t = &r->throttle;
	const fleet_call *c;
	int service, row, to;
	u_int i;

	service = throttle_service(t, m->service);
	if (service < 0 || m->route == 0 || m->cost_per_1000 > REPORTED_MAX)
		return;
	row = throttle_find_row(t, service, m->route);
	if (row == service)
		return;
	throttle_record_route(t, row, m->cost_per_1000 / PER_THOUSAND);
	for (i = 0; i < m->calls.calls_len; i++) {
		c = &m->calls.calls_val[i];
		to = throttle_service(t, c->service);
		if (to >= 0 && c->per_1000 <= REPORTED_MAX)
			throttle_record_calls(t, row,
			    throttle_find_row(t, to, c->route),
			    c->per_1000 / PER_THOUSAND);
	}
}
