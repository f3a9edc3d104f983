#include <stdio.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"
#include "member/test_net.h"
#include "rpc/rpc_int.h"

/*
 * Prints what membership costs a node for several numbers of members: all
 * tables run in this process and exchange encoded messages on a clock of
 * their own.  Bytes are what a node sends, and the headers of ONC RPC, the
 * envelope, UDP and IP are added.
 */
#define SEED 20261204
#define CALM_MS 10000
#define STEADY_MS 20000
#define SETTLE_MS 120000
#define HEADER_BYTES (40 + 56 + 28)
#define BUILDS 50
#define NOTES 20000
#define DOMAINS 6
#define CALLS 5000
#define LIVE 15
#define LIVE_MS 10000

/* A node's membership over real RPC. */
struct live {
	struct rpc_settings rpc;
	struct rpc_server server;
	struct rpc_client client;
	struct member_service member;
};

static double cpu_now(void);
static double resident_now(void);
static uint64_t sum_bytes(const struct net *);
static uint64_t sum_msgs(const struct net *);
static double rate(const struct net *, uint64_t, uint64_t, uint64_t);
static uint64_t until_rev(struct net *, uint32_t, uint32_t);
static uint64_t until_dead(struct net *, uint32_t);
static double view_us(struct net *);
static void announce(struct net *);
static void measure(uint32_t);
static int count_note(void *, const struct sockaddr_in *, const void *, void *);
static int answer_call(
    void *, const struct sockaddr_in *, const void *, void *);
static void measure_call(struct rpc_client *, const struct node_id *);
static void measure_rpc(void);
static int live_init(struct live *, const struct node_id *);
static void live_finish(struct live *);
static int live_death(struct live *);
static void measure_live(void);

static const uint32_t sizes[] = { 15, 100, 400, 1600 };

/*
 * Returns the processor time that this process has used, in seconds.
 */
static double
cpu_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

/*
 * Returns the resident memory of this process in bytes.
 */
static double
resident_now(void)
{
	FILE *f = fopen("/proc/self/statm", "r");
	char line[128] = "";
	char *end;

	if (f == NULL)
		return 0;
	if (fgets(line, sizeof(line), f) == NULL)
		line[0] = '\0';
	fclose(f);
	strtoull(line, &end, 10);
	return (double)strtoull(end, NULL, 10) * (double)sysconf(_SC_PAGESIZE);
}

/*
 * Sums up the bytes of all messages sent.
 */
static uint64_t
sum_bytes(const struct net *net)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < net->len; i++)
		sum += net->nodes[i].sent_bytes;
	return sum;
}

/*
 * Sums up all messages sent.
 */
static uint64_t
sum_msgs(const struct net *net)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < net->len; i++)
		sum += net->nodes[i].sent_msgs;
	return sum;
}

/*
 * Returns the bytes a second that a node sent since then, headers included.
 */
static double
rate(const struct net *net, uint64_t bytes, uint64_t msgs, uint64_t since)
{
	double sent = (double)(sum_bytes(net) - bytes) +
		      (double)(sum_msgs(net) - msgs) * HEADER_BYTES;

	return sent / net->len / ((double)(net->now - since) / 1000);
}

/*
 * Runs until all know a member's last change; returns the ms.
 */
static uint64_t
until_rev(struct net *net, uint32_t about, uint32_t rev)
{
	const struct node_id *id = &net->nodes[about].id;
	uint64_t start = net->now;
	struct member_slot *s;
	uint32_t i, know = 0;

	while (know < net->len && net->now - start < SETTLE_MS) {
		net_run(net, 10);
		for (i = know = 0; i < net->len; i++) {
			s = member_table_find(
			    &net->nodes[i].table, id->addr, id->rpc_port);
			know += s != NULL && s->info.rev >= rev;
		}
	}
	return net->now - start;
}

/*
 * Runs until all hold a killed member dead; returns the ms.
 */
static uint64_t
until_dead(struct net *net, uint32_t about)
{
	uint64_t start = net->now;

	while (net_count_views(net, about, MEMBER_DEAD) < net->len - 1 &&
	       net->now - start < SETTLE_MS)
		net_run(net, 10);
	return net->now - start;
}

/*
 * Returns the time to build a view, in microseconds.
 */
static double
view_us(struct net *net)
{
	double start = cpu_now();
	int i;

	for (i = 0; i < BUILDS; i++)
		member_view_free(
		    member_view_build(&net->nodes[0].table, net->now, 0));
	return (cpu_now() - start) / BUILDS * 1e6;
}

/*
 * Gives every node a backend server of one of the services.
 */
