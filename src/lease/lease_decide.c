#include <string.h>
#include <xxhash.h>

#include "lease/lease.h"

#define DOMAINS_MAX 64
#define DOMAIN_MATCH (UINT64_C(1) << 63)
#define REGION_MATCH (UINT64_C(1) << 62)

/* One round of decisions. */
struct round {
	struct lease_decider *d;
	const struct lease_table *t;
	const struct lease_inputs *in;
	uint32_t domains[DOMAINS_MAX];
	size_t domain_count;
	const struct lease_member *self;
	struct lease_claim *out;
	size_t count;
	size_t max;
};

/* Where an owner or a standby should be. */
struct want {
	uint32_t domain;
	int apart; /* in any domain but that one */
	uint32_t region;
};

static void round_domains(struct round *);
static void add_domain(struct round *, uint32_t);
static const struct lease_member *find(
    const struct round *, const struct node_id *);
static int is_alive(const struct round *, const struct node_id *);
static struct want home(const struct round *, uint32_t);
static struct want apart_from(const struct lease_member *);
static uint64_t score(
    uint32_t, const struct want *, const struct lease_member *);
static const struct lease_member *pick(const struct round *, uint32_t,
    const struct want *, uint64_t, const struct node_id *,
    const struct node_id *);
static uint64_t rank(const struct round *, uint32_t);
static void claim(
    struct round *, uint32_t, const struct node_id *, const struct node_id *);
static void claim_self(struct round *, uint32_t);
static int is_ready(const struct round *, uint32_t);
static void name_standby(struct round *, uint32_t);
static void leave(struct round *, uint32_t, const struct lease_member *);
static int move_standby(struct round *, uint32_t, const struct lease_member *);
static int move_owner(struct round *, uint32_t, const struct lease_member *,
    const struct lease_member *);
static void rebalance(struct round *, uint32_t, const struct lease_member *);
static void decide_own(struct round *, uint32_t);
static void decide_vacant(struct round *, uint32_t);
static void decide_dead(struct round *, uint32_t);
static void decide_part(struct round *, uint32_t);
static int in_minority(const struct round *);

static const struct node_id no_node;

/*
 * Prepares the memory that decisions need between two rounds.
 */
void
lease_decider_init(struct lease_decider *d)
{
	memset(d, 0, sizeof(*d));
}

/*
 * Adds a failure domain to those of the round, in ascending order.
 */
static void
add_domain(struct round *r, uint32_t domain)
{
	size_t j;

	for (j = 0; j < r->domain_count; j++)
		if (r->domains[j] >= domain)
			break;
	if ((j < r->domain_count && r->domains[j] == domain) ||
	    r->domain_count == DOMAINS_MAX)
		return;
	memmove(&r->domains[j + 1], &r->domains[j],
	    (r->domain_count - j) * sizeof(r->domains[0]));
	r->domains[j] = domain;
	r->domain_count++;
}

/*
 * Collects the distinct failure domains that may hold owners, so that all
 * nodes with the same members number them alike: those with live members
 * that are preferred, or with any if there are none.
 */
static void
round_domains(struct round *r)
{
	const struct lease_member *m;
	size_t i;

	for (i = 0; i < r->in->count; i++) {
		m = &r->in->members[i];
		if (m->alive && m->preferred)
			add_domain(r, m->domain);
	}
	if (r->domain_count > 0)
		return;
	for (i = 0; i < r->in->count; i++)
		if (r->in->members[i].alive)
			add_domain(r, r->in->members[i].domain);
}

/*
 * Finds a member by its name, or NULL.
 */
static const struct lease_member *
find(const struct round *r, const struct node_id *id)
{
	size_t i;

	for (i = 0; i < r->in->count; i++)
		if (nodeid_equal(&r->in->members[i].id, id))
			return &r->in->members[i];
	return NULL;
}

/*
 * Tells whether a node is a live member.
 */
static int
is_alive(const struct round *r, const struct node_id *id)
{
	const struct lease_member *m = find(r, id);

	return m != NULL && m->alive;
}

/*
 * Returns where a partition's owner should be.
 */
static struct want
home(const struct round *r, uint32_t part)
{
	uint32_t group = part / LEASE_GROUP_PARTS;
	struct want w = { .domain = r->domains[group % r->domain_count] };

	return w;
}

/*
 * Returns where an owner's standby should be: in another failure domain, so
 * that the loss of one leaves either, but in the same region.
 */
static struct want
apart_from(const struct lease_member *owner)
{
	struct want w = { owner->domain, 1, owner->region };

	return w;
}

/*
 * Weighs a member for a partition: by where it should be first, then by
 * rendezvous hashing.
 */
