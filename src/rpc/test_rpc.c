#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "base/clock.h"
#include "base/counter.h"
#include "rpc/rpc_int.h"

#define PROC_DOUBLE (RPC_BLOCK_CONFIG + 90)
#define PROC_SILENT (RPC_BLOCK_CONFIG + 91)
#define PROC_UNKNOWN (RPC_BLOCK_CONFIG + 92)
#define CALL_MS 2000
#define SHORT_MS 50
#define FUZZ_ROUNDS 4000
#define FUZZ_SEED 20260101

struct peer {
	struct rpc_settings settings;
	struct rpc_server server;
	struct rpc_client client;
};

static int handle_double(
    void *, const struct sockaddr_in *, const void *, void *);
static int handle_silent(
    void *, const struct sockaddr_in *, const void *, void *);

static const struct rpc_proc procs[] = {
	{ PROC_DOUBLE, (xdrproc_t)xdr_u_int, sizeof(u_int),
	    (xdrproc_t)xdr_u_int, sizeof(u_int), handle_double },
	{ PROC_SILENT, (xdrproc_t)xdr_u_int, sizeof(u_int),
	    (xdrproc_t)xdr_u_int, sizeof(u_int), handle_silent },
	{ PROC_UNKNOWN, (xdrproc_t)xdr_u_int, sizeof(u_int),
	    (xdrproc_t)xdr_u_int, sizeof(u_int), handle_silent },
};

/*
 * Doubles its argument and counts its calls.
 */
static int
handle_double(
    void *ctx, const struct sockaddr_in *from, const void *arg, void *res)
{
	(void)from;
	atomic_fetch_add((atomic_uint *)ctx, 1);
	*(u_int *)res = *(const u_int *)arg * 2;
	return 0;
}

/*
 * Counts its calls and answers none.
 */
static int
handle_silent(
    void *ctx, const struct sockaddr_in *from, const void *arg, void *res)
{
	(void)from;
	(void)arg;
	(void)res;
	atomic_fetch_add((atomic_uint *)ctx, 1);
	return -1;
}

static atomic_uint calls;

/*
 * Starts a server and a client on loopback.
 */
static void
peer_init(struct peer *p, const char *secret)
{
	struct node_id id = { .addr = INADDR_LOOPBACK };

	id.incarnation = rand_u64();
	assert_int_equal(
	    rpc_settings_init(&p->settings, &id, secret, strlen(secret), NULL),
	    0);
	assert_int_equal(rpc_server_init(&p->server, &p->settings, NULL), 0);
	rpc_server_register(&p->server, procs, 2, &calls);
	assert_int_equal(rpc_server_start(&p->server, NULL), 0);
	assert_int_equal(rpc_client_init(&p->client, &p->settings, NULL), 0);
}

/*
 * Stops both.
 */
static void
peer_finish(struct peer *p)
{
	rpc_client_finish(&p->client);
	rpc_server_finish(&p->server);
}

/*
 * Each way in which a call can end gives its own status.
 */
static void
test_call_statuses(void **state)
{
	static const struct {
		int other_secret;
		int other_process;
		int closed_port;
		int proc;
		enum rpc_status want;
	} rows[] = {
		{ 0, 0, 0, 0, RPC_DONE },
		{ 0, 1, 0, 0, RPC_REJECTED },
		{ 1, 0, 0, 0, RPC_TIMEOUT },
		{ 0, 0, 1, 0, RPC_UNREACHABLE },
		{ 0, 0, 0, 1, RPC_TIMEOUT },
		{ 0, 0, 0, 2, RPC_TIMEOUT },
	};
	struct peer a, b;
	struct node_id to;
	u_int arg = 21, res;
	size_t i;

	(void)state;
	peer_init(&a, "0123456789abcdef");
	peer_init(&b, "another secret!!");
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		to = a.settings.self;
		if (rows[i].other_process)
			to.incarnation++;
		if (rows[i].closed_port)
			to.rpc_port = 1;
		res = 0;
		assert_int_equal(
		    rpc_client_call(
			rows[i].other_secret ? &b.client : &a.client, &to,
			&procs[rows[i].proc], &arg, &res,
			rows[i].want == RPC_TIMEOUT ? SHORT_MS : CALL_MS),
		    rows[i].want);
		if (rows[i].want == RPC_DONE)
			assert_int_equal(res, 42);
	}
	peer_finish(&a);
	peer_finish(&b);
}

