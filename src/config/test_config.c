#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "config/config.h"

#define ID "00112233445566778899aabbccddeeff"
#define HASH_A \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define ROUTE(n, p)                                                   \
	"{\"name\":\"" n "\",\"prefix\":\"" p "\",\"service\":\"s\"," \
	"\"idempotent\":true,\"class\":\"normal\",\"deadline_ms\":100}"
#define CONF(r) "{\"routes\":[" r "],\"workspaces\":[]}"
#define PUB(b, v)                                            \
	"{\"id\":\"" ID "\",\"base\":" #b ",\"version\":" #v \
	",\"author\":\"t\",\"config\":" CONF(ROUTE("a", "/a")) "}"
#define SNAP(v)                              \
	"{\"id\":\"" ID "\",\"version\":" #v \
	",\"snapshot\":true,\"config\":" CONF(ROUTE("a", "/a")) "}"

struct step {
	uint64_t first; /* gap to note before, with next = 100; 0: none */
	const char *record;
	enum config_outcome outcome;
	uint64_t version; /* in force afterwards */
};

/*
 * Drives one reader through steps and checks each outcome.
 */
static void
drive(const struct step *st, size_t n)
{
	struct config_state s;
	struct config *old;
	struct finds fs;
	size_t i;

	config_state_init(&s);
	for (i = 0; i < n; i++) {
		finds_init(&fs);
		if (st[i].first != 0)
			config_state_gap(&s, st[i].first, 100);
		assert_int_equal(config_state_apply(&s, s.next, st[i].record,
				     strlen(st[i].record), &old, &fs),
		    st[i].outcome);
		config_free(old);
		assert_int_equal(
		    s.cur != NULL ? s.cur->version : 0, st[i].version);
		finds_finish(&fs);
	}
	config_state_finish(&s);
}

/*
 * Of two publications from one version the first in the log wins, and the
 * version never goes back.
 */
static void
test_first_of_a_race_wins(void **state)
{
	static const struct step steps[] = {
		{ 0, PUB(0, 1), CONFIG_TAKEN, 1 },
		{ 0, PUB(0, 1), CONFIG_LOST, 1 },
		{ 0, PUB(1, 2), CONFIG_TAKEN, 2 },
		{ 0, PUB(1, 2), CONFIG_LOST, 2 },
		{ 0, SNAP(1), CONFIG_OLD, 2 },
		{ 0, SNAP(2), CONFIG_CONFIRMED, 2 },
		{ 0, PUB(4, 5), CONFIG_LOST, 2 },
		{ 0, PUB(2, 4), CONFIG_BAD, 2 },
	};

	(void)state;
	drive(steps, sizeof(steps) / sizeof(steps[0]));
}

/*
 * A reader that missed records decides nothing before it reads a snapshot:
 * the publication it sees may be the loser of a race.
 */
static void
test_gap_waits_for_a_snapshot(void **state)
{
	static const struct step steps[] = {
		{ 0, PUB(0, 1), CONFIG_TAKEN, 1 },
		{ 7, PUB(1, 2), CONFIG_UNSYNCED, 1 },
		{ 0, PUB(0, 1), CONFIG_OLD, 1 },
		{ 0, SNAP(3), CONFIG_TAKEN, 3 },
		{ 0, PUB(3, 4), CONFIG_TAKEN, 4 },
	};

	(void)state;
	drive(steps, sizeof(steps) / sizeof(steps[0]));
}

/*
 * Malformed records are dropped and change nothing.
 */
static void
test_bad_records_change_nothing(void **state)
{
	static const struct step steps[] = {
		{ 0, "", CONFIG_BAD, 0 },
		{ 0, "{}", CONFIG_BAD, 0 },
		{ 0, "[1,2", CONFIG_BAD, 0 },
		{ 0, "{\"id\":\"x\",\"base\":0,\"version\":1,\"config\":{}}",
		    CONFIG_BAD, 0 },
		{ 0,
		    "{\"id\":\"" ID "\",\"base\":0,\"version\":1,"
		    "\"config\":{\"routes\":3,\"workspaces\":[]}}",
		    CONFIG_BAD, 0 },
		{ 0, PUB(0, 1), CONFIG_TAKEN, 1 },
	};

	(void)state;
	drive(steps, sizeof(steps) / sizeof(steps[0]));
}

/*
 * A snapshot is due once the version in force dropped out or soon will.
 */
static void
test_snapshot_is_due_before_it_ages_out(void **state)
{
	static const struct {
		uint64_t held, first, next;
		int due;
	} cases[] = {
		{ 0, 0, 1, 0 },
		{ 5, 0, 100, 0 },
		{ 5, 6, 100, 1 },
		{ 5, 5, 6, 1 },
		{ 30, 20, 100, 1 },
		{ 50, 20, 100, 0 },
	};
	struct config_state s;
	struct config *old;
	struct finds fs;
	size_t i;

	(void)state;
	config_state_init(&s);
	finds_init(&fs);
	assert_int_equal(config_snapshot_due(&s, 1, 2), 0);
	config_state_apply(&s, 0, PUB(0, 1), strlen(PUB(0, 1)), &old, &fs);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		s.held_at = cases[i].held;
		assert_int_equal(
		    config_snapshot_due(&s, cases[i].first, cases[i].next),
		    cases[i].due);
	}
	finds_finish(&fs);
	config_state_finish(&s);
}

