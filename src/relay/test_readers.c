#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "base/loopclock.h"
#include "follow/follow.h"
#include "relay/relay_int.h"

/*
 * Nodes on one event loop that follow a store within this process.  Faults keep
 * single nodes from the store or from each other while versions are appended.
 * Each node that the store serves must have a version in force in time.
 */

#define ALARM_S 120
#define NODES 5
#define CONFIG_APPLY_MS 2000 /* a version must be in force within this time */
#define REVOKE_MS 5000
#define VERSIONS_MAX 160
#define APPEND_EVERY_MS 130 /* no multiple of any interval of the nodes */
#define RARE_APPEND_MS 610
#define READS_MAX 64 /* reads in flight */
#define REPLY_MS 2
/* Timers fire late on a busy machine, in this process for all nodes alike. */
#define LATE_MS 80

/* What the store does with the reads of a node. */
enum store_fault {
	STORE_SERVES,
	STORE_REFUSES,
	STORE_SILENT
};

struct member {
	struct relay relay;
	struct follower follower;
	enum store_fault fault;
	int lost_reads; /* the next reads get no reply */
	char name[16];
};

/* A read that waits for a record, its reply or its timeout. */
struct read {
	struct member *member; /* NULL: unused */
	uv_timer_t timer;
	int closing;
	uint64_t from, sent_ms, timeout_at_ms;
	int replying;
	int lost;
	store_reply_fn done;
	void *done_ctx;
};

static uv_loop_t loop;
static struct member members[NODES];
static struct read reads[READS_MAX];
static uint64_t appended_ms[VERSIONS_MAX]; /* of version i + 1 */
static uint64_t version_count;

static const struct relay_header_names names = { "Id", "Deadline", "Key",
	"Workspace", "Caller", "Expect", "Not-Run", "Stamp", "Load", "Instance",
	"Rate", "Leaving" };

static struct config *
make_config(uint64_t version)
{
	struct config *c = calloc(1, sizeof(*c));

	assert_non_null(c);
	c->version = version;
	c->routes = calloc(1, sizeof(*c->routes));
	c->workspaces = calloc(1, sizeof(*c->workspaces));
	c->keys = calloc(1, sizeof(*c->keys));
	return c;
}

static struct config *
decode(void *ctx, const char *text, size_t len, struct finds *finds)
{
	(void)ctx;
	(void)len;
	(void)finds;
	return make_config(strtoull(text, NULL, 10));
}

static void
apply(void *ctx, struct config *c)
{
	relay_apply_config(&((struct member *)ctx)->relay, c);
}

static void
record_proof(void *ctx, uint64_t proof_ms)
{
	relay_config_proved(&((struct member *)ctx)->relay, proof_ms);
}

static int
follows_closely(void *ctx)
{
	return relay_reads_store(&((struct member *)ctx)->relay);
}

static enum config_need
need(void *ctx)
{
	return relay_config_need(&((struct member *)ctx)->relay);
}

static void
offer_copy(void *ctx, struct config *c, const char *node)
{
	follow_offer_config(&((struct member *)ctx)->follower, c, node, 0);
}

static void
query_peers(void *ctx)
{
	relay_request_config(&((struct member *)ctx)->relay, offer_copy, ctx);
}

static void
add_node(void *ctx, const char *name, uint32_t address)
{
	(void)ctx;
	(void)name;
	(void)address;
}

static void
nodes_listed(void *ctx)
{
	(void)ctx;
}

static int
must_prune(void *ctx)
{
	(void)ctx;
	return 0;
}

static int
is_prunable(void *ctx, const char *name)
{
	(void)ctx;
	(void)name;
	return 0;
}

static void
store_lost(void *ctx, int lost)
{
	relay_set_store_lost(&((struct member *)ctx)->relay, lost);
}

static const struct follow_ops follow_ops = {
	.decode = decode,
	.apply_config = apply,
	.record_proof = record_proof,
	.follows_closely = follows_closely,
	.config_need = need,
	.query_peers = query_peers,
	.add_node = add_node,
	.nodes_listed = nodes_listed,
	.must_prune = must_prune,
	.is_prunable = is_prunable,
	.store_lost = store_lost,
};

/*
 * Replies to a read with the records from its offset on.
 */
static void
reply(struct member *m, uint64_t from, uint64_t sent_ms,
    enum store_status status, store_reply_fn done, void *done_ctx)
{
	struct store_record list[VERSIONS_MAX];
	char text[VERSIONS_MAX][24];
	struct store_reply rep;
	uint64_t i;

