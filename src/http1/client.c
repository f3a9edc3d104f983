#include <err.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <netinet/tcp.h>

#include "base/loopclock.h"
#include "http1/http1_int.h"

#define HEAD_BYTES 65536	 /* of an answer's head */
#define KEEP_ALIVE_MARGIN_MS 500 /* before the server closes an idle one */
#define USER_TIMEOUT_MS 1500	 /* bytes unacknowledged: the peer is lost */

/* One connection to a server; it carries one exchange at a time. */
struct h1_peer {
	struct h1_stream stream; /* first, for libuv's handle */
	struct h1_pool *pool;
	struct h1_peer *next; /* in the pool's idle list */
	struct h1_xchg *xchg;
	http_parser parser;
	uv_connect_t connect;
	uint64_t idle_since_ms;
	uint64_t idle_max_ms; /* as the server's Keep-Alive told */
	uint64_t began_ms;    /* of connecting */
	uv_timer_t *timer;    /* while connecting */
};

struct h1_xchg {
	struct h1_peer *peer;
	const struct h1_client_ops *ops;
	void *ctx;
	struct h1_head head;
	struct h1_collect collect;
	uint64_t length;
	int chunked;   /* the request's body */
	int sent_all;  /* the request is written */
	int answered;  /* the whole answer is in */
	int skipping;  /* an answer that belongs to no request of ours */
	int head_only; /* the answer has no body, whatever its head says */
	int cancelled;
};

static void on_connect(uv_connect_t *, int);
static void on_timeout(uv_timer_t *);
static void on_read(uv_stream_t *, ssize_t, const uv_buf_t *);
static void on_close(uv_handle_t *);
static void on_drained(struct h1_stream *);
static void peer_close(struct h1_peer *);
static void peer_done(struct h1_peer *);
static void peer_fail(struct h1_peer *, enum h1_fail);
static struct h1_peer *peer_new(struct h1_pool *);
static void stop_timer(struct h1_peer *);
static void bound_silence(struct h1_peer *);
static int was_reset(const struct h1_peer *);
static int on_begin(http_parser *);
static int on_field(http_parser *, const char *, size_t);
static int on_value(http_parser *, const char *, size_t);
static int on_head(http_parser *);
static int on_body(http_parser *, const char *, size_t);
static int on_end(http_parser *);

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_end,
};

/*
 * Prepares a pool of connections to an address.  Connections idle for longer
 * than idle_ms aren't used; a new one must be up within connect_ms.
 */
void
h1_pool_init(struct h1_pool *pool, uv_loop_t *loop,
    const struct sockaddr_in *addr, uint64_t idle_ms, uint64_t connect_ms)
{
	memset(pool, 0, sizeof(*pool));
	pool->loop = loop;
	pool->addr = *addr;
	pool->idle_ms = idle_ms;
	pool->connect_ms = connect_ms;
}

/*
 * Closes idle connections until at most keep are left, the oldest first.
 */
void
h1_pool_trim(struct h1_pool *pool, uint32_t keep)
{
	struct h1_peer **at = &pool->idle, *p, *next;
	uint32_t i;

	for (i = 0; i < keep && *at != NULL; i++)
		at = &(*at)->next;
	p = *at;
	*at = NULL;
	for (; p != NULL; p = next) {
		next = p->next;
		pool->idle_count--;
		peer_close(p);
	}
}

/*
 * Closes all idle connections.  No exchange may be open, or the pool must
 * outlive it.
 */
void
h1_pool_finish(struct h1_pool *pool)
{
	h1_pool_trim(pool, 0);
}

/*
 * Opens a connection.
 */
static struct h1_peer *
peer_new(struct h1_pool *pool)
{
	struct h1_peer *p;

	p = calloc(1, sizeof(*p));
	if (p == NULL)
		err(1, "out of memory");
	p->pool = pool;
	uv_tcp_init(pool->loop, &p->stream.tcp);
	p->stream.tcp.data = p;
	p->stream.drained = on_drained;
	p->idle_max_ms = UINT64_MAX;
	p->stream.connecting = 1;
	p->connect.data = p;
	pool->open_count++;
	p->timer = malloc(sizeof(*p->timer));
	if (p->timer == NULL)
		err(1, "out of memory");
	uv_timer_init(pool->loop, p->timer);
	p->timer->data = p;
	uv_timer_start(p->timer, on_timeout, pool->connect_ms, 0);
	if (uv_tcp_connect(&p->connect, &p->stream.tcp,
		(const struct sockaddr *)&pool->addr, on_connect) != 0)
		uv_timer_start(p->timer, on_timeout, 0, 0);
	uv_tcp_nodelay(&p->stream.tcp, 1);
	return p;
}

