#include <err.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>

#include "base/loopclock.h"
#include "http1/http1_int.h"

#define LISTEN_BACKLOG 1024
#define TIMEOUT_CHECK_MS 250
#define PAUSED_CHECK_MS 100	  /* whether callers that aren't read left */
#define LINGER_MS 1000		  /* for the caller to read a response */
#define PIPELINED_MAX_BYTES 16384 /* of later requests, buffered */

/* Limits until a configuration sets them. */
#define DEFAULT_MAX_HEAD_BYTES 16384
#define DEFAULT_MAX_BODY_BYTES (64ULL << 20)
#define DEFAULT_HEAD_TIMEOUT_MS 5000
#define DEFAULT_IDLE_TIMEOUT_MS 60000

static void on_connection(uv_stream_t *, int);
static void on_conn_closed(uv_handle_t *);
static void on_stream_drained(struct h1_stream *);
static void on_timeout_check(uv_timer_t *);
static void on_paused_check(uv_timer_t *);
static void conn_linger(struct h1_conn *);
static void conn_reject(struct h1_conn *, unsigned int);
static void conn_parse(struct h1_conn *, const char *, size_t);
static void conn_buffer_pipelined(struct h1_conn *, const char *, size_t);
static int close_longest_idle(struct h1_server *);
static int on_message_begin(http_parser *);
static int on_url(http_parser *, const char *, size_t);
static int on_header_field(http_parser *, const char *, size_t);
static int on_header_value(http_parser *, const char *, size_t);
static int on_headers_complete(http_parser *);
static int on_body(http_parser *, const char *, size_t);
static int on_message_complete(http_parser *);

