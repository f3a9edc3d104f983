#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "lease/lease.h"

#define LONG_MS 100000
#define LONG_WAIT (LONG_MS + LONG_MS / 100 + LEASE_TERM_MS + LEASE_MARGIN_MS)
#define TERM_WAIT (LEASE_TERM_MS + LEASE_MARGIN_MS)

static struct node_id make_node_id(int);
static enum lease_result apply_record(
    struct lease_table *, char *, uint64_t, uint64_t);
static struct lease_claim make_claim(uint64_t, int, int, int);
static enum lease_result apply_claim(
    struct lease_table *, const struct lease_claim *, uint64_t);
static void init_owned_table(struct lease_table *, int);

/*
 * Returns the id of node i, or no node for 0.
 */
static struct node_id
make_node_id(int i)
{
	struct node_id id = { 0, 0, 0 };

	if (i != 0) {
		id.addr = 0x7f000000 + (uint32_t)i;
		id.rpc_port = 7000;
		id.incarnation = 0xabc0 + (uint64_t)i;
	}
	return id;
}

/*
 * Applies an encoded record and frees it.
 */
static enum lease_result
apply_record(struct lease_table *t, char *text, uint64_t offset, uint64_t now)
{
	enum lease_result res;

	res = lease_apply(t, text, strlen(text), offset, now);
	free(text);
	return res;
}

/*
 * Returns a claim on partition 0.
 */
static struct lease_claim
make_claim(uint64_t prev, int by, int owner, int standby)
{
	struct lease_claim c = { 0, prev, prev + 1, make_node_id(by),
		make_node_id(owner), make_node_id(standby) };

	return c;
}

/*
 * Applies a claim as the next record.
 */
static enum lease_result
apply_claim(struct lease_table *t, const struct lease_claim *c, uint64_t now)
{
	return apply_record(t, lease_claim_encode(c), t->next, now);
}

/*
 * Initializes the table of node self.  Node 1 owns partition 0 since 0 ms, and
 * node 2 is its standby.
 */
static void
init_owned_table(struct lease_table *t, int self)
{
	struct node_id id = make_node_id(self);
	struct lease_claim c = make_claim(0, 1, 1, 2);

	lease_init(t, &id, LONG_MS);
	assert_int_equal(apply_claim(t, &c, 0), LEASE_ACCEPTED);
}

/*
 * The kind of a claim follows from its claimant, owner and standby, and sets
 * the delay before the new owner may act.
 */
static void
test_claim_kinds_and_delays(void **state)
{
	static const struct {
		uint64_t prev;
		int by, owner, standby;
		enum lease_result res;
		enum lease_kind kind;
		uint64_t wait;
	} cases[] = {
		{ 1, 1, 1, 3, LEASE_ACCEPTED, LEASE_STANDBY_CHANGE, 0 },
		{ 1, 1, 2, 3, LEASE_ACCEPTED, LEASE_HANDOVER,
		    LEASE_HANDOVER_MS },
		{ 1, 2, 2, 3, LEASE_ACCEPTED, LEASE_TAKEOVER, TERM_WAIT },
		{ 1, 2, 3, 2, LEASE_ACCEPTED, LEASE_SLOW_TAKEOVER, LONG_WAIT },
		{ 1, 3, 3, 4, LEASE_ACCEPTED, LEASE_SLOW_TAKEOVER, LONG_WAIT },
		{ 1, 3, 2, 4, LEASE_ACCEPTED, LEASE_SLOW_TAKEOVER, LONG_WAIT },
		{ 0, 3, 3, 4, LEASE_SUPERSEDED, LEASE_FIRST, 0 },
		{ 2, 2, 2, 4, LEASE_SUPERSEDED, LEASE_FIRST, 0 },
		{ 1, 2, 2, 2, LEASE_MALFORMED, LEASE_FIRST, 0 },
		{ 1, 0, 2, 3, LEASE_MALFORMED, LEASE_FIRST, 0 },
		{ 1, 2, 0, 3, LEASE_MALFORMED, LEASE_FIRST, 0 },
	};
	struct lease_table t;
	struct lease_claim c;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		init_owned_table(&t, 9);
		c = make_claim(cases[i].prev, cases[i].by, cases[i].owner,
		    cases[i].standby);
		assert_int_equal(apply_claim(&t, &c, 1000), cases[i].res);
		assert_int_equal(t.part[0].kind, cases[i].kind);
		if (cases[i].wait != 0)
			assert_int_equal(
			    t.part[0].effective_ms, 1000 + cases[i].wait);
		assert_int_equal(apply_claim(&t, &c, 2000),
		    cases[i].res == LEASE_ACCEPTED ? LEASE_SUPERSEDED
						   : cases[i].res);
		lease_finish(&t);
	}
}

