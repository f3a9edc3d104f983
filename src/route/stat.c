#include <math.h>

#include "route/route.h"

/*
 * What the ends of requests say about a server, and when that ejects it.
 */

#define EJECT_CONSECUTIVE_FAILURES 5
#define EJECT_FAILURE_SHARE 0.5
#define EJECT_SHARE_MIN_COUNT                          \
	10 /* decayed requests before the ratio counts \
	    */
#define EJECT_FIRST_MS 1000
#define EJECT_MAX_MS 30000
#define EJECT_RESET_MS 60000 /* without a new ejection */
#define LEAVING_HOLD_MS 2000 /* until membership has heard of it as well */
#define COUNT_HALF_LIFE_MS 5000
#define LATENCY_MEAN_WEIGHT 0.1

static void decay_counts(struct route_stat *, uint64_t);
static void record_success(struct route_stat *, uint64_t, uint64_t);
static void record_failure(struct route_stat *, uint64_t, uint64_t);
static void record_timeout(struct route_stat *, uint64_t, uint64_t);
static void record_no_connection(struct route_stat *, uint64_t, uint64_t);
static void record_leaving(struct route_stat *, uint64_t, uint64_t);
static void eject(struct route_stat *, uint64_t);

static void (*const updates[ROUTE_OUTCOME_MAX])(
    struct route_stat *, uint64_t, uint64_t) = {
	[ROUTE_SERVED] = record_success,
	[ROUTE_SHED] = NULL,
	[ROUTE_LEAVING] = record_leaving,
	[ROUTE_FAILED] = record_failure,
	[ROUTE_TIMEOUT] = record_timeout,
	[ROUTE_REFUSED] = record_no_connection,
	[ROUTE_CANCELLED] = NULL,
};

/*
 * Takes the end of one request: how, after which latency (us), with which
 * load told in the answer (or NULL), and the time.
 */
void
route_stat_update(struct route_stat *s, enum route_outcome outcome,
    uint64_t latency_us, const struct admission_load *load, uint64_t now_ms)
{
	decay_counts(s, now_ms);
	s->last_used_ms = now_ms;
	if (updates[outcome] != NULL)
		updates[outcome](s, latency_us, now_ms);
	if (load != NULL) {
		s->load = *load;
		s->load_reported_ms = now_ms;
		s->inflight_at_report = s->inflight;
		s->last_answer_ms = now_ms;
	}
}

/*
 * Lets the counts fade, and old ejections be forgotten.
 */
static void
decay_counts(struct route_stat *s, uint64_t now_ms)
{
	double factor;

	if (now_ms <= s->decayed_ms)
		return;
	factor = exp2(-(double)(now_ms - s->decayed_ms) / COUNT_HALF_LIFE_MS);
	s->successes *= factor;
	s->failures *= factor;
	s->decayed_ms = now_ms;
	if (now_ms > s->ejected_ms + EJECT_RESET_MS)
		s->ejections = 0;
}

/*
 * The server has answered whole and well.
 */
static void
record_success(struct route_stat *s, uint64_t latency_us, uint64_t now_ms)
{
	s->successes++;
	s->streak = 0;
	s->last_answer_ms = now_ms;
	if (s->latency_us == 0)
		s->latency_us = (double)latency_us;
	s->latency_us +=
	    LATENCY_MEAN_WEIGHT * ((double)latency_us - s->latency_us);
	if (s->needs_probe && now_ms >= s->ejected_ms) {
		s->needs_probe = 0;
		s->readmitted_ms = now_ms;
		s->failures = 0;
	}
}

/*
 * The server has answered with an error, or broken off.
 */
static void
record_failure(struct route_stat *s, uint64_t latency_us, uint64_t now_ms)
{
	(void)latency_us;
	s->failures++;
	s->streak++;
	if (s->needs_probe || s->streak >= EJECT_CONSECUTIVE_FAILURES ||
	    (s->successes + s->failures >= EJECT_SHARE_MIN_COUNT &&
		s->failures >=
		    EJECT_FAILURE_SHARE * (s->successes + s->failures)))
		eject(s, now_ms);
}

/*
 * No answer in time.  That counts against the server only if it has sent no
 * other answer since: one that is merely overloaded must not be ejected, for
 * the others would get its load.
 */
static void
record_timeout(struct route_stat *s, uint64_t latency_us, uint64_t now_ms)
{
	if (s->last_answer_ms + latency_us / 1000 < now_ms)
		record_failure(s, latency_us, now_ms);
}

/*
 * Nothing listens there.
 */
static void
record_no_connection(struct route_stat *s, uint64_t latency_us, uint64_t now_ms)
{
	(void)latency_us;
	s->failures++;
	s->streak++;
	eject(s, now_ms);
}

/*
 * The server takes no new work; others will hear of it by membership soon.
 */
static void
record_leaving(struct route_stat *s, uint64_t latency_us, uint64_t now_ms)
{
	(void)latency_us;
	s->last_answer_ms = now_ms;
	s->leaving_until_ms = now_ms + LEAVING_HOLD_MS;
}

/*
 * Ejects the server for a time that grows; failures of requests that were
 * sent before the ejection don't lengthen it.
 */
static void
eject(struct route_stat *s, uint64_t now_ms)
{
	uint64_t ms = EJECT_FIRST_MS;
	uint32_t i;

	if (now_ms < s->ejected_ms)
		return;
	for (i = 0; i < s->ejections && ms < EJECT_MAX_MS; i++)
		ms *= 2;
	s->ejections++;
	s->ejected_ms = now_ms + (ms < EJECT_MAX_MS ? ms : EJECT_MAX_MS);
	s->needs_probe = 1;
	s->streak = 0;
}
