#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "relay/relay_int.h"

/*
 * Two nodes and their servers on one loop, on two loopback addresses.  The
 * callers use node A; the server of the service is beside node B, in some
 * cases another one beside A.
 */

#define ALARM_S 60
#define SERVICE "orders"
#define KEY "key-1"
#define FRESH_MS 4000

/* What a server does with a request. */
enum deed {
	ANSWER,
	HOLD,
	BREAK,
	TURN,
	OTHERS_FIRST,
	NO_STAMP,
	FAIL
};

struct server {
	struct h1_server http;
	enum deed deed;
	int runs;
	int health; /* the last request asked for it */
	int gone;   /* connections that broke while a request was held */
	char id[256];
	char seen[1024]; /* names and values of the last request */
	struct h1_conn *held;
};

struct caller {
	struct h1_pool pool;
	struct h1_xchg *xchg;
	int done;
	enum h1_fail fail;
	unsigned int status;
	char body[64];
	size_t body_len;
	char retry_after[16];
};

static uv_loop_t loop;
static struct relay nodes[2];
static struct server servers[2];
static struct sockaddr_in server_at[2];
static char long_id[200];

static const struct relay_names names = { "Id", "Deadline", "Key", "Workspace",
	"Caller", "Expect", "Not-Run", "Stamp", "Load", "Instance" };

static void
server_head(void *ctx, struct h1_conn *conn)
{
	struct server *s = ctx;
	const struct h1_head *h = h1_conn_head(conn);

	s->health = strncmp(h->buf + h->target, "/health", 7) == 0;
	s->runs += s->deed != TURN && !s->health;
	if (h1_head_copy(h, "Id", s->id, sizeof(s->id)) < 0)
		s->id[0] = '\0';
	snprintf(s->seen, sizeof(s->seen), "%.*s", (int)h->len, h->buf);
}

static void
server_end(void *ctx, struct h1_conn *conn)
{
	struct server *s = ctx;
	struct h1_text t;

	h1_text_init(&t);
	if (s->health) {
		h1_text_field(&t, "Instance", "i-0");
		h1_text_field(&t, "Load", "1,0,7");
		h1_answer(conn, s->deed == FAIL ? 503 : 200, &t, NULL, 0);
		h1_text_finish(&t);
		return;
	}
	h1_text_field(&t, "Id", s->id);
	switch (s->deed) {
	case ANSWER:
		h1_text_field(&t, "Cyclamen-Exit", "busy 0 0 0");
		h1_text_field(&t, "Stamp", "s");
		h1_answer(conn, 200, &t, "mine", 4);
		break;
	case FAIL:
		h1_text_field(&t, "Stamp", "s");
		h1_answer(conn, 500, &t, "bad", 3);
		break;
	case NO_STAMP:
		h1_answer(conn, 200, &t, "mine", 4);
		break;
	case TURN:
		h1_text_field(&t, "Not-Run", "1");
		h1_answer(conn, 503, &t, NULL, 0);
		break;
	case OTHERS_FIRST:
		/* The late second answer of the request before, then ours. */
		h1_text_finish(&t);
		s->id[strlen(s->id) - 1] ^= 1;
		h1_text_field(&t, "Id", s->id);
		h1_text_field(&t, "Stamp", "s");
		h1_text_addf(&t, "Content-Length: 6\r\n\r\nothersHTTP/1.1 200 "
				 "OK\r\n");
		s->id[strlen(s->id) - 1] ^= 1;
		h1_text_field(&t, "Id", s->id);
		h1_text_field(&t, "Stamp", "s");
		h1_answer(conn, 200, &t, "mine", 4);
		break;
	case BREAK:
		h1_conn_abort(conn);
		break;
	case HOLD:
		s->held = conn;
		break;
	}
	h1_text_finish(&t);
}

static void
server_gone(void *ctx, struct h1_conn *conn)
{
	struct server *s = ctx;

	s->gone++;
	if (s->held == conn)
		s->held = NULL;
}

static const struct h1_server_ops server_ops = { server_head, NULL, server_end,
	server_gone, NULL };

static int
caller_head(void *ctx, struct h1_xchg *x)
{
	struct caller *c = ctx;

	c->status = h1_xchg_status(x);
	if (h1_head_copy(h1_xchg_head(x), "Retry-After", c->retry_after,
		sizeof(c->retry_after)) < 0)
		c->retry_after[0] = '\0';
	return 0;
}

