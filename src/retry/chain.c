#include "retry/retry.h"

/*
 * The bound on retries over a whole chain.  At any time the numbers left in
 * all chains of a tree, those lent out and those spent sum to the number
 * that the root began with or, once answers are lost, to less.
 */

#define CHAIN_CLOSED UINT32_MAX

static uint32_t acquire(struct retry_chain *, uint32_t (*)(uint32_t));
static uint32_t half_rounded_up(uint32_t);
static uint32_t all_but_one(uint32_t);
static uint32_t at_most_one(uint32_t);

/*
 * Begins with this many retries, RETRY_MAX at most.
 */
void
retry_chain_init(struct retry_chain *c, uint32_t left)
{
	atomic_init(&c->left, left < RETRY_MAX ? left : RETRY_MAX);
}

/*
 * Lends to an inner call: half of what is left, rounded up.  More inner
 * calls may run beside it, and a late one should find something, but the
 * last retry goes down the chain, where repeating costs least.
 */
uint32_t
retry_lend_call(struct retry_chain *c)
{
	return acquire(c, half_rounded_up);
}

/*
 * Lends to one attempt at a server: all but one, which is kept for the loss
 * of the answer; the last one is lent as well, since every answer that isn't
 * lost brings it back.
 */
uint32_t
retry_lend_attempt(struct retry_chain *c)
{
	return acquire(c, all_but_one);
}

/*
 * Takes back what an answer says is left of a loan; more than was lent isn't
 * believed.  For an attempt that was never sent, all of it is left.  For a
 * lost answer this isn't called.
 */
void
retry_return(struct retry_chain *c, uint32_t granted, uint32_t left)
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
 * Takes one retry for use; returns 0 if there is none.
 */
int
retry_spend(struct retry_chain *c)
{
	return (int)acquire(c, at_most_one);
}

/*
 * Ends the chain and returns what is left, to be told in the answer.  From
 * then on nothing can be lent from it or returned to it, so that no retry is
 * counted both here and further up.
 */
uint32_t
retry_chain_close(struct retry_chain *c)
{
	uint32_t current = atomic_exchange(&c->left, CHAIN_CLOSED);

	return current == CHAIN_CLOSED ? 0 : current;
}

/*
 * Takes as many as the share function says of those left.
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
 * Returns half, rounded up.
 */
static uint32_t
half_rounded_up(uint32_t left)
{
	return (left + 1) / 2;
}

/*
 * Returns all but one, or the only one.
 */
static uint32_t
all_but_one(uint32_t left)
{
	return left > 1 ? left - 1 : left;
}

/*
 * Returns one, if there is one.
 */
static uint32_t
at_most_one(uint32_t left)
{
	return left > 0;
}
