#include <err.h>
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../path/figures.h"
#include "../path/std.h"
#include "base/clock.h"

/*
 * Measures the decisions under load and faults: every scenario runs with all
 * policies and without any, in the same run.
 */

/* A server starts cold with policies, and what is calm has to end. */
#define WARM_MS (10000 + FIGURES_ENDS_MS)
#define WARM_OFF_MS (4000 + FIGURES_ENDS_MS)
#define CALM 0.6  /* of capacity, before and after the trigger */
#define SURGE 2.0 /* of capacity */
#define AFTER_MS 4000
#define SMALL_COUNT 40
#define SMALL_RATE 3.0 /* of 4 a second that each may have */
#define NOISY 5.0      /* times its rate */
#define WITHIN 0.8     /* of their rate, the others */
#define FREEZE_MS 3000
#define KILLED 5 /* the instance whose server is killed */
#define FROZEN 9 /* the instance whose node is frozen */
#define ALL_POLICIES \
	"admission,retry-budget,routing,ejection,quarantine,precheck"

enum scenario_id {
	SCENARIO_SURGE,
	SCENARIO_SURGE_BRAZOS,
	SCENARIO_DEEP,
	SCENARIO_NOISY,
	SCENARIO_OUTAGE,
	SCENARIO_KILLED,
	SCENARIO_DOMAIN,
	SCENARIO_STAY,
	SCENARIO_POISON,
	SCENARIO_SMALL,
	SCENARIO_LADDER,
	SCENARIO_MAX
};

struct run {
	struct fleet fleet;
	struct openload load;
	const struct world *world;
	const struct scenario *scenario;
	const char *off;
	uint32_t on_ms;	 /* when the trigger began */
	uint32_t off_ms; /* and ended */
};

/*
 * One scenario.  begin() and end() pull the trigger; prepare() changes the
 * flows beforehand; lost() tells the capacity (requests a second) that the
 * trigger takes away, in the mean of the time that goodput looks at.  Any may
 * be NULL.
 */
struct scenario {
	const char *name;
	const struct world *world;
	double surge; /* load factor during the trigger */
	double rate;  /* all workspaces' rates, of capacity */
	int small;    /* workspaces with a burst of 2 */
	void (*prepare)(struct run *);
	void (*begin)(struct run *);
	void (*during)(struct run *);
	void (*end)(struct run *);
	double (*lost)(const struct run *);
};

static void prepare_deep(struct run *);
static void prepare_noisy(struct run *);
static void prepare_small(struct run *);
static void begin_deep(struct run *);
static void end_deep(struct run *);
static void begin_outage(struct run *);
static void end_outage(struct run *);
static void begin_killed(struct run *);
static void end_killed(struct run *);
static double lost_killed(const struct run *);
static void prepare_stay(struct run *);
static void begin_domain(struct run *);
static void end_domain(struct run *);
static void during_poison(struct run *);
static void end_poison(struct run *);

static const struct scenario scenarios[SCENARIO_MAX] = {
	[SCENARIO_SURGE] = { "surge", &world_qarta, SURGE, 10, 0, NULL, NULL,
	    NULL, NULL, NULL },
	[SCENARIO_SURGE_BRAZOS] = { "surge-brazos", &world_brazos, SURGE, 10, 0,
	    NULL, NULL, NULL, NULL, NULL },
	[SCENARIO_DEEP] = { "deep-slow", &world_qarta, CALM, 10, 0,
	    prepare_deep, begin_deep, NULL, end_deep, NULL },
	[SCENARIO_NOISY] = { "noisy", &world_brazos, 1, CALM, 0, prepare_noisy,
	    NULL, NULL, NULL, NULL },
	[SCENARIO_OUTAGE] = { "log-out", &world_qarta, SURGE, 10, 0, NULL,
	    begin_outage, NULL, end_outage, NULL },
	[SCENARIO_KILLED] = { "killed", &world_qarta, SURGE, 10, 0, NULL,
	    begin_killed, NULL, end_killed, lost_killed },
	[SCENARIO_DOMAIN] = { "domain-cut", &world_brazos, SURGE, 10, 0, NULL,
	    begin_domain, NULL, end_domain, NULL },
	[SCENARIO_STAY] = { "domain-stay", &world_brazos, SURGE, 10, 0,
	    prepare_stay, begin_domain, NULL, end_domain, NULL },
	[SCENARIO_POISON] = { "poison", &world_qarta, SURGE, 10, 0, NULL, NULL,
	    during_poison, end_poison, NULL },
	[SCENARIO_SMALL] = { "small", &world_brazos, CALM, 10, SMALL_COUNT,
	    prepare_small, NULL, NULL, NULL, NULL },
	[SCENARIO_LADDER] = { "ladder", &world_qarta, 1, 10, 0, NULL, NULL,
	    NULL, NULL, NULL },
};

