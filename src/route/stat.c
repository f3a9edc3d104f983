#include <math.h>

#include "route/route.h"

/*
 * What the ends of requests say about a server, and when that ejects it.
 */

#define STREAK_EJECTS 5
#define RATIO_EJECTS 0.5
#define RATIO_SAMPLES 10 /* decayed requests before the ratio counts */
#define EJECT_FIRST_MS 1000
#define EJECT_LAST_MS 30000
#define EJECT_FORGET_MS 60000 /* without a new ejection */
#define LEAVING_MS 2000	      /* until membership has heard of it as well */
#define COUNT_HALF_MS 5000
#define LATENCY_WEIGHT 0.1

static void decay(struct route_stat *, uint64_t);
static void succeed(struct route_stat *, uint64_t, uint64_t);
static void fail(struct route_stat *, uint64_t, uint64_t);
static void time_out(struct route_stat *, uint64_t, uint64_t);
static void refuse(struct route_stat *, uint64_t, uint64_t);
static void leave(struct route_stat *, uint64_t, uint64_t);
static void eject(struct route_stat *, uint64_t);

static void (*const updates[ROUTE_OUTCOME_MAX])(
    struct route_stat *, uint64_t, uint64_t) = {
	[ROUTE_SERVED] = succeed,
	[ROUTE_SHED] = NULL,
	[ROUTE_LEAVING] = leave,
	[ROUTE_FAILED] = fail,
	[ROUTE_TIMEOUT] = time_out,
	[ROUTE_REFUSED] = refuse,
	[ROUTE_CANCELLED] = NULL,
};

/*
 * Takes the end of one request: how, after which latency (us), with which
 * load told in the answer (or NULL), and the time.
 */
void
route_stat_update(struct route_stat *s, enum route_outcome how,
    uint64_t latency_us, const struct admission_load *load, uint64_t now_ms)
{
	decay(s, now_ms);
	s->used_ms = now_ms;
	if (updates[how] != NULL)
		updates[how](s, latency_us, now_ms);
	if (load != NULL) {
		s->load = *load;
		s->heard_ms = now_ms;
		s->inflight_heard = s->inflight;
		s->answer_ms = now_ms;
	}
}

/*
 * Lets the counts fade, and old ejections be forgotten.
 */
static void
decay(struct route_stat *s, uint64_t now_ms)
{
	double f;

	if (now_ms <= s->decay_ms)
		return;
	f = exp2(-(double)(now_ms - s->decay_ms) / COUNT_HALF_MS);
	s->good *= f;
	s->bad *= f;
	s->decay_ms = now_ms;
	if (now_ms > s->ejected_ms + EJECT_FORGET_MS)
		s->ejections = 0;
}

/*
 * The server has answered whole and well.
 */
static void
succeed(struct route_stat *s, uint64_t latency_us, uint64_t now_ms)
{
	s->good++;
	s->streak = 0;
	s->answer_ms = now_ms;
	if (s->latency_us == 0)
		s->latency_us = (double)latency_us;
	s->latency_us += LATENCY_WEIGHT * ((double)latency_us - s->latency_us);
	if (s->returning && now_ms >= s->ejected_ms) {
		s->returning = 0;
		s->returned_ms = now_ms;
		s->bad = 0;
	}
}

/*
 * The server has answered with an error, or broken off.
 */
static void
fail(struct route_stat *s, uint64_t latency_us, uint64_t now_ms)
{
	(void)latency_us;
	s->bad++;
	s->streak++;
	if (s->returning || s->streak >= STREAK_EJECTS ||
	    (s->good + s->bad >= RATIO_SAMPLES &&
		s->bad >= RATIO_EJECTS * (s->good + s->bad)))
		eject(s, now_ms);
}

/*
 * No answer in time.  That counts against the server only if it has sent no
 * other answer since: one that is merely overloaded must not be ejected, for
 * the others would get its load.
 */
static void
time_out(struct route_stat *s, uint64_t latency_us, uint64_t now_ms)
{
	if (s->answer_ms + latency_us / 1000 < now_ms)
		fail(s, latency_us, now_ms);
}

/*
 * Nothing listens there.
 */
static void
refuse(struct route_stat *s, uint64_t latency_us, uint64_t now_ms)
{
	(void)latency_us;
	s->bad++;
	s->streak++;
	eject(s, now_ms);
}

/*
 * The server takes no new work; others will hear of it by membership soon.
 */
static void
leave(struct route_stat *s, uint64_t latency_us, uint64_t now_ms)
{
	(void)latency_us;
	s->answer_ms = now_ms;
	s->leaving_ms = now_ms + LEAVING_MS;
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
	for (i = 0; i < s->ejections && ms < EJECT_LAST_MS; i++)
		ms *= 2;
	s->ejections++;
	s->ejected_ms = now_ms + (ms < EJECT_LAST_MS ? ms : EJECT_LAST_MS);
	s->returning = 1;
	s->streak = 0;
}
