#include <math.h>
#include <string.h>

#include "model/world.h"

#define LEFT_MIN_US 20000 /* less time isn't worth another attempt */

static void forward(struct world *, struct request *);
static int pick(struct world *, struct request *);
static void end(
    struct world *, struct request *, enum verdict, enum retry_after_reason);
static int throttled(struct world *, struct request *);
static void over_rate(struct world *, struct request *);
static int has_token(struct world *, struct request *);
static int may_repeat(struct world *, struct request *);
static void attempt_over(struct world *, struct request *, int);

/*
 * Returns a request's kind.
 */
static const struct model_kind *
kind_of(const struct world *w, const struct request *q)
{
	return &w->load->kinds[q->kind];
}

/*
 * Ends a request at its entry, and tells its caller or the run that made it.
 */
static void
end(struct world *w, struct request *q, enum verdict how,
    enum retry_after_reason why)
{
	handle parent = q->parent;
	struct request *run;
	double spent = q->spent_us;
	int refused = how == VERDICT_OVERLOADED;

	q->entry_over = 1;
	if (parent == 0) {
		caller_answered(w, q, how, why);
		request_settle(w, q);
		return;
	}
	w->res->inner_calls++;
	w->res->turned += (uint32_t)refused;
	run = request_get(w, parent);
	profile_set_call_ended(&w->nodes[q->entry].profiles,
	    run != NULL ? kind_route(run->kind) : 0, refused);
	if (refused && second_of(w, w->now_us) != NULL)
		second_of(w, w->now_us)->turned++;
	request_settle(w, q);
	run = request_get(w, parent);
	if (run != NULL)
		exit_call_ended(w, run, how == VERDICT_SERVED, spent);
	else
		w->res->wasted_s += spent / US_PER_S;
}

/*
 * Tells whether the throttle refuses a root request.
 */
static int
throttled(struct world *w, struct request *q)
{
	struct node *n = &w->nodes[q->entry];
	const struct model_kind *k = kind_of(w, q);
	const char *service = w->load->services[k->service].name;
	uint32_t route = kind_route(q->kind);
	struct demand_row *row = demand_row(&n->demand, service, route);
	int h = throttle_service(&n->throttle, service);

	if (row != NULL)
		row->counts[k->class].requested_count++;
	h = throttle_find_row(&n->throttle, h, route);
	if (w->load->policies.throttle &&
	    draw(w) >= throttle_admitted_share(&n->throttle, h, k->class))
		return 1;
	if (row != NULL)
		row->counts[k->class].admitted_count++;
	return 0;
}

/*
 * Refuses a root request that is over its workspace's rate.
 */
static void
over_rate(struct world *w, struct request *q)
{
	const struct model_kind *k = kind_of(w, q);
	struct demand_row *row = demand_row(&w->nodes[q->entry].demand,
	    w->load->services[k->service].name, kind_route(q->kind));

	if (row != NULL)
		row->counts[k->class].over_rate_count++;
	end(w, q, VERDICT_OVERLOADED, RETRY_AFTER_OVER_RATE);
}

/*
 * Takes a token of a root request's workspace.  Returns 0 if the owner of the
 * limit must be asked, 1 if there is one, and -1 if the request has ended.
 */
static int
has_token(struct world *w, struct request *q)
{
	struct quota_cache *s;

	if (q->space < 0 || !w->load->policies.limits ||
	    w->load->spaces[q->space].rate <= 0)
		return 1;
	s = &w->nodes[q->entry].stocks[q->space];
	switch (quota_acquire(s, now_ms(w))) {
	case QUOTA_ACQUIRED:
		return 1;
	case QUOTA_EXHAUSTED:
		over_rate(w, q);
		return -1;
	case QUOTA_ASK_OWNER:
	case QUOTA_VERDICT_MAX:
		break;
	}
	queue_add(
	    w, 2 * w->load->hop_us, EVENT_TOKENS, request_handle(q, w), 0);
	return 0;
}

/*
 * A request has come to its entry.
 */
void
entry_take(struct world *w, struct request *q)
{
	const struct model_kind *k = kind_of(w, q);
	struct node *n = &w->nodes[q->entry];
	const char *service = w->load->services[k->service].name;
	const struct request *run;
	uint64_t left;

	if (n->down || w->now_us >= q->due_us) {
		end(w, q, VERDICT_LATE, RETRY_AFTER_TIMEOUT);
		return;
	}
	left = q->due_us - w->now_us;
	if (left > k->timeout_ms * US_PER_MS)
		left = k->timeout_ms * US_PER_MS;
	q->end_us = w->now_us + left;
	if (q->parent != 0) {
		run = request_get(w, q->parent);
		profile_set_call_started(&n->profiles,
		    run != NULL ? kind_route(run->kind) : 0, service,
		    kind_route(q->kind),
		    run != NULL && w->load->policies.chains);
	} else if (throttled(w, q)) {
		end(w, q, VERDICT_OVERLOADED, RETRY_AFTER_THROTTLED);
		return;
	}
	queue_add(w, left, EVENT_TIMEOUT, request_handle(q, w), 0);
	budget_add_request(&n->budgets[k->service], w->load->retry_ratio,
	    w->now_us / US_PER_MS);
	if (q->parent != 0 || has_token(w, q) == 1)
		forward(w, q);
}

/*
 * The owner of a limit has answered.
 */
