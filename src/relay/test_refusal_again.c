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
 * A faulty server writes an earlier refusal once more on a kept connection,
 * when the next request has arrived there.
 */

/*
 * Sends a request, with an id or without one, and returns its status.
 */
static unsigned int
request_status(const char *id)
{
	struct caller c;

	send_with_id(&c, 0, "/o/1", KEY, id, "");
	while (!c.done)
		uv_run(&loop, UV_RUN_ONCE);
	h1_pool_finish(&c.pool);
	return c.status;
}

/*
 * False "not run": the refusal of an earlier request is not taken for one of a
 * request that the server has run.  The refused request and the one after it
 * have ids or not.
 */
static void
test_repeated_refusal_is_not_believed(void **state)
{
	static const char *const ids[][2] = {
		{ "a", "b" },
		{ "a", NULL },
		{ NULL, "b" },
		{ NULL, NULL },
	};
	struct caller c;
	size_t i;

	(void)state;
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 200);
	for (i = 0; i < sizeof(ids) / sizeof(ids[0]); i++) {
		servers[1].runs = 0;
		servers[1].server_behavior = SERVER_REJECTS;
		assert_int_equal(request_status(ids[i][0]), 503);
		assert_int_equal(servers[1].runs, 0);
		servers[1].server_behavior = SERVER_REPEATS_REFUSAL;
		assert_int_equal(request_status(ids[i][1]), 200);
		assert_int_equal(servers[1].runs, 1);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
		    test_repeated_refusal_is_not_believed, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
