#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "base/http_syntax.h"

#define OK_LINE "HTTP/1.1 200 OK\r\n"

/* A head or a body in chunks, and whether it is valid. */
struct syntax_case {
	const char *text;
	int valid;
};

static const struct syntax_case head_cases[] = {
	{ OK_LINE "\r\n", 1 },
	{ OK_LINE "A: b\r\n\r\n", 1 },
	{ OK_LINE "A:b\r\nC:\r\nD: \t e f \r\n\r\n", 1 },
	{ OK_LINE "!#$%&'*+-.^_`|~09azAZ: \x80\xff\r\n\r\n", 1 },
	{ "HTTP/1.0 200\r\n\r\n", 1 },
	{ "HTTP/1.1 599 \r\n\r\n", 1 },
	{ "HTTP/1.1 200 a b: c\r\n\r\n", 1 },
	{ "HTTP/1.1 200 OK\nA: b\n\n", 1 },
	{ "\r\n\nHTTP/1.1 200 OK\r\n\r\n", 1 },
	{ "HTTP/1.1 0200 OK\r\n\r\n", 0 },
	{ "HTTP/1.1 20 OK\r\n\r\n", 0 },
	{ "HTTP/1.1  200 OK\r\n\r\n", 0 },
	{ "HTTP/1.1 200OK\r\n\r\n", 0 },
	{ "HTTP/1.1 -20 OK\r\n\r\n", 0 },
	{ "HTTP/1.1\r\n\r\n", 0 },
	{ "HTTP/2.0 200 OK\r\n\r\n", 0 },
	{ "HTTP/1.10 200 OK\r\n\r\n", 0 },
	{ "HTTP 200 OK\r\n\r\n", 0 },
	{ "http/1.1 200 OK\r\n\r\n", 0 },
	{ " HTTP/1.1 200 OK\r\n\r\n", 0 },
	{ "HTTP/1.1 200 O\x01K\r\n\r\n", 0 },
	{ "HTTP/1.1 200 OK\rA: b\r\n\r\n", 0 },
	{ "HTTP/1.1 200 OK\r\rA: b\r\n\r\n", 0 },
	{ OK_LINE "A B: c\r\n\r\n", 0 },
	{ OK_LINE "A : b\r\n\r\n", 0 },
	{ OK_LINE "A\t: b\r\n\r\n", 0 },
	{ OK_LINE " A: b\r\n\r\n", 0 },
	{ OK_LINE "A: b\r\n c\r\n\r\n", 0 },
	{ OK_LINE "A: b\r\n\tc\r\n\r\n", 0 },
	{ OK_LINE "A\x01: b\r\n\r\n", 0 },
	{ OK_LINE "A\x7f: b\r\n\r\n", 0 },
	{ OK_LINE "A\xe9: b\r\n\r\n", 0 },
	{ OK_LINE "A(: b\r\n\r\n", 0 },
	{ OK_LINE "A\"b: c\r\n\r\n", 0 },
	{ OK_LINE ": b\r\n\r\n", 0 },
	{ OK_LINE "A\r\n\r\n", 0 },
	{ OK_LINE "A: \x01\r\n\r\n", 0 },
	{ OK_LINE "A: b\x7f\r\n\r\n", 0 },
	{ OK_LINE "A: b\rc\r\n\r\n", 0 },
	{ OK_LINE "A:\rB: c\r\n\r\n", 0 },
	{ OK_LINE "\rA", 0 },
	{ "\x01\x02 what\r\n\r\n", 0 },
};

static const struct syntax_case chunk_cases[] = {
	{ "0\r\n\r\n", 1 },
	{ "4\r\nmine\r\n0\r\n\r\n", 1 },
	{ "4\r\n\r\n\r\n\r\n0\r\n\r\n", 1 },
	{ "004\r\nmine\r\n1\r\n!\r\n000\r\n\r\n", 1 },
	{ "A\r\n0123456789\r\na\r\n0123456789\r\n0\r\n\r\n", 1 },
	{ "4;a=\"b\"\r\nmine\r\n0;c\r\n\r\n", 1 },
	{ "4  \r\nmine\r\n0\t;c\r\n\r\n", 1 },
	{ "0\r\nA: b\r\nC:\r\n\r\n", 1 },
	{ "4\nmine\r\n0\r\n\r\n", 0 },
	{ "4\rXmine\r\n0\r\n\r\n", 0 },
	{ "4\r\nmineXX0\r\n\r\n", 0 },
	{ "4\r\nmine\n0\r\n\r\n", 0 },
	{ "4\r\nmine\rX0\r\n\r\n", 0 },
	{ "4\r\nmine0\r\n\r\n", 0 },
	{ "\r\nmine\r\n0\r\n\r\n", 0 },
	{ ";a\r\nmine\r\n0\r\n\r\n", 0 },
	{ " 4\r\nmine\r\n0\r\n\r\n", 0 },
	{ "+4\r\nmine\r\n0\r\n\r\n", 0 },
	{ "-4\r\nmine\r\n0\r\n\r\n", 0 },
	{ "0x4\r\nmine\r\n0\r\n\r\n", 0 },
	{ "g\r\nmine\r\n0\r\n\r\n", 0 },
	{ "4 a\r\nmine\r\n0\r\n\r\n", 0 },
	{ "4;\x01\r\nmine\r\n0\r\n\r\n", 0 },
	{ "10000000000000004\r\nmine\r\n0\r\n\r\n", 0 },
	{ "0\r\nA B: c\r\n\r\n", 0 },
	{ "0\r\n A: b\r\n\r\n", 0 },
	{ "0\r\nA: \x01\r\n\r\n", 0 },
	{ "0\r\nA\r\n\r\n", 0 },
	{ "0\r\n\rX", 0 },
};

