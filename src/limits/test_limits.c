#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <inttypes.h>
#include <math.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "limits/limits.h"
#include "limits/limits_bucket.h"
#include "limits/limits_int.h"
#include "limits/test_windows.h"

#define NODES 3
#define SPENT_MAX 65536
#define MS 1000

/* Nodes within this process.  Each owns the partitions of one group. */
static struct limits nodes[NODES];
static struct limits_workspace workspace;
static atomic_uint_fast64_t now_us;
static uint64_t lease_until_ms; /* end of all leases */
static uint64_t tenure;
static int is_first_lease;
static int unreachable[NODES];
static int replies_to_lose;
static int lose_notifications;
static atomic_int calls;
static _Thread_local uint64_t admitted_loan; /* of the last request */

static uint64_t test_clock(void);
static struct node_id node_id(size_t);
static int find_workspace(void *, uint64_t, struct limits_workspace *);
static void lookup(void *, uint32_t, uint64_t, struct lease_view *);
static enum rpc_status call(void *, const struct node_id *,
    const struct rpc_proc *, const void *, void *, uint32_t);
static void notify(
    void *, const struct node_id *, const struct rpc_proc *, const void *);
static int setup(void **);
static int teardown(void **);
static uint64_t refused_within_rate(const struct limits_workspace *, int);

/*
 * Returns the simulated time (us).
 */
static uint64_t
test_clock(void)
{
	return atomic_load(&now_us);
}

/*
 * Returns the id of node i.
 */
static struct node_id
node_id(size_t i)
{
	struct node_id id = { 0x7f000001, (uint16_t)(7000 + i), 1 };

	return id;
}

/*
 * Finds a workspace in the configuration of all nodes, which has just one.
 */
static int
find_workspace(void *ctx, uint64_t hash, struct limits_workspace *ws)
{
	(void)ctx;
	*ws = workspace;
	return hash == workspace.hash ? 0 : -1;
}

/*
 * Looks up a lease: each node owns the partitions of one group.  The context
 * is the node that looks it up.
 */
static void
lookup(void *ctx, uint32_t part, uint64_t now_ms, struct lease_view *v)
{
	size_t group = part / LEASE_GROUP_PARTS;

	memset(v, 0, sizeof(*v));
	v->owner = node_id(group);
	v->term = v->tenure = tenure;
	v->first = is_first_lease;
	if (ctx == &nodes[group] && now_ms < lease_until_ms)
		v->valid_until_ms = lease_until_ms;
}

/*
 * Calls another node directly.  An unreachable node times out.
 */
static enum rpc_status
call(void *ctx, const struct node_id *to, const struct rpc_proc *p,
    const void *arg, void *res, uint32_t timeout_ms)
{
	size_t i = to->rpc_port - 7000U;

	(void)ctx;
	atomic_fetch_add(&calls, 1);
	if (unreachable[i]) {
		atomic_fetch_add(&now_us, timeout_ms * MS);
		return RPC_TIMEOUT;
	}
	p->handle(&nodes[i], NULL, arg, res);
	return replies_to_lose-- > 0 ? RPC_TIMEOUT : RPC_DONE;
}

/*
 * Calls another node without waiting for its answer.
 */
static void
notify(void *ctx, const struct node_id *to, const struct rpc_proc *p,
    const void *arg)
{
	limits_report_res res;

	if (lose_notifications)
		return;
	call(ctx, to, p, arg, &res, 0);
}

/*
 * Starts three nodes with a workspace of 30 requests a second and a burst of
 * 30.
 */
