#include <stddef.h>

#include "relay/relay_int.h"

#define FAR_COST 0.3	 /* another zone: worth that much of the slots */
#define COLD_COST 0.6	 /* a server that started just now */
#define AVOID_COST 100.0 /* only where nothing else takes requests */
#define FAIL_COST 3.0	 /* of a server that fails every attempt */
#define JITTER 0.04	 /* so that entries don't all take the same one */

/*
 * Returns what it costs to send a request to a server, as a share of its
 * slots in use; noise is from 0 to 1.
 */
double
choice_cost(const struct choice *c, double noise)
{
	double cost = c->load + noise * JITTER;

	cost += FAIL_COST * c->failing;
	if (!c->near)
		cost += FAR_COST;
	if (c->cold)
		cost += COLD_COST;
	if (c->avoid)
		cost += AVOID_COST;
	return cost;
}

/*
 * Returns the index of the cheapest server, or -1 if there is none.
 */
int
choice_best(const struct choice *list, size_t n, uint64_t rnd)
{
	double cost, best_cost = 0;
	int best = -1;
	size_t i;

	for (i = 0; i < n; i++) {
		rnd = rnd * 6364136223846793005ULL + 1442695040888963407ULL;
		cost = choice_cost(
		    &list[i], (double)(rnd >> 40) / (double)(1 << 24));
		if (best != -1 && cost >= best_cost)
			continue;
		best = (int)i;
		best_cost = cost;
	}
	return best;
}
