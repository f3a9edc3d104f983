#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "base/clock.h"
#include "quarantine/quarantine.h"
#include "quarantine/quarantine_xdr.h"

#define NOW start_ms /* the handlers read the clock */
#define NODES 3
#define SERVERS 3
#define COPIES 10
#define FREQUENT_RUNS 4
#define SUSPECTS 100000
#define THREADS 8
#define RUNS 2000

static uint64_t start_ms;
static struct quarantine nodes[NODES];
static int broadcasts_lost;

/*
 * Delivers a broadcast to the other nodes, encoded and decoded on the way.
 */
static void
broadcast(void *ctx, const struct rpc_proc *proc, const void *arg)
{
	char buf[RPC_BODY_MAX];
	quarantine_report_arg received;
	quarantine_report_res res;
	XDR x;
	int i;

	for (i = 0; i < NODES && !broadcasts_lost; i++) {
		if (&nodes[i] == ctx)
			continue;
		xdrmem_create(&x, buf, sizeof(buf), XDR_ENCODE);
		assert_true(proc->arg_xdr(&x, (void *)(uintptr_t)arg));
		xdrmem_create(&x, buf, sizeof(buf), XDR_DECODE);
		memset(&received, 0, sizeof(received));
		assert_true(proc->arg_xdr(&x, &received));
		proc->handle(&nodes[i], NULL, &received, &res);
		xdr_free((xdrproc_t)proc->arg_xdr, (char *)&received);
	}
}

/*
 * Calls a handler of the node whose index is the peer's address.
 */
static enum rpc_status
call_node(void *ctx, const struct node_id *to, const struct rpc_proc *proc,
    const void *arg, void *res, uint32_t timeout_ms)
{
	(void)ctx;
	(void)timeout_ms;
	return proc->handle(&nodes[to->addr], NULL, arg, res) == 0
		   ? RPC_DONE
		   : RPC_TIMEOUT;
}

/*
 * Initializes all nodes.
 */
static int
setup(void **state)
{
	int i;

	(void)state;
	broadcasts_lost = 0;
	for (i = 0; i < NODES; i++)
		quarantine_init(&nodes[i], broadcast, &nodes[i]);
	return 0;
}

/*
 * Frees all nodes.
 */
static int
teardown(void **state)
{
	int i;

	(void)state;
	for (i = 0; i < NODES; i++)
		quarantine_finish(&nodes[i]);
	return 0;
}

/*
 * The state of one fingerprint after a sequence of events, one letter each.
 */
static void
test_state_after_events(void **state)
{
	static const struct {
		/*
		 * a to c: report of that crash, A to C: clearance of it,
		 * s: successful run, w: half of the lifetime passes
		 */
		const char *steps;
		enum quarantine_state last;
	} rows[] = {
		{ "", QUARANTINE_UNRESTRICTED },
		{ "a", QUARANTINE_SUSPECT },
		{ "aa", QUARANTINE_SUSPECT },
		{ "ab", QUARANTINE_REFUSED },
		{ "ba", QUARANTINE_REFUSED },
		{ "as", QUARANTINE_UNRESTRICTED },
		{ "asb", QUARANTINE_UNRESTRICTED },
		{ "sab", QUARANTINE_UNRESTRICTED },
		{ "sabc", QUARANTINE_REFUSED },
		{ "sabcs", QUARANTINE_UNRESTRICTED },
		{ "abs", QUARANTINE_UNRESTRICTED },
		{ "aA", QUARANTINE_UNRESTRICTED },
		{ "Aa", QUARANTINE_UNRESTRICTED },
		{ "aAa", QUARANTINE_UNRESTRICTED },
		{ "Aab", QUARANTINE_SUSPECT },
		{ "abA", QUARANTINE_SUSPECT },
		{ "abw", QUARANTINE_REFUSED },
		{ "abww", QUARANTINE_UNRESTRICTED },
		{ "awbw", QUARANTINE_SUSPECT },
		{ "awbaw", QUARANTINE_SUSPECT },
		{ "wwa", QUARANTINE_SUSPECT },
	};
	struct quarantine_fingerprint p = { 5, 9 }, other = { 5, 8 };
	struct quarantine_table *t;
	uint64_t crash_ids[QUARANTINE_CRASHES_MAX], now;
	const char *c;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		t = calloc(1, sizeof(*t));
		assert_non_null(t);
		now = NOW;
		for (c = rows[i].steps; *c != '\0'; c++) {
			if (*c == 's')
				table_record_success(t, &p, now, crash_ids);
			else if (*c == 'w')
				now += QUARANTINE_REPORT_TTL_MS / 2;
			else
				table_add_report(t, &p, (uint64_t)(*c & 31),
				    *c < 'a', now, now);
		}
		assert_int_equal(table_get_state(t, &p, now), rows[i].last);
		assert_int_equal(
		    table_get_state(t, &other, now), QUARANTINE_UNRESTRICTED);
		free(t);
	}
}

