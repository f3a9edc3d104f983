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
 * A caller receives the whole answer to its own request or a visibly broken
 * one; the contract with backend servers under every fault.
 */

#define NODES 3
#define LARGE_BYTES (32 * 1024 * 1024)
#define CROSS_THREADS 12
#define CROSS_MS 3000

/*
 * One fault of a server.  With `once` only one answer is spoilt, so that
 * another run may serve an idempotent request.
 */
struct fault_case {
	const char *fault;
	int once;
	int ok;		   /* the caller must get the whole answer */
	const char *bytes; /* query */
	size_t len;
};

static const struct fault_case cases[] = {
	{ "late", 0, 1, "?bytes=1000&tag=11", 1000 },
	{ "twice", 0, 1, "?bytes=1000&tag=11", 1000 },
	{ "cut", 1, 1, "?bytes=1000&tag=11", 1000 },
	{ "garbage", 1, 1, "?bytes=1000&tag=11", 1000 },
	{ "oversize", 1, 1, "?bytes=1000&tag=11", 1000 },
	{ "chunk-cut", 1, 1, "?bytes=1000&tag=11", 1000 },
	{ "lost", 1, 1, "?bytes=1000&tag=11", 1000 },
	{ "wrong-id", 1, 1, "?bytes=1000&tag=11", 1000 },
	{ "cut", 0, 0, "?bytes=1000&tag=11", 1000 },
	{ "garbage", 0, 0, "?bytes=1000&tag=11", 1000 },
	{ "oversize", 0, 0, "?bytes=1000&tag=11", 1000 },
	{ "chunk-cut", 0, 0, "?bytes=1000&tag=11", 1000 },
	{ "lost", 0, 0, "?bytes=1000&tag=11", 1000 },
	{ "wrong-id", 0, 0, "?bytes=1000&tag=11", 1000 },
	{ "stall", 0, 0, "?bytes=1000&tag=11", 1000 },
	{ "cut", 0, 0, "?bytes=2000000&tag=11", 2000000 },
	{ "stall", 0, 0, "?bytes=2000000&tag=11", 2000000 },
};

struct cross {
	uint64_t whole;
	uint64_t broken;
	uint64_t wrong;
};

static struct fleet fleet;

/*
 * Starts three nodes.
 */
static int
setup(void **state)
{
	harness_setup(state);
	return std_start(&fleet, NODES, 0);
}

/*
 * Sets the fault of every server.
 */
static void
spoil(const char *fault, int count)
{
	char ctl[96];
	int i;

	snprintf(ctl, sizeof(ctl), "{\"fault\":\"%s\",\"fault_count\":%d}",
	    fault, count);
	for (i = 0; i < NODES; i++)
		fleet_server_control(&fleet, i, ctl);
}

/*
 * Sets the fault of a case: at every server, or for one answer of the
 * first one only.
 */
static void
spoil_for(const struct fault_case *c)
{
	char ctl[96];

	if (!c->once) {
		spoil(c->fault, -1);
		return;
	}
	snprintf(
	    ctl, sizeof(ctl), "{\"fault\":\"%s\",\"fault_count\":1}", c->fault);
	fleet_server_control(&fleet, 0, ctl);
}

/*
 * Waits until a sound answer comes through a node again, so that one case
 * does not disturb the next.
 */
static void
recover(const char *after)
{
	spoil("none", 0);
	if (fleet_ready(&fleet, "/page/recover", ACME_KEY, STD_READY_MS) == -1)
		fail_msg("no recovery after %s", after);
}

/*
 * Every row: the caller gets the whole answer, or an error status that says
 * how it stands, or a connection that breaks; never a false whole.
 */
static void
test_server_faults(void **state)
{
	const struct fault_case *c;
	struct http_res rs;
	char path[96];
	size_t i;
	int tries;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		c = &cases[i];
		spoil_for(c);
		snprintf(path, sizeof(path), "/page/f%zu%s", i, c->bytes);
		/* One spoilt answer is met by one of a few requests. */
		for (tries = c->once ? 6 : 0; tries > 0; tries--) {
			fleet_call(&fleet, tries % NODES, path, ACME_KEY, &rs);
			if (!http_is(&rs, 200, NULL))
				break;
			assert_true(http_content_is(&rs, 11, c->len));
			http_res_finish(&rs);
		}
		if (tries == 0)
			fleet_call(
			    &fleet, (int)(i % NODES), path, ACME_KEY, &rs);
		print_message("%s%s %s: curl %d status %ld %s %s\n", c->fault,
		    c->once ? " once" : "", c->bytes, (int)rs.code, rs.status,
		    rs.outcome, rs.reason);
		if (c->ok && !http_is(&rs, 200, NULL))
			fail_msg("%s: no whole answer", c->fault);
		if (http_is(&rs, 200, NULL))
			assert_true(http_content_is(&rs, 11, c->len));
		else if (rs.code == CURLE_OK) {
			assert_true(rs.status >= 500);
			assert_string_equal(rs.outcome, "may-have-run");
		}
		http_res_finish(&rs);
		recover(c->fault);
	}
}

