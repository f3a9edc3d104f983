#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "member/test_net.h"

#define NODES 50
#define USUAL_NODES 15 /* nodes of a fleet of the usual size */

/*
 * A node whose probes are mostly unanswered doesn't send its suspicions.  A
 * node with mostly answered probes does.
 */
static void
test_isolated_node_sends_no_suspicions(void **state)
{
	struct member_slot *s;
	struct net net;
	uint32_t i, isolated;

	(void)state;
	for (isolated = 0; isolated < 2; isolated++) {
		net_init(&net, 10, 28);
		net_converge(&net, 10000);
		net_run(&net, 10000);
		for (i = 0; i < 10; i++)
			net.nodes[i].partition = isolated ? i == 0 : i == 9;
		for (i = 0; i < MEMBER_PROBE_WINDOW_S && isolated; i++)
			net.nodes[0].table.probe_counts[i].answered = 0;
		s = member_table_find(
		    &net.nodes[0].table, NET_ADDR_FIRST + 9, NET_PORT);
		while (s->info.state == MEMBER_ALIVE)
			net_run(&net, 1);
		assert_int_equal(s->queued, !isolated);
		net_finish(&net);
	}
}

/*
 * All nodes find each other from a chain of seeds while 5 % of the messages
 * are lost.
 */
static void
test_join_from_seeds(void **state)
{
	struct net net;

	(void)state;
	net_init(&net, NODES, 11);
	net.loss_permille = 50;
	assert_in_range(net_converge(&net, 20000), 0, 10000);
	assert_true(net.largest_msg_bytes <= RPC_BODY_MAX);
	net_finish(&net);
}

/*
 * A killed node is declared dead by all others within 2.5 s, and within 1.5
 * s on average, in a fleet of the usual size.
 */
static void
test_death_detection_time(void **state)
{
	uint64_t start, sum_ms = 0, took_ms;
	struct net net;
	int round;

	(void)state;
	for (round = 0; round < 20; round++) {
		net_init(&net, USUAL_NODES, 100 + (uint64_t)round);
		net_converge(&net, 10000);
		net_run(&net, net_rand(&net.nodes[0]) % 400);
		net_kill(&net, 3);
		start = net.now;
		while (
		    net_count_views(&net, 3, MEMBER_DEAD) < USUAL_NODES - 1 &&
		    net.now - start < 5000)
			net_run(&net, 5);
		took_ms = net.now - start;
		sum_ms += took_ms;
		assert_in_range(took_ms, 0, 2500);
		assert_int_equal(net.false_deaths, 0);
		net_finish(&net);
	}
	assert_in_range(sum_ms / 20, 0, 1500);
}

/*
 * Message loss and pauses of less than half a second cause no false deaths.
 */
static void
test_no_false_death_with_loss(void **state)
{
	struct net net;
	uint32_t i;

	(void)state;
	net_init(&net, USUAL_NODES, 12);
	net.loss_permille = 50;
	net_converge(&net, 10000);
	for (i = 0; i < 100; i++) {
		net.nodes[i % USUAL_NODES].stalled_until_ms = net.now + 499;
		net_run(&net, 600);
	}
	assert_int_equal(net.false_deaths, 0);
	net_finish(&net);
}

/*
 * After a long pause a node declares no other node dead, and all others see
 * it alive again soon.
 */
static void
test_recovery_after_pause(void **state)
{
	struct net net;

	(void)state;
	net_init(&net, USUAL_NODES, 21);
	net_converge(&net, 10000);
	net.nodes[3].stalled_until_ms = net.now + 5000;
	net_run(&net, 5000);
	assert_int_equal(
	    net_count_views(&net, 3, MEMBER_DEAD), USUAL_NODES - 1);
	assert_in_range(net_converge(&net, 10000), 0, 3000);
	assert_int_equal(net.nodes[3].deaths_seen, 0);
	net_finish(&net);
}

/*
 * Pending probes and suspicions don't time out because of a pause of this
 * process: the answers may wait unread in its socket.
 */
static void
test_pause_extends_timeouts(void **state)
{
	static const uint64_t pauses[] = { 600, 3000 };
	struct member_table *t;
	struct net net;
	size_t k;
	int i, used;

	(void)state;
	for (k = 0; k < G_N_ELEMENTS(pauses); k++) {
		net_init(&net, 2, 22);
		net_converge(&net, 10000);
		t = &net.nodes[0].table;
		for (used = 0; !used;) {
			net_run(&net, 1);
			for (i = 0; i < MEMBER_PROBES_MAX; i++)
				used += t->probes[i].used;
		}
		member_table_tick(t, net.now + pauses[k]);
		member_table_tick(t, net.now + pauses[k] + 25);
		assert_int_equal(net_count_views(&net, 1, MEMBER_ALIVE), 1);
		net_finish(&net);
	}
}

