#include <math.h>
#include <stdio.h>
#include <string.h>

#include "throttle/throttle.h"

#define TRIM_PER_S 0.7	    /* correction for each unit of misjudged load */
#define TRIM_ERROR_MAX 0.25 /* more is a surge, which is no misjudging */
#define TRIM_AFTER_S 1.0    /* until a cut at the roots shows deep in a tree */
#define TRIM_MIN 0.5
#define TRIM_MAX 1.3
#define FORGET_PER_S 0.2   /* of the correction, where nothing is cut */
#define FLOOR_OF_MEAN 0.32 /* a class's least share, of the mean of all */
#define FLOOR_MIN 0.03
#define FLOOR_MAX 0.22
#define FLOOR_ROUNDS 4	    /* until the floor and the mean fit */
#define REACHES 0.05	    /* calls for each run that count as reaching */
#define CHAINED_WEIGHT 0.05 /* of the newest word on calls of chains */
#define CALLS_WEIGHT 0.2    /* of the newest word on calls for each run */
#define AVOIDED 3.0	    /* part of a server for each share that fails */
#define DEPTH_MAX 20	    /* of a tree of calls; ends cycles */

/*
 * Calls for each run from which it is taken to need the service that it calls:
 * with fewer, more is served by letting all in than is lost by those that fail.
 */
#define NEEDS 0.75

/* What arrives at one service, by class and by where its root goes. */
struct arrivals {
	double per_root[THROTTLE_SERVICES]; /* for a root at each service */
	double runs[THROTTLE_CLASSES];	    /* a second */
	double roots[THROTTLE_CLASSES];	    /* a second, that reach it */
};

static void spread(const struct throttle *, double *);
static void arrivals_at(const struct throttle *, int, struct arrivals *);
static void class_shares(const struct arrivals *, double, double, double *);
static void limit(struct throttle *, int);
static void close_roots(struct throttle *, int);
static void adjust_trim(struct throttle_service *, double, double);
static int worst(struct throttle *, const int *);
static double room(const struct throttle *, const struct throttle_service *);

/*
 * Prepares a throttle that knows no service.
 */
void
throttle_init(struct throttle *t)
{
	memset(t, 0, sizeof(*t));
}

/*
 * Returns the handle of a service, or -1 if there are too many.
 */
int
throttle_service(struct throttle *t, const char *name)
{
	struct throttle_service *s;
	uint32_t i, k;

	for (i = 0; i < t->count; i++)
		if (strcmp(t->services[i].name, name) == 0)
			return (int)i;
	if (t->count == THROTTLE_SERVICES)
		return -1;
	s = &t->services[t->count++];
	memset(s, 0, sizeof(*s));
	snprintf(s->name, THROTTLE_NAME_BYTES, "%s", name);
	s->trim = 1;
	for (k = 0; k < THROTTLE_CLASSES; k++)
		s->share[k] = 1;
	return (int)i;
}

/*
 * Takes a server's word that a run at one service makes so many calls to
 * another.  The words of all its servers are averaged.
 */
void
throttle_calls(struct throttle *t, int from, int to, double per_run)
{
	struct throttle_service *s = &t->services[from];
	uint32_t i;

	for (i = 0; i < s->call_count; i++)
		if (s->calls[i].service == to)
			break;
	if (i == THROTTLE_CALLS)
		return;
	if (i == s->call_count) {
		s->call_count++;
		s->calls[i].service = to;
		s->calls[i].per_run = per_run;
	}
	s->calls[i].per_run += CALLS_WEIGHT * (per_run - s->calls[i].per_run);
}

/*
 * Takes a server's word on the share of its calls that are known to be part
 * of a chain.  The words of all servers that make calls are averaged.
 */
void
throttle_chained(struct throttle *t, double share)
{
	t->chained += CHAINED_WEIGHT * (share - t->chained);
}

/*
 * Returns the work that may arrive at a service, as a share of its slots.
 */
double
throttle_target(const struct throttle *t)
{
	return THROTTLE_TARGET +
	       (THROTTLE_TARGET_CHAINED - THROTTLE_TARGET) * t->chained;
}

/*
 * Begins to take the present demand and the present servers.
 */
void
throttle_begin(struct throttle *t)
{
	struct throttle_service *s;
	uint32_t i;

	for (i = 0; i < t->count; i++) {
		s = &t->services[i];
		memset(s->demand, 0, sizeof(s->demand));
		s->slots = 0;
		s->runs_per_s = 0;
		s->offered = 0;
		s->soundest = s->soundest_now;
		s->soundest_now = 1;
		s->keep_open = 0;
	}
}