/*
 * A takeover of a lease that is not in effect yet also waits for that lease,
 * because the first owner may still rely on promises.
 */
static void
test_takeover_keeps_earlier_delay(void **state)
{
	struct lease_claim slow = make_claim(1, 3, 3, 4),
			   quick = make_claim(2, 4, 4, 5);
	struct lease_table t;

	(void)state;
	init_owned_table(&t, 4);
	apply_claim(&t, &slow, 1000);
	apply_claim(&t, &quick, 2000);
	assert_int_equal(t.part[0].kind, LEASE_TAKEOVER);
	assert_int_equal(t.part[0].effective_ms, 1000 + LONG_WAIT);
	lease_confirm_read(&t, 5000);
	assert_int_equal(lease_valid_until(&t, 0, 5001), 0);
	lease_finish(&t);
}

/*
 * The authority of an owner rests on reads, and on promises for at most
 * LONG_MS after the last read.
 */
static void
test_owner_validity(void **state)
{
	struct lease_claim c = make_claim(1, 1, 1, 3);
	struct lease_table t;

	(void)state;
	init_owned_table(&t, 1);
	assert_int_equal(lease_valid_until(&t, 0, 10), 0);
	lease_confirm_read(&t, 1000);
	assert_int_equal(lease_valid_until(&t, 0, 2999), 3000);
	assert_int_equal(lease_valid_until(&t, 0, 3000), 0);
	lease_add_promise(&t, 0, 1, 2500);
	assert_int_equal(lease_valid_until(&t, 0, 3000), 4500);
	lease_add_promise(&t, 0, 7, 4000);
	assert_int_equal(lease_valid_until(&t, 0, 4400), 4500);
	lease_add_promise(&t, 0, 1, 1000 + LONG_MS);
	assert_int_equal(
	    lease_valid_until(&t, 0, 1000 + LONG_MS - 1), 1000 + LONG_MS);
	assert_int_equal(lease_valid_until(&t, 0, 1000 + LONG_MS), 0);

	/* Promises don't count while an own append may be written. */
	assert_int_equal(lease_append_begin(&t, &c), 0);
	assert_int_equal(lease_valid_until(&t, 0, LONG_MS), 0);
	lease_append_end(&t, &c, 0);
	assert_int_not_equal(lease_valid_until(&t, 0, LONG_MS), 0);
	lease_append_begin(&t, &c);
	lease_append_end(&t, &c, 1);
	lease_append_begin(&t, &c);
	lease_append_end(&t, &c, 0);
	assert_int_equal(lease_valid_until(&t, 0, LONG_MS), 0);

	/* Once it is read, promises for the new term count. */
	apply_claim(&t, &c, LONG_MS);
	lease_add_promise(&t, 0, 1, LONG_MS);
	assert_int_equal(lease_valid_until(&t, 0, LONG_MS), 0);
	lease_add_promise(&t, 0, 2, LONG_MS);
	assert_int_equal(lease_valid_until(&t, 0, LONG_MS), 1000 + LONG_MS);
	lease_finish(&t);
}

