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
 * invariants named at test_fleet_invariants() hold.
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
	uint64_t suspended_until_us;
	uint64_t started_us;
	double clock_rate; /* of its clock, relative to now_us */
	int64_t wall_offset_ms;
	int log_unreachable;
	int running; /* a step or a call runs on it */
};

/* A message, or a log record, that arrives later. */
struct late_message {
	uint64_t due_us;
	struct node_id to;
	const struct rpc_proc *proc;
	char arg[256];
	char *record;
};

static struct sim_node nodes[NODES];
static struct sim_node *current; /* the node whose code runs */
static char *records[RECORDS_MAX];
static uint64_t log_first, log_next, now_us, log_down_until_us;
static uint64_t incarnations, claimed_us[IDS], claimed, admitted, terms;
static struct late_message late_messages[LATE_MAX];
static struct limits_workspace workspace;
static int disconnected[NODES][NODES], in_suspend;
static double lowest_excess; /* least value of admits - rate * time */

static void step(void);

/* Returns a random number below n. */
static uint64_t
random_below(uint64_t n)
{
	return (uint64_t)random() % n;
}

/* Returns the clock of the node whose code runs (us). */
static uint64_t
sim_us(void)
{
	return 1000000 + (uint64_t)((double)now_us * current->clock_rate);
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
	return WALL_MS + now_us / 1000 + (uint64_t)current->wall_offset_ms;
}

/* Suspends the current node while the others go on. */
static void
suspend_node(uint64_t ms)
{
	struct sim_node *self = current;
	uint64_t end = now_us + ms * 1000;

	if (in_suspend)
		return;
	in_suspend = 1;
	self->suspended_until_us = end;
	while (now_us < end)
		step();
	in_suspend = 0;
	current = self;
}

/*
 * Suspends the current node with a small probability, where a delay could do
 * the most harm.
 */
static void
maybe_suspend_node(void)
{
	if (random_below(3000) == 0)
		suspend_node(
		    random_below(2) ? random_below(6000) : random_below(60000));
}

/* Looks a partition up in the lease table of the node in ctx. */
static void
lookup_lease(void *ctx, uint32_t part, uint64_t now, struct lease_view *v)
{
	struct sim_node *n = ctx;

	lease_view(&n->table, part, now, v);
	maybe_suspend_node();
}

/* Schedules a message or a log record to arrive later. */
static void
postpone(const struct node_id *to, const struct rpc_proc *p, const void *arg,
    char *record)
{
	struct late_message *l = &late_messages[random_below(LATE_MAX)];

	free(l->record);
	memset(l, 0, sizeof(*l));
	l->due_us = now_us + random_below(20000000);
	l->proc = p;
	l->record = record;
	if (p != NULL) {
		l->to = *to;
		memcpy(l->arg, arg, p->arg_size);
	}
}

/* Returns the node with this id, or NULL if it is unreachable. */
static struct sim_node *
find_reachable(const struct sim_node *from, const struct node_id *to)
{
	int i;

	for (i = 0; i < NODES; i++)
		if (nodeid_equal(&nodes[i].id, to))
			return nodes[i].suspended_until_us > now_us ||
				       nodes[i].running ||
				       disconnected[from - nodes][i]
				   ? NULL
				   : &nodes[i];
	return NULL;
}

/* Runs a procedure on a node, with its clock. */
static void
run_procedure(
    struct sim_node *to, const struct rpc_proc *p, const void *arg, void *res)
{
	struct sim_node *self = current;

	current = to;
	to->running++;
	p->handle(
	    p->proc >= RPC_BLOCK_ONCE ? (void *)&to->once : (void *)&to->limits,
	    NULL, arg, res);
	to->running--;
	current = self;
}

/* Calls a node.  The call or its answer may be lost, late or duplicated. */
static enum rpc_status
call_node(void *ctx, const struct node_id *to, const struct rpc_proc *p,
    const void *arg, void *res, uint32_t timeout_ms)
{
	struct sim_node *n = ctx, *target = find_reachable(n, to);
	int copyable = p == &once_procs[ONCE_PROC_CLAIM] ||
		       p == &once_procs[ONCE_PROC_NOTE] ||
		       p == &once_procs[ONCE_PROC_RELEASE];

	if (target == NULL || random_below(50) == 0) {
		if (copyable && random_below(2) == 0)
			postpone(to, p, arg, NULL);
		now_us += timeout_ms * 1000;
		return RPC_TIMEOUT;
	}
	now_us += random_below(2000);
	run_procedure(target, p, arg, res);
	if (copyable && random_below(50) == 0)
		postpone(to, p, arg, NULL);
	if (random_below(50) == 0)
		return RPC_TIMEOUT;
	maybe_suspend_node();
	return RPC_DONE;
}