/*
 * A request that crashes its server is sent repeatedly, each time to another
 * node, to a service whose servers restart.  It may crash at most two of
 * them.
 */
static void
test_resent_request_crashes_two(void **state)
{
	struct quarantine_fingerprint p;
	struct quarantine_run run;
	uint64_t now = NOW;
	int i, crashes = 0, refused = 0;

	(void)state;
	quarantine_fingerprint(&p, "acme", "POST", "/orders", "boom", 4);
	for (i = 0; i < COPIES; i++, now += 10) {
		if (quarantine_check(&nodes[i % NODES], &p, now) ==
			QUARANTINE_REFUSED ||
		    quarantine_begin(
			&nodes[(i + 1) % NODES], &run, &p, 1, now) != 0) {
			refused++;
			continue;
		}
		quarantine_end(&nodes[(i + 1) % NODES], &run,
		    QUARANTINE_RESULT_FAILED, now);
		quarantine_report_crash(
		    &nodes[(i + 1) % NODES], 100 + (uint64_t)i, now);
		crashes++;
	}
	assert_int_equal(crashes, 2);
	assert_int_equal(refused, COPIES - 2);
	assert_int_equal(
	    quarantine_check(&nodes[0], &p, now + QUARANTINE_REPORT_TTL_MS),
	    QUARANTINE_UNRESTRICTED);
}

/*
 * Of two suspect requests one waits while the other runs, so that another
 * crash is charged to one of them only.  Other requests don't wait.
 */
static void
test_suspects_run_one_at_a_time(void **state)
{
	struct quarantine_run run[3];
	struct quarantine_fingerprint p[3] = { { 1, 1 }, { 2, 2 }, { 3, 3 } };
	struct quarantine *q = &nodes[0];

	(void)state;
	assert_int_equal(quarantine_begin(q, &run[0], &p[0], 1, NOW), 0);
	assert_int_equal(quarantine_begin(q, &run[1], &p[1], 1, NOW), 0);
	assert_int_equal(quarantine_report_crash(q, 7, NOW), 2);
	quarantine_end(q, &run[0], QUARANTINE_RESULT_FAILED, NOW);
	assert_int_equal(quarantine_begin(q, &run[0], &p[0], 1, NOW), 1);
	quarantine_end(q, &run[1], QUARANTINE_RESULT_FAILED, NOW);
	assert_int_equal(quarantine_begin(q, &run[0], &p[0], 1, NOW), 0);
	assert_int_equal(quarantine_begin(q, &run[1], &p[1], 1, NOW), 1);
	assert_int_equal(quarantine_begin(q, &run[2], &p[2], 1, NOW), 0);
	assert_int_equal(quarantine_report_crash(q, 8, NOW), 2);
	quarantine_end(q, &run[0], QUARANTINE_RESULT_FAILED, NOW);
	quarantine_end(q, &run[2], QUARANTINE_RESULT_FAILED, NOW);
	assert_int_equal(quarantine_check(q, &p[0], NOW), QUARANTINE_REFUSED);
	assert_int_equal(quarantine_check(q, &p[1], NOW), QUARANTINE_SUSPECT);
}

/*
 * Copies of a request that crashes its server arrive through all entries at
 * once.  Those already in flight may each crash their server.  All later
 * ones are sent to one server, one at a time, so at most one more server
 * crashes.
 */
static void
test_concurrent_copies_crash_two(void **state)
{
	struct node_id ids[SERVERS] = { { 0, 1, 1 }, { 1, 1, 1 }, { 2, 1, 1 } };
	int usable[SERVERS] = { 1, 1, 1 }, server, i, crashes, begun = 0;
	struct quarantine_fingerprint p;
	struct quarantine_run run[COPIES];

	(void)state;
	quarantine_fingerprint(&p, "acme", "GET", "/x", NULL, 0);
	assert_int_equal(quarantine_begin(&nodes[0], &run[0], &p, 1, NOW), 0);
	quarantine_report_crash(&nodes[0], 1, NOW);
	quarantine_end(&nodes[0], &run[0], QUARANTINE_RESULT_FAILED, NOW);
	crashes = 1;
	server = quarantine_choose_server(&p, ids, usable, SERVERS);
	for (i = 0; i < COPIES; i++) {
		assert_int_equal(quarantine_check(&nodes[i % NODES], &p, NOW),
		    QUARANTINE_SUSPECT);
		assert_int_equal(
		    quarantine_choose_server(&p, ids, usable, SERVERS), server);
		begun +=
		    quarantine_begin(&nodes[server], &run[i], &p, 1, NOW) == 0;
	}
	assert_int_equal(begun, 1);
	quarantine_report_crash(&nodes[server], 2, NOW);
	crashes++;
	for (i = 0; i < NODES; i++)
		assert_int_equal(
		    quarantine_check(&nodes[i], &p, NOW), QUARANTINE_REFUSED);
	assert_int_equal(crashes, 2);
	quarantine_end(&nodes[server], &run[0], QUARANTINE_RESULT_FAILED, NOW);
	usable[server] = 0;
	assert_int_not_equal(
	    quarantine_choose_server(&p, ids, usable, SERVERS), server);
}

