#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/clock.h"
#include "load.h"
#include "runlog.h"
#include "std.h"

/*
 * A non-idempotent request runs at most once, and a refusal that says "not
 * run" is true, through kills and freezes of servers and nodes.
 */

#define NODES 6
#define THREADS 18
#define RESENDS_MAX 6
#define ROUND_MS 1200
#define NOTES_MAX 60000

/*
 * One sending of a request that was refused as not run.
 */
struct note {
	char attempt[40];
};

struct orders {
	uint64_t served;
	uint64_t duplicate;
	uint64_t unknown;
	uint64_t not_run;
	size_t notes;
	struct note list[NOTES_MAX];
	int left[THREADS]; /* sendings left of the id in hand */
	uint64_t id[THREADS];
};

static struct fleet fleet;
static struct orders orders;

/*
 * Starts six nodes and servers.
 */
static int
setup(void **state)
{
	harness_setup(state);
	return std_start(&fleet, NODES, 1);
}

/*
 * Fills in the next sending: the id in hand again through another node, or
 * a new id.
 */
static int
order_request(void *ctx, int thread, uint64_t seq, struct http_req *rq)
{
	struct orders *o = ctx;

	if (o->left[thread] == 0) {
		o->left[thread] = RESENDS_MAX;
		o->id[thread] = rand_u64();
	}
	o->left[thread]--;
	http_req_init(rq, "http://%s:%d/order/o",
	    fleet.list[(thread + (int)seq) % NODES].addr, CALLER_PORT);
	http_req_header(rq, "Authorization: Bearer %s", ACME_KEY);
	http_req_header(
	    rq, "Idempotency-Key: %016llx", (unsigned long long)o->id[thread]);
	http_req_header(
	    rq, "X-Attempt: %d.%llu", thread, (unsigned long long)seq);
	rq->body = "{\"order\":1}";
	rq->timeout_ms = 1000;
	return 0;
}

/*
 * Takes note of an answer; a served or duplicate id is done with.
 */
static void
order_answer(void *ctx, int thread, uint64_t seq, const struct http_req *rq,
    const struct http_res *rs)
{
	struct orders *o = ctx;
	size_t n;

	(void)rq;
	if (http_is(rs, 200, NULL)) {
		__atomic_add_fetch(&o->served, 1, __ATOMIC_RELAXED);
		/* Sometimes sent again although it was served. */
		if (seq % 7 != 0)
			o->left[thread] = 0;
	} else if (http_is(rs, 409, NULL)) {
		__atomic_add_fetch(&o->duplicate, 1, __ATOMIC_RELAXED);
		o->left[thread] = 0;
	} else if (strcmp(rs->outcome, "not-run") == 0) {
		__atomic_add_fetch(&o->not_run, 1, __ATOMIC_RELAXED);
		n = __atomic_fetch_add(&o->notes, 1, __ATOMIC_RELAXED);
		if (n < NOTES_MAX)
			snprintf(o->list[n].attempt, sizeof(o->list[n].attempt),
			    "%d.%llu", thread, (unsigned long long)seq);
	} else
		__atomic_add_fetch(&o->unknown, 1, __ATOMIC_RELAXED);
}

/*
 * Kills and freezes servers and nodes under the callers.
 */
static void
disturb(void)
{
	usleep(ROUND_MS * 1000);
	proc_kill(fleet.list[0].server);
	usleep(ROUND_MS * 1000 / 2);
	proc_kill(fleet.list[1].node);
	usleep(ROUND_MS * 1000);
	fleet_server_start(&fleet, 0);
	fleet_node_start(&fleet, 1);
	proc_signal(fleet.list[2].node, SIGSTOP);
	proc_signal(fleet.list[3].server, SIGSTOP);
	usleep(3 * ROUND_MS * 1000);
	proc_signal(fleet.list[2].node, SIGCONT);
	proc_signal(fleet.list[3].server, SIGCONT);
	proc_kill(fleet.list[4].node);
	proc_kill(fleet.list[4].server);
	usleep(ROUND_MS * 1000);
	fleet_link(&fleet, "*", "db", "\"lose_answer\":20");
	usleep(ROUND_MS * 1000);
	fleet_link(&fleet, "*", "db", "\"cut\":true");
	usleep(ROUND_MS * 1000);
	fleet_link(&fleet, "*", "db", "\"cut\":false");
	usleep(ROUND_MS * 1000);
}

/*
 * Checks every sending that was refused as not run against what ran.
 */
static size_t
false_refusals(const struct runlog *rl, const struct orders *o)
{
	size_t i, n = 0;

	for (i = 0; i < o->notes && i < NOTES_MAX; i++)
		if (runlog_count_attempt(rl, o->list[i].attempt) > 0) {
			print_message("attempt %s was refused as not run, "
				      "but ran\n",
			    o->list[i].attempt);
			n++;
		}
	return n;
}

/*
 * Orders are sent and resent through all nodes: each id runs at most once
 * and each refusal is true.
 */
static void
test_orders(void **state)
{
	struct load l = { .threads = THREADS,
		.interval_us = 10000,
		.request = order_request,
		.answer = order_answer,
		.ctx = &orders };
	struct runlog rl;
	size_t max;
	char id[72];

	(void)state;
	assert_int_equal(load_start(&l), 0);
	disturb();
	load_stop(&l);
	runlog_init(&rl);
	runlog_read(&rl, &fleet);
	max = runlog_max_per_id(&rl, id, sizeof(id));
	print_message("%llu served, %llu duplicates refused, %llu unknown, "
		      "%llu not run; id %s ran %zu times\n",
	    (unsigned long long)orders.served,
	    (unsigned long long)orders.duplicate,
	    (unsigned long long)orders.unknown,
	    (unsigned long long)orders.not_run, id, max);
	assert_true(orders.served > 500);
	assert_int_equal(max, 1);
	assert_int_equal(false_refusals(&rl, &orders), 0);
	runlog_finish(&rl);
}

/*
 * Without an id a non-idempotent request is not sent again by the system,
 * whatever its answer.
 */
static void
test_no_id(void **state)
{
	static const char *const faults[] = { "lost", "cut", "garbage",
		"chunk-cut", "wrong-id", "error" };
	struct runlog rl;
	struct http_req rq;
	struct http_res rs;
	char ctl[64];
	size_t k;
	int i;

	(void)state;
	for (k = 0; k < sizeof(faults) / sizeof(faults[0]); k++) {
		snprintf(ctl, sizeof(ctl), "{\"fault\":\"%s\"}", faults[k]);
		for (i = 0; i < NODES; i++)
			if (proc_running(fleet.list[i].server))
				fleet_server_control(&fleet, i, ctl);
		http_req_init(&rq, "http://%s:%d/order/noid-%s",
		    fleet.list[0].addr, CALLER_PORT, faults[k]);
		http_req_header(&rq, "Authorization: Bearer %s", ACME_KEY);
		rq.body = "x";
		http_call(NULL, &rq, &rs);
		assert_false(strcmp(rs.outcome, "not-run") == 0);
		http_res_finish(&rs);
	}
	runlog_init(&rl);
	runlog_read(&rl, &fleet);
	for (k = 0; k < sizeof(faults) / sizeof(faults[0]); k++) {
		snprintf(ctl, sizeof(ctl), "/order/noid-%s", faults[k]);
		if (runlog_count_path(&rl, ctl) != 1)
			fail_msg("%s ran %zu times", ctl,
			    runlog_count_path(&rl, ctl));
	}
	runlog_finish(&rl);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_orders),
		cmocka_unit_test(test_no_id),
	};

	return cmocka_run_group_tests(tests, setup, harness_teardown);
}
