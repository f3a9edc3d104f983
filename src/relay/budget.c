#include <math.h>
#include <string.h>

#include "relay/budget.h"

#define CALL_RETRY_SHARE \
	0.6 /* of the repeats allowed: what calls repeat counts */
#define FLEET_SLACK_SHARE \
	0.7		/* of the slack in repeats, for all nodes together */
#define SAVED_SHARE 0.5 /* of what was earned lately: of about 0.7 s */
#define HALF_LIFE_MS 1000.0 /* after which what was counted counts half */

static void decay(struct budget *, uint64_t);
static int is_within_budget(const struct budget *, const struct budget_ask *);

/*
 * Begins with one repeat.
 */
void
budget_init(struct budget *b)
{
	memset(b, 0, sizeof(*b));
	b->tokens = 1;
}

/*
 * Lets what was counted lose weight.
 */
static void
decay(struct budget *b, uint64_t now)
{
	double remaining = exp2(-(double)(now - b->at_ms) / HALF_LIFE_MS);
	int i;

	if (now == b->at_ms)
		return;
	b->at_ms = now;
	b->earned *= remaining;
	for (i = 0; i < ADMISSION_CLASS_MAX; i++)
		b->wanted[i] *= remaining;
}

/*
 * A request for the service came at a time (ms); ratio is that of repeats to
 * requests which all nodes together may have.
 */
void
budget_earn(struct budget *b, double ratio, uint64_t now)
{
	decay(b, now);
	b->tokens += ratio * CALL_RETRY_SHARE;
	b->earned += ratio * CALL_RETRY_SHARE;
}

/*
 * Tells whether a repeat is among those that the budget suffices for: the more
 * important classes first, and of the one that doesn't get all it wants, the
 * same root requests at all nodes and in all calls.  A root request that needs
 * several repeats is of no use with some of them.
 */
static int
is_within_budget(const struct budget *b, const struct budget_ask *ask)
{
	double available = b->earned + 1; /* and what was saved up */
	uint32_t c;

	for (c = 0; c < ask->class; c++)
		available -= b->wanted[c];
	return ldexp((double)ask->root_hash, -64) * b->wanted[ask->class] <=
	       available;
}

/*
 * Takes one repeat.  Returns 1, or 0 if there is none left, or none for a
 * request of this rank.  So many nodes share the slack of repeats that are
 * allowed beside the ratio, and each may save up its part.
 */
int
budget_spend(struct budget *b, const struct budget_ask *ask)
{
	double tokens_max =
	    fmax(1, ask->slack * FLEET_SLACK_SHARE / ask->nodes);

	decay(b, ask->now_ms);
	tokens_max += b->earned * SAVED_SHARE;
	b->wanted[ask->class]++;
	b->tokens = fmin(b->tokens, tokens_max);
	if (b->tokens < 1 || !is_within_budget(b, ask))
		return 0;
	b->tokens--;
	return 1;
}
