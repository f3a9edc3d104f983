#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "base/clock.h"
#include "base/counter.h"
#include "dump/dump.h"
#include "member/member_int.h"

#define SECRET "0123456789abcdef"
#define NODES 6
#define WAIT_MS 10000

struct node {
	struct rpc_settings rpc;
	struct rpc_server server;
	struct rpc_client client;
	struct member_service member;
	int partitioned;
};

/* An in-memory log that refuses every other append, the first included. */
struct fake_log {
	struct logsvc svc;
	pthread_mutex_t lock;
	char *list[64];
	uint64_t len;
	int appends;
};

static struct node nodes[NODES];
static struct fake_log fake;

/*
 * Returns whether traffic between a node and a peer is blocked, because either
 * of them is partitioned from all others.
 */
static int
is_blocked(void *ctx, const struct node_id *peer)
{
	const struct node *n = ctx;
	int i;

	for (i = 0; i < NODES; i++) {
		if (nodes[i].rpc.self.rpc_port == peer->rpc_port &&
		    nodes[i].partitioned)
			return 1;
	}
	return n->partitioned;
}

/*
 * Appends a record to the fake log, or refuses it at every other call.
 */
static enum logsvc_status
fake_append(void *ctx, const char *stream, const char *data, size_t len,
    uint32_t timeout, uint64_t *offset)
{
	struct fake_log *f = ctx;
	enum logsvc_status st = LOGSVC_REFUSED;

	(void)timeout;
	assert_string_equal(stream, "members");
	pthread_mutex_lock(&f->lock);
	if (f->appends++ % 2 == 1 && f->len < G_N_ELEMENTS(f->list)) {
		*offset = f->len;
		f->list[f->len++] = g_strndup(data, len);
		st = LOGSVC_OK;
	}
	pthread_mutex_unlock(&f->lock);
	return st;
}

/*
 * Reads records from the fake log.
 */
static enum logsvc_status
fake_read(void *ctx, const char *stream, uint64_t from, uint32_t max,
    uint32_t wait, uint32_t timeout, struct logsvc_batch *b)
{
	struct fake_log *f = ctx;

	(void)wait;
	(void)timeout;
	assert_string_equal(stream, "members");
	pthread_mutex_lock(&f->lock);
	memset(b, 0, sizeof(*b));
	b->next = f->len;
	b->list = calloc(G_N_ELEMENTS(f->list), sizeof(*b->list));
	for (; from < f->len && b->count < max; from++) {
		b->list[b->count].offset = from;
		b->list[b->count].data = strdup(f->list[from]);
		b->list[b->count].len = strlen(f->list[from]);
		b->count++;
	}
	pthread_mutex_unlock(&f->lock);
	return LOGSVC_OK;
}

/*
 * Starts a node on the loopback address.  The seed and the log may be NULL.
 */
static void
node_init(struct node *n, const struct node_id *seed, struct logsvc *log)
{
	struct member_settings s = { 0 };
	struct node_id id = { INADDR_LOOPBACK, 0, rand_u64() };

	memset(n, 0, sizeof(*n));
	assert_int_equal(
	    rpc_settings_init(&n->rpc, &id, SECRET, strlen(SECRET), NULL), 0);
	n->rpc.cut = is_blocked;
	n->rpc.cut_ctx = n;
	assert_int_equal(rpc_server_init(&n->server, &n->rpc, NULL), 0);
	assert_int_equal(rpc_client_init(&n->client, &n->rpc, NULL), 0);
	s.self = n->rpc.self;
	s.peer_port = 8000;
	s.domain = "tunis-a";
	s.seeds = seed;
	s.seeds_len = seed != NULL;
	assert_int_equal(
	    member_service_init(&n->member, &s, &n->server, &n->client, log),
	    0);
	assert_int_equal(rpc_server_start(&n->server, NULL), 0);
	assert_int_equal(member_service_start(&n->member, NULL), 0);
}

/*
 * Stops a node without a leave announcement.
 */
static void
node_finish(struct node *n)
{
	rpc_server_finish(&n->server);
	member_service_finish(&n->member);
	rpc_client_finish(&n->client);
}

/*
 * Waits until a node's view shows a member in a state.  Returns the elapsed
 * ms, or -1 after WAIT_MS.
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
 * Nodes with a common seed must discover each other, and all must see a
 * node's death, a partition and its end, and a leave announcement.
 */
