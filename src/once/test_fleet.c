#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "limits/limits.h"
#include "once/once.h"

/*
 * Simulates leases, limits and request ids of a fleet together, each node
 * with its own clock.  Injects suspended nodes, network cuts, restarts, lost
 * and late messages, and log outages.  After each step it checks that the
 * invariants named at test_fleet() hold.
 */
#define NODES 4
#define PART 0
#define STEP_MS 50
#define STEPS 12000
#define SEEDS 6
#define LONG_MS 20000
#define RECORDS_MAX 20000
#define LATE_MAX 64
#define IDS 400
#define WALL_MS UINT64_C(1700000000000)

struct sim_node {
	struct node_id id;
	struct lease_table table;
	struct lease_decider decider;
	struct limits limits;
	struct once once;
	uint64_t frozen_until;
	uint64_t born;
	double speed; /* of its clock, relative to now_us */
	int64_t wall; /* offset of its wall clock (ms) */
	int log_cut;
	int busy; /* a step or a call runs on it */
};

/* A message, or a log record, that arrives later. */
struct late {
	uint64_t at;
	struct node_id to;
	const struct rpc_proc *proc;
	char arg[256];
	char *record;
};

static struct sim_node nodes[NODES];
static struct sim_node *current; /* the node whose code runs */
static char *records[RECORDS_MAX];
static uint64_t log_first, log_next, now_us, log_down_until;
static uint64_t incarnations, first_at[IDS], firsts, admits, terms;
static struct late lates[LATE_MAX];
static struct limits_workspace workspace;
static int cut[NODES][NODES], nested;
static double most; /* least value of admits - rate * time */

static void step(void);

/* Returns a random number below n. */
static uint64_t
pick(uint64_t n)
{
	return (uint64_t)random() % n;
}

/* Returns the clock of the node whose code runs (us). */
static uint64_t
sim_us(void)
{
	return 1000000 + (uint64_t)((double)now_us * current->speed);
}

/* Returns the clock of the node whose code runs (ms). */
static uint64_t
sim_ms(void)
{
	return sim_us() / 1000;
}

/* Returns the wall clock of the node whose code runs (ms). */
static uint64_t
sim_wall(void)
{
	return WALL_MS + now_us / 1000 + (uint64_t)current->wall;
}

/* Suspends the current node while the others go on. */
static void
freeze(uint64_t ms)
{
	struct sim_node *me = current;
	uint64_t end = now_us + ms * 1000;

	if (nested)
		return;
	nested = 1;
	me->frozen_until = end;
	while (now_us < end)
		step();
	nested = 0;
	current = me;
}

/*
 * Suspends the current node with a small probability, where a delay could do
 * the most harm.
 */
static void
maybe_freeze(void)
{
	if (pick(3000) == 0)
		freeze(pick(2) ? pick(6000) : pick(60000));
}

/* Looks a partition up in the lease table of the node in ctx. */
static void
lookup(void *ctx, uint32_t part, uint64_t now, struct lease_view *v)
{
	struct sim_node *n = ctx;

	lease_view(&n->table, part, now, v);
	maybe_freeze();
}

/* Schedules a message or a log record to arrive later. */
static void
postpone(const struct node_id *to, const struct rpc_proc *p, const void *arg,
    char *record)
{
	struct late *l = &lates[pick(LATE_MAX)];

	free(l->record);
	memset(l, 0, sizeof(*l));
	l->at = now_us + pick(20000000);
	l->proc = p;
	l->record = record;
	if (p != NULL) {
		l->to = *to;
		memcpy(l->arg, arg, p->arg_size);
	}
}

/* Returns the node with this id, or NULL if it is unreachable. */
static struct sim_node *
reach(const struct sim_node *from, const struct node_id *to)
{
	int i;

	for (i = 0; i < NODES; i++)
		if (nodeid_equal(&nodes[i].id, to))
			return nodes[i].frozen_until > now_us ||
				       nodes[i].busy || cut[from - nodes][i]
				   ? NULL
				   : &nodes[i];
	return NULL;
}

