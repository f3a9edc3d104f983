#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "fleet/fleet.h"

#define NODES 15
#define LIMITS 200
#define START_MS 500 /* start of this node */
#define HEARTBEAT_MS 250
#define RECOVERY_MS 15000  /* after a restart of all nodes */
#define SERVING_MS 2000	   /* for the first grants, within that time */
#define PARTITION_MS 9000  /* a started node may be cut off so long */
#define GRANT_DELAY_MS 800 /* before a new owner grants tokens */
#define CUT_FROM_MS 4000
#define CUT_END_MS 17800

static struct fleet_heartbeat
make_heartbeat(char *name, uint64_t incarnation, uint64_t sequence)
{
	struct fleet_heartbeat b;

	memset(&b, 0, sizeof(b));
	b.node = name;
	b.zone = name;
	b.incarnation = incarnation;
	b.load.sequence = sequence;
	b.address = 1;
	b.port = 80;
	b.server.id = name;
	b.server.service = name;
	return b;
}

static void
receive_heartbeat(
    struct fleet_table *t, char *name, uint64_t inc, uint64_t seq, uint64_t now)
{
	struct fleet_heartbeat b = make_heartbeat(name, inc, seq);
	int changed;

	(void)fleet_apply_heartbeat(t, &b, now, &changed);
}

/*
 * Heartbeats out of order, of earlier incarnations and after a goodbye.
 */
static void
test_heartbeat_order(void **state)
{
	static const struct {
		uint64_t inc, seq, now;
		int accepted, changed;
	} rows[] = {
		{ 5, 1, 1000, 1, 1 }, /* first heartbeat */
		{ 5, 2, 1100, 1, 0 }, /* unchanged */
		{ 5, 2, 1150, 0, 0 }, /* duplicated */
		{ 5, 1, 1160, 0, 0 }, /* reordered */
		{ 4, 9, 1200, 0, 0 }, /* of an earlier incarnation */
		{ 6, 1, 1300, 1, 1 }, /* restarted */
		{ 5, 3, 1400, 0, 0 }, /* late from before the restart */
		{ 4, 1, 4000, 1, 1 }, /* its clock was set back; long silence */
	};
	struct fleet_table t;
	struct fleet_heartbeat b;
	char name[] = "b";
	int changed, h;
	size_t i;

	(void)state;
	fleet_table_init(&t, "a", START_MS);
	fleet_set_node_list_complete(&t);
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		b = make_heartbeat(name, rows[i].inc, rows[i].seq);
		h = fleet_apply_heartbeat(&t, &b, rows[i].now, &changed);
		assert_int_equal(h >= 0, rows[i].accepted);
		assert_int_equal(changed, rows[i].changed);
	}
	fleet_apply_goodbye(&t, &b, 4100);
	assert_false(fleet_is_alive(&t, 0, 4100));
	receive_heartbeat(&t, name, 7, 1, 4200);
	assert_true(fleet_is_alive(&t, 0, 4200));
	fleet_table_finish(&t);
}

/*
 * A load heartbeat shows that its sender is alive and updates the load.  If the
 * full heartbeat before it was lost, the reported load is ignored.
 */
