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

static int is_past_stop_limit(const struct relay *);
static void on_request_headers(void *, struct h1_conn *);
static void on_request_body(void *, struct h1_conn *, const char *, size_t);
static void on_request_end(void *, struct h1_conn *);
static void on_caller_disconnect(void *, struct h1_conn *);
static void on_caller_drained(void *, struct h1_conn *);
static struct entry_req *entry_new(struct relay *, struct h1_conn *);
static const struct config_route *find_route(
    struct relay *, const struct h1_head *);
static enum entry_end resolve_workspace(
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

static const struct failure_desc failure_descs[END_MAX] = {
	[END_NO_CONFIG] = { 503, RELAY_REFUSED, "no-configuration" },
	[END_NO_ROUTE] = { 404, RELAY_NO_ROUTE, "no-route" },
	[END_NO_KEY] = { 401, RELAY_NO_KEY, "no-key" },
	[END_STALE] = { 503, RELAY_STALE, "configuration-stale" },
	[END_OVER_RATE] = { 429, RELAY_OVER_RATE, "over-rate" },
	[END_NO_OWNER] = { 503, RELAY_REFUSED, "limit-unknown" },
	[END_THROTTLED] = { 503, RELAY_THROTTLED, "overload-below" },
	[END_NO_SERVER] = { 503, RELAY_REFUSED, "no-server" },
	[END_OVERLOAD] = { 503, RELAY_REFUSED, "overload" },
	[END_TIMEOUT_UNSENT] = { 503, RELAY_TIMEOUTS, "timeout-not-run" },
	[END_TIMEOUT] = { 504, RELAY_TIMEOUTS, "timeout" },
	[END_BROKEN] = { 502, RELAY_FAILED, "broken-exchange" },
	[END_SUSPECT] = { 503, RELAY_REFUSED, "crashes-servers" },
	[END_LEAVING] = { 503, RELAY_REFUSED, "node-leaving" },
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
	e->link = RELAY_NO_LINK;
	e->began_ms = relay_now(r);
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

	entry_limit_leave(e);
	entry_stop_attempt(e);
	if (e->prev != NULL)
		e->prev->next = e->next;
	else
		r->entries = e->next;
	if (e->next != NULL)
		e->next->prev = e->prev;
	r->held_bytes -= e->body_cap;
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
entry_call_ended(struct entry_req *e, int refused, int failed)
{
	struct relay *r = e->relay;
	struct exit_req *parent = NULL;
	const char *id;
	size_t len;

	profile_call_ended(&r->profile, refused);
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
is_capacity_failure(const struct entry_req *e, enum entry_end cause)
{
	return cause == END_NO_SERVER ||
	       (cause == END_OVERLOAD &&
		   (e->verdict == VERDICT_BUSY || e->verdict == VERDICT_AWAY));
}

/*
 * Answers a request with an error.  If the request can't have run, the answer
 * tells the caller to retry after retry_after_ms (0: no such field).
 */
void
entry_end(struct entry_req *e, enum entry_end cause, uint64_t retry_after_ms)
{
	const struct failure_desc *d = &failure_descs[cause];
	struct relay *r = e->relay;
	struct h1_conn *conn = e->conn;
	struct h1_text fields;
	const char *id;
	size_t id_len;
	unsigned int status = d->status;

	/* A request that may have run can't be reported as refused. */
	if (e->maybe_run && (status == 503 || status == 429))
		status = 502;
	if (!e->maybe_run)
		entry_token_back(e);
	if (e->depth > 0)
		entry_call_ended(e, is_capacity_failure(e, cause), 1);
	else if (cause == END_OVER_RATE)
		load_over_rate(r, e->service, e->class);
	r->counters[d->counter]++;
	event_log(status == 502 || status == 504 ? EVENT_FAILED : EVENT_REFUSED,
	    relay_now(r),
	    "id=%s service=%s status=%u reason=%s age_ms=%llu tries=%u "
	    "arrivals=%u class=%u workspace=%s retry_after_ms=%llu "
	    "config=%llu",
	    e->id, e->service, status, d->reason,
	    (unsigned long long)(relay_now(r) - e->began_ms), e->tries,
	    e->arrivals, e->class, e->ws_name[0] != '\0' ? e->ws_name : "-",
	    (unsigned long long)retry_after_ms,
	    (unsigned long long)(r->config != NULL ? r->config->version : 0));
	if (e->passing) {
		entry_finish(e);
		h1_conn_abort(conn);
		return;
	}
	h1_text_init(&fields);
	h1_text_field(&fields, "Cyclamen-Reason", d->reason);
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
	h1_answer(conn, status, &fields, NULL, 0);
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
 * Finds the workspace of a request by its key.  Returns END_MAX on success.
 */
static enum entry_end
resolve_workspace(struct entry_req *e, const struct config_route *route,
    const struct h1_head *h)
{
	struct relay *r = e->relay;
	const struct config_key *k;
	const struct config_ws *w;
	char key[CONFIG_KEY_MAX + 1];

	if (route->open || r->config->ws_count == 0)
		return END_MAX;
	/* A stale configuration may hold revoked keys or lack new ones. */
	if (relay_now(r) - r->proved_ms > r->set.fresh_ms)
		return END_STALE;
	if (h1_head_copy(h, r->set.names.key, key, sizeof(key)) < 1)
		return END_NO_KEY;
	k = config_key_find(r->config, key);
	if (k == NULL)
		return END_NO_KEY;
	w = &r->config->workspaces[k->ws];
	snprintf(e->ws_name, sizeof(e->ws_name), "%s", w->name);
	e->ws = w->hash;
	e->limit.rate = w->rate;
	e->limit.burst = w->burst;
	e->class = load_class(r, w->priority, route->priority);
	return END_MAX;
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
	e->chained = parent != NULL;
	e->depth = parent != NULL ? parent->depth + 1 : 1;
	e->class = parent != NULL ? parent->class : ADMISSION_CRITICAL;
	if (parent != NULL)
		e->root_hash = parent->root_hash;
}

/*
 * Returns 1 if this node is stopping and a new root request might not finish
 * in time.  Calls by runs in progress are still accepted, as those runs have
 * to finish.
 */
static int
is_past_stop_limit(const struct relay *r)
{
	return r->stopping && relay_now(r) - r->stop_ms > r->set.take_ms;
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
	enum entry_end cause;
	uint64_t remaining_ms;

	relay_id(r, h, e->id);
	if (r->config == NULL) {
		entry_end(e, END_NO_CONFIG,
		    relay_comeback(COMEBACK_NO_CONFIG, e->target_ms));
		return;
	}
	route = find_route(r, h);
	if (route == NULL) {
		entry_end(e, END_NO_ROUTE, 0);
		return;
	}
	e->target_ms = route->target_ms;
	e->class = load_class(r, 0, route->priority);
	cause = resolve_workspace(e, route, h);
	if (cause != END_MAX) {
		entry_end(
		    e, cause, relay_comeback(COMEBACK_REFUSED, e->target_ms));
		return;
	}
	e->root_hash = relay_random();
	if (route->open)
		attach_to_parent(e, h);
	r->counters[e->depth > 0 ? RELAY_CALLS : RELAY_REQUESTS]++;
	choose_split_service(e, route);
	if (e->depth > 0) {
		profile_called(&r->profile, e->service, e->chained);
	} else if (is_past_stop_limit(r)) {
		entry_end(e, END_LEAVING,
		    relay_comeback(COMEBACK_FULL, e->target_ms));
		return;
	} else if (!load_admits(r, e->service, e->class)) {
		entry_end(e, END_THROTTLED,
		    relay_comeback(COMEBACK_THROTTLED, e->target_ms));
		return;
	}
	e->idempotent = route->idempotent;
	e->arrivals_max = route->retries + 1;
	remaining_ms =
	    h1_head_number(h, r->set.names.deadline_ms, route->deadline_ms);
	e->deadline_ms = e->began_ms + remaining_ms;
	if (remaining_ms > route->deadline_ms)
		remaining_ms = route->deadline_ms;
	e->end_ms = e->began_ms + remaining_ms;
	e->body_length = h1_conn_has_body(conn) ? h1_conn_length(conn) : 0;
	budget_earn(
	    relay_budget(r, e->service), r->set.retry_ratio, relay_now(r));
	if (entry_limit(e) == 0)
		entry_start(e);
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
	if (e->body_lost)
		return;
	if (e->body_len + n > BODY_RETAINED_MAX_BYTES ||
	    r->held_bytes + n > r->set.memory_bytes / BODY_MEMORY_DIVISOR) {
		/* Too large to retain: the request can't be retried. */
		if (e->xchg != NULL) {
			e->body_lost = 1;
			r->held_bytes -= e->body_cap;
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
		r->held_bytes += cap - e->body_cap;
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
	e->body_in = 1;
	if (e->xchg != NULL)
		h1_send_end(e->xchg);
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
	r->counters[RELAY_GONE]++;
	event_log(EVENT_CALLER_GONE, relay_now(r),
	    "id=%s service=%s age_ms=%llu state=%d", e->id, e->service,
	    (unsigned long long)(relay_now(r) - e->began_ms), (int)e->state);
	if (!e->maybe_run && e->xchg == NULL)
		entry_token_back(e);
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
		h1_xchg_resume(e->xchg);
}

/*
 * Ends requests that have run out of time.
 */
void
entry_tick(struct relay *r)
{
	struct entry_req *e, *next;
	uint64_t now = relay_now(r);

	for (e = r->entries; e != NULL; e = next) {
		next = e->next;
		if (e->passing)
			continue;
		if (e->xchg != NULL && now >= e->end_ms + TIMEOUT_GRACE_MS)
			entry_silent(e);
		if (now >= e->end_ms + (e->xchg != NULL ? TIMEOUT_GRACE_MS : 0))
			entry_end(e,
			    e->maybe_run || e->xchg != NULL
				? END_TIMEOUT
				: END_TIMEOUT_UNSENT,
			    relay_comeback(COMEBACK_TIMEOUT, e->target_ms));
	}
}
