#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define SLOW_MS 120
#define LOST_PERCENT 30 /* of datagrams, where they are lossy */

/* Two connections, joined. */
struct proxy_pair {
	struct proxy *proxy;
	struct proxy_pair *next;
	uv_tcp_t ends[2]; /* 0: of the node, 1: of the other side */
	uv_connect_t connect;
	int open; /* ends and delayed pieces */
	int closing;
};

struct piece {
	uv_write_t req;
	uv_timer_t timer;
	uv_stream_t *to;
	struct proxy_pair *pair;
	size_t len;
	char bytes[];
};

/*
 * Lets go of a pair; the last of its ends and delayed pieces frees it.
 */
static void
pair_release(struct proxy_pair *p)
{
	struct proxy_pair **at;

	if (--p->open > 0)
		return;
	for (at = &p->proxy->pairs; *at != p; at = &(*at)->next)
		;
	*at = p->next;
	free(p);
}

static void
on_closed(uv_handle_t *h)
{
	pair_release(h->data);
}

static void
pair_close(struct proxy_pair *p, int reset)
{
	int i;

	if (p->closing)
		return;
	p->closing = 1;
	for (i = 0; i < 2; i++)
		if (!reset || uv_tcp_close_reset(&p->ends[i], on_closed) != 0)
			uv_close((uv_handle_t *)&p->ends[i], on_closed);
}

static void
on_written(uv_write_t *req, int status)
{
	(void)status;
	free(req->data);
}

static void
piece_send(struct piece *x)
{
	uv_buf_t b = uv_buf_init(x->bytes, (unsigned int)x->len);

	x->req.data = x;
	if (x->pair->closing ||
	    uv_write(&x->req, x->to, &b, 1, on_written) != 0)
		free(x);
}

static void
timer_freed(uv_handle_t *h)
{
	struct piece *x = h->data;
	struct proxy_pair *p = x->pair;

	piece_send(x);
	pair_release(p);
}

static void
on_due(uv_timer_t *t)
{
	uv_close((uv_handle_t *)t, timer_freed);
}

static void
on_alloc(uv_handle_t *h, size_t n, uv_buf_t *b)
{
	static char room[65536];

	(void)h;
	(void)n;
	*b = uv_buf_init(room, sizeof(room));
}

static void
on_read(uv_stream_t *from, ssize_t n, const uv_buf_t *b)
{
	struct proxy_pair *p = from->data;
	int side = from == (uv_stream_t *)&p->ends[1];
	enum link_mode mode = p->proxy->mode;
	struct piece *x;

	if (mode == LINK_SILENT || (mode == LINK_ONE_WAY && side == 1))
		return; /* bytes and ends are lost */
	if (n < 0) {
		pair_close(p, n != UV_EOF);
		return;
	}
	if (n == 0)
		return;
	x = malloc(sizeof(*x) + (size_t)n);
	if (x == NULL)
		err(1, "out of memory");
	x->pair = p;
	x->to = (uv_stream_t *)&p->ends[!side];
	x->len = (size_t)n;
	memcpy(x->bytes, b->base, (size_t)n);
	if (mode != LINK_SLOW) {
		piece_send(x);
		return;
	}
	p->open++;
	uv_timer_init(&soak.loop, &x->timer);
	x->timer.data = x;
	uv_timer_start(&x->timer, on_due, SLOW_MS, 0);
}

static void
on_connected(uv_connect_t *c, int status)
{
	struct proxy_pair *p = c->data;

	if (p->closing)
		return;
	if (status != 0) {
		pair_close(p, 1);
		return;
	}
	uv_read_start((uv_stream_t *)&p->ends[0], on_alloc, on_read);
	uv_read_start((uv_stream_t *)&p->ends[1], on_alloc, on_read);
}

static void
on_connection(uv_stream_t *l, int status)
{
	struct proxy *x = l->data;
	struct proxy_pair *p;
	int i;

	if (status != 0)
		return;
	p = calloc(1, sizeof(*p));
	if (p == NULL)
		err(1, "out of memory");
	p->proxy = x;
	p->next = x->pairs;
	x->pairs = p;
	p->open = 2;
	for (i = 0; i < 2; i++) {
		uv_tcp_init(&soak.loop, &p->ends[i]);
		p->ends[i].data = p;
	}
	uv_accept(l, (uv_stream_t *)&p->ends[0]);
	p->connect.data = p;
	uv_tcp_connect(
	    &p->connect, &p->ends[1], (struct sockaddr *)&x->to, on_connected);
}

/*
 * Joins connections to one address with an other.
 */
void
proxy_init(
    struct proxy *x, const struct sockaddr_in *at, const struct sockaddr_in *to)
{
	x->to = *to;
	uv_tcp_init(&soak.loop, &x->listener);
	x->listener.data = x;
	if (uv_tcp_bind(&x->listener, (const struct sockaddr *)at, 0) != 0 ||
	    uv_listen((uv_stream_t *)&x->listener, 256, on_connection) != 0)
		errx(1, "can't open a proxy's port");
}

/*
 * Changes what is done to all that passes.  Connections of a silent spell
 * stay silent for good, as after a cut.
 */
void
proxy_mode(struct proxy *x, enum link_mode mode)
{
	struct proxy_pair *p;

	if (x->mode == LINK_SILENT || x->mode == LINK_ONE_WAY)
		for (p = x->pairs; p != NULL; p = p->next) {
			if (p->closing)
				continue;
			uv_read_stop((uv_stream_t *)&p->ends[0]);
			uv_read_stop((uv_stream_t *)&p->ends[1]);
		}
	x->mode = mode;
}

/*
 * Resets all connections.
 */
void
proxy_reset(struct proxy *x)
{
	struct proxy_pair *p;

	for (p = x->pairs; p != NULL; p = p->next)
		pair_close(p, 1);
}

/*
 * Passes a datagram on to a node, from the address that other nodes know its
 * sender by.
 */
static void
on_datagram(uv_udp_t *u, ssize_t n, const uv_buf_t *b,
    const struct sockaddr *from, unsigned int flags)
{
	struct node *to = u->data;
	struct sockaddr_in at;
	uv_buf_t out = uv_buf_init(b->base, n > 0 ? (unsigned int)n : 0);
	int k;

	(void)flags;
	if (n <= 0 || from == NULL)
		return;
	at = *(const struct sockaddr_in *)from;
	k = (int)(ntohl(at.sin_addr.s_addr) >> 8 & 255) - 2;
	if (k < 0 || k >= soak.count || to->deaf || soak.nodes[k].mute ||
	    (soak.lossy && chance(100) < LOST_PERCENT))
		return;
	address(&at, (int)(to - soak.nodes), PORT_FLEET);
	uv_udp_try_send(
	    &soak.nodes[k].relay, &out, 1, (const struct sockaddr *)&at);
}

/*
 * Stands before a node: other nodes know it by the address told.
 */
void
relay_init(struct node *n)
{
	int k = (int)(n - soak.nodes);
	struct sockaddr_in at, to;

	address_told(&at, k, PORT_EXIT);
	address(&to, k, PORT_EXIT);
	proxy_init(&n->node_link, &at, &to);
	uv_udp_init(&soak.loop, &n->relay);
	n->relay.data = n;
	address_told(&at, k, PORT_FLEET);
	if (uv_udp_bind(&n->relay, (struct sockaddr *)&at, 0) != 0 ||
	    uv_udp_recv_start(&n->relay, on_alloc, on_datagram) != 0)
		errx(1, "can't open a relay's port");
}
