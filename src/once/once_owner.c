#include <string.h>

#include "once/once_int.h"

static int has_complete_copy(
    const struct once_part *, const struct lease_view *);
static int is_new(const struct once_part *, uint64_t, uint64_t, uint64_t);
static once_status reserve(
    struct once *, struct once_part *, const once_claim_arg *, uint64_t);

/*
 * Returns whether this node was the standby of the term before this tenure,
 * and received the whole memory in it.
 */
static int
has_complete_copy(const struct once_part *p, const struct lease_view *v)
{
	return p->copy_complete && p->standby_term + 1 == v->tenure;
}

/*
 * Returns whether a locked partition has all ids that were claimed before a
 * lease.  The owner then need not wait until its predecessor has stopped.
 */
int
once_has_earlier_ids(const struct once_part *p, const struct lease_view *v)
{
	return p->tenure == v->tenure || has_complete_copy(p, v);
}

/*
 * Updates a locked partition to the lease of this node.  The memory has all
 * ids claimed under the lease before if this node was its standby and
 * received the whole memory, or if there was no lease before.  Returns 0, or
 * -1 if the lease is older than the partition's state.
 */
int
once_update_lease(struct once_part *p, const struct lease_view *v)
{
	if (v->term < p->term || v->term < p->standby_term)
		return -1;
	p->term = v->term;
	if (v->tenure == p->tenure)
		return 0;
	p->tenure = v->tenure;
	p->copied_term = 0;
	if (has_complete_copy(p, v))
		p->since_ms = p->copy_since_ms;
	else
		p->since_ms = (int64_t)v->effective_ms;
	if (v->first)
		p->since_ms -= (int64_t)ONCE_WINDOW_S * MS_PER_S;
	return 0;
}

/*
 * Returns whether an id that isn't stored can't have been claimed before:
 * the memory covers a whole window, or the id was made after the memory
 * began.
 */
static int
is_new(const struct once_part *p, uint64_t stamp_ms, uint64_t now_ms,
    uint64_t wall_ms)
{
	int64_t age = (int64_t)now_ms - p->since_ms;

	if (age >= (int64_t)ONCE_WINDOW_S * MS_PER_S)
		return 1;
	/* The clocks of the earlier owner and this node may both be off. */
	return stamp_ms != 0 &&
	       (int64_t)stamp_ms >
		   (int64_t)wall_ms - age + 2 * ONCE_CLOCK_SKEW_MAX_MS;
}

/*
 * Reserves an id in a locked partition that this node owns.
 */
static once_status
reserve(struct once *o, struct once_part *p, const once_claim_arg *arg,
    uint64_t now_ms)
{
	uint64_t wall = o->cfg.wall_ms(), stamp = arg->stamp_ms;
	uint64_t window = (uint64_t)ONCE_WINDOW_S * MS_PER_S;
	uint32_t now_s = (uint32_t)(now_ms / MS_PER_S);
	enum memory_result res;
	struct once_id id;

	memcpy(id.byte, arg->id, sizeof(id.byte));
	if (stamp > wall + ONCE_CLOCK_SKEW_MAX_MS)
		return ONCE_FUTURE_ID;
	res = memory_lookup(&p->memory, &id, arg->attempt, now_s);
	if (res == MEMORY_OTHER_ATTEMPT)
		return ONCE_CLAIMED;
	if (res == MEMORY_ADDED && !is_new(p, stamp, now_ms, wall))
		return ONCE_NOT_KNOWN;
	/* An older id may have been claimed and dropped since. */
	if (stamp != 0 && stamp + window < wall + 2 * ONCE_CLOCK_SKEW_MAX_MS)
		return ONCE_NOT_KNOWN;
	if (memory_add(&p->memory, &id, arg->attempt, now_s, now_s) ==
	    MEMORY_FULL)
		return ONCE_MEMORY_FULL;
	return ONCE_RESERVED;
}

/*
 * Serves a claim.  The response has the term, and the standby that has to
 * note the id before the claim is valid.
 */
void
once_serve_claim(struct once *o, const once_claim_arg *arg, once_claim_res *res)
{
	uint64_t now = o->cfg.clock_ms();
	struct once_part *p;
	struct lease_view v;
	struct once_id id;
	uint32_t part;

	memset(res, 0, sizeof(*res));
	res->status = ONCE_NOT_OWNER;
	memcpy(id.byte, arg->id, sizeof(id.byte));
	part = once_part(&id);
	p = &o->part[part];
	o->cfg.lookup(o->cfg.lookup_ctx, part, now, &v);
	if (v.replicated_until_ms == 0 &&
	    nodeid_equal(&v.standby, &o->cfg.self) &&
	    o->cfg.on_claim_as_standby != NULL)
		o->cfg.on_claim_as_standby(o->cfg.on_claim_as_standby_ctx);
	if (v.replicated_until_ms == 0 || arg->attempt == 0)
		return;
	pthread_mutex_lock(&p->lock);
	if ((v.valid_until_ms != 0 || once_has_earlier_ids(p, &v)) &&
	    once_update_lease(p, &v) == 0) {
		p->last_used_ms = now;
		res->status = reserve(o, p, arg, now);
	}
	pthread_mutex_unlock(&p->lock);
	res->term = v.term;
	res->standby = once_node_pack(&v.standby);
}

/*
 * Removes an id whose request was not run, if that attempt claimed it.
 */
void
once_serve_release(
    struct once *o, const once_release_arg *arg, once_release_res *res)
{
	struct once_part *p;
	struct once_id id;

	memcpy(id.byte, arg->id, sizeof(id.byte));
	p = &o->part[once_part(&id)];
	pthread_mutex_lock(&p->lock);
	res->released = memory_release(&p->memory, &id, arg->attempt) == 0;
	pthread_mutex_unlock(&p->lock);
}
