#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/age.h"
#include "member/member_int.h"

/* Bytes of the fixed-size parts of a message in XDR encoding. */
#define MESSAGE_FIXED_BYTES 48
#define ENTRY_FIXED_BYTES 64
#define STATUS_BYTES 20
#define SERVER_FIXED_BYTES 28

/* A message under construction and the arrays that it points to. */
struct draft {
	struct member_message msg;
	struct member_entry list[MEMBER_ENTRIES_MAX];
	struct member_server_entry servers[MEMBER_ENTRIES_MAX + 1];
	struct member_status statuses[MEMBER_STATUSES_MAX];
	u_int digests[MEMBER_DIGESTS];
	size_t bytes;
	size_t limit;
};

static void fill_entry(uint64_t, struct member_slot *, struct member_entry *,
    struct member_server_entry *);
static size_t entry_bytes(const struct member_entry *);
static int add_status(struct draft *, const struct member_slot *);
static int add_entry(uint64_t, struct draft *, struct member_slot *);
static void begin_draft(
    struct member_table *, uint64_t, struct draft *, member_kind, uint32_t);
static struct member_slot *find_least_sent(struct member_table *);
static void add_queued_changes(struct member_table *, uint64_t, struct draft *);
static void add_next_entry(struct member_table *, uint64_t, struct draft *);
static void add_receiver_entry(
    struct member_table *, uint64_t, struct draft *, const struct node_id *);
static void send_draft(
    struct member_table *, struct draft *, const struct node_id *);
static uint32_t digest_bucket(const struct member_info *);
static void compute_digests(const struct member_table *, u_int *);

/*
 * Queues a member's change for sending.  The priority says in how many
 * messages the change is sent.  While the queue is long, a priority other
 * than urgent is lowered by one step, since table comparison spreads the
 * changes too.  A change that was itself received by table comparison gets
 * the lowest priority, since few nodes lack it.
 */
void
member_queue_change(
    struct member_table *t, struct member_slot *s, enum member_spread priority)
{
	uint32_t sends_max = member_retransmit_limit(t), sends_done;
	const uint32_t sends_wanted[MEMBER_SPREAD_MAX] = {
		[MEMBER_SPREAD_FEW] = MEMBER_RETRANSMIT_FEW,
		[MEMBER_SPREAD_SOME] = sends_max / MEMBER_RETRANSMIT_FACTOR,
		[MEMBER_SPREAD_ALL] = sends_max,
		[MEMBER_SPREAD_URGENT] = sends_max,
	};

	if (t->merging_page)
		priority = MEMBER_SPREAD_FEW;
	else if (t->queue_len > MEMBER_QUEUE_LONG_LEN &&
		 priority > MEMBER_SPREAD_FEW &&
		 priority < MEMBER_SPREAD_URGENT)
		priority--;
	sends_done = sends_max > sends_wanted[priority]
			 ? sends_max - sends_wanted[priority]
			 : 0;
	s->times_sent = s->queued ? MIN(s->times_sent, sends_done) : sends_done;
	if (s->queued)
		return;
	s->queued = 1;
	t->queue[t->queue_len++] = member_slot_handle(t, s);
}

/*
 * Removes a member's change from the queue.
 */
void
member_unqueue_change(struct member_table *t, uint32_t h)
{
	uint32_t i;

	for (i = 0; i < t->queue_len; i++) {
		if (t->queue[i] != h)
			continue;
		t->queue[i] = t->queue[--t->queue_len];
		t->slots[h].queued = t->slots[h].full_entry = 0;
		return;
	}
}

/*
 * Fills in a wire entry whose pointers refer to the slot.  The entry of a
 * member that isn't alive has no domain, region or server.
 */
static void
fill_entry(uint64_t now, struct member_slot *s, struct member_entry *e,
    struct member_server_entry *sv)
{
	static char empty[] = "";
	struct member_info *m = &s->info;
	int alive = m->state == MEMBER_ALIVE;

