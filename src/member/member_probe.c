#include <string.h>

#include "member/member_int.h"

static void rebuild_ring(struct member_table *);
static uint32_t next_target(struct member_table *);
static uint32_t next_reported(struct member_table *);
static void probe(struct member_table *, uint64_t, uint32_t, int);
static void ask_helpers(struct member_table *, uint64_t, struct member_probe *);
static int hears_most(const struct member_table *, uint64_t);
static void fail_probe(struct member_table *, uint64_t, struct member_probe *);
static void check_probes(struct member_table *, uint64_t);
static void check_suspects(struct member_table *, uint64_t);
static void probe_dead(struct member_table *, uint64_t);
static void try_seeds(struct member_table *, uint64_t);
static int worth_telling(const struct member_table *);
static void gossip(struct member_table *, uint64_t);
static void sync_due(struct member_table *, uint64_t);
static void start_sync(struct member_table *, uint64_t);
static void after_stall(struct member_table *, uint64_t);
static void refill(struct member_table *, uint64_t);

/*
 * Starts another round of probes in a new random order.
 */
static void
rebuild_ring(struct member_table *t)
{
	uint32_t h, i, j, swap;

	t->ring_len = t->ring_pos = 0;
	for (h = 0; h < t->slots_len; h++) {
		if (h != t->self && t->slots[h].used &&
		    t->slots[h].info.state <= MEMBER_SUSPECT)
			t->ring[t->ring_len++] = h;
	}
	for (i = t->ring_len; i > 1; i--) {
		j = (uint32_t)(t->port.rand(t->port.ctx) % i);
		swap = t->ring[i - 1];
		t->ring[i - 1] = t->ring[j];
		t->ring[j] = swap;
	}
}

/*
 * Returns the handle of the next member to probe, or MEMBER_NONE.
 */
static uint32_t
next_target(struct member_table *t)
{
	struct member_slot *s;
	int round;

	for (round = 0; round < 2; round++) {
		while (t->ring_pos < t->ring_len) {
			s = &t->slots[t->ring[t->ring_pos++]];
			if (s->used && s->info.state <= MEMBER_SUSPECT)
				return member_handle(t, s);
		}
		rebuild_ring(t);
	}
	return MEMBER_NONE;
}

/*
 * Returns the handle of the next live member that was reported dead, or
 * MEMBER_NONE.
 */
static uint32_t
next_reported(struct member_table *t)
{
	uint32_t h;

	while (t->verify_len > 0) {
		h = t->verify[--t->verify_len];
		if (t->slots[h].used && t->slots[h].info.state == MEMBER_ALIVE)
			return h;
	}
	return MEMBER_NONE;
}

/*
 * Sends a probe to a member, unless too many probes are unanswered. A bare
 * probe carries no queued changes and isn't followed by indirect probes.
 */
static void
probe(struct member_table *t, uint64_t now, uint32_t h, int bare)
{
	struct member_probe *p;

	if (h == MEMBER_NONE)
		return;
	for (p = t->probes; p < t->probes + MEMBER_PROBES_MAX; p++) {
		if (!p->used)
			break;
	}
	if (p == t->probes + MEMBER_PROBES_MAX)
		return;
	p->used = 1;
	p->indirect = bare;
	p->handle = h;
	p->incarnation = t->slots[h].info.id.incarnation;
	p->nonce = t->next_nonce++;
	p->sent_ms = p->since_ms = now;
	if (bare)
		member_send_bare(t, now, &t->slots[h].info.id, p->nonce);
	else
		member_send(
		    t, now, MEMBER_PING, &t->slots[h].info.id, p->nonce);
}

/*
 * Repeats a probe and asks other members to probe the target too.
 */