	(void)m;
	memset(&rep, 0, sizeof(rep));
	rep.status = status;
	rep.request_sent_ms = sent_ms;
	rep.end_offset = version_count;
	rep.records = list;
	for (i = from; status == STORE_OK && i < version_count; i++) {
		snprintf(text[i], sizeof(text[i]), "%llu",
		    (unsigned long long)i + 1);
		list[rep.count++] = (struct store_record){ "config", 6, text[i],
			strlen(text[i]), i };
	}
	done(done_ctx, &rep);
}

static void
on_read_closed(uv_handle_t *handle)
{
	((struct read *)handle->data)->closing = 0;
}

static void
end_read(struct read *r, enum store_status status)
{
	struct member *m = r->member;

	r->member = NULL;
	r->closing = 1;
	uv_close((uv_handle_t *)&r->timer, on_read_closed);
	reply(m, r->from, r->sent_ms, status, r->done, r->done_ctx);
}

static void
on_read_timer(uv_timer_t *timer)
{
	struct read *r = timer->data;

	end_read(r, r->replying && r->member->fault == STORE_SERVES ? STORE_OK
		    : r->member->fault == STORE_REFUSES ? STORE_REFUSED
							: STORE_UNKNOWN);
}

/*
 * Starts the reply to a read, or the rest of its wait or timeout.
 */
static void
arm_read(struct read *r, uint64_t wait_ms)
{
	uint64_t now = loop_ms(&loop), delay_ms = wait_ms + REPLY_MS;

	r->replying = r->member->fault != STORE_SILENT && !r->lost;
	if (r->member->fault == STORE_REFUSES || r->from < version_count)
		delay_ms = REPLY_MS;
	if (!r->replying)
		delay_ms = r->timeout_at_ms > now ? r->timeout_at_ms - now : 0;
	uv_timer_start(&r->timer, on_read_timer, delay_ms, 0);
}

static void
store_read(void *ctx, enum store_log log, uint64_t from, uint64_t wait_ms,
    uint64_t timeout_ms, store_reply_fn done, void *done_ctx)
{
	struct read *r = reads;

	(void)log;
	while (r->member != NULL || r->closing)
		assert_true(++r < reads + READS_MAX);
	r->member = ctx;
	r->lost = r->member->lost_reads > 0;
	r->member->lost_reads -= r->lost;
	r->from = from;
	r->sent_ms = loop_ms(&loop);
	r->timeout_at_ms = r->sent_ms + timeout_ms;
	r->done = done;
	r->done_ctx = done_ctx;
	uv_timer_init(&loop, &r->timer);
	r->timer.data = r;
	arm_read(r, wait_ms);
}

static void
store_newest(void *ctx, enum store_log log, const char *after,
    uint64_t timeout_ms, store_reply_fn done, void *done_ctx)
{
	struct store_reply rep;

	(void)after;
	if (log == STORE_CONFIG) {
		store_read(ctx, log, 0, 0, timeout_ms, done, done_ctx);
		return;
	}
	memset(&rep, 0, sizeof(rep));
	done(done_ctx, &rep);
}

static void
store_append(void *ctx, enum store_log log, const char *key, const char *value,
    size_t len, uint64_t timeout_ms, store_reply_fn done, void *done_ctx)
{
	struct store_reply rep;

	(void)ctx;
	(void)log;
	(void)key;
	(void)value;
	(void)len;
	(void)timeout_ms;
	memset(&rep, 0, sizeof(rep));
	done(done_ctx, &rep);
}

static const struct store_ops store_ops = { store_newest, store_read,
	store_append, NULL };

/*
 * Appends a version and wakes the reads that wait for it.
 */
static void
append_version(void)
{
	struct read *r;

	assert_true(version_count < VERSIONS_MAX);
	appended_ms[version_count++] = loop_ms(&loop);
	for (r = reads; r < reads + READS_MAX; r++)
		if (r->member != NULL && r->member->fault == STORE_SERVES)
			arm_read(r, 0);
}

/*
 * Sets what the store does with a node, also with its reads in flight.
 */
static void
set_store_fault(struct member *m, enum store_fault fault)
{
	struct read *r;

	m->fault = fault;
	for (r = reads; r < reads + READS_MAX; r++)
		if (r->member == m && fault != STORE_SERVES)
			arm_read(r, 0);
}

/*
 * Loses all datagrams to a node, and those that it sends if mute is set.
 */
static void
cut_off(struct member *m, int mute)
{
	uv_udp_recv_stop(&m->relay.net.udp);
	if (mute)
		m->relay.net.port = 9; /* discard */
}

/*
 * Returns a version that a node should have in force and has not, or 0.
 */
static uint64_t
find_late_version(const struct member *m)
{
	uint64_t now = loop_ms(&loop), v = m->relay.config->version;

	return v < version_count &&
		       now - appended_ms[v] > CONFIG_APPLY_MS + LATE_MS
		   ? v + 1
		   : 0;
}