/* Runs a procedure on a node, with its clock. */
static void
serve(struct sim_node *to, const struct rpc_proc *p, const void *arg, void *res)
{
	struct sim_node *me = current;

	current = to;
	to->busy++;
	p->handle(
	    p->proc >= RPC_BLOCK_ONCE ? (void *)&to->once : (void *)&to->limits,
	    NULL, arg, res);
	to->busy--;
	current = me;
}

/* Calls a node.  The call or its answer may be lost, late or duplicated. */
static enum rpc_status
call(void *ctx, const struct node_id *to, const struct rpc_proc *p,
    const void *arg, void *res, uint32_t timeout_ms)
{
	struct sim_node *n = ctx, *target = reach(n, to);
	int flat = p == &once_procs[ONCE_PROC_CLAIM] ||
		   p == &once_procs[ONCE_PROC_NOTE] ||
		   p == &once_procs[ONCE_PROC_RELEASE];

	if (target == NULL || pick(50) == 0) {
		if (flat && pick(2) == 0)
			postpone(to, p, arg, NULL);
		now_us += timeout_ms * 1000;
		return RPC_TIMEOUT;
	}
	now_us += pick(2000);
	serve(target, p, arg, res);
	if (flat && pick(50) == 0)
		postpone(to, p, arg, NULL);
	if (pick(50) == 0)
		return RPC_TIMEOUT;
	maybe_freeze();
	return RPC_DONE;
}

/* Looks up the one workspace, which all nodes have. */
static int
find_ws(void *ctx, uint64_t hash, struct limits_workspace *ws)
{
	(void)ctx;
	*ws = workspace;
	return hash == workspace.hash ? 0 : -1;
}

/* Replaces a node by a new process. */
static void
start(struct sim_node *n)
{
	struct limits_config lc = { .lookup = lookup,
		.lookup_ctx = n,
		.call = call,
		.call_ctx = n,
		.find_limit = find_ws,
		.clock_us = sim_us };
	struct once_config oc = { .lookup = lookup,
		.lookup_ctx = n,
		.call = call,
		.call_ctx = n,
		.clock_ms = sim_ms,
		.wall_ms = sim_wall };

	if (n->id.addr != 0) {
		lease_finish(&n->table);
		limits_finish(&n->limits);
		once_finish(&n->once);
	}
	memset(n, 0, sizeof(*n));
	n->id.addr = 1 + (uint32_t)(n - nodes);
	n->id.rpc_port = 1;
	n->id.incarnation = ++incarnations;
	n->speed = 0.995 + (double)pick(100) / 10000;
	n->wall = (int64_t)pick(4000) - 2000;
	n->born = now_us;
	lc.self = oc.self = n->id;
	lease_init(&n->table, &n->id, LONG_MS);
	lease_decider_init(&n->decider);
	limits_init(&n->limits, &lc);
	once_init(&n->once, &oc);
}

/* Appends a record to the log. */
static void
write_record(char *text)
{
	assert_true(log_next < RECORDS_MAX);
	records[log_next++] = text;
}

/* Appends a record, at once or late.  Returns 0 if it was lost, else 1. */
static int
append(char *text)
{
	if (current->log_cut || now_us < log_down_until || pick(20) == 0) {
		free(text);
		return 0;
	}
	if (pick(8) == 0)
		postpone(NULL, NULL, NULL, text);
	else
		write_record(text);
	return 1;
}

/* Reads the log to its end. */
static void
read_log(struct sim_node *n)
{
	uint64_t sent = sim_ms();

	lease_first(&n->table, log_first);
	while (n->table.next < log_next)
		lease_apply(&n->table, records[n->table.next],
		    strlen(records[n->table.next]), n->table.next, sim_ms());
	maybe_freeze();
	lease_read_proof(&n->table, sent);
}

/* Lists the members as a node sees them. */
static size_t
members(struct sim_node *n, struct lease_member *m)
{
	size_t i;

	for (i = 0; i < NODES; i++) {
		memset(&m[i], 0, sizeof(m[i]));
		m[i].id = nodes[i].id;
		m[i].domain = (uint32_t)i % 2;
		/* Sometimes a live member is considered dead. */
		m[i].alive = &nodes[i] == n ||
			     (reach(n, &nodes[i].id) != NULL && pick(100));
		m[i].age_ms = (now_us - nodes[i].born) / 1000;
	}
	return NODES;
}

