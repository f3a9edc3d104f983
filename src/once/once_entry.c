#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "once/once_int.h"

#define RELEASES_PER_MAINTAIN 64
#define RESERVATIONS_MAX 4
#define CLAIM_RETRY_US 20000 /* between two tries of a claim */

/* The outcome of the earlier tries of one claim. */
struct claim_tries {
	/* Reservations that nodes may hold after failed tries. */
	struct once_claim reservations[RESERVATIONS_MAX];
	size_t count;
	int refused; /* the owner refused; a retry would be refused too */
};

static void add_reservation(struct claim_tries *, const struct once_claim *);
static once_status reserve_at_owner(struct once *, const struct once_key *,
    struct once_claim *, uint64_t *, struct claim_tries *);
static enum once_verdict claim_at_owner(struct once *, const struct once_key *,
    struct once_claim *, struct claim_tries *);
static enum once_verdict claim_at_owner_or_standby(struct once *,
    const struct once_key *, struct once_claim *, struct claim_tries *);
static int should_wait_for_owner(struct once *, struct once_part *);
static int note_at_standby(struct once *, const struct once_claim *, uint64_t);
static int pop_release(struct once *, struct once_claim *);

/* The verdict for an owner's status, unless the claim succeeds. */
static const enum once_verdict verdicts[] = {
	[ONCE_RESERVED] = ONCE_UNAVAILABLE,
	[ONCE_CLAIMED] = ONCE_DUPLICATE,
	[ONCE_NOT_KNOWN] = ONCE_UNKNOWN,
	[ONCE_NOT_OWNER] = ONCE_UNAVAILABLE,
	[ONCE_MEMORY_FULL] = ONCE_UNAVAILABLE,
	[ONCE_FUTURE_ID] = ONCE_UNAVAILABLE,
};

/*
 * Converts a node id to its form in messages.
 */
struct once_node
once_node_pack(const struct node_id *id)
{
	struct once_node n = { id->addr, id->rpc_port, id->incarnation };

	return n;
}

/*
 * Converts a node id from its form in messages.
 */
struct node_id
once_node_unpack(const struct once_node *n)
{
	struct node_id id = { n->addr, (uint16_t)n->port, n->incarnation };

	return id;
}

/*
 * Calls a procedure of a node, which may be this one.  A call without an
 * answer is sent again, since a datagram may be lost; all procedures are
 * safe to repeat.  Returns 0, or -1 if there was no answer.
 */
int
once_call(struct once *o, const struct node_id *to, enum once_proc proc,
    const void *arg, void *res)
{
	const struct rpc_proc *p = &once_procs[proc];
	enum rpc_status st = RPC_TIMEOUT;
	int i;

	memset(res, 0, p->res_size);
	if (nodeid_equal(to, &o->cfg.self))
		return p->handle(o, NULL, arg, res);
	for (i = 0; i < ONCE_RPC_TRIES && st == RPC_TIMEOUT; i++)
		st = o->cfg.call(o->cfg.call_ctx, to, p, arg, res,
		    ONCE_RPC_TIMEOUT_MS / ONCE_RPC_TRIES);
	if (st != RPC_DONE && o->cfg.on_owner_failure != NULL)
		o->cfg.on_owner_failure(o->cfg.on_owner_failure_ctx);
	return st == RPC_DONE ? 0 : -1;
}

/*
 * Stores where a release has to be sent if the claim fails.  If there is no
 * room, the id stays claimed.
 */
static void
add_reservation(struct claim_tries *t, const struct once_claim *c)
{
	size_t i;

	for (i = 0; i < t->count; i++)
		if (nodeid_equal(&t->reservations[i].owner, &c->owner) &&
		    nodeid_equal(&t->reservations[i].standby, &c->standby))
			return;
	if (t->count < RESERVATIONS_MAX)
		t->reservations[t->count++] = *c;
}

/*
 * Asks the node believed to be the owner to reserve an id.  Sets the standby
 * that has to note the id, and the term.
 */
static once_status
reserve_at_owner(struct once *o, const struct once_key *key,
    struct once_claim *c, uint64_t *term, struct claim_tries *t)
{
	once_claim_arg arg = { .attempt = c->attempt,
		.stamp_ms = key->stamp_ms };
	once_claim_res res;

	if (nodeid_is_none(&c->owner))
		return ONCE_NOT_OWNER;
	memcpy(arg.id, key->id.byte, sizeof(arg.id));
	if (once_call(o, &c->owner, ONCE_PROC_CLAIM, &arg, &res) == -1) {
		/* The id may be reserved though the answer was lost. */
		add_reservation(t, c);
		return ONCE_NOT_OWNER;
	}
	c->standby = once_node_unpack(&res.standby);
	*term = res.term;
	return res.status;
}

/*
 * Has the standby note a reserved id.  Returns 0, or -1 if it did not.  If
 * the term has no standby, no node could take over with a memory that counts
 * as complete, so no node has to note the id.
 */
static int
note_at_standby(struct once *o, const struct once_claim *c, uint64_t term)
{
	once_note_arg arg = { .attempt = c->attempt, .term = term };
	once_note_res res;

	if (nodeid_is_none(&c->standby))
		return 0;
	memcpy(arg.id, c->id.byte, sizeof(arg.id));
	if (once_call(o, &c->standby, ONCE_PROC_NOTE, &arg, &res) == -1 ||
	    !res.noted)
		return -1;
	return 0;
}

/*
 * Claims an id at the node believed to be the owner.  A claim that takes
 * ONCE_CLAIM_TIMEOUT_MS or longer fails.
 */
