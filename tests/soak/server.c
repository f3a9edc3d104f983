#include <arpa/inet.h>
#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define BEAT_MS 400
#define WORK_MS 12
#define LEAVE_MS 2600 /* serves on after its leaving is acknowledged */

/* A request at work. */
struct work {
	struct server *server;
	struct h1_conn *conn; /* NULL: the node gave it up */
	uv_timer_t timer;
	char id[96];
	int called;
};

static void beat(struct server *, const char *);

static void
work_freed(uv_handle_t *h)
{
	free(h->data);
}

/*
 * Adds what a server says of itself in its answers.
 */
static void
add_state(struct server *s, struct h1_text *t)
{
	if (s->rate > 0) {
		h1_text_addf(t, "Server-Limit: %.1f\r\n", s->rate);
		if (s->named_ms == 0)
			s->named_ms = now_ms();
	}
	if (s->leaving) {
		h1_text_add_field(t, "Server-Leaving", "1");
		if (s->told_ms == 0)
			s->told_ms = now_ms();
	}
}

static void
work_end(struct work *w)
{
	struct server *s = w->server;
	struct h1_conn *conn = w->conn;
	struct h1_text t;
	char body[128];

	if (conn != NULL) {
		h1_conn_set_user(conn, NULL);
		snprintf(body, sizeof(body), "id:%s", w->id);
		h1_text_init(&t);
		h1_text_add_field(&t, "X-Cyclamenvale-Attempt-Id", w->id);
		h1_text_add_field(&t, "X-Cyclamenvale-Response-Signature", "s");
		add_state(s, &t);
		if (chance(1000) < s->break_share * 1000) {
			check_run(w->id, s->node, 0, 1);
			if (chance(2) == 0) {
				h1_send_response_head(conn, 200, &t, 4000);
				h1_send_response_body(conn, body, strlen(body));
			}
			h1_conn_abort(conn);
		} else if (chance(1000) < s->extra_share * 1000) {
			/* Also another request's answer, before ours. */
			h1_text_finish(&t);
			h1_text_addf(&t,
			    "X-Cyclamenvale-Attempt-Id: other\r\n"
			    "X-Cyclamenvale-Response-Signature: s\r\n"
			    "Content-Length: 5\r\n\r\nwrong"
			    "HTTP/1.1 200 OK\r\n");
			h1_text_add_field(
			    &t, "X-Cyclamenvale-Attempt-Id", w->id);
			h1_text_add_field(
			    &t, "X-Cyclamenvale-Response-Signature", "s");
			h1_send_response(conn, 200, &t, body, strlen(body));
		} else {
			h1_send_response(conn, 200, &t, body, strlen(body));
		}
		h1_text_finish(&t);
	}
	uv_close((uv_handle_t *)&w->timer, work_freed);
}

static void
on_worked(uv_timer_t *t)
{
	work_end(t->data);
}

static int
call_head(void *ctx, struct h1_exchange *x)
{
	(void)ctx;
	(void)x;
	return 0;
}

static void
call_body(void *ctx, struct h1_exchange *x, const char *p, size_t n)
{
	(void)ctx;
	(void)x;
	(void)p;
	(void)n;
}

static void
call_end(void *ctx, struct h1_exchange *x)
{
	(void)x;
	work_end(ctx);
}

static void
call_fail(void *ctx, struct h1_exchange *x, enum h1_failure how)
{
	(void)x;
	(void)how;
	work_end(ctx);
}

static const struct h1_client_ops call_ops = { call_head, call_body, call_end,
	call_fail, NULL };

static void
on_head(void *ctx, struct h1_conn *conn)
{
	struct server *s = ctx;
	const struct h1_head *h = h1_conn_head(conn);
	char id[96], expect[32], caller[32];
	size_t n;

	if (h1_head_copy(h, "X-Cyclamenvale-Attempt-Id", id, sizeof(id)) < 0)
		id[0] = '\0';
	if (h1_head_get(h, "X-Cyclamenvale-Key", &n) != NULL)
		wrong("server of node %d was given a key (%s)", s->node, id);
	if (h1_head_copy(h, "X-Cyclamenvale-Caller-Service", caller,
		sizeof(caller)) < 0 ||
	    (strcmp(caller, "front") != 0 && strcmp(caller, "deep") != 0))
		wrong("%s has no calling service", id);
	if (h1_head_copy(h, "X-Cyclamenvale-Expect-Instance", expect,
		sizeof(expect)) > 0 &&
	    strcmp(expect, s->id) != 0) {
		h1_send_response(conn, 421, NULL, NULL, 0);
		return;
	}
	if (s->acked_ms != 0 && now_ms() > s->acked_ms + DRAIN_MS)
		wrong("%s reached %s %llu ms after its leaving was "
		      "acknowledged",
		    id, s->id, (unsigned long long)(now_ms() - s->acked_ms));
	check_arrival(s, id);
	check_run(id, s->node, now_ms(), 0);
}

static void
on_body(void *ctx, struct h1_conn *conn, const char *p, size_t n)
{
	(void)ctx;
	(void)conn;
	(void)p;
	(void)n;
}