static void
caller_body(void *ctx, struct h1_xchg *x, const char *p, size_t n)
{
	struct caller *c = ctx;

	(void)x;
	assert_true(c->body_len + n < sizeof(c->body));
	memcpy(c->body + c->body_len, p, n);
	c->body_len += n;
}

static void
caller_end(void *ctx, struct h1_xchg *x)
{
	(void)x;
	((struct caller *)ctx)->done = 1;
}

static void
caller_fail(void *ctx, struct h1_xchg *x, enum h1_fail how)
{
	(void)x;
	((struct caller *)ctx)->done = 2;
	((struct caller *)ctx)->fail = how;
}

static const struct h1_client_ops caller_ops = { caller_head, caller_body,
	caller_end, caller_fail, NULL };

/*
 * Finds ports that are free at both addresses; they are taken soon after.
 */
static void
free_ports(uint16_t *ports, int n)
{
	uv_tcp_t probes[8];
	struct sockaddr_in at;
	int i, len;

	for (i = 0; i < n; i++) {
		uv_ip4_addr("127.0.0.1", 0, &at);
		len = sizeof(at);
		uv_tcp_init(&loop, &probes[i]);
		uv_tcp_bind(&probes[i], (struct sockaddr *)&at, 0);
		uv_tcp_getsockname(&probes[i], (struct sockaddr *)&at, &len);
		ports[i] = ntohs(at.sin_port);
	}
	for (i = 0; i < n; i++)
		uv_close((uv_handle_t *)&probes[i], NULL);
	uv_run(&loop, UV_RUN_NOWAIT);
}

/*
 * Makes a configuration: "/o/" isn't idempotent, "/s/" is, "/open/" takes
 * requests without a key, and one workspace has a rate.
 */
static struct config *
make_config(uint64_t version, double rate, const char *key)
{
	static const char *const prefixes[] = { "/o/", "/s/", "/open/" };
	struct config *c = calloc(1, sizeof(*c));
	struct config_route *r;
	int i;

	c->version = version;
	c->routes = calloc(3, sizeof(*c->routes));
	c->workspaces = calloc(1, sizeof(*c->workspaces));
	c->keys = calloc(1, sizeof(*c->keys));
	for (i = 0; i < 3; i++) {
		r = &c->routes[c->route_count++];
		snprintf(r->host, sizeof(r->host), "h");
		snprintf(r->prefix, sizeof(r->prefix), "%s", prefixes[i]);
		r->prefix_len = strlen(r->prefix);
		snprintf(r->service, sizeof(r->service), SERVICE);
		r->idempotent = i > 0;
		r->open = i == 2;
		r->deadline_ms = 1000;
		r->retries = 1;
	}
	c->ws_count = 1;
	snprintf(c->workspaces[0].name, sizeof(c->workspaces[0].name), "w");
	c->workspaces[0].hash = config_ws_hash("w");
	c->workspaces[0].rate = rate;
	c->workspaces[0].burst = rate > 0 ? (uint32_t)rate : 0;
	c->key_count = 1;
	config_key_hash(key, c->keys[0].hash);
	config_sort(c);
	return c;
}

static void
announce(int node, uint64_t born, uint64_t sequence, int draining)
{
	struct relay_announce a;

	memset(&a, 0, sizeof(a));
	snprintf(a.id, sizeof(a.id), "i-%d", node);
	snprintf(a.service, sizeof(a.service), SERVICE);
	a.born_ms = born;
	a.sequence = sequence;
	a.slots = 10;
	a.draining = draining;
	relay_announced(&nodes[node], &a);
}

