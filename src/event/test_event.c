#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <cmocka.h>

#include "event/event.h"

#define READ_BYTES 65536
#define EVENTS_PER_S 10000
#define RUN_S 30

static int pipe_reader = -1;

/*
 * Redirects standard output to a pipe.  cmocka's output goes to the original
 * standard output.
 */
static void
redirect_stdout(void)
{
	int fds[2];

	assert_int_equal(pipe(fds), 0);
	assert_true(dup2(fds[1], STDOUT_FILENO) >= 0);
	close(fds[1]);
	pipe_reader = fds[0];
	assert_int_equal(fcntl(pipe_reader, F_SETFL, O_NONBLOCK), 0);
	event_init("n1", 0, 0);
}

/*
 * Reads all lines from the pipe into a buffer.  Returns their length.
 */
static size_t
drain(char *buf, size_t size)
{
	size_t len = 0;
	ssize_t n;

	for (;;) {
		event_flush();
		n = read(pipe_reader, buf + len, size - 1 - len);
		if (n <= 0)
			break;
		len += (size_t)n;
	}
	buf[len] = '\0';
	return len;
}

/*
 * A line contains the time, the node, the level, the event and its fields.
 */
static void
test_line_format(void **state)
{
	char buf[READ_BYTES], *rest;
	uint64_t t, day = (uint64_t)time(NULL) * 1000;

	(void)state;
	event_log(EVENT_READY, 12, "config=%d", 7);
	drain(buf, sizeof(buf));
	assert_int_equal(strncmp(buf, "t=", 2), 0);
	t = strtoull(buf + 2, &rest, 10);
	assert_true(t + 5000 > day && t < day + 5000);
	assert_string_equal(rest, " node=n1 level=info event=ready config=7\n");
}

/*
 * Of many events of one kind in a period, the first lines are written and the
 * rest is counted.
 */
static void
test_rate_limit(void **state)
{
	char buf[READ_BYTES];
	int i, lines = 0;
	char *p;

	(void)state;
	for (i = 0; i < 1000; i++)
		event_log(EVENT_REQUEST_FAILED, 5000, "id=%d", i);
	event_log(EVENT_REQUEST_FAILED, 6000, "id=last");
	drain(buf, sizeof(buf));
	for (p = buf; (p = strchr(p, '\n')) != NULL; p++)
		lines++;
	assert_int_equal(lines, 20 + 2);
	assert_non_null(strstr(buf, "suppressed=980"));
	assert_non_null(strstr(buf, "id=last"));
}

/*
 * Logging must not block when nobody reads the pipe; lines that don't fit are
 * counted as dropped.
 */
static void
test_unread_pipe(void **state)
{
	struct timespec a, b;
	char buf[4 * READ_BYTES];
	uint64_t i, now;
	double s;

	(void)state;
	clock_gettime(CLOCK_MONOTONIC, &a);
	for (i = 0; i < (uint64_t)EVENTS_PER_S * RUN_S; i++) {
		now = 10000 + i * 1000 / EVENTS_PER_S;
		event_log((enum event)(i % EVENT_MAX), now,
		    "id=%llu reason=overload service=orders age_ms=1",
		    (unsigned long long)i);
		if (i % 100 == 0)
			event_flush();
	}
	clock_gettime(CLOCK_MONOTONIC, &b);
	s = (double)(b.tv_sec - a.tv_sec) +
	    (double)(b.tv_nsec - a.tv_nsec) / 1e9;
	fprintf(stderr, "%.3f s for %d s of events\n", s, RUN_S);
	assert_true(event_dropped() > 0);
	assert_true(s < RUN_S / 10.0);
	drain(buf, sizeof(buf));
	event_log(EVENT_READY, 100000, "config=1");
	drain(buf, sizeof(buf));
	assert_non_null(strstr(buf, "event=ready"));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_line_format),
		cmocka_unit_test(test_rate_limit),
		cmocka_unit_test(test_unread_pipe),
	};
	int rc, out = dup(STDOUT_FILENO);

	redirect_stdout();
	/* The output of cmocka must not fill the pipe. */
	stdout = fdopen(out, "w");
	rc = cmocka_run_group_tests(tests, NULL, NULL);
	fflush(stdout);
	return rc;
}