static int
setup(void **state)
{
	struct limits_config cfg = { .lookup = lookup,
		.call = call,
		.notify = notify,
		.find_limit = find_workspace,
		.clock_us = test_clock };
	size_t i;

	(void)state;
	workspace = (struct limits_workspace){ 16, 30, 30, 0 };
	now_us = 1000 * SECOND;
	lease_until_ms = UINT64_MAX;
	tenure = 1;
	is_first_lease = 1;
	replies_to_lose = lose_notifications = 0;
	calls = 0;
	memset(unreachable, 0, sizeof(unreachable));
	for (i = 0; i < NODES; i++) {
		cfg.self = node_id(i);
		cfg.local_group = (uint32_t)i;
		cfg.lookup_ctx = &nodes[i];
		limits_init(&nodes[i], &cfg);
	}
	return 0;
}

/*
 * Frees the nodes.
 */
static int
teardown(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < NODES; i++)
		limits_finish(&nodes[i]);
	return 0;
}

/*
 * Guards against refunds that do not restore the token.  In a small workspace
 * each request runs at its fourth attempt and the first three are refused
 * before they run.  It is never over its rate.
 */
static void
test_refund_restores_token(void **state)
{
	uint32_t retry;
	size_t i;

	(void)state;
	workspace.rate = 4;
	workspace.burst = 2;
	for (i = 0; i < 1000; i++) {
		struct limits *l = &nodes[(size_t)random() % NODES];

		now_us += i % 4 == 0 ? 300 * MS : 60 * MS;
		assert_int_equal(
		    limits_admit(l, &workspace, &admitted_loan, &retry),
		    LIMITS_ADMIT);
		if (i % 4 < 3)
			limits_refund(l, &workspace, admitted_loan);
	}
}

/*
 * Guards against refunds that raise the limit.  Requests arrive through all
 * nodes at five times the rate, half of them are later found not to have run,
 * some reports are lost, and the tenure of the owners ends at intervals.  The
 * requests that ran stay within the limit in every window.
 */
static void
test_late_refunds_stay_within_rate(void **state)
{
	static uint64_t ran[SPENT_MAX];
	struct limits *pending[16] = { NULL };
	uint64_t loans[16];
	uint32_t retry;
	size_t n = 0, i, k;

	(void)state;
	srandom(7);
	workspace.burst = 11;
	for (i = 0; i < 20000; i++) {
		struct limits *l = &nodes[(size_t)random() % NODES];

		now_us += (uint64_t)random() %
			  (random() % 64 > 0 ? 2 * SECOND / 150 : SECOND);
		if (i % 3000 == 2999) {
			tenure++;
			is_first_lease = 0;
			workspace.changed_ms = now_us / MS;
		}
		lose_notifications = random() % 8 == 0;
		k = (size_t)random() % 16;
		if (pending[k] != NULL)
			limits_refund(pending[k], &workspace, loans[k]);
		pending[k] = NULL;
		if (limits_admit(l, &workspace, &admitted_loan, &retry) ==
		    LIMITS_ADMIT) {
			if (random() % 2 == 0) {
				pending[k] = l;
				loans[k] = admitted_loan;
			} else
				ran[n++] = now_us;
		}
		limits_maintain(&nodes[i % NODES]);
	}
	assert_true(n > 1000);
	check_windows(ran, n, &workspace);
}

/*
 * A workspace that sends five times its rate through three nodes gets its
 * limit: no more in any window, and not much less in total.
 */
static void
test_overload_gets_exact_limit(void **state)
{
	static uint64_t spent[SPENT_MAX];
	uint32_t retry;
	size_t n = 0, i;

	(void)state;
	for (i = 0; i < 3000; i++) {
		now_us += SECOND / 150;
		if (limits_admit(&nodes[i % NODES], &workspace, &admitted_loan,
			&retry) == LIMITS_ADMIT)
			spent[n++] = now_us;
		if (i % 3 == 0)
			limits_maintain(&nodes[i % NODES]);
	}
	check_windows(spent, n, &workspace);
	/* 20 s at 30 a second, and the burst. */
	assert_in_range(n, (20 * 30 + 30) * 95 / 100, 20 * 30 + 30);
}

