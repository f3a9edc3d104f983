#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/counter.h"
#include "lease/lease.h"
#include "limits/limits.h"
#include "once/once.h"

/*
 * Prints what leases, limits and ids cost per member, partition, workspace,
 * request and id: the slopes that docs/CAPACITY.md multiplies.  All runs in
 * this process; calls to peers are counted, not sent.
 */
#define MEMBERS 1600
#define WORKSPACES 1000
#define REQUESTS 200000
#define IDS 100000
#define RECORDS 20000
#define ROUNDS 200
#define DOMAINS 6
#define SPREAD 33 /* owners lie apart in the list of members */

static struct node_id node(size_t);
static void lookup(void *, uint32_t, uint64_t, struct lease_view *);
static int find_ws(void *, uint64_t, struct limits_workspace *);
static uint64_t fake_us(void);
static void measure_leases(void);
static void measure_decisions(void);
static void measure_limits(void);
static void measure_flow(double, const char *);
static void measure_ids(void);
static enum rpc_status call(void *, const struct node_id *,
    const struct rpc_proc *, const void *, void *, uint32_t);

static struct limits limits[2];
static struct once once[2];
static struct limits_workspace workspace = { 1, 1e6, 3000000, 0 };
static uint64_t now_us, calls;

/*
 * Returns the name of node i.
 */
static struct node_id
node(size_t i)
{
	struct node_id id = { 0x0a000001 + (uint32_t)i, 7000, 1 };

	return id;
}

/*
 * Node 0 owns all partitions, node 1 is the standby; the context is NULL at
 * node 0.
 */
static void
lookup(void *ctx, uint32_t part, uint64_t now_ms, struct lease_view *v)
{
	(void)part;
	memset(v, 0, sizeof(*v));
	v->owner = node(0);
	v->standby = node(1);
	v->term = v->tenure = 1;
	v->first = 1;
	if (ctx != NULL)
		return;
	v->valid_until_ms = now_ms + LEASE_TERM_MS;
	v->replicated_until_ms = v->valid_until_ms;
}

/*
 * Finds any workspace.
 */
static int
find_ws(void *ctx, uint64_t hash, struct limits_workspace *ws)
{
	(void)ctx;
	*ws = workspace;
	ws->hash = hash;
	return 0;
}

/*
 * Returns the time that flows are driven by.
 */
static uint64_t
fake_us(void)
{
	return now_us;
}

/*
 * Calls a procedure of one of two nodes, and counts it.
 */
static enum rpc_status
call(void *ctx, const struct node_id *to, const struct rpc_proc *p,
    const void *arg, void *res, uint32_t timeout_ms)
{
	struct node_id first = node(0);
	int i = !nodeid_equal(to, &first);

	(void)ctx;
	(void)timeout_ms;
	calls++;
	p->handle(
	    p->proc >= RPC_BLOCK_ONCE ? (void *)&once[i] : (void *)&limits[i],
	    NULL, arg, res);
	return RPC_DONE;
}

/*
 * The table: its size, its records, and what applying them costs.
 */
static void
measure_leases(void)
{
	struct node_id self = node(0);
	struct lease_claim c = { .claimant = node(0), .owner = node(0) };
	struct lease_table t;
	uint64_t began, i;
	size_t claim = 0;
	char *text;

	lease_init(&t, &self, LEASE_LONG_MS);
	began = clock_us();
	for (i = 0; i < RECORDS; i++) {
		c.part = (uint32_t)(i % LEASE_PARTS);
		c.prev_term = t.part[c.part].term;
		c.term = c.prev_term + 1;
		c.standby = node(1 + i % 7);
		text = lease_claim_encode(&c);
		claim = strlen(text);
		lease_apply(&t, text, claim, i, i);
		free(text);
	}
	printf("lease: %zu bytes a partition in memory, %zu bytes a claim, "
	       "%.1f us to encode and apply one\n",
	    sizeof(struct lease_entry), claim,
	    (double)(clock_us() - began) / RECORDS);
	text = lease_snapshot_encode(&t, 0);
	printf("lease: %zu bytes a snapshot of %d partitions\n", strlen(text),
	    LEASE_PARTS);
	free(text);
	lease_finish(&t);
}

/*
 * One round of decisions with all members alive: of a node without a part
 * in the leases, of an owner, and when owners are gone.
 */
static void
measure_decisions(void)
{
	static struct lease_member m[MEMBERS];
	struct lease_inputs in = { m, MEMBERS, NULL, NULL, 100000 };
	struct lease_claim c = {
		.claimant = node(1), .owner = node(1), .standby = node(2)
	};
	struct lease_claim out[LEASE_PARTS];
	static const char *const what[] = { "idle node", "owner of 1",
		"owners gone" };
	struct lease_decider d;
	struct lease_table t;
	struct node_id self;
	uint64_t began, i;
	size_t k;

	for (i = 0; i < MEMBERS; i++) {
		m[i].id = node(i);
		m[i].domain = (uint32_t)(i % DOMAINS);
		m[i].alive = 1;
		m[i].age_ms = LEASE_MEMBER_STABLE_MS;
	}
	for (k = 0; k < 3; k++) {
		self = node(k == 1 ? 1 : 900);
		lease_init(&t, &self, LEASE_LONG_MS);
		for (i = 0; i < LEASE_PARTS; i++) {
			c.part = (uint32_t)i;
			c.claimant = c.owner = node(1 + i * SPREAD);
			c.term = 1;
			char *text = lease_claim_encode(&c);
			lease_apply(&t, text, strlen(text), i, 1);
			free(text);
			m[1 + i * SPREAD].alive = k != 2;
		}
		lease_confirm_read(&t, in.now_ms);
		lease_decider_init(&d);
		began = clock_us();
		for (i = 0; i < ROUNDS; i++)
			lease_decide(&d, &t, &in, out, LEASE_PARTS);
		printf("lease: %.0f us a round of decisions at %d members, "
		       "%s\n",
		    (double)(clock_us() - began) / ROUNDS, MEMBERS, what[k]);
		lease_finish(&t);
	}
}