static void
test_load_heartbeat(void **state)
{
	char name[] = "b", new_server[] = "c";
	struct fleet_load_heartbeat m;
	struct fleet_table t;
	struct fleet_heartbeat b;
	int changed;

	(void)state;
	fleet_table_init(&t, "a", START_MS);
	fleet_set_node_list_complete(&t);
	b = make_heartbeat(name, 5, 1);
	memset(&m, 0, sizeof(m));
	m.incarnation = 5;
	m.print = fleet_heartbeat_digest(&b);
	m.load.sequence = 2;
	m.load.running = 7;
	m.load.config_version = 3;
	assert_int_equal(
	    fleet_apply_load_heartbeat(&t, &m, 1, 900), FLEET_NONE);
	fleet_apply_heartbeat(&t, &b, 1000, &changed);
	assert_int_equal(
	    fleet_apply_load_heartbeat(&t, &m, 2, 1100), FLEET_NONE);
	assert_int_equal(fleet_apply_load_heartbeat(&t, &m, 1, 1100), 0);
	assert_int_equal(t.peers[0].server.running, 7);
	assert_int_equal(
	    fleet_apply_load_heartbeat(&t, &m, 1, 1200), FLEET_NONE);
	assert_int_equal(t.peers[0].heard_ms, 1100);
	/* The full heartbeat that reports a new server was lost. */
	b.server.id = new_server;
	m.print = fleet_heartbeat_digest(&b);
	m.load.sequence = 4;
	m.load.running = 0;
	m.load.config_version = 4;
	assert_int_equal(
	    fleet_apply_load_heartbeat(&t, &m, 1, 1300), FLEET_NONE);
	assert_int_equal(t.peers[0].heard_ms, 1300);
	assert_int_equal(t.peers[0].config_version, 4);
	assert_int_equal(t.peers[0].server.running, 7);
	m.incarnation = 6;
	assert_int_equal(
	    fleet_apply_load_heartbeat(&t, &m, 1, 1400), FLEET_NONE);
	assert_int_equal(t.peers[0].heard_ms, 1300);
	fleet_table_finish(&t);
}

/*
 * A new node at the address of one that has gone: its load heartbeats count,
 * although the old node has not been forgotten.
 */
static void
test_address_used_again(void **state)
{
	char old_name[] = "b", new_name[] = "c";
	struct fleet_load_heartbeat m;
	struct fleet_heartbeat b;
	struct fleet_table t;
	int changed;

	(void)state;
	fleet_table_init(&t, "a", START_MS);
	fleet_set_node_list_complete(&t);
	receive_heartbeat(&t, old_name, 5, 1, 1000);
	b = make_heartbeat(new_name, 9, 1);
	fleet_apply_heartbeat(&t, &b, 4000, &changed);
	memset(&m, 0, sizeof(m));
	m.incarnation = 9;
	m.print = fleet_heartbeat_digest(&b);
	m.load.sequence = 2;
	assert_int_equal(fleet_apply_load_heartbeat(&t, &m, 1, 5000), 1);
	assert_true(fleet_is_alive(&t, 1, 6000));
	fleet_table_finish(&t);
}

/*
 * The digest of a heartbeat covers all but its load and the warm-up.
 */
static void
test_heartbeat_digest(void **state)
{
	char name[] = "b", called[] = "deep";
	fleet_name calls[] = { called };
	struct fleet_heartbeat b = make_heartbeat(name, 5, 1);
	uint64_t digest = fleet_heartbeat_digest(&b);

	(void)state;
	b.load.sequence = 9;
	b.load.running = 3;
	b.server.cold_ms = 100;
	assert_true(fleet_heartbeat_digest(&b) == digest);
	b.server.away = 1;
	assert_true(fleet_heartbeat_digest(&b) != digest);
	b.server.away = 0;
	b.calls.calls_val = calls;
	b.calls.calls_len = 1;
	assert_true(fleet_heartbeat_digest(&b) != digest);
	b.demands.demands_val = calls;
	b.demands.demands_len = 1;
	b.calls.calls_len = 0;
	assert_true(fleet_heartbeat_digest(&b) != digest);
}

/*
 * A node's own heartbeat, sent back to it, adds no peer.
 */
static void
test_own_heartbeat(void **state)
{
	struct fleet_table t;
	struct fleet_heartbeat b;
	char name[] = "a";
	int changed;

	(void)state;
	fleet_table_init(&t, "a", START_MS);
	fleet_set_node_list_complete(&t);
	b = make_heartbeat(name, 1, 1);
	assert_int_equal(
	    fleet_apply_heartbeat(&t, &b, 1, &changed), FLEET_SELF);
	assert_int_equal(t.count, 0);
	fleet_table_finish(&t);
}

/*
 * In a partitioned fleet only the larger part has owners.  In a whole one all
 * nodes agree on the owners.  Each owns only a small share of the limits, so
 * few limits change their owner when a node stops.
 */
