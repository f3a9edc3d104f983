#include <err.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "limits/limits_bucket.h"

/* Units: mt is a thousandth of a token, nt a billionth. */
#define NT_PER_TOKEN INT64_C(1000000000)
#define MT_PER_TOKEN 1000.0
#define RATE_MAX_PER_S 1e9   /* requests */
#define RING_LOANS_MIN 8     /* capacity of a new ring */
#define RING_LOANS_MAX 65536 /* largest capacity */
/* Spent tokens can be returned until this long after a loan's expiry. */
#define CREDIT_LIFETIME_US 1000000
#define WAIT_MAX_US UINT64_C(3600000000)
#define PREFETCH_DIVISOR 4 /* a prefetch gets 1/4 of the remaining level */

static void add_inflow(struct limits_bucket *, uint64_t);
static void clamp_to_burst(struct limits_bucket *);
static void trim_credit(struct limits_bucket *);
static void drop_oldest_loan(struct limits_bucket *);
static struct limits_loan *loan_at(const struct limits_bucket *, size_t);
static int loan_push(struct limits_bucket *, uint64_t, uint32_t, uint64_t);

/*
 * Returns the number of shards of a limit with this burst.
 */
uint32_t
limits_shard_count(uint32_t burst)
{
	return burst >= LIMITS_SHARD_BURST_MIN ? LIMITS_SHARDS : 1;
}

/*
 * Returns the partition whose owner holds a shard's bucket.
 */
uint32_t
limits_shard_partition(const struct limits_workspace *ws, uint32_t shard)
{
	uint32_t group = shard;

	if (limits_shard_count(ws->burst) == 1)
		group = (uint32_t)(ws->hash % LEASE_GROUPS);
	return group * LEASE_GROUP_PARTS +
	       (uint32_t)(ws->hash % LEASE_GROUP_PARTS);
}

/*
 * Returns the shard of a workspace whose bucket lies in a partition, or -1 if
 * there is none.
 */
int
limits_partition_shard(const struct limits_workspace *ws, uint32_t part)
{
	uint32_t i;

	for (i = 0; i < limits_shard_count(ws->burst); i++)
		if (limits_shard_partition(ws, i) == part)
			return (int)i;
	return -1;
}

/*
 * Computes a shard's share of a limit.  The shares sum exactly to the whole;
 * the rate is rounded down to thousandths first.
 */
void
limits_compute_share(
    const struct limits_workspace *ws, uint32_t shard, struct limits_share *s)
{
	uint32_t n = limits_shard_count(ws->burst);
	uint64_t rate = 0;

	if (ws->rate > 0)
		rate = (uint64_t)floor(
		    fmin(ws->rate, RATE_MAX_PER_S) * MT_PER_TOKEN);
	s->rate_mt = rate / n + (shard < rate % n);
	s->burst = ws->burst / n + (shard < ws->burst % n);
}

/*
 * Initialises a bucket, full or empty, at time now_us.
 */
void
bucket_init(struct limits_bucket *b, const struct limits_share *share, int full,
    uint64_t now_us)
{
	memset(b, 0, sizeof(*b));
	b->share = *share;
	b->level_nt = full ? share->burst * NT_PER_TOKEN : 0;
	b->refilled_us = now_us;
}

/*
 * Frees the memory of a bucket.
 */
void
bucket_finish(struct limits_bucket *b)
{
	free(b->loans);
	memset(b, 0, sizeof(*b));
}

/*
 * Returns the i-th oldest loan.
 */
static struct limits_loan *
loan_at(const struct limits_bucket *b, size_t i)
{
	return &b->loans[(b->head + i) & (b->cap - 1)];
}

/*
 * Reduces the credit, that of the oldest loans first, until level +
 * outstanding + credit is within the burst or no credit is left.
 */
