#include <string.h>

#include "base/age.h"
#include "limits/limits_int.h"

#define US_PER_S 1000000
#define DEMAND_WINDOW_US 400000.0 /* of the moving average */
#define RETURN_BEFORE_US 60000	  /* returned this long before expiry */

static void queue_report(
    struct limits_entry *, struct limits_ended_loan *, uint64_t);

/*
 * Queues a report of an ended loan, unless one is queued already.
 */
static void
queue_report(struct limits_entry *e, struct limits_ended_loan *r, uint64_t now)
{
	if (r->report_queued)
		return;
	if (e->queued_reports++ == 0)
		e->oldest_report_us = now;
	r->report_queued = 1;
}

/*
 * Ends a loan and queues a report of it; its tokens can no longer be spent.
 * The oldest ended loan is dropped.  If that was not reported, its owner
 * counts the tokens as spent.
 */
void
limits_end_loan(
    struct limits_entry *e, struct limits_active_loan *ln, uint64_t now)
{
	struct limits_ended_loan *r = &e->ended[LIMITS_ENDED_LOANS_MAX - 1];

	e->queued_reports -= e->ended[0].report_queued;
	memmove(&e->ended[0], &e->ended[1],
	    (LIMITS_ENDED_LOANS_MAX - 1) * sizeof(e->ended[0]));
	r->owner = ln->owner;
	r->part = (uint16_t)ln->part;
	r->report_queued = 0;
	r->unspent = ln->tokens;
	r->id = ln->id;
	queue_report(e, r, now);
	memset(ln, 0, sizeof(*ln));
}

/*
 * Returns the number of tokens that can be spent now.  Removes expired loans.
 */
uint32_t
limits_available_tokens(struct limits_entry *e, uint64_t now)
{
	uint32_t tokens = 0;
	size_t i;

	for (i = 0; i < LIMITS_ACTIVE_LOANS_MAX; i++) {
		if (now >= e->loans[i].expire_us)
			memset(&e->loans[i], 0, sizeof(e->loans[i]));
		tokens += e->loans[i].tokens;
	}
	return tokens;
}

/*
 * Spends a token of a loan that has not expired and stores the id of the loan.
 * Returns 1, or 0 if there is no token.
 */
int
limits_spend_token(struct limits_entry *e, uint64_t *loan, uint64_t now)
{
	struct limits_active_loan *ln = e->loans;

	if (limits_available_tokens(e, now) == 0)
		return 0;
	while (ln->tokens == 0)
		ln++;
	*loan = ln->id;
	if (--ln->tokens == 0)
		limits_end_loan(e, ln, now);
	return 1;
}

/*
 * Refunds a token that was spent on a request that did not run.  It goes back
 * to the loan, or if that has ended, to its owner by another report.
 */
void
limits_refund_token(struct limits_entry *e, uint64_t loan, uint64_t now)
{
	struct limits_ended_loan *r;
	size_t i;
	int shard;

	limits_available_tokens(e, now);
	for (i = 0; i < LIMITS_ACTIVE_LOANS_MAX; i++)
		if (e->loans[i].tokens > 0 && e->loans[i].id == loan) {
			e->loans[i].tokens++;
			return;
		}
	for (i = 0; i < LIMITS_ENDED_LOANS_MAX; i++) {
		r = &e->ended[i];
		if (r->id != loan)
			continue;
		r->unspent++;
		queue_report(e, r, now);
		shard = limits_partition_shard(&e->ws, r->part);
		if (shard != -1)
			e->empty_until_us[shard] = 0;
	}
}

/*
 * Stores a new loan.  If there is no free place, the loan that expires first
 * is ended.
 */
void
limits_add_loan(
    struct limits_entry *e, const struct limits_active_loan *ln, uint64_t now)
{
	struct limits_active_loan *place = &e->loans[0];
	size_t i;

	for (i = 0; i < LIMITS_ACTIVE_LOANS_MAX && place->tokens != 0; i++)
		if (e->loans[i].tokens == 0 ||
		    e->loans[i].expire_us < place->expire_us)
			place = &e->loans[i];
	if (place->tokens != 0)
		limits_end_loan(e, place, now);
	*place = *ln;
}

/*
 * Returns the oldest ended loan with a queued report, or NULL.
 */
const struct limits_ended_loan *
limits_first_queued_report(const struct limits_entry *e)
{
	size_t i;

	for (i = 0; i < LIMITS_ENDED_LOANS_MAX; i++)
		if (e->ended[i].report_queued)
			return &e->ended[i];
	return NULL;
}

/*
 * Removes the queued reports for the owner of a partition and stores them in
 * out.  Returns their number.
 */
size_t
limits_dequeue_reports(struct limits_entry *e, uint32_t part,
    const struct node_id *owner, limits_report *out)
{
	size_t i, n = 0;
	struct limits_ended_loan *r;

	for (i = 0; i < LIMITS_ENDED_LOANS_MAX; i++) {
		r = &e->ended[i];
		if (!r->report_queued || r->part != part ||
		    !nodeid_equal(&r->owner, owner))
			continue;
		out[n].loan = r->id;
		out[n++].unspent = r->unspent;
		r->report_queued = 0;
		e->queued_reports--;
	}
	return n;
}

/*
 * Updates the moving average of the demand.
 */
void
limits_update_demand(struct limits_entry *e, uint64_t now)
{
	double dt = (double)age_at(now, e->demand_measured_us), weight;

	if (e->demand_measured_us == 0 || dt <= 0) {
		e->demand_measured_us = now;
		return;
	}
	weight = dt < DEMAND_WINDOW_US ? dt / DEMAND_WINDOW_US : 1;
	e->demand_rate_per_s *= 1 - weight;
	e->demand_rate_per_s += weight * (double)e->arrivals * US_PER_S / dt;
	e->arrivals = 0;
	e->demand_measured_us = now;
}

/*
 * Ends loans that are about to expire, to return their tokens in time.
 * Returns 1 if a queued report has unspent tokens, otherwise 0.
 */
int
limits_end_expiring_loans(struct limits_entry *e, uint64_t now)
{
	size_t i;

	limits_available_tokens(e, now);
	for (i = 0; i < LIMITS_ACTIVE_LOANS_MAX; i++)
		if (e->loans[i].tokens > 0 &&
		    e->loans[i].expire_us - now < RETURN_BEFORE_US)
			limits_end_loan(e, &e->loans[i], now);
	for (i = 0; i < LIMITS_ENDED_LOANS_MAX; i++)
		if (e->ended[i].report_queued && e->ended[i].unspent > 0)
			return 1;
	return 0;
}

/*
 * Returns 1 if unreported loans may keep the bucket from refilling, otherwise
 * 0.
 */
int
limits_reports_urgent(const struct limits_entry *e)
{
	return e->ws.burst < e->ws.rate * 2 * LIMITS_LOAN_MAX_MS / 1000.0;
}