static int
setup(void **state)
{
	static const char *const ips[] = { "127.0.0.1", "127.0.0.2" };
	struct relay_settings set;
	uint16_t ports[5];
	int i;

	(void)state;
	alarm(ALARM_S);
	uv_loop_init(&loop);
	free_ports(ports, 5);
	memset(servers, 0, sizeof(servers));
	for (i = 0; i < 2; i++) {
		memset(&set, 0, sizeof(set));
		set.names = names;
		snprintf(set.node, sizeof(set.node), "n%d", i);
		snprintf(set.zone, sizeof(set.zone), "z%d", i);
		snprintf(
		    set.service, sizeof(set.service), i == 0 ? "web" : SERVICE);
		uv_ip4_addr(ips[i], ports[0], &set.entry);
		uv_ip4_addr(ips[i], ports[1], &set.exit);
		uv_ip4_addr(ips[i], ports[2], &set.server);
		uv_ip4_addr(ips[i], ports[3], &set.fleet);
		set.fresh_ms = FRESH_MS;
		set.quota_share = 0.1;
		set.quota_constant = 20;
		set.retry_ratio = 0.2;
		set.retry_slack = 4;
		set.memory_bytes = 64 << 20;
		set.descriptors = 1000;
		server_at[i] = set.server;
		assert_int_equal(h1_server_init(&servers[i].http, &loop,
				     &set.server, &server_ops, &servers[i], 64),
		    0);
		assert_int_equal(relay_init(&nodes[i], &loop, &set), 0);
		relay_take_config(&nodes[i], make_config(1, 0, KEY));
		relay_proved(&nodes[i], uv_now(&loop));
	}
	fleet_learn(&nodes[0].fleet, "n1", ntohl(inet_addr(ips[1])), 1);
	fleet_learn(&nodes[1].fleet, "n0", ntohl(inet_addr(ips[0])), 1);
	announce(1, 100, 1, 0);
	while (nodes[0].fleet.peers[0].server.id[0] == '\0' ||
	       nodes[1].fleet.peers[0].heard_ms == 0)
		uv_run(&loop, UV_RUN_ONCE);
	memset(long_id, 'a', sizeof(long_id) - 1);
	return 0;
}

static int
teardown(void **state)
{
	int i;

	(void)state;
	for (i = 0; i < 2; i++) {
		relay_close(&nodes[i]);
		h1_server_finish(&servers[i].http);
	}
	uv_run(&loop, UV_RUN_DEFAULT);
	for (i = 0; i < 2; i++)
		relay_finish(&nodes[i]);
	return uv_loop_close(&loop);
}

static void
send_to(struct caller *c, int node, const char *path, const char *key,
    const char *more)
{
	struct h1_text t;

	memset(c, 0, sizeof(*c));
	h1_pool_init(&c->pool, &loop, &nodes[node].set.entry, 1000, 1000);
	h1_text_init(&t);
	h1_text_addf(&t,
	    "GET %s HTTP/1.1\r\nHost: H:80\r\nDeadline: 2000\r\n"
	    "Id: %s\r\n%s",
	    path, long_id, more);
	if (key != NULL)
		h1_text_field(&t, "Key", key);
	h1_text_add(&t, "\r\n", 2);
	c->xchg = h1_send(&c->pool, &t, 0, 0, 0, &caller_ops, c);
	h1_text_finish(&t);
}

static void
ask(struct caller *c, const char *path, const char *key)
{
	send_to(c, 0, path, key, "");
	while (!c->done)
		uv_run(&loop, UV_RUN_ONCE);
	h1_pool_finish(&c->pool);
}

/* What a server does, and what the caller of a route gets. */
struct answer_case {
	const char *name;
	enum deed deed;
	unsigned int status;
	const char *path;
	const char *body;
	int runs;
};

static const struct answer_case answers[] = {
	{ "answer", ANSWER, 200, "/o/1", "mine", 1 },
	{ "failure of the server", FAIL, 500, "/o/1", "bad", 1 },
	{ "refusal, not run", TURN, 503, "/o/1", "", 0 },
	{ "another request's answer first", OTHERS_FIRST, 200, "/o/1", "mine",
	    1 },
	{ "success without a stamp", NO_STAMP, 502, "/o/1", "", 1 },
	{ "broken exchange", BREAK, 502, "/o/1", "", 1 },
	{ "broken, may be repeated, no other server", BREAK, 502, "/s/1", "",
	    1 },
	{ "no answer in time", HOLD, 504, "/o/1", "", 1 },
};

/*
 * Whatever the server does, the caller gets its own answer, or a failure
 * that is true.
 */
