#ifndef THROTTLE_THROTTLE_H
#define THROTTLE_THROTTLE_H

#include <stddef.h>
#include <stdint.h>

/*
 * Admission control for root requests at the entry.  The most overloaded
 * service in a call tree decides which share of its root requests is admitted,
 * because a call that is refused deep in a tree wastes the work done above it.
 * The arrivals at each service are computed from the demand at all nodes and
 * the measured calls per run, so the throttle reacts before a surge reaches
 * the deep services.  No function reads a clock or takes a lock.
 */

#define THROTTLE_NAME_BYTES 64
#define THROTTLE_SERVICES_MAX 128
#define THROTTLE_CLASSES 4
#define THROTTLE_CALLS_MAX 8 /* recorded callees of one service */

/*
 * Target load of a service: arriving work as a share of its slots.  Without
 * chains, exits can't tell which calls belong to one root request, and a
 * refused call may fail any root request.  The target then stays below
 * capacity.  With chains, exits refuse all calls of a chain alike, the least
 * important first.  A target above capacity then keeps the slots full, but the
 * higher it is, the more work is wasted before a call is refused.
 */
#define THROTTLE_TARGET_LOAD 0.93
#define THROTTLE_TARGET_LOAD_CHAINED 1.2

/* Measured calls of one service to another. */
struct throttle_call {
	int service;	      /* handle of the callee */
	double calls_per_run; /* mean calls per run of the caller */
};

/* Measured state of one server. */
struct throttle_server {
	double slots;
	double mean_run_s;    /* mean time a run holds a slot; 0: unknown */
	double offered_load;  /* arriving work, as a share of the slots */
	double failure_share; /* share of its runs that fail */
};

/* Demand, capacity and admitted shares of one service. */
struct throttle_service {
	char name[THROTTLE_NAME_BYTES];
	double demand[THROTTLE_CLASSES]; /* requested roots per second */
	double slots;			 /* of all its servers */
	double capacity_runs_per_s; /* capacity with all usable slots in use */
	/* Lowest failure share of its servers in the previous update. */
	double lowest_failure_share;
	/* Lowest failure share of the servers added in the current update. */
	double next_lowest_failure_share;
	double offered_load;	/* measured load, as a share of the slots */
	double capacity_factor; /* correction factor of the capacity */
	double admitted_share[THROTTLE_CLASSES]; /* of its root requests */
	int is_limiting;       /* 1: its load reduces admitted shares */
	int had_server;	       /* 1: at least one server was ever added */
	int assumed_reachable; /* 1: a server is known or assumed to exist */
	/* Load before its own limit applies, as a share of the capacity. */
	double expected_load;
	/* Share of the root requests that its own limit admits. */
	double own_admitted_share[THROTTLE_CLASSES];
	double limiting_s; /* time in seconds at or above its limit */
	struct throttle_call calls[THROTTLE_CALLS_MAX];
	uint32_t call_count;
};

struct throttle {
	struct throttle_service services[THROTTLE_SERVICES_MAX];
	uint32_t count;
	double chained_share; /* share of calls that belong to a known chain */
};

void throttle_init(struct throttle *);
int throttle_service(struct throttle *, const char *);
void throttle_record_calls(struct throttle *, int, int, double);
void throttle_record_chained(struct throttle *, double);
double throttle_target_load(const struct throttle *);
void throttle_begin_update(struct throttle *);
void throttle_add_demand(struct throttle *, int, uint32_t, double);
void throttle_server(struct throttle *, int, const struct throttle_server *);
void throttle_assume_reachable(struct throttle *, int);
void throttle_update_shares(struct throttle *, double);
double throttle_admitted_share(const struct throttle *, int, uint32_t);

#endif
