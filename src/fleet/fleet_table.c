#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "fleet/fleet.h"

#define HEARTBEAT_MS 250    /* heartbeat interval of a small fleet */
#define HEARTBEAT_PEER_MS 6 /* least interval per peer; bounds the traffic */
#define MISSED_HEARTBEATS 4 /* intervals after which a node counts as dead */
#define MISSED_SLACK_MS 200 /* for late timers and datagrams */
/* Silence after which a node no longer counts in the quorum. */
#define FORGET_AFTER_MS 20000
/* The same without a quorum: longer than network partitions last. */
#define FORGET_NO_QUORUM_MS 60000
/*
 * The same for a listed node that was never heard.  A fleet that has lost most
 * of its nodes for good must serve again within 15 s of its restart.
 */
#define FORGET_UNHEARD_MS 10000
/* Intervals of isolation after a pause, so that all heartbeats can arrive. */
#define PAUSE_ISOLATION_HEARTBEATS 2
/* An isolated node that a majority hears for this long owns limits again. */
#define REJOIN_AFTER_MS 5000
#define PER_THOUSAND 1000.0
#define US_PER_S 1000000.0
/* A lower incarnation is accepted once a higher one is silent this long. */
#define RESTART_SILENCE_MS 1000

static int highest_weight_node(const struct fleet_table *, uint64_t, int);
static void copy_node_name(char *, const char *);
static void apply_load(struct fleet_table *, struct fleet_peer *,
    const struct fleet_load *, uint64_t);
static uint64_t digest_name(uint64_t, const char *);
static int hash_cmp(const void *, const void *);
static uint32_t count_occurrences(const uint32_t *, size_t, uint64_t);
static void update_isolation(struct fleet_table *, uint64_t);
static void update_own_isolation(struct fleet_table *, int, int, uint64_t);
static uint64_t forget_after_ms(const struct fleet_peer *, int);

/*
 * Initializes a table that contains only this node, given its name and the time
 * (ms) of its start.
 */
void
fleet_table_init(struct fleet_table *t, const char *node, uint64_t now)
{
	memset(t, 0, sizeof(*t));
	copy_node_name(t->node, node);
	t->node_hash = XXH3_64bits(t->node, strlen(t->node));
	t->heartbeat_interval_ms = HEARTBEAT_MS;
	t->members_changed_ms = now;
}

/*
 * Frees the table's memory.
 */
void
fleet_table_finish(struct fleet_table *t)
{
	free(t->peers);
	t->peers = NULL;
	t->count = t->cap = 0;
}

/*
 * Copies a name into a field of FLEET_NAME_BYTES and truncates it if it is too
 * long.
 */
static void
copy_node_name(char *dst, const char *src)
{
	snprintf(dst, FLEET_NAME_BYTES, "%s", src);
}

/*
 * Returns the handle of a node, or FLEET_NONE if its name is unknown.
 */
int
fleet_find(const struct fleet_table *t, const char *node)
{
	size_t i;

	for (i = 0; i < t->count; i++)
		if (strcmp(t->peers[i].node, node) == 0)
			return (int)i;
	return FLEET_NONE;
}

/*
 * Records that all nodes of the store's list have been added.
 */
void
fleet_set_node_list_complete(struct fleet_table *t)
{
	t->node_list_complete = 1;
}

/*
 * Adds a node that is reported at an address, if it is new.  Returns its
 * handle, or FLEET_SELF for this node.
 */
int
fleet_add_node(
    struct fleet_table *t, const char *node, uint32_t address, uint64_t now)
{
	struct fleet_peer *p;
	int i;

	if (strcmp(node, t->node) == 0)
		return FLEET_SELF;
	i = fleet_find(t, node);
	if (i != FLEET_NONE) {
		p = &t->peers[i];
		if (p->heard_ms == 0)
			p->address = address;
		return i;
	}
	if (t->count == t->cap) {
		t->cap = t->cap == 0 ? 32 : t->cap * 2;
		t->peers = reallocarray(t->peers, t->cap, sizeof(*t->peers));
		if (t->peers == NULL)
			err(1, "out of memory");
	}
	p = &t->peers[t->count];
	memset(p, 0, sizeof(*p));
	copy_node_name(p->node, node);
	p->name_hash = XXH3_64bits(p->node, strlen(p->node));
	p->address = address;
	p->learned_ms = now;
	t->heartbeat_interval_ms = HEARTBEAT_MS;
	if (t->count * HEARTBEAT_PEER_MS > HEARTBEAT_MS)
		t->heartbeat_interval_ms = t->count * HEARTBEAT_PEER_MS;
	return (int)t->count++;
}

