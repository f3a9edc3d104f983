#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "base/loopclock.h"
#include "http1/http1_int.h"

#define BACKLOG 1024
#define SWEEP_MS 250
#define LINGER_MS 1000	 /* for the peer to read an answer before a reset */
#define PIPELINED 16384	 /* bytes kept of requests that must wait */
#define HEAD_BYTES 16384 /* of a head, until a configuration says */
#define BODY_BYTES (64ULL << 20)
#define HEAD_MS 5000
#define IDLE_MS 60000

static void on_connection(uv_stream_t *, int);
static void on_close(uv_handle_t *);
static void on_drained(struct h1_stream *);
static void on_sweep(uv_timer_t *);
static void conn_linger(struct h1_conn *);
static void conn_refuse(struct h1_conn *, unsigned int);
static void conn_feed(struct h1_conn *, const char *, size_t);
static void conn_keep(struct h1_conn *, const char *, size_t);
static int close_idlest(struct h1_server *);
static int on_begin(http_parser *);
static int on_url(http_parser *, const char *, size_t);
static int on_field(http_parser *, const char *, size_t);
static int on_value(http_parser *, const char *, size_t);
static int on_head(http_parser *);
static int on_body(http_parser *, const char *, size_t);
static int on_end(http_parser *);

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_end,
};

/*
 * Listens at an address for requests, of which the owner hears through ops.
 * At most conn_max connections are kept.  Returns a libuv error or 0.
 */
int
h1_server_init(struct h1_server *s, uv_loop_t *loop,
    const struct sockaddr_in *at, const struct h1_server_ops *ops, void *ctx,
    uint32_t conn_max)
{
	int rc;

	memset(s, 0, sizeof(*s));
	s->loop = loop;
	s->ops = ops;
	s->ctx = ctx;
	s->conn_max = conn_max;
	s->limits.head_bytes = HEAD_BYTES;
	s->limits.body_bytes = BODY_BYTES;
	s->limits.head_ms = HEAD_MS;
	s->limits.idle_ms = IDLE_MS;
	uv_tcp_init(loop, &s->listener);
	s->listener.data = s;
	rc = uv_tcp_bind(&s->listener, (const struct sockaddr *)at, 0);
	if (rc == 0)
		rc = uv_listen(
		    (uv_stream_t *)&s->listener, BACKLOG, on_connection);
	uv_timer_init(loop, &s->sweeper);
	s->sweeper.data = s;
	uv_timer_start(&s->sweeper, on_sweep, SWEEP_MS, SWEEP_MS);
	return rc;
}

/*
 * From now on each answer ends its connection, and idle ones are closed.
 */
void
h1_server_closing(struct h1_server *s)
{
	s->closing = 1;
}

/*
 * Accepts no more connections.
 */
void
h1_server_stop(struct h1_server *s)
{
	if (s->stopped)
		return;
	s->stopped = 1;
	uv_close((uv_handle_t *)&s->listener, NULL);
}

/*
 * Closes the port and breaks off all connections.  The memory must stay until
 * the loop has let go of them.
 */
void
h1_server_finish(struct h1_server *s)
{
	struct h1_conn *c;

	h1_server_stop(s);
	uv_close((uv_handle_t *)&s->sweeper, NULL);
	for (c = s->conns; c != NULL; c = c->next)
		h1_conn_close(c);
}

/*
 * Returns how many requests are not answered yet.
 */
uint32_t
h1_server_busy(const struct h1_server *s)
{
	const struct h1_conn *c;
	uint32_t n = 0;

	for (c = s->conns; c != NULL; c = c->next)
		n += c->in == IN_HEAD || c->open;
	return n;
}

/*
 * Takes a new connection.
 */
static void
on_connection(uv_stream_t *listener, int status)
{
	struct h1_server *s = listener->data;
	struct h1_conn *c;

	if (status != 0)
		return;
	c = calloc(1, sizeof(*c));
	if (c == NULL)
		err(1, "out of memory");
	uv_tcp_init(s->loop, &c->stream.tcp);
	c->stream.tcp.data = c;
	c->stream.drained = on_drained;
	c->server = s;
	c->since_ms = loop_ms(s->loop);
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	h1_head_init(&c->head);
	c->next = s->conns;
	if (c->next != NULL)
		c->next->prev = c;
	s->conns = c;
	s->conn_count++;
	if (uv_accept(listener, (uv_stream_t *)&c->stream.tcp) != 0) {
		h1_conn_close(c);
		return;
	}
	uv_tcp_nodelay(&c->stream.tcp, 1);
	uv_read_start((uv_stream_t *)&c->stream.tcp, h1_alloc, h1_on_read);
	if (s->conn_count > s->conn_max && !close_idlest(s))
		h1_conn_close(c);
}