/*
 * A standby promises until it has begun a takeover.  It promises again only if
 * the takeover certainly was not written.
 */
static void
test_standby_promises(void **state)
{
	struct lease_claim c = make_claim(1, 2, 2, 3);
	struct node_id owner = make_node_id(1), other = make_node_id(5);
	struct lease_table t;

	(void)state;
	init_owned_table(&t, 2);
	assert_true(lease_may_promise(&t, 0, 1, &owner));
	assert_false(lease_may_promise(&t, 0, 1, &other));
	assert_false(lease_may_promise(&t, LEASE_PARTS, 1, &owner));
	assert_true(lease_may_promise(&t, 0, 2, &other));
	lease_append_begin(&t, &c);
	assert_false(lease_may_promise(&t, 0, 1, &owner));
	lease_append_end(&t, &c, 0);
	assert_true(lease_may_promise(&t, 0, 1, &owner));
	lease_append_begin(&t, &c);
	lease_append_end(&t, &c, 1);
	assert_false(lease_may_promise(&t, 0, 1, &owner));
	lease_set_log_start(&t, 50);
	assert_false(lease_may_promise(&t, 0, 1, &owner));
	lease_finish(&t);
	init_owned_table(&t, 2);
	lease_add_hint(&t, 0, 2, &other, &owner);
	assert_false(lease_may_promise(&t, 0, 1, &owner));
	lease_finish(&t);
}

/*
 * An owner stops acting before it appends a handover.  It acts again only if
 * the record certainly was not written.
 */
static void
test_handover_stops_owner(void **state)
{
	struct lease_claim c = make_claim(1, 1, 2, 3);
	struct lease_table t;

	(void)state;
	init_owned_table(&t, 1);
	lease_confirm_read(&t, 1000);
	lease_append_begin(&t, &c);
	assert_int_equal(lease_valid_until(&t, 0, 1001), 0);
	lease_append_end(&t, &c, 0);
	assert_int_equal(lease_valid_until(&t, 0, 1001), 3000);
	lease_append_begin(&t, &c);
	lease_append_end(&t, &c, 1);
	assert_int_equal(lease_valid_until(&t, 0, 1001), 0);
	lease_finish(&t);
}

/*
 * For decisions that the standby has to record, an owner goes on deciding
 * during its handover, and the standby decides as soon as it has read the
 * handover or its own takeover.  Another new owner waits until the loans have
 * expired.
 */
static void
test_replicated_validity(void **state)
{
	struct lease_claim to_standby = make_claim(1, 1, 2, 3);
	struct lease_claim to_other = make_claim(1, 1, 3, 2);
	struct lease_claim takeover = make_claim(1, 2, 2, 3);
	struct lease_claim alone = make_claim(1, 1, 1, 0);
	struct lease_claim handover_alone = make_claim(2, 1, 2, 0);
	const struct {
		int self;
		const struct lease_claim *claim;
		uint64_t now_ms;
		uint64_t want;
	} cases[] = {
		{ 2, &to_standby, 1000, 3000 },
		{ 2, &takeover, 1000, 3000 },
		{ 3, &to_other, 1000, 0 },
		{ 3, &to_other, 1000 + LEASE_HANDOVER_MS, 3000 },
		{ 1, &to_standby, 1000, 0 },
	};
	struct lease_table t;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		init_owned_table(&t, cases[i].self);
		apply_claim(&t, cases[i].claim, 1000);
		lease_confirm_read(&t, 1000);
		assert_int_equal(lease_replicated_until(&t, 0, cases[i].now_ms),
		    cases[i].want);
		lease_finish(&t);
	}
	init_owned_table(&t, 1);
	lease_confirm_read(&t, 1000);
	lease_append_begin(&t, &to_standby);
	assert_int_equal(lease_valid_until(&t, 0, 1001), 0);
	assert_int_equal(lease_replicated_until(&t, 0, 1001), 3000);
	lease_append_end(&t, &to_standby, 0);
	apply_claim(&t, &alone, 1000);
	lease_append_begin(&t, &handover_alone);
	assert_int_equal(lease_replicated_until(&t, 0, 1001), 0);
	lease_finish(&t);
}