/*
 * During a network partition each side declares the other side dead and none of
 * its own members.  After the partition all nodes are alive again.
 */
static void
test_partition_heals(void **state)
{
	struct net net;
	uint32_t i;

	(void)state;
	net_init(&net, NODES, 13);
	net.loss_permille = 20;
	net_converge(&net, 20000);
	for (i = 0; i < 20; i++)
		net.nodes[i].partition = 1;
	net_run(&net, 60000);
	assert_int_equal(net_count_views(&net, 0, MEMBER_DEAD), 30);
	assert_int_equal(net_count_views(&net, 49, MEMBER_DEAD), 20);
	for (i = 0; i < 20; i++)
		net.nodes[i].partition = 0;
	assert_in_range(net_converge(&net, 60000), 0, 15000);
	net_run(&net, 10000);
	assert_int_equal(net_converge(&net, 1000), 25);
	assert_int_equal(net.false_deaths, 0);
	net_finish(&net);
}

/*
 * A later process at an address and port replaces the earlier one on all
 * nodes at once, even if the clock of its machine was set back.
 */
static void
test_restart_replaces_process(void **state)
{
	static const int64_t epochs[] = { 10000, -10000 };
	struct net net;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(epochs); i++) {
		net_init(&net, USUAL_NODES, 14);
		net_converge(&net, 10000);
		net_kill(&net, 5);
		net_start(&net, 5, (uint64_t)((int64_t)net.now + epochs[i]));
		assert_in_range(net_converge(&net, 10000), 0, 1500);
		assert_int_equal(net.nodes[9].deaths_seen, 1);
		net_finish(&net);
	}
}

/*
 * A change of a backend server's state reaches all nodes within a second
 * despite message loss.
 */
static void
test_server_state_spreads(void **state)
{
	static const enum member_server_state steps[] = { MEMBER_SERVER_UP,
		MEMBER_SERVER_DRAINING, MEMBER_SERVER_GONE };
	struct member_server *sv;
	struct member_slot *s;
	struct net net;
	uint32_t i, k;

	(void)state;
	net_init(&net, NODES, 15);
	net.loss_permille = 50;
	net_converge(&net, 20000);
	net_run(&net, 3000);
	sv = &net.nodes[7].table.slots[net.nodes[7].table.self].info.server;
	for (k = 0; k < G_N_ELEMENTS(steps); k++) {
		g_strlcpy(sv->service, "orders", sizeof(sv->service));
		sv->state = steps[k];
		member_table_publish_self(&net.nodes[7].table, net.now);
		net_run(&net, 1000);
		for (i = 0; i < NODES; i++) {
			s = member_table_find(
			    &net.nodes[i].table, NET_ADDR_FIRST + 7, NET_PORT);
			assert_int_equal(s->info.server.state, steps[k]);
			assert_string_equal(s->info.server.service, "orders");
		}
	}
	net_finish(&net);
}

/*
 * The departure of a node reaches all others within a second, although its
 * process stops right after the announcement.
 */
static void
test_departure_spreads(void **state)
{
	struct net net;

	(void)state;
	net_init(&net, NODES, 16);
	net.loss_permille = 50;
	net_converge(&net, 20000);
	member_table_leave(&net.nodes[4].table, net.now);
	net_kill(&net, 4);
	net_run(&net, 1000);
	assert_int_equal(net_count_views(&net, 4, MEMBER_LEFT), NODES - 1);
	net_finish(&net);
}

/*
 * The age of the last log read spreads within seconds.  No node, not even one
 * that was paused, takes the read for more recent than it was.  A configuration
 * version spreads too.
 */
