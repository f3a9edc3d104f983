#include <err.h>
#include <stdlib.h>
#include <string.h>
#include <urcu.h>

#include "node/call.h"

/*
 * Tells whether a server was tried for this request already.
 */
static int
was_tried(const struct call *c, const struct node_id *id)
{
	unsigned int i;

	for (i = 0; i < c->tried_count; i++)
		if (nodeid_equal(&c->tried[i], id))
			return 1;
	return 0;
}

/*
 * Describes a member as a candidate for routing.
 */
static void
candidate(const struct call *c, const struct member_view *v,
    const struct member_info *m, struct route_candidate *out)
{
	const struct member_info *self = &v->members[v->self];

	memset(out, 0, sizeof(*out));
	out->id = m->id;
	out->first_seen_ms = m->state_since_ms;
	out->slots = m->server.slots;
	out->proximity =
	    strcmp(m->region, self->region) != 0   ? ROUTE_OTHER_REGION
	    : strcmp(m->domain, self->domain) != 0 ? ROUTE_SAME_REGION
						   : ROUTE_SAME_DOMAIN;
	out->leaving =
	    (m->state != MEMBER_ALIVE && m->state != MEMBER_SUSPECT) ||
	    m->server.state != MEMBER_SERVER_UP;
	out->suspect = m->state == MEMBER_SUSPECT;
	out->already_tried = was_tried(c, &m->id);
}

/*
 * Describes a request as admission sees it.
 */
void
call_request(const struct call *c, struct admission_req *ar)
{
	memset(ar, 0, sizeof(*ar));
	ar->class = (enum admission_class)c->cx.importance;
	ar->depth = c->cx.depth;
	ar->root_hash = c->cx.root;
}

/*
 * Returns the rank of a request, by which an exit sheds.
 */
static uint32_t
rank_of(const struct call *c)
{
	struct admission_req ar;

	if (!settings_policy_on(&c->node->settings, POLICY_PRECHECK))
		return 0;
	call_request(c, &ar);
	return admission_rank(&ar);
}

/*
 * Chooses among candidates without looking at load, for comparison.
 */
static int
choose_any(const struct route_candidate *cand, size_t n)
{
	size_t i, start = n > 0 ? rand_u64() % n : 0, at;

	for (i = 0; i < n; i++) {
		at = (start + i) % n;
		if (!cand[at].leaving && !cand[at].already_tried)
			return (int)at;
	}
	return -1;
}

/*
 * Lets a struck request run at one server only, wherever it entered.
 */
static int
choose_pinned(
    const struct call *c, const struct route_candidate *cand, size_t n)
{
	struct node_id ids[ROUTE_CANDIDATES_MAX];
	int usable[ROUTE_CANDIDATES_MAX];
	size_t i;

	for (i = 0; i < n; i++) {
		ids[i] = cand[i].id;
		usable[i] = !cand[i].leaving && !cand[i].already_tried;
	}
	return quarantine_choose_server(&c->print, ids, usable, n);
}

/*
 * Chooses where to send a request next.  Returns 0, or -1 with the reason.
 */
int
call_choose(struct call *c, struct target *t, enum route_reason *why)
{
	struct route_candidate *cand;
	struct route_query q = { .now_ms = clock_ms(),
		.rnd = rand_u64(),
		.rank = rank_of(c),
		.may_probe = atomic_load(&c->chain.left) > 0 };
	struct node *n = c->node;
	const struct member_view *v;
	const struct member_info *m;
	const uint32_t *h;
	uint32_t len, i;
	int at;

	*why = ROUTE_NO_SERVER;
	rcu_read_lock();
	v = member_view_get(&n->member);
	h = member_view_service(v, c->route.service, &len);
	if (len > ROUTE_CANDIDATES_MAX)
		len = ROUTE_CANDIDATES_MAX;
	/* On the heap: a thread's stack stays resident once it was used. */
	cand = calloc(len + 1, sizeof(*cand));
	if (cand == NULL)
		err(1, "call_choose");
	for (i = 0; i < len; i++)
		candidate(c, v, &v->members[h[i]], &cand[i]);
	if (settings_policy_on(&n->settings, POLICY_QUARANTINE) &&
	    quarantine_check(&n->quarantine, &c->print, q.now_ms) !=
		QUARANTINE_UNRESTRICTED)
		at = choose_pinned(c, cand, len);
	else if (settings_policy_on(&n->settings, POLICY_ROUTING))
		at = route_table_choose(&n->routes, cand, len, &q, why);
	else
		at = choose_any(cand, len);
	if (at >= 0) {
		m = &v->members[h[at]];
		t->id = m->id;
		t->peer_port = m->peer_port;
		t->local = nodeid_equal(&m->id, &n->id);
	}
	rcu_read_unlock();
	free(cand);
	return at >= 0 ? 0 : -1;
}

