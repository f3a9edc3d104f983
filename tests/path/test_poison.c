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
 * A request that crashes each backend server that runs it is refused after
 * at most two of them died of it; those beside it are served.
 */

#define NODES 3
#define RESENDS 10
#define THREADS 6
#define DEATH_STATUS 70
#define BACK_MS 6000

struct beside {
	uint64_t served;
	uint64_t failed;
	uint64_t quarantined;
};

static struct fleet fleet;

/*
 * Starts three nodes and servers.
 */
static int
setup(void **state)
{
	harness_setup(state);
	return std_start(&fleet, NODES, 0);
}

/*
 * Fills in a harmless request, sent again until it is served.
 */
static int
beside_request(void *ctx, int thread, uint64_t seq, struct http_req *rq)
{
	(void)ctx;
	http_req_init(rq, "http://%s:%d/page/beside-%d",
	    fleet.list[(thread + (int)seq) % NODES].addr, CALLER_PORT, thread);
	http_req_header(rq, "Authorization: Bearer %s", ACME_KEY);
	return 0;
}

/*
 * Counts how harmless requests fare.
 */
static void
beside_answer(void *ctx, int thread, uint64_t seq, const struct http_req *rq,
    const struct http_res *rs)
{
	struct beside *b = ctx;

	(void)thread;
	(void)seq;
	(void)rq;
	if (http_is(rs, 200, NULL))
		__atomic_add_fetch(&b->served, 1, __ATOMIC_RELAXED);
	else if (strcmp(rs->reason, "quarantined") == 0)
		__atomic_add_fetch(&b->quarantined, 1, __ATOMIC_RELAXED);
	else
		__atomic_add_fetch(&b->failed, 1, __ATOMIC_RELAXED);
}

/*
 * Starts again the servers that have died, as the platform would, and
 * returns how many died of the request.
 */
static int
restart_dead(void)
{
	int i, n = 0;

	for (i = 0; i < NODES; i++) {
		if (proc_running(fleet.list[i].server))
			continue;
		n++;
		fleet_server_start(&fleet, i);
	}
	return n;
}

/*
 * Sends the poisonous request ten times through all nodes, with the servers
 * restarted in between.  Returns the deaths, and in *refused how many
 * sendings were refused as quarantined.
 */
static int
send_poison(const char *path, const char *id, int *refused)
{
	struct http_req rq;
	struct http_res rs;
	int i, deaths = 0;

	*refused = 0;
	for (i = 0; i < RESENDS; i++) {
		http_req_init(&rq, "http://%s:%d%s", fleet.list[i % NODES].addr,
		    CALLER_PORT, path);
		http_req_header(&rq, "Authorization: Bearer %s", ACME_KEY);
		if (id != NULL)
			http_req_header(&rq, "Idempotency-Key: %s", id);
		rq.body = "please swallow this poison-pill";
		http_call(NULL, &rq, &rs);
		if (strcmp(rs.reason, "quarantined") == 0) {
			assert_string_equal(rs.outcome, "not-run");
			(*refused)++;
		} else
			assert_false(http_is(&rs, 200, NULL));
		http_res_finish(&rs);
		usleep(200000);
		deaths += restart_dead();
	}
	return deaths;
}

/*
 * An idempotent poisonous request, which the system itself would retry, with
 * harmless ones in flight beside it.
 */
static void
test_idempotent(void **state)
{
	static struct beside b; /* outlives a failed assertion */
	static struct load l = { .threads = THREADS,
		.interval_us = 8000,
		.request = beside_request,
		.answer = beside_answer,
		.ctx = &b };
	int deaths, refused;

	(void)state;
	assert_int_equal(load_start(&l), 0);
	deaths = send_poison("/page/bad", NULL, &refused);
	load_stop(&l);
	print_message("%d deaths, %d of %d refused; beside it %llu served, "
		      "%llu failed, %llu quarantined\n",
	    deaths, refused, RESENDS, (unsigned long long)b.served,
	    (unsigned long long)b.failed, (unsigned long long)b.quarantined);
	assert_true(deaths >= 1);
	assert_true(deaths <= 2);
	assert_true(refused >= RESENDS - 2);
	assert_int_equal(b.quarantined, 0);
	assert_int_equal(
	    fleet_ready(&fleet, "/page/beside-0", ACME_KEY, BACK_MS), 0);
}

/*
 * A non-idempotent one that its caller sends again under new ids.
 */
static void
test_order(void **state)
{
	int deaths, refused;

	(void)state;
	assert_int_equal(
	    fleet_ready(&fleet, "/page/again", ACME_KEY, BACK_MS), 0);
	deaths = send_poison("/order/bad", NULL, &refused);
	print_message(
	    "order: %d deaths, %d of %d refused\n", deaths, refused, RESENDS);
	assert_true(deaths >= 1);
	assert_true(deaths <= 2);
	assert_int_equal(
	    fleet_ready(&fleet, "/page/again", ACME_KEY, BACK_MS), 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_idempotent),
		cmocka_unit_test(test_order),
	};

	return cmocka_run_group_tests(tests, setup, harness_teardown);
}
