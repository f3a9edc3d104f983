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
 * The server breaks off a request and stops listening.
 */
static void
crash_server(const char *path)
{
	struct caller c;

	servers[1].server_behavior = SERVER_BREAKS;
	ask(&c, path, KEY);
	assert_int_equal(c.status, 502);
	h1_server_finish(&servers[1].http);
	h1_pool_trim(&nodes[1].server_pool, 0);
	ask(&c, "/o/finds-it-gone", KEY);
	assert_int_equal(c.status, 503);
	uv_run(&loop, UV_RUN_NOWAIT);
}

/*
 * The server listens again.  Unless born is 0, it announces itself as a new
 * incarnation; otherwise its node tries to connect again after a wait.
 */
static void
restart_server(uint64_t born)
{
	assert_int_equal(h1_server_init(&servers[1].http, &loop,
			     &server_addrs[1], &server_ops, &servers[1], 64),
	    0);
	if (born != 0)
		announce(1, born, 1, 0);
	while (nodes[1].server.down_until_ms > loop_ms(&loop) ||
	       nodes[0].fleet.peers[0].server.unavailable_state)
		uv_run(&loop, UV_RUN_ONCE);
	servers[1].server_behavior = SERVER_ANSWERS;
	servers[1].runs = 0;
}

/*
 * A request that breaks when it is sent to check on a crashed server is not a
 * second crash: a request that was running both times is not refused.
 */
static void
test_failed_reconnect_is_no_second_crash(void **state)
{
	struct caller c;

	(void)state;
	crash_server("/o/hot");
	restart_server(0);
	crash_server("/o/hot");
	restart_server(0);
	ask(&c, "/o/hot", KEY);
	assert_int_equal(c.status, 200);
	assert_int_equal(servers[1].runs, 1);
}

/*
 * A request that had run before two crashes is not refused by its node after
 * them.  Once it has run again, all nodes clear it.
 */
static void
test_harmless_request_is_cleared(void **state)
{
	struct quarantine_fingerprint fingerprint;
	struct caller c;

	(void)state;
	ask(&c, "/o/hot", KEY);
	assert_int_equal(c.status, 200);
	crash_server("/o/hot");
	restart_server(200);
	crash_server("/o/hot");
	restart_server(201);
	servers[1].server_behavior = SERVER_HOLDS;
	send_to(&c, 0, "/o/hot", KEY, "");
	while (servers[1].held_conn == NULL)
		uv_run(&loop, UV_RUN_ONCE);
	fingerprint = nodes[1].exits->fingerprint;
	assert_int_equal(
	    table_get_state(nodes[0].suspects, &fingerprint, loop_ms(&loop)),
	    QUARANTINE_REFUSED);
	servers[1].server_behavior = SERVER_ANSWERS;
	server_end(&servers[1], servers[1].held_conn);
	while (!c.done)
		uv_run(&loop, UV_RUN_ONCE);
	assert_int_equal(c.status, 200);
	h1_pool_finish(&c.pool);
	while (table_get_state(nodes[0].suspects, &fingerprint,
		   loop_ms(&loop)) != QUARANTINE_UNRESTRICTED)
		uv_run(&loop, UV_RUN_ONCE);
}

/*
 * A request that never ran without a crash is refused after two crashes.
 */
static void
test_crashing_request_is_refused(void **state)
{
	struct caller c;

	(void)state;
	crash_server("/o/poison");
	restart_server(200);
	crash_server("/o/poison");
	restart_server(201);
	ask(&c, "/o/poison", KEY);
	assert_int_equal(c.status, 503);
	assert_int_equal(servers[1].runs, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
		    test_failed_reconnect_is_no_second_crash, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_harmless_request_is_cleared, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_crashing_request_is_refused, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
