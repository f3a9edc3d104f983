#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "fleet/fleet.h"

#define HEARTBEAT_MS 250    /* between two beats in a small fleet */
#define HEARTBEAT_PEER_MS 6 /* more for each peer, to bound the traffic */
#define MISSED_HEARTBEATS 4 /* after which a node is taken to be dead */
#define MISSED_SLACK_MS 200 /* for late timers and datagrams */
#define FIRST_READER_KEY 1  /* what the first reader of the store is owner of \
			     */
#define FORGET_AFTER_MS 20000 /* a silent node no longer counts in the quorum \
			       */
#define FORGET_NO_QUORUM_MS \
	60000 /* where a quorum was lost: longer than cuts */
#define PAUSE_ISOLATION_HEARTBEATS \
	2		     /* after a pause, until all have told their part */
#define REJOIN_AFTER_MS 5000 /* heard by most for so long, it decides again */
#define PER_THOUSAND 1000.0
#define US_PER_S 1000000.0
#define RESTART_SILENCE_MS \
	1000 /* an old incarnation silent for that long is gone */

static uint64_t owner_weight(uint64_t, uint64_t);
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
static uint64_t dead_after_ms(const struct fleet_table *);

/*
 * Prepares a table that holds only this node, of that name, which starts now.
 */
void
fleet_table_init(struct fleet_table *t, const char *node, uint64_t now)
{
	memset(t, 0, sizeof(*t));
	copy_node_name(t->node, node);
	t->hash = XXH3_64bits(t->node, strlen(t->node));
	t->interval_ms = HEARTBEAT_MS;
	t->turned_ms = now;
}

/*
 * Frees the table.
 */
void
fleet_table_finish(struct fleet_table *t)
{
	free(t->peers);
	t->peers = NULL;
	t->count = t->cap = 0;
}

/*
 * Copies a name into a field of FLEET_NAME_BYTES, cutting what is too long.
 */
static void
copy_node_name(char *dst, const char *src)
{
	snprintf(dst, FLEET_NAME_BYTES, "%s", src);
}

/*
 * Returns the handle of the node of a name, or FLEET_NONE.
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
 * All nodes in the store's list have been learned.
 */
void
fleet_listed(struct fleet_table *t)
{
	t->listed = 1;
}

/*
 * Notes that a node is said to exist at an address.  Returns its handle, or
 * FLEET_SELF.
 */
int
fleet_learn(
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
	p->hash = XXH3_64bits(p->node, strlen(p->node));
	p->address = address;
	p->learned_ms = now;
	t->interval_ms = HEARTBEAT_MS;
	if (t->count * HEARTBEAT_PEER_MS > HEARTBEAT_MS)
		t->interval_ms = t->count * HEARTBEAT_PEER_MS;
	return (int)t->count++;
}

/*
 * Takes a beat.  Returns the sender's handle, FLEET_SELF for this node's own
 * and FLEET_NONE for one that is out of date.  Sets *changed if it tells of
 * another incarnation, server or state than known before.
 */
int
fleet_heard(struct fleet_table *t, const struct fleet_beat *b, uint64_t now,
    int *changed)
{
	struct fleet_peer *p;
	struct fleet_server *s;
	int i;

	*changed = 0;
	i = fleet_learn(t, b->node, b->address, now);
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
		   p->stopping != (int)b->stopping || p->gone ||
		   strcmp(s->id, b->server.id) != 0 ||
		   s->born_ms != b->server.born_ms ||
		   s->leaving != (int)b->server.away;
	fleet_note_left(p, b);
	copy_node_name(p->zone, b->zone);
	p->incarnation = b->incarnation;
	p->print = fleet_print(b);
	p->address = b->address;
	p->port = (uint16_t)b->port;
	p->stopping = (int)b->stopping;
	p->gone = 0;
	copy_node_name(s->id, b->server.id);
	copy_node_name(s->service, b->server.service);
	s->born_ms = b->server.born_ms;
	s->slots = b->server.slots;
	s->cold_until_ms = b->server.cold_ms > 0 ? now + b->server.cold_ms : 0;
	s->leaving =
	    fleet_has_left(p, &b->server) ? FLEET_LEAVING : (int)b->server.away;
	apply_load(t, p, &b->load, now);
	return i;
}

