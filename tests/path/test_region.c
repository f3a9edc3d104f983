#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/clock.h"
#include "load.h"
#include "runlog.h"
#include "std.h"

/*
 * A failure domain is lost, and two regions lose each other, with the log in
 * one of them.  What has the log goes on; a region without it refuses keyed
 * requests once it can't know of withdrawn keys; limits and ids hold across
 * both, and nothing reverts.
 */

#define NODES 8 /* the first half in region a, where the log is */
#define HALF (NODES / 2)
#define LOG_ALIAS_HOST 3
#define LOG_PROXY_HOST 4
#define NET_ADVERTISED 1
#define INTERVAL_US 25000
#define CALM_MS 2000
#define WITHDRAWN_MS 8000 /* freshness, log polls and requests under way */
#define APART "\"delay_us\":5000"
#define LOST_MS 10000
#define RECOVER_MS 20000
#define MID_RATE 60.0
#define MID_BURST 30.0
#define STALE_MS "4000"
#define ORDERS 40 /* in a row, over all partitions */
#define SECOND_KEY "acme-second-4410aa"

struct region_counts {
	uint64_t served;
	uint64_t refused;
	uint64_t other;
};

static struct fleet fleet;
static int log_proxy;
static char log_proxy_addr[ADDR_TEXT];
static struct region_counts counts[2];

/*
 * Starts the proxy by which region b reaches the log, on another address.
 */
static void
log_proxy_start(char *url, size_t size)
{
	char prog[256], alias[ADDR_TEXT], map[64];
	const char *argv[] = { prog, "--address", log_proxy_addr, "--port",
		"7001", "--map", map, "--tcp-port", "7000", "--udp-port",
		"7002", NULL };

	harness_address(NET_ADVERTISED, LOG_ALIAS_HOST, alias);
	harness_address(NET_ADVERTISED, LOG_PROXY_HOST, log_proxy_addr);
	snprintf(prog, sizeof(prog), "%s/standin/proxy", harness_build());
	snprintf(map, sizeof(map), "%s=%s", alias, fleet.log_addr);
	snprintf(url, size, "http://%s:%d", alias, LOG_PORT);
	log_proxy = proc_start("logproxy", argv);
}

/*
 * Sets the rule of the ways between the regions, and of region b's to the
 * log.
 */
static void
between(const char *rule)
{
	static const char *const domains[2][2] = { { "a1", "a2" },
		{ "b1", "b2" } };
	char url[64], body[96];
	int i, j;

	for (i = 0; i < 2; i++) {
		for (j = 0; j < 2; j++) {
			fleet_link(&fleet, domains[0][i], domains[1][j], rule);
			fleet_link(&fleet, domains[1][i], domains[0][j], rule);
		}
	}
	snprintf(url, sizeof(url), "http://%s:7001/control", log_proxy_addr);
	snprintf(body, sizeof(body), "{\"from\":\"*\",\"to\":\"*\",%s}", rule);
	json_decref(http_json(url, body));
}

/*
 * Starts two regions of two failure domains with two instances each.
 */
static int
setup(void **state)
{
	static const char *const domains[NODES] = { "a1", "a1", "a2", "a2",
		"b1", "b1", "b2", "b2" };
	static char url[64];
	struct inst_spec spec = { .service = "web", .service_us = 2000 };
	json_t *conf = std_conf();
	int i, r;

	harness_setup(state);
	fleet_init(&fleet, 1);
	log_proxy_start(url, sizeof(url));
	for (i = 0; i < NODES; i++) {
		const char *const args[EXTRA_MAX] = { "--region",
			i < HALF ? "a" : "b", "--config-stale-ms", STALE_MS,
			"--lease-region", "a", i < HALF ? NULL : "--log-url",
			url, NULL };

		spec.domain = domains[i];
		memcpy(spec.node_args, args, sizeof(args));
		fleet_add(&fleet, &spec);
	}
	conf_key(conf, "acme", "k2", SECOND_KEY);
	r = fleet_start(&fleet);
	if (r == 0) {
		between(APART);
		r = fleet_publish(&fleet, conf);
	}
	json_decref(conf);
	if (r == 0)
		r = fleet_ready(&fleet, "/page/r", SECOND_KEY, STD_READY_MS);
	if (r == 0)
		r = std_orders_ready(&fleet, STD_READY_MS);
	return r;
}

