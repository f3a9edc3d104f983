#include <arpa/inet.h>
#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "event/event.h"
#include "relay/relay_int.h"

#define REPLY_TIMEOUT_MS 60 /* of a token request to the owner */
#define REQUESTS_MAX 2	    /* then the reserve is used */
#define US_PER_MS 1000

static struct relay_limit *get_limit(struct relay *, uint64_t);
static void request_tokens(struct relay *, struct relay_limit *);
static void apply_grant(
    struct relay *, struct relay_limit *, const struct quota_grant *);
static void use_reserve(struct relay *, struct relay_limit *);
static struct entry_req *dequeue_request(struct relay_limit *);
static struct quota_grant grant_tokens(
    struct relay *, uint64_t, uint64_t, uint32_t, uint32_t);

/*
 * Returns the tokens of a workspace at this node; adds an empty record if
 * there is none.
 */
static struct relay_limit *
get_limit(struct relay *r, uint64_t ws)
{
	struct relay_limit *l;
	size_t i;

	for (i = 0; i < r->limit_count; i++)
		if (r->limits[i].ws == ws)
			return &r->limits[i];
	r->limits =
	    reallocarray(r->limits, r->limit_count + 1, sizeof(*r->limits));
	if (r->limits == NULL)
		err(1, "out of memory");
	l = &r->limits[r->limit_count++];
	memset(l, 0, sizeof(*l));
	l->ws = ws;
	return l;
}

/*
 * Applies the workspace's limit to a request.  Returns 0 if the request may
 * proceed now, 1 if it waits for a token or has ended.
 */
int
entry_acquire_token(struct entry_req *e)
{
	struct relay *r = e->relay;
	struct relay_limit *l;
	struct entry_req **link;

	if (e->ws_name[0] == '\0' || e->limit.rate <= 0)
		return 0;
	l = get_limit(r, e->ws_hash);
	switch (quota_acquire(&l->stock, relay_now(r))) {
	case QUOTA_ACQUIRED:
		e->has_token = 1;
		return 0;
	case QUOTA_EXHAUSTED:
		entry_fail(e, ENTRY_FAIL_OVER_RATE,
		    relay_retry_after_ms(RETRY_AFTER_OVER_RATE, e->target_ms));
		return 1;
	case QUOTA_ASK_OWNER:
	case QUOTA_VERDICT_MAX:
		break;
	}
	e->state = ENTRY_WAITING_TOKEN;
	for (link = &l->waiting; *link != NULL; link = &(*link)->next_waiting)
		;
	*link = e;
	e->next_waiting = NULL;
	l->waiting_count++;
	if (l->stock.token_request_id == 0)
		request_tokens(r, l);
	return 1;
}

/*
 * Removes a request from the queue for tokens.
 */
void
entry_leave_token_queue(struct entry_req *e)
{
	struct relay_limit *l;
	struct entry_req **link;

	if (e->state != ENTRY_WAITING_TOKEN)
		return;
	l = get_limit(e->relay, e->ws_hash);
	for (link = &l->waiting; *link != NULL; link = &(*link)->next_waiting) {
		if (*link != e)
			continue;
		*link = e->next_waiting;
		l->waiting_count--;
		break;
	}
	e->state = ENTRY_DONE;
}

/*
 * Returns the token of a request that didn't run.
 */
void
entry_return_token(struct entry_req *e)
{
	if (!e->has_token)
		return;
	e->has_token = 0;
	quota_return_token(
	    &get_limit(e->relay, e->ws_hash)->stock, relay_now(e->relay));
}

/*
 * Removes and returns the first request in the queue for tokens, or NULL.
 */
static struct entry_req *
dequeue_request(struct relay_limit *l)
{
	struct entry_req *e = l->waiting;

	if (e == NULL)
		return NULL;
	l->waiting = e->next_waiting;
	l->waiting_count--;
	e->state = ENTRY_ATTEMPTING;
	return e;
}

/*
 * Grants tokens of a limit that this node owns.  The grant is empty if this
 * node is not the owner.
 */