static void
test_owner_quorum(void **state)
{
	static char names[NODES][16];
	struct fleet_table t[2];
	int i, n, owner, owned_here = 0, agreed = 0;

	(void)state;
	for (i = 0; i < NODES; i++)
		snprintf(names[i], sizeof(names[i]), "n%d", i);
	for (n = 0; n < 2; n++) {
		fleet_table_init(&t[n], names[n], START_MS);
		fleet_set_node_list_complete(&t[n]);
		for (i = 0; i < NODES; i++)
			if (i != n)
				receive_heartbeat(&t[n], names[i], 1, 1, 1000);
	}
	for (i = 1; i <= LIMITS; i++) {
		owner = fleet_owner(&t[0], (uint64_t)i, 1000);
		owned_here += owner == FLEET_SELF;
		n = fleet_owner(&t[1], (uint64_t)i, 1000);
		agreed +=
		    strcmp(
			owner == FLEET_SELF ? names[0] : t[0].peers[owner].node,
			n == FLEET_SELF ? names[1] : t[1].peers[n].node) == 0;
	}
	assert_int_equal(agreed, LIMITS);
	print_message(
	    "%d of %d limits owned by this node\n", owned_here, LIMITS);
	assert_true(owned_here > 0);
	assert_true(owned_here < LIMITS / 4);
	/* All but six peers fall silent: seven of 15 nodes are no quorum. */
	for (i = 1; i <= 6; i++)
		receive_heartbeat(&t[0], names[i], 1, 2, 5000);
	assert_int_equal(fleet_owner(&t[0], 1, 5000), FLEET_NONE);
	receive_heartbeat(&t[0], names[7], 1, 2, 5000);
	assert_true(fleet_owner(&t[0], 1, 5000) != FLEET_NONE);
	fleet_table_finish(&t[0]);
	fleet_table_finish(&t[1]);
}

/*
 * Listed nodes count as known before their first heartbeat, so a node that is
 * cut off at its start owns nothing.
 */
static void
test_unheard_peers_at_start(void **state)
{
	struct fleet_table t;

	(void)state;
	fleet_table_init(&t, "a", START_MS);
	fleet_set_node_list_complete(&t);
	fleet_add_node(&t, "b", 1, 1000);
	fleet_add_node(&t, "c", 2, 1000);
	assert_int_equal(fleet_owner(&t, 1, 1000), FLEET_NONE);
	fleet_table_finish(&t);
}

/*
 * Restart without a quorum: most listed nodes were lost for good just before
 * all nodes restarted.  The rest owns limits again within
 * RECOVERY_MS, but not at once, as the others may be cut off.
 */
static void
test_quorum_after_most_nodes_lost(void **state)
{
	static char names[2 * NODES][16];
	struct fleet_table t;
	uint64_t now;
	int i;

	(void)state;
	fleet_table_init(&t, "a", START_MS);
	for (i = 0; i < 2 * NODES; i++) {
		snprintf(names[i], sizeof(names[i]), "n%d", i);
		fleet_add_node(&t, names[i], (uint32_t)i + 1, START_MS);
	}
	fleet_set_node_list_complete(&t);
	for (now = START_MS; now < START_MS + RECOVERY_MS - SERVING_MS;
	     now += HEARTBEAT_MS) {
		for (i = 0; i < NODES - 2; i++)
			receive_heartbeat(&t, names[i], 1, now, now);
		fleet_update_members(&t, now);
		if (now < START_MS + PARTITION_MS)
			assert_false(fleet_has_quorum(&t, now));
	}
	assert_true(fleet_has_quorum(&t, now));
	assert_int_equal(fleet_size(&t), NODES - 1);
	fleet_table_finish(&t);
}

/*
 * A node that has just started owns no limit before it has read the node list,
 * and its set of live nodes counts as changed at the start, since it doesn't
 * know what an earlier owner granted.
 */
