#include <math.h>
#include <stdatomic.h>
#include <string.h>
#include <time.h>

#include "base/age.h"
#include "base/clock.h"
#include "base/counter.h"
#include "limits/limits_int.h"

#define US_PER_MS 1000
#define US_PER_S 1000000
#define ADMIT_TIMEOUT_MS 100 /* longest wait of a request */
#define REQUEST_ATTEMPTS 2   /* calls to one owner */
#define SHARD_TIMEOUT_MS 40  /* longest wait for one of several shards */
#define REPORT_TIMEOUT_MS 40
/* An owner is not called for this long after a failed call. */
#define UNREACHABLE_BACKOFF_US 100000
#define PREFETCH_MS 200		 /* demand of this time is borrowed ahead */
#define PREFETCH_BELOW_MS 100	 /* borrows when less than this is left */
#define PREFETCH_BURST_MIN 32	 /* of a shard, in tokens */
#define LOCAL_SHARD_BURST_MIN 64 /* smaller shards are used evenly */
#define PREFETCH_RATE_MIN 20.0	 /* requests a second */
#define REPORT_DELAY_US 100000	 /* for loans that were spent whole */

static int call_owner(struct limits *, struct limits_entry *,
    const struct lease_view *, limits_token_request_arg *,
    limits_token_request_res *, uint32_t);
static uint32_t borrow_from_shard(struct limits *, struct limits_entry *,
    const struct limits_workspace *, uint32_t, limits_token_request_arg *,
    uint64_t);
static void borrow_tokens(struct limits *, struct limits_entry *,
    const struct limits_workspace *, uint32_t, uint32_t);
static enum limits_verdict check_shards(const struct limits_entry *,
    const struct limits_workspace *, uint64_t, uint32_t *);
static void wait_for_borrower(struct limits_entry *, uint64_t);
static uint32_t prefetch_tokens(const struct limits_entry *);
static void send_reports(
    struct limits *, const struct node_id *, const limits_report_arg *, int);
static void flush_reports(struct limits *, struct limits_entry *, int);
static double shard_score(const struct limits *, const struct limits_entry *,
    const struct limits_workspace *, uint32_t, uint64_t);
static int best_shard(const struct limits *, const struct limits_entry *,
    const struct limits_workspace *, const int *, uint64_t);
static void maintain_entry(struct limits *, struct limits_entry *);

/*
 * Requests a loan from an owner, which may be this node.  A datagram can be
 * lost, hence a call that times out is sent again; the loan's id keeps the
 * owner from granting it twice.  Returns 0, or -1 if the call failed.
 */
static int
call_owner(struct limits *l, struct limits_entry *e, const struct lease_view *v,
    limits_token_request_arg *arg, limits_token_request_res *res,
    uint32_t timeout_ms)
{
	enum rpc_status st;
	int i;

	if (nodeid_is_none(&v->owner))
		return -1;
	pthread_mutex_lock(&e->lock);
	arg->reports.reports_len = (u_int)limits_dequeue_reports(
	    e, arg->part, &v->owner, arg->reports.reports_val);
	pthread_mutex_unlock(&e->lock);
	counter_add(CTR_LOANS_ASKED, 1);
	if (nodeid_equal(&v->owner, &l->cfg.self)) {
		limits_serve_token_request(l, arg, res);
		return 0;
	}
	for (i = 0; i < REQUEST_ATTEMPTS; i++) {
		st = l->cfg.call(l->cfg.call_ctx, &v->owner,
		    &limits_procs[LIMITS_PROC_TOKEN_REQUEST], arg, res,
		    timeout_ms / REQUEST_ATTEMPTS);
		if (st != RPC_TIMEOUT)
			return st == RPC_DONE ? 0 : -1;
	}
	return -1;
}

/*
 * Borrows tokens from one shard and stores the loan and the state of the
 * shard.  Returns the tokens borrowed.
 */