/* Reads the log, decides and appends claims, and sometimes a snapshot. */
static void
run_log(struct sim_node *n)
{
	struct lease_claim c[LEASE_PARTS];
	struct lease_member m[NODES];
	struct lease_inputs in = { m, members(n, m), once_standby_ready,
		&n->once, 0 };
	size_t i, count;
	uint64_t snap;

	if (n->log_cut || now_us < log_down_until)
		return;
	read_log(n);
	in.now_ms = sim_ms();
	n->decider.stopping = pick(400) == 0;
	count = lease_decide(&n->decider, &n->table, &in, c, LEASE_PARTS);
	for (i = 0; i < count; i++) {
		if (c[i].part != PART ||
		    lease_append_begin(&n->table, &c[i]) == -1)
			continue;
		maybe_freeze();
		lease_append_end(
		    &n->table, &c[i], append(lease_claim_encode(&c[i])));
	}
	if (pick(300) != 0 || !n->table.complete || log_next == 0)
		return;
	snap = n->table.next;
	write_record(lease_snapshot_encode(&n->table, sim_ms()));
	if (pick(2) == 0)
		log_first = snap;
}

/* Renews the standby's promise to the owner. */
static void
run_beat(struct sim_node *n)
{
	struct lease_entry *e = &n->table.part[PART];
	uint64_t sent = sim_ms(), term = e->term;
	struct sim_node *s;

	if (!nodeid_equal(&e->owner, &n->id))
		return;
	s = reach(n, &e->standby);
	if (s == NULL || !lease_may_promise(&s->table, PART, term, &n->id))
		return;
	maybe_freeze();
	lease_promise(&n->table, PART, term, sent);
}

/* Runs a request of one caller: asks the limit, then claims its id. */
static void
run_request(struct sim_node *n)
{
	static uint64_t stamps[IDS];
	struct once_claim c;
	struct once_key key;
	uint32_t retry;
	uint64_t loan;
	uint64_t i = pick(2) ? (now_us / 4000000) % IDS : pick(IDS);
	char id[64];
	double v;

	if (limits_admit(&n->limits, &workspace, &loan, &retry) ==
	    LIMITS_ADMIT) {
		admits++;
		v = (double)admits -
		    workspace.rate * 1.006 * (double)now_us / 1e6;
		if (v - 1 < most)
			most = v - 1;
		if (v - most > workspace.burst + 0.001)
			fail_msg("%.2f over rate and burst at %" PRIu64 " us",
			    v - most, now_us);
	}
	if (stamps[i] == 0 || (i % 2 == 1 && now_us - first_at[i] > 700000000))
		stamps[i] = now_us + 3000000;
	snprintf(id, sizeof(id), "%08x-%04x-%c000-8000-%012x",
	    (unsigned int)((WALL_MS + stamps[i] / 1000) >> 16),
	    (unsigned int)((WALL_MS + stamps[i] / 1000) & 0xffff),
	    i % 2 == 0 ? '7' : '4', (unsigned int)i);
	once_key(&key, "acme", id);
	key.id.byte[0] = PART; /* put all ids into one partition */
	memset(&key.id.byte[1], 0, 7);
	if (once_claim(&n->once, &key, &c) != ONCE_FIRST)
		return;
	firsts++;
	if (pick(20) == 0) {
		once_release(&n->once, &c);
		return;
	}
	if (first_at[i] != 0 &&
	    (i % 2 == 0 || now_us - first_at[i] < 600000000))
		fail_msg("id %s first at %" PRIu64 " and %" PRIu64 " us", id,
		    first_at[i], now_us);
	first_at[i] = now_us;
}

