#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <urcu.h>

#include "base/clock.h"
#include "lease/lease_service.h"

#define NODES 3
#define RECORDS_MAX 4096
#define WAIT_MS 15000

/* In-process log, membership and RPC calls. */
static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;
static char *records[RECORDS_MAX];
static uint64_t log_next;
static atomic_int log_unavailable, acks_to_lose;
static struct lease_service nodes[NODES];
static atomic_int running[NODES], leaving[NODES];

static struct node_id make_node_id(size_t);
static enum logsvc_status log_append(
    void *, const char *, const char *, size_t, uint32_t, uint64_t *);
static enum logsvc_status log_read(void *, const char *, uint64_t, uint32_t,
    uint32_t, uint32_t, struct logsvc_batch *);
static size_t list_members(void *, struct lease_member *, size_t);
static enum rpc_status call_node(void *, const struct node_id *,
    const struct rpc_proc *, const void *, void *, uint32_t);
static void start_node(size_t);
static void stop_node(size_t);
static int check_owners(size_t, int);
static int all_partitions_owned(size_t);
static int owns_no_partition(size_t);
static int wait_for(int (*)(size_t), size_t);

/*
 * Returns the id of node i.
 */
static struct node_id
make_node_id(size_t i)
{
	struct node_id id = { 0x7f000001, (uint16_t)(7000 + i), 1 };

	return id;
}

/*
 * Appends to the log.  The status is unknown while acknowledgements are to be
 * lost.
 */
static enum logsvc_status
log_append(void *ctx, const char *stream, const char *data, size_t len,
    uint32_t timeout_ms, uint64_t *offset)
{
	(void)ctx;
	(void)stream;
	(void)timeout_ms;
	if (log_unavailable)
		return LOGSVC_UNAVAILABLE;
	pthread_mutex_lock(&log_lock);
	assert_true(log_next < RECORDS_MAX);
	*offset = log_next;
	records[log_next++] = strndup(data, len);
	pthread_mutex_unlock(&log_lock);
	return atomic_fetch_sub(&acks_to_lose, 1) > 0 ? LOGSVC_UNKNOWN
						      : LOGSVC_OK;
}

/*
 * Reads from the log.
 */
static enum logsvc_status
log_read(void *ctx, const char *stream, uint64_t from, uint32_t max,
    uint32_t wait_ms, uint32_t timeout_ms, struct logsvc_batch *b)
{
	size_t i;

	(void)ctx;
	(void)stream;
	(void)wait_ms;
	(void)timeout_ms;
	if (log_unavailable)
		return LOGSVC_UNAVAILABLE;
	pthread_mutex_lock(&log_lock);
	b->first = 0;
	b->next = log_next;
	b->count = log_next > from ? log_next - from : 0;
	if (b->count > max)
		b->count = max;
	b->list = calloc(b->count + 1, sizeof(*b->list));
	for (i = 0; i < b->count; i++) {
		b->list[i].offset = from + i;
		b->list[i].data = strdup(records[from + i]);
		b->list[i].len = strlen(records[from + i]);
	}
	pthread_mutex_unlock(&log_lock);
	return LOGSVC_OK;
}

/*
 * Lists all nodes, alive if running.  All are in the same failure domain.
 */
static size_t
list_members(void *ctx, struct lease_member *m, size_t max)
{
	size_t i;

	(void)ctx;
	(void)max;
	for (i = 0; i < NODES; i++) {
		memset(&m[i], 0, sizeof(m[i]));
		m[i].id = make_node_id(i);
		m[i].alive = running[i];
		m[i].leaving = leaving[i];
	}
	return NODES;
}

/*
 * Calls another node's procedure directly.
 */
static enum rpc_status
call_node(void *ctx, const struct node_id *to, const struct rpc_proc *p,
    const void *arg, void *res, uint32_t timeout_ms)
{
	size_t i = to->rpc_port - 7000U;

	(void)ctx;
	(void)timeout_ms;
	if (!running[i])
		return RPC_UNREACHABLE;
	return p->handle(&nodes[i], NULL, arg, res) == 0 ? RPC_DONE
							 : RPC_TIMEOUT;
}

/*
 * Starts a node.
 */
