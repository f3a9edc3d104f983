#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "base/clock.h"
#include "exchange/context.h"
#include "exchange/head.h"
#include "exchange/reason.h"

#define FUZZ_ROUNDS 20000
#define FUZZ_SEED 7

static const struct context sample = { .root = 0x1234,
	.attempt = UINT64_MAX,
	.importance = CLASS_LOW,
	.retries = 3,
	.deadline_ms = 2000,
	.depth = 17,
	.idempotent = 1,
	.key_tag = 5,
	.print = { 6, UINT64_MAX - 1 },
	.workspace = "acme",
	.service = "orders" };

/*
 * A context survives its text form, with and without a workspace.
 */
static void
test_context_round_trip(void **state)
{
	char text[CONTEXT_TEXT_MAX];
	struct context c, open;

	(void)state;
	memcpy(&open, &sample, sizeof(open));
	context_format(&sample, text);
	assert_int_equal(context_parse(&c, text), 0);
	assert_memory_equal(&c, &sample, sizeof(c));
	memset(open.workspace, 0, sizeof(open.workspace));
	context_format(&open, text);
	assert_int_equal(context_parse(&c, text), 0);
	assert_memory_equal(&c, &open, sizeof(c));
}

/*
 * Anything but the one text form is refused; a changed text that parses
 * says what it says.
 */
static void
test_context_rejects_noise(void **state)
{
	char text[CONTEXT_TEXT_MAX], again[CONTEXT_TEXT_MAX];
	struct context c;
	size_t len;
	int i;

	(void)state;
	srand(FUZZ_SEED);
	assert_int_equal(context_parse(&c, ""), -1);
	for (i = 0; i < FUZZ_ROUNDS; i++) {
		context_format(&sample, text);
		len = strlen(text);
		text[(size_t)rand() % len] = (char)(rand() % 255 + 1);
		if (rand() % 4 == 0)
			text[(size_t)rand() % len] = '\0';
		if (context_parse(&c, text) == -1)
			continue;
		context_format(&c, again);
		assert_string_equal(again, text);
	}
}

/*
 * A proof fits one method, target and context only.
 */
static void
test_mac_covers_all(void **state)
{
	unsigned char key[CONTEXT_KEY_BYTES] = { 1 },
		      other[CONTEXT_KEY_BYTES] = { 2 };
	char mac[CONTEXT_MAC_HEX];

	(void)state;
	context_mac(key, "GET", "/a", "ctx", mac);
	assert_true(context_mac_good(key, "GET", "/a", "ctx", mac));
	assert_false(context_mac_good(other, "GET", "/a", "ctx", mac));
	assert_false(context_mac_good(key, "PUT", "/a", "ctx", mac));
	assert_false(context_mac_good(key, "GET", "/b", "ctx", mac));
	assert_false(context_mac_good(key, "GET", "/a", "cty", mac));
	assert_false(context_mac_good(key, "GET", "/a", "ctx", ""));
}

/*
 * A length is digits and nothing else.
 */
static void
test_lengths(void **state)
{
	static const struct {
		const char *text;
		int rc;
		int64_t len;
	} cases[] = {
		{ "0", 0, 0 },
		{ "33554432", 0, 33554432 },
		{ "", -1, 0 },
		{ "1x", -1, 0 },
		{ "-1", -1, 0 },
		{ "+1", -1, 0 },
		{ " 1", -1, 0 },
		{ "1,1", -1, 0 },
		{ "9999999999999999999", -1, 0 },
	};
	int64_t len;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		assert_int_equal(
		    head_length_parse(cases[i].text, &len), cases[i].rc);
		if (cases[i].rc == 0)
			assert_int_equal(len, cases[i].len);
	}
}

/*
 * A head that is full says so and keeps what it has.
 */
static void
test_head_overflow(void **state)
{
	static struct head h;
	int i;

	(void)state;
	head_init(&h, 200);
	for (i = 0; i < HEAD_FIELDS_MAX; i++)
		assert_int_equal(head_addf(&h, "X-Field", "%d", i), 0);
	assert_int_equal(head_add(&h, "X-More", "1"), -1);
	assert_true(h.overflow);
	assert_string_equal(head_get(&h, "x-field"), "0");
	assert_null(head_get(&h, "X-More"));
}

/*
 * Every reason has a name of its own and a status; an unknown outcome may
 * have run.
 */
static void
test_reasons(void **state)
{
	int i;

	(void)state;
	for (i = 1; i < REASON_MAX; i++) {
		assert_int_equal(reason_of(reason_rows[i].name), i);
		assert_in_range(reason_rows[i].status, 400, 599);
	}
	assert_int_equal(outcome_of("not-run"), OUTCOME_NOT_RUN);
	assert_int_equal(outcome_of("nonsense"), OUTCOME_MAY_HAVE_RUN);
	assert_int_equal(outcome_of(NULL), OUTCOME_MAY_HAVE_RUN);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_context_round_trip),
		cmocka_unit_test(test_context_rejects_noise),
		cmocka_unit_test(test_mac_covers_all),
		cmocka_unit_test(test_lengths),
		cmocka_unit_test(test_head_overflow),
		cmocka_unit_test(test_reasons),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
