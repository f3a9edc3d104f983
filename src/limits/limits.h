#ifndef LIMITS_LIMITS_H
#define LIMITS_LIMITS_H

#include <pthread.h>
#include <stdint.h>
#include <stdio.h>

#include "base/nodeid.h"
#include "lease/lease.h"
#include "rpc/rpc.h"

/*
 * Rate limits of workspaces, fleet-wide.  The owner of a shard's partition
 * holds its bucket; entries admit requests from loans of its tokens.
 */
#define LIMITS_SHARDS 3
#define LIMITS_SHARD_BURST_MIN 30 /* a limit with this burst is cut in shards \
				   */
#define LIMITS_TICK_MS 20	  /* between two calls of limits_maintain() */

/* A workspace's limit in a configuration. */
struct limits_ws {
	uint64_t hash; /* of its name */
	double rate;   /* requests a second */
	uint32_t burst;
	/*
	 * clock_ms() when this node took up the configuration with which
	 * this limit came or changed; 0 if it was in the node's first one.
	 */
	uint64_t changed_ms;
};

enum limits_verdict {
	LIMITS_ADMIT,
	LIMITS_OVER_RATE,
	LIMITS_UNAVAILABLE, /* no owner could be asked */
	LIMITS_VERDICT_MAX
};

enum limits_proc {
	LIMITS_PROC_ASK,
	LIMITS_PROC_REPORT,
	LIMITS_PROC_MAX
};

/* What the slice needs from its surroundings. */
struct limits_config {
	struct node_id self;
	uint32_t group; /* shard asked first: that of the own domain */
	lease_lookup_fn lookup;
	void *lookup_ctx;
	rpc_call_fn call;
	void *call_ctx;
	/*
	 * Sends a call without waiting for its answer; may be NULL, which
	 * costs small bursts some of their rate.
	 */
	void (*notify)(void *, const struct node_id *, const struct rpc_proc *,
	    const void *);
	void *notify_ctx;
	/* Finds a workspace in the node's configuration; 0, or -1 if none. */
	int (*find)(void *, uint64_t, struct limits_ws *);
	void *find_ctx;
	void (*kick)(void *); /* an owner did not answer; may be NULL */
	void *kick_ctx;
	uint64_t (*clock_us)(void); /* NULL: the clock */
};

#define LIMITS_TABLE_CHAINS 1024 /* chains of each table */

struct limits_shard_bucket;
struct limits_entry;

struct limits {
	struct limits_config cfg;
	pthread_mutex_t lock; /* guards insertion into the tables */
	struct limits_shard_bucket *_Atomic shard_buckets[LIMITS_TABLE_CHAINS];
	struct limits_entry *_Atomic entries[LIMITS_TABLE_CHAINS];
};

/* Procedures for the RPC server; their context is struct limits. */
extern const struct rpc_proc limits_procs[LIMITS_PROC_MAX];

void limits_init(struct limits *, const struct limits_config *);
void limits_finish(struct limits *);
enum limits_verdict limits_admit(
    struct limits *, const struct limits_ws *, uint64_t *, uint32_t *);
void limits_refund(struct limits *, const struct limits_ws *, uint64_t);
void limits_maintain(struct limits *);
void limits_dump(struct limits *, FILE *);

#endif
