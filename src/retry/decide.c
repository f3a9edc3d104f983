#include "retry/retry.h"

/*
 * Whether an attempt that brought no answer is followed by another.
 */

#define SUCCESS_MILLI_RETRIES 100 /* a success earns a tenth of a retry */
#define ONE_RETRY_MILLI 1000
#define BUDGET_MAX_MILLI_RETRIES 10000
#define FLOOR_PERIOD_MS 2000   /* one retry in this time is always there */
#define OVERLOAD_RETRIES_MAX 1 /* other servers tried after RETRY_OVERLOAD */
#define BACKOFF_FIRST_MS 10
#define BACKOFF_MAX_MS 320

static uint32_t random_backoff_ms(const struct retry_case *);
static void add_to_budget(struct retry_budget *, int64_t);

struct rule {
	int retryable;
	int budgeted; /* adds load where there may be too much already */
	int delayed;
};

static const struct rule rules[RETRY_REASON_MAX] = {
	[RETRY_NO_CONNECTION] = { 1, 0, 0 },
	[RETRY_LEAVING] = { 1, 0, 0 },
	[RETRY_OVERLOAD] = { 1, 1, 0 },
	[RETRY_OVERLOAD_ALL] = { 0, 0, 0 },
	[RETRY_BROKEN] = { 1, 1, 1 },
	[RETRY_SERVER_FAILED] = { 1, 1, 1 },
	[RETRY_DEADLINE] = { 0, 0, 0 },
	[RETRY_FINAL] = { 0, 0, 0 },
};

/*
 * Begins a budget, full, so that a rare failure on a quiet route is retried.
 */
void
retry_budget_init(struct retry_budget *b, uint64_t now_ms)
{
	atomic_init(&b->milli_retries, BUDGET_MAX_MILLI_RETRIES);
	atomic_init(&b->floor_granted_ms, now_ms);
}

/*
 * Notes a request that was served.
 */
void
retry_budget_success(struct retry_budget *b)
{
	add_to_budget(b, SUCCESS_MILLI_RETRIES);
}

/*
 * Takes one retry from the budget; returns 0 if it has none.
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
 * Decides what follows an attempt that brought no answer.  Unless it says
 * RETRY_GIVE_UP, one retry has been taken from the chain, and one from the
 * route's budget where the retry adds load.  Sets the delay (ms) for
 * RETRY_LATER.  The loan of the attempt must have been returned before, if
 * it is to be.
 */
enum retry_verdict
retry_decide(const struct retry_case *q, struct retry_chain *c,
    struct retry_budget *b, uint64_t now_ms, uint32_t *delay_ms)
{
	const struct rule *r = &rules[q->reason];

	*delay_ms = r->delayed ? random_backoff_ms(q) : 0;
	if (!r->retryable || q->struck || (!q->not_run && !q->idempotent))
		return RETRY_GIVE_UP;
	if (q->reason == RETRY_OVERLOAD && q->overloads > OVERLOAD_RETRIES_MAX)
		return RETRY_GIVE_UP;
	if ((uint64_t)*delay_ms * 1000 + q->expected_us >= q->left_us)
		return RETRY_GIVE_UP;
	if (!retry_spend(c))
		return RETRY_GIVE_UP;
	if (r->budgeted && !retry_budget_spend(b, now_ms)) {
		retry_return(c, 1, 1);
		return RETRY_GIVE_UP;
	}
	return r->delayed ? RETRY_LATER : RETRY_NOW;
}

/*
 * Returns a delay (ms) between nothing and a bound that doubles with each
 * attempt, so that callers that failed together don't come back together.
 */
static uint32_t
random_backoff_ms(const struct retry_case *q)
{
	uint32_t ms = BACKOFF_FIRST_MS, i;

	for (i = 1; i < q->attempts && ms < BACKOFF_MAX_MS; i++)
		ms *= 2;
	return (uint32_t)(q->rnd % (ms + 1));
}

/*
 * Adds to the budget, up to its bound.
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
