#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "member/test_net.h"

#define NODES 50

/*
 * Precedence of two reports about one process, and of two processes at one
 * address and port.
 */
static void
test_merge_precedence(void **state)
{
	static const struct {
		enum member_state have;
		uint32_t have_seq;
		enum member_state in;
		uint32_t in_seq;
		int other; /* 1: a later process, -1: an earlier one */
		enum member_state want;
		uint32_t want_seq;
	} rows[] = {
		{ MEMBER_ALIVE, 5, MEMBER_ALIVE, 5, 0, MEMBER_ALIVE, 5 },
		{ MEMBER_ALIVE, 5, MEMBER_ALIVE, 4, 0, MEMBER_ALIVE, 5 },
		{ MEMBER_ALIVE, 5, MEMBER_ALIVE, 6, 0, MEMBER_ALIVE, 6 },
		{ MEMBER_ALIVE, 5, MEMBER_SUSPECT, 4, 0, MEMBER_ALIVE, 5 },
		{ MEMBER_ALIVE, 5, MEMBER_SUSPECT, 5, 0, MEMBER_SUSPECT, 5 },
		{ MEMBER_ALIVE, 5, MEMBER_DEAD, 4, 0, MEMBER_ALIVE, 5 },
		{ MEMBER_ALIVE, 5, MEMBER_DEAD, 5, 0, MEMBER_ALIVE, 5 },
		{ MEMBER_ALIVE, 5, MEMBER_DEAD, 6, 0, MEMBER_ALIVE, 5 },
		{ MEMBER_ALIVE, 5, MEMBER_LEFT, 6, 0, MEMBER_LEFT, 6 },
		{ MEMBER_SUSPECT, 5, MEMBER_ALIVE, 5, 0, MEMBER_SUSPECT, 5 },
		{ MEMBER_SUSPECT, 5, MEMBER_ALIVE, 6, 0, MEMBER_ALIVE, 6 },
		{ MEMBER_SUSPECT, 5, MEMBER_DEAD, 5, 0, MEMBER_SUSPECT, 5 },
		{ MEMBER_SUSPECT, 5, MEMBER_DEAD, 6, 0, MEMBER_SUSPECT, 5 },
		{ MEMBER_SUSPECT, 5, MEMBER_DEAD, 4, 0, MEMBER_SUSPECT, 5 },
		{ MEMBER_DEAD, 5, MEMBER_ALIVE, 5, 0, MEMBER_DEAD, 5 },
		{ MEMBER_DEAD, 5, MEMBER_SUSPECT, 5, 0, MEMBER_DEAD, 5 },
		{ MEMBER_DEAD, 5, MEMBER_ALIVE, 6, 0, MEMBER_ALIVE, 6 },
		{ MEMBER_LEFT, 5, MEMBER_ALIVE, 5, 0, MEMBER_LEFT, 5 },
		{ MEMBER_LEFT, 5, MEMBER_DEAD, 5, 0, MEMBER_LEFT, 5 },
		{ MEMBER_ALIVE, 5, MEMBER_ALIVE, 1, 1, MEMBER_ALIVE, 1 },
		{ MEMBER_DEAD, 5, MEMBER_ALIVE, 1, 1, MEMBER_ALIVE, 1 },
		{ MEMBER_LEFT, 5, MEMBER_ALIVE, 1, 1, MEMBER_ALIVE, 1 },
		{ MEMBER_ALIVE, 5, MEMBER_DEAD, 9, -1, MEMBER_ALIVE, 5 },
		{ MEMBER_ALIVE, 5, MEMBER_ALIVE, 9, -1, MEMBER_ALIVE, 5 },
	};
	struct member_entry e;
	struct member_slot *s;
	struct net net;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		net_init(&net, 1, 1);
		e = net_entry(NET_ADDR_FIRST + 9, 77, 10, MEMBER_ALIVE, 5);
		member_merge_entry(&net.nodes[0].table, net.now, &e, 0);
		s = member_table_find(
		    &net.nodes[0].table, NET_ADDR_FIRST + 9, NET_PORT);
		s->info.state = rows[i].have;
		s->info.seq = rows[i].have_seq;
		e = net_entry(NET_ADDR_FIRST + 9, rows[i].other != 0 ? 33 : 77,
		    10 + (uint64_t)rows[i].other, rows[i].in, rows[i].in_seq);
		member_merge_entry(&net.nodes[0].table, net.now, &e, 0);
		if (s->info.state != rows[i].want ||
		    s->info.seq != rows[i].want_seq)
			fail_msg("row %zu: state %d seq %u", i,
			    (int)s->info.state, s->info.seq);
		net_finish(&net);
	}
}

