#include <math.h>
#include <string.h>

#include "relay/budget.h"

#define EARN_SHARE 0.6	/* of the repeats allowed: what calls repeat counts */
#define SLACK_SHARE 0.7 /* of the slack in repeats, for all nodes together */
#define KEPT_SHARE 0.5	/* of what was earned lately: of about 0.7 s */
#define HALF_MS 1000.0	/* after which what was counted counts half */

static void decay(struct budget *, uint64_t);
static int is_chosen(const struct budget *, const struct budget_ask *);

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
	double left = exp2(-(double)(now - b->at_ms) / HALF_MS);
	int i;

	if (now == b->at_ms)
		return;
	b->at_ms = now;
	b->earned *= left;
	for (i = 0; i < ADMISSION_CLASS_MAX; i++)
		b->wanted[i] *= left;
}

/*
 * A request for the service came at a time (ms); ratio is that of repeats to
 * requests which all nodes together may have.
 */
void
budget_earn(struct budget *b, double ratio, uint64_t now)
{
	decay(b, now);
	b->tokens += ratio * EARN_SHARE;
	b->earned += ratio * EARN_SHARE;
}

/*
 * Tells whether a repeat is among those that the budget suffices for: the more
 * important classes first, and of the one that doesn't get all it wants, the
 * same root requests at all nodes and in all calls.  A root request that needs
 * several repeats is of no use with some of them.
 */
static int
is_chosen(const struct budget *b, const struct budget_ask *ask)
{
	double left = b->earned + 1; /* and what was saved up */
	uint32_t c;

	for (c = 0; c < ask->class; c++)
		left -= b->wanted[c];
	return ldexp((double)ask->root_hash, -64) * b->wanted[ask->class] <=
	       left;
}

/*
 * Takes one repeat.  Returns 1, or 0 if there is none left, or none for a
 * request of this rank.  So many nodes share the slack of repeats that are
 * allowed beside the ratio, and each may save up its part.
 */
int
budget_spend(struct budget *b, const struct budget_ask *ask)
{
	double most = fmax(1, ask->slack * SLACK_SHARE / ask->nodes);

	decay(b, ask->now_ms);
	most += b->earned * KEPT_SHARE;
	b->wanted[ask->class]++;
	b->tokens = fmin(b->tokens, most);
	if (b->tokens < 1 || !is_chosen(b, ask))
		return 0;
	b->tokens--;
	return 1;
}
