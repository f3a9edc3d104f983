#include <err.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "soak.h"

#define RESPAWN_MS 300
#define FAULTS_MIN 3
#define FAULTS_SPREAD 6
#define LONGEST_MS 3000

struct soak soak;

/* A fault: what it does, and what ends it. */
struct fault {
	const char *name;
	void (*begin)(int);
	void (*end)(int);
};

static void node_start(struct node *);

static const char *const fleet_keys[2] = { "one-key-of-a-fleet",
	"another-key-of-a-fleet" };

/*
 * Returns the time since the start of the run.
 */
uint64_t
now_ms(void)
{
	return uv_now(&soak.loop) - soak.start_ms;
}

/*
 * Returns a number below n, from the run's seed.
 */
uint64_t
chance(uint64_t n)
{
	uint64_t z = soak.rnd += 0x9e3779b97f4a7c15ULL;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return (z ^ (z >> 31)) % n;
}

/*
 * Fills in the address of a node's port; node -1 has the store's.
 */
void
address(struct sockaddr_in *sa, int node, enum port port)
{
	char ip[32];

	snprintf(ip, sizeof(ip), "127.%d.%d.1", soak.net, node + 2);
	uv_ip4_addr(ip, port, sa);
}

/*
 * Fills in the address that other nodes know a node's port by.
 */
void
address_told(struct sockaddr_in *sa, int node, enum port port)
{
	char ip[32];

	snprintf(ip, sizeof(ip), "127.%d.%d.%d", soak.net, node + 2,
	    soak.relayed ? 2 : 1);
	uv_ip4_addr(ip, port, sa);
}

/*
 * Tells whether the server beside a node is of the service "front"; the
 * others are "deep".
 */
int
is_front(int node)
{
	return node < FRONTS(soak.count);
}

/*
 * Tells what happens, where that is asked for.
 */
void
note(const char *fmt, ...)
{
	va_list ap;

	if (getenv("SOAK_QUIET") != NULL)
		return;
	printf("%6llu ", (unsigned long long)now_ms());
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	printf("\n");
}

static void
on_respawn(uv_timer_t *t)
{
	if (!soak.over)
		node_start(t->data);
}

/*
 * Ends the loop once the run is over and all its processes are gone: the next
 * run may use their addresses.
 */
static void
stop_if_ended(void)
{
	int k;

	for (k = 0; k < soak.count; k++)
		if (soak.nodes[k].running)
			return;
	uv_stop(&soak.loop);
}

static void
on_exit_of(uv_process_t *p, int64_t status, int sig)
{
	struct node *n = p->data;

	n->running = 0;
	uv_close((uv_handle_t *)p, NULL);
	if (!soak.over && !n->asked && sig != SIGKILL)
		wrong("node %d ended by itself: status %lld signal %d",
		    (int)(n - soak.nodes), (long long)status, sig);
	if (n->asked && (status != 0 || sig != 0) && sig != SIGKILL)
		wrong("node %d ended with status %lld signal %d",
		    (int)(n - soak.nodes), (long long)status, sig);
	if (soak.over)
		stop_if_ended();
	else
		uv_timer_start(&n->respawn, on_respawn, RESPAWN_MS, 0);
}

/*
 * Starts a node as a process.
 */