/* Looks up the one workspace, which all nodes have. */
static int
find_workspace(void *ctx, uint64_t hash, struct limits_workspace *ws)
{
	(void)ctx;
	*ws = workspace;
	return hash == workspace.hash ? 0 : -1;
}

/* Replaces a node by a new process. */
static void
start_node(struct sim_node *n)
{
	struct limits_config lc = { .lookup = lookup_lease,
		.lookup_ctx = n,
		.call = call_node,
		.call_ctx = n,
		.find_limit = find_workspace,
		.clock_us = sim_us };
	struct once_config oc = { .lookup = lookup_lease,
		.lookup_ctx = n,
		.call = call_node,
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
	n->clock_rate = 0.995 + (double)random_below(100) / 10000;
	n->wall_offset_ms = (int64_t)random_below(4000) - 2000;
	n->started_us = now_us;
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
append_record(char *text)
{
	if (current->log_unreachable || now_us < log_down_until_us ||
	    random_below(20) == 0) {
		free(text);
		return 0;
	}
	if (random_below(8) == 0)
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

	lease_set_log_start(&n->table, log_first);
	while (n->table.next < log_next)
		lease_apply(&n->table, records[n->table.next],
		    strlen(records[n->table.next]), n->table.next, sim_ms());
	maybe_suspend_node();
	lease_confirm_read(&n->table, sent);
}

/* Lists the members as a node sees them. */
static size_t
list_members(struct sim_node *n, struct lease_member *m)
{
	size_t i;

	for (i = 0; i < NODES; i++) {
		memset(&m[i], 0, sizeof(m[i]));
		m[i].id = nodes[i].id;
		m[i].domain = (uint32_t)i % 2;
		/* Sometimes a live member is considered dead. */
		m[i].alive = &nodes[i] == n ||
			     (find_reachable(n, &nodes[i].id) != NULL &&
				 random_below(100));
		m[i].age_ms = (now_us - nodes[i].started_us) / 1000;
	}
	return NODES;
}

/* Reads the log, decides and appends claims, and sometimes a snapshot. */
static void
run_log(struct sim_node *n)
{
	struct lease_claim c[LEASE_PARTS];
	struct lease_member m[NODES];
	struct lease_inputs in = { m, list_members(n, m), once_standby_ready,
		&n->once, 0 };
	size_t i, count;
	uint64_t snap;

	if (n->log_unreachable || now_us < log_down_until_us)
		return;
	read_log(n);
	in.now_ms = sim_ms();
	n->decider.stopping = random_below(400) == 0;
	count = lease_decide(&n->decider, &n->table, &in, c, LEASE_PARTS);
	for (i = 0; i < count; i++) {
		if (c[i].part != PART ||
		    lease_append_begin(&n->table, &c[i]) == -1)
			continue;
		maybe_suspend_node();
		lease_append_end(
		    &n->table, &c[i], append_record(lease_claim_encode(&c[i])));
	}
	if (random_below(300) != 0 || !n->table.complete || log_next == 0)
		return;
	snap = n->table.next;
	write_record(lease_snapshot_encode(&n->table, sim_ms()));
	if (random_below(2) == 0)
		log_first = snap;
}

/* Renews the standby's promise to the owner. */
static void
renew_promise(struct sim_node *n)
{
	struct lease_entry *e = &n->table.part[PART];
	uint64_t sent = sim_ms(), term = e->term;
	struct sim_node *s;

	if (!nodeid_equal(&e->owner, &n->id))
		return;
	s = find_reachable(n, &e->standby);
	if (s == NULL || !lease_may_promise(&s->table, PART, term, &n->id))
		return;
	maybe_suspend_node();
	lease_add_promise(&n->table, PART, term, sent);
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
	uint64_t i =
	    random_below(2) ? (now_us / 4000000) % IDS : random_below(IDS);
	char id[64];
	double v;

	if (limits_admit(&n->limits, &workspace, &loan, &retry) ==
	    LIMITS_ADMIT) {
		admitted++;
		v = (double)admitted -
		    workspace.rate * 1.006 * (double)now_us / 1e6;
		if (v - 1 < lowest_excess)
			lowest_excess = v - 1;
		if (v - lowest_excess > workspace.burst + 0.001)
			fail_msg("%.2f over rate and burst at %" PRIu64 " us",
			    v - lowest_excess, now_us);
	}
	if (stamps[i] == 0 ||
	    (i % 2 == 1 && now_us - claimed_us[i] > 700000000))
		stamps[i] = now_us + 3000000;
	snprintf(id, sizeof(id), "%08x-%04x-%c000-8000-%012x",
	    (unsigned int)((WALL_MS + stamps[i] / 1000) >> 16),
	    (unsigned int)((WALL_MS + stamps[i] / 1000) & 0xffff),
	    i % 2 == 0 ? '7' : '4', (unsigned int)i);
	once_key(&key, "acme", id);
	key.id.byte[0] = PART; /* put all ids into one partition */
	memset(&key.id.byte[1], 0, 7);
	if (once_claim(&n->once, &key, &c) != ONCE_GRANTED)
		return;
	claimed++;
	if (random_below(20) == 0) {
		once_release(&n->once, &c);
		return;
	}
	if (claimed_us[i] != 0 &&
	    (i % 2 == 0 || now_us - claimed_us[i] < 600000000))
		fail_msg("id %s claimed at %" PRIu64 " and %" PRIu64 " us", id,
		    claimed_us[i], now_us);
	claimed_us[i] = now_us;
}

/* Starts or ends faults at random. */
static void
run_faults(void)
{
	struct sim_node *n = &nodes[random_below(NODES)];
	size_t i, a = random_below(NODES), b = random_below(NODES);

	if (random_below(400) == 0)
		disconnected[a][b] = disconnected[b][a] =
		    a != b && !disconnected[a][b];
	if (random_below(400) == 0)
		n->log_unreachable = !n->log_unreachable;
	if (random_below(1500) == 0)
		log_down_until_us = now_us + random_below(15000000);
	if (random_below(600) == 0)
		n->suspended_until_us = now_us + random_below(8000000);
	if (random_below(2500) == 0 && !in_suspend)
		start_node(n);
	if (random_below(800) == 0) {
		memset(disconnected, 0, sizeof(disconnected));
		for (i = 0; i < NODES; i++)
			nodes[i].log_unreachable = 0;
	}
}

/* Checks that at most one node holds the lease of the partition. */
static void
check_owners(void)
{
	int i, owners = 0;

	for (i = 0; i < NODES; i++) {
		current = &nodes[i];
		if (lease_valid_until(&nodes[i].table, PART, sim_ms()) != 0)
			owners++;
		if (nodes[i].table.part[PART].term > terms)
			terms = nodes[i].table.part[PART].term;
	}
	if (owners > 1)
		fail_msg("%d owners at %" PRIu64 " us", owners, now_us);
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
		if (late_messages[i].due_us == 0 ||
		    late_messages[i].due_us > now_us)
			continue;
		late_messages[i].due_us = 0;
		current = &nodes[0];
		if (late_messages[i].record != NULL)
			write_record(late_messages[i].record);
		else if ((to = find_reachable(current, &late_messages[i].to)) !=
			 NULL)
			run_procedure(to, late_messages[i].proc,
			    late_messages[i].arg, res);
		late_messages[i].record = NULL;
	}
	run_faults();
	for (i = 0; i < NODES; i++) {
		n = current = &nodes[i];
		if (n->suspended_until_us > now_us || n->running)
			continue;
		n->running = 1;
		if (random_below(10) == 0)
			run_log(n);
		if (n->suspended_until_us <= now_us && random_below(10) == 0)
			renew_promise(n);
		if (n->suspended_until_us <= now_us && random_below(3) == 0)
			run_request(n);
		if (n->suspended_until_us <= now_us && random_below(2) == 0) {
			limits_maintain(&n->limits);
			once_maintain(&n->once);
		}
		n->running = 0;
		check_owners();
	}
}

/* Runs all steps with one seed. */
static void
run_seed(unsigned int seed)
{
	size_t i;

	srandom(seed);
	now_us = log_first = log_next = log_down_until_us = 0;
	admitted = claimed = terms = 0;
	lowest_excess = 0;
	workspace = (struct limits_workspace){ 16 * 3, 4, 6, 0 };
	memset(claimed_us, 0, sizeof(claimed_us));
	memset(disconnected, 0, sizeof(disconnected));
	for (i = 0; i < NODES; i++)
		start_node(&nodes[i]);
	for (i = 0; i < STEPS; i++)
		step();
	printf("seed %u: %" PRIu64 " terms, %" PRIu64 " admitted, %" PRIu64
	       " first, %" PRIu64 " s\n",
	    seed, terms, admitted, claimed, now_us / 1000000);
	assert_true(terms > 20 && admitted > 200 && claimed > 20);
	for (i = 0; i < log_next; i++)
		free(records[i]);
	for (i = 0; i < LATE_MAX; i++) {
		free(late_messages[i].record);
		memset(&late_messages[i], 0, sizeof(late_messages[i]));
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
test_fleet_invariants(void **state)
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
	const struct CMUnitTest tests[] = { cmocka_unit_test(
	    test_fleet_invariants) };

	return cmocka_run_group_tests(tests, NULL, NULL);
}
