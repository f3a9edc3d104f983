#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>
#include <unistd.h>

#include "settings/settings.h"

#define WORDS_MAX 16
#define SECRET "0123456789abcdef"

#define REQ "--address=127.0.0.1", "--domain=a", "--log-url=http://127.0.0.1:9"
#define ENV_SECRET "CYCLAMENVALE_SECRET=0123456789abcdef"

/* Flags and environment, and the place and detail of each finding. */
static const struct {
	const char *args[WORDS_MAX];
	const char *env[WORDS_MAX];
	const char *places[WORDS_MAX];
	int errors;
} cases[] = {
	{ { REQ }, { ENV_SECRET }, { NULL }, 0 },
	{ { NULL }, { NULL },
	    { "--address", "--domain", "--log-url", "CYCLAMENVALE_SECRET" },
	    4 },
	{ { REQ, "--caller-port=0", "--probe-ms=1x", "--bogus", "more" },
	    { ENV_SECRET, "CYCLAMENVALE_RPC_PORT=-1" },
	    { "--bogus", "more", "--caller-port", "CYCLAMENVALE_RPC_PORT",
		"--probe-ms" },
	    5 },
	{ { REQ, "--caller-port=99999999999999999999999" }, { ENV_SECRET },
	    { "--caller-port" }, 1 },
	{ { REQ }, { "CYCLAMENVALE_SECRET=short" }, { "CYCLAMENVALE_SECRET" },
	    1 },
	{ { REQ, "--secret=" SECRET }, { ENV_SECRET }, { "--secret" }, 1 },
	{ { REQ, "--sekret=" SECRET }, { ENV_SECRET }, { "--sekret" }, 1 },
	{ { REQ, "--peer-port=8080" }, { ENV_SECRET }, { "--peer-port" }, 1 },
	{ { REQ }, { ENV_SECRET, "CYCLAMENVALE_NOPE=1" },
	    { "CYCLAMENVALE_NOPE" }, 0 },
	{ { REQ, "--seed-peers=1.2.3.4:5,1.2.3.4", "--disable=routing,all",
	      "--log-level=loud" },
	    { ENV_SECRET }, { "--seed-peers", "--log-level", "--disable" }, 3 },
	{ { "--address=localhost", "--domain=a b",
	      "--log-url=https://1.2.3.4" },
	    { ENV_SECRET }, { "--address", "--domain", "--log-url" }, 3 },
	{ { "--address=0.0.0.0", "--domain=a", "--log-url=http://1.2.3.4:1" },
	    { ENV_SECRET }, { "--advertise-address" }, 1 },
	{ { REQ, "--advertise-address=0.0.0.0" }, { ENV_SECRET },
	    { "--advertise-address" }, 1 },
	{ { REQ, "--config-stale-ms=500" }, { ENV_SECRET },
	    { "--config-stale-ms" }, 1 },
	{ { REQ, "--secret-file=/nonexistent/secret" }, { NULL },
	    { "--secret-file" }, 1 },
	{ { REQ, "--domain" }, { ENV_SECRET }, { "--domain" }, 1 },
};

/*
 * Parses the words and variables of a case.
 */
static int
parse(struct settings *s, const char *const *args, const char *const *env,
    struct finds *fs)
{
	char *argv[WORDS_MAX + 2] = { (char *)"cyclamenvaled" };
	int argc = 1;

	for (; *args != NULL; args++)
		argv[argc++] = (char *)*args;
	settings_init(s);
	finds_init(fs);
	return settings_parse(s, argc, argv, (char *const *)env, fs);
}

/*
 * Every case gives exactly its findings, in one run and with their places.
 */
static void
test_findings(void **state)
{
	struct settings s;
	struct finds fs;
	size_t i, j;
	int rc;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		rc = parse(&s, cases[i].args, cases[i].env, &fs);
		if ((int)fs.errors != cases[i].errors)
			finds_print(&fs, stderr, "case");
		assert_int_equal(fs.errors, cases[i].errors);
		assert_int_equal(rc, cases[i].errors > 0 ? -1 : 0);
		for (j = 0; cases[i].places[j] != NULL; j++) {
			assert_true(j < fs.count);
			assert_string_equal(
			    fs.list[j].place, cases[i].places[j]);
		}
		assert_int_equal(fs.count, j);
		finds_finish(&fs);
		settings_finish(&s);
	}
}

/*
 * A flag goes before its variable, a variable before the default, and the
 * advertised address and ports default to the node's own.
 */
