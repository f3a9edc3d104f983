#ifndef BASE_LATENCY_H
#define BASE_LATENCY_H

#include <stdint.h>

#define LATENCY_BUCKETS 40 /* four to each doubling, from 1 ms to 1 s */

/* A histogram of times with fixed log-linear buckets. */
struct latency {
	uint64_t counts[LATENCY_BUCKETS + 1]; /* the last one: any longer */
	uint64_t sum_ms;
	uint64_t total;
};

void latency_add(struct latency *, uint64_t);
uint64_t latency_bound(uint32_t);

#endif
