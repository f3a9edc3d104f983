#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define SEND_MS 22 /* between two requests at one of five nodes, on average */
#define PROBE_MS 500
#define MISSES 2
#define SMALL_SHARE 20 /* one in so many requests is of the small workspace */

/* A request under way. */
struct asked {
	uint32_t index;
	char body[64];
	size_t len;
	int stamped;
};

static int
on_head(void *ctx, struct h1_exchange *x)
{
	struct asked *a = ctx;
	size_t n;

	soak.requests[a->index].status = (uint16_t)h1_exchange_status(x);
	a->stamped = h1_head_get(h1_exchange_head(x),
			 "X-Cyclamenvale-Response-Signature", &n) != NULL;
	return 0;
}

static void
on_body(void *ctx, struct h1_exchange *x, const char *p, size_t n)
{
	struct asked *a = ctx;

	(void)x;
	if (a->len + n < sizeof(a->body))
		memcpy(a->body + a->len, p, n);
	a->len += n;
}

static void
on_end(void *ctx, struct h1_exchange *x)
{
	struct asked *a = ctx;
	struct request *r = &soak.requests[a->index];
	char want[32];

	(void)x;
	r->ended = 1;
	if (r->status == 200) {
		snprintf(want, sizeof(want), "id:r%u", a->index);
		if (!a->stamped || a->len != strlen(want) ||
		    memcmp(a->body, want, a->len) != 0)
			wrong("r%u got another answer: %.*s", a->index,
			    (int)(a->len < 60 ? a->len : 60), a->body);
	} else if ((r->status == 503 || r->status == 429) && r->once &&
		   r->runs > 0) {
		wrong("r%u was refused (%u) and had run", a->index, r->status);
	}
	free(a);
}

static void
on_fail(void *ctx, struct h1_exchange *x, enum h1_failure how)
{
	struct asked *a = ctx;
	struct request *r = &soak.requests[a->index];
	struct node *n = &soak.nodes[r->node];
	uint64_t now = now_ms();

	(void)x;
	r->ended = how == H1_NOT_SENT ? 3 : 2;
	/* A planned stop cuts nothing that a sound server works on. */
	if (!soak.over && how != H1_NOT_SENT && r->runs > 0 && !r->broke &&
	    n->harmed_ms + 3000 < r->sent_ms && !n->stopped &&
	    now < r->sent_ms + 900ULL)
		wrong("r%u was cut by node %d after %llu ms (%s)", a->index,
		    r->node, (unsigned long long)(now - r->sent_ms),
		    n->asked ? "planned stop" : "no stop");
	free(a);
}

static const struct h1_client_ops ops = { on_head, on_body, on_end, on_fail,
	NULL };

static void
send_one(struct node *n)
{
	static const char *const keys[WS_MAX] = { "k-big", "k-small", "k-old" };
	struct request *r;
	struct asked *a;
	struct h1_text t;
	uint32_t i = soak.request_count;
	int node = (int)(n - soak.nodes);

	if (i == REQUESTS_MAX)
		return;
	soak.request_count++;
	r = &soak.requests[i];
	r->sent_ms = (uint32_t)now_ms();
	r->node = (uint8_t)node;
	r->once = (uint8_t)chance(2);
	r->ws = WS_BIG;
	if (chance(SMALL_SHARE) < soak.hot)
		r->ws = chance(8) == 0 ? WS_OLD : WS_SMALL;
	a = calloc(1, sizeof(*a));
	if (a == NULL)
		err(1, "out of memory");
	a->index = i;
	h1_text_init(&t);
	h1_text_addf(&t,
	    "%s /%s/x HTTP/1.1\r\nHost: h\r\n"
	    "X-Cyclamenvale-Attempt-Id: r%u\r\n"
	    "X-Cyclamenvale-Deadline-Ms: 2000\r\n"
	    "X-Cyclamenvale-Tenant: forged\r\n"
	    "X-Cyclamenvale-Caller-Service: forged\r\n"
	    "X-Cyclamenvale-Key: %s\r\n%s\r\n%s",
	    r->once ? "POST" : "GET", r->once ? "once" : "safe", i, keys[r->ws],
	    r->once ? "Content-Length: 4\r\n" : "", r->once ? "abcd" : "");
	h1_send_request_end(
	    h1_send_request(&n->entry, &t, r->once ? 4 : 0, 0, 10000, &ops, a));
	h1_text_finish(&t);
}

static int
probe_head(void *ctx, struct h1_exchange *x)
{
	struct node *n = ctx;

	n->ready = h1_exchange_status(x) == 200;
	n->misses = n->ready ? 0 : n->misses + 1;
	return 0;
}

static void
probe_end(void *ctx, struct h1_exchange *x)
{
	(void)ctx;
	(void)x;
}

static void
probe_fail(void *ctx, struct h1_exchange *x, enum h1_failure how)
{
	struct node *n = ctx;

	(void)x;
	(void)how;
	n->ready = 0;
	n->misses++;
}

static void
probe_body(void *ctx, struct h1_exchange *x, const char *p, size_t n)
{
	(void)ctx;
	(void)x;
	(void)p;
	(void)n;
}

static const struct h1_client_ops probe_ops = { probe_head, probe_body,
	probe_end, probe_fail, NULL };

static void
on_timer(uv_timer_t *t)
{
	struct node *n = t->data;
	struct h1_text head;
	uint64_t pause;

	if (soak.over)
		return;
	pause = (uint64_t)SEND_MS * (uint64_t)soak.count / NODES;
	uv_timer_start(t, on_timer, 1 + chance(2 * pause), 0);
	if (now_ms() - n->probed_ms >= PROBE_MS) {
		n->probed_ms = now_ms();
		h1_text_init(&head);
		h1_text_addf(
		    &head, "GET /v1/ready HTTP/1.1\r\nHost: r\r\n\r\n");
		h1_send_request(&n->probe, &head, 0, 0, 0, &probe_ops, n);
		h1_text_finish(&head);
	}
	if (n->ready || n->misses < MISSES)
		send_one(n);
}

/*
 * Begins to send requests to a node, over connections that are kept.
 */
void
caller_init(struct node *n)
{
	struct sockaddr_in at;
	int node = (int)(n - soak.nodes);

	address(&at, node, PORT_ENTRY);
	h1_pool_init(&n->entry, &soak.loop, &at, 10000, 500);
	address(&at, node, PORT_READY);
	h1_pool_init(&n->probe, &soak.loop, &at, 100, 400);
	n->misses = MISSES;
	uv_timer_init(&soak.loop, &n->caller);
	n->caller.data = n;
	uv_timer_start(&n->caller, on_timer, 500 + chance(100), 0);
}
