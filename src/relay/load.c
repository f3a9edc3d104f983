#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "event/event.h"
#include "relay/relay_int.h"

#define STEP_MS 100	 /* between two steps of the throttle */
#define BUSY_S 0.25	 /* time constant of the measured load */
#define CALLS_HALF 200.0 /* runs after which older ones count half */
#define MS_PER_S 1000.0
#define RATIO 1000.0 /* loads and calls are told in thousandths */
#define RANK_SHIFT 16
#define STEPS_PER_SUM 10 /* steps between two lines about successes */

static void on_step(uv_timer_t *);
static void log_sums(struct relay *);
static void sum_loads(struct relay *);
static int rank_cmp(const void *, const void *);
static void rank_add(struct relay *, uint32_t);

/*
 * Begins to measure loads and to adapt the throttle.
 */
void
load_init(struct relay *r)
{
	throttle_init(&r->throttle);
	uv_timer_init(r->loop, &r->throttle_timer);
	r->throttle_timer.data = r;
	uv_timer_start(&r->throttle_timer, on_step, STEP_MS, STEP_MS);
}

/*
 * Brings the measured load of the server beside this node up to now.
 */
void
load_tick(struct relay *r)
{
	uint64_t now = relay_now(r);
	double keep = exp(-(double)(now - r->busy_ms) / MS_PER_S / BUSY_S);
	double busy = 0;

	if (r->server.slots > 0)
		busy = (double)(r->core.inflight + r->core.queued) /
		       r->server.slots;
	r->busy = r->busy * keep + busy * (1 - keep);
	r->shed_per_s *= keep;
	r->busy_ms = now;
}

/*
 * A request was refused here.
 */
void
load_shed(struct relay *r)
{
	load_tick(r);
	r->shed_per_s += 1 / BUSY_S;
}

/*
 * The server began to run a request.
 */
void
load_ran(struct relay *r)
{
	uint32_t i;

	r->runs++;
	if (r->runs < 2 * CALLS_HALF)
		return;
	r->runs /= 2;
	for (i = 0; i < r->call_count; i++)
		r->calls[i].count /= 2;
}

/*
 * The server called a service.
 */
void
load_called(struct relay *r, const char *service)
{
	struct relay_calls *c;
	uint32_t i;

	for (i = 0; i < r->call_count; i++)
		if (strcmp(r->calls[i].service, service) == 0)
			break;
	if (i == FLEET_CALLS_MAX)
		return;
	c = &r->calls[i];
	if (i == r->call_count) {
		r->call_count++;
		snprintf(c->service, sizeof(c->service), "%s", service);
		c->count = 0;
	}
	c->count++;
}

/*
 * Fills the load and the calls of the server into this node's beat.
 */
void
load_fill(struct relay *r, struct fleet_beat *b, fleet_calls *calls)
{
	double offered;
	uint32_t i;

	load_tick(r);
	offered = r->busy;
	if (r->server.slots > 0)
		offered += r->shed_per_s * r->core.limiter.mean_us /
			   (MS_PER_S * MS_PER_S) / r->server.slots;
	b->server.offered = (unsigned int)(offered * RATIO);
	b->server.calls.calls_val = calls;
	b->server.calls.calls_len = r->runs >= 1 ? r->call_count : 0;
	for (i = 0; i < b->server.calls.calls_len; i++) {
		calls[i].service = r->calls[i].service;
		calls[i].per_1000 =
		    (unsigned int)(r->calls[i].count / r->runs * RATIO);
	}
}

/*
 * Takes the calls that another node's server makes.
 */
void
load_heard(void *ctx, int handle, const struct fleet_beat *b)
{
	struct relay *r = ctx;
	uint32_t i;
	int from, to;

	(void)handle;
	if (b->server.calls.calls_len == 0)
		return;
	from = throttle_service(&r->throttle, b->server.service);
	for (i = 0; from >= 0 && i < b->server.calls.calls_len; i++) {
		to = throttle_service(
		    &r->throttle, b->server.calls.calls_val[i].service);
		if (to >= 0)
			throttle_calls(&r->throttle, from, to,
			    b->server.calls.calls_val[i].per_1000 / RATIO);
	}
}

/*
 * Sums the loads of each service's servers.
 */