static void
test_no_owner_before_node_list(void **state)
{
	struct fleet_table t;

	(void)state;
	fleet_table_init(&t, "a", START_MS);
	assert_int_equal(fleet_owner(&t, 1, START_MS), FLEET_NONE);
	assert_int_equal(t.members_changed_ms, START_MS);
	fleet_set_node_list_complete(&t);
	assert_int_equal(fleet_owner(&t, 1, START_MS), FLEET_SELF);
	fleet_table_finish(&t);
}

/*
 * What the nodes share is divided by their number.  A started node doesn't know
 * it before a peer reports it or the node list has been read.
 */
static void
test_fleet_size_at_start(void **state)
{
	struct fleet_heartbeat b;
	struct fleet_table t;
	char names[NODES][16];
	int changed, i;

	(void)state;
	fleet_table_init(&t, "a", START_MS);
	assert_int_equal(fleet_size(&t), FLEET_SIZE_UNKNOWN);
	for (i = 0; i < 8; i++) {
		snprintf(names[i], sizeof(names[i]), "n%d", i);
		b = make_heartbeat(names[i], 1, 1);
		fleet_apply_heartbeat(&t, &b, 1000, &changed);
	}
	/* The peers have just started, too. */
	assert_int_equal(fleet_size(&t), FLEET_SIZE_UNKNOWN);
	assert_false(fleet_has_quorum(&t, 1000));
	b = make_heartbeat(names[0], 1, 2);
	b.load.nodes = 17;
	fleet_apply_heartbeat(&t, &b, 1000, &changed);
	assert_int_equal(fleet_size(&t), 17);
	assert_true(fleet_has_quorum(&t, 1000)); /* nine of 17 */
	b = make_heartbeat(names[1], 1, 2);
	b.load.nodes = 18;
	fleet_apply_heartbeat(&t, &b, 1000, &changed);
	assert_false(fleet_has_quorum(&t, 1000));
	fleet_set_node_list_complete(&t);
	assert_int_equal(fleet_size(&t), 9);
	fleet_table_finish(&t);
}

/*
 * The minority of a partitioned fleet must not soon forget the majority and own
 * limits on its own.  Where most nodes are lost for good, the rest reaches a
 * quorum in the end.
 */
static void
test_long_partition(void **state)
{
	static char names[NODES][16];
	struct fleet_table t;
	uint64_t now;
	int i, alive, larger_part;

	(void)state;
	for (larger_part = 0; larger_part < 2; larger_part++) {
		alive = larger_part == 0 ? 5 : 9; /* others, of 14 */
		fleet_table_init(&t, "a", START_MS);
		fleet_set_node_list_complete(&t);
		for (now = 1000; now < 60000; now += 250) {
			for (i = 0; i < NODES - 1; i++) {
				snprintf(names[i], sizeof(names[i]), "n%d", i);
				if (now < 2000 || i < alive)
					receive_heartbeat(
					    &t, names[i], 1, now, now);
			}
			fleet_update_members(&t, now);
			if (now < 2000 || now > 5000)
				assert_int_equal(fleet_has_quorum(&t, now),
				    now < 2000 || larger_part == 1);
		}
		assert_int_equal(fleet_size(&t), larger_part == 0 ? 15 : 10);
		for (; now < 70000; now += 250) {
			for (i = 0; i < alive; i++)
				receive_heartbeat(&t, names[i], 1, now, now);
			fleet_update_members(&t, now);
		}
		assert_true(fleet_has_quorum(&t, now));
		fleet_table_finish(&t);
	}
}

/* The directed links that are broken from CUT_FROM_MS on. */
struct cut {
	const char *name;
	int node0_unheard_by; /* number of nodes that don't hear node 0 */
	int node0_deaf;	      /* node 0 hears no other node */
	int broken_percent;   /* share of all links that are broken */
	/* Links are broken for two thirds of this period; 0: always. */
	uint64_t cut_period_ms;
	int min_owned_percent; /* share of limits with an owner at the end */
	int max_owner_changes; /* of a limit that node 0 owned at first */
};

