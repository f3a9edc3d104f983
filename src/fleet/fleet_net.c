#include <arpa/inet.h>
#include <string.h>

#include "base/loopclock.h"
#include "fleet/fleet.h"

#define DATAGRAM_BYTES 1400
#define FULL_HEARTBEAT_EVERY 8	 /* beats; the others tell only the load */
#define FULL_HEARTBEAT_REPEATS 2 /* after a change, as datagrams may be lost \
				  */
#define PROBE_EVERY 8 /* of which one goes to nodes that fell silent, too */
#define PAUSE_HEARTBEATS \
	3 /* beats late by which a pause of the process is seen */

static void provide_buffer(uv_handle_t *, size_t, uv_buf_t *);
static void on_datagram(uv_udp_t *, ssize_t, const uv_buf_t *,
    const struct sockaddr *, unsigned int);
static void on_heartbeat_timer(uv_timer_t *);
static void send_heartbeat(struct fleet_net *);
static void detect_pause(struct fleet_net *);
static void update_members(struct fleet_net *);
static void probe_silent_nodes(struct fleet_net *);
static void dispatch(
    struct fleet_net *, const struct fleet_msg *, const struct sockaddr_in *);
static void receive_heartbeat(struct fleet_net *, const struct fleet_beat *);
static void send_departure(struct fleet_net *, const struct fleet_beat *);
static size_t encode(
    const struct fleet_net *, const struct fleet_msg *, char *);
static void send_bytes(struct fleet_net *, const char *, size_t, uint32_t);

/* The one loop reads into this and uses the bytes before it reads again. */
static char datagram[DATAGRAM_BYTES + SEAL_BYTES];

/*
 * Opens the socket and begins to send beats.  Returns a libuv error or 0.
 */
