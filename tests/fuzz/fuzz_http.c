#include <arpa/inet.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http1/http1.h"

#define TURNS 64 /* of the loop for one input, at most */

int LLVMFuzzerTestOneInput(const uint8_t *, size_t);

static uv_loop_t loop;
static struct h1_server server;
static struct sockaddr_in at;

/*
 * Looks a few fields up, as the entry does.
 */
static void
on_head(void *ctx, struct h1_conn *conn)
{
	static const char *const skip[] = { "Deadline", NULL };
	const struct h1_head *h = h1_conn_head(conn);
	struct h1_text t;
	char text[64];

	(void)ctx;
	h1_text_init(&t);
	h1_head_copy(h, "Host", text, sizeof(text));
	h1_head_get_number(h, "Deadline", 1);
	h1_text_add_forwarded(&t, h, skip);
	h1_text_finish(&t);
}

static void
on_body(void *ctx, struct h1_conn *conn, const char *p, size_t n)
{
	(void)ctx;
	(void)conn;
	(void)p;
	(void)n;
}

static void
on_end(void *ctx, struct h1_conn *conn)
{
	(void)ctx;
	h1_send_response(conn, 200, NULL, "whole", 5);
}

static void
on_gone(void *ctx, struct h1_conn *conn)
{
	(void)ctx;
	(void)conn;
}

static const struct h1_server_ops ops = { on_head, on_body, on_end, on_gone,
	on_gone };

/*
 * Opens the server, once.
 */
static void
start(void)
{
	socklen_t len = sizeof(at);

	uv_loop_init(&loop);
	uv_ip4_addr("127.0.0.1", 0, &at);
	if (h1_server_init(&server, &loop, &at, &ops, NULL, 64) != 0 ||
	    uv_tcp_getsockname(
		&server.listener, (struct sockaddr *)&at, (int *)&len) != 0)
		abort();
}

/*
 * One input is all that a caller sends on one connection before it ends it.
 */
int
LLVMFuzzerTestOneInput(const uint8_t *p, size_t len)
{
	int fd, i;

	if (server.loop == NULL)
		start();
	fd = socket(AF_INET, SOCK_STREAM, 0);
	if (connect(fd, (struct sockaddr *)&at, sizeof(at)) == 0 &&
	    (len == 0 || write(fd, p, len) > 0))
		shutdown(fd, SHUT_WR);
	for (i = 0; i < TURNS; i++) {
		uv_run(&loop, UV_RUN_NOWAIT);
		if (i > 4 && server.conn_count == 0)
			break;
	}
	close(fd);
	uv_run(&loop, UV_RUN_NOWAIT);
	return 0;
}
