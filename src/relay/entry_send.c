#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "event/event.h"
#include "relay/relay_int.h"

#define ANSWER_BUFFER_BYTES 65536 /* longer answers are streamed */
#define CANDIDATES_MAX 128
#define AVOID_MIN_MS 300 /* after a failed connection; doubles each time */
#define AVOID_MAX_MS 3000
#define ATTEMPTS_MAX 4	     /* nodes tried for one request */
#define RETRY_TIME_MIN_MS 20 /* least time left for another attempt */
#define IDLE_UNLIMITED_MS UINT64_MAX
#define IDLE_NON_IDEMPOTENT_MS 4000 /* older connections may break */

static int on_response_headers(void *, struct h1_exchange *);
static void on_response_body(
    void *, struct h1_exchange *, const char *, size_t);
static void on_response_end(void *, struct h1_exchange *);
static void on_attempt_fail(void *, struct h1_exchange *, enum h1_failure);
static void on_node_drained(void *, struct h1_exchange *);
static void record_attempt(struct entry_req *, int);
static void retry(struct entry_req *);
static int acquire_retry(struct entry_req *);
static void start_streaming(struct entry_req *);
static void compose_request(struct entry_req *, struct h1_text *);

static const struct h1_client_ops attempt_ops = { on_response_headers,
	on_response_body, on_response_end, on_attempt_fail, on_node_drained };

/*
 * Chooses a node for the next attempt.  Returns its handle, or RELAY_NO_LINK
 * if there is none.
 */
int
entry_choose_node(struct entry_req *e)
{
	struct choice list[CANDIDATES_MAX];
	struct relay *r = e->relay;
	const struct fleet_peer *p;
	struct relay_link *l;
	struct choice *c;
	uint64_t now = relay_now(r);
	uint32_t slots, i, outstanding;
	size_t n = 0;
	int h, best, count = (int)r->fleet.count;

	for (h = FLEET_SELF; h < count && n < CANDIDATES_MAX; h++) {
		for (i = 0; i < e->attempt_count && i < RELAY_TRIED_MAX; i++)
			if (e->tried_nodes[i] == h)
				break;
		if (i < e->attempt_count && i < RELAY_TRIED_MAX)
			continue;
		c = &list[n];
		memset(c, 0, sizeof(*c));
		c->handle = h;
		if (h == FLEET_SELF) {
			if (r->server.id[0] == '\0' || r->server.leaving ||
			    r->server.down_until_ms > now ||
			    strcmp(r->server.service, e->service) != 0)
				continue;
			slots = relay_server_slots(r);
			outstanding = r->core.inflight + r->core.queued;
			c->same_zone = 1;
			c->recently_started = r->server.cold_until_ms > now;
			l = relay_link(r, h);
		} else {
			p = &r->fleet.peers[h];
			if (p->port == 0 || p->has_departed || p->stopping ||
			    p->server.id[0] == '\0' ||
			    p->server.unavailable_state ||
			    strcmp(p->server.service, e->service) != 0)
				continue;
			l = relay_link(r, h);
			slots = p->server.slots;
			outstanding = p->server.running + p->server.waiting;
			if (l->load_reported_ms > p->heard_ms) {
				slots = l->slots;
				outstanding = l->running + l->waiting;
			}
			outstanding += l->sent_since_report;
			if (outstanding < l->inflight)
				outstanding = l->inflight;
			c->same_zone = strcmp(p->zone, r->set.zone) == 0;
			c->recently_started = p->server.cold_until_ms > now;
			c->unreachable =
			    !fleet_is_alive(&r->fleet, (size_t)h, now);
		}
		c->unreachable |= l->avoid_until_ms > now;
		c->failure_share = choice_failure_share(&l->health, now);
		c->load = slots > 0 ? (double)outstanding / slots : 2;
		n++;
	}
	best = choice_best(list, n, relay_random());
	return best < 0 ? RELAY_NO_LINK : list[best].handle;
}

/*
 * Adds the header fields for the exit: the hop field and its seal.
 */
