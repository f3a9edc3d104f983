#include <err.h>
#include <stdio.h>
#include <string.h>

#include "world.h"

#define DOMAINS 3
#define WORLD_READY_MS 30000
#define DEADLINE_SERVICES 3 /* service times in a deadline */
#define DEADLINE_EXTRA_MS 1000
#define QUEUE_TEXT 16
#define INNER_SPARE 16 /* threads of the inner port beyond the slots */
/*
 * A connection costs a thread here and one machine carries all servers, so
 * they take twice their slots and a few more, not all that they could.
 */
#define CONNECTIONS_SPARE 50

const struct world world_qarta = { "qarta", 1000,
	{
	    { "catalogue", 5, 65, 500, 1000, 0, "high", "low" },
	    { "orders", 4, 80, 600, 1000, 1, "critical", "normal" },
	    { "artwork", 3, 110, 750, 1200, 0, "high", "low" },
	    { "pricing", 3, 25, 250, 300, 0, "high", "normal" },
	} };

const struct world world_brazos = { "brazos", 1500,
	{
	    { "pricebook", 6, 100, 700, 1200, 0, "high", "low" },
	    { "quotedesk", 3, 200, 1300, 2000, 1, "critical", "normal" },
	    { "workbooks", 3, 200, 1300, 2400, 0, "high", "low" },
	    { "blendcalc", 3, 35, 300, 400, 0, "high", "normal" },
	} };

static const char *const domains[DOMAINS] = { "da", "db", "dc" };

/* Two large workspaces and six smaller ones. */
static const double shares[WORLD_WORKSPACES] = { 0.28, 0.24, 0.14, 0.1, 0.08,
	0.06, 0.05, 0.05 };

/*
 * Returns the part of all demand that one workspace has.
 */
double
world_share(int workspace)
{
	return shares[workspace];
}

/*
 * Writes the key of a workspace.
 */
void
world_key(int workspace, char *buf, size_t size)
{
	snprintf(buf, size, "world-key-of-workspace-%d", workspace);
}

/*
 * Returns the requests a second that a service can serve.
 */
double
world_service_capacity(const struct world_service *s)
{
	return s->servers * s->slots * 1000.0 / s->service_ms;
}

/*
 * Returns the requests a second that all services together can serve.
 */
double
world_capacity(const struct world *w)
{
	double sum = 0;
	int i;

	for (i = 0; i < WORLD_SERVICES; i++)
		sum += world_service_capacity(&w->services[i]);
	return sum;
}

/*
 * Returns the requests a second that one server of a service can serve.
 */
double
world_server_capacity(const struct world *w, const char *service)
{
	const struct world_service *s = w->services;

	while (strcmp(s->name, service) != 0)
		s++;
	return world_service_capacity(s) / s->servers;
}

/*
 * Adds the two routes of a service: important and bulk requests.
 */
static void
service_routes(json_t *conf, const struct world_service *s)
{
	char bulk[48], prefix[48], bulk_prefix[48];
	struct route_spec r = { .retries = 2 };

	snprintf(bulk, sizeof(bulk), "%s-bulk", s->name);
	snprintf(prefix, sizeof(prefix), "/%s", s->name);
	snprintf(bulk_prefix, sizeof(bulk_prefix), "/%s-bulk", s->name);
	r.name = s->name;
	r.prefix = prefix;
	r.service = s->name;
	r.idempotent = !s->orders;
	r.priority = s->important_class;
	r.deadline_ms = DEADLINE_SERVICES * s->service_ms + DEADLINE_EXTRA_MS;
	conf_route(conf, &r);
	r.name = bulk;
	r.prefix = bulk_prefix;
	r.idempotent = 1;
	r.priority = s->bulk_class;
	conf_route(conf, &r);
}

/*
 * Returns the configuration of a workload.  Rates are the workspaces' shares
 * of `rate`; `small` more workspaces have a rate of 4 and a burst of 2.
 */
json_t *
world_conf(const struct world *w, double rate, int small)
{
	json_t *conf = conf_new();
	char name[32], key[48];
	int i;

	for (i = 0; i < WORLD_SERVICES; i++)
		service_routes(conf, &w->services[i]);
	for (i = 0; i < WORLD_WORKSPACES; i++) {
		snprintf(name, sizeof(name), "w%d", i);
		world_key(i, key, sizeof(key));
		conf_workspace(conf, name, key, rate * shares[i],
		    (int)(2 * rate * shares[i]) + 1);
	}
	for (i = 0; i < small; i++) {
		snprintf(name, sizeof(name), "s%d", i);
		world_key(WORLD_WORKSPACES + i, key, sizeof(key));
		conf_workspace(conf, name, key, 4, 2);
	}
	return conf;
}

/*
 * Adds one flow.
 */
static void
flow_add(struct openload *l, const struct world_service *s, int service,
    int workspace, int important)
{
	struct ol_flow *f = &l->flows[l->flow_count++];
	double part = important ? WORLD_IMPORTANT : 1 - WORLD_IMPORTANT;

	memset(f, 0, sizeof(*f));
	snprintf(f->path, sizeof(f->path), "/%s%s/x", s->name,
	    important ? "" : "-bulk");
	world_key(workspace, f->key, sizeof(f->key));
	f->rate = world_service_capacity(s) * part * shares[workspace];
	f->order = important && s->orders;
	f->surges = 1;
	f->group = service;
	f->workspace = workspace;
	f->important = important;
}