static uint64_t
score(uint32_t part, const struct want *w, const struct lease_member *m)
{
	uint64_t key[4] = { part, m->id.addr, m->id.rpc_port,
		m->id.incarnation };
	uint64_t h = XXH3_64bits(key, sizeof(key)) >> 2;

	if ((m->domain == w->domain) != w->apart)
		h |= DOMAIN_MATCH;
	return m->region == w->region ? h | REGION_MATCH : h;
}

/*
 * Picks the best live member of at least an age (ms) but for two nodes, or
 * NULL.
 */
static const struct lease_member *
pick(const struct round *r, uint32_t part, const struct want *w,
    uint64_t age_ms, const struct node_id *not1, const struct node_id *not2)
{
	const struct lease_member *m, *best = NULL;
	uint64_t s, top = 0;
	size_t i;

	for (i = 0; i < r->in->count; i++) {
		m = &r->in->members[i];
		if (!m->alive || m->leaving || m->age_ms < age_ms ||
		    nodeid_equal(&m->id, not1) || nodeid_equal(&m->id, not2))
			continue;
		s = score(part, w, m);
		if (best == NULL || s > top) {
			best = m;
			top = s;
		}
	}
	return best;
}

/*
 * Returns how many live members come before this node for a partition.
 */
static uint64_t
rank(const struct round *r, uint32_t part)
{
	struct want w = home(r, part);
	uint64_t own = score(part, &w, r->self), n = 0;
	const struct lease_member *m;
	size_t i;

	for (i = 0; i < r->in->count; i++) {
		m = &r->in->members[i];
		if (m->alive && !m->leaving && score(part, &w, m) > own)
			n++;
	}
	return n;
}

/*
 * Adds a claim on the term in force, if there is room in this round.
 */
static void
claim(struct round *r, uint32_t part, const struct node_id *owner,
    const struct node_id *standby)
{
	const struct lease_entry *e = &r->t->part[part];
	struct lease_claim *c;

	if (r->count == r->max)
		return;
	c = &r->out[r->count++];
	c->part = part;
	c->prev = e->term;
	c->term = e->term + 1;
	c->by = r->t->self;
	c->owner = *owner;
	c->standby = *standby;
}

/*
 * Claims a partition for this node, with the best standby.
 */
static void
claim_self(struct round *r, uint32_t part)
{
	const struct want w = apart_from(r->self);
	const struct lease_member *m;

	m = pick(r, part, &w, 0, &r->t->self, &no_node);
	claim(r, part, &r->t->self, m != NULL ? &m->id : &no_node);
}

/*
 * Tells whether the standby of an own partition could act at once.
 */
static int
is_ready(const struct round *r, uint32_t part)
{
	return r->in->ready == NULL || r->in->ready(r->in->ready_ctx, part);
}

/*
 * Names a new standby for an own partition, if there is a candidate.
 */
static void
name_standby(struct round *r, uint32_t part)
{
	const struct lease_entry *e = &r->t->part[part];
	const struct want w = apart_from(r->self);
	const struct lease_member *m;

	m = pick(r, part, &w, 0, &r->t->self, &e->standby);
	if (m != NULL)
		claim(r, part, &r->t->self, &m->id);
}

/*
 * Hands an own partition to its standby before a planned stop.
 */
static void
leave(struct round *r, uint32_t part, const struct lease_member *standby)
{
	const struct lease_entry *e = &r->t->part[part];
	const struct want w = apart_from(standby);
	const struct lease_member *m;

	if (!is_ready(r, part))
		return;
	m = pick(r, part, &w, 0, &r->t->self, &e->standby);
	claim(r, part, &e->standby, m != NULL ? &m->id : &no_node);
}

/*
 * Names a standby in another failure domain where the present one is in the
 * own and a better one can be had.  Returns 1 if it did.
 */
static int
move_standby(struct round *r, uint32_t part, const struct lease_member *standby)
{
	const struct want w = apart_from(r->self);
	const struct lease_member *m;

	if (standby->domain != r->self->domain)
		return 0;
	m = pick(r, part, &w, LEASE_STABLE_MS, &r->t->self, &no_node);
	if (m == NULL || m->domain == r->self->domain)
		return 0;
	claim(r, part, &r->t->self, &m->id);
	return 1;
}

/*
 * Moves an own partition a step towards the member that should own it: first
 * that one becomes the standby, then the owner.  Returns 1 if it did.
 */
static int
move_owner(struct round *r, uint32_t part, const struct lease_member *to,
    const struct lease_member *standby)
{
	if (to != standby)
		claim(r, part, &r->t->self, &to->id);
	else if (is_ready(r, part))
		claim(r, part, &to->id, &r->t->self);
	else
		return 0;
	return 1;
}

/*
 * Moves an own partition a step, but one at a time, to where it should be.
 * With a whole domain gone, owners stay until it is back.
 */
