#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "cyclamenvale.h"

#define KEY "0123456789abcdef"
#define KEY_HASH \
	"c783baf5fb1427e7d924c9fe93ee161169324bb139d9cd8d8b9602c412ec6cda"
#define KEY_HASH_ZERO \
	"0000000000000000000000000000000000000000000000000000000000000000"

static const char want[] =
    "{\"routes\": ["
    "{\"name\": \"a\", \"prefix\": \"/a\", \"service\": \"s\","
    " \"open\": false, \"idempotent\": false, \"class\": \"normal\","
    " \"retries\": 0, \"deadline_ms\": 500},"
    "{\"name\": \"b\", \"prefix\": \"/b\", \"service\": \"s\","
    " \"open\": true, \"idempotent\": true, \"class\": \"low\","
    " \"retries\": 3, \"deadline_ms\": 700, \"methods\": [\"GET\", \"PUT\"]}],"
    "\"workspaces\": [{\"name\": \"w\", \"rate\": 2.5, \"burst\": 7,"
    " \"keys\": [{\"id\": \"k\", \"hash\": \"" KEY_HASH "\"},"
    "{\"id\": \"h\", \"hash\": \"" KEY_HASH_ZERO "\"}]}]}";

static void misuse_none(struct cv_config *);
static void misuse_no_deadline(struct cv_config *);
static void misuse_route_handle(struct cv_config *);
static void misuse_workspace_handle(struct cv_config *);
static void misuse_class(struct cv_config *);
static void misuse_short_key(struct cv_config *);
static void misuse_spaced_key(struct cv_config *);
static void misuse_rate(struct cv_config *);
static void misuse_encoding(struct cv_config *);
static void misuse_null(struct cv_config *);

static const struct {
	void (*add)(struct cv_config *);
	const char *place;
} misuses[] = {
	{ misuse_none, NULL },
	{ misuse_no_deadline, "/routes/0/deadline_ms" },
	{ misuse_route_handle, "cv_route_deadline" },
	{ misuse_workspace_handle, "cv_key_hash_add" },
	{ misuse_class, "cv_route_class" },
	{ misuse_short_key, "cv_key_add" },
	{ misuse_spaced_key, "cv_key_add" },
	{ misuse_rate, "cv_workspace_add" },
	{ misuse_encoding, "cv_route_add" },
	{ misuse_null, "cv_route_method" },
};

/* One way to call the library each, right or wrong. */
static void
misuse_none(struct cv_config *c)
{
	cv_route_deadline(c, cv_route_add(c, "a", "/a", "s"), 1);
}

static void
misuse_no_deadline(struct cv_config *c)
{
	cv_route_add(c, "a", "/a", "s");
}

static void
misuse_route_handle(struct cv_config *c)
{
	cv_route_deadline(c, 0, 1);
}

static void
misuse_workspace_handle(struct cv_config *c)
{
	cv_key_hash_add(c, -1, "k", KEY_HASH_ZERO);
}

static void
misuse_class(struct cv_config *c)
{
	cv_route_class(c, cv_route_add(c, "a", "/a", "s"), CV_CLASS_MAX);
}

static void
misuse_short_key(struct cv_config *c)
{
	cv_key_add(c, cv_workspace_add(c, "w", 1, 1), "k", "short");
}

static void
misuse_spaced_key(struct cv_config *c)
{
	cv_key_add(c, cv_workspace_add(c, "w", 1, 1), "k", KEY " " KEY);
}

static void
misuse_rate(struct cv_config *c)
{
	cv_workspace_add(c, "w", (double)NAN, 1);
}

static void
misuse_encoding(struct cv_config *c)
{
	cv_route_add(c, "\xff", "/a", "s");
}

static void
misuse_null(struct cv_config *c)
{
	cv_route_method(c, cv_route_add(c, "a", "/a", "s"), NULL);
}

/*
 * Prints a configuration into memory; returns NULL if it is refused, and
 * then nothing was printed.
 */
static char *
print_text(struct cv_config *c)
{
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	int rc = cv_config_print(c, out);

	fclose(out);
	if (rc == 0)
		return text;
	assert_int_equal(len, 0);
	free(text);
	return NULL;
}

/*
 * What is set is printed, what isn't has its safe default, and the plain
 * key is nowhere in it.
 */
static void
test_prints_what_was_set(void **state)
{
	json_t *got, *exp = json_loads(want, 0, NULL);
	struct cv_config c;
	cv_workspace ws;
	cv_route r;
	char *text;

	(void)state;
	assert_non_null(exp);
	assert_int_equal(cv_config_init(&c), 0);
	r = cv_route_add(&c, "a", "/a", "s");
	cv_route_deadline(&c, r, 500);
	r = cv_route_add(&c, "b", "/b", "s");
	cv_route_deadline(&c, r, 700);
	cv_route_open(&c, r);
	cv_route_idempotent(&c, r);
	cv_route_class(&c, r, CV_LOW);
	cv_route_retries(&c, r, 3);
	cv_route_method(&c, r, "GET");
	cv_route_method(&c, r, "PUT");
	ws = cv_workspace_add(&c, "w", 2.5, 7);
	cv_key_add(&c, ws, "k", KEY);
	cv_key_hash_add(&c, ws, "h", KEY_HASH_ZERO);
	text = print_text(&c);
	assert_non_null(text);
	assert_null(strstr(text, KEY));
	got = json_loads(text, 0, NULL);
	assert_true(json_equal(got, exp));
	json_decref(got);
	json_decref(exp);
	free(text);
	cv_config_finish(&c);
}

/*
 * Wrong calls crash nothing, are collected with their place, and nothing is
 * printed.
 */
static void
test_misuse_is_found(void **state)
{
	struct cv_finding f;
	struct cv_config c;
	size_t i, n;
	char *text;

	(void)state;
	for (i = 0; i < sizeof(misuses) / sizeof(misuses[0]); i++) {
		assert_int_equal(cv_config_init(&c), 0);
		misuses[i].add(&c);
		text = print_text(&c);
		assert_int_equal(text == NULL, misuses[i].place != NULL);
		free(text);
		for (n = 0; cv_config_finding(&c, n, &f) == 0; n++)
			if (misuses[i].place != NULL &&
			    strcmp(f.place, misuses[i].place) == 0)
				break;
		if (misuses[i].place != NULL) {
			assert_string_equal(f.place, misuses[i].place);
			assert_int_equal(f.severity, CV_ERROR);
		}
		cv_config_finish(&c);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_prints_what_was_set),
		cmocka_unit_test(test_misuse_is_found),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
