#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "base/loopclock.h"
#include "relay/relay_int.h"
#include "relay/test_pair.h"

#define RUNNING_ID "7fa3" /* id of the request that runs during the stop */

/*
 * Sends a request to node B and returns its status.
 */
static unsigned int
request_status(const char *path, const char *key, const char *id)
{
	struct caller c;

	send_with_id(&c, 1, path, key, id, "");
	while (!c.done)
		uv_run(&loop, UV_RUN_ONCE);
	h1_pool_finish(&c.pool);
	return c.status;
}

/*
 * A stopping node still accepts requests, as callers still send them.  Near
 * its end it refuses root requests that might not finish in time, instead of
 * breaking them off.  Calls made by a running request are accepted until the
 * end.
 */
static void
test_stop_refuses_late_root_requests(void **state)
{
	struct caller root;

	(void)state;
	ask(&root, "/o/1", KEY);
	assert_int_equal(root.status, 200);
	servers[1].server_behavior = SERVER_HOLDS;
	send_with_id(&root, 1, "/o/1", KEY, RUNNING_ID, "");
	while (servers[1].held_conn == NULL)
		uv_run(&loop, UV_RUN_ONCE);
	servers[1].server_behavior = SERVER_ANSWERS;
	relay_stop(&nodes[1]);
	assert_int_equal(request_status("/o/2", KEY, "early"), 200);
	/* From now on a request of a second might outlast the stop. */
	nodes[1].stop_began_ms -= ACCEPT_MS + 1;
	nodes[1].set.stop_timeout_ms =
	    loop_ms(&loop) - nodes[1].stop_began_ms + 900;
	servers[1].runs = 0;
	assert_int_equal(request_status("/o/3", KEY, "late"), 503);
	assert_int_equal(servers[1].runs, 0);
	assert_int_equal(
	    request_status("/open/1", NULL, RUNNING_ID ".01"), 200);
	assert_int_equal(servers[1].runs, 1);
	while (!root.done)
		uv_run(&loop, UV_RUN_ONCE);
	h1_pool_finish(&root.pool);
}

/*
 * Lost answers in a planned stop: late in the grace, a request is accepted only
 * if it must end before the node does, by its route's timeout or its own
 * deadline.  In the first while, when callers still come, all are.
 */
static void
test_stop_accepts_what_ends_in_time(void **state)
{
	static const struct {
		uint64_t age_ms, timeout_ms;
		unsigned int status;
	} rows[] = {
		{ 100, 5000, 200 },
		{ 2500, 5000, 200 },
		{ 6900, 5000, 200 },
		{ 7100, 5000, 503 },
		{ 7400, 5000, 503 },
		{ 7400, 1500, 200 },
		{ 7600, 1500, 503 },
	};
	struct caller c; /* waits for 2 s */
	size_t i, k;

	(void)state;
	ask(&c, "/o/1", KEY);
	relay_stop(&nodes[0]);
	nodes[0].set.stop_timeout_ms = 9000; /* as with 10 s of grace */
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		for (k = 0; k < nodes[0].config->route_count; k++)
			nodes[0].config->routes[k].deadline_ms =
			    (uint32_t)rows[i].timeout_ms;
		nodes[0].stop_began_ms = loop_ms(&loop) - rows[i].age_ms;
		servers[1].runs = 0;
		ask(&c, "/o/1", KEY);
		assert_int_equal(c.status, rows[i].status);
		assert_int_equal(servers[1].runs, rows[i].status == 200);
	}
}

/*
 * A node that must end while a server is at work on a request: the caller gets
 * an answer, which doesn't say that the request has not run.
 */
static void
test_end_of_stop_answers_all(void **state)
{
	struct caller c;
	uint64_t began;

	(void)state;
	servers[1].server_behavior = SERVER_HOLDS;
	send_with_id(&c, 0, "/o/1", KEY, RUNNING_ID, "");
	while (servers[1].held_conn == NULL)
		uv_run(&loop, UV_RUN_ONCE);
	relay_stop(&nodes[0]);
	began = loop_ms(&loop);
	relay_fail_requests(&nodes[0]);
	while (!c.done)
		uv_run(&loop, UV_RUN_ONCE);
	assert_true(loop_ms(&loop) - began < 500); /* not by its timeout */
	assert_int_equal(c.done, 1);
	assert_int_equal(c.status, 504);
	h1_pool_finish(&c.pool);
}

/*
 * A server announces its departure, its node restarts, and a delayed
 * announcement presents the server as healthy.  The other node still knows of
 * the departure and reports it.
 */
static void
test_departure_outlives_node_restart(void **state)
{
	struct caller c;

	(void)state;
	announce(1, 100, 2, 1);
	while (!nodes[0].fleet.peers[0].server.unavailable_state)
		uv_run(&loop, UV_RUN_ONCE);
	memset(&nodes[1].server, 0, sizeof(nodes[1].server));
	nodes[1].incarnation++;
	nodes[1].heartbeat_sequence = 0;
	announce(1, 100, 3, 0);
	assert_false(nodes[1].server.leaving);
	while (!nodes[1].server.leaving)
		uv_run(&loop, UV_RUN_ONCE);
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 503);
	assert_int_equal(servers[1].runs, 0);
	announce(1, 300, 1, 0); /* the server has restarted */
	while (nodes[0].fleet.peers[0].server.unavailable_state)
		uv_run(&loop, UV_RUN_ONCE);
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 200);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
		    test_stop_refuses_late_root_requests, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_stop_accepts_what_ends_in_time, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_end_of_stop_answers_all, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_departure_outlives_node_restart, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