static void
test_answers(void **state)
{
	const struct answer_case *a;
	struct caller c;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
		a = &answers[i];
		print_message("%s\n", a->name);
		servers[1].deed = a->deed;
		servers[1].runs = 0;
		ask(&c, a->path, KEY);
		assert_int_equal(c.done, 1);
		assert_int_equal(c.status, a->status);
		assert_int_equal(c.body_len, strlen(a->body));
		assert_memory_equal(c.body, a->body, c.body_len);
		assert_int_equal(servers[1].runs, a->runs);
		relay_proved(&nodes[0], uv_now(&loop));
	}
}

/*
 * The server learns the workspace and where the request began, never the key,
 * whatever the caller claims.
 */
static void
test_fields(void **state)
{
	struct caller c;

	(void)state;
	send_to(&c, 0, "/o/1", KEY,
	    "Workspace: forged\r\nCaller: forged\r\nExpect: forged\r\n"
	    "Cyclamen-Hop: 1 0 0 0 a b c\r\nOther: kept\r\n");
	while (!c.done)
		uv_run(&loop, UV_RUN_ONCE);
	assert_int_equal(c.status, 200);
	assert_null(strstr(servers[1].seen, "forged"));
	assert_null(strstr(servers[1].seen, KEY));
	assert_null(strstr(servers[1].seen, "Cyclamen"));
	assert_non_null(strstr(servers[1].seen, "Workspacew"));
	assert_non_null(strstr(servers[1].seen, "Callerweb"));
	assert_non_null(strstr(servers[1].seen, "Expecti-1"));
	assert_non_null(strstr(servers[1].seen, "Otherkept"));
	h1_pool_finish(&c.pool);
}

/*
 * Keys are held to the configuration in force, and to one that isn't old.
 */
static void
test_keys(void **state)
{
	struct caller c;

	(void)state;
	ask(&c, "/o/1", NULL);
	assert_int_equal(c.status, 401);
	ask(&c, "/o/1", "unknown");
	assert_int_equal(c.status, 401);
	ask(&c, "/none/1", KEY);
	assert_int_equal(c.status, 404);
	ask(&c, "/open/1", NULL);
	assert_int_equal(c.status, 200);
	relay_take_config(&nodes[0], make_config(2, 0, "key-2"));
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 401);
	ask(&c, "/o/1", "key-2");
	assert_int_equal(c.status, 200);
	nodes[0].set.fresh_ms = 0;
	nodes[0].proved_ms = 0;
	ask(&c, "/o/1", "key-2");
	assert_int_equal(c.status, 503);
	ask(&c, "/open/1", NULL);
	assert_int_equal(c.status, 200);
	nodes[0].set.fresh_ms = FRESH_MS;
}

/*
 * From its acknowledgement on, a leaving server gets nothing more, not even
 * what waited for it; a new incarnation does, and an announcement of the old
 * one that comes late changes nothing.
 */
static void
test_leaving(void **state)
{
	struct caller c;

	(void)state;
	announce(1, 100, 2, 1);
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 503);
	assert_int_equal(servers[1].runs, 0);
	assert_true(c.retry_after[0] != '\0');
	announce(1, 200, 1, 0);
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 200);
	announce(1, 100, 9, 1);
	relay_left(&nodes[1], "i-1", 100);
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 200);
	relay_left(&nodes[1], "i-1", 200);
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 503);
}

/*
 * A caller that leaves takes its work at the server with it.
 */
static void
test_caller_gone(void **state)
{
	struct caller c;

	(void)state;
	servers[1].deed = HOLD;
	send_to(&c, 0, "/o/1", KEY, "");
	while (servers[1].held == NULL)
		uv_run(&loop, UV_RUN_ONCE);
	h1_cancel(c.xchg);
	while (servers[1].gone == 0)
		uv_run(&loop, UV_RUN_ONCE);
	assert_null(nodes[0].entries);
	assert_null(nodes[1].exits);
	assert_int_equal(nodes[1].core.inflight, 0);
	h1_pool_finish(&c.pool);
}

/*
 * Of two servers, a request that may be repeated goes to the other one when
 * the first breaks; one that may not goes to one only.
 */
