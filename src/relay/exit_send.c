#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "event/event.h"
#include "relay/relay_int.h"

/* Responses up to this size are sent in one piece. */
#define RESPONSE_BUFFER_BYTES 16384
/* Longest body of a refusal or an invalid response. */
#define IGNORED_BODY_MAX_BYTES 65536
#define IDLE_ANY_MS UINT64_MAX
/*
 * For requests that can't be repeated: a connection idle for longer may break.
 */
#define IDLE_UNSAFE_MS 3000
/* First wait before connecting again to a server that refused a connection. */
#define RECONNECT_MS 200
#define RECONNECT_DOUBLINGS 3
#define US_PER_MS 1000

static uint64_t max_idle_ms(const struct exit_req *);
static int on_response_head(void *, struct h1_exchange *);
static void end_endless_response(struct exit_req *);
static void on_response_body(
    void *, struct h1_exchange *, const char *, size_t);
static void on_response_end(void *, struct h1_exchange *);
static void on_exchange_failed(void *, struct h1_exchange *, enum h1_failure);
static void on_request_drained(void *, struct h1_exchange *);
static void compose_request_head(struct exit_req *, struct h1_text *);
static void add_exit_field(
    struct exit_req *, struct h1_text *, enum relay_verdict);
static enum relay_verdict classify_response(
    struct exit_req *, const struct h1_head *);
static int matches_request(const struct exit_req *, const struct h1_head *);
static void note_server_state(struct exit_req *, const struct h1_head *);
static void mark_server_down(struct relay *);

/*
 * Header fields between nodes.  They are never passed to or taken from a
 * server.
 */
static const char *const internal_fields[] = { RELAY_HOP, RELAY_EXIT,
	RELAY_SEAL, NULL };

static const struct h1_client_ops server_ops = { on_response_head,
	on_response_body, on_response_end, on_exchange_failed,
	on_request_drained };

/*
 * Composes the request head for the server.
 */
static void
compose_request_head(struct exit_req *e, struct h1_text *t)
{
	const struct relay_header_names *names = &e->relay->set.names;
	const struct h1_head *h = h1_conn_head(e->conn);
	uint64_t now = relay_now(e->relay);

	h1_text_addf(t, "%s ", h1_conn_method(e->conn));
	h1_text_add(t, h->buf + h->target, h->target_len);
	h1_text_add(t, " HTTP/1.1\r\n", 11);
	h1_text_add_forwarded(t, h, internal_fields);
	h1_text_addf(t, "%s: %llu\r\n", names->deadline_ms,
	    (unsigned long long)(e->deadline_ms > now ? e->deadline_ms - now
						      : 1));
	h1_text_add_field(t, names->expected_instance, e->relay->server.id);
	h1_text_add_field(t, names->caller, e->caller);
	if (e->ws_name[0] != '\0')
		h1_text_add_field(t, names->workspace, e->ws_name);
	if (e->body_length == H1_LENGTH_UNKNOWN)
		h1_text_add_field(t, "Transfer-Encoding", "chunked");
	else if (e->body_length > 0)
		h1_text_addf(t, "Content-Length: %llu\r\n",
		    (unsigned long long)e->body_length);
	h1_text_add(t, "\r\n", 2);
}

/*
 * Returns how long a connection may have been idle before it is used for a
 * request.  One without an id gets a new connection: on a used one, a late
 * response to an earlier request couldn't be told from its own.
 */
static uint64_t
max_idle_ms(const struct exit_req *e)
{
	if (e->full_id == NULL)
		return 0;
	return e->idempotent ? IDLE_ANY_MS : IDLE_UNSAFE_MS;
}

/*
 * Sends a request to the server, which has a free slot.  Ends the request if
 * its entry has cancelled it.
 */
