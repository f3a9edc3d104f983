#ifndef RELAY_TEST_PAIR_H
#define RELAY_TEST_PAIR_H

/*
 * Test set-up: two nodes with a server each, on one event loop and two loopback
 * addresses.  Callers use node 0.  The service runs at node 1, and in some
 * tests also at node 0.
 */

#define ALARM_S 60
#define SERVICE "orders"
#define KEY "key-1"
#define CONFIG_APPLY_MS 2000
#define CONFIG_FRESH_MS 4000
#define ACCEPT_MS 2600
#define STOP_TIMEOUT_MS 60000

/* How a test server handles a request. */
enum server_behavior {
	SERVER_ANSWERS,
	SERVER_HOLDS,
	SERVER_BREAKS,
	SERVER_REJECTS,
	SERVER_REPEATS_REFUSAL, /* on the connection where it rejected */
	SERVER_ANSWERS_OTHER_FIRST,
	SERVER_OMITS_STAMP,
	SERVER_FAILS
};

struct server {
	struct h1_server http;
	enum server_behavior server_behavior;
	int runs;
	int health;	  /* the last request was a health check */
	int disconnects;  /* connections closed so far */
	const char *rate; /* named in its answers; NULL: none */
	int leaving;	  /* says so in its answers */
	char id[256];
	char last_head[1024]; /* header fields of the last request */
	struct h1_conn *held_conn;
	struct h1_conn *refused_conn; /* of the last rejection */
	char refused_id[256];
};

struct caller {
	struct h1_pool pool;
	struct h1_exchange *xchg;
	int done;
	enum h1_failure fail;
	unsigned int status;
	char body[64];
	size_t body_len;
	char retry_after[16];
};

static uv_loop_t loop;
static struct relay nodes[2];
static struct server servers[2];
static struct sockaddr_in server_addrs[2];
static char long_id[200];
static const char *fleet_keys[2][2] = { { "", "" }, { "", "" } };

static const struct relay_header_names names = { "Id", "Deadline", "Key",
	"Workspace", "Caller", "Expect", "Not-Run", "Stamp", "Load", "Instance",
	"Rate", "Leaving" };

static void
on_server_headers(void *ctx, struct h1_conn *conn)
{
	struct server *s = ctx;
	const struct h1_head *h = h1_conn_head(conn);

	s->health = strncmp(h->buf + h->target, "/health", 7) == 0;
	s->runs += s->server_behavior != SERVER_REJECTS && !s->health;
	if (h1_head_copy(h, "Id", s->id, sizeof(s->id)) < 0)
		s->id[0] = '\0';
	snprintf(
	    s->last_head, sizeof(s->last_head), "%.*s", (int)h->len, h->buf);
}

static void
server_end(void *ctx, struct h1_conn *conn)
{
	struct server *s = ctx;
	struct h1_text t;

	h1_text_init(&t);
	if (s->health && s->server_behavior != SERVER_HOLDS) {
		h1_text_add_field(&t, "Instance", "i-0");
		h1_text_add_field(&t, "Load", "1,0,7");
		h1_send_response(conn,
		    s->server_behavior == SERVER_FAILS ? 503 : 200, &t, NULL,
		    0);
		h1_text_finish(&t);
		return;
	}
	if (s->id[0] != '\0')
		h1_text_add_field(&t, "Id", s->id);
	switch (s->server_behavior) {
	case SERVER_ANSWERS:
		if (s->rate != NULL)
			h1_text_add_field(&t, "Rate", s->rate);
		if (s->leaving)
			h1_text_add_field(&t, "Leaving", "1");
		h1_text_add_field(&t, "Cyclamen-Exit", "busy 0 0 0");
		h1_text_add_field(&t, "Stamp", "s");
		h1_send_response(conn, 200, &t, "mine", 4);
		break;
	case SERVER_FAILS:
		h1_text_add_field(&t, "Stamp", "s");
		h1_send_response(conn, 500, &t, "bad", 3);
		break;
	case SERVER_OMITS_STAMP:
		h1_send_response(conn, 200, &t, "mine", 4);
		break;
	case SERVER_REPEATS_REFUSAL:
		h1_text_finish(&t);
		if (conn == s->refused_conn) {
			if (s->refused_id[0] != '\0')
				h1_text_add_field(&t, "Id", s->refused_id);
			h1_text_addf(&t,
			    "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
			    "HTTP/1.1 200 OK\r\n");
		}
		if (s->id[0] != '\0')
			h1_text_add_field(&t, "Id", s->id);
		h1_text_add_field(&t, "Stamp", "s");
		h1_send_response(
		    conn, conn == s->refused_conn ? 503 : 200, &t, "mine", 4);
		break;
	case SERVER_REJECTS:
		s->refused_conn = conn;
		memcpy(s->refused_id, s->id, sizeof(s->id));
		h1_text_add_field(&t, "Not-Run", "1");
		h1_send_response(conn, 503, &t, NULL, 0);
		break;
	case SERVER_ANSWERS_OTHER_FIRST:
		/* A late answer to an earlier request precedes this one. */
		h1_text_finish(&t);
		s->id[strlen(s->id) - 1] ^= 1;
		h1_text_add_field(&t, "Id", s->id);
		h1_text_add_field(&t, "Stamp", "s");
		h1_text_addf(&t, "Content-Length: 6\r\n\r\nothersHTTP/1.1 200 "
				 "OK\r\n");
		s->id[strlen(s->id) - 1] ^= 1;
		h1_text_add_field(&t, "Id", s->id);
		h1_text_add_field(&t, "Stamp", "s");
		h1_send_response(conn, 200, &t, "mine", 4);
		break;
	case SERVER_BREAKS:
		h1_conn_abort(conn);
		break;
	case SERVER_HOLDS:
		s->held_conn = conn;
		break;
	}
	h1_text_finish(&t);
}

