#include <pthread.h>
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

#include <sys/wait.h>

/*
 * A leaving backend server receives no new work after a few seconds, and a
 * planned stop of server or node cuts no request in flight.
 */

#define NODES 4
#define THREADS 16
#define CROWD 32
#define CROWD_STOPS 3
#define CROWD_STARTS 8
#define CROWD_BYTES 100000
#define CROWD_PAUSE_US 200
#define PAUSE_US 20000
#define BOUND_MS 3000
#define STOP_MS 15000
#define LOAD_MS 700
#define KILL_LOAD_MS 5000
#define REASONS_MAX 8
#define REFUSED_SHARE 100 /* at most one in this many, within the rate */

struct refusals {
	char reason[32];
	uint64_t count;
	uint64_t first_ms;
	uint64_t last_ms;
};

struct traffic {
	uint64_t served;
	uint64_t not_run; /* refused, and sent again by a real caller */
	uint64_t unreached;
	uint64_t cut;
	uint64_t other;
	int kills;	/* a node dies with what is at work there */
	uint64_t maybe; /* orders of which that node's death leaves no word */
	useconds_t pause_us; /* before it tries a closed port again */
	char sample[200];
	pthread_mutex_t lock; /* guards all below */
	struct refusals refused[REASONS_MAX];
};

static struct fleet fleet;
static struct traffic small; /* of a small workspace, in test_rolling */
static uint64_t rolling_ms;  /* when that began */

/*
 * Starts four nodes and servers; slow requests keep some in flight.
 */
static int
setup(void **state)
{
	harness_setup(state);
	return std_start(&fleet, NODES, 0);
}

/*
 * Fills in a request: half are orders with an id, half are pages.
 */
static int
traffic_request(void *ctx, int thread, uint64_t seq, struct http_req *rq)
{
	(void)ctx;
	http_req_init(rq, "http://%s:%d/%s/t?bytes=100000&tag=9",
	    fleet.list[thread % NODES].addr, CALLER_PORT,
	    thread % 2 == 0 ? "order" : "file");
	http_req_header(rq, "Authorization: Bearer %s", ACME_KEY);
	http_req_header(
	    rq, "Idempotency-Key: %016llx", (unsigned long long)rand_u64());
	http_req_header(
	    rq, "X-Attempt: %d.%llu", thread, (unsigned long long)seq);
	return 0;
}

/*
 * Fills in a request of a crowd: all at the same node.
 */
static int
crowd_request(void *ctx, int thread, uint64_t seq, struct http_req *rq)
{
	(void)ctx;
	http_req_init(rq, "http://%s:%d/file/t?bytes=%d&tag=9",
	    fleet.list[1].addr, CALLER_PORT, CROWD_BYTES);
	http_req_header(rq, "Authorization: Bearer %s", CROWD_KEY);
	http_req_header(
	    rq, "X-Attempt: %d.%llu", thread, (unsigned long long)seq);
	return 0;
}

/*
 * Counts a refusal under its reason.
 */
static void
traffic_refused(struct traffic *t, const char *reason)
{
	struct refusals *r = t->refused;
	uint64_t now = clock_ms();

	pthread_mutex_lock(&t->lock);
	while (r < &t->refused[REASONS_MAX - 1] && r->count > 0 &&
	       strcmp(r->reason, reason) != 0)
		r++;
	snprintf(r->reason, sizeof(r->reason), "%s", reason);
	if (r->count++ == 0)
		r->first_ms = now;
	r->last_ms = now;
	pthread_mutex_unlock(&t->lock);
}

/*
 * Prints the refusals by reason and when they came, and asserts that they
 * were few: all of the traffic is within its rate.
 */
static void
check_refused(struct traffic *t, uint64_t stop_ms)
{
	const struct refusals *r;

	for (r = t->refused; r < &t->refused[REASONS_MAX]; r++)
		if (r->count > 0)
			print_message("%llu %s, %lld to %lld ms after the "
				      "stop began\n",
			    (unsigned long long)r->count, r->reason,
			    (long long)(r->first_ms - stop_ms),
			    (long long)(r->last_ms - stop_ms));
	assert_true(t->not_run * REFUSED_SHARE <= t->served + t->not_run);
}

