#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "fleet.h"

#define LOG_HOST 1
#define PROXY_HOST 2
#define INST_HOST 10
#define NET_REAL 0
#define NET_ADVERTISED 1
#define START_MS 5000
#define PORTS_PROXIED 2

struct readiness {
	struct fleet *fleet;
	const char *path;
	const char *key;
};

static int log_answers(void *);
static int all_ready(void *);
static void proxy_start(struct fleet *);
static int add_extra(const char **, int, const char *const *);

static int fleets;

/*
 * Makes an empty fleet.  With `proxied` set, nodes reach each other through
 * the fault-injecting proxy.
 */
void
fleet_init(struct fleet *f, int proxied)
{
	memset(f, 0, sizeof(*f));
	fleets++;
	f->log = -1;
	f->proxy = proxied ? 0 : -1;
	harness_address(NET_REAL, LOG_HOST, f->log_addr);
	harness_address(NET_REAL, PROXY_HOST, f->proxy_addr);
}

/*
 * Adds an instance and returns its number.
 */
int
fleet_add(struct fleet *f, const struct inst_spec *spec)
{
	struct inst *in = &f->list[f->count];
	unsigned int host = INST_HOST + (unsigned int)f->count;

	in->spec = *spec;
	in->node = in->server = -1;
	snprintf(in->runs, sizeof(in->runs), "%s/errors/%d/runs.%d.%d",
	    harness_build(), (int)getpid(), fleets, f->count);
	harness_address(NET_REAL, host, in->addr);
	harness_address(
	    f->proxy == -1 ? NET_REAL : NET_ADVERTISED, host, in->advertised);
	return f->count++;
}

/*
 * Copies extra arguments behind the others.
 */
static int
add_extra(const char **argv, int n, const char *const *extra)
{
	int i;

	for (i = 0; i < EXTRA_MAX && extra[i] != NULL; i++)
		argv[n++] = extra[i];
	argv[n] = NULL;
	return n;
}

/*
 * Starts the node of an instance.
 */
void
fleet_node_start(struct fleet *f, int i)
{
	struct inst *in = &f->list[i];
	char prog[256], url[64], peers[3 * 32] = "", name[32];
	const char *argv[PROC_ARGS_MAX];
	int n = 0, k;
	size_t len = 0;

	snprintf(prog, sizeof(prog), "%s/cyclamenvaled", harness_build());
	snprintf(url, sizeof(url), "http://%s:%d", f->log_addr, LOG_PORT);
	snprintf(name, sizeof(name), "node%d", i);
	for (k = 0; k < 3 && k < f->count; k++)
		len += (size_t)snprintf(peers + len, sizeof(peers) - len,
		    "%s%s:%d", k == 0 ? "" : ",", f->list[k].advertised,
		    RPC_PORT);
	argv[n++] = prog;
	argv[n++] = "--address";
	argv[n++] = in->addr;
	argv[n++] = "--domain";
	argv[n++] = in->spec.domain;
	argv[n++] = "--log-url";
	argv[n++] = url;
	argv[n++] = "--seed-peers";
	argv[n++] = peers;
	if (f->proxy != -1) {
		argv[n++] = "--advertise-address";
		argv[n++] = in->advertised;
	}
	add_extra(argv, n, in->spec.node_args);
	in->node = proc_start(name, argv);
}

/*
 * Starts the backend server of an instance.
 */
void
fleet_server_start(struct fleet *f, int i)
{
	struct inst *in = &f->list[i];
	char prog[256], slots[16], conns[16], us[16], seed[32], name[32];
	char port[16], inner[16];
	const char *argv[PROC_ARGS_MAX];
	int n = 0;

	if (in->spec.service == NULL)
		return;
	snprintf(prog, sizeof(prog), "%s/standin/backend", harness_build());
	snprintf(port, sizeof(port), "%d", SERVER_PORT);
	snprintf(inner, sizeof(inner), "%d", INNER_PORT);
	snprintf(name, sizeof(name), "server%d", i);
	snprintf(slots, sizeof(slots), "%d",
	    in->spec.slots == 0 ? 16 : in->spec.slots);
	snprintf(conns, sizeof(conns), "%d",
	    in->spec.connections == 0 ? 64 : in->spec.connections);
	snprintf(us, sizeof(us), "%d",
	    in->spec.service_us == 0 ? 1000 : in->spec.service_us);
	snprintf(seed, sizeof(seed), "%llu",
	    (unsigned long long)harness_seed() * 1000 + (unsigned int)i);
	argv[n++] = prog;
	argv[n++] = "--address";
	argv[n++] = in->addr;
	argv[n++] = "--port";
	argv[n++] = port;
	argv[n++] = "--inner";
	argv[n++] = inner;
	argv[n++] = "--service";
	argv[n++] = in->spec.service;
	argv[n++] = "--slots";
	argv[n++] = slots;
	argv[n++] = "--connections";
	argv[n++] = conns;
	argv[n++] = "--service-us";
	argv[n++] = us;
	argv[n++] = "--seed";
	argv[n++] = seed;
	argv[n++] = "--runs-file";
	argv[n++] = in->runs;
	add_extra(argv, n, in->spec.server_args);
	in->server = proc_start(name, argv);
}

