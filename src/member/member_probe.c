#include <string.h>

#include "member/member_int.h"

static void shuffle_probe_order(struct member_table *);
static uint32_t next_probe_target(struct member_table *);
static uint32_t next_to_verify(struct member_table *);
static void send_probe(struct member_table *, uint64_t, uint32_t, int);
static void request_indirect_probes(
    struct member_table *, uint64_t, struct member_probe *);
static int half_answered(const struct member_table *, uint64_t);
static void fail_probe(struct member_table *, uint64_t, struct member_probe *);
static void check_probes(struct member_table *, uint64_t);
static void check_suspects(struct member_table *, uint64_t);
static void probe_dead_member(struct member_table *, uint64_t);
static void probe_seeds(struct member_table *, uint64_t);
static int has_changes_to_send(const struct member_table *);
static void send_gossip(struct member_table *, uint64_t);
static void sync_if_due(struct member_table *, uint64_t);
static void start_sync(struct member_table *, uint64_t);
static void extend_timeouts(struct member_table *, uint64_t);
static void refill_budgets(struct member_table *, uint64_t);

/*
 * Starts another round of probes in a new random order.
 */
static void
shuffle_probe_order(struct member_table *t)
{
	uint32_t h, i, j, swap;

	t->probe_order_len = t->probe_order_pos = 0;
	for (h = 0; h < t->slots_len; h++) {
		if (h != t->self && t->slots[h].used &&
		    t->slots[h].info.state <= MEMBER_SUSPECT)
			t->probe_order[t->probe_order_len++] = h;
	}
	for (i = t->probe_order_len; i > 1; i--) {
		j = (uint32_t)(t->callbacks.rand(t->callbacks.ctx) % i);
		swap = t->probe_order[i - 1];
		t->probe_order[i - 1] = t->probe_order[j];
		t->probe_order[j] = swap;
	}
}

/*
 * Returns the handle of the next member to probe, or MEMBER_NO_HANDLE.
 */
static uint32_t
next_probe_target(struct member_table *t)
{
	struct member_slot *s;
	int round;

	for (round = 0; round < 2; round++) {
		while (t->probe_order_pos < t->probe_order_len) {
			s = &t->slots[t->probe_order[t->probe_order_pos++]];
			if (s->used && s->info.state <= MEMBER_SUSPECT)
				return member_slot_handle(t, s);
		}
		shuffle_probe_order(t);
	}
	return MEMBER_NO_HANDLE;
}

/*
 * Returns the handle of the next live member that was reported dead, or
 * MEMBER_NO_HANDLE.
 */
static uint32_t
next_to_verify(struct member_table *t)
{
	uint32_t h;

	while (t->reported_dead_len > 0) {
		h = t->reported_dead[--t->reported_dead_len];
		if (t->slots[h].used && t->slots[h].info.state == MEMBER_ALIVE)
			return h;
	}
	return MEMBER_NO_HANDLE;
}

/*
 * Sends a probe to a member, unless too many probes are unanswered.  A bare
 * probe carries no queued changes and isn't followed by indirect probes.
 */
static void
send_probe(struct member_table *t, uint64_t now, uint32_t h, int bare)
{
	struct member_probe *p;

	if (h == MEMBER_NO_HANDLE)
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
	p->sent_ms = p->timeout_start_ms = now;
	if (bare)
		member_send_bare_ping(t, now, &t->slots[h].info.id, p->nonce);
	else
		member_send_changes(
		    t, now, MEMBER_PING, &t->slots[h].info.id, p->nonce);
}

/*
 * Repeats a probe and asks other members to probe the target too.
 */
static void
request_indirect_probes(
    struct member_table *t, uint64_t now, struct member_probe *p)
{
	const struct node_id *target = &t->slots[p->handle].info.id;
	uint32_t start, i, h;
	int asked = 0;