/*
 * Sorts the answers: served, refused, never connected, cut, other.
 */
static void
traffic_answer(void *ctx, int thread, uint64_t seq, const struct http_req *rq,
    const struct http_res *rs)
{
	struct traffic *t = ctx;
	uint64_t *n = &t->other;

	(void)rq;
	if (http_is(rs, 200, NULL) && http_content_is(rs, 9, 100000))
		n = &t->served;
	else if (strcmp(rs->outcome, "not-run") == 0) {
		n = &t->not_run;
		traffic_refused(t, rs->reason);
	} else if (rs->code == CURLE_COULDNT_CONNECT)
		n = &t->unreached;
	else if (rs->code != CURLE_OK)
		n = &t->cut;
	else if (t->kills && thread % 2 == 0 && rs->status == 502 &&
		 strcmp(rs->outcome, "may-have-run") == 0)
		n = &t->maybe;
	if (n == &t->cut || n == &t->other)
		snprintf(t->sample, sizeof(t->sample),
		    "attempt %d.%llu curl %d status %ld %s %s after %llu us",
		    thread, (unsigned long long)seq, (int)rs->code, rs->status,
		    rs->outcome, rs->reason, (unsigned long long)rs->us);
	__atomic_add_fetch(n, 1, __ATOMIC_RELAXED);
	if (n == &t->unreached)
		usleep(t->pause_us);
}

/*
 * Prepares the usual traffic, each thread with a request at an interval (us).
 */
static void
traffic_load(struct load *l, struct traffic *t, uint64_t interval_us)
{
	memset(t, 0, sizeof(*t));
	memset(l, 0, sizeof(*l));
	t->pause_us = PAUSE_US;
	l->threads = THREADS;
	l->interval_us = interval_us;
	l->request = traffic_request;
	l->answer = traffic_answer;
	l->ctx = t;
}

/*
 * Prints the counts and asserts that nothing was cut.
 */
static void
check_uncut(const char *what, const struct traffic *t)
{
	struct runlog rl;
	char attempt[40] = "";

	if (sscanf(t->sample, "attempt %39s", attempt) == 1) {
		runlog_init(&rl);
		runlog_read(&rl, &fleet);
		print_message("attempt %s ran %zu times\n", attempt,
		    runlog_count_attempt(&rl, attempt));
		runlog_finish(&rl);
	}
	print_message("%s: %llu served, %llu not run, %llu unreached, "
		      "%llu cut, %llu other %s\n",
	    what, (unsigned long long)t->served, (unsigned long long)t->not_run,
	    (unsigned long long)t->unreached, (unsigned long long)t->cut,
	    (unsigned long long)t->other, t->sample);
	assert_true(t->served > 100);
	assert_int_equal(t->cut, 0);
	assert_int_equal(t->other, 0);
}

/*
 * SIGTERM for a backend server under load: it drains and leaves, and no
 * request fails.
 */
static void
test_server_stop(void **state)
{
	struct traffic t;
	struct load l;
	int ended;

	(void)state;
	traffic_load(&l, &t, 4000);
	fleet_server_control(&fleet, 0, "{\"service_us\":50000}");
	assert_int_equal(load_start(&l), 0);
	usleep(LOAD_MS * 1000);
	proc_signal(fleet.list[0].server, SIGTERM);
	ended = proc_wait(fleet.list[0].server, STOP_MS);
	usleep(LOAD_MS * 1000);
	load_stop(&l);
	assert_int_equal(ended, 0);
	check_uncut("server stopped", &t);
	assert_true(WIFEXITED(proc_status(fleet.list[0].server)));
	assert_int_equal(WEXITSTATUS(proc_status(fleet.list[0].server)), 0);
	fleet_server_start(&fleet, 0);
}

/*
 * SIGTERM for a node under load: it ends by itself with status 0, callers on
 * it see refusals or closed connections but no cut answer, and the other
 * nodes' callers see nothing.
 */
