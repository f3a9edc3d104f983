#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "member/member_int.h"

#define SLOTS_MIN 16

static gpointer addr_key(uint32_t, uint16_t);
static void *resize_array(void *, size_t, size_t);

/*
 * Initializes a table that contains only this node.  The epoch is the start
 * time of the process in ms since 1970.
 */
void
member_table_init(struct member_table *t, const struct member_settings *s,
    const struct member_callbacks *port, uint64_t now, uint64_t epoch)
{
	struct member_slot *self;
	size_t i;

	memset(t, 0, sizeof(*t));
	t->callbacks = *port;
	t->by_addr = g_hash_table_new(NULL, NULL);
	t->probe_period_ms = s->probe_period_ms != 0 ? s->probe_period_ms
						     : MEMBER_PROBE_PERIOD_MS;
	t->log_read_max_age_ms = s->log_read_max_age_ms != 0
				     ? s->log_read_max_age_ms
				     : MEMBER_LOG_READ_MAX_AGE_MS;
	self = member_add_slot(t, s->self.addr, s->self.rpc_port);
	self->info.id = s->self;
	self->info.peer_port = s->peer_port;
	self->info.epoch = epoch;
	self->info.seq = 1;
	self->info.state_since_ms = now;
	member_copy_text(self->info.domain, MEMBER_DOMAIN_TEXT, s->domain);
	member_copy_text(self->info.region, MEMBER_DOMAIN_TEXT, s->region);
	t->self = member_slot_handle(t, self);
	t->alive = 1;
	t->started_ms = t->last_tick_ms = t->budget_refilled_ms = now;
	t->next_probe_ms =
	    now + t->callbacks.rand(t->callbacks.ctx) % t->probe_period_ms;
	t->next_expiry_ms = now + MEMBER_SYNC_PERIOD_MS;
	t->gossip_budget = MEMBER_BUDGET_BYTES;
	t->page_budget = MEMBER_BUDGET_STARTUP_BYTES;
	t->next_nonce = (uint32_t)t->callbacks.rand(t->callbacks.ctx);
	t->dirty = 1;
	member_queue_change(t, &t->slots[t->self], MEMBER_SPREAD_ALL);
	for (i = 0; i < s->seeds_len; i++)
		member_table_add_seed(
		    t, s->seeds[i].addr, s->seeds[i].rpc_port, 1);
}

/*
 * Releases the memory of a table.
 */
void
member_table_finish(struct member_table *t)
{
	g_hash_table_destroy(t->by_addr);
	free(t->slots);
	free(t->probe_order);
	free(t->queue);
}

/*
 * Returns the hash key of an address and port, which is never NULL.
 */
static gpointer
addr_key(uint32_t addr, uint16_t port)
{
	return (gpointer)(((uintptr_t)addr << 16 | port) + 1);
}

/*
 * Resizes an array.  Aborts the process if memory is exhausted.
 */
static void *
resize_array(void *p, size_t len, size_t size)
{
	p = reallocarray(p, len, size);
	if (p == NULL)
		abort();
	return p;
}

/*
 * Returns the member at an address and port, or NULL.
 */
struct member_slot *
member_table_find(struct member_table *t, uint32_t addr, uint16_t port)
{
	gpointer val = g_hash_table_lookup(t->by_addr, addr_key(addr, port));

	return val == NULL ? NULL : &t->slots[GPOINTER_TO_UINT(val) - 1];
}

/*
 * Returns the handle of a slot.
 */
uint32_t
member_slot_handle(const struct member_table *t, const struct member_slot *s)
{
	return (uint32_t)(s - t->slots);
}

/*
 * Adds an empty slot for an address and port.  This may move all slots in
 * memory.
 */
struct member_slot *
member_add_slot(struct member_table *t, uint32_t addr, uint16_t port)
{
	uint32_t h;

	for (h = 0; t->count < t->slots_len && t->slots[h].used; h++)
		continue;
	if (t->count == t->slots_len)
		h = t->slots_len;
	if (h == t->slots_cap) {
		t->slots_cap = t->slots_cap == 0 ? SLOTS_MIN : h + h / 2;
		t->slots =
		    resize_array(t->slots, t->slots_cap, sizeof(*t->slots));
		t->probe_order = resize_array(
		    t->probe_order, t->slots_cap, sizeof(*t->probe_order));
		t->queue =
		    resize_array(t->queue, t->slots_cap, sizeof(*t->queue));
	}
	if (h == t->slots_len)
		t->slots_len++;
	memset(&t->slots[h], 0, sizeof(t->slots[h]));
	t->slots[h].used = 1;
	t->slots[h].info.id.addr = addr;
	t->slots[h].info.id.rpc_port = port;
	t->count++;
	g_hash_table_insert(
	    t->by_addr, addr_key(addr, port), GUINT_TO_POINTER(h + 1));
	return &t->slots[h];
}

/*
 * Inserts a member at a random position among the members still to be probed
 * in this round, unless it is in the probe order already.
 */
void
member_insert_probe_target(struct member_table *t, uint32_t h)
{
	uint32_t remaining, pos, i;

	for (i = 0; i < t->probe_order_len; i++) {
		if (t->probe_order[i] == h)
			return;
	}
	remaining = t->probe_order_len - t->probe_order_pos + 1;
	pos = t->probe_order_pos +
	      (uint32_t)(t->callbacks.rand(t->callbacks.ctx) % remaining);
	t->probe_order[t->probe_order_len] =
	    pos < t->probe_order_len ? t->probe_order[pos] : h;
	t->probe_order[pos] = h;
	t->probe_order_len++;
}

