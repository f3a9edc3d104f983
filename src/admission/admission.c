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
 * Prepares admission to a server that hasn't been announced yet.
 */
void
admission_init(struct admission *a)
{
	memset(a, 0, sizeof(*a));
	pthread_mutex_init(&a->lock, NULL);
	core_init(&a->core, clock_us());
}

/*
 * Releases what admission_init() took.  Nothing may be in flight.
 */
void
admission_finish(struct admission *a)
{
	pthread_mutex_destroy(&a->lock);
}

/*
 * Turns the policy on or off.  Off, the limit is the announced slots and the
 * queue is first come, first served, without a level or a look at deadlines.
 */
void
admission_set_policy(struct admission *a, int enabled)
{
	pthread_mutex_lock(&a->lock);
	a->core.limiter.fixed = !enabled;
	a->core.fifo = !enabled;
	pthread_mutex_unlock(&a->lock);
}

/*
 * Starts over for a new incarnation of the server with this many slots; 0
 * for a server that has gone.  Requests that wait stay for the new one.
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
 * Takes a changed number of slots from the running server.
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
 * The server takes no new work: refuses all that wait and all that come,
 * until the next reset.
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
 * The node stops: refuses all that come from now on.  Those that wait were
 * accepted before, so they still run.
 */
void
admission_stop(struct admission *a)
{
	pthread_mutex_lock(&a->lock);
	a->core.stopping = 1;
	pthread_mutex_unlock(&a->lock);
}

/*
 * Asks for a place at the server and blocks the calling thread until it has
 * one or is refused.  After ADMISSION_RUN the ticket must be given back by
 * admission_leave() exactly once, when the server has really stopped working
 * on the request; after any other verdict the ticket is void and the request
 * was not run.
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
 * Gives the place back after the server worked for service_us.
 */
void
admission_leave(struct admission_ticket *t, enum admission_outcome outcome,
    uint64_t service_us)
{
	struct admission *a = t->admission;

	pthread_mutex_lock(&a->lock);
	core_done(&a->core, &t->waiter, outcome, service_us, clock_us());
	dispatch_waiting(a);
	pthread_mutex_unlock(&a->lock);
}

/*
 * Returns how many requests wait or are in flight, also at earlier
 * incarnations of the server; a graceful stop ends at 0.
 */
uint32_t
admission_busy(struct admission *a)
{
	uint32_t n;

	pthread_mutex_lock(&a->lock);
	n = a->core.queued + a->core.inflight + a->core.stale_inflight;
	pthread_mutex_unlock(&a->lock);
	return n;
}

/*
 * Fills in what the next answer tells about this server.
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
 * Prints the state as readable text.
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
 * Returns the word for a verdict; for a refusal it is the reason that the
 * caller is told.
 */
const char *
admission_verdict_name(enum admission_verdict v)
{
	return verdict_names[v];
}

/*
 * Wakes every waiter whose fate is decided.
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
 * Refuses all that wait.
 */
static void
refuse_waiting(struct admission *a, enum admission_verdict v)
{
	struct admission_waiter *w;

	while ((w = core_flush(&a->core, v)) != NULL)
		wake_waiter(w);
}

/*
 * Wakes the thread of a waiter, whose verdict is in place.
 */
static void
wake_waiter(struct admission_waiter *w)
{
	struct admission_ticket *t = (struct admission_ticket *)w;

	pthread_cond_signal(&t->cond);
}

/*
 * Waits in the queue, with the lock held, for a verdict.
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
			core_withdraw(c, w);
		else
			wait_for_signal(
			    t, w->deadline_us - min_service_us - now);
		now = clock_us();
	}
	pthread_cond_destroy(&t->cond);
	return w->verdict;
}

/*
 * Waits at most this long (us) to be woken.
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
