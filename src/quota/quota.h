#ifndef QUOTA_QUOTA_H
#define QUOTA_QUOTA_H

#include <stddef.h>
#include <stdint.h>

#include "limits/limits_bucket.h"

/*
 * Fleet-wide rate and burst limits of workspaces.  One node owns the token
 * bucket of a workspace; the others request tokens from it.  While no owner
 * answers, a node uses a small reserve; the reserves of all nodes together
 * stay within the tolerance of the limit.  No function reads a clock or takes
 * a lock.  All times come from one clock, in milliseconds.
 */

#define QUOTA_WINDOW_MS 5000 /* to which a limit's tolerance applies */

/* Configured limit of a workspace. */
struct quota_limit {
	double rate; /* requests per second */
	uint32_t burst;
};

/* Token bucket of a workspace that this node owns. */
struct quota_bucket {
	uint64_t ws;		 /* hash of the workspace's name; 0: unused */
	uint64_t owned_since_ms; /* start of the ownership */
	uint64_t last_used_ms;	 /* last request; 0: none yet */
	struct limits_bucket bucket;
};

/* All buckets that this node owns. */
struct quota_owner {
	struct quota_bucket *list;
	size_t count, cap;
};

/* Answer of an owner to a request for tokens. */
struct quota_grant {
	uint32_t tokens;
	uint32_t wait_ms; /* until tokens are available */
	int owner;	  /* 0: the node doesn't grant tokens yet */
	int fresh;	  /* 1: this request created the bucket */
};

void quota_owner_init(struct quota_owner *);
void quota_owner_finish(struct quota_owner *);
void quota_owner_drop(struct quota_owner *, uint64_t);
void quota_owner_inherit(struct quota_owner *, uint64_t,
    const struct quota_limit *, uint32_t, uint64_t);
struct quota_grant quota_owner_lend(struct quota_owner *, uint64_t,
    const struct quota_limit *, uint64_t, uint32_t, uint32_t, uint64_t,
    uint64_t);

/* Tokens of a workspace that a node has cached, and its reserve. */
struct quota_stock {
	uint64_t expire_ms; /* expiry of the tokens */
	uint32_t tokens;
	uint32_t asks;		   /* times the outstanding request was sent */
	double per_s;		   /* exponential average of the demand */
	uint64_t last_demand_ms;   /* last update of the average */
	uint64_t refused_until_ms; /* the owner has no tokens until then */
	uint64_t ask_id;	   /* outstanding request; 0: none */
	uint64_t asked_ms;	   /* when that request was sent */
	uint32_t reserve_used;	   /* in the current window */
	uint32_t reserve_before;   /* in the previous window */
	uint64_t reserve_ms;	   /* start of the current window */
};

/* Result of taking a token. */
enum quota_verdict {
	QUOTA_TAKEN, /* a cached token was taken */
	QUOTA_ASK,   /* no cached token: request some from the owner */
	QUOTA_OVER,  /* the owner reported that it has none */
	QUOTA_VERDICT_MAX
};

enum quota_verdict quota_take(struct quota_stock *, uint64_t);
void quota_want(const struct quota_stock *, uint32_t, uint32_t *, uint32_t *);
void quota_receive(struct quota_stock *, const struct quota_grant *, uint64_t);
void quota_return(struct quota_stock *, uint64_t);
int quota_reserve(struct quota_stock *, const struct quota_limit *, double,
    double, uint32_t, uint64_t);

#endif