int
fleet_net_init(struct fleet_net *n, uv_loop_t *loop,
    const struct sockaddr_in *bind_address, struct fleet_table *table,
    const struct seal *seal, const struct fleet_ops *ops, void *ctx)
{
	int rc;

	memset(n, 0, sizeof(*n));
	n->loop = loop;
	n->table = table;
	n->seal = seal;
	n->ops = ops;
	n->ctx = ctx;
	n->port = ntohs(bind_address->sin_port);
	n->ticked_ms = loop_ms(loop);
	uv_udp_init(loop, &n->udp);
	n->udp.data = n;
	rc = uv_udp_bind(&n->udp, (const struct sockaddr *)bind_address, 0);
	if (rc == 0)
		rc = uv_udp_recv_start(&n->udp, provide_buffer, on_datagram);
	uv_timer_init(loop, &n->timer);
	n->timer.data = n;
	uv_timer_start(&n->timer, on_heartbeat_timer, 1, 0);
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
provide_buffer(uv_handle_t *handle, size_t hint, uv_buf_t *buf)
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
on_heartbeat_timer(uv_timer_t *timer)
{
	struct fleet_net *n = timer->data;
	uint64_t interval_ms = fleet_interval_ms(n->table);

	detect_pause(n);
	n->ticked_ms = loop_ms(n->loop);
	update_members(n);
	send_heartbeat(n);
	if (++n->beats % PROBE_EVERY == 0)
		probe_silent_nodes(n);
	uv_timer_start(&n->timer, on_heartbeat_timer, interval_ms, 0);
}

/*
 * Sees that this process stood still, before anything that came meanwhile is
 * taken.  After a stop the timer is the first to know, after a suspension of
 * the machine, which timers don't count, it may be a datagram.
 */
static void
detect_pause(struct fleet_net *n)
{
	uint64_t now = loop_ms(n->loop), elapsed_ms = now - n->ticked_ms;

	if (elapsed_ms <= fleet_interval_ms(n->table) * PAUSE_HEARTBEATS)
		return;
	fleet_paused(n->table, elapsed_ms, now);
	n->ticked_ms = now;
	update_members(n);
}

/*
 * Sends a whole beat to all if there is news or it is time for one, and the
 * load alone otherwise.
 */
static void
send_heartbeat(struct fleet_net *n)
{
	struct fleet_msg m, pulse;
	uint64_t print;

	memset(&m, 0, sizeof(m));
	m.kind = FLEET_BEAT;
	n->ops->fill(n->ctx, &m.fleet_msg_u.beat);
	print = fleet_print(&m.fleet_msg_u.beat);
	if (print != n->print)
		n->wholes = 1 + FULL_HEARTBEAT_REPEATS;
	n->print = print;
	if (n->wholes > 0 || n->beats % FULL_HEARTBEAT_EVERY == 0) {
		n->wholes -= n->wholes > 0;
		fleet_send_all(n, &m);
		return;
	}
	memset(&pulse, 0, sizeof(pulse));
	pulse.kind = FLEET_PULSE;
	pulse.fleet_msg_u.pulse.incarnation = m.fleet_msg_u.beat.incarnation;
	pulse.fleet_msg_u.pulse.print = print;
	pulse.fleet_msg_u.pulse.load = m.fleet_msg_u.beat.load;
	fleet_send_all(n, &pulse);
}

/*
 * Looks who is silent, and tells the owner if that changes who is alive.
 */
static void
update_members(struct fleet_net *n)
{
	uint64_t before = n->table->live_print;

	fleet_tick(n->table, loop_ms(n->loop));
	if (n->table->live_print != before)
		n->ops->turned(n->ctx, FLEET_NONE);
}

/*
 * Sends a beat to nodes that fell silent long ago: a cut between the two may
 * have healed.
 */
static void
probe_silent_nodes(struct fleet_net *n)
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
 * Takes a datagram; one that can't be read, or that isn't of this fleet, is
 * counted.
 */
static void
on_datagram(uv_udp_t *udp, ssize_t len, const uv_buf_t *buf,
    const struct sockaddr *from, unsigned int flags)
{
	struct fleet_net *n = udp->data;
	struct fleet_msg m;
	size_t size;
	XDR x;

	(void)flags;
	if (len <= 0 || from == NULL)
		return;
	detect_pause(n);
	size = seal_open(n->seal, buf->base, (size_t)len);
	if (size == 0) {
		n->unsealed++;
		return;
	}
	memset(&m, 0, sizeof(m));
	xdrmem_create(&x, buf->base, (unsigned int)size, XDR_DECODE);
	if (xdr_fleet_msg(&x, &m))
		dispatch(n, &m, (const struct sockaddr_in *)from);
	else
		n->bad++;
	xdr_destroy(&x);
	xdr_free((xdrproc_t)xdr_fleet_msg, (char *)&m);
}

/*
 * Hands a message to whom it concerns.
 */
static void
dispatch(struct fleet_net *n, const struct fleet_msg *m,
    const struct sockaddr_in *from)
{
	int i;

	switch (m->kind) {
	case FLEET_BEAT:
		receive_heartbeat(n, &m->fleet_msg_u.beat);
		break;
	case FLEET_PULSE:
		i = fleet_pulsed(n->table, &m->fleet_msg_u.pulse,
		    ntohl(from->sin_addr.s_addr), loop_ms(n->loop));
		if (i >= 0)
			n->ops->told(n->ctx, i, &m->fleet_msg_u.pulse.load);
		break;
	case FLEET_BYE:
		fleet_said_bye(n->table, &m->fleet_msg_u.bye, loop_ms(n->loop));
		update_members(n);
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
	case FLEET_LEFT:
		n->ops->left(n->ctx, &m->fleet_msg_u.left);
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
receive_heartbeat(struct fleet_net *n, const struct fleet_beat *b)
{
	uint64_t now = loop_ms(n->loop), before = 0;
	int i, changed;

	i = fleet_find(n->table, b->node);
	if (i >= 0 && n->table->peers[i].incarnation == b->incarnation)
		before = n->table->peers[i].heard_ms;
	i = fleet_heard(n->table, b, now, &changed);
	if (i < 0)
		return;
	if (before == 0)
		fleet_beat_one(n, b->address);
	if (b->server.away != FLEET_LEAVING &&
	    fleet_has_left(&n->table->peers[i], &b->server))
		send_departure(n, b);
	n->ops->heard(n->ctx, i, b);
	n->ops->told(n->ctx, i, &b->load);
	if (changed) {
		update_members(n);
		n->ops->turned(n->ctx, i);
	}
}

/*
 * Tells a node that the server which it takes for sound said that it ends.
 */
static void
send_departure(struct fleet_net *n, const struct fleet_beat *b)
{
	struct fleet_msg m;

	memset(&m, 0, sizeof(m));
	m.kind = FLEET_LEFT;
	m.fleet_msg_u.left.server = b->server.id;
	m.fleet_msg_u.left.born_ms = b->server.born_ms;
	fleet_send(n, &m, b->address);
}

/*
 * Encodes a message and seals it.  Returns its length, or 0 if it is too long.
 */
static size_t
encode(const struct fleet_net *n, const struct fleet_msg *m, char *buf)
{
	size_t len = 0;
	XDR x;

	xdrmem_create(&x, buf, DATAGRAM_BYTES, XDR_ENCODE);
	if (xdr_fleet_msg(&x, (struct fleet_msg *)(uintptr_t)m))
		len = seal_datagram(n->seal, buf, xdr_getpos(&x));
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
	char buf[DATAGRAM_BYTES + SEAL_BYTES];
	size_t len = encode(n, m, buf);

	if (len > 0)
		send_bytes(n, buf, len, address);
}

/*
 * Sends a message to all nodes that are not gone.
 */
void
fleet_send_all(struct fleet_net *n, const struct fleet_msg *m)
{
	char buf[DATAGRAM_BYTES + SEAL_BYTES];
	size_t i, len = encode(n, m, buf);

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
	n->print = fleet_print(&m.fleet_msg_u.beat);
	n->wholes = FULL_HEARTBEAT_REPEATS;
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
