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

/*
 * A server that announces its departure to a node which doesn't know it, or
 * knows it only in part, as after a restart of the node.
 */

#define BORN_MS 100 /* as announced in setup() */
/* Later than any departure here. */
#define BORN_LATER_MS UINT64_C(9000000000000)
#define HEALTH_BORN_MS 0 /* a health response states no start */

/*
 * Restarts node B: it forgets its server, and the other node sees a new
 * incarnation.
 */
static void
restart_node(void)
{
	memset(&nodes[1].server, 0, sizeof(nodes[1].server));
	nodes[1].incarnation++;
	nodes[1].heartbeat_sequence = 0;
}

/*
 * Announces a server with an id beside node B.
 */
static int
announce_id(const char *id, uint64_t born, uint64_t sequence)
{
	struct relay_announce a;

	memset(&a, 0, sizeof(a));
	snprintf(a.id, sizeof(a.id), "%s", id);
	snprintf(a.service, sizeof(a.service), SERVICE);
	a.born_ms = born;
	a.sequence = sequence;
	a.slots = 10;
	return relay_apply_announcement(&nodes[1], &a);
}

/*
 * Runs the loop until node A knows whether the server of node B is available.
 */
static void
await_availability(int available)
{
	struct fleet_server *s = &nodes[0].fleet.peers[0].server;

	while ((s->id[0] != '\0' && !s->unavailable_state) != available)
		uv_run(&loop, UV_RUN_ONCE);
}

/*
 * Sends a request to the service and checks whether the server runs it.
 */
static void
check_served(int served)
{
	struct caller c;

	servers[1].runs = 0;
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, served ? 200 : 503);
	assert_int_equal(servers[1].runs, served);
}

/*
 * Requests that reached a departed server: a DELETE that was the first news of
 * the server after a restart of its node was acknowledged and forgotten, and a
 * late announcement put the server into use again.  Neither does so now, nor
 * does one more restart; a server that starts later is used, under the same id
 * too.
 */
static void
test_departure_before_announcement_is_kept(void **state)
{
	static const uint64_t born_ms[] = { 0, BORN_MS };
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(born_ms) / sizeof(born_ms[0]); i++) {
		check_served(1);
		restart_node();
		relay_server_departed(&nodes[1], "i-1", born_ms[i]);
		assert_int_equal(announce_id("i-1", BORN_MS, 7), 0);
		check_served(0);
		await_availability(0);
		restart_node();
		(void)announce_id("i-1", BORN_MS, 7);
		while (!nodes[1].server.leaving)
			uv_run(&loop, UV_RUN_ONCE);
		assert_int_equal(announce_id("i-1", BORN_MS, 8), 0);
		check_served(0);
		restart_node();
		assert_int_equal(announce_id("i-1", BORN_LATER_MS, 1), 1);
		await_availability(1);
		check_served(1);
	}
}

/*
 * A DELETE that states the start of a server which the node has found by a
 * health request was ignored.  The server is used again once it has restarted,
 * under its id.
 */
static void
test_departure_of_server_found_by_health(void **state)
{
	(void)state;
	restart_node();
	assert_int_equal(announce_id("i-1", HEALTH_BORN_MS, 0), 1);
	await_availability(1);
	relay_server_departed(&nodes[1], "i-1", BORN_MS);
	await_availability(0);
	check_served(0);
	assert_int_equal(announce_id("i-1", BORN_MS, 9), 0);
	assert_int_equal(announce_id("i-1", BORN_MS + 1, 1), 1);
	await_availability(1);
	check_served(1);
}

/*
 * A late announcement of a departed server doesn't replace the server that
 * runs in its place, also without start times.
 */
static void
test_departed_server_does_not_return(void **state)
{
	(void)state;
	restart_node();
	assert_int_equal(announce_id("i-1", 0, 1), 1);
	relay_server_departed(&nodes[1], "i-1", 0);
	assert_int_equal(announce_id("i-2", 0, 1), 1);
	assert_int_equal(announce_id("i-1", 0, 2), 0);
	assert_string_equal(nodes[1].server.id, "i-2");
	relay_server_departed(&nodes[1], "i-2", 0);
	assert_int_equal(announce_id("i-1", 0, 3), 0);
	assert_int_equal(announce_id("i-2", 0, 2), 0);
	check_served(0);
}

/*
 * The departure of another server or of an earlier incarnation doesn't affect
 * the server in use.
 */
static void
test_departure_of_another_server(void **state)
{
	(void)state;
	relay_server_departed(&nodes[1], "i-8", 0);
	relay_server_departed(&nodes[1], "i-1", BORN_MS - 1);
	assert_false(nodes[1].server.leaving);
	check_served(1);
	relay_server_departed(&nodes[1], "i-1", BORN_MS);
	check_served(0);
}

/*
 * A server found by a health request after a restart of its node, while the
 * other node remembers the departure of its earlier incarnation: it is used
 * again once it announces its start.
 */
static void
test_restarted_server_is_used_after_reminder(void **state)
{
	(void)state;
	relay_server_departed(&nodes[1], "i-1", BORN_MS);
	await_availability(0);
	restart_node();
	assert_int_equal(announce_id("i-1", HEALTH_BORN_MS, 0), 1);
	while (!nodes[1].server.leaving)
		uv_run(&loop, UV_RUN_ONCE);
	assert_int_equal(announce_id("i-1", BORN_MS + 1, 1), 1);
	await_availability(1);
	check_served(1);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
		    test_departure_before_announcement_is_kept, setup,
		    teardown),
		cmocka_unit_test_setup_teardown(
		    test_departure_of_server_found_by_health, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_departed_server_does_not_return, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_departure_of_another_server, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_restarted_server_is_used_after_reminder, setup,
		    teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
