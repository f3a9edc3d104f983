#include <err.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <netinet/tcp.h>

#include "base/loopclock.h"
#include "http1/http1_int.h"

#define KEEP_ALIVE_MARGIN_MS 500 /* stop reuse before the server's timeout */
#define UNACKED_TIMEOUT_MS 1500	 /* then the server is unreachable */

static void on_connect(uv_connect_t *, int);
static void on_connect_timeout(uv_timer_t *);
static void on_read(uv_stream_t *, ssize_t, const uv_buf_t *);
static void on_conn_closed(uv_handle_t *);
static void on_stream_drained(struct h1_stream *);
static int conn_detach(struct h1_client_conn *);
static void conn_close(struct h1_client_conn *);
static void exchange_finish(struct h1_client_conn *);
static void exchange_fail(struct h1_client_conn *, enum h1_failure);
static struct h1_client_conn *conn_open(struct h1_pool *);
static void stop_connect_timer(struct h1_client_conn *);
static void set_unacked_timeout(struct h1_client_conn *);
static int closed_by_reset(const struct h1_client_conn *);

/*
 * Initializes a pool of connections to an address.  A connection idle for
 * max_idle_ms or longer is not reused.  A new connection must be established
 * within connect_timeout_ms.
 */
void
h1_pool_init(struct h1_pool *pool, uv_loop_t *loop,
    const struct sockaddr_in *addr, uint64_t max_idle_ms,
    uint64_t connect_timeout_ms)
{
	memset(pool, 0, sizeof(*pool));
	pool->loop = loop;
	pool->addr = *addr;
	pool->max_idle_ms = max_idle_ms;
	pool->connect_timeout_ms = connect_timeout_ms;
}

/*
 * Limits the body of a response, in bytes.  A longer one is malformed.  For
 * owners that keep the whole body.
 */
void
h1_pool_limit_body(struct h1_pool *pool, uint64_t max_body_bytes)
{
	pool->max_body_bytes = max_body_bytes;
}

/*
 * Closes idle connections, the longest idle first, until at most max_idle are
 * left.
 */
void
h1_pool_trim(struct h1_pool *pool, uint32_t max_idle)
{
	struct h1_client_conn **link = &pool->idle, *p, *next;
	uint32_t i;

	for (i = 0; i < max_idle && *link != NULL; i++)
		link = &(*link)->next;
	p = *link;
	*link = NULL;
	for (; p != NULL; p = next) {
		next = p->next;
		pool->idle_count--;
		conn_close(p);
	}
}

/*
 * Closes all idle connections.  The pool may be freed at once, unless an
 * exchange is still open: the pool must outlive that.  The loop must still run
 * until the handles are closed.
 */
void
h1_pool_finish(struct h1_pool *pool)
{
	h1_pool_trim(pool, 0);
}

/*
 * Opens a connection.
 */
static struct h1_client_conn *
conn_open(struct h1_pool *pool)
{
	struct h1_client_conn *p;

	p = calloc(1, sizeof(*p));
	if (p == NULL)
		err(1, "out of memory");
	p->pool = pool;
	uv_tcp_init(pool->loop, &p->stream.tcp);
	p->stream.tcp.data = p;
	p->stream.on_drained = on_stream_drained;
	p->keep_alive_ms = UINT64_MAX;
	p->stream.connecting = 1;
	p->connect.data = p;
	pool->open_count++;
	p->connect_timer = malloc(sizeof(*p->connect_timer));
	if (p->connect_timer == NULL)
		err(1, "out of memory");
	uv_timer_init(pool->loop, p->connect_timer);
	p->connect_timer->data = p;
	uv_timer_start(
	    p->connect_timer, on_connect_timeout, pool->connect_timeout_ms, 0);
	if (uv_tcp_connect(&p->connect, &p->stream.tcp,
		(const struct sockaddr *)&pool->addr, on_connect) != 0)
		uv_timer_start(p->connect_timer, on_connect_timeout, 0, 0);
	uv_tcp_nodelay(&p->stream.tcp, 1);
	return p;
}

/*
 * Sends the head of a request.  Its body follows, of the given length or in
 * chunks.  A connection that has been idle for less than max_idle_ms may be
 * reused.  The exchange is freed after ops->end or ops->fail returns, or by
 * h1_exchange_cancel().
 */
struct h1_exchange *
h1_send_request(struct h1_pool *pool, const struct h1_text *head,
    uint64_t length, int is_head_request, uint64_t max_idle_ms,
    const struct h1_client_ops *ops, void *ctx)
{
	uint64_t age, now = loop_ms(pool->loop);
	struct h1_exchange *x;
	struct h1_client_conn *p;

	x = calloc(1, sizeof(*x));
	if (x == NULL)
		err(1, "out of memory");
	if (max_idle_ms > pool->max_idle_ms)
		max_idle_ms = pool->max_idle_ms;
	p = pool->idle;
	if (p != NULL) {
		age = now - p->idle_since_ms;
		if (age >= max_idle_ms || age >= p->keep_alive_ms) {
			/* The others have been idle for longer. */
			if (age >= pool->max_idle_ms || age >= p->keep_alive_ms)
				h1_pool_trim(pool, 0);
			p = NULL;
		} else {
			pool->idle = p->next;
			pool->idle_count--;
		}
	}
	if (p == NULL)
		p = conn_open(pool);
	x->conn = p;
	x->ops = ops;
	x->ctx = ctx;
	x->is_head_request = is_head_request;
	x->request_chunked = length == H1_LENGTH_UNKNOWN;
	x->request_has_body = length != 0;
	x->request_complete = length == 0;
	h1_head_init(&x->head);
	p->exchange = x;
	p->next = NULL;
	h1_response_begin(p);
	h1_stream_write(&p->stream, head->p, head->len);
	return x;
}