/*
 * Takes what changes all the time.
 */
static void
apply_load(struct fleet_table *t, struct fleet_peer *p,
    const struct fleet_load *l, uint64_t now)
{
	struct fleet_server *s = &p->server;

	if (l->nodes > t->told_size)
		t->told_size = l->nodes;
	p->says_out = (int)l->out;
	p->silent_count = l->silent.silent_len;
	if (p->silent_count > 0)
		memcpy(p->silent, l->silent.silent_val,
		    p->silent_count * sizeof(*p->silent));

	p->heard_ms = now;
	p->sequence = l->sequence;
	p->config_version = l->config_version;
	s->running = l->running;
	s->waiting = l->waiting;
	s->offered = l->offered / PER_THOUSAND;
	s->run_s = l->run_us / US_PER_S;
	s->failing = l->failing / PER_THOUSAND;
}

/*
 * Takes a pulse that came from an address.  Returns the sender's handle, or
 * FLEET_NONE if its last whole beat isn't known, or if it is out of date.
 */
int
fleet_pulsed(struct fleet_table *t, const struct fleet_pulse *m,
    uint32_t address, uint64_t now)
{
	struct fleet_peer *p;
	size_t i;

	for (i = 0; i < t->count; i++)
		if (t->peers[i].address == address && !t->peers[i].gone)
			break;
	if (i == t->count)
		return FLEET_NONE;
	p = &t->peers[i];
	if (p->heard_ms == 0 || p->incarnation != m->incarnation ||
	    m->load.sequence <= p->sequence)
		return FLEET_NONE;
	if (p->print != m->print) {
		/* A whole beat was lost: it lives, and tells more soon. */
		p->heard_ms = now;
		p->config_version = m->load.config_version;
		return FLEET_NONE;
	}
	apply_load(t, p, &m->load, now);
	return (int)i;
}

/*
 * Computes a hash over all that a beat tells beside the load.
 */
uint64_t
fleet_print(const struct fleet_beat *b)
{
	const struct fleet_server_state *s = &b->server;
	const uint64_t numbers[] = { b->incarnation, b->address, b->port,
		b->stopping, s->born_ms, s->slots, s->away };
	uint64_t print = XXH3_64bits(numbers, sizeof(numbers));
	u_int i;

	print = digest_name(print, b->node);
	print = digest_name(print, b->zone);
	print = digest_name(print, s->id);
	print = digest_name(print, s->service);
	for (i = 0; i < b->calls.calls_len; i++)
		print = digest_name(print, b->calls.calls_val[i]);
	print = digest_name(print, "");
	for (i = 0; i < b->demands.demands_len; i++)
		print = digest_name(print, b->demands.demands_val[i]);
	return print;
}

/*
 * Adds a name to a hash.
 */
static uint64_t
digest_name(uint64_t print, const char *name)
{
	return XXH3_64bits_withSeed(name, strlen(name) + 1, print);
}

/*
 * Takes a node's goodbye: it no longer counts, until it is heard again.
 */
void
fleet_said_bye(struct fleet_table *t, const struct fleet_beat *b, uint64_t now)
{
	int i = fleet_find(t, b->node);

	if (i == FLEET_NONE || t->peers[i].incarnation > b->incarnation)
		return;
	t->peers[i].gone = 1;
	t->peers[i].stopping = 1;
	t->peers[i].heard_ms = now;
	t->peers[i].incarnation = b->incarnation;
	t->peers[i].sequence = b->load.sequence;
}

/*
 * Tells whether a node gave a sign of life not long ago.
 */
int
fleet_alive(const struct fleet_table *t, size_t i, uint64_t now)
{
	const struct fleet_peer *p = &t->peers[i];

	return !p->gone && p->heard_ms != 0 &&
	       now - p->heard_ms < dead_after_ms(t);
}

/*
 * Returns after how long a silent node is taken to be dead.
 */
