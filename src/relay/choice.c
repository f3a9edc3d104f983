#include <math.h>
#include <stddef.h>
#include <stdlib.h>

#include "relay/choice.h"

#define OTHER_ZONE_COST 0.3    /* another zone: worth that much of the slots */
#define COLD_COST 0.6	       /* a server that started just now */
#define UNREACHABLE_COST 100.0 /* only where nothing else takes requests */
#define FAILURE_COST 3.0       /* of a server that fails every attempt */
#define JITTER_COST 0.04       /* so that entries don't all take the same one */
#define FAILURE_WEIGHT 0.1     /* of a failed attempt in the share */
#define SUCCESS_WEIGHT 0.02    /* of one that went well */
#define HALF_LIFE_MS 2000.0    /* a server that gets nothing is tried again */

/*
 * Returns the share of attempts that fail at a server.  What was seen counts
 * half after a while, or a server that is sound again would stay avoided.
 */
double
choice_failing(const struct choice_health *h, uint64_t now)
{
	return h->failing * exp2(-(double)(now - h->at_ms) / HALF_LIFE_MS);
}

/*
 * Notes how an attempt ended.
 */
void
choice_note(struct choice_health *h, int failed, uint64_t now)
{
	double weight = failed ? FAILURE_WEIGHT : SUCCESS_WEIGHT;

	h->failing = choice_failing(h, now) * (1 - weight);
	if (failed)
		h->failing += weight;
	h->at_ms = now;
}

/*
 * Returns what it costs to send a request to a server, as a share of its
 * slots in use; noise is from 0 to 1.
 */
double
choice_cost(const struct choice *c, double noise)
{
	double cost = c->load + noise * JITTER_COST;

	cost += FAILURE_COST * c->failing;
	if (!c->near)
		cost += OTHER_ZONE_COST;
	if (c->cold)
		cost += COLD_COST;
	if (c->avoid)
		cost += UNREACHABLE_COST;
	return cost;
}

/*
 * Returns the index of the cheapest server, or -1 if there is none.
 */
int
choice_best(const struct choice *list, size_t n, uint64_t seed)
{
	unsigned short rand_state[3] = { (unsigned short)seed,
		(unsigned short)(seed >> 16), (unsigned short)(seed >> 32) };
	double cost, best_cost = 0;
	int best = -1;
	size_t i;

	for (i = 0; i < n; i++) {
		cost = choice_cost(&list[i], erand48(rand_state));
		if (best != -1 && cost >= best_cost)
			continue;
		best = (int)i;
		best_cost = cost;
	}
	return best;
}