static void
ask_helpers(struct member_table *t, uint64_t now, struct member_probe *p)
{
	const struct node_id *target = &t->slots[p->handle].info.id;
	uint32_t start, i, h;
	int asked = 0;

	p->indirect = 1;
	member_send(t, now, MEMBER_PING, target, p->nonce);
	start = (uint32_t)(t->port.rand(t->port.ctx) % t->slots_len);
	for (i = 0; i < t->slots_len && asked < MEMBER_HELPERS; i++) {
		h = (start + i) % t->slots_len;
		if (!t->slots[h].used || h == t->self || h == p->handle ||
		    t->slots[h].info.state != MEMBER_ALIVE)
			continue;
		member_send_ping_req(
		    t, now, &t->slots[h].info.id, target, p->nonce);
		asked++;
	}
}

/*
 * Returns whether at least half of the probes of the last seconds were
 * answered.
 */
static int
hears_most(const struct member_table *t, uint64_t now)
{
	uint32_t probed, answered;

	member_window_sum(t, now, MEMBER_HEARING_S, &probed, &answered);
	return answered * 2 >= probed;
}

/*
 * Ends an unanswered probe and marks its target suspect. A node with few
 * answers to its probes is probably isolated itself and doesn't send its
 * suspicions: all of them would have to be refuted once the partition heals.
 */
static void
fail_probe(struct member_table *t, uint64_t now, struct member_probe *p)
{
	struct member_slot *s = &t->slots[p->handle];

	p->used = 0;
	member_window_add(t, now, 0);
	if (!s->used || s->info.id.incarnation != p->incarnation ||
	    s->info.state != MEMBER_ALIVE)
		return;
	member_set_state(t, now, s, MEMBER_SUSPECT, s->info.seq);
	s->accused = 1;
	s->accuse_ms = now;
	if (!hears_most(t, now))
		member_unqueue(t, member_handle(t, s));
}

/*
 * Starts indirect probes for overdue answers and fails probes that have
 * timed out.
 */
static void
check_probes(struct member_table *t, uint64_t now)
{
	struct member_probe *p;

	for (p = t->probes; p < t->probes + MEMBER_PROBES_MAX; p++) {
		if (!p->used)
			continue;
		if (now >= p->since_ms + MEMBER_PROBE_FAIL_MS)
			fail_probe(t, now, p);
		else if (!p->indirect && now >= p->since_ms + MEMBER_DIRECT_MS)
			ask_helpers(t, now, p);
	}
}

/*
 * Declares suspects dead whose deadline has passed. Other suspects that this
 * node accused are told so periodically, so they can refute it.
 */
static void
check_suspects(struct member_table *t, uint64_t now)
{
	struct member_slot *s;
	uint32_t h;

	for (h = 0; h < t->slots_len; h++) {
		s = &t->slots[h];
		if (!s->used || s->info.state != MEMBER_SUSPECT)
			continue;
		if (now >= s->deadline_ms) {
			member_set_state(t, now, s, MEMBER_DEAD, s->info.seq);
		} else if (s->accused && now >= s->accuse_ms) {
			s->accuse_ms = now + member_suspect_ms(t) / 3;
			member_send_bare(t, now, &s->info.id, t->next_nonce++);
		}
	}
}

/*
 * Probes one dead member, to detect that a network partition has healed.
 */
static void
probe_dead(struct member_table *t, uint64_t now)
{
	uint32_t start, i, h;

	t->next_dead_ms = now + MEMBER_REPROBE_MS;
	start = (uint32_t)(t->port.rand(t->port.ctx) % t->slots_len);
	for (i = 0; i < t->slots_len; i++) {
		h = (start + i) % t->slots_len;
		if (!t->slots[h].used || t->slots[h].info.state != MEMBER_DEAD)
			continue;
		member_send(
		    t, now, MEMBER_PING, &t->slots[h].info.id, t->next_nonce++);
		return;
	}
}

/*
 * Adds an address where a member may be. Addresses from the settings are
 * tried without limit, others MEMBER_SEED_TRIES times.
 */
