#include <string.h>

#include "admission/admission_core.h"
#include "base/age.h"

#define ORDER_CLASS_SHIFT 62
#define ORDER_BAND_SHIFT 60
#define ORDER_HASH_SHIFT 4 /* of the root hash, to make room */
#define ORDER_RANK_SHIFT 54
#define RANK_CLASS_SHIFT (ORDER_CLASS_SHIFT - ORDER_RANK_SHIFT)
#define BANDS 4
#define QUEUE_ENTRY sizeof(void *)
#define QUEUE_MIN 16 /* waiting requests, also for the smallest limit */

static int shed(const struct admission_core *, const struct admission_req *);
static uint32_t queue_cap(const struct admission_core *);
static uint32_t queue_place(
    const struct admission_core *, const struct admission_waiter *);
static void queue_remove(struct admission_core *, uint32_t);
static void run(struct admission_core *, struct admission_waiter *, uint64_t);
static int doomed(const struct admission_core *,
    const struct admission_waiter *, uint32_t, uint64_t);

/* Depth at which each band begins; the deepest is the most important. */
static const uint32_t band_depth[BANDS] = { 8, 3, 1, 0 };

/*
 * Returns a request's place in the order of importance, lowest first: its
 * class, then how deep in its chain it is (deeper ones have more work behind
 * them), then the hash of its root, so that a chain ranks alike everywhere.
 */
uint64_t
admission_order(const struct admission_req *req)
{
	uint64_t band = 0;

	while (req->depth < band_depth[band])
		band++;
	return (uint64_t)req->class << ORDER_CLASS_SHIFT |
	       band << ORDER_BAND_SHIFT | req->root_hash >> ORDER_HASH_SHIFT;
}

/*
 * Returns the coarse order, which is compared with admission levels.
 */
uint32_t
admission_rank(const struct admission_req *req)
{
	return (uint32_t)(admission_order(req) >> ORDER_RANK_SHIFT);
}

/*
 * Prepares a core that has no server yet.
 */
void
core_init(struct admission_core *c, uint64_t now_us)
{
	memset(c, 0, sizeof(*c));
	limiter_init(&c->limiter, 0, now_us);
	level_init(&c->level, now_us);
}

/*
 * Starts over for a new incarnation of the server.  What is in flight
 * belongs to the old one and takes no place of the new one.
 */
void
core_reset(struct admission_core *c, uint32_t slots, uint64_t now_us)
{
	limiter_init(&c->limiter, slots, now_us);
	c->stale += c->inflight;
	c->inflight = 0;
	c->epoch++;
	c->draining = 0;
}

/*
 * Decides on an arrival.  On ADMISSION_WAIT the waiter is queued, and *out
 * may be set to one that was evicted for it, with its verdict in place.
 */
enum admission_verdict
core_offer(struct admission_core *c, const struct admission_req *req,
    struct admission_waiter *w, struct admission_waiter **out, uint64_t now_us)
{
	uint32_t at;

	*out = NULL;
	if (c->stopping || c->draining || c->limiter.slots == 0)
		return c->stopping   ? ADMISSION_STOPPING
		       : c->draining ? ADMISSION_DRAINING
				     : ADMISSION_NO_SERVER;
	level_tick(&c->level, c->limiter.mean_us, now_us);
	w->order = c->unordered ? 0 : admission_order(req);
	w->class = req->class;
	w->seq = c->seq++;
	w->deadline_us = req->deadline_us;
	w->enter_us = now_us;
	level_arrive(&c->level, admission_rank(req));
	if (c->queued == 0 && c->inflight < limiter_value(&c->limiter)) {
		if (doomed(c, w, 0, now_us))
			return ADMISSION_DEADLINE;
		run(c, w, now_us);
		return ADMISSION_RUN;
	}
	limiter_saturated(&c->limiter);
	if (!c->unordered && shed(c, req))
		return ADMISSION_OVERLOAD;
	at = queue_place(c, w);
	if (doomed(c, w, c->queued - at, now_us))
		return ADMISSION_DEADLINE;
	if (c->queued >= queue_cap(c)) {
		level_drop(&c->level);
		if (at == 0)
			return ADMISSION_OVERLOAD;
		*out = c->queue[0];
		(*out)->verdict = ADMISSION_OVERLOAD;
		queue_remove(c, 0);
		at--;
	}
	memmove(
	    &c->queue[at + 1], &c->queue[at], (c->queued - at) * QUEUE_ENTRY);
	c->queue[at] = w;
	c->queued++;
	w->verdict = ADMISSION_WAIT;
	return ADMISSION_WAIT;
}

/*
 * Takes the next request from the queue whose fate is decided: it may run
 * now, or its deadline is out of reach.  Returns NULL if all others wait.
 */
