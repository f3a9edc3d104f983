#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "relay/relay_int.h"
#include "relay/test_pair.h"

/* What a server does, and what the caller of a route gets. */
struct answer_case {
	const char *name;
	enum deed deed;
	unsigned int status;
	const char *path;
	const char *body;
	int runs;
};

static const struct answer_case answers[] = {
	{ "answer", ANSWER, 200, "/o/1", "mine", 1 },
	{ "failure of the server", FAIL, 500, "/o/1", "bad", 1 },
	{ "refusal, not run", TURN, 503, "/o/1", "", 0 },
	{ "another request's answer first", OTHERS_FIRST, 200, "/o/1", "mine",
	    1 },
	{ "success without a stamp", NO_STAMP, 502, "/o/1", "", 1 },
	{ "broken exchange", BREAK, 502, "/o/1", "", 1 },
	{ "broken, may be repeated, no other server", BREAK, 502, "/s/1", "",
	    1 },
	{ "no answer in time", HOLD, 504, "/o/1", "", 1 },
};

/*
 * Whatever the server does, the caller gets its own answer, or a failure
 * that is true.
 */
static void
test_answers(void **state)
{
	const struct answer_case *a;
	struct caller c;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
		a = &answers[i];
		print_message("%s\n", a->name);
		servers[1].deed = a->deed;
		servers[1].runs = 0;
		ask(&c, a->path, KEY);
		assert_int_equal(c.done, 1);
		assert_int_equal(c.status, a->status);
		assert_int_equal(c.body_len, strlen(a->body));
		assert_memory_equal(c.body, a->body, c.body_len);
		assert_int_equal(servers[1].runs, a->runs);
		relay_proved(&nodes[0], uv_now(&loop));
	}
}

/*
 * The server learns the workspace and where the request began, never the key,
 * whatever the caller claims.
 */
static void
test_fields(void **state)
{
	struct caller c;

	(void)state;
	send_to(&c, 0, "/o/1", KEY,
	    "Workspace: forged\r\nCaller: forged\r\nExpect: forged\r\n"
	    "Cyclamen-Hop: 1 0 0 0 a b c\r\nOther: kept\r\n");
	while (!c.done)
		uv_run(&loop, UV_RUN_ONCE);
	assert_int_equal(c.status, 200);
	assert_null(strstr(servers[1].seen, "forged"));
	assert_null(strstr(servers[1].seen, KEY));
	assert_null(strstr(servers[1].seen, "Cyclamen"));
	assert_non_null(strstr(servers[1].seen, "Workspacew"));
	assert_non_null(strstr(servers[1].seen, "Callerweb"));
	assert_non_null(strstr(servers[1].seen, "Expecti-1"));
	assert_non_null(strstr(servers[1].seen, "Otherkept"));
	h1_pool_finish(&c.pool);
}

/*
 * Keys are held to the configuration in force, and to one that isn't old.
 */
static void
test_keys(void **state)
{
	struct caller c;

	(void)state;
	ask(&c, "/o/1", NULL);
	assert_int_equal(c.status, 401);
	ask(&c, "/o/1", "unknown");
	assert_int_equal(c.status, 401);
	ask(&c, "/none/1", KEY);
	assert_int_equal(c.status, 404);
	ask(&c, "/open/1", NULL);
	assert_int_equal(c.status, 200);
	relay_take_config(&nodes[0], make_config(2, 0, "key-2"));
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 401);
	ask(&c, "/o/1", "key-2");
	assert_int_equal(c.status, 200);
	nodes[0].set.fresh_ms = 0;
	nodes[0].proved_ms = 0;
	ask(&c, "/o/1", "key-2");
	assert_int_equal(c.status, 503);
	ask(&c, "/open/1", NULL);
	assert_int_equal(c.status, 200);
	nodes[0].set.fresh_ms = FRESH_MS;
}

/*
 * From its acknowledgement on, a leaving server gets nothing more, not even
 * what waited for it; a new incarnation does, and an announcement of the old
 * one that comes late changes nothing.
 */
static void
test_leaving(void **state)
{
	struct caller c;

	(void)state;
	announce(1, 100, 2, 1);
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 503);
	assert_int_equal(servers[1].runs, 0);
	assert_true(c.retry_after[0] != '\0');
	announce(1, 200, 1, 0);
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 200);
	announce(1, 100, 9, 1);
	relay_left(&nodes[1], "i-1", 100);
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 200);
	relay_left(&nodes[1], "i-1", 200);
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 503);
}

/*
 * A caller that leaves takes its work at the server with it.
 */