static void
add_hop(struct entry_req *e, struct h1_text *t)
{
	uint64_t now = relay_now(e->relay);
	struct seal_request parts;
	char hop[RELAY_HOP_BYTES], hex[SEAL_HEX_BYTES];

	snprintf(hop, sizeof(hop), "%llu %u %u %llu %d %s %s %s %u",
	    (unsigned long long)(e->answer_by_ms > now ? e->answer_by_ms - now
						       : 1),
	    e->class, e->depth, (unsigned long long)e->root_hash, e->idempotent,
	    e->service, e->relay->set.service,
	    e->ws_name[0] != '\0' ? e->ws_name : "-", e->route);
	h1_text_add_field(t, RELAY_HOP, hop);
	sealed_request_parts(e->relay, e->conn, hop, &parts);
	seal_request(&e->relay->seal, &parts, hex);
	if (hex[0] != '\0')
		h1_text_add_field(t, RELAY_SEAL, hex);
}

/*
 * Composes the request head for the exit.
 */
static void
compose_request(struct entry_req *e, struct h1_text *t)
{
	const struct relay_header_names *names = &e->relay->set.names;
	const struct h1_head *h = h1_conn_head(e->conn);
	const char *const skip[] = { names->key, names->deadline_ms,
		names->workspace, names->caller, names->expected_instance,
		RELAY_HOP, RELAY_EXIT, RELAY_SEAL, NULL };

	h1_text_addf(t, "%s ", h1_conn_method(e->conn));
	h1_text_add(t, h->buf + h->target, h->target_len);
	h1_text_add(t, " HTTP/1.1\r\n", 11);
	h1_text_add_forwarded(t, h, skip);
	add_hop(e, t);
	if (e->content_length == H1_LENGTH_UNKNOWN)
		h1_text_add_field(t, "Transfer-Encoding", "chunked");
	else if (e->content_length > 0 || h1_conn_body_length(e->conn) > 0)
		h1_text_addf(t, "Content-Length: %llu\r\n",
		    (unsigned long long)e->content_length);
	h1_text_add(t, "\r\n", 2);
}

/*
 * Sends a request to a node.  Ends the request if its caller has left or no
 * node is left.
 */
void
entry_send_attempt(struct entry_req *e)
{
	struct relay *r = e->relay;
	struct relay_link *l;
	struct h1_text t;
	int h;

	if (h1_conn_close_if_left(e->conn))
		return;
	h = entry_choose_node(e);
	if (h == RELAY_NO_LINK) {
		entry_fail(e,
		    e->attempt_count > 0 ? ENTRY_FAIL_OVERLOAD
					 : ENTRY_FAIL_NO_SERVER,
		    relay_retry_after_ms(
			RETRY_AFTER_SERVERS_FULL, e->target_ms));
		return;
	}
	e->state = ENTRY_ATTEMPTING;
	if (e->attempt_count < RELAY_TRIED_MAX)
		e->tried_nodes[e->attempt_count] = h;
	e->attempt_count++;
	e->attempt_node = h;
	e->verdict = VERDICT_UNKNOWN;
	l = relay_link(r, h);
	l->inflight++;
	l->sent_since_report++;
	h1_text_init(&t);
	compose_request(e, &t);
	if (e->body_len > 0 && e->content_length != H1_LENGTH_UNKNOWN) {
		h1_text_add(&t, e->body, e->body_len);
	}
	e->xchg = h1_send_request(l->pool, &t, e->content_length,
	    strcmp(h1_conn_method(e->conn), "HEAD") == 0,
	    e->idempotent ? IDLE_UNLIMITED_MS : IDLE_NON_IDEMPOTENT_MS,
	    &attempt_ops, e);
	h1_text_finish(&t);
	if (e->body_len > 0 && e->content_length == H1_LENGTH_UNKNOWN)
		h1_send_request_body(e->xchg, e->body, e->body_len);
	if (e->body_complete)
		h1_send_request_end(e->xchg);
	h1_conn_resume(e->conn);
}

/*
 * Forwards a piece of the body.  Pauses reading from the caller while the node
 * is slow.
 */
void
entry_forward_body(struct entry_req *e, const char *p, size_t n)
{
	h1_send_request_body(e->xchg, p, n);
	if (h1_exchange_unsent_bytes(e->xchg) > H1_WRITE_QUEUE_HIGH_BYTES)
		h1_conn_pause(e->conn);
}

/*
 * Resumes reading from the caller when the node has caught up.
 */
static void
on_node_drained(void *ctx, struct h1_exchange *x)
{
	struct entry_req *e = ctx;

	(void)x;
	h1_conn_resume(e->conn);
}

/*
 * Records the result of an attempt for the choice of later nodes.
 */
