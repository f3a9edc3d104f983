#include <arpa/inet.h>
#include <string.h>

#include "fleet/fleet.h"

#define DATAGRAM_BYTES 1400
#define LOST_BEATS 8  /* of which one goes to nodes that fell silent, too */
#define PAUSE_BEATS 3 /* beats late by which a pause of the process is seen */

static void on_alloc(uv_handle_t *, size_t, uv_buf_t *);
static void on_datagram(uv_udp_t *, ssize_t, const uv_buf_t *,
    const struct sockaddr *, unsigned int);
static void on_timer(uv_timer_t *);
static void tick(struct fleet_net *);
static void beat_lost(struct fleet_net *);
static void take(
    struct fleet_net *, const struct fleet_msg *, const struct sockaddr_in *);
static void take_beat(struct fleet_net *, const struct fleet_beat *);
static size_t encode(const struct fleet_msg *, char *);
static void send_bytes(struct fleet_net *, const char *, size_t, uint32_t);

/* The one loop reads into this and uses the bytes before it reads again. */
static char datagram[DATAGRAM_BYTES];

/*
 * Opens the socket and begins to send beats.  Returns a libuv error or 0.
 */
int
fleet_net_init(struct fleet_net *n, uv_loop_t *loop,
    const struct sockaddr_in *at, struct fleet_table *table,
    const struct fleet_ops *ops, void *ctx)
{
	int rc;

	memset(n, 0, sizeof(*n));
	n->loop = loop;
	n->table = table;
	n->ops = ops;
	n->ctx = ctx;
	n->port = ntohs(at->sin_port);
	n->ticked_ms = uv_now(loop);
	uv_udp_init(loop, &n->udp);
	n->udp.data = n;
	rc = uv_udp_bind(&n->udp, (const struct sockaddr *)at, 0);
	if (rc == 0)
		rc = uv_udp_recv_start(&n->udp, on_alloc, on_datagram);
	uv_timer_init(loop, &n->timer);
	n->timer.data = n;
	uv_timer_start(&n->timer, on_timer, 1, 0);
	return rc;
}

/*
 * Closes the socket.
 */
void
fleet_net_close(struct fleet_net *n)
{
	uv_close((uv_handle_t *)&n->udp, NULL);
	uv_close((uv_handle_t *)&n->timer, NULL);
}

/*
 * Gives libuv the common buffer.
 */
static void
on_alloc(uv_handle_t *handle, size_t hint, uv_buf_t *buf)
{
	(void)handle;
	(void)hint;
	buf->base = datagram;
	buf->len = sizeof(datagram);
}

/*
 * Sends a beat to all and looks who is silent.
 */
static void
on_timer(uv_timer_t *timer)
{
	struct fleet_net *n = timer->data;
	uint64_t now = uv_now(n->loop);
	uint64_t every = fleet_interval_ms(n->table);

	if (now - n->ticked_ms > every * PAUSE_BEATS)
		fleet_paused(n->table, now - n->ticked_ms);
	n->ticked_ms = now;
	tick(n);
	fleet_beat_all(n, 0);
	if (++n->beats % LOST_BEATS == 0)
		beat_lost(n);
	uv_timer_start(&n->timer, on_timer, every, 0);
}

/*
 * Looks who is silent, and tells the owner if that changes who is alive.
 */
static void
tick(struct fleet_net *n)
{
	uint64_t before = n->table->live_print;

	fleet_tick(n->table, uv_now(n->loop));
	if (n->table->live_print != before)
		n->ops->turned(n->ctx, FLEET_NONE);
}

/*
 * Sends a beat to nodes that fell silent long ago: a cut between the two may
 * have healed.
 */
static void
beat_lost(struct fleet_net *n)
{
	const struct fleet_peer *p;
	size_t i;

	for (i = 0; i < n->table->count; i++) {
		p = &n->table->peers[i];
		if (p->gone && !p->stopping)
			fleet_beat_one(n, p->address);
	}
}

/*
 * Takes a datagram; one that can't be read is counted.
 */
static void
on_datagram(uv_udp_t *udp, ssize_t len, const uv_buf_t *buf,
    const struct sockaddr *from, unsigned int flags)
{
	struct fleet_net *n = udp->data;
	struct fleet_msg m;
	XDR x;

	(void)flags;
	if (len <= 0 || from == NULL)
		return;
	memset(&m, 0, sizeof(m));
	xdrmem_create(&x, buf->base, (unsigned int)len, XDR_DECODE);
	if (xdr_fleet_msg(&x, &m))
		take(n, &m, (const struct sockaddr_in *)from);
	else
		n->bad++;
	xdr_destroy(&x);
	xdr_free((xdrproc_t)xdr_fleet_msg, (char *)&m);
}

