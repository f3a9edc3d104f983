#ifndef LEASE_LEASE_INTERNAL_H
#define LEASE_LEASE_INTERNAL_H

#include "lease/lease.h"

/* One partition in a snapshot. */
struct lease_state {
	uint64_t term;
	uint64_t tenure;  /* term in which the owner became owner */
	uint64_t wait_ms; /* time until the owner may act */
	int first;	  /* tenure began with LEASE_FIRST */
	struct node_id owner;
	struct node_id standby;
};

enum lease_record_type {
	LEASE_RECORD_MALFORMED,
	LEASE_RECORD_CLAIM,
	LEASE_RECORD_SNAPSHOT,
	LEASE_RECORD_RESET
};

struct lease_record {
	enum lease_record_type type;
	struct lease_claim claim;
	uint64_t next; /* offset up to which a snapshot describes the log */
	struct lease_state state[LEASE_PARTS];
};

void lease_record_decode(struct lease_record *, const char *, size_t);

#endif