/*
 * A peer's hint can end authority and redirect requests, but gives no
 * authority.
 */
static void
test_peer_hints_end_authority(void **state)
{
	struct node_id a = make_node_id(5), b = make_node_id(6),
		       self = make_node_id(1);
	struct lease_table t;
	struct lease_view v;

	(void)state;
	init_owned_table(&t, 1);
	lease_confirm_read(&t, 1000);
	lease_add_hint(&t, 0, 1, &a, &b);
	assert_int_equal(lease_valid_until(&t, 0, 1001), 3000);
	lease_add_hint(&t, 0, 5, &a, &b);
	lease_add_hint(&t, 0, 4, &b, &a);
	assert_int_equal(lease_valid_until(&t, 0, 1001), 0);
	lease_view(&t, 0, 1001, &v);
	assert_true(nodeid_equal(&v.owner, &a));
	assert_int_equal(v.term, 5);
	lease_add_hint(&t, 1, 3, &self, &a);
	assert_int_equal(lease_valid_until(&t, 1, 1001), 0);
	lease_finish(&t);
}

/*
 * A table that starts after the first record buffers claims until it reads a
 * snapshot of a position that is recent enough.
 */
static void
test_incomplete_table_loads_snapshot(void **state)
{
	struct lease_claim c2 = make_claim(1, 1, 1, 3),
			   c3 = make_claim(2, 1, 1, 4);
	struct lease_table t, late;
	struct node_id self = make_node_id(3), owner = make_node_id(1);
	char *old, *good;

	(void)state;
	init_owned_table(&t, 2);
	t.part[0].effective_ms = 900;
	old = lease_snapshot_encode(&t, 500);
	apply_claim(&t, &c2, 500);
	good = lease_snapshot_encode(&t, 500);
	apply_claim(&t, &c3, 500);

	lease_init(&late, &self, LONG_MS);
	lease_set_log_start(&late, 2);
	lease_confirm_read(&late, 10);
	assert_int_equal(lease_valid_until(&late, 0, 11), 0);
	assert_int_equal(apply_record(&late, lease_claim_encode(&c3), 2, 5000),
	    LEASE_BUFFERED);
	assert_int_equal(apply_record(&late, old, 3, 5000), LEASE_STALE);
	assert_int_equal(apply_record(&late, good, 4, 5000), LEASE_SNAPSHOT);
	assert_true(late.complete);
	assert_int_equal(late.part[0].term, 3);
	assert_true(nodeid_equal(&late.part[0].owner, &owner));
	assert_int_equal(late.part[0].effective_ms, 5400);
	assert_true(late.part[0].first);
	assert_int_equal(late.part[1].term, 0);

	/* A gap in the records restarts the table. */
	lease_set_log_start(&late, 9);
	assert_false(late.complete);
	assert_int_equal(late.part[0].term, 0);
	lease_finish(&late);
	lease_finish(&t);
}

/*
 * If no snapshot is found, the leases are reset: terms are higher than all
 * earlier ones, and new owners wait for the long delay.
 */
