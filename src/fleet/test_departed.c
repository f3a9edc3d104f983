#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "fleet/fleet.h"

#define STEPS 4

/* Heartbeats of one node in order, and whether its server counts as leaving. */
struct heartbeat_step {
	uint64_t incarnation; /* of the node; 0: end of the steps */
	char *server;
	uint64_t born_ms;
	unsigned int away;
	int leaving;
};

static const struct {
	const char *name;
	struct heartbeat_step steps[STEPS];
} rows[] = {
	{ "node restarts while its server leaves",
	    { { 5, "i-1", 100, 0, 0 }, { 5, "i-1", 100, FLEET_LEAVING, 1 },
		{ 6, "", 0, 0, 0 }, { 6, "i-1", 100, 0, 1 } } },
	{ "found by its health check, without a start time",
	    { { 5, "i-1", 100, FLEET_LEAVING, 1 }, { 6, "i-1", 0, 0, 1 },
		{ 6, "i-1", 100, 0, 1 } } },
	{ "server departed, then a late announcement",
	    { { 5, "i-1", 100, 0, 0 }, { 5, "", 0, FLEET_LEAVING, 0 },
		{ 6, "i-1", 100, 0, 1 } } },
	{ "server restarts under its id",
	    { { 5, "i-1", 100, FLEET_LEAVING, 1 }, { 6, "", 0, 0, 0 },
		{ 6, "i-1", 200, 0, 0 } } },
	{ "late announcement of the process before",
	    { { 5, "i-1", 200, FLEET_LEAVING, 1 }, { 6, "i-1", 100, 0, 1 } } },
	{ "replaced by another server",
	    { { 5, "i-1", 100, FLEET_LEAVING, 1 }, { 5, "", 0, 0, 0 },
		{ 5, "i-2", 150, 0, 0 } } },
	{ "down is not leaving",
	    { { 5, "i-1", 100, FLEET_DOWN, 1 }, { 5, "i-1", 100, 0, 0 },
		{ 6, "", 0, 0, 0 }, { 6, "i-1", 100, 0, 0 } } },
	{ "restarted node does not know its server yet",
	    { { 5, "i-1", 100, 0, 0 }, { 6, "", 0, 0, 0 },
		{ 6, "i-1", 100, 0, 0 } } },
};

/*
 * A server that announced its shutdown must not be used again when its node
 * restarts and a late announcement or health check shows the server as
 * available.
 */
static void
test_departed_server(void **state)
{
	char node[] = "b", zone[] = "z", service[] = "s";
	const struct heartbeat_step *s;
	struct fleet_table t;
	struct fleet_heartbeat b;
	size_t i, k;
	int changed;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		print_message("%s\n", rows[i].name);
		fleet_table_init(&t, "a", 1);
		for (k = 0; k < STEPS; k++) {
			s = &rows[i].steps[k];
			if (s->incarnation == 0)
				break;
			memset(&b, 0, sizeof(b));
			b.node = node;
			b.zone = zone;
			b.address = 1;
			b.incarnation = s->incarnation;
			b.load.sequence = k + 1;
			b.server.id = s->server;
			b.server.service = service;
			b.server.born_ms = s->born_ms;
			b.server.away = s->away;
			assert_int_equal(
			    fleet_apply_heartbeat(&t, &b, 10 + k, &changed), 0);
			if (s->server[0] != '\0')
				assert_int_equal(
				    t.peers[0].server.unavailable_state != 0,
				    s->leaving);
		}
		fleet_table_finish(&t);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_departed_server),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
