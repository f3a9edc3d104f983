#include <string.h>
#include <xxhash.h>

#include "lease/lease.h"

#define DOMAINS_MAX 64
#define DOMAIN_MATCH_BIT (UINT64_C(1) << 63)
#define REGION_MATCH_BIT (UINT64_C(1) << 62)

/* State of one lease_decide() call. */
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

/* Preferred placement of an owner or a standby. */
struct placement {
	uint32_t domain;
	int other_domain; /* any domain except this one is preferred */
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
 * Initializes the state that lease_decide() keeps between calls.
 */
void
lease_decider_init(struct lease_decider *d)
{
	memset(d, 0, sizeof(*d));
}

/*
 * Adds a failure domain to the sorted list of the round, unless it is listed
 * already or the list is full.
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
 * Collects the failure domains that may hold owners: those of the live
 * preferred members, or of all live members if no preferred member is alive.
 * The list is sorted, so nodes that see the same members number the domains
 * alike.
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
 * Returns the member with the given id, or NULL if there is none.
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
 * Returns 1 if a node is a live member, 0 if not.
 */
static int
is_alive(const struct round *r, const struct node_id *id)
{
	const struct lease_member *m = find_member(r, id);

	return m != NULL && m->alive;
}

/*
 * Returns the preferred placement of a partition's owner: the failure domain
 * assigned to the partition's group.
 */
static struct placement
owner_placement(const struct round *r, uint32_t part)
{
	uint32_t group = part / LEASE_GROUP_PARTS;
	struct placement w = { .domain = r->domains[group % r->domain_count] };

	return w;
}

/*
 * Returns the preferred placement of the standby of an owner: another failure
 * domain, so that the loss of one domain leaves one of the two, and the same
 * region.
 */
static struct placement
standby_placement(const struct lease_member *owner)
{
	struct placement w = { owner->domain, 1, owner->region };

	return w;
}

/*
 * Returns the score of a member for a partition.  Region and failure domain
 * decide first, in this order; rendezvous hashing breaks ties.
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
 * Returns the live member with the highest score that is not leaving and has
 * been alive for at least age_ms, or NULL if there is none.  The members
 * exclude1 and exclude2 are skipped.
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
 * Returns the number of live members that are not leaving and have a higher
 * score than this node as the owner of a partition.
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
 * Adds a claim that replaces the current term of a partition.  Does nothing if
 * the output of the round is full.
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
	c->prev_term = e->term;
	c->term = e->term + 1;
	c->claimant = r->table->self;
	c->owner = *owner;
	c->standby = *standby;
}

/*
 * Claims a partition for this node, with the best candidate as its standby.
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
 * Returns 1 if the standby of a partition that this node owns has all the
 * state that it needs to take over, 0 if not.
 */
static int
standby_is_ready(const struct round *r, uint32_t part)
{
	return r->inputs->ready == NULL ||
	       r->inputs->ready(r->inputs->ready_ctx, part);
}

/*
 * Names a new standby for a partition that this node owns, if there is a
 * candidate.
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
 * Hands a partition that this node owns over to its standby before a planned
 * stop, once the standby is ready.
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
 * Moves the standby of a partition that this node owns out of this node's
 * failure domain, if a stable member of another domain is available.  Returns 1
 * if a claim was made, 0 if not.
 */
static int
move_standby(struct round *r, uint32_t part, const struct lease_member *standby)
{
	const struct placement w = standby_placement(r->self);
	const struct lease_member *m;

	if (standby->domain != r->self->domain)
		return 0;
	m = pick_member(
	    r, part, &w, LEASE_MEMBER_STABLE_MS, &r->table->self, &no_node);
	if (m == NULL || m->domain == r->self->domain)
		return 0;
	add_claim(r, part, &r->table->self, &m->id);
	return 1;
}

/*
 * Moves a partition that this node owns one step towards its preferred owner:
 * the preferred owner first becomes the standby, and the owner in a later step.
 * Returns 1 if a claim was made, 0 if not.
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
 * Moves a partition that this node owns one step towards its preferred
 * placement.  An owner makes at most one move per LEASE_REBALANCE_INTERVAL_MS.
 * While fewer domains than partition groups are alive, owners stay in their
 * domains.
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
	m = pick_member(
	    r, part, &w, LEASE_MEMBER_STABLE_MS, &no_node, &no_node);
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
 * Decides on a partition that this node owns.
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
 * Decides on a partition without an owner.  The best candidate claims it after
 * LEASE_DISCOVERY_MS; each further candidate waits LEASE_RANK_DELAY_MS longer.
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
 * Decides on a partition whose owner is dead.  The standby claims it at once.
 * Another node claims it LEASE_OWNER_DEAD_MS after the owner was seen dead if
 * the standby is dead too, or LEASE_STANDBY_IDLE_MS after it if the standby is
 * alive but idle.  Each further candidate waits LEASE_RANK_DELAY_MS longer.
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
 * Returns 1 if this node sees less than half of the known members alive.  A
 * node that is cut off with its failure domain, but still reaches the log, must
 * not claim leases: most nodes could not reach it as the owner.
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
 * Decides which claims this node should append now, and writes at most max of
 * them to out.  Makes no decision if the table is incomplete, if its last read
 * is older than LEASE_READ_AGE_MAX_MS, or if less than half of the members are
 * alive.  The members must include this node.  Returns the number of claims.
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
