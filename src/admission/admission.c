#include <stdio.h>
#include <string.h>
#include <time.h>

#include "admission/admission.h"
#include "base/clock.h"

static void dispatch_waiting(struct admission *);
static void refuse_waiting(struct admission *, enum admission_verdict);
static void wake_waiter(struct admission_waiter *);
static void wait_for_signal(struct admission_ticket *, uint64_t);
static enum admission_verdict wait_for_verdict(struct admission_ticket *);

static const char *const class_names[ADMISSION_CLASS_MAX] = {
	[ADMISSION_CRITICAL] = "critical",
	[ADMISSION_HIGH] = "high",
	[ADMISSION_NORMAL] = "normal",
	[ADMISSION_LOW] = "low",
};

static const char *const verdict_names[ADMISSION_VERDICT_MAX] = {
	[ADMISSION_RUN] = "run",
	[ADMISSION_WAIT] = "wait",
	[ADMISSION_OVERLOAD] = "overload",
	[ADMISSION_DEADLINE] = "deadline",
	[ADMISSION_DRAINING] = "draining",
	[ADMISSION_STOPPING] = "stopping",
	[ADMISSION_NO_SERVER] = "no-server",
};

/*
 * Initialises admission control for a backend server that has not reported
 * its slots yet.
 */
void
admission_init(struct admission *a)
{
	memset(a, 0, sizeof(*a));
	pthread_mutex_init(&a->lock, NULL);
	core_init(&a->core, clock_us());
}

/*
 * Frees the resources of admission_init().  No request may be waiting or in
 * flight.
 */
void
admission_finish(struct admission *a)
{
	pthread_mutex_destroy(&a->lock);
}

/*
 * Turns the admission policy on or off.  While it is off, the limit equals
 * the reported slots, the queue is first come, first served, and arrivals
 * are refused neither by the admission level nor by the estimated service
 * time.
 */
void
admission_set_policy(struct admission *a, int enabled)
{
	pthread_mutex_lock(&a->lock);
	a->core.limiter.fixed_to_slots = !enabled;
	a->core.fifo = !enabled;
	pthread_mutex_unlock(&a->lock);
}

/*
 * Restarts admission control for a new incarnation of the server with this
 * many slots, or 0 if the server is down.  Waiting requests stay queued for
 * the new incarnation; without a server they are refused.
 */
void
admission_server_reset(struct admission *a, uint32_t slots)
{
	pthread_mutex_lock(&a->lock);
	core_reset(&a->core, slots, clock_us());
	if (slots == 0)
		refuse_waiting(a, ADMISSION_NO_SERVER);
	dispatch_waiting(a);
	pthread_mutex_unlock(&a->lock);
}

/*
 * Applies a changed number of slots of the running server.
 */
void
admission_set_slots(struct admission *a, uint32_t slots)
{
	pthread_mutex_lock(&a->lock);
	limiter_set_slots(&a->core.limiter, slots);
	dispatch_waiting(a);
	pthread_mutex_unlock(&a->lock);
}

/*
 * Refuses all waiting and all new requests until the next reset, because the
 * server accepts no new work.
 */
void
admission_drain(struct admission *a)
{
	pthread_mutex_lock(&a->lock);
	a->core.draining = 1;
	refuse_waiting(a, ADMISSION_DRAINING);
	pthread_mutex_unlock(&a->lock);
}

/*
 * Refuses all new requests because the node stops.  Waiting requests were
 * accepted before and still run.
 */
void
admission_stop(struct admission *a)
{
	pthread_mutex_lock(&a->lock);
	a->core.stopping = 1;
	pthread_mutex_unlock(&a->lock);
}

/*
 * Requests a place at the server.  Blocks the calling thread until the
 * request may run or is refused.  After ADMISSION_RUN the caller must call
 * admission_leave() exactly once, when the server has really stopped working
 * on the request.  After any other verdict the request was not run and the
 * ticket is invalid.
 */
enum admission_verdict
admission_enter(struct admission *a, const struct admission_req *req,
    struct admission_ticket *t)
{
	struct admission_waiter *evicted;
	enum admission_verdict v;

	t->admission = a;
	pthread_mutex_lock(&a->lock);
	v = core_offer(&a->core, req, &t->waiter, &evicted, clock_us());
	if (evicted != NULL)
		wake_waiter(evicted);
	if (v == ADMISSION_WAIT)
		v = wait_for_verdict(t);
	a->counts[req->class][v]++;
	pthread_mutex_unlock(&a->lock);
	return v;
}

/*
 * Releases the place of a request on which the server worked for service_us.
 */
void
admission_leave(struct admission_ticket *t, enum admission_outcome outcome,
    uint64_t service_us)
{
	struct admission *a = t->admission;

	pthread_mutex_lock(&a->lock);
	core_release(&a->core, &t->waiter, outcome, service_us, clock_us());
	dispatch_waiting(a);
	pthread_mutex_unlock(&a->lock);
}

