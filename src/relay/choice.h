#ifndef RELAY_CHOICE_H
#define RELAY_CHOICE_H

#include <stddef.h>
#include <stdint.h>

/*
 * Which server a request goes to.  Pure: no clock, no lock.
 */

/* A server that a request could go to. */
struct choice {
	double load;	/* outstanding work to slots */
	double failing; /* share of attempts */
	int handle;	/* of its node */
	int near;	/* same zone */
	int cold;	/* slow since just started */
	int avoid;	/* hasn't been reached lately */
};

/* What is known of a server's failures. */
struct choice_health {
	double failing; /* decaying share of attempts, when last noted */
	uint64_t at_ms;
};

double choice_failing(const struct choice_health *, uint64_t);
void choice_note(struct choice_health *, int, uint64_t);
double choice_cost(const struct choice *, double);
int choice_best(const struct choice *, size_t, uint64_t);

#endif