/*
 * Checks a text in pieces of so many bytes, up to a state.  Returns the number
 * of bytes until then, or HTTP_SYNTAX_ERROR.
 */
static size_t
check_in_pieces(struct http_syntax *s, enum http_syntax_state last,
    const char *text, size_t len, size_t piece)
{
	size_t used = 0, n, valid;

	while (used < len && s->state != last) {
		n = len - used < piece ? len - used : piece;
		valid = http_syntax_check(s, text + used, n);
		if (valid == HTTP_SYNTAX_ERROR)
			return valid;
		assert_true(valid > 0 && valid <= n);
		used += valid;
	}
	assert_int_equal(s->state, last);
	return used;
}

static size_t
check_head(const char *text, size_t len, size_t piece)
{
	struct http_syntax s;

	http_syntax_init(&s);
	return check_in_pieces(&s, SYNTAX_BODY, text, len, piece);
}

static size_t
check_chunks(const char *text, size_t len, size_t piece)
{
	struct http_syntax s;
	size_t used;

	http_syntax_init(&s);
	http_syntax_begin_chunks(&s);
	used = check_in_pieces(&s, SYNTAX_DONE, text, len, piece);
	assert_int_equal(http_syntax_check(&s, "x", 1), HTTP_SYNTAX_ERROR);
	return used;
}

/*
 * Checks each text of a list, whole and in pieces of any size, with other bytes
 * behind it.
 */
static void
check_cases(const struct syntax_case *list, size_t count,
    size_t (*check)(const char *, size_t, size_t))
{
	char text[256];
	size_t i, piece, len;

	for (i = 0; i < count; i++) {
		print_message("%s\n", list[i].text);
		snprintf(text, sizeof(text), "%sHTTP/1.1 200", list[i].text);
		len = strlen(list[i].text);
		for (piece = 1; piece <= strlen(text); piece++)
			assert_int_equal(check(text, strlen(text), piece),
			    list[i].valid ? len : HTTP_SYNTAX_ERROR);
	}
}

static void
test_heads(void **state)
{
	(void)state;
	check_cases(
	    head_cases, sizeof(head_cases) / sizeof(head_cases[0]), check_head);
}

static void
test_chunks(void **state)
{
	(void)state;
	check_cases(chunk_cases, sizeof(chunk_cases) / sizeof(chunk_cases[0]),
	    check_chunks);
}

/*
 * A byte of zero is part of no head.
 */
static void
test_zero_byte(void **state)
{
	static const char in_name[] = OK_LINE "A\0B: c\r\n\r\n";
	static const char in_value[] = OK_LINE "A: b\0c\r\n\r\n";

	(void)state;
	assert_int_equal(
	    check_head(in_name, sizeof(in_name) - 1, 64), HTTP_SYNTAX_ERROR);
	assert_int_equal(
	    check_head(in_value, sizeof(in_value) - 1, 64), HTTP_SYNTAX_ERROR);
}

/*
 * The value of a Transfer-Encoding field.
 */
static void
test_chunked_coding(void **state)
{
	static const char *const others[] = { "", "chunke", "chunked2",
		" chunked", "chunked;a", "gzip, chunked", "chunked, gzip" };
	size_t i;

	(void)state;
	assert_true(http_is_chunked("chunked", 7));
	assert_true(http_is_chunked("Chunked \t", 9));
	for (i = 0; i < sizeof(others) / sizeof(others[0]); i++)
		assert_false(http_is_chunked(others[i], strlen(others[i])));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_heads),
		cmocka_unit_test(test_chunks),
		cmocka_unit_test(test_zero_byte),
		cmocka_unit_test(test_chunked_coding),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
