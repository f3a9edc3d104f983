#include <math.h>
#include <string.h>

#include "relay/budget.h"

#define CALL_RETRY_SHARE 0.6  /* of the ratio; nested calls may also retry */
#define FLEET_SLACK_SHARE 0.7 /* of the slack, for all nodes together */
#define SAVED_SHARE 0.5	      /* of recent_earned; about 0.7 s of requests */
#define HALF_LIFE_MS 1000.0   /* of the recent counts */

static void decay(struct budget *, uint64_t);
static int is_within_budget(const struct budget *, const struct budget_query *);

/*
 * Initialises a budget with one retry.
 */
void
budget_init(struct budget *b)
{
	memset(b, 0, sizeof(*b));
	b->tokens = 1;
}

/*
 * Decays the recent counts to the given time.
 */
static void
decay(struct budget *b, uint64_t now)
{
	double remaining = exp2(-(double)(now - b->updated_ms) / HALF_LIFE_MS);
	int i;

	if (now == b->updated_ms)
		return;
	b->updated_ms = now;
	b->recent_earned *= remaining;
	for (i = 0; i < ADMISSION_CLASS_MAX; i++)
		b->recent_requested[i] *= remaining;
}

/*
 * Adds the share of retries that one request to the service allows.  ratio is
 * the allowed number of retries per request over all nodes; now is in ms.
 */
void
budget_add_request(struct budget *b, double ratio, uint64_t now)
{
	decay(b, now);
	b->tokens += ratio * CALL_RETRY_SHARE;
	b->recent_earned += ratio * CALL_RETRY_SHARE;
}

/*
 * Returns 1 if the recently earned retries suffice for a request of this class
 * and root hash.  More important classes are served first.  Within the class
 * that gets only a part of its retries, the root hash selects the requests to
 * retry, so all nodes and all calls select the same root requests: a root
 * request that needs several retries fails unless it gets all of them.
 */
static int
is_within_budget(const struct budget *b, const struct budget_query *ask)
{
	double available = b->recent_earned + 1; /* plus saved tokens */
	uint32_t c;

	for (c = 0; c < ask->class; c++)
		available -= b->recent_requested[c];
	return ldexp((double)ask->root_hash, -64) *
		   b->recent_requested[ask->class] <=
	       available;
}

/*
 * Takes one retry from the budget.  Returns 1, or 0 if no retry is left or
 * none for a request of this class.  The nodes share the slack equally, and
 * each can save up its part.
 */
int
budget_take_retry(struct budget *b, const struct budget_query *ask)
{
	double tokens_max =
	    fmax(1, ask->fleet_slack * FLEET_SLACK_SHARE / ask->node_count);

	decay(b, ask->now_ms);
	tokens_max += b->recent_earned * SAVED_SHARE;
	b->recent_requested[ask->class]++;
	b->tokens = fmin(b->tokens, tokens_max);
	if (b->tokens < 1 || !is_within_budget(b, ask))
		return 0;
	b->tokens--;
	return 1;
}
