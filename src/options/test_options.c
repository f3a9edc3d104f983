#include <getopt.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "base/duration.h"
#include "options/options.h"

/*
 * Wrong settings are all found; a whole set is taken.
 */
static void
test_settings(void **state)
{
	static char *good[] = { "n", "--node=n1", "--zone=z", "--service=s",
		"--entry=127.0.0.1:1", "--exit=127.0.0.1:2",
		"--server=127.0.0.1:3", "--control=127.0.0.1:4",
		"--ready=127.0.0.1:5", "--store=127.0.0.1:6", "--fleet-port=7",
		"--revoke=5000ms", "--grace=6s", "--quota-overage=0.1",
		"--quota-slack=20", "--retry-ratio=0.2", "--retry-slack=49",
		"--memory-mb=260", "--descriptors=4100", NULL };
	static char *bad[] = { "n", "--node=", "--entry=127.0.0.1",
		"--exit=host:2", "--revoke=5", "--quota-slack=many",
		"--fleet-port=70000", "--nonsense=1", NULL };
	struct node_options set;
	struct finds finds;
	int n;

	(void)state;
	finds_init(&finds);
	for (n = 0; good[n] != NULL; n++)
		;
	assert_int_equal(options_read(&set, n, good, &finds), 0);
	assert_int_equal(set.grace_ms, 6000);
	assert_true(set.relay.fresh_ms < 5000);
	assert_string_equal(set.relay.node, "n1");
	for (n = 0; bad[n] != NULL; n++)
		;
	optind = 0;
	assert_int_equal(options_read(&set, n, bad, &finds), -1);
	/* Seven wrong ones, and twelve missing. */
	assert_int_equal(finds.errors, 7 + 12);
	finds_finish(&finds);
}

/*
 * Times have a unit.
 */
static void
test_duration(void **state)
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
		cmocka_unit_test(test_settings),
		cmocka_unit_test(test_duration),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
