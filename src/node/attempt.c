#include <err.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu.h>

#include "node/call.h"

#define PEER_IDLE_MAX 8
#define FORWARD_GRACE_MS 50 /* an exit answers at its deadline, then we */

/* A peer that a request has been sent to. */
struct waiting {
	struct call *call;
	const struct target *target;
};

static int peer_head(void *, const struct head *);
static int peer_body(void *, const char *, size_t);

/*
 * Reads what an exit tells the entry in the head of an answer.
 */
static void
read_verdict(struct call *c, const struct head *h)
{
	struct verdict *v = &c->verdict;
	const char *s;

	v->outcome = outcome_of(head_get(h, "Cyclamen-Outcome"));
	v->reason = reason_of(head_get(h, "Cyclamen-Reason"));
	s = head_get(h, "Cyclamen-Retries-Left");
	v->retries_left = s != NULL ? (uint32_t)strtoul(s, NULL, 10) : 0;
	if (v->retries_left > c->cx.retries)
		v->retries_left = c->cx.retries;
	s = head_get(h, "Cyclamen-Chain-Level");
	v->chain_level = s != NULL ? (uint32_t)strtoul(s, NULL, 10)
				   : ADMISSION_CHAIN_LEVEL_UNKNOWN;
	v->inner_failed = head_get(h, "Cyclamen-Inner") != NULL;
	s = head_get(h, "Cyclamen-Death");
	v->death = s != NULL ? strtoull(s, NULL, 16) : 0;
	s = head_get(h, "Cyclamen-Load");
	snprintf(v->load, sizeof(v->load), "%s", s != NULL ? s : "");
}

/*
 * Receives the head of an exit's answer: takes out what is meant for the
 * entry.
 */
static int
peer_head(void *ctx, const struct head *h)
{
	struct call *c = ctx;
	const char *att = head_get(h, "Cyclamen-Attempt");
	struct answer_sink s;
	char want[17];
	unsigned int i;

	snprintf(want, sizeof(want), "%016" PRIx64, c->cx.attempt);
	if (att == NULL || strcmp(att, want) != 0) {
		c->wrong = 1;
		return -1;
	}
	read_verdict(c, h);
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
		c->unsent = 1;
	}
}

/*
 * Tells whether waiting for a peer's answer costs more than it can bring:
 * the peer is held to be dead, no part of its answer has come, and the
 * request may run again elsewhere.
 */
static int
peer_hopeless(void *ctx)
{
	const struct waiting *w = ctx;
	const struct node_id *id = &w->target->id;
	struct call *c = w->call;
	const struct member_info *m;
	int dead;

	if (!c->route.idempotent || c->answer.started)
		return 0;
	rcu_read_lock();
	m = member_view_find(
	    member_view_get(&c->node->member), id->addr, id->rpc_port);
	dead = m == NULL || m->id.incarnation != id->incarnation ||
	       m->state == MEMBER_DEAD;
	rcu_read_unlock();
	return dead;
}

/*
 * Runs an attempt at the exit of a peer.
 */
static void
attempt_peer(struct call *c, const struct target *t)
{
	struct answer_sink sink = { peer_head, peer_body, c };
	struct waiting w = { c, t };
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
		.idle_max = PEER_IDLE_MAX,
		.hopeless = peer_hopeless,
		.hopeless_ctx = &w };

	if (h == NULL)
		err(1, "attempt_peer");
	*h = c->req->head;
	context_format(&c->cx, text);
	context_mac(c->node->key, c->req->method, c->req->target, text, mac);
	head_add(h, "Cyclamen-Context", text);
	head_add(h, "Cyclamen-Mac", mac);
	c->verdict.outcome = OUTCOME_MAY_HAVE_RUN;
	c->verdict.reason = REASON_SERVER_FAILED;
	peer_verdict(c, client_exchange(c->node->peers, &x, &sink));
	free(h);
}

/*
 * Makes one attempt at one server, with a share of the chain's retries,
 * which come back only with a whole answer.
 */
void
call_attempt(struct call *c, const struct target *t)
{
	uint64_t begin = clock_us();

	if (c->tried_count < CALL_TRIED_MAX)
		c->tried[c->tried_count++] = t->id;
	c->cx.attempt = rand_u64();
	c->cx.retries = retry_grant_to_attempt(&c->chain);
	c->unsent = c->wrong = 0;
	memset(&c->verdict, 0, sizeof(c->verdict));
	c->verdict.chain_level = ADMISSION_CHAIN_LEVEL_UNKNOWN;
	answer_reset(&c->answer);
	route_request_started(&c->node->routes, &t->id, begin / 1000);
	if (t->local)
		attempt_local(c);
	else
		attempt_peer(c, t);
	retry_return_unused(&c->chain, c->cx.retries, c->verdict.retries_left);
	if (c->verdict.outcome == OUTCOME_MAY_HAVE_RUN)
		c->ran = 1;
	call_observe(c, t, clock_us() - begin);
}
