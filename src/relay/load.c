#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "event/event.h"
#include "relay/relay_int.h"

#define STEP_MS 100		  /* interval of the throttle's steps */
#define LOAD_TIME_CONSTANT_S 0.25 /* of the measured load */
#define MS_PER_S 1000.0
#define PER_THOUSAND 1000.0 /* loads and calls are sent in thousandths */
#define US_PER_S 1000000.0
#define RANK_SHIFT 16
/*
 * Requests from which a route has a row of demand.  Each new row makes the next
 * heartbeats full ones, and some routes are tried just once or twice.
 */
#define ROUTE_REQUESTS_MIN 3
#define STEPS_PER_SUMMARY 10 /* steps between two summary log lines */

static void on_throttle_timer(uv_timer_t *);
static void log_quorum(struct relay *);
static void log_summary(struct relay *);
static void log_limiting_services(struct relay *);
static double offered_load(const struct relay *);
static void add_calls(struct relay *, int, const char *, double);
static void add_own_load(struct relay *);
static void keep_unheard_service_open(
    struct relay *, const struct fleet_peer *);
static void keep_unrouted_services_open(struct relay *);
static void add_peer_demand(struct relay *, struct relay_link *);
static void sum_loads(struct relay *);
static struct demand_row *find_demand(struct relay *, const char *, uint32_t);
static int route_exists(void *, uint32_t);
static int compare_ranks(const void *, const void *);
static void add_rank(struct relay *, uint32_t);

/*
 * Starts load measurement and the throttle timer.
 */
void
load_init(struct relay *r)
{
	throttle_init(&r->throttle);
	profile_set_init(&r->profiles);
	demand_init(&r->demand);
	uv_timer_init(r->loop, &r->throttle_timer);
	r->throttle_timer.data = r;
	uv_timer_start(&r->throttle_timer, on_throttle_timer, STEP_MS, STEP_MS);
}

/*
 * Updates the measured load of the local server to the current time.  To be
 * called before the load changes.
 */
void
load_update(struct relay *r)
{
	uint64_t now = relay_now(r);
	double elapsed_s = (double)(now - r->rates_updated_ms) / MS_PER_S;
	double old_weight = exp(-elapsed_s / LOAD_TIME_CONSTANT_S), load = 0;

	if (r->server.slots > 0)
		load = (double)(r->core.inflight + r->core.queued) /
		       relay_server_slots(r);
	r->utilization = r->utilization * old_weight + load * (1 - old_weight);
	r->shed_per_s *= old_weight;
	r->rates_updated_ms = now;
	profile_set_update(&r->profiles, r->core.inflight, elapsed_s);
}

/*
 * Returns the work offered to the local server as a share of its slots:
 * requests running, waiting and refused here.
 */
static double
offered_load(const struct relay *r)
{
	if (r->server.slots == 0)
		return 0;
	return r->utilization + r->shed_per_s *
				    profile_mean_run_s(&r->profiles.all) /
				    relay_server_slots(r);
}

/*
 * Records that this node refused a request.
 */
void
load_record_refusal(struct relay *r)
{
	load_update(r);
	r->shed_per_s += 1 / LOAD_TIME_CONSTANT_S;
}

/*
 * Fills a heartbeat with the local server's load and calls, and the demand of
 * this node's callers.
 */
