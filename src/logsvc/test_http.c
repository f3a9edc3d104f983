#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include "exchange/test_raw.h"
#include "logsvc/logsvc.h"

#define ALARM_S 120
#define TIMEOUT_MS 5000
#define URL_BYTES 64
#define REST "Content-Length: 13\r\n\r\n{\"offset\": 7}"

#define CHUNKED(chunks) \
	"HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n" chunks

/* An answer to an append, and what it says of the record. */
struct append_case {
	const char *answer;
	enum logsvc_status status;
	int reset; /* behind it */
};

static const struct append_case append_cases[] = {
	{ "HTTP/1.1 201 Created\r\n" REST, LOGSVC_OK, 0 },
	{ "HTTP/1.1 503 Unavailable\r\n" REST, LOGSVC_REFUSED, 0 },
	{ "HTTP/1.1 000 OK\r\n" REST, LOGSVC_UNKNOWN, 0 },
	{ "HTTP/1.1 600 OK\r\n" REST, LOGSVC_UNKNOWN, 0 },
	{ "HTTP/1.1 999 OK\r\n" REST, LOGSVC_UNKNOWN, 0 },
	{ "HTTP/1.1 201 Created\r\n\r\n{\"offset\": 7}", LOGSVC_OK, 0 },
	{ "HTTP/1.1 201 Created\r\n\r\n{\"offset\": 7}", LOGSVC_UNKNOWN, 1 },
	{ "HTTP/1.1 503 Unavailable\r\n\r\n", LOGSVC_UNKNOWN, 1 },
	{ "HTTP/1.1 201 Created\r\nA B: c\r\n" REST, LOGSVC_UNKNOWN, 0 },
	{ "HTTP/1.1 201 Created\r\nA: b\x01\r\n" REST, LOGSVC_UNKNOWN, 0 },
	{ "HTTP/1.1 503 No\r\nA B: c\r\n" REST, LOGSVC_UNKNOWN, 0 },
	{ "HTTP/1.1 503 No\r\nContent Length: 0\r\n\r\n", LOGSVC_UNKNOWN, 0 },
	{ CHUNKED("d\r\n{\"offset\": 7}\r\n0\r\nA: b\r\n\r\n"), LOGSVC_OK, 0 },
	{ CHUNKED("d\r\n{\"offset\": 7}\r\n0\r\nA B: c\r\n\r\n"),
	    LOGSVC_UNKNOWN, 0 },
};

/*
 * Appends a record to a log service that answers as told.
 */
static enum logsvc_status
append_to(struct raw_server *s)
{
	struct logsvc_http *h;
	struct logsvc log;
	enum logsvc_status st;
	uint64_t offset = 0;
	pthread_t thread;
	char url[URL_BYTES];

	snprintf(url, sizeof(url), "http://127.0.0.1:%u", s->port);
	h = logsvc_http_new(url);
	logsvc_http_use(h, &log);
	assert_int_equal(pthread_create(&thread, NULL, serve_once, s), 0);
	st = log.append(log.ctx, "s", "{}", 2, TIMEOUT_MS, &offset);
	pthread_join(thread, NULL);
	logsvc_http_free(h);
	if (st == LOGSVC_OK)
		assert_int_equal(offset, 7);
	return st;
}

/*
 * Only a valid refusal says that nothing was written.
 */
static void
test_append_answers(void **state)
{
	const struct append_case *c;
	struct raw_server s;
	size_t i;

	(void)state;
	raw_init(&s);
	for (i = 0; i < sizeof(append_cases) / sizeof(append_cases[0]); i++) {
		c = &append_cases[i];
		print_message("%s\n", c->answer);
		s.answer = c->answer;
		s.cut_at = strlen(c->answer);
		s.reset = c->reset;
		assert_int_equal(append_to(&s), c->status);
	}
	close(s.listener);
}

/*
 * Bytes that are no answer, without end, are not kept.
 */
static void
test_endless_answers(void **state)
{
	static char fields[8192], chunks[8192];
	const struct {
		const char *answer, *endless;
	} rows[] = {
		{ "HTTP/1.1 201 Created\r\n", fields },
		{ CHUNKED("0\r\n"), fields },
		{ CHUNKED(""), chunks },
		{ "HTTP/1.1 201 Created\r\n\r\n", chunks },
	};
	struct raw_server s;
	size_t i;

	(void)state;
	fill(fields, sizeof(fields), "A: b\r\n");
	snprintf(chunks, sizeof(chunks), "1000\r\n%04096d\r\n", 0);
	raw_init(&s);
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		s.answer = rows[i].answer;
		s.cut_at = strlen(rows[i].answer);
		s.endless = rows[i].endless;
		assert_int_equal(append_to(&s), LOGSVC_UNKNOWN);
		print_message("%zu bytes\n", s.sent);
		assert_true(s.sent < ENDLESS_BYTES);
	}
	close(s.listener);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_append_answers),
		cmocka_unit_test(test_endless_answers),
	};

	alarm(ALARM_S);
	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
