#ifndef LIMITS_LIMITS_BUCKET_H
#define LIMITS_LIMITS_BUCKET_H

#include <stddef.h>
#include <stdint.h>

#include "limits/limits.h"

/* A shard's share of a limit. */
struct limits_share {
	uint64_t rate_mt; /* thousandths of a token a second */
	uint32_t burst;	  /* tokens */
};

struct limits_loan {
	uint64_t id;
	uint64_t expire_us;
	uint32_t tokens;   /* outstanding; 0: reported or expired */
	uint32_t unspent;  /* as reported so far */
	int64_t credit_nt; /* spent tokens that can still be returned */
};

/*
 * A token bucket that grants loans.  level + outstanding + credit <= burst
 * holds at all times.  Hence the tokens that are spent and not returned later
 * are at most burst + rate x window in any window of time.  New tokens displace
 * credit when the bucket is full, hence a spent token is returned only into
 * the room that it left.
 */
struct limits_bucket {
	struct limits_share share;
	int64_t level_nt; /* billionths of a token */
	uint64_t refilled_us;
	uint64_t outstanding;	   /* tokens */
	int64_t credit_nt;	   /* sum over the loans */
	struct limits_loan *loans; /* ring buffer, by ascending expiry */
	size_t head;		   /* index of the oldest loan */
	size_t count;
	size_t settled; /* oldest loans that are reported or expired */
	size_t cap;	/* a power of two */
};

uint32_t limits_shard_count(uint32_t);
uint32_t limits_shard_partition(const struct limits_workspace *, uint32_t);
int limits_partition_shard(const struct limits_workspace *, uint32_t);
void limits_compute_share(
    const struct limits_workspace *, uint32_t, struct limits_share *);

void bucket_init(
    struct limits_bucket *, const struct limits_share *, int, uint64_t);
void bucket_finish(struct limits_bucket *);
void bucket_resize(
    struct limits_bucket *, const struct limits_share *, uint64_t);
void bucket_refill(struct limits_bucket *, uint64_t);
uint32_t bucket_grant(
    struct limits_bucket *, uint64_t, uint32_t, uint32_t, uint64_t, uint64_t);
int bucket_settle_loan(struct limits_bucket *, uint64_t, uint32_t, uint64_t);
uint32_t bucket_level(const struct limits_bucket *);
uint64_t bucket_wait_us(const struct limits_bucket *, uint32_t);

#endif
