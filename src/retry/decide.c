#include "retry/retry.h"

/*
 * Decides whether a failed attempt is retried, and when.
 */

#define SUCCESS_MILLI_RETRIES 100 /* added per served request */
#define ONE_RETRY_MILLI 1000
#define BUDGET_MAX_MILLI_RETRIES 10000
#define FLOOR_PERIOD_MS 2000   /* one retry per period is guaranteed */
#define OVERLOAD_RETRIES_MAX 1 /* after RETRY_OVERLOAD, per request */
#define BACKOFF_FIRST_MS 10
#define BACKOFF_MAX_MS 320

static uint32_t random_backoff_ms(const struct retry_failure *);
static void add_to_budget(struct retry_budget *, int64_t);

struct rule {
	int retryable;
	int budgeted; /* may add to an overload, so uses the budget */
	int delayed;  /* by a random backoff */
};

static const struct rule rules[RETRY_REASON_MAX] = {
	[RETRY_NO_CONNECTION] = { 1, 0, 0 },
	[RETRY_LEAVING] = { 1, 0, 0 },
	[RETRY_OVERLOAD] = { 1, 1, 0 },
	[RETRY_OVERLOAD_ALL] = { 0, 0, 0 },
	[RETRY_BROKEN_EXCHANGE] = { 1, 1, 1 },
	[RETRY_SERVER_FAILED] = { 1, 1, 1 },
	[RETRY_DEADLINE] = { 0, 0, 0 },
	[RETRY_NOT_RETRYABLE] = { 0, 0, 0 },
};

/*
 * Initialises a full budget, so that a rare failure on a route with little
 * traffic is retried.
 */
void
retry_budget_init(struct retry_budget *b, uint64_t now_ms)
{
	atomic_init(&b->milli_retries, BUDGET_MAX_MILLI_RETRIES);
	atomic_init(&b->floor_granted_ms, now_ms);
}

/*
 * Adds SUCCESS_MILLI_RETRIES to the budget for a served request.
 */
void
retry_budget_add_success(struct retry_budget *b)
{
	add_to_budget(b, SUCCESS_MILLI_RETRIES);
}

/*
 * Spends one retry of the budget.  Returns 0 if it has none.
 */
int
retry_budget_spend(struct retry_budget *b, uint64_t now_ms)
{
	uint_fast64_t last_ms = atomic_load(&b->floor_granted_ms);
	int_fast64_t current;

	if (now_ms >= last_ms + FLOOR_PERIOD_MS &&
	    atomic_compare_exchange_strong(
		&b->floor_granted_ms, &last_ms, now_ms))
		add_to_budget(b, ONE_RETRY_MILLI);
	current = atomic_load(&b->milli_retries);
	do {
		if (current < ONE_RETRY_MILLI)
			return 0;
	} while (!atomic_compare_exchange_weak(
	    &b->milli_retries, &current, current - ONE_RETRY_MILLI));
	return 1;
}

/*
 * Decides whether a failed attempt is retried.  Unless it returns
 * RETRY_GIVE_UP, it has spent one retry of the chain, and one of the route's
 * budget if the retry adds load.  Sets the delay (ms) for RETRY_AFTER_DELAY.
 * The caller must have returned the unused grant of the attempt before, if it
 * is to be returned.
 */
enum retry_verdict
retry_decide(const struct retry_failure *q, struct retry_chain *c,
    struct retry_budget *b, uint64_t now_ms, uint32_t *delay_ms)
{
	const struct rule *r = &rules[q->reason];

	*delay_ms = r->delayed ? random_backoff_ms(q) : 0;
	if (!r->retryable || q->server_crashed ||
	    (!q->not_run && !q->idempotent))
		return RETRY_GIVE_UP;
	if (q->reason == RETRY_OVERLOAD &&
	    q->overloaded_attempts > OVERLOAD_RETRIES_MAX)
		return RETRY_GIVE_UP;
	if ((uint64_t)*delay_ms * 1000 + q->expected_attempt_us >=
	    q->time_left_us)
		return RETRY_GIVE_UP;
	if (!retry_spend(c))
		return RETRY_GIVE_UP;
	if (r->budgeted && !retry_budget_spend(b, now_ms)) {
		retry_return_unused(c, 1, 1);
		return RETRY_GIVE_UP;
	}
	return r->delayed ? RETRY_AFTER_DELAY : RETRY_NOW;
}

/*
 * Returns a random delay (ms) up to a bound that doubles with each attempt.
 * The randomness spreads the retries of callers that failed at the same
 * time.
 */
static uint32_t
random_backoff_ms(const struct retry_failure *q)
{
	uint32_t ms = BACKOFF_FIRST_MS, i;

	for (i = 1; i < q->attempts && ms < BACKOFF_MAX_MS; i++)
		ms *= 2;
	return (uint32_t)(q->rnd % (ms + 1));
}

/*
 * Adds to the budget, up to its maximum.
 */
static void
add_to_budget(struct retry_budget *b, int64_t milli)
{
	int_fast64_t current = atomic_load(&b->milli_retries), sum;

	do {
		sum = current + milli;
		if (sum > BUDGET_MAX_MILLI_RETRIES)
			sum = BUDGET_MAX_MILLI_RETRIES;
	} while (
	    !atomic_compare_exchange_weak(&b->milli_retries, &current, sum));
}