static const http_parser_settings parser_settings = {
	.on_message_begin = on_message_begin,
	.on_url = on_url,
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

/*
 * Listens on an address and reports requests through ops.  At most conn_max
 * connections are kept open.  Returns 0 or a libuv error.
 */
int
h1_server_init(struct h1_server *s, uv_loop_t *loop,
    const struct sockaddr_in *addr, const struct h1_server_ops *ops, void *ctx,
    uint32_t conn_max)
{
	int rc;

	memset(s, 0, sizeof(*s));
	s->loop = loop;
	s->ops = ops;
	s->ctx = ctx;
	s->conn_max = conn_max;
	s->limits.max_head_bytes = DEFAULT_MAX_HEAD_BYTES;
	s->limits.max_body_bytes = DEFAULT_MAX_BODY_BYTES;
	s->limits.head_timeout_ms = DEFAULT_HEAD_TIMEOUT_MS;
	s->limits.idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS;
	uv_tcp_init(loop, &s->listener);
	s->listener.data = s;
	rc = uv_tcp_bind(&s->listener, (const struct sockaddr *)addr, 0);
	if (rc == 0)
		rc = uv_listen(
		    (uv_stream_t *)&s->listener, LISTEN_BACKLOG, on_connection);
	uv_timer_init(loop, &s->timeout_timer);
	s->timeout_timer.data = s;
	uv_timer_start(&s->timeout_timer, on_timeout_check, TIMEOUT_CHECK_MS,
	    TIMEOUT_CHECK_MS);
	uv_timer_init(loop, &s->paused_timer);
	s->paused_timer.data = s;
	return rc;
}

/*
 * Starts draining: each further response closes its connection.
 */
void
h1_server_start_draining(struct h1_server *s)
{
	s->draining = 1;
}

/*
 * Closes the listener, so that no more connections are accepted.
 */
void
h1_server_stop_accepting(struct h1_server *s)
{
	if (s->listener_closed)
		return;
	s->listener_closed = 1;
	uv_close((uv_handle_t *)&s->listener, NULL);
}

/*
 * Closes the listener and all connections.  The memory of the server must
 * stay valid until libuv has closed their handles.
 */
void
h1_server_finish(struct h1_server *s)
{
	struct h1_conn *c;

	h1_server_stop_accepting(s);
	uv_close((uv_handle_t *)&s->timeout_timer, NULL);
	uv_close((uv_handle_t *)&s->paused_timer, NULL);
	for (c = s->conns; c != NULL; c = c->next)
		h1_conn_close(c);
}

/*
 * Returns the number of requests that are not yet answered.
 */
uint32_t
h1_server_open_requests(const struct h1_server *s)
{
	const struct h1_conn *c;
	uint32_t n = 0;

	for (c = s->conns; c != NULL; c = c->next)
		n += c->request_state == H1_REQUEST_HEAD || c->request_open;
	return n;
}

/*
 * Accepts a connection.  At the connection limit, closes the one that has
 * been idle longest, or the new one if none is idle.
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
	c->stream.on_drained = on_stream_drained;
	c->server = s;
	c->state_since_ms = loop_ms(s->loop);
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
	uv_read_start((uv_stream_t *)&c->stream.tcp, h1_alloc_read_buffer,
	    h1_conn_on_read);
	if (s->conn_count > s->conn_max && !close_longest_idle(s))
		h1_conn_close(c);
}

/*
 * Closes the connection that has been idle longest.  Returns 1, or 0 if none
 * is idle.
 */
static int
close_longest_idle(struct h1_server *s)
{
	struct h1_conn *c, *longest = NULL;

	for (c = s->conns; c != NULL; c = c->next)
		if (c->request_state == H1_REQUEST_IDLE && !c->stream.closing &&
		    (longest == NULL ||
			c->state_since_ms < longest->state_since_ms))
			longest = c;
	if (longest == NULL)
		return 0;
	h1_conn_close(longest);
	return 1;
}

/*
 * Closes connections past their idle or linger timeout, and rejects requests
 * whose head takes too long.
 */
static void
on_timeout_check(uv_timer_t *timer)
{
	struct h1_server *s = timer->data;
	struct h1_conn *c, *next;
	uint64_t age, now = loop_ms(s->loop);

	for (c = s->conns; c != NULL; c = next) {
		next = c->next;
		if (c->stream.closing)
			continue;
		age = now - c->state_since_ms;
		if (c->lingering) {
			if (age > LINGER_MS)
				h1_conn_close(c);
		} else if (c->request_state == H1_REQUEST_IDLE) {
			if (age > s->limits.idle_timeout_ms)
				h1_conn_close(c);
		} else if (c->request_state == H1_REQUEST_HEAD &&
			   age > s->limits.head_timeout_ms) {
			conn_reject(c, 408);
		}
	}
}

/*
 * Starts to check paused connections.
 */
void
h1_server_watch_paused(struct h1_server *s)
{
	if (!uv_is_active((uv_handle_t *)&s->paused_timer))
		uv_timer_start(&s->paused_timer, on_paused_check,
		    PAUSED_CHECK_MS, PAUSED_CHECK_MS);
}

/*
 * Closes paused connections whose caller has left.  A connection that isn't
 * read reports no end.
 */
static void
on_paused_check(uv_timer_t *timer)
{
	struct h1_server *s = timer->data;
	struct h1_conn *c;
	int paused = 0;

	for (c = s->conns; c != NULL; c = c->next)
		if (c->stream.paused && !c->stream.closing)
			paused += !h1_conn_close_if_left(c);
	if (paused == 0)
		uv_timer_stop(timer);
}

/*
 * Closes a connection if the caller has closed or reset it, even if bytes
 * before the end are still to be read.  Returns 1 if so, else 0.
 */
int
h1_conn_close_if_left(struct h1_conn *c)
{
	struct pollfd p = { .events = POLLRDHUP };

	if (uv_fileno((const uv_handle_t *)&c->stream.tcp, &p.fd) != 0 ||
	    poll(&p, 1, 0) != 1)
		return 0;
	h1_conn_close(c);
	return 1;
}

/*
 * Frees a connection after libuv has closed its handle.
 */
static void
on_conn_closed(uv_handle_t *handle)
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
	free(c->pipelined);
	free(c);
}

