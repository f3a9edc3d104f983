#include <math.h>
#include <string.h>

#include "admission/admission_core.h"

/*
 * The concurrency limit.  It moves by trials: the latency of a window at the
 * old limit is compared with one at the new limit.  A step up is kept only
 * if it bought throughput, a step down only if it bought latency.  So a
 * server that is slow for a reason of its own keeps its slots, while one
 * that has taken too much at once is relieved.
 */

#define COLD_SHARE 4   /* a cold server starts with 1/4 of its slots */
#define FLOOR_SHARE 16 /* the limit stays above 1/16 of the slots */
#define FLOOR_LEAST 4  /* too few to tell a trend from chance */
#define STEP_RAMP 1.8  /* until the first try has failed */
#define STEP_UP 1.4
#define STEP_DOWN 0.6
#define STEP_LOOK_DOWN 0.75 /* after a failed try upwards */
#define SHED_CUT 0.9
#define TIMEOUT_CUT 0.75
#define TIMEOUT_SHARE 8	    /* one in 8 timed out: cut */
#define STALL_SHARE 2	    /* half timed out: the server stalls */
#define RAMP_ELASTICITY 1.0 /* growth of latency over that of the limit */
#define UP_ELASTICITY 0.8
#define DOWN_ELASTICITY 0.5
#define RAISED_LATENCY 1.4 /* over the base: worth a step down */
#define MUCH_QUICKER 0.45  /* than the window before, by no step of ours */
#define BASE_FALL 0.3	   /* weight of a window below or above the base */
#define BASE_RISE 0.1
#define WINDOW_MIN_US 50000
#define WINDOW_MAX_US 1000000
#define WINDOW_RAMP 64 /* served requests */
#define RAMP_STEP_US 250000
#define WINDOW_SERVED 128
#define WINDOW_LEAST 16
#define WINDOW_LIMITS 16 /* times the limit, where that is fewer */
#define RAMP_LIMITS 4
#define SETTLE_LATENCIES 2 /* until a changed limit shows */
#define HOLD_FIRST_US 200000
#define HOLD_LAST_US 3200000
#define BLAMELESS_US 4000000 /* after a step down that brought nothing */
#define MEAN_WEIGHT 0.05
#define MEAN_HALF_US 1000000 /* without news, the mean halves in this time */

static void window_begin(struct limiter *, uint64_t);
static void change(struct limiter *, double, enum limiter_phase, uint64_t);
static void note_time(struct limiter *, double, uint64_t);
static uint64_t settle_us(const struct limiter *);
static int settled(const struct limiter *, uint64_t);
static int ended(const struct limiter *, uint64_t);
static double window_latency(const struct limiter *, double *);
static void judge_steady(struct limiter *, uint64_t);
static void judge_timeouts(struct limiter *, int, uint64_t);
static void judge_up(struct limiter *, uint64_t);
static void judge_down(struct limiter *, uint64_t);
static void climb(struct limiter *, double);
static void fail_try(struct limiter *, uint64_t);
static double floor_of(const struct limiter *);

static void (*const judges[LIMITER_PHASE_MAX])(struct limiter *, uint64_t) = {
	[LIMITER_STEADY] = judge_steady,
	[LIMITER_TRY_UP] = judge_up,
	[LIMITER_TRY_DOWN] = judge_down,
};

/*
 * Starts over for a server that has just appeared with this many slots.
 */
void
limiter_init(struct limiter *l, uint32_t slots, uint64_t now_us)
{
	int fixed = l->fixed;

	memset(l, 0, sizeof(*l));
	l->fixed = fixed;
	l->slots = slots;
	l->limit = fmax(floor_of(l), floor((double)slots / COLD_SHARE));
	l->ramping = 1;
	l->hold_max_us = HOLD_FIRST_US;
	window_begin(l, now_us);
}

/*
 * Takes a changed number of slots from a server that is running.
 */
void
limiter_set_slots(struct limiter *l, uint32_t slots)
{
	l->slots = slots;
	if (l->limit > slots)
		l->limit = slots;
	if (l->limit < floor_of(l))
		l->limit = floor_of(l);
}

/*
 * Returns how many requests may be in flight at once; 0 without a server.
 */
uint32_t
limiter_value(const struct limiter *l)
{
	if (l->fixed || l->slots == 0)
		return l->slots;
	return (uint32_t)l->limit;
}

/*
 * Returns the time (us) below which a request can't be expected to end: the
 * mean less the deviation of service times.  It fades when nothing is
 * served, so that an old slowness can't refuse for ever.
 */
