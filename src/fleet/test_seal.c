#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "fleet/seal.h"

#define OLD_KEY "old-key-of-a-fleet"
#define NEW_KEY "new-key-of-a-fleet"

/*
 * Seals under either of two keys are accepted, so that the fleet key can be
 * changed node by node.
 */
static void
test_key_rotation(void **state)
{
	static const struct {
		const char *sender[2], *receiver[2];
		int valid;
	} rows[] = {
		{ { OLD_KEY, "" }, { OLD_KEY, "" }, 1 },
		{ { OLD_KEY, "" }, { NEW_KEY, "" }, 0 },
		{ { "", "" }, { OLD_KEY, "" }, 0 },
		{ { "", "" }, { "", "" }, 1 },
		{ { OLD_KEY, NEW_KEY }, { OLD_KEY, "" },
		    1 }, /* first step of a rotation */
		{ { OLD_KEY, NEW_KEY }, { NEW_KEY, OLD_KEY },
		    1 }, /* second step */
		{ { NEW_KEY, OLD_KEY }, { OLD_KEY, NEW_KEY }, 1 },
		{ { NEW_KEY, "" }, { NEW_KEY, OLD_KEY }, 1 }, /* third step */
		{ { OLD_KEY, NEW_KEY }, { NEW_KEY, "" }, 0 },
	};
	static const struct seal_request q = { .method = "POST",
		.target = "/o/1",
		.target_len = 4,
		.id = "r1",
		.id_len = 2,
		.hop = "1 0" };
	char buf[9 + SEAL_BYTES], hex[SEAL_HEX_BYTES];
	struct seal from, to;
	size_t i, len;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		seal_init(&from, rows[i].sender[0], rows[i].sender[1]);
		seal_init(&to, rows[i].receiver[0], rows[i].receiver[1]);
		snprintf(buf, sizeof(buf), "datagram");
		len = seal_datagram(&from, buf, 8);
		assert_int_equal(
		    seal_open(&to, buf, len), rows[i].valid ? 8 : 0);
		seal_request(&from, &q, hex);
		assert_int_equal(
		    seal_request_valid(&to, &q, hex), rows[i].valid);
	}
}

/*
 * A datagram with any bit flipped, or truncated to any length, is rejected.
 */
static void
test_datagram_altered(void **state)
{
	char buf[13 + SEAL_BYTES];
	struct seal s;
	size_t len, i;

	(void)state;
	seal_init(&s, OLD_KEY, "");
	snprintf(buf, sizeof(buf), "twelve bytes");
	len = seal_datagram(&s, buf, 12);
	assert_int_equal(len, 12 + SEAL_BYTES);
	for (i = 0; i < len * 8; i++) {
		buf[i / 8] ^= (char)(1 << (i % 8));
		assert_int_equal(seal_open(&s, buf, len), 0);
		buf[i / 8] ^= (char)(1 << (i % 8));
	}
	for (i = 0; i < len; i++)
		assert_int_equal(seal_open(&s, buf, i), 0);
	assert_int_equal(seal_open(&s, buf, len), 12);
}

/*
 * The seal of a request fits no other request, also where the same characters
 * are split into parts at another place.
 */
static void
test_request_parts(void **state)
{
	static const struct seal_request rows[] = {
		{ "GET", "/o/12", 5, "r1", 2, "9 0" },
		{ "POST", "/o/12", 5, "r1", 2, "9 0" },
		{ "GET", "/o/1", 4, "r1", 2, "9 0" },
		{ "GET", "/o/1", 4, "2r1", 3, "9 0" },
		{ "GET", "/o/12", 5, "r", 1, "9 0" },
		{ "GET", "/o/12", 5, "r", 1, "19 0" },
		{ "GET", "/o/12", 5, "r1", 2, "9 1" },
		{ "GET", "/o/12", 5, NULL, 0, "9 0" },
	};
	char hex[SEAL_HEX_BYTES];
	struct seal s;
	size_t i, j, n = sizeof(rows) / sizeof(rows[0]);

	(void)state;
	seal_init(&s, OLD_KEY, "");
	for (i = 0; i < n; i++) {
		seal_request(&s, &rows[i], hex);
		assert_int_equal(strlen(hex), SEAL_HEX_BYTES - 1);
		for (j = 0; j < n; j++)
			assert_int_equal(
			    seal_request_valid(&s, &rows[j], hex), i == j);
		hex[SEAL_HEX_BYTES - 2] = '\0';
		assert_false(seal_request_valid(&s, &rows[i], hex));
		assert_false(seal_request_valid(&s, &rows[i], ""));
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_key_rotation),
		cmocka_unit_test(test_datagram_altered),
		cmocka_unit_test(test_request_parts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