/*
 * A peer may be known by another address than the one that it binds, as
 * behind a proxy: its incarnation tells who answers.
 */
static void
test_advertised_address(void **state)
{
	static const char secret[] = "0123456789abcdef";
	struct node_id to, id = { INADDR_LOOPBACK + 1, 7, 99 };
	struct peer a;
	u_int arg = 21, res;

	(void)state;
	assert_int_equal(
	    rpc_settings_init(&a.settings, &id, secret, strlen(secret), NULL),
	    0);
	a.settings.bind.addr = INADDR_LOOPBACK;
	assert_int_equal(rpc_server_init(&a.server, &a.settings, NULL), 0);
	rpc_server_register(&a.server, procs, 2, &calls);
	assert_int_equal(rpc_server_start(&a.server, NULL), 0);
	assert_int_equal(rpc_client_init(&a.client, &a.settings, NULL), 0);
	to = id;
	to.addr = INADDR_LOOPBACK;
	to.rpc_port = rpc_server_port(&a.server);
	assert_int_equal(
	    rpc_client_call(&a.client, &to, &procs[0], &arg, &res, CALL_MS),
	    RPC_DONE);
	assert_int_equal(a.settings.self.rpc_port, 7);
	peer_finish(&a);
}

/*
 * A port that is taken is an error, and what failed to start can be
 * finished.
 */
static void
test_port_taken(void **state)
{
	struct rpc_settings s;
	struct rpc_server other;
	struct rpc_client c;
	GError *error = NULL;
	struct peer a;
	int fd;

	(void)state;
	peer_init(&a, "0123456789abcdef");
	s = a.settings;
	assert_int_equal(rpc_server_init(&other, &s, &error), -1);
	assert_int_equal(error->code, RPC_ERROR_SOCKET);
	g_clear_error(&error);
	rpc_server_finish(&other);
	s.self.addr = 1;
	assert_int_equal(rpc_client_init(&c, &s, &error), -1);
	g_clear_error(&error);
	rpc_client_finish(&c);
	fd = dup(0);
	assert_int_not_equal(fd, -1);
	close(fd);
	peer_finish(&a);
}

/*
 * Calls to many peers come back together, each with its own answer, and a
 * silent peer costs the others nothing.
 */
static void
test_call_many(void **state)
{
	struct rpc_item items[20];
	u_int args[20], res[20];
	struct peer a;
	uint64_t start;
	size_t i;

	(void)state;
	peer_init(&a, "0123456789abcdef");
	for (i = 0; i < 20; i++) {
		args[i] = (u_int)i;
		items[i].to = a.settings.self;
		items[i].arg = &args[i];
		items[i].res = &res[i];
	}
	items[7].to.rpc_port = 1;
	start = clock_ms();
	rpc_client_call_many(&a.client, &procs[0], items, 20, CALL_MS);
	assert_true(clock_ms() - start < CALL_MS);
	for (i = 0; i < 20; i++) {
		assert_int_equal(
		    items[i].status, i == 7 ? RPC_UNREACHABLE : RPC_DONE);
		if (i != 7)
			assert_int_equal(res[i], 2 * i);
	}
	peer_finish(&a);
}

struct caller {
	struct peer *peer;
	int failed;
};

/*
 * Calls a thousand times and counts wrong answers.
 */
static void *
call_often(void *arg)
{
	struct caller *c = arg;
	u_int i, res;

	for (i = 0; i < 1000; i++) {
		if (rpc_client_call(&c->peer->client, &c->peer->settings.self,
			&procs[0], &i, &res, CALL_MS) != RPC_DONE ||
		    res != i * 2)
			c->failed++;
	}
	return NULL;
}

/*
 * Threads share a client without crossing answers.
 */
static void
test_threads_share_client(void **state)
{
	struct caller callers[8] = { 0 };
	pthread_t threads[8];
	struct peer a;
	int i;

	(void)state;
	peer_init(&a, "0123456789abcdef");
	for (i = 0; i < 8; i++) {
		callers[i].peer = &a;
		pthread_create(&threads[i], NULL, call_often, &callers[i]);
	}
	for (i = 0; i < 8; i++) {
		pthread_join(threads[i], NULL);
		assert_int_equal(callers[i].failed, 0);
	}
	peer_finish(&a);
}

/*
 * Encodes a valid call of PROC_DOUBLE.
 */
