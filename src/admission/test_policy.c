#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "admission/admission.h"

/*
 * Runs the admission core against simulated servers, in fixed steps of
 * simulated time.
 */

#define STEP_US 500
#define REQUESTS_MAX 16384
#define TIERS_MAX 4
#define RETRY_STEPS 200
#define ATTEMPTS_MAX 3
#define RUN_SECONDS 10
#define SEED 1
#define SEEDS 5

enum rule {
	RULE_OFF,
	RULE_AIMD,
	RULE_GRADIENT,
	RULE_NO_CHAIN_HASH,  /* in use, but a hash per call */
	RULE_NO_CHAIN_LEVEL, /* in use, no chain level */
	RULE_TRIAL,	     /* the rule in use */
	RULE_MAX
};

static const char *const rule_names[RULE_MAX] = { "off", "aimd", "gradient",
	"no-chain-hash", "no-chain-level", "trial" };

/* A row of servers, its load and disturbance, and the required results. */
struct model {
	const char *name;
	double slots;	 /* of the last server */
	double parallel; /* requests that run at full speed at once */
	double thrash;	 /* share of speed lost per request above that */
	double mean_us;	 /* of exponential service times */
	uint64_t deadline_us;
	double load;	     /* offered, as a share of capacity */
	double slow_factor;  /* slowdown of the last server while disturbed */
	double surge_factor; /* on the load, while disturbed */
	int disturbed_from_s, disturbed_to_s; /* seconds */
	double cold_s;	     /* service time falls from 5x to 1x in this time */
	int tiers;	     /* servers in the row */
	int calls;	     /* sequential calls of each request to the next */
	double good_min;     /* steady goodput, as a share of capacity */
	double critical_min; /* share of critical requests served */
};

enum phase {
	PHASE_FREE,
	PHASE_QUEUED,
	PHASE_RUNNING,
	PHASE_CALLING, /* holds its place, waits for the next server */
};

struct sim_request {
	struct admission_waiter w; /* first: cast back to the request */
	double work;
	uint64_t hash;
	struct sim_request *parent;
	struct sim_request *child;
	int tier;
	int attempt;
	int calls;
	uint32_t level; /* lowest chain level reported by its calls */
	enum phase phase;
};

/* State of a baseline rule, for comparison with the rule in use. */
struct baseline {
	double limit, base_latency_us, window_sum_us;
	int window_count;
};

struct sim {
	const struct model *m;
	struct admission_core core[TIERS_MAX];
	struct baseline baseline[TIERS_MAX];
	struct admission_downstream echo[TIERS_MAX];
	uint32_t used; /* all entries in use are below this index */
	double slots[TIERS_MAX];
	struct sim_request requests[REQUESTS_MAX];
	uint32_t retry[RETRY_STEPS][ATTEMPTS_MAX][ADMISSION_CLASS_MAX];
	uint32_t step;
	uint64_t now;
	uint64_t rnd;
	enum rule rule;
	uint32_t good_count[RUN_SECONDS];
	/* Root requests: [0] in the first two seconds, [1] afterwards. */
	uint32_t arrived[2][ADMISSION_CLASS_MAX];
	uint32_t served_count[2][ADMISSION_CLASS_MAX];
	uint32_t wasted; /* run by the first tier, then failed */
};

static void request_end(
    struct sim *, struct sim_request *, enum admission_outcome);

/*
 * Returns the next number of a seeded pseudo-random sequence, in (0, 1).
 */
static double
rnd(struct sim *s)
{
	s->rnd = s->rnd * 6364136223846793005ULL + 1442695040888963407ULL;
	return ((double)(s->rnd >> 11) + 0.5) / 9007199254740992.0;
}

/*
 * Updates the limit of a baseline rule after a request has ended.
 */
static void
baseline_update(
    struct sim *s, int tier, enum admission_outcome outcome, double service_us)
{
	struct baseline *o = &s->baseline[tier];

	if (s->rule == RULE_OFF || s->rule >= RULE_NO_CHAIN_HASH)
		return;
	if (s->rule == RULE_AIMD)
		o->limit += outcome == ADMISSION_SERVED ? 1 / o->limit
							: -o->limit * 0.1;
	o->window_sum_us += service_us;
	if (s->rule != RULE_AIMD && ++o->window_count == 64) {
		service_us = o->window_sum_us / 64;
		o->window_count = 0;
		o->window_sum_us = 0;
		if (o->base_latency_us == 0 || service_us < o->base_latency_us)
			o->base_latency_us = service_us;
		o->base_latency_us += (service_us - o->base_latency_us) * 0.02;
		o->limit *=
		    fmax(0.5, fmin(1, 1.2 * o->base_latency_us / service_us));
		o->limit += sqrt(o->limit);
	}
	o->limit = fmin(s->slots[tier], fmax(1, o->limit));
	s->core[tier].limiter.slots = (uint32_t)o->limit;
}