static uint64_t
dead_after_ms(const struct fleet_table *t)
{
	return t->interval_ms * MISSED_HEARTBEATS + MISSED_SLACK_MS;
}

/*
 * Tells whether more than half of the nodes that are known are alive, so
 * that no two parts of a divided fleet decide for the same limit.
 */
int
fleet_quorum(const struct fleet_table *t, uint64_t now)
{
	uint32_t known = fleet_size(t);
	size_t i, alive = 1;

	for (i = 0; i < t->count; i++)
		alive += (size_t)fleet_alive(t, i, now);
	return known != FLEET_SIZE_UNKNOWN && alive * 2 > known;
}

/*
 * Returns how many nodes are known, this one among them.  A node that has
 * just started knows few or none: until it has read the list of nodes it goes
 * by what others tell, and has FLEET_SIZE_UNKNOWN before that, with which its
 * part of anything is nothing.
 */
uint32_t
fleet_size(const struct fleet_table *t)
{
	uint32_t n = 1;
	size_t i;

	for (i = 0; i < t->count; i++)
		n += !t->peers[i].gone;
	if (t->listed)
		return n;
	if (t->told_size == 0)
		return FLEET_SIZE_UNKNOWN;
	return n > t->told_size ? n : t->told_size;
}

/*
 * Returns a node's weight in the choice of an owner.
 */
static uint64_t
owner_weight(uint64_t node, uint64_t key)
{
	uint64_t pair[2] = { node, key };

	return XXH3_64bits(pair, sizeof(pair));
}

/*
 * Lists nodes that this one doesn't hear any more, though they said no
 * goodbye, into FLEET_SILENT_MAX.  Returns their number.
 */
uint32_t
fleet_silent(const struct fleet_table *t, uint64_t now, uint32_t *list)
{
	const struct fleet_peer *p;
	uint32_t n = 0;
	size_t i;

	for (i = 0; i < t->count && n < FLEET_SILENT_MAX; i++) {
		p = &t->peers[i];
		if (p->heard_ms != 0 && !p->gone && !fleet_alive(t, i, now))
			list[n++] = (uint32_t)p->hash;
	}
	return n;
}

/*
 * Orders hashes.
 */
