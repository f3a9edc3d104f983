#include <err.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu.h>
#include <xxhash.h>

#include "node/node.h"

#define PEER_IDLE_MAX 8
#define TRIED_MAX 16
#define FORWARD_GRACE_MS 50 /* an exit answers at its deadline, then we */

/* Where a request can be sent. */
struct target {
	struct node_id id;
	uint16_t peer_port;
	int local;
};

/* A request on its way through the entry role. */
struct call {
	struct node *node;
	struct request *req;
	struct config_route route;
	struct context cx;
	uint64_t deadline_ms;
	struct node_id tried[TRIED_MAX];
	unsigned int tried_count;
	struct answer answer;
	struct head scratch;
	struct verdict verdict; /* of the last attempt */
	int wrong;		/* the peer's answer is to another attempt */
};

static int peer_head(void *, const struct head *);
static int peer_body(void *, const char *, size_t);

/*
 * Refuses a request at the entry.
 */
static void
refuse(struct call *c, enum outcome out, enum reason why)
{
	answer_refuse(c->req, out, why, NULL, 0, NULL);
}

/*
 * Names a request by what it asks for, so that it is known when it comes
 * again.
 */
static void
fingerprint(struct call *c)
{
	const struct request *r = c->req;
	XXH3_state_t *st = XXH3_createState();
	XXH128_canonical_t out;

	if (st == NULL)
		errx(1, "XXH3_createState");
	XXH3_128bits_reset(st);
	XXH3_128bits_update(st, c->cx.workspace, strlen(c->cx.workspace) + 1);
	XXH3_128bits_update(st, r->method, strlen(r->method) + 1);
	XXH3_128bits_update(st, r->target, strlen(r->target) + 1);
	XXH3_128bits_update(st, r->body, r->body_len);
	XXH128_canonicalFromHash(&out, XXH3_128bits_digest(st));
	memcpy(c->cx.fingerprint, out.digest, sizeof(c->cx.fingerprint));
	XXH3_freeState(st);
}

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
 * Chooses where to send a request next.  Returns -1 if there is no server.
 */
static int
choose(struct call *c, struct target *t)
{
	const struct member_view *v;
	const struct member_info *m;
	const uint32_t *h;
	uint32_t len, i, start;
	int found = -1;

	rcu_read_lock();
	v = member_view_get(&c->node->member);
	h = member_view_service(v, c->route.service, &len);
	start = len > 0 ? (uint32_t)(rand_u64() % len) : 0;
	for (i = 0; i < len && found == -1; i++) {
		m = &v->list[h[(start + i) % len]];
		if (m->state != MEMBER_ALIVE ||
		    m->server.state != MEMBER_SERVER_UP || was_tried(c, &m->id))
			continue;
		t->id = m->id;
		t->peer_port = m->peer_port;
		t->local = nodeid_equal(&m->id, &c->node->id);
		found = 0;
	}
	rcu_read_unlock();
	return found;
}

/*
 * Receives the head of an exit's answer: takes out what is meant for the
 * entry.
 */
static int
peer_head(void *ctx, const struct head *h)
{
	struct call *c = ctx;
	const char *v = head_get(h, "Cyclamen-Attempt");
	struct answer_sink s;
	char want[17];
	unsigned int i;

	snprintf(want, sizeof(want), "%016" PRIx64, c->cx.attempt);
	if (v == NULL || strcmp(v, want) != 0) {
		c->wrong = 1;
		return -1;
	}
	c->verdict.outcome = outcome_of(head_get(h, "Cyclamen-Outcome"));
	c->verdict.reason = reason_of(head_get(h, "Cyclamen-Reason"));
	v = head_get(h, "Cyclamen-Retries-Left");
	c->verdict.retries_left = v != NULL ? (uint32_t)atoi(v) : 0;
	if (c->verdict.retries_left > c->cx.retries)
		c->verdict.retries_left = c->cx.retries;
	v = head_get(h, "Cyclamen-Load");
	snprintf(
	    c->verdict.load, sizeof(c->verdict.load), "%s", v != NULL ? v : "");
	if (c->verdict.outcome != OUTCOME_DONE)
		return 0;
	head_init(&c->scratch, h->status);
	c->scratch.length = h->length;
	for (i = 0; i < h->count; i++)
		if (!head_is_internal(head_name(h, i)))
			head_add(
			    &c->scratch, head_name(h, i), head_value(h, i));
	head_add(&c->scratch, "Cyclamen-Outcome", outcome_names[OUTCOME_DONE]);
	answer_sink(&c->answer, &s);
	return s.head(s.ctx, &c->scratch);
}

