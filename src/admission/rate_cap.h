#ifndef ADMISSION_RATE_CAP_H
#define ADMISSION_RATE_CAP_H

#include <stdint.h>

/*
 * The rate of requests that a server says it takes from all nodes together.
 * All requests to a server pass through one node, which keeps the rate.
 */
struct rate_cap {
	int answered; /* the server has answered since this node's start */
	int active;
	double per_s;	   /* while active */
	double tokens;	   /* requests that may be sent now */
	uint64_t named_ms; /* last answer that named the rate */
	uint64_t refilled_ms;
};

void rate_cap_init(struct rate_cap *);
int rate_cap_note_answer(struct rate_cap *, const double *, uint64_t);
int rate_cap_allows(struct rate_cap *, uint32_t, uint64_t);
void rate_cap_take(struct rate_cap *);
uint32_t rate_cap_slots(const struct rate_cap *, uint32_t, double);

#endif
