#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "lease/lease.h"
#include "lease/lease_internal.h"

#define PENDING_CLAIMS_MAX 4096 /* buffered until a snapshot is read */
/* Clocks drift apart by less than 1/100 of a delay. */
#define CLOCK_DRIFT_DIVISOR 100

static uint64_t wait_none(const struct lease_table *);
static uint64_t wait_handover(const struct lease_table *);
static uint64_t wait_term(const struct lease_table *);
static uint64_t wait_long(const struct lease_table *);
static uint64_t max_u64(uint64_t, uint64_t);
static void restart_table(struct lease_table *, uint64_t);
static enum lease_kind classify_claim(
    const struct lease_entry *, const struct lease_claim *);
static int promotes_standby(
    const struct lease_entry *, const struct lease_claim *, enum lease_kind);
static int may_replace_term(const struct lease_entry *, uint64_t);
static int has_stopped(const struct lease_entry *);
static uint64_t owned_until(
    const struct lease_table *, const struct lease_entry *);
static enum lease_result apply_claim(
    struct lease_table *, const struct lease_claim *, uint64_t);
static enum lease_result buffer_claim(
    struct lease_table *, const struct lease_claim *, uint64_t);
static void start_term(struct lease_entry *, uint64_t, uint64_t);
static enum lease_result apply_snapshot(
    struct lease_table *, const struct lease_record *, uint64_t, uint64_t);
static void load_state(
    struct lease_entry *, const struct lease_state *, uint64_t);
static enum lease_result apply_reset(struct lease_table *, uint64_t, uint64_t);

/* Delay from the read of a claim until its owner may act. */
static uint64_t (*const effective_delay_ms[LEASE_KIND_MAX])(
    const struct lease_table *) = {
	[LEASE_FIRST] = wait_none,
	[LEASE_VACANT] = wait_none,
	[LEASE_STANDBY_CHANGE] = wait_none,
	[LEASE_HANDOVER] = wait_handover,
	[LEASE_TAKEOVER] = wait_term,
	[LEASE_SLOW_TAKEOVER] = wait_long,
};

static const char *const kind_names[LEASE_KIND_MAX] = {
	[LEASE_FIRST] = "first",
	[LEASE_VACANT] = "vacant",
	[LEASE_STANDBY_CHANGE] = "standby-change",
	[LEASE_HANDOVER] = "handover",
	[LEASE_TAKEOVER] = "takeover",
	[LEASE_SLOW_TAKEOVER] = "slow-takeover",
};

/*
 * Returns the name of a kind of claim for log lines.
 */
const char *
lease_kind_name(enum lease_kind kind)
{
	return kind_names[kind];
}

/*
 * No delay: there was no owner before, or the owner stays the same.
 */
static uint64_t
wait_none(const struct lease_table *t)
{
	(void)t;
	return 0;
}

/*
 * Delay of a handover.  The old owner stopped before it appended the claim, but
 * the loans that it granted must expire.
 */
static uint64_t
wait_handover(const struct lease_table *t)
{
	(void)t;
	return LEASE_HANDOVER_MS;
}

/*
 * Delay of a takeover by the standby: the old owner's newest read or promise
 * must expire.
 */
static uint64_t
wait_term(const struct lease_table *t)
{
	(void)t;
	return LEASE_TERM_MS + LEASE_MARGIN_MS;
}

/*
 * Delay of a takeover by another node: the old owner may rely on promises for
 * up to long_ms after its last read.  The clocks of the two nodes may drift
 * apart meanwhile.
 */
static uint64_t
wait_long(const struct lease_table *t)
{
	return t->long_ms + t->long_ms / CLOCK_DRIFT_DIVISOR + LEASE_TERM_MS +
	       LEASE_MARGIN_MS;
}

/*
 * Returns the larger of two numbers.
 */
