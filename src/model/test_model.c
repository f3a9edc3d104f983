#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "model/model.h"

#define SEEDS 3

/*
 * Three services in a row, of which the last is the bottleneck: browsing
 * makes eight calls to it, an order four, a look-up is one.
 */
static const char base[] =
    "{\"seconds\":30,\"hop_ms\":0.9,\"services\":["
    "{\"name\":\"front\",\"servers\":5,\"slots\":72},"
    "{\"name\":\"mid\",\"servers\":4,\"slots\":110},"
    "{\"name\":\"deep\",\"servers\":3,\"slots\":29,"
    "\"speeds\":[0.7,0.7,1.6]}],"
    "\"kinds\":["
    "{\"name\":\"browse\",\"service\":\"front\",\"class\":2,\"per_s\":168,"
    "\"work_ms\":160,\"target_ms\":1500,\"deadline_ms\":5000,"
    "\"timeout_ms\":1000,\"worth\":1,\"late_worth\":0.3,"
    "\"calls\":[{\"kind\":\"read\",\"times\":2,\"together\":true}]},"
    "{\"name\":\"order\",\"service\":\"front\",\"class\":0,\"per_s\":67,"
    "\"work_ms\":210,\"target_ms\":1500,\"deadline_ms\":5000,"
    "\"timeout_ms\":1200,\"worth\":3,\"late_worth\":0.6,"
    "\"idempotent\":false,\"calls\":[{\"kind\":\"read\"}]},"
    "{\"name\":\"lookup\",\"service\":\"deep\",\"class\":1,\"per_s\":46,"
    "\"work_ms\":64,\"target_ms\":200,\"deadline_ms\":800,\"worth\":2,"
    "\"late_worth\":0.6},"
    "{\"name\":\"read\",\"service\":\"mid\",\"work_ms\":15,"
    "\"deadline_ms\":2000,\"calls\":[{\"kind\":\"stock\",\"times\":4}]},"
    "{\"name\":\"stock\",\"service\":\"deep\",\"work_ms\":40,"
    "\"deadline_ms\":700}],"
    "\"workspaces\":["
    "{\"name\":\"large\",\"share\":0.5,\"rate\":225,\"burst\":225},"
    "{\"name\":\"middle\",\"share\":0.3,\"rate\":135,\"burst\":135},"
    "{\"name\":\"small\",\"share\":0.2,\"rate\":90,\"burst\":90}]}";

#define BROWSE 0
#define ORDER 1
#define LOOKUP 2

/* A trouble, what it is called in the field, and what must come of it. */
struct row {
	const char *name;
	struct model_trouble trouble;
	int limits;	  /* workspaces are held to their rates */
	int better;	  /* than with no throttle, chains, retries or zones */
	double credit;	  /* of all that is due, at least */
	double orders;	  /* the same of the most important kind */
	double back_s;	  /* after the trouble, at most */
	double workspace; /* credit of the worst one to what it is due */
};

/*
 * The most important kind and the workspaces beside a hot one get 0.95 of
 * what they are due, and 2 s after a trouble all is as before.
 */
static const struct row rows[] = {
	{ "no trouble", { TROUBLE_SURGE, 8, 6, 1, 0, 0, 0 }, 1, 0, 0.95, 0.95,
	    2, 0.95 },
	{ "surge (metastable failure)", { TROUBLE_SURGE, 8, 12, 1.8, 0, 0, 0 },
	    0, 1, 0, 0.95, 2, 0 },
	{ "bottleneck deep in a tree slows down",
	    { TROUBLE_SLOW, 8, 6, 3, 1, 2, 0 }, 1, 1, 0, 0.95, 2, 0 },
	{ "a server of the bottleneck is down",
	    { TROUBLE_DOWN, 8, 6, 1, 0.3, 2, 0 }, 1, 1, 0, 0.95, 2, 0 },
	{ "grey server", { TROUBLE_SHED, 8, 6, 0.45, 0.3, 2, 0 }, 1, 1, 0, 0.95,
	    2, 0 },
	{ "hot tenant", { TROUBLE_HOT, 8, 6, 7.5, 0, 0, 1 }, 1, 0, 0, 0.95, 2,
	    0.95 },
	{ "retry storm", { TROUBLE_ABUSE, 8, 6, 4, 1, 0, 0 }, 1, 0, 0.95, 0.95,
	    2, 0.95 },
};

static void
load(struct model_load *l)
{
	struct finds finds;
	json_t *root = json_loads(base, 0, NULL);

	finds_init(&finds);
	assert_non_null(root);
	assert_int_equal(model_read(root, l, &finds), 0);
	finds_finish(&finds);
	json_decref(root);
}

/*
 * Everything that was asked for has one end.
 */
static void
check_sums(const struct model_load *l, const struct model_result *r)
{
	const struct model_count *c = &r->all;
	uint32_t i, asked = 0;

	assert_int_equal(c->asked,
	    c->in_time + c->late + c->refused + c->failed + c->over_rate);
	for (i = 0; i < l->kind_count; i++)
		asked += r->kinds[i].asked;
	assert_int_equal(asked, c->asked);
	assert_true(r->wasted_s <= r->work_s + 0.001);
}