static const char *const policies[] = { "admission", "retry-budget", "routing",
	"ejection", "quarantine", "precheck" };

static const double ladder[] = { 1, 2, 3, 4 };

static int surge_ms = 5000;
static uint64_t seed = 1;
static int proxied = 1;

/*
 * Catalogue requests call pricing, two levels down.
 */
static void
prepare_deep(struct run *r)
{
	size_t i;

	for (i = 0; i < r->load.flow_count; i++) {
		struct ol_flow *f = &r->load.flows[i];

		if (strcmp(f->path, "/catalogue/x") == 0)
			snprintf(f->path, sizeof(f->path),
			    "/catalogue/x?call=/pricing/deep");
		if (strncmp(f->path, "/pricing", 8) == 0)
			f->rate *= 0.5;
	}
}

/*
 * The deep service slows five times.
 */
static void
begin_deep(struct run *r)
{
	world_slow(&r->fleet, "pricing", 500);
}

/*
 * The deep service is as fast as before.
 */
static void
end_deep(struct run *r)
{
	world_slow(&r->fleet, "pricing", 100);
}

/*
 * All workspaces stay within their rates but the third, which surges.
 */
static void
prepare_noisy(struct run *r)
{
	size_t i;

	for (i = 0; i < r->load.flow_count; i++) {
		struct ol_flow *f = &r->load.flows[i];

		f->rate *= CALM * WITHIN;
		f->surges = 0;
		if (f->workspace == 2) {
			f->noisy = 1;
			f->surges = 1;
			f->rate *= NOISY / WITHIN;
		}
	}
}

/*
 * Many small workspaces send at equal intervals, well within their rates.
 */
static void
prepare_small(struct run *r)
{
	int i;

	for (i = 0; i < SMALL_COUNT; i++) {
		struct ol_flow *f = &r->load.flows[r->load.flow_count++];

		memset(f, 0, sizeof(*f));
		snprintf(f->path, sizeof(f->path), "/pricebook/small");
		world_key(WORLD_WORKSPACES + i, f->key, sizeof(f->key));
		f->rate = SMALL_RATE;
		f->paced = 1;
		f->workspace = WORLD_WORKSPACES + i;
		f->important = 1;
	}
}

/*
 * The log is out.
 */
static void
begin_outage(struct run *r)
{
	fleet_log_control(&r->fleet, "{\"outage\":true}");
}

/*
 * The log is back.
 */
static void
end_outage(struct run *r)
{
	fleet_log_control(&r->fleet, "{\"outage\":false}");
}

/*
 * A server is killed, and a node is frozen for a while.
 */
static void
begin_killed(struct run *r)
{
	proc_kill(r->fleet.list[KILLED].server);
	proc_signal(r->fleet.list[FROZEN].node, SIGSTOP);
	usleep(FREEZE_MS * 1000);
	proc_signal(r->fleet.list[FROZEN].node, SIGCONT);
}

/*
 * The platform has replaced the server.
 */
static void
end_killed(struct run *r)
{
	fleet_server_start(&r->fleet, KILLED);
}

/*
 * The killed server's part is gone throughout, the frozen node's until it
 * thaws.
 */
static double
lost_killed(const struct run *r)
{
	double frozen = (double)(FREEZE_MS - FIGURES_RAMP_MS) /
			(surge_ms - FIGURES_RAMP_MS);
	const struct inst *in = r->fleet.list;

	return world_server_capacity(r->world, in[KILLED].spec.service) +
	       frozen *
		   world_server_capacity(r->world, in[FROZEN].spec.service);
}

/*
 * Callers stay with the node that they sent to first.
 */
static void
prepare_stay(struct run *r)
{
	r->load.stays = 1;
}

/*
 * Nothing passes between one failure domain and the others.  Within it, and
 * from callers to its nodes, everything does.
 */
static void
begin_domain(struct run *r)
{
	fleet_link(&r->fleet, "da", "db", "\"cut\":true");
	fleet_link(&r->fleet, "da", "dc", "\"cut\":true");
	fleet_link(&r->fleet, "db", "da", "\"cut\":true");
	fleet_link(&r->fleet, "dc", "da", "\"cut\":true");
}

/*
 * The failure domain is back.
 */
static void
end_domain(struct run *r)
{
	world_delays(&r->fleet, r->world);
}

/*
 * Sends a poisonous request again, and restarts what died of it.
 */
