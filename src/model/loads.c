#include <math.h>
#include <string.h>

#include "model/world.h"

#define BUSY_S 0.25 /* as the relay measures the load of its server */
#define STEP_S 0.1
#define MISSED_BEATS 4 /* after which a node is taken to be dead */
#define MISSED_SLACK_US 200000

/*
 * Prepares what a node measures.
 */
void
loads_init(struct world *w, struct node *n)
{
	uint32_t i;

	throttle_init(&n->throttle);
	profile_set_init(&n->profiles);
	demand_init(&n->demand);
	for (i = 0; i < w->load->service_count; i++)
		(void)throttle_service(&n->throttle, w->load->services[i].name);
}

/*
 * Brings the measured load of a node's server up to now, before it changes.
 */
void
loads_measure(struct world *w, struct node *n)
{
	double passed = (double)(w->now_us - n->busy_us) / US_PER_S;
	double keep = exp(-passed / BUSY_S), busy;

	busy = (double)(n->core.inflight + n->core.queued) /
	       limiter_value(&n->core.limiter);
	n->busy = n->busy * keep + busy * (1 - keep);
	n->shed_per_s *= keep;
	n->busy_us = w->now_us;
	profile_set_update(&n->profiles, n->core.inflight, passed);
}

/*
 * Returns the work that arrives for a node's server, as a share of its slots.
 */
double
loads_offered(const struct node *n)
{
	return n->busy + n->shed_per_s / BUSY_S *
			     profile_mean_run_s(&n->profiles.all) /
			     limiter_value(&n->core.limiter);
}

/*
 * Tells whether a node has heard another one not long ago.
 */
int
loads_alive(const struct world *w, const struct node *n, int other)
{
	const struct link *l = &n->links[other];

	return &w->nodes[other] == n ||
	       (l->heard_us != 0 &&
		   w->now_us - l->heard_us <
		       w->load->beat_ms * US_PER_MS * MISSED_BEATS +
			   MISSED_SLACK_US);
}

/*
 * Tells all nodes what a node does.
 */
void
loads_beat(struct world *w, int from)
{
	struct node *n = &w->nodes[from], *to;
	const struct profile *p = &n->profiles.all;
	struct link *l;
	uint32_t i, k;
	int h;

	if (n->down)
		return;
	loads_measure(w, n);
	for (i = 0; i < w->node_count; i++) {
		to = &w->nodes[i];
		l = &to->links[from];
		l->heard_us = w->now_us > 0 ? w->now_us : 1;
		l->slots = limiter_value(&n->core.limiter);
		l->running = n->core.inflight;
		l->waiting = n->core.queued;
		l->sent_since_report = 0;
		l->offered = loads_offered(n);
		l->run_s = profile_mean_run_s(&n->profiles.all);
		l->told_failing = choice_failure_share(&n->health, now_ms(w));
		l->demand = n->demand;
		if (p->call_count > 0)
			throttle_record_chained(
			    &to->throttle, p->chained_share);
		for (k = 0; profile_calls_known(p) && k < p->call_count; k++) {
			h = throttle_service(
			    &to->throttle, p->calls[k].service);
			throttle_record_calls(&to->throttle, n->service, h,
			    profile_calls_per_run(p, k));
		}
		for (k = 0; k < n->profiles.route_count; k++)
			profile_set_record(
			    &n->profiles, k, &to->throttle, n->service);
	}
}

/*
 * Adapts the throttle of a node to what it has heard.
 */
void
loads_step(struct world *w, int at)
{
	struct node *n = &w->nodes[at];
	const struct demand_row *row;
	struct throttle_server m;
	const struct link *l;
	struct model_second *s;
	uint32_t i, j, k;
	int h;

	loads_measure(w, n);
	demand_update_rates(&n->demand, STEP_S);
	n->links[at].demand = n->demand;
	throttle_begin_update(&n->throttle);
	for (i = 0; i < w->node_count; i++) {
		l = &n->links[i];
		if (!loads_alive(w, n, (int)i) || l->slots == 0)
			continue;
		for (j = 0; j < l->demand.count; j++) {
			row = &l->demand.rows[j];
			h = throttle_service(&n->throttle, row->service);
			h = throttle_find_row(&n->throttle, h, row->route);
			for (k = 0; k < THROTTLE_CLASSES; k++)
				throttle_add_demand(&n->throttle, h, k,
				    demand_rate_per_s(row, k));
		}
		m.slots = l->slots;
		m.mean_run_s = l->run_s;
		m.offered_load = l->offered;
		m.failure_share = l->told_failing;
		throttle_server(&n->throttle, w->nodes[i].service, &m);
	}
	throttle_update_shares(&n->throttle, STEP_S);
	s = second_of(w, w->now_us);
	for (i = 0; s != NULL && i < n->throttle.count; i++)
		s->busiest =
		    fmax(s->busiest, n->throttle.services[i].offered_load);
}