uint64_t
limiter_need_us(const struct limiter *l, uint64_t now_us)
{
	double need = fmax(l->mean_us - l->dev_us, l->mean_us / 4);
	uint64_t age = now_us > l->seen_us ? now_us - l->seen_us : 0;

	if (age > MEAN_HALF_US)
		need *= exp2(-(double)age / MEAN_HALF_US);
	return (uint64_t)need;
}

/*
 * Notes that a request found no free place: the limit binds.
 */
void
limiter_saturated(struct limiter *l)
{
	l->win.saturated = 1;
}

/*
 * Takes the end of one request: how, after how long, how many were in flight
 * then, and the time.
 */
void
limiter_done(struct limiter *l, enum admission_outcome how, uint64_t took_us,
    uint32_t inflight, uint64_t now_us)
{
	double took = (double)took_us;

	if (how == ADMISSION_SHED && settled(l, now_us)) {
		fail_try(l, now_us);
		change(l, fmin(l->limit, inflight) * SHED_CUT, LIMITER_STEADY,
		    now_us);
		return;
	}
	if (how != ADMISSION_SERVED && how != ADMISSION_TIMEOUT)
		return;
	note_time(l, took, now_us);
	if (!settled(l, now_us))
		return;
	l->win.sum_us += took;
	l->win.sum_sq += took * took;
	l->win.served++;
	l->win.timeouts += how == ADMISSION_TIMEOUT;
	if (ended(l, now_us))
		judges[l->phase](l, now_us);
}

/*
 * Adds a service time to the decaying mean and deviation.  The first window
 * begins once the first requests are through, for those that end soonest
 * are the short ones.
 */
static void
note_time(struct limiter *l, double took, uint64_t now_us)
{
	if (l->mean_us <= 0) {
		l->mean_us = took;
		window_begin(l, now_us + settle_us(l));
	}
	l->dev_us += MEAN_WEIGHT * (fabs(took - l->mean_us) - l->dev_us);
	l->mean_us += MEAN_WEIGHT * (took - l->mean_us);
	l->seen_us = now_us;
}

/*
 * Begins to count anew.
 */
static void
window_begin(struct limiter *l, uint64_t now_us)
{
	memset(&l->win, 0, sizeof(l->win));
	l->win.start_us = now_us;
}

/*
 * Sets the limit, within its bounds, and opens a window that begins once the
 * requests admitted under the old one are through.
 */
static void
change(
    struct limiter *l, double limit, enum limiter_phase phase, uint64_t now_us)
{
	l->limit = fmin(fmax(floor(limit), floor_of(l)), l->slots);
	l->phase = phase;
	window_begin(l, now_us + settle_us(l));
}

/*
 * Returns how long requests that were admitted under another limit still
 * end.  A server that ramps up isn't kept waiting for all of them.
 */
static uint64_t
settle_us(const struct limiter *l)
{
	double us = SETTLE_LATENCIES * l->mean_us;

	return (uint64_t)fmin(us, l->ramping ? RAMP_STEP_US : WINDOW_MAX_US);
}

/*
 * Tells whether the window has begun.
 */
static int
settled(const struct limiter *l, uint64_t now_us)
{
	return now_us >= l->win.start_us;
}

/*
 * Tells whether the window has seen enough to be judged.  While the limit
 * ramps up, a step that shows no harm for some time is taken for harmless.
 */
static int
ended(const struct limiter *l, uint64_t now_us)
{
	double enough = l->ramping
			    ? fmin(WINDOW_RAMP, RAMP_LIMITS * l->limit)
			    : fmin(WINDOW_SERVED, WINDOW_LIMITS * l->limit);

	enough = fmax(enough, WINDOW_LEAST);
	if (l->ramping && now_us >= l->win.start_us + RAMP_STEP_US)
		return 1;
	if (now_us < l->win.start_us + WINDOW_MIN_US)
		return 0;
	if (l->win.served >= enough)
		return 1;
	return l->win.served >= WINDOW_LEAST &&
	       now_us >= l->win.start_us + WINDOW_MAX_US;
}

/*
 * Returns the mean latency of the window and sets *var to the squared
 * standard error of its logarithm.
 */
static double
window_latency(const struct limiter *l, double *var)
{
	double n = l->win.served, mean = l->win.sum_us / n;

	if (mean < 1)
		mean = 1;
	*var = fmax(0, l->win.sum_sq / n - mean * mean) / (mean * mean) / n;
	return mean;
}

/*
 * Ends a window without a trial: cuts after timeouts, unless a step down has
 * lately shown that the server is slow for a reason of its own, and tries a
 * step down if the latency has risen.  If the limit binds, it tries a step up,
 * and after one that failed a step down, for it may stand too high already.
 */
