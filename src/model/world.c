#include <math.h>
#include <string.h>

#include "model/world.h"

#define STEP_MS 100  /* between two steps of a throttle, as the relay has */
#define DRAIN_S 10.0 /* after the last request, for those under way */
#define HANDLE_BITS 32
#define NEAR_HOP_US 100 /* within a zone, one way */

static void on_ask(struct world *, struct request *, int);
static void on_take(struct world *, struct request *, int);
static void on_tokens(struct world *, struct request *, int);
static void on_at_exit(struct world *, struct request *, int);
static void on_worked(struct world *, struct request *, int);
static void on_answer(struct world *, struct request *, int);
static void on_timeout(struct world *, struct request *, int);
static void on_cancel(struct world *, struct request *, int);
static void on_beat(struct world *, struct request *, int);
static void on_step(struct world *, struct request *, int);
static void on_trouble(struct world *, struct request *, int);
static void world_init(struct world *);
static void world_finish(struct world *);
static void add_nodes(struct world *);

/* What an event does; those without a request get NULL. */
static void (*const handlers[EVENT_KIND_MAX])(
    struct world *, struct request *, int) = {
	[EVENT_ASK] = on_ask,
	[EVENT_TAKE] = on_take,
	[EVENT_TOKENS] = on_tokens,
	[EVENT_AT_EXIT] = on_at_exit,
	[EVENT_WORKED] = on_worked,
	[EVENT_ANSWER] = on_answer,
	[EVENT_TIMEOUT] = on_timeout,
	[EVENT_CANCEL] = on_cancel,
	[EVENT_BEAT] = on_beat,
	[EVENT_STEP] = on_step,
	[EVENT_TROUBLE] = on_trouble,
};

/*
 * Returns a new request and its handle.
 */
struct request *
request_new(struct world *w, handle *h)
{
	struct request *q;
	uint32_t i, generation;

	if (w->unused != 0) {
		i = w->unused - 1;
		q = w->requests[i];
		w->unused = q->next_unused;
	} else {
		if (w->request_count == w->request_cap) {
			w->request_cap =
			    w->request_cap == 0 ? 1024 : w->request_cap * 2;
			w->requests = g_renew(
			    struct request *, w->requests, w->request_cap);
		}
		i = w->request_count++;
		q = w->requests[i] = g_new0(struct request, 1);
	}
	generation = q->generation;
	memset(q, 0, sizeof(*q));
	q->generation = generation + 1;
	q->next_unused = i;
	q->exit = -1;
	*h = request_handle(q, w);
	return q;
}

/*
 * Returns the handle of a request in use, which keeps its index in the field
 * that links unused ones.
 */
handle
request_handle(const struct request *q, const struct world *w)
{
	(void)w;
	return (handle)q->generation << HANDLE_BITS | (q->next_unused + 1);
}

/*
 * Returns a request, or NULL if it is over.
 */
struct request *
request_get(struct world *w, handle h)
{
	uint32_t at = (uint32_t)h;
	struct request *q;

	if (at == 0 || at > w->request_count)
		return NULL;
	q = w->requests[at - 1];
	return q->generation == (uint32_t)(h >> HANDLE_BITS) ? q : NULL;
}

/*
 * Gives a request's place back once both sides are done with it.
 */
void
request_settle(struct world *w, struct request *q)
{
	uint32_t i = q->next_unused;

	if (!q->entry_over || q->at_exit)
		return;
	q->generation++; /* its handle is void now */
	q->next_unused = w->unused;
	w->unused = i + 1;
}

/*
 * Returns a number from 0 to 1.
 */
double
draw(struct world *w)
{
	return g_rand_double(w->rnd);
}

/*
 * Returns the time in milliseconds.
 */
uint64_t
now_ms(const struct world *w)
{
	return w->now_us / US_PER_MS;
}

/*
 * Returns the id of the route of a kind of request.
 */
uint32_t
kind_route(int kind)
{
	return (uint32_t)kind + 1;
}

/*
 * Returns the time that a message takes between two nodes.
 */
uint64_t
hop_us(const struct world *w, int from, int to)
{
	if (from == to)
		return 0;
	return w->nodes[from].zone == w->nodes[to].zone ? NEAR_HOP_US
							: w->load->hop_us;
}

/*
 * Returns the strength of a trouble now, the strongest if there are several,
 * and 1 (0 for shares) where there is none; for the server at an index among
 * those of a service, or for a workspace.
 */
double
trouble(
    const struct world *w, enum model_trouble_kind kind, int what, int index)
{
	double x = kind == TROUBLE_SHED || kind == TROUBLE_DOWN ? 0 : 1, now;
	const struct model_trouble *t;
	uint32_t i, servers;

	now = (double)w->now_us / US_PER_S;
	for (i = 0; i < w->load->trouble_count; i++) {
		t = &w->load->troubles[i];
		if (t->kind != kind || now < t->at_s ||
		    now >= t->at_s + t->for_s)
			continue;
		if (kind == TROUBLE_HOT && t->space != what)
			continue;
		if (index >= 0) {
			servers = w->load->services[t->service].servers;
			if (t->service != what ||
			    index >= (int)ceil(t->share * servers))
				continue;
		}
		x = fmax(x, t->x);
	}
	return x;
}

/*
 * Returns the row of the second in which a request began, or NULL.
 */
struct model_second *
second_of(struct world *w, uint64_t at_us)
{
	uint64_t s = (uint64_t)((double)at_us / US_PER_S);

	return s < w->res->second_count ? &w->res->seconds[s] : NULL;
}

static void
on_ask(struct world *w, struct request *q, int value)
{
	(void)q;
	caller_ask(w, value);
}