/*
 * Appends a version every append_every_ms, and checks after each turn of the
 * loop that no node which the store serves is behind by more than
 * CONFIG_APPLY_MS.
 */
static void
check_versions_during(uint64_t ms, uint64_t append_every_ms)
{
	uint64_t end = loop_ms(&loop) + ms, append_ms = loop_ms(&loop);
	uint64_t late;
	int i;

	while (loop_ms(&loop) < end) {
		if (loop_ms(&loop) >= append_ms) {
			append_version();
			append_ms += append_every_ms;
		}
		uv_run(&loop, UV_RUN_ONCE);
		for (i = 0; i < NODES; i++) {
			late = members[i].fault == STORE_SERVES
				   ? find_late_version(&members[i])
				   : 0;
			if (late != 0)
				fail_msg("%s: version %llu is late",
				    members[i].name, (unsigned long long)late);
		}
	}
}

static int
setup(void **state)
{
	struct relay_settings set;
	struct sockaddr_in a;
	uv_udp_t probe;
	char ip[32];
	int i, j, len = sizeof(a);
	uint16_t port;

	(void)state;
	alarm(ALARM_S);
	uv_loop_init(&loop);
	uv_udp_init(&loop, &probe);
	uv_ip4_addr("127.0.0.1", 0, &a);
	assert_int_equal(uv_udp_bind(&probe, (struct sockaddr *)&a, 0), 0);
	assert_int_equal(
	    uv_udp_getsockname(&probe, (struct sockaddr *)&a, &len), 0);
	port = ntohs(a.sin_port);
	uv_close((uv_handle_t *)&probe, NULL);
	uv_run(&loop, UV_RUN_NOWAIT);
	memset(members, 0, sizeof(members));
	memset(reads, 0, sizeof(reads));
	version_count = 0;
	append_version();
	for (i = 0; i < NODES; i++) {
		memset(&set, 0, sizeof(set));
		set.names = names;
		snprintf(members[i].name, sizeof(members[i].name), "n%d", i);
		snprintf(set.node, sizeof(set.node), "n%d", i);
		snprintf(set.zone, sizeof(set.zone), "z%d", i % 2);
		snprintf(set.service, sizeof(set.service), "web");
		snprintf(ip, sizeof(ip), "127.0.0.%d", 11 + i);
		uv_ip4_addr(ip, port, &set.entry);
		uv_ip4_addr(ip, port + 1, &set.exit);
		uv_ip4_addr(ip, port + 2, &set.server);
		uv_ip4_addr(ip, port + 3, &set.fleet);
		set.advertised = set.exit.sin_addr;
		set.apply_ms = CONFIG_APPLY_MS;
		set.fresh_ms = REVOKE_MS;
		set.memory_bytes = 64 << 20;
		set.descriptors = 1000;
		assert_int_equal(relay_init(&members[i].relay, &loop, &set), 0);
	}
	for (i = 0; i < NODES; i++) {
		for (j = 0; j < NODES; j++)
			fleet_add_node(&members[i].relay.fleet, members[j].name,
			    ntohl(members[j].relay.set.advertised.s_addr),
			    loop_ms(&loop));
		fleet_set_node_list_complete(&members[i].relay.fleet);
		follow_init(&members[i].follower, &loop, &store_ops,
		    &members[i], &follow_ops, &members[i], "config",
		    members[i].name);
		follow_set_schedule(
		    &members[i].follower, &members[i].relay.schedule);
		follow_start(&members[i].follower,
		    ntohl(members[i].relay.set.advertised.s_addr));
	}
	for (i = 0; i < NODES; i++)
		while (members[i].relay.config == NULL ||
		       !fleet_has_quorum(
			   &members[i].relay.fleet, loop_ms(&loop)) ||
		       members[i].relay.fleet.self_isolated)
			uv_run(&loop, UV_RUN_ONCE);
	check_versions_during(1500, APPEND_EVERY_MS);
	return 0;
}