	p->indirect = 1;
	member_send_changes(t, now, MEMBER_PING, target, p->nonce);
	start = (uint32_t)(t->callbacks.rand(t->callbacks.ctx) % t->slots_len);
	for (i = 0; i < t->slots_len && asked < MEMBER_INDIRECT_PROBES; i++) {
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
half_answered(const struct member_table *t, uint64_t now)
{
	uint32_t probed, answered;

	member_sum_probes(
	    t, now, MEMBER_ISOLATION_WINDOW_S, &probed, &answered);
	return answered * 2 >= probed;
}

/*
 * Ends an unanswered probe and marks its target suspect.  A node with few
 * answers to its probes is probably isolated itself and doesn't send its
 * suspicions: all of them would have to be refuted once the partition heals.
 */
static void
fail_probe(struct member_table *t, uint64_t now, struct member_probe *p)
{
	struct member_slot *s = &t->slots[p->handle];

	p->used = 0;
	member_count_probe(t, now, 0);
	if (!s->used || s->info.id.incarnation != p->incarnation ||
	    s->info.state != MEMBER_ALIVE)
		return;
	member_set_state(t, now, s, MEMBER_SUSPECT, s->info.seq);
	s->accused_by_self = 1;
	s->next_accuse_ms = now;
	if (!half_answered(t, now))
		member_unqueue_change(t, member_slot_handle(t, s));
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
		if (now >= p->timeout_start_ms + MEMBER_PROBE_TIMEOUT_MS)
			fail_probe(t, now, p);
		else if (!p->indirect &&
			 now >= p->timeout_start_ms + MEMBER_DIRECT_TIMEOUT_MS)
			request_indirect_probes(t, now, p);
	}
}

/*
 * Declares suspects dead whose deadline has passed.  Periodically notifies the
 * other suspects that this node accused, so that they can refute the suspicion.
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
		} else if (s->accused_by_self && now >= s->next_accuse_ms) {
			s->next_accuse_ms =
			    now + member_suspicion_timeout_ms(t) / 3;
			member_send_bare_ping(
			    t, now, &s->info.id, t->next_nonce++);
		}
	}
}

/*
 * Probes one dead member, to detect that a network partition has healed.
 */
static void
probe_dead_member(struct member_table *t, uint64_t now)
{
	uint32_t start, i, h;

	t->next_reprobe_ms = now + MEMBER_REPROBE_PERIOD_MS;
	start = (uint32_t)(t->callbacks.rand(t->callbacks.ctx) % t->slots_len);
	for (i = 0; i < t->slots_len; i++) {
		h = (start + i) % t->slots_len;
		if (!t->slots[h].used || t->slots[h].info.state != MEMBER_DEAD)
			continue;
		member_send_changes(
		    t, now, MEMBER_PING, &t->slots[h].info.id, t->next_nonce++);
		return;
	}
}

/*
 * Adds an address where a member may be.  Addresses from the settings are tried
 * without limit, others MEMBER_SEED_TRIES times.
 */
void
member_table_add_seed(
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
		i = (uint32_t)(t->callbacks.rand(t->callbacks.ctx) %
			       MEMBER_SEEDS_MAX);
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
probe_seeds(struct member_table *t, uint64_t now)
{
	const struct member_slot *known;
	struct member_seed *s;
	struct node_id seed_id = { 0 };

	for (s = t->seeds; s < t->seeds + t->seeds_len; s++) {
		if (now < s->next_ms ||
		    (!s->fixed && s->tries >= MEMBER_SEED_TRIES))
			continue;
		known = member_table_find(t, s->addr, s->port);
		if (known != NULL)
			continue;
		s->tries++;
		s->next_ms = now + MIN(s->tries, MEMBER_SEED_TRIES) *
				       MEMBER_SEED_DELAY_MS;
		seed_id.addr = s->addr;
		seed_id.rpc_port = s->port;
		member_send_changes(
		    t, now, MEMBER_PING, &seed_id, t->next_nonce++);
	}
}

/*
 * Returns whether the queue holds changes worth a separate message.  Once half
 * of the budget is spent, the rest is reserved for changes in the first third
 * of their retransmissions.
 */
static int
has_changes_to_send(const struct member_table *t)
{
	uint32_t limit = member_retransmit_limit(t), i;

	if (t->gossip_budget < 0)
		return 0;
	if (t->gossip_budget > MEMBER_BUDGET_BYTES / 2)
		return t->queue_len > 0;
	for (i = 0; i < t->queue_len; i++) {
		if (t->slots[t->queue[i]].times_sent <
		    limit / MEMBER_RETRANSMIT_FACTOR)
			return 1;
	}
	return 0;
}

/*
 * Sends queued changes to random members, in addition to the probes and
 * within the budget.
 */
static void
send_gossip(struct member_table *t, uint64_t now)
{
	uint32_t h;
	int i;

	t->next_gossip_ms = now + MEMBER_GOSSIP_PERIOD_MS;
	for (i = 0; i < MEMBER_GOSSIP_FANOUT; i++) {
		if (!has_changes_to_send(t))
			return;
		h = member_random_alive(t);
		if (h == MEMBER_NO_HANDLE)
			return;
		member_send_changes(
		    t, now, MEMBER_GOSSIP, &t->slots[h].info.id, 0);
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
	uint64_t period_ms;

	if (h == MEMBER_NO_HANDLE)
		return;
	t->sync_changes = 0;
	t->last_sync_ms = now;
	period_ms = now < t->started_ms + MEMBER_STARTUP_MS
			? MEMBER_SYNC_STARTUP_PERIOD_MS
			: MEMBER_SYNC_PERIOD_MS;
	t->next_sync_ms = now + period_ms / 2 +
			  t->callbacks.rand(t->callbacks.ctx) % period_ms;
	member_send_digests(t, now, MEMBER_SYNC, &t->slots[h].info.id);
}

/*
 * Starts a comparison of tables when it is due.  The next one is due earlier if
 * the last one brought changes.
 */
static void
sync_if_due(struct member_table *t, uint64_t now)
{
	uint64_t early_ms =
	    t->last_sync_ms + (t->sync_changes >= MEMBER_SYNC_MANY_CHANGES
				      ? MEMBER_SYNC_MANY_DELAY_MS
				      : MEMBER_SYNC_SOME_DELAY_MS);

	if (t->sync_changes > 0)
		t->next_sync_ms = MIN(t->next_sync_ms, early_ms);
	if (now >= t->next_sync_ms)
		start_sync(t, now);
}

/*
 * Extends all probe timeouts and suspicion deadlines by the time that this
 * process was paused: the answers may wait unread in its socket.
 */
static void
extend_timeouts(struct member_table *t, uint64_t pause_ms)
{
	uint32_t h;
	int i;

	for (i = 0; i < MEMBER_PROBES_MAX; i++)
		t->probes[i].timeout_start_ms += pause_ms;
	for (h = 0; h < t->slots_len; h++) {
		if (t->slots[h].used)
			t->slots[h].deadline_ms += pause_ms;
	}
}

/*
 * Refills the budgets.  The unused part of the startup budget for pages
 * expires.
 */
static void
refill_budgets(struct member_table *t, uint64_t now)
{
	int64_t refill;

	refill = (int64_t)((now - t->budget_refilled_ms) *
			   MEMBER_BUDGET_BYTES_PER_S / 1000);
	if (refill == 0)
		return;
	t->budget_refilled_ms = now;
	if (t->gossip_budget < MEMBER_BUDGET_BYTES)
		t->gossip_budget += refill;
	if (t->page_budget < MEMBER_BUDGET_BYTES)
		t->page_budget += refill;
	else if (now > t->started_ms + MEMBER_BUDGET_STARTUP_MS)
		t->page_budget = MEMBER_BUDGET_BYTES;
}

/*
 * Runs all periodic work that is due.  Must be called about every
 * MEMBER_TICK_MS.
 */
void
member_table_tick(struct member_table *t, uint64_t now)
{
	uint64_t pause_ms = now - t->last_tick_ms;

	t->last_tick_ms = now;
	if (pause_ms > MEMBER_PAUSE_MIN_MS)
		extend_timeouts(t, pause_ms);
	refill_budgets(t, now);
	check_probes(t, now);
	check_suspects(t, now);
	if (now >= t->next_probe_ms) {
		t->next_probe_ms = MAX(t->next_probe_ms + t->probe_period_ms,
		    now + t->probe_period_ms / 2);
		send_probe(t, now, next_probe_target(t), 0);
	}
	if (now >= t->next_verify_ms) {
		t->next_verify_ms = now + MEMBER_VERIFY_PERIOD_MS;
		send_probe(t, now, next_to_verify(t), 1);
	}
	probe_seeds(t, now);
	if (now >= t->next_gossip_ms)
		send_gossip(t, now);
	if (now >= t->next_reprobe_ms)
		probe_dead_member(t, now);
	sync_if_due(t, now);
	if (now >= t->next_expiry_ms) {
		t->next_expiry_ms = now + MEMBER_SYNC_PERIOD_MS;
		member_remove_expired(t, now);
	}
	member_report_later_config(t, now);
}

/*
 * Fails the pending probes of an address that refused a message: no process
 * has the port, so waiting for an answer is useless.
 */
void
member_table_fail_probes(
    struct member_table *t, uint64_t now, uint32_t addr, uint16_t port)
{
	struct member_slot *s = member_table_find(t, addr, port);
	struct member_probe *p;

	if (s == NULL)
		return;
	for (p = t->probes; p < t->probes + MEMBER_PROBES_MAX; p++) {
		if (p->used && p->handle == member_slot_handle(t, s))
			fail_probe(t, now, p);
	}
}

/*
 * Sets this node's state to MEMBER_LEFT and announces it to random members at
 * once.
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
		if (h != MEMBER_NO_HANDLE)
			member_send_changes(
			    t, now, MEMBER_GOSSIP, &t->slots[h].info.id, 0);
	}
}
