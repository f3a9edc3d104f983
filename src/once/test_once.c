#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "once/once.h"
#include "once/once_int.h"

#define NODES 4
#define START_MS 10000000
#define WALL_MS UINT64_C(1700000000000)
#define WINDOW_MS (ONCE_WINDOW_S * UINT64_C(1000))

/* All partitions share one lease, of which each node has its own view. */
static struct once nodes[NODES];
static struct lease_view views[NODES];
static uint64_t now_ms;
static int down[NODES];
static int answers_to_lose;
static uint64_t call_ms; /* duration of a call */

static uint64_t fake_clock(void);
static uint64_t fake_wall(void);
static struct node_id make_node_id(int);
static void lookup_view(void *, uint32_t, uint64_t, struct lease_view *);
static enum rpc_status call_node(void *, const struct node_id *,
    const struct rpc_proc *, const void *, void *, uint32_t);
static void set_lease(uint64_t, uint64_t, int, int, int);
static int setup(void **);
static int teardown(void **);
static struct once_key make_key(int);
static struct once_key make_uuid_key(int, uint64_t);
static enum once_verdict claim(int, const struct once_key *);

/*
 * Returns the simulated clock (ms).
 */
static uint64_t
fake_clock(void)
{
	return now_ms;
}

/*
 * Returns the simulated wall clock (ms).
 */
static uint64_t
fake_wall(void)
{
	return WALL_MS + now_ms - START_MS;
}

/*
 * Returns the id of node i, or that of no node if i is -1.
 */
static struct node_id
make_node_id(int i)
{
	struct node_id id = { 0x7f000001, (uint16_t)(7000 + i), 1 };
	struct node_id none = { 0, 0, 0 };

	return i < 0 ? none : id;
}

/*
 * Returns the view of the node in ctx.
 */
static void
lookup_view(void *ctx, uint32_t part, uint64_t now, struct lease_view *v)
{
	(void)part;
	*v = views[(struct once *)ctx - nodes];
	if (now >= v->valid_until_ms)
		v->valid_until_ms = 0;
	if (now >= v->replicated_until_ms)
		v->replicated_until_ms = 0;
}

/*
 * Calls another node directly, or times out if it is down.
 */
static enum rpc_status
call_node(void *ctx, const struct node_id *to, const struct rpc_proc *p,
    const void *arg, void *res, uint32_t timeout_ms)
{
	int i = to->rpc_port - 7000;

	(void)ctx;
	if (down[i]) {
		now_ms += timeout_ms;
		return RPC_TIMEOUT;
	}
	p->handle(&nodes[i], NULL, arg, res);
	now_ms += call_ms;
	return answers_to_lose-- > 0 ? RPC_TIMEOUT : RPC_DONE;
}

/*
 * Sets a lease, effective now, in the views of all nodes that are not down.
 */
static void
set_lease(uint64_t term, uint64_t tenure, int owner, int standby, int first)
{
	int i;

	for (i = 0; i < NODES; i++) {
		if (down[i])
			continue;
		memset(&views[i], 0, sizeof(views[i]));
		views[i].owner = make_node_id(owner);
		views[i].standby = make_node_id(standby);
		views[i].term = term;
		views[i].tenure = tenure;
		views[i].first = first;
		views[i].effective_ms = now_ms;
		if (i == owner)
			views[i].valid_until_ms = views[i].replicated_until_ms =
			    UINT64_MAX;
	}
}

/*
 * Initializes the nodes.  Node 0 is the first owner and node 1 its standby.
 */
static int
setup(void **state)
{
	struct once_config cfg = { .lookup = lookup_view,
		.call = call_node,
		.clock_ms = fake_clock,
		.wall_ms = fake_wall };
	int i;

	(void)state;
	now_ms = START_MS;
	answers_to_lose = 0;
	call_ms = 0;
	memset(down, 0, sizeof(down));
	for (i = 0; i < NODES; i++) {
		cfg.self = make_node_id(i);
		cfg.lookup_ctx = &nodes[i];
		once_init(&nodes[i], &cfg);
	}
	set_lease(1, 1, 0, 1, 1);
	return 0;
}

/*
 * Frees the nodes.
 */
static int
teardown(void **state)
{
	int i;

	(void)state;
	for (i = 0; i < NODES; i++)
		once_finish(&nodes[i]);
	return 0;
}

/*
 * Returns the key of the i-th id, which contains no time.
 */
static struct once_key
make_key(int i)
{
	struct once_key k;
	char buf[32];

	snprintf(buf, sizeof(buf), "order-%d", i);
	once_key(&k, "acme", buf);
	return k;
}

/*
 * Returns the key of the i-th UUID of version 7, made at a simulated time.
 */