/*
 * Returns whether a state counts as up.
 */
int
member_is_up(enum member_state state)
{
	return state == MEMBER_ALIVE || state == MEMBER_SUSPECT;
}

/*
 * Reports an event about another member to the table's owner.
 */
void
member_report_event(
    struct member_table *t, enum member_event ev, const struct member_slot *s)
{
	if (t->callbacks.on_event != NULL &&
	    member_slot_handle(t, s) != t->self)
		t->callbacks.on_event(t->callbacks.ctx, ev, &s->info, 0);
}

/*
 * Returns the time (ms) that a suspect has to refute the suspicion.
 */
uint64_t
member_suspicion_timeout_ms(const struct member_table *t)
{
	double ms = MEMBER_SUSPECT_UNIT_MS * log2((double)t->alive + 1);

	return ms < MEMBER_SUSPECT_MIN_MS ? MEMBER_SUSPECT_MIN_MS
					  : (uint64_t)ms;
}

/*
 * Returns how many times this node sends a change before it drops it from
 * the queue.
 */
uint32_t
member_retransmit_limit(const struct member_table *t)
{
	return (
	    uint32_t)(MEMBER_RETRANSMIT_FACTOR * ceil(log2(t->alive + 1.0)));
}

/*
 * Sets a member's state and sequence number and queues the change.  A death is
 * sent few times, because every node detects it by itself.  A higher sequence
 * number that leaves the state unchanged is sent few times too.  A refutation
 * of a suspicion and a departure are urgent.
 */
void
member_set_state(struct member_table *t, uint64_t now, struct member_slot *s,
    enum member_state state, uint32_t seq)
{
	enum member_state old = s->info.state;

	s->info.seq = seq;
	t->dirty = 1;
	if (state == MEMBER_SUSPECT)
		s->deadline_ms = now + member_suspicion_timeout_ms(t);
	else
		s->accused_by_self = 0;
	if (old != state) {
		t->alive += (state == MEMBER_ALIVE) - (old == MEMBER_ALIVE);
		s->info.state = state;
		if (member_is_up(old) != member_is_up(state))
			s->info.state_since_ms = now;
	}
	if (state == MEMBER_DEAD || old == state)
		member_queue_change(t, s, MEMBER_SPREAD_FEW);
	else if (old == MEMBER_SUSPECT || state == MEMBER_LEFT)
		member_queue_change(t, s, MEMBER_SPREAD_URGENT);
	else
		member_queue_change(t, s, MEMBER_SPREAD_ALL);
	if (member_is_up(old) && state == MEMBER_DEAD)
		member_report_event(t, MEMBER_DIED, s);
	if (member_is_up(old) && state == MEMBER_LEFT)
		member_report_event(t, MEMBER_DEPARTED, s);
	if (!member_is_up(old) && member_is_up(state)) {
		member_insert_probe_target(t, member_slot_handle(t, s));
		member_report_event(t, MEMBER_RETURNED, s);
	}
}

/*
 * Gives this node's own entry new sequence and revision numbers and queues
 * it to be sent at once.
 */
void
member_table_publish_self(struct member_table *t, uint64_t now)
{
	struct member_slot *s = &t->slots[t->self];

	s->info.seq++;
	s->info.rev++;
	t->dirty = 1;
	member_queue_change(t, s, MEMBER_SPREAD_URGENT);
	t->next_gossip_ms = now;
}

/*
 * Removes members that left or died long ago.  Dead members stay while no
 * majority of the members is alive: without them, a minority would look like
 * the whole cluster.
 */
void
member_remove_expired(struct member_table *t, uint64_t now)
{
	struct member_slot *s;
	uint32_t h, known = 0;
	uint64_t age;

	for (h = 0; h < t->slots_len; h++)
		known +=
		    t->slots[h].used && t->slots[h].info.state != MEMBER_LEFT;
	for (h = 0; h < t->slots_len; h++) {
		s = &t->slots[h];
		if (!s->used || member_is_up(s->info.state) || h == t->self)
			continue;
		age = now - s->info.state_since_ms;
		if (s->info.state == MEMBER_LEFT
			? age < MEMBER_LEFT_RETENTION_MS
			: age < MEMBER_DEAD_RETENTION_MS ||
			      t->alive * 2 <= known)
			continue;
		g_hash_table_remove(
		    t->by_addr, addr_key(s->info.id.addr, s->info.id.rpc_port));
		member_unqueue_change(t, h);
		s->used = 0;
		t->count--;
		t->dirty = 1;
	}
}

/*
 * Returns the handle of a random live member other than this node, or
 * MEMBER_NO_HANDLE.
 */
uint32_t
member_random_alive(struct member_table *t)
{
	uint32_t start, i, h;

	start = (uint32_t)(t->callbacks.rand(t->callbacks.ctx) % t->slots_len);
	for (i = 0; i < t->slots_len; i++) {
		h = (start + i) % t->slots_len;
		if (h != t->self && t->slots[h].used &&
		    t->slots[h].info.state == MEMBER_ALIVE)
			return h;
	}
	return MEMBER_NO_HANDLE;
}

/*
 * Returns the hash of a service name, the key of the service index of a
 * view.
 */
uint64_t
member_service_hash(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}