/* Starts or ends faults at random. */
static void
run_faults(void)
{
	struct sim_node *n = &nodes[pick(NODES)];
	size_t i, a = pick(NODES), b = pick(NODES);

	if (pick(400) == 0)
		cut[a][b] = cut[b][a] = a != b && !cut[a][b];
	if (pick(400) == 0)
		n->log_cut = !n->log_cut;
	if (pick(1500) == 0)
		log_down_until = now_us + pick(15000000);
	if (pick(600) == 0)
		n->frozen_until = now_us + pick(8000000);
	if (pick(2500) == 0 && !nested)
		start(n);
	if (pick(800) == 0) {
		memset(cut, 0, sizeof(cut));
		for (i = 0; i < NODES; i++)
			nodes[i].log_cut = 0;
	}
}

/* Checks that at most one node holds the lease of the partition. */
static void
check_owners(void)
{
	int i, held = 0;

	for (i = 0; i < NODES; i++) {
		current = &nodes[i];
		if (lease_held(&nodes[i].table, PART, sim_ms()) != 0)
			held++;
		if (nodes[i].table.part[PART].term > terms)
			terms = nodes[i].table.part[PART].term;
	}
	if (held > 1)
		fail_msg("%d owners at %" PRIu64 " us", held, now_us);
}

/* Advances the time by one step and runs every node. */
static void
step(void)
{
	struct sim_node *n, *to;
	char res[256];
	int i;

	now_us += STEP_MS * 1000;
	for (i = 0; i < LATE_MAX; i++) {
		if (lates[i].at == 0 || lates[i].at > now_us)
			continue;
		lates[i].at = 0;
		current = &nodes[0];
		if (lates[i].record != NULL)
			write_record(lates[i].record);
		else if ((to = reach(current, &lates[i].to)) != NULL)
			serve(to, lates[i].proc, lates[i].arg, res);
		lates[i].record = NULL;
	}
	run_faults();
	for (i = 0; i < NODES; i++) {
		n = current = &nodes[i];
		if (n->frozen_until > now_us || n->busy)
			continue;
		n->busy = 1;
		if (pick(10) == 0)
			run_log(n);
		if (n->frozen_until <= now_us && pick(10) == 0)
			run_beat(n);
		if (n->frozen_until <= now_us && pick(3) == 0)
			run_request(n);
		if (n->frozen_until <= now_us && pick(2) == 0) {
			limits_maintain(&n->limits);
			once_maintain(&n->once);
		}
		n->busy = 0;
		check_owners();
	}
}

/* Runs all steps with one seed. */
static void
run_seed(unsigned int seed)
{
	size_t i;

	srandom(seed);
	now_us = log_first = log_next = log_down_until = 0;
	admits = firsts = terms = 0;
	most = 0;
	workspace = (struct limits_workspace){ 16 * 3, 4, 6, 0 };
	memset(first_at, 0, sizeof(first_at));
	memset(cut, 0, sizeof(cut));
	for (i = 0; i < NODES; i++)
		start(&nodes[i]);
	for (i = 0; i < STEPS; i++)
		step();
	printf("seed %u: %" PRIu64 " terms, %" PRIu64 " admitted, %" PRIu64
	       " first, %" PRIu64 " s\n",
	    seed, terms, admits, firsts, now_us / 1000000);
	assert_true(terms > 20 && admits > 200 && firsts > 20);
	for (i = 0; i < log_next; i++)
		free(records[i]);
	for (i = 0; i < LATE_MAX; i++) {
		free(lates[i].record);
		memset(&lates[i], 0, sizeof(lates[i]));
	}
	for (i = 0; i < NODES; i++) {
		lease_finish(&nodes[i].table);
		limits_finish(&nodes[i].limits);
		once_finish(&nodes[i].once);
		memset(&nodes[i], 0, sizeof(nodes[i]));
	}
}

/*
 * At no time are there two owners, nothing is admitted above rate and burst,
 * and no id is claimed twice.  The environment variable FLEET_SEED selects a
 * single seed.
 */
static void
test_fleet(void **state)
{
	const char *env = getenv("FLEET_SEED");
	unsigned int seed;

	(void)state;
	if (env != NULL) {
		run_seed((unsigned int)strtoul(env, NULL, 10));
		return;
	}
	for (seed = 1; seed <= SEEDS; seed++)
		run_seed(seed);
}

int
main(void)
{
	const struct CMUnitTest tests[] = { cmocka_unit_test(test_fleet) };

	return cmocka_run_group_tests(tests, NULL, NULL);
}
