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

#define SUSPEND_S 10

static time_t suspended_s;

/*
 * Returns the machine's clocks as if it had been suspended for suspended_s.
 */
static int
suspended_clock(clockid_t clock, struct timespec *ts)
{
	int rc = clock_gettime(clock, ts);

	if (clock == CLOCK_BOOTTIME)
		ts->tv_sec += suspended_s;
	return rc;
}

/*
 * The loop's own time doesn't advance while the machine is suspended.  After
 * it, a key that may have been revoked meanwhile is refused, and nodes that
 * may have lost the ownership of a limit don't decide on it.  Once the proof
 * is renewed, requests run again and no node stays isolated.
 */
static void
test_suspend_expires_keys_and_ownership(void **state)
{
	uint64_t ws = config_ws_hash("w"), now;
	struct caller c;

	(void)state;
	loop_clock_use(suspended_clock);
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 200);
	now = loop_ms(&loop);
	suspended_s = SUSPEND_S;
	while (loop_ms(&loop) < now + SUSPEND_S * 1000)
		uv_update_time(&loop);
	now = loop_ms(&loop);
	assert_int_not_equal(fleet_owner(&nodes[0].fleet, ws, now), FLEET_SELF);
	assert_int_not_equal(fleet_owner(&nodes[1].fleet, ws, now), FLEET_SELF);
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 503);
	assert_int_equal(servers[1].runs, 1);
	do {
		relay_config_proved(&nodes[0], loop_ms(&loop));
		ask(&c, "/o/1", KEY);
	} while (c.status != 200);
	assert_false(nodes[0].fleet.peers[0].has_departed);
	while (nodes[0].fleet.self_isolated || nodes[1].fleet.self_isolated)
		uv_run(&loop, UV_RUN_ONCE);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
		    test_suspend_expires_keys_and_ownership, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
