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
	uint64_t began;

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
	nodes[1].set.accept_root_ms = loop_ms(&loop) - nodes[1].stop_began_ms;
	began = loop_ms(&loop);
	while (loop_ms(&loop) <= began)
		uv_run(&loop, UV_RUN_ONCE);
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
		    test_departure_outlives_node_restart, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