static void
test_two_servers(void **state)
{
	struct caller c;
	int i, runs;

	(void)state;
	snprintf(nodes[0].set.service, sizeof(nodes[0].set.service), SERVICE);
	announce(0, 100, 1, 0);
	servers[0].deed = servers[1].deed = BREAK;
	ask(&c, "/s/1", KEY);
	assert_int_equal(c.status, 502);
	assert_int_equal(servers[0].runs, 1);
	assert_int_equal(servers[1].runs, 1);
	runs = servers[0].runs + servers[1].runs;
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 502);
	assert_int_equal(servers[0].runs + servers[1].runs, runs + 1);
	/* The budget of repeats is used up long before every one is one. */
	runs = servers[0].runs + servers[1].runs;
	for (i = 0; i < 50; i++) {
		ask(&c, "/s/1", KEY);
		relay_proved(&nodes[0], uv_now(&loop));
	}
	runs = servers[0].runs + servers[1].runs - runs;
	print_message("%d runs of 50 requests\n", runs);
	assert_true(runs <= 50 + 50 / 5 + 4);
}

/*
 * A workspace over its rate is refused at the entry, one within it is not.
 */
static void
test_rate(void **state)
{
	struct caller c;
	int i, ok = 0, over = 0;

	(void)state;
	for (i = 0; i < 2; i++)
		relay_take_config(&nodes[i], make_config(2, 10, KEY));
	/* Nobody can have lent tokens before this node was alone with it. */
	nodes[0].fleet.turned_ms = nodes[1].fleet.turned_ms = 0;
	for (i = 0; i < 40; i++) {
		ask(&c, "/o/1", KEY);
		ok += c.status == 200;
		over += c.status == 429;
	}
	print_message("%d served, %d over rate\n", ok, over);
	assert_int_equal(ok + over, 40);
	assert_true(ok >= 10);
	assert_true(ok <= 15);
	assert_int_equal(servers[1].runs, ok);
}

/*
 * The owner of a limit stops: the next one has its tokens and lends at once,
 * no more than were left.
 */
static void
test_hand_over(void **state)
{
	uint64_t ws = config_ws_hash("w");
	struct quota_bucket *b = NULL;
	struct caller c;
	int i, owner, ok = 0;

	(void)state;
	for (i = 0; i < 2; i++)
		relay_take_config(&nodes[i], make_config(2, 10, KEY));
	nodes[0].fleet.turned_ms = nodes[1].fleet.turned_ms = 0;
	owner = fleet_owner(&nodes[0].fleet, ws, uv_now(&loop)) == FLEET_SELF
		    ? 0
		    : 1;
	for (i = 0; i < 6; i++) {
		send_to(&c, 1 - owner, "/o/1", KEY, "");
		while (!c.done)
			uv_run(&loop, UV_RUN_ONCE);
		h1_pool_finish(&c.pool);
		assert_int_equal(c.status, 200);
	}
	relay_stop(&nodes[owner]);
	while (b == NULL) {
		uv_run(&loop, UV_RUN_ONCE);
		if (nodes[1 - owner].owner.count > 0)
			b = &nodes[1 - owner].owner.list[0];
	}
	assert_int_equal(b->ws, ws);
	for (i = 0; i < 8; i++) {
		send_to(&c, 1 - owner, "/o/1", KEY, "");
		while (!c.done)
			uv_run(&loop, UV_RUN_ONCE);
		h1_pool_finish(&c.pool);
		ok += c.status == 200;
	}
	print_message("%d of 8 after the owner stopped\n", ok);
	assert_true(ok >= 4);
	assert_true(ok <= 6);
}

/*
 * A node that doesn't know its server finds it by its health, unless it
 * leaves; the announcement that follows is of the same incarnation.
 */
static void
test_probe(void **state)
{
	struct config *c = make_config(2, 0, KEY);
	uint64_t began = uv_now(&loop);

	(void)state;
	c->health = calloc(1, sizeof(*c->health));
	c->health_count = 1;
	snprintf(c->health[0].service, sizeof(c->health[0].service), "web");
	snprintf(c->health[0].path, sizeof(c->health[0].path), "/health");
	servers[0].deed = FAIL;
	relay_take_config(&nodes[0], c);
	while (nodes[0].probes < 2)
		uv_run(&loop, UV_RUN_ONCE);
	assert_string_equal(nodes[0].server.id, "");
	servers[0].deed = ANSWER;
	while (nodes[0].server.id[0] == '\0' && uv_now(&loop) < began + 5000)
		uv_run(&loop, UV_RUN_ONCE);
	assert_string_equal(nodes[0].server.id, "i-0");
	assert_int_equal(nodes[0].server.slots, 7);
	nodes[0].core.inflight = 3;
	announce(0, 100, 1, 0);
	assert_int_equal(nodes[0].server.born_ms, 100);
	assert_int_equal(nodes[0].core.inflight, 3); /* not started over */
	announce(0, 100, 2, 1);
	assert_true(nodes[0].server.leaving);
	nodes[0].core.inflight = 0;
}