/*
 * Starts the proxy between the advertised and the real addresses.
 */
static void
proxy_start(struct fleet *f)
{
	static char maps[INST_MAX][80], groups[INST_MAX][64];
	const char *argv[8 + 4 * INST_MAX];
	char prog[256], port[16];
	int i, n = 0;

	snprintf(prog, sizeof(prog), "%s/standin/proxy", harness_build());
	snprintf(port, sizeof(port), "%d", PROXY_PORT);
	argv[n++] = prog;
	argv[n++] = "--address";
	argv[n++] = f->proxy_addr;
	argv[n++] = "--port";
	argv[n++] = port;
	for (i = 0; i < f->count; i++) {
		snprintf(maps[i], sizeof(maps[i]), "%s=%s",
		    f->list[i].advertised, f->list[i].addr);
		snprintf(groups[i], sizeof(groups[i]), "%s=%s", f->list[i].addr,
		    f->list[i].spec.domain);
		argv[n++] = "--map";
		argv[n++] = maps[i];
		argv[n++] = "--group";
		argv[n++] = groups[i];
	}
	argv[n] = NULL;
	f->proxy = proc_start("proxy", argv);
}

/*
 * Returns 1 once the log answers.
 */
static int
log_answers(void *ctx)
{
	json_t *j = fleet_log_state(ctx);
	int ok = j != NULL;

	json_decref(j);
	return ok;
}

/*
 * Starts the log, the proxy if there is one, all servers and all nodes.
 * Returns 0, or -1 if the log does not answer.
 */
int
fleet_start(struct fleet *f)
{
	char prog[256], port[16];
	const char *argv[] = { prog, "--address", f->log_addr, "--port", port,
		NULL };
	int i;

	snprintf(prog, sizeof(prog), "%s/standin/logsvc", harness_build());
	snprintf(port, sizeof(port), "%d", LOG_PORT);
	f->log = proc_start("log", argv);
	if (f->proxy != -1)
		proxy_start(f);
	if (wait_until(log_answers, f, START_MS) == -1)
		return -1;
	for (i = 0; i < f->count; i++) {
		fleet_node_start(f, i);
		fleet_server_start(f, i);
	}
	return 0;
}

/*
 * Appends a publication to the log as it is given.  Keeps the reference of
 * the configuration.  Returns 0 if the log took it, and its status.
 */
int
fleet_publish_raw(struct fleet *f, const char *id, int base, int version,
    json_t *conf, long *status)
{
	struct http_req rq;
	struct http_res rs;
	json_t *rec = json_pack("{s:s, s:i, s:i, s:s, s:O}", "id", id, "base",
	    base, "version", version, "author", "test", "config", conf);
	char *text = json_dumps(rec, JSON_COMPACT);

	json_decref(rec);
	http_req_init(
	    &rq, "http://%s:%d/streams/config", f->log_addr, LOG_PORT);
	rq.body = text;
	http_call(NULL, &rq, &rs);
	if (status != NULL)
		*status = rs.status;
	free(text);
	http_res_finish(&rs);
	return rs.status == 201 ? 0 : -1;
}

/*
 * Publishes a configuration as the next version.  Keeps the reference.
 */
int
fleet_publish(struct fleet *f, json_t *conf)
{
	char id[33];

	snprintf(id, sizeof(id), "%016llx%016llx",
	    (unsigned long long)rand_u64(), (unsigned long long)rand_u64());
	if (fleet_publish_raw(f, id, f->version, f->version + 1, conf, NULL))
		return -1;
	f->version++;
	return 0;
}