/*
 * Closes a connection.  The owner of an open request is notified that the
 * caller disconnected.
 */
void
h1_conn_close(struct h1_conn *c)
{
	if (c->stream.closing)
		return;
	c->stream.closing = 1;
	if (c->request_open) {
		c->request_open = 0;
		c->server->ops->disconnected(c->server->ctx, c);
	}
	uv_close((uv_handle_t *)&c->stream.tcp, on_conn_closed);
}

/*
 * Shuts down the sending side and waits for the caller to close.  Closing
 * with unread bytes would reset the connection before the caller has read the
 * response.
 */
static void
conn_linger(struct h1_conn *c)
{
	if (c->lingering || c->stream.closing)
		return;
	c->lingering = 1;
	c->state_since_ms = loop_ms(c->server->loop);
	uv_shutdown(&c->shutdown, (uv_stream_t *)&c->stream.tcp, NULL);
	h1_conn_resume(c);
}

/*
 * Responds with an error to a request that can't be accepted, and closes the
 * connection.
 */
static void
conn_reject(struct h1_conn *c, unsigned int status)
{
	c->keep_alive = 0;
	if (c->response_state == H1_RESPONSE_NONE)
		h1_send_response(c, status, NULL, NULL, 0);
	conn_linger(c);
}

/*
 * Buffers bytes received before the current request is answered.  Pauses
 * reading when the buffer is full.
 */
static void
conn_buffer_pipelined(struct h1_conn *c, const char *p, size_t n)
{
	char *buf;

	if (n == 0)
		return;
	buf = realloc(c->pipelined, c->pipelined_len + n);
	if (buf == NULL)
		err(1, "out of memory");
	c->pipelined = buf;
	memcpy(c->pipelined + c->pipelined_len, p, n);
	c->pipelined_len += n;
	if (c->pipelined_len > PIPELINED_MAX_BYTES)
		h1_conn_pause(c);
}

/*
 * Parses received bytes.
 */
static void
conn_parse(struct h1_conn *c, const char *p, size_t n)
{
	size_t used;

	c->parsing = 1;
	used = http_parser_execute(&c->parser, &parser_settings, p, n);
	c->parsing = 0;
	if (c->stream.closing || c->lingering)
		return;
	if (HTTP_PARSER_ERRNO(&c->parser) == HPE_PAUSED) {
		conn_buffer_pipelined(c, p + used, n - used);
		h1_conn_next_request(c);
		return;
	}
	if (HTTP_PARSER_ERRNO(&c->parser) == HPE_OK && !c->parser.upgrade)
		return;
	if (c->request_state == H1_REQUEST_BODY && c->request_open) {
		/* The body is malformed, so the request is incomplete. */
		h1_conn_close(c);
		return;
	}
	conn_reject(c, c->builder.overflow ? 431 : 400);
}

/*
 * Starts the next request if the current one is read and answered.
 */
void
h1_conn_next_request(struct h1_conn *c)
{
	char *p;
	size_t n;

	while (!c->parsing && !c->stream.closing && !c->lingering &&
	       c->response_state == H1_RESPONSE_DONE) {
		if (!c->keep_alive) {
			conn_linger(c);
			return;
		}
		if (c->request_state != H1_REQUEST_READ)
			return;
		c->request_state = H1_REQUEST_IDLE;
		c->response_state = H1_RESPONSE_NONE;
		c->user = NULL;
		c->state_since_ms = loop_ms(c->server->loop);
		h1_head_finish(&c->head);
		http_parser_pause(&c->parser, 0);
		p = c->pipelined;
		n = c->pipelined_len;
		c->pipelined = NULL;
		c->pipelined_len = 0;
		h1_conn_resume(c);
		if (n > 0)
			conn_parse(c, p, n);
		free(p);
	}
}

