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

#define OLD_KEY "old-key-of-a-fleet"
#define NEW_KEY "new-key-of-a-fleet"
#define HOP_TEXT "900 0 0 1 0 " SERVICE " web w"

/*
 * Sets the keys of both nodes; a2 and b2 are the additionally accepted keys.
 */
static int
setup_keys(
    void **state, const char *a, const char *a2, const char *b, const char *b2)
{
	fleet_keys[0][0] = a;
	fleet_keys[0][1] = a2;
	fleet_keys[1][0] = b;
	fleet_keys[1][1] = b2;
	return setup(state);
}

static int
setup_no_key(void **state)
{
	return setup_keys(state, "", "", "", "");
}

static int
setup_keyed(void **state)
{
	return setup_keys(state, OLD_KEY, "", OLD_KEY, "");
}

static int
setup_key_rotation(void **state)
{
	return setup_keys(state, OLD_KEY, NEW_KEY, NEW_KEY, OLD_KEY);
}

/*
 * Sends a request to node B's port for other nodes from outside the fleet.
 */
static void
send_unauthenticated(
    struct caller *c, const char *path, const char *hop, const char *hex)
{
	struct h1_text t;

	memset(c, 0, sizeof(*c));
	h1_pool_init(&c->pool, &loop, &nodes[1].set.exit, 1000, 1000);
	h1_text_init(&t);
	h1_text_addf(&t, "GET %s HTTP/1.1\r\nHost: H\r\nId: forged\r\n", path);
	if (hop != NULL)
		h1_text_add_field(&t, RELAY_HOP, hop);
	if (hex != NULL)
		h1_text_add_field(&t, RELAY_SEAL, hex);
	h1_text_add(&t, "\r\n", 2);
	c->xchg = h1_send_request(&c->pool, &t, 0, 0, 0, &caller_ops, c);
	h1_text_finish(&t);
	while (!c->done)
		uv_run(&loop, UV_RUN_ONCE);
	h1_pool_finish(&c->pool);
}

/*
 * Without a fleet key an unsealed request runs.  This shows that the requests
 * of the next test are refused only because of their seals.
 */
static void
test_no_key_accepts_unsealed(void **state)
{
	struct caller c;

	(void)state;
	send_unauthenticated(&c, "/o/1", HOP_TEXT, NULL);
	assert_int_equal(c.status, 200);
	assert_int_equal(servers[1].runs, 1);
}

/*
 * With a fleet key, a request without a valid seal doesn't reach the server,
 * and doesn't get the configuration.
 */
static void
test_rejects_unsealed_requests(void **state)
{
	static const struct seal_request other = { .method = "GET",
		.target = "/o/2",
		.target_len = 4,
		.id = "forged",
		.id_len = 6,
		.hop = HOP_TEXT };
	char wrong[SEAL_HEX_BYTES], moved[SEAL_HEX_BYTES];
	struct caller c;
	struct seal s;

	(void)state;
	seal_init(&s, NEW_KEY, "");
	seal_request(&s, &other, wrong);
	seal_request(&nodes[0].seal, &other, moved);
	send_unauthenticated(&c, "/o/1", HOP_TEXT, NULL);
	assert_int_equal(c.status, 503);
	send_unauthenticated(&c, "/o/2", HOP_TEXT, wrong);
	assert_int_equal(c.status, 503);
	send_unauthenticated(&c, "/o/1", HOP_TEXT, moved);
	assert_int_equal(c.status, 503);
	send_unauthenticated(&c, "/o/1", NULL, NULL);
	assert_int_equal(c.status, 503);
	send_unauthenticated(&c, "/cyclamen/config", NULL, NULL);
	assert_int_equal(c.status, 503);
	assert_int_equal(c.body_len, 0);
	assert_int_equal(servers[1].runs, 0);
	assert_int_equal(nodes[1].counters[RELAY_EXIT_UNSEALED], 5);

	/*
	 * The same request with its own seal runs, and so does one through
	 * node A.
	 */
	send_unauthenticated(&c, "/o/2", HOP_TEXT, moved);
	assert_int_equal(c.status, 200);
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 200);
	assert_int_equal(servers[1].runs, 2);
	assert_null(strstr(servers[1].last_head, "Cyclamen"));
}

/*
 * An unsealed departure notice is counted and otherwise ignored.
 */
static void
test_ignores_unsealed_goodbye(void **state)
{
	struct fleet_net *to = &nodes[0].net;
	struct fleet_net from = *to;
	struct fleet_msg m;
	struct seal none;

	(void)state;
	seal_init(&none, "", "");
	memset(&m, 0, sizeof(m));
	m.kind = FLEET_GOODBYE;
	m.fleet_msg_u.bye.node = "n1";
	m.fleet_msg_u.bye.zone = "z1";
	m.fleet_msg_u.bye.server.id = "";
	m.fleet_msg_u.bye.server.service = "";
	m.fleet_msg_u.bye.stopping = 1;
	m.fleet_msg_u.bye.incarnation = UINT64_MAX;
	from.seal = &none;
	fleet_send(&from, &m, ntohl(nodes[0].set.advertised.s_addr));
	while (to->seal_rejected == 0)
		uv_run(&loop, UV_RUN_ONCE);
	assert_int_equal(to->seal_rejected, 1);
	assert_false(nodes[0].fleet.peers[0].stopping);
	assert_true(fleet_is_alive(&nodes[0].fleet, 0, loop_ms(&loop)));
}

static void
apply_copied_config(void *ctx, struct config *c, const char *from)
{
	assert_string_equal(from, "n1");
	relay_apply_config(ctx, c);
}

/*
 * While the key is rotated node by node, requests still run, and a node can
 * copy the configuration from another.
 */
static void
test_key_rotation(void **state)
{
	struct caller c;

	(void)state;
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 200);
	relay_apply_config(&nodes[1], make_config(2, 0, KEY));
	while (nodes[0].fleet.peers[0].config_version < 2)
		uv_run(&loop, UV_RUN_ONCE);
	relay_request_config(&nodes[0], apply_copied_config, &nodes[0]);
	while (nodes[0].config->version < 2)
		uv_run(&loop, UV_RUN_ONCE);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
		    test_no_key_accepts_unsealed, setup_no_key, teardown),
		cmocka_unit_test_setup_teardown(
		    test_rejects_unsealed_requests, setup_keyed, teardown),
		cmocka_unit_test_setup_teardown(
		    test_ignores_unsealed_goodbye, setup_keyed, teardown),
		cmocka_unit_test_setup_teardown(
		    test_key_rotation, setup_key_rotation, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
