#include <math.h>
#include <stdio.h>
#include <string.h>

#include "throttle/throttle_int.h"

/* Rate of the capacity correction, per unit of load error. */
#define CORRECTION_PER_S 0.7
/* Larger errors come from a surge, not from a wrong capacity. */
#define CORRECTION_ERROR_MAX 0.25
/* Time until a reduced share at the entry shows deep in a call tree. */
#define CORRECTION_DELAY_S 1.0
#define CAPACITY_FACTOR_MIN 0.5
#define CAPACITY_FACTOR_MAX 1.3
/* Decay of the correction while the service limits nothing. */
#define CORRECTION_DECAY_PER_S 0.2

/* Lowest admitted share of a class, as part of the mean over all classes. */
#define SHARE_FLOOR_OF_MEAN 0.32
#define SHARE_FLOOR_MIN 0.03
#define SHARE_FLOOR_MAX 0.22
/* Iterations until the floor and the mean share agree. */
#define SHARE_FLOOR_ROUNDS 4

/* Weight of the newest report in the mean share of chained calls. */
#define CHAINED_REPORT_WEIGHT 0.05
/* Capacity lost per unit of a server's excess failure share. */
#define AVOIDANCE_PER_FAILURE 3.0

/*
 * Runs per root request from which its tree is taken to require a service.
 * With fewer, admitting all root requests serves more than the failing ones
 * cost.
 */
#define REQUIRED_RUNS_PER_ROOT 0.75

static void compute_class_shares(
    const struct arrivals *, double, double, double *);
static void limit_service(struct throttle *, int);
static void restrict_roots(struct throttle *, int);
static void adjust_capacity_factor(struct throttle_service *, double, double);
static int most_overloaded(struct throttle *, const int *);
static double max_runs_per_s(
    const struct throttle *, const struct throttle_service *);

/*
 * Initializes a throttle without services.
 */
void
throttle_init(struct throttle *t)
{
	uint32_t i;

	memset(t, 0, sizeof(*t));
	for (i = 0; i < THROTTLE_ROWS_MAX; i++)
		t->rows[i].service = -1;
}

/*
 * Returns the handle of a service, adding it if it is new, or -1 if the table
 * is full.
 */
int
throttle_service(struct throttle *t, const char *name)
{
	struct throttle_service *s;
	uint32_t i;

	for (i = 0; i < t->count; i++)
		if (strcmp(t->services[i].name, name) == 0)
			return (int)i;
	if (t->count == THROTTLE_SERVICES_MAX)
		return -1;
	s = &t->services[t->count++];
	memset(s, 0, sizeof(*s));
	snprintf(s->name, THROTTLE_NAME_BYTES, "%s", name);
	s->capacity_factor = 1;
	(void)throttle_find_row(t, (int)i, 0);
	return (int)i;
}

/*
 * Records a server's report of the share of its calls that belong to a known
 * chain.  The reports of all calling servers are averaged.
 */
void
throttle_record_chained(struct throttle *t, double share)
{
	t->chained_share += CHAINED_REPORT_WEIGHT * (share - t->chained_share);
}

/*
 * Returns the target load of a service, as a share of its slots.
 */
double
throttle_target_load(const struct throttle *t)
{
	return THROTTLE_TARGET_LOAD +
	       (THROTTLE_TARGET_LOAD_CHAINED - THROTTLE_TARGET_LOAD) *
		   t->chained_share;
}

/*
 * Begins an update: clears the demand and the servers, which the caller then
 * adds anew.
 */
void
throttle_begin_update(struct throttle *t)
{
	struct throttle_service *s;
	uint32_t i;

	for (i = 0; i < t->count; i++) {
		s = &t->services[i];
		s->slots = 0;
		s->capacity_runs_per_s = 0;
		s->offered_load = 0;
		s->lowest_failure_share = s->next_lowest_failure_share;
		s->next_lowest_failure_share = 1;
		s->assumed_reachable = 0;
	}
	for (i = 0; i < t->row_end; i++)
		memset(t->rows[i].demand, 0, sizeof(t->rows[i].demand));
}