static void
sum_loads(struct relay *r)
{
	double work[THROTTLE_SERVICES] = { 0 };
	double slots[THROTTLE_SERVICES] = { 0 };
	const struct fleet_peer *p;
	uint64_t now = relay_now(r);
	uint32_t s;
	size_t i;
	int h;

	for (i = 0; i < r->fleet.count; i++) {
		p = &r->fleet.peers[i];
		if (p->server.id[0] == '\0' || p->server.leaving ||
		    !fleet_alive(&r->fleet, i, now))
			continue;
		h = throttle_service(&r->throttle, p->server.service);
		if (h < 0)
			continue;
		work[h] += p->server.offered * p->server.slots;
		slots[h] += p->server.slots;
	}
	if (r->server.id[0] != '\0' && !r->server.leaving &&
	    (h = throttle_service(&r->throttle, r->server.service)) >= 0) {
		work[h] += r->busy * r->server.slots;
		slots[h] += r->server.slots;
	}
	for (s = 0; s < r->throttle.count; s++)
		if (slots[s] > 0)
			throttle_offered(
			    &r->throttle, (int)s, work[s] / slots[s]);
}

/*
 * Logs what was answered since the last such line, in place of a line for
 * each success.
 */
static void
log_sums(struct relay *r)
{
	static const enum relay_counter summed[RELAY_SUMS] = { RELAY_SERVED,
		RELAY_FAILED, RELAY_REFUSED, RELAY_THROTTLED, RELAY_OVER_RATE,
		RELAY_EXIT_SERVED, RELAY_EXIT_REFUSED };
	uint64_t n[RELAY_SUMS], all = 0;
	int i;

	for (i = 0; i < RELAY_SUMS; i++) {
		n[i] = r->counters[summed[i]] - r->summed[i];
		r->summed[i] = r->counters[summed[i]];
		all += n[i];
	}
	if (all == 0)
		return;
	event_log(EVENT_SERVED, relay_now(r),
	    "answers=%llu failed=%llu refused=%llu throttled=%llu "
	    "over_rate=%llu server_answers=%llu server_refusals=%llu "
	    "offered=%.2f",
	    (unsigned long long)n[0], (unsigned long long)n[1],
	    (unsigned long long)n[2], (unsigned long long)n[3],
	    (unsigned long long)n[4], (unsigned long long)n[5],
	    (unsigned long long)n[6], r->busy);
}

/*
 * Adapts the throttle.
 */
static void
on_step(uv_timer_t *timer)
{
	struct relay *r = timer->data;

	load_tick(r);
	sum_loads(r);
	throttle_step(&r->throttle, STEP_MS / MS_PER_S);
	if (++r->steps % STEPS_PER_SUM == 0)
		log_sums(r);
}

/*
 * Tells whether a root request to a service may come in.
 */
int
load_admits(struct relay *r, const char *service, uint32_t class)
{
	int h = throttle_service(&r->throttle, service);
	double share;

	if (h < 0)
		return 1;
	share = throttle_share(&r->throttle, h, class);
	return share >= 1 ||
	       (double)(relay_random(r) >> 40) / (double)(1 << 24) < share;
}

/*
 * Orders ranks of importance.
 */
static int
rank_cmp(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

/*
 * Adds a rank, if it is new and there is room.
 */
static void
rank_add(struct relay *r, uint32_t rank)
{
	uint32_t i;

	for (i = 0; i < r->rank_count; i++)
		if (r->ranks[i] == rank)
			return;
	if (r->rank_count < RELAY_RANKS)
		r->ranks[r->rank_count++] = rank;
}

/*
 * Collects the ranks of importance in the configuration: a workspace's
 * priority goes before a route's.
 */
void
load_ranks(struct relay *r)
{
	const struct config *c = r->config;
	size_t i, j;

	r->rank_count = 0;
	for (i = 0; i < c->route_count; i++) {
		if (c->routes[i].open)
			continue;
		if (c->ws_count == 0)
			rank_add(r, c->routes[i].priority);
		for (j = 0; j < c->ws_count; j++)
			rank_add(r, c->workspaces[j].priority << RANK_SHIFT |
					c->routes[i].priority);
	}
	qsort(r->ranks, r->rank_count, sizeof(*r->ranks), rank_cmp);
}

/*
 * Returns the class of a request, by the place of its rank among all; where
 * there are more ranks than classes, neighbours share one.
 */
uint32_t
load_class(const struct relay *r, uint32_t ws_priority, uint32_t priority)
{
	uint32_t rank = ws_priority << RANK_SHIFT | priority, i;

	for (i = 0; i < r->rank_count && r->ranks[i] < rank; i++)
		;
	if (r->rank_count <= ADMISSION_CLASS_MAX)
		return i < ADMISSION_CLASS_MAX ? i : ADMISSION_CLASS_MAX - 1;
	i = i * ADMISSION_CLASS_MAX / r->rank_count;
	return i < ADMISSION_CLASS_MAX ? i : ADMISSION_CLASS_MAX - 1;
}