/*
 * Returns how the last attempt counts for the server that it went to.
 */
static enum route_outcome
route_outcome_of(const struct call *c)
{
	const struct verdict *v = &c->verdict;

	if (v->outcome == OUTCOME_DONE)
		return c->scratch.status < 500 ? ROUTE_SERVED
		       : v->inner_failed       ? ROUTE_CANCELLED
					       : ROUTE_FAILED;
	if (c->answer.broken)
		return ROUTE_CANCELLED;
	if (c->unsent)
		return ROUTE_NO_CONNECTION;
	if (v->reason == REASON_DEADLINE)
		return v->outcome == OUTCOME_NOT_RUN ? ROUTE_SHED
						     : ROUTE_TIMEOUT;
	if (v->reason == REASON_OVERLOAD)
		return ROUTE_SHED;
	if (v->reason == REASON_QUARANTINED)
		return ROUTE_CANCELLED;
	return v->outcome == OUTCOME_NOT_RUN ? ROUTE_LEAVING : ROUTE_FAILED;
}

/*
 * Tells the log that the last attempt has had its server ejected.
 */
static void
log_ejection(
    const struct call *c, const struct target *t, const struct route_stat *was)
{
	struct route_stat is;
	char id[NODE_ID_TEXT];

	route_table_get(&c->node->routes, &t->id, &is);
	if (is.ejections <= was->ejections)
		return;
	nodeid_format(&t->id, id);
	logline(LOG_WARNING, "server-ejected",
	    "node=%s service=%s reason=%s failures=%u for_ms=%llu", id,
	    c->route.service, reason_rows[c->verdict.reason].name,
	    was->consecutive_failures + 1,
	    (unsigned long long)(is.ejected_until_ms - clock_ms()));
}

/*
 * Passes on what the last attempt told of overload further down: to the
 * route's later requests, and to the request that an inner call is made for.
 */
static void
note_levels(struct call *c, const struct admission_load *load)
{
	struct admission_downstream *e = call_echo(c);
	uint32_t level = c->verdict.chain_level;
	struct admission_req ar;

	call_request(c, &ar);
	if (level != ADMISSION_CHAIN_LEVEL_UNKNOWN)
		admission_downstream_reported(e, level, clock_us());
	else if (c->verdict.outcome == OUTCOME_DONE)
		admission_downstream_served(e, &ar);
	if (c->parent == NULL)
		return;
	if (level != ADMISSION_CHAIN_LEVEL_UNKNOWN)
		parent_lower_chain_level(c->parent, level);
	if (load != NULL)
		parent_lower_chain_level(
		    c->parent, admission_chain_level(load->level, &ar));
}

/*
 * Notes what the last attempt showed of its server.
 */
void
call_observe(struct call *c, const struct target *t, uint64_t latency_us)
{
	struct admission_load load;
	enum route_outcome out = route_outcome_of(c);
	int heard = admission_load_parse(&load, c->verdict.load) == 0;
	struct route_stat before;
	int failed;

	if (!settings_policy_on(&c->node->settings, POLICY_EJECTION) &&
	    (out == ROUTE_FAILED || out == ROUTE_TIMEOUT ||
		out == ROUTE_NO_CONNECTION))
		out = ROUTE_CANCELLED;
	note_levels(c, heard ? &load : NULL);
	failed = out == ROUTE_FAILED || out == ROUTE_TIMEOUT ||
		 out == ROUTE_NO_CONNECTION;
	if (failed)
		route_table_get(&c->node->routes, &t->id, &before);
	route_request_ended(&c->node->routes, &t->id, out, latency_us,
	    heard ? &load : NULL, clock_ms());
	if (failed)
		log_ejection(c, t, &before);
}
