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
	struct quota_bucket *owned_buckets;
	size_t count, bucket_capacity;
};

/* Answer of an owner to a request for tokens. */
struct quota_grant {
	uint32_t tokens;
	uint32_t wait_ms;  /* until tokens are available */
	int is_owner;	   /* 0: the node doesn't grant tokens yet */
	int is_new_bucket; /* 1: this request created the bucket */
};

void quota_owner_init(struct quota_owner *);
void quota_owner_finish(struct quota_owner *);
void quota_owner_drop_bucket(struct quota_owner *, uint64_t);
void quota_owner_adopt_bucket(struct quota_owner *, uint64_t,
    const struct quota_limit *, uint32_t, uint64_t);
struct quota_grant quota_owner_grant_tokens(struct quota_owner *, uint64_t,
    const struct quota_limit *, uint64_t, uint32_t, uint32_t, uint64_t,
    uint64_t);

/* Tokens of a workspace that a node has cached, and its reserve. */
struct quota_cache {
	uint64_t tokens_expire_ms; /* expiry of the tokens */
	uint32_t tokens;
	uint32_t request_sends;	  /* times the outstanding request was sent */
	double mean_demand_per_s; /* exponential average of the demand */
	uint64_t last_demand_ms;  /* last update of the average */
	uint64_t no_tokens_until_ms;   /* the owner has no tokens until then */
	uint64_t token_request_id;     /* outstanding request; 0: none */
	uint64_t token_requested_ms;   /* when that request was sent */
	uint32_t reserve_used_tokens;  /* in the current window */
	uint32_t reserve_prior_tokens; /* in the previous window */
	uint64_t reserve_window_start_ms; /* start of the current window */
};

/* Result of taking a token. */
enum quota_verdict {
	QUOTA_ACQUIRED,	 /* a cached token was taken */
	QUOTA_ASK_OWNER, /* no cached token: request some from the owner */
	QUOTA_EXHAUSTED, /* the owner reported that it has none */
	QUOTA_VERDICT_MAX
};

enum quota_verdict quota_acquire(struct quota_cache *, uint64_t);
void quota_size_request(
    const struct quota_cache *, uint32_t, uint32_t *, uint32_t *);
void quota_accept_grant(
    struct quota_cache *, const struct quota_grant *, uint64_t);
void quota_return_token(struct quota_cache *, uint64_t);
int quota_acquire_reserve(struct quota_cache *, const struct quota_limit *,
    double, double, uint32_t, uint64_t);

#endif
