#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "member/member_int.h"

#define SLOTS_MIN 16

/*
 * The higher rank wins between two reports with the same sequence number: a
 * suspicion is refuted only by a higher number, which the member itself
 * gives out.
 */
static const int ranks[MEMBER_STATE_MAX] = {
	[MEMBER_ALIVE] = 0,
	[MEMBER_SUSPECT] = 1,
	[MEMBER_DEAD] = 2,
	[MEMBER_LEFT] = 3,
};

static gpointer key_of(uint32_t, uint16_t);
static void *grow(void *, size_t, size_t);
static struct member_slot *add_slot(struct member_table *, uint32_t, uint16_t);
static void insert_probe(struct member_table *, uint32_t);
static int is_up(enum member_state);
static void tell(
    struct member_table *, enum member_event, const struct member_slot *);
static int entry_valid(const struct member_entry *);
static void copy_text(char *, size_t, const char *);
static void copy_server(struct member_server *, const struct member_entry *);
static void copy_data(struct member_slot *, const struct member_entry *);
static void copy_entry(struct member_slot *, const struct member_entry *);
static int name_newer(const struct member_entry *, const struct member_info *);
static void refute(
    struct member_table *, uint64_t, enum member_state, uint32_t);
static void merge_self(
    struct member_table *, uint64_t, const struct member_entry *);
static void merge_new(
    struct member_table *, uint64_t, const struct member_entry *);
static void merge_replaced(struct member_table *, uint64_t,
    struct member_slot *, const struct member_entry *);
static void merge_report(struct member_table *, const struct member_slot *);
static void merge_state(struct member_table *, uint64_t, struct member_slot *,
    enum member_state, uint32_t);
static void merge_same(struct member_table *, uint64_t, struct member_slot *,
    const struct member_entry *, int);

/*
 * Prepares a table that knows this node only.  The epoch is the start of the
 * process in ms since 1970.
 */
void
member_table_init(struct member_table *t, const struct member_settings *s,
    const struct member_port *port, uint64_t now, uint64_t epoch)
{
	struct member_slot *self;
	size_t i;

	memset(t, 0, sizeof(*t));
	t->port = *port;
	t->by_addr = g_hash_table_new(NULL, NULL);
	t->probe_ms = s->probe_ms != 0 ? s->probe_ms : MEMBER_PROBE_MS;
	t->fresh_ms = s->fresh_ms != 0 ? s->fresh_ms : MEMBER_FRESH_MS;
	self = add_slot(t, s->self.addr, s->self.rpc_port);
	self->info.id = s->self;
	self->info.peer_port = s->peer_port;
	self->info.epoch = epoch;
	self->info.seq = 1;
	self->info.since_ms = now;
	copy_text(self->info.domain, MEMBER_DOMAIN_TEXT, s->domain);
	copy_text(self->info.region, MEMBER_DOMAIN_TEXT, s->region);
	t->self = member_handle(t, self);
	t->alive = 1;
	t->started_ms = t->last_tick_ms = t->budget_ms = now;
	t->next_probe_ms = now + t->port.rand(t->port.ctx) % t->probe_ms;
	t->next_forget_ms = now + MEMBER_SYNC_MS;
	t->gossip_budget = MEMBER_BUDGET_BYTES;
	t->page_budget = MEMBER_BUDGET_START;
	t->next_nonce = (uint32_t)t->port.rand(t->port.ctx);
	t->dirty = 1;
	member_queue(t, &t->slots[t->self], MEMBER_TELL_ALL);
	for (i = 0; i < s->seeds_len; i++)
		member_table_seed(t, s->seeds[i].addr, s->seeds[i].rpc_port, 1);
}

/*
 * Frees a table.
 */
void
member_table_finish(struct member_table *t)
{
	g_hash_table_destroy(t->by_addr);
	free(t->slots);
	free(t->ring);
	free(t->queue);
}

/*
 * Makes a hash key of an address and a port; it is never NULL.
 */
static gpointer
key_of(uint32_t addr, uint16_t port)
{
	return (gpointer)(((uintptr_t)addr << 16 | port) + 1);
}

/*
 * Resizes an array.  Exits the process if memory is exhausted.
 */