static void
test_node_stop(void **state)
{
	struct traffic t;
	struct load l;
	uint64_t began;
	int ended;

	(void)state;
	traffic_load(&l, &t, 4000);
	assert_int_equal(load_start(&l), 0);
	usleep(LOAD_MS * 1000);
	began = clock_ms();
	proc_signal(fleet.list[1].node, SIGTERM);
	ended = proc_wait(fleet.list[1].node, STOP_MS);
	print_message("node stopped in %llu ms\n",
	    (unsigned long long)(clock_ms() - began));
	usleep(LOAD_MS * 1000);
	load_stop(&l);
	assert_int_equal(ended, 0);
	check_uncut("node stopped", &t);
	check_refused(&t, began);
	assert_true(WIFEXITED(proc_status(fleet.list[1].node)));
	assert_int_equal(WEXITSTATUS(proc_status(fleet.list[1].node)), 0);
	fleet_node_start(&fleet, 1);
	assert_int_equal(
	    fleet_ready(&fleet, "/page/back", ACME_KEY, STD_READY_MS), 0);
}

/*
 * SIGTERM for a node that a crowd connects to all the time: a connection is
 * either never made or brings its whole answer.
 */
static void
test_node_stop_crowd(void **state)
{
	struct traffic t;
	struct load l = { .threads = CROWD,
		.request = crowd_request,
		.answer = traffic_answer,
		.ctx = &t };
	uint64_t began;
	int i, ended = 0;

	(void)state;
	memset(&t, 0, sizeof(t));
	t.pause_us = PAUSE_US;
	assert_int_equal(load_start(&l), 0);
	began = clock_ms();
	for (i = 0; i < CROWD_STOPS && ended == 0; i++) {
		usleep(LOAD_MS * 1000);
		proc_signal(fleet.list[1].node, SIGTERM);
		ended = proc_wait(fleet.list[1].node, STOP_MS);
		fleet_node_start(&fleet, 1);
	}
	load_stop(&l);
	assert_int_equal(ended, 0);
	check_uncut("crowd", &t);
	check_refused(&t, began);
	assert_int_equal(
	    fleet_ready(&fleet, "/page/back", ACME_KEY, STD_READY_MS), 0);
}

/*
 * SIGKILL for a node that a crowd connects to all the time, again and again:
 * whatever the new process answers is its own answer, from the first request
 * on.
 */
static void
test_node_start_crowd(void **state)
{
	struct traffic t;
	struct load l = { .threads = CROWD,
		.request = crowd_request,
		.answer = traffic_answer,
		.ctx = &t };
	int i, ready = 0;

	(void)state;
	memset(&t, 0, sizeof(t));
	t.pause_us = CROWD_PAUSE_US;
	assert_int_equal(load_start(&l), 0);
	for (i = 0; i < CROWD_STARTS && ready == 0; i++) {
		proc_kill(fleet.list[1].node);
		fleet_node_start(&fleet, 1);
		ready =
		    fleet_ready(&fleet, "/page/back", ACME_KEY, STD_READY_MS);
	}
	load_stop(&l);
	assert_int_equal(ready, 0);
	print_message("started: %llu served, %llu cut, %llu other %s\n",
	    (unsigned long long)t.served, (unsigned long long)t.cut,
	    (unsigned long long)t.other, t.sample);
	assert_true(t.served > 100);
	assert_int_equal(t.other, 0);
}

/*
 * Fills in a page of a workspace with a small rate.
 */
static int
small_request(void *ctx, int thread, uint64_t seq, struct http_req *rq)
{
	(void)ctx;
	http_req_init(rq, "http://%s:%d/file/t?bytes=100000&tag=9",
	    fleet.list[thread % NODES].addr, CALLER_PORT);
	http_req_header(rq, "Authorization: Bearer %s", SMALL_KEY);
	http_req_header(
	    rq, "X-Attempt: %d.%llu", thread, (unsigned long long)seq);
	return 0;
}

/*
 * All nodes are restarted, one after the other.
 */