static void
test_log_age_and_config_spread(void **state)
{
	struct member_table *t;
	uint64_t read = 0;
	struct net net;
	uint32_t i, k;

	(void)state;
	net_init(&net, NODES, 17);
	net_converge(&net, 20000);
	t = &net.nodes[0].table;
	t->slots[t->self].info.config_version = t->config_version = 9;
	t->config_addr = NET_ADDR_FIRST;
	for (k = 0; k < 200; k++) {
		if (k < 100)
			read = t->log_read_ms = net.now;
		net.nodes[1 + k % 49].stalled_until_ms =
		    net.now + (k % 3 == 0 ? 5000 : 0);
		net_run(&net, 100);
		for (i = 0; i < NODES; i++)
			assert_true(net.nodes[i].table.log_read_ms <= read);
	}
	net_run(&net, 10000);
	for (i = 0; i < NODES; i++) {
		assert_true(net.nodes[i].table.log_read_ms + 1000 > read);
		assert_true(i == 0 || net.nodes[i].config_seen == 9);
	}
	net_finish(&net);
}

/*
 * The conditions under which a node trusts its configuration.
 */
static void
test_config_freshness(void **state)
{
	static const struct {
		uint64_t log_age; /* 0: never read */
		uint64_t view_age;
		uint32_t known, alive, probed, answered;
		int want;
		int config_outdated;
	} rows[] = {
		{ 9999, 0, 10, 1, 50, 0, 1, 0 },
		{ 10000, 0, 10, 5, 50, 50, 0, 0 },
		{ 10000, 0, 10, 6, 50, 26, 1, 0 },
		{ 10000, 0, 10, 6, 50, 25, 0, 0 },
		{ 10000, 2000, 10, 6, 50, 50, 0, 0 },
		{ 0, 0, 10, 10, 50, 50, 1, 0 },
		{ 0, 0, 10, 10, 0, 0, 0, 0 },
		{ 0, 0, 1, 1, 0, 0, 1, 0 },
		{ 0, 0, 2, 1, 0, 0, 0, 0 },
		{ 0, 0, 2, 1, 50, 50, 0, 0 },
		{ 9999, 0, 10, 1, 50, 0, 1, 1 },
		{ 10000, 0, 10, 6, 50, 26, 0, 1 },
		{ 0, 0, 10, 10, 50, 50, 0, 1 },
	};
	struct member_view v = { .log_read_max_age_ms =
				     MEMBER_LOG_READ_MAX_AGE_MS };
	uint64_t now = 100000;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		v.config_current_ms =
		    rows[i].log_age == 0 ? 0 : now - rows[i].log_age;
		v.config_outdated = rows[i].config_outdated;
		v.built_ms = now - rows[i].view_age;
		v.known = rows[i].known;
		v.alive = rows[i].alive;
		v.probed = rows[i].probed;
		v.answered = rows[i].answered;
		if (member_config_is_fresh(&v, now) != rows[i].want)
			fail_msg("row %zu", i);
	}
	/* The view was built just after the current time was read. */
	v.config_outdated = 0;
	v.built_ms = v.config_current_ms = now + 1;
	assert_true(member_config_is_fresh(&v, now));
	v.config_current_ms = 0;
	v.known = v.alive = 10;
	v.probed = v.answered = 50;
	assert_true(member_config_is_fresh(&v, now));
}

/*
 * A node that learns of a log read and of a later version than its own doesn't
 * count its configuration as current at that read.  It does once it has that
 * version.
 */
static void
test_read_time_of_outdated_config(void **state)
{
	struct net net;
	struct member_table *t;

	(void)state;
	net_init(&net, 1, 18);
	t = &net.nodes[0].table;
	t->slots[t->self].info.config_version = t->config_version = 4;
	member_record_log_read(t, 1000);
	assert_int_equal(t->config_current_ms, 1000);
	t->config_version = 5;
	member_record_log_read(t, 50000);
	assert_int_equal(t->log_read_ms, 50000);
	assert_int_equal(t->config_current_ms, 1000);
	t->slots[t->self].info.config_version = 5;
	member_record_log_read(t, 0);
	assert_int_equal(t->config_current_ms, 50000);
	net_finish(&net);
}

/*
 * An isolated node in a large fleet stops trusting its configuration within ten
 * seconds of the last message.  It doesn't trust it again after the retention
 * time of dead members.
 */