static uint64_t
max_u64(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

/*
 * Initializes an empty table for a node.  long_ms must be the same on all
 * nodes; it is LEASE_LONG_MS except in tests.
 */
void
lease_init(struct lease_table *t, const struct node_id *self, uint64_t long_ms)
{
	memset(t, 0, sizeof(*t));
	t->self = *self;
	t->long_ms = long_ms;
	t->complete = 1;
}

/*
 * Frees the memory of a table.
 */
void
lease_finish(struct lease_table *t)
{
	free(t->pending);
	memset(t, 0, sizeof(*t));
}

/*
 * Clears all state that was read from the log and restarts the table at an
 * offset.  This node's own appends and the hints of peers are retained.
 */
static void
restart_table(struct lease_table *t, uint64_t start)
{
	struct lease_entry *e, old;
	int i;

	for (i = 0; i < LEASE_PARTS; i++) {
		e = &t->part[i];
		old = *e;
		memset(e, 0, sizeof(*e));
		e->appends = old.appends;
		e->hint_term = old.hint_term;
		e->hint_owner = old.hint_owner;
		e->hint_standby = old.hint_standby;
	}
	t->read_from = t->next = start;
	t->complete = 0;
	t->has_read_proof = 0;
	t->end_reached_ms = 0;
	t->pending_count = 0;
}

/*
 * Sets the oldest offset that the log still retains.  Must be called before the
 * records of a read are applied.  If the log has dropped records that were not
 * applied yet, the table is restarted and waits for a snapshot.
 */
void
lease_set_log_start(struct lease_table *t, uint64_t first)
{
	if (first > t->next)
		restart_table(t, first);
}

/*
 * Returns the kind of a claim that replaces the current term.
 */
static enum lease_kind
classify_claim(const struct lease_entry *e, const struct lease_claim *c)
{
	if (nodeid_is_none(&e->owner))
		return e->term == 0 ? LEASE_FIRST : LEASE_VACANT;
	if (nodeid_equal(&c->claimant, &e->owner))
		return nodeid_equal(&c->owner, &e->owner) ? LEASE_STANDBY_CHANGE
							  : LEASE_HANDOVER;
	if (nodeid_equal(&c->claimant, &e->standby) &&
	    nodeid_equal(&c->owner, &e->standby))
		return LEASE_TAKEOVER;
	return LEASE_SLOW_TAKEOVER;
}

/*
 * Returns 1 if a claim makes the standby the owner, 0 if not.
 */
static int
promotes_standby(const struct lease_entry *e, const struct lease_claim *c,
    enum lease_kind kind)
{
	return (kind == LEASE_HANDOVER || kind == LEASE_TAKEOVER) &&
	       nodeid_equal(&c->owner, &e->standby);
}

/*
 * Returns 1 if an append by this node may still replace a term, 0 if not.
 */
static int
may_replace_term(const struct lease_entry *e, uint64_t term)
{
	return (e->appends.in_flight || e->appends.maybe_written) &&
	       e->appends.replaced_term == term;
}

/*
 * Returns 1 if this node has given up the current term by a handover, 0 if
 * not.
 */
static int
has_stopped(const struct lease_entry *e)
{
	return e->appends.stopped && e->appends.replaced_term == e->term;
}

/*
 * Starts a new term.  Promises for the old term become void.
 */
static void
start_term(struct lease_entry *e, uint64_t term, uint64_t now_ms)
{
	e->term = term;
	e->read_ms = now_ms;
	e->promised = 0;
}

/*
 * Applies a claim that was read at now_ms, by compare-and-set on the term.
 */
static enum lease_result
apply_claim(struct lease_table *t, const struct lease_claim *c, uint64_t now_ms)
{
	struct lease_entry *e = &t->part[c->part];
	enum lease_kind kind;
	uint64_t from;

	if (c->prev_term != e->term) {
		t->superseded_count++;
		return LEASE_SUPERSEDED;
	}
	kind = classify_claim(e, c);
	/* An earlier delay that has not ended yet still applies. */
	if (kind != LEASE_STANDBY_CHANGE) {
		from = now_ms + effective_delay_ms[kind](t);
		e->effective_ms = max_u64(e->effective_ms, from);
		if (promotes_standby(e, c, kind))
			from = now_ms;
		e->replicated_effective_ms =
		    max_u64(e->replicated_effective_ms, from);
		e->tenure = c->term;
		e->first = kind == LEASE_FIRST;
	}
	e->kind = kind;
	e->owner = c->owner;
	e->standby = c->standby;
	start_term(e, c->term, now_ms);
	return LEASE_ACCEPTED;
}

/*
 * Buffers a claim until a snapshot gives the term that the claim is compared
 * with.  If the buffer is full, all buffered claims are dropped; the table then
 * needs a snapshot of a later position.
 */
static enum lease_result
buffer_claim(
    struct lease_table *t, const struct lease_claim *c, uint64_t offset)
{
	if (t->pending_count == PENDING_CLAIMS_MAX) {
		t->pending_count = 0;
		t->read_from = offset + 1;
		return LEASE_BUFFERED;
	}
	if (t->pending_count == t->pending_cap) {
		t->pending_cap = t->pending_cap == 0 ? 64 : t->pending_cap * 2;
		t->pending = reallocarray(
		    t->pending, t->pending_cap, sizeof(*t->pending));
		if (t->pending == NULL)
			err(1, "lease: cannot buffer a claim");
	}
	t->pending[t->pending_count].offset = offset;
	t->pending[t->pending_count++].claim = *c;
	return LEASE_BUFFERED;
}

/*
 * Loads one partition from a snapshot that was read at now_ms.
 */
static void
load_state(struct lease_entry *e, const struct lease_state *s, uint64_t now_ms)
{
	e->tenure = s->tenure;
	e->first = s->first;
	e->owner = s->owner;
	e->standby = s->standby;
	e->kind = LEASE_SLOW_TAKEOVER;
	e->effective_ms = now_ms + s->wait_ms;
	e->replicated_effective_ms = e->effective_ms;
	start_term(e, s->term, now_ms);
}

/*
 * Applies a snapshot.  An incomplete table loads it whole and replays the
 * buffered claims from the position of the snapshot on.  A complete table only
 * lowers the time at which a lease takes effect: the writer may have read the
 * claim earlier than this node.
 */
static enum lease_result
apply_snapshot(struct lease_table *t, const struct lease_record *r,
    uint64_t offset, uint64_t now_ms)
{
	struct lease_entry *e;
	uint64_t eff;
	size_t i;

	if (r->next > offset)
		return LEASE_MALFORMED;
	if (!t->complete && r->next < t->read_from)
		return LEASE_STALE;
	t->snapshot_seen = 1;
	t->snapshot_next_offset = r->next;
	t->snapshot_read_ms = now_ms;
	for (i = 0; i < LEASE_PARTS; i++) {
		e = &t->part[i];
		eff = now_ms + r->state[i].wait_ms;
		if (!t->complete)
			load_state(e, &r->state[i], now_ms);
		else if (e->term == r->state[i].term && eff < e->effective_ms) {
			e->effective_ms = eff;
			if (e->replicated_effective_ms > eff)
				e->replicated_effective_ms = eff;
		}
	}
	if (t->complete)
		return LEASE_SNAPSHOT;
	t->complete = 1;
	for (i = 0; i < t->pending_count; i++)
		if (t->pending[i].offset >= r->next)
			apply_claim(t, &t->pending[i].claim, now_ms);
	t->pending_count = 0;
	return LEASE_SNAPSHOT;
}

/*
 * Applies a reset: no partition has an owner, and all terms are higher than any
 * earlier term.  The number offset + 1 is such a term, because each earlier
 * term took one record of the log.  A node that still acts on a lost record
 * stops before the long delay ends.
 */
static enum lease_result
apply_reset(struct lease_table *t, uint64_t offset, uint64_t now_ms)
{
	struct lease_entry *e;
	int i;

	for (i = 0; i < LEASE_PARTS; i++) {
		e = &t->part[i];
		memset(&e->owner, 0, sizeof(e->owner));
		memset(&e->standby, 0, sizeof(e->standby));
		e->tenure = 0;
		e->first = 0;
		e->kind = LEASE_SLOW_TAKEOVER;
		e->effective_ms =
		    max_u64(e->effective_ms, now_ms + wait_long(t));
		e->replicated_effective_ms = e->effective_ms;
		start_term(e, offset + 1, now_ms);
	}
	t->complete = 1;
	t->pending_count = 0;
	return LEASE_RESET;
}

/*
 * Applies the record at an offset, which was read at now_ms.  Records must be
 * applied in order; a gap restarts the table.  A malformed record is dropped
 * and counted.
 */
enum lease_result
lease_apply(struct lease_table *t, const char *data, size_t len,
    uint64_t offset, uint64_t now_ms)
{
	struct lease_record r;
	enum lease_result res = LEASE_MALFORMED;

	if (offset < t->next)
		return LEASE_STALE;
	lease_set_log_start(t, offset);
	t->next = offset + 1;
	lease_record_decode(&r, data, len);
	if (r.type == LEASE_RECORD_CLAIM)
		res = t->complete ? apply_claim(t, &r.claim, now_ms)
				  : buffer_claim(t, &r.claim, offset);
	else if (r.type == LEASE_RECORD_SNAPSHOT)
		res = apply_snapshot(t, &r, offset, now_ms);
	else if (r.type == LEASE_RECORD_RESET)
		res = apply_reset(t, offset, now_ms);
	if (res == LEASE_MALFORMED)
		t->malformed_count++;
	return res;
}

/*
 * Records that a read sent at sent_ms reached the end of the stream and that
 * all its records were applied.
 */
void
lease_confirm_read(struct lease_table *t, uint64_t sent_ms)
{
	if (!t->complete) {
		if (t->end_reached_ms == 0)
			t->end_reached_ms = sent_ms;
		return;
	}
	if (t->has_read_proof && sent_ms <= t->read_sent_ms)
		return;
	t->has_read_proof = 1;
	t->read_sent_ms = sent_ms;
}

/*
 * Must be called before a claim of this node is appended.  From then on this
 * node neither gives nor counts promises for the term that the claim replaces.
 * If the claim gives the partition to another node, this node also stops acting
 * as the owner.  Returns 0, or -1 if the claim is out of date and must not be
 * appended.
 */
int
lease_append_begin(struct lease_table *t, const struct lease_claim *c)
{
	struct lease_entry *e = &t->part[c->part];

	if (!t->complete || c->prev_term != e->term)
		return -1;
	if (e->appends.replaced_term != c->prev_term)
		memset(&e->appends, 0, sizeof(e->appends));
	e->appends.replaced_term = c->prev_term;
	e->appends.in_flight = 1;
	if (nodeid_equal(&e->owner, &t->self) &&
	    !nodeid_equal(&c->owner, &t->self))
		e->appends.stopped = 1;
	return 0;
}

/*
 * Must be called when the append of a claim has ended.  written is 0 only if
 * the record can neither be in the log nor be written later.  Otherwise the
 * restrictions of lease_append_begin() last until a newer term is read from the
 * log.
 */
void
lease_append_end(
    struct lease_table *t, const struct lease_claim *c, int written)
{
	struct lease_appends *a = &t->part[c->part].appends;

	if (a->replaced_term != c->prev_term)
		return;
	a->in_flight = 0;
	if (written)
		a->maybe_written = 1;
	if (!a->maybe_written)
		a->stopped = 0;
}

/*
 * Records the standby's promise for a term.  sent_ms is the time at which this
 * node asked for it.
 */
void
lease_add_promise(
    struct lease_table *t, uint32_t part, uint64_t term, uint64_t sent_ms)
{
	struct lease_entry *e = &t->part[part];

	if (e->term != term || !nodeid_equal(&e->owner, &t->self))
		return;
	if (e->promised && sent_ms <= e->promise_sent_ms)
		return;
	e->promised = 1;
	e->promise_sent_ms = sent_ms;
}

/*
 * Returns 1 if this node may promise an owner that it has begun no takeover of
 * a term in which it is the standby, 0 if not.  A term newer than this node's
 * table is accepted without a check of owner and standby: this node can't take
 * it over before it has read it.
 */
int
lease_may_promise(const struct lease_table *t, uint32_t part, uint64_t term,
    const struct node_id *owner)
{
	const struct lease_entry *e;

	if (part >= LEASE_PARTS)
		return 0;
	e = &t->part[part];
	if (term < e->term || term < e->hint_term || may_replace_term(e, term))
		return 0;
	if (term > e->term)
		return 1;
	return nodeid_equal(&e->standby, &t->self) &&
	       nodeid_equal(&e->owner, owner);
}

/*
 * Records the state of a partition as reported by a peer.  A newer term
 * redirects requests and ends this node's authority.  A hint never gives
 * authority.
 */
void
lease_add_hint(struct lease_table *t, uint32_t part, uint64_t term,
    const struct node_id *owner, const struct node_id *standby)
{
	struct lease_entry *e;

	if (part >= LEASE_PARTS)
		return;
	e = &t->part[part];
	if (term <= e->term || term <= e->hint_term)
		return;
	e->hint_term = term;
	e->hint_owner = *owner;
	e->hint_standby = *standby;
}

/*
 * Returns the time (ms) until which the newest read or promise proves that
 * this node is the owner of a partition, or 0 if it is not.
 */
static uint64_t
owned_until(const struct lease_table *t, const struct lease_entry *e)
{
	uint64_t until, promise;

	if (!t->complete || !t->has_read_proof ||
	    !nodeid_equal(&e->owner, &t->self) || e->hint_term > e->term)
		return 0;
	until = t->read_sent_ms + LEASE_TERM_MS;
	if (e->promised && !may_replace_term(e, e->term)) {
		promise = e->promise_sent_ms + LEASE_TERM_MS;
		if (promise > t->read_sent_ms + t->long_ms)
			promise = t->read_sent_ms + t->long_ms;
		until = max_u64(until, promise);
	}
	return until;
}

/*
 * Returns the time (ms) until which this node may decide for a partition as
 * its owner, or 0 if it may not at now_ms.
 */
uint64_t
lease_valid_until(const struct lease_table *t, uint32_t part, uint64_t now_ms)
{
	const struct lease_entry *e = &t->part[part];
	uint64_t until = owned_until(t, e);

	if (has_stopped(e) || now_ms < e->effective_ms)
		return 0;
	return now_ms < until ? until : 0;
}

/*
 * Like lease_valid_until(), for decisions that take effect only after the
 * standby has recorded them.  A standby that was sent all decisions of its
 * predecessor need not wait for the old authority to expire when it becomes the
 * owner.  An owner with a standby goes on deciding during its handover.
 */
uint64_t
lease_replicated_until(
    const struct lease_table *t, uint32_t part, uint64_t now_ms)
{
	const struct lease_entry *e = &t->part[part];
	uint64_t until = owned_until(t, e);

	if ((has_stopped(e) && nodeid_is_none(&e->standby)) ||
	    now_ms < e->replicated_effective_ms)
		return 0;
	return now_ms < until ? until : 0;
}

/*
 * Describes a partition as of now_ms.
 */
void
lease_view(const struct lease_table *t, uint32_t part, uint64_t now_ms,
    struct lease_view *v)
{
	const struct lease_entry *e = &t->part[part];

	memset(v, 0, sizeof(*v));
	if (e->hint_term > e->term) {
		v->owner = e->hint_owner;
		v->standby = e->hint_standby;
		v->term = e->hint_term;
		return;
	}
	v->owner = e->owner;
	v->standby = e->standby;
	v->term = e->term;
	v->tenure = e->tenure;
	v->effective_ms = e->effective_ms;
	v->first = e->first;
	v->valid_until_ms = lease_valid_until(t, part, now_ms);
	v->replicated_until_ms = lease_replicated_until(t, part, now_ms);
}

/*
 * Returns 1 if the table has waited LEASE_RESET_WAIT_MS for a snapshot in
 * vain and the leases must be reset, 0 if not.
 */
int
lease_reset_due(const struct lease_table *t, uint64_t now_ms)
{
	return !t->complete && t->end_reached_ms != 0 &&
	       now_ms >= t->end_reached_ms + LEASE_RESET_WAIT_MS;
}