static uint32_t
borrow_from_shard(struct limits *l, struct limits_entry *e,
    const struct limits_workspace *ws, uint32_t shard,
    limits_token_request_arg *arg, uint64_t deadline)
{
	uint32_t timeout = limits_shard_count(ws->burst) > 1 ? SHARD_TIMEOUT_MS
							     : ADMIT_TIMEOUT_MS;
	limits_token_request_res res = { 0 };
	uint64_t requested_us = l->cfg.clock_us(), now;
	struct lease_view v;
	struct limits_active_loan ln;
	int failed;

	if (requested_us + US_PER_MS > deadline)
		return 0;
	if (timeout > (deadline - requested_us) / US_PER_MS)
		timeout = (uint32_t)((deadline - requested_us) / US_PER_MS);
	arg->part = limits_shard_partition(ws, shard);
	arg->loan = rand_u64();
	l->cfg.lookup(
	    l->cfg.lookup_ctx, arg->part, requested_us / US_PER_MS, &v);
	failed = call_owner(l, e, &v, arg, &res, timeout) == -1 ||
		 (res.status != LIMITS_GRANTED && res.status != LIMITS_EMPTY);
	now = l->cfg.clock_us();
	pthread_mutex_lock(&e->lock);
	if (failed)
		e->unreachable_until_us[shard] = now + UNREACHABLE_BACKOFF_US;
	else if (res.retry_after_us > 0)
		e->empty_until_us[shard] = now + res.retry_after_us;
	e->owner_is_new[shard] = !failed && res.bucket_is_new;
	e->last_level[shard] = failed ? 0 : res.level;
	e->level_read_us[shard] = now;
	if (!failed && res.tokens > 0) {
		ln.id = arg->loan;
		ln.owner = v.owner;
		ln.part = arg->part;
		ln.tokens = res.tokens;
		ln.expire_us = requested_us + (uint64_t)res.life_ms * US_PER_MS;
		limits_add_loan(e, &ln, now);
	}
	pthread_mutex_unlock(&e->lock);
	if (failed && l->cfg.on_owner_failure != NULL)
		l->cfg.on_owner_failure(l->cfg.on_owner_failure_ctx);
	return failed ? 0 : res.tokens;
}

/*
 * Returns a score that ranks shards for borrowing: the estimated level of the
 * shard's bucket (tokens).  A bonus ranks the shard of the node's own failure
 * domain first.  The bonus is only a tie-breaker for small buckets, because a
 * full one would lose the tokens that flow in while others are empty.
 */
static double
shard_score(const struct limits *l, const struct limits_entry *e,
    const struct limits_workspace *ws, uint32_t shard, uint64_t now)
{
	struct limits_share share;
	double level;

	limits_compute_share(ws, shard, &share);
	level = share.burst;
	if (e->level_read_us[shard] != 0)
		level = fmin(
		    level, e->last_level[shard] +
			       (double)age_at(now, e->level_read_us[shard]) *
				   (double)share.rate_mt / (US_PER_S * 1e3));
	if (shard == l->cfg.local_group % limits_shard_count(ws->burst))
		level +=
		    share.burst >= LOCAL_SHARD_BURST_MIN ? UINT32_MAX : 0.5;
	return level;
}

/*
 * Returns the shard with the highest score that is not marked in tried and is
 * neither empty nor unreachable, or -1 if there is none.
 */
static int
best_shard(const struct limits *l, const struct limits_entry *e,
    const struct limits_workspace *ws, const int *tried, uint64_t now)
{
	uint32_t n = limits_shard_count(ws->burst), i;
	double score, best_score = -1;
	int best = -1;

	for (i = 0; i < n; i++) {
		if (tried[i] || e->empty_until_us[i] > now ||
		    e->unreachable_until_us[i] > now)
			continue;
		score = shard_score(l, e, ws, i, now);
		if (score > best_score) {
			best_score = score;
			best = (int)i;
		}
	}
	return best;
}

/*
 * Borrows need tokens from as many shards as necessary, the best ones first,
 * and up to want tokens from the first that has them.
 */
static void
borrow_tokens(struct limits *l, struct limits_entry *e,
    const struct limits_workspace *ws, uint32_t need, uint32_t want)
{
	uint64_t now = l->cfg.clock_us();
	uint64_t deadline = now + ADMIT_TIMEOUT_MS * US_PER_MS;
	limits_report reports[LIMITS_REPORTS_MAX];
	int tried[LIMITS_SHARDS] = { 0 }, shard;
	limits_token_request_arg arg;
	uint32_t got;

	memset(&arg, 0, sizeof(arg));
	arg.workspace = ws->hash;
	arg.reports.reports_val = reports;
	arg.life_ms = want > need ? LIMITS_LOAN_MAX_MS : LIMITS_SHORT_LOAN_MS;
	while ((shard = best_shard(l, e, ws, tried, now)) != -1) {
		tried[shard] = 1;
		arg.need = need;
		arg.want = want;
		got = borrow_from_shard(
		    l, e, ws, (uint32_t)shard, &arg, deadline);
		need -= got < need ? got : need;
		want -= got < want ? got : want;
		if (got > 0 && need == 0)
			return;
	}
}

