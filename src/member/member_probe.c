#include <string.h>

#include "base/counter.h"
#include "member/member_int.h"

#define LEAVE_TRIES 64
#define CONFIG_ASK_MS 1000

typedef void (*kind_fn)(struct member_table *, uint64_t,
    const struct member_message *, const struct node_id *);

static void on_ping(struct member_table *, uint64_t,
    const struct member_message *, const struct node_id *);
static void on_ack(struct member_table *, uint64_t,
    const struct member_message *, const struct node_id *);
static void on_ping_req(struct member_table *, uint64_t,
    const struct member_message *, const struct node_id *);
static void on_relayed_ack(struct member_table *, uint64_t,
    const struct member_message *, const struct node_id *);
static void on_sync(struct member_table *, uint64_t,
    const struct member_message *, const struct node_id *);
static void on_sync_reply(struct member_table *, uint64_t,
    const struct member_message *, const struct node_id *);
static struct member_probe *find_probe(struct member_table *, uint32_t);
static void take_config(
    struct member_table *, uint64_t, const struct member_message *);
static void ask_config(struct member_table *, uint64_t);
static void rebuild_ring(struct member_table *);
static uint32_t next_target(struct member_table *);
static void probe_next(struct member_table *, uint64_t);
static void ask_helpers(struct member_table *, uint64_t, struct member_probe *);
static void fail_probe(struct member_table *, uint64_t, struct member_probe *);
static void check_probes(struct member_table *, uint64_t);
static void check_suspects(struct member_table *, uint64_t);
static void probe_dead(struct member_table *, uint64_t);
static void try_seeds(struct member_table *, uint64_t);
static void gossip(struct member_table *, uint64_t);
static void start_sync(struct member_table *, uint64_t);
static void after_stall(struct member_table *, uint64_t);
static void refill(struct member_table *, uint64_t);

static const kind_fn kinds[] = {
	[MEMBER_PING] = on_ping,
	[MEMBER_ACK] = on_ack,
	[MEMBER_PING_REQ] = on_ping_req,
	[MEMBER_RELAYED_ACK] = on_relayed_ack,
	[MEMBER_GOSSIP] = NULL,
	[MEMBER_SYNC] = on_sync,
	[MEMBER_SYNC_REPLY] = on_sync_reply,
};

/*
 * Takes a message in: what it says of members, and what its kind asks for.
 */
void
member_table_receive(
    struct member_table *t, uint64_t now, const struct member_message *msg)
{
	struct node_id from = { msg->self.name.addr,
		(uint16_t)msg->self.name.port, msg->self.name.incarnation };
	struct member_slot *s = &t->slots[t->self];
	u_int i;

	if ((u_int)msg->kind >= G_N_ELEMENTS(kinds))
		return;
	if (from.addr == s->info.id.addr &&
	    from.rpc_port == s->info.id.rpc_port) {
		member_merge(t, now, &msg->self, 0);
		return;
	}
	member_merge(t, now, &msg->self, 1);
	for (i = 0; i < msg->entries.entries_len; i++)
		member_merge(t, now, &msg->entries.entries_val[i], 0);
	take_config(t, now, msg);
	if (kinds[msg->kind] != NULL)
		kinds[msg->kind](t, now, msg, &from);
}

/*
 * Answers a probe.
 */
static void
on_ping(struct member_table *t, uint64_t now, const struct member_message *msg,
    const struct node_id *from)
{
	member_send(t, now, MEMBER_ACK, from, msg->nonce);
}

/*
 * Finds a probe without an answer, or returns NULL.
 */
static struct member_probe *
find_probe(struct member_table *t, uint32_t nonce)
{
	int i;

	for (i = 0; i < MEMBER_PROBES_MAX; i++) {
		if (t->probes[i].used && t->probes[i].nonce == nonce)
			return &t->probes[i];
	}
	return NULL;
}

/*
 * Ends the probe that was answered.  The age of the last read of the log is
 * counted from when the probe was sent, so that no delay of the answer makes
 * it look younger.  An answer to a probe made for another member is passed
 * on to it.
 */