static void *
grow(void *p, size_t len, size_t size)
{
	p = reallocarray(p, len, size);
	if (p == NULL)
		abort();
	return p;
}

/*
 * Finds the member at an address and port, or returns NULL.
 */
struct member_slot *
member_find(struct member_table *t, uint32_t addr, uint16_t port)
{
	gpointer val = g_hash_table_lookup(t->by_addr, key_of(addr, port));

	return val == NULL ? NULL : &t->slots[GPOINTER_TO_UINT(val) - 1];
}

/*
 * Returns the handle of a slot.
 */
uint32_t
member_handle(const struct member_table *t, const struct member_slot *s)
{
	return (uint32_t)(s - t->slots);
}

/*
 * Adds an empty slot for an address and port.  Slots may move.
 */
static struct member_slot *
add_slot(struct member_table *t, uint32_t addr, uint16_t port)
{
	uint32_t h;

	for (h = 0; t->count < t->slots_len && t->slots[h].used; h++)
		continue;
	if (t->count == t->slots_len)
		h = t->slots_len;
	if (h == t->slots_cap) {
		t->slots_cap = t->slots_cap == 0 ? SLOTS_MIN : h + h / 2;
		t->slots = grow(t->slots, t->slots_cap, sizeof(*t->slots));
		t->ring = grow(t->ring, t->slots_cap, sizeof(*t->ring));
		t->queue = grow(t->queue, t->slots_cap, sizeof(*t->queue));
	}
	if (h == t->slots_len)
		t->slots_len++;
	memset(&t->slots[h], 0, sizeof(t->slots[h]));
	t->slots[h].used = 1;
	t->slots[h].info.id.addr = addr;
	t->slots[h].info.id.rpc_port = port;
	t->count++;
	g_hash_table_insert(
	    t->by_addr, key_of(addr, port), GUINT_TO_POINTER(h + 1));
	return &t->slots[h];
}

/*
 * Adds a member at a random place among those still to be probed in this
 * round.
 */
static void
insert_probe(struct member_table *t, uint32_t h)
{
	uint32_t left, at, i;

	for (i = 0; i < t->ring_len; i++) {
		if (t->ring[i] == h)
			return;
	}
	left = t->ring_len - t->ring_pos + 1;
	at = t->ring_pos + (uint32_t)(t->port.rand(t->port.ctx) % left);
	t->ring[t->ring_len] = at < t->ring_len ? t->ring[at] : h;
	t->ring[at] = h;
	t->ring_len++;
}

/*
 * Tells whether a state counts as being there.
 */
static int
is_up(enum member_state state)
{
	return state == MEMBER_ALIVE || state == MEMBER_SUSPECT;
}

/*
 * Reports an event to the table's owner.
 */
static void
tell(struct member_table *t, enum member_event ev, const struct member_slot *s)
{
	if (t->port.event != NULL && member_handle(t, s) != t->self)
		t->port.event(t->port.ctx, ev, &s->info, 0);
}

/*
 * Returns the time (ms) that a suspect has to refute.
 */
uint64_t
member_suspect_ms(const struct member_table *t)
{
	double ms = MEMBER_SUSPECT_UNIT_MS * log2((double)t->alive + 1);

	return ms < MEMBER_SUSPECT_MIN_MS ? MEMBER_SUSPECT_MIN_MS
					  : (uint64_t)ms;
}

/*
 * Returns how often a change is told by this node.
 */
uint32_t
member_tells(const struct member_table *t)
{
	return (uint32_t)(MEMBER_TELL_FACTOR * ceil(log2(t->alive + 1.0)));
}

/*
 * Puts a member into a state at a sequence number, and has that told: a
 * death rarely, since everybody finds it for themselves, and a number that
 * refutes what wasn't believed here rarely too; a refutation before all.
 */
void
member_set_state(struct member_table *t, uint64_t now, struct member_slot *s,
    enum member_state state, uint32_t seq)
{
	enum member_state old = s->info.state;

