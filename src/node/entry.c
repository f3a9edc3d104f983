#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <urcu.h>

#include "node/call.h"

#define MS_PER_S 1000
#define LIMIT_WAIT_MS 4000 /* for an owner, since one was missed first */
#define LIMIT_PAUSE_US 20000

/* What the verdicts of other duties mean for a request. */
static const enum reason limit_reasons[LIMITS_VERDICT_MAX] = {
	[LIMITS_ADMIT] = REASON_NONE,
	[LIMITS_OVER_RATE] = REASON_OVER_RATE,
	[LIMITS_UNAVAILABLE] = REASON_LIMITS_UNAVAILABLE,
};

static const enum reason once_reasons[ONCE_VERDICT_MAX] = {
	[ONCE_GRANTED] = REASON_NONE,
	[ONCE_DUPLICATE] = REASON_DUPLICATE,
	[ONCE_UNKNOWN] = REASON_DUPLICATE,
	[ONCE_UNAVAILABLE] = REASON_IDS_UNAVAILABLE,
};

/*
 * Finds the route of a request and copies it out of the configuration.
 */
static enum reason
find_route(struct call *c, const struct config *conf)
{
	int r;

	if (conf == NULL)
		return REASON_NO_CONFIG;
	r = config_route_find(conf, c->req->method, c->req->target);
	if (r == -1)
		return REASON_NO_ROUTE;
	c->route = conf->routes[r];
	c->cx.importance = c->route.importance;
	c->cx.idempotent = (uint32_t)c->route.idempotent;
	snprintf(c->cx.service, sizeof(c->cx.service), "%s", c->route.service);
	return REASON_NONE;
}

/*
 * Tells whether this node may rely on the keys that it knows.
 */
static int
keys_known(struct call *c)
{
	return member_config_is_fresh(
	    member_view_get(&c->node->member), clock_ms());
}

/*
 * Checks a caller's key on a route that needs one.
 */
static enum reason
check_key(struct call *c, const struct config *conf, int known)
{
	const struct config_key *k;
	const struct config_ws *w;

	if (c->route.open)
		return REASON_NONE;
	if (!known)
		return REASON_STALE_CONFIG;
	k = c->req->key[0] != '\0' ? config_key_find(conf, c->req->key) : NULL;
	if (k == NULL)
		return REASON_NO_KEY;
	w = &conf->workspaces[k->ws];
	c->cx.key_tag = config_key_tag(k);
	c->limit.hash = w->hash;
	c->limit.rate = w->rate;
	c->limit.burst = w->burst;
	c->limit.changed_ms = w->changed_ms;
	snprintf(c->cx.workspace, sizeof(c->cx.workspace), "%s", w->name);
	return REASON_NONE;
}

/*
 * Checks that the key with which a chain began is still in force.
 */
static enum reason
check_chain_key(struct call *c, const struct config *conf)
{
	if (c->cx.key_tag == 0)
		return c->route.open ? REASON_NONE : REASON_NO_KEY;
	return config_key_live(conf, c->cx.key_tag) ? REASON_NONE
						    : REASON_NO_KEY;
}

/*
 * Names a request by what it asks for, and refuses it if servers died of it.
 */
static enum reason
check_quarantine(struct call *c)
{
	const struct request *r = c->req;
	struct node *n = c->node;

	quarantine_fingerprint(&c->print, c->cx.workspace, r->method, r->target,
	    r->body != NULL ? r->body : "", r->body_len);
	if (!settings_policy_on(&n->settings, POLICY_QUARANTINE))
		return REASON_NONE;
	if (quarantine_check(&n->quarantine, &c->print, clock_ms()) ==
	    QUARANTINE_REFUSED)
		return REASON_QUARANTINED;
	return REASON_NONE;
}

/*
 * Chooses a server before the workspace is charged: a request that would be
 * shed costs no token, so that its caller may come again within the rate.
 */
static enum reason
check_servers(struct call *c)
{
	enum route_reason why;

	if (call_is_doomed(c))
		return REASON_OVERLOAD;
	if (call_choose(c, &c->first, &why) == -1)
		return why == ROUTE_OVERLOAD ? REASON_OVERLOAD
					     : REASON_NO_SERVER;
	c->chosen = 1;
	return REASON_NONE;
}

/*
 * Tells whether it is worth while to wait for an owner of a workspace's
 * limit: leases can change, and one was missed only lately.
 */
static int
limit_is_hopeful(struct call *c, atomic_ullong *missed_ms)
{
	uint64_t now = clock_ms();
	unsigned long long since = 0;

	if (atomic_compare_exchange_strong(missed_ms, &since, now))
		since = now;
	return now < since + LIMIT_WAIT_MS && now < c->deadline_ms &&
	       duties_leases_change(c->node);
}

/*
 * Holds the workspace to its rate and burst.  While its limit changes hands,
 * the request waits.
 */
static enum reason
check_limit(struct call *c)
{
	enum limits_verdict v;
	atomic_ullong *missed;
	uint32_t wait = 0;

	if (c->route.open)
		return REASON_NONE;
	missed = &c->node->limit_missed_ms[c->limit.hash % NODE_BUDGETS];
	while ((v = limits_admit(&c->node->limits, &c->limit, &c->loan,
		    &wait)) == LIMITS_UNAVAILABLE &&
	       limit_is_hopeful(c, missed))
		usleep(LIMIT_PAUSE_US);
	if (v != LIMITS_UNAVAILABLE)
		atomic_store(missed, 0);
	c->retry_ms = (int)wait;
	return limit_reasons[v];
}

/*
 * Claims the id of a request that must not run twice.
 */
