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
 * Under overload, important requests are shed last, and what is refused as
 * not run was not run.
 */

#define NODES 3
#define SLOTS 4
#define SERVICE_US 20000 /* 3 x 4 / 20 ms = 600 a second */
#define CRITICAL_THREADS 6
#define LOW_THREADS 40
#define RUN_MS 6000

struct tally {
	const char *path;
	const char *mark;
	uint64_t served;
	uint64_t shed;
	uint64_t other;
	char reason[32]; /* of the last one shed */
};

static struct fleet fleet;

/*
 * Starts three servers with few slots and a short queue.
 */
static int
setup(void **state)
{
	json_t *conf = std_conf();
	struct inst_spec spec;
	int i, r;

	harness_setup(state);
	fleet_init(&fleet, 0);
	for (i = 0; i < NODES; i++) {
		spec = std_spec[i];
		spec.slots = SLOTS;
		spec.service_us = SERVICE_US;
		fleet_add(&fleet, &spec);
	}
	r = fleet_start(&fleet);
	if (r == 0)
		r = fleet_publish(&fleet, conf);
	json_decref(conf);
	if (r == 0)
		r = fleet_ready(&fleet, "/page/ready", ACME_KEY, STD_READY_MS);
	return r == 0 ? std_orders_ready(&fleet, STD_READY_MS) : r;
}

/*
 * Fills in the next request of a class.
 */
static int
class_request(void *ctx, int thread, uint64_t seq, struct http_req *rq)
{
	const struct tally *t = ctx;

	http_req_init(rq, "http://%s:%d%s", fleet.list[thread % NODES].addr,
	    CALLER_PORT, t->path);
	http_req_header(rq, "Authorization: Bearer %s", ACME_KEY);
	http_req_header(
	    rq, "Idempotency-Key: %016llx", (unsigned long long)rand_u64());
	http_req_header(rq, "X-Attempt: %s%d.%llu", t->mark, thread,
	    (unsigned long long)seq);
	return 0;
}

/*
 * Counts the answers of a class.
 */
static void
class_answer(void *ctx, int thread, uint64_t seq, const struct http_req *rq,
    const struct http_res *rs)
{
	struct tally *t = ctx;

	(void)thread;
	(void)seq;
	(void)rq;
	if (http_is(rs, 200, NULL))
		__atomic_add_fetch(&t->served, 1, __ATOMIC_RELAXED);
	else if (strcmp(rs->outcome, "not-run") == 0) {
		__atomic_add_fetch(&t->shed, 1, __ATOMIC_RELAXED);
		snprintf(t->reason, sizeof(t->reason), "%s", rs->reason);
	} else
		__atomic_add_fetch(&t->other, 1, __ATOMIC_RELAXED);
}

/*
 * Critical demand of a third of the capacity goes through whole while low
 * demand of several times the capacity is shed.
 */
static void
test_classes(void **state)
{
	struct tally crit = { "/order/c", "c", 0, 0, 0, "" };
	struct tally low = { "/low/l", "l", 0, 0, 0, "" };
	struct load lc = { .threads = CRITICAL_THREADS,
		.interval_us = 30000,
		.request = class_request,
		.answer = class_answer,
		.ctx = &crit };
	struct load ll = { .threads = LOW_THREADS,
		.interval_us = 20000,
		.request = class_request,
		.answer = class_answer,
		.ctx = &low };
	uint64_t crit_all, low_all;

	(void)state;
	assert_int_equal(load_start(&ll), 0);
	load_run(&lc, RUN_MS);
	load_stop(&ll);
	crit_all = crit.served + crit.shed + crit.other;
	low_all = low.served + low.shed + low.other;
	print_message(
	    "critical %llu of %llu served (%llu other, %s), low %llu of "
	    "%llu (%llu other), capacity %d\n",
	    (unsigned long long)crit.served, (unsigned long long)crit_all,
	    (unsigned long long)crit.other, crit.reason,
	    (unsigned long long)low.served, (unsigned long long)low_all,
	    (unsigned long long)low.other,
	    (int)((double)NODES * SLOTS * RUN_MS * 1000 / SERVICE_US));
	assert_true(crit.served * 100 >= crit_all * 97);
	assert_true(low.shed > 0);
	assert_true(low.served > 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_classes),
	};

	return cmocka_run_group_tests(tests, setup, harness_teardown);
}