void
member_table_seed(
    struct member_table *t, uint32_t addr, uint16_t port, int fixed)
{
	struct member_seed *s;
	uint32_t i;

	for (i = 0; i < t->seeds_len; i++) {
		s = &t->seeds[i];
		if (s->addr == addr && s->port == port) {
			s->tries = 0;
			return;
		}
	}
	if (t->seeds_len == MEMBER_SEEDS_MAX) {
		i = (uint32_t)(t->port.rand(t->port.ctx) % MEMBER_SEEDS_MAX);
		s = &t->seeds[i];
		if (s->fixed)
			return;
	} else {
		s = &t->seeds[t->seeds_len++];
	}
	memset(s, 0, sizeof(*s));
	s->addr = addr;
	s->port = port;
	s->fixed = fixed;
}

/*
 * Probes the seeds that aren't known as members.
 */
static void
try_seeds(struct member_table *t, uint64_t now)
{
	const struct member_slot *known;
	struct member_seed *s;
	struct node_id to = { 0 };

	for (s = t->seeds; s < t->seeds + t->seeds_len; s++) {
		if (now < s->next_ms ||
		    (!s->fixed && s->tries >= MEMBER_SEED_TRIES))
			continue;
		known = member_find(t, s->addr, s->port);
		if (known != NULL)
			continue;
		s->tries++;
		s->next_ms =
		    now + MIN(s->tries, MEMBER_SEED_TRIES) * MEMBER_SEED_MS;
		to.addr = s->addr;
		to.rpc_port = s->port;
		member_send(t, now, MEMBER_PING, &to, t->next_nonce++);
	}
}

/*
 * Returns whether the queue holds changes worth a separate message. Once
 * half of the budget is spent, only changes that are to be sent many times
 * are worth one.
 */
static int
worth_telling(const struct member_table *t)
{
	uint32_t all = member_tells(t), i;

	if (t->gossip_budget < 0)
		return 0;
	if (t->gossip_budget > MEMBER_BUDGET_BYTES / 2)
		return t->queue_len > 0;
	for (i = 0; i < t->queue_len; i++) {
		if (t->slots[t->queue[i]].told < all / MEMBER_TELL_FACTOR)
			return 1;
	}
	return 0;
}

/*
 * Sends queued changes to random members, in addition to the probes and
 * within the budget.
 */
static void
gossip(struct member_table *t, uint64_t now)
{
	uint32_t h;
	int i;

	t->next_gossip_ms = now + MEMBER_GOSSIP_MS;
	for (i = 0; i < MEMBER_GOSSIP_FANOUT; i++) {
		if (!worth_telling(t))
			return;
		h = member_random_alive(t);
		if (h == MEMBER_NONE)
			return;
		member_send(t, now, MEMBER_GOSSIP, &t->slots[h].info.id, 0);
	}
}

/*
 * Starts a comparison of tables with a random member and schedules the next
 * one.
 */
static void
start_sync(struct member_table *t, uint64_t now)
{
	uint32_t h = member_random_alive(t);
	uint64_t every;

	if (h == MEMBER_NONE)
		return;
	t->news = 0;
	t->last_sync_ms = now;
	every = now < t->started_ms + MEMBER_START_MS ? MEMBER_SYNC_START_MS
						      : MEMBER_SYNC_MS;
	t->next_sync_ms = now + every / 2 + t->port.rand(t->port.ctx) % every;
	member_sync(t, now, MEMBER_SYNC, &t->slots[h].info.id);
}

/*
 * Starts a comparison of tables when it is due. The next one is due earlier
 * if the last one brought changes.
 */
static void
sync_due(struct member_table *t, uint64_t now)
{
	uint64_t soon = t->last_sync_ms + (t->news >= MEMBER_SYNC_NEWS
						  ? MEMBER_SYNC_AGAIN_MS
						  : MEMBER_SYNC_SOON_MS);

	if (t->news > 0)
		t->next_sync_ms = MIN(t->next_sync_ms, soon);
	if (now >= t->next_sync_ms)
		start_sync(t, now);
}

