#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "fleet/fleet.h"

#define NODES 15
#define REPLACED 12 /* nodes that are replaced by new ones */
#define STEP_MS 250 /* heartbeat interval */
#define START_MS 1000
#define SEEDS 60	 /* sets of names */
#define LARGE_FLEET 1000 /* nodes */

/* The store's list of nodes. */
struct list {
	char names[NODES + REPLACED][16];
	int listed[NODES + REPLACED];
	char self[16]; /* name of the node that is tested */
};

/* A fleet as one of its nodes sees it: the others send heartbeats or not. */
struct view {
	struct fleet_table table;
	int alive[NODES + REPLACED];
	uint64_t now;
};

static void
list_init(struct list *l, int seed)
{
	int i;

	snprintf(l->self, sizeof(l->self), "self-%d", seed);
	for (i = 0; i < NODES + REPLACED; i++) {
		snprintf(l->names[i], sizeof(l->names[i]), "n%d-%d", i, seed);
		l->listed[i] = i < NODES;
	}
}

/*
 * Starts the node and adds all listed nodes.
 */
static void
view_start(struct view *v, const struct list *l, uint64_t now)
{
	int i;

	fleet_table_init(&v->table, l->self, now);
	for (i = 0; i < NODES + REPLACED; i++)
		if (l->listed[i])
			fleet_add_node(
			    &v->table, l->names[i], (uint32_t)i + 1, now);
	fleet_set_node_list_complete(&v->table);
	v->now = now;
}

/*
 * Makes a full heartbeat of a node.
 */
static struct fleet_heartbeat
make_heartbeat(struct list *l, int i, uint64_t now)
{
	struct fleet_heartbeat b;

	memset(&b, 0, sizeof(b));
	b.node = b.zone = b.server.id = b.server.service = l->names[i];
	b.incarnation = 1;
	b.load.sequence = now;
	b.address = (uint32_t)i + 1;
	b.port = 80;
	return b;
}

/*
 * Lets time pass: nodes that are alive send heartbeats and miss the same nodes
 * as this node, and nodes that this node must remove leave the list.
 */
static void
view_run(struct view *v, struct list *l, uint64_t ms)
{
	static uint32_t silent[FLEET_SILENT_MAX];
	struct fleet_heartbeat b;
	uint64_t end = v->now + ms;
	uint32_t silent_count;
	int i, changed;

	for (; v->now < end; v->now += STEP_MS) {
		silent_count = fleet_list_silent(&v->table, v->now, silent);
		for (i = 0; i < NODES + REPLACED; i++) {
			if (!v->alive[i])
				continue;
			b = make_heartbeat(l, i, v->now);
			b.load.silent.silent_val = silent;
			b.load.silent.silent_len = silent_count;
			fleet_apply_heartbeat(&v->table, &b, v->now, &changed);
			l->listed[i] = 1;
		}
		fleet_update_members(&v->table, v->now);
		if (!fleet_must_prune(&v->table, v->now))
			continue;
		for (i = 0; i < NODES + REPLACED; i++)
			if (fleet_is_prunable(&v->table, l->names[i], v->now))
				l->listed[i] = 0;
		fleet_set_pruned(&v->table, v->now);
		assert_false(fleet_must_prune(&v->table, v->now));
	}
}

/*
 * Replaces most nodes by new ones, one after the other, with a goodbye or
 * without one, and waits until they have gone for good.
 */
static void
replace_nodes(struct view *v, struct list *l, int goodbye)
{
	struct fleet_heartbeat b;
	int i;

	view_run(v, l, 2000);
	for (i = 0; i < REPLACED; i++) {
		v->alive[NODES + i] = 1;
		view_run(v, l, 500);
		v->alive[i] = 0;
		b = make_heartbeat(l, i, v->now);
		if (goodbye)
			fleet_apply_goodbye(&v->table, &b, v->now);
		view_run(v, l, 500);
	}
	view_run(v, l, goodbye ? 5000 : 11000);
}

/*
 * Restart without a quorum: most nodes were replaced, and then all nodes
 * restart.  The store's list has none of the old nodes, so the new ones are a
 * quorum at once.  Several sets of names are tried, as the names decide which
 * node prunes.
 */
static void
test_quorum_after_nodes_replaced(void **state)
{
	struct view v;
	struct list l = { 0 };
	int i, goodbye, seed, reader, pruned;

	(void)state;
	for (goodbye = 0; goodbye < 2; goodbye++) {
		pruned = 0;
		for (seed = 0; seed < SEEDS; seed++) {
			memset(&v, 0, sizeof(v));
			list_init(&l, seed);
			view_start(&v, &l, START_MS);
			for (i = 0; i < NODES; i++)
				v.alive[i] = 1;
			replace_nodes(&v, &l, goodbye);
			fleet_store_readers(&v.table, &reader, 1);
			fleet_table_finish(&v.table);
			if (reader != FLEET_SELF)
				continue;
			pruned++;
			for (i = 0; i < NODES + REPLACED; i++)
				assert_int_equal(l.listed[i], i >= REPLACED);
			view_start(&v, &l, v.now);
			view_run(&v, &l, 1000);
			assert_true(fleet_has_quorum(&v.table, v.now));
			fleet_table_finish(&v.table);
		}
		assert_true(pruned > 0);
	}
}

