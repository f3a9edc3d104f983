#include <math.h>
#include <stdio.h>
#include <string.h>

#include "throttle/profile.h"

/* Runs for a reliable mean of calls per run. */
#define KNOWN_RUNS_MIN 20.0
/* The sums of runs and calls don't decay to fewer runs. */
#define DECAYED_RUNS_MIN 20.0
/* Weight of the newest call in the refused and chained shares. */
#define CALL_SHARE_WEIGHT 0.05
/* Refused share from which the calls per run count as reduced. */
#define REFUSED_SHARE_MIN 0.02
#define CALLS_TIME_CONSTANT_S 1.5 /* of the current calls per run */
#define RUN_TIME_CONSTANT_S 0.8	  /* of the mean run time */
#define USUAL_TIME_CONSTANT_S 3.0 /* of the usual calls per run */
#define RUN_START_SHARE 0.5	  /* part of a run that counts at its start */
/* Ended runs below which the sums decay only while slots are held. */
#define ENDED_RUNS_MIN 0.5

/* Calls that decayed to less may give their place to another. */
#define UNUSED_CALLS_MAX 0.01

static double current_per_run(const struct profile *, uint32_t);
static struct profile_call *find_call(struct profile *, const char *, uint32_t);

/*
 * Initializes a profile without measurements.
 */
void
profile_init(struct profile *p)
{
	memset(p, 0, sizeof(*p));
	p->known_runs_min = KNOWN_RUNS_MIN;
}

/*
 * Records the start of a run.  A part of the run counts now and the rest at
 * its end, because its calls come in between.
 */
void
profile_run_started(struct profile *p)
{
	p->runs += RUN_START_SHARE;
}

/*
 * Records the end of a run.
 */
void
profile_run_ended(struct profile *p)
{
	p->runs += 1 - RUN_START_SHARE;
	p->ended_runs++;
}

/*
 * Returns the calls to a route of a service, or NULL if there are too many.
 */
static struct profile_call *
find_call(struct profile *p, const char *service, uint32_t route)
{
	struct profile_call *c, *unused = NULL;
	uint32_t i;

	for (i = 0; i < p->call_count; i++) {
		c = &p->calls[i];
		if (c->route == route && strcmp(c->service, service) == 0)
			return c;
		if (c->count < UNUSED_CALLS_MAX &&
		    c->usual_per_run < UNUSED_CALLS_MAX)
			unused = c;
	}
	if (i < PROFILE_CALLS_MAX)
		unused = &p->calls[p->call_count++];
	if (unused == NULL)
		return NULL;
	memset(unused, 0, sizeof(*unused));
	snprintf(unused->service, sizeof(unused->service), "%s", service);
	unused->route = route;
	return unused;
}

/*
 * Records a call of the server to a route of a service; run_known says whether
 * the calling run is known.  After the first call of a known run to that
 * service, calls of unknown runs no longer count: their runs began before this
 * node did, and the calls would be attributed to the few runs counted since.
 */
void
profile_call_started(
    struct profile *p, const char *service, uint32_t route, int run_known)
{
	struct profile_call *c;

	p->chained_share +=
	    CALL_SHARE_WEIGHT * ((run_known ? 1 : 0) - p->chained_share);
	c = find_call(p, service, route);
	if (c == NULL)
		return;
	if (run_known && !c->only_known_runs)
		c->count = 0;
	c->only_known_runs |= run_known;
	c->count += run_known || !c->only_known_runs;
}

/*
 * Records the end of a call, which may have been refused for lack of a slot or
 * of a server.
 */
void
profile_call_ended(struct profile *p, int refused)
{
	p->refused_share +=
	    CALL_SHARE_WEIGHT * ((refused ? 1 : 0) - p->refused_share);
}

/*
 * Returns the present number of calls per run.
 */
static double
current_per_run(const struct profile *p, uint32_t call)
{
	return p->runs > 0 ? p->calls[call].count / p->runs : 0;
}

/*
 * Updates the averages after the given seconds, during which held_slots slots
 * were in use.
 */
void
profile_update(struct profile *p, uint32_t held_slots, double seconds)
{
	profile_update_decayed(
	    p, held_slots, seconds, profile_slot_decay(p, held_slots, seconds));
}

/*
 * Returns the factor by which the sums of slot holding times and ended runs
 * decay in the given seconds.
 */
double
profile_slot_decay(const struct profile *p, uint32_t held_slots, double seconds)
{
	if (p->ended_runs < ENDED_RUNS_MIN && held_slots == 0)
		return 1;
	return exp(-seconds / RUN_TIME_CONSTANT_S);
}

/*
 * Updates the averages like profile_update(), with the given decay of the slot
 * holding times and ended runs.  With too few runs, the last known means of
 * calls stay.
 */
void
profile_update_decayed(
    struct profile *p, uint32_t held_slots, double seconds, double slot_decay)
{
	struct profile_call *c;
	double decay, current;
	uint32_t i;

	p->slot_s = (p->slot_s + held_slots * seconds) * slot_decay;
	p->ended_runs *= slot_decay;
	if (p->runs < p->known_runs_min)
		return;
	for (i = 0; i < p->call_count; i++) {
		c = &p->calls[i];
		current = current_per_run(p, i);
		if (c->usual_per_run <= 0)
			c->usual_per_run = current;
		else if (current > c->usual_per_run ||
			 p->refused_share < REFUSED_SHARE_MIN)
			c->usual_per_run +=
			    (current - c->usual_per_run) *
			    fmin(1, seconds / USUAL_TIME_CONSTANT_S);
	}
	decay = exp(-seconds / CALLS_TIME_CONSTANT_S);
	if (p->runs * decay < DECAYED_RUNS_MIN)
		return;
	p->runs *= decay;
	for (i = 0; i < p->call_count; i++)
		p->calls[i].count *= decay;
}

/*
 * Returns the mean time in seconds for which a run holds a slot, or 0 if no
 * run has ended.  By Little's law, a slowed server shows in it before its runs
 * end.
 */
double
profile_mean_run_s(const struct profile *p)
{
	return p->ended_runs > 0 ? p->slot_s / p->ended_runs : 0;
}

/*
 * Returns the calls per run to a service.  A run makes no further calls after
 * a refused one, so while calls are refused, the number from before the
 * refusals is returned if it is higher.
 */
double
profile_calls_per_run(const struct profile *p, uint32_t call)
{
	double current = current_per_run(p, call);

	return p->refused_share < REFUSED_SHARE_MIN
		   ? current
		   : fmax(current, p->calls[call].usual_per_run);
}

/*
 * Returns whether enough runs were measured for reliable calls per run.
 */
int
profile_calls_known(const struct profile *p)
{
	return p->runs >= p->known_runs_min;
}
