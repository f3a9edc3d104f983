#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "fleet/fleet.h"

/*
 * Which nodes read the store for all others, in fleets with other names.
 */

#define NODES 15
#define FLEETS 300
#define READERS 2
#define NOW_MS 1000

/*
 * Initializes the table of a node that hears from all others.  Bit i of lost
 * says that node i reports that it can't read the store.
 */
static void
fill_table(struct fleet_table *t, int fleet, int self, unsigned int lost)
{
	struct fleet_heartbeat b;
	unsigned int one = 1;
	char name[32];
	int i, changed;

	snprintf(name, sizeof(name), "node-%d-%d", fleet, self);
	fleet_table_init(t, name, 1);
	t->self_store_lost = (lost >> self & 1) != 0;
	for (i = 0; i < NODES; i++) {
		if (i == self)
			continue;
		snprintf(name, sizeof(name), "node-%d-%d", fleet, i);
		memset(&b, 0, sizeof(b));
		b.node = b.zone = b.server.id = b.server.service = name;
		b.incarnation = b.load.sequence = 1;
		b.address = (unsigned int)i + 1;
		b.store_lost.store_lost_val = &one;
		b.store_lost.store_lost_len = lost >> i & 1;
		fleet_apply_heartbeat(t, &b, NOW_MS, &changed);
	}
}

/*
 * Lists the readers in a fleet, as numbers of its nodes, as one of them sees
 * it.
 */
static size_t
list_readers(int fleet, int self, unsigned int lost, int *list)
{
	struct fleet_table t;
	int number, i;
	size_t n;

	fill_table(&t, fleet, self, lost);
	n = fleet_store_readers(&t, list, READERS);
	for (i = 0; i < (int)n; i++) {
		number = self;
		if (list[i] != FLEET_SELF)
			number = (int)strtol(
			    strrchr(t.peers[list[i]].node, '-') + 1, NULL, 10);
		list[i] = number;
	}
	fleet_table_finish(&t);
	return n;
}

/*
 * Incident 5: in one of some 15 fleets the same node was both readers, and all
 * others depended on it.
 */
static void
test_readers_are_different(void **state)
{
	int list[READERS], fleet;

	(void)state;
	for (fleet = 0; fleet < FLEETS; fleet++) {
		assert_int_equal(list_readers(fleet, 0, 0, list), READERS);
		assert_int_not_equal(list[0], list[1]);
	}
}

/*
 * Incident 5: a reader that the store turned away stayed the reader.  Others
 * take its place, the same ones in the view of all nodes.
 */
static void
test_reader_without_store_is_replaced(void **state)
{
	int before[READERS], list[READERS], other[READERS], fleet, i;
	unsigned int lost;

	(void)state;
	for (fleet = 0; fleet < FLEETS; fleet++) {
		assert_int_equal(list_readers(fleet, 0, 0, before), READERS);
		lost = 1U << before[0];
		assert_int_equal(list_readers(fleet, 0, lost, list), READERS);
		assert_int_not_equal(list[0], before[0]);
		assert_int_not_equal(list[1], before[0]);
		lost |= 1U << before[1] | 1U << list[0];
		assert_int_equal(list_readers(fleet, 0, lost, list), READERS);
		for (i = 0; i < READERS; i++)
			assert_false(lost >> list[i] & 1);
		for (i = 1; i < NODES; i++) {
			list_readers(fleet, i, lost, other);
			assert_memory_equal(list, other, sizeof(list));
		}
	}
}

/*
 * One node is left that the store serves, or none: somebody still reads.
 */
static void
test_last_readers(void **state)
{
	unsigned int all = (1U << NODES) - 1;
	int list[READERS], i;

	(void)state;
	for (i = 0; i < NODES; i++) {
		assert_int_equal(list_readers(1, 0, all ^ 1U << i, list), 1);
		assert_int_equal(list[0], i);
	}
	assert_int_equal(list_readers(1, 0, all, list), 1);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_readers_are_different),
		cmocka_unit_test(test_reader_without_store_is_replaced),
		cmocka_unit_test(test_last_readers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