	e->name.addr = m->id.addr;
	e->name.port = m->id.rpc_port;
	e->name.incarnation = m->id.incarnation;
	e->name.epoch = m->epoch;
	e->peer_port = m->peer_port;
	e->state = m->state;
	e->seq = m->seq;
	e->rev = m->rev;
	e->age_s = (u_int)(age_at(now, m->state_since_ms) / 1000);
	e->domain = alive ? m->domain : empty;
	e->region = alive ? m->region : empty;
	e->config_version = m->config_version;
	e->server = NULL;
	if (!alive || m->server.state == MEMBER_SERVER_NONE)
		return;
	e->server = sv;
	sv->state = m->server.state;
	sv->service = m->server.service;
	sv->incarnation = m->server.incarnation;
	sv->slots = m->server.slots;
	sv->connections = m->server.connections;
	sv->load = m->server.load;
}

/*
 * Returns the encoded size of an entry in bytes.
 */
static size_t
entry_bytes(const struct member_entry *e)
{
	size_t n = ENTRY_FIXED_BYTES;

	n += RNDUP(strlen(e->domain)) + RNDUP(strlen(e->region));
	if (e->server != NULL)
		n += SERVER_FIXED_BYTES + RNDUP(strlen(e->server->service));
	return n;
}

/*
 * Adds a member's entry to a message.  Returns 0 if the message is full.
 */
static int
add_entry(uint64_t now, struct draft *d, struct member_slot *s)
{
	u_int n = d->msg.entries.entries_len;
	size_t bytes;

	if (n == MEMBER_ENTRIES_MAX)
		return 0;
	fill_entry(now, s, &d->list[n], &d->servers[n]);
	bytes = entry_bytes(&d->list[n]);
	if (d->bytes + bytes > d->limit)
		return 0;
	d->bytes += bytes;
	d->msg.entries.entries_len++;
	return 1;
}

/*
 * Adds a member's state to a message.  Returns 0 if the message is full.
 */
static int
add_status(struct draft *d, const struct member_slot *s)
{
	struct member_status *st;

	if (d->msg.statuses.statuses_len == MEMBER_STATUSES_MAX ||
	    d->bytes + STATUS_BYTES > d->limit)
		return 0;
	st = &d->statuses[d->msg.statuses.statuses_len++];
	st->addr = s->info.id.addr;
	st->port_state = (u_int)s->info.id.rpc_port << 16 | s->info.state;
	st->incarnation = s->info.id.incarnation;
	st->seq = s->info.seq;
	d->bytes += STATUS_BYTES;
	return 1;
}

/*
 * Initializes a message with the fields that every message carries.
 */
static void
begin_draft(struct member_table *t, uint64_t now, struct draft *d,
    member_kind kind, uint32_t nonce)
{
	uint64_t age = age_at(now, t->log_read_ms);

	memset(&d->msg, 0, sizeof(d->msg));
	d->msg.kind = kind;
	d->msg.nonce = nonce;
	d->msg.log_age_ms = UINT32_MAX;
	if (t->log_read_ms != 0 && age < UINT32_MAX)
		d->msg.log_age_ms = (u_int)age;
	d->msg.config.number = t->config_version;
	d->msg.config.addr = t->config_addr;
	d->msg.config.peer_port = t->config_peer_port;
	d->msg.entries.entries_val = d->list;
	d->msg.statuses.statuses_val = d->statuses;
	d->msg.digests.digests_val = d->digests;
	fill_entry(now, &t->slots[t->self], &d->msg.self,
	    &d->servers[MEMBER_ENTRIES_MAX]);
	d->bytes = MESSAGE_FIXED_BYTES + entry_bytes(&d->msg.self);
	d->limit = MEMBER_MESSAGE_BYTES;
	if (t->gossip_budget < 0 && kind != MEMBER_PAGE)
		d->limit = MEMBER_MESSAGE_LOW_BYTES;
	t->message_number++;
}

