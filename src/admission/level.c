#include <string.h>

#include "admission/admission_core.h"

/*
 * The admission level, after DAGOR: the rank down to which requests are let
 * in when there is no free place.  Each tick that saw queueing lowers it to
 * what the server could serve; each calm tick raises it, by growing steps.
 */

#define TICK_US 50000
#define TICKS_MAX 40	     /* a longer pause counts as this many */
#define WAIT_TARGET_US 20000 /* mean wait that is no overload yet */
#define DECAY 0.5	     /* of the counts, each tick */
#define STEP_FIRST 2
#define STEP_LAST 256
#define FIT_MARGIN 1.05 /* let in a little more than was served */

static void tick(struct level *, double);
static uint32_t fit(const struct level *);

/*
 * Begins with nothing shed.
 */
void
level_init(struct level *lv, uint64_t now_us)
{
	memset(lv, 0, sizeof(*lv));
	lv->cur = ADMISSION_LEVEL_ALL;
	lv->step = STEP_FIRST;
	lv->tick_us = now_us;
}

/*
 * Counts an arrival of this rank, let in or not.
 */
void
level_arrive(struct level *lv, uint32_t rank)
{
	lv->arrived[rank]++;
}

/*
 * Counts a request that was let in and then dropped from the queue.
 */
void
level_drop(struct level *lv)
{
	lv->dropped++;
}

/*
 * Counts a request that runs after this wait.
 */
void
level_run(struct level *lv, uint64_t wait_us)
{
	lv->waits++;
	lv->wait_sum_us += wait_us;
}

/*
 * Counts a request that the server has ended.
 */
void
level_serve(struct level *lv)
{
	lv->served++;
}

/*
 * Moves the level if its period is over.  Waits of up to half the mean
 * service time (us) are no overload.
 */
void
level_tick(struct level *lv, double mean_us, uint64_t now_us)
{
	double target = mean_us / 2;
	int n;

	if (now_us < lv->tick_us + TICK_US)
		return;
	if (target < WAIT_TARGET_US)
		target = WAIT_TARGET_US;
	for (n = 0; now_us >= lv->tick_us + TICK_US && n < TICKS_MAX; n++) {
		tick(lv, target);
		lv->tick_us += TICK_US;
	}
	if (n == TICKS_MAX)
		lv->tick_us = now_us;
}

/*
 * Ends one period.
 */
static void
tick(struct level *lv, double target_us)
{
	uint32_t i, to;
	int busy;

	busy =
	    lv->dropped > 0 ||
	    (lv->waits > 0 && (double)lv->wait_sum_us / lv->waits > target_us);
	if (busy) {
		to = fit(lv);
		if (to < lv->cur)
			lv->cur = to;
		else if (lv->cur > 0)
			lv->cur--;
		lv->step = STEP_FIRST;
	} else {
		lv->cur += lv->step;
		if (lv->cur > ADMISSION_LEVEL_ALL)
			lv->cur = ADMISSION_LEVEL_ALL;
		if (lv->step < STEP_LAST)
			lv->step *= 2;
	}
	for (i = 0; i < ADMISSION_LEVELS; i++)
		lv->arrived[i] *= DECAY;
	lv->served *= DECAY;
	lv->dropped = 0;
	lv->waits = 0;
	lv->wait_sum_us = 0;
}

/*
 * Returns the rank down to which arrivals were no more than the server
 * could serve.
 */
static uint32_t
fit(const struct level *lv)
{
	double room = lv->served * FIT_MARGIN;
	uint32_t i;

	for (i = 0; i < ADMISSION_LEVELS; i++) {
		room -= lv->arrived[i];
		if (room < 0)
			break;
	}
	return i == 0 ? 0 : i - 1;
}
