#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "admission/admission.h"
#include "base/clock.h"

#define SLOTS 16
#define COLD_LIMIT (SLOTS / 4)
#define SECOND_US 1000000
#define CALLERS 32
#define CALLS_PER_CALLER 200
#define COST_CALLS 1000000
#define ANSWERS 200
#define POLL_US 1000

struct caller {
	pthread_t thread;
	struct admission *a;
	struct admission_req req;
	struct admission_ticket ticket;
	enum admission_verdict verdict;
	int leave_at_once;
};

static atomic_int running, max_running;

/*
 * Returns a request of a class whose deadline is 10 seconds away.
 */
static struct admission_req
request(enum admission_class class, uint32_t depth, uint64_t hash)
{
	struct admission_req r = { class, depth, hash,
		clock_us() + 10 * SECOND_US };

	return r;
}

/*
 * Thread: enters once and holds the place, or leaves at once if
 * leave_at_once is set.
 */
static void *
enter_once(void *arg)
{
	struct caller *c = arg;

	c->verdict = admission_enter(c->a, &c->req, &c->ticket);
	if (c->verdict == ADMISSION_RUN && c->leave_at_once)
		admission_leave(&c->ticket, ADMISSION_SERVED, 1000);
	return NULL;
}

/*
 * Starts a caller thread and waits until its request is counted as
 * outstanding.
 */
static void
start_caller(struct caller *c, struct admission *a, enum admission_class class,
    int leave_at_once)
{
	uint32_t n = admission_outstanding(a);

	memset(c, 0, sizeof(*c));
	c->a = a;
	c->leave_at_once = leave_at_once;
	c->req = request(class, 0, 0);
	assert_int_equal(pthread_create(&c->thread, NULL, enter_once, c), 0);
	while (admission_outstanding(a) <= n)
		usleep(POLL_US);
}

/*
 * Thread: enters and leaves many times and records the highest number of
 * requests that run at once.
 */
static void *
enter_repeatedly(void *arg)
{
	struct admission_ticket t;
	struct admission_req r;
	int i, n;

	for (i = 0; i < CALLS_PER_CALLER; i++) {
		r = request((enum admission_class)(i % 4), 0, (uint64_t)i);
		if (admission_enter(arg, &r, &t) != ADMISSION_RUN)
			continue;
		n = atomic_fetch_add(&running, 1) + 1;
		if (n > atomic_load(&max_running))
			atomic_store(&max_running, n);
		atomic_fetch_sub(&running, 1);
		admission_leave(&t, ADMISSION_SERVED, 100);
	}
	return NULL;
}

/*
 * Guards against more requests in flight than the server has slots, with
 * many concurrent callers.
 */
static void
test_inflight_never_exceeds_slots(void **state)
{
	pthread_t th[CALLERS];
	struct admission a;
	int i;

	(void)state;
	admission_init(&a);
	admission_server_reset(&a, SLOTS);
	for (i = 0; i < CALLERS; i++)
		assert_int_equal(
		    pthread_create(&th[i], NULL, enter_repeatedly, &a), 0);
	for (i = 0; i < CALLERS; i++)
		pthread_join(th[i], NULL);
	assert_true(atomic_load(&max_running) <= SLOTS);
	assert_int_equal(admission_outstanding(&a), 0);
	admission_finish(&a);
}

enum event {
	EVENT_LEAVE,
	EVENT_DRAIN,
	EVENT_STOP,
	EVENT_SERVER_LOST,
	EVENT_RESET,
	EVENT_NONE
};

/*
 * Checks the verdicts of a waiting and of a later request after each event
 * at the server or node, and that no request is outstanding at the end.
 */