static void
node_start(struct node *n)
{
	static char args[24][160];
	static char program[256];
	char *argv[25], file[128];
	uv_stdio_container_t io[3];
	uv_process_options_t o;
	int i = 0, k = (int)(n - soak.nodes);
	const char *build = getenv("BUILD");

	snprintf(program, sizeof(program), "%s/cyclamenvale-node",
	    build != NULL ? build : "build");
#define ARG(...) snprintf(args[i++], sizeof(args[0]), __VA_ARGS__)
#define ADDR(name, node, port) \
	ARG("--%s=127.%d.%d.1:%d", name, soak.net, (node) + 2, port)
	ARG("cyclamenvale-node");
	ARG("--node=n%d", k);
	ARG("--zone=z%d", k % 3);
	ARG("--service=%s", is_front(k) ? "front" : "deep");
	ADDR("entry", k, PORT_ENTRY);
	ADDR("exit", k, PORT_EXIT);
	ARG("--advertise=127.%d.%d.%d", soak.net, k + 2, soak.relayed ? 2 : 1);
	ADDR("control", k, PORT_CONTROL);
	ADDR("ready", k, PORT_READY);
	ADDR("server", k, PORT_SERVER_PROXY);
	ADDR("store", k, PORT_STORE_PROXY);
	ARG("--fleet-port=%d", PORT_FLEET);
	settings_init(k); /* as the platform does at each start */
	settings_path(k, file, sizeof(file));
	ARG("--settings=%s", file);
	if (soak.seed % 2 == 1) {
		/* As if a key were being changed all the time. */
		k = (int)(soak.starts++ % 2);
		ARG("--fleet-key=%s", fleet_keys[k]);
		ARG("--fleet-key-other=%s", fleet_keys[1 - k]);
	}
	for (k = 0; k < i; k++)
		argv[k] = args[k];
	argv[i] = NULL;
	k = (int)(n - soak.nodes);
	if (n->log == NULL) {
		snprintf(file, sizeof(file), "%s/soak-%llu-n%d.log",
		    build != NULL ? build : "build",
		    (unsigned long long)soak.seed, k);
		n->log = fopen(file, "w");
		if (n->log == NULL)
			err(1, "%s", file);
	}
	memset(&o, 0, sizeof(o));
	memset(io, 0, sizeof(io));
	io[0].flags = UV_IGNORE;
	io[1].flags = io[2].flags = UV_INHERIT_FD;
	io[1].data.fd = io[2].data.fd = fileno(n->log);
	o.stdio = io;
	o.stdio_count = 3;
	o.file = program;
	o.args = argv;
	o.exit_cb = on_exit_of;
	n->process.data = n;
	n->asked = 0;
	n->stopped = 0;
	if (uv_spawn(&soak.loop, &n->process, &o) != 0)
		errx(1, "can't start %s", program);
	n->running = 1;
}

/* Faults; each gets the number of a node. */
static void
node_kill(int k)
{
	if (soak.nodes[k].running)
		uv_process_kill(&soak.nodes[k].process, SIGKILL);
}

static void
node_back(int k)
{
	soak.nodes[k].harmed_ms = now_ms();
}

static void
node_term(int k)
{
	struct node *n = &soak.nodes[k];

	if (n->running && !n->asked)
		uv_process_kill(&n->process, SIGTERM);
	n->asked = 1;
}

static void
nothing(int k)
{
	(void)k;
}

static void
node_stop(int k)
{
	if (soak.nodes[k].running)
		uv_process_kill(&soak.nodes[k].process, SIGSTOP);
	soak.nodes[k].stopped = 1;
}

static void
node_cont(int k)
{
	if (soak.nodes[k].running)
		uv_process_kill(&soak.nodes[k].process, SIGCONT);
	soak.nodes[k].stopped = 0;
	soak.nodes[k].harmed_ms = now_ms();
}

static void
server_dies(int k)
{
	server_crash(&soak.nodes[k].server);
}

static void
server_leaves(int k)
{
	server_leave(&soak.nodes[k].server);
}

static void
server_slows(int k)
{
	soak.nodes[k].server.slow_x = 15;
}

static void
server_breaks(int k)
{
	soak.nodes[k].server.break_share = 0.2;
}

static void
server_repeats(int k)
{
	soak.nodes[k].server.extra_share = 0.3;
}

static void
server_names_rate(int k)
{
	soak.nodes[k].server.rate = 2;
}

static void
server_well(int k)
{
	soak.nodes[k].server.slow_x = 1;
	soak.nodes[k].server.break_share = 0;
	soak.nodes[k].server.extra_share = 0;
}

static void
store_down(int k)
{
	(void)k;
	soak.store.down = 1;
}

static void
store_slow(int k)
{
	(void)k;
	soak.store.slow_ms = 250;
	soak.store.lose = 0.5;
}

static void
store_well(int k)
{
	(void)k;
	soak.store.down = 0;
	soak.store.slow_ms = 0;
	soak.store.lose = 0;
}

static void
store_silent(int k)
{
	proxy_mode(&soak.nodes[k].store_link, LINK_SILENT);
}

static void
store_one_way(int k)
{
	proxy_mode(&soak.nodes[k].store_link, LINK_ONE_WAY);
}

static void
store_reset(int k)
{
	proxy_reset(&soak.nodes[k].store_link);
}

static void
store_link_well(int k)
{
	proxy_mode(&soak.nodes[k].store_link, LINK_PASS);
}

static void
server_link_reset(int k)
{
	uint32_t i;

	/* Whatever is at work there is broken off by this. */
	for (i = 0; i < soak.request_count; i++)
		if (soak.requests[i].ended == 0)
			soak.requests[i].broke = 1;
	proxy_reset(&soak.nodes[k].server_link);
}