static struct quota_grant
grant_tokens(
    struct relay *r, uint64_t ws, uint64_t id, uint32_t need, uint32_t want)
{
	struct quota_grant g = { 0, 0, 0, 0 };
	uint64_t now = relay_now(r);
	struct quota_limit limit;
	int i;

	i = r->config == NULL ? -1 : config_ws_find(r->config, ws);
	if (i < 0 || r->stopping ||
	    fleet_owner(&r->fleet, ws, now) != FLEET_SELF) {
		quota_owner_drop_bucket(&r->owner, ws);
		return g;
	}
	limit.rate = r->config->workspaces[i].rate;
	limit.burst = r->config->workspaces[i].burst;
	g = quota_owner_grant_tokens(&r->owner, ws, &limit, id, need, want,
	    r->fleet.members_changed_ms, now);
	if (g.is_new_bucket)
		event_log(EVENT_LIMIT_OWNED, now,
		    "workspace=%s rate=%.1f burst=%u nodes_changed_ms=%llu",
		    r->config->workspaces[i].name, limit.rate, limit.burst,
		    (unsigned long long)(now - r->fleet.members_changed_ms));
	return g;
}

/*
 * Requests tokens from the owner of a limit.
 */
static void
request_tokens(struct relay *r, struct relay_limit *l)
{
	struct quota_grant g;
	struct fleet_msg m;
	uint32_t need, want;
	int owner;

	quota_size_request(&l->stock, l->waiting_count, &need, &want);
	owner = fleet_owner(&r->fleet, l->ws, relay_now(r));
	if (owner == FLEET_SELF && r->stopping)
		owner = fleet_successor(&r->fleet, l->ws);
	if (owner == FLEET_NONE) {
		use_reserve(r, l);
		return;
	}
	if (l->stock.token_request_id == 0)
		l->stock.token_request_id = relay_random() | 1;
	l->stock.token_requested_ms = relay_now(r);
	l->stock.request_sends++;
	if (owner == FLEET_SELF) {
		g = grant_tokens(
		    r, l->ws, l->stock.token_request_id, need, want);
		apply_grant(r, l, &g);
		return;
	}
	memset(&m, 0, sizeof(m));
	m.kind = FLEET_TOKEN_REQUEST;
	m.fleet_msg_u.ask.workspace = l->ws;
	m.fleet_msg_u.ask.id = l->stock.token_request_id;
	m.fleet_msg_u.ask.need = need;
	m.fleet_msg_u.ask.want = want;
	fleet_send(&r->net, &m, r->fleet.peers[owner].address);
	relay_tick_start(r);
}

/*
 * Sends the requests that get a token from a grant, and refuses the rest if
 * the owner has no more tokens.
 */
static void
apply_grant(struct relay *r, struct relay_limit *l, const struct quota_grant *g)
{
	struct entry_req *e;
	uint64_t ws = l->ws;

	quota_accept_grant(&l->stock, g, relay_now(r));
	if (!g->is_owner) {
		use_reserve(r, l);
		return;
	}
	while (l->waiting != NULL && l->stock.tokens > 0) {
		l->stock.tokens--;
		e = dequeue_request(l);
		e->has_token = 1;
		entry_send_attempt(e);
		l = get_limit(r, ws);
	}
	if (l->waiting == NULL)
		return;
	if (g->tokens > 0) {
		if (l->stock.token_request_id == 0)
			request_tokens(r, l);
		return;
	}
	while ((e = dequeue_request(l)) != NULL) {
		entry_fail(e, ENTRY_FAIL_OVER_RATE,
		    relay_retry_after_ms(RETRY_AFTER_OVER_RATE, e->target_ms));
		l = get_limit(r, ws);
	}
}

/*
 * Serves the waiting requests from the reserve.
 */
