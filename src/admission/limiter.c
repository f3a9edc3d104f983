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

#define COLD_SLOTS_DIVISOR 4 /* a cold server starts with 1/4 of its slots */
#define MIN_LIMIT_DIVISOR 16 /* the limit stays above 1/16 of the slots */
#define MIN_LIMIT 4	     /* too few to tell a trend from chance */
#define RAMP_FACTOR 1.8	     /* until the first try has failed */
#define RAISE_FACTOR 1.4
#define CUT_FACTOR 0.6
#define PROBE_CUT_FACTOR 0.75 /* after a failed try upwards */
#define SHED_CUT_FACTOR 0.9
#define TIMEOUT_CUT_FACTOR 0.75
#define TIMEOUT_SHARE_DIVISOR 8 /* one in 8 timed out: cut */
#define STALL_SHARE_DIVISOR 2	/* half timed out: the server stalls */
#define RAMP_ELASTICITY 1.0	/* growth of latency over that of the limit */
#define RAISE_ELASTICITY 0.8
#define CUT_ELASTICITY 0.5
#define RAISED_LATENCY_RATIO 1.4 /* over the base: worth a step down */
#define RECOVERY_LATENCY_RATIO \
	0.45		     /* than the window before, by no step of ours */
#define BASE_FALL_WEIGHT 0.3 /* weight of a window below or above the base */
#define BASE_RISE_WEIGHT 0.1
#define WINDOW_MIN_US 50000
#define WINDOW_MAX_US 1000000
#define RAMP_WINDOW_REQUESTS 64 /* served requests */
#define RAMP_STEP_MAX_US 250000
#define WINDOW_REQUESTS 128
#define WINDOW_MIN_REQUESTS 16
#define WINDOW_LIMIT_MULTIPLE 16 /* times the limit, where that is fewer */
#define RAMP_LIMIT_MULTIPLE 4
#define SETTLE_LATENCIES 2 /* until a changed limit shows */
#define RAISE_DELAY_MIN_US 200000
#define RAISE_DELAY_MAX_US 3200000
#define TIMEOUT_EXEMPT_US 4000000 /* after a step down that brought nothing */
#define MEAN_WEIGHT 0.05
#define MEAN_HALF_LIFE_US \
	1000000 /* without news, the mean halves in this time */

static void window_begin(struct limiter *, uint64_t);
static void set_limit(struct limiter *, double, enum limiter_phase, uint64_t);
static void record_service_time(struct limiter *, double, uint64_t);
static uint64_t settle_us(const struct limiter *);
static int window_started(const struct limiter *, uint64_t);
static int window_complete(const struct limiter *, uint64_t);
static double window_latency(const struct limiter *, double *);
static void evaluate_steady(struct limiter *, uint64_t);
static void evaluate_timeouts(struct limiter *, int, uint64_t);
static void evaluate_trial_up(struct limiter *, uint64_t);
static void evaluate_trial_down(struct limiter *, uint64_t);
static void restart_ramp(struct limiter *, double);
static void delay_next_raise(struct limiter *, uint64_t);
static double min_limit(const struct limiter *);

