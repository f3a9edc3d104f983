#ifndef RELAY_BUDGET_H
#define RELAY_BUDGET_H

#include <stdint.h>

#include "admission/admission_core.h"

/*
 * How many requests one node may send to a second server, so that all nodes
 * together stay within a share of the requests to a service (retry storm).
 * Pure: no clock, no lock.
 */

struct budget {
	double tokens;			    /* repeats that are left */
	double earned;			    /* repeats lately, decaying */
	double wanted[ADMISSION_CLASS_MAX]; /* the same, asked for */
	uint64_t at_ms;
};

/* What asks for a repeat. */
struct budget_ask {
	uint32_t class;	    /* 0: most important */
	uint64_t root_hash; /* the same for all calls of a root request */
	double slack;	    /* repeats beside the ratio, over the fleet */
	uint32_t nodes;	    /* that share it */
	uint64_t now_ms;
};

void budget_init(struct budget *);
void budget_earn(struct budget *, double, uint64_t);
int budget_spend(struct budget *, const struct budget_ask *);

#endif
