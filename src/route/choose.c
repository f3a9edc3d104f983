#include <math.h>

#include "route/route.h"

/*
 * Server selection by power of two choices.  The cheaper of two random
 * candidates in this node's failure domain is chosen.  If it is overloaded
 * or slow, a sufficiently cheaper candidate further away is chosen instead.
 */

/* A new or readmitted server ramps up to its full weight in this time. */
#define SLOW_START_MS 5000
#define SLOW_START_MIN_WEIGHT 0.1 /* at the start of the ramp */
#define LOAD_HALF_LIFE_MS 500	  /* of a reported load */
#define LOAD_MAX_AGE_MS 1000	  /* of a reported limit that is used */
/* One request in this many may probe a server after its ejection. */
#define PROBE_ONE_IN 8
/* This long after an ejection any request may be the probe. */
#define PROBE_OVERDUE_MS 5000
/* Bounds beyond which servers further away are considered. */
#define NEAR_USAGE_MAX 0.75   /* share of the capacity in use */
#define NEAR_SLOWNESS_MAX 1.5 /* multiple of the mean latency */
/* A server further away must cost less than this share of the nearer one. */
#define FAR_COST_RATIO 0.9
#define ANY_PROXIMITY ((1U << ROUTE_PROXIMITY_MAX) - 1)
#define SUCCESS_SHARE_MIN 0.05	  /* bounds the slowness of a failing server */
#define LATENCY_DEFAULT_US 10000  /* while no latency is known */
#define LATENCY_HALF_LIFE_MS 5000 /* of an unused server's latency */
#define LATENCY_RATIO_MIN 0.5 /* of the mean; lower latencies count as this */
#define EQUAL_COST_RATIO 0.95 /* smaller differences in cost are ignored */

/* Whether a candidate may be chosen; lower states are preferred. */
enum cand_state {
	CAND_READY,
	CAND_SHEDS,   /* expected to shed this rank */
	CAND_SUSPECT, /* used if no candidate is ready */
	CAND_PROBE,   /* ejection is over; may receive one probe */
	CAND_EJECTED, /* used last; see limit_ejections() */
	CAND_UNUSABLE,
	CAND_STATE_MAX
};

struct selection {
	const struct route_candidate *cand;
	const struct route_stat *stat;
	const struct route_query *query;
	size_t count;
	unsigned char states[ROUTE_CANDIDATES_MAX];
	double latency_us; /* mean of the known latencies */
};

static enum cand_state state_of(const struct selection *, size_t);
static void limit_ejections(struct selection *);
static double estimated_load(
    const struct selection *, size_t, uint32_t *, uint64_t *);
static double slow_start_weight(const struct selection *, size_t);
static double usage(const struct selection *, size_t);
static double slowness(const struct selection *, size_t);
static double cost(const struct selection *, size_t);
static size_t nth_in_state(
    const struct selection *, enum cand_state, unsigned int, size_t);
static size_t count_in_state(
    const struct selection *, enum cand_state, unsigned int);
static int better_of_two(
    const struct selection *, enum cand_state, unsigned int, uint64_t);
static int cheapest_by_proximity(
    const struct selection *, enum cand_state, uint64_t);
static double mean_latency_us(const struct selection *);

/*
 * Chooses among at most ROUTE_CANDIDATES_MAX candidates.  The observations
 * of a candidate have the same index as the candidate.  Returns an index, or
 * -1 with the reason.
 */
int
route_choose(const struct route_candidate *cand, const struct route_stat *stat,
    size_t count, const struct route_query *q, enum route_reason *why)
{
	struct selection c = { cand, stat, q, count, { 0 }, 0 };
	uint64_t draw = q->rnd >> 8;
	size_t i, n;

	for (i = 0; i < count; i++)
		c.states[i] = (unsigned char)state_of(&c, i);
	limit_ejections(&c);
	c.latency_us = mean_latency_us(&c);
	*why = ROUTE_CHOSEN;
	n = count_in_state(&c, CAND_PROBE, ANY_PROXIMITY);
	if (n > 0 && q->rnd % PROBE_ONE_IN == 0)
		return (int)nth_in_state(
		    &c, CAND_PROBE, ANY_PROXIMITY, draw % n);
	if (count_in_state(&c, CAND_READY, ANY_PROXIMITY) > 0)
		return cheapest_by_proximity(&c, CAND_READY, draw);
	if (count_in_state(&c, CAND_SHEDS, ANY_PROXIMITY) > 0) {
		*why = ROUTE_OVERLOAD;
		return -1;
	}
	if (count_in_state(&c, CAND_SUSPECT, -1) > 0)
		return cheapest_by_proximity(&c, CAND_SUSPECT, draw);
	if (n > 0)
		return cheapest_by_proximity(&c, CAND_PROBE, draw);
	if (count_in_state(&c, CAND_EJECTED, ANY_PROXIMITY) > 0)
		return cheapest_by_proximity(&c, CAND_EJECTED, draw);
	*why = ROUTE_NO_SERVER;
	return -1;
}