/*
 * Returns LIMITS_ADMIT if any shard can be called now, otherwise the verdict
 * for a request and the time until a shard can be called in *retry_ms.  A
 * bucket that may be empty only because its owner is new gives no
 * LIMITS_OVER_RATE: the request may wait for the tokens that flow in.
 */
static enum limits_verdict
check_shards(const struct limits_entry *e, const struct limits_workspace *ws,
    uint64_t now, uint32_t *retry_ms)
{
	uint32_t n = limits_shard_count(ws->burst), i;
	uint64_t earliest = UINT64_MAX, until;
	int over_rate = 0;

	for (i = 0; i < n; i++) {
		until = e->empty_until_us[i] > e->unreachable_until_us[i]
			    ? e->empty_until_us[i]
			    : e->unreachable_until_us[i];
		if (until <= now)
			return LIMITS_ADMIT;
		if (e->empty_until_us[i] > now && !e->owner_is_new[i])
			over_rate = 1;
		if (until < earliest)
			earliest = until;
	}
	*retry_ms = (uint32_t)((earliest - now) / US_PER_MS) + 1;
	return over_rate ? LIMITS_OVER_RATE : LIMITS_UNAVAILABLE;
}

/*
 * Waits until the borrowing thread has finished, at most us.  The caller holds
 * the lock.
 */
static void
wait_for_borrower(struct limits_entry *e, uint64_t us)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	ts.tv_sec += (time_t)(us / US_PER_S);
	ts.tv_nsec += (long)(us % US_PER_S) * 1000;
	if (ts.tv_nsec >= 1000000000) {
		ts.tv_sec++;
		ts.tv_nsec -= 1000000000;
	}
	pthread_cond_timedwait(&e->borrow_done, &e->lock, &ts);
}

/*
 * Returns the number of tokens to borrow ahead of demand.  It is 0 for a low
 * request rate, and for buckets so small that other nodes would lack the
 * tokens.
 */
static uint32_t
prefetch_tokens(const struct limits_entry *e)
{
	uint32_t burst = e->ws.burst / limits_shard_count(e->ws.burst);

	if (e->demand_rate_per_s < PREFETCH_RATE_MIN ||
	    burst < PREFETCH_BURST_MIN)
		return 0;
	return (uint32_t)(e->demand_rate_per_s * PREFETCH_MS / 1000.0);
}

/*
 * Decides whether a request, or a retry of one that may have run, is within
 * its workspace's limit.  If so, spends a token and stores the id of its loan
 * in *loan.  Blocks up to ADMIT_TIMEOUT_MS when tokens must be borrowed; one
 * thread borrows for all waiting threads.  If the request is refused,
 * *retry_ms is the time (ms) after which to retry.
 */
enum limits_verdict
limits_admit(struct limits *l, const struct limits_workspace *ws,
    uint64_t *loan, uint32_t *retry_ms)
{
	struct limits_entry *e = limits_entry_get(l, ws->hash);
	uint64_t now = l->cfg.clock_us();
	uint64_t deadline = now + ADMIT_TIMEOUT_MS * US_PER_MS;
	enum limits_verdict v = LIMITS_ADMIT;
	uint32_t need;
	int send;

	*retry_ms = 1;
	pthread_mutex_lock(&e->lock);
	e->ws = *ws;
	e->arrivals++;
	for (;;) {
		now = l->cfg.clock_us();
		if (limits_spend_token(e, loan, now))
			break;
		v = check_shards(e, ws, now, retry_ms);
		if (v == LIMITS_ADMIT && now >= deadline)
			v = LIMITS_UNAVAILABLE;
		if (v != LIMITS_ADMIT)
			break;
		if (e->borrowing) {
			e->waiting_requests++;
			wait_for_borrower(e, deadline - now);
			e->waiting_requests--;
			continue;
		}
		e->borrowing = 1;
		need = 1 + e->waiting_requests;
		pthread_mutex_unlock(&e->lock);
		borrow_tokens(l, e, ws, need, need + prefetch_tokens(e));
		pthread_mutex_lock(&e->lock);
		e->borrowing = 0;
		pthread_cond_broadcast(&e->borrow_done);
	}
	/*
	 * No prefetch will carry the reports.  They are sent now, to let the
	 * bucket refill.
	 */
	send = e->queued_reports > 0 && prefetch_tokens(e) == 0;
	pthread_mutex_unlock(&e->lock);
	if (send)
		flush_reports(l, e, 0);
	return v;
}