/*
 * Sends a piece of the request body.
 */
void
h1_send_request_body(struct h1_exchange *x, const char *p, size_t n)
{
	if (n == 0 || x->request_complete)
		return;
	if (x->request_chunked)
		h1_stream_write_chunk(&x->conn->stream, p, n);
	else
		h1_stream_write(&x->conn->stream, p, n);
}

/*
 * Ends the request body.
 */
void
h1_send_request_end(struct h1_exchange *x)
{
	if (x->request_complete)
		return;
	if (x->request_chunked)
		h1_stream_write_chunk(&x->conn->stream, NULL, 0);
	x->request_complete = 1;
}

/*
 * Returns the number of request bytes not yet written.
 */
size_t
h1_exchange_unsent_bytes(const struct h1_exchange *x)
{
	return x->conn->stream.tcp.write_queue_size;
}

/*
 * Cancels an exchange.  Its connection is closed, which notifies the server.
 * If the request has a body the connection is reset: an orderly close would
 * arrive after the rest of the body, which the server may not be reading.
 */
void
h1_exchange_cancel(struct h1_exchange *x)
{
	struct h1_client_conn *p = x->conn;
	int has_body = x->request_has_body;

	p->exchange = NULL;
	h1_head_finish(&x->head);
	free(x);
	if (!has_body) {
		conn_close(p);
	} else if (conn_detach(p) &&
		   uv_tcp_close_reset(&p->stream.tcp, on_conn_closed) != 0) {
		uv_close((uv_handle_t *)&p->stream.tcp, on_conn_closed);
	}
}

/*
 * Stops reading the response.
 */
void
h1_exchange_pause(struct h1_exchange *x)
{
	struct h1_stream *s = &x->conn->stream;

	if (s->paused || s->closing || s->connecting)
		return;
	s->paused = 1;
	uv_read_stop((uv_stream_t *)&s->tcp);
}

/*
 * Resumes reading after h1_exchange_pause().
 */
void
h1_exchange_resume(struct h1_exchange *x)
{
	struct h1_stream *s = &x->conn->stream;

	if (!s->paused || s->closing)
		return;
	s->paused = 0;
	uv_read_start((uv_stream_t *)&s->tcp, h1_alloc_read_buffer, on_read);
}

/*
 * Returns the head of the response.
 */
const struct h1_head *
h1_exchange_head(const struct h1_exchange *x)
{
	return &x->head;
}

/*
 * Returns the status code of the response.
 */
unsigned int
h1_exchange_status(const struct h1_exchange *x)
{
	return x->conn->parser.status_code;
}

/*
 * Returns the length of the response body, or H1_LENGTH_UNKNOWN if it isn't
 * known before the body ends.
 */
uint64_t
h1_exchange_body_length(const struct h1_exchange *x)
{
	return x->length;
}

/*
 * Stops and frees the connect timer.
 */
static void
stop_connect_timer(struct h1_client_conn *p)
{
	if (p->connect_timer == NULL)
		return;
	uv_close((uv_handle_t *)p->connect_timer, (uv_close_cb)free);
	p->connect_timer = NULL;
}

/*
 * Makes the kernel close a connection whose data isn't acknowledged in time,
 * because a peer behind a network partition sends no reset.
 */