/*
 * Sends a request to a server, as a root request or as an inner call of
 * parent.
 */
static void
offer(struct sim *s, struct sim_request *parent, int tier, int attempt,
    const struct admission_req *req)
{
	struct admission_waiter *evicted;
	struct sim_request *it = s->requests;
	enum admission_verdict v;

	while (it->phase != PHASE_FREE)
		it++;
	assert_true(it < s->requests + REQUESTS_MAX);
	if (it == s->requests + s->used)
		s->used++;
	memset(it, 0, sizeof(*it));
	it->phase = PHASE_QUEUED;
	it->hash = req->root_hash;
	it->parent = parent;
	it->tier = tier;
	it->attempt = attempt;
	it->calls = tier + 1 < s->m->tiers ? s->m->calls : 0;
	it->work = -log(rnd(s)) * s->m->mean_us;
	it->level = ADMISSION_CHAIN_LEVEL_UNKNOWN;
	it->w.class = req->class;
	if (parent != NULL)
		parent->child = it;
	if (s->rule == RULE_TRIAL &&
	    admission_downstream_check(&s->echo[tier], req, s->now,
		(uint64_t)(rnd(s) * 1e9)) == ADMISSION_HINT_SHED) {
		it->level = admission_downstream_level(&s->echo[tier]);
		request_end(s, it, ADMISSION_FAILED);
		return;
	}
	v = core_offer(&s->core[tier], req, &it->w, &evicted, s->now);
	if (evicted != NULL)
		request_end(s, (struct sim_request *)evicted, ADMISSION_FAILED);
	if (v == ADMISSION_RUN)
		it->phase = PHASE_RUNNING;
	else if (v != ADMISSION_WAIT)
		request_end(s, it, ADMISSION_FAILED);
}

/*
 * Sends a new root request.  Returns its interarrival time, negated, in
 * units of the mean.
 */
static double
arrive(struct sim *s, int attempt, enum admission_class class)
{
	struct admission_req req = { class, 0, 0, 0 };

	req.root_hash = (uint64_t)(rnd(s) * 0x1p63) << 1;
	req.deadline_us = s->now + s->m->deadline_us;
	s->arrived[s->now >= 2000000][class] += attempt == 0;
	offer(s, NULL, 0, attempt, &req);
	return log(rnd(s));
}

/*
 * Makes the next inner call of a request whose own work is done, or ends it.
 */
static void
request_continue(struct sim *s, struct sim_request *it)
{
	struct admission_req req = { it->w.class, (uint32_t)it->tier + 1,
		it->hash, it->w.deadline_us };

	if (it->calls == 0) {
		request_end(s, it, ADMISSION_SERVED);
		return;
	}
	it->calls--;
	it->phase = PHASE_CALLING;
	if (s->rule == RULE_NO_CHAIN_HASH)
		req.root_hash = (uint64_t)(rnd(s) * 0x1p63) << 1;
	offer(s, it, it->tier + 1, 0, &req);
}

/*
 * Reports to the caller of an inner call the chain level of the server that
 * answered and of the servers below it.
 */
static void
report_level(
    struct sim *s, const struct sim_request *it, struct sim_request *parent)
{
	struct admission_req req = { it->w.class, (uint32_t)it->tier, it->hash,
		0 };
	uint32_t level =
	    admission_chain_level(core_level(&s->core[it->tier]), &req);

	parent->level = level < parent->level ? level : parent->level;
	if (it->level < parent->level)
		parent->level = it->level;
}

/*
 * Ends a request and cancels its inner call.  Its parent continues or fails;
 * a failed root request is retried.
 */
static void
request_end(
    struct sim *s, struct sim_request *it, enum admission_outcome outcome)
{
	enum phase old_phase = it->phase;
	struct sim_request *parent = it->parent;
	double service_us = (double)(s->now - it->w.start_us);