static void
on_end(void *ctx, struct h1_conn *conn)
{
	struct server *s = ctx;
	const struct h1_head *h = h1_conn_head(conn);
	struct work *w = calloc(1, sizeof(*w));
	struct h1_text t;

	if (w == NULL)
		err(1, "out of memory");
	w->server = s;
	w->conn = conn;
	h1_head_copy(h, "X-Cyclamenvale-Attempt-Id", w->id, sizeof(w->id));
	uv_timer_init(&soak.loop, &w->timer);
	w->timer.data = w;
	h1_conn_set_user(conn, w);
	if (!is_front(s->node) ||
	    strncmp(h->buf + h->target, "/safe/", 6) != 0) {
		uv_timer_start(&w->timer, on_worked,
		    (uint64_t)((1 + (double)chance(2 * WORK_MS)) * s->slow_x),
		    0);
		return;
	}
	/* It calls the deep service through its own node. */
	h1_text_init(&t);
	h1_text_addf(&t,
	    "GET /deep/x HTTP/1.1\r\nHost: h\r\n"
	    "X-Cyclamenvale-Attempt-Id: %s.1\r\n"
	    "X-Cyclamenvale-Deadline-Ms: 900\r\n\r\n",
	    w->id);
	h1_send_request(&s->calls, &t, 0, 0, 3000, &call_ops, w);
	h1_text_finish(&t);
}

static void
on_gone(void *ctx, struct h1_conn *conn)
{
	struct work *w = h1_conn_user(conn);

	(void)ctx;
	if (w != NULL)
		w->conn = NULL;
}

static const struct h1_server_ops ops = { on_head, on_body, on_end, on_gone,
	NULL };

/* A beat or a goodbye under way. */
struct news {
	struct server *server;
	char id[32];
	int leaving;
};

static int
news_head(void *ctx, struct h1_exchange *x)
{
	struct news *n = ctx;
	struct server *s = n->server;

	if (n->leaving && h1_exchange_status(x) == 200 &&
	    strcmp(n->id, s->id) == 0 && s->acked_ms == 0)
		s->acked_ms = now_ms();
	return 0;
}

static void
news_end(void *ctx, struct h1_exchange *x)
{
	(void)x;
	free(ctx);
}

static void
news_fail(void *ctx, struct h1_exchange *x, enum h1_failure how)
{
	(void)x;
	(void)how;
	free(ctx);
}

static const struct h1_client_ops news_ops = { news_head, call_body, news_end,
	news_fail, NULL };

static void
beat(struct server *s, const char *method)
{
	struct news *n = calloc(1, sizeof(*n));
	char ip[INET_ADDRSTRLEN];
	struct sockaddr_in at;
	struct h1_text t, b;

	if (n == NULL)
		err(1, "out of memory");
	n->server = s;
	n->leaving = s->leaving;
	snprintf(n->id, sizeof(n->id), "%s", s->id);
	h1_text_init(&t);
	h1_text_init(&b);
	address(&at, s->node, PORT_SERVER_PROXY);
	inet_ntop(AF_INET, &at.sin_addr, ip, sizeof(ip));
	h1_text_addf(&b,
	    "{\"address\":\"%s:%u\",\"info\":{\"service\":\"%s\",\"version\":"
	    "\"v1\",\"zone\":\"z\",\"slots\":%d},\"status\":{\"state\":\"%s\","
	    "\"sequence\":%llu,\"cold_remaining\":\"0ms\"},\"born\":%llu}",
	    ip, ntohs(at.sin_port), is_front(s->node) ? "front" : "deep", SLOTS,
	    s->leaving ? "draining" : "ready",
	    (unsigned long long)++s->sequence, (unsigned long long)s->born_ms);
	h1_text_addf(&t,
	    "%s /v1/instances/%s HTTP/1.1\r\nHost: c\r\nContent-Length: "
	    "%zu\r\n\r\n",
	    method, s->id, b.len);
	h1_text_add(&t, b.p, b.len);
	h1_send_request_end(
	    h1_send_request(&s->control, &t, b.len, 0, 0, &news_ops, n));
	h1_text_finish(&t);
	h1_text_finish(&b);
}

static void
on_beat(uv_timer_t *t)
{
	struct server *s = t->data;

	if (!s->up) {
		server_start(s);
		return;
	}
	if (s->leaving && s->acked_ms != 0 &&
	    now_ms() > s->acked_ms + LEAVE_MS) {
		beat(s, "DELETE");
		server_crash(s);
		return;
	}
	beat(s, "PUT");
}

/*
 * Starts a server anew, as another incarnation.
 */
void
server_start(struct server *s)
{
	struct sockaddr_in at;

	address(&at, s->node, PORT_SERVER);
	if (h1_server_init(&s->http, &soak.loop, &at, &ops, s, 256) != 0)
		errx(1, "can't open a server's port");
	s->up = 1;
	s->leaving = 0;
	s->acked_ms = 0;
	s->named_ms = 0;
	s->told_ms = 0;
	s->sequence = 0;
	s->born_ms = 1700000000000ULL + now_ms();
	snprintf(s->id, sizeof(s->id), "i-%d-%llu", s->node,
	    (unsigned long long)now_ms());
	beat(s, "PUT");
}

/*
 * Ends a server; it comes back within a second or two.
 */
void
server_crash(struct server *s)
{
	if (!s->up)
		return;
	s->up = 0;
	h1_server_finish(&s->http);
	uv_timer_start(&s->beat, on_beat, 500 + chance(1200), BEAT_MS);
}

/*
 * A server says that it leaves; it is replaced after that.
 */
void
server_leave(struct server *s)
{
	if (!s->up || s->leaving)
		return;
	s->leaving = 1;
	beat(s, "PUT");
}

/*
 * Prepares the server beside a node and starts it.
 */
void
server_init(struct server *s, int node)
{
	struct sockaddr_in at;

	s->node = node;
	s->slow_x = 1;
	address(&at, node, PORT_CONTROL);
	h1_pool_init(&s->control, &soak.loop, &at, 1000, 500);
	address(&at, node, PORT_ENTRY);
	h1_pool_init(&s->calls, &soak.loop, &at, 3000, 500);
	uv_timer_init(&soak.loop, &s->beat);
	s->beat.data = s;
	uv_timer_start(&s->beat, on_beat, BEAT_MS, BEAT_MS);
	server_start(s);
}