/*
 * Applies a full heartbeat.  Returns the sender's handle, FLEET_SELF if this
 * node sent the heartbeat, or FLEET_NONE if the heartbeat is outdated.  Sets
 * *changed if the sender, its incarnation, its server or either one's state
 * differs from before.
 */
int
fleet_apply_heartbeat(struct fleet_table *t, const struct fleet_heartbeat *b,
    uint64_t now, int *changed)
{
	struct fleet_peer *p;
	struct fleet_server *s;
	int i;

	*changed = 0;
	i = fleet_add_node(t, b->node, b->address, now);
	if (i == FLEET_SELF)
		return i;
	p = &t->peers[i];
	if (p->heard_ms != 0 && b->incarnation < p->incarnation &&
	    now - p->heard_ms < RESTART_SILENCE_MS)
		return FLEET_NONE;
	if (p->heard_ms != 0 && b->incarnation == p->incarnation &&
	    b->load.sequence <= p->sequence)
		return FLEET_NONE;
	s = &p->server;
	*changed = p->heard_ms == 0 || b->incarnation != p->incarnation ||
		   p->stopping != (int)b->stopping || p->has_departed ||
		   strcmp(s->id, b->server.id) != 0 ||
		   s->process_started_ms != b->server.born_ms ||
		   s->unavailable_state != (int)b->server.away;
	fleet_note_departure(p, b);
	copy_node_name(p->zone, b->zone);
	p->incarnation = b->incarnation;
	p->full_digest = fleet_heartbeat_digest(b);
	p->address = b->address;
	p->port = (uint16_t)b->port;
	p->stopping = (int)b->stopping;
	p->has_departed = 0;
	p->delisted = 0;
	p->store_lost = b->store_lost.store_lost_len > 0;
	copy_node_name(s->id, b->server.id);
	copy_node_name(s->service, b->server.service);
	s->process_started_ms = b->server.born_ms;
	s->slots = b->server.slots;
	s->cold_until_ms = b->server.cold_ms > 0 ? now + b->server.cold_ms : 0;
	s->unavailable_state = fleet_server_has_departed(&p->departed_server,
				   b->server.id, b->server.born_ms)
				   ? FLEET_LEAVING
				   : (int)b->server.away;
	apply_load(t, p, &b->load, now);
	return i;
}

/*
 * Applies the load that a heartbeat reports.
 */
static void
apply_load(struct fleet_table *t, struct fleet_peer *p,
    const struct fleet_load *l, uint64_t now)
{
	struct fleet_server *s = &p->server;

	if (l->nodes > t->reported_size)
		t->reported_size = l->nodes;
	p->reported_isolated = (int)l->out;
	p->silent_count = l->silent.silent_len;
	if (p->silent_count > 0)
		memcpy(p->silent_hashes, l->silent.silent_val,
		    p->silent_count * sizeof(*p->silent_hashes));

	p->heard_ms = now;
	p->sequence = l->sequence;
	p->config_version = l->config_version;
	s->running = l->running;
	s->waiting = l->waiting;
	s->offered_load = l->offered / PER_THOUSAND;
	s->mean_run_s = l->run_us / US_PER_S;
	s->failure_share = l->failing / PER_THOUSAND;
}

/*
 * Applies a load heartbeat that came from an address.  Returns the sender's
 * handle, or FLEET_NONE if the heartbeat is outdated or the full heartbeat that
 * it refers to has not arrived.
 */
