#include <math.h>

#include "route/route.h"

/*
 * The choice of a server: the cheaper of two random candidates in the own
 * failure domain, or further away where that is busy and the others aren't.
 */

#define COLD_MS 5000	   /* a new or returned server ramps up in this time */
#define COLD_WEIGHT 0.1	   /* where its ramp begins */
#define LOAD_HALF_MS 500   /* a told load is half worth after this time */
#define LOAD_AGE_MS 1000   /* a told limit or level is forgotten */
#define PROBE_SHARE 8	   /* one in 8 may be a returning server's probe */
#define PROBE_LATE_MS 5000 /* then any request may be one */
#define NEAR_BUSY 0.75	   /* share of its capacity in use */
#define NEAR_SLOW 1.5	   /* times the mean slowness */
#define FAR_BETTER 0.9	   /* cost against that of a nearer one */
#define ANYWHERE ((1U << ROUTE_NEAR_MAX) - 1)
#define FAIL_FLOOR 0.05
#define LATENCY_GUESS_US 10000
#define LATENCY_HALF_MS 5000
#define LATENCY_FLOOR 0.5 /* of the mean: quickness counts no further */
#define COST_BETTER 0.95  /* costs closer than this are equal */

/* Why a candidate may be chosen; lower states are better. */
enum fit {
	FIT_READY,
	FIT_SHEDS,   /* it would shed this rank */
	FIT_SUSPECT, /* usable where no other takes requests */
	FIT_PROBE,   /* returns from an ejection, free for its one probe */
	FIT_EJECTED, /* but usable where more than half are ejected */
	FIT_NEVER,
	FIT_MAX
};

struct choice {
	const struct route_candidate *cand;
	const struct route_stat *stat;
	const struct route_query *query;
	size_t count;
	unsigned char fits[ROUTE_CANDIDATES_MAX];
	double latency_us; /* mean of the known ones */
};

static enum fit fit_of(const struct choice *, size_t);
static void limit_ejections(struct choice *);
static double told_load(const struct choice *, size_t, uint32_t *, uint64_t *);
static double weight(const struct choice *, size_t);
static double usage(const struct choice *, size_t);
static double slowness(const struct choice *, size_t);
static double cost(const struct choice *, size_t);
static size_t nth(const struct choice *, enum fit, unsigned int, size_t);
static size_t count_fit(const struct choice *, enum fit, unsigned int);
static int better_of_two(
    const struct choice *, enum fit, unsigned int, uint64_t);
static int best(const struct choice *, enum fit, uint64_t);
static double mean_latency(const struct choice *);

/*
 * Chooses among candidates, whose own observations stand at the same index
 * (at most ROUTE_CANDIDATES_MAX).  Returns an index, or -1 with the reason.
 */
int
route_choose(const struct route_candidate *cand, const struct route_stat *stat,
    size_t count, const struct route_query *q, enum route_reason *why)
{
	struct choice c = { cand, stat, q, count, { 0 }, 0 };
	uint64_t draw = q->rnd >> 8;
	size_t i, n;

	for (i = 0; i < count; i++)
		c.fits[i] = (unsigned char)fit_of(&c, i);
	limit_ejections(&c);
	c.latency_us = mean_latency(&c);
	*why = ROUTE_CHOSEN;
	n = count_fit(&c, FIT_PROBE, ANYWHERE);
	if (n > 0 && q->rnd % PROBE_SHARE == 0)
		return (int)nth(&c, FIT_PROBE, ANYWHERE, draw % n);
	if (count_fit(&c, FIT_READY, ANYWHERE) > 0)
		return best(&c, FIT_READY, draw);
	if (count_fit(&c, FIT_SHEDS, ANYWHERE) > 0) {
		*why = ROUTE_OVERLOAD;
		return -1;
	}
	if (count_fit(&c, FIT_SUSPECT, -1) > 0)
		return best(&c, FIT_SUSPECT, draw);
	if (n > 0)
		return best(&c, FIT_PROBE, draw);
	if (count_fit(&c, FIT_EJECTED, ANYWHERE) > 0)
		return best(&c, FIT_EJECTED, draw);
	*why = ROUTE_NO_SERVER;
	return -1;
}

