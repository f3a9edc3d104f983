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

#include "exchange/get.h"
#include "exchange/test_raw.h"

#define ALARM_S 120
#define TIMEOUT_MS 5000
#define NODE_BYTES 64
#define BODY "{\"version\":7}"
#define OK_LINE "HTTP/1.1 200 OK\r\n"
#define REST "Content-Length: 13\r\n\r\n" BODY
#define CHUNKED(chunks) OK_LINE "Transfer-Encoding: chunked\r\n\r\n" chunks

/* An answer of a node, and whether it is one. */
static const struct {
	const char *answer;
	int valid;
	int reset; /* behind it */
} answers[] = {
	{ OK_LINE REST, 1, 0 },
	{ OK_LINE "\r\n" BODY, 1, 0 },
	{ CHUNKED("d\r\n" BODY "\r\n0\r\nA: b\r\n\r\n"), 1, 0 },
	{ OK_LINE "\r\n" BODY, 0, 1 },
	{ OK_LINE "Content-Length: 14\r\n\r\n" BODY, 0, 0 },
	{ "HTTP/1.1 000 OK\r\n" REST, 0, 0 },
	{ "HTTP/1.1 0200 OK\r\n" REST, 0, 0 },
	{ "HTTP/1.1 201 OK\r\n" REST, 0, 0 },
	{ OK_LINE "A B: c\r\n" REST, 0, 0 },
	{ OK_LINE "A\x01: b\r\n" REST, 0, 0 },
	{ OK_LINE "Content Length: 2\r\n\r\n" BODY, 0, 0 },
	{ CHUNKED("d\r\n" BODY "\r\n0\r\nA B: c\r\n\r\n"), 0, 0 },
	{ CHUNKED("d\r\n" BODY "XX0\r\n\r\n"), 0, 0 },
};

/*
 * Gets a path from a node that answers as told.
 */
static char *
get_from(struct raw_server *s)
{
	char node[NODE_BYTES], *text;
	pthread_t thread;

	snprintf(node, sizeof(node), "127.0.0.1:%u", s->port);
	assert_int_equal(pthread_create(&thread, NULL, serve_once, s), 0);
	text = exchange_get(node, "/version", TIMEOUT_MS);
	pthread_join(thread, NULL);
	return text;
}

/*
 * Only a whole and valid answer with status 200 gives a text.
 */
static void
test_answers(void **state)
{
	struct raw_server s;
	char *text;
	size_t i;

	(void)state;
	raw_init(&s);
	for (i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
		print_message("%s\n", answers[i].answer);
		s.answer = answers[i].answer;
		s.cut_at = strlen(s.answer);
		s.reset = answers[i].reset;
		text = get_from(&s);
		if (answers[i].valid)
			assert_string_equal(text, BODY);
		else
			assert_null(text);
		free(text);
	}
	close(s.listener);
}

/*
 * Bytes that are no answer, without end, are not kept.
 */
static void
test_endless_answers(void **state)
{
	static char fields[8192];
	const char *const starts[] = { OK_LINE, CHUNKED("0\r\n") };
	struct raw_server s;
	size_t i;

	(void)state;
	fill(fields, sizeof(fields), "A: b\r\n");
	raw_init(&s);
	s.endless = fields;
	for (i = 0; i < sizeof(starts) / sizeof(starts[0]); i++) {
		s.answer = starts[i];
		s.cut_at = strlen(s.answer);
		assert_null(get_from(&s));
		print_message("%zu bytes\n", s.sent);
		assert_true(s.sent < ENDLESS_BYTES);
	}
	close(s.listener);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_answers),
		cmocka_unit_test(test_endless_answers),
	};

	alarm(ALARM_S);
	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
