#include <arpa/inet.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "http1/http1.h"

/*
 * Tests the client and the server against raw bytes on loopback.  Each case
 * runs the loop until the expected event; the alarm ends a case that hangs.
 */

#define ALARM_S 20
#define TEXT_MAX 70000
#define ENDLESS_BYTES (8 << 20) /* sent in vain by an endless server */
#define FREED_BYTE 0xa5 /* fills memory that must not be used any more */

/* How the raw server closes the connection after sending its bytes. */
enum close_mode {
	CLOSE_NEVER,
	CLOSE_ORDERLY,
	CLOSE_RESET
};

/* The result of an exchange. */
struct outcome {
	int result; /* 0: open, 1: complete response, 2: failed */
	enum h1_failure fail;
	unsigned int status;
	int heads;
	size_t body_len;
	char body[64];
	const char *skip_id; /* skip responses whose Id has this value */
};

struct response_case {
	const char *name;
	const char *bytes;
	enum close_mode close_mode;
	int result;
	enum h1_failure fail;
	uint32_t idle_count; /* connections returned to the pool */
	const char *body;
};

/* A server that sends fixed bytes when it receives the first data. */
struct raw_server {
	uv_tcp_t listener;
	uv_tcp_t conn;
	uv_write_t write;
	const char *bytes;
	const char *endless; /* sent again and again after the bytes */
	enum close_mode close_mode;
	struct sockaddr_in addr;
	int conns;
	size_t sent;
};

static uv_loop_t loop;

static void
alloc_buffer(uv_handle_t *h, size_t n, uv_buf_t *b)
{
	static char buf[TEXT_MAX];

	(void)h;
	(void)n;
	*b = uv_buf_init(buf, sizeof(buf));
}

static void on_raw_written(uv_write_t *, int);

static void
raw_send(struct raw_server *r, const char *bytes)
{
	uv_buf_t out =
	    uv_buf_init((char *)(uintptr_t)bytes, (unsigned int)strlen(bytes));

	r->sent += out.len;
	r->write.data = r;
	uv_write(&r->write, (uv_stream_t *)&r->conn, &out, 1, on_raw_written);
}

static void
on_raw_written(uv_write_t *w, int status)
{
	struct raw_server *r = w->data;

	if (status == 0 && r->endless != NULL) {
		raw_send(r, r->endless);
		return;
	}
	if (r->close_mode == CLOSE_RESET)
		uv_tcp_close_reset(&r->conn, NULL);
	else if (r->close_mode == CLOSE_ORDERLY)
		uv_close((uv_handle_t *)&r->conn, NULL);
}

static void
on_raw_read(uv_stream_t *s, ssize_t n, const uv_buf_t *b)
{
	struct raw_server *r = s->data;

	(void)b;
	if (n < 0) {
		if (!uv_is_closing((uv_handle_t *)s))
			uv_close((uv_handle_t *)s, NULL);
		return;
	}
	if (r->bytes == NULL)
		return;
	raw_send(r, r->bytes);
	r->bytes = NULL;
}

static void
on_raw_connection(uv_stream_t *l, int status)
{
	struct raw_server *r = l->data;

	assert_int_equal(status, 0);
	r->conns++;
	uv_tcp_init(&loop, &r->conn);
	r->conn.data = r;
	assert_int_equal(uv_accept(l, (uv_stream_t *)&r->conn), 0);
	uv_read_start((uv_stream_t *)&r->conn, alloc_buffer, on_raw_read);
}

static void
raw_init(struct raw_server *r, const char *bytes, enum close_mode close_mode)
{
	int len = sizeof(r->addr);

	memset(r, 0, sizeof(*r));
	r->bytes = bytes;
	r->close_mode = close_mode;
	uv_ip4_addr("127.0.0.1", 0, &r->addr);
	uv_tcp_init(&loop, &r->listener);
	r->listener.data = r;
	uv_tcp_bind(&r->listener, (struct sockaddr *)&r->addr, 0);
	assert_int_equal(
	    uv_listen((uv_stream_t *)&r->listener, 8, on_raw_connection), 0);
	uv_tcp_getsockname(&r->listener, (struct sockaddr *)&r->addr, &len);
}