/*
 * A node that restarts, one that is silent for a moment, and the nodes on the
 * other side of a partition keep their entries.
 */
static void
test_entries_kept(void **state)
{
	static const struct {
		const char *name;
		int silent, goodbye;
		uint64_t silent_ms;
	} rows[] = {
		{ "restarts", 1, 1, 4000 },
		{ "is silent for a moment", 1, 0, 9000 },
		{ "the larger part is cut off", 9, 0, 30000 },
	};
	struct fleet_heartbeat b;
	struct view v;
	struct list l = { 0 };
	size_t row;
	int i, seed;

	(void)state;
	for (row = 0; row < sizeof(rows) / sizeof(rows[0]); row++) {
		print_message("%s\n", rows[row].name);
		for (seed = 0; seed < SEEDS; seed++) {
			memset(&v, 0, sizeof(v));
			list_init(&l, seed);
			view_start(&v, &l, START_MS);
			for (i = 0; i < NODES; i++)
				v.alive[i] = 1;
			view_run(&v, &l, 2000);
			for (i = 0; i < rows[row].silent; i++) {
				v.alive[i] = 0;
				b = make_heartbeat(&l, i, v.now);
				if (rows[row].goodbye)
					fleet_apply_goodbye(
					    &v.table, &b, v.now);
			}
			view_run(&v, &l, rows[row].silent_ms);
			for (i = 0; i < NODES; i++)
				assert_true(l.listed[i]);
			fleet_table_finish(&v.table);
		}
	}
}

/*
 * A suspension of this node's machine is no silence of the others.
 */
static void
test_pause_prunes_nothing(void **state)
{
	struct view v;
	struct list l = { 0 };
	int i, seed;

	(void)state;
	for (seed = 0; seed < SEEDS; seed++) {
		memset(&v, 0, sizeof(v));
		list_init(&l, seed);
		view_start(&v, &l, START_MS);
		for (i = 0; i < NODES - 1; i++)
			v.alive[i] = 1;
		view_run(&v, &l, 1000);
		v.now += 30000;
		fleet_apply_pause(&v.table, 30000, v.now);
		view_run(&v, &l, 2000);
		for (i = 0; i < NODES; i++)
			assert_true(l.listed[i]);
		fleet_table_finish(&v.table);
	}
}

/*
 * In a large fleet heartbeats are rare: a node that reports itself isolated and
 * is silent for two intervals is not removed.
 */
static void
test_rare_heartbeats_keep_entry(void **state)
{
	static char names[LARGE_FLEET][16];
	struct fleet_heartbeat b;
	struct fleet_table t;
	uint64_t now = START_MS, silent_from_ms;
	int i, changed, reader = FLEET_NONE;

	(void)state;
	fleet_table_init(&t, "self", START_MS);
	fleet_set_node_list_complete(&t);
	for (i = 0; i < LARGE_FLEET; i++) {
		snprintf(names[i], sizeof(names[i]), "n%d", i);
		memset(&b, 0, sizeof(b));
		b.node = b.zone = b.server.id = b.server.service = names[i];
		b.incarnation = b.load.sequence = 1;
		b.load.out = i == 0;
		fleet_apply_heartbeat(&t, &b, now, &changed);
	}
	fleet_update_members(&t, now);
	/* A name that makes this node the one that prunes. */
	for (t.node_hash = 0; reader != FLEET_SELF; t.node_hash++)
		fleet_store_readers(&t, &reader, 1);
	t.node_hash--;
	silent_from_ms = now;
	now += 2 * fleet_interval_ms(&t);
	for (i = 1; i < LARGE_FLEET; i++)
		t.peers[i].heard_ms = now;
	fleet_update_members(&t, now);
	assert_true(now - silent_from_ms > 10000);
	assert_false(fleet_is_prunable(&t, names[0], now));
	now = silent_from_ms + fleet_dead_after_ms(&t);
	assert_true(fleet_is_prunable(&t, names[0], now));
	fleet_table_finish(&t);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_quorum_after_nodes_replaced),
		cmocka_unit_test(test_entries_kept),
		cmocka_unit_test(test_pause_prunes_nothing),
		cmocka_unit_test(test_rare_heartbeats_keep_entry),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
