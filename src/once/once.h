#ifndef ONCE_ONCE_H
#define ONCE_ONCE_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>

#include "lease/lease.h"
#include "once/once_memory.h"
#include "rpc/rpc.h"

/*
 * At-most-once execution of requests that have an id.  Before such a request
 * runs anywhere, its entry reserves the id at the owner of the id's
 * partition and has the standby note it.  See docs/LEASES.md for why no id
 * can be claimed twice.
 */
#define ONCE_CLOCK_SKEW_MAX_MS 5000 /* between two wall clocks */
/* Longest wait for an owner, from the time when one was first missing. */
#define ONCE_OWNER_WAIT_MS 2500
#define ONCE_MAINTAIN_INTERVAL_MS 20 /* between once_maintain() calls */
#define ONCE_CELLS_MAX 262144	     /* ids that a node stores, 32 bytes each */

enum once_verdict {
	ONCE_GRANTED,	  /* claimed: the request may run */
	ONCE_DUPLICATE,	  /* the request ran, runs or may have run */
	ONCE_UNKNOWN,	  /* it may have run before the stored history */
	ONCE_UNAVAILABLE, /* not claimed */
	ONCE_VERDICT_MAX
};

enum once_proc {
	ONCE_PROC_CLAIM,
	ONCE_PROC_NOTE,
	ONCE_PROC_RELEASE,
	ONCE_PROC_COPY,
	ONCE_PROC_MAX
};

/* The key of a request id. */
struct once_key {
	struct once_id id;
	uint64_t stamp_ms; /* wall clock time in the id, or 0 */
};

/* A successful claim, to be released if the request was not run. */
struct once_claim {
	struct once_id id;
	uint64_t attempt; /* random id of this claim, never 0 */
	struct node_id owner;
	struct node_id standby;
};

struct once_config {
	struct node_id self;
	lease_lookup_fn lookup;
	void *lookup_ctx;
	rpc_call_fn call;
	void *call_ctx;
	/* An owner didn't answer.  May be NULL. */
	void (*on_owner_failure)(void *);
	void *on_owner_failure_ctx;
	/* A claim reached this standby.  May be NULL. */
	void (*on_claim_as_standby)(void *);
	void *on_claim_as_standby_ctx;
	/* Returns whether owners may change.  NULL: they always may. */
	int (*owners_may_change)(void *);
	void *owners_may_change_ctx;
	uint64_t (*clock_ms)(void); /* NULL: clock_ms() */
	uint64_t (*wall_ms)(void);  /* NULL: CLOCK_REALTIME */
	size_t cells_max;	    /* 0: ONCE_CELLS_MAX */
};

/* The state of one partition at a node. */
struct once_part {
	pthread_mutex_t lock; /* guards all fields below but owner_missing_ms */
	struct once_memory memory;
	uint64_t term;	       /* newest term in which it acted as owner */
	uint64_t tenure;       /* that since_ms is valid for; 0: none */
	int64_t since_ms;      /* the memory has all ids claimed since */
	uint64_t copied_term;  /* term whose standby has the whole memory */
	uint64_t standby_term; /* newest term in which it acted as standby */
	int copy_complete;     /* standby_term's owner sent its whole memory */
	int64_t copy_since_ms; /* that memory has all ids claimed since */
	uint64_t last_used_ms; /* last claim, note or copy */
	uint64_t next_copy_ms; /* earliest start of the next copy */
	atomic_ullong owner_missing_ms; /* no answer since; 0: answered */
};

#define ONCE_RELEASES_MAX 1024

struct once {
	struct once_config cfg;
	struct memory_budget budget;
	struct once_part part[LEASE_PARTS];
	pthread_mutex_t lock; /* guards the releases */
	struct once_claim releases[ONCE_RELEASES_MAX];
	size_t release_count;
};

/* Procedures for the RPC server; their context is struct once. */
extern const struct rpc_proc once_procs[ONCE_PROC_MAX];

void once_init(struct once *, const struct once_config *);
void once_finish(struct once *);
void once_key(struct once_key *, const char *, const char *);
uint32_t once_part(const struct once_id *);
enum once_verdict once_claim(
    struct once *, const struct once_key *, struct once_claim *);
enum once_verdict once_claim_wait(
    struct once *, const struct once_key *, uint32_t, struct once_claim *);
void once_release(struct once *, const struct once_claim *);
void once_maintain(struct once *);
int once_standby_ready(void *, uint32_t);
void once_dump(struct once *, FILE *);

#endif