/*
 * A workspace at a regular pace within its rate is never refused, even with a
 * small burst and through all nodes in turn.
 */
static void
test_regular_pace_not_refused(void **state)
{
	static const struct {
		double rate;
		uint32_t burst;
	} cases[] = { { 30, 30 }, { 50, 2 }, { 2, 2 }, { 300, 100 } };
	uint32_t retry;
	size_t i, k, refused;

	(void)state;
	for (k = 0; k < sizeof(cases) / sizeof(cases[0]); k++) {
		workspace.hash += 48;
		workspace.rate = cases[k].rate;
		workspace.burst = cases[k].burst;
		refused = 0;
		for (i = 0; i < 1000; i++) {
			now_us += (uint64_t)(SECOND / (workspace.rate * 0.9));
			if (limits_admit(&nodes[i % NODES], &workspace,
				&admitted_loan, &retry) != LIMITS_ADMIT)
				refused++;
			limits_maintain(&nodes[(i + 1) % NODES]);
			limits_maintain(&nodes[i % NODES]);
		}
		if (refused > 0)
			fail_msg("rate %.1f burst %u: %zu refused",
			    workspace.rate, workspace.burst, refused);
	}
}

/*
 * Sends requests at random times at 0.9 of the rate through all nodes, or one,
 * and compares with one ideal bucket.  Returns how many of 100,000 requests
 * are refused although the ideal bucket has a token.
 */
static uint64_t
refused_within_rate(const struct limits_workspace *ws, int spread)
{
	uint64_t refused = 0, t = now_us, tick = now_us;
	double level = ws->burst, gap_us;
	const size_t n = ws->rate < 50 ? 1000 : 20000;
	uint32_t retry;
	size_t i, k;

	for (i = 0; i < n; i++) {
		gap_us = -log(((double)random() + 1) / 2147483649.0);
		gap_us *= SECOND / (ws->rate * 0.9);
		t += (uint64_t)gap_us;
		for (; tick < t; tick += LIMITS_MAINTAIN_INTERVAL_MS * MS) {
			now_us = tick;
			for (k = 0; k < NODES; k++)
				limits_maintain(&nodes[k]);
		}
		now_us = t;
		level = fmin(ws->burst, level + ws->rate * gap_us / SECOND);
		if (limits_admit(&nodes[spread ? random() % NODES : 0], ws,
			&admitted_loan, &retry) == LIMITS_ADMIT)
			level -= 1;
		else if (level >= 1)
			refused++;
	}
	return refused * 100000 / n;
}

/*
 * A workspace within its rate is refused at most 100 times in 100,000
 * requests, even with a small burst, and whether the requests come through one
 * node or all.
 */
static void
test_random_arrivals_rarely_refused(void **state)
{
	static const struct {
		double rate;
		uint32_t burst;
	} cases[] = { { 0.5, 2 }, { 2, 2 }, { 50, 2 }, { 50, 11 }, { 50, 29 },
		{ 50, 30 }, { 50, 50 }, { 500, 100 }, { 500, 1000 } };
	uint64_t refused;
	size_t k;
	int spread;

	(void)state;
	srandom(5);
	for (k = 0; k < sizeof(cases) / sizeof(cases[0]); k++)
		for (spread = 0; spread < 2; spread++) {
			workspace.hash += 48;
			workspace.rate = cases[k].rate;
			workspace.burst = cases[k].burst;
			refused = refused_within_rate(&workspace, spread);
			if (refused > 100)
				fail_msg("rate %.1f burst %u spread %d: "
					 "%" PRIu64 " in 100,000 refused",
				    workspace.rate, workspace.burst, spread,
				    refused);
		}
}

/*
 * At a high request rate, prefetching makes far fewer calls than there are
 * requests.
 */