static int
is_cut(const struct cut *c, int from, int to, uint64_t now)
{
	if (now < CUT_FROM_MS ||
	    (c->cut_period_ms > 0 &&
		now % c->cut_period_ms * 3 >= c->cut_period_ms * 2))
		return 0;
	return (from == 0 && to <= c->node0_unheard_by) ||
	       (c->node0_deaf && to == 0) ||
	       (from * 31 + to * 17) % 100 < c->broken_percent;
}

/* Nodes that send heartbeats to each other. */
struct nodes {
	struct fleet_table tables[NODES];
	struct fleet_heartbeat beats[NODES];
	uint32_t silent[NODES][FLEET_SILENT_MAX];
	char names[NODES][16];
};

static void
nodes_init(struct nodes *ns)
{
	int i;

	for (i = 0; i < NODES; i++) {
		snprintf(ns->names[i], sizeof(ns->names[i]), "n%d", i);
		fleet_table_init(&ns->tables[i], ns->names[i], START_MS);
		fleet_set_node_list_complete(&ns->tables[i]);
	}
}

/*
 * Lets each node send a heartbeat to all others, then update its live nodes.
 */
static void
exchange_heartbeats(struct nodes *ns, const struct cut *c, uint64_t now)
{
	int i, k, changed;

	for (i = 0; i < NODES; i++) {
		ns->beats[i] = make_heartbeat(ns->names[i], 1, now);
		ns->beats[i].load.out = (u_int)ns->tables[i].self_isolated;
		ns->beats[i].load.silent.silent_val = ns->silent[i];
		ns->beats[i].load.silent.silent_len =
		    fleet_list_silent(&ns->tables[i], now, ns->silent[i]);
	}
	for (i = 0; i < NODES; i++)
		for (k = 0; k < NODES; k++)
			if (i != k && !is_cut(c, i, k, now))
				fleet_apply_heartbeat(&ns->tables[k],
				    &ns->beats[i], now, &changed);
	for (i = 0; i < NODES; i++)
		fleet_update_members(&ns->tables[i], now);
}

/*
 * Returns the node that grants tokens of a limit, or -1.  Fails the test if
 * there is a second one.
 */
static int
granting_node(const struct nodes *ns, uint64_t limit, uint64_t now)
{
	int i, granter = -1;

	for (i = 0; i < NODES; i++) {
		if (fleet_owner(&ns->tables[i], limit, now) != FLEET_SELF ||
		    now - ns->tables[i].members_changed_ms < GRANT_DELAY_MS)
			continue;
		assert_int_equal(granter, -1);
		granter = i;
	}
	return granter;
}

/*
 * Guards against split brain: whichever directed links are broken, no two nodes
 * grant tokens of the same limit.  A node that only a few don't hear keeps its
 * limits, and limits don't move back and forth with an intermittent link.
 */
static void
test_single_owner_broken_links(void **state)
{
	static const struct cut rows[] = {
		{ "no broken links", 0, 0, 0, 0, 100, 0 },
		{ "node 0 dead", NODES, 1, 0, 0, 100, 1 },
		{ "few don't hear node 0", 5, 0, 0, 0, 100, 0 },
		{ "most don't hear node 0", 9, 0, 0, 0, 100, 1 },
		{ "node 0 hears nobody", 0, 1, 0, 0, 85, 1 },
		{ "node 0 unheard at times", NODES, 0, 0, 2500, 100, 1 },
		{ "20 % of the links broken", 0, 0, 20, 0, 85, 1 },
		{ "50 % of the links broken", 0, 0, 50, 0, 0, 1 },
		{ "all links broken at times", NODES, 0, 100, 6000, 100, 1 },
	};
	static struct nodes ns;
	uint64_t now, limit, first_limit;
	int owned, owner_changes, granter, last;
	size_t row;

	(void)state;
	for (row = 0; row < sizeof(rows) / sizeof(rows[0]); row++) {
		nodes_init(&ns);
		first_limit = 0;
		owner_changes = last = owned = 0;
		for (now = 1000; now < CUT_END_MS; now += HEARTBEAT_MS) {
			exchange_heartbeats(&ns, &rows[row], now);
			for (owned = 0, limit = 1; limit <= LIMITS; limit++) {
				granter = granting_node(&ns, limit, now);
				owned += granter >= 0;
				if (now < CUT_FROM_MS && granter == 0)
					first_limit = limit;
				if (limit == first_limit && granter >= 0) {
					owner_changes += granter != last;
					last = granter;
				}
			}
		}
		print_message("%-26s %d of %d limits owned, %d owner changes\n",
		    rows[row].name, owned, LIMITS, owner_changes);
		assert_true(first_limit > 0);
		assert_true(owner_changes <= rows[row].max_owner_changes);
		assert_true(
		    owned >= LIMITS * rows[row].min_owned_percent / 100);
		for (last = 0; last < NODES; last++)
			fleet_table_finish(&ns.tables[last]);
	}
}