/*
 * Gives an order an id that shows when it was made (UUID version 7).
 */
static void
add_id(struct http_req *rq)
{
	struct timespec ts;
	uint64_t ms, r = rand_u64();

	clock_gettime(CLOCK_REALTIME, &ts);
	ms = (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
	http_req_header(rq,
	    "Idempotency-Key: %08llx-%04llx-7%03llx-8%03llx-%012llx",
	    (unsigned long long)(ms >> 16), (unsigned long long)(ms & 0xffff),
	    (unsigned long long)(r & 0xfff),
	    (unsigned long long)(r >> 12 & 0xfff),
	    (unsigned long long)(rand_u64() & 0xffffffffffff));
}

/*
 * Fills in a request through the thread's node: in turn a page with the key
 * that will be withdrawn, an order with an id, and a page over the rate.
 */
static int
traffic_request(void *ctx, int thread, uint64_t seq, struct http_req *rq)
{
	static const char *const paths[] = { "page/second", "order/r",
		"page/mid" };
	static const char *const keys[] = { SECOND_KEY, ACME_KEY, MID_KEY };

	(void)ctx;
	http_req_init(rq, "http://%s:%d/%s", fleet.list[thread % NODES].addr,
	    CALLER_PORT, paths[seq % 3]);
	http_req_header(rq, "Authorization: Bearer %s", keys[seq % 3]);
	http_req_header(rq, "X-Attempt: t%llu.%d.%llu",
	    (unsigned long long)clock_us(), thread, (unsigned long long)seq);
	if (seq % 3 == 1) {
		add_id(rq);
		rq->body = "{}";
	}
	rq->timeout_ms = 1500;
	return 0;
}

/*
 * Counts the answers that each region's nodes gave.
 */
static void
traffic_answer(void *ctx, int thread, uint64_t seq, const struct http_req *rq,
    const struct http_res *rs)
{
	struct region_counts *c = &counts[thread % NODES >= HALF];

	(void)ctx;
	(void)seq;
	(void)rq;
	__atomic_add_fetch(http_is(rs, 200, NULL)		 ? &c->served
			   : strcmp(rs->outcome, "not-run") == 0 ? &c->refused
								 : &c->other,
	    1, __ATOMIC_RELAXED);
}

/*
 * Prints what each region's callers got in a phase and begins the next one.
 */
static void
phase_end(const char *what)
{
	int i;

	for (i = 0; i < 2; i++)
		print_message("%s, region %c: %llu served, %llu refused, %llu "
			      "other\n",
		    what, 'a' + i, (unsigned long long)counts[i].served,
		    (unsigned long long)counts[i].refused,
		    (unsigned long long)counts[i].other);
	memset(counts, 0, sizeof(counts));
}

/*
 * Returns 1 if many orders in a row are taken through the first nodes that
 * run, as many as are given.
 */
static int
takes_orders(void *ctx)
{
	const int *nodes = ctx;
	struct http_req rq;
	struct http_res rs;
	int i, ok = 1;

	for (i = 0; i < ORDERS && ok; i++) {
		if (!proc_running(fleet.list[i % *nodes].node))
			continue;
		http_req_init(&rq, "http://%s:%d/order/r",
		    fleet.list[i % *nodes].addr, CALLER_PORT);
		http_req_header(&rq, "Authorization: Bearer %s", ACME_KEY);
		add_id(&rq);
		rq.body = "{}";
		http_call(NULL, &rq, &rs);
		ok = http_is(&rs, 200, NULL);
		http_res_finish(&rs);
	}
	return ok;
}

/*
 * All nodes and servers of a failure domain are killed at once: within the
 * bound the others take every order again.
 */
static void
test_domain_lost(void **state)
{
	static int all = NODES;
	uint64_t began = clock_ms();
	int i, back;

	(void)state;
	for (i = 0; i < 2; i++) {
		proc_kill(fleet.list[i].node);
		proc_kill(fleet.list[i].server);
	}
	back = wait_until(takes_orders, &all, LOST_MS);
	print_message("orders taken again %llu ms after a domain was lost\n",
	    (unsigned long long)(clock_ms() - began));
	for (i = 0; i < 2; i++) {
		fleet_server_start(&fleet, i);
		fleet_node_start(&fleet, i);
	}
	assert_int_equal(back, 0);
	assert_int_equal(
	    fleet_ready(&fleet, "/page/r", ACME_KEY, STD_READY_MS), 0);
}

/*
 * Returns how many requests ran in the other region than they entered, and
 * how many with the withdrawn key in a time (us).
 */
static void
count_runs(const struct runlog *rl, uint64_t until_calm, uint64_t from,
    uint64_t *calm, uint64_t *crossed, uint64_t *late)
{
	const struct runlog_entry *e;
	const char *dot;
	size_t i;

	*calm = *crossed = *late = 0;
	for (i = 0; i < rl->count; i++) {
		e = &rl->list[i];
		if (strcmp(e->path, "/page/second") == 0 && e->us > from)
			(*late)++;
		dot = strchr(e->attempt, '.');
		if (dot == NULL || e->us > until_calm)
			continue;
		(*calm)++;
		*crossed += (strtol(dot + 1, NULL, 10) % NODES >= HALF) !=
			    (e->inst >= HALF);
	}
}

/*
 * The regions lose each other and find each other again.
 */
static void
test_cut(void **state)
{
	struct load l = { .threads = NODES,
		.interval_us = INTERVAL_US,
		.request = traffic_request,
		.answer = traffic_answer };
	static int half = HALF, all = NODES;
	json_t *conf = std_conf();
	uint64_t cut_us, withdrawn_us, calm, crossed, late;
	struct runlog rl;
	char id[72];
	int a_back, all_back, i;

	(void)state;
	assert_int_equal(load_start(&l), 0);
	usleep(CALM_MS * 1000);
	phase_end("calm");
	between("\"cut\":true");
	cut_us = clock_us();
	assert_int_equal(fleet_publish(&fleet, conf), 0);
	json_decref(conf);
	usleep(WITHDRAWN_MS * 1000);
	withdrawn_us = clock_us();
	phase_end("cut");
	a_back = wait_until(takes_orders, &half, LOST_MS);
	print_message("region a takes all orders %llu ms after the cut\n",
	    (unsigned long long)(clock_us() - cut_us) / 1000);
	phase_end("cut for longer");
	between(APART);
	all_back = fleet_ready(&fleet, "/page/r", ACME_KEY, RECOVER_MS);
	if (all_back == 0)
		all_back = wait_until(takes_orders, &all, RECOVER_MS);
	phase_end("healed");
	load_stop(&l);
	runlog_init(&rl);
	runlog_read(&rl, &fleet);
	count_runs(&rl, cut_us, withdrawn_us, &calm, &crossed, &late);
	print_message("%llu of %llu ran in the other region; %llu ran late "
		      "with the withdrawn key; certain excess %.2f\n",
	    (unsigned long long)crossed, (unsigned long long)calm,
	    (unsigned long long)late,
	    runlog_certain_excess(&rl, "mid", MID_RATE, MID_BURST));
	assert_int_equal(a_back, 0);
	assert_int_equal(all_back, 0);
	assert_true(calm > 100 && crossed * 20 < calm);
	assert_int_equal(late, 0);
	assert_true(
	    runlog_certain_excess(&rl, "mid", MID_RATE, MID_BURST) <= 0);
	assert_true(runlog_max_per_id(&rl, id, sizeof(id)) <= 1);
	runlog_finish(&rl);
	for (i = 0; i < NODES; i++)
		assert_int_equal(std_route_says(&fleet, i, "/page/second",
				     SECOND_KEY, 401, RECOVER_MS),
		    0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cut),
		cmocka_unit_test(test_domain_lost),
	};

	return cmocka_run_group_tests(tests, setup, harness_teardown);
}
