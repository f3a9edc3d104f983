#include <string.h>

#include "base/age.h"
#include "limits/limits_int.h"

#define US_PER_S 1000000
#define MEASURE_US 400000.0 /* time over which demand is averaged */
#define RETURN_US 60000	    /* unspent tokens go back before the expiry */

static void queue(struct limits_entry *, struct limits_ended *, uint64_t);

/*
 * Queues a report of an ended loan.
 */
static void
queue(struct limits_entry *e, struct limits_ended *r, uint64_t now)
{
	if (r->queued)
		return;
	if (e->report_count++ == 0)
		e->report_us = now;
	r->queued = 1;
}

/*
 * Ends a loan, so that its tokens can't be spent any more, and queues a
 * report of it.  The oldest ended loan is forgotten; if it was not reported,
 * the owner counts its tokens as spent.
 */
void
loan_end(struct limits_entry *e, struct limits_held *ln, uint64_t now)
{
	struct limits_ended *r = &e->ended[LIMITS_ENDED_MAX - 1];

	e->report_count -= e->ended[0].queued;
	memmove(&e->ended[0], &e->ended[1],
	    (LIMITS_ENDED_MAX - 1) * sizeof(e->ended[0]));
	r->owner = ln->owner;
	r->part = (uint16_t)ln->part;
	r->queued = 0;
	r->unspent = ln->tokens;
	r->id = ln->id;
	queue(e, r, now);
	memset(ln, 0, sizeof(*ln));
}

/*
 * Returns how many tokens can be spent now; lapsed ones are forgotten.
 */
uint32_t
loans_held(struct limits_entry *e, uint64_t now)
{
	uint32_t sum = 0;
	size_t i;

	for (i = 0; i < LIMITS_HELD_MAX; i++) {
		if (now >= e->loans[i].expire_us)
			memset(&e->loans[i], 0, sizeof(e->loans[i]));
		sum += e->loans[i].tokens;
	}
	return sum;
}

/*
 * Spends a token that has not lapsed, and tells of which loan.  Returns 1,
 * or 0 if there is none.
 */
int
loans_spend(struct limits_entry *e, uint64_t *loan, uint64_t now)
{
	struct limits_held *ln = e->loans;

	if (loans_held(e, now) == 0)
		return 0;
	while (ln->tokens == 0)
		ln++;
	*loan = ln->id;
	if (--ln->tokens == 0)
		loan_end(e, ln, now);
	return 1;
}

/*
 * Gives back a token of a loan that was spent on a request which did not
 * run: to the loan, or if that has ended, to its owner by another report.
 */
void
loan_refund(struct limits_entry *e, uint64_t loan, uint64_t now)
{
	struct limits_ended *r;
	size_t i;
	int shard;

	loans_held(e, now);
	for (i = 0; i < LIMITS_HELD_MAX; i++)
		if (e->loans[i].tokens > 0 && e->loans[i].id == loan) {
			e->loans[i].tokens++;
			return;
		}
	for (i = 0; i < LIMITS_ENDED_MAX; i++) {
		r = &e->ended[i];
		if (r->id != loan)
			continue;
		r->unspent++;
		queue(e, r, now);
		shard = limits_shard_of(&e->ws, r->part);
		if (shard != -1)
			e->dry_us[shard] = 0;
	}
}

/*
 * Keeps a new loan, if need be in place of the one that lapses first.
 */
void
loan_keep(struct limits_entry *e, const struct limits_held *ln, uint64_t now)
{
	struct limits_held *place = &e->loans[0];
	size_t i;

	for (i = 0; i < LIMITS_HELD_MAX && place->tokens != 0; i++)
		if (e->loans[i].tokens == 0 ||
		    e->loans[i].expire_us < place->expire_us)
			place = &e->loans[i];
	if (place->tokens != 0)
		loan_end(e, place, now);
	*place = *ln;
}

/*
 * Returns the oldest loan of which a report is queued, or NULL.
 */
const struct limits_ended *
report_first(const struct limits_entry *e)
{
	size_t i;

	for (i = 0; i < LIMITS_ENDED_MAX; i++)
		if (e->ended[i].queued)
			return &e->ended[i];
	return NULL;
}

/*
 * Takes the queued reports for an owner of a partition.  Returns how many.
 */
size_t
reports_take(struct limits_entry *e, uint32_t part, const struct node_id *owner,
    limits_report *out)
{
	size_t i, n = 0;
	struct limits_ended *r;

	for (i = 0; i < LIMITS_ENDED_MAX; i++) {
		r = &e->ended[i];
		if (!r->queued || r->part != part ||
		    !nodeid_equal(&r->owner, owner))
			continue;
		out[n].loan = r->id;
		out[n++].unspent = r->unspent;
		r->queued = 0;
		e->report_count--;
	}
	return n;
}

/*
 * Updates the average demand.
 */
void
demand_measure(struct limits_entry *e, uint64_t now)
{
	double dt = (double)age_at(now, e->measured_us), share;

	if (e->measured_us == 0 || dt <= 0) {
		e->measured_us = now;
		return;
	}
	share = dt < MEASURE_US ? dt / MEASURE_US : 1;
	e->demand *= 1 - share;
	e->demand += share * (double)e->arrivals * US_PER_S / dt;
	e->arrivals = 0;
	e->measured_us = now;
}

/*
 * Queues loans that are about to lapse, so that their tokens go back.
 * Returns 1 if there are tokens to give back.
 */
int
loans_return(struct limits_entry *e, uint64_t now)
{
	size_t i;

	loans_held(e, now);
	for (i = 0; i < LIMITS_HELD_MAX; i++)
		if (e->loans[i].tokens > 0 &&
		    e->loans[i].expire_us - now < RETURN_US)
			loan_end(e, &e->loans[i], now);
	for (i = 0; i < LIMITS_ENDED_MAX; i++)
		if (e->ended[i].queued && e->ended[i].unspent > 0)
			return 1;
	return 0;
}

/*
 * Tells whether loans not yet reported could keep the bucket from filling.
 */
int
loans_tight(const struct limits_entry *e)
{
	return e->ws.burst < e->ws.rate * 2 * LIMITS_LOAN_MS / 1000.0;
}