static void
on_ack(struct member_table *t, uint64_t now, const struct member_message *msg,
    const struct node_id *from)
{
	struct member_probe *p = find_probe(t, msg->nonce);
	struct member_relay *r;
	int i;

	(void)from;
	if (p != NULL) {
		p->used = 0;
		member_window_add(t, now, 1);
		if (msg->log_age_ms < p->sent_ms)
			t->log_read_ms =
			    MAX(t->log_read_ms, p->sent_ms - msg->log_age_ms);
		return;
	}
	for (i = 0; i < MEMBER_RELAYS_MAX; i++) {
		r = &t->relays[i];
		if (r->origin.addr == 0 || r->nonce != msg->nonce)
			continue;
		member_send(
		    t, now, MEMBER_RELAYED_ACK, &r->origin, r->origin_nonce);
		r->origin.addr = 0;
	}
}

/*
 * Probes a target for another member.
 */
static void
on_ping_req(struct member_table *t, uint64_t now,
    const struct member_message *msg, const struct node_id *from)
{
	struct node_id target = { msg->target_addr, (uint16_t)msg->target_port,
		0 };
	struct member_relay *r;

	if (member_find(t, target.addr, target.rpc_port) == NULL)
		return;
	r = &t->relays[t->relay_pos++ % MEMBER_RELAYS_MAX];
	r->origin = *from;
	r->origin_nonce = msg->nonce;
	r->nonce = t->next_nonce++;
	member_send(t, now, MEMBER_PING, &target, r->nonce);
}

/*
 * Ends a probe that another member saw answered.
 */
static void
on_relayed_ack(struct member_table *t, uint64_t now,
    const struct member_message *msg, const struct node_id *from)
{
	struct member_probe *p = find_probe(t, msg->nonce);

	(void)from;
	if (p == NULL)
		return;
	p->used = 0;
	member_window_add(t, now, 1);
}

/*
 * Sends what differs from the sender's table, and asks for the reverse.
 */
static void
on_sync(struct member_table *t, uint64_t now, const struct member_message *msg,
    const struct node_id *from)
{
	member_sync_answer(t, now, msg);
	member_sync(t, now, MEMBER_SYNC_REPLY, from);
}

/*
 * Sends what differs from the sender's table.
 */
static void
on_sync_reply(struct member_table *t, uint64_t now,
    const struct member_message *msg, const struct node_id *from)
{
	(void)from;
	member_sync_answer(t, now, msg);
}

/*
 * Notes the highest configuration version heard of and who has it.  The
 * sender itself is preferred where it has it, since it was just there.
 */
static void
take_config(
    struct member_table *t, uint64_t now, const struct member_message *msg)
{
	if (msg->self.config_version >= msg->config.number &&
	    msg->self.config_version >= t->config_version) {
		t->config_version = msg->self.config_version;
		t->config_addr = msg->self.name.addr;
		t->config_peer_port = (uint16_t)msg->self.peer_port;
	} else if (msg->config.number > t->config_version) {
		t->config_version = msg->config.number;
		t->config_addr = msg->config.addr;
		t->config_peer_port = (uint16_t)msg->config.peer_port;
	} else {
		return;
	}
	ask_config(t, now);
}

/*
 * Reports that another node has a later configuration, now and then as long
 * as it is so.
 */
static void
ask_config(struct member_table *t, uint64_t now)
{
	struct member_info holder;

	if (t->config_version <= t->slots[t->self].info.config_version ||
	    now < t->config_asked_ms || t->port.event == NULL)
		return;
	t->config_asked_ms = now + CONFIG_ASK_MS;
	memset(&holder, 0, sizeof(holder));
	holder.id.addr = t->config_addr;
	holder.peer_port = t->config_peer_port;
	t->port.event(
	    t->port.ctx, MEMBER_CONFIG_SEEN, &holder, t->config_version);
}

/*
 * Adds the outcome of one probe to the last seconds' record.
 */
void
member_window_add(struct member_table *t, uint64_t now, int answered)
{
	struct member_second *w = &t->seconds[now / 1000 % MEMBER_WINDOW_S];

	if (w->second != now / 1000) {
		w->second = now / 1000;
		w->probed = w->answered = 0;
	}
	w->probed++;
	w->answered += answered != 0;
}

/*
 * Sums up the probes of the last seconds.
 */
void
member_window_sum(const struct member_table *t, uint64_t now, uint32_t *probed,
    uint32_t *answered)
{
	const struct member_second *w;

	*probed = *answered = 0;
	for (w = t->seconds; w < t->seconds + MEMBER_WINDOW_S; w++) {
		if (w->second + MEMBER_WINDOW_S <= now / 1000)
			continue;
		*probed += w->probed;
		*answered += w->answered;
	}
}