/*
 * Extends all probe timeouts and suspicion deadlines by the time that this
 * process was paused: the answers may wait unread in its socket.
 */
static void
after_stall(struct member_table *t, uint64_t gap)
{
	uint32_t h;
	int i;

	for (i = 0; i < MEMBER_PROBES_MAX; i++)
		t->probes[i].since_ms += gap;
	for (h = 0; h < t->slots_len; h++) {
		if (t->slots[h].used)
			t->slots[h].deadline_ms += gap;
	}
}

/*
 * Refills the budgets. The unused part of the startup budget for pages
 * expires.
 */
static void
refill(struct member_table *t, uint64_t now)
{
	int64_t add;

	add = (int64_t)((now - t->budget_ms) * MEMBER_BUDGET_RATE / 1000);
	if (add == 0)
		return;
	t->budget_ms = now;
	if (t->gossip_budget < MEMBER_BUDGET_BYTES)
		t->gossip_budget += add;
	if (t->page_budget < MEMBER_BUDGET_BYTES)
		t->page_budget += add;
	else if (now > t->started_ms + MEMBER_BUDGET_START_MS)
		t->page_budget = MEMBER_BUDGET_BYTES;
}

/*
 * Runs all periodic work that is due. Must be called about every
 * MEMBER_TICK_MS.
 */
void
member_table_tick(struct member_table *t, uint64_t now)
{
	uint64_t gap = now - t->last_tick_ms;

	t->last_tick_ms = now;
	if (gap > MEMBER_STALL_MS)
		after_stall(t, gap);
	refill(t, now);
	check_probes(t, now);
	check_suspects(t, now);
	if (now >= t->next_probe_ms) {
		t->next_probe_ms =
		    MAX(t->next_probe_ms + t->probe_ms, now + t->probe_ms / 2);
		probe(t, now, next_target(t), 0);
	}
	if (now >= t->next_verify_ms) {
		t->next_verify_ms = now + MEMBER_VERIFY_MS;
		probe(t, now, next_reported(t), 1);
	}
	try_seeds(t, now);
	if (now >= t->next_gossip_ms)
		gossip(t, now);
	if (now >= t->next_dead_ms)
		probe_dead(t, now);
	sync_due(t, now);
	if (now >= t->next_forget_ms) {
		t->next_forget_ms = now + MEMBER_SYNC_MS;
		member_forget(t, now);
	}
	member_ask_config(t, now);
}

/*
 * Fails the pending probes of an address that refused a message: no process
 * has the port, so waiting for an answer is useless.
 */
void
member_table_refused(
    struct member_table *t, uint64_t now, uint32_t addr, uint16_t port)
{
	struct member_slot *s = member_find(t, addr, port);
	struct member_probe *p;

	if (s == NULL)
		return;
	for (p = t->probes; p < t->probes + MEMBER_PROBES_MAX; p++) {
		if (p->used && p->handle == member_handle(t, s))
			fail_probe(t, now, p);
	}
}

/*
 * Marks this node as left and announces that to random members at once.
 */
void
member_table_leave(struct member_table *t, uint64_t now)
{
	struct member_slot *s = &t->slots[t->self];
	uint32_t h;
	int i;

	t->leaving = 1;
	s->info.server.state = s->info.server.state == MEMBER_SERVER_NONE
				   ? MEMBER_SERVER_NONE
				   : MEMBER_SERVER_GONE;
	member_set_state(t, now, s, MEMBER_LEFT, s->info.seq + 1);
	for (i = 0; i < MEMBER_LEAVE_FANOUT; i++) {
		h = member_random_alive(t);
		if (h != MEMBER_NONE)
			member_send(
			    t, now, MEMBER_GOSSIP, &t->slots[h].info.id, 0);
	}
}
