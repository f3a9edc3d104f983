#include <ctype.h>
#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "event/event.h"
#include "relay/relay_int.h"

#define BODY_RETAINED_MAX_BYTES 393216 /* of one body, for retries */
#define BODY_MEMORY_DIVISOR 4	       /* bodies may use 1/4 of the memory */
#define TIMEOUT_GRACE_MS 30 /* lets the server's own timeout answer arrive */
#define RANDOM_BITS 32

static int outlasts_stop(const struct relay *, uint64_t);
static void on_request_headers(void *, struct h1_conn *);
static void on_request_body(void *, struct h1_conn *, const char *, size_t);
static void on_request_end(void *, struct h1_conn *);
static void on_caller_disconnect(void *, struct h1_conn *);
static void on_caller_drained(void *, struct h1_conn *);
static struct entry_req *entry_new(struct relay *, struct h1_conn *);
static const struct config_route *find_route(
    struct relay *, const struct h1_head *);
static enum entry_fail resolve_workspace(
    struct entry_req *, const struct config_route *, const struct h1_head *);
static void choose_split_service(
    struct entry_req *, const struct config_route *);
static void attach_to_parent(struct entry_req *, const struct h1_head *);

const struct h1_server_ops entry_ops = { on_request_headers, on_request_body,
	on_request_end, on_caller_disconnect, on_caller_drained };

/* Status, counter and reason of a failure. */
struct failure_desc {
	unsigned int status;
	enum relay_counter counter;
	const char *reason;
};

static const struct failure_desc failure_descs[ENTRY_FAIL_MAX] = {
	[ENTRY_FAIL_NO_CONFIG] = { 503, RELAY_REFUSED, "no-configuration" },
	[ENTRY_FAIL_NO_ROUTE] = { 404, RELAY_NO_ROUTE, "no-route" },
	[ENTRY_FAIL_NO_KEY] = { 401, RELAY_NO_KEY, "no-key" },
	[ENTRY_FAIL_STALE_CONFIG] = { 503, RELAY_CONFIG_STALE,
	    "configuration-stale" },
	[ENTRY_FAIL_OVER_RATE] = { 429, RELAY_OVER_RATE, "over-rate" },
	[ENTRY_FAIL_NO_LIMIT_OWNER] = { 503, RELAY_REFUSED, "limit-unknown" },
	[ENTRY_FAIL_THROTTLED] = { 503, RELAY_THROTTLED, "overload-below" },
	[ENTRY_FAIL_NO_SERVER] = { 503, RELAY_REFUSED, "no-server" },
	[ENTRY_FAIL_OVERLOAD] = { 503, RELAY_REFUSED, "overload" },
	[ENTRY_FAIL_TIMEOUT_UNSENT] = { 503, RELAY_TIMEOUTS,
	    "timeout-not-run" },
	[ENTRY_FAIL_TIMEOUT] = { 504, RELAY_TIMEOUTS, "timeout" },
	[ENTRY_FAIL_BROKEN_EXCHANGE] = { 502, RELAY_FAILED, "broken-exchange" },
	[ENTRY_FAIL_SUSPECT] = { 503, RELAY_REFUSED, "crashes-servers" },
	[ENTRY_FAIL_STOPPING] = { 503, RELAY_REFUSED, "node-leaving" },
	[ENTRY_FAIL_STOPPED] = { 504, RELAY_FAILED, "node-ended" },
};

/*
 * Allocates the state of a new request.
 */
static struct entry_req *
entry_new(struct relay *r, struct h1_conn *conn)
{
	struct entry_req *e;

	e = calloc(1, sizeof(*e));
	if (e == NULL)
		err(1, "out of memory");
	e->relay = r;
	e->conn = conn;
	e->attempt_node = RELAY_NO_LINK;
	e->started_ms = relay_now(r);
	e->next = r->entries;
	if (e->next != NULL)
		e->next->prev = e;
	r->entries = e;
	h1_text_init(&e->fields);
	h1_text_init(&e->answer);
	h1_conn_set_user(conn, e);
	relay_tick_start(r);
	return e;
}