void
load_fill_heartbeat(struct relay *r, struct fleet_heartbeat *b)
{
	static fleet_name calls[FLEET_CALLS_MAX], demands[FLEET_REQUESTED_MAX];
	static u_int per_1000[FLEET_CALLS_MAX];
	static u_int routes[FLEET_REQUESTED_MAX];
	static char rates[FLEET_RATES_MAX];
	const struct profile *p = &r->profiles.all;
	struct demand_row *row;
	uint32_t i, k, n = 0;

	load_update(r);
	b->load.offered = (unsigned int)(offered_load(r) * PER_THOUSAND);
	b->load.run_us = (unsigned int)(profile_mean_run_s(p) * US_PER_S);
	b->load.failing =
	    (unsigned int)(choice_failure_share(&r->health, relay_now(r)) *
			   PER_THOUSAND);
	b->load.chained = (unsigned int)(p->chained_share * PER_THOUSAND);
	if (profile_calls_known(p))
		n = p->call_count;
	for (i = 0; i < n; i++) {
		calls[i] = r->profiles.all.calls[i].service;
		per_1000[i] =
		    (u_int)(profile_calls_per_run(p, i) * PER_THOUSAND);
	}
	b->calls.calls_val = calls;
	b->load.calls_per_1000.calls_per_1000_val = per_1000;
	b->calls.calls_len = b->load.calls_per_1000.calls_per_1000_len = n;
	n = r->demand.count;
	for (i = 0; i < n; i++) {
		row = &r->demand.rows[i];
		demands[i] = row->service;
		routes[i] = row->route;
		for (k = 0; k < THROTTLE_CLASSES; k++)
			rates[i * THROTTLE_CLASSES + k] =
			    (char)demand_encode_rate(demand_rate_per_s(row, k));
	}
	b->demands.demands_val = demands;
	b->demands.demands_len = n;
	b->demand_routes.demand_routes_val = routes;
	b->demand_routes.demand_routes_len = n;
	b->load.demands.demands_val = rates;
	b->load.demands.demands_len = n * THROTTLE_CLASSES;
}

/*
 * Stores the services that another node's server calls and the services that
 * the node's callers request, as listed in its heartbeat.
 */
void
load_on_heartbeat(void *ctx, int handle, const struct fleet_heartbeat *b)
{
	struct relay *r = ctx;
	struct relay_link *l = relay_link(r, handle);
	u_int i;

	l->call_count = b->calls.calls_len;
	for (i = 0; i < b->calls.calls_len; i++)
		l->calls[i] =
		    throttle_service(&r->throttle, b->calls.calls_val[i]);
	l->demand_count = b->demands.demands_len;
	for (i = 0; i < b->demands.demands_len; i++) {
		l->demands[i] =
		    throttle_service(&r->throttle, b->demands.demands_val[i]);
		l->demand_routes[i] =
		    i < b->demand_routes.demand_routes_len
			? b->demand_routes.demand_routes_val[i]
			: 0;
		l->demand_rows[i] = l->demands[i];
	}
	memset(l->demands_per_s, 0, sizeof(l->demands_per_s));
}

/*
 * Stores the rates that belong to the services of the node's last full
 * heartbeat.
 */
void
load_on_report(void *ctx, int handle, const struct fleet_load *m)
{
	struct relay *r = ctx;
	struct relay_link *l = relay_link(r, handle);
	int caller;
	u_int i;

	caller = throttle_service(
	    &r->throttle, r->fleet.peers[handle].server.service);
	for (i = 0; i < m->calls_per_1000.calls_per_1000_len &&
		    i < l->call_count && caller >= 0;
	     i++)
		if (l->calls[i] >= 0)
			throttle_record_calls(&r->throttle, caller, l->calls[i],
			    m->calls_per_1000.calls_per_1000_val[i] /
				PER_THOUSAND);
	if (l->call_count > 0)
		throttle_record_chained(
		    &r->throttle, m->chained / PER_THOUSAND);
	for (i = 0; i < m->demands.demands_len &&
		    i < l->demand_count * THROTTLE_CLASSES;
	     i++)
		l->demands_per_s[i / THROTTLE_CLASSES][i % THROTTLE_CLASSES] =
		    (float)demand_decode_rate(
			(uint8_t)m->demands.demands_val[i]);
}

/*
 * Adds the calls per run from one service to another to the throttle.
 */
static void
add_calls(struct relay *r, int caller, const char *service, double per_run)
{
	int h = throttle_service(&r->throttle, service);

	if (h >= 0)
		throttle_record_calls(&r->throttle, caller, h, per_run);
}

/*
 * Adds the local server's load and the demand of the local callers to the
 * throttle.
 */