/*
 * Invalid entries change nothing.
 */
static void
test_merge_ignores_invalid_entries(void **state)
{
	struct member_entry rows[] = {
		net_entry(0, 1, 1, MEMBER_ALIVE, 1),
		net_entry(NET_ADDR_FIRST + 9, 0, 1, MEMBER_ALIVE, 1),
		net_entry(NET_ADDR_FIRST + 9, 1, 1, MEMBER_STATE_MAX, 1),
		net_entry(NET_ADDR_FIRST + 9, 1, 1, MEMBER_ALIVE, 1),
		net_entry(NET_ADDR_FIRST + 9, 1, 1, MEMBER_ALIVE, 1),
	};
	struct net net;
	size_t i;

	(void)state;
	rows[3].name.port = UINT16_MAX + 1;
	rows[4].peer_port = UINT16_MAX + 1;
	net_init(&net, 1, 1);
	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		member_merge_entry(&net.nodes[0].table, net.now, &rows[i], 0);
	assert_int_equal(net.nodes[0].table.count, 1);
	net_finish(&net);
}

/*
 * A node refutes wrong reports of its own state by a higher sequence number.
 * If another process with the same address appears to be the later one, the
 * node raises its epoch.  Other reports change nothing.
 */
static void
test_refute_wrong_reports(void **state)
{
	static const struct {
		int epoch;
		int other;
		enum member_state in;
		uint32_t in_seq;
		uint32_t want_seq;
	} rows[] = {
		{ 0, 0, MEMBER_ALIVE, 1, 1 },
		{ 0, 0, MEMBER_SUSPECT, 1, 2 },
		{ 0, 0, MEMBER_DEAD, 7, 8 },
		{ 0, 0, MEMBER_SUSPECT, 0, 1 },
		{ -1, 1, MEMBER_DEAD, 9, 1 },
		{ 1, 1, MEMBER_ALIVE, 9, 2 },
	};
	struct member_entry e;
	struct member_info *own;
	struct net net;
	uint64_t epoch;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		net_init(&net, 1, 1);
		own = &net.nodes[0].table.slots[0].info;
		epoch = own->epoch + (uint64_t)rows[i].epoch;
		e = net_entry(NET_ADDR_FIRST,
		    own->id.incarnation + rows[i].other * 2, epoch, rows[i].in,
		    rows[i].in_seq);
		member_merge_entry(&net.nodes[0].table, net.now, &e, 0);
		assert_int_equal(own->seq, rows[i].want_seq);
		assert_int_equal(own->state, MEMBER_ALIVE);
		assert_true(rows[i].other == 0 || own->epoch > epoch);
		net_finish(&net);
	}
}

/*
 * How many times a change is sent: a change of the backend server
 * MEMBER_SPREAD_ALL times, a higher sequence number that leaves the state
 * unchanged a few times, and a change received in a page a few times too.
 */
static void
test_retransmit_counts(void **state)
{
	static const struct {
		int server;
		int paging;
		enum member_spread want;
	} rows[] = {
		{ 0, 0, MEMBER_SPREAD_FEW },
		{ 1, 0, MEMBER_SPREAD_ALL },
		{ 1, 1, MEMBER_SPREAD_FEW },
	};
	struct member_server_entry sv = { .service = (char *)(uintptr_t) "a" };
	struct member_entry e;
	struct member_table *t;
	struct member_slot *s;
	struct net net;
	uint32_t remaining;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		net_init(&net, NODES, 25);
		net_converge(&net, 20000);
		net_run(&net, 10000);
		t = &net.nodes[0].table;
		s = member_table_find(t, NET_ADDR_FIRST + 9, NET_PORT);
		e = net_entry(NET_ADDR_FIRST + 9, s->info.id.incarnation,
		    s->info.epoch, MEMBER_ALIVE, s->info.seq + 1);
		sv.state = MEMBER_SERVER_UP;
		e.server = rows[i].server ? &sv : NULL;
		e.rev = s->info.rev + (uint32_t)rows[i].server;
		t->merging_page = rows[i].paging;
		member_merge_entry(t, net.now, &e, 0);
		remaining = member_retransmit_limit(t) - s->times_sent;
		assert_true(s->queued);
		assert_int_equal(remaining, rows[i].want == MEMBER_SPREAD_ALL
						? member_retransmit_limit(t)
						: MEMBER_RETRANSMIT_FEW);
		net_finish(&net);
	}
}

