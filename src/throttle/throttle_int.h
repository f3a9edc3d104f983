#ifndef THROTTLE_THROTTLE_INT_H
#define THROTTLE_THROTTLE_INT_H

#include "throttle/throttle.h"

/* Arrivals at one service. */
struct arrivals {
	/* By row of the root request. */
	double runs_per_root[THROTTLE_ROWS_MAX];
	/* The same, in mean runs of the service. */
	double work_per_root[THROTTLE_ROWS_MAX];
	double work_per_s[THROTTLE_CLASSES];  /* in mean runs, by class */
	double roots_per_s[THROTTLE_CLASSES]; /* whose trees reach it */
};

int throttle_reaches(const struct arrivals *, uint32_t);
void throttle_count_asked(struct throttle *, double);
void throttle_compute_work(const struct throttle *, double *);
void throttle_compute_arrivals(const struct throttle *, int, struct arrivals *);

#endif