/*
 * Sends a request, whose head is given whole, but for its body: of a length,
 * or in chunks.  A connection that has been idle for less than idle_ms may
 * be used.  The exchange is freed after ops->end or ops->fail returns, or by
 * h1_cancel().
 */
struct h1_xchg *
h1_send(struct h1_pool *pool, const struct h1_text *head, uint64_t length,
    int head_only, uint64_t idle_ms, const struct h1_client_ops *ops, void *ctx)
{
	uint64_t age, now = loop_ms(pool->loop);
	struct h1_xchg *x;
	struct h1_peer *p;

	x = calloc(1, sizeof(*x));
	if (x == NULL)
		err(1, "out of memory");
	if (idle_ms > pool->idle_ms)
		idle_ms = pool->idle_ms;
	p = pool->idle;
	if (p != NULL) {
		age = now - p->idle_since_ms;
		if (age >= idle_ms || age >= p->idle_max_ms) {
			/* The others have been idle for longer. */
			if (age >= pool->idle_ms || age >= p->idle_max_ms)
				h1_pool_trim(pool, 0);
			p = NULL;
		} else {
			pool->idle = p->next;
			pool->idle_count--;
		}
	}
	if (p == NULL)
		p = peer_new(pool);
	x->peer = p;
	x->ops = ops;
	x->ctx = ctx;
	x->head_only = head_only;
	x->chunked = length == H1_LENGTH_CHUNKED;
	x->sent_all = length == 0;
	h1_head_init(&x->head);
	p->xchg = x;
	p->next = NULL;
	http_parser_init(&p->parser, HTTP_RESPONSE);
	p->parser.data = p;
	h1_stream_write(&p->stream, head->p, head->len);
	return x;
}

/*
 * Sends a piece of the request's body.
 */
void
h1_send_body(struct h1_xchg *x, const char *p, size_t n)
{
	if (n == 0 || x->sent_all)
		return;
	if (x->chunked)
		h1_stream_chunk(&x->peer->stream, p, n);
	else
		h1_stream_write(&x->peer->stream, p, n);
}

/*
 * Ends the request's body.  An exchange whose answer came early ends here.
 */
void
h1_send_end(struct h1_xchg *x)
{
	if (x->sent_all)
		return;
	if (x->chunked)
		h1_stream_chunk(&x->peer->stream, NULL, 0);
	x->sent_all = 1;
}

/*
 * Returns how many bytes of the request are not written yet.
 */
size_t
h1_send_queued(const struct h1_xchg *x)
{
	return x->peer->stream.tcp.write_queue_size;
}

/*
 * Gives an exchange up: its connection is closed, which tells the server.
 */
void
h1_cancel(struct h1_xchg *x)
{
	struct h1_peer *p = x->peer;

	p->xchg = NULL;
	h1_head_finish(&x->head);
	free(x);
	peer_close(p);
}

/*
 * Stops reading the answer.
 */
void
h1_xchg_pause(struct h1_xchg *x)
{
	struct h1_stream *s = &x->peer->stream;

	if (s->paused || s->closing || s->connecting)
		return;
	s->paused = 1;
	uv_read_stop((uv_stream_t *)&s->tcp);
}

/*
 * Reads on.
 */
void
h1_xchg_resume(struct h1_xchg *x)
{
	struct h1_stream *s = &x->peer->stream;

	if (!s->paused || s->closing)
		return;
	s->paused = 0;
	uv_read_start((uv_stream_t *)&s->tcp, h1_alloc, on_read);
}

/*
 * Returns the head of the answer.
 */
const struct h1_head *
h1_xchg_head(const struct h1_xchg *x)
{
	return &x->head;
}

/*
 * Returns the answer's status.
 */
unsigned int
h1_xchg_status(const struct h1_xchg *x)
{
	return x->peer->parser.status_code;
}

