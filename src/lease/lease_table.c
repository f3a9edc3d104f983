#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "lease/lease.h"
#include "lease/lease_internal.h"

#define PENDING_CLAIMS_MAX 4096 /* claims kept while no snapshot was read */
#define CLOCK_DRIFT_DIVISOR                               \
	100 /* clocks differ by less than 1/100 of a wait \
	     */

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

/* How long after a claim was read its owner may act. */
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
 * Returns the name under which a kind of claim is logged.
 */
const char *
lease_kind_name(enum lease_kind kind)
{
	return kind_names[kind];
}

/*
 * Nobody acted before, or the same node goes on.
 */
static uint64_t
wait_none(const struct lease_table *t)
{
	(void)t;
	return 0;
}

/*
 * The old owner stopped before it appended; its loans still lapse.
 */
static uint64_t
wait_handover(const struct lease_table *t)
{
	(void)t;
	return LEASE_HANDOVER_MS;
}

/*
 * The old owner's newest proof, by read or by promise, lapses.
 */
static uint64_t
wait_term(const struct lease_table *t)
{
	(void)t;
	return LEASE_TERM_MS + LEASE_MARGIN_MS;
}

/*
 * The old owner may live on promises for this long after its last read.
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
 * Prepares an empty table for a node.  long_ms is LEASE_LONG_MS but in
 * tests, and the same on all nodes.
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
 * Frees what a table holds.
 */
void
lease_finish(struct lease_table *t)
{
	free(t->pending);
	memset(t, 0, sizeof(*t));
}

/*
 * Drops all that was read and starts over at an offset.  What this node has
 * appended itself, and what peers said, is kept.
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
 * Takes note of the oldest offset that the log still keeps, before the
 * records of a read are applied.  If records were lost in between, the
 * table starts over and waits for a snapshot.
 */
void
lease_first(struct lease_table *t, uint64_t first)
{
	if (first > t->next)
		restart_table(t, first);
}

/*
 * Tells how a claim that compares equal relates to the term in force.
 */
static enum lease_kind
classify_claim(const struct lease_entry *e, const struct lease_claim *c)
{
	if (nodeid_is_none(&e->owner))
		return e->term == 0 ? LEASE_FIRST : LEASE_VACANT;
	if (nodeid_equal(&c->by, &e->owner))
		return nodeid_equal(&c->owner, &e->owner) ? LEASE_STANDBY_CHANGE
							  : LEASE_HANDOVER;
	if (nodeid_equal(&c->by, &e->standby) &&
	    nodeid_equal(&c->owner, &e->standby))
		return LEASE_TAKEOVER;
	return LEASE_SLOW_TAKEOVER;
}

/*
 * Tells whether a claim makes the standby the owner.
 */
static int
promotes_standby(const struct lease_entry *e, const struct lease_claim *c,
    enum lease_kind kind)
{
	return (kind == LEASE_HANDOVER || kind == LEASE_TAKEOVER) &&
	       nodeid_equal(&c->owner, &e->standby);
}

/*
 * Tells whether an append of this node's own may yet replace a term.
 */
static int
may_replace_term(const struct lease_entry *e, uint64_t term)
{
	return (e->appends.in_flight || e->appends.maybe_written) &&
	       e->appends.replaced_term == term;
}

/*
 * Tells whether this node has given up the term in force.
 */
static int
has_stopped(const struct lease_entry *e)
{
	return e->appends.stopped && e->appends.replaced_term == e->term;
}

/*
 * Puts a new term in force; promises for the old one are void.
 */
static void
start_term(struct lease_entry *e, uint64_t term, uint64_t now_ms)
{
	e->term = term;
	e->read_ms = now_ms;
	e->promised = 0;
}

/*
 * Applies a claim, read at now_ms, by compare-and-set on the term.
 */
static enum lease_result
apply_claim(struct lease_table *t, const struct lease_claim *c, uint64_t now_ms)
{
	struct lease_entry *e = &t->part[c->part];
	enum lease_kind kind;
	uint64_t from;

	if (c->prev != e->term) {
		t->superseded_count++;
		return LEASE_SUPERSEDED;
	}
	kind = classify_claim(e, c);
	/* A claim on a lease not yet in effect waits as long as that one. */
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
 * Keeps a claim until a snapshot tells what it compares with.  Past the
 * bound all are dropped, and only a later snapshot will do.
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
			err(1, "lease_apply");
	}
	t->pending[t->pending_count].offset = offset;
	t->pending[t->pending_count++].claim = *c;
	return LEASE_BUFFERED;
}