static void
test_server_events(void **state)
{
	static const struct {
		enum event event;
		uint64_t left_us;
		enum admission_verdict waiting, next;
	} cases[] = {
		{ EVENT_LEAVE, SECOND_US, ADMISSION_RUN, ADMISSION_RUN },
		{ EVENT_DRAIN, SECOND_US, ADMISSION_DRAINING,
		    ADMISSION_DRAINING },
		{ EVENT_STOP, SECOND_US, ADMISSION_RUN, ADMISSION_STOPPING },
		{ EVENT_SERVER_LOST, SECOND_US, ADMISSION_NO_SERVER,
		    ADMISSION_NO_SERVER },
		{ EVENT_RESET, SECOND_US, ADMISSION_RUN, ADMISSION_RUN },
		{ EVENT_NONE, 50000, ADMISSION_DEADLINE, ADMISSION_RUN },
	};
	struct caller c[COLD_LIMIT + 1];
	struct admission_ticket t;
	struct admission_req r;
	struct admission a;
	size_t i;
	int j;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		admission_init(&a);
		admission_server_reset(&a, SLOTS);
		for (j = 0; j < COLD_LIMIT; j++)
			start_caller(&c[j], &a, ADMISSION_LOW, 0);
		memset(&c[COLD_LIMIT], 0, sizeof(c[COLD_LIMIT]));
		start_caller(&c[COLD_LIMIT], &a, ADMISSION_NORMAL, 1);
		if (cases[i].event == EVENT_DRAIN)
			admission_drain(&a);
		if (cases[i].event == EVENT_STOP)
			admission_stop(&a);
		if (cases[i].event == EVENT_SERVER_LOST)
			admission_server_reset(&a, 0);
		if (cases[i].event == EVENT_RESET)
			admission_server_reset(&a, SLOTS);
		if (cases[i].event == EVENT_NONE) {
			r = request(ADMISSION_CRITICAL, 0, 0);
			r.deadline_us = clock_us() + cases[i].left_us;
			assert_int_equal(
			    admission_enter(&a, &r, &t), ADMISSION_DEADLINE);
		}
		for (j = 0; j < COLD_LIMIT; j++) {
			pthread_join(c[j].thread, NULL);
			assert_int_equal(c[j].verdict, ADMISSION_RUN);
			admission_leave(&c[j].ticket, ADMISSION_SERVED, 1000);
		}
		pthread_join(c[COLD_LIMIT].thread, NULL);
		if (cases[i].event != EVENT_NONE)
			assert_int_equal(
			    c[COLD_LIMIT].verdict, cases[i].waiting);
		r = request(ADMISSION_NORMAL, 0, 0);
		assert_int_equal(admission_enter(&a, &r, &t), cases[i].next);
		if (cases[i].next == ADMISSION_RUN)
			admission_leave(&t, ADMISSION_SERVED, 1000);
		assert_int_equal(admission_outstanding(&a), 0);
		admission_finish(&a);
	}
}

/*
 * Guards against a request of a crashed server incarnation freeing a place
 * of the new one.
 */
static void
test_stale_request_frees_no_place(void **state)
{
	struct admission_waiter old[SLOTS], w[COLD_LIMIT + 1], *evicted;
	struct admission_req r = request(ADMISSION_HIGH, 0, 0);
	static struct admission_core c;
	int i;

	(void)state;
	core_init(&c, 1);
	core_reset(&c, SLOTS, 1);
	assert_int_equal(
	    core_offer(&c, &r, &old[0], &evicted, 1), ADMISSION_RUN);
	core_reset(&c, SLOTS, 2);
	for (i = 0; i < COLD_LIMIT; i++)
		assert_int_equal(
		    core_offer(&c, &r, &w[i], &evicted, 3), ADMISSION_RUN);
	assert_int_equal(
	    core_offer(&c, &r, &w[i], &evicted, 4), ADMISSION_WAIT);
	core_release(&c, &old[0], ADMISSION_FAILED, 3, 5);
	assert_null(core_next(&c, 6));
	core_release(&c, &w[0], ADMISSION_SERVED, 3, 7);
	assert_ptr_equal(core_next(&c, 8), &w[COLD_LIMIT]);
}

/*
 * Requests are ordered by class, then by depth, then by the hash of the
 * root, and ranks follow the same order.
 */
static void
test_importance_order(void **state)
{
	static const struct admission_req rows[] = {
		{ ADMISSION_CRITICAL, 9, 5, 0 },
		{ ADMISSION_CRITICAL, 0, 0, 0 },
		{ ADMISSION_HIGH, 17, ~0ULL, 0 },
		{ ADMISSION_HIGH, 4, 0, 0 },
		{ ADMISSION_HIGH, 4, 1ULL << 60, 0 },
		{ ADMISSION_HIGH, 1, 0, 0 },
		{ ADMISSION_NORMAL, 0, 0, 0 },
		{ ADMISSION_LOW, 20, 0, 0 },
		{ ADMISSION_LOW, 0, ~0ULL, 0 },
	};
	size_t i;

	(void)state;
	for (i = 1; i < sizeof(rows) / sizeof(rows[0]); i++) {
		assert_true(
		    admission_order(&rows[i - 1]) < admission_order(&rows[i]));
		assert_true(
		    admission_rank(&rows[i - 1]) <= admission_rank(&rows[i]));
	}
	assert_int_equal(admission_rank(&rows[8]), ADMISSION_LEVEL_ALL);
}

