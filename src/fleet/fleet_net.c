#include <arpa/inet.h>
#include <string.h>

#include "base/loopclock.h"
#include "fleet/fleet.h"

#define DATAGRAM_BYTES 1400
/* Every nth heartbeat is a full one; the others carry only the load. */
#define FULL_HEARTBEAT_EVERY 8
/* More full heartbeats after a change, since datagrams may be lost. */
#define FULL_HEARTBEAT_REPEATS 2
/* Every nth heartbeat also goes to nodes that have long been silent. */
#define PROBE_EVERY 8
/* More intervals than this without an update mean a paused process. */
#define PAUSE_HEARTBEATS 3

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
static void receive_heartbeat(
    struct fleet_net *, const struct fleet_heartbeat *);
static void send_departure(struct fleet_net *, struct fleet_peer *);
static size_t encode(
    const struct fleet_net *, const struct fleet_msg *, char *);
static void send_bytes(struct fleet_net *, const char *, size_t, uint32_t);

/*
 * Empty arrays behind a message, for the last members of a message from an
 * older version, which ends before them.
 */
#define EMPTY_ARRAYS_BYTES (2 * 4)

/* Receive buffer of the only loop; processed before the next read. */
static char datagram[DATAGRAM_BYTES + SEAL_BYTES + EMPTY_ARRAYS_BYTES];

/*
 * Opens the socket and starts to send heartbeats.  Returns a libuv error or 0.
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
	n->members_updated_ms = loop_ms(loop);
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
 * Closes the socket and stops the heartbeat timer.
 */
void
fleet_net_close(struct fleet_net *n)
{
	uv_close((uv_handle_t *)&n->udp, NULL);
	uv_close((uv_handle_t *)&n->timer, NULL);
}

/*
 * Gives libuv the shared receive buffer.
 */
static void
provide_buffer(uv_handle_t *handle, size_t hint, uv_buf_t *buf)
{
	(void)handle;
	(void)hint;
	buf->base = datagram;
	buf->len = sizeof(datagram) - EMPTY_ARRAYS_BYTES;
}

/*
 * Updates the live nodes and sends a heartbeat to all nodes.
 */
static void
on_heartbeat_timer(uv_timer_t *timer)
{
	struct fleet_net *n = timer->data;
	uint64_t interval_ms = fleet_interval_ms(n->table);

	detect_pause(n);
	n->members_updated_ms = loop_ms(n->loop);
	update_members(n);
	send_heartbeat(n);
	if (++n->heartbeats_sent % PROBE_EVERY == 0)
		probe_silent_nodes(n);
	uv_timer_start(&n->timer, on_heartbeat_timer, interval_ms, 0);
}

/*
 * Detects that this process was paused, before anything that arrived during the
 * pause is processed.  After SIGSTOP the heartbeat timer fires first.  After a
 * suspension of the machine, which timers don't count, a datagram may arrive
 * first.
 */
static void
detect_pause(struct fleet_net *n)
{
	uint64_t now = loop_ms(n->loop),
		 elapsed_ms = now - n->members_updated_ms;

	if (elapsed_ms <= fleet_interval_ms(n->table) * PAUSE_HEARTBEATS)
		return;
	fleet_apply_pause(n->table, elapsed_ms, now);
	n->members_updated_ms = now;
	update_members(n);
}

/*
 * Sends a full heartbeat to all nodes if the state has changed or a full one is
 * due, and a load heartbeat otherwise.
 */