/*
 * After a pause in which others may have declared it dead, a node owns no limit
 * until the heartbeats of the others could arrive.  Nodes heard between the
 * last update and the pause still count as alive.
 */
static void
test_isolated_after_pause(void **state)
{
	static const struct {
		uint64_t pause_ms, later_ms;
		int stays_isolated;
	} rows[] = {
		{ 900, 0, 0 },
		{ 1190, 0, 0 },
		{ 1200, 0, 1 },
		{ 30000, 0, 1 },
		{ 30000, 499, 1 },
		{ 30000, 500, 0 },
	};
	struct fleet_table t;
	char name[] = "b";
	uint64_t now;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		fleet_table_init(&t, "a", START_MS);
		fleet_set_node_list_complete(&t);
		receive_heartbeat(&t, name, 1, 1, 1000);
		fleet_update_members(&t, 1000);
		assert_false(t.self_isolated);
		receive_heartbeat(&t, name, 1, 2, 1200);
		now = 1000 + rows[i].pause_ms;
		fleet_apply_pause(&t, rows[i].pause_ms, now);
		fleet_update_members(&t, now);
		assert_true(fleet_is_alive(&t, 0, now));
		now += rows[i].later_ms;
		fleet_update_members(&t, now);
		assert_int_equal(t.self_isolated, rows[i].stays_isolated);
		assert_false(t.peers[0].has_departed);
		assert_true(rows[i].stays_isolated ||
			    fleet_owner(&t, 7, now) != FLEET_NONE);
		assert_true(!rows[i].stays_isolated ||
			    fleet_owner(&t, 7, now) != FLEET_SELF);
		fleet_table_finish(&t);
	}
}

/*
 * A pause of this process is no evidence against other nodes; their silence
 * after it is.
 */
static void
test_pause_no_peer_evidence(void **state)
{
	struct fleet_table t;
	char name[] = "b";

	(void)state;
	fleet_table_init(&t, "a", START_MS);
	fleet_set_node_list_complete(&t);
	receive_heartbeat(&t, name, 1, 1, 1000);
	fleet_apply_pause(&t, 10000, 11000);
	assert_true(fleet_is_alive(&t, 0, 11050));
	assert_false(fleet_is_alive(&t, 0, 13000));
	fleet_update_members(&t, 80000);
	assert_true(t.peers[0].has_departed);
	fleet_table_finish(&t);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_heartbeat_order),
		cmocka_unit_test(test_load_heartbeat),
		cmocka_unit_test(test_address_used_again),
		cmocka_unit_test(test_heartbeat_digest),
		cmocka_unit_test(test_own_heartbeat),
		cmocka_unit_test(test_owner_quorum),
		cmocka_unit_test(test_unheard_peers_at_start),
		cmocka_unit_test(test_quorum_after_most_nodes_lost),
		cmocka_unit_test(test_no_owner_before_node_list),
		cmocka_unit_test(test_fleet_size_at_start),
		cmocka_unit_test(test_long_partition),
		cmocka_unit_test(test_single_owner_broken_links),
		cmocka_unit_test(test_isolated_after_pause),
		cmocka_unit_test(test_pause_no_peer_evidence),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