/*
 * Receives a part of an exit's answer; a refusal's text is dropped.
 */
static int
peer_body(void *ctx, const char *data, size_t len)
{
	struct call *c = ctx;
	struct answer_sink s;

	if (c->verdict.outcome != OUTCOME_DONE)
		return 0;
	answer_sink(&c->answer, &s);
	return s.body(s.ctx, data, len);
}

/*
 * Runs an attempt at the exit in this very process.
 */
static void
attempt_local(struct call *c)
{
	struct answer_sink sink = { peer_head, peer_body, c };
	struct verdict v;

	exit_run(c->node, &c->cx, c->req, &sink, &v);
	c->verdict = v;
}

/*
 * Tells what an exchange with a peer says about the request, which the peer
 * reports only if its answer arrived whole.
 */
static void
peer_verdict(struct call *c, enum exchange_end end)
{
	struct verdict *v = &c->verdict;

	if (end == EXCHANGE_WHOLE && !c->wrong)
		return;
	v->retries_left = 0;
	v->outcome = OUTCOME_MAY_HAVE_RUN;
	v->reason = REASON_SERVER_FAILED;
	if (end == EXCHANGE_TIMEOUT)
		v->reason = REASON_DEADLINE;
	if (end == EXCHANGE_UNSENT) {
		v->outcome = OUTCOME_NOT_RUN;
		v->reason = REASON_NO_SERVER;
		v->retries_left = c->cx.retries;
	}
}

/*
 * Runs an attempt at the exit of a peer.
 */
static void
attempt_peer(struct call *c, const struct target *t)
{
	struct answer_sink sink = { peer_head, peer_body, c };
	struct head *h = malloc(sizeof(*h));
	char text[CONTEXT_TEXT_MAX], mac[CONTEXT_MAC_HEX];
	struct exchange_req x = { .addr = t->id.addr,
		.port = t->peer_port,
		.method = c->req->method,
		.target = c->req->target,
		.head = h,
		.body = c->req->body,
		.body_len = c->req->body_len,
		.timeout_ms = c->cx.deadline_ms + FORWARD_GRACE_MS,
		.idle_max = PEER_IDLE_MAX };

	if (h == NULL)
		err(1, "attempt_peer");
	*h = c->req->head;
	context_format(&c->cx, text);
	context_mac(c->node->key, c->req->method, c->req->target, text, mac);
	head_add(h, "Cyclamen-Context", text);
	head_add(h, "Cyclamen-Mac", mac);
	c->wrong = 0;
	c->verdict.outcome = OUTCOME_MAY_HAVE_RUN;
	c->verdict.reason = REASON_SERVER_FAILED;
	peer_verdict(c, client_exchange(c->node->peers, &x, &sink));
	free(h);
}

/*
 * Makes one attempt at one server.
 */
static void
attempt(struct call *c, const struct target *t)
{
	if (c->tried_count < TRIED_MAX)
		c->tried[c->tried_count++] = t->id;
	c->cx.attempt = rand_u64();
	memset(&c->verdict, 0, sizeof(c->verdict));
	answer_reset(&c->answer);
	if (t->local)
		attempt_local(c);
	else
		attempt_peer(c, t);
}

/*
 * Tells whether the last attempt may be followed by another.
 */