	s->info.seq = seq;
	t->dirty = 1;
	if (state == MEMBER_SUSPECT)
		s->deadline_ms = now + member_suspect_ms(t);
	else
		s->accused = 0;
	if (old != state) {
		t->alive += (state == MEMBER_ALIVE) - (old == MEMBER_ALIVE);
		s->info.state = state;
		if (is_up(old) != is_up(state))
			s->info.since_ms = now;
	}
	if (state == MEMBER_DEAD || old == state)
		member_queue(t, s, MEMBER_TELL_FEW);
	else if (old == MEMBER_SUSPECT || state == MEMBER_LEFT)
		member_queue(t, s, MEMBER_TELL_URGENT);
	else
		member_queue(t, s, MEMBER_TELL_ALL);
	if (is_up(old) && state == MEMBER_DEAD)
		tell(t, MEMBER_DIED, s);
	if (is_up(old) && state == MEMBER_LEFT)
		tell(t, MEMBER_DEPARTED, s);
	if (!is_up(old) && is_up(state)) {
		insert_probe(t, member_handle(t, s));
		tell(t, MEMBER_RETURNED, s);
	}
}

/*
 * Tells whether an entry from the wire makes sense.
 */
static int
entry_valid(const struct member_entry *e)
{
	return e->name.addr != 0 && e->name.port > 0 &&
	       e->name.port <= UINT16_MAX && e->peer_port <= UINT16_MAX &&
	       e->name.incarnation != 0 && e->state < MEMBER_STATE_MAX &&
	       (e->server == NULL ||
		   e->server->state < MEMBER_SERVER_STATE_MAX);
}

/*
 * Copies a text of bounded length; NULL counts as empty.
 */
static void
copy_text(char *to, size_t size, const char *from)
{
	g_strlcpy(to, from == NULL ? "" : from, size);
}

/*
 * Tells whether two states of a backend server differ in more than load.
 */
int
member_server_differs(
    const struct member_server *a, const struct member_server *b)
{
	return a->state != b->state || a->incarnation != b->incarnation ||
	       a->slots != b->slots || a->connections != b->connections ||
	       strcmp(a->service, b->service) != 0;
}

/*
 * Takes over what an entry says of the member's backend server.
 */
static void
copy_server(struct member_server *sv, const struct member_entry *e)
{
	memset(sv, 0, sizeof(*sv));
	if (e->server == NULL)
		return;
	sv->state = (enum member_server_state)e->server->state;
	copy_text(sv->service, MEMBER_SERVICE_TEXT, e->server->service);
	sv->service_hash = member_service_hash(sv->service);
	sv->incarnation = e->server->incarnation;
	sv->slots = e->server->slots;
	sv->connections = e->server->connections;
	sv->load = e->server->load;
}

/*
 * Takes over what an entry tells of a member but its name and state.  Only
 * entries of members that are known alive tell it.
 */
static void
copy_data(struct member_slot *s, const struct member_entry *e)
{
	if (e->state != MEMBER_ALIVE)
		return;
	s->info.rev = e->rev;
	s->info.peer_port = (uint16_t)e->peer_port;
	s->info.config_version = MAX(s->info.config_version, e->config_version);
	copy_text(s->info.domain, MEMBER_DOMAIN_TEXT, e->domain);
	copy_text(s->info.region, MEMBER_DOMAIN_TEXT, e->region);
	copy_server(&s->info.server, e);
}

/*
 * Takes over an entry of a process that wasn't known, but for its state.
 */
static void
copy_entry(struct member_slot *s, const struct member_entry *e)
{
	s->info.id.incarnation = e->name.incarnation;
	s->info.epoch = e->name.epoch;
	s->info.seq = e->seq;
	s->info.rev = 0;
	s->full = 1;
	copy_data(s, e);
}

/*
 * Tells whether an entry names a later process than the one known at its
 * address.
 */
static int
name_newer(const struct member_entry *e, const struct member_info *m)
{
	if (e->name.epoch != m->epoch)
		return e->name.epoch > m->epoch;
	return e->name.incarnation > m->id.incarnation;
}

/*
 * Refutes what others say of this node's state if it is wrong, by a higher
 * number.
 */
static void
refute(
    struct member_table *t, uint64_t now, enum member_state state, uint32_t seq)
{
	struct member_slot *s = &t->slots[t->self];

	if (t->leaving || seq < s->info.seq ||
	    (seq == s->info.seq && state == MEMBER_ALIVE))
		return;
	s->info.seq = seq + 1;
	t->dirty = 1;
	member_queue(t, s, MEMBER_TELL_URGENT);
	t->next_gossip_ms = now;
}

