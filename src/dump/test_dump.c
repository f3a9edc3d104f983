#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "dump/dump.h"

#define FUZZ_ROUNDS 2000
#define FUZZ_BYTES 200

/* Text, and the JSON that it is to become. */
static const struct {
	const char *text;
	const char *json;
} cases[] = {
	{ "", "{\"node\":{}}" },
	{ "node 10.0.0.1:1/a\nconfig version 3\n",
	    "{\"node\":{\"node\":\"10.0.0.1:1/a\",\"config_version\":3}}" },
	{ "\n# members\nmembers known=2\n"
	  "member a:1 state=alive load=0\nmember b:1 state=dead for=10s\n",
	    "{\"node\":{},\"members\":{\"members\":[{\"known\":2}],"
	    "\"member\":[{\"name\":\"a:1\",\"state\":\"alive\",\"load\":0},"
	    "{\"name\":\"b:1\",\"state\":\"dead\",\"for\":\"10s\"}]}}" },
	{ "# counters\nretries 18446744073709551615\nlevel 1.5\nhex 00ff",
	    "{\"node\":{},\"counters\":{\"retries\":\"18446744073709551615\","
	    "\"level\":\"1.5\",\"hex\":\"00ff\"}}" },
	{ "# a\nx 1\n# b\ny 2\n# a\nz 3\n",
	    "{\"node\":{},\"a\":{\"x\":1,\"z\":3},\"b\":{\"y\":2}}" },
	{ "alone\nx\nx =\n = =\n",
	    "{\"node\":{\"alone\":true,\"x\":[{\"\":\"\"}],"
	    "\"=\":[{\"\":\"\"}]}}" },
};

/*
 * Each text becomes the JSON beside it.
 */
static void
test_json(void **state)
{
	json_t *got, *want;
	char *text;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		text = dump_json(cases[i].text);
		got = json_loads(text, 0, NULL);
		want = json_loads(cases[i].json, 0, NULL);
		assert_non_null(got);
		assert_non_null(want);
		if (!json_equal(got, want))
			print_error("case %zu: %s\n", i, text);
		assert_true(json_equal(got, want));
		json_decref(got);
		json_decref(want);
		free(text);
	}
}

/*
 * Whatever the text, the result is JSON.
 */
static void
test_json_of_anything(void **state)
{
	static const char alphabet[] = "ab1 =#\n\xc3\"\\ ";
	char text[FUZZ_BYTES + 1], *out;
	unsigned int seed = 1, i, j;
	json_t *o;

	(void)state;
	for (i = 0; i < FUZZ_ROUNDS; i++) {
		for (j = 0; j < FUZZ_BYTES; j++)
			text[j] = alphabet[(unsigned int)rand_r(&seed) %
					   (sizeof(alphabet) - 1)];
		text[FUZZ_BYTES] = '\0';
		out = dump_json(text);
		assert_non_null(out);
		o = json_loads(out, 0, NULL);
		assert_non_null(o);
		json_decref(o);
		free(out);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_json),
		cmocka_unit_test(test_json_of_anything),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
