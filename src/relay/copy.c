#include <stdlib.h>
#include <string.h>

#include "event/event.h"
#include "relay/relay_int.h"

/*
 * Copying the configuration between nodes.  A node requests a newer version
 * from another node when it starts, or when the store responds to other nodes
 * but not to this one.
 */

/* Served on the port for other nodes. */
#define COPY_TARGET "/cyclamen/config"
/* Time for the first node of a zone to have a newer version. */
#define ZONE_WAIT_MS 500
#define COPY_TIMEOUT_MS 800 /* timeout of the whole exchange */
/* Far above 1,600 routes of 500 bytes each. */
#define COPY_BYTES_MAX (16U << 20)

static int pick_peer(struct relay *);
static int on_response_head(void *, struct h1_exchange *);
static void on_response_body(
    void *, struct h1_exchange *, const char *, size_t);
static void on_response_end(void *, struct h1_exchange *);
static void on_exchange_failed(void *, struct h1_exchange *, enum h1_failure);
static void fail_copy(struct relay *, const char *);

static const struct h1_client_ops copy_ops = { on_response_head,
	on_response_body, on_response_end, on_exchange_failed, NULL };

/*
 * Returns whether a request from another node is for the configuration.
 */
int
copy_is_request(const struct h1_conn *conn)
{
	const struct h1_head *h = h1_conn_head(conn);

	return h->target_len == strlen(COPY_TARGET) &&
	       memcmp(h->buf + h->target, COPY_TARGET, h->target_len) == 0 &&
	       strcmp(h1_conn_method(conn), "GET") == 0;
}

/*
 * Responds with the configuration in force.
 */
void
copy_send(struct relay *r, struct h1_conn *conn)
{
	size_t len;
	char *p;

	if (r->config == NULL) {
		h1_send_response(conn, 503, NULL, NULL, 0);
		return;
	}
	p = config_copy_write(r->config, &len);
	h1_send_response(conn, 200, NULL, p, len);
	free(p);
}

/*
 * Returns 1 if no live node of this node's zone has a lower hash of its name:
 * one node of each zone copies a configuration from another zone, and the
 * others copy it from there.
 */
static int
is_first_in_zone(const struct relay *r, uint64_t now)
{
	const struct fleet_peer *p;
	size_t i;

	for (i = 0; i < r->fleet.count; i++) {
		p = &r->fleet.peers[i];
		if (p->name_hash < r->fleet.node_hash &&
		    strcmp(p->zone, r->set.zone) == 0 &&
		    fleet_is_alive(&r->fleet, i, now))
			return 0;
	}
	return 1;
}

/*
 * Returns the handle of a random live node that has a newer configuration
 * than this one, or -1.  Takes one of another zone only if this node copies for
 * its zone, or has waited for that one.
 */
static int
pick_peer(struct relay *r)
{
	uint64_t version = r->config != NULL ? r->config->version : 0;
	uint64_t now = relay_now(r);
	const struct fleet_peer *p;
	uint32_t near_count = 0, far_count = 0;
	int near = -1, far = -1;
	size_t i;

	for (i = 0; i < r->fleet.count; i++) {
		p = &r->fleet.peers[i];
		if (p->config_version <= version || p->port == 0 ||
		    !fleet_is_alive(&r->fleet, i, now))
			continue;
		if (strcmp(p->zone, r->set.zone) == 0) {
			if (relay_random() % ++near_count == 0)
				near = (int)i;
		} else if (relay_random() % ++far_count == 0) {
			far = (int)i;
		}
	}
	if (near >= 0 || (r->newer_version_ms > 0 &&
			     now - r->newer_version_ms < ZONE_WAIT_MS &&
			     !is_first_in_zone(r, now)))
		return near;
	return far;
}

/*
 * Tells other nodes at once of a configuration that has come into force: a
 * reader of the store all, the first node of a zone those of its zone.
 */
void
copy_announce_version(struct relay *r)
{
	uint64_t now = relay_now(r);
	const struct fleet_peer *p;
	size_t i;

	if (relay_reads_store(r)) {
		fleet_send_heartbeat_all(&r->net, 0);
		return;
	}
	for (i = 0; is_first_in_zone(r, now) && i < r->fleet.count; i++) {
		p = &r->fleet.peers[i];
		if (strcmp(p->zone, r->set.zone) == 0 &&
		    fleet_is_alive(&r->fleet, i, now))
			fleet_send_heartbeat(&r->net, p->address);
	}
}