static void
start_node(size_t i)
{
	struct lease_config cfg = { .self = make_node_id(i),
		.call = call_node,
		.members = list_members,
		.retention_ms = 3600000 };

	cfg.log.append = log_append;
	cfg.log.read = log_read;
	leaving[i] = 0;
	assert_int_equal(lease_service_init(&nodes[i], &cfg), 0);
	running[i] = 1;
}

/*
 * Stops a node without a handover.
 */
static void
stop_node(size_t i)
{
	struct timespec ts = { 0, 100000000 };

	running[i] = 0;
	nanosleep(&ts, NULL); /* calls in flight end */
	lease_service_finish(&nodes[i]);
}

/*
 * Asserts that no partition has two acting owners.  If count is negative,
 * returns 1 if every partition has one; else returns 1 if node i owns count
 * partitions.
 */
static int
check_owners(size_t i, int count)
{
	struct lease_view v;
	int owners, owned = 0;
	uint32_t part;
	size_t k;

	for (part = 0; part < LEASE_PARTS; part++) {
		owners = 0;
		for (k = 0; k < NODES; k++) {
			if (!running[k])
				continue;
			lease_service_lookup(&nodes[k], part, clock_ms(), &v);
			if (v.valid_until_ms != 0)
				owners++;
			if (k == i &&
			    nodeid_equal(&v.owner, &nodes[i].cfg.self))
				owned++;
		}
		assert_in_range(owners, 0, 1);
		if (count < 0 && owners == 0)
			return 0;
	}
	return count < 0 || owned == count;
}

/*
 * Returns 1 if every partition has an acting owner.
 */
static int
all_partitions_owned(size_t i)
{
	return check_owners(i, -1);
}

/*
 * Returns 1 if a node owns no partition.
 */
static int
owns_no_partition(size_t i)
{
	return check_owners(i, 0);
}

/*
 * Waits until a condition on a node holds.  Returns 1 if it does, 0 after
 * WAIT_MS.
 */
static int
wait_for(int (*cond)(size_t), size_t i)
{
	struct timespec ts = { 0, 20000000 };
	uint64_t end = clock_ms() + WAIT_MS;

	while (!cond(i) && clock_ms() < end)
		nanosleep(&ts, NULL);
	return cond(i);
}

/*
 * Three nodes share the partitions, keep them through a log outage that is
 * longer than a term, hand over before a planned stop, and take over from
 * crashed nodes.
 */
static void
test_outage_handover_and_crash(void **state)
{
	struct timespec ts = { 0, 50000000 };
	struct lease_view v;
	uint64_t end;
	size_t i;

	(void)state;
	acks_to_lose = 5;
	for (i = 0; i < NODES; i++)
		start_node(i);
	assert_true(wait_for(all_partitions_owned, 0));

	log_unavailable = 1;
	end = clock_ms() + LEASE_TERM_MS + 1500;
	while (clock_ms() < end) {
		assert_true(all_partitions_owned(0));
		nanosleep(&ts, NULL);
	}
	/* A node started during the outage learns the owners from a peer. */
	stop_node(2);
	start_node(2);
	end = clock_ms() + WAIT_MS;
	do {
		nanosleep(&ts, NULL);
		lease_service_lookup(&nodes[2], 47, clock_ms(), &v);
	} while (v.owner.addr == 0 && clock_ms() < end);
	assert_int_not_equal(v.owner.addr, 0);
	log_unavailable = 0;
	assert_true(wait_for(all_partitions_owned, 0));

	leaving[0] = 1;
	assert_int_equal(lease_service_hand_over(&nodes[0], WAIT_MS), 0);
	assert_true(owns_no_partition(0));
	assert_true(wait_for(all_partitions_owned, 1));
	stop_node(0);
	assert_true(wait_for(all_partitions_owned, 1));
	stop_node(1);
	assert_true(wait_for(all_partitions_owned, 2));
	stop_node(2);
}

int
main(void)
{
	const struct CMUnitTest tests[] = { cmocka_unit_test(
	    test_outage_handover_and_crash) };
	int failed;

	rcu_register_thread();
	failed = cmocka_run_group_tests(tests, NULL, NULL);
	rcu_unregister_thread();
	while (log_next > 0)
		free(records[--log_next]);
	return failed;
}