/*
 * Returns the queued change that has been sent least often and isn't in the
 * message yet, or NULL if there is none.
 */
static struct member_slot *
find_least_sent(struct member_table *t)
{
	struct member_slot *s, *best = NULL;
	uint32_t i;

	for (i = 0; i < t->queue_len; i++) {
		s = &t->slots[t->queue[i]];
		if (s->last_message_number != t->message_number &&
		    (best == NULL || s->times_sent < best->times_sent))
			best = s;
	}
	return best;
}

/*
 * Adds queued changes to a message until it is full.  Changes that have been
 * sent often enough leave the queue.  This node's own change is only counted,
 * since every message carries its entry.
 */
static void
add_queued_changes(struct member_table *t, uint64_t now, struct draft *d)
{
	struct member_slot *s;
	uint32_t h;
	int added;

	while ((s = find_least_sent(t)) != NULL) {
		h = member_slot_handle(t, s);
		added = h == t->self || (s->full_entry ? add_entry(now, d, s)
						       : add_status(d, s));
		if (!added)
			return;
		s->last_message_number = t->message_number;
		if (++s->times_sent >= member_retransmit_limit(t))
			member_unqueue_change(t, h);
	}
}

/*
 * Adds the next entry of the table in round-robin order, whether or not it
 * has changed.  All nodes thus agree eventually, whichever messages were
 * lost.
 */
static void
add_next_entry(struct member_table *t, uint64_t now, struct draft *d)
{
	struct member_slot *s;
	uint32_t i;

	for (i = 0; i < t->slots_len; i++) {
		t->refresh_pos = (t->refresh_pos + 1) % t->slots_len;
		s = &t->slots[t->refresh_pos];
		if (s->used && t->refresh_pos != t->self &&
		    s->info.state != MEMBER_LEFT &&
		    s->last_message_number != t->message_number) {
			add_entry(now, d, s);
			return;
		}
	}
}

/*
 * Adds the receiver's own entry if this node's table doesn't show it as alive
 * or has another incarnation of it.  The receiver can then refute it.
 */
static void
add_receiver_entry(struct member_table *t, uint64_t now, struct draft *d,
    const struct node_id *to)
{
	struct member_slot *s = member_table_find(t, to->addr, to->rpc_port);

	if (s == NULL)
		return;
	if (s->info.state == MEMBER_ALIVE &&
	    (to->incarnation == 0 || to->incarnation == s->info.id.incarnation))
		return;
	s->last_message_number = t->message_number;
	add_entry(now, d, s);
}

/*
 * Sends a message and charges the bytes of its entries to a budget.  Messages
 * are short once the gossip budget is spent.  This bounds a node's network
 * use, also after the loss of a failure domain.
 */
static void
send_draft(struct member_table *t, struct draft *d, const struct node_id *to)
{
	size_t bytes = d->bytes - entry_bytes(&d->msg.self);

	if (d->msg.kind == MEMBER_PAGE)
		t->page_budget -= (int64_t)bytes;
	else if (d->msg.digests.digests_len == 0)
		t->gossip_budget -= (int64_t)bytes;
	t->callbacks.send(t->callbacks.ctx, to->addr, to->rpc_port, &d->msg);
}

/*
 * Sends a message with as many queued changes as it has room for.
 */
void
member_send_changes(struct member_table *t, uint64_t now, member_kind kind,
    const struct node_id *to, uint32_t nonce)
{
	struct draft d;

	begin_draft(t, now, &d, kind, nonce);
	add_receiver_entry(t, now, &d, to);
	add_queued_changes(t, now, &d);
	if (kind == MEMBER_PING)
		add_next_entry(t, now, &d);
	send_draft(t, &d, to);
}

/*
 * Sends a probe without changes, with only an entry for the receiver to refute.
 */