static void
test_rolling(void **state)
{
	struct traffic t;
	struct load l;
	struct load s = { .threads = 1,
		.interval_us = 400000,
		.spaced = 1, /* or it is over its rate after a slow answer */
		.request = small_request,
		.answer = traffic_answer,
		.ctx = &small };
	int i, ended = 0;

	(void)state;
	traffic_load(&l, &t, 20000);
	memset(&small, 0, sizeof(small));
	small.pause_us = PAUSE_US;
	assert_int_equal(load_start(&l), 0);
	assert_int_equal(load_start(&s), 0);
	rolling_ms = clock_ms();
	for (i = 1; i <= NODES && ended == 0; i++) {
		usleep(LOAD_MS * 1000);
		proc_signal(fleet.list[i % NODES].node, SIGTERM);
		ended = proc_wait(fleet.list[i % NODES].node, STOP_MS);
		fleet_node_start(&fleet, i % NODES);
		fleet_ready(&fleet, "/page/back", ACME_KEY, STD_READY_MS);
	}
	load_stop(&l);
	load_stop(&s);
	assert_int_equal(ended, 0);
	check_uncut("rolling", &t);
	check_refused(&t, rolling_ms);
}

/*
 * Nor is a small workspace refused meanwhile, whose limit is one partition's.
 */
static void
test_rolling_small(void **state)
{
	(void)state;
	print_message("small: %llu served, %llu not run\n",
	    (unsigned long long)small.served,
	    (unsigned long long)small.not_run);
	assert_true(small.served > 0);
	check_refused(&small, rolling_ms);
}

/*
 * SIGKILL for a node under load: the others' callers wait until its leases
 * have new owners.  Orders that were at work at that node may have run, and
 * must not run again, so their callers are told just that; each caller has one.
 */
static void
test_node_kill(void **state)
{
	struct traffic t;
	struct load l;
	uint64_t began;

	(void)state;
	traffic_load(&l, &t, 4000);
	t.kills = 1;
	assert_int_equal(load_start(&l), 0);
	usleep(LOAD_MS * 1000);
	began = clock_ms();
	proc_kill(fleet.list[2].node);
	fleet_node_start(&fleet, 2);
	usleep(KILL_LOAD_MS * 1000);
	load_stop(&l);
	print_message("node killed: %llu served, %llu not run, %llu may have "
		      "run, %llu other %s\n",
	    (unsigned long long)t.served, (unsigned long long)t.not_run,
	    (unsigned long long)t.maybe, (unsigned long long)t.other, t.sample);
	check_refused(&t, began);
	assert_true(t.maybe <= THREADS / 2);
	assert_int_equal(t.other, 0);
	assert_int_equal(
	    fleet_ready(&fleet, "/page/back", ACME_KEY, STD_READY_MS), 0);
}

/*
 * A server that asks to drain, but would go on serving, gets no new work
 * after the bound.
 */
static void
test_drain(void **state)
{
	struct traffic t;
	struct load l;
	struct runlog rl;
	struct http_req rq;
	struct http_res rs;
	uint64_t when;
	size_t i, late = 0;
	int accepted;

	(void)state;
	traffic_load(&l, &t, 4000);
	assert_int_equal(load_start(&l), 0);
	usleep(LOAD_MS * 1000);
	fleet_server_control(&fleet, 2, "{\"announce\":false}");
	http_req_init(
	    &rq, "http://%s:%d/cyclamen/drain", fleet.list[2].addr, INNER_PORT);
	rq.method = "POST";
	rq.body = " ";
	http_call(NULL, &rq, &rs);
	accepted = rs.status >= 200 && rs.status < 300;
	http_res_finish(&rs);
	when = clock_us();
	usleep((BOUND_MS + 1000) * 1000);
	load_stop(&l);
	runlog_init(&rl);
	runlog_read(&rl, &fleet);
	for (i = 0; i < rl.count; i++)
		late += rl.list[i].inst == 2 &&
			rl.list[i].us > when + BOUND_MS * 1000ULL;
	runlog_finish(&rl);
	assert_true(accepted);
	check_uncut("drained", &t);
	assert_int_equal(late, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_server_stop),
		cmocka_unit_test(test_node_stop),
		cmocka_unit_test(test_node_stop_crowd),
		cmocka_unit_test(test_node_start_crowd),
		cmocka_unit_test(test_rolling),
		cmocka_unit_test(test_rolling_small),
		cmocka_unit_test(test_node_kill),
		cmocka_unit_test(test_drain),
	};

	return cmocka_run_group_tests(tests, setup, harness_teardown);
}
