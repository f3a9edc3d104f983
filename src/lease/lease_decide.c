#include <string.h>
#include <xxhash.h>

#include "lease/lease.h"

#define DOMAINS_MAX 64
#define DOMAIN_MATCH_BIT (UINT64_C(1) << 63)
#define REGION_MATCH_BIT (UINT64_C(1) << 62)

/* One round of decisions. */
struct round {
	struct lease_decider *decider;
	const struct lease_table *table;
	const struct lease_inputs *inputs;
	uint32_t domains[DOMAINS_MAX];
	size_t domain_count;
	const struct lease_member *self;
	struct lease_claim *out;
	size_t count;
	size_t max;
};

/* Where an owner or a standby should be. */
struct placement {
	uint32_t domain;
	int other_domain; /* in any domain but that one */
	uint32_t region;
};

static void collect_domains(struct round *);
static void add_domain(struct round *, uint32_t);
static const struct lease_member *find_member(
    const struct round *, const struct node_id *);
static int is_alive(const struct round *, const struct node_id *);
static struct placement owner_placement(const struct round *, uint32_t);
static struct placement standby_placement(const struct lease_member *);
static uint64_t member_score(
    uint32_t, const struct placement *, const struct lease_member *);
static const struct lease_member *pick_member(const struct round *, uint32_t,
    const struct placement *, uint64_t, const struct node_id *,
    const struct node_id *);
static uint64_t count_better_members(const struct round *, uint32_t);
static void add_claim(
    struct round *, uint32_t, const struct node_id *, const struct node_id *);
static void claim_self(struct round *, uint32_t);
static int standby_is_ready(const struct round *, uint32_t);
static void replace_standby(struct round *, uint32_t);
static void hand_over(struct round *, uint32_t, const struct lease_member *);
static int move_standby(struct round *, uint32_t, const struct lease_member *);
static int move_owner(struct round *, uint32_t, const struct lease_member *,
    const struct lease_member *);
static void rebalance(struct round *, uint32_t, const struct lease_member *);
static void decide_owned(struct round *, uint32_t);
static void decide_vacant(struct round *, uint32_t);
static void decide_dead_owner(struct round *, uint32_t);
static void decide_part(struct round *, uint32_t);
static int sees_minority(const struct round *);

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
collect_domains(struct round *r)
{
	const struct lease_member *m;
	size_t i;

	for (i = 0; i < r->inputs->count; i++) {
		m = &r->inputs->members[i];
		if (m->alive && m->preferred)
			add_domain(r, m->domain);
	}
	if (r->domain_count > 0)
		return;
	for (i = 0; i < r->inputs->count; i++)
		if (r->inputs->members[i].alive)
			add_domain(r, r->inputs->members[i].domain);
}

/*
 * Finds a member by its name, or NULL.
 */
static const struct lease_member *
find_member(const struct round *r, const struct node_id *id)
{
	size_t i;

	for (i = 0; i < r->inputs->count; i++)
		if (nodeid_equal(&r->inputs->members[i].id, id))
			return &r->inputs->members[i];
	return NULL;
}

/*
 * Tells whether a node is a live member.
 */
static int
is_alive(const struct round *r, const struct node_id *id)
{
	const struct lease_member *m = find_member(r, id);

	return m != NULL && m->alive;
}

/*
 * Returns where a partition's owner should be.
 */
static struct placement
owner_placement(const struct round *r, uint32_t part)
{
	uint32_t group = part / LEASE_GROUP_PARTS;
	struct placement w = { .domain = r->domains[group % r->domain_count] };

	return w;
}

/*
 * Returns where an owner's standby should be: in another failure domain, so
 * that the loss of one leaves either, but in the same region.
 */
static struct placement
standby_placement(const struct lease_member *owner)
{
	struct placement w = { owner->domain, 1, owner->region };

	return w;
}

/*
 * Weighs a member for a partition: by where it should be first, then by
 * rendezvous hashing.
 */
static uint64_t
member_score(
    uint32_t part, const struct placement *w, const struct lease_member *m)
{
	uint64_t key[4] = { part, m->id.addr, m->id.rpc_port,
		m->id.incarnation };
	uint64_t h = XXH3_64bits(key, sizeof(key)) >> 2;

	if ((m->domain == w->domain) != w->other_domain)
		h |= DOMAIN_MATCH_BIT;
	return m->region == w->region ? h | REGION_MATCH_BIT : h;
}