static void
test_precedence(void **state)
{
	static const char *const args[] = { REQ, "--rpc-port=7",
		"--peer-port=8", "--disable=routing,precheck",
		"--advertise-rpc-port=70",
		"--seed-peers=10.0.0.1:53,10.0.0.2:54", NULL };
	static const char *const env[] = { ENV_SECRET,
		"CYCLAMENVALE_RPC_PORT=9", "CYCLAMENVALE_PROBE_MS=99",
		"CYCLAMENVALE_LOG_LEVEL=err", "CYCLAMENVALE_REGION=", NULL };
	struct settings s;
	struct finds fs;

	(void)state;
	assert_int_equal(parse(&s, args, env, &fs), 0);
	assert_int_equal(s.rpc_port, 7);
	assert_int_equal(s.probe_ms, 99);
	assert_int_equal(s.caller_connections, 256);
	assert_int_equal(s.log_level, LOG_ERR);
	assert_string_equal(s.region, "default");
	assert_int_equal(s.advertise_address, 0x7f000001);
	assert_int_equal(s.advertise_peer_port, 8);
	assert_int_equal(s.advertise_rpc_port, 70);
	assert_int_equal(s.seed_peers.count, 2);
	assert_int_equal(s.seed_peers.list[1].addr, 0x0a000002);
	assert_int_equal(s.seed_peers.list[1].port, 54);
	assert_false(settings_policy_on(&s, POLICY_PRECHECK));
	assert_true(settings_policy_on(&s, POLICY_ADMISSION));
	assert_memory_equal(s.secret.bytes, SECRET, strlen(SECRET));
	finds_finish(&fs);
	settings_finish(&s);
}

/*
 * The secret may come from a file, whose last newline doesn't count.
 */
static void
test_secret_file(void **state)
{
	char path[] = "/tmp/test_settings_XXXXXX", flag[64];
	const char *args[] = { REQ, flag, NULL };
	static const char *const env[] = { NULL };
	struct settings s;
	struct finds fs;
	int fd = mkstemp(path);

	(void)state;
	assert_true(fd >= 0);
	assert_int_equal(
	    write(fd, SECRET "\n", sizeof(SECRET)), (ssize_t)sizeof(SECRET));
	close(fd);
	snprintf(flag, sizeof(flag), "--secret-file=%s", path);
	assert_int_equal(parse(&s, args, env, &fs), 0);
	assert_int_equal(s.secret.len, strlen(SECRET));
	unlink(path);
	finds_finish(&fs);
	settings_finish(&s);
}

/*
 * Neither the settings printed nor a finding shows the secret, and all rows
 * are printed.
 */
static void
test_secret_is_not_printed(void **state)
{
	static const char *const args[] = { REQ, NULL };
	static const char *const env[] = { ENV_SECRET, NULL };
	static const char *const bad[] = { "CYCLAMENVALE_SECRET=hunter2",
		NULL };
	struct settings s;
	struct finds fs;
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);

	(void)state;
	parse(&s, args, env, &fs);
	settings_print(&s, out);
	finds_finish(&fs);
	parse(&s, args, bad, &fs);
	finds_print(&fs, out, "settings");
	settings_help(out);
	fclose(out);
	assert_null(strstr(text, SECRET));
	assert_null(strstr(text, "hunter2"));
	assert_non_null(strstr(text, "secret=(set)\n"));
	assert_non_null(strstr(text, "disable=\n"));
	assert_non_null(strstr(text, "--seed-peers IP:PORT,..."));
	free(text);
	finds_finish(&fs);
}

/*
 * --help and --version need no other setting.
 */
static void
test_modes(void **state)
{
	static const struct {
		const char *flag;
		enum settings_mode mode;
		int rc;
	} modes[] = {
		{ "--help", SETTINGS_HELP, 0 },
		{ "--version", SETTINGS_VERSION, 0 },
		{ "--check-settings", SETTINGS_CHECK, -1 },
	};
	const char *args[] = { NULL, NULL };
	static const char *const env[] = { NULL };
	struct settings s;
	struct finds fs;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(modes) / sizeof(modes[0]); i++) {
		args[0] = modes[i].flag;
		assert_int_equal(parse(&s, args, env, &fs), modes[i].rc);
		assert_int_equal(s.mode, modes[i].mode);
		finds_finish(&fs);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_findings),
		cmocka_unit_test(test_precedence),
		cmocka_unit_test(test_secret_file),
		cmocka_unit_test(test_secret_is_not_printed),
		cmocka_unit_test(test_modes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
