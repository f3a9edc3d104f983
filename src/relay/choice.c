#include <math.h>
#include <stddef.h>
#include <stdlib.h>

#include "relay/choice.h"

/* Costs are in units of the share of slots in use. */
#define OTHER_ZONE_COST 0.3    /* for a server in another zone */
#define COLD_COST 0.6	       /* for a server that started recently */
#define UNREACHABLE_COST 100.0 /* chosen only as a last resort */
#define FAILURE_COST 3.0       /* for a server that fails every attempt */
#define JITTER_COST 0.04       /* spreads the choices of different entries */
#define FAILURE_WEIGHT 0.1     /* of a failed attempt in the average */
#define SUCCESS_WEIGHT 0.02    /* of a successful attempt */
#define HALF_LIFE_MS 2000.0    /* lets an avoided server be tried again */

/*
 * Returns the share of attempts that fail at a server.  The share decays over
 * time, or else a server that has recovered would still be avoided.
 */
double
choice_failure_share(const struct choice_health *h, uint64_t now)
{
	return h->failure_share *
	       exp2(-(double)(now - h->updated_ms) / HALF_LIFE_MS);
}

/*
 * Records the result of an attempt.
 */
void
choice_record_attempt(struct choice_health *h, int failed, uint64_t now)
{
	double weight = failed ? FAILURE_WEIGHT : SUCCESS_WEIGHT;

	h->failure_share = choice_failure_share(h, now) * (1 - weight);
	if (failed)
		h->failure_share += weight;
	h->updated_ms = now;
}

/*
 * Returns the cost of sending a request to a server, in units of the share of
 * its slots in use.  noise is between 0 and 1.
 */
double
choice_cost(const struct choice *c, double noise)
{
	double cost = c->load + noise * JITTER_COST;

	cost += FAILURE_COST * c->failure_share;
	if (!c->same_zone)
		cost += OTHER_ZONE_COST;
	if (c->recently_started)
		cost += COLD_COST;
	if (c->unreachable)
		cost += UNREACHABLE_COST;
	return cost;
}

/*
 * Returns the index of the server with the lowest cost, or -1 if the list is
 * empty.
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
