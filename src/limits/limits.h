#ifndef LIMITS_LIMITS_H
#define LIMITS_LIMITS_H

#include <pthread.h>
#include <stdint.h>
#include <stdio.h>

#include "base/nodeid.h"
#include "lease/lease.h"
#include "rpc/rpc.h"

/*
 * Fleet-wide rate limits of workspaces.  A limit is a token bucket, split into
 * shards if its burst is large.  The node that leases a shard's partition owns
 * the shard's bucket.  Entry nodes borrow tokens from the owners and admit
 * requests from these loans.
 */
#define LIMITS_SHARDS 3		       /* shards of a split limit */
#define LIMITS_SHARD_BURST_MIN 30      /* tokens; smaller limits aren't split */
#define LIMITS_MAINTAIN_INTERVAL_MS 20 /* interval of limits_maintain() */

/* The limit of a workspace in a configuration. */
struct limits_workspace {
	uint64_t hash; /* of the workspace's name */
	double rate;   /* requests a second */
	uint32_t burst;
	/*
	 * clock_ms() when this node applied the configuration that added or
	 * changed this limit; 0 if the node's first configuration had it.
	 */
	uint64_t changed_ms;
};

enum limits_verdict {
	LIMITS_ADMIT,
	LIMITS_OVER_RATE,
	LIMITS_UNAVAILABLE, /* no owner was reached in time */
	LIMITS_VERDICT_MAX
};

enum limits_proc {
	LIMITS_PROC_TOKEN_REQUEST, /* borrow tokens */
	LIMITS_PROC_REPORT,	   /* report unspent tokens of ended loans */
	LIMITS_PROC_MAX
};

/* Parameters and callbacks of the limits of a node. */
struct limits_config {
	struct node_id self;
	uint32_t local_group; /* group of the node's own failure domain */
	lease_lookup_fn lookup;
	void *lookup_ctx;
	rpc_call_fn call;
	void *call_ctx;
	/*
	 * Sends a call without waiting for its answer; may be NULL.  Without
	 * it, limits with a small burst lose some of their rate.
	 */
	void (*notify)(void *, const struct node_id *, const struct rpc_proc *,
	    const void *);
	void *notify_ctx;
	/*
	 * Finds a workspace's limit by hash in the node's configuration.
	 * Returns 0, or -1 if there is none.
	 */
	int (*find_limit)(void *, uint64_t, struct limits_workspace *);
	void *find_limit_ctx;
	/* Called when an owner failed or denied owning; may be NULL. */
	void (*on_owner_failure)(void *);
	void *on_owner_failure_ctx;
	uint64_t (*clock_us)(void); /* NULL: clock_us() */
};

#define LIMITS_TABLE_CHAINS 1024 /* hash chains of each table */

struct limits_shard_bucket;
struct limits_entry;

struct limits {
	struct limits_config cfg;
	pthread_mutex_t lock; /* guards insertion into the tables */
	/* The buckets of the shards that this node owns or has owned. */
	struct limits_shard_bucket *_Atomic shard_buckets[LIMITS_TABLE_CHAINS];
	/* The loans of this node as an entry node, by workspace. */
	struct limits_entry *_Atomic entries[LIMITS_TABLE_CHAINS];
};

/* Procedures of the RPC server.  Their context is struct limits. */
extern const struct rpc_proc limits_procs[LIMITS_PROC_MAX];

void limits_init(struct limits *, const struct limits_config *);
void limits_finish(struct limits *);
enum limits_verdict limits_admit(
    struct limits *, const struct limits_workspace *, uint64_t *, uint32_t *);
void limits_refund(struct limits *, const struct limits_workspace *, uint64_t);
void limits_maintain(struct limits *);
void limits_dump(struct limits *, FILE *);

#endif
