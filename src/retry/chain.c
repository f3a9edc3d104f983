#include "retry/retry.h"

/*
 * Bounds the retries of a whole call tree.  At any time the retries left in
 * its chains, those granted and not returned, and those spent add up to the
 * number at the root.  The sum is smaller after an answer was lost.
 */

#define CHAIN_CLOSED UINT32_MAX

static uint32_t acquire(struct retry_chain *, uint32_t (*)(uint32_t));
static uint32_t half_rounded_up(uint32_t);
static uint32_t all_but_one(uint32_t);
static uint32_t at_most_one(uint32_t);

/*
 * Initialises a chain with this many retries, at most RETRY_MAX.
 */
void
retry_chain_init(struct retry_chain *c, uint32_t left)
{
	atomic_init(&c->left, left < RETRY_MAX ? left : RETRY_MAX);
}

/*
 * Grants an inner call half of the remaining retries, rounded up.  The rest
 * is for other inner calls, concurrent or later.  The last retry goes down
 * the chain, where a retry repeats the least work.
 */
uint32_t
retry_grant_to_call(struct retry_chain *c)
{
	return acquire(c, half_rounded_up);
}

/*
 * Grants an attempt at a server all remaining retries but one, which is for
 * the loss of the answer.  The last retry is granted as well, since every
 * answer that is not lost returns it.
 */
uint32_t
retry_grant_to_attempt(struct retry_chain *c)
{
	return acquire(c, all_but_one);
}

/*
 * Returns the unused retries of a grant, as reported by the answer.  More
 * than was granted is not accepted.  For an attempt that was not sent, the
 * whole grant is returned.  If the answer was lost, this must not be
 * called.
 */
void
retry_return_unused(struct retry_chain *c, uint32_t granted, uint32_t left)
{
	uint32_t current = atomic_load(&c->left);

	if (left > granted)
		left = granted;
	while (
	    current != CHAIN_CLOSED &&
	    !atomic_compare_exchange_weak(&c->left, &current, current + left))
		;
}

/*
 * Spends one retry.  Returns 0 if there is none.
 */
int
retry_spend(struct retry_chain *c)
{
	return (int)acquire(c, at_most_one);
}

/*
 * Closes the chain and returns the remaining retries, which the answer
 * reports.  A closed chain grants nothing and ignores returns, so no retry
 * is counted both here and further up the chain.
 */
uint32_t
retry_chain_close(struct retry_chain *c)
{
	uint32_t current = atomic_exchange(&c->left, CHAIN_CLOSED);

	return current == CHAIN_CLOSED ? 0 : current;
}

/*
 * Subtracts and returns the amount that the function computes from the
 * remaining retries.  Returns 0 if the chain is closed.
 */
static uint32_t
acquire(struct retry_chain *c, uint32_t (*amount)(uint32_t))
{
	uint32_t current = atomic_load(&c->left), n;

	do {
		if (current == CHAIN_CLOSED)
			return 0;
		n = amount(current);
	} while (
	    !atomic_compare_exchange_weak(&c->left, &current, current - n));
	return n;
}

/*
 * Returns half of the remaining retries, rounded up.
 */
static uint32_t
half_rounded_up(uint32_t left)
{
	return (left + 1) / 2;
}

/*
 * Returns all remaining retries but one, or the only one.
 */
static uint32_t
all_but_one(uint32_t left)
{
	return left > 1 ? left - 1 : left;
}

/*
 * Returns 1, or 0 if no retry remains.
 */
static uint32_t
at_most_one(uint32_t left)
{
	return left > 0;
}