static void
server_link_slow(int k)
{
	proxy_mode(&soak.nodes[k].server_link, LINK_SLOW);
}

static void
server_link_well(int k)
{
	proxy_mode(&soak.nodes[k].server_link, LINK_PASS);
}

static void
node_unreached(int k)
{
	proxy_mode(&soak.nodes[k].node_link, LINK_SILENT);
	soak.nodes[k].deaf = 1;
}

static void
node_unheard(int k)
{
	soak.nodes[k].mute = 1;
}

static void
node_cut(int k)
{
	node_unreached(k);
	node_unheard(k);
}

static void
node_link_slow(int k)
{
	proxy_mode(&soak.nodes[k].node_link, LINK_SLOW);
}

static void
node_link_reset(int k)
{
	proxy_reset(&soak.nodes[k].node_link);
}

static void
node_link_well(int k)
{
	proxy_mode(&soak.nodes[k].node_link, LINK_PASS);
	soak.nodes[k].deaf = soak.nodes[k].mute = 0;
	soak.nodes[k].harmed_ms = now_ms();
}

static void
datagrams_lossy(int k)
{
	(void)k;
	soak.lossy = 1;
}

static void
datagrams_well(int k)
{
	(void)k;
	soak.lossy = 0;
}

static void
publish(int k)
{
	(void)k;
	store_publish(&soak.store);
}

static void
withdraw(int k)
{
	(void)k;
	if (soak.store.revoked_ms != 0)
		return;
	soak.store.revoked_ms = now_ms();
	store_publish(&soak.store);
}

static void
hot(int k)
{
	(void)k;
	soak.hot = 8;
}

static void
cool(int k)
{
	(void)k;
	soak.hot = 1;
}

static const struct fault faults[] = {
	{ "node killed", node_kill, node_back },
	{ "node stopped by SIGTERM", node_term, nothing },
	{ "node stopped by SIGTERM, again", node_term, node_term },
	{ "node paused", node_stop, node_cont },
	{ "server crashes", server_dies, nothing },
	{ "server leaves", server_leaves, nothing },
	{ "server slow", server_slows, server_well },
	{ "server breaks answers off", server_breaks, server_well },
	{ "server sends others' answers", server_repeats, server_well },
	{ "store refuses", store_down, store_well },
	{ "store slow, answers lost", store_slow, store_well },
	{ "store silent", store_silent, store_link_well },
	{ "store hears, isn't heard", store_one_way, store_link_well },
	{ "store's connections reset", store_reset, store_reset },
	{ "server's connections reset", server_link_reset, nothing },
	{ "server's link slow", server_link_slow, server_link_well },
	{ "configuration", publish, publish },
	{ "key withdrawn", withdraw, nothing },
	{ "small workspace sends eight times more", hot, cool },
	/* These need to stand between nodes. */
	{ "node not reached by others", node_unreached, node_link_well },
	{ "node not heard by others", node_unheard, node_link_well },
	{ "node cut off from others", node_cut, node_link_well },
	{ "connections to node slow", node_link_slow, node_link_well },
	{ "connections to node reset", node_link_reset, nothing },
	{ "datagrams lost", datagrams_lossy, datagrams_well },
	{ "server names a rate from now on", server_names_rate, nothing },
	{ "settings changed", settings_change, settings_well },
	{ "settings changed at some nodes, not told", settings_change_some,
	    settings_well },
	{ "settings changed in a storm, bad at the end", settings_storm,
	    settings_well },
};

#define KINDS (sizeof(faults) / sizeof(faults[0]))
#define KINDS_DIRECT 19 /* those before the ones between nodes */

/* One fault of a run, as drawn. */
struct drawn {
	const struct fault *fault;
	int node;
	uint32_t at_ms, for_ms;
	int begun;
};

static struct drawn plan[64];

static void
on_fault(uv_timer_t *t)
{
	struct drawn *d = t->data;

	if (!d->begun) {
		d->begun = 1;
		note("%s (node %d, %u ms)", d->fault->name, d->node, d->for_ms);
		soak.nodes[d->node].harmed_ms = now_ms() + d->for_ms;
		if (d->fault->begin == node_term)
			soak.nodes[d->node].harmed_ms = 0;
		d->fault->begin(d->node);
		uv_timer_start(t, on_fault, d->for_ms, 0);
	} else {
		d->fault->end(d->node);
	}
}

/*
 * Draws the faults of a run.
 */
