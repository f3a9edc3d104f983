#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#include "node/call.h"

#define US_PER_MS 1000

/* Why an attempt brought no answer, in the terms of the retry policy. */
static const enum retry_reason retry_reasons[REASON_MAX] = {
	[REASON_BAD_REQUEST] = RETRY_NOT_RETRYABLE,
	[REASON_SERVER_FAILED] = RETRY_BROKEN_EXCHANGE,
	[REASON_OVERLOAD] = RETRY_OVERLOAD,
	[REASON_NO_SERVER] = RETRY_LEAVING,
	[REASON_DRAINING] = RETRY_LEAVING,
	[REASON_STOPPING] = RETRY_LEAVING,
	[REASON_QUARANTINED] = RETRY_NOT_RETRYABLE,
	[REASON_DEADLINE] = RETRY_DEADLINE,
};

/*
 * Returns the place of a route in the tables by route.
 */
static size_t
route_slot(const struct call *c)
{
	return XXH3_64bits(c->route.name, strlen(c->route.name)) % NODE_BUDGETS;
}

/*
 * Returns the retry budget of a route.
 */
static struct retry_budget *
budget_of(struct call *c)
{
	return &c->node->budgets[route_slot(c)];
}

/*
 * Returns what is known of overload further down a route.
 */
struct admission_downstream *
call_echo(struct call *c)
{
	return &c->node->echoes[route_slot(c)];
}

/*
 * Tells whether a request would be shed further down its chain, so that no
 * server needs to work on it.
 */
int
call_is_doomed(struct call *c)
{
	struct admission_downstream *e = call_echo(c);
	struct admission_req ar;

	if (!settings_policy_on(&c->node->settings, POLICY_PRECHECK))
		return 0;
	call_request(c, &ar);
	if (admission_downstream_check(e, &ar, clock_us(), rand_u64()) !=
	    ADMISSION_HINT_SHED)
		return 0;
	if (c->parent != NULL)
		parent_lower_chain_level(
		    c->parent, admission_downstream_level(e));
	return 1;
}

/*
 * Charges the workspace for another run of a root request that may have run
 * already.  Returns 0, or -1 where its limit leaves no room.
 */
static int
charge_again(struct call *c)
{
	uint64_t loan;
	uint32_t wait;

	if (!c->ran || c->cx.depth > 0 || c->route.open)
		return 0;
	return limits_admit(&c->node->limits, &c->limit, &loan, &wait) ==
		       LIMITS_ADMIT
		   ? 0
		   : -1;
}

/*
 * Gives back what the workspace was charged for a root request that did not
 * run, so that its caller may come again within the rate.
 */
void
call_refund(struct call *c)
{
	if (c->loan != 0)
		limits_refund(&c->node->limits, &c->limit, c->loan);
	c->loan = 0;
}

/*
 * Tells whether a server died while it ran the request, now or before.  The
 * exit of the last attempt tells so itself, since news of it may come later
 * than a further attempt would reach its server.
 */
static int
is_struck(struct call *c, uint64_t now)
{
	struct quarantine *q = &c->node->quarantine;

	if (!settings_policy_on(&c->node->settings, POLICY_QUARANTINE))
		return 0;
	if (c->verdict.death != 0)
		quarantine_merge_report(
		    q, &c->print, c->verdict.death, 0, 0, now);
	return quarantine_check(q, &c->print, now) != QUARANTINE_UNRESTRICTED;
}

/*
 * Decides whether another attempt follows the last one, and waits before it
 * if that is the decision.
 */