/*
 * Frees a request.  Its connection stays open.
 */
void
entry_finish(struct entry_req *e)
{
	struct relay *r = e->relay;

	entry_leave_token_queue(e);
	entry_cancel_attempt(e);
	if (e->prev != NULL)
		e->prev->next = e->next;
	else
		r->entries = e->next;
	if (e->next != NULL)
		e->next->prev = e->prev;
	r->buffered_bytes -= e->body_cap;
	free(e->body);
	h1_text_finish(&e->fields);
	h1_text_finish(&e->answer);
	free(e);
}

/*
 * Records the result of a call by the local server.  A failed call also marks
 * the run that made it: the run is expected to fail, and this must not count
 * as a failure of the server.
 */
void
entry_record_call_result(struct entry_req *e, int refused, int failed)
{
	struct relay *r = e->relay;
	struct exit_req *parent = NULL;
	const char *id;
	size_t len;

	profile_set_call_ended(&r->profiles, e->parent_route, refused);
	id = h1_head_get(h1_conn_head(e->conn), r->set.names.request_id, &len);
	if (failed && id != NULL)
		parent = exit_parent(r, id, len);
	if (parent != NULL)
		parent->call_failed = 1;
}

/*
 * Returns 1 if a request failed because no node had a server or a free slot
 * for it.
 */
static int
is_capacity_failure(const struct entry_req *e, enum entry_fail cause)
{
	return cause == ENTRY_FAIL_NO_SERVER ||
	       (cause == ENTRY_FAIL_OVERLOAD &&
		   (e->verdict == VERDICT_OVERLOADED ||
		       e->verdict == VERDICT_UNAVAILABLE));
}

/*
 * Answers a request with an error.  If the request can't have run, the answer
 * tells the caller to retry after retry_after_ms (0: no such field).
 */
void
entry_fail(struct entry_req *e, enum entry_fail cause, uint64_t retry_after_ms)
{
	const struct failure_desc *d = &failure_descs[cause];
	struct relay *r = e->relay;
	struct h1_conn *conn = e->conn;
	struct h1_text fields;
	const char *id;
	size_t id_len;
	unsigned int status = d->status;

	/* A request that may have run can't be reported as refused. */
	if (e->may_have_run && (status == 503 || status == 429))
		status = 502;
	if (!e->may_have_run)
		entry_return_token(e);
	if (e->depth > 0)
		entry_record_call_result(e, is_capacity_failure(e, cause), 1);
	else if (cause == ENTRY_FAIL_OVER_RATE)
		load_record_over_rate(r, e->service, e->route, e->class);
	r->counters[d->counter]++;
	event_log(status == 502 || status == 504 ? EVENT_REQUEST_FAILED
						 : EVENT_REQUEST_REFUSED,
	    relay_now(r),
	    "id=%s service=%s status=%u reason=%s age_ms=%llu tries=%u "
	    "arrivals=%u class=%u workspace=%s retry_after_ms=%llu "
	    "config=%llu",
	    e->id, e->service, status, d->reason,
	    (unsigned long long)(relay_now(r) - e->started_ms),
	    e->attempt_count, e->arrivals, e->class,
	    e->ws_name[0] != '\0' ? e->ws_name : "-",
	    (unsigned long long)retry_after_ms,
	    (unsigned long long)(r->config != NULL ? r->config->version : 0));
	if (e->answer_started) {
		entry_finish(e);
		h1_conn_abort(conn);
		return;
	}
	h1_text_init(&fields);
	h1_text_add_field(&fields, "Cyclamen-Reason", d->reason);
	id = h1_head_get(h1_conn_head(conn), r->set.names.request_id, &id_len);
	if (id != NULL) {
		h1_text_addf(&fields, "%s: ", r->set.names.request_id);
		h1_text_add(&fields, id, id_len);
		h1_text_add(&fields, "\r\n", 2);
	}
	if (retry_after_ms > 0 && (status == 503 || status == 429))
		h1_text_addf(&fields, "Retry-After: %.3f\r\n",
		    (double)retry_after_ms / 1000);
	entry_finish(e);
	h1_conn_set_user(conn, NULL);
	h1_send_response(conn, status, &fields, NULL, 0);
	h1_text_finish(&fields);
}