/*
 * A full queue evicts its least important request for a more important one
 * and refuses a less important one.
 */
static void
test_full_queue_evicts_least_important(void **state)
{
	static struct admission_core c;
	struct admission_waiter w[64], *evicted;
	struct admission_req r = request(ADMISSION_NORMAL, 0, 0);
	enum admission_verdict v = ADMISSION_RUN;
	int n = 0;

	(void)state;
	core_init(&c, 1);
	core_reset(&c, SLOTS, 1);
	while (v != ADMISSION_OVERLOAD)
		v = core_offer(&c, &r, &w[n++], &evicted, 1);
	assert_int_equal(n, COLD_LIMIT + 16 + 1);
	r.class = ADMISSION_LOW;
	assert_int_equal(
	    core_offer(&c, &r, &w[n], &evicted, 1), ADMISSION_OVERLOAD);
	r.class = ADMISSION_CRITICAL;
	assert_int_equal(
	    core_offer(&c, &r, &w[n], &evicted, 1), ADMISSION_WAIT);
	assert_ptr_equal(evicted, &w[n - 2]);
	assert_int_equal(evicted->verdict, ADMISSION_OVERLOAD);
	core_release(&c, &w[0], ADMISSION_SERVED, 3, 2);
	assert_ptr_equal(core_next(&c, 2), &w[n]);
}

/*
 * With no free place, the level refuses critical and high requests only by
 * whole classes, and any rank of the other classes.
 */
static void
test_level_sheds_whole_important_classes(void **state)
{
	static const struct {
		uint32_t level;
		enum admission_class class;
		enum admission_verdict verdict;
	} rows[] = {
		{ ADMISSION_CRITICAL << 8, ADMISSION_CRITICAL, ADMISSION_WAIT },
		{ ADMISSION_CRITICAL << 8, ADMISSION_HIGH, ADMISSION_OVERLOAD },
		{ ADMISSION_HIGH << 8, ADMISSION_HIGH, ADMISSION_WAIT },
		{ ADMISSION_HIGH << 8, ADMISSION_NORMAL, ADMISSION_OVERLOAD },
		{ ADMISSION_NORMAL << 8, ADMISSION_NORMAL, ADMISSION_OVERLOAD },
	};
	static struct admission_core c;
	struct admission_waiter w[COLD_LIMIT + 1], *evicted;
	struct admission_req r;
	size_t i, n;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		core_init(&c, 1);
		core_reset(&c, SLOTS, 1);
		r = request(rows[i].class, 0, UINT64_MAX);
		for (n = 0; n < COLD_LIMIT; n++)
			core_offer(&c, &r, &w[n], &evicted, 1);
		c.level.max_rank = rows[i].level;
		assert_int_equal(
		    core_offer(&c, &r, &w[n], &evicted, 1), rows[i].verdict);
	}
}

/*
 * Checks the decision of an entry node for a level, by the rank, the age of
 * the level and the random number.
 */
static void
test_precheck_rank_age_and_probe(void **state)
{
	static const struct {
		uint64_t heard_us, now_us, rnd;
		uint32_t rank;
		enum admission_hint hint;
	} rows[] = {
		{ 1000, 2000, 1, 500, ADMISSION_HINT_SEND },
		{ 1000, 2000, 1, 501, ADMISSION_HINT_SHED },
		{ 1000, 2000, 32, 501, ADMISSION_HINT_PROBE },
		{ 1000, 1001001, 1, 501, ADMISSION_HINT_SEND },
		{ 0, 10, 1, 1023, ADMISSION_HINT_SEND },
	};
	struct admission_load load = { 500, 0, 0, 0, 0 };
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		assert_int_equal(admission_precheck(&load, rows[i].heard_us,
				     rows[i].rank, rows[i].now_us, rows[i].rnd),
		    rows[i].hint);
}

/*
 * A formatted load header parses to the same load, and malformed headers are
 * rejected.
 */
