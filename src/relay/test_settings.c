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
 * Settings change while a request runs: it is answered as a whole, and the next
 * ones are held to the new settings.
 */
static void
test_change_during_request(void **state)
{
	struct relay_settings set = nodes[0].set;
	struct caller running, c;
	struct h1_text t;

	(void)state;
	servers[1].server_behavior = SERVER_HOLDS;
	send_with_id(&running, 0, "/o/1", KEY, "7fa3", "");
	while (servers[1].held_conn == NULL)
		uv_run(&loop, UV_RUN_ONCE);
	servers[1].server_behavior = SERVER_ANSWERS;
	set.fresh_ms = 0;
	set.memory_bytes = 1 << 20;
	relay_apply_settings(&nodes[0], &set);
	relay_apply_settings(&nodes[1], &set);
	nodes[0].config_proved_ms = loop_ms(&loop) - 1;
	ask(&c, "/s/1", KEY);
	assert_int_equal(c.status, 503);
	ask(&c, "/s/2", "key-unknown");
	assert_int_equal(c.status, 503);
	h1_text_init(&t);
	h1_text_add_field(&t, "Id", "7fa3");
	h1_text_add_field(&t, "Stamp", "s");
	h1_send_response(servers[1].held_conn, 200, &t, "mine", 4);
	h1_text_finish(&t);
	while (!running.done)
		uv_run(&loop, UV_RUN_ONCE);
	assert_int_equal(running.status, 200);
	assert_int_equal(running.body_len, 4);
	h1_pool_finish(&running.pool);
	set.fresh_ms = CONFIG_FRESH_MS;
	relay_apply_settings(&nodes[0], &set);
	ask(&c, "/s/3", KEY);
	assert_int_equal(c.status, 200);
}

/*
 * A shorter time for configurations, or for keys, changes at once when the
 * store is read.
 */
static void
test_change_of_schedule(void **state)
{
	struct relay_settings set = nodes[0].set;

	(void)state;
	assert_int_equal(nodes[0].schedule.close_wait_ms, CONFIG_APPLY_MS / 5);
	set.apply_ms = 1200;
	relay_apply_settings(&nodes[0], &set);
	assert_int_equal(nodes[0].schedule.close_wait_ms, 240);
	set.apply_ms = 13000;
	relay_apply_settings(&nodes[0], &set);
	assert_int_equal(nodes[0].schedule.close_wait_ms, CONFIG_FRESH_MS / 5);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
		    test_change_during_request, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_change_of_schedule, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
