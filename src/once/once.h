#ifndef ONCE_ONCE_H
#define ONCE_ONCE_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>

#include "lease/lease.h"
#include "once/once_memory.h"
#include "rpc/rpc.h"

/*
 * At most once: before a request with an id runs anywhere, its entry claims
 * the id with the owner of the id's partition and has it noted by the
 * standby.  docs/LEASES.md argues why no id is first twice.
 */
#define ONCE_CLOCK_MS 5000    /* by which wall clocks may differ */
#define ONCE_WAIT_MS 2500     /* for an owner, since one was missed first */
#define ONCE_TICK_MS 20	      /* between two calls of once_maintain() */
#define ONCE_CELLS_MAX 262144 /* ids that a node remembers, 32 bytes each */

enum once_verdict {
	ONCE_FIRST,
	ONCE_SEEN,	  /* it ran, runs, or may have */
	ONCE_UNKNOWN,	  /* it may have run before the memory began */
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

/* An id as its caller made it. */
struct once_key {
	struct once_id id;
	uint64_t stamp_ms; /* wall clock within the id, or 0 */
};

/* A claim that was first, to be released if the request was not run. */
struct once_claim {
	struct once_id id;
	uint64_t attempt;
	struct node_id owner;
	struct node_id standby;
};

struct once_config {
	struct node_id self;
	lease_lookup_fn lookup;
	void *lookup_ctx;
	rpc_call_fn call;
	void *call_ctx;
	void (*kick)(void *); /* an owner did not answer; may be NULL */
	void *kick_ctx;
	void (*expect)(void *); /* as standby asked as owner; may be NULL */
	void *expect_ctx;
	int (*changing)(void *); /* owners may change; NULL: always */
	void *changing_ctx;
	uint64_t (*clock_ms)(void); /* NULL: the clock */
	uint64_t (*wall_ms)(void);  /* NULL: the wall clock */
	size_t cells_max;	    /* 0: ONCE_CELLS_MAX */
};

/* What a node remembers of one partition. */
struct once_part {
	pthread_mutex_t lock; /* guards all below */
	struct once_memory memory;
	uint64_t term;	  /* newest term acted under as owner */
	uint64_t tenure;  /* for which since_ms holds */
	int64_t since_ms; /* the memory has every id that was first since */
	uint64_t copied;  /* term whose standby was sent the whole memory */
	uint64_t standby_term; /* newest term acted under as standby */
	int whole;	       /* the owner has sent its whole memory */
	int64_t whole_since_ms;
	uint64_t used_ms;
	uint64_t retry_ms;     /* a copy that failed is not begun before */
	atomic_ullong down_ms; /* nobody answers this entry since; 0: not so */
};

#define ONCE_RELEASES_MAX 1024

struct once {
	struct once_config cfg;
	struct memory_budget budget;
	struct once_part part[LEASE_PARTS];
	pthread_mutex_t lock; /* guards the queue of releases */
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