/*
 * Picks the best live member of at least an age (ms) but for two nodes, or
 * NULL.
 */
static const struct lease_member *
pick_member(const struct round *r, uint32_t part, const struct placement *w,
    uint64_t age_ms, const struct node_id *exclude1,
    const struct node_id *exclude2)
{
	const struct lease_member *m, *best = NULL;
	uint64_t s, top = 0;
	size_t i;

	for (i = 0; i < r->inputs->count; i++) {
		m = &r->inputs->members[i];
		if (!m->alive || m->leaving || m->age_ms < age_ms ||
		    nodeid_equal(&m->id, exclude1) ||
		    nodeid_equal(&m->id, exclude2))
			continue;
		s = member_score(part, w, m);
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
count_better_members(const struct round *r, uint32_t part)
{
	struct placement w = owner_placement(r, part);
	uint64_t own = member_score(part, &w, r->self), n = 0;
	const struct lease_member *m;
	size_t i;

	for (i = 0; i < r->inputs->count; i++) {
		m = &r->inputs->members[i];
		if (m->alive && !m->leaving && member_score(part, &w, m) > own)
			n++;
	}
	return n;
}

/*
 * Adds a claim on the term in force, if there is room in this round.
 */
static void
add_claim(struct round *r, uint32_t part, const struct node_id *owner,
    const struct node_id *standby)
{
	const struct lease_entry *e = &r->table->part[part];
	struct lease_claim *c;

	if (r->count == r->max)
		return;
	c = &r->out[r->count++];
	c->part = part;
	c->prev = e->term;
	c->term = e->term + 1;
	c->by = r->table->self;
	c->owner = *owner;
	c->standby = *standby;
}

/*
 * Claims a partition for this node, with the best standby.
 */
static void
claim_self(struct round *r, uint32_t part)
{
	const struct placement w = standby_placement(r->self);
	const struct lease_member *m;

	m = pick_member(r, part, &w, 0, &r->table->self, &no_node);
	add_claim(r, part, &r->table->self, m != NULL ? &m->id : &no_node);
}

/*
 * Tells whether the standby of an own partition could act at once.
 */
static int
standby_is_ready(const struct round *r, uint32_t part)
{
	return r->inputs->ready == NULL ||
	       r->inputs->ready(r->inputs->ready_ctx, part);
}

/*
 * Names a new standby for an own partition, if there is a candidate.
 */
static void
replace_standby(struct round *r, uint32_t part)
{
	const struct lease_entry *e = &r->table->part[part];
	const struct placement w = standby_placement(r->self);
	const struct lease_member *m;

	m = pick_member(r, part, &w, 0, &r->table->self, &e->standby);
	if (m != NULL)
		add_claim(r, part, &r->table->self, &m->id);
}

/*
 * Hands an own partition to its standby before a planned stop.
 */
static void
hand_over(struct round *r, uint32_t part, const struct lease_member *standby)
{
	const struct lease_entry *e = &r->table->part[part];
	const struct placement w = standby_placement(standby);
	const struct lease_member *m;

	if (!standby_is_ready(r, part))
		return;
	m = pick_member(r, part, &w, 0, &r->table->self, &e->standby);
	add_claim(r, part, &e->standby, m != NULL ? &m->id : &no_node);
}

/*
 * Names a standby in another failure domain where the present one is in the
 * own and a better one can be had.  Returns 1 if it did.
 */
static int
move_standby(struct round *r, uint32_t part, const struct lease_member *standby)
{
	const struct placement w = standby_placement(r->self);
	const struct lease_member *m;

	if (standby->domain != r->self->domain)
		return 0;
	m = pick_member(
	    r, part, &w, LEASE_STABLE_MS, &r->table->self, &no_node);
	if (m == NULL || m->domain == r->self->domain)
		return 0;
	add_claim(r, part, &r->table->self, &m->id);
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
		add_claim(r, part, &r->table->self, &to->id);
	else if (standby_is_ready(r, part))
		add_claim(r, part, &to->id, &r->table->self);
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
	const struct lease_entry *e = &r->table->part[part];
	const struct lease_member *m;
	uint64_t now = r->inputs->now_ms;
	struct placement w = owner_placement(r, part);
	int moved;

	if ((r->decider->has_moved &&
		now - r->decider->last_move_ms < LEASE_REBALANCE_INTERVAL_MS) ||
	    now - e->read_ms < LEASE_REBALANCE_INTERVAL_MS)
		return;
	if (r->domain_count < LEASE_GROUPS)
		w.domain = r->self->domain;
	m = pick_member(r, part, &w, LEASE_STABLE_MS, &no_node, &no_node);
	if (m == NULL)
		return;
	moved = m == r->self ? move_standby(r, part, standby)
			     : move_owner(r, part, m, standby);
	if (!moved)
		return;
	r->decider->has_moved = 1;
	r->decider->last_move_ms = now;
}

/*
 * Decides on a partition of this node's own.
 */
static void
decide_owned(struct round *r, uint32_t part)
{
	const struct lease_entry *e = &r->table->part[part];
	const struct lease_member *s = find_member(r, &e->standby);

	if (s == NULL || !s->alive || s->leaving)
		replace_standby(r, part);
	else if (r->decider->stopping)
		hand_over(r, part, s);
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
	uint64_t now = r->inputs->now_ms, waited;

	if (r->decider->owner_dead_since_ms[part] == 0)
		r->decider->owner_dead_since_ms[part] = now;
	waited = now - r->decider->owner_dead_since_ms[part];
	if (waited < LEASE_DISCOVERY_MS)
		return;
	if (waited >= LEASE_DISCOVERY_MS +
			  count_better_members(r, part) * LEASE_RANK_DELAY_MS)
		claim_self(r, part);
}

/*
 * Decides on a partition whose owner is dead: its standby takes over, and
 * anyone else only after both have long been silent.
 */
static void
decide_dead_owner(struct round *r, uint32_t part)
{
	const struct lease_entry *e = &r->table->part[part];
	uint64_t wait;

	if (r->decider->owner_dead_since_ms[part] == 0)
		r->decider->owner_dead_since_ms[part] = r->inputs->now_ms;
	if (nodeid_equal(&e->standby, &r->table->self)) {
		claim_self(r, part);
		return;
	}
	wait = is_alive(r, &e->standby) ? LEASE_STANDBY_IDLE_MS
					: LEASE_OWNER_DEAD_MS;
	if (r->inputs->now_ms - r->decider->owner_dead_since_ms[part] < wait)
		return;
	wait += count_better_members(r, part) * LEASE_RANK_DELAY_MS;
	if (r->inputs->now_ms - r->decider->owner_dead_since_ms[part] >= wait)
		claim_self(r, part);
}

/*
 * Decides on one partition.
 */
static void
decide_part(struct round *r, uint32_t part)
{
	const struct lease_entry *e = &r->table->part[part];

	if (e->hint_term > e->term)
		return;
	if (nodeid_equal(&e->owner, &r->table->self)) {
		r->decider->owner_dead_since_ms[part] = 0;
		decide_owned(r, part);
		return;
	}
	if (!nodeid_is_none(&e->owner) && is_alive(r, &e->owner)) {
		r->decider->owner_dead_since_ms[part] = 0;
		return;
	}
	if (r->decider->stopping)
		return;
	if (nodeid_is_none(&e->owner))
		decide_vacant(r, part);
	else
		decide_dead_owner(r, part);
}

/*
 * Tells whether this node sees less than half of the members.  Cut off with
 * its domain, but not from the log, it would take leases to where most can't
 * reach them.
 */
static int
sees_minority(const struct round *r)
{
	const struct lease_member *m;
	size_t i, known = 0, alive = 0;

	for (i = 0; i < r->inputs->count; i++) {
		m = &r->inputs->members[i];
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
	struct round r = {
		.decider = d, .table = t, .inputs = in, .out = out, .max = max
	};
	uint32_t part;

	if (!t->complete || !t->has_read_proof ||
	    in->now_ms - t->read_sent_ms >= LEASE_READ_AGE_MAX_MS)
		return 0;
	r.self = find_member(&r, &t->self);
	collect_domains(&r);
	if (r.self == NULL || r.domain_count == 0 || sees_minority(&r))
		return 0;
	for (part = 0; part < LEASE_PARTS; part++)
		decide_part(&r, part);
	return r.count;
}
