#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "runlog.h"
#include "std.h"

/*
 * An accepted configuration is in force everywhere within seconds and never
 * reverts.
 */

#define IN_FORCE_MS 5000
#define ID_A "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define ID_B "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
#define ID_C "cccccccccccccccccccccccccccccccc"

/* A publication on version 2 whose configuration has errors. */
static const char bad_config[] =
    "{\"id\":\"dddddddddddddddddddddddddddddddd\",\"base\":2,"
    "\"version\":3,\"author\":\"x\",\"config\":{\"routes\":"
    "[{\"name\":\"\"}],\"workspaces\":7}}";

static struct fleet fleet;

/*
 * Returns the usual configuration with one more open route.
 */
static json_t *
conf_with(const char *name, const char *prefix)
{
	json_t *conf = std_conf();
	struct route_spec r = { .name = name,
		.prefix = prefix,
		.service = "web",
		.open = 1,
		.idempotent = 1,
		.retries = 1 };

	conf_route(conf, &r);
	return conf;
}

/*
 * Asserts that a path answers with a status through every node, within a
 * time.
 */
static void
everywhere(const char *path, long status)
{
	int i;

	for (i = 0; i < fleet.count; i++)
		if (proc_running(fleet.list[i].node) &&
		    std_route_says(
			&fleet, i, path, NULL, status, IN_FORCE_MS) == -1)
			fail_msg("node %d: %s never got %ld", i, path, status);
}

/*
 * Starts three nodes.
 */
static int
setup(void **state)
{
	harness_setup(state);
	return std_start(&fleet, 3, 0);
}

/*
 * Two operators publish from version 1 at once; the first one's answer is
 * lost, so it sends the same publication again.  The first in the log wins
 * everywhere and is applied once, the other has no effect.
 */
static void
test_race(void **state)
{
	json_t *a = conf_with("ra", "/ra"), *b = conf_with("rb", "/rb");
	long status = 0;

	(void)state;
	fleet_log_control(
	    &fleet, "{\"lose_answers\":1,\"lose_stream\":\"config\"}");
	assert_int_equal(fleet_publish_raw(&fleet, ID_A, 1, 2, a, &status), -1);
	assert_int_equal(status, 0);
	assert_int_equal(fleet_publish_raw(&fleet, ID_B, 1, 2, b, NULL), 0);
	assert_int_equal(fleet_publish_raw(&fleet, ID_A, 1, 2, a, NULL), 0);
	everywhere("/ra/1", 200);
	everywhere("/rb/1", 404);
	json_decref(a);
	json_decref(b);
	fleet.version = 2;
}

/*
 * Publications from an older base, with errors, and garbage change nothing
 * and nothing after them is held up.
 */
static void
test_bad_records(void **state)
{
	static const char *const garbage[] = { "", "{", "[]", "{\"id\":1}",
		"{\"snapshot\":true,\"id\":\"x\",\"version\":1,\"config\":{}}",
		bad_config };
	json_t *old = conf_with("old", "/old"), *next = conf_with("ra", "/ra");
	char url[96];
	struct route_spec r = { .name = "n3",
		.prefix = "/n3",
		.service = "web",
		.open = 1,
		.idempotent = 1 };
	size_t i;

	(void)state;
	snprintf(url, sizeof(url), "http://%s:%d/streams/config",
	    fleet.log_addr, LOG_PORT);
	for (i = 0; i < sizeof(garbage) / sizeof(garbage[0]); i++) {
		struct http_req rq;
		struct http_res rs;

		http_req_init(&rq, "%s", url);
		rq.method = "POST";
		rq.body = garbage[i];
		http_call(NULL, &rq, &rs);
		http_res_finish(&rs);
	}
	assert_int_equal(fleet_publish_raw(&fleet, ID_C, 1, 2, old, NULL), 0);
	conf_route(next, &r);
	assert_int_equal(fleet_publish(&fleet, next), 0);
	everywhere("/n3/1", 200);
	everywhere("/ra/1", 200);
	everywhere("/old/1", 404);
	json_decref(old);
	json_decref(next);
}

/*
 * With the log out, nodes go on with the version in force, and a node that
 * is started anew gets it from a peer, not an older one.
 */
static void
test_start_in_outage(void **state)
{
	int i;

	(void)state;
	fleet_log_control(&fleet, "{\"outage\":true}");
	proc_kill(fleet.list[2].node);
	fleet_node_start(&fleet, 2);
	everywhere("/n3/1", 200);
	for (i = 0; i < fleet.count; i++)
		assert_true(proc_running(fleet.list[i].node));
	fleet_log_control(&fleet, "{\"outage\":false}");
}

/*
 * A log that has forgotten every record does not make a node forget the
 * version in force, and one started then still gets it from a peer.
 */
static void
test_truncated(void **state)
{
	json_t *conf = conf_with("n4", "/n4");

	(void)state;
	fleet_log_control(&fleet, "{\"truncate\":\"config\"}");
	proc_kill(fleet.list[1].node);
	fleet_node_start(&fleet, 1);
	everywhere("/n3/1", 200);
	assert_int_equal(fleet_publish(&fleet, conf), 0);
	everywhere("/n4/1", 200);
	everywhere("/n3/1", 404);
	json_decref(conf);
}

/*
 * A burst of publications while a node is frozen ends with the last one in
 * force everywhere.
 */
static void
test_frozen(void **state)
{
	char prefix[32] = "";
	json_t *conf;
	int i;

	(void)state;
	proc_signal(fleet.list[0].node, SIGSTOP);
	for (i = 0; i < 30; i++) {
		snprintf(prefix, sizeof(prefix), "/burst%d", i);
		conf = conf_with("burst", prefix);
		assert_int_equal(fleet_publish(&fleet, conf), 0);
		json_decref(conf);
	}
	proc_signal(fleet.list[0].node, SIGCONT);
	snprintf(prefix, sizeof(prefix), "/burst%d/1", 29);
	everywhere(prefix, 200);
	everywhere("/burst28/1", 404);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_race),
		cmocka_unit_test(test_bad_records),
		cmocka_unit_test(test_start_in_outage),
		cmocka_unit_test(test_truncated),
		cmocka_unit_test(test_frozen),
	};

	return cmocka_run_group_tests(tests, setup, harness_teardown);
}
