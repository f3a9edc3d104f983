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
 * Returns 1 if a node's throttle limits root requests because of the service.
 */
static int
is_limiting(struct relay *r)
{
	return r->throttle.services[throttle_service(&r->throttle, SERVICE)]
		   .is_limiting != 0;
}

/*
 * Cascading failure: root requests are refused once the only server of a
 * service they need has left, and admitted again when it is back.
 */
static void
test_roots_refused_without_server(void **state)
{
	struct caller c;

	(void)state;
	while (nodes[0].throttle_steps < 2)
		uv_run(&loop, UV_RUN_ONCE);
	assert_false(is_limiting(&nodes[0]));
	announce(1, 100, 2, 1);
	while (!is_limiting(&nodes[0]))
		uv_run(&loop, UV_RUN_ONCE);
	ask(&c, "/s/away", KEY);
	assert_int_equal(c.status, 503);
	announce(1, 200, 1, 0);
	while (is_limiting(&nodes[0]))
		uv_run(&loop, UV_RUN_ONCE);
	ask(&c, "/s/back", KEY);
	assert_int_equal(c.status, 200);
}

/*
 * A service without servers stops limiting root requests when no route of the
 * configuration leads to it.
 */
static void
test_unrouted_service_does_not_limit(void **state)
{
	struct config *c = make_config(2, 0, KEY);
	size_t i;

	(void)state;
	while (nodes[0].throttle_steps < 2)
		uv_run(&loop, UV_RUN_ONCE);
	announce(1, 100, 2, 1);
	while (!is_limiting(&nodes[0]))
		uv_run(&loop, UV_RUN_ONCE);
	for (i = 0; i < c->route_count; i++)
		snprintf(c->routes[i].service, sizeof(c->routes[i].service),
		    "elsewhere");
	relay_apply_config(&nodes[0], c);
	while (is_limiting(&nodes[0]))
		uv_run(&loop, UV_RUN_ONCE);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
		    test_roots_refused_without_server, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_unrouted_service_does_not_limit, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
