#ifndef THROTTLE_PROFILE_H
#define THROTTLE_PROFILE_H

#include <stdint.h>

/*
 * Measured cost of a run at one server: the time for which it holds a slot and
 * the calls that it makes.  No function reads a clock or takes a lock.
 */

#define PROFILE_NAME_BYTES 64
#define PROFILE_CALLS_MAX 8

/* Calls of the server to one service. */
struct profile_call {
	char service[PROFILE_NAME_BYTES];
	double count;	      /* decaying sum of calls */
	double usual_per_run; /* calls per run before calls were refused */
	int only_known_runs;  /* 1: only calls of known runs count */
};

struct profile {
	struct profile_call calls[PROFILE_CALLS_MAX];
	uint32_t call_count;
	double runs;	      /* decaying number of runs */
	double refused_share; /* decaying share of refused calls */
	double chained_share; /* decaying share of calls of known runs */
	double slot_s;	      /* decaying sum of slot holding times */
	double ended_runs;    /* decaying number of ended runs */
};

void profile_init(struct profile *);
void profile_run_started(struct profile *);
void profile_run_ended(struct profile *);
void profile_call_started(struct profile *, const char *, int);
void profile_call_ended(struct profile *, int);
void profile_update(struct profile *, uint32_t, double);
double profile_mean_run_s(const struct profile *);
double profile_calls_per_run(const struct profile *, uint32_t);
int profile_calls_known(const struct profile *);

#endif