void
exit_send(struct exit_req *e)
{
	struct relay *r = e->relay;
	struct h1_text t;

	e->running = 1;
	e->sent_ms = relay_now(r);
	profile_set_run_started(&r->profiles, e->route);
	if (h1_conn_close_if_left(e->conn))
		return;
	rate_cap_take(&r->cap);
	h1_text_init(&t);
	compose_request_head(e, &t);
	if (e->body_length != H1_LENGTH_UNKNOWN)
		h1_text_add(&t, e->body.p, e->body.len);
	e->xchg = h1_send_request(&r->server_pool, &t, e->body_length,
	    strcmp(h1_conn_method(e->conn), "HEAD") == 0, max_idle_ms(e),
	    &server_ops, e);
	h1_text_finish(&t);
	if (e->body_length == H1_LENGTH_UNKNOWN)
		h1_send_request_body(e->xchg, e->body.p, e->body.len);
	r->buffered_bytes -= e->body.cap;
	h1_text_finish(&e->body);
	if (e->body_complete)
		h1_send_request_end(e->xchg);
	h1_conn_resume(e->conn);
}

/*
 * Adds the header field with this node's verdict and the load of its server.
 */
static void
add_exit_field(
    struct exit_req *e, struct h1_text *t, enum relay_verdict verdict)
{
	struct admission_core *c = &e->relay->core;

	h1_text_addf(t, "%s: %s %u %u %u %d\r\n", RELAY_EXIT,
	    relay_verdict_names[verdict], c->inflight, c->queued,
	    relay_server_slots(e->relay), e->call_failed);
}

/*
 * Releases the slot of a request and records its outcome.
 */
void
exit_complete(struct exit_req *e, enum admission_outcome outcome)
{
	struct relay *r = e->relay;
	uint64_t now = relay_now(r);

	if (e->solo) {
		e->solo = 0;
		r->solo_running--;
	}
	if (!e->running)
		return;
	e->running = 0;
	load_update(r);
	profile_set_run_ended(&r->profiles, e->route);
	if (outcome == ADMISSION_SERVED ||
	    (outcome != ADMISSION_CANCELLED && !e->call_failed))
		choice_record_attempt(
		    &r->health, outcome != ADMISSION_SERVED, now);
	core_release(&r->core, &e->waiter, outcome,
	    (now - e->sent_ms) * US_PER_MS, now * US_PER_MS);
}

/*
 * Refuses or fails a request without a response from the server.
 */
void
exit_refuse(struct exit_req *e, enum relay_verdict verdict, const char *reason)
{
	struct relay *r = e->relay;
	struct h1_conn *conn = e->conn;
	struct h1_text fields;

	r->counters[verdict == VERDICT_UNKNOWN ? RELAY_EXIT_FAILED
					       : RELAY_EXIT_REFUSED]++;
	event_log(verdict == VERDICT_UNKNOWN ? EVENT_SERVER_FAILURE
					     : EVENT_SERVER_REFUSAL,
	    relay_now(r),
	    "id=%s verdict=%s reason=%s running=%u waiting=%u limit=%u "
	    "server=%s",
	    e->id, relay_verdict_names[verdict], reason, r->core.inflight,
	    r->core.queued, limiter_value(&r->core.limiter), r->server.id);
	h1_text_init(&fields);
	add_exit_field(e, &fields, verdict);
	exit_complete(e, verdict == VERDICT_REJECTED ? ADMISSION_REJECTED
						     : ADMISSION_FAILED);
	exit_free(e);
	h1_conn_set_user(conn, NULL);
	h1_send_response(
	    conn, verdict == VERDICT_UNKNOWN ? 502 : 503, &fields, NULL, 0);
	h1_conn_resume(conn);
	h1_text_finish(&fields);
}

/*
 * Determines the verdict from the head of a response.
 */
static enum relay_verdict
classify_response(struct exit_req *e, const struct h1_head *h)
{
	const struct relay_header_names *names = &e->relay->set.names;
	size_t n;

	if (h1_head_get(h, names->not_executed, &n) != NULL || e->status == 421)
		return VERDICT_REJECTED;
	if (h1_head_get(h, "Content-Encoding", &n) != NULL)
		return VERDICT_UNKNOWN;
	if (e->status < 400 && h1_head_get(h, names->signature, &n) == NULL)
		return VERDICT_UNKNOWN;
	return VERDICT_RAN;
}

/*
 * Returns whether a response has the id of this request, compared in full.  A
 * request without an id matches only a response without one.
 */
