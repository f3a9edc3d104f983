#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/clock.h"
#include "load.h"
#include "runlog.h"
#include "std.h"

/*
 * Retries for one request stay within a fixed bound across the whole chain.
 */

#define LEVELS 4
#define PER_LEVEL 2
#define RETRIES 3
#define REQUESTS 40

static const char *const services[LEVELS] = { "s1", "s2", "s3", "s4" };
static const char *const domains[3] = { "da", "db", "dc" };

static struct fleet fleet;

/*
 * Starts four services of two servers each, level n calling level n + 1.
 */
static int
setup(void **state)
{
	struct inst_spec spec = { .service_us = 2000 };
	struct route_spec route = {
		.idempotent = 1, .retries = RETRIES, .deadline_ms = 4000
	};
	json_t *conf = conf_new();
	char name[LEVELS][8], prefix[LEVELS][8];
	int i, r;

	harness_setup(state);
	fleet_init(&fleet, 0);
	for (i = 0; i < LEVELS * PER_LEVEL; i++) {
		spec.service = services[i / PER_LEVEL];
		spec.domain = domains[i % 3];
		fleet_add(&fleet, &spec);
	}
	for (i = 0; i < LEVELS; i++) {
		snprintf(name[i], sizeof(name[i]), "l%d", i + 1);
		snprintf(prefix[i], sizeof(prefix[i]), "/l%d", i + 1);
		route.name = name[i];
		route.prefix = prefix[i];
		route.service = services[i];
		conf_route(conf, &route);
	}
	conf_workspace(conf, "acme", ACME_KEY, 5000, 5000);
	r = fleet_start(&fleet);
	if (r == 0)
		r = fleet_publish(&fleet, conf);
	for (i = 0; i < LEVELS && r == 0; i++)
		r = fleet_ready(&fleet, prefix[i], ACME_KEY, STD_READY_MS);
	json_decref(conf);
	return r;
}

/*
 * Sets the faults of all servers at a level.
 */
static void
level_control(int level, const char *body)
{
	int i;

	for (i = 0; i < PER_LEVEL; i++)
		fleet_server_control(&fleet, level * PER_LEVEL + i, body);
}

/*
 * Sends requests down the chain while one level fails, and returns the most
 * runs that one request caused at any level, and in *total at all levels.
 */
static size_t
runs_with_failure(int level, const char *fault, size_t *total)
{
	struct runlog rl;
	struct http_res rs;
	char path[128], own[72], ctl[64];
	size_t n, worst = 0, all;
	int i, k;

	snprintf(ctl, sizeof(ctl), "{\"fault\":\"%s\"}", fault);
	level_control(level, ctl);
	*total = 0;
	for (i = 0; i < REQUESTS; i++) {
		snprintf(path, sizeof(path),
		    "/l1/%d.%s.%d?call=/l2/%d.%s.%d,/l3/%d.%s.%d,/l4/%d.%s.%d",
		    level, fault, i, level, fault, i, level, fault, i, level,
		    fault, i);
		fleet_call(&fleet, i % fleet.count, path, ACME_KEY, &rs);
		http_res_finish(&rs);
	}
	level_control(level, "{\"fault\":\"none\"}");
	runlog_init(&rl);
	runlog_read(&rl, &fleet);
	for (i = 0; i < REQUESTS; i++) {
		for (all = 0, k = 0; k < LEVELS; k++) {
			size_t e;

			snprintf(own, sizeof(own), "/l%d/%d.%s.%d", k + 1,
			    level, fault, i);
			for (n = 0, e = 0; e < rl.count; e++)
				n += strcmp(rl.list[e].path, own) == 0;
			all += n;
			if (n > worst)
				worst = n;
		}
		if (all > *total)
			*total = all;
	}
	runlog_finish(&rl);
	return worst;
}

/*
 * With any level failing in any way, no level runs more than 1 + R times
 * for one request, and all levels together not more than one run each and R
 * chains from the top.
 */
static void
test_bound(void **state)
{
	static const char *const faults[] = { "lost", "cut", "error" };
	size_t worst, total, k;
	int level;

	(void)state;
	for (level = 0; level < LEVELS; level++)
		for (k = 0; k < sizeof(faults) / sizeof(faults[0]); k++) {
			worst = runs_with_failure(level, faults[k], &total);
			print_message("level %d %s: at most %zu runs at a "
				      "level, %zu in all\n",
			    level + 1, faults[k], worst, total);
			assert_true(worst <= 1 + RETRIES);
			assert_true(total <= LEVELS * (1 + RETRIES));
		}
}

/*
 * The same with backend servers that send their inner calls again
 * themselves: their resends don't multiply down the chain.
 */
static void
test_bound_resending(void **state)
{
	size_t worst, total;
	int level;

	(void)state;
	for (level = 0; level < LEVELS; level++)
		level_control(level, "{\"inner_retries\":2}");
	worst = runs_with_failure(LEVELS - 1, "garbage", &total);
	print_message("resending servers: at most %zu runs at a level, %zu in "
		      "all\n",
	    worst, total);
	assert_true(worst <= 1 + RETRIES);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_bound),
		cmocka_unit_test(test_bound_resending),
	};

	return cmocka_run_group_tests(tests, setup, harness_teardown);
}