/*
 * Adds the root requests per second of a row and class that callers send to one
 * node, admitted or not.
 */
void
throttle_add_demand(struct throttle *t, int row, uint32_t class, double per_s)
{
	t->rows[row].demand[class] += per_s;
}

/*
 * Adds a server.  Routing sends fewer runs to a server whose failure share is
 * above the lowest of its service, so its capacity counts less.
 */
void
throttle_server(
    struct throttle *t, int service, const struct throttle_server *server)
{
	struct throttle_service *s = &t->services[service];
	double excess =
	    fmax(0, server->failure_share - s->lowest_failure_share);

	s->had_server = s->assumed_reachable = 1;
	s->slots += server->slots;
	s->offered_load += server->offered_load * server->slots;
	s->next_lowest_failure_share =
	    fmin(s->next_lowest_failure_share, server->failure_share);
	if (server->mean_run_s > 0)
		s->capacity_runs_per_s +=
		    server->slots / server->mean_run_s *
		    fmax(0, 1 - AVOIDANCE_PER_FAILURE * excess);
}

/*
 * Keeps admitting root requests that require a service without a known server:
 * other nodes know one, or no request is sent there.
 */
void
throttle_assume_reachable(struct throttle *t, int service)
{
	t->services[service].assumed_reachable = 1;
}

/*
 * Returns the runs per second to admit at most at a service; 0 if its capacity
 * is unknown.
 */
static double
max_runs_per_s(const struct throttle *t, const struct throttle_service *s)
{
	return throttle_target_load(t) * s->capacity_factor *
	       s->capacity_runs_per_s;
}

/*
 * Corrects the estimated capacity of a service by the load measured while the
 * service was the limit.
 */
static void
adjust_capacity_factor(
    struct throttle_service *s, double target, double seconds)
{
	double error = fmax(-CORRECTION_ERROR_MAX,
	    fmin(CORRECTION_ERROR_MAX, s->offered_load / target - 1));

	if (s->is_limiting || error > 0) {
		s->limiting_s += seconds;
		if (s->limiting_s > CORRECTION_DELAY_S)
			s->capacity_factor *=
			    exp(-CORRECTION_PER_S * error * seconds);
	} else {
		s->limiting_s = 0;
		s->capacity_factor +=
		    (1 - s->capacity_factor) * CORRECTION_DECAY_PER_S * seconds;
	}
	s->capacity_factor = fmax(
	    CAPACITY_FACTOR_MIN, fmin(CAPACITY_FACTOR_MAX, s->capacity_factor));
}

/*
 * Computes the share of each class that fits into the given mean runs a second.
 * Each class gets at least the floor; the rest goes to the most important
 * classes first.
 */
static void
compute_class_shares(const struct arrivals *a, double runs_per_s,
    double share_floor, double *share)
{
	double remaining = runs_per_s, extra;
	uint32_t k;

	for (k = 0; k < THROTTLE_CLASSES; k++)
		remaining -= share_floor * a->work_per_s[k];
	for (k = 0; k < THROTTLE_CLASSES; k++) {
		extra = (1 - share_floor) * a->work_per_s[k];
		share[k] = 1;
		if (remaining <= 0)
			share[k] = share_floor;
		else if (extra > remaining)
			share[k] =
			    share_floor + (1 - share_floor) * remaining / extra;
		remaining -= extra;
	}
}

/*
 * Reduces the shares of the classes whose trees reach a service until its
 * arrivals fit.  A floor derived from the mean share prevents the starvation
 * of any class.
 */