/*
 * Merges an entry about this node's address: refutes it, or raises the epoch
 * where an earlier process is thought to be the later one.
 */
static void
merge_self(struct member_table *t, uint64_t now, const struct member_entry *e)
{
	struct member_slot *s = &t->slots[t->self];

	if (e->name.incarnation == s->info.id.incarnation) {
		refute(t, now, (enum member_state)e->state, e->seq);
	} else if (!t->leaving && name_newer(e, &s->info)) {
		s->info.epoch = e->name.epoch + 1;
		member_table_changed(t, now);
	}
}

/*
 * Adds a member that wasn't known.  The dead are remembered too, so that
 * they are counted and probed again, unless they have been so for long.
 */
static void
merge_new(struct member_table *t, uint64_t now, const struct member_entry *e)
{
	enum member_state state = (enum member_state)e->state;
	uint64_t age = (uint64_t)e->age_s * 1000;
	struct member_slot *s;

	if (state == MEMBER_LEFT || state == MEMBER_SUSPECT ||
	    (state == MEMBER_DEAD && age >= MEMBER_DEAD_KEEP_MS) ||
	    t->count == MEMBER_COUNT_MAX)
		return;
	s = add_slot(t, e->name.addr, (uint16_t)e->name.port);
	copy_entry(s, e);
	s->info.peer_port = (uint16_t)e->peer_port;
	s->info.since_ms = now > age ? now - age : 0;
	s->info.state = state;
	t->dirty = 1;
	t->news += (uint32_t)t->paging;
	t->alive += state == MEMBER_ALIVE;
	if (!t->paging)
		member_queue(t, s, MEMBER_TELL_SOME);
	if (state != MEMBER_ALIVE)
		return;
	insert_probe(t, member_handle(t, s));
	tell(t, MEMBER_JOINED, s);
}

/*
 * Replaces a process by a later one at the same address and port, which
 * proves the earlier one dead.
 */
static void
merge_replaced(struct member_table *t, uint64_t now, struct member_slot *s,
    const struct member_entry *e)
{
	enum member_state state = (enum member_state)e->state;

	if (state == MEMBER_SUSPECT)
		return;
	if (is_up(s->info.state)) {
		t->alive -= s->info.state == MEMBER_ALIVE;
		s->info.state = MEMBER_DEAD;
		tell(t, MEMBER_DIED, s);
	}
	s->info.config_version = 0;
	memset(&s->info.server, 0, sizeof(s->info.server));
	copy_entry(s, e);
	s->info.since_ms = now;
	s->info.state = state;
	s->accused = 0;
	t->alive += state == MEMBER_ALIVE;
	t->dirty = 1;
	t->news += (uint32_t)t->paging;
	member_queue(t, s, MEMBER_TELL_SOME);
	if (state != MEMBER_ALIVE)
		return;
	insert_probe(t, member_handle(t, s));
	tell(t, MEMBER_JOINED, s);
}

/*
 * Takes note of a report of the death of a member that counts as there.  It
 * isn't believed: when a cut heals, each side brings such reports of the
 * whole other side.  The member is probed soon instead.
 */
static void
merge_report(struct member_table *t, const struct member_slot *s)
{
	uint32_t h = member_handle(t, s), i;

	if (s->info.state != MEMBER_ALIVE || t->verify_len == MEMBER_VERIFY_MAX)
		return;
	for (i = 0; i < t->verify_len; i++) {
		if (t->verify[i] == h)
			return;
	}
	t->verify[t->verify_len++] = h;
}

/*
 * Merges a state of a process that is known already.
 */
static void
merge_state(struct member_table *t, uint64_t now, struct member_slot *s,
    enum member_state state, uint32_t seq)
{
	if (seq < s->info.seq ||
	    (seq == s->info.seq && ranks[state] <= ranks[s->info.state]))
		return;
	if (state == MEMBER_DEAD && is_up(s->info.state)) {
		merge_report(t, s);
		return;
	}
	t->news += (uint32_t)t->paging;
	member_set_state(t, now, s, state, seq);
}

/*
 * Merges an entry about a process that is known already.  Load is taken from
 * the member itself only, since it ages faster than it spreads.
 */