static void
set_unacked_timeout(struct h1_client_conn *p)
{
	unsigned int ms = UNACKED_TIMEOUT_MS;
	int fd;

	if (uv_fileno((const uv_handle_t *)&p->stream.tcp, &fd) == 0)
		(void)setsockopt(
		    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

/*
 * Starts reading on an established connection, or fails the exchange.
 */
static void
on_connect(uv_connect_t *req, int status)
{
	struct h1_client_conn *p = req->data;

	if (p->stream.closing)
		return;
	if (status != 0) {
		exchange_fail(p, H1_NOT_SENT);
		return;
	}
	stop_connect_timer(p);
	p->stream.connecting = 0;
	set_unacked_timeout(p);
	uv_read_start(
	    (uv_stream_t *)&p->stream.tcp, h1_alloc_read_buffer, on_read);
}

/*
 * Fails the exchange because connecting took too long.
 */
static void
on_connect_timeout(uv_timer_t *timer)
{
	exchange_fail(timer->data, H1_NOT_SENT);
}

/*
 * Frees a connection after libuv has closed its handle.
 */
static void
on_conn_closed(uv_handle_t *handle)
{
	free(handle->data);
}

/*
 * Detaches a connection that is to be closed from its pool, which may be freed
 * before libuv has closed the handle.  Returns 0 if that was done before, else
 * 1.
 */
static int
conn_detach(struct h1_client_conn *p)
{
	if (p->stream.closing)
		return 0;
	p->stream.closing = 1;
	p->pool->open_count--;
	p->pool = NULL;
	stop_connect_timer(p);
	return 1;
}

/*
 * Closes a connection that has no exchange.
 */
static void
conn_close(struct h1_client_conn *p)
{
	if (conn_detach(p))
		uv_close((uv_handle_t *)&p->stream.tcp, on_conn_closed);
}

/*
 * Reports a failed exchange, frees it and closes its connection.
 */
static void
exchange_fail(struct h1_client_conn *p, enum h1_failure failure)
{
	struct h1_exchange *x = p->exchange;

	p->exchange = NULL;
	if (x != NULL) {
		x->ops->fail(x->ctx, x, failure);
		h1_head_finish(&x->head);
		free(x);
	}
	conn_close(p);
}

/*
 * Ends an exchange after the complete response.  Returns the connection to
 * the pool if the request was sent completely and the server keeps the
 * connection open; else closes it.
 */
static void
exchange_finish(struct h1_client_conn *p)
{
	struct h1_exchange *x = p->exchange;
	struct h1_pool *pool = p->pool;
	char keep_alive[64];
	char *timeout;
	int reuse;

	reuse = x->request_complete && http_should_keep_alive(&p->parser);
	p->keep_alive_ms = UINT64_MAX;
	if (h1_head_copy(
		&x->head, "Keep-Alive", keep_alive, sizeof(keep_alive)) > 0 &&
	    (timeout = strstr(keep_alive, "timeout=")) != NULL)
		p->keep_alive_ms =
		    strtoull(timeout + strlen("timeout="), NULL, 10) * 1000;
	if (p->keep_alive_ms != UINT64_MAX)
		p->keep_alive_ms -= p->keep_alive_ms < KEEP_ALIVE_MARGIN_MS
					? p->keep_alive_ms
					: KEEP_ALIVE_MARGIN_MS;
	p->exchange = NULL;
	x->ops->end(x->ctx, x);
	h1_head_finish(&x->head);
	free(x);
	if (!reuse || p->stream.tcp.write_queue_size > 0) {
		conn_close(p);
		return;
	}
	if (p->stream.paused) {
		p->stream.paused = 0;
		uv_read_start((uv_stream_t *)&p->stream.tcp,
		    h1_alloc_read_buffer, on_read);
	}
	p->idle_since_ms = loop_ms(pool->loop);
	p->next = pool->idle;
	pool->idle = p;
	pool->idle_count++;
}

/*
 * Returns 1 if the connection was reset, else 0.  The kernel may report end
 * of file first and keep the error on the socket.  It reports the error once:
 * a write that failed before has taken it.
 */
static int
closed_by_reset(const struct h1_client_conn *p)
{
	socklen_t len;
	int fd, error = 0;

	if (p->stream.write_failed)
		return 1;
	len = sizeof(error);
	if (uv_fileno((const uv_handle_t *)&p->stream.tcp, &fd) != 0 ||
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) == -1)
		return 1;
	return error != 0;
}

/*
 * Handles received bytes or the end of the connection.
 */
static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct h1_client_conn *p = stream->data, **link;
	struct h1_exchange *x = p->exchange;
	size_t used = 0, len;

	if (n == 0 || p->stream.closing)
		return;
	if (x == NULL) {
		/* An idle connection ended or sent unexpected bytes. */
		for (link = &p->pool->idle; *link != NULL;
		     link = &(*link)->next) {
			if (*link != p)
				continue;
			*link = p->next;
			p->pool->idle_count--;
			break;
		}
		conn_close(p);
		return;
	}
	/* Without a length, only an orderly close ends a response. */
	if (n < 0 && (n != UV_EOF || closed_by_reset(p))) {
		exchange_fail(p, H1_INCOMPLETE);
		return;
	}
	len = n < 0 ? 0 : (size_t)n;
	if (n < 0)
		h1_response_parse_end(p);
	else
		used = h1_response_parse(p, buf->base, len);
	if (p->stream.closing || p->exchange == NULL)
		return; /* cancelled in a callback */
	if (x->response_complete) {
		if (used < len) /* unexpected bytes: don't reuse */
			x->request_complete = 0;
		exchange_finish(p);
		return;
	}
	if (n < 0)
		exchange_fail(p, H1_INCOMPLETE);
	else if (h1_response_is_malformed(p))
		exchange_fail(p, H1_MALFORMED);
}

/*
 * Notifies the owner that the write queue has drained.
 */
static void
on_stream_drained(struct h1_stream *stream)
{
	struct h1_client_conn *p = stream->tcp.data;

	if (p->exchange != NULL && p->exchange->ops->drained != NULL)
		p->exchange->ops->drained(p->exchange->ctx, p->exchange);
}
