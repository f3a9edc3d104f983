#include <math.h>
#include <stdio.h>
#include <string.h>

#include "throttle/throttle.h"

#define CORRECTION_PER_S 0.7 /* correction for each unit of misjudged load */
#define CORRECTION_ERROR_MAX 0.25 /* more is a surge, which is no misjudging \
				   */
#define CORRECTION_DELAY_S \
	1.0 /* until a cut at the roots shows deep in a tree */
#define CAPACITY_FACTOR_MIN 0.5
#define CAPACITY_FACTOR_MAX 1.3
#define CORRECTION_DECAY_PER_S 0.2 /* of the correction, where nothing is cut \
				    */
#define SHARE_FLOOR_OF_MEAN 0.32 /* a class's least share, of the mean of all \
				  */
#define SHARE_FLOOR_MIN 0.03
#define SHARE_FLOOR_MAX 0.22
#define SHARE_FLOOR_ROUNDS 4 /* until the floor and the mean fit */
#define REACHED_RUNS_PER_ROOT \
	0.05 /* calls for each run that count as reaching */
#define CHAINED_REPORT_WEIGHT 0.05 /* of the newest word on calls of chains */
#define CALLS_REPORT_WEIGHT 0.2 /* of the newest word on calls for each run */
#define AVOIDANCE_PER_FAILURE \
	3.0		  /* part of a server for each share that fails */
#define CALL_DEPTH_MAX 20 /* of a tree of calls; ends cycles */

/*
 * Calls for each run from which it is taken to need the service that it calls:
 * with fewer, more is served by letting all in than is lost by those that fail.
 */
#define REQUIRED_RUNS_PER_ROOT 0.75

/* What arrives at one service, by class and by where its root goes. */
struct arrivals {
	double
	    runs_per_root[THROTTLE_SERVICES]; /* for a root at each service */
	double runs_per_s[THROTTLE_CLASSES];  /* a second */
	double roots_per_s[THROTTLE_CLASSES]; /* a second, that reach it */
};

static void compute_runs(const struct throttle *, double *);
static void compute_arrivals(const struct throttle *, int, struct arrivals *);
static void compute_class_shares(
    const struct arrivals *, double, double, double *);
static void limit_service(struct throttle *, int);
static void restrict_roots(struct throttle *, int);
static void adjust_capacity_factor(struct throttle_service *, double, double);
static int most_overloaded(struct throttle *, const int *);
static double max_runs_per_s(
    const struct throttle *, const struct throttle_service *);

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
	s->calls[i].per_run +=
	    CALLS_REPORT_WEIGHT * (per_run - s->calls[i].per_run);
}

/*
 * Takes a server's word on the share of its calls that are known to be part
 * of a chain.  The words of all servers that make calls are averaged.
 */
void
throttle_chained(struct throttle *t, double share)
{
	t->chained += CHAINED_REPORT_WEIGHT * (share - t->chained);
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
    struct throttle *t, int service, const struct throttle_server *server)
{
	struct throttle_service *s = &t->services[service];
	double excess = fmax(0, server->failing - s->soundest);

	s->had_servers = s->keep_open = 1;
	s->slots += server->slots;
	s->offered += server->offered * server->slots;
	s->soundest_now = fmin(s->soundest_now, server->failing);
	if (server->run_s > 0)
		s->runs_per_s += server->slots / server->run_s *
				 fmax(0, 1 - AVOIDANCE_PER_FAILURE * excess);
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
max_runs_per_s(const struct throttle *t, const struct throttle_service *s)
{
	return throttle_target(t) * s->trim * s->runs_per_s;
}

/*
 * Corrects what a service is taken to be able to do, by what arrived there
 * while it was the limit.
 */
static void
adjust_capacity_factor(
    struct throttle_service *s, double target, double seconds)
{
	double error = fmax(-CORRECTION_ERROR_MAX,
	    fmin(CORRECTION_ERROR_MAX, s->offered / target - 1));

