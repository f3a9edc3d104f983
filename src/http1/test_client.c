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
#include "http1/test_loop.h"

/*
 * Tests the client against raw bytes on loopback.
 */

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
		{ "empty lines", "\r\n", "\r\n\r\n\r\n\r\n" },
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
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
