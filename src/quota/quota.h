#ifndef QUOTA_QUOTA_H
#define QUOTA_QUOTA_H

#include <stddef.h>
#include <stdint.h>

#include "limits/limits_bucket.h"

/*
 * A workspace's rate and burst over the whole fleet, without a lock or a
 * clock.  One node owns a workspace's bucket; the others ask it for tokens.
 * Where no owner answers, a node falls back on a small reserve, whose sum
 * over all nodes lies within the tolerance of the limit.  Times are
 * milliseconds of one clock.
 */

#define QUOTA_WINDOW_MS 5000 /* over which a limit's tolerance is granted */

/* A workspace's limit as configured. */
struct quota_limit {
	double rate; /* requests a second */
	uint32_t burst;
};

/* The bucket of a workspace that this node owns. */
struct quota_bucket {
	uint64_t ws; /* hash of the workspace's name; 0: unused */
	uint64_t since_ms;
	uint64_t used_ms;
	struct limits_bucket bucket;
};

/* All buckets that this node owns. */
struct quota_owner {
	struct quota_bucket *list;
	size_t count, cap;
};

struct quota_grant {
	uint32_t tokens;
	uint32_t wait_ms; /* until there are tokens again */
	int owner;	  /* 0: not ready to decide */
	int fresh;	  /* the bucket began with this question */
};

void quota_owner_init(struct quota_owner *);
void quota_owner_finish(struct quota_owner *);
void quota_owner_drop(struct quota_owner *, uint64_t);
void quota_owner_inherit(struct quota_owner *, uint64_t,
    const struct quota_limit *, uint32_t, uint64_t);
struct quota_grant quota_owner_lend(struct quota_owner *, uint64_t,
    const struct quota_limit *, uint64_t, uint32_t, uint32_t, uint64_t,
    uint64_t);

/* What a node holds of a workspace's tokens. */
struct quota_stock {
	uint64_t expire_ms; /* of the tokens */
	uint32_t tokens;
	uint32_t asks; /* sent for the outstanding question */
	double per_s;  /* decaying demand */
	uint64_t seen_ms;
	uint64_t refused_until_ms; /* the owner had none */
	uint64_t ask_id;	   /* outstanding; 0: none */
	uint64_t asked_ms;
	uint32_t reserve_used;	 /* in the window that began then */
	uint32_t reserve_before; /* in the window before it */
	uint64_t reserve_ms;
};

enum quota_verdict {
	QUOTA_TAKEN,
	QUOTA_ASK,  /* none here: ask the owner */
	QUOTA_OVER, /* the owner said there are none */
	QUOTA_VERDICT_MAX
};

enum quota_verdict quota_take(struct quota_stock *, uint64_t);
void quota_want(const struct quota_stock *, uint32_t, uint32_t *, uint32_t *);
void quota_receive(struct quota_stock *, const struct quota_grant *, uint64_t);
void quota_return(struct quota_stock *, uint64_t);
int quota_reserve(struct quota_stock *, const struct quota_limit *, double,
    double, uint32_t, uint64_t);

#endif