	if (s->limits || error > 0) {
		s->bound_s += seconds;
		if (s->bound_s > CORRECTION_DELAY_S)
			s->trim *= exp(-CORRECTION_PER_S * error * seconds);
	} else {
		s->bound_s = 0;
		s->trim += (1 - s->trim) * CORRECTION_DECAY_PER_S * seconds;
	}
	s->trim = fmax(CAPACITY_FACTOR_MIN, fmin(CAPACITY_FACTOR_MAX, s->trim));
}

/*
 * Computes the runs a second that arrive at each service with the present
 * shares: of root requests, and of what these call, level by level.
 */
static void
compute_runs(const struct throttle *t, double *runs_per_s)
{
	double level[THROTTLE_SERVICES], next[THROTTLE_SERVICES];
	const struct throttle_service *s;
	double total = 1;
	uint32_t i, k, depth;

	for (i = 0; i < t->count; i++) {
		level[i] = 0;
		for (k = 0; k < THROTTLE_CLASSES; k++)
			level[i] +=
			    t->services[i].demand[k] * t->services[i].share[k];
		runs_per_s[i] = level[i];
	}
	for (depth = 0; depth < CALL_DEPTH_MAX && total > 0; depth++) {
		memset(next, 0, sizeof(next));
		for (i = 0; i < t->count; i++) {
			s = &t->services[i];
			for (k = 0; k < s->call_count; k++)
				next[s->calls[k].service] +=
				    level[i] * s->calls[k].per_run;
		}
		for (total = 0, i = 0; i < t->count; i++) {
			level[i] = next[i];
			runs_per_s[i] += next[i];
			total += next[i];
		}
	}
}

/*
 * Computes what a root request at each service brings to one of them, and
 * what arrives there by class.
 */
static void
compute_arrivals(const struct throttle *t, int service, struct arrivals *a)
{
	double level[THROTTLE_SERVICES] = { 0 }, next[THROTTLE_SERVICES];
	const struct throttle_service *s;
	double total = 1;
	uint32_t i, k, depth;

	memset(a, 0, sizeof(*a));
	level[service] = 1;
	a->runs_per_root[service] = 1;
	for (depth = 0; depth < CALL_DEPTH_MAX && total > 0; depth++) {
		for (total = 0, i = 0; i < t->count; i++) {
			s = &t->services[i];
			for (next[i] = 0, k = 0; k < s->call_count; k++)
				next[i] += s->calls[k].per_run *
					   level[s->calls[k].service];
			total += next[i];
		}
		for (i = 0; i < t->count; i++) {
			level[i] = next[i];
			a->runs_per_root[i] += next[i];
		}
	}
	for (i = 0; i < t->count; i++) {
		s = &t->services[i];
		if (a->runs_per_root[i] < REACHED_RUNS_PER_ROOT)
			continue;
		for (k = 0; k < THROTTLE_CLASSES; k++) {
			a->roots_per_s[k] += s->demand[k] * s->share[k];
			a->runs_per_s[k] +=
			    s->demand[k] * s->share[k] * a->runs_per_root[i];
		}
	}
}

/*
 * Computes which share of each class fits into so many runs a second: the
 * important ones first, and of each at least the floor.
 */
static void
compute_class_shares(const struct arrivals *a, double runs_per_s,
    double share_floor, double *share)
{
	double remaining = runs_per_s, extra;
	uint32_t k;

	for (k = 0; k < THROTTLE_CLASSES; k++)
		remaining -= share_floor * a->runs_per_s[k];
	for (k = 0; k < THROTTLE_CLASSES; k++) {
		extra = (1 - share_floor) * a->runs_per_s[k];
		share[k] = 1;
		if (remaining <= 0)
			share[k] = share_floor;
		else if (extra > remaining)
			share[k] =
			    share_floor + (1 - share_floor) * remaining / extra;
		remaining -= extra;
	}
}

/*
 * Cuts the classes whose trees reach a service, so that what arrives there
 * fits.  No class starves beside the others: each gets at least a part of the
 * mean share.
 */
static void
limit_service(struct throttle *t, int service)
{
	struct throttle_service *s = &t->services[service];
	double share[THROTTLE_CLASSES], share_floor = SHARE_FLOOR_MAX, roots,
					admitted;
	struct arrivals a;
	uint32_t i, k, round;

	compute_arrivals(t, service, &a);
	for (round = 0; round < SHARE_FLOOR_ROUNDS; round++) {
		compute_class_shares(
		    &a, max_runs_per_s(t, s), share_floor, share);
		for (roots = admitted = 0, k = 0; k < THROTTLE_CLASSES; k++) {
			roots += a.roots_per_s[k];
			admitted += a.roots_per_s[k] * share[k];
		}
		if (roots <= 0)
			return;
		share_floor = fmax(SHARE_FLOOR_MIN,
		    fmin(SHARE_FLOOR_MAX,
			SHARE_FLOOR_OF_MEAN * admitted / roots));
	}
	s->limits = 1;
	memcpy(s->cut, share, sizeof(s->cut));
	for (i = 0; i < t->count; i++)
		for (k = 0; a.runs_per_root[i] >= REACHED_RUNS_PER_ROOT &&
			    k < THROTTLE_CLASSES;
		     k++)
			t->services[i].share[k] *= share[k];
}

/*
 * Lets in only a few of the roots that need a service that has lost all its
 * servers: they would be run for nothing.  Those few show when it is back.
 */
static void
restrict_roots(struct throttle *t, int service)
{
	struct throttle_service *s = &t->services[service];
	struct arrivals a;
	uint32_t i, k;

	compute_arrivals(t, service, &a);
	s->limits = 1;
	for (k = 0; k < THROTTLE_CLASSES; k++)
		s->cut[k] = SHARE_FLOOR_MIN;
	for (i = 0; i < t->count; i++)
		for (k = 0; (int)i != service &&
			    a.runs_per_root[i] >= REQUIRED_RUNS_PER_ROOT &&
			    k < THROTTLE_CLASSES;
		     k++)
			t->services[i].share[k] *= SHARE_FLOOR_MIN;
}

/*
 * Returns the service whose servers are most overloaded by what arrives with
 * the present shares, of those not yet done; -1 if there is none.
 */
static int
most_overloaded(struct throttle *t, const int *done)
{
	double runs_per_s[THROTTLE_SERVICES], overload, highest = 1;
	uint32_t i;
	int service = -1;

	compute_runs(t, runs_per_s);
	for (i = 0; i < t->count; i++) {
		if (done[i] || t->services[i].runs_per_s <= 0)
			continue;
		t->services[i].expected =
		    runs_per_s[i] / t->services[i].runs_per_s;
		overload = runs_per_s[i] / max_runs_per_s(t, &t->services[i]);
		if (overload <= highest)
			continue;
		highest = overload;
		service = (int)i;
	}
	return service;
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
	int service;

	for (i = 0; i < t->count; i++) {
		s = &t->services[i];
		if (s->slots > 0) {
			s->offered /= s->slots;
			adjust_capacity_factor(s, throttle_target(t), seconds);
		}
		s->limits = 0;
		for (k = 0; k < THROTTLE_CLASSES; k++)
			s->share[k] = 1;
	}
	for (i = 0; i < t->count; i++)
		if (t->services[i].had_servers && !t->services[i].keep_open)
			restrict_roots(t, (int)i);
	while ((service = most_overloaded(t, done)) >= 0) {
		done[service] = 1;
		limit_service(t, service);
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