struct admission_waiter *
core_next(struct admission_core *c, uint64_t now_us)
{
	struct admission_waiter *w;

	level_tick(&c->level, c->limiter.mean_us, now_us);
	if (c->queued == 0 || c->inflight >= limiter_value(&c->limiter))
		return NULL;
	w = c->queue[--c->queued];
	if (doomed(c, w, 0, now_us)) {
		level_drop(&c->level);
		w->verdict = ADMISSION_DEADLINE;
		return w;
	}
	run(c, w, now_us);
	w->verdict = ADMISSION_RUN;
	return w;
}

/*
 * Takes any request from the queue to refuse it; NULL if there is none.
 */
struct admission_waiter *
core_flush(struct admission_core *c, enum admission_verdict verdict)
{
	struct admission_waiter *w;

	if (c->queued == 0)
		return NULL;
	w = c->queue[--c->queued];
	w->verdict = verdict;
	return w;
}

/*
 * Removes a request from the queue whose deadline passed while it waited.
 */
void
core_withdraw(struct admission_core *c, struct admission_waiter *w)
{
	uint32_t i;

	for (i = 0; i < c->queued; i++) {
		if (c->queue[i] != w)
			continue;
		queue_remove(c, i);
		level_drop(&c->level);
		w->verdict = ADMISSION_DEADLINE;
		return;
	}
}

/*
 * Frees the place of a request whose work has ended after took_us.
 */
void
core_done(struct admission_core *c, const struct admission_waiter *w,
    enum admission_outcome how, uint64_t took_us, uint64_t now_us)
{
	if (w->epoch != c->epoch) {
		c->stale--;
		return;
	}
	limiter_done(&c->limiter, how, took_us, c->inflight, now_us);
	c->inflight--;
	level_serve(&c->level);
}

/*
 * Returns the level to be told: none while there is a free place, for then
 * nothing is refused here.
 */
uint32_t
core_level(const struct admission_core *c)
{
	if (c->queued == 0 && c->inflight < limiter_value(&c->limiter))
		return ADMISSION_LEVEL_ALL;
	return c->level.cur;
}

/*
 * Tells whether the level refuses a request at once.  Of the two important
 * classes it refuses none while it lets some of their class in: they wait
 * for as long as there is room, so that a short trouble doesn't use up the
 * attempts of their callers.
 */
static int
shed(const struct admission_core *c, const struct admission_req *req)
{
	uint32_t level = c->level.cur;

	if (req->class <= ADMISSION_HIGH)
		return req->class > level >> RANK_CLASS_SHIFT;
	return admission_rank(req) > level;
}

/*
 * Returns how many may wait: about one service time's worth.
 */
static uint32_t
queue_cap(const struct admission_core *c)
{
	uint32_t n = limiter_value(&c->limiter);

	if (c->unordered)
		return ADMISSION_QUEUE_MAX;
	if (n < QUEUE_MIN)
		return QUEUE_MIN;
	return n < ADMISSION_QUEUE_MAX ? n : ADMISSION_QUEUE_MAX;
}

/*
 * Returns the index for a waiter in the queue, which is sorted with the most
 * important last.
 */
static uint32_t
queue_place(const struct admission_core *c, const struct admission_waiter *w)
{
	uint32_t lo = 0, hi = c->queued, mid;

	while (lo < hi) {
		mid = (lo + hi) / 2;
		if (c->queue[mid]->order > w->order ||
		    (c->queue[mid]->order == w->order &&
			c->queue[mid]->seq > w->seq))
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

/*
 * Removes the waiter at an index.
 */
static void
queue_remove(struct admission_core *c, uint32_t at)
{
	c->queued--;
	memmove(
	    &c->queue[at], &c->queue[at + 1], (c->queued - at) * QUEUE_ENTRY);
}

/*
 * Gives a place to a request.
 */
static void
run(struct admission_core *c, struct admission_waiter *w, uint64_t now_us)
{
	c->inflight++;
	w->epoch = c->epoch;
	w->start_us = now_us;
	level_run(&c->level, age_at(now_us, w->enter_us));
}

/*
 * Tells whether a request can't end in time with this many to run before
 * it.  One is always let through to an idle server, to measure it anew.
 * Where the slots are known, all are used: the mean over kinds of requests
 * that differ much says little of one of them.
 */
static int
doomed(const struct admission_core *c, const struct admission_waiter *w,
    uint32_t ahead, uint64_t now_us)
{
	uint64_t need = limiter_need_us(&c->limiter, now_us);
	uint32_t limit = limiter_value(&c->limiter);

	if (now_us >= w->deadline_us)
		return 1;
	if (c->inflight == 0 || c->unordered || limit == 0)
		return 0;
	if (c->slots_known && c->inflight < limit)
		return 0;
	return now_us + need + need * ahead / limit > w->deadline_us;
}