/*
 * Returns the route of a request, or NULL if none matches.
 */
static const struct config_route *
find_route(struct relay *r, const struct h1_head *h)
{
	char host[CONFIG_HOST_MAX + 1], path[1024];
	size_t i, n = h->target_len;
	int route_index;

	if (h1_head_copy(h, "Host", host, sizeof(host)) < 1)
		return NULL;
	for (i = 0; host[i] != '\0' && host[i] != ':'; i++)
		host[i] = (char)tolower((unsigned char)host[i]);
	host[i] = '\0';
	if (n >= sizeof(path))
		n = sizeof(path) - 1;
	memcpy(path, h->buf + h->target, n);
	path[n] = '\0';
	route_index = config_route_match(r->config, host, path);
	return route_index < 0 ? NULL : &r->config->routes[route_index];
}

/*
 * Finds the workspace of a request by its key.  Returns ENTRY_FAIL_MAX on
 * success.
 */
static enum entry_fail
resolve_workspace(struct entry_req *e, const struct config_route *route,
    const struct h1_head *h)
{
	struct relay *r = e->relay;
	const struct config_key *k;
	const struct config_ws *w;
	char key[CONFIG_KEY_MAX + 1];

	if (route->open || r->config->ws_count == 0)
		return ENTRY_FAIL_MAX;
	/* A stale configuration may hold revoked keys or lack new ones. */
	if (relay_now(r) - r->config_proved_ms > r->set.fresh_ms)
		return ENTRY_FAIL_STALE_CONFIG;
	if (h1_head_copy(h, r->set.names.key, key, sizeof(key)) < 1)
		return ENTRY_FAIL_NO_KEY;
	k = config_key_find(r->config, key);
	if (k == NULL)
		return ENTRY_FAIL_NO_KEY;
	w = &r->config->workspaces[k->ws];
	snprintf(e->ws_name, sizeof(e->ws_name), "%s", w->name);
	e->ws_hash = w->hash;
	e->limit.rate = w->rate;
	e->limit.burst = w->burst;
	e->class = load_find_class(r, w->priority, route->priority);
	return ENTRY_FAIL_MAX;
}

/*
 * Chooses the service of a request; on a split route at random by weight.
 */
static void
choose_split_service(struct entry_req *e, const struct config_route *route)
{
	uint64_t weight_sum = 0, draw;
	uint32_t i;

	for (i = 0; i < route->part_count; i++)
		weight_sum += route->parts[i].weight;
	if (weight_sum == 0) {
		snprintf(e->service, sizeof(e->service), "%s", route->service);
		return;
	}
	draw = (relay_random() >> RANDOM_BITS) * weight_sum >> RANDOM_BITS;
	for (i = 0; i + 1 < route->part_count; i++) {
		if (draw < route->parts[i].weight)
			break;
		draw -= route->parts[i].weight;
	}
	snprintf(e->service, sizeof(e->service), "%s", route->parts[i].service);
}

/*
 * Gives a call by the local server the class and root hash of the run that
 * made it, because all calls of a root request share its priority.  If the run
 * isn't known, the call gets the most important class, since work has already
 * been done for it.
 */
static void
attach_to_parent(struct entry_req *e, const struct h1_head *h)
{
	struct relay *r = e->relay;
	const struct exit_req *parent = NULL;
	const char *id;
	size_t len;

	id = h1_head_get(h, r->set.names.request_id, &len);
	if (id != NULL)
		parent = exit_parent(r, id, len);
	e->parent_known = parent != NULL;
	e->parent_route = parent != NULL ? parent->route : 0;
	e->depth = parent != NULL ? parent->depth + 1 : 1;
	e->class = parent != NULL ? parent->class : ADMISSION_CRITICAL;
	if (parent != NULL)
		e->root_hash = parent->root_hash;
}

