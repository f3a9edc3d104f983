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
 * Tests the server against raw bytes on loopback.
 */

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