/*
 * Closes the server and runs the loop until no handle is open.
 */
static void
raw_finish(struct raw_server *r)
{
	if (r->conns > 0 && !uv_is_closing((uv_handle_t *)&r->conn))
		uv_close((uv_handle_t *)&r->conn, NULL);
	uv_close((uv_handle_t *)&r->listener, NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
}

static int
on_response_head(void *ctx, struct h1_exchange *x)
{
	struct outcome *o = ctx;
	char id[32];

	o->heads++;
	if (o->skip_id != NULL &&
	    h1_head_copy(h1_exchange_head(x), "Id", id, sizeof(id)) > 0 &&
	    strcmp(id, o->skip_id) == 0)
		return 1;
	o->status = h1_exchange_status(x);
	return 0;
}

static void
on_response_body(void *ctx, struct h1_exchange *x, const char *p, size_t n)
{
	struct outcome *o = ctx;

	(void)x;
	if (o->body_len + n < sizeof(o->body))
		memcpy(o->body + o->body_len, p, n);
	o->body_len += n;
}

static void
on_response_end(void *ctx, struct h1_exchange *x)
{
	(void)x;
	((struct outcome *)ctx)->result = 1;
}

static void
on_exchange_failed(void *ctx, struct h1_exchange *x, enum h1_failure failure)
{
	struct outcome *o = ctx;

	(void)x;
	o->result = 2;
	o->fail = failure;
}

static const struct h1_client_ops client_ops = { on_response_head,
	on_response_body, on_response_end, on_exchange_failed, NULL };

static void
close_all(uv_handle_t *h, void *arg)
{
	(void)arg;
	if (!uv_is_closing(h))
		uv_close(h, NULL);
}

static int
setup(void **state)
{
	(void)state;
	alarm(ALARM_S);
	signal(SIGPIPE, SIG_IGN);
	return uv_loop_init(&loop);
}

static int
teardown(void **state)
{
	(void)state;
	uv_walk(&loop, close_all, NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
	return uv_loop_close(&loop);
}

#define STATUS_LINE "HTTP/1.1 200 OK\r\n"

static const struct response_case response_cases[] = {
	{ "Content-Length", STATUS_LINE "Content-Length: 2\r\n\r\nab",
	    CLOSE_NEVER, 1, 0, 1, "ab" },
	{ "chunked body",
	    STATUS_LINE
	    "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
	    CLOSE_NEVER, 1, 0, 1, "ab" },
	{ "Connection: close",
	    STATUS_LINE "Connection: close\r\nContent-Length: 1\r\n\r\na",
	    CLOSE_NEVER, 1, 0, 0, "a" },
	{ "truncated body", STATUS_LINE "Content-Length: 3\r\n\r\nab",
	    CLOSE_ORDERLY, 2, H1_INCOMPLETE, 0, NULL },
	{ "truncated head", "HTTP/1.1 200 O", CLOSE_ORDERLY, 2, H1_INCOMPLETE,
	    0, NULL },
	{ "truncated chunk",
	    STATUS_LINE "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
	    CLOSE_ORDERLY, 2, H1_INCOMPLETE, 0, NULL },
	{ "missing last chunk",
	    STATUS_LINE "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
	    CLOSE_ORDERLY, 2, H1_INCOMPLETE, 0, NULL },
	{ "no length, orderly close", STATUS_LINE "\r\nabc", CLOSE_ORDERLY, 1,
	    0, 0, "abc" },
	{ "no length, reset", STATUS_LINE "\r\nabc", CLOSE_RESET, 2,
	    H1_INCOMPLETE, 0, NULL },
	{ "closed without a response", "", CLOSE_ORDERLY, 2, H1_INCOMPLETE, 0,
	    NULL },
	{ "not HTTP", "\x01\x02 what\r\n\r\n", CLOSE_NEVER, 2, H1_MALFORMED, 0,
	    NULL },
	{ "two responses",
	    STATUS_LINE "Content-Length: 1\r\n\r\na" STATUS_LINE
			"Content-Length: 1\r\n\r\nb",
	    CLOSE_NEVER, 1, 0, 0, "a" },
	{ "interim response",
	    "HTTP/1.1 100 Continue\r\n\r\n" STATUS_LINE
	    "Content-Length: 1\r\n\r\na",
	    CLOSE_NEVER, 1, 0, 1, "a" },
	{ "skipped response before ours",
	    STATUS_LINE "Id: old\r\nContent-Length: 3\r\n\r\nold" STATUS_LINE
			"Id: new\r\nContent-Length: 3\r\n\r\nnew",
	    CLOSE_NEVER, 1, 0, 1, "new" },
	{ "Content-Length and chunked",
	    STATUS_LINE
	    "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\na",
	    CLOSE_NEVER, 2, H1_MALFORMED, 0, NULL },
};

/*
 * The client tells complete, truncated and malformed responses apart, and
 * reuses a connection only after a complete response.
 */
static void
test_response_parsing(void **state)
{
	const struct response_case *c;
	struct outcome o;
	struct h1_pool pool;
	struct h1_text t;
	struct raw_server raw_server;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(response_cases) / sizeof(response_cases[0]);
	     i++) {
		c = &response_cases[i];
		print_message("%s\n", c->name);
		memset(&o, 0, sizeof(o));
		o.skip_id = "old";
		raw_init(&raw_server, c->bytes, c->close_mode);
		h1_pool_init(&pool, &loop, &raw_server.addr, 1000, 1000);
		h1_text_init(&t);
		h1_text_addf(&t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
		h1_send_request(&pool, &t, 0, 0, UINT64_MAX, &client_ops, &o);
		h1_text_finish(&t);
		while (o.result == 0)
			uv_run(&loop, UV_RUN_ONCE);
		assert_int_equal(o.result, c->result);
		if (o.result == 2)
			assert_int_equal(o.fail, c->fail);
		if (c->body != NULL) {
			assert_int_equal(o.body_len, strlen(c->body));
			assert_memory_equal(o.body, c->body, o.body_len);
		}
		assert_int_equal(pool.idle_count, c->idle_count);
		h1_pool_finish(&pool);
		assert_int_equal(pool.open_count, 0);
		raw_finish(&raw_server);
	}
}

/*
 * A server in trouble sends bytes that are no answer, without end.  The
 * exchange fails after a bounded number of them, and the connection is closed.
 */
static void
test_endless_bytes_end_exchange(void **state)
{
	static const struct {
		const char *name, *bytes, *endless;
	} rows[] = {
		{ "no HTTP", "\x01", "\x01\x02\x03" },
		{ "reason phrase", "HTTP/1.1 200 O", "OOOOOOOOOOOOOOOO" },
		{ "field", STATUS_LINE "A: b", "bbbbbbbbbbbbbbbb" },
		{ "fields", STATUS_LINE, "A: b\r\n" },
		{ "interim responses", "HTTP/1.1 100 Continue\r\n\r\n",
		    "HTTP/1.1 100 Continue\r\n\r\n" },
		{ "another request's responses", "",
		    STATUS_LINE "Id: old\r\nContent-Length: 1\r\n\r\na" },
		{ "another request's body",
		    STATUS_LINE "Id: old\r\nTransfer-Encoding: chunked\r\n\r\n",
		    "4\r\nabcd\r\n" },
		{ "trailer",
		    STATUS_LINE
		    "Id: new\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
		    "A: b\r\n" },
	};
	struct outcome o;
	struct h1_pool pool;
	struct h1_text t;
	struct raw_server raw_server;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		print_message("%s\n", rows[i].name);
		memset(&o, 0, sizeof(o));
		o.skip_id = "old";
		raw_init(&raw_server,
		    rows[i].bytes[0] != '\0' ? rows[i].bytes : rows[i].endless,
		    CLOSE_NEVER);
		raw_server.endless = rows[i].endless;
		h1_pool_init(&pool, &loop, &raw_server.addr, 1000, 1000);
		h1_text_init(&t);
		h1_text_addf(&t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
		h1_send_request(&pool, &t, 0, 0, UINT64_MAX, &client_ops, &o);
		h1_text_finish(&t);
		while (o.result == 0 && raw_server.sent < ENDLESS_BYTES)
			uv_run(&loop, UV_RUN_ONCE);
		assert_int_equal(o.result, 2);
		assert_int_equal(o.fail, H1_MALFORMED);
		assert_int_equal(pool.open_count, 0);
		h1_pool_finish(&pool);
		raw_finish(&raw_server);
	}
}

/*
 * A pool may be freed after h1_pool_finish(), although its connections are
 * closed later by the loop.
 */
static void
test_closing_connection_leaves_pool_alone(void **state)
{
	struct outcome o = { 0 };
	struct h1_pool pool, finished;
	struct h1_text t;
	struct raw_server raw_server;

	(void)state;
	raw_init(
	    &raw_server, STATUS_LINE "Content-Length: 1\r\n\r\na", CLOSE_NEVER);
	h1_pool_init(&pool, &loop, &raw_server.addr, 1000, 1000);
	h1_text_init(&t);
	h1_text_addf(&t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
	h1_send_request(&pool, &t, 0, 0, UINT64_MAX, &client_ops, &o);
	h1_text_finish(&t);
	while (o.result == 0)
		uv_run(&loop, UV_RUN_ONCE);
	h1_pool_finish(&pool);
	memset(&pool, FREED_BYTE, sizeof(pool));
	memset(&finished, FREED_BYTE, sizeof(finished));
	raw_finish(&raw_server);
	assert_memory_equal(&pool, &finished, sizeof(pool));
}

/*
 * A refused connection is reported as H1_NOT_SENT.
 */
static void
test_refused_connection_not_sent(void **state)
{
	struct sockaddr_in unused_addr;
	struct outcome o = { 0 };
	struct h1_pool pool;
	struct h1_text t;
	struct raw_server raw_server;

	(void)state;
	raw_init(&raw_server, NULL, CLOSE_NEVER);
	unused_addr = raw_server.addr;
	uv_close((uv_handle_t *)&raw_server.listener, NULL);
	uv_run(&loop, UV_RUN_NOWAIT);
	h1_pool_init(&pool, &loop, &unused_addr, 1000, 1000);
	h1_text_init(&t);
	h1_text_addf(&t, "GET / HTTP/1.1\r\n\r\n");
	h1_send_request(&pool, &t, 0, 0, UINT64_MAX, &client_ops, &o);
	h1_text_finish(&t);
	while (o.result == 0)
		uv_run(&loop, UV_RUN_ONCE);
	assert_int_equal(o.result, 2);
	assert_int_equal(o.fail, H1_NOT_SENT);
	assert_int_equal(pool.open_count, 0);
	uv_run(&loop, UV_RUN_DEFAULT);
}

/* A server under test, its raw caller, and what both received. */
struct caller {
	uv_tcp_t conn;
	uv_connect_t connect;
	uv_write_t write;
	struct h1_server server;
	char received[TEXT_MAX];
	size_t received_len;
	int closed; /* the server closed the connection */
	int requests, disconnects;
	size_t body_len;
	int withhold_response; /* don't respond */
	int respond_early;
};

static void
on_request_head(void *ctx, struct h1_conn *conn)
{
	struct caller *c = ctx;

	c->requests++;
	if (c->respond_early)
		h1_send_response(conn, 200, NULL, "early", 5);
}

static void
on_request_body(void *ctx, struct h1_conn *conn, const char *p, size_t n)
{
	(void)conn;
	(void)p;
	((struct caller *)ctx)->body_len += n;
}

static void
on_request_end(void *ctx, struct h1_conn *conn)
{
	struct caller *c = ctx;

	if (!c->withhold_response)
		h1_send_response(conn, 200, NULL, "ok", 2);
}

static void
on_disconnect(void *ctx, struct h1_conn *conn)
{
	(void)conn;
	((struct caller *)ctx)->disconnects++;
}

static const struct h1_server_ops server_ops = { on_request_head,
	on_request_body, on_request_end, on_disconnect, NULL };

static void
on_caller_read(uv_stream_t *s, ssize_t n, const uv_buf_t *b)
{
	struct caller *c = s->data;

	if (n < 0) {
		c->closed = 1;
		uv_close((uv_handle_t *)s, NULL);
		return;
	}
	memcpy(c->received + c->received_len, b->base, (size_t)n);
	c->received_len += (size_t)n;
	c->received[c->received_len] = '\0';
}

static void
caller_write(struct caller *c, const char *bytes)
{
	uv_buf_t b =
	    uv_buf_init((char *)(uintptr_t)bytes, (unsigned int)strlen(bytes));

	assert_int_equal(
	    uv_try_write((uv_stream_t *)&c->conn, &b, 1), (int)b.len);
}

static void
on_caller_connected(uv_connect_t *r, int status)
{
	assert_int_equal(status, 0);
	r->data = NULL;
}

static void
caller_init(struct caller *c)
{
	struct sockaddr_in addr;
	int len = sizeof(addr);

	memset(c, 0, sizeof(*c));
	uv_ip4_addr("127.0.0.1", 0, &addr);
	assert_int_equal(
	    h1_server_init(&c->server, &loop, &addr, &server_ops, c, 16), 0);
	uv_tcp_getsockname(&c->server.listener, (struct sockaddr *)&addr, &len);
	uv_tcp_init(&loop, &c->conn);
	c->conn.data = c;
	c->connect.data = c;
	uv_tcp_connect(&c->connect, &c->conn, (struct sockaddr *)&addr,
	    on_caller_connected);
	while (c->connect.data != NULL)
		uv_run(&loop, UV_RUN_ONCE);
	uv_read_start((uv_stream_t *)&c->conn, alloc_buffer, on_caller_read);
}

static void
caller_finish(struct caller *c)
{
	if (!uv_is_closing((uv_handle_t *)&c->conn))
		uv_close((uv_handle_t *)&c->conn, NULL);
	h1_server_stop_accepting(&c->server);
	uv_close((uv_handle_t *)&c->server.timeout_timer, NULL);
	while (c->server.conn_count > 0)
		uv_run(&loop, UV_RUN_ONCE);
}

struct request_case {
	const char *name;
	const char *bytes;
	const char *status; /* of the last response */
	int requests;
	int closed; /* the server closes the connection */
};

static const struct request_case request_cases[] = {
	{ "GET without a body", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", " 200 ", 1,
	    0 },
	{ "pipelined requests", "GET / HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
	    " 200 ", 2, 0 },
	{ "body with Content-Length",
	    "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab", " 200 ", 1, 0 },
	{ "chunked body",
	    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "2\r\nab\r\n0\r\n\r\n",
	    " 200 ", 1, 0 },
	{ "Connection: close request",
	    "GET / HTTP/1.1\r\nConnection: close\r\n\r\n", " 200 ", 1, 1 },
	{ "not an HTTP request", "hello there\r\n\r\n", " 400 ", 0, 1 },
	{ "Content-Length and chunked",
	    "POST / HTTP/1.1\r\nContent-Length: 2\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	    " 400 ", 0, 1 },
	{ "two Content-Length fields",
	    "POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n",
	    " 400 ", 0, 1 },
	{ "invalid Content-Length",
	    "POST / HTTP/1.1\r\nContent-Length: 1x\r\n\r\n", " 400 ", 0, 1 },
	{ "protocol upgrade",
	    "GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
	    " 400 ", 0, 1 },
	{ "body over the limit",
	    "POST / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n", " 413 ",
	    0, 1 },
};

/*
 * Valid requests get a response.  Invalid ones are rejected and their
 * connection is closed.
 */
static void
test_request_parsing(void **state)
{
	const struct request_case *r;
	static struct caller c;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(request_cases) / sizeof(request_cases[0]); i++) {
		r = &request_cases[i];
		print_message("%s\n", r->name);
		caller_init(&c);
		caller_write(&c, r->bytes);
		while (strstr(c.received, r->status) == NULL ||
		       c.requests < r->requests || (r->closed && !c.closed))
			uv_run(&loop, UV_RUN_ONCE);
		assert_int_equal(c.requests, r->requests);
		assert_int_equal(c.closed, r->closed);
		caller_finish(&c);
	}
}

/*
 * A head over the size limit is rejected with status 431.
 */
static void
test_oversized_head_rejected(void **state)
{
	static struct caller c;
	static char text[20000];
	int n;

	(void)state;
	caller_init(&c);
	memset(text, 'a', sizeof(text) - 1);
	n = snprintf(text, sizeof(text), "GET / HTTP/1.1\r\nX: ");
	text[n] = 'a';
	caller_write(&c, text);
	while (strstr(c.received, " 431 ") == NULL)
		uv_run(&loop, UV_RUN_ONCE);
	caller_finish(&c);
}

/*
 * The owner is notified when a caller disconnects before the response.
 */
static void
test_caller_disconnect_reported(void **state)
{
	static struct caller c;

	(void)state;
	caller_init(&c);
	c.withhold_response = 1;
	caller_write(&c, "GET / HTTP/1.1\r\n\r\n");
	while (c.requests == 0)
		uv_run(&loop, UV_RUN_ONCE);
	uv_close((uv_handle_t *)&c.conn, NULL);
	while (c.disconnects == 0)
		uv_run(&loop, UV_RUN_ONCE);
	caller_finish(&c);
}

/*
 * After a response sent before the request body arrived, the server discards
 * the body and doesn't parse it as the next request.
 */
static void
test_early_response_discards_body(void **state)
{
	static struct caller c;

	(void)state;
	caller_init(&c);
	c.respond_early = 1;
	caller_write(&c, "POST / HTTP/1.1\r\nContent-Length: 18\r\n\r\n");
	while (strstr(c.received, "early") == NULL)
		uv_run(&loop, UV_RUN_ONCE);
	caller_write(&c, "GET / HTTP/1.1\r\n\r\n");
	caller_write(&c, "GET /next HTTP/1.1\r\n\r\n");
	while (c.requests < 2)
		uv_run(&loop, UV_RUN_ONCE);
	assert_int_equal(c.requests, 2);
	assert_int_equal(c.body_len, 0);
	assert_int_equal(c.closed, 0);
	caller_finish(&c);
}

/*
 * A draining server sends Connection: close and closes the connection.
 */
static void
test_draining_closes_connections(void **state)
{
	static struct caller c;

	(void)state;
	caller_init(&c);
	h1_server_start_draining(&c.server);
	caller_write(&c, "GET / HTTP/1.1\r\n\r\n");
	while (!c.closed)
		uv_run(&loop, UV_RUN_ONCE);
	assert_non_null(strstr(c.received, "Connection: close"));
	assert_non_null(strstr(c.received, " 200 "));
	caller_finish(&c);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
		    test_response_parsing, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_refused_connection_not_sent, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_endless_bytes_end_exchange, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_closing_connection_leaves_pool_alone, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_request_parsing, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_oversized_head_rejected, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_caller_disconnect_reported, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_early_response_discards_body, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_draining_closes_connections, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