/*
 * Returns 1 if this node is stopping and a root request that may take the given
 * time (ms) might not end before it does.  Callers are still told to come here
 * for the first while, and what they send then is accepted.  Calls by runs in
 * progress always are, as those runs have to end.
 */
static int
outlasts_stop(const struct relay *r, uint64_t remaining_ms)
{
	uint64_t age_ms = relay_now(r) - r->stop_began_ms;

	return r->stopping && age_ms > r->set.accept_calls_ms &&
	       age_ms + remaining_ms > r->set.stop_timeout_ms;
}

/*
 * Handles the headers of a request: admits the request or answers with an
 * error.
 */
static void
on_request_headers(void *ctx, struct h1_conn *conn)
{
	struct relay *r = ctx;
	const struct h1_head *h = h1_conn_head(conn);
	const struct config_route *route;
	struct entry_req *e = entry_new(r, conn);
	enum entry_fail cause;
	uint64_t remaining_ms;

	relay_copy_request_id(r, h, e->id);
	if (r->config == NULL) {
		entry_fail(e, ENTRY_FAIL_NO_CONFIG,
		    relay_retry_after_ms(RETRY_AFTER_NO_CONFIG, e->target_ms));
		return;
	}
	route = find_route(r, h);
	if (route == NULL) {
		entry_fail(e, ENTRY_FAIL_NO_ROUTE, 0);
		return;
	}
	e->route = config_route_id(route->name);
	e->target_ms = route->target_ms;
	e->class = load_find_class(r, 0, route->priority);
	cause = resolve_workspace(e, route, h);
	if (cause != ENTRY_FAIL_MAX) {
		entry_fail(e, cause,
		    relay_retry_after_ms(RETRY_AFTER_REFUSED, e->target_ms));
		return;
	}
	e->root_hash = relay_random();
	if (route->open)
		attach_to_parent(e, h);
	r->counters[e->depth > 0 ? RELAY_CALLS : RELAY_REQUESTS]++;
	choose_split_service(e, route);
	remaining_ms =
	    h1_head_get_number(h, r->set.names.deadline_ms, route->deadline_ms);
	e->deadline_ms = e->started_ms + remaining_ms;
	if (remaining_ms > route->deadline_ms)
		remaining_ms = route->deadline_ms;
	e->answer_by_ms = e->started_ms + remaining_ms;
	if (e->depth > 0) {
		profile_set_call_started(&r->profiles, e->parent_route,
		    e->service, e->route, e->parent_known);
	} else if (outlasts_stop(r, remaining_ms)) {
		entry_fail(e, ENTRY_FAIL_STOPPING,
		    relay_retry_after_ms(
			RETRY_AFTER_SERVERS_FULL, e->target_ms));
		return;
	} else if (!load_admit_root(r, e->service, e->route, e->class)) {
		entry_fail(e, ENTRY_FAIL_THROTTLED,
		    relay_retry_after_ms(RETRY_AFTER_THROTTLED, e->target_ms));
		return;
	}
	e->idempotent = route->idempotent;
	e->arrivals_max = route->retries + 1;
	e->content_length =
	    h1_conn_has_body(conn) ? h1_conn_body_length(conn) : 0;
	budget_add_request(
	    relay_budget(r, e->service), r->set.retry_ratio, relay_now(r));
	if (entry_acquire_token(e) == 0)
		entry_send_attempt(e);
}

/*
 * Retains a piece of the request body for retries and forwards it.
 */