static void
use_reserve(struct relay *r, struct relay_limit *l)
{
	struct entry_req *e;
	uint64_t ws = l->ws;

	l->stock.token_request_id = 0;
	l->stock.request_sends = 0;
	while ((e = dequeue_request(l)) != NULL) {
		if (quota_acquire_reserve(&l->stock, &e->limit,
			r->set.quota_share, r->set.quota_constant,
			fleet_size(&r->fleet), relay_now(r)))
			entry_send_attempt(e);
		else
			entry_fail(e, ENTRY_FAIL_NO_LIMIT_OWNER,
			    relay_retry_after_ms(
				RETRY_AFTER_NO_LIMIT_OWNER, e->target_ms));
		l = get_limit(r, ws);
	}
}

/*
 * Repeats unanswered token requests; uses the reserve after too many.
 */
void
entry_retry_token_requests(struct relay *r)
{
	struct relay_limit *l;
	size_t i;

	for (i = 0; i < r->limit_count; i++) {
		l = &r->limits[i];
		if (l->stock.token_request_id == 0 ||
		    relay_now(r) - l->stock.token_requested_ms <
			REPLY_TIMEOUT_MS)
			continue;
		if (l->stock.request_sends < REQUESTS_MAX)
			request_tokens(r, l);
		else
			use_reserve(r, l);
	}
}

/*
 * Transfers the buckets that this node owns to their next owners, so that
 * those can grant tokens at once.  This node grants no more tokens.
 */
void
relay_transfer_buckets(struct relay *r)
{
	struct quota_bucket *b;
	struct fleet_msg m;
	uint64_t now = relay_now(r);
	size_t i;
	int next;

	for (i = 0; i < r->owner.count; i++) {
		b = &r->owner.owned_buckets[i];
		if (b->ws == 0)
			continue;
		next = fleet_successor(&r->fleet, b->ws);
		bucket_refill(&b->bucket, now * US_PER_MS);
		memset(&m, 0, sizeof(m));
		m.kind = FLEET_BUCKET;
		m.fleet_msg_u.bucket.workspace = b->ws;
		m.fleet_msg_u.bucket.level = bucket_level(&b->bucket);
		if (next >= 0)
			fleet_send(&r->net, &m, r->fleet.peers[next].address);
		quota_owner_drop_bucket(&r->owner, b->ws);
	}
}

/*
 * Accepts a bucket from a node that is stopping.
 */
void
relay_on_bucket_transfer(void *ctx, const struct fleet_bucket *m)
{
	struct relay *r = ctx;
	struct quota_limit limit;
	int i;

	i = r->config == NULL ? -1 : config_ws_find(r->config, m->workspace);
	if (i < 0 || r->stopping)
		return;
	limit.rate = r->config->workspaces[i].rate;
	limit.burst = r->config->workspaces[i].burst;
	quota_owner_adopt_bucket(
	    &r->owner, m->workspace, &limit, m->level, relay_now(r));
}

/*
 * Answers another node's token request.
 */
void
relay_on_token_request(void *ctx, const struct fleet_token_request *a,
    const struct sockaddr_in *from)
{
	struct relay *r = ctx;
	struct quota_grant g;
	struct fleet_msg m;

	g = grant_tokens(r, a->workspace, a->id, a->need, a->want);
	memset(&m, 0, sizeof(m));
	m.kind = FLEET_TOKEN_GRANT;
	m.fleet_msg_u.give.workspace = a->workspace;
	m.fleet_msg_u.give.id = a->id;
	m.fleet_msg_u.give.tokens = g.tokens;
	m.fleet_msg_u.give.owner = (unsigned int)g.is_owner;
	m.fleet_msg_u.give.wait_ms = g.wait_ms;
	fleet_send(&r->net, &m, ntohl(from->sin_addr.s_addr));
}

/*
 * Applies the owner's answer.  A late or duplicate answer is ignored.
 */
void
relay_on_token_grant(void *ctx, const struct fleet_token_grant *a)
{
	struct relay *r = ctx;
	struct relay_limit *l = get_limit(r, a->workspace);
	struct quota_grant g = { a->tokens, a->wait_ms, (int)a->owner, 0 };

	if (l->stock.token_request_id == a->id)
		apply_grant(r, l, &g);
}
