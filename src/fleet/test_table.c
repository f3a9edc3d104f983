#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "fleet/fleet.h"

#define NODES 15
#define LIMITS 200

static struct fleet_beat
beat(char *name, uint64_t incarnation, uint64_t sequence)
{
	struct fleet_beat b;

	memset(&b, 0, sizeof(b));
	b.node = name;
	b.zone = name;
	b.incarnation = incarnation;
	b.sequence = sequence;
	b.address = 1;
	b.port = 80;
	b.server.id = name;
	b.server.service = name;
	return b;
}

static void
hear(
    struct fleet_table *t, char *name, uint64_t inc, uint64_t seq, uint64_t now)
{
	struct fleet_beat b = beat(name, inc, seq);
	int changed;

	(void)fleet_heard(t, &b, now, &changed);
}

/*
 * Beats out of order, of earlier incarnations and after a goodbye.
 */
static void
test_order(void **state)
{
	static const struct {
		uint64_t inc, seq, now;
		int taken, changed;
	} rows[] = {
		{ 5, 1, 1000, 1, 1 }, /* first heard */
		{ 5, 2, 1100, 1, 0 }, /* nothing new */
		{ 5, 2, 1150, 0, 0 }, /* repeated */
		{ 5, 1, 1160, 0, 0 }, /* overtaken */
		{ 4, 9, 1200, 0, 0 }, /* of an earlier incarnation */
		{ 6, 1, 1300, 1, 1 }, /* restarted */
		{ 5, 3, 1400, 0, 0 }, /* late from before the restart */
		{ 4, 1, 4000, 1, 1 }, /* its clock went back, long silent */
	};
	struct fleet_table t;
	struct fleet_beat b;
	char name[] = "b";
	int changed, h;
	size_t i;

	(void)state;
	fleet_table_init(&t, "a");
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		b = beat(name, rows[i].inc, rows[i].seq);
		h = fleet_heard(&t, &b, rows[i].now, &changed);
		assert_int_equal(h >= 0, rows[i].taken);
		assert_int_equal(changed, rows[i].changed);
	}
	fleet_said_bye(&t, &b, 4100);
	assert_false(fleet_alive(&t, 0, 4100));
	hear(&t, name, 7, 1, 4200);
	assert_true(fleet_alive(&t, 0, 4200));
	fleet_table_finish(&t);
}

/*
 * A node's own beat, sent back to it, names no peer.
 */
static void
test_self(void **state)
{
	struct fleet_table t;
	struct fleet_beat b;
	char name[] = "a";
	int changed;

	(void)state;
	fleet_table_init(&t, "a");
	b = beat(name, 1, 1);
	assert_int_equal(fleet_heard(&t, &b, 1, &changed), FLEET_SELF);
	assert_int_equal(t.count, 0);
	fleet_table_finish(&t);
}

/*
 * In a divided fleet only the larger part has owners; in a whole one all
 * nodes agree on them, and few change when one node goes.
 */
static void
test_owner(void **state)
{
	static char names[NODES][16];
	struct fleet_table t[2];
	int i, n, owner, mine = 0, same = 0;

	(void)state;
	for (i = 0; i < NODES; i++)
		snprintf(names[i], sizeof(names[i]), "n%d", i);
	for (n = 0; n < 2; n++) {
		fleet_table_init(&t[n], names[n]);
		for (i = 0; i < NODES; i++)
			if (i != n)
				hear(&t[n], names[i], 1, 1, 1000);
	}
	for (i = 1; i <= LIMITS; i++) {
		owner = fleet_owner(&t[0], (uint64_t)i, 1000);
		mine += owner == FLEET_SELF;
		n = fleet_owner(&t[1], (uint64_t)i, 1000);
		same +=
		    strcmp(
			owner == FLEET_SELF ? names[0] : t[0].peers[owner].node,
			n == FLEET_SELF ? names[1] : t[1].peers[n].node) == 0;
	}
	assert_int_equal(same, LIMITS);
	print_message("%d of %d own limits\n", mine, LIMITS);
	assert_true(mine > 0);
	assert_true(mine < LIMITS / 4);
	/* All but six others fall silent: seven of fifteen are no quorum. */
	for (i = 1; i <= 6; i++)
		hear(&t[0], names[i], 1, 2, 5000);
	assert_int_equal(fleet_owner(&t[0], 1, 5000), FLEET_NONE);
	hear(&t[0], names[7], 1, 2, 5000);
	assert_true(fleet_owner(&t[0], 1, 5000) != FLEET_NONE);
	fleet_table_finish(&t[0]);
	fleet_table_finish(&t[1]);
}

/*
 * A node that the store lists but nobody hears counts as known, so that a
 * node that is cut off at its start decides nothing alone.
 */
static void
test_cut_off_at_start(void **state)
{
	struct fleet_table t;

	(void)state;
	fleet_table_init(&t, "a");
	fleet_learn(&t, "b", 1, 1000);
	fleet_learn(&t, "c", 2, 1000);
	assert_int_equal(fleet_owner(&t, 1, 1000), FLEET_NONE);
	fleet_table_finish(&t);
}

/*
 * A pause of this process is no evidence against others; their silence is.
 */
static void
test_pause(void **state)
{
	struct fleet_table t;
	char name[] = "b";

	(void)state;
	fleet_table_init(&t, "a");
	hear(&t, name, 1, 1, 1000);
	fleet_paused(&t, 10000);
	assert_true(fleet_alive(&t, 0, 11050));
	assert_false(fleet_alive(&t, 0, 13000));
	fleet_tick(&t, 40000);
	assert_true(t.peers[0].gone);
	fleet_table_finish(&t);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_order),
		cmocka_unit_test(test_self),
		cmocka_unit_test(test_owner),
		cmocka_unit_test(test_cut_off_at_start),
		cmocka_unit_test(test_pause),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