/*
 * Returns the state of a candidate for this request.
 */
static enum cand_state
state_of(const struct selection *c, size_t i)
{
	const struct route_candidate *cand = &c->cand[i];
	const struct route_stat *s = &c->stat[i];
	const struct route_query *q = c->query;
	struct admission_load load = { 0 };
	uint64_t reported_ms, now_ms = q->now_ms;

	if (cand->leaving || cand->already_tried || cand->slots == 0 ||
	    now_ms < s->leaving_until_ms)
		return CAND_UNUSABLE;
	if (now_ms < s->ejected_until_ms)
		return CAND_EJECTED;
	if (s->needs_probe)
		return s->inflight == 0 &&
			       (q->may_probe || now_ms > s->ejected_until_ms +
							     PROBE_OVERDUE_MS)
			   ? CAND_PROBE
			   : CAND_EJECTED;
	estimated_load(c, i, &load.level, &reported_ms);
	if (admission_precheck(&load, reported_ms * 1000, q->rank,
		now_ms * 1000, q->rnd >> 3) == ADMISSION_HINT_SHED)
		return CAND_SHEDS;
	return cand->suspect ? CAND_SUSPECT : CAND_READY;
}

/*
 * Enforces the ejections of at most half of the servers, those that end
 * last.  The other ejected servers become ready again.
 */
static void
limit_ejections(struct selection *c)
{
	size_t i, worst, live = 0, enforced_count = 0, ejected = 0;
	unsigned char enforced[ROUTE_CANDIDATES_MAX] = { 0 };

	for (i = 0; i < c->count; i++) {
		live +=
		    c->states[i] != CAND_UNUSABLE || c->cand[i].already_tried;
		ejected += c->states[i] == CAND_EJECTED;
	}
	if (ejected <= live / 2)
		return;
	for (; enforced_count < live / 2; enforced_count++) {
		worst = c->count;
		for (i = 0; i < c->count; i++) {
			if (c->states[i] != CAND_EJECTED || enforced[i])
				continue;
			if (worst == c->count ||
			    c->stat[i].ejected_until_ms >
				c->stat[worst].ejected_until_ms)
				worst = i;
		}
		enforced[worst] = 1;
	}
	for (i = 0; i < c->count; i++) {
		if (c->states[i] == CAND_EJECTED && !enforced[i])
			c->states[i] = CAND_READY;
	}
}

/*
 * Estimates the requests that a server holds: its last reported load,
 * decayed by age, plus those that this node has sent since.  The report
 * comes from the server's answers or from gossip, whichever is newer.  Sets
 * the reported level and the time of the report.
 */
static double
estimated_load(
    const struct selection *c, size_t i, uint32_t *level, uint64_t *reported_ms)
{
	const struct route_candidate *cand = &c->cand[i];
	const struct route_stat *s = &c->stat[i];
	const struct admission_load *load = &s->load;
	double decay, inflight = s->inflight,
		      reported_inflight = s->inflight_at_report;

	*reported_ms = s->load_reported_ms;
	if (cand->load_reported_ms > s->load_reported_ms) {
		load = &cand->load;
		*reported_ms = cand->load_reported_ms;
		reported_inflight = 0;
	}
	*level = load->level;
	if (*reported_ms == 0)
		return inflight;
	decay = c->query->now_ms > *reported_ms
		    ? exp2(-(double)(c->query->now_ms - *reported_ms) /
			   LOAD_HALF_LIFE_MS)
		    : 1;
	return decay * (load->inflight + load->queued) +
	       fmax(0, inflight - decay * reported_inflight);
}

/*
 * Returns the share of its capacity that a server may use.  It is below 1
 * for a new or readmitted server.
 */
static double
slow_start_weight(const struct selection *c, size_t i)
{
	uint64_t start_ms = c->cand[i].first_seen_ms, now_ms = c->query->now_ms;

	if (c->stat[i].readmitted_ms > start_ms)
		start_ms = c->stat[i].readmitted_ms;
	if (start_ms == 0 || now_ms >= start_ms + SLOW_START_MS)
		return 1;
	if (now_ms <= start_ms)
		return SLOW_START_MIN_WEIGHT;
	return fmax(
	    SLOW_START_MIN_WEIGHT, (double)(now_ms - start_ms) / SLOW_START_MS);
}

/*
 * Returns the share of a server's capacity that is in use if it gets this
 * request.
 */