void
member_send_bare_ping(struct member_table *t, uint64_t now,
    const struct node_id *to, uint32_t nonce)
{
	struct draft d;

	begin_draft(t, now, &d, MEMBER_PING, nonce);
	add_receiver_entry(t, now, &d, to);
	send_draft(t, &d, to);
}

/*
 * Asks another member, the helper, to probe a target.
 */
void
member_send_ping_req(struct member_table *t, uint64_t now,
    const struct node_id *helper, const struct node_id *target, uint32_t nonce)
{
	struct draft d;

	begin_draft(t, now, &d, MEMBER_PING_REQ, nonce);
	d.msg.target_addr = target->addr;
	d.msg.target_port = target->rpc_port;
	send_draft(t, &d, helper);
}

/*
 * Returns the digest bucket of a member.
 */
static uint32_t
digest_bucket(const struct member_info *m)
{
	uint64_t key = (uint64_t)m->id.addr << 16 | m->id.rpc_port;

	return (uint32_t)(XXH3_64bits(&key, sizeof(key)) % MEMBER_DIGESTS);
}

/*
 * Computes a digest of each bucket over the members that are alive or suspect.
 * Nodes whose tables agree have equal digests.  Values that change often or
 * may differ between nodes (load, suspicion, age) are excluded.
 */
static void
compute_digests(const struct member_table *t, u_int *out)
{
	const struct member_slot *s;
	uint64_t in[3];
	uint32_t h;

	memset(out, 0, MEMBER_DIGESTS * sizeof(*out));
	for (h = 0; h < t->slots_len; h++) {
		s = &t->slots[h];
		if (!s->used || s->info.state > MEMBER_SUSPECT)
			continue;
		in[0] = (uint64_t)s->info.id.addr << 16 | s->info.id.rpc_port;
		in[1] = s->info.id.incarnation;
		in[2] = s->info.rev;
		out[digest_bucket(&s->info)] ^=
		    (u_int)XXH3_64bits(in, sizeof(in));
	}
}

/*
 * Sends the digests of this node's table.  The receiver answers with the
 * members of the buckets that differ.
 */
void
member_send_digests(struct member_table *t, uint64_t now, member_kind kind,
    const struct node_id *to)
{
	struct draft d;

	begin_draft(t, now, &d, kind, 0);
	compute_digests(t, d.digests);
	d.msg.digests.digests_len = MEMBER_DIGESTS;
	d.bytes += sizeof(d.digests);
	add_receiver_entry(t, now, &d, to);
	send_draft(t, &d, to);
}

/*
 * Sends the members of all buckets that differ from the sender's digests, up
 * to the limits on pages and bytes.  The scan begins at a random slot.
 */
void
member_answer_sync(
    struct member_table *t, uint64_t now, const struct member_message *msg)
{
	struct node_id to = { msg->self.name.addr,
		(uint16_t)msg->self.name.port, msg->self.name.incarnation };
	u_int own[MEMBER_DIGESTS];
	struct member_slot *s;
	struct draft d;
	uint32_t start, i, b;
	int pages = 0;

	if (msg->digests.digests_len != MEMBER_DIGESTS)
		return;
	compute_digests(t, own);
	begin_draft(t, now, &d, MEMBER_PAGE, 0);
	start = (uint32_t)(t->callbacks.rand(t->callbacks.ctx) % t->slots_len);
	for (i = 0; i < t->slots_len; i++) {
		s = &t->slots[(start + i) % t->slots_len];
		b = digest_bucket(&s->info);
		if (!s->used || s->info.state == MEMBER_LEFT ||
		    own[b] == msg->digests.digests_val[b])
			continue;
		if (add_entry(now, &d, s))
			continue;
		send_draft(t, &d, &to);
		if (++pages == MEMBER_SYNC_PAGES_MAX || t->page_budget < 0)
			return;
		begin_draft(t, now, &d, MEMBER_PAGE, 0);
		add_entry(now, &d, s);
	}
	if (d.msg.entries.entries_len > 0)
		send_draft(t, &d, &to);
}
