#include <string.h>

#include "admission/admission_core.h"
#include "base/age.h"

#define ORDER_CLASS_SHIFT 62
#define ORDER_BAND_SHIFT 60
#define ORDER_HASH_SHIFT 4 /* leaves the top 4 bits for class and band */
#define ORDER_RANK_SHIFT 54
#define RANK_CLASS_SHIFT (ORDER_CLASS_SHIFT - ORDER_RANK_SHIFT)
#define DEPTH_BANDS 4
#define QUEUE_ENTRY_BYTES sizeof(void *)
#define QUEUE_CAPACITY_MIN 16 /* requests, even for lower limits */

static int rejected_by_level(
    const struct admission_core *, const struct admission_req *);
static uint32_t queue_capacity(const struct admission_core *);
static uint32_t queue_position(
    const struct admission_core *, const struct admission_waiter *);
static void queue_remove(struct admission_core *, uint32_t);
static void start_request(
    struct admission_core *, struct admission_waiter *, uint64_t);
static int misses_deadline(const struct admission_core *,
    const struct admission_waiter *, uint32_t, uint64_t);

/* Lowest depth of each band; the deepest band is the most important. */
static const uint32_t band_depth[DEPTH_BANDS] = { 8, 3, 1, 0 };

/*
 * Returns the position of a request in the order of importance; the lowest
 * is the most important.  The class counts first, then the depth in the call
 * chain, because more work has already been done for a deeper request, then
 * the hash of the root request, so that all requests of a chain rank alike
 * on every node.
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
 * Returns the rank of a request: its order with fewer bits, for comparison
 * with admission levels.
 */
uint32_t
admission_rank(const struct admission_req *req)
{
	return (uint32_t)(admission_order(req) >> ORDER_RANK_SHIFT);
}

/*
 * Initialises a core that has no server yet.
 */
void
core_init(struct admission_core *c, uint64_t now_us)
{
	memset(c, 0, sizeof(*c));
	limiter_init(&c->limiter, 0, now_us);
	level_init(&c->level, now_us);
}

/*
 * Restarts the core for a new incarnation of the server.  Requests in flight
 * belong to the old incarnation and use no place of the new one.
 */
void
core_reset(struct admission_core *c, uint32_t slots, uint64_t now_us)
{
	limiter_init(&c->limiter, slots, now_us);
	c->stale_inflight += c->inflight;
	c->inflight = 0;
	c->epoch++;
	c->draining = 0;
}

/*
 * Decides on a new request.  On ADMISSION_WAIT the waiter is queued.
 * *evicted is set to the waiter that was removed from the full queue to make
 * room, with its verdict set, or to NULL.
 */
enum admission_verdict
core_offer(struct admission_core *c, const struct admission_req *req,
    struct admission_waiter *w, struct admission_waiter **evicted,
    uint64_t now_us)
{
	uint32_t position;

	*evicted = NULL;
	if (c->stopping || c->draining || c->limiter.slots == 0)
		return c->stopping   ? ADMISSION_STOPPING
		       : c->draining ? ADMISSION_DRAINING
				     : ADMISSION_NO_SERVER;
	level_tick(&c->level, c->limiter.mean_us, now_us);
	w->order = c->fifo ? 0 : admission_order(req);
	w->class = req->class;
	w->seq = c->seq++;
	w->deadline_us = req->deadline_us;
	w->enter_us = now_us;
	level_record_arrival(&c->level, admission_rank(req));
	if (c->queued == 0 && c->inflight < limiter_value(&c->limiter)) {
		if (misses_deadline(c, w, 0, now_us))
			return ADMISSION_DEADLINE;
		start_request(c, w, now_us);
		return ADMISSION_RUN;
	}
	limiter_note_saturated(&c->limiter);
	if (!c->fifo && rejected_by_level(c, req))
		return ADMISSION_OVERLOAD;
	position = queue_position(c, w);
	if (misses_deadline(c, w, c->queued - position, now_us))
		return ADMISSION_DEADLINE;
	if (c->queued >= queue_capacity(c)) {
		level_record_drop(&c->level);
		if (position == 0)
			return ADMISSION_OVERLOAD;
		*evicted = c->queue[0];
		(*evicted)->verdict = ADMISSION_OVERLOAD;
		queue_remove(c, 0);
		position--;
	}
	memmove(&c->queue[position + 1], &c->queue[position],
	    (c->queued - position) * QUEUE_ENTRY_BYTES);
	c->queue[position] = w;
	c->queued++;
	w->verdict = ADMISSION_WAIT;
	return ADMISSION_WAIT;
}

/*
 * Removes the next waiter that can be decided from the queue and sets its
 * verdict: it runs, or it would miss its deadline.  Returns NULL if the
 * queue is empty or no place is free.
 */