static void
on_take(struct world *w, struct request *q, int value)
{
	(void)value;
	entry_take(w, q);
}

static void
on_tokens(struct world *w, struct request *q, int value)
{
	(void)value;
	if (!q->entry_over)
		entry_tokens(w, q);
}

static void
on_at_exit(struct world *w, struct request *q, int value)
{
	(void)value;
	exit_take(w, q);
}

static void
on_worked(struct world *w, struct request *q, int value)
{
	(void)value;
	if (q->running)
		exit_worked(w, q);
}

static void
on_answer(struct world *w, struct request *q, int value)
{
	(void)value;
	q->at_exit = 0;
	if (q->entry_over)
		request_settle(w, q);
	else
		entry_answer(w, q);
}

static void
on_timeout(struct world *w, struct request *q, int value)
{
	(void)value;
	if (!q->entry_over)
		entry_timeout(w, q);
}

static void
on_cancel(struct world *w, struct request *q, int value)
{
	(void)value;
	exit_cancel(w, q);
}

static void
on_beat(struct world *w, struct request *q, int value)
{
	(void)q;
	loads_beat(w, value);
	queue_add(w, w->load->beat_ms * US_PER_MS, EVENT_BEAT, 0, value);
}

static void
on_step(struct world *w, struct request *q, int value)
{
	(void)q;
	loads_step(w, value);
	queue_add(w, STEP_MS * US_PER_MS, EVENT_STEP, 0, value);
}

/*
 * Servers go down or come back.
 */
static void
on_trouble(struct world *w, struct request *q, int value)
{
	struct node *n;
	uint32_t i;
	int down;

	(void)q;
	(void)value;
	for (i = 0; i < w->node_count; i++) {
		n = &w->nodes[i];
		down = trouble(w, TROUBLE_DOWN, n->service, n->index) > 0;
		if (down && !n->down)
			exit_down(w, n);
		n->down = down;
	}
}

/*
 * Adds a node for each server, zone by zone in turn.
 */
static void
add_nodes(struct world *w)
{
	const struct model_service *s;
	struct node *n;
	uint32_t i, j, k;

	for (i = 0; i < w->load->service_count; i++)
		w->node_count += w->load->services[i].servers;
	w->nodes = g_new0(struct node, w->node_count);
	n = w->nodes;
	for (i = 0; i < w->load->service_count; i++) {
		s = &w->load->services[i];
		for (j = 0; j < s->servers; j++, n++) {
			n->service = (int)i;
			n->index = (int)j;
			n->zone = j % w->load->zones;
			n->speed = s->speeds[j % s->speed_count];
			n->links = g_new0(struct link, w->node_count);
			core_init(&n->core, 0);
			n->core.limiter.fixed_to_slots = 1;
			n->core.slots_known = 1;
			core_reset(&n->core, s->slots, 0);
			quota_owner_init(&n->owner);
			for (k = 0; k < MODEL_SERVICES; k++)
				budget_init(&n->budgets[k]);
			loads_init(w, n);
		}
	}
}

/*
 * Prepares nodes, and the first events.
 */
static void
world_init(struct world *w)
{
	const struct model_load *l = w->load;
	uint32_t i;

	queue_init(w);
	add_nodes(w);
	for (i = 0; i < w->node_count; i++) {
		queue_add(w,
		    (uint64_t)(draw(w) * (double)l->beat_ms * US_PER_MS),
		    EVENT_BEAT, 0, (int)i);
		queue_add(w, (uint64_t)(draw(w) * STEP_MS * US_PER_MS),
		    EVENT_STEP, 0, (int)i);
	}
	for (i = 0; i < l->space_count; i++)
		w->allowed[i] = l->spaces[i].burst;
	for (i = 0; i < l->kind_count; i++)
		if (l->kinds[i].per_s > 0)
			queue_add(w, 0, EVENT_ASK, 0, (int)i);
	for (i = 0; i < l->trouble_count; i++) {
		queue_add(w, (uint64_t)(l->troubles[i].at_s * US_PER_S),
		    EVENT_TROUBLE, 0, 0);
		queue_add(w,
		    (uint64_t)((l->troubles[i].at_s + l->troubles[i].for_s) *
			       US_PER_S),
		    EVENT_TROUBLE, 0, 0);
	}
}

/*
 * Frees all that a world holds.
 */
static void
world_finish(struct world *w)
{
	uint32_t i;

	for (i = 0; i < w->node_count; i++) {
		quota_owner_finish(&w->nodes[i].owner);
		g_free(w->nodes[i].links);
	}
	for (i = 0; i < w->request_count; i++)
		g_free(w->requests[i]);
	g_free(w->requests);
	g_free(w->nodes);
	queue_finish(w);
	g_rand_free(w->rnd);
}

/*
 * Plays a load with a seed.  The same load and seed give the same result.
 */
void
model_run(const struct model_load *l, uint32_t seed, struct model_result *res)
{
	struct world w;
	struct request *q;
	struct event e;

	memset(&w, 0, sizeof(w));
	memset(res, 0, sizeof(*res));
	res->second_count = (uint32_t)ceil(l->seconds);
	w.load = l;
	w.res = res;
	w.rnd = g_rand_new_with_seed(seed);
	world_init(&w);
	while (queue_next(&w, &e)) {
		if ((double)w.now_us / US_PER_S > l->seconds + DRAIN_S)
			break;
		q = request_get(&w, e.request);
		if (e.request != 0 && q == NULL)
			continue;
		handlers[e.kind](&w, q, e.value);
	}
	res->events = w.events;
	result_end(&w);
	world_finish(&w);
}
