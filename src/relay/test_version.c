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
 * How a newer configuration spreads from the nodes that read the store.
 */

static int copies;

static void
store_copy(void *ctx, struct config *c, const char *node)
{
	(void)node;
	copies++;
	relay_apply_config(ctx, c);
}

/*
 * Runs the loop for some time, with the checks and requests of a follower.
 * Returns 1 if the store was needed.
 */
static int
follow_during(struct relay *r, uint64_t ms)
{
	uint64_t end = loop_ms(&loop) + ms;
	int store_needed = 0;

	while (loop_ms(&loop) < end) {
		relay_config_proved(r, loop_ms(&loop));
		switch (relay_config_need(r)) {
		case CONFIG_NEED_PEER:
			relay_request_config(r, store_copy, r);
			break;
		case CONFIG_NEED_STORE:
			store_needed = 1;
			break;
		case CONFIG_NEED_NOTHING:
			break;
		}
		uv_run(&loop, UV_RUN_ONCE);
	}
	return store_needed;
}

/*
 * Store calls at each change: a node takes a newer version from the one that
 * has it, well within the time in which it must be in force, and doesn't read
 * the store.
 */
static void
test_change_spreads_between_nodes(void **state)
{
	struct caller c;

	(void)state;
	ask(&c, "/o/1", KEY);
	copies = 0;
	relay_apply_config(&nodes[1], make_config(2, 0, "key-2"));
	assert_false(follow_during(&nodes[0], 700));
	assert_int_equal(copies, 1);
	assert_int_equal(nodes[0].config->version, 2);
	ask(&c, "/s/1", KEY);
	assert_int_equal(c.status, 401);
	ask(&c, "/s/1", "key-2");
	assert_int_equal(c.status, 200);
}

/*
 * A node that has the newer version but can't be reached: the store is read
 * after a while.
 */
static void
test_store_read_if_no_copy(void **state)
{
	uint64_t began = loop_ms(&loop);
	size_t i;

	(void)state;
	i = (size_t)fleet_add_node(
	    &nodes[0].fleet, "silent", 0x7f000063, loop_ms(&loop));
	nodes[0].fleet.peers[i].heard_ms = loop_ms(&loop);
	nodes[0].fleet.peers[i].config_version = 9;
	while (relay_config_need(&nodes[0]) != CONFIG_NEED_STORE) {
		nodes[0].fleet.peers[i].heard_ms = loop_ms(&loop);
		uv_run(&loop, UV_RUN_ONCE);
	}
	assert_true(loop_ms(&loop) - began >= 700);
	assert_true(loop_ms(&loop) - began < 1500);
}

/*
 * Incident 5: while a copy of a newer version was awaited, the age of the last
 * proof didn't count, and both times added up.
 */
static void
test_store_read_in_time_while_copy_is_awaited(void **state)
{
	struct relay *r = &nodes[0];
	uint64_t proved_ms = loop_ms(&loop), read_ms;
	size_t i;

	(void)state;
	i = (size_t)fleet_add_node(
	    &r->fleet, "silent", 0x7f000063, loop_ms(&loop));
	relay_config_proved(r, proved_ms);
	read_ms = proved_ms + r->schedule.read_age_ms;
	for (;;) {
		/* First: the process may be held up until read_ms. */
		if (loop_ms(&loop) >= read_ms - 100)
			r->fleet.peers[i].config_version = 9;
		r->fleet.peers[i].heard_ms = loop_ms(&loop);
		if (relay_config_need(r) == CONFIG_NEED_STORE)
			break;
		/* No proof but the first. */
		memset(r->proof_queries, 0, sizeof(r->proof_queries));
		uv_run(&loop, UV_RUN_ONCE);
	}
	assert_int_equal(r->fleet.peers[i].config_version, 9);
	assert_true(loop_ms(&loop) >= read_ms);
	assert_true(loop_ms(&loop) < read_ms + 300);
}

/*
 * Calls to the store at each change: a query just before a copy proved the
 * newer version, and was lost.
 */
static void
test_proof_of_newer_version_counts_later(void **state)
{
	struct relay *r = &nodes[0];
	uint64_t began = loop_ms(&loop);

	(void)state;
	relay_apply_config(&nodes[1], make_config(2, 0, KEY));
	relay_config_proved(&nodes[1], began);
	r->config_proved_ms = 0;
	while (r->proof_search.responses == 0) {
		(void)relay_config_need(r);
		uv_run(&loop, UV_RUN_ONCE);
	}
	assert_int_equal(r->config_proved_ms, 0);
	relay_apply_config(r, make_config(2, 0, KEY));
	assert_true(r->config_proved_ms + 50 >= began);
	assert_true(r->config_proved_ms <= loop_ms(&loop));
	/* It says nothing of any other version. */
	r->config_proved_ms = 0;
	relay_apply_config(r, make_config(3, 0, KEY));
	assert_int_equal(r->config_proved_ms, 0);
}