/*
 * Returns the length of the answer's body, or H1_LENGTH_CHUNKED if it isn't
 * known before its end.
 */
uint64_t
h1_xchg_length(const struct h1_xchg *x)
{
	return x->length;
}

/*
 * Ends the time for connecting.
 */
static void
stop_timer(struct h1_peer *p)
{
	if (p->timer == NULL)
		return;
	uv_close((uv_handle_t *)p->timer, (uv_close_cb)free);
	p->timer = NULL;
}

/*
 * Has the kernel break a connection whose bytes aren't acknowledged: a peer
 * behind a cut sends no reset.
 */
static void
bound_silence(struct h1_peer *p)
{
	unsigned int ms = USER_TIMEOUT_MS;
	int fd;

	if (uv_fileno((const uv_handle_t *)&p->stream.tcp, &fd) == 0)
		(void)setsockopt(
		    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

/*
 * The connection is up, or can't be had.
 */
static void
on_connect(uv_connect_t *req, int status)
{
	struct h1_peer *p = req->data;

	if (p->stream.closing)
		return;
	if (status != 0) {
		peer_fail(p, H1_NOT_SENT);
		return;
	}
	stop_timer(p);
	p->stream.connecting = 0;
	bound_silence(p);
	uv_read_start((uv_stream_t *)&p->stream.tcp, h1_alloc, on_read);
}

/*
 * A connection wasn't up in time.
 */
static void
on_timeout(uv_timer_t *timer)
{
	peer_fail(timer->data, H1_NOT_SENT);
}

/*
 * Frees a connection once libuv has let go of it.
 */
static void
on_close(uv_handle_t *handle)
{
	struct h1_peer *p = handle->data;

	p->pool->open_count--;
	free(p);
}

/*
 * Closes a connection that no exchange uses.
 */
static void
peer_close(struct h1_peer *p)
{
	if (p->stream.closing)
		return;
	p->stream.closing = 1;
	stop_timer(p);
	uv_close((uv_handle_t *)&p->stream.tcp, on_close);
}

/*
 * Ends an exchange that failed, and its connection.
 */
static void
peer_fail(struct h1_peer *p, enum h1_fail how)
{
	struct h1_xchg *x = p->xchg;

	p->xchg = NULL;
	if (x != NULL) {
		x->ops->fail(x->ctx, x, how);
		h1_head_finish(&x->head);
		free(x);
	}
	peer_close(p);
}

/*
 * Ends an exchange whose whole answer is in.  The connection is kept if
 * both sides are done with it.
 */
static void
peer_done(struct h1_peer *p)
{
	struct h1_xchg *x = p->xchg;
	struct h1_pool *pool = p->pool;
	char text[64];
	char *at;
	int keep;

	keep = x->sent_all && http_should_keep_alive(&p->parser);
	p->idle_max_ms = UINT64_MAX;
	if (h1_head_copy(&x->head, "Keep-Alive", text, sizeof(text)) > 0 &&
	    (at = strstr(text, "timeout=")) != NULL)
		p->idle_max_ms =
		    strtoull(at + strlen("timeout="), NULL, 10) * 1000;
	if (p->idle_max_ms != UINT64_MAX)
		p->idle_max_ms -= p->idle_max_ms < KEEP_ALIVE_MARGIN_MS
				      ? p->idle_max_ms
				      : KEEP_ALIVE_MARGIN_MS;
	p->xchg = NULL;
	x->ops->end(x->ctx, x);
	h1_head_finish(&x->head);
	free(x);
	if (!keep || p->stream.tcp.write_queue_size > 0) {
		peer_close(p);
		return;
	}
	if (p->stream.paused) {
		p->stream.paused = 0;
		uv_read_start((uv_stream_t *)&p->stream.tcp, h1_alloc, on_read);
	}
	p->idle_since_ms = loop_ms(pool->loop);
	p->next = pool->idle;
	pool->idle = p;
	pool->idle_count++;
}

/*
 * Tells whether the end of a connection was a reset: the kernel may report
 * the end first and keep the error.
 */
static int
was_reset(const struct h1_peer *p)
{
	socklen_t len;
	int fd, error = 0;

	len = sizeof(error);
	if (uv_fileno((const uv_handle_t *)&p->stream.tcp, &fd) != 0 ||
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) == -1)
		return 1;
	return error != 0;
}

/*
 * Takes bytes, or the end of the connection.
 */
static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct h1_peer *p = stream->data, **at;
	struct h1_xchg *x = p->xchg;
	size_t used, len;

	if (n == 0 || p->stream.closing)
		return;
	if (x == NULL) {
		/* An idle connection: its end, or bytes of no answer. */
		for (at = &p->pool->idle; *at != NULL; at = &(*at)->next) {
			if (*at != p)
				continue;
			*at = p->next;
			p->pool->idle_count--;
			break;
		}
		peer_close(p);
		return;
	}
	/* Only a clean end completes an answer that has no length. */
	if (n < 0 && (n != UV_EOF || was_reset(p))) {
		peer_fail(p, H1_BROKEN);
		return;
	}
	len = n < 0 ? 0 : (size_t)n;
	used =
	    http_parser_execute(&p->parser, &parser_settings, buf->base, len);
	if (p->stream.closing || p->xchg == NULL)
		return; /* cancelled by its owner meanwhile */
	if (x->answered) {
		if (used < len) /* more than one answer */
			x->sent_all = 0;
		peer_done(p);
		return;
	}
	if (HTTP_PARSER_ERRNO(&p->parser) != HPE_OK || p->parser.upgrade)
		peer_fail(p, n < 0 ? H1_BROKEN : H1_GARBLED);
	else if (n < 0)
		peer_fail(p, H1_BROKEN);
}

