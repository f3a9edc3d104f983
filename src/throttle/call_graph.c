#include <string.h>

#include "throttle/throttle_int.h"

/* Runs per root request from which its tree counts as reaching a service. */
#define REACHED_RUNS_PER_ROOT 0.05
/* Weight of the newest report in the mean calls and costs of a row. */
#define REPORT_WEIGHT 0.2
/* A call made less often per run may give its place to another. */
#define CALLS_PER_RUN_MIN 0.005
/*
 * Time for which the root requests of a route that isn't measured are taken to
 * make no calls: with fewer admitted, it would hardly get measured.
 */
#define UNMEASURED_S 3.0
/* Levels of a call tree that are followed; ends cycles. */
#define CALL_DEPTH_MAX 20

static const struct throttle_row *calling_row(
    const struct throttle *, uint32_t);
static struct throttle_call *find_call(struct throttle_row *, int, int *);
static void sum_over_trees(const struct throttle *, const double *, double *);

/*
 * Returns the handle of the row of a route's runs at a service, adding it if it
 * is new.  With route 0, or if the table is full, that is the row of all runs
 * of the service.
 */
int
throttle_find_row(struct throttle *t, int service, uint32_t route)
{
	int i, row = service;

	for (i = THROTTLE_SERVICES_MAX; route != 0 && i < THROTTLE_ROWS_MAX;
	     i++) {
		if (throttle_is_row(t, i, service, route))
			return i;
		if (row == service && t->rows[i].service < 0)
			row = i;
		if (i >= (int)t->row_end)
			break;
	}
	if (t->rows[row].service >= 0)
		return row;
	memset(&t->rows[row], 0, sizeof(t->rows[row]));
	t->rows[row].service = service;
	t->rows[row].route = row == service ? 0 : route;
	t->rows[row].cost = 1;
	for (i = 0; i < THROTTLE_CLASSES; i++)
		t->rows[row].admitted_share[i] = 1;
	if (row >= (int)t->row_end)
		t->row_end = (uint32_t)row + 1;
	return row;
}

/*
 * Returns 1 if a handle is that of the given route's runs at a service.
 */
int
throttle_is_row(const struct throttle *t, int row, int service, uint32_t route)
{
	return t->rows[row].service == service && t->rows[row].route == route;
}

/*
 * Frees the rows of routes that no longer exist.  Their handles may then stand
 * for other routes.
 */
void
throttle_forget_routes(struct throttle *t, throttle_route_fn exists, void *ctx)
{
	struct throttle_row *r;
	uint32_t i, k;

	for (i = THROTTLE_SERVICES_MAX; i < t->row_end; i++)
		if (t->rows[i].service >= 0 && !exists(ctx, t->rows[i].route)) {
			memset(&t->rows[i], 0, sizeof(t->rows[i]));
			t->rows[i].service = -1;
		}
	for (i = 0; i < t->row_end; i++) {
		r = &t->rows[i];
		for (k = 0; k < r->call_count;)
			if (t->rows[r->calls[k].row].service < 0)
				r->calls[k] = r->calls[--r->call_count];
			else
				k++;
	}
}

/*
 * Returns the call of a row to another one, or NULL if there are too many.
 * Sets *is_new to 1 if the call wasn't known.
 */
static struct throttle_call *
find_call(struct throttle_row *r, int to, int *is_new)
{
	uint32_t i;

	*is_new = 0;
	for (i = 0; i < r->call_count; i++)
		if (r->calls[i].row == to)
			return &r->calls[i];
	*is_new = 1;
	if (r->call_count < THROTTLE_CALLS_MAX)
		return &r->calls[r->call_count++];
	for (i = 0; i < r->call_count; i++)
		if (r->calls[i].calls_per_run < CALLS_PER_RUN_MIN)
			return &r->calls[i];
	return NULL;
}

/*
 * Records a server's report of the calls that a run of row from makes to row
 * to.  The reports of all servers are averaged.
 */
void
throttle_record_calls(struct throttle *t, int from, int to, double per_run)
{
	struct throttle_call *c;
	int is_new;

	c = find_call(&t->rows[from], to, &is_new);
	if (c == NULL)
		return;
	if (is_new) {
		c->row = to;
		c->calls_per_run = per_run;
	}
	c->calls_per_run += REPORT_WEIGHT * (per_run - c->calls_per_run);
}

/*
 * Records that a server has measured the runs of a route, and their mean time
 * relative to that of all its runs; 0: unknown.  From then on the row counts
 * with its own calls.
 */
void
throttle_record_route(struct throttle *t, int row, double cost)
{
	struct throttle_row *r = &t->rows[row];

	r->measured = 1;
	if (cost <= 0)
		return;
	if (!r->cost_known)
		r->cost = cost;
	r->cost_known = 1;
	r->cost += REPORT_WEIGHT * (cost - r->cost);
}