/*
 * Takes one partition over from a snapshot read at now_ms.
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
 * Applies a snapshot.  An incomplete table takes it whole and replays the
 * claims that came after the position it describes.  A complete one only
 * learns that a lease took effect earlier than it could know by itself.
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
 * Starts all leases over: no owners, and terms above any that can have
 * been, since each one took a record of its own.  Whoever still acts by a
 * lost record does so for less than the long wait.
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
 * Applies the record at an offset, read at now_ms.  Records must come in
 * order; a gap makes the table start over.  A malformed record is dropped
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
	lease_first(t, offset);
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
 * Takes note that a read sent at sent_ms reached the end of the stream, and
 * that all its records were applied.
 */
void
lease_read_proof(struct lease_table *t, uint64_t sent_ms)
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
 * Must come before an own claim is appended: from here on this node neither
 * gives nor counts promises for the term that the claim replaces, and if
 * the claim gives the partition away, it no longer acts.  Returns 0, or -1
 * if the claim is out of date and must not be appended.
 */
int
lease_append_begin(struct lease_table *t, const struct lease_claim *c)
{
	struct lease_entry *e = &t->part[c->part];

	if (!t->complete || c->prev != e->term)
		return -1;
	if (e->appends.replaced_term != c->prev)
		memset(&e->appends, 0, sizeof(e->appends));
	e->appends.replaced_term = c->prev;
	e->appends.in_flight = 1;
	if (nodeid_equal(&e->owner, &t->self) &&
	    !nodeid_equal(&c->owner, &t->self))
		e->appends.stopped = 1;
	return 0;
}

/*
 * Must follow when the append has ended.  written is 0 only if the record
 * can't be in the log, now or later; otherwise only a newer term read from
 * the log ends the abstention.
 */
void
lease_append_end(
    struct lease_table *t, const struct lease_claim *c, int written)
{
	struct lease_appends *a = &t->part[c->part].appends;

	if (a->replaced_term != c->prev)
		return;
	a->in_flight = 0;
	if (written)
		a->maybe_written = 1;
	if (!a->maybe_written)
		a->stopped = 0;
}

/*
 * Takes note of the standby's promise for a term, asked for at sent_ms.
 */
void
lease_promise(
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
 * Tells whether this node may promise an owner not to have begun a takeover
 * of a term in which it is the standby.  A term newer than this node's
 * table is taken on the owner's word: a takeover needs it read first.
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
 * Takes note of what a peer's table says.  It tells where requests go, and
 * a newer term ends this node's authority; it never gives any.
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
 * Returns the time (ms) up to which this node is known to be the owner of a
 * partition, by its newest read or promise, or 0.
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
 * Returns the time (ms) up to which this node may decide for a partition,
 * or 0 if it may not at now_ms.
 */
uint64_t
lease_held(const struct lease_table *t, uint32_t part, uint64_t now_ms)
{
	const struct lease_entry *e = &t->part[part];
	uint64_t until = owned_until(t, e);

	if (has_stopped(e) || now_ms < e->effective_ms)
		return 0;
	return now_ms < until ? until : 0;
}

/*
 * The same for decisions that count only once the standby has noted them,
 * and that a successor knows if it was sent all earlier ones: such an owner
 * need not wait for the one before, and goes on while it hands over.
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
 * Describes a partition as it stands at now_ms.
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
	v->until_ms = lease_held(t, part, now_ms);
	v->noted_until_ms = lease_replicated_until(t, part, now_ms);
}

/*
 * Tells whether the table has waited long enough for a snapshot that will
 * not come, so that the leases have to be started over.
 */
int
lease_reset_due(const struct lease_table *t, uint64_t now_ms)
{
	return !t->complete && t->end_reached_ms != 0 &&
	       now_ms >= t->end_reached_ms + LEASE_RESET_WAIT_MS;
}
