#ifndef THROTTLE_PROFILE_H
#define THROTTLE_PROFILE_H

#include <stdint.h>

/*
 * What a run at one server costs: the time that it holds a slot, and the
 * calls that it makes.  Pure: no clock, no lock.
 */

#define PROFILE_NAME_BYTES 64
#define PROFILE_CALLS 8

struct profile_call {
	char service[PROFILE_NAME_BYTES];
	double count; /* decaying */
	double usual; /* for each run, as seen before calls were refused */
	int tied;     /* calls count only if their run is known */
};

struct profile {
	struct profile_call calls[PROFILE_CALLS];
	uint32_t call_count;
	double runs;	/* decaying, as are the calls */
	double refused; /* decaying share of calls, for want of room */
	double chained; /* decaying share of calls whose run is known */
	double held_s;	/* decaying sum of the time that slots were held */
	double ended;	/* decaying number of runs that ended */
};

void profile_init(struct profile *);
void profile_begin(struct profile *);
void profile_end(struct profile *);
void profile_called(struct profile *, const char *, int);
void profile_call_ended(struct profile *, int);
void profile_age(struct profile *, uint32_t, double);
double profile_run_s(const struct profile *);
double profile_per_run(const struct profile *, uint32_t);
int profile_known(const struct profile *);

#endif