struct admission_waiter *
core_next(struct admission_core *c, uint64_t now_us)
{
	struct admission_waiter *w;

	level_tick(&c->level, c->limiter.mean_us, now_us);
	if (c->queued == 0 || c->inflight >= limiter_value(&c->limiter))
		return NULL;
	w = c->queue[--c->queued];
	if (misses_deadline(c, w, 0, now_us)) {
		level_record_drop(&c->level);
		w->verdict = ADMISSION_DEADLINE;
		return w;
	}
	start_request(c, w, now_us);
	w->verdict = ADMISSION_RUN;
	return w;
}

/*
 * Removes a waiter from the queue and sets this verdict.  Returns NULL if
 * the queue is empty.
 */
struct admission_waiter *
core_refuse_next(struct admission_core *c, enum admission_verdict verdict)
{
	struct admission_waiter *w;

	if (c->queued == 0)
		return NULL;
	w = c->queue[--c->queued];
	w->verdict = verdict;
	return w;
}

/*
 * Removes a waiter from the queue because its deadline can no longer be met.
 */
void
core_expire(struct admission_core *c, struct admission_waiter *w)
{
	uint32_t i;

	for (i = 0; i < c->queued; i++) {
		if (c->queue[i] != w)
			continue;
		queue_remove(c, i);
		level_record_drop(&c->level);
		w->verdict = ADMISSION_DEADLINE;
		return;
	}
}

/*
 * Frees the place of a request that ended after service_us.
 */
void
core_release(struct admission_core *c, const struct admission_waiter *w,
    enum admission_outcome outcome, uint64_t service_us, uint64_t now_us)
{
	if (w->epoch != c->epoch) {
		c->stale_inflight--;
		return;
	}
	limiter_record_end(
	    &c->limiter, outcome, service_us, c->inflight, now_us);
	c->inflight--;
	level_record_end(&c->level);
}

/*
 * Returns the admission level to report.  Nothing is refused while a place
 * is free, so the level is then ADMISSION_LEVEL_ALL.
 */
uint32_t
core_level(const struct admission_core *c)
{
	if (c->queued == 0 && c->inflight < limiter_value(&c->limiter))
		return ADMISSION_LEVEL_ALL;
	return c->level.max_rank;
}

/*
 * Returns whether the admission level refuses a request at once.  Requests
 * of the critical and high classes are refused only if the level excludes
 * their whole class.  Otherwise they wait while the queue has room, so that
 * a short overload does not use up the attempts of their callers.
 */
static int
rejected_by_level(
    const struct admission_core *c, const struct admission_req *req)
{
	uint32_t level = c->level.max_rank;

	if (req->class <= ADMISSION_HIGH)
		return req->class > level >> RANK_CLASS_SHIFT;
	return admission_rank(req) > level;
}

/*
 * Returns the number of requests that may wait: as many as the limit, which
 * takes about one service time to serve.
 */
static uint32_t
queue_capacity(const struct admission_core *c)
{
	uint32_t n = limiter_value(&c->limiter);

	if (c->fifo)
		return ADMISSION_QUEUE_MAX;
	if (n < QUEUE_CAPACITY_MIN)
		return QUEUE_CAPACITY_MIN;
	return n < ADMISSION_QUEUE_MAX ? n : ADMISSION_QUEUE_MAX;
}

/*
 * Returns the index at which to insert a waiter.  The queue is sorted with
 * the most important request last.
 */
static uint32_t
queue_position(const struct admission_core *c, const struct admission_waiter *w)
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
 * Removes the waiter at an index of the queue.
 */
static void
queue_remove(struct admission_core *c, uint32_t position)
{
	c->queued--;
	memmove(&c->queue[position], &c->queue[position + 1],
	    (c->queued - position) * QUEUE_ENTRY_BYTES);
}

/*
 * Marks a request as in flight and records its waiting time.
 */
static void
start_request(
    struct admission_core *c, struct admission_waiter *w, uint64_t now_us)
{
	c->inflight++;
	w->epoch = c->epoch;
	w->start_us = now_us;
	level_record_start(&c->level, age_at(now_us, w->enter_us));
}

/*
 * Returns whether a request is expected to miss its deadline when this many
 * requests run before it.  Until its deadline has passed, a request is always
 * admitted to an idle server, so that the service time is measured again.  If
 * the server reports its slots, a free slot is always used: a mean over very
 * different kinds of requests predicts the time of a single one badly.
 */
static int
misses_deadline(const struct admission_core *c,
    const struct admission_waiter *w, uint32_t ahead, uint64_t now_us)
{
	uint64_t min_service_us = limiter_min_service_us(&c->limiter, now_us);
	uint32_t limit = limiter_value(&c->limiter);

	if (now_us >= w->deadline_us)
		return 1;
	if (c->inflight == 0 || c->fifo || limit == 0)
		return 0;
	if (c->slots_known && c->inflight < limit)
		return 0;
	return now_us + min_service_us + min_service_us * ahead / limit >
	       w->deadline_us;
}