static void
test_join_death_partition_leave(void **state)
{
	struct node_id dead, seed;
	int i, j;

	(void)state;
	node_init(&nodes[0], NULL, NULL);
	seed = nodes[0].rpc.self;
	for (i = 1; i < NODES; i++)
		node_init(&nodes[i], &seed, NULL);
	for (i = 0; i < NODES; i++) {
		for (j = 0; j < NODES; j++)
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
	nodes[4].partitioned = 1;
	for (i = 0; i < 4; i++)
		assert_int_not_equal(
		    wait_state(&nodes[i], &nodes[4].rpc.self, MEMBER_DEAD), -1);
	nodes[4].partitioned = 0;
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

/*
 * Nodes must discover each other through the log alone, although its first
 * records aren't hellos and the log refuses some appends.
 */
static void
test_log_discovery(void **state)
{
	static const char bad_addr[] =
	    "{\"address\":\"1.2.3\",\"rpc_port\":1,\"peer_port\":1,"
	    "\"domain\":\"a\",\"incarnation\":\"1\"}";
	static const char *const bad[] = { "", "{}", "[1,2", "\xff\xfe",
		bad_addr };
	uint64_t before = counter_sum(CTR_LOG_BAD_RECORDS);
	size_t i, j;

	(void)state;
	pthread_mutex_init(&fake.lock, NULL);
	fake.svc.append = fake_append;
	fake.svc.read = fake_read;
	fake.svc.ctx = &fake;
	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		fake.list[fake.len++] = strdup(bad[i]);
	for (i = 0; i < 3; i++)
		node_init(&nodes[i], NULL, &fake.svc);
	for (i = 0; i < 3; i++) {
		for (j = 0; j < 3; j++)
			assert_int_not_equal(
			    wait_state(
				&nodes[i], &nodes[j].rpc.self, MEMBER_ALIVE),
			    -1);
	}
	assert_true(
	    counter_sum(CTR_LOG_BAD_RECORDS) - before >= G_N_ELEMENTS(bad));
	for (i = 0; i < 3; i++)
		node_finish(&nodes[i]);
	for (i = 0; i < fake.len; i++)
		free(fake.list[i]);
}

/*
 * A formatted hello must parse to the same values, and a truncated one must be
 * refused.
 */
static void
test_hello_round_trip(void **state)
{
	struct member_info m = { .id = { 0x0a000001, 7000, 0xfedcba98 },
		.peer_port = 8000,
		.domain = "tunis-a" };
	struct member_hello h;
	char *text = member_hello_format(&m);

	(void)state;
	assert_int_equal(member_hello_parse(text, strlen(text), &h), 0);
	assert_true(nodeid_equal(&h.id, &m.id));
	assert_int_equal(h.peer_port, 8000);
	assert_string_equal(h.domain, "tunis-a");
	assert_int_equal(member_hello_parse(text, strlen(text) - 1, &h), -1);
	free(text);
}

/*
 * Parsing an announcement must report all its faults at once, and an
 * announcement must expire after MEMBER_ANNOUNCE_TIMEOUT_MS.
 */
static void
test_announce_findings(void **state)
{
	static const struct {
		const char *text;
		size_t errors, findings;
	} rows[] = {
		{ "{\"service\":\"orders\",\"port\":80,\"slots\":4,"
		  "\"connections\":9,\"incarnation\":\"x\"}",
		    0, 0 },
		{ "{\"service\":\"orders\",\"port\":80,\"slots\":4,"
		  "\"connections\":9,\"incarnation\":\"x\",\"new\":1}",
		    0, 1 },
		{ "{\"service\":\"orders\",\"port\":80,\"slots\":4,"
		  "\"connections\":9,\"incarnation\":\"x\","
		  "\"address\":\"10.0.0.7\",\"health\":\"/up\"}",
		    0, 0 },
		{ "{}", 5, 5 },
		{ "[]", 1, 1 },
		{ "", 1, 1 },
		{ "{\"service\":\"orders\"", 1, 1 },
		{ "{\"service\":7,\"port\":0,\"slots\":\"4\","
		  "\"connections\":-1,\"incarnation\":\"\"}",
		    5, 5 },
		{ "{\"service\":\"a b\",\"port\":65536,\"slots\":4,"
		  "\"connections\":9,\"incarnation\":\"x\","
		  "\"address\":\"10.0.0\"}",
		    3, 3 },
		{ "{\"service\":\"a\",\"service\":\"b\"}", 1, 1 },
	};
	struct member_announce a;
	struct finds fs;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		finds_init(&fs);
		assert_int_equal(member_announce_parse(rows[i].text,
				     strlen(rows[i].text), &a, &fs),
		    rows[i].errors == 0 ? 0 : -1);
		assert_int_equal(fs.errors, rows[i].errors);
		assert_int_equal(fs.count, rows[i].findings);
		finds_finish(&fs);
	}
	finds_init(&fs);
	member_announce_parse(rows[2].text, strlen(rows[2].text), &a, &fs);
	assert_int_equal(a.addr, 0x0a000007);
	assert_string_equal(a.health, "/up");
	assert_string_equal(a.server.service, "orders");
	finds_finish(&fs);
	assert_true(member_announce_live(1000, 5999));
	assert_false(member_announce_live(1000, 6000));
	assert_false(member_announce_live(0, 100));
}

/*
 * The dump must show every member as text and as JSON, without the secret.  A
 * change of the load alone must not raise the sequence number.
 */
static void
test_dump_formats(void **state)
{
	struct member_server sv = { .service = "orders",
		.state = MEMBER_SERVER_UP };
	const struct member_info *m;
	char *text = NULL, *json;
	size_t len;
	FILE *out;
	int up = 0;

	(void)state;
	node_init(&nodes[0], NULL, NULL);
	member_set_server(&nodes[0].member, &sv);
	sv.load = 500;
	member_set_server(&nodes[0].member, &sv);
	while (!up) {
		rcu_read_lock();
		m = member_view_get(&nodes[0].member)->members;
		up = m->server.state == MEMBER_SERVER_UP;
		assert_true(m->seq <= 2);
		rcu_read_unlock();
		sched_yield();
	}
	out = open_memstream(&text, &len);
	member_dump(&nodes[0].member, out);
	fclose(out);
	json = dump_json(text);
	assert_non_null(strstr(text, "service=orders server=up"));
	assert_non_null(strstr(json, "\"service\": \"orders\""));
	assert_null(strstr(text, SECRET));
	free(text);
	free(json);
	node_finish(&nodes[0]);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_join_death_partition_leave),
		cmocka_unit_test(test_log_discovery),
		cmocka_unit_test(test_hello_round_trip),
		cmocka_unit_test(test_announce_findings),
		cmocka_unit_test(test_dump_formats),
	};
	int rc;

	rcu_register_thread();
	rc = cmocka_run_group_tests(tests, NULL, NULL);
	rcu_unregister_thread();
	return rc;
}