static void
test_prefetch_saves_calls(void **state)
{
	uint32_t retry;
	size_t i;

	(void)state;
	workspace.rate = 1000;
	workspace.burst = 1000;
	for (i = 0; i < 5000; i++) {
		now_us += 2 * MS;
		assert_int_equal(
		    limits_admit(&nodes[0], &workspace, &admitted_loan, &retry),
		    LIMITS_ADMIT);
		if (i % 10 == 0)
			limits_maintain(&nodes[0]);
	}
	assert_true(calls < 500);
}

/*
 * With some owners unreachable, the other shards still admit.  With all
 * unreachable, requests are refused as unavailable within the time limit.
 */
static void
test_unreachable_owners(void **state)
{
	uint32_t retry;
	uint64_t start_us;
	size_t i, n = 0;

	(void)state;
	unreachable[1] = unreachable[2] = 1;
	for (i = 0; i < 40; i++)
		if (limits_admit(&nodes[0], &workspace, &admitted_loan,
			&retry) == LIMITS_ADMIT)
			n++;
	assert_in_range(n, 10, 13);
	workspace.burst = 2;
	workspace.rate = 2;
	workspace.hash = 16 * 3 + 1; /* node 1 owns its one shard */
	start_us = now_us;
	assert_int_equal(
	    limits_admit(&nodes[0], &workspace, &admitted_loan, &retry),
	    LIMITS_UNAVAILABLE);
	assert_in_range(now_us - start_us, 0, 110 * MS);
	start_us = now_us;
	assert_int_equal(
	    limits_admit(&nodes[0], &workspace, &admitted_loan, &retry),
	    LIMITS_UNAVAILABLE);
	assert_int_equal(now_us, start_us);
	now_us += SECOND;
	unreachable[1] = 0;
	assert_int_equal(
	    limits_admit(&nodes[0], &workspace, &admitted_loan, &retry),
	    LIMITS_ADMIT);
	/* A call with a lost answer is repeated, and granted once. */
	replies_to_lose = 1;
	assert_int_equal(
	    limits_admit(&nodes[0], &workspace, &admitted_loan, &retry),
	    LIMITS_ADMIT);
	assert_int_equal(
	    limits_admit(&nodes[0], &workspace, &admitted_loan, &retry),
	    LIMITS_OVER_RATE);
	assert_in_range(retry, 1, 501);
}

/*
 * No loan outlives the owner's lease, and no token is spent after its loan
 * expires.
 */
static void
test_loans_end_with_lease(void **state)
{
	limits_token_request_arg arg = { .workspace = 16,
		.part = 0,
		.loan = 5,
		.need = 1,
		.want = 1,
		.life_ms = 400 };
	limits_token_request_res res;
	uint32_t retry;

	(void)state;
	lease_until_ms = now_us / MS + 300;
	limits_serve_token_request(&nodes[0], &arg, &res);
	assert_int_equal(res.status, LIMITS_GRANTED);
	assert_int_equal(res.life_ms, 299);
	now_us += 300 * MS;
	limits_serve_token_request(&nodes[0], &arg, &res);
	assert_int_equal(res.status, LIMITS_NOT_OWNER);
	arg.part = LEASE_PARTS;
	limits_serve_token_request(&nodes[0], &arg, &res);
	assert_int_equal(res.status, LIMITS_NOT_OWNER);
	arg.part = 0;
	arg.workspace = 17;
	lease_until_ms = UINT64_MAX;
	limits_serve_token_request(&nodes[0], &arg, &res);
	assert_int_equal(res.status, LIMITS_NO_WORKSPACE);

	/* Tokens that were prefetched expire unspent. */
	workspace.rate = workspace.burst = 3000;
	limits_admit(&nodes[0], &workspace, &admitted_loan, &retry);
	now_us += 2 * (uint64_t)SECOND;
	for (arg.loan = 0; arg.loan < 300; arg.loan++) {
		now_us += MS;
		limits_admit(&nodes[0], &workspace, &admitted_loan, &retry);
		if (arg.loan % 20 == 0)
			limits_maintain(&nodes[0]);
	}
	lease_until_ms = 0;
	assert_int_equal(
	    limits_admit(&nodes[0], &workspace, &admitted_loan, &retry),
	    LIMITS_ADMIT);
	now_us += LIMITS_LOAN_MAX_MS * MS;
	assert_int_equal(
	    limits_admit(&nodes[0], &workspace, &admitted_loan, &retry),
	    LIMITS_UNAVAILABLE);
}

