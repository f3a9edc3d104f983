#include <math.h>

#include "route/route.h"

/*
 * The choice of a server: the cheaper of two random candidates in the own
 * failure domain, or further away where that is busy and the others aren't.
 */

#define SLOW_START_MS                                          \
	5000 /* a new or returned server ramps up in this time \
	      */
#define SLOW_START_MIN_WEIGHT 0.1 /* where its ramp begins */
#define LOAD_HALF_LIFE_MS 500 /* a told load is half worth after this time */
#define LOAD_MAX_AGE_MS 1000  /* a told limit or level is forgotten */
#define PROBE_ONE_IN 8	      /* one in 8 may be a returning server's probe */
#define PROBE_OVERDUE_MS 5000 /* then any request may be one */
#define NEAR_USAGE_MAX 0.75   /* share of its capacity in use */
#define NEAR_SLOWNESS_MAX 1.5 /* times the mean slowness */
#define FAR_COST_RATIO 0.9    /* cost against that of a nearer one */
#define ANY_PROXIMITY ((1U << ROUTE_PROXIMITY_MAX) - 1)
#define SUCCESS_SHARE_MIN 0.05
#define LATENCY_DEFAULT_US 10000
#define LATENCY_HALF_LIFE_MS 5000
#define LATENCY_RATIO_MIN 0.5 /* of the mean: quickness counts no further */
#define EQUAL_COST_RATIO 0.95 /* costs closer than this are equal */

/* Why a candidate may be chosen; lower states are better. */
enum cand_state {
	CAND_READY,
	CAND_SHEDS,   /* it would shed this rank */
	CAND_SUSPECT, /* usable where no other takes requests */
	CAND_PROBE,   /* returns from an ejection, free for its one probe */
	CAND_EJECTED, /* but usable where more than half are ejected */
	CAND_UNUSABLE,
	CAND_STATE_MAX
};

struct selection {
	const struct route_candidate *cand;
	const struct route_stat *stat;
	const struct route_query *query;
	size_t count;
	unsigned char states[ROUTE_CANDIDATES_MAX];
	double latency_us; /* mean of the known ones */
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
 * Chooses among candidates, whose own observations stand at the same index
 * (at most ROUTE_CANDIDATES_MAX).  Returns an index, or -1 with the reason.
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
 * Tells what stands against a candidate.
 */
static enum cand_state
state_of(const struct selection *c, size_t i)
{
	const struct route_candidate *cand = &c->cand[i];
	const struct route_stat *s = &c->stat[i];
	const struct route_query *q = c->query;
	struct admission_load load = { 0 };
	uint64_t reported_ms, now_ms = q->now_ms;

	if (cand->leaving || cand->tried || cand->slots == 0 ||
	    now_ms < s->leaving_until_ms)
		return CAND_UNUSABLE;
	if (now_ms < s->ejected_ms)
		return CAND_EJECTED;
	if (s->needs_probe)
		return s->inflight == 0 &&
			       (q->may_probe ||
				   now_ms > s->ejected_ms + PROBE_OVERDUE_MS)
			   ? CAND_PROBE
			   : CAND_EJECTED;
	estimated_load(c, i, &load.level, &reported_ms);
	if (admission_precheck(&load, reported_ms * 1000, q->rank,
		now_ms * 1000, q->rnd >> 3) == ADMISSION_HINT_SHED)
		return CAND_SHEDS;
	return cand->suspect ? CAND_SUSPECT : CAND_READY;
}

/*
 * Heeds the ejections of at most half of the service, the latest ending
 * first; the rest take requests again.
 */
static void
limit_ejections(struct selection *c)
{
	size_t i, worst, live = 0, enforced_count = 0, ejected = 0;
	unsigned char enforced[ROUTE_CANDIDATES_MAX] = { 0 };

	for (i = 0; i < c->count; i++) {
		live += c->states[i] != CAND_UNUSABLE || c->cand[i].tried;
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
			    c->stat[i].ejected_ms > c->stat[worst].ejected_ms)
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
 * Returns the requests that a server was last heard to hold, from its own
 * answers or from gossip, whichever is newer, less what age makes of it; and
 * what this node has sent since.  Sets the level told and when it was heard.
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
 * Returns the share of its capacity that a new or returned server may use.
 */
static double
slow_start_weight(const struct selection *c, size_t i)
{
	uint64_t start_ms = c->cand[i].since_ms, now_ms = c->query->now_ms;

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
 * Returns the share of a server's capacity that would be in use with this
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
 * Returns a server's latency (us) over the square of its share of successes,
 * so that one that fails fast doesn't look quick.
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
 * Returns what sending to a server costs: its slowness times its usage.
 */
static double
cost(const struct selection *c, size_t i)
{
	return usage(c, i) * slowness(c, i);
}

/*
 * Returns the mean latency of the candidates that have one.
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
 * Counts candidates of a state at the distances of a bit mask.
 */
static size_t
count_in_state(
    const struct selection *c, enum cand_state state, unsigned int proximities)
{
	size_t i, n = 0;

	for (i = 0; i < c->count; i++)
		n += c->states[i] == state &&
		     (proximities >> c->cand[i].near & 1);
	return n;
}

/*
 * Returns the index of the nth such candidate, which must exist.
 */
static size_t
nth_in_state(const struct selection *c, enum cand_state state,
    unsigned int proximities, size_t n)
{
	size_t i;

	for (i = 0; i < c->count; i++) {
		if (c->states[i] != state ||
		    (proximities >> c->cand[i].near & 1) == 0)
			continue;
		if (n-- == 0)
			return i;
	}
	return 0;
}

/*
 * Returns the cheaper of two random ones, or -1 if there is none.
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
 * Tells whether a candidate has room and is about as quick as the others.
 */
static int
is_acceptable(const struct selection *c, size_t i)
{
	return usage(c, i) <= NEAR_USAGE_MAX &&
	       slowness(c, i) <= NEAR_SLOWNESS_MAX * c->latency_us;
}

/*
 * Returns the better of two in the own domain, or of two further away, the
 * own region first, if there is none or it is busy or slow and theirs aren't.
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
