#include <string.h>

#include "admission/admission_core.h"

/*
 * The admission level, after DAGOR: the least important rank that is
 * admitted while no place is free.  Each period with queueing lowers the
 * level to what the server could serve.  Each period without raises it, in
 * steps that double.
 */

#define PERIOD_US 50000
#define CATCH_UP_PERIODS_MAX 40 /* a longer pause counts as this many */
#define WAIT_TARGET_US 20000	/* a lower mean wait is no overload */
#define PERIOD_DECAY 0.5	/* factor on the counts, each period */
#define RAISE_STEP_MIN 2
#define RAISE_STEP_MAX 256
#define CAPACITY_MARGIN 1.05 /* admit slightly more than was served */

static void end_period(struct level *, double);
static uint32_t rank_within_capacity(const struct level *);

/*
 * Initialises the level to shed nothing.
 */
void
level_init(struct level *lv, uint64_t now_us)
{
	memset(lv, 0, sizeof(*lv));
	lv->max_rank = ADMISSION_LEVEL_ALL;
	lv->step = RAISE_STEP_MIN;
	lv->last_tick_us = now_us;
}

/*
 * Counts an arriving request of this rank, whether admitted or not.
 */
void
level_record_arrival(struct level *lv, uint32_t rank)
{
	lv->arrived[rank]++;
}

/*
 * Counts a request that was dropped from the queue, or refused because the
 * queue was full.
 */
void
level_record_drop(struct level *lv)
{
	lv->dropped++;
}

/*
 * Counts a request that starts to run after waiting for wait_us.
 */
void
level_record_start(struct level *lv, uint64_t wait_us)
{
	lv->wait_count++;
	lv->wait_sum_us += wait_us;
}

/*
 * Counts a request that has ended at the server.
 */
void
level_record_end(struct level *lv)
{
	lv->served++;
}

/*
 * Adjusts the level for each period that has ended.  Mean waits of up to
 * half the mean service time mean_us are no overload.
 */
void
level_tick(struct level *lv, double mean_us, uint64_t now_us)
{
	double target_us = mean_us / 2;
	int n;

	if (now_us < lv->last_tick_us + PERIOD_US)
		return;
	if (target_us < WAIT_TARGET_US)
		target_us = WAIT_TARGET_US;
	for (n = 0;
	     now_us >= lv->last_tick_us + PERIOD_US && n < CATCH_UP_PERIODS_MAX;
	     n++) {
		end_period(lv, target_us);
		lv->last_tick_us += PERIOD_US;
	}
	if (n == CATCH_UP_PERIODS_MAX)
		lv->last_tick_us = now_us;
}

/*
 * Moves the level at the end of a period and decays the counts.
 */
static void
end_period(struct level *lv, double target_us)
{
	uint32_t i, target_rank;
	int overloaded;

	overloaded = lv->dropped > 0 ||
		     (lv->wait_count > 0 &&
			 (double)lv->wait_sum_us / lv->wait_count > target_us);
	if (overloaded) {
		target_rank = rank_within_capacity(lv);
		if (target_rank < lv->max_rank)
			lv->max_rank = target_rank;
		else if (lv->max_rank > 0)
			lv->max_rank--;
		lv->step = RAISE_STEP_MIN;
	} else {
		lv->max_rank += lv->step;
		if (lv->max_rank > ADMISSION_LEVEL_ALL)
			lv->max_rank = ADMISSION_LEVEL_ALL;
		if (lv->step < RAISE_STEP_MAX)
			lv->step *= 2;
	}
	for (i = 0; i < ADMISSION_RANK_COUNT; i++)
		lv->arrived[i] *= PERIOD_DECAY;
	lv->served *= PERIOD_DECAY;
	lv->dropped = 0;
	lv->wait_count = 0;
	lv->wait_sum_us = 0;
}

/*
 * Returns the least important rank up to which all arrivals together were no
 * more than the server could serve.
 */
static uint32_t
rank_within_capacity(const struct level *lv)
{
	double capacity = lv->served * CAPACITY_MARGIN;
	uint32_t i;

	for (i = 0; i < ADMISSION_RANK_COUNT; i++) {
		capacity -= lv->arrived[i];
		if (capacity < 0)
			break;
	}
	return i == 0 ? 0 : i - 1;
}