/*
 * A node that hears nothing from the store goes on with keys as long as one
 * that follows it closely says that their version is the newest.
 */
static void
test_proof(void **state)
{
	uint64_t before;
	int i, reader;

	(void)state;
	reader = 0;
	for (i = 0; i < 2; i++)
		if (relay_reads_store(&nodes[i]))
			reader = i;
	nodes[1 - reader].proved_ms = 0;
	before = uv_now(&loop);
	relay_proved(&nodes[reader], before);
	while (nodes[1 - reader].proved_ms == 0) {
		assert_true(relay_must_read(&nodes[1 - reader]));
		uv_run(&loop, UV_RUN_ONCE);
	}
	assert_true(nodes[1 - reader].proved_ms <= uv_now(&loop));
	assert_true(nodes[1 - reader].proved_ms + 50 >= before);
	/* Not so where the other one has an older version. */
	relay_take_config(&nodes[1 - reader], make_config(3, 0, KEY));
	nodes[1 - reader].proved_ms = 0;
	before = uv_now(&loop);
	while (uv_now(&loop) < before + 700) {
		relay_must_read(&nodes[1 - reader]);
		uv_run(&loop, UV_RUN_ONCE);
	}
	assert_int_equal(nodes[1 - reader].proved_ms, 0);
}

/*
 * A request at work on two servers when they died is refused everywhere.
 */
static void
test_crash(void **state)
{
	struct caller c;
	int i;

	(void)state;
	for (i = 0; i < 2; i++) {
		servers[1].deed = BREAK;
		ask(&c, "/o/kill", KEY);
		assert_int_equal(c.status, 502);
		/* The server is gone: nothing listens any more. */
		h1_server_finish(&servers[1].http);
		h1_pool_trim(&nodes[1].server_pool, 0);
		ask(&c, "/o/other", KEY);
		assert_int_equal(c.status, 503);
		uv_run(&loop, UV_RUN_NOWAIT);
		assert_int_equal(
		    h1_server_init(&servers[1].http, &loop, &server_at[1],
			&server_ops, &servers[1], 64),
		    0);
		announce(1, 200 + (uint64_t)i, 1, 0);
		while (nodes[0].fleet.peers[0].server.leaving)
			uv_run(&loop, UV_RUN_ONCE);
	}
	servers[1].deed = ANSWER;
	servers[1].runs = 0;
	ask(&c, "/o/kill", KEY);
	assert_int_equal(c.status, 503);
	assert_int_equal(servers[1].runs, 0);
	ask(&c, "/o/other", KEY);
	assert_int_equal(c.status, 200);
}

/*
 * A node that stops is not ready, and answers what still comes.
 */
static void
test_stop(void **state)
{
	struct caller c;

	(void)state;
	assert_true(relay_ready(&nodes[0]));
	relay_stop(&nodes[0]);
	assert_false(relay_ready(&nodes[0]));
	ask(&c, "/o/1", KEY);
	assert_int_equal(c.status, 200);
	assert_int_equal(c.pool.idle_count, 0);
	while (!nodes[1].fleet.peers[0].stopping)
		uv_run(&loop, UV_RUN_ONCE);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_answers, setup, teardown),
		cmocka_unit_test_setup_teardown(test_fields, setup, teardown),
		cmocka_unit_test_setup_teardown(test_keys, setup, teardown),
		cmocka_unit_test_setup_teardown(test_leaving, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_caller_gone, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_two_servers, setup, teardown),
		cmocka_unit_test_setup_teardown(test_rate, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_hand_over, setup, teardown),
		cmocka_unit_test_setup_teardown(test_proof, setup, teardown),
		cmocka_unit_test_setup_teardown(test_probe, setup, teardown),
		cmocka_unit_test_setup_teardown(test_crash, setup, teardown),
		cmocka_unit_test_setup_teardown(test_stop, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