static void
test_isolated_node_is_not_fresh(void **state)
{
	struct member_view *v;
	struct net net;
	uint32_t i;

	(void)state;
	net_init(&net, NODES, 18);
	net_converge(&net, 20000);
	net_run(&net, 10000);
	net.nodes[0].partition = 1;
	net_run(&net, MEMBER_LOG_READ_MAX_AGE_MS);
	v = member_view_build(&net.nodes[0].table, net.now, 0);
	assert_false(member_config_is_fresh(v, net.now));
	member_view_free(v);
	v = member_view_build(&net.nodes[1].table, net.now, 0);
	assert_true(member_config_is_fresh(v, net.now));
	member_view_free(v);
	for (i = 1; i < NODES; i++)
		net_kill(&net, i);
	net_run(&net, 60000);
	net.now += MEMBER_DEAD_RETENTION_MS;
	net_run(&net, 60000);
	v = member_view_build(&net.nodes[0].table, net.now, 0);
	assert_false(member_config_is_fresh(v, net.now));
	member_view_free(v);
	net_finish(&net);
}

/*
 * Corrupted messages are rejected by the decoder or merged as any message.
 * The table never exceeds its size limit.
 */
static void
test_corrupted_messages(void **state)
{
	struct member_message msg;
	struct net net;
	struct net_msg *m;
	XDR xdrs;
	uint32_t i, j, k;

	(void)state;
	net_init(&net, 4, 23);
	net_converge(&net, 10000);
	for (i = 0; i < 20000; i++) {
		net_run(&net, 1);
		m = net.in_flight[(net.now + 1) % NET_DELAY_MAX_MS];
		for (; m != NULL; m = m->next) {
			for (j = 0; j < 1 + i % 8; j++) {
				k = (uint32_t)(net_rand(&net.nodes[0]) %
					       m->len);
				m->bytes[k] = (char)net_rand(&net.nodes[0]);
			}
			memset(&msg, 0, sizeof(msg));
			xdrmem_create(&xdrs, m->bytes, m->len, XDR_DECODE);
			if (xdr_member_message(&xdrs, &msg))
				member_table_receive(
				    &net.nodes[3].table, net.now, &msg);
			xdr_free((xdrproc_t)xdr_member_message, &msg);
			m->len = 0;
		}
	}
	assert_true(net.nodes[3].table.count <= MEMBER_COUNT_MAX);
	net_finish(&net);
}

/*
 * Lookups of members and services in a view.
 */
static void
test_view_lookups(void **state)
{
	struct member_server *sv;
	struct member_view *v;
	struct net net;
	uint32_t i, len;

	(void)state;
	net_init(&net, USUAL_NODES, 19);
	net_converge(&net, 10000);
	for (i = 0; i < USUAL_NODES; i++) {
		sv = &net.nodes[0].table.slots[i].info.server;
		g_strlcpy(sv->service, i % 2 ? "orders" : "pricing",
		    sizeof(sv->service));
		sv->service_hash = member_service_hash(sv->service);
		sv->state = i == 3 ? MEMBER_SERVER_DRAINING : MEMBER_SERVER_UP;
	}
	net.nodes[0].table.slots[4].info.state = MEMBER_DEAD;
	v = member_view_build(&net.nodes[0].table, net.now, 0);
	assert_int_equal(v->len, USUAL_NODES);
	assert_int_equal(v->members[v->self].id.addr, NET_ADDR_FIRST);
	assert_null(member_view_find(v, NET_ADDR_FIRST + 99, NET_PORT));
	assert_non_null(member_view_find(v, NET_ADDR_FIRST + 14, NET_PORT));
	assert_non_null(member_view_service(v, "orders", &len));
	assert_int_equal(len, 6);
	assert_non_null(member_view_service(v, "pricing", &len));
	assert_int_equal(len, 7);
	assert_null(member_view_service(v, "artwork", &len));
	assert_int_equal(len, 0);
	member_view_free(v);
	net_finish(&net);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_isolated_node_sends_no_suspicions),
		cmocka_unit_test(test_join_from_seeds),
		cmocka_unit_test(test_death_detection_time),
		cmocka_unit_test(test_no_false_death_with_loss),
		cmocka_unit_test(test_recovery_after_pause),
		cmocka_unit_test(test_pause_extends_timeouts),
		cmocka_unit_test(test_partition_heals),
		cmocka_unit_test(test_restart_replaces_process),
		cmocka_unit_test(test_server_state_spreads),
		cmocka_unit_test(test_departure_spreads),
		cmocka_unit_test(test_log_age_and_config_spread),
		cmocka_unit_test(test_config_freshness),
		cmocka_unit_test(test_read_time_of_outdated_config),
		cmocka_unit_test(test_isolated_node_is_not_fresh),
		cmocka_unit_test(test_corrupted_messages),
		cmocka_unit_test(test_view_lookups),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
