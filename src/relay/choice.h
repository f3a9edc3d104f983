#ifndef RELAY_CHOICE_H
#define RELAY_CHOICE_H

#include <stddef.h>
#include <stdint.h>

/*
 * Selection of the server for a request.  The functions use no clock and no
 * lock.
 */

/* A candidate server. */
struct choice {
	double load;	      /* outstanding requests per slot */
	double failure_share; /* recent share of failed attempts */
	int handle;	      /* of the server's node */
	int same_zone;	      /* in the same zone as this node */
	int recently_started; /* recently started, still slow */
	int unreachable;      /* node was recently unreachable */
};

/* Failure statistics of a server. */
struct choice_health {
	double failure_share; /* share of failed attempts at updated_ms */
	uint64_t updated_ms;
};

double choice_failure_share(const struct choice_health *, uint64_t);
void choice_record_attempt(struct choice_health *, int, uint64_t);
double choice_cost(const struct choice *, double);
int choice_best(const struct choice *, size_t, uint64_t);

#endif