static void
trim_credit(struct limits_bucket *b)
{
	int64_t excess_nt =
	    b->level_nt + b->credit_nt -
	    ((int64_t)b->share.burst - (int64_t)b->outstanding) * NT_PER_TOKEN;
	struct limits_loan *l;
	int64_t cut_nt;
	size_t i;

	for (i = 0; i < b->count && excess_nt > 0 && b->credit_nt > 0; i++) {
		l = loan_at(b, i);
		cut_nt = l->credit_nt < excess_nt ? l->credit_nt : excess_nt;
		l->credit_nt -= cut_nt;
		b->credit_nt -= cut_nt;
		excess_nt -= cut_nt;
	}
}

/*
 * Removes the oldest loan, which must be settled.
 */
static void
drop_oldest_loan(struct limits_bucket *b)
{
	b->credit_nt -= loan_at(b, 0)->credit_nt;
	b->head = (b->head + 1) & (b->cap - 1);
	b->count--;
	b->settled--;
}

/*
 * Reduces the level, then the credit, to keep level + outstanding + credit
 * within the burst.
 */
static void
clamp_to_burst(struct limits_bucket *b)
{
	int64_t room = (int64_t)b->share.burst - (int64_t)b->outstanding;

	if (room < 0)
		room = 0;
	if (b->level_nt > room * NT_PER_TOKEN)
		b->level_nt = room * NT_PER_TOKEN;
	trim_credit(b);
}

/*
 * Adds the tokens that flowed in since the last refill until now_us.  No loan
 * may expire in this time.
 */
static void
add_inflow(struct limits_bucket *b, uint64_t now_us)
{
	uint64_t dt, full_us;

	if (now_us <= b->refilled_us)
		return;
	dt = now_us - b->refilled_us;
	b->refilled_us = now_us;
	if (b->share.rate_mt == 0)
		return;
	full_us = (uint64_t)b->share.burst * (uint64_t)NT_PER_TOKEN /
		      b->share.rate_mt +
		  1;
	if (dt > full_us)
		dt = full_us;
	b->level_nt += (int64_t)(dt * b->share.rate_mt);
	clamp_to_burst(b);
}

/*
 * Updates a bucket to time now_us: adds the tokens that flowed in, and counts
 * loans without a report as spent from their expiry on.
 */
void
bucket_refill(struct limits_bucket *b, uint64_t now_us)
{
	struct limits_loan *l;

	for (; b->settled < b->count; b->settled++) {
		l = loan_at(b, b->settled);
		if (l->tokens == 0)
			continue;
		if (l->expire_us > now_us)
			break;
		add_inflow(b, l->expire_us);
		b->outstanding -= l->tokens;
		l->tokens = 0;
	}
	add_inflow(b, now_us);
	while (b->settled > 0) {
		l = loan_at(b, 0);
		if (l->credit_nt > 0 &&
		    l->expire_us + CREDIT_LIFETIME_US > now_us)
			break;
		drop_oldest_loan(b);
	}
}

/*
 * Applies a changed limit.  The bucket keeps its level, credit and loans as
 * far as they fit the new burst.
 */
void
bucket_resize(
    struct limits_bucket *b, const struct limits_share *share, uint64_t now_us)
{
	if (b->share.rate_mt == share->rate_mt &&
	    b->share.burst == share->burst)
		return;
	bucket_refill(b, now_us);
	b->share = *share;
	clamp_to_burst(b);
}

/*
 * Appends a loan to the ring.  The ring is ordered by expiry, hence a loan
 * that would expire before the newest one gets the expiry of that one.
 * Returns 0, or -1 if there are too many loans.
 */
static int
loan_push(
    struct limits_bucket *b, uint64_t id, uint32_t tokens, uint64_t expire_us)
{
	struct limits_loan *grown;
	size_t cap, i;

	if (b->count == RING_LOANS_MAX && b->settled > 0)
		drop_oldest_loan(b);
	if (b->count == b->cap) {
		cap = b->cap == 0 ? RING_LOANS_MIN : b->cap * 2;
		if (cap > RING_LOANS_MAX)
			return -1;
		grown = calloc(cap, sizeof(*grown));
		if (grown == NULL)
			err(1, "cannot grow the ring of rate limit loans");
		for (i = 0; i < b->count; i++)
			grown[i] = *loan_at(b, i);
		free(b->loans);
		b->loans = grown;
		b->head = 0;
		b->cap = cap;
	}
	if (b->count > 0 && loan_at(b, b->count - 1)->expire_us > expire_us)
		expire_us = loan_at(b, b->count - 1)->expire_us;
	*loan_at(b, b->count++) =
	    (struct limits_loan){ id, expire_us, tokens, 0, 0 };
	return 0;
}