static void
test_load_header_round_trip(void **state)
{
	static const char *const bad[] = { "", "1,2,3,4", "1,2,3,4,5,6",
		"1024,2,3,4,5", "-1,2,3,4,5", "1,2,3,4,x", "1,,3,4,5",
		"1,2,3,4,4294967296", "1, 2,3,4,5" };
	struct admission_load in = { 1023, 2, 3, 4, 4294967295U }, parsed;
	char buf[ADMISSION_LOAD_TEXT_BYTES];
	size_t i;

	(void)state;
	admission_load_format(&in, buf);
	assert_int_equal(admission_load_parse(&parsed, buf), 0);
	assert_memory_equal(&in, &parsed, sizeof(in));
	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		assert_int_equal(admission_load_parse(&parsed, bad[i]), -1);
}

/*
 * Prints the time of one decision, an offer and an end, at an idle server.
 */
static void
test_decision_cost(void **state)
{
	static struct admission_core c;
	struct admission_req r = { ADMISSION_NORMAL, 0, 0, 1ULL << 40 };
	struct admission_waiter w[SLOTS], *evicted;
	uint64_t i, t;

	(void)state;
	core_init(&c, 1);
	core_reset(&c, SLOTS, 1);
	t = clock_us();
	for (i = 0; i < COST_CALLS; i++) {
		r.root_hash = i * 0x9e3779b97f4a7c15ULL;
		assert_int_equal(
		    core_offer(&c, &r, &w[0], &evicted, i), ADMISSION_RUN);
		core_release(&c, &w[0], ADMISSION_SERVED, 3, i);
		assert_null(core_next(&c, i));
	}
	t = clock_us() - t;
	print_message("%.0f ns per request\n", (double)t * 1e3 / COST_CALLS);
}

/*
 * Checks the conversion of a server's level to a chain level by the depth of
 * the answered call, and the decision of an entry node on it.  Nothing is
 * shed where half of the answers report no level.
 */
static void
test_downstream_level_check(void **state)
{
	static const struct {
		struct admission_req call; /* answered with the level */
		uint64_t hash;		   /* of a request at the entry node */
		uint32_t level, chain;
		enum admission_class class; /* of that request */
		enum admission_hint hint;
	} rows[] = {
		/* All requests are admitted. */
		{ { 2, 1, 0, 0 }, 63, 1023, 255, 3, ADMISSION_HINT_SEND },
		/* Half of the calls of class 2 at that depth are admitted. */
		{ { 2, 1, 0, 0 }, 31, 2 << 8 | 2 << 6 | 31, 2 << 6 | 31, 2,
		    ADMISSION_HINT_SEND },
		{ { 2, 1, 0, 0 }, 32, 2 << 8 | 2 << 6 | 31, 2 << 6 | 31, 2,
		    ADMISSION_HINT_SHED },
		{ { 2, 1, 0, 0 }, 63, 2 << 8 | 2 << 6 | 31, 2 << 6 | 31, 1,
		    ADMISSION_HINT_SEND },
		/* Only roots of class 2 are shed; calls are admitted. */
		{ { 2, 1, 0, 0 }, 63, 2 << 8 | 3 << 6 | 5, 2 << 6 | 63, 2,
		    ADMISSION_HINT_SEND },
		/* Deeper calls of class 2 are admitted, none at this depth. */
		{ { 2, 1, 0, 0 }, 0, 2 << 8 | 1 << 6 | 5, 1 << 6 | 63, 2,
		    ADMISSION_HINT_SHED },
		{ { 0, 1, 0, 0 }, 0, 5, 0, 0, ADMISSION_HINT_SEND },
	};
	struct admission_req req = { 0, 0, 0, 0 };
	struct admission_downstream e;
	size_t i;
	int j;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		assert_int_equal(
		    admission_chain_level(rows[i].level, &rows[i].call),
		    rows[i].chain);
		admission_downstream_init(&e);
		req.class = rows[i].class;
		req.root_hash = rows[i].hash << 58;
		assert_int_equal(
		    admission_downstream_check(&e, &req, SECOND_US, 1),
		    ADMISSION_HINT_SEND);
		for (j = 0; j < ANSWERS; j++)
			admission_downstream_reported(
			    &e, rows[i].chain, SECOND_US);
		assert_int_equal(
		    admission_downstream_check(&e, &req, SECOND_US, 1),
		    rows[i].hint);
		assert_int_not_equal(
		    admission_downstream_check(&e, &req, SECOND_US, 32),
		    ADMISSION_HINT_SHED);
		assert_int_equal(admission_downstream_check(
				     &e, &req, 2 * SECOND_US + 1000, 1),
		    ADMISSION_HINT_SEND);
		admission_downstream_served(&e, &req);
		assert_int_equal(
		    admission_downstream_check(&e, &req, SECOND_US, 1),
		    ADMISSION_HINT_SEND);
		for (j = 0; j < ANSWERS; j++) {
			admission_downstream_served(&e, &rows[0].call);
			admission_downstream_reported(
			    &e, rows[i].chain, SECOND_US);
		}
		assert_int_equal(
		    admission_downstream_check(&e, &req, SECOND_US, 1),
		    ADMISSION_HINT_SEND);
	}
}

