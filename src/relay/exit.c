#include <ctype.h>
#include <err.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "event/event.h"
#include "relay/relay_int.h"

/* Body buffered while the request is queued. */
#define BODY_WINDOW_BYTES 65536
/* Time past the deadline after which the entry is assumed to be dead. */
#define ABANDON_AFTER_MS 400
#define US_PER_MS 1000

static void on_request_head(void *, struct h1_conn *);
static void on_request_body(void *, struct h1_conn *, const char *, size_t);
static void on_request_end(void *, struct h1_conn *);
static void on_disconnect(void *, struct h1_conn *);
static void on_response_drained(void *, struct h1_conn *);
static struct exit_req *exit_new(struct relay *, struct h1_conn *);
static int read_hop(
    struct exit_req *, const struct h1_head *, char *, struct admission_req *);
static struct exit_req *waiter_request(struct admission_waiter *);
static void log_cancelled(const struct exit_req *);

const struct h1_server_ops exit_ops = { on_request_head, on_request_body,
	on_request_end, on_disconnect, on_response_drained };

/*
 * Allocates the state of a new request.
 */
static struct exit_req *
exit_new(struct relay *r, struct h1_conn *conn)
{
	struct exit_req *e;

	e = calloc(1, sizeof(*e));
	if (e == NULL)
		err(1, "out of memory");
	e->relay = r;
	e->conn = conn;
	e->next = r->exits;
	if (e->next != NULL)
		e->next->prev = e;
	r->exits = e;
	h1_text_init(&e->body);
	h1_text_init(&e->fields);
	h1_text_init(&e->answer);
	h1_conn_set_user(conn, e);
	relay_tick_start(r);
	return e;
}

/*
 * Removes a request from the list and frees it.
 */
void
exit_free(struct exit_req *e)
{
	struct relay *r = e->relay;

	if (e->prev != NULL)
		e->prev->next = e->next;
	else
		r->exits = e->next;
	if (e->next != NULL)
		e->next->prev = e->prev;
	r->buffered_bytes -= e->body.cap;
	h1_text_finish(&e->body);
	h1_text_finish(&e->fields);
	h1_text_finish(&e->answer);
	free(e);
}

/*
 * Returns the request that contains a waiter.
 */
static struct exit_req *
waiter_request(struct admission_waiter *w)
{
	return (
	    struct exit_req *)((char *)w - offsetof(struct exit_req, waiter));
}

/*
 * Reads the hop field that the entry sends: remaining time (ms), class,
 * depth, root hash, whether the request is idempotent, target service, service
 * of the caller, workspace, and id of the route, which entries of an older
 * version don't send.  Returns 0, or -1 if the field is missing or invalid.
 */
static int
read_hop(struct exit_req *e, const struct h1_head *h, char *service,
    struct admission_req *req)
{
	uint64_t left_ms, class, depth, root, idempotent, route;
	char text[RELAY_HOP_BYTES], *cursor = text;

	if (h1_head_copy(h, RELAY_HOP, text, sizeof(text)) < 0 ||
	    relay_read_number(&cursor, &left_ms) == -1 ||
	    relay_read_number(&cursor, &class) == -1 ||
	    relay_read_number(&cursor, &depth) == -1 ||
	    relay_read_number(&cursor, &root) == -1 ||
	    relay_read_number(&cursor, &idempotent) == -1 ||
	    relay_read_word(&cursor, service, FLEET_NAME_BYTES) == -1 ||
	    relay_read_word(&cursor, e->caller, sizeof(e->caller)) == -1 ||
	    relay_read_word(&cursor, e->ws_name, sizeof(e->ws_name)) == -1 ||
	    class >= ADMISSION_CLASS_MAX)
		return -1;
	if (strcmp(e->ws_name, "-") == 0)
		e->ws_name[0] = '\0';
	e->deadline_ms = relay_now(e->relay) + left_ms;
	e->idempotent = idempotent != 0;
	e->class = (uint32_t) class;
	e->depth = (uint32_t)depth;
	e->root_hash = root;
	if (relay_read_number(&cursor, &route) == 0 && route <= UINT32_MAX)
		e->route = (uint32_t)route;
	req->class = (enum admission_class) class;
	req->depth = (uint32_t)depth;
	req->root_hash = root;
	req->deadline_us = e->deadline_ms * US_PER_MS;
	return 0;
}

