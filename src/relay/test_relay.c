#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>
#include <jansson.h>

#include "base/loopclock.h"
#include "dump/dump.h"
#include "relay/relay_int.h"
#include "relay/test_pair.h"

/* A server's behaviour and the resulting answer to the caller. */
struct answer_case {
	const char *name;
	enum server_behavior server_behavior;
	unsigned int status;
	const char *path;
	const char *body;
	int runs;
};

static const struct answer_case answer_cases[] = {
	{ "answer", SERVER_ANSWERS, 200, "/o/1", "mine", 1 },
	{ "failure of the server", SERVER_FAILS, 500, "/o/1", "bad", 1 },
	{ "refusal, not run", SERVER_REJECTS, 503, "/o/1", "", 0 },
	{ "another request's answer first", SERVER_ANSWERS_OTHER_FIRST, 200,
	    "/o/1", "mine", 1 },
	{ "success without a signature", SERVER_OMITS_STAMP, 502, "/o/1", "",
	    1 },
	{ "broken exchange", SERVER_BREAKS, 502, "/o/1", "", 1 },
	{ "broken exchange, idempotent, no other server", SERVER_BREAKS, 502,
	    "/s/1", "", 1 },
	{ "no answer in time", SERVER_HOLDS, 504, "/o/1", "", 1 },
};

/*
 * The caller gets its own answer or an accurate error, whatever the server
 * does.
 */
static void
test_caller_gets_own_answer(void **state)
{
	const struct answer_case *a;
	struct caller c;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(answer_cases) / sizeof(answer_cases[0]); i++) {
		a = &answer_cases[i];
		print_message("%s\n", a->name);
		servers[1].server_behavior = a->server_behavior;
		servers[1].runs = 0;
		ask(&c, a->path, KEY);
		assert_int_equal(c.done, 1);
		assert_int_equal(c.status, a->status);
		assert_int_equal(c.body_len, strlen(a->body));
		assert_memory_equal(c.body, a->body, c.body_len);
		assert_int_equal(servers[1].runs, a->runs);
		relay_config_proved(&nodes[0], loop_ms(&loop));
	}
}

/*
 * The server gets the workspace and the caller's service in header fields, but
 * never the key.  Forged fields of the caller are dropped.
 */
static void
test_header_fields_to_server(void **state)
{
	struct caller c;

	(void)state;
	send_to(&c, 0, "/o/1", KEY,
	    "Workspace: forged\r\nCaller: forged\r\nExpect: forged\r\n"
	    "Cyclamen-Hop: 1 0 0 0 a b c\r\nOther: kept\r\n");
	while (!c.done)
		uv_run(&loop, UV_RUN_ONCE);
	assert_int_equal(c.status, 200);
	assert_null(strstr(servers[1].last_head, "forged"));
	assert_null(strstr(servers[1].last_head, KEY));
	assert_null(strstr(servers[1].last_head, "Cyclamen"));
	assert_non_null(strstr(servers[1].last_head, "Workspacew"));
	assert_non_null(strstr(servers[1].last_head, "Callerweb"));
	assert_non_null(strstr(servers[1].last_head, "Expecti-1"));
	assert_non_null(strstr(servers[1].last_head, "Otherkept"));
	h1_pool_finish(&c.pool);
}

/*
 * Keys are checked against the current configuration and refused if the
 * configuration is stale.
 */
static void
test_key_checks(void **state)
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
	relay_apply_config(&nodes[0], make_config(2, 0, "key-2"));
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 401);
	ask(&c, "/o/1", "key-2");
	assert_int_equal(c.status, 200);
	nodes[0].set.fresh_ms = 0;
	nodes[0].config_proved_ms = 0;
	ask(&c, "/o/1", "key-2");
	assert_int_equal(c.status, 503);
	ask(&c, "/open/1", NULL);
	assert_int_equal(c.status, 200);
	nodes[0].set.fresh_ms = CONFIG_FRESH_MS;
}

/*
 * A leaving server gets no more requests once its announcement is
 * acknowledged, not even waiting ones.  A new incarnation does.  A late
 * announcement of the old one has no effect.
 */