/*
 * Guards against an old estimate of the service time refusing requests for
 * ever: it decays while nothing is served, and an idle server gets a request
 * whatever the estimate.
 */
static void
test_service_estimate_fades(void **state)
{
	static struct admission_core c;
	struct admission_req r = { ADMISSION_LOW, 0, 0, SECOND_US + 1000 };
	struct admission_waiter w[2], *evicted;
	uint64_t need;

	(void)state;
	core_init(&c, 1);
	core_reset(&c, SLOTS, 1);
	limiter_record_end(
	    &c.limiter, ADMISSION_SERVED, SECOND_US, 1, SECOND_US);
	need = limiter_min_service_us(&c.limiter, SECOND_US);
	assert_true(need > SECOND_US / 2);
	assert_true(
	    limiter_min_service_us(&c.limiter, 6 * SECOND_US) <= need / 16);
	assert_int_equal(
	    core_offer(&c, &r, &w[0], &evicted, SECOND_US), ADMISSION_RUN);
	assert_int_equal(
	    core_offer(&c, &r, &w[1], &evicted, SECOND_US), ADMISSION_DEADLINE);
}

/*
 * Guards against the mean time of slow requests refusing a quick one for its
 * deadline while a slot is free, on a server that reports its slots and runs
 * both kinds.
 */
static void
test_known_slots_ignore_estimate(void **state)
{
	static struct admission_core c;
	struct admission_waiter w[3], *evicted;
	struct admission_req quick = { ADMISSION_HIGH, 0, 0, 0 };
	int i, known;

	(void)state;
	for (known = 0; known < 2; known++) {
		core_init(&c, 0);
		c.limiter.fixed_to_slots = 1;
		c.slots_known = known;
		core_reset(&c, 2, 0);
		quick.deadline_us = 10 * SECOND_US;
		for (i = 0; i < 50; i++) {
			assert_int_equal(
			    core_offer(&c, &quick, &w[0], &evicted, SECOND_US),
			    ADMISSION_RUN);
			core_release(&c, &w[0], ADMISSION_SERVED, 2 * SECOND_US,
			    SECOND_US);
		}
		assert_int_equal(
		    core_offer(&c, &quick, &w[0], &evicted, SECOND_US),
		    ADMISSION_RUN);
		quick.deadline_us = SECOND_US + SECOND_US / 5;
		assert_int_equal(
		    core_offer(&c, &quick, &w[1], &evicted, SECOND_US),
		    known ? ADMISSION_RUN : ADMISSION_DEADLINE);
		/* No slot is free, so it would miss its deadline. */
		if (known)
			assert_int_equal(
			    core_offer(&c, &quick, &w[2], &evicted, SECOND_US),
			    ADMISSION_DEADLINE);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_inflight_never_exceeds_slots),
		cmocka_unit_test(test_server_events),
		cmocka_unit_test(test_stale_request_frees_no_place),
		cmocka_unit_test(test_importance_order),
		cmocka_unit_test(test_full_queue_evicts_least_important),
		cmocka_unit_test(test_level_sheds_whole_important_classes),
		cmocka_unit_test(test_precheck_rank_age_and_probe),
		cmocka_unit_test(test_load_header_round_trip),
		cmocka_unit_test(test_decision_cost),
		cmocka_unit_test(test_downstream_level_check),
		cmocka_unit_test(test_service_estimate_fades),
		cmocka_unit_test(test_known_slots_ignore_estimate),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
