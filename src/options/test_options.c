#include <getopt.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "base/duration.h"
#include "options/options.h"

/*
 * A complete command line is accepted.  Each invalid or missing option gives
 * a finding.
 */
static void
test_command_line(void **state)
{
	static char *good[] = { "n", "--node=n1", "--zone=z", "--service=s",
		"--entry=127.0.0.1:1", "--exit=127.0.0.1:2",
		"--server=127.0.0.1:3", "--control=127.0.0.1:4",
		"--ready=127.0.0.1:5", "--store=127.0.0.1:6", "--fleet-port=7",
		"--revoke=5000ms", "--grace=6s", "--quota-overage=0.1",
		"--quota-slack=20", "--retry-ratio=0.2", "--retry-slack=49",
		"--memory-mb=260", "--descriptors=4100", NULL };
	static char *no_environment[] = { NULL };
	static char *bad[] = { "n", "--node=", "--entry=127.0.0.1",
		"--exit=host:2", "--revoke=5", "--quota-slack=many",
		"--fleet-port=70000", "--nonsense=1", NULL };
	struct node_options opts;
	struct finds finds;
	int n;

	(void)state;
	finds_init(&finds);
	for (n = 0; good[n] != NULL; n++)
		;
	assert_int_equal(
	    options_read(&opts, n, good, no_environment, &finds), 0);
	assert_int_equal(opts.grace_ms, 6000);
	assert_int_equal(opts.relay.stop_timeout_ms, 5000);
	assert_true(opts.relay.fresh_ms < 5000);
	assert_int_equal(opts.relay.apply_ms, 2000);
	assert_string_equal(opts.relay.node, "n1");
	assert_int_equal(
	    opts.relay.advertised.s_addr, opts.relay.exit.sin_addr.s_addr);
	for (n = 0; bad[n] != NULL; n++)
		;
	optind = 0;
	assert_int_equal(
	    options_read(&opts, n, bad, no_environment, &finds), -1);
	/* Seven options are invalid and twelve are missing. */
	assert_int_equal(finds.errors, 7 + 12);
	finds_finish(&finds);
}

/*
 * Settings that the command line doesn't give are read from the environment.
 * The command line has precedence.  A variable of no setting gives a finding.
 */
static void
test_environment(void **state)
{
	static char *flags[] = { "n", "--node=n1", "--zone=z", "--service=s",
		"--entry=127.0.0.1:1", "--exit=127.0.0.1:2",
		"--server=127.0.0.1:3", "--control=127.0.0.1:4",
		"--ready=127.0.0.1:5", "--store=127.0.0.1:6", "--revoke=5000ms",
		"--grace=6s", "--quota-overage=0.1", "--quota-slack=20",
		"--retry-ratio=0.2", "--retry-slack=49", "--memory-mb=260",
		NULL };
	static char *good[] = { "PATH=/bin", "CYCLAMENVALE_CONFIG=/boot.yaml",
		"CYCLAMENVALE_NODE_NODE=n2", "CYCLAMENVALE_NODE_FLEET_PORT=7",
		"CYCLAMENVALE_NODE_ADVERTISE=127.0.0.9",
		"CYCLAMENVALE_NODE_DESCRIPTORS=4100",
		"CYCLAMENVALE_NODE_FLEET_KEY=0123456789abcdef", NULL };
	static char *bad[] = { "CYCLAMENVALE_NODE_FLEET_PORT=none",
		"CYCLAMENVALE_NODE_DESCRIPTORS=4100",
		"CYCLAMENVALE_NODE_ADVERTISE=host", "CYCLAMENVALE_NODE_SPEED=9",
		"CYCLAMENVALE_NODE_FLEET_KEY=0123456789abcde",
		"CYCLAMENVALE_NODE_FLEET_KEY_OTHER=0123456789abcdef", NULL };
	struct node_options opts;
	struct finds finds;
	int n;

	(void)state;
	finds_init(&finds);
	for (n = 0; flags[n] != NULL; n++)
		;
	optind = 0;
	assert_int_equal(options_read(&opts, n, flags, good, &finds), 0);
	assert_string_equal(opts.relay.node, "n1");
	assert_int_equal(ntohs(opts.relay.fleet.sin_port), 7);
	assert_int_equal(opts.relay.descriptors, 4100);
	assert_int_equal(ntohl(opts.relay.advertised.s_addr), 0x7f000009);
	assert_string_equal(opts.relay.fleet_key, "0123456789abcdef");
	optind = 0;
	assert_int_equal(options_read(&opts, n, flags, bad, &finds), -1);
	/* The second key counts as well: the first is too short and not set. */
	assert_int_equal(finds.errors, 5);
	finds_finish(&finds);
}

/*
 * A duration needs a unit and a non-negative number.
 */
static void
test_duration_units(void **state)
{
	static const struct {
		const char *text;
		int rc;
		uint64_t ms;
	} rows[] = {
		{ "1500ms", 0, 1500 },
		{ "2.5s", 0, 2500 },
		{ "0ms", 0, 0 },
		{ "5", -1, 0 },
		{ "-1s", -1, 0 },
		{ "s", -1, 0 },
		{ "1 s", -1, 0 },
		{ "", -1, 0 },
	};
	uint64_t ms;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		ms = 0;
		assert_int_equal(duration_read(rows[i].text, &ms), rows[i].rc);
		assert_int_equal(ms, rows[i].ms);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_command_line),
		cmocka_unit_test(test_environment),
		cmocka_unit_test(test_duration_units),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