static void
add_own_load(struct relay *r)
{
	const struct profile *p = &r->profiles.all;
	const struct demand_row *row;
	struct throttle_server own;
	uint32_t i, k;
	int h;

	for (i = 0; i < r->demand.count; i++) {
		row = &r->demand.rows[i];
		h = throttle_service(&r->throttle, row->service);
		if (h >= 0)
			h = throttle_find_row(&r->throttle, h, row->route);
		for (k = 0; h >= 0 && k < THROTTLE_CLASSES; k++)
			throttle_add_demand(
			    &r->throttle, h, k, demand_rate_per_s(row, k));
	}
	if (r->server.id[0] == '\0' || r->server.leaving ||
	    (h = throttle_service(&r->throttle, r->server.service)) < 0)
		return;
	own.slots = relay_server_slots(r);
	own.mean_run_s = profile_mean_run_s(&r->profiles.all);
	own.offered_load = offered_load(r);
	own.failure_share = choice_failure_share(&r->health, relay_now(r));
	throttle_server(&r->throttle, h, &own);
	if (p->call_count > 0)
		throttle_record_chained(&r->throttle, p->chained_share);
	for (i = 0; profile_calls_known(p) && i < p->call_count; i++)
		add_calls(
		    r, h, p->calls[i].service, profile_calls_per_run(p, i));
	load_add_own_routes(r, h);
}

/*
 * Keeps the service of an unreachable peer open.  The peer is unreachable for
 * this node but not for most others, so requests may still reach its server.
 */
static void
keep_unheard_service_open(struct relay *r, const struct fleet_peer *p)
{
	int h;

	if (p->has_departed || p->isolated || p->server.id[0] == '\0' ||
	    p->server.unavailable_state)
		return;
	h = throttle_service(&r->throttle, p->server.service);
	if (h >= 0)
		throttle_assume_reachable(&r->throttle, h);
}

/*
 * Keeps services open that have no servers and no route any more.  Runs that
 * used to call them now call other services.
 */
static void
keep_unrouted_services_open(struct relay *r)
{
	const struct throttle_service *s;
	uint32_t i;

	for (i = 0; i < r->throttle.count; i++) {
		s = &r->throttle.services[i];
		if (s->had_server && !s->assumed_reachable &&
		    (r->config == NULL ||
			!config_routes_to(r->config, s->name)))
			throttle_assume_reachable(&r->throttle, (int)i);
	}
}

/*
 * Adds the demand that another node has reported to the throttle.
 */
static void
add_peer_demand(struct relay *r, struct relay_link *l)
{
	uint32_t i, k;

	for (i = 0; i < l->demand_count; i++) {
		if (l->demands[i] < 0)
			continue;
		if (!throttle_is_row(&r->throttle, l->demand_rows[i],
			l->demands[i], l->demand_routes[i]))
			l->demand_rows[i] = throttle_find_row(
			    &r->throttle, l->demands[i], l->demand_routes[i]);
		for (k = 0; k < THROTTLE_CLASSES; k++)
			throttle_add_demand(&r->throttle, l->demand_rows[i], k,
			    l->demands_per_s[i][k]);
	}
}

/*
 * Sums the server loads and the callers' demand per service over all reachable
 * nodes.
 */
static void
sum_loads(struct relay *r)
{
	const struct fleet_peer *p;
	struct throttle_server m;
	uint64_t now = relay_now(r);
	size_t i;
	int h;

	throttle_begin_update(&r->throttle);
	add_own_load(r);
	for (i = 0; i < r->fleet.count; i++) {
		p = &r->fleet.peers[i];
		if (!fleet_is_alive(&r->fleet, i, now)) {
			keep_unheard_service_open(r, p);
			continue;
		}
		add_peer_demand(r, relay_link(r, (int)i));
		if (p->server.id[0] == '\0' || p->server.unavailable_state)
			continue;
		h = throttle_service(&r->throttle, p->server.service);
		m.slots = p->server.slots;
		m.mean_run_s = p->server.mean_run_s;
		m.offered_load = p->server.offered_load;
		m.failure_share = p->server.failure_share;
		if (h >= 0)
			throttle_server(&r->throttle, h, &m);
	}
}

