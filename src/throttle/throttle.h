#ifndef THROTTLE_THROTTLE_H
#define THROTTLE_THROTTLE_H

#include <stddef.h>
#include <stdint.h>

/*
 * Decides at the entry how many root requests are let in, by the most loaded
 * service that their trees of calls reach: a call that is refused deep in a
 * tree wastes all that was done above it.  Pure: no clock, no lock.
 */

#define THROTTLE_NAME_BYTES 64
#define THROTTLE_SERVICES 64
#define THROTTLE_CLASSES 4
#define THROTTLE_CALLS 8 /* services that one service calls */

/* What a service was seen to call, for each request that it ran. */
struct throttle_call {
	int service; /* handle */
	double per_run;
};

/* A service, how loaded it is and how strongly it is protected. */
struct throttle_service {
	char name[THROTTLE_NAME_BYTES];
	double offered; /* work that arrives, as a share of all slots */
	int known;	/* a load was told since the last step */
	double mix[THROTTLE_CLASSES]; /* decaying, of arrivals by class */
	double floor; /* least share of a class that is let in */
	double cut;   /* 0: all are let in; a unit for each class */
	struct throttle_call calls[THROTTLE_CALLS];
	uint32_t call_count;
	uint32_t reach_done; /* marks of the walk over the tree */
};

struct throttle {
	struct throttle_service services[THROTTLE_SERVICES];
	uint32_t count;
	uint32_t walk;
};

void throttle_init(struct throttle *);
int throttle_service(struct throttle *, const char *);
void throttle_calls(struct throttle *, int, int, double);
void throttle_offered(struct throttle *, int, double);
void throttle_step(struct throttle *, double);
double throttle_share(struct throttle *, int, uint32_t);
double throttle_class_share(double, uint32_t, double);

#endif