int
fleet_apply_load_heartbeat(struct fleet_table *t,
    const struct fleet_load_heartbeat *m, uint32_t address, uint64_t now)
{
	struct fleet_peer *p;
	size_t i;

	/* A node that has gone may have had the same address. */
	for (i = 0; i < t->count; i++) {
		p = &t->peers[i];
		if (p->address == address && !p->has_departed &&
		    p->heard_ms != 0 && p->incarnation == m->incarnation)
			break;
	}
	if (i == t->count || m->load.sequence <= t->peers[i].sequence)
		return FLEET_NONE;
	p = &t->peers[i];
	if (p->full_digest != m->print) {
		/* A full heartbeat was lost; the next one follows soon. */
		p->heard_ms = now;
		p->config_version = m->load.config_version;
		return FLEET_NONE;
	}
	apply_load(t, p, &m->load, now);
	return (int)i;
}

/*
 * Computes a digest of a full heartbeat without its load and the warm-up of the
 * server.
 */
uint64_t
fleet_heartbeat_digest(const struct fleet_heartbeat *b)
{
	const struct fleet_server_state *s = &b->server;
	const uint64_t numbers[] = { b->incarnation, b->address, b->port,
		b->stopping, s->born_ms, s->slots, s->away };
	uint64_t digest = XXH3_64bits(numbers, sizeof(numbers));
	u_int i;

	digest = digest_name(digest, b->node);
	digest = digest_name(digest, b->zone);
	digest = digest_name(digest, s->id);
	digest = digest_name(digest, s->service);
	for (i = 0; i < b->calls.calls_len; i++)
		digest = digest_name(digest, b->calls.calls_val[i]);
	digest = digest_name(digest, "");
	for (i = 0; i < b->demands.demands_len; i++)
		digest = digest_name(digest, b->demands.demands_val[i]);
	if (b->demand_routes.demand_routes_len > 0)
		digest =
		    XXH3_64bits_withSeed(b->demand_routes.demand_routes_val,
			b->demand_routes.demand_routes_len *
			    sizeof(*b->demand_routes.demand_routes_val),
			digest);
	return digest;
}

/*
 * Adds a name to a digest.
 */
static uint64_t
digest_name(uint64_t digest, const char *name)
{
	return XXH3_64bits_withSeed(name, strlen(name) + 1, digest);
}

/*
 * Applies a node's goodbye: the node no longer counts until its next heartbeat.
 */
void
fleet_apply_goodbye(
    struct fleet_table *t, const struct fleet_heartbeat *b, uint64_t now)
{
	int i = fleet_find(t, b->node);

	if (i == FLEET_NONE || t->peers[i].incarnation > b->incarnation)
		return;
	t->peers[i].has_departed = 1;
	t->peers[i].stopping = 1;
	t->peers[i].heard_ms = now;
	t->peers[i].incarnation = b->incarnation;
	t->peers[i].sequence = b->load.sequence;
}

/*
 * Returns whether a recent heartbeat of a node has arrived.
 */
int
fleet_is_alive(const struct fleet_table *t, size_t i, uint64_t now)
{
	const struct fleet_peer *p = &t->peers[i];

	return !p->has_departed && p->heard_ms != 0 &&
	       now - p->heard_ms < fleet_dead_after_ms(t);
}

/*
 * Returns the time without heartbeats after which a node counts as dead.
 */
uint64_t
fleet_dead_after_ms(const struct fleet_table *t)
{
	return t->heartbeat_interval_ms * MISSED_HEARTBEATS + MISSED_SLACK_MS;
}

/*
 * Returns whether more than half of the known nodes are alive.  At most one
 * part of a partitioned fleet can have this quorum and own limits.
 */
int
fleet_has_quorum(const struct fleet_table *t, uint64_t now)
{
	struct fleet_counts n;

	fleet_count(t, now, &n);
	return n.known != FLEET_SIZE_UNKNOWN && n.alive * 2 > n.known;
}

/*
 * Counts the nodes that are known, alive and not heard yet.
 */
void
fleet_count(const struct fleet_table *t, uint64_t now, struct fleet_counts *n)
{
	const struct fleet_peer *p;
	size_t i;

	n->known = fleet_size(t);
	n->alive = 1;
	n->unheard = 0;
	for (i = 0; i < t->count; i++) {
		p = &t->peers[i];
		n->alive += (uint32_t)fleet_is_alive(t, i, now);
		n->unheard += !p->has_departed && p->heard_ms == 0;
	}
}

/*
 * Returns the number of known nodes, including this one.  Until a started node
 * has read the node list, it uses the largest size that a peer reported.
 * Before the first report the size is FLEET_SIZE_UNKNOWN, with which this
 * node's share of anything is nothing.
 */
