#include "base/latency.h"

#define STEPS 4 /* buckets to each doubling */

/*
 * Returns the upper bound (ms) of a bucket: 1, 2, 3, 4, then in steps of a
 * quarter of each power of two.
 */
uint64_t
latency_bound(uint32_t bucket)
{
	uint32_t doubling = bucket / STEPS, step = bucket % STEPS;

	if (doubling == 0)
		return step + 1;
	return ((uint64_t)STEPS + step + 1) << (doubling - 1);
}

/*
 * Counts a time in milliseconds.
 */
void
latency_add(struct latency *l, uint64_t ms)
{
	uint32_t i = 0;

	while (i < LATENCY_BUCKETS && ms > latency_bound(i))
		i++;
	l->counts[i]++;
	l->sum_ms += ms;
	l->total++;
}