/*
 * Memory per workspace, and the time of an admission and of a grant.
 */
static void
measure_limits(void)
{
	struct limits_config cfg = { .self = node(1),
		.lookup = lookup,
		.lookup_ctx = &limits[1],
		.call = call,
		.find_limit = find_ws,
		.clock_us = fake_us };
	struct limits_workspace ws = workspace;
	uint64_t began, i, loan;
	uint32_t retry;
	size_t base;

	limits_init(&limits[1], &cfg);
	cfg.self = node(0);
	cfg.lookup_ctx = NULL;
	limits_init(&limits[0], &cfg);
	base = mallinfo2().uordblks;
	for (i = 0; i < WORKSPACES; i++) {
		ws.hash = i * 7919;
		limits_admit(&limits[1], &ws, &loan, &retry);
	}
	printf("limits: %zu bytes a workspace, at an entry and at one owner\n",
	    (mallinfo2().uordblks - base) / WORKSPACES);
	began = clock_us();
	for (i = 0; i < REQUESTS; i++) {
		now_us += 1000;
		ws.hash = i % WORKSPACES * 7919;
		limits_admit(&limits[0], &ws, &loan, &retry);
	}
	printf("limits: %.2f us to admit with a grant by the own node\n",
	    (double)(clock_us() - began) / REQUESTS);
	limits_finish(&limits[0]);
	limits_finish(&limits[1]);
}

/*
 * Calls per request of a flow of one workspace through one entry, whose
 * owner is another node.
 */
static void
measure_flow(double rate, const char *what)
{
	struct limits_config cfg = { .self = node(1),
		.lookup = lookup,
		.lookup_ctx = &limits[1],
		.call = call,
		.find_limit = find_ws,
		.clock_us = fake_us };
	uint64_t began, tick = 0, spent = 0;
	size_t i, n = 20000;
	uint64_t loan;
	uint32_t retry;

	limits_init(&limits[1], &cfg);
	cfg.self = node(0);
	cfg.lookup_ctx = NULL;
	limits_init(&limits[0], &cfg);
	calls = 0;
	for (i = 0; i < n; i++) {
		now_us += (uint64_t)(1e6 / rate);
		while (tick < now_us) {
			limits_maintain(&limits[1]);
			tick = now_us +
			       (uint64_t)LIMITS_MAINTAIN_INTERVAL_MS * 1000;
		}
		began = clock_us();
		limits_admit(&limits[1], &workspace, &loan, &retry);
		spent += clock_us() - began;
	}
	printf("limits: %.3f calls a request, %.2f us each, %s of %.0f a "
	       "second\n",
	    (double)calls / (double)n, (double)spent / (double)n, what, rate);
	limits_finish(&limits[0]);
	limits_finish(&limits[1]);
}

/*
 * Memory per id, calls per claim and per copied id.
 */
static void
measure_ids(void)
{
	struct once_config cfg = { .self = node(2),
		.lookup = lookup,
		.lookup_ctx = &once[1],
		.call = call };
	static struct once entry;
	struct once_claim c;
	struct once_key key;
	uint64_t began, i, copies;
	size_t base;
	char id[32];

	once_init(&entry, &cfg);
	cfg.self = node(1);
	once_init(&once[1], &cfg);
	cfg.self = node(0);
	cfg.lookup_ctx = NULL;
	once_init(&once[0], &cfg);
	base = mallinfo2().uordblks + mallinfo2().hblkhd;
	calls = 0;
	began = clock_us();
	for (i = 0; i < IDS; i++) {
		snprintf(id, sizeof(id), "order-%" PRIu64, i);
		once_key(&key, "acme", id);
		once_claim(&entry, &key, &c);
	}
	printf("once: %.2f us a claim with both nodes' work, %.1f calls\n",
	    (double)(clock_us() - began) / IDS, (double)calls / IDS);
	printf("once: %.1f bytes an id at owner and standby each\n",
	    (double)(mallinfo2().uordblks + mallinfo2().hblkhd - base) / IDS /
		2);
	calls = 0;
	began = clock_us();
	once_maintain(&once[0]);
	copies = calls;
	printf("once: %.2f us and %.4f calls an id copied to a new standby\n",
	    (double)(clock_us() - began) / IDS, (double)copies / IDS);
	once_finish(&once[0]);
	once_finish(&once[1]);
	once_finish(&entry);
}

int
main(void)
{
	now_us = clock_us();
	measure_leases();
	measure_decisions();
	measure_limits();
	measure_flow(5, "sparse flow");
	measure_flow(50, "dense flow");
	measure_flow(500, "dense flow");
	measure_flow(5000, "dense flow");
	measure_ids();
	return 0;
}