static void
test_caller_gone(void **state)
{
	struct caller c;

	(void)state;
	servers[1].deed = HOLD;
	send_to(&c, 0, "/o/1", KEY, "");
	while (servers[1].held == NULL)
		uv_run(&loop, UV_RUN_ONCE);
	h1_cancel(c.xchg);
	while (servers[1].gone == 0)
		uv_run(&loop, UV_RUN_ONCE);
	assert_null(nodes[0].entries);
	assert_null(nodes[1].exits);
	assert_int_equal(nodes[1].core.inflight, 0);
	h1_pool_finish(&c.pool);
}

/*
 * Of two servers, a request that may be repeated goes to the other one when
 * the first breaks; one that may not goes to one only.
 */
static void
test_two_servers(void **state)
{
	struct caller c;
	int i, runs;

	(void)state;
	snprintf(nodes[0].set.service, sizeof(nodes[0].set.service), SERVICE);
	announce(0, 100, 1, 0);
	servers[0].deed = servers[1].deed = BREAK;
	ask(&c, "/s/1", KEY);
	assert_int_equal(c.status, 502);
	assert_int_equal(servers[0].runs, 1);
	assert_int_equal(servers[1].runs, 1);
	runs = servers[0].runs + servers[1].runs;
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 502);
	assert_int_equal(servers[0].runs + servers[1].runs, runs + 1);
	/* The budget of repeats is used up long before every one is one. */
	runs = servers[0].runs + servers[1].runs;
	for (i = 0; i < 50; i++) {
		ask(&c, "/s/1", KEY);
		relay_proved(&nodes[0], uv_now(&loop));
	}
	runs = servers[0].runs + servers[1].runs - runs;
	print_message("%d runs of 50 requests\n", runs);
	assert_true(runs <= 50 + 50 / 5 + 4);
}

/*
 * A workspace over its rate is refused at the entry, one within it is not.
 */
static void
test_rate(void **state)
{
	struct caller c;
	int i, ok = 0, over = 0;

	(void)state;
	for (i = 0; i < 2; i++)
		relay_take_config(&nodes[i], make_config(2, 10, KEY));
	/* Nobody can have lent tokens before this node was alone with it. */
	nodes[0].fleet.turned_ms = nodes[1].fleet.turned_ms = 0;
	for (i = 0; i < 40; i++) {
		ask(&c, "/o/1", KEY);
		ok += c.status == 200;
		over += c.status == 429;
	}
	print_message("%d served, %d over rate\n", ok, over);
	assert_int_equal(ok + over, 40);
	assert_true(ok >= 10);
	assert_true(ok <= 15);
	assert_int_equal(servers[1].runs, ok);
}

/*
 * The owner of a limit stops: the next one has its tokens and lends at once,
 * no more than were left.
 */
static void
test_hand_over(void **state)
{
	uint64_t ws = config_ws_hash("w");
	struct quota_bucket *b = NULL;
	struct caller c;
	int i, owner, ok = 0;

	(void)state;
	for (i = 0; i < 2; i++)
		relay_take_config(&nodes[i], make_config(2, 10, KEY));
	nodes[0].fleet.turned_ms = nodes[1].fleet.turned_ms = 0;
	owner = fleet_owner(&nodes[0].fleet, ws, uv_now(&loop)) == FLEET_SELF
		    ? 0
		    : 1;
	for (i = 0; i < 6; i++) {
		send_to(&c, 1 - owner, "/o/1", KEY, "");
		while (!c.done)
			uv_run(&loop, UV_RUN_ONCE);
		h1_pool_finish(&c.pool);
		assert_int_equal(c.status, 200);
	}
	relay_stop(&nodes[owner]);
	while (b == NULL) {
		uv_run(&loop, UV_RUN_ONCE);
		if (nodes[1 - owner].owner.count > 0)
			b = &nodes[1 - owner].owner.list[0];
	}
	assert_int_equal(b->ws, ws);
	for (i = 0; i < 8; i++) {
		send_to(&c, 1 - owner, "/o/1", KEY, "");
		while (!c.done)
			uv_run(&loop, UV_RUN_ONCE);
		h1_pool_finish(&c.pool);
		ok += c.status == 200;
	}
	print_message("%d of 8 after the owner stopped\n", ok);
	assert_true(ok >= 4);
	assert_true(ok <= 6);
}

/*
 * A node that doesn't know its server finds it by its health, unless it
 * leaves; the announcement that follows is of the same incarnation.
 */