/* What a row showed, in the mean of the seeds. */
struct seen {
	double credit, without, orders, workspace, back_s;
};

static void
play(const struct row *row, struct seen *seen)
{
	static struct model_result r;
	static struct model_load l;
	uint32_t seed;

	load(&l);
	l.troubles[0] = row->trouble;
	l.trouble_count = 1;
	memset(seen, 0, sizeof(*seen));
	for (seed = 1; seed <= SEEDS; seed++) {
		memset(&l.policies, 0, sizeof(l.policies));
		l.policies.limits = row->limits;
		model_run(&l, seed, &r);
		check_sums(&l, &r);
		seen->without += model_share(&r.all) / SEEDS;
		l.policies.throttle = l.policies.retries = 1;
		l.policies.near_first = l.policies.chains = 1;
		model_run(&l, seed, &r);
		check_sums(&l, &r);
		seen->credit += model_share(&r.all) / SEEDS;
		seen->orders += model_share(&r.kinds[ORDER]) / SEEDS;
		seen->workspace += r.worst_space / SEEDS;
		assert_true(r.recovered_s >= 0);
		if (r.recovered_s > seen->back_s)
			seen->back_s = r.recovered_s;
		/* Priority inversion: less urgent, better served. */
		assert_true(model_share(&r.kinds[ORDER]) + 0.05 >=
			    model_share(&r.kinds[BROWSE]));
		assert_true(model_share(&r.kinds[LOOKUP]) + 0.05 >=
			    model_share(&r.kinds[BROWSE]));
		/* Starvation: a quarter of the mean is the least. */
		assert_true(
		    model_share(&r.kinds[BROWSE]) >= model_share(&r.all) / 4);
	}
}

/*
 * Each trouble is met by the policies together.
 */
static void
test_troubles(void **state)
{
	const struct row *row;
	struct seen s;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		row = &rows[i];
		play(row, &s);
		print_message(
		    "%-38s credit %.3f (without policies %.3f) orders "
		    "%.3f workspace %.3f back after %.1f s\n",
		    row->name, s.credit, s.without, s.orders, s.workspace,
		    s.back_s);
		assert_true(s.credit >= row->credit);
		assert_true(s.orders >= row->orders);
		assert_true(s.back_s <= row->back_s);
		assert_true(!row->better || s.credit > s.without);
		assert_true(s.workspace >= row->workspace);
	}
}

/*
 * The same seed gives the same run, another one another.
 */
static void
test_repeats(void **state)
{
	static struct model_result a, b;
	static struct model_load l;

	(void)state;
	load(&l);
	l.seconds = 5;
	model_run(&l, 7, &a);
	model_run(&l, 7, &b);
	assert_memory_equal(&a, &b, sizeof(a));
	model_run(&l, 8, &b);
	assert_true(a.events != b.events);
}

/*
 * Faults of a file are found with their place.
 */
static void
test_read(void **state)
{
	static const struct {
		const char *text;
		const char *place;
	} bad[] = {
		{ "[]", "/" },
		{ "{\"services\":[],\"kinds\":[]}", "/" },
		{ "{\"services\":[{\"name\":\"a\",\"servers\":0,\"slots\":1}]}",
		    "/services/0" },
		{ "{\"services\":[{\"name\":\"a\",\"servers\":1,\"slots\":1}],"
		  "\"kinds\":[{\"name\":\"k\",\"service\":\"b\","
		  "\"work_ms\":1,\"deadline_ms\":1}]}",
		    "/kinds/0" },
		{ "{\"services\":[{\"name\":\"a\",\"servers\":1,\"slots\":1}],"
		  "\"kinds\":[{\"name\":\"k\",\"service\":\"a\","
		  "\"work_ms\":1,\"deadline_ms\":1,"
		  "\"calls\":[{\"kind\":\"none\"}]}]}",
		    "/kinds/0" },
		{ "{\"services\":[{\"name\":\"a\",\"servers\":1,\"slots\":1}],"
		  "\"kinds\":[{\"name\":\"k\",\"service\":\"a\","
		  "\"work_ms\":1,\"deadline_ms\":1}],"
		  "\"troubles\":[{\"kind\":\"rain\"}]}",
		    "/troubles/0" },
		{ "{\"seconds\":\"ten\",\"services\":[{\"name\":\"a\","
		  "\"servers\":1,\"slots\":1}],"
		  "\"kinds\":[{\"name\":\"k\",\"service\":\"a\","
		  "\"work_ms\":1,\"deadline_ms\":1}]}",
		    "/" },
	};
	struct model_load l;
	struct finds finds;
	json_t *root;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		finds_init(&finds);
		root = json_loads(bad[i].text, 0, NULL);
		assert_non_null(root);
		assert_int_equal(model_read(root, &l, &finds), -1);
		assert_true(finds.errors > 0);
		assert_string_equal(finds.list[0].place, bad[i].place);
		finds_finish(&finds);
		json_decref(root);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_troubles),
		cmocka_unit_test(test_repeats),
		cmocka_unit_test(test_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
