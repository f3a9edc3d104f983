#include "fleet/fleet.h"

/*
 * Decides which nodes are removed from the store's list.  After a restart of
 * the whole fleet the list alone says how many nodes there are, and a quorum
 * is counted against that number.
 */

#define PRUNE_STOPPED_MS 5000 /* after a goodbye; a restart is shorter */
/* Without a goodbye; in a large fleet as long as a node counts as alive. */
#define PRUNE_SILENT_MS 10000

static uint64_t silent_ms(const struct fleet_peer *, uint64_t);
static int is_pruner(const struct fleet_table *, uint64_t);
static int is_gone(
    const struct fleet_table *, const struct fleet_peer *, uint64_t);

/*
 * Returns how long no message of a node has arrived.
 */
static uint64_t
silent_ms(const struct fleet_peer *p, uint64_t now)
{
	return now - (p->heard_ms != 0 ? p->heard_ms : p->learned_ms);
}

/*
 * Returns whether this node removes nodes from the list.  It is the first
 * reader of the store, so that there is one in the part of the fleet that has
 * the quorum, and none elsewhere.
 */
static int
is_pruner(const struct fleet_table *t, uint64_t now)
{
	int reader;

	return t->node_list_complete && fleet_has_quorum(t, now) &&
	       fleet_store_readers(t, &reader, 1) == 1 && reader == FLEET_SELF;
}

/*
 * Returns whether a node has gone: it said goodbye and has not come back, or
 * more than half of all nodes have long not heard it.  A node that was never
 * heard has no votes against it.
 */
static int
is_gone(const struct fleet_table *t, const struct fleet_peer *p, uint64_t now)
{
	uint64_t limit_ms = fleet_dead_after_ms(t);

	if (limit_ms < PRUNE_SILENT_MS)
		limit_ms = PRUNE_SILENT_MS;
	if (p->has_departed && p->stopping)
		return silent_ms(p, now) >= PRUNE_STOPPED_MS;
	return silent_ms(p, now) >= limit_ms &&
	       (p->isolated || p->has_departed || p->heard_ms == 0);
}

/*
 * Returns whether this node has to read the list and remove nodes from it.
 */
int
fleet_must_prune(const struct fleet_table *t, uint64_t now)
{
	size_t i;

	for (i = 0; i < t->count; i++)
		if (!t->peers[i].delisted && is_gone(t, &t->peers[i], now))
			return is_pruner(t, now);
	return 0;
}

/*
 * Returns whether this node has to remove a node, given by its name, from the
 * list.
 */
int
fleet_is_prunable(const struct fleet_table *t, const char *node, uint64_t now)
{
	int i = fleet_find(t, node);

	return i >= 0 && is_gone(t, &t->peers[i], now) && is_pruner(t, now);
}

/*
 * Records that this node has read the list and removed from it all nodes that
 * have gone.
 */
void
fleet_set_pruned(struct fleet_table *t, uint64_t now)
{
	size_t i;

	if (!is_pruner(t, now))
		return;
	for (i = 0; i < t->count; i++)
		if (is_gone(t, &t->peers[i], now))
			t->peers[i].delisted = 1;
}
