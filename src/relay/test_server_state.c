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
 * What a server says of itself in its answers: the rate that it takes, and
 * that it is shutting down.
 */

#define NAMED_PER_S 10
#define WINDOW_MS 4000
#define ALLOWED (NAMED_PER_S * WINDOW_MS / 1000 * 3 / 2 + 5)
#define AT_ONCE 6

/*
 * Sends requests, some at a time and through both nodes, for some time, and
 * returns how many were served.
 */
static int
send_for(uint64_t ms, int *refused)
{
	static struct caller callers[AT_ONCE];
	uint64_t end = loop_ms(&loop) + ms;
	struct caller *c;
	int served = 0;
	size_t i;

	*refused = 0;
	while (loop_ms(&loop) < end) {
		for (i = 0; i < AT_ONCE; i++) {
			relay_config_proved(&nodes[i % 2], loop_ms(&loop));
			send_to(&callers[i], (int)(i % 2), "/s/1", KEY, "");
		}
		for (i = 0; i < AT_ONCE; i++) {
			c = &callers[i];
			while (!c->done)
				uv_run(&loop, UV_RUN_ONCE);
			h1_pool_finish(&c->pool);
			served += c->status == 200;
			*refused +=
			    c->status == 503 && c->retry_after[0] != '\0';
			assert_true(c->status == 200 || c->status == 503);
		}
	}
	return served;
}

/*
 * A server gets more requests than the rate that it names, which holds for all
 * nodes together.  The others are refused as not run, and when the server no
 * longer names a rate it gets all again.
 */
static void
test_named_rate_holds_for_all_nodes(void **state)
{
	static char rate[] = "10.0";
	struct caller c;
	int served, refused, runs;

	(void)state;
	servers[1].rate = rate;
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 200);
	runs = servers[1].runs;
	served = send_for(WINDOW_MS, &refused);
	print_message(
	    "%d served of %d allowed, %d refused\n", served, ALLOWED, refused);
	assert_true(served <= ALLOWED);
	assert_true(served >= NAMED_PER_S * WINDOW_MS / 1000 / 2);
	assert_true(refused > 0);
	assert_int_equal(servers[1].runs - runs, served);
	assert_true(relay_server_slots(&nodes[1]) < 9);
	servers[1].rate = NULL;
	(void)send_for(1500, &refused);
	send_for(500, &refused);
	assert_int_equal(refused, 0);
	assert_int_equal(relay_server_slots(&nodes[1]), 9);
}

/*
 * A rate that is no number changes nothing.
 */
static void
test_invalid_rate_ignored(void **state)
{
	static const char *const texts[] = { "many", "10x", "nan", "inf",
		"1e999", "-1", "" };
	struct caller c;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		servers[1].rate = texts[i];
		ask(&c, "/o/1", KEY);
		assert_int_equal(c.status, 200);
		assert_int_equal(nodes[1].cap.active, 0);
	}
}

/*
 * A server that says in an answer that it is shutting down gets no more
 * requests, whatever it announces, until another one has started there.
 */
static void
test_leaving_in_answer(void **state)
{
	struct caller c;

	(void)state;
	servers[1].leaving = 1;
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 200);
	announce(1, 100, 5, 0);
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 503);
	assert_int_equal(servers[1].runs, 1);
	while (!nodes[0].fleet.peers[0].server.unavailable_state)
		uv_run(&loop, UV_RUN_ONCE);
	servers[1].leaving = 0;
	announce(1, 200, 1, 0);
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 200);
}

/*
 * Another writer's announcement: a start far in the future would make those of
 * the server outdated, so it is no announcement of the server.
 */
static void
test_implausible_announcements(void **state)
{
	static const struct {
		const char *service;
		uint64_t born_ms;
		int plausible;
	} rows[] = {
		{ SERVICE, 0, 1 },
		{ SERVICE, UINT64_C(1700000000000), 1 },
		{ SERVICE, UINT64_C(9000000000000000000), 0 },
		{ "other", 0, 0 },
	};
	struct relay_announce a;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		memset(&a, 0, sizeof(a));
		snprintf(a.service, sizeof(a.service), "%s", rows[i].service);
		a.born_ms = rows[i].born_ms;
		assert_int_equal(relay_announcement_is_plausible(&nodes[1], &a),
		    rows[i].plausible);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
		    test_named_rate_holds_for_all_nodes, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_invalid_rate_ignored, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_leaving_in_answer, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_implausible_announcements, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
