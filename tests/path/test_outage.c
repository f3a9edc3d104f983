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
 * The log service is out, slow, over its append rate or loses answers:
 * requests, limits and orders go on, and all comes back by itself.
 */

#define NODES 4
#define THREADS 8
#define OUT_MS 5000
#define AFTER_MS 1500

struct mix {
	uint64_t pages;
	uint64_t orders;
	uint64_t failed;
	char sample[200];
};

struct log_case {
	const char *name;
	const char *fault;
	const char *heal;
};

static const struct log_case cases[] = {
	{ "out", "{\"outage\":true}", "{\"outage\":false}" },
	{ "slow", "{\"slow_ms\":3000}", "{\"slow_ms\":0}" },
	{ "append rate", "{\"append_rate\":1}", "{\"append_rate\":0}" },
	{ "answers lost", "{\"lose_answers\":1000}", "{\"lose_answers\":0}" },
};

static struct fleet fleet;

/*
 * Starts four nodes.
 */
static int
setup(void **state)
{
	harness_setup(state);
	return std_start(&fleet, NODES, 0);
}

/*
 * Fills in a page or an order.
 */
static int
mix_request(void *ctx, int thread, uint64_t seq, struct http_req *rq)
{
	(void)ctx;
	http_req_init(rq, "http://%s:%d/%s/m", fleet.list[thread % NODES].addr,
	    CALLER_PORT, seq % 2 == 0 ? "page" : "order");
	http_req_header(rq, "Authorization: Bearer %s", ACME_KEY);
	http_req_header(
	    rq, "Idempotency-Key: %016llx", (unsigned long long)rand_u64());
	http_req_header(rq, "X-Attempt: t%llu.%d.%llu",
	    (unsigned long long)clock_us(), thread, (unsigned long long)seq);
	return 0;
}

/*
 * Counts what was served.
 */
static void
mix_answer(void *ctx, int thread, uint64_t seq, const struct http_req *rq,
    const struct http_res *rs)
{
	struct mix *m = ctx;

	(void)rq;
	if (http_is(rs, 200, NULL))
		__atomic_add_fetch(
		    seq % 2 == 0 ? &m->pages : &m->orders, 1, __ATOMIC_RELAXED);
	else {
		__atomic_add_fetch(&m->failed, 1, __ATOMIC_RELAXED);
		snprintf(m->sample, sizeof(m->sample),
		    "thread %d %.60s curl %d status %ld %s %s", thread, rq->url,
		    (int)rs->code, rs->status, rs->outcome, rs->reason);
	}
}

/*
 * In every state of the log, callers within their rate are served; at most
 * one in a hundred is not.
 */
static void
test_log_faults(void **state)
{
	struct mix m;
	struct load l = { .threads = THREADS,
		.interval_us = 10000,
		.request = mix_request,
		.answer = mix_answer,
		.ctx = &m };
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(&m, 0, sizeof(m));
		fleet_log_control(&fleet, cases[i].fault);
		load_run(&l, i == 0 ? OUT_MS : OUT_MS / 2);
		fleet_log_control(&fleet, cases[i].heal);
		print_message("log %s: %llu pages, %llu orders, %llu failed "
			      "%s\n",
		    cases[i].name, (unsigned long long)m.pages,
		    (unsigned long long)m.orders, (unsigned long long)m.failed,
		    m.sample);
		assert_true(m.pages > 50);
		assert_true(m.orders > 50);
		assert_true(m.failed * 100 <= m.pages + m.orders);
	}
}

/*
 * A node is killed and started again while the log is out: the others serve
 * on, the new one serves too, and limits hold.
 */
static void
test_kill_in_outage(void **state)
{
	struct mix m;
	struct load l = { .threads = THREADS,
		.interval_us = 10000,
		.request = mix_request,
		.answer = mix_answer,
		.ctx = &m };
	struct runlog rl;
	char id[72];
	int back;

	(void)state;
	memset(&m, 0, sizeof(m));
	fleet_log_control(&fleet, "{\"outage\":true}");
	assert_int_equal(load_start(&l), 0);
	proc_kill(fleet.list[3].node);
	fleet_node_start(&fleet, 3);
	back = fleet_ready(&fleet, "/page/k", ACME_KEY, STD_READY_MS);
	usleep(AFTER_MS * 1000);
	fleet_log_control(&fleet, "{\"outage\":false}");
	load_stop(&l);
	assert_int_equal(back, 0);
	print_message("kill in outage: %llu pages, %llu orders, %llu failed\n",
	    (unsigned long long)m.pages, (unsigned long long)m.orders,
	    (unsigned long long)m.failed);
	runlog_init(&rl);
	runlog_read(&rl, &fleet);
	assert_true(runlog_max_per_id(&rl, id, sizeof(id)) <= 1);
	assert_true(runlog_certain_excess(&rl, "small", 5, 2) <= 0);
	assert_true(m.pages > 50);
	runlog_finish(&rl);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_log_faults),
		cmocka_unit_test(test_kill_in_outage),
	};

	return cmocka_run_group_tests(tests, setup, harness_teardown);
}