/*
 * The longest prefix of whole segments wins, and methods limit a route.
 */
static void
test_longest_prefix_wins(void **state)
{
	static const char text[] = CONF(ROUTE("root", "/") "," ROUTE(
	    "a", "/a") "," ROUTE("ab",
	    "/a/b") ",{\"name\":\"p\",\"prefix\":\"/a\","
		    "\"service\":\"s\",\"idempotent\":true,\"class\":\"low\","
		    "\"deadline_ms\":5,\"methods\":[\"POST\"]}");
	static const struct {
		const char *method, *path, *name;
	} cases[] = {
		{ "GET", "/a", "a" },
		{ "GET", "/a?x=/a/b", "a" },
		{ "GET", "/a/b/c", "ab" },
		{ "GET", "/ab", "root" },
		{ "POST", "/a/x", "p" },
		{ "POST", "/a/b", "ab" },
		{ "BREW", "/a", "a" },
	};
	struct config c = { 0 };
	struct finds fs;
	size_t i;
	int r;

	(void)state;
	finds_init(&fs);
	/* /a stands twice, once for any method: that is a finding. */
	assert_int_equal(config_init(&c, text, strlen(text), &fs), -1);
	assert_int_equal(fs.errors, 1);
	finds_finish(&fs);
	for (i = 0; i < 4; i++) {
		static const char plain[] = CONF(ROUTE("root", "/") "," ROUTE(
		    "a", "/a") "," ROUTE("ab", "/a/b"));

		finds_init(&fs);
		assert_int_equal(config_init(&c, plain, strlen(plain), &fs), 0);
		r = config_route_find(&c, cases[i].method, cases[i].path);
		assert_string_equal(c.routes[r].name, cases[i].name);
		config_finish(&c);
		finds_finish(&fs);
	}
}

/*
 * All findings of a configuration are reported at once, with their place.
 */
static void
test_all_findings_at_once(void **state)
{
	static const char text[] =
	    "{\"routes\":[{\"name\":\"a b\",\"prefix\":\"x\",\"class\":\"top\","
	    "\"idempotent\":1,\"deadline_ms\":0,\"retries\":11,\"colour\":1}],"
	    "\"workspaces\":[{\"name\":\"w\",\"rate\":-1,\"burst\":0.5,"
	    "\"keys\":[{\"id\":\"k\",\"hash\":\"12\"}]}]}";
	struct config c = { 0 };
	struct finds fs;

	(void)state;
	finds_init(&fs);
	assert_int_equal(config_init(&c, text, strlen(text), &fs), -1);
	assert_int_equal(fs.errors, 11);
	assert_string_equal(fs.list[0].place, "/routes/0/name");
	finds_finish(&fs);
}

/*
 * A key is found by its hash only, and belongs to its workspace.
 */
static void
test_keys_are_found_by_hash(void **state)
{
	unsigned char h[CONFIG_HASH_BYTES];
	const struct config_key *k;
	char text[512], hex[2 * CONFIG_HASH_BYTES + 1];
	struct config c = { 0 };
	struct finds fs;
	int i;

	(void)state;
	config_key_hash("secret-key", h);
	for (i = 0; i < CONFIG_HASH_BYTES; i++)
		snprintf(hex + 2 * i, 3, "%02x", h[i]);
	snprintf(text, sizeof(text),
	    "{\"routes\":[],\"workspaces\":[{\"name\":\"w\",\"rate\":1,"
	    "\"burst\":1,\"keys\":[{\"id\":\"k\",\"hash\":\"%s\"},"
	    "{\"id\":\"l\",\"hash\":\"" HASH_A "\"}]}]}",
	    hex);
	finds_init(&fs);
	assert_int_equal(config_init(&c, text, strlen(text), &fs), 0);
	k = config_key_find(&c, "secret-key");
	assert_non_null(k);
	assert_string_equal(c.workspaces[k->ws].name, "w");
	assert_null(config_key_find(&c, "secret-kez"));
	assert_null(config_key_find(&c, hex));
	config_finish(&c);
	finds_finish(&fs);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_first_of_a_race_wins),
		cmocka_unit_test(test_gap_waits_for_a_snapshot),
		cmocka_unit_test(test_bad_records_change_nothing),
		cmocka_unit_test(test_snapshot_is_due_before_it_ages_out),
		cmocka_unit_test(test_longest_prefix_wins),
		cmocka_unit_test(test_all_findings_at_once),
		cmocka_unit_test(test_keys_are_found_by_hash),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
