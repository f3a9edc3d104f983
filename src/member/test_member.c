#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "base/clock.h"
#include "member/member_int.h"

#define SECRET "0123456789abcdef"
#define SERVICES 6
#define WAIT_MS 10000

struct node {
	struct rpc_settings rpc;
	struct rpc_server server;
	struct rpc_client client;
	struct member_service member;
	int cut;
};

static struct node nodes[SERVICES];

/*
 * Cuts a node off from all others while its flag is set.
 */
static int
cut(void *ctx, const struct node_id *peer)
{
	const struct node *n = ctx;
	int i;

	for (i = 0; i < SERVICES; i++) {
		if (nodes[i].rpc.self.rpc_port == peer->rpc_port &&
		    nodes[i].cut)
			return 1;
	}
	return n->cut;
}

/*
 * Starts a node on loopback; the seed may be NULL.
 */
static void
node_init(struct node *n, uint16_t port, const struct node_id *seed)
{
	struct member_settings s = { 0 };
	struct node_id id = { INADDR_LOOPBACK, port, rand_u64() };

	memset(n, 0, sizeof(*n));
	assert_int_equal(
	    rpc_settings_init(&n->rpc, &id, SECRET, strlen(SECRET), NULL), 0);
	n->rpc.cut = cut;
	n->rpc.cut_ctx = n;
	assert_int_equal(rpc_server_init(&n->server, &n->rpc, NULL), 0);
	assert_int_equal(rpc_client_init(&n->client, &n->rpc, NULL), 0);
	s.self = n->rpc.self;
	s.peer_port = 8000;
	s.domain = "tunis-a";
	s.seeds = seed;
	s.seeds_len = seed != NULL;
	assert_int_equal(
	    member_service_init(&n->member, &s, &n->server, &n->client, NULL),
	    0);
	assert_int_equal(rpc_server_start(&n->server, NULL), 0);
	assert_int_equal(member_service_start(&n->member, NULL), 0);
}

/*
 * Ends a node without a word to the others.
 */
static void
node_finish(struct node *n)
{
	rpc_server_finish(&n->server);
	member_service_finish(&n->member);
	rpc_client_finish(&n->client);
}

/*
 * Waits until a node holds another in a state; returns the ms waited, or -1
 * if it never did.
 */
static int
wait_state(struct node *n, const struct node_id *id, enum member_state want)
{
	uint64_t start = clock_ms();
	const struct member_info *m;
	int found = 0;

	while (!found && clock_ms() - start < WAIT_MS) {
		rcu_read_lock();
		m = member_view_find(
		    member_view_get(&n->member), id->addr, id->rpc_port);
		found =
		    m != NULL && nodeid_equal(&m->id, id) && m->state == want;
		rcu_read_unlock();
		sched_yield();
	}
	return found ? (int)(clock_ms() - start) : -1;
}

/*
 * Nodes that know one seed find each other; a death is seen by all, a cut is
 * healed, and an announcement spreads.
 */
static void
test_live_services(void **state)
{
	struct node_id dead, seed;
	int i, j;

	(void)state;
	node_init(&nodes[0], 0, NULL);
	seed = nodes[0].rpc.self;
	for (i = 1; i < SERVICES; i++)
		node_init(&nodes[i], 0, &seed);
	for (i = 0; i < SERVICES; i++) {
		for (j = 0; j < SERVICES; j++)
			assert_int_not_equal(
			    wait_state(
				&nodes[i], &nodes[j].rpc.self, MEMBER_ALIVE),
			    -1);
	}
	dead = nodes[5].rpc.self;
	node_finish(&nodes[5]);
	for (i = 0; i < 5; i++)
		assert_int_not_equal(
		    wait_state(&nodes[i], &dead, MEMBER_DEAD), -1);
	nodes[4].cut = 1;
	for (i = 0; i < 4; i++)
		assert_int_not_equal(
		    wait_state(&nodes[i], &nodes[4].rpc.self, MEMBER_DEAD), -1);
	nodes[4].cut = 0;
	for (i = 0; i < 4; i++)
		assert_int_not_equal(
		    wait_state(&nodes[i], &nodes[4].rpc.self, MEMBER_ALIVE),
		    -1);
	member_leave(&nodes[3].member);
	for (i = 0; i < 3; i++)
		assert_int_not_equal(
		    wait_state(&nodes[i], &nodes[3].rpc.self, MEMBER_LEFT), -1);
	for (i = 0; i < 5; i++)
		node_finish(&nodes[i]);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_live_services),
	};
	int rc;

	rcu_register_thread();
	rc = cmocka_run_group_tests(tests, NULL, NULL);
	rcu_unregister_thread();
	return rc;
}