/*
 * Counts the time in which each row had demand.
 */
void
throttle_count_asked(struct throttle *t, double seconds)
{
	struct throttle_row *r;
	double per_s;
	uint32_t i, k;

	for (i = THROTTLE_SERVICES_MAX; i < t->row_end; i++) {
		r = &t->rows[i];
		for (per_s = 0, k = 0; k < THROTTLE_CLASSES; k++)
			per_s += r->demand[k];
		if (per_s > 0)
			r->asked_s += seconds;
	}
}

/*
 * Returns the row whose calls count for a row: its own, or those of all runs of
 * the service if its own couldn't be measured.
 */
static const struct throttle_row *
calling_row(const struct throttle *t, uint32_t row)
{
	const struct throttle_row *r = &t->rows[row];

	if (r->service < 0 || r->route == 0 || r->measured ||
	    r->asked_s < UNMEASURED_S)
		return r;
	return &t->rows[r->service];
}

/*
 * Computes the work that arrives at each service with the present shares, in
 * mean runs a second: root requests and, level by level, the calls that they
 * cause.
 */
void
throttle_compute_work(const struct throttle *t, double *work_per_s)
{
	double level[THROTTLE_ROWS_MAX], next[THROTTLE_ROWS_MAX];
	const struct throttle_row *r;
	double total = 1;
	uint32_t i, k, depth;

	memset(work_per_s, 0, t->count * sizeof(*work_per_s));
	for (i = 0; i < t->row_end; i++) {
		r = &t->rows[i];
		level[i] = 0;
		for (k = 0; r->service >= 0 && k < THROTTLE_CLASSES; k++)
			level[i] += r->demand[k] * r->admitted_share[k];
		if (r->service >= 0)
			work_per_s[r->service] += level[i] * r->cost;
	}
	for (depth = 0; depth < CALL_DEPTH_MAX && total > 0; depth++) {
		memset(next, 0, t->row_end * sizeof(*next));
		for (i = 0; i < t->row_end; i++) {
			if (level[i] <= 0)
				continue;
			r = calling_row(t, i);
			for (k = 0; k < r->call_count; k++)
				next[r->calls[k].row] +=
				    level[i] * r->calls[k].calls_per_run;
		}
		for (total = 0, i = 0; i < t->row_end; i++) {
			level[i] = next[i];
			total += next[i];
			if (next[i] > 0)
				work_per_s[t->rows[i].service] +=
				    next[i] * t->rows[i].cost;
		}
	}
}

/*
 * Adds to sum, by row, what one root request causes at rows with the given
 * values.
 */
static void
sum_over_trees(const struct throttle *t, const double *value, double *sum)
{
	double level[THROTTLE_ROWS_MAX], next[THROTTLE_ROWS_MAX], total = 1;
	const struct throttle_row *r;
	uint32_t i, k, depth;

	for (i = 0; i < t->row_end; i++)
		sum[i] = level[i] = value[i];
	for (depth = 0; depth < CALL_DEPTH_MAX && total > 0; depth++) {
		for (total = 0, i = 0; i < t->row_end; i++) {
			r = calling_row(t, i);
			for (next[i] = 0, k = 0; k < r->call_count; k++)
				next[i] += r->calls[k].calls_per_run *
					   level[r->calls[k].row];
			total += next[i];
		}
		for (i = 0; i < t->row_end; i++) {
			level[i] = next[i];
			sum[i] += next[i];
		}
	}
}

/*
 * Returns 1 if the trees of a row's root requests reach the service for which
 * the arrivals were computed.
 */
int
throttle_reaches(const struct arrivals *a, uint32_t row)
{
	return a->runs_per_root[row] >= REACHED_RUNS_PER_ROOT;
}

/*
 * Computes what one root request of each row causes at the given service, and
 * the arrivals there by class.
 */
void
throttle_compute_arrivals(
    const struct throttle *t, int service, struct arrivals *a)
{
	double runs[THROTTLE_ROWS_MAX] = { 0 }, work[THROTTLE_ROWS_MAX] = { 0 };
	double per_s;
	const struct throttle_row *r;
	uint32_t i, k;

	memset(a, 0, sizeof(*a));
	for (i = 0; i < t->row_end; i++) {
		runs[i] = t->rows[i].service == service;
		work[i] = runs[i] * t->rows[i].cost;
	}
	sum_over_trees(t, runs, a->runs_per_root);
	sum_over_trees(t, work, a->work_per_root);
	for (i = 0; i < t->row_end; i++) {
		r = &t->rows[i];
		if (r->service < 0 || !throttle_reaches(a, i))
			continue;
		for (k = 0; k < THROTTLE_CLASSES; k++) {
			per_s = r->demand[k] * r->admitted_share[k];
			a->roots_per_s[k] += per_s;
			a->work_per_s[k] += per_s * a->work_per_root[i];
		}
	}
}
