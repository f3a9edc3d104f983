#include <arpa/inet.h>
#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include "base/loopclock.h"
#include "relay/relay_int.h"
#include "relay/test_pair.h"

/*
 * Callers that leave while their connection isn't read: their requests must
 * not reach a server half a second later.
 */

#define USED_SLOTS 9	   /* of the ten that the server announces */
#define NOTICED_MS 500	   /* after the caller has left */
#define LATER_MS 200	   /* for what must not happen */
#define WINDOW_BYTES 65536 /* that the exit reads of a waiting request */
#define ROUTE_MS 20000

/* How a caller leaves. */
struct departure {
	const char *name;
	size_t body_bytes;
	int reset; /* the connection is reset, not closed */
};

static const struct departure departures[] = {
	{ "closes after a body that fits the buffers", 200000, 0 },
	{ "resets after a body that fits the buffers", 200000, 1 },
	{ "resets in the middle of a long body", 16000000, 1 },
};

/*
 * Connects to an address, without running the loop.
 */
static int
raw_connect(const struct sockaddr_in *addr)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_true(fd != -1);
	assert_int_equal(
	    connect(fd, (const struct sockaddr *)addr, sizeof(*addr)), 0);
	assert_int_equal(fcntl(fd, F_SETFL, O_NONBLOCK), 0);
	return fd;
}

static void
raw_close(int fd, int reset)
{
	struct linger linger = { 1, 0 };

	if (reset)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
}

/*
 * Runs the loop for some time.  Returns the highest number of connections that
 * the nodes had to servers.
 */
static uint32_t
run_for(uint64_t ms)
{
	uint64_t end = loop_ms(&loop) + ms;
	uint32_t n, max = 0;

	while (loop_ms(&loop) < end) {
		uv_run(&loop, UV_RUN_ONCE);
		n = nodes[0].server_pool.open_count +
		    nodes[1].server_pool.open_count;
		if (n > max)
			max = n;
	}
	return max;
}

/*
 * Makes as many requests run on node 1 as its server has usable slots.  Until
 * it has answered one it gets only a few.
 */
static void
fill_server(struct caller *callers)
{
	char id[8];
	size_t i;

	for (i = 0; i < nodes[0].config->route_count; i++)
		nodes[0].config->routes[i].deadline_ms = ROUTE_MS;
	ask(&callers[0], "/o/1", KEY);
	assert_int_equal(callers[0].status, 200);
	servers[1].runs = 0;
	servers[1].server_behavior = SERVER_HOLDS;
	for (i = 0; i < USED_SLOTS; i++) {
		snprintf(id, sizeof(id), "r%zu", i);
		send_with_id(&callers[i], 0, "/o/1", KEY, id, "");
	}
	while (servers[1].runs < USED_SLOTS)
		uv_run(&loop, UV_RUN_ONCE);
	assert_int_equal(nodes[1].core.queued, 0);
}

/*
 * Sends an upload until the exit, at which it waits for a slot, reads no more.
 */
static int
send_upload(size_t bytes)
{
	static char chunk[16384];
	char head[200];
	size_t sent = 0;
	ssize_t n;
	int fd;

	fd = raw_connect(&nodes[0].set.entry);
	n = snprintf(head, sizeof(head),
	    "POST /o/up HTTP/1.1\r\nHost: H\r\nId: up\r\nKey: " KEY
	    "\r\nDeadline: %d\r\nContent-Length: %zu\r\n\r\n",
	    ROUTE_MS, bytes);
	assert_int_equal(write(fd, head, (size_t)n), n);
	while (sent < bytes || nodes[1].core.queued == 0 ||
	       nodes[1].exits->body.len <= WINDOW_BYTES) {
		n = bytes - sent < sizeof(chunk) ? (ssize_t)(bytes - sent)
						 : (ssize_t)sizeof(chunk);
		n = write(fd, chunk, (size_t)n);
		if (n > 0) {
			sent += (size_t)n;
			continue;
		}
		uv_run(&loop, UV_RUN_ONCE);
		if (nodes[1].core.queued > 0 &&
		    nodes[1].exits->body.len > WINDOW_BYTES)
			break;
	}
	return fd;
}

/*
 * Work for callers that have left: an upload waits for a slot, unread, and its
 * caller leaves.  It leaves the queue, and never reaches the server.
 */
static void
test_departed_caller_of_waiting_upload(void **state)
{
	static struct caller callers[USED_SLOTS];
	const struct departure *d = *state;
	struct h1_text t;
	int fd, i;

	print_message("%s\n", d->name);
	fill_server(callers);
	fd = send_upload(d->body_bytes);
	raw_close(fd, d->reset);
	run_for(NOTICED_MS);
	assert_int_equal(nodes[1].core.queued, 0);
	h1_text_init(&t);
	h1_text_add_field(&t, "Id", servers[1].id);
	h1_text_add_field(&t, "Stamp", "s");
	h1_send_response(servers[1].held_conn, 200, &t, "mine", 4);
	h1_text_finish(&t);
	run_for(LATER_MS);
	assert_int_equal(servers[1].runs, USED_SLOTS);
	for (i = 0; i < USED_SLOTS; i++) {
		if (!callers[i].done)
			h1_exchange_cancel(callers[i].xchg);
		h1_pool_finish(&callers[i].pool);
	}
}

/*
 * Work for callers that have left: a node is busy, and reads a request when
 * its caller has already left.
 */
static void
test_request_read_after_caller_left(void **state)
{
	static const char head[] =
	    "GET /s/1 HTTP/1.1\r\nHost: H\r\nId: a\r\nKey: " KEY
	    "\r\nDeadline: 2000\r\nCyclamen-Hop: 2000 0 0 1 1 " SERVICE
	    " web w\r\n\r\n";
	struct caller c;
	int fd, at_exit, reset;

	(void)state;
	for (at_exit = 0; at_exit < 2; at_exit++) {
		for (reset = 0; reset < 2; reset++) {
			fd = raw_connect(
			    at_exit ? &nodes[1].set.exit : &nodes[0].set.entry);
			assert_int_equal(write(fd, head, sizeof(head) - 1),
			    sizeof(head) - 1);
			raw_close(fd, reset);
			assert_int_equal(run_for(LATER_MS), 0);
			assert_int_equal(servers[1].runs, 0);
			assert_null(nodes[0].entries);
			assert_null(nodes[1].exits);
			assert_int_equal(nodes[1].core.inflight, 0);
		}
	}
	ask(&c, "/s/1", KEY);
	assert_int_equal(c.status, 200);
	assert_int_equal(servers[1].runs, 1);
}

#define DEPARTURE_TEST(i)                                                    \
	{                                                                    \
		"test_departed_caller_of_waiting_upload " #i,                \
		    test_departed_caller_of_waiting_upload, setup_departure, \
		    teardown, (void *)(uintptr_t)&departures[i]              \
	}

/*
 * Sets up the two nodes and keeps the departure that is the test's state.
 */
static int
setup_departure(void **state)
{
	void *departure = *state;
	int rc = setup(state);

	*state = departure;
	return rc;
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		DEPARTURE_TEST(0),
		DEPARTURE_TEST(1),
		DEPARTURE_TEST(2),
		cmocka_unit_test_setup_teardown(
		    test_request_read_after_caller_left, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