/*
 * Requests a newer configuration from another node, if one is known to have
 * it.  The callback is called with the configuration once it has arrived, and
 * not at all if the request fails.
 */
void
relay_request_config(struct relay *r, relay_config_fn done, void *ctx)
{
	static const struct seal_request seal_input = { .method = "GET",
		.target = COPY_TARGET,
		.target_len = sizeof(COPY_TARGET) - 1,
		.id = "",
		.hop = "" };
	struct relay_copy *c = &r->copy;
	char hex[SEAL_HEX_BYTES];
	struct h1_text t;
	int peer;

	if (c->xchg != NULL) {
		if (relay_now(r) - c->requested_ms < COPY_TIMEOUT_MS)
			return;
		h1_exchange_cancel(c->xchg);
		fail_copy(r, "timeout");
	}
	peer = pick_peer(r);
	if (peer < 0)
		return;
	c->peer = peer;
	c->requested_ms = relay_now(r);
	c->done = done;
	c->ctx = ctx;
	h1_text_init(&c->body);
	h1_text_init(&t);
	h1_text_addf(&t, "GET %s HTTP/1.1\r\nHost: node\r\n", COPY_TARGET);
	seal_request(&r->seal, &seal_input, hex);
	if (hex[0] != '\0')
		h1_text_add_field(&t, RELAY_SEAL, hex);
	h1_text_add(&t, "\r\n", 2);
	c->xchg = h1_send_request(
	    relay_link(r, peer)->pool, &t, 0, 0, UINT64_MAX, &copy_ops, r);
	h1_text_finish(&t);
}

/*
 * Cancels the request in progress, if any.
 */
void
copy_cancel(struct relay *r)
{
	if (r->copy.xchg == NULL)
		return;
	h1_exchange_cancel(r->copy.xchg);
	r->copy.xchg = NULL;
	h1_text_finish(&r->copy.body);
}

/*
 * Logs why a request for a configuration failed, and ends it.
 */
static void
fail_copy(struct relay *r, const char *reason)
{
	struct relay_copy *c = &r->copy;

	event_log(EVENT_CONFIG_COPY_FAILED, relay_now(r),
	    "peer=%s why=%s bytes=%zu after_ms=%llu",
	    r->fleet.peers[c->peer].node, reason, c->body.len,
	    (unsigned long long)(relay_now(r) - c->requested_ms));
	c->xchg = NULL;
	h1_text_finish(&c->body);
}

/*
 * Checks the response status.  Only the body of a 200 response is used.
 */
static int
on_response_head(void *ctx, struct h1_exchange *x)
{
	struct relay *r = ctx;

	r->copy.valid = h1_exchange_status(x) == 200;
	return 0;
}

/*
 * Appends a part of the response, up to the size limit.
 */
static void
on_response_body(void *ctx, struct h1_exchange *x, const char *p, size_t n)
{
	struct relay_copy *c = &((struct relay *)ctx)->copy;

	(void)x;
	if (c->body.len + n > COPY_BYTES_MAX)
		c->valid = 0;
	if (c->valid)
		h1_text_add(&c->body, p, n);
}

/*
 * Parses the complete response and passes the configuration to the callback.
 */
static void
on_response_end(void *ctx, struct h1_exchange *x)
{
	struct relay *r = ctx;
	struct relay_copy *c = &r->copy;
	struct config *config = NULL;

	(void)x;
	if (c->valid)
		config = config_copy_read(c->body.p, c->body.len);
	if (config == NULL) {
		fail_copy(r, c->valid ? "unreadable" : "refused");
		return;
	}
	c->xchg = NULL;
	h1_text_finish(&c->body);
	c->done(c->ctx, config, r->fleet.peers[c->peer].node);
}

/*
 * Handles an exchange that failed before the end of the response.
 */
static void
on_exchange_failed(void *ctx, struct h1_exchange *x, enum h1_failure failure)
{
	(void)x;
	fail_copy(ctx, failure == H1_NOT_SENT ? "unreached" : "broken");
}
