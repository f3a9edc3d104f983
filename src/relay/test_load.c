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

/*
 * Nodes report their callers' demand and the cost of runs to each other, so
 * that all nodes admit the same share.
 */
static void
test_demand_reported(void **state)
{
	struct relay *other = &nodes[1];
	struct caller c;
	int h;

	(void)state;
	h = throttle_find_row(&other->throttle,
	    throttle_service(&other->throttle, SERVICE),
	    config_route_id("/o/"));
	do {
		ask(&c, "/o/1", KEY);
		assert_int_equal(c.status, 200);
	} while (other->throttle.rows[h].demand[0] <= 0);
	servers[1].server_behavior = SERVER_HOLDS; /* a long run */
	ask(&c, "/o/1", KEY);
	h = throttle_service(&nodes[0].throttle, SERVICE);
	while (nodes[0].throttle.services[h].capacity_runs_per_s <= 0)
		uv_run(&loop, UV_RUN_ONCE);
	assert_true(nodes[0].throttle.services[h].slots >= 1);
}

/*
 * Returns the row in a node's throttle of a route to the service.
 */
static struct throttle_row *
find_row(struct relay *r, const char *route)
{
	return &r->throttle.rows[throttle_find_row(&r->throttle,
	    throttle_service(&r->throttle, SERVICE), config_route_id(route))];
}

/*
 * Each route's runs are measured by themselves, and other nodes hear of them.
 * A call counts for the route of the run that made it.
 */
static void
test_routes_measured_and_reported(void **state)
{
	struct caller root, call, c;
	struct throttle_row *row;
	struct h1_text t;
	uint32_t i;

	(void)state;
	for (i = 0; i < 8; i++) {
		ask(&c, "/s/1", KEY);
		assert_int_equal(c.status, 200);
	}
	for (i = 0; i < 8; i++) {
		servers[1].server_behavior = SERVER_HOLDS;
		send_with_id(&root, 0, "/o/1", KEY, "7fa3", "");
		while (servers[1].held_conn == NULL)
			uv_run(&loop, UV_RUN_ONCE);
		servers[1].server_behavior = SERVER_ANSWERS;
		send_with_id(&call, 1, "/open/1", NULL, "7fa3.01", "");
		while (!call.done)
			uv_run(&loop, UV_RUN_ONCE);
		assert_int_equal(call.status, 200);
		h1_text_init(&t);
		h1_text_add_field(&t, "Id", "7fa3");
		h1_text_add_field(&t, "Stamp", "s");
		h1_send_response(servers[1].held_conn, 200, &t, "mine", 4);
		h1_text_finish(&t);
		servers[1].held_conn = NULL;
		while (!root.done)
			uv_run(&loop, UV_RUN_ONCE);
		assert_int_equal(root.status, 200);
		h1_pool_finish(&root.pool);
		h1_pool_finish(&call.pool);
	}
	row = find_row(&nodes[0], "/o/");
	while (!row->measured || row->call_count == 0)
		uv_run(&loop, UV_RUN_ONCE);
	assert_ptr_equal(&nodes[0].throttle.rows[row->calls[0].row],
	    find_row(&nodes[0], "/open/"));
	assert_true(row->calls[0].calls_per_run > 0.8);
	row = find_row(&nodes[0], "/s/");
	while (!row->measured)
		uv_run(&loop, UV_RUN_ONCE);
	assert_int_equal(row->call_count, 0);
}

/*
 * Full heartbeats: a route that is tried once or twice gets no row in this
 * node's heartbeats.
 */
static void
test_rare_route_has_no_row(void **state)
{
	static struct fleet_heartbeat b;
	uint64_t digest;
	uint32_t i;

	(void)state;
	for (i = 0; i < 20; i++)
		assert_true(load_admit_root(
		    &nodes[0], SERVICE, config_route_id("/o/"), 0));
	b.node = b.zone = b.server.id = b.server.service =
	    (char *)(uintptr_t) "";
	load_fill_heartbeat(&nodes[0], &b);
	digest = fleet_heartbeat_digest(&b);
	for (i = 2; i < 12; i++)
		assert_true(load_admit_root(&nodes[0], SERVICE, i / 2, 0));
	load_fill_heartbeat(&nodes[0], &b);
	assert_true(fleet_heartbeat_digest(&b) == digest);
	assert_int_equal(nodes[0].demand.count, 1);
	assert_int_equal(nodes[0].demand.rows[0].route, config_route_id("/o/"));
}

/*
 * Nodes of an older version, which know no routes: their heartbeats are read,
 * and their callers' demand counts for the service.
 */
static void
test_heartbeat_without_routes(void **state)
{
	static char rates[THROTTLE_CLASSES];
	fleet_name names_asked[] = { (char *)(uintptr_t)SERVICE };
	struct fleet_msg m;
	struct sockaddr_in to = nodes[0].set.fleet;
	struct throttle_row *row = find_row(&nodes[0], "/o/");
	int service = row->service, fd;
	char buf[1400];
	size_t len;
	XDR x;

	(void)state;
	while (nodes[0].throttle_steps < 2)
		uv_run(&loop, UV_RUN_ONCE);
	memset(&m, 0, sizeof(m));
	m.kind = FLEET_HEARTBEAT;
	load_fill_heartbeat(&nodes[1], &m.fleet_msg_u.beat);
	m.fleet_msg_u.beat.node = (char *)(uintptr_t) "n9";
	m.fleet_msg_u.beat.zone = (char *)(uintptr_t) "z9";
	m.fleet_msg_u.beat.server.id = (char *)(uintptr_t) "";
	m.fleet_msg_u.beat.server.service = (char *)(uintptr_t) "";
	m.fleet_msg_u.beat.incarnation = 7;
	m.fleet_msg_u.beat.address = ntohl(inet_addr("127.0.0.9"));
	m.fleet_msg_u.beat.port = 1;
	m.fleet_msg_u.beat.demands.demands_val = names_asked;
	m.fleet_msg_u.beat.demands.demands_len = 1;
	rates[0] = (char)demand_encode_rate(50);
	m.fleet_msg_u.beat.load.demands.demands_val = rates;
	m.fleet_msg_u.beat.load.demands.demands_len = THROTTLE_CLASSES;
	m.fleet_msg_u.beat.demand_routes.demand_routes_len = 0;
	xdrmem_create(&x, buf, sizeof(buf), XDR_ENCODE);
	assert_true(xdr_fleet_msg(&x, &m));
	len = xdr_getpos(&x) - 4; /* without the length of the routes */
	xdr_destroy(&x);
	fd = socket(AF_INET, SOCK_DGRAM, 0);
	assert_int_equal(
	    sendto(fd, buf, len, 0, (struct sockaddr *)&to, sizeof(to)), len);
	close(fd);
	while (nodes[0].throttle.rows[service].demand[0] <= 0) {
		uv_run(&loop, UV_RUN_ONCE);
		assert_int_equal(nodes[0].net.undecodable, 0);
	}
	assert_true(nodes[0].throttle.rows[service].demand[0] > 45);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
		    test_roots_refused_without_server, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_unrouted_service_does_not_limit, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_demand_reported, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_routes_measured_and_reported, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_rare_route_has_no_row, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_heartbeat_without_routes, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