static double
usage(const struct selection *c, size_t i)
{
	const struct route_candidate *cand = &c->cand[i];
	const struct route_stat *s = &c->stat[i];
	double capacity = cand->slots, load;
	uint64_t reported_ms;
	uint32_t level;

	load = estimated_load(c, i, &level, &reported_ms);
	if (reported_ms != 0 &&
	    c->query->now_ms <= reported_ms + LOAD_MAX_AGE_MS) {
		capacity = reported_ms == s->load_reported_ms
			       ? s->load.limit
			       : cand->load.limit;
		capacity = fmin(fmax(capacity, 1), cand->slots);
	}
	return (load + 1) / (capacity * slow_start_weight(c, i));
}

/*
 * Returns a server's latency (us) divided by the square of its success
 * share.  The division keeps a server that fails fast from appearing fast.
 */
static double
slowness(const struct selection *c, size_t i)
{
	const struct route_stat *s = &c->stat[i];
	double success_share =
	    (s->successes + 1) / (s->successes + s->failures + 1);
	double latency_us = c->latency_us, age_ms = 0;

	if (c->query->now_ms > s->last_used_ms)
		age_ms = (double)(c->query->now_ms - s->last_used_ms);
	if (s->latency_us > 0)
		latency_us += (s->latency_us - latency_us) *
			      exp2(-age_ms / LATENCY_HALF_LIFE_MS);
	latency_us = fmax(latency_us, c->latency_us * LATENCY_RATIO_MIN);
	success_share = fmax(success_share, SUCCESS_SHARE_MIN);
	return latency_us / (success_share * success_share);
}

/*
 * Returns the cost of sending a request to a server: slowness times usage.
 */
static double
cost(const struct selection *c, size_t i)
{
	return usage(c, i) * slowness(c, i);
}

/*
 * Returns the mean latency of the candidates with a known latency.
 */
static double
mean_latency_us(const struct selection *c)
{
	double sum = 0;
	size_t i, n = 0;

	for (i = 0; i < c->count; i++) {
		if (c->stat[i].latency_us <= 0)
			continue;
		sum += c->stat[i].latency_us;
		n++;
	}
	return n > 0 ? sum / (double)n : LATENCY_DEFAULT_US;
}

/*
 * Counts the candidates in a state whose proximity is in a bit mask.
 */
static size_t
count_in_state(
    const struct selection *c, enum cand_state state, unsigned int proximities)
{
	size_t i, n = 0;

	for (i = 0; i < c->count; i++)
		n += c->states[i] == state &&
		     (proximities >> c->cand[i].proximity & 1);
	return n;
}

/*
 * Returns the index of the nth such candidate, counted from 0.  It must
 * exist.
 */
static size_t
nth_in_state(const struct selection *c, enum cand_state state,
    unsigned int proximities, size_t n)
{
	size_t i;

	for (i = 0; i < c->count; i++) {
		if (c->states[i] != state ||
		    (proximities >> c->cand[i].proximity & 1) == 0)
			continue;
		if (n-- == 0)
			return i;
	}
	return 0;
}

/*
 * Returns the cheaper of two random such candidates, or -1 if there is none.
 */
static int
better_of_two(const struct selection *c, enum cand_state state,
    unsigned int proximities, uint64_t draw)
{
	size_t n = count_in_state(c, state, proximities), a, b;

	if (n == 0)
		return -1;
	a = draw % n;
	b = n > 1 ? (a + 1 + (draw >> 24) % (n - 1)) % n : a;
	a = nth_in_state(c, state, proximities, a);
	b = nth_in_state(c, state, proximities, b);
	return (int)(cost(c, b) < EQUAL_COST_RATIO * cost(c, a) ? b : a);
}

/*
 * Reports whether a candidate has spare capacity and is not much slower than
 * the mean.
 */
static int
is_acceptable(const struct selection *c, size_t i)
{
	return usage(c, i) <= NEAR_USAGE_MAX &&
	       slowness(c, i) <= NEAR_SLOWNESS_MAX * c->latency_us;
}

/*
 * Returns the better of two candidates in this node's domain, or -1 if there
 * is no candidate in this state.  Considers the own region and then other
 * regions while no acceptable candidate is found.  A candidate further away
 * must be cheaper by FAR_COST_RATIO.
 */
static int
cheapest_by_proximity(
    const struct selection *c, enum cand_state state, uint64_t draw)
{
	int proximity = ROUTE_PROXIMITY_MAX, chosen = -1, next;

	while (proximity-- > 0 &&
	       (chosen < 0 || !is_acceptable(c, (size_t)chosen))) {
		next = better_of_two(c, state, 1U << proximity, draw);
		if (next < 0)
			continue;
		if (chosen < 0 || cost(c, (size_t)next) <
				      FAR_COST_RATIO * cost(c, (size_t)chosen))
			chosen = next;
	}
	return chosen;
}