/*
 * Begins another round of probes, in a new random order.
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
 * Returns the next member to probe, or MEMBER_NONE.
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
 * Probes the next member.
 */
static void
probe_next(struct member_table *t, uint64_t now)
{
	uint32_t h = next_target(t);
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
	p->indirect = 0;
	p->handle = h;
	p->incarnation = t->slots[h].info.id.incarnation;
	p->nonce = t->next_nonce++;
	p->sent_ms = p->since_ms = now;
	member_send(t, now, MEMBER_PING, &t->slots[h].info.id, p->nonce);
}

/*
 * Asks other members to probe one that hasn't answered.
 */
static void
ask_helpers(struct member_table *t, uint64_t now, struct member_probe *p)
{
	const struct node_id *target = &t->slots[p->handle].info.id;
	uint32_t h;
	int i;

	p->indirect = 1;
	for (i = 0; i < MEMBER_HELPERS; i++) {
		h = member_random_alive(t);
		if (h != MEMBER_NONE && h != p->handle)
			member_send_ping_req(
			    t, now, &t->slots[h].info.id, target, p->nonce);
	}
}

/*
 * Ends a probe without an answer: its target is a suspect from now on.
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
}

/*
 * Moves probes on whose answer is overdue.
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
 * Declares suspects dead whose time is over, and lets those know that this
 * node accused, so that they can refute.
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
			s->accuse_ms = now + t->probe_ms;
			member_send(
			    t, now, MEMBER_PING, &s->info.id, t->next_nonce++);
		}
	}
}

/*
 * Probes one of the dead, so that a cut that has healed is noticed.
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
 * Notes an address where a member may be.  Those from settings are tried for
 * ever, others a few times.
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
 * Probes the seeds that aren't known as members, and asks the first of them
 * for its table while this node knows nobody.
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
 * Sends changes to random members ahead of the probes, within the budget.
 */
static void
gossip(struct member_table *t, uint64_t now)
{
	uint32_t h;
	int i;

	t->next_gossip_ms = now + MEMBER_GOSSIP_MS;
	for (i = 0; i < MEMBER_GOSSIP_FANOUT; i++) {
		if (t->queue_len == 0 || t->budget < 0)
			return;
		h = member_random_alive(t);
		if (h == MEMBER_NONE)
			return;
		member_send(t, now, MEMBER_GOSSIP, &t->slots[h].info.id, 0);
	}
}

/*
 * Compares tables with a random member: regularly, and again soon while that
 * brings much news.
 */
static void
start_sync(struct member_table *t, uint64_t now)
{
	uint32_t h = member_random_alive(t);

	if (h == MEMBER_NONE)
		return;
	t->news = 0;
	t->next_sync_ms = now + MEMBER_SYNC_MS / 2 +
			  t->port.rand(t->port.ctx) % MEMBER_SYNC_MS;
	member_sync(t, now, MEMBER_SYNC, &t->slots[h].info.id);
}

/*
 * Grants all that waits for others the time for which this process was
 * paused itself: what they sent may wait in its socket.
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
 * Refills the budget of bytes for gossip and sync.
 */
static void
refill(struct member_table *t, uint64_t now)
{
	int64_t add;

	add = (int64_t)((now - t->budget_ms) * MEMBER_BUDGET_RATE / 1000);
	if (add == 0)
		return;
	t->budget_ms = now;
	t->budget = MIN(t->budget + add, MEMBER_BUDGET_BYTES);
}

/*
 * Does what is due.  To be called about every MEMBER_TICK_MS.
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
		probe_next(t, now);
	}
	try_seeds(t, now);
	if (now >= t->next_gossip_ms)
		gossip(t, now);
	if (now >= t->next_dead_ms)
		probe_dead(t, now);
	if (t->news >= MEMBER_SYNC_NEWS)
		t->next_sync_ms =
		    MIN(t->next_sync_ms, now + MEMBER_SYNC_AGAIN_MS);
	if (now >= t->next_sync_ms)
		start_sync(t, now);
	if (now >= t->next_forget_ms) {
		t->next_forget_ms = now + MEMBER_SYNC_MS;
		member_forget(t, now);
	}
	ask_config(t, now);
}

/*
 * Notes that an address refused a message: no process has the port, so
 * probes of it need no more waiting.
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
 * Tells members at once that this process stops.
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