static void
record_attempt(struct entry_req *e, int failed)
{
	struct relay_link *l;

	if (e->attempt_node == RELAY_NO_LINK)
		return;
	l = relay_link(e->relay, e->attempt_node);
	l->inflight--;
	choice_record_attempt(&l->health, failed, relay_now(e->relay));
	e->attempt_node = RELAY_NO_LINK;
	e->xchg = NULL;
}

/*
 * Cancels the current attempt.
 */
void
entry_cancel_attempt(struct entry_req *e)
{
	struct h1_exchange *x = e->xchg;

	if (x == NULL)
		return;
	record_attempt(e, 0);
	h1_exchange_cancel(x);
}

/*
 * Closes the idle connections to a node that didn't answer in time.  They may
 * be dead without a reset, like the one of the attempt.
 */
void
entry_close_idle(struct entry_req *e)
{
	if (e->attempt_node != RELAY_NO_LINK)
		h1_pool_trim(relay_link(e->relay, e->attempt_node)->pool, 0);
}

/*
 * Handles the headers of a response: reads the verdict of the exit.
 */
static int
on_response_headers(void *ctx, struct h1_exchange *x)
{
	struct entry_req *e = ctx;
	static const char *const skip[] = { RELAY_EXIT, NULL };
	const struct h1_head *h = h1_exchange_head(x);
	char text[96];
	uint32_t i;

	e->verdict = VERDICT_UNKNOWN;
	e->call_failed = 0;
	if (h1_head_copy(h, RELAY_EXIT, text, sizeof(text)) > 0) {
		for (i = 0; i < VERDICT_MAX; i++)
			if (h1_name_equals(text, strcspn(text, " "),
				relay_verdict_names[i]))
				e->verdict = (enum relay_verdict)i;
		e->call_failed =
		    relay_apply_exit_header(e->relay, e->attempt_node, text);
	}
	e->status = h1_exchange_status(x);
	e->answer_length = h1_exchange_body_length(x);
	h1_text_finish(&e->fields);
	h1_text_finish(&e->answer);
	h1_text_add_forwarded(&e->fields, h, skip);
	return 0;
}

/*
 * Sends the head of a long answer to the caller, and the body so far.
 */
static void
start_streaming(struct entry_req *e)
{
	e->answer_started = 1;
	e->state = ENTRY_ANSWERING;
	h1_send_response_head(e->conn, e->status, &e->fields, e->answer_length);
	h1_send_response_body(e->conn, e->answer.p, e->answer.len);
	h1_text_finish(&e->answer);
}

/*
 * Handles a piece of the response body.  Short answers are buffered until
 * complete, so that a request whose answer breaks off can be retried.
 */
static void
on_response_body(void *ctx, struct h1_exchange *x, const char *p, size_t n)
{
	struct entry_req *e = ctx;

	if (e->verdict != VERDICT_RAN)
		return;
	if (!e->answer_started && e->answer.len + n <= ANSWER_BUFFER_BYTES) {
		h1_text_add(&e->answer, p, n);
		return;
	}
	if (!e->answer_started)
		start_streaming(e);
	h1_send_response_body(e->conn, p, n);
	if (h1_conn_unsent_bytes(e->conn) > H1_WRITE_QUEUE_HIGH_BYTES)
		h1_exchange_pause(x);
}

/*
 * Returns 1 if a request that reached a server may be sent to another one, and
 * charges the retry budget.
 */
static int
acquire_retry(struct entry_req *e)
{
	struct relay *r = e->relay;
	struct budget_query ask = {
		.class = e->class,
		.root_hash = e->root_hash,
		.fleet_slack = r->set.retry_slack,
		.node_count = fleet_size(&r->fleet),
		.now_ms = relay_now(r),
	};

	if (e->arrivals >= e->arrivals_max ||
	    ask.now_ms + RETRY_TIME_MIN_MS > e->answer_by_ms)
		return 0;
	return budget_take_retry(relay_budget(r, e->service), &ask);
}

/*
 * Retries a request on another node.
 */
static void
retry(struct entry_req *e)
{
	struct relay *r = e->relay;

	r->counters[RELAY_RETRIES]++;
	event_log(EVENT_REQUEST_RETRIED, relay_now(r),
	    "id=%s service=%s verdict=%s tries=%u arrivals=%u maybe_run=%d",
	    e->id, e->service, relay_verdict_names[e->verdict],
	    e->attempt_count, e->arrivals, e->may_have_run);
	entry_send_attempt(e);
}

/*
 * Handles the end of a response, which is the server's answer or a refusal by
 * the exit.
 */