static void
test_reset_without_snapshot(void **state)
{
	struct node_id self = make_node_id(3);
	struct lease_claim c;
	struct lease_table t;

	(void)state;
	lease_init(&t, &self, LONG_MS);
	lease_set_log_start(&t, 40);
	c = make_claim(0, 3, 3, 4);
	assert_int_equal(lease_append_begin(&t, &c), -1);
	lease_confirm_read(&t, 1000);
	assert_false(lease_reset_due(&t, 1000 + LEASE_RESET_WAIT_MS - 1));
	assert_true(lease_reset_due(&t, 1000 + LEASE_RESET_WAIT_MS));
	assert_int_equal(
	    apply_record(&t, lease_reset_encode(), 40, 2000), LEASE_RESET);
	assert_int_equal(apply_claim(&t, &c, 2000), LEASE_SUPERSEDED);
	c = make_claim(41, 3, 3, 4);
	assert_int_equal(apply_claim(&t, &c, 2000), LEASE_ACCEPTED);
	assert_int_equal(t.part[0].kind, LEASE_VACANT);
	assert_false(t.part[0].first);
	assert_int_equal(t.part[0].effective_ms, 2000 + LONG_WAIT);
	lease_finish(&t);
	init_owned_table(&t, 1);
	lease_confirm_read(&t, 100);
	apply_record(&t, lease_reset_encode(), 1, 100);
	assert_int_equal(lease_valid_until(&t, 0, 101), 0);
	lease_finish(&t);
}

/*
 * Malformed records, truncated records and random bytes are dropped and
 * counted, and change no lease.
 */
static void
test_malformed_records_counted(void **state)
{
	static const char *const bad[] = { "", "{", "[]", "7", "{\"part\":0}",
		"{\"snapshot\":true}", "{\"snapshot\":true,\"parts\":[]}",
		"{\"part\":48,\"prev\":1,\"term\":2,\"by\":\"1.2.3.4:5/6\","
		"\"owner\":\"1.2.3.4:5/6\",\"standby\":null}",
		"{\"part\":0,\"prev\":1,\"term\":2,\"by\":\"1.2.3.999:5/6\","
		"\"owner\":\"1.2.3.4:5/6\",\"standby\":null}",
		"{\"part\":0,\"prev\":1,\"term\":9,\"by\":\"1.2.3.4:5/6\","
		"\"owner\":\"1.2.3.4:5/6\",\"standby\":null}",
		"{\"part\":0,\"prev\":-1,\"term\":0,\"by\":\"1.2.3.4:5/6\","
		"\"owner\":\"1.2.3.4:5/6\",\"standby\":null}" };
	size_t i, n = sizeof(bad) / sizeof(bad[0]), len;
	struct lease_claim c = make_claim(1, 1, 1, 3);
	struct lease_table t;
	char buf[64];
	char *text;

	(void)state;
	init_owned_table(&t, 1);
	for (i = 0; i < n; i++)
		assert_int_equal(
		    lease_apply(&t, bad[i], strlen(bad[i]), t.next, 5),
		    LEASE_MALFORMED);
	text = lease_claim_encode(&c);
	for (len = 0; len < strlen(text); len++)
		assert_int_equal(
		    lease_apply(&t, text, len, t.next, 5), LEASE_MALFORMED);
	n += len;
	free(text);
	srandom(7);
	for (i = 0; i < 2000; i++) {
		for (len = 0; len < sizeof(buf); len++)
			buf[len] = (char)random();
		lease_apply(&t, buf, sizeof(buf), t.next, 5);
	}
	assert_int_equal(t.malformed_count, n + i);
	assert_int_equal(t.part[0].term, 1);
	lease_finish(&t);
}

/*
 * Decisions of node self among six members in three failure domains, for
 * given owners, standbys and member states.
 */