/*
 * Runs, queues or refuses a request from another node or from this node's own
 * entry.
 */
static void
on_request_head(void *ctx, struct h1_conn *conn)
{
	struct relay *r = ctx;
	const struct h1_head *h = h1_conn_head(conn);
	struct relay_server *s = &r->server;
	struct exit_req *e;
	struct admission_waiter *displaced;
	struct admission_req req;
	char service[FLEET_NAME_BYTES];
	enum admission_verdict verdict;
	enum quarantine_state state;

	if (!sealed_verify(r, conn)) {
		e = exit_new(r, conn);
		relay_copy_request_id(r, h, e->id);
		exit_refuse(e, VERDICT_UNAVAILABLE, "unsealed");
		return;
	}
	if (copy_is_request(conn)) {
		copy_send(r, conn);
		return;
	}
	e = exit_new(r, conn);
	r->counters[RELAY_EXIT_REQUESTS]++;
	relay_copy_request_id(r, h, e->id);
	e->full_id = h1_head_get(h, r->set.names.request_id, &e->full_id_len);
	if (read_hop(e, h, service, &req) == -1) {
		exit_free(e);
		h1_conn_set_user(conn, NULL);
		h1_send_response(conn, 400, NULL, NULL, 0);
		return;
	}
	e->body_length = h1_conn_has_body(conn) ? h1_conn_body_length(conn) : 0;
	if (s->id[0] == '\0' || s->leaving || s->down_until_ms > relay_now(r) ||
	    strcmp(service, s->service) != 0) {
		exit_refuse(
		    e, VERDICT_UNAVAILABLE, s->leaving ? "leaving" : "absent");
		return;
	}
	suspect_fingerprint(e);
	state = suspect_state(e);
	if (state == QUARANTINE_REFUSED) {
		exit_refuse(e, VERDICT_SUSPECT, "quarantined");
		return;
	}
	if (state == QUARANTINE_SUSPECT) {
		if (r->solo_running > 0) {
			exit_refuse(e, VERDICT_OVERLOADED, "struck");
			return;
		}
		e->solo = 1;
		r->solo_running++;
	}
	load_update(r);
	if (!rate_cap_allows(&r->cap, r->core.inflight, relay_now(r))) {
		load_record_refusal(r);
		exit_refuse(e, VERDICT_OVERLOADED, "server-rate");
		return;
	}
	verdict = core_offer(
	    &r->core, &req, &e->waiter, &displaced, relay_now(r) * US_PER_MS);
	if (verdict == ADMISSION_RUN) {
		exit_send(e);
	} else if (verdict == ADMISSION_WAIT) {
		e->waiting = 1;
	} else {
		load_record_refusal(r);
		exit_refuse(e, VERDICT_OVERLOADED,
		    verdict == ADMISSION_DEADLINE ? "deadline" : "overload");
	}
	if (displaced != NULL) {
		load_record_refusal(r);
		waiter_request(displaced)->waiting = 0;
		exit_refuse(
		    waiter_request(displaced), VERDICT_OVERLOADED, "displaced");
	}
}

/*
 * Returns the running request that made a call, or NULL.  It is the one with
 * the longest id that is a prefix of the call's id and is followed there by a
 * separator.
 */
struct exit_req *
exit_parent(const struct relay *r, const char *id, size_t len)
{
	struct exit_req *e, *best = NULL;

	for (e = r->exits; e != NULL; e = e->next) {
		if (!e->running || e->full_id == NULL ||
		    e->full_id_len >= len ||
		    (best != NULL && e->full_id_len <= best->full_id_len) ||
		    isalnum((unsigned char)id[e->full_id_len]) ||
		    memcmp(e->full_id, id, e->full_id_len) != 0)
			continue;
		best = e;
	}
	return best;
}

/*
 * Sends queued requests to the server while it has free slots.  Refuses
 * expired ones, and all of them if the server is leaving.
 */
