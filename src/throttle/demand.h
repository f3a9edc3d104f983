#ifndef THROTTLE_DEMAND_H
#define THROTTLE_DEMAND_H

#include <stdint.h>

#include "throttle/throttle.h"

/*
 * Root requests that callers send to one node, by service and class, admitted
 * or not.  Requests above the rate of their workspace don't count as demand.
 * No function reads a clock or takes a lock.
 */

#define DEMAND_MAX 8 /* requested services at one node */

/* Requests of one class since the last step. */
struct demand_count {
	uint32_t asked;	 /* sent by callers */
	uint32_t let_in; /* admitted by the throttle */
	uint32_t over;	 /* admitted, but above the workspace's rate */
};

/* Demand for one service. */
struct demand_row {
	char service[THROTTLE_NAME_BYTES];
	struct demand_count counts[THROTTLE_CLASSES];
	double asked_per_s[THROTTLE_CLASSES];
	double let_in_per_s[THROTTLE_CLASSES];
	double over_per_s[THROTTLE_CLASSES];
};

struct demand {
	struct demand_row rows[DEMAND_MAX];
	uint32_t count;
};

void demand_init(struct demand *);
struct demand_row *demand_row(struct demand *, const char *);
void demand_age(struct demand *, double);
double demand_per_s(const struct demand_row *, uint32_t);
uint8_t demand_code(double);
double demand_decode(uint8_t);

#endif