static void
draw(void)
{
	struct drawn *d;
	uint32_t i, n = FAULTS_MIN + (uint32_t)chance(FAULTS_SPREAD);

	for (i = 0; i < n; i++) {
		d = &plan[i];
		d->fault = &faults[chance(soak.kinds)];
		d->node = (int)chance((uint64_t)soak.count);
		d->at_ms = FAULTS_FROM_MS +
			   (uint32_t)chance(FAULTS_TO_MS - FAULTS_FROM_MS);
		d->for_ms = 200 + (uint32_t)chance(LONGEST_MS - 200);
		uv_timer_init(&soak.loop, &soak.faults[i]);
		soak.faults[i].data = d;
		uv_timer_start(&soak.faults[i], on_fault, d->at_ms, 0);
	}
	soak.fault_count = n;
}

static void
on_over(uv_timer_t *t)
{
	int k;

	(void)t;
	soak.over = 1;
	for (k = 0; k < soak.count; k++)
		if (soak.nodes[k].running) {
			uv_process_kill(&soak.nodes[k].process, SIGCONT);
			uv_process_kill(&soak.nodes[k].process, SIGKILL);
		}
	stop_if_ended();
}

static void
run(void)
{
	struct sockaddr_in at, to;
	struct node *n;
	int k;

	uv_loop_init(&soak.loop);
	soak.start_ms = uv_now(&soak.loop);
	soak.rnd = soak.seed;
	soak.hot = 1;
	soak.requests = calloc(REQUESTS_MAX, sizeof(*soak.requests));
	if (soak.requests == NULL)
		err(1, "out of memory");
	store_init(&soak.store);
	for (k = 0; k < soak.count; k++) {
		n = &soak.nodes[k];
		uv_timer_init(&soak.loop, &n->respawn);
		n->respawn.data = n;
		address(&at, k, PORT_STORE_PROXY);
		address(&to, -1, PORT_STORE);
		proxy_init(&n->store_link, &at, &to);
		address(&at, k, PORT_SERVER_PROXY);
		address(&to, k, PORT_SERVER);
		proxy_init(&n->server_link, &at, &to);
		if (soak.relayed)
			relay_init(n);
	}
	for (k = 0; k < soak.count; k++) {
		n = &soak.nodes[k];
		node_start(n);
		server_init(&n->server, k);
		caller_init(n);
	}
	draw();
	uv_timer_init(&soak.loop, &soak.end);
	uv_timer_start(&soak.end, on_over, RUN_MS, 0);
	uv_run(&soak.loop, UV_RUN_DEFAULT);
	check_all();
}

/*
 * This program is broken or is ended: its nodes end with it.
 */
static void
on_end_signal(int sig)
{
	int k;

	for (k = 0; k < soak.count; k++)
		if (soak.nodes[k].running)
			kill(soak.nodes[k].process.pid, SIGKILL);
	_exit(128 + sig);
}

/*
 * Runs one seed with so many nodes, and only the first so many kinds of
 * faults.  SOAK_NET is the second byte of the loopback addresses, so that
 * several can run side by side.
 */
int
main(int argc, char **argv)
{
	const char *net = getenv("SOAK_NET");

	soak.seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
	soak.net = net != NULL ? (int)strtol(net, NULL, 10) : 90;
	soak.count = argc > 2 ? (int)strtol(argv[2], NULL, 10) : NODES;
	soak.kinds = argc > 3 ? (uint32_t)strtoul(argv[3], NULL, 10) : KINDS;
	if (soak.count < NODES || soak.count > NODES_MAX || soak.kinds < 1 ||
	    soak.kinds > KINDS)
		errx(2, "usage: soak [SEED [NODES [KINDS]]], %d to %d nodes",
		    NODES, NODES_MAX);
	soak.relayed = soak.kinds > KINDS_DIRECT && soak.count <= RELAYED_MAX;
	if (!soak.relayed && soak.kinds > KINDS_DIRECT)
		soak.kinds = KINDS_DIRECT;
	signal(SIGPIPE, SIG_IGN);
	signal(SIGSEGV, on_end_signal);
	signal(SIGABRT, on_end_signal);
	signal(SIGTERM, on_end_signal);
	signal(SIGINT, on_end_signal);
	run();
	printf("seed %llu, %d nodes: %u requests, %u faults, %u wrong\n",
	    (unsigned long long)soak.seed, soak.count, soak.request_count,
	    soak.fault_count, soak.failures);
	return soak.failures > 0;
}