static int
may_retry(const struct call *c)
{
	if (c->answer.started || c->verdict.outcome == OUTCOME_DONE)
		return 0;
	if (c->cx.retries == 0)
		return 0;
	return c->verdict.outcome == OUTCOME_NOT_RUN || c->route.idempotent;
}

/*
 * Gives the caller what the last attempt brought.
 */
static void
conclude(struct call *c)
{
	if (c->verdict.outcome == OUTCOME_DONE) {
		answer_end(&c->answer);
		counter_add(CTR_DONE, 1);
	} else if (c->answer.started) {
		answer_break(&c->answer);
	} else {
		refuse(c, c->verdict.outcome, c->verdict.reason);
	}
}

/*
 * Sends a request to servers until one answers or no retry is left, and
 * answers the caller.
 */
static void
forward(struct call *c)
{
	struct target t;
	uint64_t now;
	int ran = 0;

	answer_init(&c->answer, c->req);
	c->verdict.outcome = OUTCOME_NOT_RUN;
	c->verdict.reason = REASON_NO_SERVER;
	for (;;) {
		now = clock_ms();
		if (now >= c->deadline_ms) {
			c->verdict.reason = REASON_DEADLINE;
			break;
		}
		c->cx.deadline_ms = (uint32_t)(c->deadline_ms - now);
		if (choose(c, &t) == -1)
			break;
		attempt(c, &t);
		ran |= c->verdict.outcome == OUTCOME_MAY_HAVE_RUN;
		c->cx.retries = c->verdict.retries_left;
		if (!may_retry(c))
			break;
		c->cx.retries--;
		counter_add(CTR_RETRIES, 1);
	}
	if (ran && c->verdict.outcome == OUTCOME_NOT_RUN)
		c->verdict.outcome = OUTCOME_MAY_HAVE_RUN;
	conclude(c);
	answer_finish(&c->answer);
}

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
 * Checks a caller's key on a route that needs one.
 */
static enum reason
check_key(struct call *c, const struct config *conf)
{
	const struct config_key *k;

	if (c->route.open)
		return REASON_NONE;
	if (!member_fresh(member_view_get(&c->node->member), clock_ms()))
		return REASON_STALE_CONFIG;
	if (c->req->key[0] == '\0')
		return REASON_NO_KEY;
	k = config_key_find(conf, c->req->key);
	if (k == NULL)
		return REASON_NO_KEY;
	snprintf(c->cx.workspace, sizeof(c->cx.workspace), "%s",
	    conf->workspaces[k->ws].name);
	return REASON_NONE;
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
 * The entry role for a caller's request.
 */
void
entry_caller(struct node *n, struct request *r)
{
	struct call *c = call_new(n, r);
	const struct config *conf;
	enum reason why;
	uint32_t wait;

	counter_add(CTR_REQ_ENTRY, 1);
	rcu_read_lock();
	conf = config_current(&n->config);
	why = find_route(c, conf);
	if (why == REASON_NONE)
		why = check_key(c, conf);
	rcu_read_unlock();
	if (why == REASON_NONE && atomic_load(&n->stopping))
		why = REASON_STOPPING;
	if (why != REASON_NONE) {
		refuse(c, OUTCOME_NOT_RUN, why);
		free(c);
		return;
	}
	wait = c->route.deadline_ms;
	if (r->timeout_ms > 0 && r->timeout_ms < wait)
		wait = r->timeout_ms;
	c->deadline_ms = clock_ms() + wait;
	c->cx.root = rand_u64();
	c->cx.retries = c->route.retries;
	fingerprint(c);
	forward(c);
	free(c);
}

/*
 * The entry role for a call that the local server makes while it serves a
 * request.
 */
void
entry_inner(struct node *n, struct request *r)
{
	(void)n;
	counter_add(CTR_REQ_INNER, 1);
	answer_refuse(r, OUTCOME_NOT_RUN, REASON_DEAD_TOKEN, NULL, 0, NULL);
}