static void
test_leaving_server_gets_nothing(void **state)
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
	relay_server_departed(&nodes[1], "i-1", 100);
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 200);
	relay_server_departed(&nodes[1], "i-1", 200);
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 503);
}

/*
 * A caller's disconnection cancels its request at the server.
 */
static void
test_caller_disconnect_cancels_run(void **state)
{
	struct caller c;

	(void)state;
	servers[1].server_behavior = SERVER_HOLDS;
	send_to(&c, 0, "/o/1", KEY, "");
	while (servers[1].held_conn == NULL)
		uv_run(&loop, UV_RUN_ONCE);
	h1_exchange_cancel(c.xchg);
	while (servers[1].disconnects == 0)
		uv_run(&loop, UV_RUN_ONCE);
	assert_null(nodes[0].entries);
	assert_null(nodes[1].exits);
	assert_int_equal(nodes[1].core.inflight, 0);
	h1_pool_finish(&c.pool);
}

/*
 * An idempotent request is retried on the second server if the first one
 * breaks off.  Another request is sent to one server only.
 */
static void
test_retry_on_second_server(void **state)
{
	struct caller c;
	int i, runs;

	(void)state;
	snprintf(nodes[0].set.service, sizeof(nodes[0].set.service), SERVICE);
	announce(0, 100, 1, 0);
	servers[0].server_behavior = servers[1].server_behavior = SERVER_BREAKS;
	ask(&c, "/s/1", KEY);
	assert_int_equal(c.status, 502);
	assert_int_equal(servers[0].runs, 1);
	assert_int_equal(servers[1].runs, 1);
	runs = servers[0].runs + servers[1].runs;
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 502);
	assert_int_equal(servers[0].runs + servers[1].runs, runs + 1);
	/* The retry budget is too small to retry every request. */
	runs = servers[0].runs + servers[1].runs;
	for (i = 0; i < 50; i++) {
		ask(&c, "/s/1", KEY);
		relay_config_proved(&nodes[0], loop_ms(&loop));
	}
	runs = servers[0].runs + servers[1].runs - runs;
	print_message("%d runs of 50 requests\n", runs);
	assert_true(runs <= 50 + 50 / 5 + 4);
}

/*
 * The entry refuses requests over the rate of their workspace and admits those
 * within it.
 */