static void
on_response_end(void *ctx, struct h1_exchange *x)
{
	struct entry_req *e = ctx;
	struct relay *r = e->relay;
	struct h1_conn *conn = e->conn;
	uint64_t now = relay_now(r);

	(void)x;
	record_attempt(e, e->verdict == VERDICT_UNKNOWN ||
			      e->verdict == VERDICT_UNAVAILABLE ||
			      e->verdict == VERDICT_REJECTED ||
			      (e->verdict == VERDICT_RAN && e->status >= 500 &&
				  !e->call_failed));
	switch (e->verdict) {
	case VERDICT_RAN:
		latency_add(&r->entry_latency, now - e->started_ms);
		if (e->depth > 0)
			entry_record_call_result(e, 0, e->status >= 400);
		r->counters[e->status < 500 ? RELAY_SERVED : RELAY_FAILED]++;
		if (e->status >= 500)
			event_log(EVENT_REQUEST_FAILED, now,
			    "id=%s service=%s status=%u reason=%s "
			    "age_ms=%llu tries=%u",
			    e->id, e->service, e->status,
			    e->call_failed ? "call-failed" : "server",
			    (unsigned long long)(now - e->started_ms),
			    e->attempt_count);
		if (!e->answer_started)
			h1_conn_set_user(conn, NULL);
		if (e->answer_started)
			h1_send_response_end(conn);
		else
			h1_send_response(conn, e->status, &e->fields,
			    e->answer.p, e->answer.len);
		h1_conn_resume(conn);
		entry_finish(e);
		return;
	case VERDICT_REJECTED:
		e->arrivals++;
		if (!e->body_discarded && acquire_retry(e))
			retry(e);
		else
			entry_fail(e, ENTRY_FAIL_OVERLOAD,
			    relay_retry_after_ms(
				RETRY_AFTER_SERVERS_FULL, e->target_ms));
		return;
	case VERDICT_OVERLOADED:
	case VERDICT_UNAVAILABLE:
		if (e->attempt_count < ATTEMPTS_MAX && !e->body_discarded &&
		    now + RETRY_TIME_MIN_MS < e->answer_by_ms)
			retry(e);
		else
			entry_fail(e, ENTRY_FAIL_OVERLOAD,
			    relay_retry_after_ms(
				RETRY_AFTER_SERVERS_FULL, e->target_ms));
		return;
	case VERDICT_SUSPECT:
		entry_fail(e, ENTRY_FAIL_SUSPECT, 0);
		return;
	case VERDICT_UNKNOWN:
	case VERDICT_MAX:
		break;
	}
	e->arrivals++;
	e->may_have_run = 1;
	if (e->idempotent && !e->body_discarded && acquire_retry(e))
		retry(e);
	else
		entry_fail(e, ENTRY_FAIL_BROKEN_EXCHANGE, 0);
}

/*
 * Handles an attempt that failed before the end of the response.
 */
static void
on_attempt_fail(void *ctx, struct h1_exchange *x, enum h1_failure failure)
{
	struct entry_req *e = ctx;
	struct relay *r = e->relay;
	struct relay_link *l = relay_link(r, e->attempt_node);
	uint64_t avoid_for_ms, now = relay_now(r);

	(void)x;
	if (failure == H1_NOT_SENT) {
		avoid_for_ms =
		    (uint64_t)AVOID_MIN_MS
		    << (l->connect_failure_run < 4 ? l->connect_failure_run
						   : 4);
		l->avoid_until_ms =
		    now +
		    (avoid_for_ms < AVOID_MAX_MS ? avoid_for_ms : AVOID_MAX_MS);
		l->connect_failure_run++;
		record_attempt(e, 0);
		if (e->attempt_count < ATTEMPTS_MAX && !e->body_discarded &&
		    now + RETRY_TIME_MIN_MS < e->answer_by_ms)
			retry(e);
		else
			entry_fail(e, ENTRY_FAIL_NO_SERVER,
			    relay_retry_after_ms(
				RETRY_AFTER_SERVERS_FULL, e->target_ms));
		return;
	}
	record_attempt(e, 1);
	e->arrivals++;
	e->may_have_run = 1;
	if (!e->answer_started && e->idempotent && !e->body_discarded &&
	    acquire_retry(e))
		retry(e);
	else
		entry_fail(e, ENTRY_FAIL_BROKEN_EXCHANGE, 0);
}