/*
 * Refunds the token of a request that was refused before it ran.  A token that
 * can no longer be returned stays spent.
 */
void
limits_refund(
    struct limits *l, const struct limits_workspace *ws, uint64_t loan)
{
	struct limits_entry *e = limits_entry_get(l, ws->hash);
	int send;

	pthread_mutex_lock(&e->lock);
	limits_refund_token(e, loan, l->cfg.clock_us());
	send = e->queued_reports > 0 && prefetch_tokens(e) == 0;
	pthread_mutex_unlock(&e->lock);
	if (send)
		flush_reports(l, e, 0);
}

/*
 * Sends reports to an owner, which may be this node.  If a report is lost, the
 * owner counts its tokens as spent.
 */
static void
send_reports(struct limits *l, const struct node_id *owner,
    const limits_report_arg *arg, int wait)
{
	limits_report_res res = { 0 };

	if (nodeid_equal(owner, &l->cfg.self))
		limits_serve_report(l, arg, &res);
	else if (wait)
		l->cfg.call(l->cfg.call_ctx, owner,
		    &limits_procs[LIMITS_PROC_REPORT], arg, &res,
		    REPORT_TIMEOUT_MS);
	else
		l->cfg.notify(l->cfg.notify_ctx, owner,
		    &limits_procs[LIMITS_PROC_REPORT], arg);
}

/*
 * Sends all queued reports; waits for the answers if wait is set.
 */
static void
flush_reports(struct limits *l, struct limits_entry *e, int wait)
{
	limits_report reports[LIMITS_REPORTS_MAX];
	const struct limits_ended_loan *r;
	limits_report_arg arg;
	struct node_id owner;

	if (!wait && l->cfg.notify == NULL)
		return;
	memset(&arg, 0, sizeof(arg));
	arg.workspace = e->hash;
	arg.reports.reports_val = reports;
	pthread_mutex_lock(&e->lock);
	while ((r = limits_first_queued_report(e)) != NULL) {
		owner = r->owner;
		arg.part = r->part;
		arg.reports.reports_len =
		    (u_int)limits_dequeue_reports(e, arg.part, &owner, reports);
		pthread_mutex_unlock(&e->lock);
		send_reports(l, &owner, &arg, wait);
		pthread_mutex_lock(&e->lock);
	}
	pthread_mutex_unlock(&e->lock);
}

/*
 * Measures one workspace's demand, returns tokens that will not be spent, and
 * borrows ahead at a high request rate.
 */
static void
maintain_entry(struct limits *l, struct limits_entry *e)
{
	uint64_t now = l->cfg.clock_us();
	struct limits_workspace ws;
	uint32_t want, retry;
	int send, borrow = 0;

	pthread_mutex_lock(&e->lock);
	limits_update_demand(e, now);
	send = limits_end_expiring_loans(e, now);
	if (e->queued_reports > 0 &&
	    (limits_reports_urgent(e) ||
		age_at(now, e->oldest_report_us) >= REPORT_DELAY_US))
		send = 1;
	ws = e->ws;
	want = prefetch_tokens(e);
	if (!e->borrowing && want > 0 &&
	    limits_available_tokens(e, now) <
		e->demand_rate_per_s * PREFETCH_BELOW_MS / 1000.0 &&
	    check_shards(e, &ws, now, &retry) == LIMITS_ADMIT)
		borrow = e->borrowing = 1;
	pthread_mutex_unlock(&e->lock);
	if (send)
		flush_reports(l, e, 1);
	if (!borrow)
		return;
	borrow_tokens(l, e, &ws, 0, want);
	pthread_mutex_lock(&e->lock);
	e->borrowing = 0;
	pthread_cond_broadcast(&e->borrow_done);
	pthread_mutex_unlock(&e->lock);
}

/*
 * Maintains all workspaces.  One control thread must call this every
 * LIMITS_MAINTAIN_INTERVAL_MS.
 */
void
limits_maintain(struct limits *l)
{
	struct limits_entry *e;
	size_t i;

	for (i = 0; i < LIMITS_TABLE_CHAINS; i++)
		for (e = atomic_load(&l->entries[i]); e != NULL; e = e->next)
			maintain_entry(l, e);
}