static void
send_heartbeat(struct fleet_net *n)
{
	struct fleet_msg m, pulse;
	uint64_t digest;

	memset(&m, 0, sizeof(m));
	m.kind = FLEET_HEARTBEAT;
	n->ops->fill_heartbeat(n->ctx, &m.fleet_msg_u.beat);
	digest = fleet_heartbeat_digest(&m.fleet_msg_u.beat);
	if (digest != n->sent_digest)
		n->full_heartbeats_due = 1 + FULL_HEARTBEAT_REPEATS;
	n->sent_digest = digest;
	if (n->full_heartbeats_due > 0 ||
	    n->heartbeats_sent % FULL_HEARTBEAT_EVERY == 0) {
		n->full_heartbeats_due -= n->full_heartbeats_due > 0;
		fleet_send_all(n, &m);
		return;
	}
	memset(&pulse, 0, sizeof(pulse));
	pulse.kind = FLEET_LOAD_HEARTBEAT;
	pulse.fleet_msg_u.pulse.incarnation = m.fleet_msg_u.beat.incarnation;
	pulse.fleet_msg_u.pulse.print = digest;
	pulse.fleet_msg_u.pulse.load = m.fleet_msg_u.beat.load;
	/* These change rarely: full heartbeats are enough. */
	pulse.fleet_msg_u.pulse.load.calls_per_1000.calls_per_1000_len = 0;
	fleet_send_all(n, &pulse);
}

/*
 * Updates the live nodes and notifies the owner of the socket if their set has
 * changed.
 */
static void
update_members(struct fleet_net *n)
{
	uint64_t previous_digest = n->table->live_digest;

	fleet_update_members(n->table, loop_ms(n->loop));
	if (n->table->live_digest != previous_digest)
		n->ops->on_members_changed(n->ctx, FLEET_NONE);
}

/*
 * Sends a heartbeat to the nodes that have long been silent: the partition
 * between them and this node may have healed.
 */
static void
probe_silent_nodes(struct fleet_net *n)
{
	const struct fleet_peer *p;
	size_t i;

	for (i = 0; i < n->table->count; i++) {
		p = &n->table->peers[i];
		if (p->has_departed && !p->stopping)
			fleet_send_heartbeat(n, p->address);
	}
}

/*
 * Verifies, decodes and dispatches a datagram.  Counts those that cannot be
 * decoded and those without a valid seal.
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
		n->seal_rejected++;
		return;
	}
	memset(&m, 0, sizeof(m));
	memset(buf->base + size, 0, EMPTY_ARRAYS_BYTES);
	xdrmem_create(
	    &x, buf->base, (unsigned int)size + EMPTY_ARRAYS_BYTES, XDR_DECODE);
	if (xdr_fleet_msg(&x, &m))
		dispatch(n, &m, (const struct sockaddr_in *)from);
	else
		n->undecodable++;
	xdr_destroy(&x);
	xdr_free((xdrproc_t)xdr_fleet_msg, (char *)&m);
}

/*
 * Passes a message to its handler.
 */
static void
dispatch(struct fleet_net *n, const struct fleet_msg *m,
    const struct sockaddr_in *from)
{
	int i;

	switch (m->kind) {
	case FLEET_HEARTBEAT:
		receive_heartbeat(n, &m->fleet_msg_u.beat);
		break;
	case FLEET_LOAD_HEARTBEAT:
		i = fleet_apply_load_heartbeat(n->table, &m->fleet_msg_u.pulse,
		    ntohl(from->sin_addr.s_addr), loop_ms(n->loop));
		if (i >= 0)
			n->ops->on_load(n->ctx, i, &m->fleet_msg_u.pulse.load);
		break;
	case FLEET_GOODBYE:
		fleet_apply_goodbye(
		    n->table, &m->fleet_msg_u.bye, loop_ms(n->loop));
		update_members(n);
		break;
	case FLEET_TOKEN_REQUEST:
		n->ops->on_token_request(n->ctx, &m->fleet_msg_u.ask, from);
		break;
	case FLEET_TOKEN_GRANT:
		n->ops->on_token_grant(n->ctx, &m->fleet_msg_u.give);
		break;
	case FLEET_CRASH_REPORT:
		n->ops->on_crash_report(n->ctx, &m->fleet_msg_u.strike);
		break;
	case FLEET_BUCKET:
		n->ops->on_bucket_transfer(n->ctx, &m->fleet_msg_u.bucket);
		break;
	case FLEET_PROOF_QUERY:
		n->ops->on_proof_query(n->ctx, &m->fleet_msg_u.doubt, from);
		break;
	case FLEET_DEPARTURE:
		n->ops->on_server_departed(n->ctx, &m->fleet_msg_u.left);
		break;
	case FLEET_PROOF:
		n->ops->on_proof(n->ctx, &m->fleet_msg_u.proof);
		break;
	case FLEET_ROUTE_PROFILE:
		n->ops->on_route_profile(n->ctx, &m->fleet_msg_u.profile);
		break;
	}
}

