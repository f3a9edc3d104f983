#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu.h>

#include <cmocka.h>

#include "node/node.h"

#define OPENINGS 5
#define THREADS 8
#define CALLERS 4
#define HANDLER_DELAY_US 50000

/* A request that every port refuses by itself. */
#define TWO_LENGTHS                                          \
	"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n" \
	"Content-Length: 2\r\n\r\n"
#define OWN_FIELD "Cyclamen-Outcome: not-run"

/* A body that is too large, of which a caller sends a part before it looks. */
#define BODY_BYTES 3000000
#define TOO_LARGE \
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000000\r\n\r\n"
#define PART_BYTES 65536

struct caller {
	pthread_t id;
	uint32_t port;
	char answer[2048];
};

typedef void (*set_handler_fn)(
    struct mg_context *, const char *, mg_request_handler, void *);

static struct node node;

/*
 * Stands before the library's function and is slow, as on a busy machine:
 * what is only set when a port is open may be late for its first request.
 */
void
mg_set_request_handler(
    struct mg_context *mg, const char *uri, mg_request_handler fn, void *ctx)
{
	set_handler_fn next;

	*(void **)&next = dlsym(RTLD_NEXT, "mg_set_request_handler");
	usleep(HANDLER_DELAY_US);
	next(mg, uri, fn, ctx);
}

/*
 * Returns a port of loopback that nobody listens on.
 */
static uint32_t
free_port(void)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&sin, &len), 0);
	close(fd);
	return ntohs(sin.sin_port);
}

/*
 * Connects as soon as the port is open, sends a request and reads its answer.
 */
static void *
call_at_once(void *arg)
{
	struct caller *c = arg;
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)c->port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	size_t len = 0;
	ssize_t n;
	int fd;

	for (;;) {
		fd = socket(AF_INET, SOCK_STREAM, 0);
		if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
			break;
		close(fd);
	}
	if (write(fd, TWO_LENGTHS, sizeof(TWO_LENGTHS) - 1) > 0)
		while ((n = read(fd, c->answer + len,
			    sizeof(c->answer) - 1 - len)) > 0)
			len += (size_t)n;
	close(fd);
	return NULL;
}

/*
 * Connects to a port of loopback.
 */
static int
connect_to(uint32_t port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	return fd;
}

/*
 * A caller that sends its whole body before it reads the answer gets the
 * refusal of a body that is too large, and not a reset.
 */
static void
test_too_large(void **state)
{
	static char part[PART_BYTES];
	char answer[64] = "";
	size_t sent = 0;
	ssize_t n;
	int fd;

	(void)state;
	rcu_register_thread();
	node.settings.address = INADDR_LOOPBACK;
	node.settings.caller_connections = THREADS;
	node.settings.caller_port = free_port();
	node.settings.max_body_bytes = 1 << 20;
	assert_int_equal(ports_open(&node), 0);
	fd = connect_to(node.settings.caller_port);
	n = send(fd, TOO_LARGE, sizeof(TOO_LARGE) - 1, MSG_NOSIGNAL);
	assert_true(n > 0);
	n = send(fd, part, sizeof(part), MSG_NOSIGNAL);
	assert_int_equal(n, sizeof(part));
	/* The answer is there before the rest goes out. */
	assert_true(recv(fd, answer, 1, MSG_PEEK) == 1);
	for (sent = sizeof(part); n > 0 && sent < BODY_BYTES; sent += (size_t)n)
		n = send(fd, part,
		    BODY_BYTES - sent < PART_BYTES ? BODY_BYTES - sent
						   : PART_BYTES,
		    MSG_NOSIGNAL);
	assert_true(n > 0);
	assert_true(recv(fd, answer, sizeof(answer) - 1, 0) > 12);
	assert_memory_equal(answer, "HTTP/1.1 413", 12);
	close(fd);
	ports_stop(&node);
	rcu_unregister_thread();
}

/*
 * Callers that wait for a port to open: the node answers the first request
 * on it, and not the HTTP library.
 */
static void
test_first_request(void **state)
{
	struct caller callers[CALLERS];
	int i, k, strange = 0;

	(void)state;
	rcu_register_thread();
	node.settings.address = INADDR_LOOPBACK;
	node.settings.caller_connections = THREADS;
	for (i = 0; i < OPENINGS; i++) {
		node.settings.caller_port = free_port();
		memset(callers, 0, sizeof(callers));
		for (k = 0; k < CALLERS; k++) {
			callers[k].port = node.settings.caller_port;
			assert_int_equal(pthread_create(&callers[k].id, NULL,
					     call_at_once, &callers[k]),
			    0);
		}
		assert_int_equal(ports_open(&node), 0);
		for (k = 0; k < CALLERS; k++) {
			pthread_join(callers[k].id, NULL);
			if (strstr(callers[k].answer, OWN_FIELD) != NULL)
				continue;
			strange++;
			print_message("%.60s\n", callers[k].answer);
		}
		ports_stop(&node);
	}
	rcu_unregister_thread();
	assert_int_equal(strange, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_first_request),
		cmocka_unit_test(test_too_large),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