/*
 * Sends one request of a caller to a node.
 */
void
fleet_call(struct fleet *f, int i, const char *path, const char *key,
    struct http_res *rs)
{
	struct http_req rq;

	http_req_init(
	    &rq, "http://%s:%d%s", f->list[i].addr, CALLER_PORT, path);
	if (key != NULL)
		http_req_header(&rq, "Authorization: Bearer %s", key);
	http_call(NULL, &rq, rs);
}

/*
 * Returns 1 once every node that runs has answered a request with 200.
 */
static int
all_ready(void *ctx)
{
	struct readiness *r = ctx;
	struct http_res rs;
	int i;

	for (i = 0; i < r->fleet->count; i++) {
		if (!proc_running(r->fleet->list[i].node))
			continue;
		fleet_call(r->fleet, i, r->path, r->key, &rs);
		http_res_finish(&rs);
		if (!http_is(&rs, 200, NULL))
			return 0;
	}
	return 1;
}

/*
 * Waits until a path answers 200 through every node.
 */
int
fleet_ready(struct fleet *f, const char *path, const char *key, int ms)
{
	struct readiness r = { f, path, key };

	return wait_until(all_ready, &r, ms);
}

/*
 * Changes the faults of the log.
 */
void
fleet_log_control(struct fleet *f, const char *body)
{
	char url[64];

	snprintf(
	    url, sizeof(url), "http://%s:%d/control", f->log_addr, LOG_PORT);
	json_decref(http_json(url, body));
}

/*
 * Returns the counts of the log.
 */
json_t *
fleet_log_state(struct fleet *f)
{
	char url[64];

	snprintf(
	    url, sizeof(url), "http://%s:%d/control", f->log_addr, LOG_PORT);
	return http_json(url, NULL);
}

/*
 * Asks for a page of a server's control.
 */
static json_t *
server_page(struct fleet *f, int i, const char *page, const char *body)
{
	char url[96];

	snprintf(url, sizeof(url), "http://%s:%d/control%s", f->list[i].addr,
	    SERVER_PORT, page);
	return http_json(url, body);
}

/*
 * Changes the faults of a server.
 */
void
fleet_server_control(struct fleet *f, int i, const char *body)
{
	json_decref(server_page(f, i, "", body));
}

/*
 * Returns the counts of a server.
 */
json_t *
fleet_server_state(struct fleet *f, int i)
{
	return server_page(f, i, "", NULL);
}

/*
 * Returns the counts and the runs of a server.
 */
json_t *
fleet_runs(struct fleet *f, int i)
{
	return server_page(f, i, "/runs", NULL);
}

/*
 * Returns a node's dump as text, to be freed, or NULL.
 */
char *
fleet_dump(struct fleet *f, int i)
{
	struct http_req rq;
	struct http_res rs;

	http_req_init(&rq, "http://%s:%d/dump", f->list[i].addr, OPERATOR_PORT);
	http_call(NULL, &rq, &rs);
	return rs.body;
}

/*
 * Returns all bytes that a server received, to be freed, or NULL.
 */
char *
fleet_received(struct fleet *f, int i)
{
	struct http_req rq;
	struct http_res rs;

	http_req_init(
	    &rq, "http://%s:%d/control/headers", f->list[i].addr, SERVER_PORT);
	http_call(NULL, &rq, &rs);
	return rs.body;
}

/*
 * Changes the faults of the way from one group to another, "*" for all.
 * `rule` is the rest of a JSON object, such as "\"cut\":true".
 */
void
fleet_link(struct fleet *f, const char *from, const char *to, const char *rule)
{
	char url[64], body[256];

	snprintf(url, sizeof(url), "http://%s:%d/control", f->proxy_addr,
	    PROXY_PORT);
	snprintf(body, sizeof(body), "{\"from\":\"%s\",\"to\":\"%s\",%s}", from,
	    to, rule);
	json_decref(http_json(url, body));
}

/*
 * Prints where the standard errors of all processes are, for a failed test.
 */
void
fleet_show(struct fleet *f)
{
	int i;

	for (i = 0; i < f->count; i++)
		fprintf(stderr, "%s %s: %s\n", f->list[i].addr,
		    f->list[i].spec.domain, proc_errors(f->list[i].node));
}