static void
during_poison(struct run *r)
{
	char key[48];
	struct http_res rs;

	world_key(0, key, sizeof(key));
	fleet_call(&r->fleet, (int)(rand_u64() % (uint64_t)r->fleet.count),
	    "/pricing/poison-pill", key, &rs);
	http_res_finish(&rs);
	world_restart_dead(&r->fleet);
}

/*
 * The last of the dead are replaced.
 */
static void
end_poison(struct run *r)
{
	world_restart_dead(&r->fleet);
}

/*
 * Starts the fleet and publishes the configuration of a scenario.
 */
static int
run_start(struct run *r)
{
	double rate = world_capacity(r->world) * r->scenario->rate;
	json_t *conf = world_conf(r->world, rate, r->scenario->small);
	int rc;

	harness_init();
	rc = world_start(&r->fleet, r->world, r->off, proxied);
	if (rc == 0)
		rc = fleet_publish(&r->fleet, conf);
	json_decref(conf);
	world_quicken(&r->fleet, r->world, 1);
	if (rc == 0)
		rc = world_ready(&r->fleet, r->world);
	world_quicken(&r->fleet, r->world, 100);
	if (rc == 0)
		world_delays(&r->fleet, r->world);
	return rc;
}

/*
 * Passes the time of the trigger.
 */
static void
pass(struct run *r, uint32_t until)
{
	while (openload_now(&r->load) < until) {
		if (r->scenario->during != NULL)
			r->scenario->during(r);
		usleep(100000);
	}
}

/*
 * Runs the load through calm, trigger and calm again.
 */
static void
run_load(struct run *r)
{
	const struct scenario *s = r->scenario;

	openload_init(&r->load, &r->fleet);
	r->load.seed = seed;
	world_flows(&r->load, r->world, WORLD_WORKSPACES);
	openload_factor(&r->load, CALM);
	if (s->prepare != NULL)
		s->prepare(r);
	if (s->prepare == prepare_noisy)
		openload_factor(&r->load, 1 / NOISY);
	openload_start(&r->load);
	usleep((r->off[0] == '\0' ? WARM_MS : WARM_OFF_MS) * 1000);
	r->on_ms = openload_now(&r->load);
	openload_factor(&r->load, s->surge);
	if (s->begin != NULL)
		s->begin(r);
	pass(r, r->on_ms + (uint32_t)surge_ms);
	openload_factor(
	    &r->load, s->prepare == prepare_noisy ? 1 / NOISY : CALM);
	if (s->end != NULL)
		s->end(r);
	r->off_ms = openload_now(&r->load);
	usleep(AFTER_MS * 1000);
	openload_stop(&r->load);
}

/*
 * Prints why attempts were refused.
 */
static void
print_reasons(const struct openload *l)
{
	size_t i;

	printf("    refused attempts:");
	for (i = 0; i < OL_REASONS; i++)
		if (l->reasons[i] > 0)
			printf(" %s %llu",
			    openload_reason(i)[0] == '\0' ? "other"
							  : openload_reason(i),
			    (unsigned long long)l->reasons[i]);
	printf("\n");
}

/*
 * Prints one row of the table.
 */
static void
print_row(const struct run *r, const struct figures *f, const char *label)
{
	char rec[16];

	snprintf(rec, sizeof(rec), f->recovery_ms < 0 ? ">%ld" : "%ld",
	    f->recovery_ms < 0 ? (long)AFTER_MS - FIGURES_BUCKET_MS
			       : f->recovery_ms);
	printf("%-11s %-7s %-13s %7zu %6.1f %6.1f %6.1f %6.1f %6.1f %6s %6.1f "
	       "%7.3f %7.0f %7.0f %6llu\n",
	    r->scenario->name, r->world->name, label, f->requests,
	    100 * f->normal, 100 * f->caught, 100 * f->goodput,
	    100 * f->reachable, 100 * f->important, rec, 100 * f->worst,
	    100 * f->wrongful, f->p50_ms, f->p99_ms,
	    (unsigned long long)r->load.dropped);
	print_reasons(&r->load);
	fflush(stdout);
}

/*
 * Runs a scenario once, with some policies off, and prints its row.
 */
static int
run_once(const struct scenario *s, const char *off, const char *label)
{
	static struct run r;
	struct figures f;
	struct window w;

	memset(&r, 0, sizeof(r));
	r.scenario = s;
	r.world = s->world;
	r.off = off;
	if (run_start(&r) == -1) {
		printf("%-11s %-7s %-13s not run: no answers\n", s->name,
		    r.world->name, label);
		harness_finish();
		return -1;
	}
	run_load(&r);
	w.load = &r.load;
	w.on_ms = r.on_ms;
	w.off_ms = r.off_ms;
	w.after_ms = AFTER_MS;
	w.capacity = world_capacity(r.world);
	w.reachable = w.capacity - (s->lost != NULL ? s->lost(&r) : 0);
	w.rate = w.capacity * s->rate;
	w.small_only = s->small > 0;
	figures_get(&w, &f);
	print_row(&r, &f, label);
	openload_finish(&r.load);
	harness_finish();
	return 0;
}