/*
 * Hands a message to whom it concerns.
 */
static void
take(struct fleet_net *n, const struct fleet_msg *m,
    const struct sockaddr_in *from)
{
	switch (m->kind) {
	case FLEET_BEAT:
		take_beat(n, &m->fleet_msg_u.beat);
		break;
	case FLEET_BYE:
		fleet_said_bye(n->table, &m->fleet_msg_u.bye, uv_now(n->loop));
		tick(n);
		break;
	case FLEET_ASK:
		n->ops->ask(n->ctx, &m->fleet_msg_u.ask, from);
		break;
	case FLEET_GIVE:
		n->ops->give(n->ctx, &m->fleet_msg_u.give);
		break;
	case FLEET_STRIKE:
		n->ops->strike(n->ctx, &m->fleet_msg_u.strike);
		break;
	case FLEET_BUCKET:
		n->ops->bucket(n->ctx, &m->fleet_msg_u.bucket);
		break;
	case FLEET_DOUBT:
		n->ops->doubt(n->ctx, &m->fleet_msg_u.doubt, from);
		break;
	case FLEET_PROOF:
		n->ops->proof(n->ctx, &m->fleet_msg_u.proof);
		break;
	}
}

/*
 * Takes a beat, and answers the first one of a node at once.
 */
static void
take_beat(struct fleet_net *n, const struct fleet_beat *b)
{
	uint64_t now = uv_now(n->loop), before = 0;
	int i, changed;

	i = fleet_find(n->table, b->node);
	if (i >= 0 && n->table->peers[i].incarnation == b->incarnation)
		before = n->table->peers[i].heard_ms;
	i = fleet_heard(n->table, b, now, &changed);
	if (i < 0)
		return;
	if (before == 0)
		fleet_beat_one(n, b->address);
	n->ops->heard(n->ctx, i, b);
	if (changed) {
		tick(n);
		n->ops->turned(n->ctx, i);
	}
}

/*
 * Encodes a message.  Returns its length, or 0 if it is too long.
 */
static size_t
encode(const struct fleet_msg *m, char *buf)
{
	size_t len = 0;
	XDR x;

	xdrmem_create(&x, buf, DATAGRAM_BYTES, XDR_ENCODE);
	if (xdr_fleet_msg(&x, (struct fleet_msg *)(uintptr_t)m))
		len = xdr_getpos(&x);
	xdr_destroy(&x);
	return len;
}

/*
 * Sends a datagram; a lost one is as good as one lost on the way.
 */
static void
send_bytes(struct fleet_net *n, const char *p, size_t len, uint32_t address)
{
	struct sockaddr_in to;
	uv_buf_t buf;

	memset(&to, 0, sizeof(to));
	to.sin_family = AF_INET;
	to.sin_port = htons(n->port);
	to.sin_addr.s_addr = htonl(address);
	buf = uv_buf_init((char *)(uintptr_t)p, (unsigned int)len);
	(void)uv_udp_try_send(&n->udp, &buf, 1, (const struct sockaddr *)&to);
}

/*
 * Sends a message to the node at an address.
 */
void
fleet_send(struct fleet_net *n, const struct fleet_msg *m, uint32_t address)
{
	char buf[DATAGRAM_BYTES];
	size_t len = encode(m, buf);

	if (len > 0)
		send_bytes(n, buf, len, address);
}

/*
 * Sends a message to all nodes that are not gone.
 */
void
fleet_send_all(struct fleet_net *n, const struct fleet_msg *m)
{
	char buf[DATAGRAM_BYTES];
	size_t i, len = encode(m, buf);

	for (i = 0; len > 0 && i < n->table->count; i++)
		if (!n->table->peers[i].gone)
			send_bytes(n, buf, len, n->table->peers[i].address);
}

/*
 * Sends this node's beat to all, or its goodbye.
 */
void
fleet_beat_all(struct fleet_net *n, int bye)
{
	struct fleet_msg m;

	memset(&m, 0, sizeof(m));
	m.kind = bye ? FLEET_BYE : FLEET_BEAT;
	n->ops->fill(n->ctx, &m.fleet_msg_u.beat);
	fleet_send_all(n, &m);
}

/*
 * Sends this node's beat to one address.
 */
void
fleet_beat_one(struct fleet_net *n, uint32_t address)
{
	struct fleet_msg m;

	memset(&m, 0, sizeof(m));
	m.kind = FLEET_BEAT;
	n->ops->fill(n->ctx, &m.fleet_msg_u.beat);
	fleet_send(n, &m, address);
}