/*
 * An answer that says the work failed is passed on as it is.
 */
static void
test_error_passed(void **state)
{
	struct http_res rs;

	(void)state;
	spoil("error", -1);
	fleet_call(&fleet, 1, "/page/err", ACME_KEY, &rs);
	assert_int_equal(rs.status, 500);
	assert_string_equal(rs.outcome, "done");
	http_res_finish(&rs);
	recover("error");
}

/*
 * Large answers come whole, and one cut midway is visibly broken.
 */
static void
test_large(void **state)
{
	struct http_res rs;
	int i;

	(void)state;
	for (i = 0; i < NODES; i++) {
		fleet_call(
		    &fleet, i, "/file/l?bytes=33554432&tag=5", ACME_KEY, &rs);
		assert_true(http_is(&rs, 200, NULL));
		assert_true(http_content_is(&rs, 5, LARGE_BYTES));
		http_res_finish(&rs);
	}
	spoil("cut", -1);
	for (i = 0; i < NODES; i++) {
		fleet_call(
		    &fleet, i, "/file/l?bytes=33554432&tag=5", ACME_KEY, &rs);
		assert_false(http_is(&rs, 200, NULL));
		http_res_finish(&rs);
	}
	recover("cut");
}

/*
 * Fills in a request for the content of a tag of its own; every fifth caller
 * gives up early, so that answers come when nobody waits for them.
 */
static int
cross_request(void *ctx, int thread, uint64_t seq, struct http_req *rq)
{
	uint64_t tag = (uint64_t)thread * 100000 + seq + 1;

	(void)ctx;
	http_req_init(rq, "http://%s:%d/file/x?bytes=%llu&tag=%llu",
	    fleet.list[(thread + (int)seq) % NODES].addr, CALLER_PORT,
	    (unsigned long long)(1000 + tag % 7 * 40000),
	    (unsigned long long)tag);
	http_req_header(rq, "Authorization: Bearer %s", ACME_KEY);
	if ((thread + (int)seq) % 5 == 0)
		rq->timeout_ms = 2;
	return 0;
}

/*
 * Checks that an answer is the one that was asked for.
 */
static void
cross_answer(void *ctx, int thread, uint64_t seq, const struct http_req *rq,
    const struct http_res *rs)
{
	uint64_t tag = (uint64_t)thread * 100000 + seq + 1;
	struct cross *c = ctx;

	(void)rq;
	if (!http_is(rs, 200, NULL))
		__atomic_add_fetch(&c->broken, 1, __ATOMIC_RELAXED);
	else if (rs->tag == (long)tag &&
		 http_content_is(rs, tag, 1000 + tag % 7 * 40000))
		__atomic_add_fetch(&c->whole, 1, __ATOMIC_RELAXED);
	else
		__atomic_add_fetch(&c->wrong, 1, __ATOMIC_RELAXED);
}

/*
 * Many callers on reused connections, some giving up, some answers late or
 * given twice: nobody gets an answer that is not its own.
 */
static void
test_crossed(void **state)
{
	static const char *const faults[] = { "none", "late", "twice", "cut" };
	struct cross c;
	struct load l = { .threads = CROSS_THREADS,
		.request = cross_request,
		.answer = cross_answer,
		.ctx = &c };
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		memset(&c, 0, sizeof(c));
		fleet_server_control(&fleet, 0, "{\"late_ms\":30}");
		spoil(faults[i], 40);
		load_run(&l, CROSS_MS / 2);
		print_message("%s: %llu whole, %llu broken or refused, %llu "
			      "wrong\n",
		    faults[i], (unsigned long long)c.whole,
		    (unsigned long long)c.broken, (unsigned long long)c.wrong);
		assert_int_equal(c.wrong, 0);
		assert_true(c.whole > 0);
		recover(faults[i]);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_server_faults),
		cmocka_unit_test(test_error_passed),
		cmocka_unit_test(test_large),
		cmocka_unit_test(test_crossed),
	};

	return cmocka_run_group_tests(tests, setup, harness_teardown);
}