/*
 * Tells the owner that it may write again.
 */
static void
on_drained(struct h1_stream *stream)
{
	struct h1_peer *p = stream->tcp.data;

	if (p->xchg != NULL && p->xchg->ops->drained != NULL)
		p->xchg->ops->drained(p->xchg->ctx, p->xchg);
}

/*
 * Begins an answer.
 */
static int
on_begin(http_parser *parser)
{
	struct h1_peer *p = parser->data;
	struct h1_xchg *x = p->xchg;

	if (x == NULL)
		return -1;
	h1_head_finish(&x->head);
	x->skipping = 0;
	h1_collect_init(&x->collect, &x->head, HEAD_BYTES);
	return 0;
}

/*
 * Takes a piece of a field's name.
 */
static int
on_field(http_parser *parser, const char *at, size_t n)
{
	struct h1_peer *p = parser->data;

	return p->xchg == NULL ? -1
			       : h1_collect_field(&p->xchg->collect, at, n);
}

/*
 * Takes a piece of a field's value.
 */
static int
on_value(http_parser *parser, const char *at, size_t n)
{
	struct h1_peer *p = parser->data;

	return p->xchg == NULL ? -1
			       : h1_collect_value(&p->xchg->collect, at, n);
}

/*
 * Hands a whole head to the owner.  Interim answers are passed over.
 */
static int
on_head(http_parser *parser)
{
	struct h1_peer *p = parser->data;
	struct h1_xchg *x = p->xchg;

	if (x == NULL)
		return -1;
	if (parser->status_code / 100 == 1) {
		x->skipping = 1;
		return 0;
	}
	x->length = H1_LENGTH_CHUNKED;
	if (x->head_only || parser->status_code == 204 ||
	    parser->status_code == 304)
		x->length = 0;
	else if (!(parser->flags & F_CHUNKED) &&
		 parser->content_length != UINT64_MAX)
		x->length = parser->content_length;
	x->skipping = x->ops->head(x->ctx, x);
	if (p->xchg == NULL)
		return -1;
	return x->head_only ? 1 : 0;
}

/*
 * Hands a piece of the body to the owner.
 */
static int
on_body(http_parser *parser, const char *at, size_t n)
{
	struct h1_peer *p = parser->data;
	struct h1_xchg *x = p->xchg;

	if (x == NULL)
		return -1;
	if (!x->skipping)
		x->ops->body(x->ctx, x, at, n);
	return p->xchg == NULL ? -1 : 0;
}

/*
 * The answer is in, if it was ours.
 */
static int
on_end(http_parser *parser)
{
	struct h1_peer *p = parser->data;

	if (p->xchg == NULL)
		return -1;
	if (p->xchg->skipping)
		return 0;
	p->xchg->answered = 1;
	http_parser_pause(parser, 1);
	return 0;
}
