#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "options/options_int.h"

#define REQUIRED                                                            \
	"node = n1\nzone = z\nservice = s\nentry = 127.0.0.1:1\n"           \
	"exit = 127.0.0.1:2\nserver = 127.0.0.1:3\ncontrol = 127.0.0.1:4\n" \
	"ready = 127.0.0.1:5\nstore = 127.0.0.1:6\nfleet-port = 7\n"        \
	"revoke = 5000ms\ngrace = 6s\nquota-overage = 0.1\n"                \
	"quota-slack = 20\nretry-ratio = 0.2\nretry-slack = 49\n"           \
	"memory-mb = 260\n"
#define WHOLE "# a node\n\n" REQUIRED "\tdescriptors =4100  \r\nend\n"

static char path[] = "/tmp/cyclamenvale-settings-XXXXXX";

static void
write_file(const char *text, size_t len)
{
	FILE *f = fopen(path, "w");

	assert_non_null(f);
	assert_int_equal(fwrite(text, 1, len, f), len);
	assert_int_equal(fclose(f), 0);
}

static int
read_options(struct node_options *opts, char *const *envp, const char *flag,
    struct finds *finds)
{
	char file[64];
	char *argv[] = { "n", file, (char *)(uintptr_t)flag, NULL };

	snprintf(file, sizeof(file), "--settings=%s", path);
	finds_init(finds);
	return options_read(opts, flag != NULL ? 3 : 2, argv, envp, finds);
}

/*
 * A whole file gives all settings.  The command line goes before the
 * environment, and that before the file; a value that isn't used is checked all
 * the same.
 */
static void
test_file_gives_settings(void **state)
{
	static char *none[] = { NULL };
	static char *env[] = { "CYCLAMENVALE_NODE_ZONE=e",
		"CYCLAMENVALE_NODE_NODE=e1", NULL };
	struct node_options opts;
	struct finds finds;

	(void)state;
	write_file(WHOLE, strlen(WHOLE));
	assert_int_equal(read_options(&opts, none, NULL, &finds), 0);
	assert_string_equal(opts.relay.node, "n1");
	assert_int_equal(opts.relay.descriptors, 4100);
	assert_int_equal(opts.grace_ms, 6000);
	assert_true(opts.file_digest != 0);
	finds_finish(&finds);
	assert_int_equal(read_options(&opts, env, "--node=c1", &finds), 0);
	assert_string_equal(opts.relay.node, "c1");
	assert_string_equal(opts.relay.zone, "e");
	assert_string_equal(opts.relay.service, "s");
	finds_finish(&finds);
	assert_int_equal(
	    read_options(&opts, none, "--descriptors=1", &finds), 0);
	finds_finish(&finds);
	write_file(REQUIRED "descriptors = many\nend\n",
	    strlen(REQUIRED "descriptors = many\nend\n"));
	assert_int_equal(
	    read_options(&opts, none, "--descriptors=1", &finds), -1);
	finds_finish(&finds);
}

/*
 * A file of which any part from the beginning is written is refused.
 */
static void
test_half_written_file(void **state)
{
	static char *none[] = { NULL };
	struct node_options opts;
	struct finds finds;
	size_t n;

	(void)state;
	for (n = 0; n < strlen(WHOLE); n++) {
		write_file(WHOLE, n);
		assert_int_equal(read_options(&opts, none, NULL, &finds), -1);
		finds_finish(&finds);
	}
}

/*
 * Each kind of bad file is refused with its name, line and reason.  A key isn't
 * printed.
 */
static void
test_bad_files(void **state)
{
	static const struct {
		const char *lines; /* after those that are required */
		const char *place; /* behind the name of the file */
		const char *text;
	} rows[] = {
		{ "descriptors = 1\nend\nzone = a\n", ":20",
		    "text after the line end" },
		{ "descriptors = 1\n", ":18",
		    "incomplete, the last line is not end" },
		{ "descriptors = 1\nend", ":19",
		    "incomplete, the last line is not end" },
		{ "descriptors = 1\nspeed = 9\nend\n", ":19",
		    "unknown setting" },
		{ "descriptors = 1\nzone = b\nend\n", ":19",
		    "setting given twice" },
		{ "descriptors 1\nend\n", ":18",
		    "not a line of the form name = value" },
		{ "descriptors =\nend\n", ":18",
		    "not a line of the form name = value" },
		{ "= 1\ndescriptors = 1\nend\n", ":18",
		    "not a line of the form name = value" },
		{ "descriptors = -1\nend\n", ":18: descriptors",
		    "not a number" },
		{ "descriptors = nan\nend\n", ":18: descriptors",
		    "not a number" },
		{ "descriptors = 1\nfleet-key = secret\nend\n",
		    ":19: fleet-key", "not a key of 16 to 64 characters" },
	};
	static char *none[] = { NULL };
	struct node_options opts;
	struct finds finds;
	char text[2048], place[128];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		snprintf(text, sizeof(text), "%s%s", REQUIRED, rows[i].lines);
		write_file(text, strlen(text));
		assert_int_equal(read_options(&opts, none, NULL, &finds), -1);
		snprintf(place, sizeof(place), "%s%s", path, rows[i].place);
		assert_string_equal(finds.list[0].place, place);
		assert_string_equal(finds.list[0].text, rows[i].text);
		assert_null(strstr(finds.list[0].detail, "secret"));
		finds_finish(&finds);
	}
	write_file("a\0b\nend\n", 8);
	assert_int_equal(read_options(&opts, none, NULL, &finds), -1);
	assert_string_equal(finds.list[0].text, "not text");
	finds_finish(&finds);
}

/*
 * Lines and files that are too long, and a file that isn't there, are refused.
 */
static void
test_unreadable_files(void **state)
{
	static char *none[] = { NULL };
	static char large[OPTIONS_FILE_BYTES_MAX + 1];
	struct node_options opts;
	struct finds finds;

	(void)state;
	memset(large, '#', sizeof(large));
	write_file(large, 2000);
	assert_int_equal(read_options(&opts, none, NULL, &finds), -1);
	assert_string_equal(
	    finds.list[0].text, "not a line of the form name = value");
	finds_finish(&finds);
	write_file(large, sizeof(large));
	assert_int_equal(read_options(&opts, none, NULL, &finds), -1);
	assert_string_equal(
	    finds.list[0].text, "cannot read the settings file");
	finds_finish(&finds);
	unlink(path);
	assert_int_equal(read_options(&opts, none, NULL, &finds), -1);
	assert_string_equal(finds.list[0].place, path);
	assert_int_equal(opts.file_digest, 0);
	finds_finish(&finds);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_file_gives_settings),
		cmocka_unit_test(test_half_written_file),
		cmocka_unit_test(test_bad_files),
		cmocka_unit_test(test_unreadable_files),
	};
	int fd = mkstemp(path), rc;

	if (fd == -1)
		return 1;
	close(fd);
	rc = cmocka_run_group_tests(tests, NULL, NULL);
	unlink(path);
	return rc;
}