uint32_t
fleet_size(const struct fleet_table *t)
{
	uint32_t n = 1;
	size_t i;

	for (i = 0; i < t->count; i++)
		n += !t->peers[i].has_departed;
	if (t->node_list_complete)
		return n;
	if (t->reported_size == 0)
		return FLEET_SIZE_UNKNOWN;
	return n > t->reported_size ? n : t->reported_size;
}

/*
 * Returns a node's rendezvous weight for a key.
 */
uint64_t
fleet_weight(uint64_t node, uint64_t key)
{
	uint64_t pair[2] = { node, key };

	return XXH3_64bits(pair, sizeof(pair));
}

/*
 * Fills a list of FLEET_SILENT_MAX entries with the name hashes of nodes that
 * have fallen silent without a goodbye.  Returns their number.
 */
uint32_t
fleet_list_silent(const struct fleet_table *t, uint64_t now, uint32_t *list)
{
	const struct fleet_peer *p;
	uint32_t n = 0;
	size_t i;

	for (i = 0; i < t->count && n < FLEET_SILENT_MAX; i++) {
		p = &t->peers[i];
		if (p->heard_ms != 0 && !p->has_departed &&
		    !fleet_is_alive(t, i, now))
			list[n++] = (uint32_t)p->name_hash;
	}
	return n;
}

/*
 * Compares two hashes for qsort().
 */
