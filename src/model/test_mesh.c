#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "model/model.h"

#define SEEDS 3

/*
 * A service whose runs on one route make no call and on another five calls to a
 * service that loses three of its four servers.
 */
static const char mesh[] =
    "{"
    "\"seconds\": 30, \"hop_ms\": 0.9,"
    "\"services\": ["
    "{\"name\": \"gallery\", \"servers\": 4, \"slots\": 93},"
    "{\"name\": \"payments\", \"servers\": 4, \"slots\": 93},"
    "{\"name\": \"calendar\", \"servers\": 4, \"slots\": 93},"
    "{\"name\": \"booking\", \"servers\": 4, \"slots\": 28}],"
    "\"kinds\": ["
    "{\"name\": \"view\", \"service\": \"gallery\", \"class\": 2,"
    "\"per_s\": 152, \"work_ms\": 160, \"target_ms\": 1500,"
    "\"deadline_ms\": 6000, \"timeout_ms\": 1000, \"worth\": 1,"
    "\"late_worth\": 0.3, \"calls\": [{\"kind\": \"ledger\"}]},"
    "{\"name\": \"deposit\", \"service\": \"payments\","
    "\"class\": 0, \"per_s\": 81, \"work_ms\": 210,"
    "\"target_ms\": 2000, \"deadline_ms\": 6000,"
    "\"timeout_ms\": 1200, \"worth\": 3, \"late_worth\": 0.6,"
    "\"idempotent\": false, \"calls\": [{\"kind\": \"roster\","
    "\"times\": 2}]},"
    "{\"name\": \"slots\", \"service\": \"calendar\","
    "\"class\": 2, \"per_s\": 57, \"work_ms\": 400,"
    "\"target_ms\": 1200, \"deadline_ms\": 5000,"
    "\"timeout_ms\": 2500, \"worth\": 1, \"late_worth\": 0.3},"
    "{\"name\": \"confirm\", \"service\": \"booking\","
    "\"class\": 2, \"per_s\": 21, \"work_ms\": 130,"
    "\"target_ms\": 400, \"deadline_ms\": 1500,"
    "\"timeout_ms\": 800, \"worth\": 1, \"late_worth\": 0.3,"
    "\"idempotent\": false},"
    "{\"name\": \"ledger\", \"service\": \"payments\","
    "\"work_ms\": 15, \"deadline_ms\": 3000,"
    "\"calls\": [{\"kind\": \"roster\"}]},"
    "{\"name\": \"roster\", \"service\": \"calendar\","
    "\"work_ms\": 15, \"deadline_ms\": 2500,"
    "\"calls\": [{\"kind\": \"profile\", \"times\": 5,"
    "\"together\": true}]},"
    "{\"name\": \"profile\", \"service\": \"booking\","
    "\"work_ms\": 40, \"deadline_ms\": 700}],"
    "\"workspaces\": [{\"name\": \"all\", \"share\": 1,"
    "\"rate\": 0, \"burst\": 0}],"
    "\"troubles\": [{\"kind\": \"down\", \"at_s\": 8,"
    "\"for_s\": 14, \"share\": 0.75, \"service\": \"booking\"}]"
    "}";

#define DEPOSIT 1
#define SLOTS 2

/*
 * Overload of a service that only some routes of another one call: requests on
 * the other routes go on being served, and the most important get the room.
 */
static void
test_independent_routes_are_served(void **state)
{
	static struct model_result r;
	static struct model_load l;
	struct finds finds;
	json_t *root = json_loads(mesh, 0, NULL);
	double slots = 0, deposits = 0, all = 0;
	uint32_t seed;

	(void)state;
	assert_non_null(root);
	finds_init(&finds);
	assert_int_equal(model_read(root, &l, &finds), 0);
	finds_finish(&finds);
	json_decref(root);
	l.policies.throttle = l.policies.retries = 1;
	l.policies.near_first = l.policies.chains = 1;
	for (seed = 1; seed <= SEEDS; seed++) {
		model_run(&l, seed, &r);
		all += model_share(&r.all) / SEEDS;
		slots += model_share(&r.kinds[SLOTS]) / SEEDS;
		deposits += model_share(&r.kinds[DEPOSIT]) / SEEDS;
	}
	print_message(
	    "all %.3f, slots %.3f, deposits %.3f\n", all, slots, deposits);
	assert_true(slots >= 0.95);
	assert_true(deposits >= all);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_independent_routes_are_served),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