/*
 * Adds the flows of a workload; at factor 1 they ask for its capacity.
 */
void
world_flows(struct openload *l, const struct world *w, int workspaces)
{
	int i, k;

	for (i = 0; i < WORLD_SERVICES; i++)
		for (k = 0; k < workspaces; k++) {
			flow_add(l, &w->services[i], i, k, 0);
			flow_add(l, &w->services[i], i, k, 1);
		}
}

/*
 * Starts all nodes and servers of a workload, with the named policies
 * turned off ("" for none).  Returns 0, or -1.
 */
int
world_start(
    struct fleet *f, const struct world *w, const char *off, int proxied)
{
	struct inst_spec spec;
	const struct world_service *s;
	static char queues[WORLD_SERVICES][QUEUE_TEXT];
	static char inner[WORLD_SERVICES][QUEUE_TEXT];
	int i, k, conns, n = 0;

	fleet_init(f, proxied);
	for (i = 0; i < WORLD_SERVICES; i++) {
		s = &w->services[i];
		conns = s->connections < 2 * s->slots + CONNECTIONS_SPARE
			    ? s->connections
			    : 2 * s->slots + CONNECTIONS_SPARE;
		snprintf(queues[i], QUEUE_TEXT, "%d", conns);
		snprintf(inner[i], QUEUE_TEXT, "%d", s->slots + INNER_SPARE);
		memset(&spec, 0, sizeof(spec));
		spec.service = s->name;
		spec.slots = s->slots;
		spec.connections = conns;
		spec.service_us = s->service_ms * 1000;
		spec.server_args[0] = "--queue";
		spec.server_args[1] = queues[i];
		spec.server_args[2] = "--fixed";
		spec.server_args[3] = "2";
		spec.server_args[4] = "--setup-us";
		spec.server_args[5] = "1000";
		spec.server_args[6] = "--keep-headers";
		spec.server_args[7] = "0";
		spec.node_args[0] = "--caller-connections";
		spec.node_args[1] = "256";
		spec.node_args[2] = "--peer-connections";
		spec.node_args[3] = "256";
		spec.node_args[4] = "--inner-connections";
		spec.node_args[5] = inner[i];
		spec.node_args[6] = off[0] == '\0' ? NULL : "--disable";
		spec.node_args[7] = off;
		for (k = 0; k < s->servers; k++) {
			spec.domain = domains[n++ % DOMAINS];
			fleet_add(f, &spec);
		}
	}
	return fleet_start(f);
}

/*
 * Slows a service by a factor.
 */
void
world_slow(struct fleet *f, const char *service, int percent)
{
	char ctl[64];
	int i;

	snprintf(ctl, sizeof(ctl), "{\"slow_percent\":%d}", percent);
	for (i = 0; i < f->count; i++)
		if (strcmp(f->list[i].spec.service, service) == 0)
			fleet_server_control(f, i, ctl);
}

/*
 * Sets the delays between failure domains, and lifts all cuts.
 */
void
world_delays(struct fleet *f, const struct world *w)
{
	char rule[64];
	int a, b;

	if (f->proxy == -1)
		return;
	snprintf(rule, sizeof(rule), "\"delay_us\":%d", w->delay_us);
	for (a = 0; a < 3; a++)
		for (b = 0; b < 3; b++)
			if (a != b)
				fleet_link(f, domains[a], domains[b], rule);
}

/*
 * Starts again the servers that have died.
 */
void
world_restart_dead(struct fleet *f)
{
	int i;

	for (i = 0; i < f->count; i++)
		if (!proc_running(f->list[i].server))
			fleet_server_start(f, i);
}

/*
 * Says what each node answers to a path that never became ready.
 */
static void
explain(struct fleet *f, const char *path, const char *key)
{
	struct http_res rs;
	int i;

	for (i = 0; i < f->count; i++) {
		fleet_call(f, i, path, key, &rs);
		warnx("%s%s: curl %d, status %ld, %s, %s", f->list[i].addr,
		    path, (int)rs.code, rs.status, rs.outcome, rs.reason);
		http_res_finish(&rs);
	}
}

/*
 * Waits until every service answers through every node.
 */
int
world_ready(struct fleet *f, const struct world *w)
{
	char path[64], key[48];
	int i;

	world_key(0, key, sizeof(key));
	for (i = 0; i < WORLD_SERVICES; i++) {
		snprintf(path, sizeof(path), "/%s-bulk/r", w->services[i].name);
		if (fleet_ready(f, path, key, WORLD_READY_MS) == -1) {
			explain(f, path, key);
			return -1;
		}
	}
	return 0;
}

/*
 * Sets the service times of all servers to a percentage of the usual ones,
 * so that the start does not take long.
 */
void
world_quicken(struct fleet *f, const struct world *w, int percent)
{
	int i;

	for (i = 0; i < WORLD_SERVICES; i++)
		world_slow(f, w->services[i].name, percent);
}