static void
test_workspace_rate(void **state)
{
	struct caller c;
	int i, ok = 0, over = 0;

	(void)state;
	for (i = 0; i < 2; i++)
		relay_apply_config(&nodes[i], make_config(2, 10, KEY));
	/* The owner may grant at once, as no other owner granted before. */
	nodes[0].fleet.members_changed_ms = nodes[1].fleet.members_changed_ms =
	    0;
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
 * When the owner of a limit stops, the next owner inherits its tokens and
 * grants them at once, but no more than were left.
 */
static void
test_limit_owner_stops(void **state)
{
	uint64_t ws = config_ws_hash("w");
	struct quota_bucket *b = NULL;
	struct caller c;
	int i, owner, ok = 0;

	(void)state;
	for (i = 0; i < 2; i++)
		relay_apply_config(&nodes[i], make_config(2, 10, KEY));
	nodes[0].fleet.members_changed_ms = nodes[1].fleet.members_changed_ms =
	    0;
	owner = fleet_owner(&nodes[0].fleet, ws, loop_ms(&loop)) == FLEET_SELF
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
			b = &nodes[1 - owner].owner.owned_buckets[0];
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
 * A node that doesn't know its server finds it by a health check, unless the
 * server is leaving.  A later announcement is taken for the same incarnation.
 */
static void
test_health_probe(void **state)
{
	struct config *c = make_config(2, 0, KEY);
	uint64_t began = loop_ms(&loop);

	(void)state;
	c->health = calloc(1, sizeof(*c->health));
	c->health_count = 1;
	snprintf(c->health[0].service, sizeof(c->health[0].service), "web");
	snprintf(c->health[0].path, sizeof(c->health[0].path), "/health");
	servers[0].server_behavior = SERVER_FAILS;
	relay_apply_config(&nodes[0], c);
	while (nodes[0].probe_count < 2)
		uv_run(&loop, UV_RUN_ONCE);
	assert_string_equal(nodes[0].server.id, "");
	servers[0].server_behavior = SERVER_ANSWERS;
	while (nodes[0].server.id[0] == '\0' && loop_ms(&loop) < began + 5000)
		uv_run(&loop, UV_RUN_ONCE);
	assert_string_equal(nodes[0].server.id, "i-0");
	assert_int_equal(nodes[0].server.slots, 7);
	nodes[0].core.inflight = 3;
	announce(0, 100, 1, 0);
	assert_int_equal(nodes[0].server.born_ms, 100);
	assert_int_equal(nodes[0].core.inflight, 3); /* not reset */
	announce(0, 100, 2, 1);
	assert_true(nodes[0].server.leaving);
	nodes[0].core.inflight = 0;
}

/*
 * A node that gets no answer from the store still accepts keys while a reader
 * of the store confirms that its version is the newest.
 */
static void
test_version_proof(void **state)
{
	uint64_t before;
	int i, reader;

	(void)state;
	reader = 0;
	for (i = 0; i < 2; i++)
		if (relay_reads_store(&nodes[i]))
			reader = i;
	nodes[1 - reader].config_proved_ms = 0;
	before = loop_ms(&loop);
	relay_config_proved(&nodes[reader], before);
	while (nodes[1 - reader].config_proved_ms == 0) {
		assert_int_equal(
		    relay_config_need(&nodes[1 - reader]), CONFIG_NEED_STORE);
		uv_run(&loop, UV_RUN_ONCE);
	}
	assert_true(nodes[1 - reader].config_proved_ms <= loop_ms(&loop));
	assert_true(nodes[1 - reader].config_proved_ms + 50 >= before);
	/* The other node's report doesn't count if its version is older. */
	relay_apply_config(&nodes[1 - reader], make_config(3, 0, KEY));
	nodes[1 - reader].config_proved_ms = 0;
	before = loop_ms(&loop);
	while (loop_ms(&loop) < before + 700) {
		relay_config_need(&nodes[1 - reader]);
		uv_run(&loop, UV_RUN_ONCE);
	}
	assert_int_equal(nodes[1 - reader].config_proved_ms, 0);
}

/*
 * If the readers get no answer from the store, the confirmation of any other
 * node that does is accepted.
 */
static void
test_version_proof_by_non_reader(void **state)
{
	struct fleet_table *t = &nodes[0].fleet;
	int list[2], h, live_reader = 1;
	char name[16];

	(void)state;
	/* Add silent nodes until both readers are silent ones. */
	while (live_reader) {
		snprintf(name, sizeof(name), "silent-%zu", t->count);
		h = fleet_add_node(t, name, 0x7f000063, loop_ms(&loop));
		t->peers[h].heard_ms = loop_ms(&loop);
		live_reader = fleet_store_readers(t, list, 2) < 2 ||
			      list[0] < 1 || list[1] < 1;
	}
	nodes[0].config_proved_ms = 0;
	while (nodes[0].config_proved_ms == 0) {
		for (h = 1; h < (int)t->count; h++)
			t->peers[h].heard_ms = loop_ms(&loop);
		relay_config_proved(&nodes[1], loop_ms(&loop));
		assert_int_equal(
		    relay_config_need(&nodes[0]), CONFIG_NEED_STORE);
		uv_run(&loop, UV_RUN_ONCE);
	}
}

/* Configuration copied from another node. */
struct copied {
	struct config *config;
	char node[16];
	int count;
};

static void
store_copy(void *ctx, struct config *c, const char *node)
{
	struct copied *copied = ctx;

	config_free(copied->config);
	copied->config = c;
	snprintf(copied->node, sizeof(copied->node), "%s", node);
	copied->count++;
}

/*
 * A node that can't reach the store gets a newer configuration from a peer.
 * It asks no peer if none has a newer one.
 */
static void
test_copy_config_from_peer(void **state)
{
	struct copied copied = { NULL, "", 0 };
	struct caller c;

	(void)state;
	relay_request_config(&nodes[0], store_copy, &copied);
	assert_null(nodes[0].copy.xchg);
	relay_apply_config(&nodes[1], make_config(2, 0, "key-2"));
	while (nodes[0].fleet.peers[0].config_version < 2)
		uv_run(&loop, UV_RUN_ONCE);
	relay_request_config(&nodes[0], store_copy, &copied);
	relay_request_config(
	    &nodes[0], store_copy, &copied); /* one at a time */
	while (copied.count == 0)
		uv_run(&loop, UV_RUN_ONCE);
	assert_int_equal(copied.count, 1);
	assert_int_equal(copied.config->version, 2);
	assert_string_equal(copied.node, "n1");
	relay_apply_config(&nodes[0], copied.config);
	ask(&c, "/o/1", "key-2");
	assert_int_equal(c.status, 200);
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 401);
	/* The peer has lost its configuration when the request arrives. */
	config_free(nodes[1].config);
	nodes[1].config = NULL;
	nodes[0].fleet.peers[0].config_version = 3;
	relay_request_config(&nodes[0], store_copy, &copied);
	assert_non_null(nodes[0].copy.xchg);
	while (nodes[0].copy.xchg != NULL)
		uv_run(&loop, UV_RUN_ONCE);
	assert_int_equal(copied.count, 1);
}

/*
 * A request that was running on two servers when they crashed is refused at
 * every node.
 */
static void
test_crashing_request_refused(void **state)
{
	struct caller c;
	int i;

	(void)state;
	for (i = 0; i < 2; i++) {
		servers[1].server_behavior = SERVER_BREAKS;
		ask(&c, "/o/kill", KEY);
		assert_int_equal(c.status, 502);
		/* Crash of the server: it stops listening. */
		h1_server_finish(&servers[1].http);
		h1_pool_trim(&nodes[1].server_pool, 0);
		ask(&c, "/o/other", KEY);
		assert_int_equal(c.status, 503);
		uv_run(&loop, UV_RUN_NOWAIT);
		assert_int_equal(
		    h1_server_init(&servers[1].http, &loop, &server_addrs[1],
			&server_ops, &servers[1], 64),
		    0);
		announce(1, 200 + (uint64_t)i, 1, 0);
		while (nodes[0].fleet.peers[0].server.unavailable_state)
			uv_run(&loop, UV_RUN_ONCE);
	}
	servers[1].server_behavior = SERVER_ANSWERS;
	servers[1].runs = 0;
	ask(&c, "/o/kill", KEY);
	assert_int_equal(c.status, 503);
	assert_int_equal(servers[1].runs, 0);
	ask(&c, "/o/other", KEY);
	assert_int_equal(c.status, 200);
}

/*
 * A stopping node is not ready but still answers requests.
 */
static void
test_stopping_node(void **state)
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

/*
 * Priority inversion: a call gets the class of the run that made it, at every
 * depth.  A call whose run is unknown gets the most important class.
 */
static void
test_call_priority_follows_parent(void **state)
{
	static const struct {
		const char *id;
		int is_child;
	} cases[] = {
		{ "7fa3.01", 1 }, /* call made by the run */
		{ "7fa301", 0 },  /* unrelated id with the same prefix */
		{ "7fa3", 0 },	  /* the same id */
	};
	enum {
		ROWS = sizeof(cases) / sizeof(cases[0])
	};
	struct caller root, call[ROWS];
	const struct exit_req *run, *e;
	double chained = 0;
	size_t i;

	(void)state;
	servers[1].server_behavior = SERVER_HOLDS;
	send_with_id(&root, 0, "/o/1", KEY, "7fa3", "");
	while (nodes[1].exits == NULL || !nodes[1].exits->running)
		uv_run(&loop, UV_RUN_ONCE);
	run = nodes[1].exits;
	nodes[1].exits->class = ADMISSION_NORMAL;
	nodes[1].exits->depth = 3;
	for (i = 0; i < ROWS; i++) {
		e = nodes[1].exits;
		send_with_id(&call[i], 1, "/open/1", NULL, cases[i].id, "");
		while (nodes[1].exits == e)
			uv_run(&loop, UV_RUN_ONCE);
		e = nodes[1].exits;
		assert_int_equal(e->class,
		    cases[i].is_child ? ADMISSION_NORMAL : ADMISSION_CRITICAL);
		assert_int_equal(e->depth, cases[i].is_child ? 4 : 1);
		assert_int_equal(
		    e->root_hash == run->root_hash, cases[i].is_child);
		assert_int_equal(nodes[1].profiles.all.chained_share > chained,
		    cases[i].is_child);
		chained = nodes[1].profiles.all.chained_share;
	}
	for (i = 0; i < ROWS; i++) {
		while (!call[i].done)
			uv_run(&loop, UV_RUN_ONCE);
		h1_pool_finish(&call[i].pool);
	}
	while (!root.done)
		uv_run(&loop, UV_RUN_ONCE);
	h1_pool_finish(&root.pool);
}

/*
 * Metastable failure: a run fails because a call that it made was refused.  If
 * that counted as a failure of the run's server, the server would be avoided
 * and its capacity underestimated.
 */
static void
test_failed_call_not_server_failure(void **state)
{
	struct caller root, call, next;
	struct h1_text t;

	(void)state;
	servers[1].server_behavior = SERVER_HOLDS;
	send_with_id(&root, 0, "/o/1", KEY, "7fa3", "");
	while (servers[1].held_conn == NULL)
		uv_run(&loop, UV_RUN_ONCE);
	/* The call fails, as the only server is leaving. */
	announce(1, 100, 2, 1);
	send_with_id(&call, 1, "/open/1", NULL, "7fa3.01", "");
	while (!call.done)
		uv_run(&loop, UV_RUN_ONCE);
	assert_int_equal(call.status, 503);
	h1_text_init(&t);
	h1_text_add_field(&t, "Id", "7fa3");
	h1_text_add_field(&t, "Stamp", "s");
	h1_send_response(servers[1].held_conn, 500, &t, "bad", 3);
	h1_text_finish(&t);
	while (!root.done)
		uv_run(&loop, UV_RUN_ONCE);
	assert_int_equal(root.status, 500);
	assert_true(
	    choice_failure_share(&nodes[1].health, loop_ms(&loop)) <= 0);
	assert_true(choice_failure_share(&relay_link(&nodes[0], 0)->health,
			loop_ms(&loop)) <= 0);
	/* Without a failed call it counts as a server failure. */
	announce(1, 200, 1, 0);
	servers[1].server_behavior = SERVER_FAILS;
	ask(&next, "/o/1", KEY);
	assert_int_equal(next.status, 500);
	assert_true(choice_failure_share(&nodes[1].health, loop_ms(&loop)) > 0);
	assert_true(choice_failure_share(
			&relay_link(&nodes[0], 0)->health, loop_ms(&loop)) > 0);
	h1_pool_finish(&root.pool);
	h1_pool_finish(&call.pool);
}

/*
 * The dump lists the server, the peers and the limits, and converts to JSON.
 */
static void
test_dump_text_and_json(void **state)
{
	struct h1_text t;
	struct caller c;
	json_t *root;
	char *json;

	(void)state;
	ask(&c, "/o/1", KEY);
	h1_text_init(&t);
	relay_dump(&nodes[0], &t);
	h1_text_add(&t, "", 1);
	assert_non_null(strstr(t.p, "\npeer n1 alive=1"));
	assert_non_null(strstr(t.p, "\nlimit w rate="));
	json = dump_json(t.p);
	root = json_loads(json, 0, NULL);
	assert_non_null(root);
	assert_string_equal(json_string_value(json_object_get(
				json_object_get(root, "node"), "name")),
	    "n0");
	assert_int_equal(json_array_size(json_object_get(
			     json_object_get(root, "fleet"), "peer")),
	    1);
	json_decref(root);
	free(json);
	h1_text_finish(&t);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
		    test_caller_gets_own_answer, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_header_fields_to_server, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_key_checks, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_leaving_server_gets_nothing, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_caller_disconnect_cancels_run, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_retry_on_second_server, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_workspace_rate, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_limit_owner_stops, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_version_proof, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_version_proof_by_non_reader, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_copy_config_from_peer, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_health_probe, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_crashing_request_refused, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_stopping_node, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_call_priority_follows_parent, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_failed_call_not_server_failure, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_dump_text_and_json, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