static int
matches_request(const struct exit_req *e, const struct h1_head *h)
{
	const char *name = e->relay->set.names.request_id, *sent_id,
		   *received_id;
	size_t sent_len, received_len;

	sent_id = h1_head_get(h1_conn_head(e->conn), name, &sent_len);
	received_id = h1_head_get(h, name, &received_len);
	if (sent_id == NULL)
		return received_id == NULL;
	return received_id != NULL && received_len == sent_len &&
	       memcmp(received_id, sent_id, sent_len) == 0;
}

/*
 * Reads from a response what the server says of itself: the rate that it takes,
 * and whether it is shutting down.  With status 421 the response comes from
 * another server.
 */
static void
note_server_state(struct exit_req *e, const struct h1_head *h)
{
	struct relay *r = e->relay;
	const struct relay_header_names *names = &r->set.names;
	char text[32], *end;
	double per_s = 0;
	int named;

	if (e->waiter.epoch != r->core.epoch || e->status == 421 ||
	    (e->verdict != VERDICT_RAN && e->verdict != VERDICT_REJECTED))
		return;
	named = h1_head_copy(h, names->rate_limit, text, sizeof(text)) > 0;
	if (named) {
		per_s = strtod(text, &end);
		named = end != text && *end == '\0' && isfinite(per_s) &&
			per_s >= 0;
		if (!named)
			event_log(EVENT_SERVER_RATE, relay_now(r),
			    "server=%s invalid=\"%s\"", r->server.id, text);
	}
	if (rate_cap_note_answer(&r->cap, named ? &per_s : NULL, relay_now(r)))
		event_log(EVENT_SERVER_RATE, relay_now(r),
		    "server=%s active=%d per_s=%.2f slots=%u", r->server.id,
		    r->cap.active, r->cap.per_s, relay_server_slots(r));
	if (h1_head_copy(h, names->leaving, text, sizeof(text)) > 0 &&
	    strcmp(text, "1") == 0)
		relay_server_leaves(r, "answer");
}

/*
 * Handles a response head.  Returns 1 to skip a response to another request.
 */
static int
on_response_head(void *ctx, struct h1_exchange *x)
{
	struct exit_req *e = ctx;
	const struct h1_head *h = h1_exchange_head(x);

	if (!matches_request(e, h)) {
		e->relay->counters[RELAY_ANSWERS_SKIPPED]++;
		return 1;
	}
	e->status = h1_exchange_status(x);
	e->answer_length = h1_exchange_body_length(x);
	e->verdict = classify_response(e, h);
	note_server_state(e, h);
	h1_text_add_forwarded(&e->fields, h, internal_fields);
	return 0;
}

/*
 * Ends a request whose refusal or invalid response doesn't end.  That is no
 * answer, so the request may have run.
 */
static void
end_endless_response(struct exit_req *e)
{
	struct relay *r = e->relay;
	struct h1_exchange *x = e->xchg;

	e->xchg = NULL;
	h1_exchange_cancel(x);
	exit_refuse(e, VERDICT_UNKNOWN, "answer-endless");
	exit_run_queued(r);
}

/*
 * Buffers a part of the response body, or forwards it once the response is
 * larger than the buffer.
 */
static void
on_response_body(void *ctx, struct h1_exchange *x, const char *p, size_t n)
{
	struct exit_req *e = ctx;

	if (e->verdict != VERDICT_RAN) {
		e->ignored_bytes += n;
		if (e->ignored_bytes > IGNORED_BODY_MAX_BYTES)
			end_endless_response(e);
		return;
	}
	if (!e->streaming && e->answer.len + n <= RESPONSE_BUFFER_BYTES) {
		h1_text_add(&e->answer, p, n);
		return;
	}
	if (!e->streaming) {
		e->streaming = 1;
		add_exit_field(e, &e->fields, VERDICT_RAN);
		h1_send_response_head(
		    e->conn, e->status, &e->fields, e->answer_length);
		h1_send_response_body(e->conn, e->answer.p, e->answer.len);
		h1_text_finish(&e->answer);
	}
	h1_send_response_body(e->conn, p, n);
	if (h1_conn_unsent_bytes(e->conn) > H1_WRITE_QUEUE_HIGH_BYTES)
		h1_exchange_pause(x);
}