/*
 * Closes the connection that has been idle for longest.  Returns 0 if none
 * is idle.
 */
static int
close_idlest(struct h1_server *s)
{
	struct h1_conn *c, *worst = NULL;

	for (c = s->conns; c != NULL; c = c->next)
		if (c->in == IN_IDLE && !c->stream.closing &&
		    (worst == NULL || c->since_ms < worst->since_ms))
			worst = c;
	if (worst == NULL)
		return 0;
	h1_conn_close(worst);
	return 1;
}

/*
 * Closes idle connections and refuses heads that take too long.
 */
static void
on_sweep(uv_timer_t *timer)
{
	struct h1_server *s = timer->data;
	struct h1_conn *c, *next;
	uint64_t age, now = loop_ms(s->loop);

	for (c = s->conns; c != NULL; c = next) {
		next = c->next;
		if (c->stream.closing)
			continue;
		age = now - c->since_ms;
		if (c->lingering) {
			if (age > LINGER_MS)
				h1_conn_close(c);
		} else if (c->in == IN_IDLE) {
			if (age > s->limits.idle_ms)
				h1_conn_close(c);
		} else if (c->in == IN_HEAD && age > s->limits.head_ms) {
			conn_refuse(c, 408);
		}
	}
}

/*
 * Frees a connection once libuv has let go of it.
 */
static void
on_close(uv_handle_t *handle)
{
	struct h1_conn *c = handle->data;
	struct h1_server *s = c->server;

	if (c->prev != NULL)
		c->prev->next = c->next;
	else
		s->conns = c->next;
	if (c->next != NULL)
		c->next->prev = c->prev;
	s->conn_count--;
	h1_head_finish(&c->head);
	free(c->pending);
	free(c);
}

/*
 * Closes a connection.  The owner of an open request hears that the caller
 * is gone.
 */
void
h1_conn_close(struct h1_conn *c)
{
	if (c->stream.closing)
		return;
	c->stream.closing = 1;
	if (c->open) {
		c->open = 0;
		c->server->ops->gone(c->server->ctx, c);
	}
	uv_close((uv_handle_t *)&c->stream.tcp, on_close);
}

/*
 * Ends the sending side and waits for the peer to read, since closing with
 * unread bytes would reset the connection under the answer.
 */
static void
conn_linger(struct h1_conn *c)
{
	if (c->lingering || c->stream.closing)
		return;
	c->lingering = 1;
	c->since_ms = loop_ms(c->server->loop);
	uv_shutdown(&c->shutdown, (uv_stream_t *)&c->stream.tcp, NULL);
	h1_conn_resume(c);
}

/*
 * Answers a request that can't be read, and ends the connection.
 */
static void
conn_refuse(struct h1_conn *c, unsigned int status)
{
	c->keep = 0;
	if (c->out == OUT_NONE)
		h1_answer(c, status, NULL, NULL, 0);
	conn_linger(c);
}

/*
 * Keeps bytes that came before the present request is answered.
 */
static void
conn_keep(struct h1_conn *c, const char *p, size_t n)
{
	char *grown;

	if (n == 0)
		return;
	grown = realloc(c->pending, c->pending_len + n);
	if (grown == NULL)
		err(1, "out of memory");
	c->pending = grown;
	memcpy(c->pending + c->pending_len, p, n);
	c->pending_len += n;
	if (c->pending_len > PIPELINED)
		h1_conn_pause(c);
}

/*
 * Gives bytes to the parser.
 */
static void
conn_feed(struct h1_conn *c, const char *p, size_t n)
{
	size_t used;

	c->feeding = 1;
	used = http_parser_execute(&c->parser, &parser_settings, p, n);
	c->feeding = 0;
	if (c->stream.closing || c->lingering)
		return;
	if (HTTP_PARSER_ERRNO(&c->parser) == HPE_PAUSED) {
		conn_keep(c, p + used, n - used);
		h1_conn_advance(c);
		return;
	}
	if (HTTP_PARSER_ERRNO(&c->parser) == HPE_OK && !c->parser.upgrade)
		return;
	if (c->in == IN_BODY && c->open) {
		/* A body that breaks off: the request never was whole. */
		h1_conn_close(c);
		return;
	}
	conn_refuse(c, c->collect.overflow ? 431 : 400);
}