/*
 * Adds root requests of a class that a node is asked for, let in or not.
 */
void
throttle_demand(struct throttle *t, int service, uint32_t class, double per_s)
{
	t->services[service].demand[class] += per_s;
}

/*
 * Adds a server.  One that fails more than the soundest of its service is
 * avoided and so takes fewer runs.
 */
void
throttle_server(
    struct throttle *t, int service, const struct throttle_server *m)
{
	struct throttle_service *s = &t->services[service];
	double more = fmax(0, m->failing - s->soundest);

	s->had_servers = s->keep_open = 1;
	s->slots += m->slots;
	s->offered += m->offered * m->slots;
	s->soundest_now = fmin(s->soundest_now, m->failing);
	if (m->run_s > 0)
		s->runs_per_s +=
		    m->slots / m->run_s * fmax(0, 1 - AVOIDED * more);
}

/*
 * Lets roots in that need a service although this node knows of no server:
 * others hear of one, or nothing is sent there.
 */
void
throttle_keep_open(struct throttle *t, int service)
{
	t->services[service].keep_open = 1;
}

/*
 * Returns how many runs a second a service is to be asked for at most; 0 if
 * that isn't known.
 */
static double
room(const struct throttle *t, const struct throttle_service *s)
{
	return throttle_target(t) * s->trim * s->runs_per_s;
}

/*
 * Corrects what a service is taken to be able to do, by what arrived there
 * while it was the limit.
 */
static void
adjust_trim(struct throttle_service *s, double target, double seconds)
{
	double off = fmax(
	    -TRIM_ERROR_MAX, fmin(TRIM_ERROR_MAX, s->offered / target - 1));

	if (s->limits || off > 0) {
		s->bound_s += seconds;
		if (s->bound_s > TRIM_AFTER_S)
			s->trim *= exp(-TRIM_PER_S * off * seconds);
	} else {
		s->bound_s = 0;
		s->trim += (1 - s->trim) * FORGET_PER_S * seconds;
	}
	s->trim = fmax(TRIM_MIN, fmin(TRIM_MAX, s->trim));
}

/*
 * Computes the runs a second that arrive at each service with the present
 * shares: of root requests, and of what these call, level by level.
 */
static void
spread(const struct throttle *t, double *runs)
{
	double level[THROTTLE_SERVICES], next[THROTTLE_SERVICES];
	const struct throttle_service *s;
	double more = 1;
	uint32_t i, k, depth;

	for (i = 0; i < t->count; i++) {
		level[i] = 0;
		for (k = 0; k < THROTTLE_CLASSES; k++)
			level[i] +=
			    t->services[i].demand[k] * t->services[i].share[k];
		runs[i] = level[i];
	}
	for (depth = 0; depth < DEPTH_MAX && more > 0; depth++) {
		memset(next, 0, sizeof(next));
		for (i = 0; i < t->count; i++) {
			s = &t->services[i];
			for (k = 0; k < s->call_count; k++)
				next[s->calls[k].service] +=
				    level[i] * s->calls[k].per_run;
		}
		for (more = 0, i = 0; i < t->count; i++) {
			level[i] = next[i];
			runs[i] += next[i];
			more += next[i];
		}
	}
}

/*
 * Computes what a root request at each service brings to one of them, and
 * what arrives there by class.
 */
static void
arrivals_at(const struct throttle *t, int to, struct arrivals *a)
{
	double level[THROTTLE_SERVICES] = { 0 }, next[THROTTLE_SERVICES];
	const struct throttle_service *s;
	double more = 1;
	uint32_t i, k, depth;

	memset(a, 0, sizeof(*a));
	level[to] = 1;
	a->per_root[to] = 1;
	for (depth = 0; depth < DEPTH_MAX && more > 0; depth++) {
		for (more = 0, i = 0; i < t->count; i++) {
			s = &t->services[i];
			for (next[i] = 0, k = 0; k < s->call_count; k++)
				next[i] += s->calls[k].per_run *
					   level[s->calls[k].service];
			more += next[i];
		}
		for (i = 0; i < t->count; i++) {
			level[i] = next[i];
			a->per_root[i] += next[i];
		}
	}
	for (i = 0; i < t->count; i++) {
		s = &t->services[i];
		if (a->per_root[i] < REACHES)
			continue;
		for (k = 0; k < THROTTLE_CLASSES; k++) {
			a->roots[k] += s->demand[k] * s->share[k];
			a->runs[k] +=
			    s->demand[k] * s->share[k] * a->per_root[i];
		}
	}
}