/*
 * With a long queue a suspicion is sent fewer times, but its refutation is
 * sent the full number of times and has the highest priority.
 */
static void
test_refutation_is_urgent(void **state)
{
	struct member_table *t;
	struct member_entry e;
	struct member_slot *s;
	struct net net;
	uint32_t i;

	(void)state;
	net_init(&net, 2, 27);
	net_converge(&net, 10000);
	t = &net.nodes[0].table;
	for (i = 0; i <= MEMBER_QUEUE_LONG_LEN; i++) {
		e = net_entry(NET_ADDR_FIRST + 9 + i, 7, 7, MEMBER_ALIVE, 1);
		member_merge_entry(t, net.now, &e, 0);
	}
	e = net_entry(NET_ADDR_FIRST + 9, 7, 7, MEMBER_SUSPECT, 1);
	member_unqueue_change(
	    t, member_slot_handle(
		   t, member_table_find(t, NET_ADDR_FIRST + 9, NET_PORT)));
	member_merge_entry(t, net.now, &e, 0);
	s = member_table_find(t, NET_ADDR_FIRST + 9, NET_PORT);
	assert_int_equal(s->info.state, MEMBER_SUSPECT);
	assert_true(s->queued && s->times_sent > 0);
	e = net_entry(NET_ADDR_FIRST + 9, 7, 7, MEMBER_ALIVE, 2);
	member_merge_entry(t, net.now, &e, 0);
	assert_int_equal(s->info.state, MEMBER_ALIVE);
	assert_true(s->queued && s->times_sent == 0);
	net_finish(&net);
}

/*
 * A member that is reported dead stays alive in the table and is probed
 * soon.
 */
static void
test_reported_death_is_probed(void **state)
{
	struct member_table *t;
	struct member_entry e;
	struct member_slot *s;
	struct net net;
	uint64_t start;
	int i, probed = 0;

	(void)state;
	net_init(&net, NODES, 26);
	net_converge(&net, 20000);
	t = &net.nodes[0].table;
	s = member_table_find(t, NET_ADDR_FIRST + 9, NET_PORT);
	e = net_entry(NET_ADDR_FIRST + 9, s->info.id.incarnation, s->info.epoch,
	    MEMBER_DEAD, s->info.seq);
	start = net.now;
	member_merge_entry(t, net.now, &e, 0);
	while (!probed && net.now < start + 2 * MEMBER_VERIFY_PERIOD_MS) {
		net_run(&net, 1);
		for (i = 0; i < MEMBER_PROBES_MAX; i++)
			probed |=
			    t->probes[i].sent_ms >= start &&
			    t->probes[i].handle == member_slot_handle(t, s);
	}
	assert_true(probed);
	assert_int_equal(s->info.state, MEMBER_ALIVE);
	net_finish(&net);
}

/*
 * A table accepts at most MEMBER_COUNT_MAX members.
 */
static void
test_table_size_limit(void **state)
{
	struct member_entry e;
	struct net net;
	uint32_t i;

	(void)state;
	net_init(&net, 1, 24);
	for (i = 0; i < MEMBER_COUNT_MAX + 10; i++) {
		e = net_entry(NET_ADDR_FIRST + 9 + i, 7, 7, MEMBER_ALIVE, 1);
		member_merge_entry(&net.nodes[0].table, net.now, &e, 0);
	}
	assert_int_equal(net.nodes[0].table.count, MEMBER_COUNT_MAX);
	net_finish(&net);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_merge_precedence),
		cmocka_unit_test(test_merge_ignores_invalid_entries),
		cmocka_unit_test(test_refute_wrong_reports),
		cmocka_unit_test(test_retransmit_counts),
		cmocka_unit_test(test_reported_death_is_probed),
		cmocka_unit_test(test_refutation_is_urgent),
		cmocka_unit_test(test_table_size_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