static enum reason
check_once(struct call *c)
{
	uint64_t now = clock_ms(), wait = ONCE_OWNER_WAIT_MS;
	struct once_key key;
	enum once_verdict v;

	if (c->route.idempotent || c->req->id[0] == '\0')
		return REASON_NONE;
	once_key(&key, c->cx.workspace, c->req->id);
	if (c->deadline_ms < now + wait)
		wait = c->deadline_ms > now ? c->deadline_ms - now : 0;
	v = once_claim_wait(&c->node->once, &key, (uint32_t)wait, &c->claim);
	c->claimed = v == ONCE_GRANTED;
	return once_reasons[v];
}

/*
 * Starts a call with memory for one request.
 */
static struct call *
call_new(struct node *n, struct request *r)
{
	struct call *c = calloc(1, sizeof(*c));

	if (c == NULL)
		err(1, "call_new");
	c->node = n;
	c->req = r;
	return c;
}

/*
 * Tells what a refusal at the entry says: only a request whose id is known
 * may have run.
 */
static enum outcome
outcome_at_entry(enum reason why)
{
	return why == REASON_DUPLICATE ? OUTCOME_MAY_HAVE_RUN : OUTCOME_NOT_RUN;
}

/*
 * Refuses a request at the entry and ends its call.
 */
static void
refuse(struct call *c, enum reason why)
{
	int wait = (c->retry_ms + MS_PER_S - 1) / MS_PER_S;

	if (outcome_at_entry(why) == OUTCOME_NOT_RUN)
		call_refund(c);
	call_log_refusal(c, outcome_at_entry(why), why);
	answer_refuse(c->req, outcome_at_entry(why), why, NULL,
	    why == REASON_OVER_RATE ? wait : 0, NULL);
	free(c);
}

/*
 * Sets the deadline: the route's, the caller's, or the parent's.
 */
static void
set_deadline(struct call *c, uint64_t now, uint64_t latest)
{
	uint32_t wait = c->route.deadline_ms;

	if (c->req->timeout_ms > 0 && c->req->timeout_ms < wait)
		wait = c->req->timeout_ms;
	c->deadline_ms = now + wait < latest ? now + wait : latest;
}

/*
 * The entry role for a caller's request.
 */
void
entry_caller(struct node *n, struct request *r)
{
	struct call *c = call_new(n, r);
	const struct config *conf;
	enum reason why;
	int known;

	counter_add(CTR_REQ_ENTRY, 1);
	rcu_read_lock();
	/* First: what is trusted must not be older than the trust. */
	known = keys_known(c);
	conf = config_current(&n->config);
	why = find_route(c, conf);
	if (why == REASON_NONE)
		why = check_key(c, conf, known);
	rcu_read_unlock();
	c->cx.root = rand_u64();
	retry_chain_init(&c->chain, c->route.retries);
	if (why == REASON_NONE)
		why = check_quarantine(c);
	if (why == REASON_NONE)
		why = check_servers(c);
	set_deadline(c, clock_ms(), UINT64_MAX);
	if (why == REASON_NONE)
		why = check_limit(c);
	if (why == REASON_NONE)
		why = check_once(c);
	if (why != REASON_NONE) {
		refuse(c, why);
		return;
	}
	c->cx.print[0] = c->print.lo;
	c->cx.print[1] = c->print.hi;
	call_forward(c);
	free(c);
}

/*
 * Takes over from the request that the local server serves what its inner
 * calls inherit.
 */
static void
inherit(struct call *c, const struct parent *p)
{
	const struct parent_context *pc = &p->context;

	c->cx.root = pc->root_hash;
	c->cx.print[0] = pc->root_fingerprint[0];
	c->cx.print[1] = pc->root_fingerprint[1];
	c->cx.key_tag = pc->key_tag;
	c->cx.depth = pc->depth + 1;
	snprintf(c->cx.workspace, sizeof(c->cx.workspace), "%s", pc->workspace);
}

/*
 * Sends an inner call with a share of its parent's retries.
 */
static void
forward_inner(struct call *c, struct parent *p)
{
	uint32_t lent = retry_grant_to_call(&p->chain);

	retry_chain_init(&c->chain, lent);
	call_forward(c);
	if (c->verdict.outcome != OUTCOME_DONE || c->scratch.status >= 500)
		parent_record_failed_call(p, c->print.lo);
	retry_return_unused(&p->chain, lent, retry_chain_close(&c->chain));
	free(c);
}

/*
 * The entry role for a call that the local server makes while it serves a
 * request.  It runs for the same workspace, and ends with its parent.
 */
void
entry_inner(struct node *n, struct request *r)
{
	struct parent *p = parents_get(&n->parents, r->token);
	struct call *c = call_new(n, r);
	const struct config *conf;
	enum reason why = REASON_DEAD_TOKEN;

	counter_add(CTR_REQ_INNER, 1);
	if (p == NULL || p->context.depth >= CONTEXT_DEPTH_MAX) {
		refuse(c, why);
		if (p != NULL)
			parent_put(p);
		return;
	}
	inherit(c, p);
	c->parent = p;
	rcu_read_lock();
	conf = config_current(&n->config);
	why = find_route(c, conf);
	if (why == REASON_NONE)
		why = check_chain_key(c, conf);
	rcu_read_unlock();
	if (why == REASON_NONE)
		why = check_quarantine(c);
	if (why == REASON_NONE && parent_call_is_retry(p, c->print.lo) &&
	    !retry_spend(&p->chain))
		why = REASON_RETRY_BOUND;
	set_deadline(c, clock_ms(), p->context.deadline_us / 1000);
	if (why == REASON_NONE)
		why = check_once(c);
	if (why != REASON_NONE) {
		refuse(c, why);
	} else {
		forward_inner(c, p);
	}
	parent_put(p);
}