	it->phase = PHASE_FREE;
	if (it->child != NULL) {
		it->child->parent = NULL;
		if (it->child->phase == PHASE_QUEUED)
			core_expire(&s->core[it->tier + 1], &it->child->w);
		request_end(s, it->child, ADMISSION_CANCELLED);
	}
	if (old_phase > PHASE_QUEUED) {
		core_release(&s->core[it->tier], &it->w, outcome,
		    (uint64_t)service_us, s->now);
		if (outcome != ADMISSION_CANCELLED)
			baseline_update(s, it->tier, outcome, service_us);
	}
	if (old_phase > PHASE_QUEUED &&
	    it->level != ADMISSION_CHAIN_LEVEL_UNKNOWN)
		admission_downstream_reported(
		    &s->echo[it->tier], it->level, s->now);
	else if (outcome == ADMISSION_SERVED)
		admission_downstream_served(&s->echo[it->tier],
		    &(struct admission_req){ it->w.class, 0, it->hash, 0 });
	if (parent != NULL) {
		parent->child = NULL;
		report_level(s, it, parent);
		if (outcome == ADMISSION_SERVED)
			request_continue(s, parent);
		else
			request_end(s, parent, ADMISSION_FAILED);
		return;
	}
	if (it->tier > 0)
		return;
	if (outcome == ADMISSION_SERVED) {
		s->good_count[s->now / 1000000]++;
		s->served_count[s->now >= 2000000][it->w.class]++;
		return;
	}
	s->wasted += old_phase > PHASE_QUEUED;
	if (it->attempt + 1 < ATTEMPTS_MAX)
		s->retry[(s->step + RETRY_STEPS - 1) % RETRY_STEPS]
			[it->attempt + 1][it->w.class]++;
}

/*
 * Runs a server for one step and then dispatches its queue.
 */
static void
step_server(struct sim *s, int tier, double slow_factor)
{
	const struct model *m = s->m;
	double n = 0, progress_us = STEP_US / slow_factor;
	struct admission_waiter *w;
	struct sim_request *it;

	for (it = s->requests; it < s->requests + s->used; it++)
		n += it->phase == PHASE_RUNNING && it->tier == tier;
	if (tier == m->tiers - 1 && n > m->parallel)
		progress_us *=
		    m->parallel / n / (1 + m->thrash * (n - m->parallel));
	for (it = s->requests; it < s->requests + s->used; it++) {
		if (it->phase < PHASE_RUNNING || it->tier != tier)
			continue;
		if (s->now >= it->w.deadline_us) {
			request_end(s, it, ADMISSION_TIMEOUT);
			continue;
		}
		if (it->phase == PHASE_CALLING)
			continue;
		it->work -= progress_us;
		if (it->work <= 0)
			request_continue(s, it);
	}
	while ((w = core_next(&s->core[tier], s->now)) != NULL) {
		it = (struct sim_request *)w;
		if (w->verdict == ADMISSION_RUN)
			it->phase = PHASE_RUNNING;
		else
			request_end(s, it, ADMISSION_FAILED);
	}
}

/*
 * Returns the number of root requests that the last server can serve per
 * microsecond.
 */
static double
capacity(const struct model *m)
{
	return fmin(m->parallel, m->slots) / m->mean_us /
	       pow(m->calls > 0 ? m->calls : 1, m->tiers - 1);
}

/*
 * Initialises the servers.  The last one has the model's slots; those before
 * it have room for three times its load.
 */
static void
servers_init(struct sim *s)
{
	const struct model *m = s->m;
	int t;

	for (t = 0; t < m->tiers; t++) {
		s->slots[t] = m->slots;
		if (t < m->tiers - 1)
			s->slots[t] = fmax(
			    8, 3 * capacity(m) * m->mean_us * 4 * m->tiers);
		core_init(&s->core[t], 0);
		s->core[t].fifo = s->rule == RULE_OFF;
		s->core[t].limiter.fixed_to_slots =
		    s->rule < RULE_NO_CHAIN_HASH;
		core_reset(&s->core[t], (uint32_t)s->slots[t], 0);
		s->baseline[t].limit = s->slots[t] / 4.0;
	}
}

/*
 * Maps a number in (0, 1) to a class.
 */
static enum admission_class
class_of(double uniform)
{
	static const double upper_bounds[] = { 0.1, 0.3, 0.7 };
	int c = 0;

	while (c < ADMISSION_LOW && uniform > upper_bounds[c])
		c++;
	return (enum admission_class)c;
}

/*
 * Simulates a model under a rule.  The caller frees the result.
 */