/*
 * Computes which share of each class fits into so many runs a second: the
 * important ones first, and of each at least the floor.
 */
static void
class_shares(const struct arrivals *a, double runs, double floor, double *share)
{
	double left = runs, more;
	uint32_t k;

	for (k = 0; k < THROTTLE_CLASSES; k++)
		left -= floor * a->runs[k];
	for (k = 0; k < THROTTLE_CLASSES; k++) {
		more = (1 - floor) * a->runs[k];
		share[k] = 1;
		if (left <= 0)
			share[k] = floor;
		else if (more > left)
			share[k] = floor + (1 - floor) * left / more;
		left -= more;
	}
}

/*
 * Cuts the classes whose trees reach a service, so that what arrives there
 * fits.  No class starves beside the others: each gets at least a part of the
 * mean share.
 */
static void
limit(struct throttle *t, int at)
{
	struct throttle_service *s = &t->services[at];
	double share[THROTTLE_CLASSES], floor = FLOOR_MAX, roots, let_in;
	struct arrivals a;
	uint32_t i, k, round;

	arrivals_at(t, at, &a);
	for (round = 0; round < FLOOR_ROUNDS; round++) {
		class_shares(&a, room(t, s), floor, share);
		for (roots = let_in = 0, k = 0; k < THROTTLE_CLASSES; k++) {
			roots += a.roots[k];
			let_in += a.roots[k] * share[k];
		}
		if (roots <= 0)
			return;
		floor = fmax(
		    FLOOR_MIN, fmin(FLOOR_MAX, FLOOR_OF_MEAN * let_in / roots));
	}
	s->limits = 1;
	memcpy(s->cut, share, sizeof(s->cut));
	for (i = 0; i < t->count; i++)
		for (k = 0; a.per_root[i] >= REACHES && k < THROTTLE_CLASSES;
		     k++)
			t->services[i].share[k] *= share[k];
}

/*
 * Lets in only a few of the roots that need a service that has lost all its
 * servers: they would be run for nothing.  Those few show when it is back.
 */
static void
close_roots(struct throttle *t, int at)
{
	struct throttle_service *s = &t->services[at];
	struct arrivals a;
	uint32_t i, k;

	arrivals_at(t, at, &a);
	s->limits = 1;
	for (k = 0; k < THROTTLE_CLASSES; k++)
		s->cut[k] = FLOOR_MIN;
	for (i = 0; i < t->count; i++)
		for (k = 0; (int)i != at && a.per_root[i] >= NEEDS &&
			    k < THROTTLE_CLASSES;
		     k++)
			t->services[i].share[k] *= FLOOR_MIN;
}

/*
 * Returns the service whose servers are most overloaded by what arrives with
 * the present shares, of those not yet done; -1 if there is none.
 */
static int
worst(struct throttle *t, const int *done)
{
	double runs[THROTTLE_SERVICES], over, most = 1;
	uint32_t i;
	int at = -1;

	spread(t, runs);
	for (i = 0; i < t->count; i++) {
		if (done[i] || t->services[i].runs_per_s <= 0)
			continue;
		t->services[i].expected = runs[i] / t->services[i].runs_per_s;
		over = runs[i] / room(t, &t->services[i]);
		if (over <= most)
			continue;
		most = over;
		at = (int)i;
	}
	return at;
}

/*
 * Computes the shares anew, so many seconds after the last time.
 */
void
throttle_step(struct throttle *t, double seconds)
{
	int done[THROTTLE_SERVICES] = { 0 };
	struct throttle_service *s;
	uint32_t i, k;
	int at;

	for (i = 0; i < t->count; i++) {
		s = &t->services[i];
		if (s->slots > 0) {
			s->offered /= s->slots;
			adjust_trim(s, throttle_target(t), seconds);
		}
		s->limits = 0;
		for (k = 0; k < THROTTLE_CLASSES; k++)
			s->share[k] = 1;
	}
	for (i = 0; i < t->count; i++)
		if (t->services[i].had_servers && !t->services[i].keep_open)
			close_roots(t, (int)i);
	while ((at = worst(t, done)) >= 0) {
		done[at] = 1;
		limit(t, at);
	}
}

/*
 * Returns which share of a class of root requests to a service is let in.
 */
double
throttle_share(const struct throttle *t, int service, uint32_t class)
{
	return t->services[service].share[class];
}