/*
 * Runs the ladder: the load at one to four times the capacity, a step after
 * the other, and prints the goodput of each.
 */
static int
run_ladder(const struct scenario *s, const char *off, const char *label)
{
	static struct run r;
	uint32_t from;
	size_t i;

	memset(&r, 0, sizeof(r));
	r.scenario = s;
	r.world = s->world;
	r.off = off;
	if (run_start(&r) == -1) {
		harness_finish();
		return -1;
	}
	openload_init(&r.load, &r.fleet);
	r.load.seed = seed;
	world_flows(&r.load, r.world, WORLD_WORKSPACES);
	openload_factor(&r.load, CALM);
	openload_start(&r.load);
	usleep((off[0] == '\0' ? WARM_MS : WARM_OFF_MS) * 1000);
	from = openload_now(&r.load);
	for (i = 0; i < sizeof(ladder) / sizeof(ladder[0]); i++) {
		openload_factor(&r.load, ladder[i]);
		usleep((useconds_t)surge_ms * 500);
	}
	openload_stop(&r.load);
	printf("%-11s %-7s %-13s", s->name, r.world->name, label);
	for (i = 0; i < sizeof(ladder) / sizeof(ladder[0]); i++) {
		uint32_t step = (uint32_t)surge_ms / 2;
		uint32_t at = from + (uint32_t)i * step;

		printf("  %.0fx: %.1f", ladder[i],
		    100 *
			figures_goodput(
			    &r.load, at + FIGURES_RAMP_MS, at + step) /
			world_capacity(r.world));
	}
	printf("  %% of capacity, %llu not begun\n",
	    (unsigned long long)r.load.dropped);
	fflush(stdout);
	openload_finish(&r.load);
	harness_finish();
	return 0;
}

/*
 * Runs a scenario with and without all policies.
 */
static void
run_pair(const struct scenario *s)
{
	int (*run)(const struct scenario *, const char *, const char *) =
	    s == &scenarios[SCENARIO_LADDER] ? run_ladder : run_once;

	run(s, "", "on");
	run(s, ALL_POLICIES, "off");
}

static const struct option options[] = {
	{ "only", required_argument, NULL, 'o' },
	{ "seed", required_argument, NULL, 's' },
	{ "surge-ms", required_argument, NULL, 't' },
	{ "each-policy", no_argument, NULL, 'e' },
	{ "on-only", no_argument, NULL, 'n' },
	{ "no-proxy", no_argument, NULL, 'p' },
	{ NULL, 0, NULL, 0 },
};

/*
 * Runs all scenarios, or the one that --only names, and prints one table.
 */
int
main(int argc, char **argv)
{
	const char *only = NULL;
	int c, each = 0, on_only = 0;
	size_t i, k;

	while ((c = getopt_long(argc, argv, "", options, NULL)) != -1) {
		if (c == 'o')
			only = optarg;
		else if (c == 's')
			seed = strtoull(optarg, NULL, 10);
		else if (c == 't')
			surge_ms = (int)strtol(optarg, NULL, 10);
		else if (c == 'e')
			each = 1;
		else if (c == 'n')
			on_only = 1;
		else if (c == 'p')
			proxied = 0;
		else
			errx(2, "usage: scenarios [--only NAME] [--seed N] "
				"[--surge-ms N] [--each-policy] [--on-only] "
				"[--no-proxy]");
	}
	printf("seed %llu, surge %d ms, %ld processors\n",
	    (unsigned long long)seed, surge_ms, sysconf(_SC_NPROCESSORS_ONLN));
	printf("%-11s %-7s %-13s %7s %6s %6s %6s %6s %6s %6s %6s %7s %7s %7s "
	       "%6s\n",
	    "scenario", "world", "policies", "reqs", "calm%", "caugh%", "good%",
	    "left%", "impt%", "rec-ms", "worst%", "wrong%", "p50-ms", "p99-ms",
	    "unsent");
	for (i = 0; i < SCENARIO_MAX; i++) {
		if (only != NULL && strcmp(only, scenarios[i].name) != 0)
			continue;
		if (on_only)
			run_once(&scenarios[i], "", "on");
		else
			run_pair(&scenarios[i]);
		for (k = 0; each && k < sizeof(policies) / sizeof(policies[0]);
		     k++)
			run_once(&scenarios[i], policies[k], policies[k]);
	}
	return 0;
}
