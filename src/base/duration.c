#include <stdlib.h>
#include <string.h>

#include "base/duration.h"

/*
 * Reads a time: a number and its unit, ms or s.  Returns 0, or -1 if it is
 * none.
 */
int
duration_read(const char *text, uint64_t *ms)
{
	char *end;
	double v = strtod(text, &end);

	if (end == text || v < 0 || v > 1e9)
		return -1;
	if (strcmp(end, "ms") == 0)
		*ms = (uint64_t)v;
	else if (strcmp(end, "s") == 0)
		*ms = (uint64_t)(v * 1000);
	else
		return -1;
	return 0;
}
