#include <math.h>

#include "route/route.h"

/*
 * Updates the observations of a server by request outcomes, and ejects
 * servers that fail.
 */

#define EJECT_CONSECUTIVE_FAILURES 5
#define EJECT_FAILURE_SHARE 0.5
/* Decayed count of requests from which the share is used. */
#define EJECT_SHARE_MIN_COUNT 10
#define EJECT_FIRST_MS 1000
#define EJECT_MAX_MS 30000
#define EJECT_RESET_MS 60000 /* after an ejection; resets the backoff */
#define LEAVING_HOLD_MS 2000 /* until membership reports it */
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
	[ROUTE_NO_CONNECTION] = record_no_connection,
	[ROUTE_CANCELLED] = NULL,
};

/*
 * Records the outcome of a request, its latency, and the load that the
 * answer reported, or NULL.
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
 * Decays the counts, and resets the ejection backoff after EJECT_RESET_MS.
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
	if (now_ms > s->ejected_until_ms + EJECT_RESET_MS)
		s->ejections = 0;
}

/*
 * Records a complete, successful answer.
 */
static void
record_success(struct route_stat *s, uint64_t latency_us, uint64_t now_ms)
{
	s->successes++;
	s->consecutive_failures = 0;
	s->last_answer_ms = now_ms;
	if (s->latency_us == 0)
		s->latency_us = (double)latency_us;
	s->latency_us +=
	    LATENCY_MEAN_WEIGHT * ((double)latency_us - s->latency_us);
	if (s->needs_probe && now_ms >= s->ejected_until_ms) {
		s->needs_probe = 0;
		s->readmitted_ms = now_ms;
		s->failures = 0;
	}
}

/*
 * Records an error answer or a broken exchange.
 */
static void
record_failure(struct route_stat *s, uint64_t latency_us, uint64_t now_ms)
{
	(void)latency_us;
	s->failures++;
	s->consecutive_failures++;
	if (s->needs_probe ||
	    s->consecutive_failures >= EJECT_CONSECUTIVE_FAILURES ||
	    (s->successes + s->failures >= EJECT_SHARE_MIN_COUNT &&
		s->failures >=
		    EJECT_FAILURE_SHARE * (s->successes + s->failures)))
		eject(s, now_ms);
}

/*
 * Records a request without an answer before its deadline.  It is a failure
 * only if the server has sent no other answer since the request was sent.
 * Ejecting a server that is merely overloaded would move its load to the
 * others.
 */
static void
record_timeout(struct route_stat *s, uint64_t latency_us, uint64_t now_ms)
{
	if (s->last_answer_ms + latency_us / 1000 < now_ms)
		record_failure(s, latency_us, now_ms);
}

/*
 * Records that no connection could be made.
 */
static void
record_no_connection(struct route_stat *s, uint64_t latency_us, uint64_t now_ms)
{
	(void)latency_us;
	s->failures++;
	s->consecutive_failures++;
	eject(s, now_ms);
}

/*
 * Records that the server accepts no new requests.  Excludes it for
 * LEAVING_HOLD_MS, until membership reports that.
 */
static void
record_leaving(struct route_stat *s, uint64_t latency_us, uint64_t now_ms)
{
	(void)latency_us;
	s->last_answer_ms = now_ms;
	s->leaving_until_ms = now_ms + LEAVING_HOLD_MS;
}

/*
 * Ejects the server for a time that doubles with each ejection, up to
 * EJECT_MAX_MS.  Failures during an ejection are of requests sent before it
 * and do not extend it.
 */
static void
eject(struct route_stat *s, uint64_t now_ms)
{
	uint64_t ms = EJECT_FIRST_MS;
	uint32_t i;

	if (now_ms < s->ejected_until_ms)
		return;
	for (i = 0; i < s->ejections && ms < EJECT_MAX_MS; i++)
		ms *= 2;
	s->ejections++;
	s->ejected_until_ms = now_ms + (ms < EJECT_MAX_MS ? ms : EJECT_MAX_MS);
	s->needs_probe = 1;
	s->consecutive_failures = 0;
}
