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
 * No workspace gets more than its rate and burst across all instances
 * together, whatever is killed, frozen or cut.
 */

#define NODES 6
#define THREADS 12
#define MID_RATE 60.0
#define MID_BURST 30.0
#define DRIVE 5.0 /* times its rate */
#define CALM_MS 3000
#define FREEZE_MS 4500 /* longer than a lease lasts unread */
#define CUT_MS 3000
#define SETTLE_MS 1500
#define REQUEST_TIMEOUT_MS 1500

struct drive {
	const char *key;
	uint64_t served;
	uint64_t refused;
};

static struct fleet fleet;

/*
 * Starts six nodes that reach each other through the proxy.
 */
static int
setup(void **state)
{
	harness_setup(state);
	return std_start(&fleet, NODES, 1);
}

/*
 * Fills in the next request, with the time at which it is sent.
 */
static int
drive_request(void *ctx, int thread, uint64_t seq, struct http_req *rq)
{
	const struct drive *d = ctx;

	http_req_init(rq, "http://%s:%d/page/limit",
	    fleet.list[thread % NODES].addr, CALLER_PORT);
	http_req_header(rq, "Authorization: Bearer %s", d->key);
	http_req_header(rq, "X-Attempt: t%llu.%d.%llu",
	    (unsigned long long)clock_us(), thread, (unsigned long long)seq);
	rq->timeout_ms = REQUEST_TIMEOUT_MS;
	return 0;
}

/*
 * Counts what was served and what was refused.
 */
static void
drive_answer(void *ctx, int thread, uint64_t seq, const struct http_req *rq,
    const struct http_res *rs)
{
	struct drive *d = ctx;

	(void)thread;
	(void)seq;
	(void)rq;
	if (http_is(rs, 200, NULL))
		__atomic_add_fetch(&d->served, 1, __ATOMIC_RELAXED);
	else
		__atomic_add_fetch(&d->refused, 1, __ATOMIC_RELAXED);
}

/*
 * Kills a node, freezes one and thaws it, cuts a failure domain and heals
 * it, kills another, with the log out for a while.
 */
static void
disturb(void)
{
	proc_kill(fleet.list[1].node);
	proc_signal(fleet.list[2].node, SIGSTOP);
	usleep(FREEZE_MS * 1000);
	proc_signal(fleet.list[2].node, SIGCONT);
	fleet_node_start(&fleet, 1);
	fleet_link(&fleet, "*", "da", "\"cut\":true");
	fleet_link(&fleet, "da", "*", "\"cut\":true");
	usleep(CUT_MS * 1000);
	fleet_log_control(&fleet, "{\"outage\":true}");
	fleet_link(&fleet, "*", "da", "\"cut\":false");
	fleet_link(&fleet, "da", "*", "\"cut\":false");
	proc_kill(fleet.list[4].node);
	usleep(SETTLE_MS * 1000);
	fleet_log_control(&fleet, "{\"outage\":false}");
	usleep(SETTLE_MS * 1000);
}

/*
 * A workspace is driven at five times its rate through every node at once,
 * and a small one beside it, through all the faults.
 */
static void
test_driven(void **state)
{
	struct drive mid = { MID_KEY, 0, 0 }, small = { SMALL_KEY, 0, 0 };
	struct load l = { .threads = THREADS,
		.interval_us = (uint64_t)(1e6 * THREADS / (DRIVE * MID_RATE)),
		.request = drive_request,
		.answer = drive_answer,
		.ctx = &mid };
	struct load s = { .threads = NODES,
		.interval_us = 240000,
		.request = drive_request,
		.answer = drive_answer,
		.ctx = &small };
	struct runlog rl;
	uint64_t calm;
	double entitled = MID_RATE * CALM_MS / 1000.0 + MID_BURST;

	(void)state;
	assert_int_equal(load_start(&l), 0);
	assert_int_equal(load_start(&s), 0);
	usleep(CALM_MS * 1000);
	calm = __atomic_load_n(&mid.served, __ATOMIC_RELAXED);
	disturb();
	load_stop(&l);
	load_stop(&s);
	runlog_init(&rl);
	runlog_read(&rl, &fleet);
	print_message("calm: %llu of %.0f entitled; in all %llu served, %llu "
		      "refused; certain excess %.2f and %.2f, of run times "
		      "%.2f and %.2f\n",
	    (unsigned long long)calm, entitled, (unsigned long long)mid.served,
	    (unsigned long long)mid.refused,
	    runlog_certain_excess(&rl, "mid", MID_RATE, MID_BURST),
	    runlog_certain_excess(&rl, "small", 5, 2),
	    runlog_excess(&rl, "mid", MID_RATE, MID_BURST),
	    runlog_excess(&rl, "small", 5, 2));
	assert_true(
	    runlog_certain_excess(&rl, "mid", MID_RATE, MID_BURST) <= 0);
	assert_true(runlog_certain_excess(&rl, "small", 5, 2) <= 0);
	assert_true((double)calm >= 0.8 * entitled);
	assert_true(small.served > 0);
	runlog_finish(&rl);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_driven),
	};

	return cmocka_run_group_tests(tests, setup, harness_teardown);
}