/*
 * Handles the end of a response.
 */
static void
on_response_end(void *ctx, struct h1_exchange *x)
{
	struct exit_req *e = ctx;
	struct relay *r = e->relay;
	struct h1_conn *conn = e->conn;

	(void)x;
	e->xchg = NULL;
	if (r->server.connect_failures > 0)
		event_log(EVENT_SERVER_REGAINED, relay_now(r), "server=%s",
		    r->server.id);
	r->server.connect_failures = 0;
	if (e->verdict == VERDICT_REJECTED) {
		r->counters[RELAY_EXIT_SERVER_REJECTED]++;
		exit_refuse(e, VERDICT_REJECTED, "server");
		exit_run_queued(r);
		return;
	}
	if (e->verdict != VERDICT_RAN) {
		exit_refuse(e, VERDICT_UNKNOWN, "answer-invalid");
		exit_run_queued(r);
		return;
	}
	suspect_note_served(e);
	r->counters[RELAY_EXIT_SERVED]++;
	latency_add(&r->server_latency, relay_now(r) - e->sent_ms);
	exit_complete(e, e->status < 500    ? ADMISSION_SERVED
			 : e->status == 504 ? ADMISSION_TIMEOUT
					    : ADMISSION_FAILED);
	if (e->streaming) {
		h1_send_response_end(conn);
	} else {
		add_exit_field(e, &e->fields, VERDICT_RAN);
		h1_conn_set_user(conn, NULL);
		h1_send_response(
		    conn, e->status, &e->fields, e->answer.p, e->answer.len);
	}
	h1_conn_resume(conn);
	exit_free(e);
	exit_run_queued(r);
}

/*
 * Marks the server as down after it refused a connection.  The wait before
 * the next connection doubles with each failure.
 */
static void
mark_server_down(struct relay *r)
{
	struct relay_server *s = &r->server;
	uint64_t now = relay_now(r);
	int crashed;

	if (s->down_until_ms > now)
		return;
	crashed = s->connect_failures == 0;
	s->down_until_ms =
	    now + ((uint64_t)RECONNECT_MS
		      << (s->connect_failures < RECONNECT_DOUBLINGS
				 ? s->connect_failures
				 : RECONNECT_DOUBLINGS));
	s->connect_failures++;
	event_log(EVENT_SERVER_LOST, now, "server=%s retry_in_ms=%llu", s->id,
	    (unsigned long long)(s->down_until_ms - now));
	suspect_server_down(r, crashed);
	fleet_send_heartbeat_all(&r->net, 0);
}

/*
 * Handles a failed exchange with the server.
 */
static void
on_exchange_failed(void *ctx, struct h1_exchange *x, enum h1_failure failure)
{
	struct exit_req *e = ctx;
	struct relay *r = e->relay;
	struct h1_conn *conn = e->conn;

	(void)x;
	e->xchg = NULL;
	if (failure == H1_NOT_SENT) {
		mark_server_down(r);
		exit_refuse(e, VERDICT_UNAVAILABLE, "no-connection");
		exit_run_queued(r);
		return;
	}
	if (failure == H1_INCOMPLETE && e->status == 0)
		suspect_note_broken(e);
	if (e->streaming) {
		r->counters[RELAY_EXIT_FAILED]++;
		event_log(EVENT_SERVER_FAILURE, relay_now(r),
		    "id=%s verdict=unknown reason=cut-answer server=%s", e->id,
		    r->server.id);
		exit_complete(e, ADMISSION_FAILED);
		exit_free(e);
		h1_conn_set_user(conn, NULL);
		h1_conn_abort(conn);
	} else {
		exit_refuse(e, VERDICT_UNKNOWN,
		    failure == H1_INCOMPLETE ? "broken" : "garbled");
	}
	exit_run_queued(r);
}

/*
 * Resumes reading the request when the server has received what was buffered
 * for it.
 */
static void
on_request_drained(void *ctx, struct h1_exchange *x)
{
	struct exit_req *e = ctx;

	(void)x;
	h1_conn_resume(e->conn);
}