/*
 * Applies a full heartbeat and replies to the first one of a node at once.
 */
static void
receive_heartbeat(struct fleet_net *n, const struct fleet_heartbeat *b)
{
	uint64_t now = loop_ms(n->loop), previous_heard_ms = 0;
	int i, changed;

	i = fleet_find(n->table, b->node);
	if (i >= 0 && n->table->peers[i].incarnation == b->incarnation)
		previous_heard_ms = n->table->peers[i].heard_ms;
	i = fleet_apply_heartbeat(n->table, b, now, &changed);
	if (i < 0)
		return;
	if (previous_heard_ms == 0)
		fleet_send_heartbeat(n, b->address);
	if (b->server.away != FLEET_LEAVING &&
	    fleet_server_has_departed(&n->table->peers[i].departed_server,
		b->server.id, b->server.born_ms))
		send_departure(n, &n->table->peers[i]);
	n->ops->on_full_heartbeat(n->ctx, i, b);
	n->ops->on_load(n->ctx, i, &b->load);
	if (changed) {
		update_members(n);
		n->ops->on_members_changed(n->ctx, i);
	}
}

/*
 * Reminds a restarted node, whose heartbeat shows its server as available, that
 * the server announced its shutdown.
 */
static void
send_departure(struct fleet_net *n, struct fleet_peer *p)
{
	struct fleet_msg m;

	memset(&m, 0, sizeof(m));
	m.kind = FLEET_DEPARTURE;
	m.fleet_msg_u.left.server = p->departed_server.id;
	m.fleet_msg_u.left.born_ms = p->departed_server.started_by_ms;
	fleet_send(n, &m, p->address);
}

/*
 * Encodes and seals a message.  Returns its length, or 0 if it is too long.
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
 * Sends a datagram without waiting.  A failure is ignored, since datagrams may
 * be lost on the way as well.
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
 * Sends a message to all nodes that have not departed.
 */
void
fleet_send_all(struct fleet_net *n, const struct fleet_msg *m)
{
	char buf[DATAGRAM_BYTES + SEAL_BYTES];
	size_t i, len = encode(n, m, buf);

	for (i = 0; len > 0 && i < n->table->count; i++)
		if (!n->table->peers[i].has_departed)
			send_bytes(n, buf, len, n->table->peers[i].address);
}

/*
 * Sends a full heartbeat, or a goodbye, to all nodes.
 */
void
fleet_send_heartbeat_all(struct fleet_net *n, int bye)
{
	struct fleet_msg m;

	memset(&m, 0, sizeof(m));
	m.kind = bye ? FLEET_GOODBYE : FLEET_HEARTBEAT;
	n->ops->fill_heartbeat(n->ctx, &m.fleet_msg_u.beat);
	n->sent_digest = fleet_heartbeat_digest(&m.fleet_msg_u.beat);
	n->full_heartbeats_due = FULL_HEARTBEAT_REPEATS;
	fleet_send_all(n, &m);
}

/*
 * Sends a full heartbeat to one address.
 */
void
fleet_send_heartbeat(struct fleet_net *n, uint32_t address)
{
	struct fleet_msg m;

	memset(&m, 0, sizeof(m));
	m.kind = FLEET_HEARTBEAT;
	n->ops->fill_heartbeat(n->ctx, &m.fleet_msg_u.beat);
	fleet_send(n, &m, address);
}
