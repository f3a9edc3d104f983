#ifndef THROTTLE_DEMAND_H
#define THROTTLE_DEMAND_H

#include <stdint.h>

#include "throttle/throttle.h"

/*
 * Root requests that callers send to one node, by service, route and class,
 * admitted or not.  Requests above the rate of their workspace don't count as
 * demand. No function reads a clock or takes a lock.
 */

#define DEMAND_ROWS_MAX 16   /* rows at one node */
#define DEMAND_ROUTES_MAX 12 /* rows of single routes among them */

/* Requests of one class since the last step. */
struct demand_count {
	uint32_t requested_count; /* sent by callers */
	uint32_t admitted_count;  /* admitted by the throttle */
	uint32_t over_rate_count; /* admitted, but above the workspace's rate */
};

/* Demand for one route of a service. */
struct demand_row {
	char service[THROTTLE_NAME_BYTES];
	uint32_t route; /* id; 0: routes without a row of their own */
	struct demand_count counts[THROTTLE_CLASSES];
	double requested_per_s[THROTTLE_CLASSES];
	double admitted_per_s[THROTTLE_CLASSES];
	double over_rate_per_s[THROTTLE_CLASSES];
};

struct demand {
	struct demand_row rows[DEMAND_ROWS_MAX];
	uint32_t count;
};

void demand_init(struct demand *);
struct demand_row *demand_row(struct demand *, const char *, uint32_t);
void demand_update_rates(struct demand *, double);
double demand_rate_per_s(const struct demand_row *, uint32_t);
uint8_t demand_encode_rate(double);
double demand_decode_rate(uint8_t);

#endif
