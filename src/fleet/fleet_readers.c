#include "fleet/fleet.h"

/*
 * Chooses the nodes that follow the store closely on behalf of all others.
 */

#define FIRST_READER_KEY 1 /* the next reader has the next key */

/*
 * Returns whether a handle is in a list.
 */
static int
is_listed(const int *list, size_t n, int handle)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (list[i] == handle)
			return 1;
	return 0;
}

/*
 * Returns the node with the highest rendezvous weight that isn't listed yet,
 * among those that can read the store or, if lost is set, among those that
 * can't.  Returns FLEET_NONE if there is none.
 */
static int
pick_reader(const struct fleet_table *t, uint64_t key, const int *list,
    size_t n, int lost)
{
	const struct fleet_peer *p;
	uint64_t w, best = 0;
	int reader = FLEET_NONE;
	size_t i;

	if (!t->self_isolated && !t->self_store_lost == !lost &&
	    !is_listed(list, n, FLEET_SELF)) {
		best = fleet_weight(t->node_hash, key);
		reader = FLEET_SELF;
	}
	for (i = 0; i < t->count; i++) {
		p = &t->peers[i];
		if (p->stopping || p->has_departed || p->isolated ||
		    p->heard_ms == 0 || !p->store_lost != !lost ||
		    is_listed(list, n, (int)i))
			continue;
		w = fleet_weight(p->name_hash, key);
		if (w <= best)
			continue;
		best = w;
		reader = (int)i;
	}
	return reader;
}

/*
 * Lists the nodes that follow the store closely: max different ones, or fewer
 * if not so many can read the store.  If none can, one of them tries.  Nodes
 * that see the same live nodes get the same list.  Returns its length.
 */
size_t
fleet_store_readers(const struct fleet_table *t, int *list, size_t max)
{
	size_t n;
	int h;

	for (n = 0; n < max; n++) {
		h = pick_reader(t, FIRST_READER_KEY + n, list, n, 0);
		if (h == FLEET_NONE && n == 0)
			h = pick_reader(t, FIRST_READER_KEY, list, n, 1);
		if (h == FLEET_NONE)
			break;
		list[n] = h;
	}
	return n;
}