static void
on_request_body(void *ctx, struct h1_conn *conn, const char *p, size_t n)
{
	struct relay *r = ctx;
	struct entry_req *e = h1_conn_user(conn);
	size_t cap;

	if (e == NULL)
		return;
	if (e->xchg != NULL)
		entry_forward_body(e, p, n);
	if (e->body_discarded)
		return;
	if (e->body_len + n > BODY_RETAINED_MAX_BYTES ||
	    r->buffered_bytes + n > r->set.memory_bytes / BODY_MEMORY_DIVISOR) {
		/* Too large to retain: the request can't be retried. */
		if (e->xchg != NULL) {
			e->body_discarded = 1;
			r->buffered_bytes -= e->body_cap;
			free(e->body);
			e->body = NULL;
			e->body_len = e->body_cap = 0;
			return;
		}
		h1_conn_pause(conn);
	}
	if (e->body_len + n > e->body_cap) {
		cap = e->body_cap == 0 ? 4096 : e->body_cap;
		while (cap < e->body_len + n)
			cap *= 2;
		r->buffered_bytes += cap - e->body_cap;
		e->body = realloc(e->body, cap);
		if (e->body == NULL)
			err(1, "out of memory");
		e->body_cap = cap;
	}
	memcpy(e->body + e->body_len, p, n);
	e->body_len += n;
}

/*
 * Handles the end of the request body.
 */
static void
on_request_end(void *ctx, struct h1_conn *conn)
{
	struct entry_req *e = h1_conn_user(conn);

	(void)ctx;
	if (e == NULL)
		return;
	e->body_complete = 1;
	if (e->xchg != NULL)
		h1_send_request_end(e->xchg);
}

/*
 * Cancels the request of a caller that disconnected.
 */
static void
on_caller_disconnect(void *ctx, struct h1_conn *conn)
{
	struct relay *r = ctx;
	struct entry_req *e = h1_conn_user(conn);

	if (e == NULL)
		return;
	r->counters[RELAY_CALLER_DISCONNECTED]++;
	event_log(EVENT_CALLER_DISCONNECTED, relay_now(r),
	    "id=%s service=%s age_ms=%llu state=%d", e->id, e->service,
	    (unsigned long long)(relay_now(r) - e->started_ms), (int)e->state);
	if (!e->may_have_run && e->xchg == NULL)
		entry_return_token(e);
	entry_finish(e);
}

/*
 * Resumes the answer when the caller has read what was buffered.
 */
static void
on_caller_drained(void *ctx, struct h1_conn *conn)
{
	struct entry_req *e = h1_conn_user(conn);

	(void)ctx;
	if (e != NULL && e->xchg != NULL)
		h1_exchange_resume(e->xchg);
}

/*
 * Ends requests that have run out of time.
 */
void
entry_fail_overdue(struct relay *r)
{
	struct entry_req *e, *next;
	uint64_t now = relay_now(r);

	for (e = r->entries; e != NULL; e = next) {
		next = e->next;
		if (e->answer_started)
			continue;
		if (e->xchg != NULL &&
		    now >= e->answer_by_ms + TIMEOUT_GRACE_MS)
			entry_close_idle(e);
		if (now >=
		    e->answer_by_ms + (e->xchg != NULL ? TIMEOUT_GRACE_MS : 0))
			entry_fail(e,
			    e->may_have_run || e->xchg != NULL
				? ENTRY_FAIL_TIMEOUT
				: ENTRY_FAIL_TIMEOUT_UNSENT,
			    relay_retry_after_ms(
				RETRY_AFTER_TIMEOUT, e->target_ms));
	}
}

/*
 * Ends all requests whose answers haven't begun, before this node ends: those
 * that a server may have got with an error that doesn't say otherwise.
 */
void
relay_fail_requests(struct relay *r)
{
	struct entry_req *e, *next;

	for (e = r->entries; e != NULL; e = next) {
		next = e->next;
		if (!e->answer_started)
			entry_fail(e,
			    e->may_have_run || e->xchg != NULL
				? ENTRY_FAIL_STOPPED
				: ENTRY_FAIL_STOPPING,
			    relay_retry_after_ms(
				RETRY_AFTER_SERVERS_FULL, e->target_ms));
	}
}