/*
 * Tells what stands against a candidate.
 */
static enum fit
fit_of(const struct choice *c, size_t i)
{
	const struct route_candidate *cand = &c->cand[i];
	const struct route_stat *s = &c->stat[i];
	const struct route_query *q = c->query;
	struct admission_load load = { 0 };
	uint64_t heard, now = q->now_ms;

	if (cand->leaving || cand->tried || cand->slots == 0 ||
	    now < s->leaving_ms)
		return FIT_NEVER;
	if (now < s->ejected_ms)
		return FIT_EJECTED;
	if (s->returning)
		return s->inflight == 0 &&
			       (q->may_probe ||
				   now > s->ejected_ms + PROBE_LATE_MS)
			   ? FIT_PROBE
			   : FIT_EJECTED;
	told_load(c, i, &load.level, &heard);
	if (admission_precheck(&load, heard * 1000, q->rank, now * 1000,
		q->rnd >> 3) == ADMISSION_HINT_SHED)
		return FIT_SHEDS;
	return cand->suspect ? FIT_SUSPECT : FIT_READY;
}

/*
 * Heeds the ejections of at most half of the service, the latest ending
 * first; the rest take requests again.
 */
static void
limit_ejections(struct choice *c)
{
	size_t i, worst, live = 0, heeded = 0, out = 0;
	unsigned char heed[ROUTE_CANDIDATES_MAX] = { 0 };

	for (i = 0; i < c->count; i++) {
		live += c->fits[i] != FIT_NEVER || c->cand[i].tried;
		out += c->fits[i] == FIT_EJECTED;
	}
	if (out <= live / 2)
		return;
	for (; heeded < live / 2; heeded++) {
		worst = c->count;
		for (i = 0; i < c->count; i++) {
			if (c->fits[i] != FIT_EJECTED || heed[i])
				continue;
			if (worst == c->count ||
			    c->stat[i].ejected_ms > c->stat[worst].ejected_ms)
				worst = i;
		}
		heed[worst] = 1;
	}
	for (i = 0; i < c->count; i++) {
		if (c->fits[i] == FIT_EJECTED && !heed[i])
			c->fits[i] = FIT_READY;
	}
}

/*
 * Returns the requests that a server was last heard to hold, from its own
 * answers or from gossip, whichever is newer, less what age makes of it; and
 * what this node has sent since.  Sets the level told and when it was heard.
 */
static double
told_load(const struct choice *c, size_t i, uint32_t *level, uint64_t *heard)
{
	const struct route_candidate *cand = &c->cand[i];
	const struct route_stat *s = &c->stat[i];
	const struct admission_load *load = &s->load;
	double fade, own = s->inflight, mine = s->inflight_heard;

	*heard = s->heard_ms;
	if (cand->heard_ms > s->heard_ms) {
		load = &cand->load;
		*heard = cand->heard_ms;
		mine = 0;
	}
	*level = load->level;
	if (*heard == 0)
		return own;
	fade = c->query->now_ms > *heard
		   ? exp2(-(double)(c->query->now_ms - *heard) / LOAD_HALF_MS)
		   : 1;
	return fade * (load->inflight + load->queued) +
	       fmax(0, own - fade * mine);
}

/*
 * Returns the share of its capacity that a new or returned server may use.
 */
static double
weight(const struct choice *c, size_t i)
{
	uint64_t from = c->cand[i].since_ms, now = c->query->now_ms;

	if (c->stat[i].returned_ms > from)
		from = c->stat[i].returned_ms;
	if (from == 0 || now >= from + COLD_MS)
		return 1;
	if (now <= from)
		return COLD_WEIGHT;
	return fmax(COLD_WEIGHT, (double)(now - from) / COLD_MS);
}

/*
 * Returns the share of a server's capacity that would be in use with this
 * request.
 */
