#include <math.h>
#include <stdio.h>
#include <string.h>

#include "throttle/demand.h"

#define RATE_TIME_CONSTANT_S 0.3 /* of the exponential averages */
/* A row whose rates and counts sum to less may be reused. */
#define IDLE_ROW_MAX 0.1

/*
 * Encoding of a rate for other nodes in one byte: 14 steps per doubling, with
 * an error of at most 2.6 %, from 0.004 to 19,000 per second.  Encoded in four
 * bytes, these rates made up half of the traffic between nodes.
 */
#define CODE_STEPS_PER_DOUBLING 14.0
#define CODE_UNIT_PER_S 0.0625 /* below it, steps are linear */
#define CODE_MAX 255.0

/*
 * Initializes a table without demand.
 */
void
demand_init(struct demand *d)
{
	memset(d, 0, sizeof(*d));
}

/*
 * Returns the row of a service and route, which may reuse an idle row.  If all
 * rows of routes are in use, that is the row of the service's other routes; if
 * there is none, NULL.
 */
struct demand_row *
demand_row(struct demand *d, const char *service, uint32_t route)
{
	struct demand_row *r, *free_row = NULL;
	uint32_t row_max = route != 0 ? DEMAND_ROUTES_MAX : DEMAND_ROWS_MAX;
	double requested;
	uint32_t i, k;

	for (i = 0; i < d->count; i++) {
		r = &d->rows[i];
		if (r->route == route && strcmp(r->service, service) == 0)
			return r;
		for (requested = 0, k = 0; k < THROTTLE_CLASSES; k++)
			requested += r->requested_per_s[k] +
				     r->counts[k].requested_count;
		if (requested < IDLE_ROW_MAX)
			free_row = r;
	}
	if (free_row == NULL) {
		if (d->count >= row_max)
			return route != 0 ? demand_row(d, service, 0) : NULL;
		free_row = &d->rows[d->count++];
	}
	memset(free_row, 0, sizeof(*free_row));
	snprintf(free_row->service, sizeof(free_row->service), "%s", service);
	free_row->route = route;
	return free_row;
}

/*
 * Updates an exponential average by the count of the last step.
 */
static void
update_rate(double *per_s, uint32_t count, double old_weight, double seconds)
{
	*per_s = *per_s * old_weight + count / seconds * (1 - old_weight);
}

/*
 * Ends a step of the given length: updates the rates and resets the counts.
 */
void
demand_update_rates(struct demand *d, double seconds)
{
	double old_weight = exp(-seconds / RATE_TIME_CONSTANT_S);
	struct demand_row *r;
	uint32_t i, k;

	for (i = 0; i < d->count; i++) {
		r = &d->rows[i];
		for (k = 0; k < THROTTLE_CLASSES; k++) {
			update_rate(&r->requested_per_s[k],
			    r->counts[k].requested_count, old_weight, seconds);
			update_rate(&r->admitted_per_s[k],
			    r->counts[k].admitted_count, old_weight, seconds);
			update_rate(&r->over_rate_per_s[k],
			    r->counts[k].over_rate_count, old_weight, seconds);
		}
		memset(r->counts, 0, sizeof(r->counts));
	}
}

/*
 * Returns the requests per second of a class that are within the rates of
 * their workspaces.
 */
double
demand_rate_per_s(const struct demand_row *r, uint32_t class)
{
	double within_share = 1;

	if (r->admitted_per_s[class] > 0)
		within_share -= fmin(
		    1, r->over_rate_per_s[class] / r->admitted_per_s[class]);
	return r->requested_per_s[class] * within_share;
}

/*
 * Encodes a rate per second as a byte.
 */
uint8_t
demand_encode_rate(double per_s)
{
	return (uint8_t)fmin(
	    CODE_MAX, round(CODE_STEPS_PER_DOUBLING *
			    log2(1 + fmax(0, per_s) / CODE_UNIT_PER_S)));
}

/*
 * Returns the rate per second that a byte encodes.
 */
double
demand_decode_rate(uint8_t code)
{
	return (exp2(code / CODE_STEPS_PER_DOUBLING) - 1) * CODE_UNIT_PER_S;
}