static void
limit_service(struct throttle *t, int service)
{
	struct throttle_service *s = &t->services[service];
	double share[THROTTLE_CLASSES], share_floor = SHARE_FLOOR_MAX, roots,
					admitted;
	struct arrivals a;
	uint32_t i, k, round;

	throttle_compute_arrivals(t, service, &a);
	for (round = 0; round < SHARE_FLOOR_ROUNDS; round++) {
		compute_class_shares(
		    &a, max_runs_per_s(t, s), share_floor, share);
		for (roots = admitted = 0, k = 0; k < THROTTLE_CLASSES; k++) {
			roots += a.roots_per_s[k];
			admitted += a.roots_per_s[k] * share[k];
		}
		if (roots <= 0)
			return;
		share_floor = fmax(SHARE_FLOOR_MIN,
		    fmin(SHARE_FLOOR_MAX,
			SHARE_FLOOR_OF_MEAN * admitted / roots));
	}
	s->is_limiting = 1;
	memcpy(s->own_admitted_share, share, sizeof(s->own_admitted_share));
	for (i = 0; i < t->row_end; i++)
		for (k = 0; throttle_reaches(&a, i) && k < THROTTLE_CLASSES;
		     k++)
			t->rows[i].admitted_share[k] *= share[k];
}

/*
 * Reduces root requests that require a service without servers to a minimum,
 * because they would fail after other work was done.  The remaining few show
 * when the service is back.
 */
static void
restrict_roots(struct throttle *t, int service)
{
	struct throttle_service *s = &t->services[service];
	struct arrivals a;
	uint32_t i, k;

	throttle_compute_arrivals(t, service, &a);
	s->is_limiting = 1;
	for (k = 0; k < THROTTLE_CLASSES; k++)
		s->own_admitted_share[k] = SHARE_FLOOR_MIN;
	for (i = 0; i < t->row_end; i++)
		for (k = 0; t->rows[i].service != service &&
			    a.runs_per_root[i] >= REQUIRED_RUNS_PER_ROOT &&
			    k < THROTTLE_CLASSES;
		     k++)
			t->rows[i].admitted_share[k] *= SHARE_FLOOR_MIN;
}

/*
 * Returns the service with the highest ratio of arrivals to admissible runs
 * among those not yet done, or -1 if none is overloaded.  Updates the expected
 * load of each.
 */
static int
most_overloaded(struct throttle *t, const int *done)
{
	double work_per_s[THROTTLE_SERVICES_MAX], overload, highest = 1;
	uint32_t i;
	int service = -1;

	throttle_compute_work(t, work_per_s);
	for (i = 0; i < t->count; i++) {
		if (done[i] || t->services[i].capacity_runs_per_s <= 0)
			continue;
		t->services[i].expected_load =
		    work_per_s[i] / t->services[i].capacity_runs_per_s;
		overload = work_per_s[i] / max_runs_per_s(t, &t->services[i]);
		if (overload <= highest)
			continue;
		highest = overload;
		service = (int)i;
	}
	return service;
}

/*
 * Recomputes all shares.  The previous update was the given seconds ago.
 */
void
throttle_update_shares(struct throttle *t, double seconds)
{
	int done[THROTTLE_SERVICES_MAX] = { 0 };
	struct throttle_service *s;
	uint32_t i, k;
	int service;

	for (i = 0; i < t->count; i++) {
		s = &t->services[i];
		if (s->slots > 0) {
			s->offered_load /= s->slots;
			adjust_capacity_factor(
			    s, throttle_target_load(t), seconds);
		}
		s->is_limiting = 0;
	}
	for (i = 0; i < t->row_end; i++)
		for (k = 0; k < THROTTLE_CLASSES; k++)
			t->rows[i].admitted_share[k] = 1;
	throttle_count_asked(t, seconds);
	for (i = 0; i < t->count; i++)
		if (t->services[i].had_server &&
		    !t->services[i].assumed_reachable)
			restrict_roots(t, (int)i);
	while ((service = most_overloaded(t, done)) >= 0) {
		done[service] = 1;
		limit_service(t, service);
	}
}

/*
 * Returns the admitted share of a class of root requests of a row.
 */
double
throttle_admitted_share(const struct throttle *t, int row, uint32_t class)
{
	return t->rows[row].admitted_share[class];
}