/*
 * Grants a loan until expire_us: up to need tokens, and more towards want from
 * a part of what remains.  A repeated request with the id of an outstanding
 * loan gets that loan again.  Returns the tokens granted.
 */
uint32_t
bucket_grant(struct limits_bucket *b, uint64_t id, uint32_t need, uint32_t want,
    uint64_t now_us, uint64_t expire_us)
{
	uint64_t level, granted, ahead;
	size_t i;

	bucket_refill(b, now_us);
	for (i = b->count; i > b->settled; i--)
		if (loan_at(b, i - 1)->id == id)
			return loan_at(b, i - 1)->tokens;
	level = (uint64_t)(b->level_nt / NT_PER_TOKEN);
	granted = need < level ? need : level;
	ahead = want > need ? want - need : 0;
	if (ahead > (level - granted) / PREFETCH_DIVISOR)
		ahead = (level - granted) / PREFETCH_DIVISOR;
	granted += ahead;
	if (granted == 0 ||
	    loan_push(b, id, (uint32_t)granted, expire_us) == -1)
		return 0;
	b->level_nt -= (int64_t)granted * NT_PER_TOKEN;
	b->outstanding += granted;
	return (uint32_t)granted;
}

/*
 * Ends a loan and returns its unspent tokens to the bucket.  A later report
 * may give a higher number, when requests that had spent a token were refused
 * before they ran; these tokens are returned as far as the loan has credit.
 * Repeated reports and reports out of order change nothing.  Returns 0, or -1
 * if nothing changed or there is no such loan.
 */
int
bucket_settle_loan(
    struct limits_bucket *b, uint64_t id, uint32_t unspent, uint64_t now_us)
{
	struct limits_loan *l = NULL;
	int64_t returned_nt;
	size_t i;

	bucket_refill(b, now_us);
	for (i = b->count; i > 0 && l == NULL; i--)
		if (loan_at(b, i - 1)->id == id)
			l = loan_at(b, i - 1);
	if (l == NULL || (l->tokens == 0 && unspent <= l->unspent))
		return -1;
	if (l->tokens > 0) {
		b->outstanding -= l->tokens;
		l->credit_nt = (int64_t)l->tokens * NT_PER_TOKEN;
		b->credit_nt += l->credit_nt;
		l->tokens = 0;
	}
	returned_nt = (int64_t)(unspent - l->unspent) * NT_PER_TOKEN;
	if (returned_nt > l->credit_nt)
		returned_nt = l->credit_nt;
	l->unspent = unspent;
	l->credit_nt -= returned_nt;
	b->credit_nt -= returned_nt;
	b->level_nt += returned_nt;
	clamp_to_burst(b);
	return 0;
}

/*
 * Returns the number of whole tokens in the bucket.
 */
uint32_t
bucket_level(const struct limits_bucket *b)
{
	return (uint32_t)(b->level_nt / NT_PER_TOKEN);
}

/*
 * Returns the time (us) until the bucket holds so many tokens, if nothing is
 * granted meanwhile; at most WAIT_MAX_US.
 */
uint64_t
bucket_wait_us(const struct limits_bucket *b, uint32_t tokens)
{
	int64_t missing_nt = (int64_t)tokens * NT_PER_TOKEN - b->level_nt;
	uint64_t wait;

	if (missing_nt <= 0)
		return 0;
	if (b->share.rate_mt == 0)
		return WAIT_MAX_US;
	wait = (uint64_t)missing_nt / b->share.rate_mt + 1;
	return wait < WAIT_MAX_US ? wait : WAIT_MAX_US;
}
