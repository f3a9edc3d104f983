#ifndef THROTTLE_PROFILE_H
#define THROTTLE_PROFILE_H

#include <stdint.h>

#include "throttle/throttle.h"

/*
 * Measured cost of a run at one server: the time for which it holds a slot and
 * the calls that it makes.  No function reads a clock or takes a lock.
 */

#define PROFILE_NAME_BYTES 64
#define PROFILE_CALLS_MAX 8
#define PROFILE_ROUTES_MAX 16 /* routes measured by themselves */

/* Calls of the server to one service. */
struct profile_call {
	char service[PROFILE_NAME_BYTES];
	uint32_t route; /* id of the route; 0: all routes to the service */
	double count;	/* decaying sum of calls */
	double usual_per_run; /* calls per run before calls were refused */
	int only_known_runs;  /* 1: only calls of known runs count */
};

struct profile {
	struct profile_call calls[PROFILE_CALLS_MAX];
	uint32_t call_count;
	double runs;	       /* decaying number of runs */
	double refused_share;  /* decaying share of refused calls */
	double chained_share;  /* decaying share of calls of known runs */
	double slot_s;	       /* decaying sum of slot holding times */
	double ended_runs;     /* decaying number of ended runs */
	double known_runs_min; /* for a reliable mean of calls per run */
};

/* The runs of one route. */
struct profile_route {
	uint32_t route;
	uint32_t held_slots; /* its runs in progress */
	double idle_s;	     /* since its last run ended */
	int reported;	     /* 1: other nodes were told of it */
	struct profile runs;
};

/* The runs at one server, all together and by route. */
struct profile_set {
	struct profile all;
	struct profile_route routes[PROFILE_ROUTES_MAX];
	uint32_t route_count;
};

void profile_init(struct profile *);
void profile_run_started(struct profile *);
void profile_run_ended(struct profile *);
void profile_call_started(struct profile *, const char *, uint32_t, int);
void profile_call_ended(struct profile *, int);
void profile_update(struct profile *, uint32_t, double);
double profile_slot_decay(const struct profile *, uint32_t, double);
void profile_update_decayed(struct profile *, uint32_t, double, double);
double profile_mean_run_s(const struct profile *);
double profile_calls_per_run(const struct profile *, uint32_t);
int profile_calls_known(const struct profile *);

void profile_set_init(struct profile_set *);
void profile_set_run_started(struct profile_set *, uint32_t);
void profile_set_run_ended(struct profile_set *, uint32_t);
void profile_set_call_started(
    struct profile_set *, uint32_t, const char *, uint32_t, int);
void profile_set_call_ended(struct profile_set *, uint32_t, int);
void profile_set_update(struct profile_set *, uint32_t, double);
double profile_set_cost(const struct profile_set *, uint32_t);
void profile_set_record(
    const struct profile_set *, uint32_t, struct throttle *, int);

#endif