/*
 * Handles received bytes or the end of the connection.
 */
void
h1_conn_on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
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
	if (c->request_state == H1_REQUEST_READ)
		conn_buffer_pipelined(c, buf->base, (size_t)n);
	else
		conn_parse(c, buf->base, (size_t)n);
}

/*
 * Notifies the owner that the write queue has drained.
 */
static void
on_stream_drained(struct h1_stream *stream)
{
	struct h1_conn *c = stream->tcp.data;

	if (c->request_open && c->server->ops->drained != NULL)
		c->server->ops->drained(c->server->ctx, c);
}

/*
 * Starts a request.
 */
static int
on_message_begin(http_parser *parser)
{
	struct h1_conn *c = parser->data;

	c->request_state = H1_REQUEST_HEAD;
	c->state_since_ms = loop_ms(c->server->loop);
	c->body_received = 0;
	h1_builder_init(
	    &c->builder, &c->head, c->server->limits.max_head_bytes);
	return 0;
}

/*
 * Appends a piece of the request target.
 */
static int
on_url(http_parser *parser, const char *p, size_t n)
{
	struct h1_conn *c = parser->data;

	return h1_builder_add_target(&c->builder, p, n);
}

/*
 * Appends a piece of a field's name.
 */
static int
on_header_field(http_parser *parser, const char *p, size_t n)
{
	struct h1_conn *c = parser->data;

	if (c->request_state != H1_REQUEST_HEAD)
		return 0; /* ignore trailers */
	return h1_builder_add_name(&c->builder, p, n);
}

/*
 * Appends a piece of a field's value.
 */
static int
on_header_value(http_parser *parser, const char *p, size_t n)
{
	struct h1_conn *c = parser->data;

	if (c->request_state != H1_REQUEST_HEAD)
		return 0;
	return h1_builder_add_value(&c->builder, p, n);
}

/*
 * Passes a complete request head to the owner.  Rejects upgrades, CONNECT and
 * bodies over the limit.
 */
static int
on_headers_complete(http_parser *parser)
{
	static const char continue_response[] = "HTTP/1.1 100 Continue\r\n\r\n";
	struct h1_conn *c = parser->data;
	size_t n;

	c->request_state = H1_REQUEST_BODY;
	c->state_since_ms = loop_ms(c->server->loop);
	c->keep_alive = http_should_keep_alive(parser) && !c->server->draining;
	if (parser->upgrade || parser->method == HTTP_CONNECT)
		return -1;
	if (h1_conn_has_body(c) && parser->content_length != UINT64_MAX &&
	    parser->content_length > c->server->limits.max_body_bytes) {
		conn_reject(c, 413);
		return 0;
	}
	c->request_open = 1;
	c->server->ops->head(c->server->ctx, c);
	if (c->response_state == H1_RESPONSE_NONE && !c->stream.closing &&
	    h1_head_get(&c->head, "Expect", &n) != NULL)
		h1_stream_write(
		    &c->stream, continue_response, strlen(continue_response));
	return 0;
}

/*
 * Passes a piece of the body to the owner, unless the request is already
 * answered.  Rejects bodies over the limit.
 */
static int
on_body(http_parser *parser, const char *p, size_t n)
{
	struct h1_conn *c = parser->data;

	c->body_received += n;
	if (c->body_received > c->server->limits.max_body_bytes) {
		conn_reject(c, 413);
		return 0;
	}
	if (c->request_open && c->server->ops->body != NULL)
		c->server->ops->body(c->server->ctx, c, p, n);
	return 0;
}

/*
 * Tells the owner that the request is complete, and pauses the parser until
 * it is answered.
 */
static int
on_message_complete(http_parser *parser)
{
	struct h1_conn *c = parser->data;

	c->request_state = H1_REQUEST_READ;
	if (c->request_open)
		c->server->ops->end(c->server->ctx, c);
	http_parser_pause(parser, 1);
	return 0;
}