static struct once_key
make_uuid_key(int i, uint64_t at_ms)
{
	uint64_t stamp = WALL_MS + at_ms - START_MS;
	struct once_key k;
	char buf[64];

	snprintf(buf, sizeof(buf), "%08x-%04x-7000-8000-%012x",
	    (unsigned int)(stamp >> 16), (unsigned int)(stamp & 0xffff),
	    (unsigned int)i);
	once_key(&k, "acme", buf);
	assert_int_equal(k.stamp_ms, stamp);
	return k;
}

/*
 * Claims an id through an entry.
 */
static enum once_verdict
claim(int entry, const struct once_key *k)
{
	struct once_claim c;

	return once_claim(&nodes[entry], k, &c);
}

/*
 * An id is claimed once.  Equal ids of two workspaces are different ids.
 */
static void
test_id_claimed_once(void **state)
{
	struct once_key k = make_key(1), other;

	(void)state;
	once_key(&other, "zeta", "order-1");
	assert_int_equal(claim(2, &k), ONCE_GRANTED);
	assert_int_equal(claim(3, &k), ONCE_DUPLICATE);
	assert_int_equal(claim(0, &k), ONCE_DUPLICATE);
	assert_int_equal(claim(1, &other), ONCE_GRANTED);
}

/*
 * Only UUIDs of version 7 have a time.
 */
static void
test_uuid_times(void **state)
{
	static const struct {
		const char *id;
		uint64_t stamp;
	} cases[] = {
		{ "018bcfe5-6800-7abc-8def-0123456789ab", 0x018bcfe56800 },
		{ "018BCFE5-6800-7ABC-BDEF-0123456789AB", 0x018bcfe56800 },
		{ "018bcfe5-6800-4abc-8def-0123456789ab", 0 },
		{ "018bcfe5-6800-7abc-cdef-0123456789ab", 0 },
		{ "018bcfe5-6800-7abc-8def-0123456789a", 0 },
		{ "018bcfe5x6800-7abc-8def-0123456789ab", 0 },
		{ "018bcfeg-6800-7abc-8def-0123456789ab", 0 },
		{ "", 0 },
	};
	struct once_key k;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		once_key(&k, "acme", cases[i].id);
		assert_int_equal(k.stamp_ms, cases[i].stamp);
	}
}

/*
 * After a takeover the former standby has every id, and passes all of them
 * on to the next standby.
 */
static void
test_takeover_has_all_ids(void **state)
{
	struct once_key k;
	int i;

	(void)state;
	for (i = 0; i < 500; i++) {
		k = make_key(i);
		assert_int_equal(claim(2, &k), ONCE_GRANTED);
	}
	once_maintain(&nodes[0]);
	assert_true(once_standby_ready(&nodes[0], 7));
	down[0] = 1;
	now_ms += 3000;
	set_lease(2, 2, 1, 3, 0);
	for (i = 0; i < 500; i++) {
		k = make_key(i);
		assert_int_equal(claim(2, &k), ONCE_DUPLICATE);
	}
	k = make_key(i);
	assert_int_equal(claim(2, &k), ONCE_GRANTED);
	/* The next standby receives the whole memory. */
	assert_false(once_standby_ready(&nodes[1], 7));
	once_maintain(&nodes[1]);
	assert_true(once_standby_ready(&nodes[1], 7));
	down[1] = 1;
	set_lease(3, 3, 3, 2, 0);
	for (i = 0; i <= 500; i++) {
		k = make_key(i);
		assert_int_equal(claim(2, &k), ONCE_DUPLICATE);
	}
	k = make_key(i);
	assert_int_equal(claim(2, &k), ONCE_GRANTED);
}

/*
 * A standby that becomes the owner serves at once if it received the whole
 * memory, also for entries that don't know its lease.  Otherwise it serves
 * nothing until its lease is in effect.
 */
static void
test_standby_becomes_owner(void **state)
{
	struct once_key old = make_key(1), k;
	int copy_complete;

	for (copy_complete = 0; copy_complete < 2; copy_complete++) {
		teardown(state);
		setup(state);
		assert_int_equal(claim(2, &old), ONCE_GRANTED);
		if (copy_complete)
			once_maintain(&nodes[0]);
		down[2] = down[0] = 1; /* they don't learn of the new lease */
		set_lease(2, 2, 1, 3, 0);
		down[2] = down[0] = 0;
		views[1].valid_until_ms = 0;
		k = make_key(2);
		assert_int_equal(claim(2, &k),
		    copy_complete ? ONCE_GRANTED : ONCE_UNAVAILABLE);
		once_maintain(&nodes[2]);
		assert_int_equal(claim(2, &k),
		    copy_complete ? ONCE_DUPLICATE : ONCE_UNAVAILABLE);
		assert_int_equal(claim(2, &old), ONCE_DUPLICATE);
		down[0] = 1;
		k = make_key(3);
		assert_int_equal(claim(2, &k),
		    copy_complete ? ONCE_GRANTED : ONCE_UNAVAILABLE);
		assert_int_equal(claim(2, &old),
		    copy_complete ? ONCE_DUPLICATE : ONCE_UNAVAILABLE);
	}
}