static void
test_decisions_on_member_state(void **state)
{
	static const struct {
		const char *name;
		int self, owner, standby;
		int dead, dead2; /* numbers of dead members; 0: none */
		int leaving, stopping;
		uint64_t after; /* ms between two decisions; 0: only one */
		int claims, by_self;
	} cases[] = {
		{ "owner lives", 3, 1, 2, 0, 0, 0, 0, 0, 0, 0 },
		{ "standby takes over", 2, 1, 2, 1, 0, 0, 0, 0, 1, 1 },
		{ "others wait", 3, 1, 2, 1, 0, 0, 0, 20000, 0, 0 },
		{ "both dead: too early", 3, 1, 2, 1, 2, 0, 0, 14000, 0, 0 },
		{ "both dead", 3, 1, 2, 1, 2, 0, 0, 60000, 1, 1 },
		{ "idle standby", 3, 1, 2, 1, 0, 0, 0, 90000, 1, 1 },
		{ "dead standby replaced", 1, 1, 2, 2, 0, 0, 0, 0, 1, 1 },
		{ "leaving standby replaced", 1, 1, 2, 0, 0, 2, 0, 0, 1, 1 },
		{ "stopping owner hands over", 1, 1, 2, 0, 0, 1, 1, 0, 1, 0 },
		{ "stopping standby does nothing", 2, 1, 2, 1, 0, 2, 1, 0, 0,
		    0 },
	};
	struct lease_member m[6];
	struct lease_inputs in = { m, 6, NULL, NULL, 0 };
	struct lease_decider d;
	struct lease_table t;
	struct lease_claim c[LEASE_PARTS];
	struct node_id self;
	size_t i, j, n, k;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		for (j = 0; j < 6; j++) {
			m[j].id = make_node_id((int)j + 1);
			m[j].domain = (uint32_t)(j / 2);
			m[j].region = m[j].preferred = 1;
			m[j].alive = (int)j + 1 != cases[i].dead &&
				     (int)j + 1 != cases[i].dead2;
			m[j].leaving = (int)j + 1 == cases[i].leaving;
			m[j].age_ms = 1000;
		}
		self = make_node_id(cases[i].self);
		lease_init(&t, &self, LONG_MS);
		for (j = 0; j < LEASE_PARTS; j++) {
			c[0] = make_claim(0, cases[i].owner, cases[i].owner,
			    cases[i].standby);
			c[0].part = (uint32_t)j;
			apply_claim(&t, &c[0], 1);
		}
		lease_decider_init(&d);
		d.stopping = cases[i].stopping;
		lease_confirm_read(&t, 1000);
		in.now_ms = 1000;
		n = lease_decide(&d, &t, &in, c, LEASE_PARTS);
		if (cases[i].after != 0) {
			lease_confirm_read(&t, 1000 + cases[i].after);
			in.now_ms = 1000 + cases[i].after;
			n = lease_decide(&d, &t, &in, c, LEASE_PARTS);
		}
		if (n != (size_t)cases[i].claims * LEASE_PARTS)
			fail_msg("%s: %zu claims", cases[i].name, n);
		for (k = 0; k < n; k++) {
			assert_int_equal(
			    nodeid_equal(&c[k].owner, &self), cases[i].by_self);
			for (j = 0; j < 6; j++)
				if (nodeid_equal(&c[k].standby, &m[j].id))
					break;
			assert_true(j < 6 && m[j].alive && !m[j].leaving);
		}
		lease_finish(&t);
	}
}

/*
 * A standby takes over from a dead owner only if it sees at least half of the
 * members alive.
 */
static void
test_minority_claims_nothing(void **state)
{
	struct lease_member m[6];
	struct lease_inputs in = { m, 6, NULL, NULL, 1000 };
	struct lease_decider d;
	struct lease_table t;
	struct lease_claim c[LEASE_PARTS];
	int alive, i;

	(void)state;
	for (alive = 1; alive <= 5; alive++) {
		for (i = 0; i < 6; i++) {
			m[i].id = make_node_id(i + 1);
			m[i].domain = (uint32_t)(i / 2);
			m[i].region = m[i].preferred = 1;
			m[i].alive = i != 0 && i <= alive;
			m[i].leaving = 0;
			m[i].age_ms = 1000;
		}
		lease_init(&t, &m[1].id, LONG_MS);
		c[0] = make_claim(0, 1, 1, 2);
		apply_claim(&t, &c[0], 1);
		lease_decider_init(&d);
		lease_confirm_read(&t, 1000);
		assert_int_equal(
		    lease_decide(&d, &t, &in, c, LEASE_PARTS), alive >= 3);
		lease_finish(&t);
	}
}