void
entry_tokens(struct world *w, struct request *q)
{
	const struct model_space *space = &w->load->spaces[q->space];
	struct quota_limit limit = { space->rate, space->burst };
	struct quota_cache *s = &w->nodes[q->entry].stocks[q->space];
	struct node *owner;
	struct quota_grant g;
	uint32_t need, want, i;

	for (i = (uint32_t)q->space; w->nodes[i % w->node_count].down;)
		i++;
	owner = &w->nodes[i % w->node_count];
	quota_size_request(s, 1, &need, &want);
	g = quota_owner_grant_tokens(&owner->owner, (uint64_t)q->space + 1,
	    &limit, g_rand_int(w->rnd) | 1, need, want, 0,
	    now_ms(w) + QUOTA_WINDOW_MS);
	quota_accept_grant(s, &g, now_ms(w));
	if (s->tokens > 0) {
		s->tokens--;
		forward(w, q);
		return;
	}
	over_rate(w, q);
}

/*
 * Chooses a node for the next attempt.  Returns its index, or -1.
 */
static int
pick(struct world *w, struct request *q)
{
	struct node *n = &w->nodes[q->entry], *to;
	struct choice list[MODEL_NODES];
	struct choice *c;
	struct link *l;
	size_t count = 0;
	uint32_t busy, i, j;
	int best;

	for (i = 0; i < w->node_count; i++) {
		to = &w->nodes[i];
		l = &n->links[i];
		if (to->service != kind_of(w, q)->service || l->slots == 0)
			continue;
		for (j = 0; j < q->tries; j++)
			if (q->tried[j] == (int)i)
				break;
		if (j < q->tries)
			continue;
		c = &list[count++];
		memset(c, 0, sizeof(*c));
		c->handle = (int)i;
		c->same_zone =
		    to->zone == n->zone || !w->load->policies.near_first;
		c->unreachable = !loads_alive(w, n, (int)i);
		c->failure_share = choice_failure_share(&l->health, now_ms(w));
		busy = l->running + l->waiting + l->sent_since_report;
		if (to == n)
			busy = n->core.inflight + n->core.queued;
		if (busy < l->inflight)
			busy = l->inflight;
		c->load = (double)busy / l->slots;
	}
	best = choice_best(list, count, g_rand_int(w->rnd));
	return best < 0 ? -1 : list[best].handle;
}

/*
 * Sends a request to a node.
 */
static void
forward(struct world *w, struct request *q)
{
	struct link *l;
	int to = pick(w, q);

	if (to < 0) {
		end(w, q, VERDICT_OVERLOADED, RETRY_AFTER_SERVERS_FULL);
		return;
	}
	q->tried[q->tries++] = to;
	q->exit = to;
	q->at_exit = 1;
	l = &w->nodes[q->entry].links[to];
	l->inflight++;
	l->sent_since_report++;
	queue_add(
	    w, hop_us(w, q->entry, to), EVENT_AT_EXIT, request_handle(q, w), 0);
}

/*
 * Notes how an attempt ended, for the choice of later ones.
 */
static void
attempt_over(struct world *w, struct request *q, int failed)
{
	struct link *l = &w->nodes[q->entry].links[q->exit];

	l->inflight--;
	choice_record_attempt(&l->health, failed, now_ms(w));
}

/*
 * Tells whether a request may go to another server after one that refused it.
 */
static int
may_repeat(struct world *w, struct request *q)
{
	struct node *n = &w->nodes[q->entry];
	struct budget_query ask = {
		.class = (uint32_t)q->class,
		.root_hash = q->root_hash,
		.fleet_slack = w->load->retry_slack,
		.node_count = w->node_count,
		.now_ms = w->now_us / US_PER_MS,
	};

	return w->load->policies.retries && q->arrivals < 2 &&
	       q->tries < TRIES_MAX && w->now_us + LEFT_MIN_US < q->end_us &&
	       budget_take_retry(&n->budgets[kind_of(w, q)->service], &ask);
}

/*
 * Takes the answer of an exit.
 */
void
entry_answer(struct world *w, struct request *q)
{
	struct node *to = &w->nodes[q->exit];
	struct link *l = &w->nodes[q->entry].links[q->exit];

	l->running = to->core.inflight;
	l->waiting = to->core.queued;
	l->sent_since_report = 0;
	l->told_us = w->now_us;
	attempt_over(w, q,
	    q->verdict != VERDICT_SERVED && q->verdict != VERDICT_OVERLOADED &&
		!q->call_failed);
	switch (q->verdict) {
	case VERDICT_SERVED:
	case VERDICT_FAILED:
	case VERDICT_LATE:
		end(w, q, q->verdict, RETRY_AFTER_TIMEOUT);
		return;
	case VERDICT_REJECTED:
		q->arrivals++;
		if (may_repeat(w, q))
			forward(w, q);
		else
			end(w, q, VERDICT_REJECTED, RETRY_AFTER_SERVERS_FULL);
		return;
	case VERDICT_OVERLOADED:
	case VERDICT_UNAVAILABLE:
		if (q->tries < TRIES_MAX && w->now_us + LEFT_MIN_US < q->end_us)
			forward(w, q);
		else
			end(w, q, VERDICT_OVERLOADED, RETRY_AFTER_SERVERS_FULL);
		return;
	}
}

/*
 * The time of a request is over: its run is cancelled.
 */
void
entry_timeout(struct world *w, struct request *q)
{
	if (q->at_exit) {
		attempt_over(w, q, 0);
		queue_add(w, hop_us(w, q->entry, q->exit), EVENT_CANCEL,
		    request_handle(q, w), 0);
	}
	end(w, q, q->at_exit ? VERDICT_LATE : VERDICT_OVERLOADED,
	    RETRY_AFTER_TIMEOUT);
}