/*
 * A claim waits for an owner, but not longer than its limit.
 */
static void
test_claim_waits_for_owner(void **state)
{
	struct once_key k = make_key(1);
	struct once_claim c;

	(void)state;
	down[0] = down[1] = 1;
	assert_int_equal(
	    once_claim_wait(&nodes[2], &k, 1000, &c), ONCE_UNAVAILABLE);
	assert_true(now_ms >= START_MS + 900);
	assert_true(now_ms <= START_MS + 1500);
	down[0] = down[1] = 0;
	answers_to_lose = 2 * ONCE_RPC_TRIES; /* reserved, but not claimed */
	assert_int_equal(
	    once_claim_wait(&nodes[2], &k, 1000, &c), ONCE_GRANTED);
	once_maintain(&nodes[2]);
	assert_int_equal(claim(3, &k), ONCE_DUPLICATE);
}

/*
 * An owner that did not receive the whole memory can't judge ids without a
 * time.  An id made after its lease began is new, with a margin for clock
 * skew.
 */
static void
test_incomplete_memory(void **state)
{
	struct once_key a = make_key(1), b = make_key(2), v;

	(void)state;
	assert_int_equal(claim(2, &a), ONCE_GRANTED);
	down[0] = down[1] = 1;
	now_ms += 700000;
	set_lease(2, 2, 3, 2, 0);
	now_ms += 20000;
	assert_int_equal(claim(2, &a), ONCE_UNKNOWN);
	assert_int_equal(claim(2, &b), ONCE_UNKNOWN);
	v = make_uuid_key(1, now_ms - 20000 + 9999);
	assert_int_equal(claim(2, &v), ONCE_UNKNOWN);
	v = make_uuid_key(1, now_ms - 20000 + 10001);
	assert_int_equal(claim(2, &v), ONCE_GRANTED);
	assert_int_equal(claim(2, &v), ONCE_DUPLICATE);
	v = make_uuid_key(2, now_ms + ONCE_CLOCK_SKEW_MAX_MS + 1);
	assert_int_equal(claim(2, &v), ONCE_UNAVAILABLE);
	now_ms += WINDOW_MS - 20000;
	assert_int_equal(claim(2, &b), ONCE_GRANTED);
	/* Ids with a time before the window can't be claimed. */
	v = make_uuid_key(
	    3, now_ms - WINDOW_MS + 2 * ONCE_CLOCK_SKEW_MAX_MS - 1);
	assert_int_equal(claim(2, &v), ONCE_UNKNOWN);
}

/*
 * Without the standby's note an id is not claimed, and can be claimed later.
 */
static void
test_claim_needs_note(void **state)
{
	struct once_key k = make_key(1);

	(void)state;
	down[1] = 1;
	assert_int_equal(claim(2, &k), ONCE_UNAVAILABLE);
	down[1] = 0;
	once_maintain(&nodes[2]);
	assert_int_equal(claim(2, &k), ONCE_GRANTED);
	/* A lost answer causes a second call, not a second claim. */
	k = make_key(2);
	answers_to_lose = 1;
	assert_int_equal(claim(2, &k), ONCE_GRANTED);
	assert_int_equal(claim(2, &k), ONCE_DUPLICATE);
	set_lease(2, 1, 0, -1, 1);
	/* Without a standby none has to note it; no successor is complete. */
	k = make_key(3);
	assert_int_equal(claim(2, &k), ONCE_GRANTED);
	assert_int_equal(claim(1, &k), ONCE_DUPLICATE);
	down[0] = 1;
	now_ms += 20000;
	set_lease(3, 3, 1, 2, 0);
	assert_int_equal(claim(2, &k), ONCE_UNKNOWN);
}

/*
 * A claim fails if its answers come late, as when the entry was suspended.
 */
static void
test_late_answers_fail_claim(void **state)
{
	struct once_key k = make_key(1);

	(void)state;
	call_ms = ONCE_CLAIM_TIMEOUT_MS / 2;
	assert_int_equal(claim(2, &k), ONCE_UNAVAILABLE);
	call_ms--;
	k = make_key(2);
	assert_int_equal(claim(2, &k), ONCE_GRANTED);
}

/*
 * A release removes an id only for the attempt that claimed it, also if it
 * arrives late.
 */
