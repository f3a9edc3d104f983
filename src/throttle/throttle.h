#ifndef THROTTLE_THROTTLE_H
#define THROTTLE_THROTTLE_H

#include <stddef.h>
#include <stdint.h>

/*
 * Decides at the entry how many root requests are let in, by the most loaded
 * service that their trees of calls reach: a call that is refused deep in a
 * tree wastes all that was done above it.  What would arrive at each service
 * is computed from what callers ask of all nodes and from the calls that a
 * run makes, so that a surge is met before it shows deep in the trees.  Pure:
 * no clock, no lock.
 */

#define THROTTLE_NAME_BYTES 64
#define THROTTLE_SERVICES 128
#define THROTTLE_CLASSES 4
#define THROTTLE_CALLS 8 /* services that one service calls */

/*
 * Work that may arrive at a service, as a share of its slots.  Where calls
 * can't be told from each other, a refused one fails any root, so that less
 * than fits must come.  Where exits refuse the calls of a chain alike and the
 * least important first, more than fits may come, which fills the slots; the
 * more, the more is wasted that was done before a call is refused.
 */
#define THROTTLE_TARGET 0.93
#define THROTTLE_TARGET_CHAINED 1.2

/* What a service was seen to call, for each request that it ran. */
struct throttle_call {
	int service; /* handle */
	double per_run;
};

/* A server, as it was measured. */
struct throttle_server {
	double slots;
	double run_s;	/* for which a run takes a slot; 0: not known */
	double offered; /* work that arrives, as a share of the slots */
	double failing; /* share of its runs */
};

/* A service: who asks for it, what it can do, and what is let in. */
struct throttle_service {
	char name[THROTTLE_NAME_BYTES];
	double demand[THROTTLE_CLASSES]; /* root requests a second */
	double slots;			 /* of all its servers */
	double runs_per_s;   /* with all slots in use that are of use */
	double soundest;     /* least share of runs that fail at a server */
	double soundest_now; /* the same, of the servers added so far */
	double offered; /* work that was measured, as a share of the slots */
	double trim;	/* corrects runs_per_s by what was measured */
	double share[THROTTLE_CLASSES]; /* of root requests that is let in */
	int limits;			/* its load cuts shares */
	int had_servers;		/* once */
	int keep_open;	 /* roots aren't closed for its want of servers */
	double expected; /* work with nothing cut here, to the slots */
	double cut[THROTTLE_CLASSES]; /* share that is let in for its sake */
	double bound_s; /* for how long it has been at its limit */
	struct throttle_call calls[THROTTLE_CALLS];
	uint32_t call_count;
};

struct throttle {
	struct throttle_service services[THROTTLE_SERVICES];
	uint32_t count;
	double chained; /* share of calls that rank with their root request */
};

void throttle_init(struct throttle *);
int throttle_service(struct throttle *, const char *);
void throttle_calls(struct throttle *, int, int, double);
void throttle_chained(struct throttle *, double);
double throttle_target(const struct throttle *);
void throttle_begin(struct throttle *);
void throttle_demand(struct throttle *, int, uint32_t, double);
void throttle_server(struct throttle *, int, const struct throttle_server *);
void throttle_keep_open(struct throttle *, int);
void throttle_step(struct throttle *, double);
double throttle_share(const struct throttle *, int, uint32_t);

#endif