/*
 * A new owner's bucket starts empty, whether or not an earlier owner used it.
 */
static void
test_new_tenure_starts_empty(void **state)
{
	uint32_t retry;
	size_t i, n = 0;

	(void)state;
	for (i = 0; i < 30; i++)
		assert_int_equal(
		    limits_admit(&nodes[0], &workspace, &admitted_loan, &retry),
		    LIMITS_ADMIT);
	now_us += 10 * (uint64_t)SECOND;
	tenure = 2;
	is_first_lease = 0;
	for (i = 0; i < NODES; i++) { /* effective_ms is 0, long past */
		workspace.changed_ms = now_us / MS;
	}
	for (i = 0; i < 30; i++)
		if (limits_admit(&nodes[0], &workspace, &admitted_loan,
			&retry) == LIMITS_ADMIT)
			n++;
	assert_int_equal(n, 0);
	now_us += SECOND / 5;
	assert_int_equal(
	    limits_admit(&nodes[0], &workspace, &admitted_loan, &retry),
	    LIMITS_ADMIT);
}

/*
 * The bucket of a new owner is empty, and that is no sign of use.  For one
 * second no request is refused as over the rate; after that, requests over the
 * rate are.
 */
static void
test_new_owner_not_over_rate(void **state)
{
	enum limits_verdict v = LIMITS_ADMIT;
	uint32_t retry;
	int i;

	(void)state;
	limits_admit(&nodes[0], &workspace, &admitted_loan, &retry);
	now_us += 10 * (uint64_t)SECOND;
	tenure = 2;
	is_first_lease = 0;
	workspace.changed_ms = now_us / MS;
	for (i = 0; i < 30; i++)
		assert_int_equal(
		    limits_admit(&nodes[0], &workspace, &admitted_loan, &retry),
		    LIMITS_UNAVAILABLE);
	now_us += 2 * (uint64_t)SECOND;
	for (i = 0; i < 1000 && v == LIMITS_ADMIT; i++)
		v = limits_admit(&nodes[0], &workspace, &admitted_loan, &retry);
	assert_int_equal(v, LIMITS_OVER_RATE);
}

/*
 * Sends 200 requests from one thread.  The context counts those admitted.
 */
static void *
admit_many(void *ctx)
{
	atomic_int *admitted = ctx;
	uint32_t retry;
	int i;

	for (i = 0; i < 200; i++)
		if (limits_admit(&nodes[0], &workspace, &admitted_loan,
			&retry) == LIMITS_ADMIT)
			atomic_fetch_add(admitted, 1);
	return NULL;
}

/*
 * Concurrent threads are all served, and no token is spent twice.
 */
static void
test_concurrent_admission(void **state)
{
	pthread_t th[8];
	atomic_int admitted = 0;
	size_t i;

	(void)state;
	workspace.burst = 1000;
	workspace.rate = 0;
	for (i = 0; i < 8; i++)
		pthread_create(&th[i], NULL, admit_many, &admitted);
	for (i = 0; i < 8; i++)
		pthread_join(th[i], NULL);
	assert_int_equal(admitted, 1000);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
		    test_refund_restores_token, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_late_refunds_stay_within_rate, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_overload_gets_exact_limit, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_regular_pace_not_refused, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_random_arrivals_rarely_refused, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_prefetch_saves_calls, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_unreachable_owners, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_loans_end_with_lease, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_new_tenure_starts_empty, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_new_owner_not_over_rate, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_concurrent_admission, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
