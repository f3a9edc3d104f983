#ifndef THROTTLE_DEMAND_H
#define THROTTLE_DEMAND_H

#include <stdint.h>

#include "throttle/throttle.h"

/*
 * The root requests that callers ask of one node, by service and class,
 * whether they are let in or not.  What is over its workspace's rate is no
 * demand.  Pure: no clock, no lock.
 */

#define DEMAND_MAX 8 /* services that are asked for at one node */

/* What came since the last step. */
struct demand_count {
	uint32_t asked;
	uint32_t let_in; /* by the throttle */
	uint32_t over;	 /* of these, over their rate */
};

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