static void (*const evaluate[LIMITER_PHASE_MAX])(struct limiter *, uint64_t) = {
	[LIMITER_STEADY] = evaluate_steady,
	[LIMITER_TRIAL_UP] = evaluate_trial_up,
	[LIMITER_TRIAL_DOWN] = evaluate_trial_down,
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
	l->limit =
	    fmax(min_limit(l), floor((double)slots / COLD_SLOTS_DIVISOR));
	l->ramping = 1;
	l->raise_delay_us = RAISE_DELAY_MIN_US;
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
	if (l->limit < min_limit(l))
		l->limit = min_limit(l);
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
limiter_min_service_us(const struct limiter *l, uint64_t now_us)
{
	double min_us = fmax(l->mean_us - l->dev_us, l->mean_us / 4);
	uint64_t idle_us =
	    now_us > l->last_sample_us ? now_us - l->last_sample_us : 0;

	if (idle_us > MEAN_HALF_LIFE_US)
		min_us *= exp2(-(double)idle_us / MEAN_HALF_LIFE_US);
	return (uint64_t)min_us;
}

/*
 * Notes that a request found no free place: the limit binds.
 */
void
limiter_note_saturated(struct limiter *l)
{
	l->window.saturated = 1;
}

/*
 * Takes the end of one request: how, after how long, how many were in flight
 * then, and the time.
 */
void
limiter_record_end(struct limiter *l, enum admission_outcome outcome,
    uint64_t service_us, uint32_t inflight, uint64_t now_us)
{
	double sample_us = (double)service_us;

	if (outcome == ADMISSION_SHED && window_started(l, now_us)) {
		delay_next_raise(l, now_us);
		set_limit(l, fmin(l->limit, inflight) * SHED_CUT_FACTOR,
		    LIMITER_STEADY, now_us);
		return;
	}
	if (outcome != ADMISSION_SERVED && outcome != ADMISSION_TIMEOUT)
		return;
	record_service_time(l, sample_us, now_us);
	if (!window_started(l, now_us))
		return;
	l->window.sum_us += sample_us;
	l->window.sum_sq += sample_us * sample_us;
	l->window.served++;
	l->window.timeouts += outcome == ADMISSION_TIMEOUT;
	if (window_complete(l, now_us))
		evaluate[l->phase](l, now_us);
}

/*
 * Adds a service time to the decaying mean and deviation.  The first window
 * begins once the first requests are through, for those that end soonest
 * are the short ones.
 */
static void
record_service_time(struct limiter *l, double sample_us, uint64_t now_us)
{
	if (l->mean_us <= 0) {
		l->mean_us = sample_us;
		window_begin(l, now_us + settle_us(l));
	}
	l->dev_us += MEAN_WEIGHT * (fabs(sample_us - l->mean_us) - l->dev_us);
	l->mean_us += MEAN_WEIGHT * (sample_us - l->mean_us);
	l->last_sample_us = now_us;
}

/*
 * Begins to count anew.
 */
static void
window_begin(struct limiter *l, uint64_t now_us)
{
	memset(&l->window, 0, sizeof(l->window));
	l->window.start_us = now_us;
}

/*
 * Sets the limit, within its bounds, and opens a window that begins once the
 * requests admitted under the old one are through.
 */
static void
set_limit(
    struct limiter *l, double limit, enum limiter_phase phase, uint64_t now_us)
{
	l->limit = fmin(fmax(floor(limit), min_limit(l)), l->slots);
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

	return (uint64_t)fmin(
	    us, l->ramping ? RAMP_STEP_MAX_US : WINDOW_MAX_US);
}

/*
 * Tells whether the window has begun.
 */
static int
window_started(const struct limiter *l, uint64_t now_us)
{
	return now_us >= l->window.start_us;
}

/*
 * Tells whether the window has seen enough to be judged.  While the limit
 * ramps up, a step that shows no harm for some time is taken for harmless.
 */
static int
window_complete(const struct limiter *l, uint64_t now_us)
{
	double wanted =
	    l->ramping
		? fmin(RAMP_WINDOW_REQUESTS, RAMP_LIMIT_MULTIPLE * l->limit)
		: fmin(WINDOW_REQUESTS, WINDOW_LIMIT_MULTIPLE * l->limit);

	wanted = fmax(wanted, WINDOW_MIN_REQUESTS);
	if (l->ramping && now_us >= l->window.start_us + RAMP_STEP_MAX_US)
		return 1;
	if (now_us < l->window.start_us + WINDOW_MIN_US)
		return 0;
	if (l->window.served >= wanted)
		return 1;
	return l->window.served >= WINDOW_MIN_REQUESTS &&
	       now_us >= l->window.start_us + WINDOW_MAX_US;
}

/*
 * Returns the mean latency of the window and sets *var to the squared
 * standard error of its logarithm.
 */
static double
window_latency(const struct limiter *l, double *var)
{
	double n = l->window.served, mean = l->window.sum_us / n;

	if (mean < 1)
		mean = 1;
	*var = fmax(0, l->window.sum_sq / n - mean * mean) / (mean * mean) / n;
	return mean;
}

/*
 * Ends a window without a trial: cuts after timeouts, unless a step down has
 * lately shown that the server is slow for a reason of its own, and tries a
 * step down if the latency has risen.  If the limit binds, it tries a step up,
 * and after one that failed a step down, for it may stand too high already.
 */
static void
evaluate_steady(struct limiter *l, uint64_t now_us)
{
	int limit_binds = l->window.saturated;
	double latency_us = window_latency(l, &l->ref_log_variance), factor;

	if (l->base_latency_us <= 0)
		l->base_latency_us = latency_us;
	if (l->limit >= l->ref_limit &&
	    latency_us < l->ref_latency_us * RECOVERY_LATENCY_RATIO)
		restart_ramp(l, latency_us);
	l->ref_latency_us = latency_us;
	l->ref_limit = l->limit;
	if (l->window.timeouts * TIMEOUT_SHARE_DIVISOR > l->window.served) {
		l->stalled =
		    l->window.timeouts * STALL_SHARE_DIVISOR > l->window.served;
		evaluate_timeouts(
		    l, limit_binds && now_us >= l->timeout_exempt_us, now_us);
		return;
	}
	if (l->stalled)
		restart_ramp(l, latency_us);
	if (limit_binds && l->limit > min_limit(l) &&
	    log(latency_us / l->base_latency_us) >
		log(RAISED_LATENCY_RATIO) + sqrt(l->ref_log_variance)) {
		set_limit(l, l->limit * CUT_FACTOR, LIMITER_TRIAL_DOWN, now_us);
		return;
	}
	l->base_latency_us +=
	    (latency_us < l->base_latency_us ? BASE_FALL_WEIGHT
					     : BASE_RISE_WEIGHT) *
	    (latency_us - l->base_latency_us);
	if (!limit_binds || now_us < l->next_raise_us) {
		window_begin(l, now_us);
		return;
	}
	if (l->try_cut) {
		l->try_cut = 0;
		set_limit(
		    l, l->limit * PROBE_CUT_FACTOR, LIMITER_TRIAL_DOWN, now_us);
		return;
	}
	if (l->limit >= l->slots) {
		window_begin(l, now_us);
		return;
	}
	factor = l->ramping ? RAMP_FACTOR : RAISE_FACTOR;
	set_limit(l, ceil(l->limit * factor), LIMITER_TRIAL_UP, now_us);
}

/*
 * Takes a window of many timeouts: cuts at once where most timed out, or else
 * tries a step down if the limit may be to blame.
 */
static void
evaluate_timeouts(struct limiter *l, int limit_suspect, uint64_t now_us)
{
	if (!limit_suspect) {
		set_limit(l, l->limit, LIMITER_STEADY, now_us);
		return;
	}
	if (!l->stalled && l->limit > min_limit(l)) {
		set_limit(l, l->limit * CUT_FACTOR, LIMITER_TRIAL_DOWN, now_us);
		return;
	}
	delay_next_raise(l, now_us);
	set_limit(l, l->limit * TIMEOUT_CUT_FACTOR, LIMITER_STEADY, now_us);
}

/*
 * Ends a try upwards: undone if the latency took what the limit gave.
 */
static void
evaluate_trial_up(struct limiter *l, uint64_t now_us)
{
	double gain = log(l->limit / l->ref_limit), var;
	double rise = log(window_latency(l, &var) / l->ref_latency_us);

	if (l->ramping)
		gain = gain * RAMP_ELASTICITY + sqrt(var + l->ref_log_variance);
	else
		gain *= RAISE_ELASTICITY;
	if (l->window.served < WINDOW_MIN_REQUESTS)
		rise = 0;
	if (l->window.timeouts * TIMEOUT_SHARE_DIVISOR > l->window.served ||
	    rise > gain) {
		delay_next_raise(l, now_us);
		l->try_cut = 1;
		set_limit(l, l->ref_limit, LIMITER_STEADY, now_us);
		return;
	}
	l->raise_delay_us = RAISE_DELAY_MIN_US;
	l->phase = LIMITER_STEADY;
	evaluate_steady(l, now_us);
}

/*
 * Ends a try downwards: kept only if the latency fell by more than chance
 * explains.  If not, the server's present latency is the new base.
 */
static void
evaluate_trial_down(struct limiter *l, uint64_t now_us)
{
	double cut = log(l->limit / l->ref_limit), var;
	double latency_us = window_latency(l, &var);

	if (log(latency_us / l->ref_latency_us) >
	    CUT_ELASTICITY * cut - sqrt(var + l->ref_log_variance)) {
		l->base_latency_us = fmax(l->ref_latency_us, latency_us);
		l->timeout_exempt_us = now_us + TIMEOUT_EXEMPT_US;
		set_limit(l, l->ref_limit, LIMITER_STEADY, now_us);
		return;
	}
	delay_next_raise(l, now_us);
	l->phase = LIMITER_STEADY;
	evaluate_steady(l, now_us);
}

/*
 * Notes that what held the server up is gone: the limit climbs as from cold.
 */
static void
restart_ramp(struct limiter *l, double latency_us)
{
	l->stalled = 0;
	l->ramping = 1;
	l->next_raise_us = 0;
	l->raise_delay_us = RAISE_DELAY_MIN_US;
	l->try_cut = 0;
	l->base_latency_us = latency_us;
}

/*
 * Notes that the limit was too high: the next try upwards waits longer.
 */
static void
delay_next_raise(struct limiter *l, uint64_t now_us)
{
	l->ramping = 0;
	l->next_raise_us = now_us + l->raise_delay_us;
	if (l->raise_delay_us < RAISE_DELAY_MAX_US)
		l->raise_delay_us *= 2;
}

/*
 * Returns the lowest limit for this server.
 */
static double
min_limit(const struct limiter *l)
{
	return fmax(floor((double)l->slots / MIN_LIMIT_DIVISOR),
	    fmin(l->slots, MIN_LIMIT));
}
