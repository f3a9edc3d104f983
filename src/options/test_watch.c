#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "event/event.h"
#include "options/watch.h"

#define ALARM_S 60
#define STORM 500

static char path[] = "/tmp/cyclamenvale-settings-XXXXXX";
static uv_loop_t loop;
static struct node_options opts;
static struct options_watch watch;
static struct options_source source;
static int changes;

/* Values of the settings that a test changes. */
struct values {
	const char *revoke, *slack, *ratio, *memory, *entry, *last;
};

static const struct values usual = { "5s", "20", "0.2", "260", "127.0.0.1:1",
	"end" };

static void
write_settings(const struct values *v)
{
	FILE *f = fopen(path, "w");

	assert_non_null(f);
	fprintf(f,
	    "node = n1\nzone = z\nservice = s\nentry = %s\n"
	    "exit = 127.0.0.1:2\nserver = 127.0.0.1:3\n"
	    "control = 127.0.0.1:4\nready = 127.0.0.1:5\n"
	    "store = 127.0.0.1:6\nfleet-port = 7\nrevoke = %s\n"
	    "grace = 6s\nquota-overage = 0.1\nquota-slack = %s\n"
	    "retry-ratio = %s\nretry-slack = 49\nmemory-mb = %s\n"
	    "descriptors = 4100\n%s\n",
	    v->entry, v->revoke, v->slack, v->ratio, v->memory, v->last);
	assert_int_equal(fclose(f), 0);
}

static void
on_change(void *ctx)
{
	(*(int *)ctx)++;
}

static int
setup(void **state)
{
	static char *none[] = { NULL };
	static char file[64];
	static char *argv[] = { "n", file, NULL };
	struct finds finds;

	(void)state;
	alarm(ALARM_S);
	write_settings(&usual);
	snprintf(file, sizeof(file), "--settings=%s", path);
	source = (struct options_source){ 2, argv, none };
	finds_init(&finds);
	assert_int_equal(options_read_again(&opts, &source, &finds), 0);
	finds_finish(&finds);
	uv_loop_init(&loop);
	event_init("n1", 1, 0);
	changes = 0;
	options_watch_init(&watch, &loop, &opts, &source, on_change, &changes);
	return 0;
}

static int
teardown(void **state)
{
	(void)state;
	options_watch_close(&watch);
	uv_run(&loop, UV_RUN_DEFAULT);
	assert_int_equal(uv_loop_close(&loop), 0);
	return 0;
}

/*
 * A changed file takes effect on a signal, and without one; settings that need
 * a restart stay as they are.
 */
static void
test_change_takes_effect(void **state)
{
	struct values v = usual;
	struct node_options before = opts;

	(void)state;
	v.memory = "100";
	v.slack = "10";
	v.revoke = "2s";
	v.entry = "127.0.0.1:9";
	write_settings(&v);
	assert_int_equal(raise(SIGHUP), 0);
	while (changes == 0)
		uv_run(&loop, UV_RUN_ONCE);
	assert_int_equal(opts.relay.memory_bytes, 100 << 20);
	assert_true(opts.relay.quota_constant < 10.1);
	assert_int_equal(opts.relay.fresh_ms, 1700);
	assert_int_equal(
	    opts.relay.entry.sin_port, before.relay.entry.sin_port);
	assert_int_equal(watch.left_out, 0);
	v.memory = "120";
	write_settings(&v);
	while (changes == 1)
		uv_run(&loop, UV_RUN_ONCE);
	assert_int_equal(opts.relay.memory_bytes, 120 << 20);
}

/*
 * A file with an error, one that is written in part, or none at all: the
 * settings in force stay, and a valid file is used again.
 */
static void
test_bad_file_keeps_settings(void **state)
{
	struct values v = usual;
	struct node_options before = opts;

	(void)state;
	v.memory = "100";
	v.slack = "many";
	write_settings(&v);
	options_watch_read(&watch, NULL);
	options_watch_read(&watch, NULL);
	assert_int_equal(watch.rejections, 1);
	v.slack = "10";
	v.last = "";
	write_settings(&v);
	options_watch_read(&watch, NULL);
	assert_int_equal(watch.rejections, 2);
	unlink(path);
	options_watch_read(&watch, NULL);
	options_watch_read(&watch, NULL);
	assert_int_equal(watch.rejections, 3);
	assert_int_equal(changes, 0);
	assert_memory_equal(&opts, &before, sizeof(opts));
	v.last = "end";
	write_settings(&v);
	options_watch_read(&watch, NULL);
	assert_int_equal(opts.relay.memory_bytes, 100 << 20);
	assert_true(opts.relay.quota_constant < 10.1);
}

/*
 * Nodes with old and new settings side by side: while the file may not have
 * reached all of them, limits, keys and retries are held to the stricter of
 * both.
 */
static void
test_stricter_value_holds(void **state)
{
	struct values v = usual;
	uint64_t fresh_ms = opts.relay.fresh_ms;

	(void)state;
	v.slack = "40";
	v.revoke = "8s";
	v.ratio = "0.1";
	v.memory = "300";
	write_settings(&v);
	options_watch_read(&watch, "signal");
	assert_true(opts.relay.quota_constant < 20.1);
	assert_int_equal(opts.relay.fresh_ms, fresh_ms);
	assert_true(opts.relay.retry_ratio < 0.11);
	assert_int_equal(opts.relay.memory_bytes, 300 << 20);
	assert_int_equal(watch.left_out, 2);
	/* Signals in between don't shorten the wait. */
	options_watch_read(&watch, "signal");
	assert_int_equal(watch.left_out, 2);
	watch.accepted_ms -= 11000;
	options_watch_read(&watch, "signal");
	assert_int_equal(watch.left_out, 0);
	assert_true(opts.relay.quota_constant > 39.9);
	assert_int_equal(opts.relay.fresh_ms, 6800);
	/* Back to the smaller value at once. */
	write_settings(&usual);
	options_watch_read(&watch, NULL);
	assert_true(opts.relay.quota_constant < 20.1);
	assert_int_equal(opts.relay.fresh_ms, fresh_ms);
}

/*
 * A storm of signals while the file is written again and again: what is in
 * force is always one of the files, never a mixture.
 */
static void
test_signal_storm(void **state)
{
	static const struct values files[] = {
		{ "4s", "20", "0.2", "260", "127.0.0.1:1", "end" },
		{ "3s", "19", "0.1", "100", "127.0.0.1:1", "end" },
		{ "2s", "bad", "0.05", "50", "127.0.0.1:1", "end" },
		{ "1s", "18", "0.05", "60", "127.0.0.1:1", "" },
	};
	int i;

	(void)state;
	for (i = 0; i < STORM; i++) {
		write_settings(&files[i % 4]);
		options_watch_read(&watch, i % 3 == 0 ? NULL : "signal");
		assert_true(opts.relay.memory_bytes == 260 << 20 ||
			    opts.relay.memory_bytes == 100 << 20);
		assert_true(
		    opts.relay.fresh_ms <= 3400 && opts.relay.fresh_ms >= 2550);
		assert_true(opts.relay.quota_constant <= 20 &&
			    opts.relay.quota_constant >= 19);
	}
	assert_true(watch.rejections > 0 && watch.reloads > 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
		    test_change_takes_effect, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_bad_file_keeps_settings, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_stricter_value_holds, setup, teardown),
		cmocka_unit_test_setup_teardown(
		    test_signal_storm, setup, teardown),
	};
	int fd = mkstemp(path), rc;

	if (fd == -1)
		return 1;
	close(fd);
	rc = cmocka_run_group_tests(tests, NULL, NULL);
	unlink(path);
	return rc;
}
