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
 * Servers in trouble: one writes an earlier refusal once more on a kept
 * connection, when the next request has arrived there; another one sends bytes
 * that are no answer, without end.
 */

#define ROUTE_MS 20000
#define ENDLESS_BYTES (8 << 20) /* sent in vain */

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

/*
 * A body without end, behind a refusal or a success that isn't the server's:
 * the caller gets an error long before its deadline, which doesn't say that the
 * request has not run.
 */
static void
test_endless_body_is_no_answer(void **state)
{
	static const struct {
		const char *name, *field;
		unsigned int status;
	} rows[] = {
		{ "success without a signature", "Other", 200 },
		{ "refusal", "Not-Run", 503 },
	};
	static char piece[16384];
	struct caller c;
	struct h1_text t;
	size_t i, sent;

	(void)state;
	for (i = 0; i < nodes[0].config->route_count; i++)
		nodes[0].config->routes[i].deadline_ms = ROUTE_MS;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		print_message("%s\n", rows[i].name);
		servers[1].server_behavior = SERVER_HOLDS;
		servers[1].disconnects = 0;
		send_with_id(&c, 0, "/o/1", KEY, "a", "");
		while (servers[1].held_conn == NULL)
			uv_run(&loop, UV_RUN_ONCE);
		h1_text_init(&t);
		h1_text_add_field(&t, "Id", "a");
		h1_text_add_field(&t, rows[i].field, "1");
		h1_send_response_head(servers[1].held_conn, rows[i].status, &t,
		    H1_LENGTH_UNKNOWN);
		h1_text_finish(&t);
		for (sent = 0; !c.done && sent < ENDLESS_BYTES;
		     sent += sizeof(piece)) {
			if (servers[1].held_conn != NULL)
				h1_send_response_body(
				    servers[1].held_conn, piece, sizeof(piece));
			uv_run(&loop, UV_RUN_ONCE);
		}
		assert_int_equal(c.done, 1);
		assert_int_equal(c.status, 502);
		while (servers[1].disconnects == 0)
			uv_run(&loop, UV_RUN_ONCE);
		h1_pool_finish(&c.pool);
	}
}

/*
 * Gives node 0 a configuration in which its service has a health check, and
 * waits for the request.
 */
static void
hold_health_request(void)
{
	struct config *c = make_config(2, 0, KEY);

	c->health = calloc(1, sizeof(*c->health));
	c->health_count = 1;
	snprintf(c->health[0].service, sizeof(c->health[0].service), "web");
	snprintf(c->health[0].path, sizeof(c->health[0].path), "/health");
	servers[0].server_behavior = SERVER_HOLDS;
	relay_apply_config(&nodes[0], c);
	while (servers[0].held_conn == NULL)
		uv_run(&loop, UV_RUN_ONCE);
}

/*
 * A health response whose head is invalid announces no server.
 */
static void
test_invalid_health_response(void **state)
{
	static const char *const lines[] = { "A B: c\r\n", " A: b\r\n",
		"A: \x01\r\n" };
	struct h1_conn *conn;
	struct h1_text t;
	size_t i;

	(void)state;
	hold_health_request();
	for (i = 0; i < sizeof(lines) / sizeof(lines[0]); i++) {
		while (servers[0].held_conn == NULL)
			uv_run(&loop, UV_RUN_ONCE);
		conn = servers[0].held_conn;
		servers[0].held_conn = NULL;
		h1_text_init(&t);
		h1_text_add_field(&t, "Instance", "i-0");
		h1_text_add_field(&t, "Load", "1,0,7");
		h1_text_add(&t, lines[i], strlen(lines[i]));
		h1_send_response(conn, 200, &t, NULL, 0);
		h1_text_finish(&t);
		while (nodes[0].server.id[0] == '\0' &&
		       servers[0].held_conn == NULL)
			uv_run(&loop, UV_RUN_ONCE);
		assert_string_equal(nodes[0].server.id, "");
	}
}

/*
 * A health response without end is cancelled.
 */
static void
test_endless_health_response(void **state)
{
	static char piece[16384];
	struct h1_text t;
	size_t sent;

	(void)state;
	hold_health_request();
	h1_text_init(&t);
	h1_send_response_head(servers[0].held_conn, 503, &t, H1_LENGTH_UNKNOWN);
	for (sent = 0; servers[0].disconnects == 0 && sent < ENDLESS_BYTES;
	     sent += sizeof(piece)) {
		h1_send_response_body(
		    servers[0].held_conn, piece, sizeof(piece));
		uv_run(&loop, UV_RUN_ONCE);
	}
	assert_true(servers[0].disconnects > 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
		    test_repeated_refusal_is_not_believed, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_endless_body_is_no_answer, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_invalid_health_response, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_endless_health_response, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