static double
usage(const struct choice *c, size_t i)
{
	const struct route_candidate *cand = &c->cand[i];
	const struct route_stat *s = &c->stat[i];
	double cap = cand->slots, load;
	uint64_t heard;
	uint32_t level;

	load = told_load(c, i, &level, &heard);
	if (heard != 0 && c->query->now_ms <= heard + LOAD_AGE_MS) {
		cap = heard == s->heard_ms ? s->load.limit : cand->load.limit;
		cap = fmin(fmax(cap, 1), cand->slots);
	}
	return (load + 1) / (cap * weight(c, i));
}

/*
 * Returns a server's latency (us) over the square of its share of successes,
 * so that one that fails fast doesn't look quick.
 */
static double
slowness(const struct choice *c, size_t i)
{
	const struct route_stat *s = &c->stat[i];
	double ok = (s->good + 1) / (s->good + s->bad + 1);
	double lat = c->latency_us, age = 0;

	if (c->query->now_ms > s->used_ms)
		age = (double)(c->query->now_ms - s->used_ms);
	if (s->latency_us > 0)
		lat += (s->latency_us - lat) * exp2(-age / LATENCY_HALF_MS);
	lat = fmax(lat, c->latency_us * LATENCY_FLOOR);
	ok = fmax(ok, FAIL_FLOOR);
	return lat / (ok * ok);
}

/*
 * Returns what sending to a server costs: its slowness times its usage.
 */
static double
cost(const struct choice *c, size_t i)
{
	return usage(c, i) * slowness(c, i);
}

/*
 * Returns the mean latency of the candidates that have one.
 */
static double
mean_latency(const struct choice *c)
{
	double sum = 0;
	size_t i, n = 0;

	for (i = 0; i < c->count; i++) {
		if (c->stat[i].latency_us <= 0)
			continue;
		sum += c->stat[i].latency_us;
		n++;
	}
	return n > 0 ? sum / (double)n : LATENCY_GUESS_US;
}

/*
 * Counts candidates of a state at the distances of a bit mask.
 */
static size_t
count_fit(const struct choice *c, enum fit fit, unsigned int nears)
{
	size_t i, n = 0;

	for (i = 0; i < c->count; i++)
		n += c->fits[i] == fit && (nears >> c->cand[i].near & 1);
	return n;
}

/*
 * Returns the index of the nth such candidate, which must exist.
 */
static size_t
nth(const struct choice *c, enum fit fit, unsigned int nears, size_t n)
{
	size_t i;

	for (i = 0; i < c->count; i++) {
		if (c->fits[i] != fit || (nears >> c->cand[i].near & 1) == 0)
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
better_of_two(
    const struct choice *c, enum fit fit, unsigned int nears, uint64_t draw)
{
	size_t n = count_fit(c, fit, nears), a, b;

	if (n == 0)
		return -1;
	a = draw % n;
	b = n > 1 ? (a + 1 + (draw >> 24) % (n - 1)) % n : a;
	a = nth(c, fit, nears, a);
	b = nth(c, fit, nears, b);
	return (int)(cost(c, b) < COST_BETTER * cost(c, a) ? b : a);
}

/*
 * Tells whether a candidate has room and is about as quick as the others.
 */
static int
is_easy(const struct choice *c, size_t i)
{
	return usage(c, i) <= NEAR_BUSY &&
	       slowness(c, i) <= NEAR_SLOW * c->latency_us;
}

/*
 * Returns the better of two in the own domain, or of two further away, the
 * own region first, if there is none or it is busy or slow and theirs aren't.
 */
static int
best(const struct choice *c, enum fit fit, uint64_t draw)
{
	int near = ROUTE_NEAR_MAX, at = -1, next;

	while (near-- > 0 && (at < 0 || !is_easy(c, (size_t)at))) {
		next = better_of_two(c, fit, 1U << near, draw);
		if (next < 0)
			continue;
		if (at < 0 ||
		    cost(c, (size_t)next) < FAR_BETTER * cost(c, (size_t)at))
			at = next;
	}
	return at;
}
