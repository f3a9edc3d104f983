#include <math.h>

#include "model/world.h"

#define LEVEL_SHARE 0.95 /* of the credit before, to count as recovered */
#define CALM_S 2	 /* seconds at that level */

static double recovered(const struct world *);

/*
 * Returns the credit that was earned of what was due.  What was served beyond
 * a workspace's rate makes up for what was not.
 */
double
model_share(const struct model_count *c)
{
	return c->due > 0 ? fmin(1, c->credit / c->due) : 1;
}

/*
 * Returns how long after the last trouble's end the credit was back at the
 * level before the first one (seconds), or -1.
 */
static double
recovered(const struct world *w)
{
	const struct model_load *l = w->load;
	double from = l->seconds, to = 0, before = 0;
	uint32_t i, calm = 0, seconds = 0;

	for (i = 0; i < l->trouble_count; i++) {
		from = fmin(from, l->troubles[i].at_s);
		to = fmax(to, l->troubles[i].at_s + l->troubles[i].for_s);
	}
	if (l->trouble_count == 0)
		return 0;
	for (i = 1; i < (uint32_t)from && i < w->res->second_count; i++) {
		before += model_share(&w->res->seconds[i].all);
		seconds++;
	}
	before = seconds > 0 ? before / seconds : 1;
	for (i = (uint32_t)ceil(to); i < w->res->second_count; i++) {
		if (model_share(&w->res->seconds[i].all) < before * LEVEL_SHARE)
			calm = 0;
		else if (++calm == CALM_S)
			return i + 1 - CALM_S - to;
	}
	return -1;
}

/*
 * Computes what follows from the counts of a run.
 */
void
result_end(struct world *w)
{
	struct model_result *res = w->res;
	uint32_t i;

	res->recovered_s = recovered(w);
	res->worst_space = 1;
	for (i = 0; i < w->load->space_count; i++)
		if (res->spaces[i].asked > 0)
			res->worst_space = fmin(
			    res->worst_space, model_share(&res->spaces[i]));
}