/*
 * Logs that this node has gained or lost the quorum, without which no node
 * owns a limit.
 */
static void
log_quorum(struct relay *r)
{
	uint64_t now = relay_now(r);
	int quorum = fleet_has_quorum(&r->fleet, now);
	struct fleet_counts n;

	if (quorum == r->had_quorum)
		return;
	r->had_quorum = quorum;
	fleet_count(&r->fleet, now, &n);
	event_log(EVENT_QUORUM, now,
	    "held=%d known=%u alive=%u unheard=%u listed=%d", quorum, n.known,
	    n.alive, n.unheard, r->fleet.node_list_complete);
}

/*
 * Logs the number of answers since the last summary.  There is no log line for
 * each success.
 */
static void
log_summary(struct relay *r)
{
	static const enum relay_counter
	    summary_counters[RELAY_LOGGED_COUNTERS] = { RELAY_SERVED,
		    RELAY_FAILED, RELAY_REFUSED, RELAY_THROTTLED,
		    RELAY_OVER_RATE, RELAY_EXIT_SERVED, RELAY_EXIT_REFUSED };
	uint64_t delta[RELAY_LOGGED_COUNTERS], total = 0;
	int i;

	for (i = 0; i < RELAY_LOGGED_COUNTERS; i++) {
		delta[i] =
		    r->counters[summary_counters[i]] - r->counters_logged[i];
		r->counters_logged[i] = r->counters[summary_counters[i]];
		total += delta[i];
	}
	if (total == 0)
		return;
	event_log(EVENT_SERVED, relay_now(r),
	    "answers=%llu failed=%llu refused=%llu throttled=%llu "
	    "over_rate=%llu server_answers=%llu server_refusals=%llu "
	    "offered=%.2f run_ms=%.1f",
	    (unsigned long long)delta[0], (unsigned long long)delta[1],
	    (unsigned long long)delta[2], (unsigned long long)delta[3],
	    (unsigned long long)delta[4], (unsigned long long)delta[5],
	    (unsigned long long)delta[6], offered_load(r),
	    profile_mean_run_s(&r->profiles.all) * MS_PER_S);
}

/*
 * Logs each service whose load currently limits root requests, with the values
 * behind the limit.
 */
static void
log_limiting_services(struct relay *r)
{
	const struct throttle_service *s;
	uint32_t i;

	for (i = 0; i < r->throttle.count; i++) {
		s = &r->throttle.services[i];
		if (!s->is_limiting)
			continue;
		event_log(EVENT_THROTTLE, relay_now(r),
		    "service=%s offered=%.2f expected=%.2f trim=%.2f "
		    "slots=%.0f runs_per_s=%.0f shares=%.2f,%.2f,%.2f,%.2f",
		    s->name, s->offered_load, s->expected_load,
		    s->capacity_factor, s->slots, s->capacity_runs_per_s,
		    s->own_admitted_share[0], s->own_admitted_share[1],
		    s->own_admitted_share[2], s->own_admitted_share[3]);
	}
}

/*
 * Runs one step of the throttle.
 */
static void
on_throttle_timer(uv_timer_t *timer)
{
	struct relay *r = timer->data;

	log_quorum(r);
	load_update(r);
	demand_update_rates(&r->demand, STEP_MS / MS_PER_S);
	load_report_routes(r);
	sum_loads(r);
	keep_unrouted_services_open(r);
	throttle_update_shares(&r->throttle, STEP_MS / MS_PER_S);
	if (++r->throttle_steps % STEPS_PER_SUMMARY == 0) {
		log_summary(r);
		log_limiting_services(r);
	}
}

/*
 * Returns the row of demand in which a root request counts, or NULL if its
 * route has had too few, or there are too many routes.
 */