/*
 * Nodes that decide in turn give each partition one owner in the failure domain
 * of its group, and a standby in another domain of the same region where there
 * is one.  Owners are in the preferred region, if there is one.
 */
static void
check_cold_start(int preferred)
{
	struct lease_member m[6];
	struct lease_inputs in = { m, 6, NULL, NULL, 1000 };
	struct lease_decider d[6];
	struct lease_table t[6];
	struct lease_claim c[LEASE_PARTS];
	size_t i, j, k, n;
	uint32_t owner, standby, domain;

	for (i = 0; i < 6; i++) {
		m[i].id = make_node_id((int)i + 1);
		m[i].domain = (uint32_t)(i / 2);
		m[i].region = 1 + (i < 4);
		m[i].preferred = preferred && i < 4;
		m[i].alive = 1;
		m[i].leaving = 0;
		m[i].age_ms = LEASE_MEMBER_STABLE_MS;
		lease_init(&t[i], &m[i].id, LONG_MS);
		lease_decider_init(&d[i]);
		lease_confirm_read(&t[i], 1000);
	}
	/* No node claims before LEASE_DISCOVERY_MS has passed. */
	in.count = 1;
	assert_int_equal(lease_decide(&d[0], &t[0], &in, c, LEASE_PARTS), 0);
	in.count = 6;
	for (i = 0; i < 6; i++) {
		assert_int_equal(
		    lease_decide(&d[i], &t[i], &in, c, LEASE_PARTS), 0);
		lease_confirm_read(&t[i], 1000 + LEASE_DISCOVERY_MS);
	}
	in.now_ms = 1000 + LEASE_DISCOVERY_MS;
	for (i = 0; i < 6; i++) {
		n = lease_decide(&d[i], &t[i], &in, c, LEASE_PARTS);
		for (k = 0; k < n; k++)
			for (j = 0; j < 6; j++)
				assert_int_equal(
				    apply_claim(&t[j], &c[k], 1000),
				    LEASE_ACCEPTED);
	}
	for (i = 0; i < LEASE_PARTS; i++) {
		owner = t[0].part[i].owner.addr - 0x7f000001;
		standby = t[0].part[i].standby.addr - 0x7f000001;
		domain = i / LEASE_GROUP_PARTS % (preferred ? 2 : 3);
		assert_int_equal(m[owner].domain, domain);
		assert_int_not_equal(m[standby].domain, domain);
		if (domain < 2)
			assert_int_equal(m[standby].region, m[owner].region);
	}
	in.now_ms += 500;
	for (i = 0; i < 6; i++) {
		assert_int_equal(
		    lease_decide(&d[i], &t[i], &in, c, LEASE_PARTS), 0);
		lease_finish(&t[i]);
	}
}

/*
 * A cold start places the leases, with and without a preferred region.
 */
static void
test_cold_start_places_leases(void **state)
{
	(void)state;
	check_cold_start(0);
	check_cold_start(1);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_claim_kinds_and_delays),
		cmocka_unit_test(test_takeover_keeps_earlier_delay),
		cmocka_unit_test(test_owner_validity),
		cmocka_unit_test(test_standby_promises),
		cmocka_unit_test(test_handover_stops_owner),
		cmocka_unit_test(test_replicated_validity),
		cmocka_unit_test(test_peer_hints_end_authority),
		cmocka_unit_test(test_incomplete_table_loads_snapshot),
		cmocka_unit_test(test_reset_without_snapshot),
		cmocka_unit_test(test_malformed_records_counted),
		cmocka_unit_test(test_decisions_on_member_state),
		cmocka_unit_test(test_minority_claims_nothing),
		cmocka_unit_test(test_cold_start_places_leases),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