static void
close_handle(uv_handle_t *handle, void *arg)
{
	(void)arg;
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

static int
teardown(void **state)
{
	int i;

	(void)state;
	for (i = 0; i < NODES; i++)
		relay_close(&members[i].relay);
	uv_walk(&loop, close_handle, NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
	for (i = 0; i < NODES; i++)
		relay_finish(&members[i].relay);
	return 0;
}

/*
 * Calls to the store without a fault: the readers' proofs stay so young, after
 * a change, too, that no other node reads the store.
 */
static void
test_only_readers_read_the_store(void **state)
{
	uint64_t overdue = 0;
	int i;

	(void)state;
	for (i = 0; i < NODES; i++)
		overdue += members[i].relay.counters[RELAY_PROOFS_OVERDUE];
	check_versions_during(4000, RARE_APPEND_MS);
	for (i = 0; i < NODES; i++)
		overdue -= members[i].relay.counters[RELAY_PROOFS_OVERDUE];
	assert_int_equal(overdue, 0);
}

/*
 * Sets what the store does with all nodes that read it for the others.
 */
static void
set_fault_of_readers(enum store_fault fault)
{
	int reads_store[NODES], i;

	for (i = 0; i < NODES; i++)
		reads_store[i] = relay_reads_store(&members[i].relay);
	for (i = 0; i < NODES; i++)
		if (reads_store[i])
			set_store_fault(&members[i], fault);
}

/*
 * Incident 5: the store turns away the nodes that read it for all, and the
 * others learned of a version up to 2.4 s later.  So are those that take over.
 */
static void
test_version_in_time_if_readers_are_refused(void **state)
{
	int i;

	(void)state;
	set_fault_of_readers(STORE_REFUSES);
	check_versions_during(4000, APPEND_EVERY_MS);
	set_fault_of_readers(STORE_REFUSES);
	check_versions_during(4000, APPEND_EVERY_MS);
	for (i = 0; i < NODES; i++)
		set_store_fault(&members[i], STORE_SERVES);
	check_versions_during(2500, APPEND_EVERY_MS);
}

/*
 * The same where the store leaves the readers without any reply.
 */
static void
test_version_in_time_if_readers_get_no_reply(void **state)
{
	(void)state;
	set_fault_of_readers(STORE_SILENT);
	check_versions_during(7000, APPEND_EVERY_MS);
}

/*
 * Calls to the store while the readers are refused: others take their place
 * within a second, and the rest doesn't read the store.
 */
static void
test_refused_readers_are_replaced(void **state)
{
	uint64_t overdue[NODES];
	int i;

	(void)state;
	set_fault_of_readers(STORE_REFUSES);
	check_versions_during(1000, RARE_APPEND_MS);
	for (i = 0; i < NODES; i++)
		overdue[i] = members[i].relay.counters[RELAY_PROOFS_OVERDUE];
	check_versions_during(3000, RARE_APPEND_MS);
	for (i = 0; i < NODES; i++)
		assert_int_equal(overdue[i],
		    members[i].relay.counters[RELAY_PROOFS_OVERDUE]);
}

/*
 * The first read of each other node after that is sent on a connection that
 * has died without a reset.
 */
static void
test_version_in_time_if_connections_are_dead(void **state)
{
	int i;

	(void)state;
	set_fault_of_readers(STORE_SILENT);
	for (i = 0; i < NODES; i++)
		members[i].lost_reads = members[i].fault == STORE_SERVES;
	check_versions_during(7000, APPEND_EVERY_MS);
}

/*
 * Incident 5: a node that is cut off from all other nodes, but not from the
 * store, had a version 2.2 s after its acknowledgement.
 */
static void
test_version_in_time_if_node_is_cut_off(void **state)
{
	int i;

	(void)state;
	for (i = 0; relay_reads_store(&members[i].relay); i++)
		assert_true(i + 1 < NODES);
	cut_off(&members[i], 1);
	check_versions_during(7000, APPEND_EVERY_MS);
}

/*
 * Cuts all readers off from the other nodes and from the store.
 */
static void
cut_off_readers(int mute)
{
	int reads_store[NODES], i;

	for (i = 0; i < NODES; i++)
		reads_store[i] = relay_reads_store(&members[i].relay);
	for (i = 0; i < NODES; i++) {
		if (!reads_store[i])
			continue;
		cut_off(&members[i], mute);
		set_store_fault(&members[i], STORE_SILENT);
	}
}

/*
 * Readers that are stopped: they send and receive nothing.
 */
static void
test_version_in_time_if_readers_are_frozen(void **state)
{
	(void)state;
	cut_off_readers(1);
	check_versions_during(7000, APPEND_EVERY_MS);
}

/*
 * Readers that are cut off in one direction: they are heard, and answer no
 * query.
 */
static void
test_version_in_time_if_readers_are_deaf(void **state)
{
	(void)state;
	cut_off_readers(0);
	check_versions_during(7000, APPEND_EVERY_MS);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
		    test_only_readers_read_the_store, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_version_in_time_if_readers_are_refused, setup,
		    teardown),
		cmocka_unit_test_setup_teardown(
		    test_version_in_time_if_readers_get_no_reply, setup,
		    teardown),
		cmocka_unit_test_setup_teardown(
		    test_refused_readers_are_replaced, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_version_in_time_if_connections_are_dead, setup,
		    teardown),
		cmocka_unit_test_setup_teardown(
		    test_version_in_time_if_node_is_cut_off, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_version_in_time_if_readers_are_frozen, setup,
		    teardown),
		cmocka_unit_test_setup_teardown(
		    test_version_in_time_if_readers_are_deaf, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