static struct demand_row *
find_demand(struct relay *r, const char *service, uint32_t route)
{
	int h = throttle_service(&r->throttle, service);

	if (h < 0 || r->throttle.rows[throttle_find_row(&r->throttle, h, route)]
			     .request_count < ROUTE_REQUESTS_MIN)
		return NULL;
	return demand_row(&r->demand, service, route);
}

/*
 * Returns 1 if the throttle admits a root request on a route to a service, else
 * 0.
 */
int
load_admit_root(
    struct relay *r, const char *service, uint32_t route, uint32_t class)
{
	int h = throttle_service(&r->throttle, service);
	struct throttle_row *runs;
	struct demand_row *row;
	double share = 1;

	if (h >= 0) {
		h = throttle_find_row(&r->throttle, h, route);
		share = throttle_admitted_share(&r->throttle, h, class);
		runs = &r->throttle.rows[h];
		if (runs->request_count < ROUTE_REQUESTS_MIN)
			runs->request_count++;
	}
	row = find_demand(r, service, route);
	if (row != NULL)
		row->counts[class].requested_count++;
	if (share < 1 &&
	    (double)(relay_random() >> 40) / (double)(1 << 24) >= share)
		return 0;
	if (row != NULL)
		row->counts[class].admitted_count++;
	return 1;
}

/*
 * Records that an admitted root request exceeded its workspace's rate.
 */
void
load_record_over_rate(
    struct relay *r, const char *service, uint32_t route, uint32_t class)
{
	struct demand_row *row = find_demand(r, service, route);

	if (row != NULL)
		row->counts[class].over_rate_count++;
}

/*
 * Returns 1 if a route id is that of a route of the configuration.
 */
static int
route_exists(void *ctx, uint32_t route)
{
	const struct relay *r = ctx;

	return config_has_route_id(r->config, route);
}

/*
 * Forgets what was measured on routes that the new configuration lacks.
 */
void
load_forget_routes(struct relay *r)
{
	throttle_forget_routes(&r->throttle, route_exists, r);
}

/*
 * Compares two priority ranks.
 */
static int
compare_ranks(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

/*
 * Adds a priority rank unless it is known or the table is full.
 */
static void
add_rank(struct relay *r, uint32_t rank)
{
	uint32_t i;

	for (i = 0; i < r->priority_count; i++)
		if (r->priorities[i] == rank)
			return;
	if (r->priority_count < RELAY_RANKS)
		r->priorities[r->priority_count++] = rank;
}

/*
 * Collects the priority ranks of the configuration.  A rank is ordered by the
 * workspace's priority first, then by the route's.
 */
void
load_collect_ranks(struct relay *r)
{
	const struct config *c = r->config;
	size_t i, j;

	r->priority_count = 0;
	for (i = 0; i < c->route_count; i++) {
		if (c->routes[i].open)
			continue;
		if (c->ws_count == 0)
			add_rank(r, c->routes[i].priority);
		for (j = 0; j < c->ws_count; j++)
			add_rank(r, c->workspaces[j].priority << RANK_SHIFT |
					c->routes[i].priority);
	}
	qsort(r->priorities, r->priority_count, sizeof(*r->priorities),
	    compare_ranks);
}

/*
 * Returns the class of a request, which is the position of its rank among all
 * ranks.  If there are more ranks than classes, adjacent ranks share a class.
 */
uint32_t
load_find_class(const struct relay *r, uint32_t ws_priority, uint32_t priority)
{
	uint32_t rank = ws_priority << RANK_SHIFT | priority, i;

	for (i = 0; i < r->priority_count && r->priorities[i] < rank; i++)
		;
	if (r->priority_count <= ADMISSION_CLASS_MAX)
		return i < ADMISSION_CLASS_MAX ? i : ADMISSION_CLASS_MAX - 1;
	i = i * ADMISSION_CLASS_MAX / r->priority_count;
	return i < ADMISSION_CLASS_MAX ? i : ADMISSION_CLASS_MAX - 1;
}
