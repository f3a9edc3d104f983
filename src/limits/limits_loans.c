#include <string.h>

#include "limits/limits_int.h"

#define US_PER_S 1000000
#define MEASURE_US 400000.0 /* time over which demand is averaged */
#define RETURN_US 60000	    /* unspent tokens go back before the expiry */

/*
 * Ends a loan, so that its tokens can't be spent any more, and queues a
 * report of it.  With a full queue the owner counts the tokens as spent.
 */
void
loan_end(struct limits_entry *e, struct limits_held *ln, uint64_t now)
{
	struct limits_queued *r;

	if (e->report_count < LIMITS_QUEUED_MAX) {
		if (e->report_count == 0)
			e->report_us = now;
		r = &e->reports[e->report_count++];
		r->owner = ln->owner;
		r->part = ln->part;
		r->unspent = ln->tokens;
		r->id = ln->id;
	}
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
 * Spends n tokens that have not lapsed.  Returns 1, or 0 if there are too
 * few.
 */
int
loans_spend(struct limits_entry *e, uint32_t n, uint64_t now)
{
	struct limits_held *ln;
	uint32_t k;
	size_t i;

	if (loans_held(e, now) < n)
		return 0;
	for (i = 0; i < LIMITS_HELD_MAX && n > 0; i++) {
		ln = &e->loans[i];
		if (ln->tokens == 0)
			continue;
		k = ln->tokens < n ? ln->tokens : n;
		ln->tokens -= k;
		n -= k;
		if (ln->tokens == 0)
			loan_end(e, ln, now);
	}
	return 1;
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
 * Takes the queued reports for an owner of a partition.  Returns how many.
 */
size_t
reports_take(struct limits_entry *e, uint32_t part, const struct node_id *owner,
    limits_report *out)
{
	size_t i, keep = 0, n = 0;
	struct limits_queued *r;

	for (i = 0; i < e->report_count; i++) {
		r = &e->reports[i];
		if (n < LIMITS_REPORTS_MAX && r->part == part &&
		    nodeid_equal(&r->owner, owner)) {
			out[n].loan = r->id;
			out[n++].unspent = r->unspent;
		} else
			e->reports[keep++] = *r;
	}
	e->report_count = keep;
	return n;
}

/*
 * Updates the average demand.
 */
void
demand_measure(struct limits_entry *e, uint64_t now)
{
	double dt = (double)(now - e->measured_us), share;

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
	for (i = 0; i < e->report_count; i++)
		if (e->reports[i].unspent > 0)
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
