#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "runlog.h"
#include "std.h"

/*
 * The contract with callers: docs/INTERFACES.md, "Caller to node".
 */

struct caller_case {
	const char *name;
	const char *method;
	const char *path;
	const char *key;
	const char *header;
	size_t body_len;
	long status;
	const char *outcome;
	const char *reason;
};

static const struct caller_case cases[] = {
	{ "key", NULL, "/page/1", ACME_KEY, NULL, 0, 200, "done", "" },
	{ "open", NULL, "/open/1", NULL, NULL, 0, 200, "done", "" },
	{ "open with a key", NULL, "/open/1", ACME_KEY, NULL, 0, 200, "done",
	    "" },
	{ "no key", NULL, "/page/x", NULL, NULL, 0, 401, "not-run", "no-key" },
	{ "wrong key", NULL, "/page/x", "nobody", NULL, 0, 401, "not-run",
	    "no-key" },
	{ "prefix of a key", NULL, "/page/x", "acme-key-5f1c9d2e7", NULL, 0,
	    401, "not-run", "no-key" },
	{ "no route", NULL, "/nowhere", ACME_KEY, NULL, 0, 404, "not-run",
	    "no-route" },
	{ "part of a segment", NULL, "/pages", ACME_KEY, NULL, 0, 404,
	    "not-run", "no-route" },
	{ "too large", "POST", "/page/x", ACME_KEY, NULL, 3 << 20, 413,
	    "not-run", "too-large" },
	{ "two lengths", NULL, "/page/x", ACME_KEY,
	    "Content-Length: 0\r\nContent-Length: 3", 0, 400, "not-run",
	    "bad-request" },
	{ "length not a number", NULL, "/page/x", ACME_KEY,
	    "Content-Length: 1x", 0, 400, "not-run", "bad-request" },
	{ "length and chunks", NULL, "/page/x", ACME_KEY,
	    "Content-Length: 3\r\nTransfer-Encoding: chunked", 0, 400,
	    "not-run", "bad-request" },
	{ "id too long", NULL, "/order/x", ACME_KEY,
	    "Idempotency-Key: "
	    "0123456789012345678901234567890123456789012345678901234567890123"
	    "0123456789012345678901234567890123456789012345678901234567890123"
	    "x",
	    0, 400, "not-run", "bad-request" },
	{ "forged inner headers", NULL, "/page/x", NULL,
	    "Cyclamen-Token: 00000000000000000000000000000000", 0, 401,
	    "not-run", "no-key" },
	{ "forged workspace", NULL, "/page/x", NULL, "Cyclamen-Workspace: acme",
	    0, 401, "not-run", "no-key" },
	{ "no time left", NULL, "/page/x", ACME_KEY, "Cyclamen-Timeout-Ms: 0",
	    0, 0, "not-run", NULL },
};

static struct fleet fleet;

/*
 * Starts two nodes and two servers in two failure domains.
 */
static int
setup(void **state)
{
	harness_setup(state);
	return std_start(&fleet, 2, 0);
}

/*
 * Sends the request of a case through a node and compares the answer.
 */
static void
check_case(const struct caller_case *c, int inst)
{
	struct http_req rq;
	struct http_res rs;
	char *body = NULL;

	http_req_init(
	    &rq, "http://%s:%d%s", fleet.list[inst].addr, CALLER_PORT, c->path);
	rq.method = c->method;
	if (c->key != NULL)
		http_req_header(&rq, "Authorization: Bearer %s", c->key);
	if (c->header != NULL)
		http_req_header(&rq, "%s", c->header);
	if (c->body_len > 0) {
		body = calloc(1, c->body_len);
		rq.body = body;
		rq.body_len = c->body_len;
	}
	http_call(NULL, &rq, &rs);
	if ((c->status != 0 && rs.status != c->status) ||
	    strcmp(rs.outcome, c->outcome) != 0 ||
	    (c->reason != NULL && strcmp(rs.reason, c->reason) != 0))
		fail_msg("%s: curl %d, status %ld, outcome %s, reason %s",
		    c->name, (int)rs.code, rs.status, rs.outcome, rs.reason);
	http_res_finish(&rs);
	free(body);
}

/*
 * Every row of the table gets its status, outcome and reason, through both
 * nodes.
 */
static void
test_table(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		check_case(&cases[i], 0);
		check_case(&cases[i], 1);
	}
}

/*
 * Nothing that was refused as not run reached a server; the path /page/x
 * is only used by refused requests.
 */
static void
test_not_run(void **state)
{
	struct runlog rl;

	(void)state;
	runlog_init(&rl);
	runlog_read(&rl, &fleet);
	assert_int_equal(runlog_count_path(&rl, "/page/x"), 0);
	assert_int_equal(runlog_count_path(&rl, "/order/x"), 0);
	assert_true(runlog_count_path(&rl, "/page/1") >= 2);
	runlog_finish(&rl);
}

/*
 * A workspace of 5 a second and burst 2 is refused with a time to wait once
 * it has used them, through both nodes together.
 */
static void
test_over_rate(void **state)
{
	struct runlog rl;
	struct http_res rs;
	int i, refused = 0;

	(void)state;
	for (i = 0; i < 20; i++) {
		fleet_call(&fleet, i % 2, "/page/s", SMALL_KEY, &rs);
		if (http_is(&rs, 429, "over-rate")) {
			refused++;
			assert_string_equal(rs.outcome, "not-run");
		} else
			assert_true(http_is(&rs, 200, NULL));
		http_res_finish(&rs);
	}
	assert_true(refused > 0);
	runlog_init(&rl);
	runlog_read(&rl, &fleet);
	assert_true(runlog_excess(&rl, "small", 5, 2) <= 0);
	runlog_finish(&rl);
}

/*
 * A body comes back whole, and large ones too.
 */
static void
test_whole(void **state)
{
	static const size_t sizes[] = { 1, 1000, 65536, 65537, 5000000 };
	char path[64];
	struct http_res rs;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		snprintf(path, sizeof(path), "/file/a?bytes=%zu&tag=%zu",
		    sizes[i], i + 1);
		fleet_call(&fleet, (int)(i % 2), path, ACME_KEY, &rs);
		assert_true(http_is(&rs, 200, NULL));
		assert_true(http_content_is(&rs, i + 1, sizes[i]));
		http_res_finish(&rs);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_table),
		cmocka_unit_test(test_not_run),
		cmocka_unit_test(test_over_rate),
		cmocka_unit_test(test_whole),
	};

	return cmocka_run_group_tests(tests, setup, harness_teardown);
}