static void
test_probe(void **state)
{
	struct config *c = make_config(2, 0, KEY);
	uint64_t began = uv_now(&loop);

	(void)state;
	c->health = calloc(1, sizeof(*c->health));
	c->health_count = 1;
	snprintf(c->health[0].service, sizeof(c->health[0].service), "web");
	snprintf(c->health[0].path, sizeof(c->health[0].path), "/health");
	servers[0].deed = FAIL;
	relay_take_config(&nodes[0], c);
	while (nodes[0].probes < 2)
		uv_run(&loop, UV_RUN_ONCE);
	assert_string_equal(nodes[0].server.id, "");
	servers[0].deed = ANSWER;
	while (nodes[0].server.id[0] == '\0' && uv_now(&loop) < began + 5000)
		uv_run(&loop, UV_RUN_ONCE);
	assert_string_equal(nodes[0].server.id, "i-0");
	assert_int_equal(nodes[0].server.slots, 7);
	nodes[0].core.inflight = 3;
	announce(0, 100, 1, 0);
	assert_int_equal(nodes[0].server.born_ms, 100);
	assert_int_equal(nodes[0].core.inflight, 3); /* not started over */
	announce(0, 100, 2, 1);
	assert_true(nodes[0].server.leaving);
	nodes[0].core.inflight = 0;
}

/*
 * A node that hears nothing from the store goes on with keys as long as one
 * that follows it closely says that their version is the newest.
 */
static void
test_proof(void **state)
{
	uint64_t before;
	int i, reader;

	(void)state;
	reader = 0;
	for (i = 0; i < 2; i++)
		if (relay_reads_store(&nodes[i]))
			reader = i;
	nodes[1 - reader].proved_ms = 0;
	before = uv_now(&loop);
	relay_proved(&nodes[reader], before);
	while (nodes[1 - reader].proved_ms == 0) {
		assert_true(relay_must_read(&nodes[1 - reader]));
		uv_run(&loop, UV_RUN_ONCE);
	}
	assert_true(nodes[1 - reader].proved_ms <= uv_now(&loop));
	assert_true(nodes[1 - reader].proved_ms + 50 >= before);
	/* Not so where the other one has an older version. */
	relay_take_config(&nodes[1 - reader], make_config(3, 0, KEY));
	nodes[1 - reader].proved_ms = 0;
	before = uv_now(&loop);
	while (uv_now(&loop) < before + 700) {
		relay_must_read(&nodes[1 - reader]);
		uv_run(&loop, UV_RUN_ONCE);
	}
	assert_int_equal(nodes[1 - reader].proved_ms, 0);
}

/*
 * A request at work on two servers when they died is refused everywhere.
 */
static void
test_crash(void **state)
{
	struct caller c;
	int i;

	(void)state;
	for (i = 0; i < 2; i++) {
		servers[1].deed = BREAK;
		ask(&c, "/o/kill", KEY);
		assert_int_equal(c.status, 502);
		/* The server is gone: nothing listens any more. */
		h1_server_finish(&servers[1].http);
		h1_pool_trim(&nodes[1].server_pool, 0);
		ask(&c, "/o/other", KEY);
		assert_int_equal(c.status, 503);
		uv_run(&loop, UV_RUN_NOWAIT);
		assert_int_equal(
		    h1_server_init(&servers[1].http, &loop, &server_at[1],
			&server_ops, &servers[1], 64),
		    0);
		announce(1, 200 + (uint64_t)i, 1, 0);
		while (nodes[0].fleet.peers[0].server.leaving)
			uv_run(&loop, UV_RUN_ONCE);
	}
	servers[1].deed = ANSWER;
	servers[1].runs = 0;
	ask(&c, "/o/kill", KEY);
	assert_int_equal(c.status, 503);
	assert_int_equal(servers[1].runs, 0);
	ask(&c, "/o/other", KEY);
	assert_int_equal(c.status, 200);
}

/*
 * A node that stops is not ready, and answers what still comes.
 */
static void
test_stop(void **state)
{
	struct caller c;

	(void)state;
	assert_true(relay_ready(&nodes[0]));
	relay_stop(&nodes[0]);
	assert_false(relay_ready(&nodes[0]));
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 200);
	assert_int_equal(c.pool.idle_count, 0);
	while (!nodes[1].fleet.peers[0].stopping)
		uv_run(&loop, UV_RUN_ONCE);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_answers, setup, teardown),
		cmocka_unit_test_setup_teardown(test_fields, setup, teardown),
		cmocka_unit_test_setup_teardown(test_keys, setup, teardown),
		cmocka_unit_test_setup_teardown(test_leaving, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_caller_gone, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_two_servers, setup, teardown),
		cmocka_unit_test_setup_teardown(test_rate, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_hand_over, setup, teardown),
		cmocka_unit_test_setup_teardown(test_proof, setup, teardown),
		cmocka_unit_test_setup_teardown(test_probe, setup, teardown),
		cmocka_unit_test_setup_teardown(test_crash, setup, teardown),
		cmocka_unit_test_setup_teardown(test_stop, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
