#include <math.h>
#include <string.h>

#include "admission/rate_cap.h"

/* The cap ends when no answer has named it for so long. */
#define HOLD_MS 500
#define BURST_S 0.5   /* of the rate may be sent at once */
#define BURST_MIN 1.0 /* requests */
/* Least rate, or no answer would tell that the cap has ended. */
#define RATE_MIN_PER_S 0.5
/*
 * Requests in flight before the first answer: after a restart this node does
 * not know whether the server names a rate.
 */
#define UNANSWERED_MAX 4
#define MS_PER_S 1000.0

static double burst(const struct rate_cap *);
static void refill(struct rate_cap *, uint64_t);

/*
 * Initializes the cap of a server that has not answered yet.
 */
void
rate_cap_init(struct rate_cap *c)
{
	memset(c, 0, sizeof(*c));
}

/*
 * Returns how many requests may be sent at once.
 */
static double
burst(const struct rate_cap *c)
{
	return fmax(c->per_s * BURST_S, BURST_MIN);
}

/*
 * Adds the tokens since the last call.
 */
static void
refill(struct rate_cap *c, uint64_t now_ms)
{
	c->tokens += c->per_s * (double)(now_ms - c->refilled_ms) / MS_PER_S;
	c->tokens = fmin(c->tokens, burst(c));
	c->refilled_ms = now_ms;
}

/*
 * Applies an answer of the server: the rate (requests a second) that it names,
 * or NULL.  Answers without a rate end the cap only after HOLD_MS, as answers
 * may overtake each other.  Returns 1 if the cap has changed, else 0.
 */
int
rate_cap_note_answer(struct rate_cap *c, const double *per_s, uint64_t now_ms)
{
	double rate;

	c->answered = 1;
	if (per_s == NULL) {
		if (!c->active || now_ms - c->named_ms < HOLD_MS)
			return 0;
		c->active = 0;
		return 1;
	}
	rate = fmax(*per_s, RATE_MIN_PER_S);
	c->named_ms = now_ms;
	if (c->active && rate >= c->per_s && rate <= c->per_s)
		return 0;
	if (!c->active) {
		c->active = 1;
		c->per_s = rate;
		c->tokens = burst(c);
		c->refilled_ms = now_ms;
		return 1;
	}
	refill(c, now_ms);
	c->per_s = rate;
	c->tokens = fmin(c->tokens, burst(c));
	return 1;
}

/*
 * Returns whether one more request may be sent now, while others are in
 * flight.
 */
int
rate_cap_allows(struct rate_cap *c, uint32_t inflight, uint64_t now_ms)
{
	if (!c->answered)
		return inflight < UNANSWERED_MAX;
	if (!c->active)
		return 1;
	refill(c, now_ms);
	return c->tokens >= 1;
}

/*
 * Counts a request that is sent.
 */
void
rate_cap_take(struct rate_cap *c)
{
	if (c->active)
		c->tokens -= 1;
}

/*
 * Returns how many of the server's slots the rate keeps busy, at least one,
 * given the mean duration of a run.
 */
uint32_t
rate_cap_slots(const struct rate_cap *c, uint32_t slots, double mean_run_s)
{
	double used = ceil(c->per_s * mean_run_s);

	if (!c->active || used >= slots)
		return slots;
	return used >= 1 ? (uint32_t)used : 1;
}