static void
test_release_by_own_attempt(void **state)
{
	struct once_key k = make_key(1);
	struct once_claim c, d;

	(void)state;
	assert_int_equal(once_claim(&nodes[2], &k, &c), ONCE_GRANTED);
	once_release(&nodes[2], &c);
	once_maintain(&nodes[2]);
	assert_int_equal(once_claim(&nodes[3], &k, &d), ONCE_GRANTED);
	once_release(&nodes[2], &c);
	once_maintain(&nodes[2]);
	assert_int_equal(claim(3, &k), ONCE_DUPLICATE);
	once_maintain(&nodes[0]);
	down[0] = 1;
	set_lease(2, 2, 1, 3, 0);
	assert_int_equal(claim(3, &k), ONCE_DUPLICATE);
}

/*
 * A note or a page of a past term is refused, since the node that received
 * it might already serve as owner.
 */
static void
test_notes_of_past_term(void **state)
{
	struct once_key k = make_key(1);
	once_note_arg note = { .attempt = 5, .term = 1 };
	once_note_res noted;
	once_copy_arg copy = { .part = 0, .term = 1, .last = 1 };
	once_copy_res copy_res;
	struct lease_view old = views[0], stale = views[1];

	(void)state;
	once_maintain(&nodes[0]);
	set_lease(2, 2, 1, 3, 0);
	views[0] = old; /* suspended, still believes it is the owner */
	memcpy(note.id, k.id.byte, sizeof(note.id));
	once_serve_note(&nodes[1], &note, &noted);
	assert_false(noted.noted);
	once_serve_copy(&nodes[1], &copy, &copy_res);
	assert_false(copy_res.accepted);
	views[2].owner = make_node_id(0);
	assert_int_equal(claim(2, &k), ONCE_UNAVAILABLE);
	assert_int_equal(claim(3, &k), ONCE_GRANTED);
	/* The same if the node's view is older than its last decisions. */
	views[1] = stale;
	once_serve_note(&nodes[1], &note, &noted);
	assert_false(noted.noted);
	/* A term that the node hasn't read yet is accepted from the owner. */
	note.term = 9;
	once_serve_note(&nodes[2], &note, &noted);
	assert_true(noted.noted);
	note.term = 8;
	once_serve_note(&nodes[2], &note, &noted);
	assert_false(noted.noted);
}

/*
 * An owner that has copied its memory to the standby of a newer term
 * reserves nothing when its view falls back to the old term.
 */
static void
test_stale_owner_view(void **state)
{
	struct lease_view old = views[0];
	struct once_key k = make_key(1);
	once_claim_arg arg = { .attempt = 3 };
	once_claim_res res;

	(void)state;
	set_lease(2, 1, 0, 3, 1);
	once_maintain(&nodes[0]);
	views[0] = old;
	memcpy(arg.id, k.id.byte, sizeof(arg.id));
	once_serve_claim(&nodes[0], &arg, &res);
	assert_int_equal(res.status, ONCE_NOT_OWNER);
}

/*
 * The memory is bounded.  When it is full, new ids are refused and stored
 * ids are retained until their window has passed.
 */
static void
test_memory_bound(void **state)
{
	struct memory_budget budget;
	struct once_memory m;
	struct once_id id;
	uint32_t i, added = 0;

	(void)state;
	atomic_init(&budget.left, 1024);
	memory_init(&m, &budget);
	memset(&id, 0, sizeof(id));
	for (i = 0; i < 2000; i++) {
		memcpy(&id.byte[8], &i, sizeof(i));
		if (memory_add(&m, &id, 1, 100, 100) == MEMORY_ADDED)
			added++;
	}
	assert_in_range(added, 256, 1024);
	for (i = 0; i < added; i++) {
		memcpy(&id.byte[8], &i, sizeof(i));
		assert_int_equal(
		    memory_add(&m, &id, 2, 700, 700), MEMORY_OTHER_ATTEMPT);
	}
	memcpy(&id.byte[8], &i, sizeof(i));
	assert_int_equal(memory_add(&m, &id, 2, 701, 701), MEMORY_FULL);
	assert_int_equal(memory_add(&m, &id, 2, 702, 702), MEMORY_ADDED);
	assert_int_equal(m.used, 1);
	memory_finish(&m);
	assert_int_equal(atomic_load(&budget.left), 1024);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
		    test_id_claimed_once, setup, teardown),
		cmocka_unit_test(test_uuid_times),
		cmocka_unit_test_setup_teardown(
		    test_takeover_has_all_ids, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_standby_becomes_owner, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_claim_waits_for_owner, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_incomplete_memory, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_claim_needs_note, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_late_answers_fail_claim, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_release_by_own_attempt, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_notes_of_past_term, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_stale_owner_view, setup, teardown),
		cmocka_unit_test(test_memory_bound),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