static void
on_server_disconnect(void *ctx, struct h1_conn *conn)
{
	struct server *s = ctx;

	s->disconnects++;
	if (s->held_conn == conn)
		s->held_conn = NULL;
}

static const struct h1_server_ops server_ops = { on_server_headers, NULL,
	server_end, on_server_disconnect, NULL };

static int
on_caller_headers(void *ctx, struct h1_exchange *x)
{
	struct caller *c = ctx;

	c->status = h1_exchange_status(x);
	if (h1_head_copy(h1_exchange_head(x), "Retry-After", c->retry_after,
		sizeof(c->retry_after)) < 0)
		c->retry_after[0] = '\0';
	return 0;
}

static void
on_caller_body(void *ctx, struct h1_exchange *x, const char *p, size_t n)
{
	struct caller *c = ctx;

	(void)x;
	assert_true(c->body_len + n < sizeof(c->body));
	memcpy(c->body + c->body_len, p, n);
	c->body_len += n;
}

static void
on_caller_end(void *ctx, struct h1_exchange *x)
{
	(void)x;
	((struct caller *)ctx)->done = 1;
}

static void
on_caller_fail(void *ctx, struct h1_exchange *x, enum h1_failure failure)
{
	(void)x;
	((struct caller *)ctx)->done = 2;
	((struct caller *)ctx)->fail = failure;
}

static const struct h1_client_ops caller_ops = { on_caller_headers,
	on_caller_body, on_caller_end, on_caller_fail, NULL };

/*
 * Finds free ports and closes them again, for use soon after.
 */
static void
find_free_ports(uint16_t *ports, int n)
{
	uv_tcp_t probes[8];
	struct sockaddr_in addr;
	int i, len;

	for (i = 0; i < n; i++) {
		uv_ip4_addr("127.0.0.1", 0, &addr);
		len = sizeof(addr);
		uv_tcp_init(&loop, &probes[i]);
		uv_tcp_bind(&probes[i], (struct sockaddr *)&addr, 0);
		uv_tcp_getsockname(&probes[i], (struct sockaddr *)&addr, &len);
		ports[i] = ntohs(addr.sin_port);
	}
	for (i = 0; i < n; i++)
		uv_close((uv_handle_t *)&probes[i], NULL);
	uv_run(&loop, UV_RUN_NOWAIT);
}

/*
 * Builds a configuration with one workspace and key.  The route "/o/" isn't
 * idempotent, "/s/" is, and "/open/" needs no key.  rate is the limit of the
 * workspace.
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
		snprintf(r->name, sizeof(r->name), "%s", prefixes[i]);
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
	relay_apply_announcement(&nodes[node], &a);
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
	find_free_ports(ports, 5);
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
		set.advertised = set.exit.sin_addr;
		uv_ip4_addr(ips[i], ports[2], &set.server);
		uv_ip4_addr(ips[i], ports[3], &set.fleet);
		set.apply_ms = CONFIG_APPLY_MS;
		set.fresh_ms = CONFIG_FRESH_MS;
		set.quota_share = 0.1;
		set.quota_constant = 20;
		set.retry_ratio = 0.2;
		set.retry_slack = 4;
		set.memory_bytes = 64 << 20;
		set.accept_calls_ms = ACCEPT_MS;
		set.stop_timeout_ms = STOP_TIMEOUT_MS;
		set.descriptors = 1000;
		snprintf(set.fleet_key, sizeof(set.fleet_key), "%s",
		    fleet_keys[i][0]);
		snprintf(set.alternate_key, sizeof(set.alternate_key), "%s",
		    fleet_keys[i][1]);
		server_addrs[i] = set.server;
		assert_int_equal(h1_server_init(&servers[i].http, &loop,
				     &set.server, &server_ops, &servers[i], 64),
		    0);
		assert_int_equal(relay_init(&nodes[i], &loop, &set), 0);
		fleet_set_node_list_complete(&nodes[i].fleet);
		relay_apply_config(&nodes[i], make_config(1, 0, KEY));
		relay_config_proved(&nodes[i], loop_ms(&loop));
	}
	fleet_add_node(&nodes[0].fleet, "n1", ntohl(inet_addr(ips[1])), 1);
	fleet_add_node(&nodes[1].fleet, "n0", ntohl(inet_addr(ips[0])), 1);
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
send_with_id(struct caller *c, int node, const char *path, const char *key,
    const char *id, const char *extra_fields)
{
	struct h1_text t;

	memset(c, 0, sizeof(*c));
	h1_pool_init(&c->pool, &loop, &nodes[node].set.entry, 1000, 1000);
	h1_text_init(&t);
	h1_text_addf(&t,
	    "GET %s HTTP/1.1\r\nHost: H:80\r\nDeadline: 2000\r\n%s", path,
	    extra_fields);
	if (id != NULL)
		h1_text_add_field(&t, "Id", id);
	if (key != NULL)
		h1_text_add_field(&t, "Key", key);
	h1_text_add(&t, "\r\n", 2);
	c->xchg = h1_send_request(&c->pool, &t, 0, 0, 0, &caller_ops, c);
	h1_text_finish(&t);
}

static void
send_to(struct caller *c, int node, const char *path, const char *key,
    const char *extra_fields)
{
	send_with_id(c, node, path, key, long_id, extra_fields);
}

static void
ask(struct caller *c, const char *path, const char *key)
{
	send_to(c, 0, path, key, "");
	while (!c->done)
		uv_run(&loop, UV_RUN_ONCE);
	h1_pool_finish(&c->pool);
}

#endif