/*
 * Bytes between zones: of the nodes of a zone one copies the configuration from
 * another zone, and the others wait for it, but not for long.
 */
static void
test_one_copy_into_a_zone(void **state)
{
	struct fleet_table *t = &nodes[0].fleet;
	struct fleet_peer *p;
	uint64_t began;
	char name[16];
	int h;

	(void)state;
	do {
		snprintf(name, sizeof(name), "near-%zu", t->count);
		h = fleet_add_node(t, name, 0x7f000063, loop_ms(&loop));
	} while (t->peers[h].name_hash >= t->node_hash);
	snprintf(t->peers[h].zone, sizeof(t->peers[h].zone), "z0");
	copies = 0;
	began = loop_ms(&loop);
	relay_apply_config(&nodes[1], make_config(2, 0, KEY));
	while (copies == 0 && loop_ms(&loop) - began < 5000) {
		p = &t->peers[h];
		p->heard_ms = loop_ms(&loop);
		(void)follow_during(&nodes[0], 1);
	}
	assert_true(loop_ms(&loop) - began >= 400);
	assert_true(loop_ms(&loop) - began < 1500);
	assert_int_equal(nodes[0].config->version, 2);
}

/*
 * What an operator sees of a node that gets no proof: one overdue proof until
 * the next proof, the queries for it, and the responses that prove nothing.
 */
static void
test_overdue_proof_is_counted(void **state)
{
	struct relay *r = &nodes[0];
	uint64_t end = loop_ms(&loop) + 1000;

	(void)state;
	relay_apply_config(r, make_config(2, 0, KEY));
	r->fleet.peers[0].config_version = 1;
	r->config_proved_ms = 0;
	while (loop_ms(&loop) < end) {
		relay_config_proved(&nodes[1], loop_ms(&loop));
		assert_int_equal(relay_config_need(r), CONFIG_NEED_STORE);
		uv_run(&loop, UV_RUN_ONCE);
	}
	assert_int_equal(r->counters[RELAY_PROOFS_OVERDUE], 1);
	assert_true(r->counters[RELAY_PROOF_QUERIES] >= 3);
	assert_true(r->proof_search.queries >= 3);
	assert_true(r->proof_search.responses >= 3);
	assert_int_equal(r->proof_search.response_version, 1);
	assert_int_equal(r->counters[RELAY_PROOFS], 0);
	relay_config_proved(r, loop_ms(&loop));
	assert_int_equal(relay_config_need(r), CONFIG_NEED_NOTHING);
	assert_int_equal(r->proof_search.queries, 0);
	r->config_proved_ms = 0;
	relay_config_need(r);
	assert_int_equal(r->counters[RELAY_PROOFS_OVERDUE], 2);
}

/*
 * A response that takes longer than the interval between queries was dropped,
 * so that a fleet on busy machines had no proofs.
 */
static void
test_response_after_next_query_counts(void **state)
{
	struct relay *r = &nodes[0];
	uint64_t proofs = r->counters[RELAY_PROOFS], first_ms;
	struct fleet_proof p;

	(void)state;
	memset(&p, 0, sizeof(p));
	p.config_version = r->config->version;
	r->config_proved_ms = loop_ms(&loop) - r->schedule.query_age_ms;
	memset(r->proof_queries, 0, sizeof(r->proof_queries));
	r->proof_query_count = 0;
	(void)relay_config_need(r);
	first_ms = r->proof_query_ms;
	r->proof_query_ms -= r->schedule.query_interval_ms;
	(void)relay_config_need(r);
	assert_int_equal(r->proof_query_count, 2);
	p.id = r->proof_queries[0].id;
	relay_on_proof(r, &p);
	assert_int_equal(r->counters[RELAY_PROOFS], proofs + 1);
	assert_int_equal(r->config_proved_ms, first_ms);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
		    test_change_spreads_between_nodes, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_store_read_if_no_copy, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_store_read_in_time_while_copy_is_awaited, setup,
		    teardown),
		cmocka_unit_test_setup_teardown(
		    test_proof_of_newer_version_counts_later, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_one_copy_into_a_zone, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_overdue_proof_is_counted, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_response_after_next_query_counts, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