void
exit_run_queued(struct relay *r)
{
	struct admission_waiter *w;
	struct exit_req *e;

	load_update(r);
	while (r->server.leaving &&
	       (w = core_refuse_next(&r->core, ADMISSION_DRAINING)) != NULL) {
		e = waiter_request(w);
		e->waiting = 0;
		exit_refuse(e, VERDICT_UNAVAILABLE, "leaving");
	}
	while (rate_cap_allows(&r->cap, r->core.inflight, relay_now(r)) &&
	       (w = core_next(&r->core, relay_now(r) * US_PER_MS)) != NULL) {
		e = waiter_request(w);
		e->waiting = 0;
		if (w->verdict == ADMISSION_RUN) {
			exit_send(e);
			continue;
		}
		load_record_refusal(r);
		exit_refuse(e, VERDICT_OVERLOADED, "deadline");
	}
}

/*
 * Forwards a part of the request body, or buffers it while the request is
 * queued.
 */
static void
on_request_body(void *ctx, struct h1_conn *conn, const char *p, size_t n)
{
	struct relay *r = ctx;
	struct exit_req *e = h1_conn_user(conn);
	size_t cap;

	if (e == NULL)
		return;
	if (e->xchg != NULL) {
		h1_send_request_body(e->xchg, p, n);
		if (h1_exchange_unsent_bytes(e->xchg) >
		    H1_WRITE_QUEUE_HIGH_BYTES)
			h1_conn_pause(conn);
		return;
	}
	cap = e->body.cap;
	h1_text_add(&e->body, p, n);
	r->buffered_bytes += e->body.cap - cap;
	if (e->body.len > BODY_WINDOW_BYTES)
		h1_conn_pause(conn);
}

/*
 * Handles the end of the request body.
 */
static void
on_request_end(void *ctx, struct h1_conn *conn)
{
	struct exit_req *e = h1_conn_user(conn);

	(void)ctx;
	if (e == NULL)
		return;
	e->body_complete = 1;
	if (e->xchg != NULL)
		h1_send_request_end(e->xchg);
}

/*
 * Logs that the entry has cancelled a request: how long that has waited for a
 * slot, and run.
 */
static void
log_cancelled(const struct exit_req *e)
{
	uint64_t now = relay_now(e->relay);
	uint64_t began_ms = e->running ? e->sent_ms : now;

	if (!e->running && !e->waiting)
		return;
	event_log(EVENT_RUN_CANCELLED, now, "id=%s waited_ms=%llu ran_ms=%llu",
	    e->id,
	    (unsigned long long)(began_ms - e->waiter.enter_us / US_PER_MS),
	    (unsigned long long)(now - began_ms));
}

/*
 * Handles a closed connection of the entry: cancels the request.
 */
static void
on_disconnect(void *ctx, struct h1_conn *conn)
{
	struct relay *r = ctx;
	struct exit_req *e = h1_conn_user(conn);
	struct h1_exchange *x;

	if (e == NULL)
		return;
	x = e->xchg;
	e->xchg = NULL;
	log_cancelled(e);
	if (e->waiting)
		core_expire(&r->core, &e->waiter);
	if (x != NULL)
		h1_exchange_cancel(x);
	exit_complete(e, ADMISSION_CANCELLED);
	exit_free(e);
	exit_run_queued(r);
}

/*
 * Resumes reading the response when the entry has received what was buffered
 * for it.
 */
static void
on_response_drained(void *ctx, struct h1_conn *conn)
{
	struct exit_req *e = h1_conn_user(conn);

	(void)ctx;
	if (e != NULL && e->xchg != NULL)
		h1_exchange_resume(e->xchg);
}

/*
 * Refuses queued requests whose deadline has passed, and aborts running ones
 * that their entry should have cancelled long before.
 */
void
exit_tick(struct relay *r)
{
	struct exit_req *e, *next;
	struct h1_conn *conn;
	uint64_t now = relay_now(r);

	for (e = r->exits; e != NULL; e = next) {
		next = e->next;
		if (e->waiting && now >= e->deadline_ms) {
			core_expire(&r->core, &e->waiter);
			e->waiting = 0;
			exit_refuse(e, VERDICT_OVERLOADED, "deadline");
		} else if (e->running &&
			   now >= e->deadline_ms + ABANDON_AFTER_MS) {
			conn = e->conn;
			h1_conn_set_user(conn, e);
			on_disconnect(r, conn);
			h1_conn_set_user(conn, NULL);
			h1_conn_abort(conn);
			return; /* the list may have changed */
		}
	}
	exit_run_queued(r);
}
