#include <math.h>

#include "quota/quota.h"

#define TOKEN_LIFETIME_MS 400	   /* unused tokens expire after it */
#define PREFETCH_S 0.12		   /* of demand that one request covers */
#define DEMAND_TIME_CONSTANT_S 1.0 /* of the measured demand */
/* Longest time without a new request after the owner had no tokens. */
#define REFUSAL_MS_MAX 100
#define MS_PER_S 1000.0

/*
 * Takes a token for one request, or returns what to do without one.
 */
enum quota_verdict
quota_acquire(struct quota_cache *s, uint64_t now_ms)
{
	double gap_s = (double)(now_ms - s->last_demand_ms) / MS_PER_S;

	s->mean_demand_per_s *= exp(-gap_s / DEMAND_TIME_CONSTANT_S);
	s->mean_demand_per_s += 1 / DEMAND_TIME_CONSTANT_S;
	s->last_demand_ms = now_ms;
	if (now_ms >= s->tokens_expire_ms)
		s->tokens = 0;
	if (s->tokens > 0) {
		s->tokens--;
		return QUOTA_ACQUIRED;
	}
	return now_ms < s->no_tokens_until_ms ? QUOTA_EXHAUSTED
					      : QUOTA_ASK_OWNER;
}

/*
 * Computes how many tokens to request while the given number of requests wait.
 */
void
quota_size_request(const struct quota_cache *s, uint32_t waiting,
    uint32_t *needed, uint32_t *wanted)
{
	*needed = waiting > 0 ? waiting : 1;
	*wanted = *needed + (uint32_t)(s->mean_demand_per_s * PREFETCH_S);
}

/*
 * Applies the owner's answer.
 */
void
quota_accept_grant(
    struct quota_cache *s, const struct quota_grant *g, uint64_t now_ms)
{
	uint32_t wait_ms =
	    g->wait_ms < REFUSAL_MS_MAX ? g->wait_ms : REFUSAL_MS_MAX;

	s->token_request_id = 0;
	s->request_sends = 0;
	if (!g->is_owner)
		return;
	if (g->tokens == 0) {
		s->no_tokens_until_ms = now_ms + wait_ms;
		return;
	}
	if (now_ms >= s->tokens_expire_ms)
		s->tokens = 0;
	s->tokens += g->tokens;
	s->tokens_expire_ms = now_ms + TOKEN_LIFETIME_MS;
	s->no_tokens_until_ms = 0;
}

/*
 * Returns the token of a request that didn't run to the cache.
 */
void
quota_return_token(struct quota_cache *s, uint64_t now_ms)
{
	if (now_ms >= s->tokens_expire_ms)
		s->tokens = 0;
	s->tokens++;
	s->tokens_expire_ms = now_ms + TOKEN_LIFETIME_MS;
	s->no_tokens_until_ms = 0;
}

/*
 * Takes a token from this node's reserve, for use while no owner answers.  The
 * tolerance of a limit in each window is a share of the limit plus a constant;
 * each node may use an equal part of it.  Returns 1, or 0 if the reserve is
 * used up.
 */
int
quota_acquire_reserve(struct quota_cache *s, const struct quota_limit *limit,
    double share, double constant, uint32_t nodes, uint64_t now_ms)
{
	double total, node_part;

	if (now_ms - s->reserve_window_start_ms >= QUOTA_WINDOW_MS) {
		s->reserve_prior_tokens = now_ms - s->reserve_window_start_ms <
						  2 * (uint64_t)QUOTA_WINDOW_MS
					      ? s->reserve_used_tokens
					      : 0;
		s->reserve_used_tokens = 0;
		s->reserve_window_start_ms = now_ms;
	}
	total =
	    (limit->rate * QUOTA_WINDOW_MS / MS_PER_S + limit->burst) * share +
	    constant;
	node_part = floor(total / nodes);
	if (s->reserve_used_tokens + s->reserve_prior_tokens + 1 > node_part)
		return 0;
	s->reserve_used_tokens++;
	return 1;
}
