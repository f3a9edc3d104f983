#include <math.h>
#include <string.h>

#include "admission/admission_core.h"

/*
 * The concurrency limit.  It changes by trials: the latency of a window at
 * the old limit is compared with that of a window at the new limit.  A raise
 * is retained only if it increased throughput, a cut only if it reduced
 * latency.  A server that is slow for reasons other than concurrency thus
 * keeps its limit, while the limit of an overloaded server falls.
 */

#define COLD_SLOTS_DIVISOR 4 /* a cold start uses 1/4 of the slots */
#define MIN_LIMIT_DIVISOR 16 /* lowest limit: 1/16 of the slots */
#define MIN_LIMIT 4	     /* a lower one cannot tell trend from chance */
#define RAMP_FACTOR 1.8	     /* until the first trial fails */
#define RAISE_FACTOR 1.4
#define CUT_FACTOR 0.6
#define PROBE_CUT_FACTOR 0.75 /* after a failed trial up */
#define SHED_CUT_FACTOR 0.9
#define TIMEOUT_CUT_FACTOR 0.75
#define TIMEOUT_SHARE_DIVISOR 8 /* above 1/8 timed out: react */
#define STALL_SHARE_DIVISOR 2	/* above 1/2: the server stalls */
#define RAMP_ELASTICITY 1.0	/* log latency growth per log limit growth */
#define RAISE_ELASTICITY 0.8
#define CUT_ELASTICITY 0.5
#define RAISED_LATENCY_RATIO 1.4 /* of the base: starts a trial down */
/* Latency relative to the window before, without a cut: recovered. */
#define RECOVERY_LATENCY_RATIO 0.45
#define BASE_FALL_WEIGHT 0.3 /* of a window below or above the base */
#define BASE_RISE_WEIGHT 0.1
#define WINDOW_MIN_US 50000
#define WINDOW_MAX_US 1000000
#define RAMP_WINDOW_REQUESTS 64 /* requests ended in a window */
#define RAMP_STEP_MAX_US 250000
#define WINDOW_REQUESTS 128
#define WINDOW_MIN_REQUESTS 16
#define WINDOW_LIMIT_MULTIPLE 16 /* requests per unit of limit, if fewer */
#define RAMP_LIMIT_MULTIPLE 4
#define SETTLE_LATENCIES 2 /* until a changed limit takes effect */
#define RAISE_DELAY_MIN_US 200000
#define RAISE_DELAY_MAX_US 3200000
#define TIMEOUT_EXEMPT_US 4000000 /* after a failed trial down */
#define MEAN_WEIGHT 0.05
#define MEAN_HALF_LIFE_US 1000000 /* while nothing is served */

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
 * Resets the limiter for a server that has just started with this many
 * slots.
 */
void
limiter_init(struct limiter *l, uint32_t slots, uint64_t now_us)
{
	int fixed = l->fixed_to_slots;

	memset(l, 0, sizeof(*l));
	l->fixed_to_slots = fixed;
	l->slots = slots;
	l->limit =
	    fmax(min_limit(l), floor((double)slots / COLD_SLOTS_DIVISOR));
	l->ramping = 1;
	l->raise_delay_us = RAISE_DELAY_MIN_US;
	window_begin(l, now_us);
}

/*
 * Applies a changed number of slots of a running server.
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
 * Returns how many requests may be in flight at once, or 0 without a server.
 */
uint32_t
limiter_value(const struct limiter *l)
{
	if (l->fixed_to_slots || l->slots == 0)
		return l->slots;
	return (uint32_t)l->limit;
}

/*
 * Returns the shortest time (us) in which a request is expected to end: the
 * mean service time less its deviation.  The estimate decays while nothing
 * is served, so that an old slow period cannot refuse requests for ever.
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
 * Records that a request found no free place, so that the limit binds.
 */
void
limiter_note_saturated(struct limiter *l)
{
	l->window.saturated = 1;
}

/*
 * Records the end of a request that ran for service_us, with the number in
 * flight at that time, and evaluates the window if it is complete.
 */
void
limiter_record_end(struct limiter *l, enum admission_outcome outcome,
    uint64_t service_us, uint32_t inflight, uint64_t now_us)
{
	double sample_us = (double)service_us;

	if (outcome == ADMISSION_REJECTED && window_started(l, now_us)) {
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
 * Adds a service time to the decaying mean and deviation.  The first sample
 * delays the first window until the first requests have ended, because the
 * requests that end soonest are the short ones.
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
 * Clears the window and starts it at now_us, which may be in the future.
 */
static void
window_begin(struct limiter *l, uint64_t now_us)
{
	memset(&l->window, 0, sizeof(l->window));
	l->window.start_us = now_us;
}

/*
 * Sets the limit within its bounds.  The next window begins once the
 * requests that were admitted under the old limit have ended.
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
 * Returns how long to wait for requests that were admitted under the old
 * limit.  A ramp does not wait for all of them.
 */
static uint64_t
settle_us(const struct limiter *l)
{
	double us = SETTLE_LATENCIES * l->mean_us;

	return (uint64_t)fmin(
	    us, l->ramping ? RAMP_STEP_MAX_US : WINDOW_MAX_US);
}

/*
 * Returns whether the window has begun.
 */
static int
window_started(const struct limiter *l, uint64_t now_us)
{
	return now_us >= l->window.start_us;
}

/*
 * Returns whether the window has enough samples to be evaluated.  During a
 * ramp, a step without a sign of harm for RAMP_STEP_MAX_US counts as
 * harmless.
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
 * Returns the mean latency of the window (us) and sets *var to the squared
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
 * Evaluates a window outside a trial.  Many timeouts cut the limit, unless a
 * trial down has recently shown that the limit is not their cause.  A raised
 * latency starts a trial down.  If the limit binds, a trial up is started,
 * or after a failed trial up a trial down, because the limit may already be
 * too high.
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
 * Handles a window with many timeouts: cuts the limit at once if most
 * requests timed out, else starts a trial down.  The limit stays if it is
 * not suspected as the cause.
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
 * Ends a trial up and restores the limit if the latency grew too much for
 * the raise to increase throughput.
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
 * Ends a trial down.  The lower limit is retained only if the latency fell
 * by more than chance explains.  If not, the server's current latency
 * becomes the new base.
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
 * Ramps the limit up as after a cold start, because the cause of the
 * slowness has ended.
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
 * Records that the limit was too high and delays the next trial up, for
 * longer each time.
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