/*
 * Returns the number of requests that wait or are in flight, including those
 * in flight at earlier incarnations of the server.  A graceful stop waits
 * until it is 0.
 */
uint32_t
admission_outstanding(struct admission *a)
{
	uint32_t n;

	pthread_mutex_lock(&a->lock);
	n = a->core.queued + a->core.inflight + a->core.stale_inflight;
	pthread_mutex_unlock(&a->lock);
	return n;
}

/*
 * Fills in the load that the node reports with its next answer.
 */
void
admission_load(struct admission *a, struct admission_load *load)
{
	struct admission_core *c = &a->core;

	pthread_mutex_lock(&a->lock);
	level_tick(&c->level, c->limiter.mean_us, clock_us());
	load->level = core_level(c);
	load->inflight = c->inflight;
	load->limit = limiter_value(&c->limiter);
	load->queued = c->queued;
	load->service_us = (uint32_t)c->limiter.mean_us;
	pthread_mutex_unlock(&a->lock);
}

/*
 * Writes the admission state to out as text.
 */
void
admission_dump(struct admission *a, FILE *out)
{
	struct admission_load load;
	uint64_t counts[ADMISSION_CLASS_MAX][ADMISSION_VERDICT_MAX];
	int c, v;

	admission_load(a, &load);
	pthread_mutex_lock(&a->lock);
	memcpy(counts, a->counts, sizeof(counts));
	fprintf(out,
	    "admission slots=%u limit=%u inflight=%u stale=%u queued=%u "
	    "level=%u service_us=%u draining=%d stopping=%d\n",
	    a->core.limiter.slots, load.limit, load.inflight,
	    a->core.stale_inflight, load.queued, load.level, load.service_us,
	    a->core.draining, a->core.stopping);
	pthread_mutex_unlock(&a->lock);
	for (c = 0; c < ADMISSION_CLASS_MAX; c++) {
		fprintf(out, "admission class=%s", class_names[c]);
		for (v = 0; v < ADMISSION_VERDICT_MAX; v++) {
			if (v != ADMISSION_WAIT)
				fprintf(out, " %s=%llu", verdict_names[v],
				    (unsigned long long)counts[c][v]);
		}
		fprintf(out, "\n");
	}
}

/*
 * Returns the name of a verdict.  The name of a refusal is also the reason
 * that is sent to the caller.
 */
const char *
admission_verdict_name(enum admission_verdict v)
{
	return verdict_names[v];
}

/*
 * Starts or refuses each waiting request that can be decided now, and wakes
 * its thread.
 */
static void
dispatch_waiting(struct admission *a)
{
	struct admission_waiter *w;
	uint64_t now = clock_us();

	while ((w = core_next(&a->core, now)) != NULL)
		wake_waiter(w);
}

/*
 * Refuses all waiting requests with this verdict.
 */
static void
refuse_waiting(struct admission *a, enum admission_verdict v)
{
	struct admission_waiter *w;

	while ((w = core_refuse_next(&a->core, v)) != NULL)
		wake_waiter(w);
}

/*
 * Wakes the thread of a waiter whose verdict has been set.
 */
static void
wake_waiter(struct admission_waiter *w)
{
	struct admission_ticket *t = (struct admission_ticket *)w;

	pthread_cond_signal(&t->cond);
}

/*
 * Blocks until the queued request has a verdict.  Withdraws the request as
 * soon as the time left is not longer than its estimated service time.  The
 * caller holds the lock.
 */
static enum admission_verdict
wait_for_verdict(struct admission_ticket *t)
{
	struct admission_core *c = &t->admission->core;
	struct admission_waiter *w = &t->waiter;
	pthread_condattr_t attr;
	uint64_t now = clock_us(), min_service_us;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&t->cond, &attr);
	pthread_condattr_destroy(&attr);
	while (w->verdict == ADMISSION_WAIT) {
		min_service_us = limiter_min_service_us(&c->limiter, now);
		if (now + min_service_us >= w->deadline_us)
			core_expire(c, w);
		else
			wait_for_signal(
			    t, w->deadline_us - min_service_us - now);
		now = clock_us();
	}
	pthread_cond_destroy(&t->cond);
	return w->verdict;
}

/*
 * Waits for a signal on the ticket for at most timeout_us.
 */
static void
wait_for_signal(struct admission_ticket *t, uint64_t timeout_us)
{
	struct timespec ts;
	uint64_t ns;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	ns = (uint64_t)ts.tv_nsec + timeout_us % 1000000 * 1000;
	ts.tv_sec += (time_t)(timeout_us / 1000000 + ns / 1000000000);
	ts.tv_nsec = (long)(ns % 1000000000);
	pthread_cond_timedwait(&t->cond, &t->admission->lock, &ts);
}