static void
announce(struct net *net)
{
	struct member_server *sv;
	uint32_t i;

	for (i = 0; i < net->len; i++) {
		sv = &net->nodes[i].table.slots[0].info.server;
		snprintf(sv->service, sizeof(sv->service), "service-%u",
		    i % (net->len / 22 + 4));
		sv->service_hash = member_service_hash(sv->service);
		sv->state = MEMBER_SERVER_UP;
		sv->incarnation = i + 1;
	}
}

/*
 * Measures one size and prints its rows.
 */
static void
measure(uint32_t n)
{
	double mem = resident_now(), cpu, steady, cut;
	uint64_t joined, bytes, msgs, since, spread, dead;
	double per_s;
	struct net net;
	uint32_t i;

	net_init(&net, n, SEED);
	net.loss_permille = 10;
	announce(&net);
	joined = net_converge(&net, SETTLE_MS);
	net_run(&net, CALM_MS);
	mem = resident_now() - mem;
	cpu = cpu_now();
	bytes = sum_bytes(&net);
	msgs = sum_msgs(&net);
	since = net.now;
	net_run(&net, STEADY_MS);
	cpu = (cpu_now() - cpu) / n / (STEADY_MS / 1000.0);
	steady = rate(&net, bytes, msgs, since);
	per_s = (double)(sum_msgs(&net) - msgs) / n / (STEADY_MS / 1000.0);
	net.nodes[1].table.slots[0].info.server.state = MEMBER_SERVER_DRAINING;
	member_table_publish_self(&net.nodes[1].table, net.now);
	spread = until_rev(&net, 1, net.nodes[1].table.slots[0].info.rev);
	net_kill(&net, 2);
	dead = until_dead(&net, 2);
	bytes = sum_bytes(&net);
	msgs = sum_msgs(&net);
	since = net.now;
	for (i = 0; i < n / DOMAINS; i++)
		net.nodes[n - 1 - i].partition = 1;
	net_run(&net, 10000);
	cut = rate(&net, bytes, msgs, since);
	printf("%5u %8.0f %7.1f %8.0f %9.3f %9.0f %8d %8d %8d %9.0f %6u\n", n,
	    mem / n / n, per_s, steady, cpu * 100, view_us(&net), (int)joined,
	    (int)spread, (int)dead, cut, net.false_deaths);
	fflush(stdout);
	net_finish(&net);
}

/*
 * Counts a notice.
 */
static int
count_note(
    void *ctx, const struct sockaddr_in *from, const void *arg, void *res)
{
	(void)from;
	(void)arg;
	(void)res;
	__atomic_add_fetch((unsigned int *)ctx, 1, __ATOMIC_RELAXED);
	return -1;
}

/*
 * Answers a call.
 */
static int
answer_call(
    void *ctx, const struct sockaddr_in *from, const void *arg, void *res)
{
	(void)ctx;
	(void)from;
	*(u_int *)res = *(const u_int *)arg;
	return 0;
}

static const struct rpc_proc proc_call = { RPC_BLOCK_MEMBER + 98,
	(xdrproc_t)xdr_u_int, sizeof(u_int), (xdrproc_t)xdr_u_int,
	sizeof(u_int), answer_call };

/*
 * Measures the round trip of small calls, one after the other.
 */
static void
measure_call(struct rpc_client *c, const struct node_id *to)
{
	uint64_t start = clock_us();
	u_int i, res, failed = 0;

	for (i = 0; i < CALLS; i++)
		failed += rpc_client_call(c, to, &proc_call, &i, &res, 1000) !=
			  RPC_DONE;
	printf("call: %.1f us a round trip, %u of %d failed\n",
	    (double)(clock_us() - start) / CALLS, failed, CALLS);
}

/*
 * Measures the processor time of one sealed notice of usual size over
 * loopback, both sides together.
 */