/*
 * Goes on to the next request, if this one is read and answered.
 */
void
h1_conn_advance(struct h1_conn *c)
{
	char *p;
	size_t n;

	while (!c->feeding && !c->stream.closing && !c->lingering &&
	       c->out == OUT_DONE) {
		if (!c->keep) {
			conn_linger(c);
			return;
		}
		if (c->in != IN_READ)
			return;
		c->in = IN_IDLE;
		c->out = OUT_NONE;
		c->user = NULL;
		c->since_ms = loop_ms(c->server->loop);
		h1_head_finish(&c->head);
		http_parser_pause(&c->parser, 0);
		p = c->pending;
		n = c->pending_len;
		c->pending = NULL;
		c->pending_len = 0;
		h1_conn_resume(c);
		if (n > 0)
			conn_feed(c, p, n);
		free(p);
	}
}

/*
 * Takes bytes, or the end of the connection.
 */
void
h1_on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct h1_conn *c = stream->data;

	if (n == 0 || c->stream.closing)
		return;
	if (n < 0) {
		h1_conn_close(c);
		return;
	}
	if (c->lingering)
		return;
	if (c->in == IN_READ)
		conn_keep(c, buf->base, (size_t)n);
	else
		conn_feed(c, buf->base, (size_t)n);
}

/*
 * Tells the owner that it may write again.
 */
static void
on_drained(struct h1_stream *stream)
{
	struct h1_conn *c = stream->tcp.data;

	if (c->open && c->server->ops->drained != NULL)
		c->server->ops->drained(c->server->ctx, c);
}

/*
 * Begins a request.
 */
static int
on_begin(http_parser *parser)
{
	struct h1_conn *c = parser->data;

	c->in = IN_HEAD;
	c->since_ms = loop_ms(c->server->loop);
	c->body_seen = 0;
	h1_collect_init(&c->collect, &c->head, c->server->limits.head_bytes);
	return 0;
}

/*
 * Takes a piece of the request target.
 */
static int
on_url(http_parser *parser, const char *p, size_t n)
{
	struct h1_conn *c = parser->data;

	return h1_collect_target(&c->collect, p, n);
}

/*
 * Takes a piece of a field's name.
 */
static int
on_field(http_parser *parser, const char *p, size_t n)
{
	struct h1_conn *c = parser->data;

	if (c->in != IN_HEAD)
		return 0; /* trailers are dropped */
	return h1_collect_field(&c->collect, p, n);
}

/*
 * Takes a piece of a field's value.
 */
static int
on_value(http_parser *parser, const char *p, size_t n)
{
	struct h1_conn *c = parser->data;

	if (c->in != IN_HEAD)
		return 0;
	return h1_collect_value(&c->collect, p, n);
}

/*
 * Hands a whole head to the owner.
 */
static int
on_head(http_parser *parser)
{
	static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";
	struct h1_conn *c = parser->data;
	size_t n;

	c->in = IN_BODY;
	c->since_ms = loop_ms(c->server->loop);
	c->keep = http_should_keep_alive(parser) && !c->server->closing;
	if (parser->upgrade || parser->method == HTTP_CONNECT)
		return -1;
	if (h1_conn_has_body(c) && parser->content_length != UINT64_MAX &&
	    parser->content_length > c->server->limits.body_bytes) {
		conn_refuse(c, 413);
		return 0;
	}
	c->open = 1;
	c->server->ops->head(c->server->ctx, c);
	if (c->out == OUT_NONE && !c->stream.closing &&
	    h1_head_get(&c->head, "Expect", &n) != NULL)
		h1_stream_write(&c->stream, go_on, strlen(go_on));
	return 0;
}

/*
 * Hands a piece of the body to the owner, unless it has answered already.
 */
static int
on_body(http_parser *parser, const char *p, size_t n)
{
	struct h1_conn *c = parser->data;

	c->body_seen += n;
	if (c->body_seen > c->server->limits.body_bytes) {
		conn_refuse(c, 413);
		return 0;
	}
	if (c->open && c->server->ops->body != NULL)
		c->server->ops->body(c->server->ctx, c, p, n);
	return 0;
}

/*
 * The request is in.  Parsing pauses until it is answered.
 */
static int
on_end(http_parser *parser)
{
	struct h1_conn *c = parser->data;

	c->in = IN_READ;
	if (c->open)
		c->server->ops->end(c->server->ctx, c);
	http_parser_pause(parser, 1);
	return 0;
}