static int
hash_cmp(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

/*
 * Counts how often a node stands in an ordered list of hashes.
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
 * Decides whether this node takes part in the choice of owners.  One that most
 * nodes stop to hear while it hears them has a bad link: it stays out until
 * that is well for some time, since limits that change their owner all the
 * time have none.  After a cut or a start, all come in at once.
 */
static void
update_own_isolation(
    struct fleet_table *t, int majority_hears, int quorum, uint64_t now)
{
	if (!quorum)
		t->was_in = 0;
	if (!majority_hears)
		t->unheard_ms = now;
	t->out = !majority_hears || now < t->judged_ms ||
		 (t->was_in && t->out && now - t->unheard_ms < REJOIN_AFTER_MS);
	if (!t->out)
		t->was_in = 1;
}

/*
 * Finds the nodes that more than half of all don't hear.  This one counts as
 * such a node unless more than half of all hear it, as far as it knows.  So
 * where some nodes can't hear others, one that only a few don't hear still
 * owns what it owned, and no other one takes that over beside it.
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
		if (!fleet_alive(t, i, now))
			continue;
		voters++;
		memcpy(&list[n], p->silent, p->silent_count * sizeof(*list));
		n += p->silent_count;
	}
	qsort(list, n, sizeof(*list), hash_cmp);
	for (i = 0; i < t->count; i++) {
		votes = count_occurrences(list, n, t->peers[i].hash);
		votes += !fleet_alive(t, i, now);
		t->peers[i].out = t->peers[i].says_out || votes > known / 2;
	}
	votes = count_occurrences(list, n, t->hash);
	update_own_isolation(t, votes < voters && voters - votes > known / 2,
	    voters > known / 2, now);
	free(list);
}

/*
 * Returns the node with the greatest weight (rendezvous hashing) of those that
 * most nodes hear, or FLEET_NONE; this node counts only if it may be chosen
 * itself.
 */
static int
highest_weight_node(const struct fleet_table *t, uint64_t key, int self)
{
	uint64_t w, best = 0;
	const struct fleet_peer *p;
	int owner = FLEET_NONE;
	size_t i;

	if (self && !t->out) {
		best = owner_weight(t->hash, key);
		owner = FLEET_SELF;
	}
	for (i = 0; i < t->count; i++) {
		p = &t->peers[i];
		if (p->stopping || p->gone || p->out || p->heard_ms == 0)
			continue;
		w = owner_weight(p->hash, key);
		if (w <= best)
			continue;
		best = w;
		owner = (int)i;
	}
	return owner;
}

/*
 * Returns which live node decides for a limit: a handle, FLEET_SELF, or
 * FLEET_NONE without a quorum.
 */
int
fleet_owner(const struct fleet_table *t, uint64_t key, uint64_t now)
{
	if (!fleet_quorum(t, now))
		return FLEET_NONE;
	return highest_weight_node(t, key, 1);
}

/*
 * Returns which other node decides for a limit once this one has stopped, or
 * FLEET_NONE.
 */
int
fleet_successor(const struct fleet_table *t, uint64_t key)
{
	return highest_weight_node(t, key, 0);
}

/*
 * Lists the nodes that follow the store closely for all others, the same ones
 * wherever the same nodes are alive.  Returns their number.
 */
size_t
fleet_readers(const struct fleet_table *t, int *list, size_t max)
{
	size_t n, i;
	int h;

	for (n = 0; n < max; n++) {
		h = highest_weight_node(t, FIRST_READER_KEY + n, 1);
		for (i = 0; i < n; i++)
			if (list[i] == h)
				return n;
		list[n] = h;
	}
	return n;
}

/*
 * Returns for how long a silent node counts as known.  The smaller part of a
 * divided fleet keeps the larger one for longer, or it would take itself for
 * the whole.  Nodes that never were heard may have been removed long ago.
 */
static uint64_t
forget_after_ms(const struct fleet_peer *p, int quorum)
{
	return quorum || p->heard_ms == 0 ? FORGET_AFTER_MS
					  : FORGET_NO_QUORUM_MS;
}

/*
 * Forgets nodes that have been silent for long, and notes when the set of
 * live nodes changes.
 */
void
fleet_tick(struct fleet_table *t, uint64_t now)
{
	int quorum = fleet_quorum(t, now);
	struct fleet_peer *p;
	uint64_t print;
	size_t i;

	for (i = 0; i < t->count; i++) {
		p = &t->peers[i];
		if (!p->gone &&
		    now - (p->heard_ms != 0 ? p->heard_ms : p->learned_ms) >
			forget_after_ms(p, quorum))
			p->gone = 1;
	}
	update_isolation(t, now);
	print = (uint64_t)t->out;
	for (i = 0; i < t->count; i++) {
		p = &t->peers[i];
		if (p->heard_ms != 0 && !p->gone && !p->out && !p->stopping)
			print += owner_weight(p->hash, p->incarnation);
	}
	if (print != t->live_print) {
		t->live_print = print;
		t->turned_ms = now;
	}
}

/*
 * Takes note that this process stood still until now: what was not heard
 * meanwhile is no evidence against others.  But they may have taken it for
 * dead; so it decides for no limit until it has heard from them what they
 * think.
 */
void
fleet_paused(struct fleet_table *t, uint64_t pause_ms, uint64_t now)
{
	struct fleet_peer *p;
	size_t i;

	if (pause_ms >= dead_after_ms(t))
		t->judged_ms =
		    now + PAUSE_ISOLATION_HEARTBEATS * t->interval_ms;
	for (i = 0; i < t->count; i++) {
		p = &t->peers[i];
		if (p->heard_ms == 0)
			continue;
		/* Heard after the pause is counted from: no later than now. */
		p->heard_ms += pause_ms;
		if (p->heard_ms > now)
			p->heard_ms = now;
	}
}

/*
 * Returns the time between two beats.
 */
uint64_t
fleet_interval_ms(const struct fleet_table *t)
{
	return t->interval_ms;
}