static enum once_verdict
claim_at_owner(struct once *o, const struct once_key *key, struct once_claim *c,
    struct claim_tries *t)
{
	uint64_t started_ms = o->cfg.clock_ms(), term = 0;
	once_status st;

	st = reserve_at_owner(o, key, c, &term, t);
	if ((size_t)st >= sizeof(verdicts) / sizeof(verdicts[0]))
		return ONCE_UNAVAILABLE;
	t->refused = st == ONCE_FUTURE_ID || st == ONCE_MEMORY_FULL;
	if (st != ONCE_RESERVED)
		return verdicts[st];
	/* Ignore late answers: this thread may have been suspended. */
	if (note_at_standby(o, c, term) == 0 &&
	    o->cfg.clock_ms() - started_ms < ONCE_CLAIM_TIMEOUT_MS)
		return ONCE_GRANTED;
	add_reservation(t, c);
	return ONCE_UNAVAILABLE;
}

/*
 * Claims an id at the owner and, if that fails, at the standby, which may
 * have become the owner without this node having learnt of it.
 */
static enum once_verdict
claim_at_owner_or_standby(struct once *o, const struct once_key *key,
    struct once_claim *c, struct claim_tries *t)
{
	enum once_verdict verdict;
	struct lease_view v;

	o->cfg.lookup(
	    o->cfg.lookup_ctx, once_part(&key->id), o->cfg.clock_ms(), &v);
	c->owner = v.owner;
	c->standby = v.standby;
	verdict = claim_at_owner(o, key, c, t);
	if (verdict != ONCE_UNAVAILABLE || t->refused ||
	    nodeid_is_none(&v.standby))
		return verdict;
	c->owner = v.standby;
	memset(&c->standby, 0, sizeof(c->standby));
	return claim_at_owner(o, key, c, t);
}

/*
 * Returns whether to wait for an owner: leases can change, and it is less
 * than ONCE_OWNER_WAIT_MS ago that an owner was first missing.
 */
static int
should_wait_for_owner(struct once *o, struct once_part *p)
{
	uint64_t now = o->cfg.clock_ms();
	unsigned long long missing_ms = 0;

	if (atomic_compare_exchange_strong(
		&p->owner_missing_ms, &missing_ms, now))
		missing_ms = now;
	return now < missing_ms + ONCE_OWNER_WAIT_MS &&
	       (o->cfg.owners_may_change == NULL ||
		   o->cfg.owners_may_change(o->cfg.owners_may_change_ctx));
}

/*
 * Claims an id before its request runs.  Retries for up to wait_ms while no
 * owner answers.  On ONCE_GRANTED the request may run, and *c is valid for
 * once_release().  All tries share one attempt id, so that none finds the id
 * claimed by an earlier one.  Releases are queued only after the last try
 * has failed.
 */
enum once_verdict
once_claim_wait(struct once *o, const struct once_key *key, uint32_t wait_ms,
    struct once_claim *c)
{
	struct once_part *p = &o->part[once_part(&key->id)];
	uint64_t valid_until_ms = o->cfg.clock_ms() + wait_ms;
	struct claim_tries t = { .count = 0 };
	enum once_verdict v;
	size_t i;

	memset(c, 0, sizeof(*c));
	c->id = key->id;
	c->attempt = rand_u64() | 1;
	while ((v = claim_at_owner_or_standby(o, key, c, &t)) ==
		   ONCE_UNAVAILABLE &&
	       !t.refused &&
	       o->cfg.clock_ms() + CLAIM_RETRY_US / 1000 < valid_until_ms &&
	       should_wait_for_owner(o, p))
		usleep(CLAIM_RETRY_US);
	if (v != ONCE_UNAVAILABLE)
		atomic_store(&p->owner_missing_ms, 0);
	for (i = 0; i < t.count && v != ONCE_GRANTED; i++)
		once_release(o, &t.reservations[i]);
	return v;
}

/*
 * Claims an id without a retry.
 */
enum once_verdict
once_claim(struct once *o, const struct once_key *key, struct once_claim *c)
{
	return once_claim_wait(o, key, 0, c);
}

/*
 * Queues the release of a claim whose request was certainly not run.  The
 * next once_maintain() sends it.  If the message is lost or the queue is
 * full, the id stays claimed.
 */
void
once_release(struct once *o, const struct once_claim *c)
{
	pthread_mutex_lock(&o->lock);
	if (o->release_count < ONCE_RELEASES_MAX)
		o->releases[o->release_count++] = *c;
	pthread_mutex_unlock(&o->lock);
}

/*
 * Removes a claim from the release queue.  Returns 0, or -1 if the queue is
 * empty.
 */
static int
pop_release(struct once *o, struct once_claim *c)
{
	int res = -1;

	pthread_mutex_lock(&o->lock);
	if (o->release_count > 0) {
		*c = o->releases[--o->release_count];
		res = 0;
	}
	pthread_mutex_unlock(&o->lock);
	return res;
}

/*
 * Sends up to RELEASES_PER_MAINTAIN queued releases.
 */
void
once_send_releases(struct once *o)
{
	once_release_arg arg;
	once_release_res res;
	struct once_claim c;
	int i;

	for (i = 0; i < RELEASES_PER_MAINTAIN && pop_release(o, &c) == 0; i++) {
		memcpy(arg.id, c.id.byte, sizeof(arg.id));
		arg.attempt = c.attempt;
		once_call(o, &c.owner, ONCE_PROC_RELEASE, &arg, &res);
		if (!nodeid_is_none(&c.standby))
			once_call(o, &c.standby, ONCE_PROC_RELEASE, &arg, &res);
	}
}
