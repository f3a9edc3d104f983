#ifndef RELAY_BUDGET_H
#define RELAY_BUDGET_H

#include <stdint.h>

#include "admission/admission_core.h"

/*
 * Retry budget of one node for one service.  It limits retries on a second
 * server, to keep those of all nodes within a share of the service's requests
 * and so to prevent a retry storm.  The functions use no clock and no lock.
 */

struct budget {
	double tokens;	      /* retries available */
	double recent_earned; /* decaying number of retries earned */
	/* Decaying number of retries requested, by class. */
	double recent_requested[ADMISSION_CLASS_MAX];
	uint64_t updated_ms;
};

/* A request for permission to retry. */
struct budget_query {
	uint32_t class;	     /* priority class; 0 is the highest */
	uint64_t root_hash;  /* equal in all calls of one root request */
	double fleet_slack;  /* retries allowed beyond the ratio, fleet-wide */
	uint32_t node_count; /* nodes that share the slack */
	uint64_t now_ms;
};

void budget_init(struct budget *);
void budget_add_request(struct budget *, double, uint64_t);
int budget_take_retry(struct budget *, const struct budget_query *);

#endif
