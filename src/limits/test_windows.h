#ifndef LIMITS_TEST_WINDOWS_H
#define LIMITS_TEST_WINDOWS_H

#include "limits/limits.h"

#define SECOND 1000000 /* us */

/*
 * Checks the limit in every window that begins and ends with an admitted
 * request.
 */
static void
check_windows(
    const uint64_t *admitted_us, size_t n, const struct limits_workspace *ws)
{
	double max_offset = -1e18, tokens;
	size_t i;

	/* For all i <= j: requests i to j <= rate x (t_j - t_i) + burst. */
	for (i = 0; i < n; i++) {
		tokens = ws->rate * (double)admitted_us[i] / SECOND - (double)i;
		if (tokens > max_offset)
			max_offset = tokens;
		tokens = (double)i + 1 -
			 ws->rate * (double)admitted_us[i] / SECOND +
			 max_offset;
		if (tokens > ws->burst + 0.001)
			fail_msg("request %zu: %.3f over a burst of %u", i,
			    tokens, ws->burst);
	}
}

#endif
