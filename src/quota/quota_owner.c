#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "quota/quota.h"

#define HOLD_MS 800	/* for a new owner, until the one before has stopped */
#define LOAN_MS 500	/* after which a token counts as spent */
#define FORGET_MS 10000 /* of a bucket that nobody asks for */
#define MS_US 1000
#define MILLI 1000.0
#define TOKEN_NT INT64_C(1000000000) /* the unit of a bucket's level */

static void share_of(const struct quota_limit *, struct limits_share *);
static struct quota_bucket *bucket_of(struct quota_owner *, uint64_t,
    const struct limits_share *, uint64_t, uint64_t);

/*
 * Puts a limit into the units of buckets; a burst of none would admit nothing.
 */
static void
share_of(const struct quota_limit *limit, struct limits_share *share)
{
	share->rate_mt = (uint64_t)(limit->rate * MILLI);
	share->burst = limit->burst > 0 ? limit->burst : 1;
}

/*
 * Prepares an owner of nothing.
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
		if (o->list[i].ws != 0)
			bucket_finish(&o->list[i].bucket);
	free(o->list);
	quota_owner_init(o);
}

/*
 * Gives up a workspace's bucket, since another node owns it now.
 */
void
quota_owner_drop(struct quota_owner *o, uint64_t ws)
{
	size_t i;

	for (i = 0; i < o->count; i++) {
		if (o->list[i].ws != ws)
			continue;
		bucket_finish(&o->list[i].bucket);
		o->list[i].ws = 0;
	}
}

/*
 * Finds a workspace's bucket.  A new one starts empty while it isn't known
 * what an owner before may have lent within the window.
 */
static struct quota_bucket *
bucket_of(struct quota_owner *o, uint64_t ws, const struct limits_share *share,
    uint64_t turned, uint64_t now)
{
	struct quota_bucket *b, *room = NULL;
	size_t i;

	for (i = 0; i < o->count; i++) {
		b = &o->list[i];
		if (b->ws == ws && now - b->used_ms < FORGET_MS)
			return b;
		if (b->ws == ws) {
			quota_owner_drop(o, ws);
			room = b;
		} else if (b->ws == 0) {
			room = b;
		}
	}
	if (room == NULL && o->count == o->cap) {
		o->cap = o->cap == 0 ? 8 : o->cap * 2;
		o->list = reallocarray(o->list, o->cap, sizeof(*o->list));
		if (o->list == NULL)
			err(1, "out of memory");
	}
	if (room == NULL)
		room = &o->list[o->count++];
	memset(room, 0, sizeof(*room));
	room->ws = ws;
	room->since_ms = turned;
	bucket_init(
	    &room->bucket, share, now - turned > QUOTA_WINDOW_MS, now * MS_US);
	return room;
}

/*
 * Takes over the bucket of an owner that has stopped, with the tokens that
 * it had left.
 */
void
quota_owner_inherit(struct quota_owner *o, uint64_t ws,
    const struct quota_limit *limit, uint32_t level, uint64_t now)
{
	struct quota_bucket *b;
	struct limits_share share;

	share_of(limit, &share);
	quota_owner_drop(o, ws);
	b = bucket_of(o, ws, &share, now, now);
	b->since_ms = now > HOLD_MS ? now - HOLD_MS : 0;
	b->used_ms = now;
	if (level > share.burst)
		level = share.burst;
	b->bucket.level_nt = (int64_t)level * TOKEN_NT;
}

/*
 * Lends tokens: need at least, up to want if there are plenty.  A repeated
 * id gets what it got before.  The set of live nodes, and with it who owns
 * what, last changed at turned.
 */
struct quota_grant
quota_owner_lend(struct quota_owner *o, uint64_t ws,
    const struct quota_limit *limit, uint64_t id, uint32_t need, uint32_t want,
    uint64_t turned, uint64_t now)
{
	struct quota_grant g = { 0, 0, 0, 0 };
	struct limits_share share;
	struct quota_bucket *b;

	share_of(limit, &share);
	b = bucket_of(o, ws, &share, turned, now);
	g.fresh = b->used_ms == 0;
	b->used_ms = now;
	if (now - b->since_ms < HOLD_MS)
		return g;
	bucket_resize(&b->bucket, &share, now * MS_US);
	g.owner = 1;
	g.tokens = bucket_lend(
	    &b->bucket, id, need, want, now * MS_US, (now + LOAN_MS) * MS_US);
	if (g.tokens == 0)
		g.wait_ms =
		    (uint32_t)(bucket_wait_us(&b->bucket, need) / MS_US) + 1;
	return g;
}