static void
merge_same(struct member_table *t, uint64_t now, struct member_slot *s,
    const struct member_entry *e, int direct)
{
	if (direct && s->info.state == MEMBER_SUSPECT)
		s->deadline_ms = now + member_suspect_ms(t);
	if (e->config_version > s->info.config_version)
		s->info.config_version = e->config_version;
	if (direct && e->server != NULL && e->rev == s->info.rev)
		s->info.server.load = e->server->load;
	merge_state(t, now, s, (enum member_state)e->state, e->seq);
	if (e->rev <= s->info.rev || e->state != MEMBER_ALIVE)
		return;
	copy_data(s, e);
	s->full = 1;
	t->dirty = 1;
	t->news += (uint32_t)t->paging;
	member_queue(t, s, MEMBER_TELL_URGENT);
}

/*
 * Merges the state of a member from a message, if it is known.
 */
void
member_merge_status(
    struct member_table *t, uint64_t now, const struct member_status *st)
{
	struct member_slot *s;
	uint32_t state = st->port_state & UINT16_MAX;

	s = member_find(t, st->addr, (uint16_t)(st->port_state >> 16));
	if (s == NULL || s->info.id.incarnation != st->incarnation ||
	    state >= MEMBER_STATE_MAX)
		return;
	if (member_handle(t, s) == t->self)
		refute(t, now, (enum member_state)state, st->seq);
	else
		merge_state(t, now, s, (enum member_state)state, st->seq);
}

/*
 * Merges an entry from a message.  It is direct if the member sent it
 * itself.
 */
void
member_merge(struct member_table *t, uint64_t now, const struct member_entry *e,
    int direct)
{
	struct member_slot *s;

	if (!entry_valid(e))
		return;
	s = member_find(t, e->name.addr, (uint16_t)e->name.port);
	if (s == NULL)
		merge_new(t, now, e);
	else if (member_handle(t, s) == t->self)
		merge_self(t, now, e);
	else if (s->info.id.incarnation == e->name.incarnation)
		merge_same(t, now, s, e, direct);
	else if (name_newer(e, &s->info))
		merge_replaced(t, now, s, e);
}

/*
 * Has a change of this node's own entry told: it gets the next numbers.
 */
void
member_table_changed(struct member_table *t, uint64_t now)
{
	struct member_slot *s = &t->slots[t->self];

	s->info.seq++;
	s->info.rev++;
	t->dirty = 1;
	member_queue(t, s, MEMBER_TELL_URGENT);
	t->next_gossip_ms = now;
}

/*
 * Forgets members that left or died long ago.  The dead are kept while this
 * node hears from no majority: forgetting them would make a minority look
 * like all there is.
 */
void
member_forget(struct member_table *t, uint64_t now)
{
	struct member_slot *s;
	uint32_t h, known = 0;
	uint64_t age;

	for (h = 0; h < t->slots_len; h++)
		known +=
		    t->slots[h].used && t->slots[h].info.state != MEMBER_LEFT;
	for (h = 0; h < t->slots_len; h++) {
		s = &t->slots[h];
		if (!s->used || is_up(s->info.state) || h == t->self)
			continue;
		age = now - s->info.since_ms;
		if (s->info.state == MEMBER_LEFT
			? age < MEMBER_LEFT_KEEP_MS
			: age < MEMBER_DEAD_KEEP_MS || t->alive * 2 <= known)
			continue;
		g_hash_table_remove(
		    t->by_addr, key_of(s->info.id.addr, s->info.id.rpc_port));
		member_unqueue(t, h);
		s->used = 0;
		t->count--;
		t->dirty = 1;
	}
}

/*
 * Returns the handle of a random member that is alive and isn't this node,
 * or MEMBER_NONE.
 */
uint32_t
member_random_alive(struct member_table *t)
{
	uint32_t start, i, h;

	start = (uint32_t)(t->port.rand(t->port.ctx) % t->slots_len);
	for (i = 0; i < t->slots_len; i++) {
		h = (start + i) % t->slots_len;
		if (h != t->self && t->slots[h].used &&
		    t->slots[h].info.state == MEMBER_ALIVE)
			return h;
	}
	return MEMBER_NONE;
}

/*
 * Returns the hash under which a service is found in a view.
 */
uint64_t
member_service_hash(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}
