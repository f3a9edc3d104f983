#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "quota/quota.h"

/* Wait of a new owner until the previous one has stopped granting. */
#define TAKEOVER_DELAY_MS 800
#define GRANT_LIFETIME_MS 500 /* then a granted token counts as spent */
#define BUCKET_IDLE_MS 10000  /* without a request, before reuse */
#define US_PER_MS 1000
#define MILLITOKENS_PER_TOKEN 1000.0
#define NT_PER_TOKEN INT64_C(1000000000) /* nanotokens, as in bucket levels */

static void limit_to_share(const struct quota_limit *, struct limits_share *);
static struct quota_bucket *find_bucket(struct quota_owner *, uint64_t,
    const struct limits_share *, uint64_t, uint64_t);

/*
 * Converts a limit into the units of a bucket.  The burst is at least 1,
 * because a burst of 0 would admit nothing.
 */
static void
limit_to_share(const struct quota_limit *limit, struct limits_share *share)
{
	share->rate_mt = (uint64_t)(limit->rate * MILLITOKENS_PER_TOKEN);
	share->burst = limit->burst > 0 ? limit->burst : 1;
}

/*
 * Initializes an owner without buckets.
 */
void
quota_owner_init(struct quota_owner *o)
{
	memset(o, 0, sizeof(*o));
}

/*
 * Frees all buckets.
 */
void
quota_owner_finish(struct quota_owner *o)
{
	size_t i;

	for (i = 0; i < o->count; i++)
		if (o->owned_buckets[i].ws != 0)
			bucket_finish(&o->owned_buckets[i].bucket);
	free(o->owned_buckets);
	quota_owner_init(o);
}

/*
 * Drops the bucket of a workspace that another node owns now.
 */
void
quota_owner_drop_bucket(struct quota_owner *o, uint64_t ws)
{
	size_t i;

	for (i = 0; i < o->count; i++) {
		if (o->owned_buckets[i].ws != ws)
			continue;
		bucket_finish(&o->owned_buckets[i].bucket);
		o->owned_buckets[i].ws = 0;
	}
}

/*
 * Returns the bucket of a workspace, creating it if necessary.  A new bucket
 * starts empty if a previous owner may have granted tokens within the last
 * window.
 */
static struct quota_bucket *
find_bucket(struct quota_owner *o, uint64_t ws,
    const struct limits_share *share, uint64_t members_changed_ms,
    uint64_t now_ms)
{
	struct quota_bucket *b, *slot = NULL;
	size_t i;

	for (i = 0; i < o->count; i++) {
		b = &o->owned_buckets[i];
		if (b->ws == ws && now_ms - b->last_used_ms < BUCKET_IDLE_MS)
			return b;
		if (b->ws == ws) {
			quota_owner_drop_bucket(o, ws);
			slot = b;
		} else if (b->ws == 0) {
			slot = b;
		}
	}
	if (slot == NULL && o->count == o->bucket_capacity) {
		o->bucket_capacity =
		    o->bucket_capacity == 0 ? 8 : o->bucket_capacity * 2;
		o->owned_buckets = reallocarray(o->owned_buckets,
		    o->bucket_capacity, sizeof(*o->owned_buckets));
		if (o->owned_buckets == NULL)
			err(1, "out of memory");
	}
	if (slot == NULL)
		slot = &o->owned_buckets[o->count++];
	memset(slot, 0, sizeof(*slot));
	slot->ws = ws;
	slot->owned_since_ms = members_changed_ms;
	bucket_init(&slot->bucket, share,
	    now_ms - members_changed_ms > QUOTA_WINDOW_MS, now_ms * US_PER_MS);
	return slot;
}

/*
 * Takes over the bucket of an owner that has stopped, with its remaining
 * tokens.
 */
void
quota_owner_adopt_bucket(struct quota_owner *o, uint64_t ws,
    const struct quota_limit *limit, uint32_t level, uint64_t now_ms)
{
	struct quota_bucket *b;
	struct limits_share share;

	limit_to_share(limit, &share);
	quota_owner_drop_bucket(o, ws);
	b = find_bucket(o, ws, &share, now_ms, now_ms);
	b->owned_since_ms =
	    now_ms > TAKEOVER_DELAY_MS ? now_ms - TAKEOVER_DELAY_MS : 0;
	b->last_used_ms = now_ms;
	if (level > share.burst)
		level = share.burst;
	b->bucket.level_nt = (int64_t)level * NT_PER_TOKEN;
}

/*
 * Grants at least the needed tokens, up to the wanted ones if there are
 * plenty.  A repeated id gets the same grant again.  members_changed_ms is the
 * time when the set of live nodes, and with it the ownership, last changed.
 */
struct quota_grant
quota_owner_grant_tokens(struct quota_owner *o, uint64_t ws,
    const struct quota_limit *limit, uint64_t id, uint32_t needed,
    uint32_t wanted, uint64_t members_changed_ms, uint64_t now_ms)
{
	struct quota_grant g = { 0, 0, 0, 0 };
	struct limits_share share;
	struct quota_bucket *b;

	limit_to_share(limit, &share);
	b = find_bucket(o, ws, &share, members_changed_ms, now_ms);
	g.is_new_bucket = b->last_used_ms == 0;
	b->last_used_ms = now_ms;
	if (now_ms - b->owned_since_ms < TAKEOVER_DELAY_MS)
		return g;
	bucket_resize(&b->bucket, &share, now_ms * US_PER_MS);
	g.is_owner = 1;
	g.tokens = bucket_grant(&b->bucket, id, needed, wanted,
	    now_ms * US_PER_MS, (now_ms + GRANT_LIFETIME_MS) * US_PER_MS);
	if (g.tokens == 0)
		g.wait_ms =
		    (uint32_t)(bucket_wait_us(&b->bucket, needed) / US_PER_MS) +
		    1;
	return g;
}
