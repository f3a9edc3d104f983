#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "fleet/fleet.h"

#define BEAT_MS 250	    /* between two beats in a small fleet */
#define BEAT_PEER_MS 6	    /* more for each peer, to bound the traffic */
#define MISSED_BEATS 4	    /* after which a node is taken to be dead */
#define MISSED_SLACK_MS 200 /* for late timers and datagrams */
#define READER_SLOT 1	    /* what the first reader of the store is owner of */
#define FORGET_MS 20000	    /* a silent node no longer counts in the quorum */
#define STALE_MS 1000 /* an old incarnation silent for that long is gone */

static uint64_t owner_weight(uint64_t, uint64_t);
static int heaviest(const struct fleet_table *, uint64_t, int, uint64_t);
static void copy_name(char *, const char *);

/*
 * Prepares a table that holds only this node, of that name.
 */
void
fleet_table_init(struct fleet_table *t, const char *node)
{
	memset(t, 0, sizeof(*t));
	copy_name(t->node, node);
	t->hash = XXH3_64bits(t->node, strlen(t->node));
	t->interval_ms = BEAT_MS;
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
copy_name(char *dst, const char *src)
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
	copy_name(p->node, node);
	p->hash = XXH3_64bits(p->node, strlen(p->node));
	p->address = address;
	p->learned_ms = now;
	t->interval_ms = BEAT_MS;
	if (t->count * BEAT_PEER_MS > BEAT_MS)
		t->interval_ms = t->count * BEAT_PEER_MS;
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
	    now - p->heard_ms < STALE_MS)
		return FLEET_NONE;
	if (p->heard_ms != 0 && b->incarnation == p->incarnation &&
	    b->sequence <= p->sequence)
		return FLEET_NONE;
	s = &p->server;
	*changed = p->heard_ms == 0 || b->incarnation != p->incarnation ||
		   p->stopping != (int)b->stopping || p->gone ||
		   strcmp(s->id, b->server.id) != 0 ||
		   s->born_ms != b->server.born_ms ||
		   s->leaving != (int)b->server.leaving;
	copy_name(p->zone, b->zone);
	p->incarnation = b->incarnation;
	p->sequence = b->sequence;
	p->address = b->address;
	p->port = (uint16_t)b->port;
	p->heard_ms = now;
	p->stopping = (int)b->stopping;
	p->gone = 0;
	p->config_version = b->config_version;
	copy_name(s->id, b->server.id);
	copy_name(s->service, b->server.service);
	s->born_ms = b->server.born_ms;
	s->slots = b->server.slots;
	s->cold_until_ms = b->server.cold_ms > 0 ? now + b->server.cold_ms : 0;
	s->running = b->server.running;
	s->waiting = b->server.waiting;
	s->offered = b->server.offered / 1000.0;
	s->leaving = (int)b->server.leaving;
	return i;
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
	t->peers[i].sequence = b->sequence;
}

/*
 * Tells whether a node gave a sign of life not long ago.
 */
int
fleet_alive(const struct fleet_table *t, size_t i, uint64_t now)
{
	const struct fleet_peer *p = &t->peers[i];

	return !p->gone && p->heard_ms != 0 &&
	       now - p->heard_ms <
		   t->interval_ms * MISSED_BEATS + MISSED_SLACK_MS;
}

/*
 * Tells whether more than half of the nodes that are known are alive, so
 * that no two parts of a divided fleet decide for the same limit.
 */
int
fleet_quorum(const struct fleet_table *t, uint64_t now)
{
	size_t i, known = 1, alive = 1;

	for (i = 0; i < t->count; i++) {
		known += !t->peers[i].gone;
		alive += (size_t)fleet_alive(t, i, now);
	}
	return alive * 2 > known;
}

/*
 * Returns how many nodes are known, this one among them.
 */
uint32_t
fleet_size(const struct fleet_table *t)
{
	uint32_t n = 1;
	size_t i;

	for (i = 0; i < t->count; i++)
		n += !t->peers[i].gone;
	return n;
}

/*
 * Returns a node's weight in the choice of an owner.
 */
static uint64_t
owner_weight(uint64_t node, uint64_t what)
{
	uint64_t pair[2] = { node, what };

	return XXH3_64bits(pair, sizeof(pair));
}

/*
 * Returns the live node with the greatest weight (rendezvous hashing), or
 * FLEET_NONE; this node counts only if it may be chosen itself.
 */
static int
heaviest(const struct fleet_table *t, uint64_t what, int self, uint64_t now)
{
	uint64_t w, best = self ? owner_weight(t->hash, what) : 0;
	int owner = self ? FLEET_SELF : FLEET_NONE;
	size_t i;

	for (i = 0; i < t->count; i++) {
		if (t->peers[i].stopping || !fleet_alive(t, i, now))
			continue;
		w = owner_weight(t->peers[i].hash, what);
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
fleet_owner(const struct fleet_table *t, uint64_t what, uint64_t now)
{
	if (!fleet_quorum(t, now))
		return FLEET_NONE;
	return heaviest(t, what, 1, now);
}

/*
 * Returns which other node decides for a limit once this one has stopped, or
 * FLEET_NONE.
 */
int
fleet_successor(const struct fleet_table *t, uint64_t what, uint64_t now)
{
	return heaviest(t, what, 0, now);
}

/*
 * Lists the nodes that follow the store closely for all others, the same ones
 * wherever the same nodes are alive.  Returns their number.
 */
size_t
fleet_readers(const struct fleet_table *t, uint64_t now, int *list, size_t most)
{
	size_t n, i;
	int h;

	for (n = 0; n < most; n++) {
		h = heaviest(t, READER_SLOT + n, 1, now);
		for (i = 0; i < n; i++)
			if (list[i] == h)
				return n;
		list[n] = h;
	}
	return n;
}

/*
 * Forgets nodes that have been silent for long, and notes when the set of
 * live nodes changes.
 */
void
fleet_tick(struct fleet_table *t, uint64_t now)
{
	struct fleet_peer *p;
	uint64_t print = 0;
	size_t i;

	for (i = 0; i < t->count; i++) {
		p = &t->peers[i];
		if (!p->gone &&
		    now - (p->heard_ms != 0 ? p->heard_ms : p->learned_ms) >
			FORGET_MS)
			p->gone = 1;
		if (fleet_alive(t, i, now) && !p->stopping)
			print += owner_weight(p->hash, p->incarnation);
	}
	if (print != t->live_print) {
		t->live_print = print;
		t->turned_ms = now;
	}
}

/*
 * Takes note that this process stood still: what was not heard meanwhile is
 * no evidence against others.
 */
void
fleet_paused(struct fleet_table *t, uint64_t for_ms)
{
	size_t i;

	for (i = 0; i < t->count; i++)
		if (t->peers[i].heard_ms != 0)
			t->peers[i].heard_ms += for_ms;
}

/*
 * Returns the time between two beats.
 */
uint64_t
fleet_interval_ms(const struct fleet_table *t)
{
	return t->interval_ms;
}