/*
 * A frequent harmless request is in flight at both crashes.  It is never
 * refused at a node that has seen it succeed, and elsewhere only until a
 * copy has succeeded.
 */
static void
test_frequent_request_is_cleared(void **state)
{
	struct quarantine_run run[FREQUENT_RUNS];
	struct quarantine_fingerprint p;
	int i;

	(void)state;
	quarantine_fingerprint(&p, "acme", "GET", "/catalogue", NULL, 0);
	for (i = 0; i < FREQUENT_RUNS; i++)
		assert_int_equal(
		    quarantine_begin(&nodes[i % 2], &run[i], &p, 1, NOW), 0);
	quarantine_record_success(&nodes[2], &p, NOW);
	quarantine_end(&nodes[1], &run[3], QUARANTINE_RESULT_UNKNOWN, NOW);
	quarantine_report_crash(&nodes[0], 1, NOW);
	quarantine_report_crash(&nodes[1], 2, NOW);
	assert_int_equal(
	    quarantine_check(&nodes[0], &p, NOW), QUARANTINE_REFUSED);
	assert_int_equal(
	    quarantine_check(&nodes[2], &p, NOW), QUARANTINE_UNRESTRICTED);
	assert_int_equal(quarantine_begin(&nodes[2], &run[3], &p, 1, NOW), 0);
	quarantine_end(&nodes[2], &run[3], QUARANTINE_RESULT_COMPLETE, NOW + 1);
	for (i = 0; i < NODES; i++)
		assert_int_equal(quarantine_check(&nodes[i], &p, NOW + 1),
		    QUARANTINE_UNRESTRICTED);
	for (i = 0; i < FREQUENT_RUNS - 1; i++)
		quarantine_end(
		    &nodes[i % 2], &run[i], QUARANTINE_RESULT_FAILED, NOW);
}

/*
 * Calls with a different fingerprint each time are still refused because of
 * their root request, and a successful call doesn't clear the root request.
 */
static void
test_root_request_is_charged(void **state)
{
	struct quarantine_fingerprint p[2], root;
	struct quarantine_run run;
	int i;

	(void)state;
	quarantine_fingerprint(&root, "acme", "POST", "/orders", "boom", 4);
	for (i = 0; i < 2; i++) {
		p[0] = (struct quarantine_fingerprint){ 70 + (uint64_t)i, 7 };
		p[1] = root;
		assert_int_equal(
		    quarantine_begin(&nodes[i], &run, p, 2, NOW), 0);
		quarantine_report_crash(&nodes[i], 1 + (uint64_t)i, NOW);
		quarantine_end(&nodes[i], &run, QUARANTINE_RESULT_FAILED, NOW);
		p[0].lo += 10;
		if (quarantine_begin(&nodes[2], &run, p, 2, NOW) == 0)
			quarantine_end(
			    &nodes[2], &run, QUARANTINE_RESULT_COMPLETE, NOW);
	}
	assert_int_equal(
	    quarantine_check(&nodes[2], &root, NOW), QUARANTINE_REFUSED);
}

/*
 * A node that has received no broadcast gets all reports from a peer.
 */
static void
test_sync_after_lost_broadcasts(void **state)
{
	struct node_id peer = { 0, 1, 1 };
	struct quarantine_fingerprint p;
	uint64_t i, now = clock_ms();

	(void)state;
	broadcasts_lost = 1;
	for (i = 0; i < 200; i++) {
		p = (struct quarantine_fingerprint){ i * 77, i };
		quarantine_merge_report(&nodes[0], &p, 1, 0, 5, now);
		quarantine_merge_report(&nodes[0], &p, 2, 0, 5, now);
		quarantine_merge_report(&nodes[0], &p, 3, 1, 5, now);
	}
	assert_int_equal(quarantine_sync(&nodes[1], call_node, NULL, &peer), 0);
	for (i = 0; i < 200; i++) {
		p = (struct quarantine_fingerprint){ i * 77, i };
		assert_int_equal(
		    quarantine_check(&nodes[1], &p, now), QUARANTINE_REFUSED);
	}
}

