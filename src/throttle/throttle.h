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
#define THROTTLE_ROUTES_MAX 256 /* rows of single routes, of all services */
#define THROTTLE_ROWS_MAX (THROTTLE_SERVICES_MAX + THROTTLE_ROUTES_MAX)
#define THROTTLE_CLASSES 4
#define THROTTLE_CALLS_MAX 8 /* recorded callees of one row */

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

/* Measured calls of the runs of one row to another. */
struct throttle_call {
	int row;	      /* handle of the callee */
	double calls_per_run; /* mean calls per run of the caller */
};

/*
 * Runs of a service: those of one route, or all of them.  The handle of the row
 * of all runs is the handle of the service.  It stands for the routes that
 * have no row of their own or couldn't be measured.
 */
struct throttle_row {
	int service;	/* handle; -1: unused row */
	uint32_t route; /* id of the route; 0: all runs of the service */
	int measured;	/* 1: its calls are known */
	double asked_s; /* time in seconds with demand */
	/* Root requests of this node's callers, up to some number. */
	uint32_t request_count;
	double cost; /* mean run time, relative to all runs of the service */
	int cost_known;
	double demand[THROTTLE_CLASSES];	 /* requested roots a second */
	double admitted_share[THROTTLE_CLASSES]; /* of its root requests */
	struct throttle_call calls[THROTTLE_CALLS_MAX];
	uint32_t call_count;
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
	double slots;		    /* of all its servers */
	double capacity_runs_per_s; /* capacity with all usable slots in use */
	/* Lowest failure share of its servers in the previous update. */
	double lowest_failure_share;
	/* Lowest failure share of the servers added in the current update. */
	double next_lowest_failure_share;
	double offered_load;	/* measured load, as a share of the slots */
	double capacity_factor; /* correction factor of the capacity */
	int is_limiting;	/* 1: its load reduces admitted shares */
	int had_server;		/* 1: at least one server was ever added */
	int assumed_reachable;	/* 1: a server is known or assumed to exist */
	/* Load before its own limit applies, as a share of the capacity. */
	double expected_load;
	/* Share of the root requests that its own limit admits. */
	double own_admitted_share[THROTTLE_CLASSES];
	double limiting_s; /* time in seconds at or above its limit */
};

/* Returns 1 if a route still exists, else 0. */
typedef int (*throttle_route_fn)(void *, uint32_t);

struct throttle {
	struct throttle_service services[THROTTLE_SERVICES_MAX];
	uint32_t count;
	/* The rows of all runs, by service, then those of single routes. */
	struct throttle_row rows[THROTTLE_ROWS_MAX];
	uint32_t row_end;     /* all rows in use are below */
	double chained_share; /* share of calls that belong to a known chain */
};

void throttle_init(struct throttle *);
int throttle_service(struct throttle *, const char *);
int throttle_find_row(struct throttle *, int, uint32_t);
int throttle_is_row(const struct throttle *, int, int, uint32_t);
void throttle_forget_routes(struct throttle *, throttle_route_fn, void *);
void throttle_record_calls(struct throttle *, int, int, double);
void throttle_record_route(struct throttle *, int, double);
void throttle_record_chained(struct throttle *, double);
double throttle_target_load(const struct throttle *);
void throttle_begin_update(struct throttle *);
void throttle_add_demand(struct throttle *, int, uint32_t, double);
void throttle_server(struct throttle *, int, const struct throttle_server *);
void throttle_assume_reachable(struct throttle *, int);
void throttle_update_shares(struct throttle *, double);
double throttle_admitted_share(const struct throttle *, int, uint32_t);

#endif
