#ifndef LIMITS_LIMITS_BUCKET_H
#define LIMITS_LIMITS_BUCKET_H

#include <stddef.h>
#include <stdint.h>

#include "limits/limits.h"

/* The part of a limit that one shard's bucket enforces. */
struct limits_share {
	uint64_t rate_mt; /* thousandths of a token a second */
	uint32_t burst;	  /* tokens */
};

struct limits_loan {
	uint64_t id;
	uint64_t expire_us;
	uint32_t tokens; /* 0: reported */
};

/*
 * A token bucket with loans.  level + outstanding <= burst at all times, so
 * what is spent in any window is at most burst + rate x window.
 */
struct limits_bucket {
	struct limits_share share;
	int64_t level_nt; /* billionths of a token */
	uint64_t filled_us;
	uint64_t outstanding;
	struct limits_loan *loans; /* ring, by ascending expiry */
	size_t head;
	size_t count;
	size_t cap; /* a power of two */
};

uint32_t limits_shards(uint32_t);
uint32_t limits_part(const struct limits_ws *, uint32_t);
int limits_shard_of(const struct limits_ws *, uint32_t);
void limits_share(const struct limits_ws *, uint32_t, struct limits_share *);

void bucket_init(
    struct limits_bucket *, const struct limits_share *, int, uint64_t);
void bucket_finish(struct limits_bucket *);
void bucket_resize(
    struct limits_bucket *, const struct limits_share *, uint64_t);
void bucket_refill(struct limits_bucket *, uint64_t);
uint32_t bucket_lend(
    struct limits_bucket *, uint64_t, uint32_t, uint32_t, uint64_t, uint64_t);
int bucket_report(struct limits_bucket *, uint64_t, uint32_t, uint64_t);
uint32_t bucket_level(const struct limits_bucket *);
uint64_t bucket_wait_us(const struct limits_bucket *, uint32_t);

#endif