/*
 * Many suspects stay within the table's bound and don't evict a request that
 * is refused.  Prints the cost of a request.
 */
static void
test_table_bound(void **state)
{
	struct quarantine_fingerprint p = { 1, 1 }, f;
	struct quarantine_run run;
	uint64_t i, t;

	(void)state;
	broadcasts_lost = 1;
	quarantine_merge_report(&nodes[0], &p, 1, 0, 0, NOW);
	quarantine_merge_report(&nodes[0], &p, 2, 0, 0, NOW);
	for (i = 1; i <= SUSPECTS; i++) {
		f = (struct quarantine_fingerprint){ i * 512 + 1, i };
		quarantine_merge_report(&nodes[0], &f, i, 0, 0, NOW + i);
	}
	assert_int_equal(quarantine_check(&nodes[0], &p, NOW + SUSPECTS),
	    QUARANTINE_REFUSED);
	assert_true(nodes[0].table->suspects <= QUARANTINE_WAYS);
	t = clock_us();
	for (i = 0; i < SUSPECTS; i++) {
		f = (struct quarantine_fingerprint){ i, i };
		quarantine_check(&nodes[0], &f, NOW);
		if (quarantine_begin(&nodes[0], &run, &f, 1, NOW) == 0)
			quarantine_end(
			    &nodes[0], &run, QUARANTINE_RESULT_COMPLETE, NOW);
	}
	t = clock_us() - t;
	print_message("%.0f ns a request\n", (double)t * 1e3 / SUSPECTS);
}

/*
 * Runs requests in a loop and reports a crash for every 64th.
 */
static void *
run_requests(void *arg)
{
	struct quarantine_fingerprint p = { 0, 3 };
	struct quarantine_run run;
	uint64_t i;

	for (i = 1; i <= RUNS; i++) {
		p.lo = i % 16;
		if (quarantine_begin(arg, &run, &p, 1, NOW) == 0)
			quarantine_end(arg, &run,
			    i % 3 == 0 ? QUARANTINE_RESULT_FAILED
				       : QUARANTINE_RESULT_COMPLETE,
			    NOW);
		if (i % 64 == 0)
			quarantine_report_crash(arg, i, NOW);
	}
	return NULL;
}

/*
 * Concurrent use of one quarantine leaves no run in its list.
 */
static void
test_concurrent_use(void **state)
{
	pthread_t th[THREADS];
	int i;

	(void)state;
	for (i = 0; i < THREADS; i++)
		pthread_create(&th[i], NULL, run_requests, &nodes[0]);
	for (i = 0; i < THREADS; i++)
		pthread_join(th[i], NULL);
	assert_ptr_equal(nodes[0].runs.next, &nodes[0].runs);
}

/*
 * Each part of a request changes the fingerprint, also where text only moves
 * from one part to the next.
 */
static void
test_fingerprint_parts(void **state)
{
	static const char *const rows[][4] = {
		{ "acme", "GET", "/a", "x" },
		{ "acmf", "GET", "/a", "x" },
		{ "acme", "PUT", "/a", "x" },
		{ "acme", "GET", "/a?b", "x" },
		{ "acme", "GET", "/a", "y" },
		{ "acme", "GET", "/a", "" },
		{ "acm", "eGET", "/a", "x" },
		{ "acme", "GET/", "a", "x" },
		{ "acme", "GET", "/ax", "" },
		{ "", "", "", "acmeGET/ax" },
	};
	struct quarantine_fingerprint p[sizeof(rows) / sizeof(rows[0])];
	size_t i, j;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		quarantine_fingerprint(&p[i], rows[i][0], rows[i][1],
		    rows[i][2], rows[i][3], strlen(rows[i][3]));
		for (j = 0; j < i; j++) {
			assert_true(p[i].lo != p[j].lo);
			assert_true(p[i].hi != p[j].hi);
		}
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_state_after_events),
		cmocka_unit_test_setup_teardown(
		    test_resent_request_crashes_two, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_suspects_run_one_at_a_time, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_concurrent_copies_crash_two, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_frequent_request_is_cleared, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_root_request_is_charged, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_sync_after_lost_broadcasts, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_table_bound, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_concurrent_use, setup, teardown),
		cmocka_unit_test(test_fingerprint_parts),
	};

	start_ms = clock_ms();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