static int
valid_call(struct peer *p, char *buf, size_t size, u_int arg)
{
	char body[RPC_BODY_MAX];
	struct rpc_envelope env = {
		.format = RPC_FORMAT, .nonce = 1, .body.body_val = body
	};

	env.to = p->settings.self.incarnation;
	rpc_body_encode(&env, (xdrproc_t)xdr_u_int, &arg);
	rpc_seal(&env, &p->settings, PROC_DOUBLE, RPC_DIR_CALL);
	return rpc_call_encode(buf, size, 7, PROC_DOUBLE, &env);
}

/*
 * Spoils a datagram: random bytes, one flipped bit, or another length.
 */
static int
spoil(char *buf, int len, size_t size, unsigned int *seed)
{
	int i, kind = rand_r(seed) % 3;

	if (kind == 0) {
		len = rand_r(seed) % (int)size;
		for (i = 0; i < len; i++)
			buf[i] = (char)rand_r(seed);
	} else if (kind == 1) {
		i = rand_r(seed) % (len * 8);
		buf[i / 8] = (char)(buf[i / 8] ^ (1 << i % 8));
	} else {
		i = rand_r(seed) % (int)size;
		if (i > len)
			memset(buf + len, 0, (size_t)(i - len));
		len = i == len ? i - 1 : i;
	}
	return len;
}

/*
 * No spoilt datagram runs a procedure, draws an answer or ends the server.
 * Only the transaction number isn't under the MAC.
 */
static void
test_fuzz_server(void **state)
{
	unsigned int seed = FUZZ_SEED, before;
	char buf[2000], copy[2000];
	struct sockaddr_in sin = { .sin_family = AF_INET };
	struct peer a;
	u_int arg = 3, res;
	int whole, len, i, fd;

	(void)state;
	peer_init(&a, "0123456789abcdef");
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sin.sin_port = htons(a.settings.self.rpc_port);
	fd = socket(AF_INET, SOCK_DGRAM, 0);
	before = atomic_load(&calls);
	for (i = 0; i < FUZZ_ROUNDS; i++) {
		len = whole = valid_call(&a, buf, sizeof(buf), (u_int)i);
		memcpy(copy, buf, sizeof(buf));
		len = spoil(buf, len, sizeof(buf), &seed);
		if (len == whole && memcmp(buf + 4, copy + 4, 96) == 0)
			continue;
		sendto(fd, buf, (size_t)len, 0, (struct sockaddr *)&sin,
		    sizeof(sin));
		if (i % 16 != 0)
			continue;
		assert_int_equal(rpc_client_call(&a.client, &a.settings.self,
				     &procs[0], &arg, &res, CALL_MS),
		    RPC_DONE);
		before++;
	}
	assert_int_equal(atomic_load(&calls), before);
	assert_int_equal(recv(fd, buf, sizeof(buf), MSG_DONTWAIT), -1);
	close(fd);
	peer_finish(&a);
}

/*
 * The decoders take any bytes without reading past them.
 */
static void
test_fuzz_decoders(void **state)
{
	char body[RPC_BODY_MAX], *buf;
	struct rpc_envelope env;
	unsigned int seed = FUZZ_SEED;
	uint32_t xid;
	u_int val;
	int i, j, len;

	(void)state;
	for (i = 0; i < FUZZ_ROUNDS; i++) {
		len = rand_r(&seed) % 400;
		buf = malloc((size_t)len + 1);
		for (j = 0; j < len; j++)
			buf[j] = rand_r(&seed) % 4 == 0 ? (char)rand_r(&seed)
							: (char)(j == 7);
		memset(&env, 0, sizeof(env));
		env.body.body_val = body;
		rpc_call_acceptable(buf, (size_t)len, (size_t)len);
		rpc_answer_decode(buf, (size_t)len, &xid, &env);
		env.body.body_val = buf;
		env.body.body_len = (u_int)len;
		val = 0;
		assert_int_equal(
		    rpc_body_decode(&env, (xdrproc_t)xdr_u_int, &val) == 0,
		    len == 4);
		free(buf);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_call_statuses),
		cmocka_unit_test(test_advertised_address),
		cmocka_unit_test(test_port_taken),
		cmocka_unit_test(test_call_many),
		cmocka_unit_test(test_threads_share_client),
		cmocka_unit_test(test_fuzz_server),
		cmocka_unit_test(test_fuzz_decoders),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
