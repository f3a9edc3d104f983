#include "retry/retry.h"

/*
 * Whether an attempt that brought no answer is followed by another.
 */

#define SUCCESS_MILLI 100 /* a success earns a tenth of a retry */
#define RETRY_MILLI 1000
#define BUDGET_MAX_MILLI 10000
#define FLOOR_PERIOD_MS 2000 /* one retry in this time is always there */
#define OVERLOADS_MAX 1	     /* other servers tried after RETRY_OVERLOAD */
#define BACKOFF_FIRST_MS 10
#define BACKOFF_LAST_MS 320

static uint32_t backoff(const struct retry_case *);
static void earn(struct retry_budget *, int64_t);

struct rule {
	int again;
	int budgeted; /* adds load where there may be too much already */
	int waits;
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
	atomic_init(&b->milli, BUDGET_MAX_MILLI);
	atomic_init(&b->floor_ms, now_ms);
}

/*
 * Notes a request that was served.
 */
void
retry_budget_success(struct retry_budget *b)
{
	earn(b, SUCCESS_MILLI);
}

/*
 * Takes one retry from the budget; returns 0 if it has none.
 */
int
retry_budget_spend(struct retry_budget *b, uint64_t now_ms)
{
	uint_fast64_t last = atomic_load(&b->floor_ms);
	int_fast64_t was;

	if (now_ms >= last + FLOOR_PERIOD_MS &&
	    atomic_compare_exchange_strong(&b->floor_ms, &last, now_ms))
		earn(b, RETRY_MILLI);
	was = atomic_load(&b->milli);
	do {
		if (was < RETRY_MILLI)
			return 0;
	} while (
	    !atomic_compare_exchange_weak(&b->milli, &was, was - RETRY_MILLI));
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

	*delay_ms = r->waits ? backoff(q) : 0;
	if (!r->again || q->struck || (!q->not_run && !q->idempotent))
		return RETRY_GIVE_UP;
	if (q->reason == RETRY_OVERLOAD && q->overloads > OVERLOADS_MAX)
		return RETRY_GIVE_UP;
	if ((uint64_t)*delay_ms * 1000 + q->expected_us >= q->left_us)
		return RETRY_GIVE_UP;
	if (!retry_spend(c))
		return RETRY_GIVE_UP;
	if (r->budgeted && !retry_budget_spend(b, now_ms)) {
		retry_return(c, 1, 1);
		return RETRY_GIVE_UP;
	}
	return r->waits ? RETRY_LATER : RETRY_NOW;
}

/*
 * Returns a delay (ms) between nothing and a bound that doubles with each
 * attempt, so that callers that failed together don't come back together.
 */
static uint32_t
backoff(const struct retry_case *q)
{
	uint32_t ms = BACKOFF_FIRST_MS, i;

	for (i = 1; i < q->attempts && ms < BACKOFF_LAST_MS; i++)
		ms *= 2;
	return (uint32_t)(q->rnd % (ms + 1));
}

/*
 * Adds to the budget, up to its bound.
 */
static void
earn(struct retry_budget *b, int64_t milli)
{
	int_fast64_t was = atomic_load(&b->milli), to;

	do {
		to = was + milli;
		if (to > BUDGET_MAX_MILLI)
			to = BUDGET_MAX_MILLI;
	} while (!atomic_compare_exchange_weak(&b->milli, &was, to));
}
