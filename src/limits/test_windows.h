#ifndef LIMITS_TEST_WINDOWS_H
#define LIMITS_TEST_WINDOWS_H

#include "limits/limits.h"

#define SECOND 1000000 /* us */

/*
 * Checks every window that begins and ends with an admitted request.
 */
static void
check_windows(const uint64_t *at, size_t n, const struct limits_ws *ws)
{
	double least = -1e18, v;
	size_t i;

	/* n requests in [i, j] <= rate x (t_j - t_i) + burst, for all i. */
	for (i = 0; i < n; i++) {
		v = ws->rate * (double)at[i] / SECOND - (double)i;
		if (v > least)
			least = v;
		v = (double)i + 1 - ws->rate * (double)at[i] / SECOND + least;
		if (v > ws->burst + 0.001)
			fail_msg("request %zu: %.3f over a burst of %u", i, v,
			    ws->burst);
	}
}

#endif