static int
retry(struct call *c)
{
	uint64_t now = clock_ms();
	struct retry_failure q = { .reason = retry_reasons[c->verdict.reason],
		.not_run = c->verdict.outcome == OUTCOME_NOT_RUN,
		.idempotent = c->route.idempotent,
		.attempts = c->tried_count,
		.time_left_us = now < c->deadline_ms
				    ? (c->deadline_ms - now) * US_PER_MS
				    : 0,
		.rnd = rand_u64() };
	struct retry_budget *b = budget_of(c), none;
	struct admission_load load;
	enum retry_verdict v;
	uint32_t delay;

	if (c->answer.started || c->answer.broken)
		return 0;
	if (admission_load_parse(&load, c->verdict.load) == 0)
		q.expected_attempt_us = load.service_us;
	if (c->unsent)
		q.reason = RETRY_NO_CONNECTION;
	if (q.reason == RETRY_OVERLOAD)
		c->overloads++;
	q.overloaded_attempts = c->overloads;
	q.server_crashed = is_struck(c, now);
	if (!settings_policy_on(&c->node->settings, POLICY_RETRY_BUDGET)) {
		retry_budget_init(&none, now);
		b = &none;
	}
	v = retry_decide(&q, &c->chain, b, now, &delay);
	if (v == RETRY_GIVE_UP || charge_again(c) == -1)
		return 0;
	counter_add(CTR_RETRIES, 1);
	if (v == RETRY_AFTER_DELAY && delay > 0)
		usleep(delay * US_PER_MS);
	return 1;
}

/*
 * Tells the log why a request was refused; a flood of refusals is thinned
 * out there.
 */
void
call_log_refusal(const struct call *c, enum outcome out, enum reason why)
{
	logline(LOG_INFO, "request-refused",
	    "outcome=%s reason=%s route=%s workspace=%s depth=%u attempts=%u",
	    outcome_names[out], reason_rows[why].name,
	    c->route.name[0] != '\0' ? c->route.name : "-",
	    c->cx.workspace[0] != '\0' ? c->cx.workspace : "-", c->cx.depth,
	    c->tried_count);
}

/*
 * Gives the caller what the last attempt brought.  The refusal is truthful
 * for all attempts together.
 */
static void
conclude(struct call *c)
{
	if (c->verdict.outcome == OUTCOME_DONE) {
		answer_end(&c->answer);
		counter_add(CTR_DONE, 1);
		retry_budget_add_success(budget_of(c));
		quarantine_record_success(
		    &c->node->quarantine, &c->print, clock_ms());
		return;
	}
	if (c->answer.started) {
		answer_break(&c->answer);
		return;
	}
	if (c->ran)
		c->verdict.outcome = OUTCOME_MAY_HAVE_RUN;
	else if (c->claimed)
		once_release(&c->node->once, &c->claim);
	if (!c->ran)
		call_refund(c);
	call_log_refusal(c, c->verdict.outcome, c->verdict.reason);
	answer_refuse(
	    c->req, c->verdict.outcome, c->verdict.reason, NULL, 0, NULL);
}

/*
 * Returns where the next attempt goes: first to the server chosen before the
 * workspace was charged.
 */
static int
next_target(struct call *c, struct target *t, enum route_reason *why)
{
	if (!c->chosen)
		return call_choose(c, t, why);
	*t = c->first;
	c->chosen = 0;
	return 0;
}

/*
 * Sends a request to servers until one answers or no retry is left, and
 * answers the caller.
 */
void
call_forward(struct call *c)
{
	enum route_reason why;
	struct target t;
	uint64_t now;

	answer_init(&c->answer, c->req);
	c->verdict.outcome = OUTCOME_NOT_RUN;
	c->verdict.reason = REASON_OVERLOAD;
	while (c->chosen || !call_is_doomed(c)) {
		now = clock_ms();
		if (now >= c->deadline_ms) {
			c->verdict.outcome = OUTCOME_NOT_RUN;
			c->verdict.reason = REASON_DEADLINE;
			break;
		}
		c->cx.deadline_ms = (uint32_t)(c->deadline_ms - now);
		if (next_target(c, &t, &why) == -1) {
			if (c->tried_count > 0)
				break;
			c->verdict.outcome = OUTCOME_NOT_RUN;
			c->verdict.reason = why == ROUTE_OVERLOAD
						? REASON_OVERLOAD
						: REASON_NO_SERVER;
			break;
		}
		call_attempt(c, &t);
		if (c->verdict.outcome == OUTCOME_DONE || !retry(c))
			break;
	}
	conclude(c);
	answer_finish(&c->answer);
}