static struct sim *
simulate(const struct model *m, enum rule rule, uint64_t seed)
{
	struct sim *s = calloc(1, sizeof(*s));
	double due = 0, sec, slow_factor, rate;
	int a, j, disturbed;

	assert_non_null(s);
	s->m = m;
	s->rnd = seed;
	s->rule = rule;
	servers_init(s);
	for (; s->now < (uint64_t)RUN_SECONDS * 1000000; s->now += STEP_US) {
		sec = (double)s->now / 1e6;
		disturbed =
		    sec >= m->disturbed_from_s && sec < m->disturbed_to_s;
		slow_factor = disturbed ? m->slow_factor : 1;
		if (sec < m->cold_s)
			slow_factor *= 1 + 4 * (1 - sec / m->cold_s);
		rate =
		    m->load * capacity(m) * (disturbed ? m->surge_factor : 1);
		for (due += rate * STEP_US; due > 0;)
			due += arrive(s, 0, class_of(rnd(s)));
		for (a = 1; a < ATTEMPTS_MAX; a++) {
			for (j = 0; j < ADMISSION_CLASS_MAX; j++) {
				for (; s->retry[s->step][a][j] > 0;
				     s->retry[s->step][a][j]--)
					arrive(s, a, j);
			}
		}
		for (j = 0; j < m->tiers; j++)
			step_server(s, j, j == m->tiers - 1 ? slow_factor : 1);
		s->step = (s->step + 1) % RETRY_STEPS;
	}
	return s;
}

/*
 * Returns the goodput between two seconds as a share of capacity.
 */
static double
goodput(const struct sim *s, int from_s, int to_s)
{
	double n = 0;
	int i;

	for (i = from_s; i < to_s; i++)
		n += s->good_count[i];
	return n / capacity(s->m) / 1e6 / (to_s - from_s);
}

static const struct model models[] = {
	{ "slots 0.9x", 65, 65, 0, 20e3, 500000, .9, 1, 1, 0, 0, 0, 1, 0, .87,
	    .99 },
	{ "slots 1x", 65, 65, 0, 20e3, 500000, 1, 1, 1, 0, 0, 0, 1, 0, .95,
	    .99 },
	{ "slots 2x", 65, 65, 0, 20e3, 500000, 2, 1, 1, 0, 0, 0, 1, 0, .95,
	    .99 },
	{ "slots 4x", 65, 65, 0, 20e3, 500000, 4, 1, 1, 0, 0, 0, 1, 0, .95,
	    .99 },
	{ "few slots 2x", 25, 25, 0, 50e3, 500000, 2, 1, 1, 0, 0, 0, 1, 0, .93,
	    .97 },
	{ "4 slots 2x", 4, 4, 0, 20e3, 500000, 2, 1, 1, 0, 0, 0, 1, 0, .95,
	    .97 },
	{ "slow service .6x", 65, 65, 0, 800e3, 3000000, .6, 1, 1, 0, 0, 0, 1,
	    0, .55, .8 },
	{ "slow service 2x", 65, 65, 0, 800e3, 3000000, 2, 1, 1, 0, 0, 0, 1, 0,
	    .85, .8 },
	{ "sharing 2x", 65, 16, 0, 20e3, 500000, 2, 1, 1, 0, 0, 0, 1, 0, .9,
	    .99 },
	{ "thrash 2x", 65, 16, .02, 20e3, 500000, 2, 1, 1, 0, 0, 0, 1, 0, .9,
	    .98 },
	{ "thrash 4x", 65, 16, .02, 20e3, 500000, 4, 1, 1, 0, 0, 0, 1, 0, .9,
	    .98 },
	{ "thrash, short deadline", 65, 16, .02, 20e3, 120000, 2, 1, 1, 0, 0, 0,
	    1, 0, .8, .98 },
	{ "slow 5x", 65, 65, 0, 20e3, 500000, .9, 5, 1, 3, 6, 0, 1, 0, .87,
	    .97 },
	{ "sharing, slow 5x", 65, 16, 0, 20e3, 500000, .9, 5, 1, 3, 6, 0, 1, 0,
	    .85, .97 },
	{ "surge 4x", 65, 65, 0, 20e3, 500000, .9, 1, 4, 3, 6, 0, 1, 0, .87,
	    .99 },
	{ "thrash, surge 4x", 65, 16, .02, 20e3, 500000, .9, 1, 4, 3, 6, 0, 1,
	    0, .83, .97 },
	{ "cold 2 s", 65, 65, 0, 20e3, 500000, .9, 1, 1, 0, 0, 2, 1, 0, .87,
	    .97 },
	{ "stalls", 20, 20, 0, 20e3, 200000, .8, 100, 1, 3, 5, 0, 1, 0, .75,
	    .7 },
	{ "2 tiers 2x", 32, 32, 0, 20e3, 900000, 2, 1, 1, 0, 0, 0, 2, 1, .9,
	    .98 },
	{ "2 tiers 3 calls 2x", 64, 64, 0, 20e3, 900000, 2, 1, 1, 0, 0, 0, 2, 3,
	    .85, .98 },
	{ "3 tiers 2 calls 2x", 64, 64, 0, 20e3, 900000, 2, 1, 1, 0, 0, 0, 3, 2,
	    .85, .98 },
	{ "2 tiers 3 calls slow 5x", 64, 64, 0, 20e3, 900000, .9, 5, 1, 3, 6, 0,
	    2, 3, .8, .95 },
};

