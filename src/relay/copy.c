#include <stdlib.h>
#include <string.h>

#include "event/event.h"
#include "relay/relay_int.h"

/*
 * The configuration from node to node.  A node that starts, or that the store
 * doesn't answer while it answers others, asks one that knows a newer version.
 */

#define COPY_TARGET "/cyclamen/config" /* on the port for other nodes */
#define COPY_MS 800		       /* for the whole answer */
#define COPY_BYTES_MAX (16U << 20)     /* far above 1,600 routes of 500 bytes */

static int pick(struct relay *);
static int on_head(void *, struct h1_xchg *);
static void on_body(void *, struct h1_xchg *, const char *, size_t);
static void on_end(void *, struct h1_xchg *);
static void on_fail(void *, struct h1_xchg *, enum h1_fail);
static void failed(struct relay *, const char *);

static const struct h1_client_ops copy_ops = { on_head, on_body, on_end,
	on_fail, NULL };

/*
 * Tells whether another node asks for the configuration.
 */
int
copy_asked(const struct h1_conn *conn)
{
	const struct h1_head *h = h1_conn_head(conn);

	return h->target_len == strlen(COPY_TARGET) &&
	       memcmp(h->buf + h->target, COPY_TARGET, h->target_len) == 0 &&
	       strcmp(h1_conn_method(conn), "GET") == 0;
}

/*
 * Answers with the configuration in force.
 */
void
copy_answer(struct relay *r, struct h1_conn *conn)
{
	size_t len;
	char *p;

	if (r->config == NULL) {
		h1_answer(conn, 503, NULL, NULL, 0);
		return;
	}
	p = config_copy_write(r->config, &len);
	h1_answer(conn, 200, NULL, p, len);
	free(p);
}

/*
 * Returns a live node that knows a newer configuration than this one, chosen
 * by chance, or -1.
 */
static int
pick(struct relay *r)
{
	uint64_t version = r->config != NULL ? r->config->version : 0;
	uint64_t now = relay_now(r);
	const struct fleet_peer *p;
	uint32_t found = 0;
	int at = -1;
	size_t i;

	for (i = 0; i < r->fleet.count; i++) {
		p = &r->fleet.peers[i];
		if (p->config_version > version && p->port != 0 &&
		    fleet_alive(&r->fleet, i, now) &&
		    relay_random() % ++found == 0)
			at = (int)i;
	}
	return at;
}

/*
 * Asks another node for a newer configuration, if one is known to have it.
 * The function gets it, unless it can't be had; it may come later or never.
 */
void
relay_ask_config(struct relay *r, relay_config_fn done, void *ctx)
{
	static const struct seal_request q = { .method = "GET",
		.target = COPY_TARGET,
		.target_len = sizeof(COPY_TARGET) - 1,
		.id = "",
		.hop = "" };
	struct relay_copy *c = &r->copy;
	char hex[SEAL_HEX];
	struct h1_text t;
	int at;

	if (c->xchg != NULL) {
		if (relay_now(r) - c->asked_ms < COPY_MS)
			return;
		h1_cancel(c->xchg);
		failed(r, "timeout");
	}
	at = pick(r);
	if (at < 0)
		return;
	c->peer = at;
	c->asked_ms = relay_now(r);
	c->done = done;
	c->ctx = ctx;
	h1_text_init(&c->body);
	h1_text_init(&t);
	h1_text_addf(&t, "GET %s HTTP/1.1\r\nHost: node\r\n", COPY_TARGET);
	seal_request(&r->seal, &q, hex);
	if (hex[0] != '\0')
		h1_text_field(&t, RELAY_SEAL, hex);
	h1_text_add(&t, "\r\n", 2);
	c->xchg = h1_send(
	    relay_link(r, at)->pool, &t, 0, 0, UINT64_MAX, &copy_ops, r);
	h1_text_finish(&t);
}

/*
 * Gives up what is under way.
 */
void
copy_close(struct relay *r)
{
	if (r->copy.xchg == NULL)
		return;
	h1_cancel(r->copy.xchg);
	r->copy.xchg = NULL;
	h1_text_finish(&r->copy.body);
}

/*
 * Ends a question without a configuration.
 */
static void
failed(struct relay *r, const char *why)
{
	struct relay_copy *c = &r->copy;

	event_log(EVENT_COPY_FAILED, relay_now(r),
	    "peer=%s why=%s bytes=%zu after_ms=%llu",
	    r->fleet.peers[c->peer].node, why, c->body.len,
	    (unsigned long long)(relay_now(r) - c->asked_ms));
	c->xchg = NULL;
	h1_text_finish(&c->body);
}

/*
 * Takes the head of the answer: one other than a success has no use.
 */
static int
on_head(void *ctx, struct h1_xchg *x)
{
	struct relay *r = ctx;

	r->copy.good = h1_xchg_status(x) == 200;
	return 0;
}

/*
 * Takes a piece of the answer.
 */
static void
on_body(void *ctx, struct h1_xchg *x, const char *p, size_t n)
{
	struct relay_copy *c = &((struct relay *)ctx)->copy;

	(void)x;
	if (c->body.len + n > COPY_BYTES_MAX)
		c->good = 0;
	if (c->good)
		h1_text_add(&c->body, p, n);
}

/*
 * The answer is whole.
 */
static void
on_end(void *ctx, struct h1_xchg *x)
{
	struct relay *r = ctx;
	struct relay_copy *c = &r->copy;
	struct config *config = NULL;

	(void)x;
	if (c->good)
		config = config_copy_read(c->body.p, c->body.len);
	if (config == NULL) {
		failed(r, c->good ? "unreadable" : "refused");
		return;
	}
	c->xchg = NULL;
	h1_text_finish(&c->body);
	c->done(c->ctx, config, r->fleet.peers[c->peer].node);
}

/*
 * There was no whole answer.
 */
static void
on_fail(void *ctx, struct h1_xchg *x, enum h1_fail how)
{
	(void)x;
	failed(ctx, how == H1_NOT_SENT ? "unreached" : "broken");
}
