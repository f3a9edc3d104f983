#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "admission/rate_cap.h"

#define WINDOW_MS 4000
#define RUN_MS 20000
#define NAMED_MS 1000	  /* the server begins to name a rate */
#define GRACE_MS 3000	  /* until it counts */
#define TOLERANCE 1.5	  /* times the rate */
#define TOLERANCE_COUNT 5 /* requests */
#define UNANSWERED 4	  /* a restart may cost so much of the tolerance */

/* How requests arrive. */
struct arrivals {
	const char *name;
	double named_per_s;
	int every_ms; /* one request at these intervals */
	int burst;    /* that many at once */
	int pause_ms; /* none for so long, at the middle */
	double least; /* share of the named rate that is used */
};

/*
 * Returns the highest number of requests within any window.
 */
static double
worst_window(const int *sent, int from)
{
	int i, sum = 0, worst = 0;

	for (i = from; i < RUN_MS; i++) {
		sum += sent[i];
		if (i - from >= WINDOW_MS)
			sum -= sent[i - WINDOW_MS];
		if (sum > worst)
			worst = sum;
	}
	return worst;
}

/*
 * A server gets more than the rate that it names: whatever arrives, no window
 * exceeds one and a half times the rate and five requests, and the rate itself
 * is used.
 */
static void
test_named_rate_is_kept(void **state)
{
	static const struct arrivals rows[] = {
		{ "twice the rate", 30, 16, 1, 0, 0.95 },
		{ "ten times, in bursts", 30, 100, 30, 0, 0.95 },
		{ "bursts after a pause", 30, 10, 4, 5000, 0.6 },
		{ "a small rate", 1.5, 20, 2, 0, 0.9 },
		{ "a rate under one in two seconds", 0.1, 20, 2, 0, 0 },
		{ "no requests at all", 0, 20, 2, 0, 0 },
		{ "within the rate", 100, 20, 1, 0, 0.5 },
	};
	static int sent[RUN_MS];
	const struct arrivals *a;
	struct rate_cap c;
	double allowed;
	int now, i, total;
	size_t row;

	(void)state;
	for (row = 0; row < sizeof(rows) / sizeof(rows[0]); row++) {
		a = &rows[row];
		memset(sent, 0, sizeof(sent));
		rate_cap_init(&c);
		rate_cap_note_answer(&c, NULL, 0);
		total = 0;
		for (now = 0; now < RUN_MS; now++) {
			if (now == NAMED_MS)
				rate_cap_note_answer(
				    &c, &a->named_per_s, (uint64_t)now);
			if (now % a->every_ms != 0 ||
			    (now > RUN_MS / 2 &&
				now < RUN_MS / 2 + a->pause_ms))
				continue;
			for (i = 0; i < a->burst; i++) {
				if (!rate_cap_allows(&c, 0, (uint64_t)now))
					continue;
				rate_cap_take(&c);
				sent[now]++;
				total += now >= NAMED_MS;
			}
		}
		allowed = a->named_per_s * WINDOW_MS / 1000 * TOLERANCE +
			  TOLERANCE_COUNT;
		print_message("%s: %.0f of %.0f in 4 s, %d in all\n", a->name,
		    worst_window(sent, NAMED_MS + GRACE_MS), allowed, total);
		assert_true(worst_window(sent, NAMED_MS + GRACE_MS) <= allowed);
		assert_true(total >= a->least * a->named_per_s *
					 (RUN_MS - NAMED_MS) / 1000);
	}
}

/*
 * The rate holds as long as answers name it, changes with them, and ends when
 * they don't name it any more.
 */
static void
test_rate_follows_answers(void **state)
{
	const double ten = 10, four = 4;
	struct rate_cap c;

	(void)state;
	rate_cap_init(&c);
	assert_int_equal(rate_cap_note_answer(&c, NULL, 1000), 0);
	assert_int_equal(rate_cap_note_answer(&c, &ten, 1100), 1);
	assert_int_equal(rate_cap_note_answer(&c, &ten, 1200), 0);
	/* An answer that was overtaken doesn't end it. */
	assert_int_equal(rate_cap_note_answer(&c, NULL, 1300), 0);
	assert_int_equal(rate_cap_slots(&c, 100, 0.5), 5);
	assert_int_equal(rate_cap_slots(&c, 100, 0.01), 1);
	assert_int_equal(rate_cap_slots(&c, 3, 0.5), 3);
	assert_int_equal(rate_cap_note_answer(&c, &four, 1400), 1);
	assert_int_equal(rate_cap_slots(&c, 100, 0.5), 2);
	assert_int_equal(rate_cap_note_answer(&c, NULL, 2000), 1);
	assert_int_equal(rate_cap_slots(&c, 100, 0.5), 100);
	assert_int_equal(rate_cap_allows(&c, 100, 2000), 1);
}

/*
 * A node that has just started doesn't know whether the server names a rate,
 * and sends it only a few requests until it answers.
 */
static void
test_few_requests_before_first_answer(void **state)
{
	struct rate_cap c;
	uint32_t inflight = 0;

	(void)state;
	rate_cap_init(&c);
	while (rate_cap_allows(&c, inflight, 1000)) {
		rate_cap_take(&c);
		inflight++;
	}
	assert_int_equal(inflight, UNANSWERED);
	rate_cap_note_answer(&c, NULL, 1100);
	assert_int_equal(rate_cap_allows(&c, inflight, 1100), 1);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_named_rate_is_kept),
		cmocka_unit_test(test_rate_follows_answers),
		cmocka_unit_test(test_few_requests_before_first_answer),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