static void
measure_rpc(void)
{
	const struct rpc_proc proc = { RPC_BLOCK_MEMBER + 99,
		(xdrproc_t)xdr_rpc_envelope, sizeof(struct rpc_envelope),
		rpc_xdr_none, 0, count_note };
	struct node_id id = { INADDR_LOOPBACK, 0, 1 };
	char body[280] = "";
	struct rpc_envelope env = { .body.body_len = sizeof(body),
		.body.body_val = body };
	struct rpc_settings s;
	struct rpc_server srv;
	struct rpc_client c;
	unsigned int got = 0, i, want = NOTES;
	double cpu;

	printf("notice: ");
	if (rpc_settings_init(&s, &id, "0123456789abcdef", 16, NULL) == -1 ||
	    rpc_server_init(&srv, &s, NULL) == -1)
		return;
	rpc_server_register(&srv, &proc, 1, &got);
	rpc_server_register(&srv, &proc_call, 1, NULL);
	if (rpc_server_start(&srv, NULL) == -1 ||
	    rpc_client_init(&c, &s, NULL) == -1)
		return;
	cpu = cpu_now();
	for (i = 0; i < want; i++) {
		rpc_client_notify(&c, &s.self, &proc, &env);
		while (__atomic_load_n(&got, __ATOMIC_RELAXED) + 50 < i)
			usleep(100);
	}
	while (__atomic_load_n(&got, __ATOMIC_RELAXED) + 50 < i)
		usleep(100);
	printf("%.1f us of processor time, sent and served "
	       "(%u of %u)\n",
	    (cpu_now() - cpu) / want * 1e6, got, want);
	measure_call(&c, &s.self);
	rpc_client_finish(&c);
	rpc_server_finish(&srv);
}

/*
 * Starts a node on loopback.
 */
static int
live_init(struct live *n, const struct node_id *seed)
{
	struct node_id id = { INADDR_LOOPBACK, 0, rand_u64() };
	struct member_settings s = { .peer_port = 8000,
		.domain = "domain-a",
		.seeds = seed,
		.seeds_len = seed != NULL };

	if (rpc_settings_init(&n->rpc, &id, "0123456789abcdef", 16, NULL) ==
		-1 ||
	    rpc_server_init(&n->server, &n->rpc, NULL) == -1 ||
	    rpc_client_init(&n->client, &n->rpc, NULL) == -1)
		return -1;
	s.self = n->rpc.self;
	member_service_init(&n->member, &s, &n->server, &n->client, NULL);
	if (rpc_server_start(&n->server, NULL) == -1)
		return -1;
	return member_service_start(&n->member, NULL);
}

/*
 * Ends a node.
 */
static void
live_finish(struct live *n)
{
	rpc_server_finish(&n->server);
	member_service_finish(&n->member);
	rpc_client_finish(&n->client);
}

/*
 * Ends the last node without a word; returns the ms until all others hold
 * it dead.
 */
static int
live_death(struct live *nodes)
{
	uint32_t addr = nodes[LIVE - 1].rpc.self.addr;
	uint16_t port = nodes[LIVE - 1].rpc.self.rpc_port;
	uint64_t start = clock_ms();
	const struct member_info *m;
	int i, dead = 0;

	live_finish(&nodes[LIVE - 1]);
	while (dead < LIVE - 1 && clock_ms() - start < LIVE_MS) {
		usleep(1000);
		rcu_read_lock();
		for (i = dead = 0; i < LIVE - 1; i++) {
			m = member_view_find(
			    member_view_get(&nodes[i].member), addr, port);
			dead += m != NULL && m->state == MEMBER_DEAD;
		}
		rcu_read_unlock();
	}
	return (int)(clock_ms() - start);
}

/*
 * Measures the processor time of whole services in one process, threads and
 * sockets included.
 */
static void
measure_live(void)
{
	static struct live nodes[LIVE];
	double cpu;
	int i;

	for (i = 0; i < LIVE; i++) {
		if (live_init(&nodes[i], i == 0 ? NULL : &nodes[0].rpc.self) ==
		    -1) {
			printf("live: can't start node %d\n", i);
			return;
		}
	}
	usleep(LIVE_MS * 500);
	cpu = cpu_now();
	usleep(LIVE_MS * 1000);
	cpu = (cpu_now() - cpu) / LIVE / (LIVE_MS / 1000.0);
	printf("live: %d services, %.3f%% of a core each\n", LIVE, cpu * 100);
	printf("live: a killed one is held dead by all after %d ms\n",
	    live_death(nodes));
	for (i = 0; i < LIVE - 1; i++)
		live_finish(&nodes[i]);
}

int
main(int argc, char **argv)
{
	uint32_t max = argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : 1600;
	size_t i;

	printf("seed %d, 1%% of messages lost, delay 1 to 4 ms\n", SEED);
	printf("member slot %zu bytes, view entry %zu bytes\n",
	    sizeof(struct member_slot), sizeof(struct member_info));
	printf("%5s %8s %7s %8s %9s %9s %8s %8s %8s %9s %6s\n", "n", "B/member",
	    "msg/s", "B/s out", "%core", "view us", "join ms", "spread",
	    "dead ms", "cut B/s", "false");
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		if (sizes[i] <= max)
			measure(sizes[i]);
	}
	measure_rpc();
	rcu_register_thread();
	measure_live();
	rcu_unregister_thread();
	return 0;
}
