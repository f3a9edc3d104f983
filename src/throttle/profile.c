#include <math.h>
#include <stdio.h>
#include <string.h>

#include "throttle/profile.h"

#define RUNS_KNOWN 20.0	 /* fewer say little */
#define CALL_WEIGHT 0.05 /* of the newest call in a share of all calls */
#define REFUSED_SOME 0.02
#define CALLS_KEEP_S 1.5 /* time constant of the calls for each run */
#define TIME_KEEP_S 0.8	 /* and of the time of a run */
#define USUAL_KEEP_S 3.0 /* of the calls remembered for overloads */
#define BEGIN_SHARE 0.5	 /* of a run, that counts before its calls */
#define ENDED_MIN 0.5

static double now_per_run(const struct profile *, uint32_t);

/*
 * Begins with nothing known.
 */
void
profile_init(struct profile *p)
{
	memset(p, 0, sizeof(*p));
}

/*
 * A run began.  It counts in part now and for the rest when it ends, since
 * its calls come in between.
 */
void
profile_begin(struct profile *p)
{
	p->runs += BEGIN_SHARE;
}

/*
 * A run ended.
 */
void
profile_end(struct profile *p)
{
	p->runs += 1 - BEGIN_SHARE;
	p->ended++;
}

/*
 * The server called a service; it may be known which run made the call.  Once
 * that is known of one, calls of other runs don't count: those began before
 * this node did, which would take their calls for those of a few later runs.
 */
void
profile_called(struct profile *p, const char *service, int known)
{
	struct profile_call *c;
	uint32_t i;

	p->chained += CALL_WEIGHT * ((known ? 1 : 0) - p->chained);
	for (i = 0; i < p->call_count; i++)
		if (strcmp(p->calls[i].service, service) == 0)
			break;
	if (i == PROFILE_CALLS)
		return;
	c = &p->calls[i];
	if (i == p->call_count) {
		p->call_count++;
		snprintf(c->service, sizeof(c->service), "%s", service);
		c->count = 0;
		c->usual = 0;
		c->tied = 0;
	}
	if (known && !c->tied)
		c->count = 0;
	c->tied |= known;
	c->count += known || !c->tied;
}

/*
 * A call of the server ended; it may have been refused for want of a slot, or
 * of a server.
 */
void
profile_call_ended(struct profile *p, int refused)
{
	p->refused += CALL_WEIGHT * ((refused ? 1 : 0) - p->refused);
}

/*
 * Returns how many calls a run makes at present.
 */
static double
now_per_run(const struct profile *p, uint32_t call)
{
	return p->runs > 0 ? p->calls[call].count / p->runs : 0;
}

/*
 * Lets what is known fade for so many seconds, during which so many slots
 * were held; the last known means stay.
 */
void
profile_age(struct profile *p, uint32_t held, double seconds)
{
	double keep = exp(-seconds / TIME_KEEP_S), now;
	struct profile_call *c;
	uint32_t i;

	p->held_s += held * seconds;
	if (p->ended >= ENDED_MIN || held > 0) {
		p->held_s *= keep;
		p->ended *= keep;
	}
	if (p->runs < RUNS_KNOWN)
		return;
	for (i = 0; i < p->call_count; i++) {
		c = &p->calls[i];
		now = now_per_run(p, i);
		if (c->usual <= 0)
			c->usual = now;
		else if (now > c->usual || p->refused < REFUSED_SOME)
			c->usual +=
			    (now - c->usual) * fmin(1, seconds / USUAL_KEEP_S);
	}
	keep = exp(-seconds / CALLS_KEEP_S);
	if (p->runs * keep < RUNS_KNOWN)
		return;
	p->runs *= keep;
	for (i = 0; i < p->call_count; i++)
		p->calls[i].count *= keep;
}

/*
 * Returns the mean time for which a run holds a slot (seconds), by Little's
 * law, so that a server that has just slowed down shows it before its runs
 * have ended; 0 if none ever ended.
 */
double
profile_run_s(const struct profile *p)
{
	return p->ended > 0 ? p->held_s / p->ended : 0;
}

/*
 * Returns how many calls a run makes to a service that it calls.  A run whose
 * call is refused makes no further ones: while that happens, what it made
 * before is returned, for it would make as many if there were room.
 */
double
profile_per_run(const struct profile *p, uint32_t call)
{
	double now = now_per_run(p, call);

	return p->refused < REFUSED_SOME ? now
					 : fmax(now, p->calls[call].usual);
}

/*
 * Tells whether enough runs were seen to speak of their calls.
 */
int
profile_known(const struct profile *p)
{
	return p->runs >= RUNS_KNOWN;
}