/*
 * Returns the goodput after the start and after the disturbance, leaving two
 * seconds to recover.
 */
static double
steady_goodput(const struct sim *s)
{
	int start_s = s->m->disturbed_to_s > 0 ? s->m->disturbed_to_s + 2 : 2;

	return goodput(s, start_s, RUN_SECONDS);
}

/* Result of a model, as the mean over the seeds. */
struct result {
	double steady; /* goodput, in steady state and overall */
	double overall;
	double critical;
	double wasted;
};

/*
 * Adds the measures of one of n runs to a result.
 */
static void
add_result(struct result *r, const struct sim *s, double n)
{

	r->steady += steady_goodput(s) / n;
	r->overall += goodput(s, 0, RUN_SECONDS) / n;
	r->critical += (double)(s->served_count[0][ADMISSION_CRITICAL] +
				s->served_count[1][ADMISSION_CRITICAL]) /
		       (s->arrived[0][ADMISSION_CRITICAL] +
			   s->arrived[1][ADMISSION_CRITICAL]) /
		       n;
	r->wasted += s->wasted / n;
}

/*
 * Simulates each model under each rule.  The mean over several seeds of the
 * rule in use must hold the bounds of the model.  Prints the goodput in
 * steady state and over the whole run, the share of critical requests
 * served, and the number of requests served in vain.
 */
static void
test_goodput_and_critical_share(void **state)
{
	const struct model *m;
	struct result sum;
	struct sim *s;
	size_t i;
	int r, bad = 0;
	uint64_t seed, seeds;

	(void)state;
	for (i = 0; i < sizeof(models) / sizeof(models[0]); i++) {
		m = &models[i];
		print_message("%-23s", m->name);
		for (r = 0; r < RULE_MAX; r++) {
			memset(&sum, 0, sizeof(sum));
			seeds = r == RULE_TRIAL ? SEEDS : 1;
			for (seed = 1; seed <= seeds; seed++) {
				s = simulate(m, (enum rule)r, seed);
				add_result(&sum, s, (double)seeds);
				free(s);
			}
			print_message(" | %s %.2f %.2f %.3f %.0f",
			    rule_names[r], sum.steady, sum.overall,
			    sum.critical, sum.wasted);
		}
		print_message("\n");
		if (sum.steady < m->good_min || sum.critical < m->critical_min)
			bad++;
	}
	assert_int_equal(bad, 0);
}

/*
 * Without overload the low class is served like the others.  In an overload
 * that the critical class alone does not cause, the low class is shed first.
 */
static void
test_low_class_shed_first(void **state)
{
	static const struct {
		int model;
		enum admission_class class;
		double least, most;
	} rows[] = {
		{ 0, ADMISSION_LOW, .98, 1.01 },
		{ 2, ADMISSION_LOW, 0, .2 },
		{ 2, ADMISSION_HIGH, .99, 1.01 },
		{ 3, ADMISSION_CRITICAL, .99, 1.01 },
	};
	struct sim *s;
	size_t i;
	double got;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		s = simulate(&models[rows[i].model], RULE_TRIAL, SEED);
		got = (double)s->served_count[1][rows[i].class] /
		      s->arrived[1][rows[i].class];
		assert_true(got >= rows[i].least && got <= rows[i].most);
		free(s);
	}
}

/*
 * Guards against a slow recovery: after a slowness so long that requests
 * exceeded their deadlines, a server must serve its full load in the next
 * two seconds.
 */
static void
test_recovery_after_long_slowness(void **state)
{
	static const struct model m = { "long slowness", 25, 25, 0, 300e3,
		1900000, .6, 5, 1, 2, 8, 0, 1, 0, 0, 0 };
	struct sim *s;
	double good = 0;
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		s = simulate(&m, RULE_TRIAL, seed);
		good +=
		    goodput(s, m.disturbed_to_s, m.disturbed_to_s + 2) / SEEDS;
		free(s);
	}
	print_message(
	    "goodput in the two seconds after a slowness: %.2f\n", good);
	assert_true(good >= .99 * m.load);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_goodput_and_critical_share),
		cmocka_unit_test(test_low_class_shed_first),
		cmocka_unit_test(test_recovery_after_long_slowness),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