static int
hash_cmp(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

/*
 * Counts the occurrences of a node's hash in a sorted list.
 */
static uint32_t
count_occurrences(const uint32_t *list, size_t n, uint64_t node)
{
	uint32_t hash = (uint32_t)node, votes = 0;
	size_t lo = 0, hi = n, mid;

	while (lo < hi) {
		mid = lo + (hi - lo) / 2;
		if (list[mid] < hash)
			lo = mid + 1;
		else
			hi = mid;
	}
	for (; lo < n && list[lo] == hash; lo++)
		votes++;
	return votes;
}

/*
 * Decides whether this node may own limits.  A node that a majority stops
 * hearing while it still hears them has a bad link.  It stays isolated until
 * the link has worked for REJOIN_AFTER_MS, since a limit whose owner keeps
 * changing has no effective owner.  After a partition or a start, all nodes
 * join at once.
 */
static void
update_own_isolation(
    struct fleet_table *t, int majority_hears, int quorum, uint64_t now)
{
	if (!quorum)
		t->was_participating = 0;
	if (!majority_hears)
		t->unheard_by_majority_ms = now;
	t->self_isolated =
	    !majority_hears || now < t->isolated_until_ms ||
	    (t->was_participating && t->self_isolated &&
		now - t->unheard_by_majority_ms < REJOIN_AFTER_MS);
	if (!t->self_isolated)
		t->was_participating = 1;
}

/*
 * Isolates each peer that more than half of all nodes don't hear.  This node
 * isolates itself unless, as far as it knows, more than half of all nodes hear
 * it.  Thus a node that only a few don't hear keeps its limits, and no second
 * node takes them over.
 */
static void
update_isolation(struct fleet_table *t, uint64_t now)
{
	uint32_t *list, voters = 1, votes, known = fleet_size(t);
	const struct fleet_peer *p;
	size_t n = 0, i;

	list = calloc(t->count + 1, FLEET_SILENT_MAX * sizeof(*list));
	if (list == NULL)
		err(1, "out of memory");
	for (i = 0; i < t->count; i++) {
		p = &t->peers[i];
		if (!fleet_is_alive(t, i, now))
			continue;
		voters++;
		memcpy(&list[n], p->silent_hashes,
		    p->silent_count * sizeof(*list));
		n += p->silent_count;
	}
	qsort(list, n, sizeof(*list), hash_cmp);
	for (i = 0; i < t->count; i++) {
		votes = count_occurrences(list, n, t->peers[i].name_hash);
		votes += !fleet_is_alive(t, i, now);
		t->peers[i].isolated =
		    t->peers[i].reported_isolated || votes > known / 2;
	}
	votes = count_occurrences(list, n, t->node_hash);
	update_own_isolation(t, votes < voters && voters - votes > known / 2,
	    voters > known / 2, now);
	free(list);
}

/*
 * Returns the node with the highest rendezvous weight among those that are not
 * isolated, or FLEET_NONE.  This node is a candidate only if self is set.
 */
static int
highest_weight_node(const struct fleet_table *t, uint64_t key, int self)
{
	uint64_t w, best = 0;
	const struct fleet_peer *p;
	int owner = FLEET_NONE;
	size_t i;

	if (self && !t->self_isolated) {
		best = fleet_weight(t->node_hash, key);
		owner = FLEET_SELF;
	}
	for (i = 0; i < t->count; i++) {
		p = &t->peers[i];
		if (p->stopping || p->has_departed || p->isolated ||
		    p->heard_ms == 0)
			continue;
		w = fleet_weight(p->name_hash, key);
		if (w <= best)
			continue;
		best = w;
		owner = (int)i;
	}
	return owner;
}

/*
 * Returns the live node that owns a limit: a handle, FLEET_SELF, or FLEET_NONE
 * without a quorum.
 */
int
fleet_owner(const struct fleet_table *t, uint64_t key, uint64_t now)
{
	if (!fleet_has_quorum(t, now))
		return FLEET_NONE;
	return highest_weight_node(t, key, 1);
}

/*
 * Returns the node that owns a limit after this node has stopped, or
 * FLEET_NONE.
 */
int
fleet_successor(const struct fleet_table *t, uint64_t key)
{
	return highest_weight_node(t, key, 0);
}

/*
 * Returns how long a silent node counts as known.  The minority of a
 * partitioned fleet remembers the majority for longer, or it would take itself
 * for the whole fleet.  Nodes that never sent a heartbeat may have been removed
 * long ago.
 */
static uint64_t
forget_after_ms(const struct fleet_peer *p, int quorum)
{
	if (p->heard_ms == 0)
		return FORGET_UNHEARD_MS;
	return quorum ? FORGET_AFTER_MS : FORGET_NO_QUORUM_MS;
}

/*
 * Marks nodes as departed that have long been silent, updates the isolation of
 * all nodes and records when the set of live nodes changes.
 */
void
fleet_update_members(struct fleet_table *t, uint64_t now)
{
	int quorum = fleet_has_quorum(t, now);
	struct fleet_peer *p;
	uint64_t digest;
	size_t i;

	for (i = 0; i < t->count; i++) {
		p = &t->peers[i];
		if (!p->has_departed &&
		    now - (p->heard_ms != 0 ? p->heard_ms : p->learned_ms) >
			forget_after_ms(p, quorum))
			p->has_departed = 1;
	}
	update_isolation(t, now);
	digest = (uint64_t)t->self_isolated;
	for (i = 0; i < t->count; i++) {
		p = &t->peers[i];
		if (p->heard_ms != 0 && !p->has_departed && !p->isolated &&
		    !p->stopping)
			digest += fleet_weight(p->name_hash, p->incarnation);
	}
	if (digest != t->live_digest) {
		t->live_digest = digest;
		t->members_changed_ms = now;
	}
}

/*
 * Accounts for a pause of this process that ends now.  The silence of other
 * nodes during the pause does not count against them.  But they may have
 * declared this node dead, so it stays isolated until their next heartbeats
 * have arrived.
 */
void
fleet_apply_pause(struct fleet_table *t, uint64_t pause_ms, uint64_t now)
{
	struct fleet_peer *p;
	size_t i;

	if (pause_ms >= fleet_dead_after_ms(t))
		t->isolated_until_ms =
		    now + PAUSE_ISOLATION_HEARTBEATS * t->heartbeat_interval_ms;
	for (i = 0; i < t->count; i++) {
		p = &t->peers[i];
		/* A message may have come after the pause began. */
		p->learned_ms += pause_ms;
		if (p->learned_ms > now)
			p->learned_ms = now;
		if (p->heard_ms == 0)
			continue;
		p->heard_ms += pause_ms;
		if (p->heard_ms > now)
			p->heard_ms = now;
	}
}

/*
 * Returns the time between two heartbeats.
 */
uint64_t
fleet_interval_ms(const struct fleet_table *t)
{
	return t->heartbeat_interval_ms;
}