static void
rebalance(struct round *r, uint32_t part, const struct lease_member *standby)
{
	const struct lease_entry *e = &r->t->part[part];
	const struct lease_member *m;
	uint64_t now = r->in->now_ms;
	struct want w = home(r, part);
	int moved;

	if ((r->d->moved && now - r->d->moved_ms < LEASE_REBALANCE_MS) ||
	    now - e->seen_ms < LEASE_REBALANCE_MS)
		return;
	if (r->domain_count < LEASE_GROUPS)
		w.domain = r->self->domain;
	m = pick(r, part, &w, LEASE_STABLE_MS, &no_node, &no_node);
	if (m == NULL)
		return;
	moved = m == r->self ? move_standby(r, part, standby)
			     : move_owner(r, part, m, standby);
	if (!moved)
		return;
	r->d->moved = 1;
	r->d->moved_ms = now;
}

/*
 * Decides on a partition of this node's own.
 */
static void
decide_own(struct round *r, uint32_t part)
{
	const struct lease_entry *e = &r->t->part[part];
	const struct lease_member *s = find(r, &e->standby);

	if (s == NULL || !s->alive || s->leaving)
		name_standby(r, part);
	else if (r->d->stopping)
		leave(r, part, s);
	else
		rebalance(r, part, s);
}

/*
 * Decides on a partition without an owner: the best candidate claims it once
 * the members have had time to find each other, each further one a while
 * later.
 */
static void
decide_vacant(struct round *r, uint32_t part)
{
	uint64_t now = r->in->now_ms, waited;

	if (r->d->dead_ms[part] == 0)
		r->d->dead_ms[part] = now;
	waited = now - r->d->dead_ms[part];
	if (waited < LEASE_SETTLE_MS)
		return;
	if (waited >= LEASE_SETTLE_MS + rank(r, part) * LEASE_RANK_MS)
		claim_self(r, part);
}

/*
 * Decides on a partition whose owner is dead: its standby takes over, and
 * anyone else only after both have long been silent.
 */
static void
decide_dead(struct round *r, uint32_t part)
{
	const struct lease_entry *e = &r->t->part[part];
	uint64_t wait;

	if (r->d->dead_ms[part] == 0)
		r->d->dead_ms[part] = r->in->now_ms;
	if (nodeid_equal(&e->standby, &r->t->self)) {
		claim_self(r, part);
		return;
	}
	wait = is_alive(r, &e->standby) ? LEASE_IDLE_MS : LEASE_DEAD_MS;
	if (r->in->now_ms - r->d->dead_ms[part] < wait)
		return;
	wait += rank(r, part) * LEASE_RANK_MS;
	if (r->in->now_ms - r->d->dead_ms[part] >= wait)
		claim_self(r, part);
}

/*
 * Decides on one partition.
 */
static void
decide_part(struct round *r, uint32_t part)
{
	const struct lease_entry *e = &r->t->part[part];

	if (e->hint_term > e->term)
		return;
	if (nodeid_equal(&e->owner, &r->t->self)) {
		r->d->dead_ms[part] = 0;
		decide_own(r, part);
		return;
	}
	if (!nodeid_is_none(&e->owner) && is_alive(r, &e->owner)) {
		r->d->dead_ms[part] = 0;
		return;
	}
	if (r->d->stopping)
		return;
	if (nodeid_is_none(&e->owner))
		decide_vacant(r, part);
	else
		decide_dead(r, part);
}

/*
 * Tells whether this node sees less than half of the members.  Cut off with
 * its domain, but not from the log, it would take leases to where most can't
 * reach them.
 */
static int
in_minority(const struct round *r)
{
	const struct lease_member *m;
	size_t i, known = 0, alive = 0;

	for (i = 0; i < r->in->count; i++) {
		m = &r->in->members[i];
		known += m->alive || !m->leaving;
		alive += m->alive != 0;
	}
	return alive * 2 < known;
}

/*
 * Decides which claims this node should append now, at most max of them.
 * Nothing is decided on a table that isn't fresh, or without half of the
 * members.  The members must include
 * this node.  Returns how many claims were written to out.
 */
size_t
lease_decide(struct lease_decider *d, const struct lease_table *t,
    const struct lease_inputs *in, struct lease_claim *out, size_t max)
{
	struct round r = { .d = d, .t = t, .in = in, .out = out, .max = max };
	uint32_t part;

	if (!t->complete || !t->proved ||
	    in->now_ms - t->read_sent_ms >= LEASE_FRESH_MS)
		return 0;
	r.self = find(&r, &t->self);
	round_domains(&r);
	if (r.self == NULL || r.domain_count == 0 || in_minority(&r))
		return 0;
	for (part = 0; part < LEASE_PARTS; part++)
		decide_part(&r, part);
	return r.count;
}