static void
judge_steady(struct limiter *l, uint64_t now_us)
{
	int binds = l->win.saturated;
	double lat = window_latency(l, &l->ref_var), step;

	if (l->base_us <= 0)
		l->base_us = lat;
	if (l->limit >= l->ref_limit && lat < l->ref_us * MUCH_QUICKER)
		climb(l, lat);
	l->ref_us = lat;
	l->ref_limit = l->limit;
	if (l->win.timeouts * TIMEOUT_SHARE > l->win.served) {
		l->stalled = l->win.timeouts * STALL_SHARE > l->win.served;
		judge_timeouts(l, binds && now_us >= l->blameless_us, now_us);
		return;
	}
	if (l->stalled)
		climb(l, lat);
	if (binds && l->limit > floor_of(l) &&
	    log(lat / l->base_us) > log(RAISED_LATENCY) + sqrt(l->ref_var)) {
		change(l, l->limit * STEP_DOWN, LIMITER_TRY_DOWN, now_us);
		return;
	}
	l->base_us +=
	    (lat < l->base_us ? BASE_FALL : BASE_RISE) * (lat - l->base_us);
	if (!binds || now_us < l->hold_us) {
		window_begin(l, now_us);
		return;
	}
	if (l->look_down) {
		l->look_down = 0;
		change(l, l->limit * STEP_LOOK_DOWN, LIMITER_TRY_DOWN, now_us);
		return;
	}
	if (l->limit >= l->slots) {
		window_begin(l, now_us);
		return;
	}
	step = l->ramping ? STEP_RAMP : STEP_UP;
	change(l, ceil(l->limit * step), LIMITER_TRY_UP, now_us);
}

/*
 * Takes a window of many timeouts: cuts at once where most timed out, or else
 * tries a step down if the limit may be to blame.
 */
static void
judge_timeouts(struct limiter *l, int blamed, uint64_t now_us)
{
	if (!blamed) {
		change(l, l->limit, LIMITER_STEADY, now_us);
		return;
	}
	if (!l->stalled && l->limit > floor_of(l)) {
		change(l, l->limit * STEP_DOWN, LIMITER_TRY_DOWN, now_us);
		return;
	}
	fail_try(l, now_us);
	change(l, l->limit * TIMEOUT_CUT, LIMITER_STEADY, now_us);
}

/*
 * Ends a try upwards: undone if the latency took what the limit gave.
 */
static void
judge_up(struct limiter *l, uint64_t now_us)
{
	double gain = log(l->limit / l->ref_limit), var;
	double rise = log(window_latency(l, &var) / l->ref_us);

	if (l->ramping)
		gain = gain * RAMP_ELASTICITY + sqrt(var + l->ref_var);
	else
		gain *= UP_ELASTICITY;
	if (l->win.served < WINDOW_LEAST)
		rise = 0;
	if (l->win.timeouts * TIMEOUT_SHARE > l->win.served || rise > gain) {
		fail_try(l, now_us);
		l->look_down = 1;
		change(l, l->ref_limit, LIMITER_STEADY, now_us);
		return;
	}
	l->hold_max_us = HOLD_FIRST_US;
	l->phase = LIMITER_STEADY;
	judge_steady(l, now_us);
}

/*
 * Ends a try downwards: kept only if the latency fell by more than chance
 * explains.  If not, the server's present latency is the new base.
 */
static void
judge_down(struct limiter *l, uint64_t now_us)
{
	double cut = log(l->limit / l->ref_limit), var;
	double lat = window_latency(l, &var);

	if (log(lat / l->ref_us) >
	    DOWN_ELASTICITY * cut - sqrt(var + l->ref_var)) {
		l->base_us = fmax(l->ref_us, lat);
		l->blameless_us = now_us + BLAMELESS_US;
		change(l, l->ref_limit, LIMITER_STEADY, now_us);
		return;
	}
	fail_try(l, now_us);
	l->phase = LIMITER_STEADY;
	judge_steady(l, now_us);
}

/*
 * Notes that what held the server up is gone: the limit climbs as from cold.
 */
static void
climb(struct limiter *l, double lat)
{
	l->stalled = 0;
	l->ramping = 1;
	l->hold_us = 0;
	l->hold_max_us = HOLD_FIRST_US;
	l->look_down = 0;
	l->base_us = lat;
}

/*
 * Notes that the limit was too high: the next try upwards waits longer.
 */
static void
fail_try(struct limiter *l, uint64_t now_us)
{
	l->ramping = 0;
	l->hold_us = now_us + l->hold_max_us;
	if (l->hold_max_us < HOLD_LAST_US)
		l->hold_max_us *= 2;
}

/*
 * Returns the lowest limit for this server.
 */
static double
floor_of(const struct limiter *l)
{
	return fmax(
	    floor((double)l->slots / FLOOR_SHARE), fmin(l->slots, FLOOR_LEAST));
}
