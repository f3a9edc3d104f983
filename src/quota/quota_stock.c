#include <math.h>

#include "quota/quota.h"

#define STOCK_MS 400	   /* a token that isn't used by then is given up */
#define AHEAD_S 0.12	   /* of demand that is asked for at once */
#define DEMAND_DECAY_S 1.0 /* time constant of the measured demand */
#define OVER_MS 100	   /* no new ask after the owner had none, at most */
#define MS_PER_S 1000.0

/*
 * Takes a token for one request, or tells what to do without one.
 */
enum quota_verdict
quota_take(struct quota_stock *s, uint64_t now)
{
	double gap = (double)(now - s->seen_ms) / MS_PER_S;

	s->per_s *= exp(-gap / DEMAND_DECAY_S);
	s->per_s += 1 / DEMAND_DECAY_S;
	s->seen_ms = now;
	if (now >= s->expire_ms)
		s->tokens = 0;
	if (s->tokens > 0) {
		s->tokens--;
		return QUOTA_TAKEN;
	}
	return now < s->refused_until_ms ? QUOTA_OVER : QUOTA_ASK;
}

/*
 * Computes what to ask for when so many requests wait for a token.
 */
void
quota_want(const struct quota_stock *s, uint32_t waiting, uint32_t *need,
    uint32_t *want)
{
	*need = waiting > 0 ? waiting : 1;
	*want = *need + (uint32_t)(s->per_s * AHEAD_S);
}

/*
 * Takes the owner's answer.
 */
void
quota_receive(struct quota_stock *s, const struct quota_grant *g, uint64_t now)
{
	uint32_t wait = g->wait_ms < OVER_MS ? g->wait_ms : OVER_MS;

	s->ask_id = 0;
	s->asks = 0;
	if (!g->owner)
		return;
	if (g->tokens == 0) {
		s->refused_until_ms = now + wait;
		return;
	}
	if (now >= s->expire_ms)
		s->tokens = 0;
	s->tokens += g->tokens;
	s->expire_ms = now + STOCK_MS;
	s->refused_until_ms = 0;
}

/*
 * Takes back the token of a request that didn't run.
 */
void
quota_return(struct quota_stock *s, uint64_t now)
{
	if (now >= s->expire_ms)
		s->tokens = 0;
	s->tokens++;
	s->expire_ms = now + STOCK_MS;
	s->refused_until_ms = 0;
}

/*
 * Takes a token from the reserve that this node has while no owner answers:
 * in any window, its part of what the limit's tolerance allows, a share of
 * the limit and a constant, divided among so many nodes.  Returns 1, or 0 if
 * it is used up.
 */
int
quota_reserve(struct quota_stock *s, const struct quota_limit *limit,
    double share, double constant, uint32_t nodes, uint64_t now)
{
	double whole, part;

	if (now - s->reserve_ms >= QUOTA_WINDOW_MS) {
		s->reserve_before =
		    now - s->reserve_ms < 2 * (uint64_t)QUOTA_WINDOW_MS
			? s->reserve_used
			: 0;
		s->reserve_used = 0;
		s->reserve_ms = now;
	}
	whole =
	    (limit->rate * QUOTA_WINDOW_MS / MS_PER_S + limit->burst) * share +
	    constant;
	part = floor(whole / nodes);
	if (s->reserve_used + s->reserve_before + 1 > part)
		return 0;
	s->reserve_used++;
	return 1;
}
