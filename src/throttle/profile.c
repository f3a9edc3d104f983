#include <math.h>
#include <stdio.h>
#include <string.h>

#include "throttle/profile.h"

#define KNOWN_RUNS_MIN 20.0    /* fewer say little */
#define CALL_SHARE_WEIGHT 0.05 /* of the newest call in a share of all calls \
				*/
#define REFUSED_SHARE_MIN 0.02
#define CALLS_TIME_CONSTANT_S 1.5 /* time constant of the calls for each run \
				   */
#define RUN_TIME_CONSTANT_S 0.8	  /* and of the time of a run */
#define USUAL_TIME_CONSTANT_S 3.0 /* of the calls remembered for overloads */
#define RUN_START_SHARE 0.5	  /* of a run, that counts before its calls */
#define ENDED_RUNS_MIN 0.5

static double current_per_run(const struct profile *, uint32_t);

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
	p->runs += RUN_START_SHARE;
}

/*
 * A run ended.
 */
void
profile_end(struct profile *p)
{
	p->runs += 1 - RUN_START_SHARE;
	p->ended++;
}

/*
 * The server called a service; it may be known which run made the call.  Once
 * that is known of one, calls of other runs don't count: those began before
 * this node did, which would take their calls for those of a few later runs.
 */
void
profile_called(struct profile *p, const char *service, int run_known)
{
	struct profile_call *c;
	uint32_t i;

	p->chained += CALL_SHARE_WEIGHT * ((run_known ? 1 : 0) - p->chained);
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
	if (run_known && !c->tied)
		c->count = 0;
	c->tied |= run_known;
	c->count += run_known || !c->tied;
}

/*
 * A call of the server ended; it may have been refused for want of a slot, or
 * of a server.
 */
void
profile_call_ended(struct profile *p, int refused)
{
	p->refused += CALL_SHARE_WEIGHT * ((refused ? 1 : 0) - p->refused);
}

/*
 * Returns how many calls a run makes at present.
 */
static double
current_per_run(const struct profile *p, uint32_t call)
{
	return p->runs > 0 ? p->calls[call].count / p->runs : 0;
}

/*
 * Lets what is known fade for so many seconds, during which so many slots
 * were held; the last known means stay.
 */
void
profile_age(struct profile *p, uint32_t held_slots, double seconds)
{
	double decay = exp(-seconds / RUN_TIME_CONSTANT_S), current;
	struct profile_call *c;
	uint32_t i;

	p->held_s += held_slots * seconds;
	if (p->ended >= ENDED_RUNS_MIN || held_slots > 0) {
		p->held_s *= decay;
		p->ended *= decay;
	}
	if (p->runs < KNOWN_RUNS_MIN)
		return;
	for (i = 0; i < p->call_count; i++) {
		c = &p->calls[i];
		current = current_per_run(p, i);
		if (c->usual <= 0)
			c->usual = current;
		else if (current > c->usual || p->refused < REFUSED_SHARE_MIN)
			c->usual += (current - c->usual) *
				    fmin(1, seconds / USUAL_TIME_CONSTANT_S);
	}
	decay = exp(-seconds / CALLS_TIME_CONSTANT_S);
	if (p->runs * decay < KNOWN_RUNS_MIN)
		return;
	p->runs *= decay;
	for (i = 0; i < p->call_count; i++)
		p->calls[i].count *= decay;
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
	double current = current_per_run(p, call);

	return p->refused < REFUSED_SHARE_MIN
		   ? current
		   : fmax(current, p->calls[call].usual);
}

/*
 * Tells whether enough runs were seen to speak of their calls.
 */
int
profile_known(const struct profile *p)
{
	return p->runs >= KNOWN_RUNS_MIN;
}
