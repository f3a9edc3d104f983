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
 * The server breaks off a request, and then nothing listens any more.
 */
static void
break_down(const char *path)
{
	struct caller c;

	servers[1].deed = BREAK;
	ask(&c, path, KEY);
	assert_int_equal(c.status, 502);
	h1_server_finish(&servers[1].http);
	h1_pool_trim(&nodes[1].server_pool, 0);
	ask(&c, "/o/finds-it-gone", KEY);
	assert_int_equal(c.status, 503);
	uv_run(&loop, UV_RUN_NOWAIT);
}

/*
 * The server listens again.  It may say so, in its next incarnation; otherwise
 * its node tries again after a while.
 */
static void
come_back(uint64_t born)
{
	assert_int_equal(h1_server_init(&servers[1].http, &loop, &server_at[1],
			     &server_ops, &servers[1], 64),
	    0);
	if (born != 0)
		announce(1, born, 1, 0);
	while (nodes[1].server.down_until_ms > loop_ms(&loop) ||
	       nodes[0].fleet.peers[0].server.leaving)
		uv_run(&loop, UV_RUN_ONCE);
	servers[1].deed = ANSWER;
	servers[1].runs = 0;
}

/*
 * What is sent to see whether a dead server is back, and breaks, too, is no
 * second death: a request that was at work both times is not refused.
 */
static void
test_one_death(void **state)
{
	struct caller c;

	(void)state;
	break_down("/o/hot");
	come_back(0);
	break_down("/o/hot");
	come_back(0);
	ask(&c, "/o/hot", KEY);
	assert_int_equal(c.status, 200);
	assert_int_equal(servers[1].runs, 1);
}

/*
 * A request that ran well before the deaths of two servers is not refused
 * after them; once it has run again, all nodes hold it for harmless.
 */
static void
test_hot(void **state)
{
	struct quarantine_print print;
	struct caller c;

	(void)state;
	ask(&c, "/o/hot", KEY);
	assert_int_equal(c.status, 200);
	break_down("/o/hot");
	come_back(200);
	break_down("/o/hot");
	come_back(201);
	servers[1].deed = HOLD;
	send_to(&c, 0, "/o/hot", KEY, "");
	while (servers[1].held == NULL)
		uv_run(&loop, UV_RUN_ONCE);
	print = nodes[1].exits->print;
	assert_int_equal(table_state(nodes[0].suspects, &print, loop_ms(&loop)),
	    QUARANTINE_REFUSED);
	servers[1].deed = ANSWER;
	server_end(&servers[1], servers[1].held);
	while (!c.done)
		uv_run(&loop, UV_RUN_ONCE);
	assert_int_equal(c.status, 200);
	h1_pool_finish(&c.pool);
	while (table_state(nodes[0].suspects, &print, loop_ms(&loop)) !=
	       QUARANTINE_FREE)
		uv_run(&loop, UV_RUN_ONCE);
}

/*
 * One that never ran well is refused after two deaths.
 */
static void
test_poison(void **state)
{
	struct caller c;

	(void)state;
	break_down("/o/poison");
	come_back(200);
	break_down("/o/poison");
	come_back(201);
	ask(&c, "/o/poison", KEY);
	assert_int_equal(c.status, 503);
	assert_int_equal(servers[1].runs, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
		    test_one_death, setup, teardown),
		cmocka_unit_test_setup_teardown(test_hot, setup, teardown),
		cmocka_unit_test_setup_teardown(test_poison, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
