#include <arpa/inet.h>
#include <errno.h>
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

#include "exchange/client.h"
#include "exchange/test_raw.h"

#define ALARM_S 120
#define BODY "mine and all of it"
#define TIMEOUT_MS 5000
#define POOL 4
#define UPLOAD_BYTES (16 << 20)

/*
 * Answers that end anywhere, read by the client of the exit and of the entry.
 */

static const struct {
	const char *name;
	const char *answer;
} framings[] = {
	{ "length", "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 18\r\n"
		    "\r\n" BODY },
	{ "length first", "HTTP/1.1 200 OK\r\nContent-Length: 18\r\n"
			  "Stamp: s\r\n\r\n" BODY },
	{ "chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
		    "Stamp: s\r\n\r\n12\r\n" BODY "\r\n0\r\n\r\n" },
	{ "chunks and trailers",
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	    "Stamp: s\r\n\r\n12;a\r\n" BODY "\r\n0\r\nA: b\r\nC:\r\n\r\n" },
	{ "interim answer before it",
	    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
	    "Content-Length: 18\r\n\r\n" BODY },
};

#define REST_OF_HEAD "Stamp: s\r\nContent-Length: 18\r\n\r\n"

/* Answers with a status outside the classes of HTTP. */
static const char *const invalid_statuses[] = {
	"HTTP/1.1 000 OK\r\n" REST_OF_HEAD BODY,
	"HTTP/1.1 099 OK\r\n" REST_OF_HEAD BODY,
	"HTTP/1.1 600 OK\r\n" REST_OF_HEAD BODY,
	"HTTP/1.1 999 OK\r\n" REST_OF_HEAD BODY,
	"HTTP/1.1 0200 OK\r\n" REST_OF_HEAD BODY,
	"HTTP/1.1 2000 OK\r\n" REST_OF_HEAD BODY,
	"HTTP/1.1 20 OK\r\n" REST_OF_HEAD BODY,
	"HTTP/1.1 -20 OK\r\n" REST_OF_HEAD BODY,
};

#define INVALID_LINE(line) \
	"HTTP/1.1 200 OK\r\n" line "Content-Length: 18\r\n\r\n" BODY

static const char *const invalid_heads[] = {
	INVALID_LINE("A B: c\r\n"),
	INVALID_LINE("A : b\r\n"),
	INVALID_LINE(" A: b\r\n"),
	INVALID_LINE("B: c\r\n A: b\r\n"),
	INVALID_LINE("A\tB: c\r\n"),
	INVALID_LINE("A\x01: b\r\n"),
	INVALID_LINE("A\x7f: b\r\n"),
	INVALID_LINE("A\xe9: b\r\n"),
	INVALID_LINE("A(: b\r\n"),
	INVALID_LINE(": b\r\n"),
	INVALID_LINE("A\r\n"),
	INVALID_LINE("HTTP/1.1 200 OK\r\n"),
	INVALID_LINE("A: b\x01\r\n"),
	INVALID_LINE("A: \x01\r\n"),
	INVALID_LINE("A: b\rc\r\n"),
	INVALID_LINE("A:\rB: c\r\n"),
	"HTTP/1.1 200 OK\r\nContent Length: 4\r\n\r\n" BODY,
	"HTTP/1.1 200 OK\r\nContent-Length : 18\r\n\r\n" BODY,
	"HTTP/1.1 200 OK\r\n Content-Length: 4\r\n\r\n" BODY,
	"HTTP/1.1 200 OK\r\nTransfer Encoding: chunked\r\n\r\n"
	"12\r\n" BODY "\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n"
	"12\r\n" BODY "\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\rContent-Length: 4\r\n\r\n" BODY,
	"HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r" BODY,
	"HTTP/1.1  200 OK\r\n" REST_OF_HEAD BODY,
	"HTTP/1.1 200 O\x01\r\n" REST_OF_HEAD BODY,
	"HTTP/1.1 100 Continue\r\nA B: c\r\n\r\n"
	"HTTP/1.1 200 OK\r\n" REST_OF_HEAD BODY,
};

#define CHUNKED(chunks) \
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" chunks

static const char *const invalid_chunks[] = {
	CHUNKED("4\rXmine\r\n0\r\n\r\n"),
	CHUNKED("4\r\nmineXX0\r\n\r\n"),
	CHUNKED("4\r\nmine\rX0\r\n\r\n"),
	CHUNKED("2\r\nmine\r\n0\r\n\r\n"),
	CHUNKED("2\r\nmi\x01\x02"
		"0\r\n\r\n"),
	CHUNKED("\r\nmine\r\n0\r\n\r\n"),
	CHUNKED(" 4\r\nmine\r\n0\r\n\r\n"),
	CHUNKED("+4\r\nmine\r\n0\r\n\r\n"),
	CHUNKED("0x4\r\nmine\r\n0\r\n\r\n"),
	CHUNKED("10000000000000004\r\nmine\r\n0\r\n\r\n"),
	CHUNKED("4\r\nmine\r\n0\r\nA B: c\r\n\r\n"),
	CHUNKED("4\r\nmine\r\n0\r\nA : b\r\n\r\n"),
	CHUNKED("4\r\nmine\r\n0\r\n A: b\r\n\r\n"),
	CHUNKED("4\r\nmine\r\n0\r\nA: \x01\r\n\r\n"),
	CHUNKED("4\r\nmine\r\n0\r\nA:\rB: c\r\n\r\n"),
	CHUNKED("4\r\nmine\r\n0\r\nA: b\r\nA\r\n\r\n"),
	CHUNKED("4\r\nmine\r\n0\r\n\rX"),
};

#define CODED(coding)                                              \
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: " coding "\r\n\r\n" \
	"12\r\n" BODY "\r\n0\r\n\r\n"

static const char *const other_codings[] = {
	CODED("xchunked"),
	CODED("chunke"),
	CODED("chunked2"),
	CODED("gzip"),
	CODED("gzip, chunked"),
	CODED("chunked, gzip"),
	CODED("identity"),
	CODED("chunked\r\nTransfer-Encoding: chunked"),
	CODED(""),
};

/* What the receiver of an answer got. */
struct receipt {
	int heads;
	int status;
	size_t body_len;
};

static int
on_head(void *ctx, const struct head *h)
{
	struct receipt *r = ctx;

	r->heads++;
	r->status = h->status;
	return 0;
}

static int
on_body(void *ctx, const char *p, size_t n)
{
	struct receipt *r = ctx;

	(void)p;
	assert_int_equal(r->heads, 1);
	r->body_len += n;
	return 0;
}

static enum exchange_end
exchange(struct client *cl, const struct raw_server *s, struct receipt *r,
    size_t body_len)
{
	static char body[UPLOAD_BYTES];
	struct answer_sink sink = { on_head, on_body, r };
	struct exchange_req req;
	static struct head h;

	head_init(&h, 0);
	memset(&req, 0, sizeof(req));
	memset(r, 0, sizeof(*r));
	req.addr = INADDR_LOOPBACK;
	req.port = s->port;
	req.method = body_len > 0 ? "POST" : "GET";
	req.body = body;
	req.body_len = body_len;
	req.target = "/x";
	req.head = &h;
	req.timeout_ms = TIMEOUT_MS;
	req.idle_max = 1;
	return client_exchange(cl, &req, &sink);
}

/*
 * Truncated answers: every framing, cut at every place, closed or reset, on a
 * new or a kept connection.  Only a whole answer ends as whole.
 */
static void
test_cut_answer_is_never_whole(void **state)
{
	struct raw_server s;
	struct receipt r = { 0 };
	struct client *cl;
	enum exchange_end end;
	pthread_t thread;
	size_t i, total;

	(void)state;
	raw_init(&s);
	s.kept_answer = framings[0].answer;
	for (i = 0; i < sizeof(framings) / sizeof(framings[0]); i++) {
		total = strlen(framings[i].answer);
		s.answer = framings[i].answer;
		for (s.cut_at = 1; s.cut_at <= total; s.cut_at++) {
			s.kept = s.cut_at % 2 == 0;
			s.reset = s.cut_at % 3 == 0;
			cl = client_new(INADDR_LOOPBACK, POOL, TIMEOUT_MS);
			assert_non_null(cl);
			assert_int_equal(
			    pthread_create(&thread, NULL, serve_once, &s), 0);
			if (s.kept) {
				end = exchange(cl, &s, &r, 0);
				assert_int_equal(end, EXCHANGE_WHOLE);
			}
			end = exchange(cl, &s, &r, 0);
			if (end == EXCHANGE_WHOLE) {
				/*
				 * Of the two line ends behind the last chunk,
				 * the last byte says nothing more.
				 */
				assert_true(s.cut_at == total ||
					    (s.cut_at == total - 1 &&
						strstr(s.answer, "chunked")));
				assert_int_equal(r.status, 200);
				assert_int_equal(r.body_len, strlen(BODY));
			} else {
				assert_true(s.reset || s.cut_at < total);
				assert_int_not_equal(end, EXCHANGE_UNSENT);
			}
			pthread_join(thread, NULL);
			client_free(cl);
		}
	}
	close(s.listener);
}

/*
 * Sends each of a list of answers, whole, and checks that none is received as
 * whole, with at most so many heads passed on.
 */
static void
check_no_answers(const char *const *list, size_t count, int heads)
{
	struct raw_server s;
	struct receipt r = { 0 };
	struct client *cl;
	enum exchange_end end;
	pthread_t thread;
	size_t i;

	raw_init(&s);
	for (i = 0; i < count; i++) {
		print_message("%s\n", list[i]);
		s.answer = list[i];
		s.cut_at = strlen(list[i]);
		cl = client_new(INADDR_LOOPBACK, POOL, TIMEOUT_MS);
		assert_int_equal(
		    pthread_create(&thread, NULL, serve_once, &s), 0);
		end = exchange(cl, &s, &r, 0);
		pthread_join(thread, NULL);
		client_free(cl);
		assert_int_not_equal(end, EXCHANGE_WHOLE);
		assert_int_not_equal(end, EXCHANGE_UNSENT);
		assert_true(r.heads <= heads);
	}
	close(s.listener);
}

/*
 * A status outside the classes of HTTP.
 */
static void
test_invalid_status_is_no_answer(void **state)
{
	(void)state;
	check_no_answers(invalid_statuses,
	    sizeof(invalid_statuses) / sizeof(invalid_statuses[0]), 0);
}

/*
 * A body in another transfer coding than chunks.
 */
static void
test_other_coding_is_no_answer(void **state)
{
	(void)state;
	check_no_answers(
	    other_codings, sizeof(other_codings) / sizeof(other_codings[0]), 0);
}

/*
 * A colon in a reason phrase doesn't make it a field.
 */
static void
test_reason_with_colon(void **state)
{
	struct raw_server s;
	struct receipt r = { 0 };
	struct client *cl;
	pthread_t thread;

	(void)state;
	raw_init(&s);
	s.answer = "HTTP/1.1 100 Go: on\r\n\r\n"
		   "HTTP/1.1 500 Failed: twice\r\n" REST_OF_HEAD BODY;
	s.cut_at = strlen(s.answer);
	cl = client_new(INADDR_LOOPBACK, POOL, TIMEOUT_MS);
	assert_int_equal(pthread_create(&thread, NULL, serve_once, &s), 0);
	assert_int_equal(exchange(cl, &s, &r, 0), EXCHANGE_WHOLE);
	pthread_join(thread, NULL);
	client_free(cl);
	close(s.listener);
	assert_int_equal(r.status, 500);
	assert_int_equal(r.body_len, strlen(BODY));
}

/*
 * A head that isn't one of HTTP.
 */
static void
test_invalid_head_is_no_answer(void **state)
{
	(void)state;
	check_no_answers(
	    invalid_heads, sizeof(invalid_heads) / sizeof(invalid_heads[0]), 0);
}

/*
 * Chunks or trailers that aren't those of HTTP.
 */
static void
test_invalid_chunks_are_no_answer(void **state)
{
	(void)state;
	check_no_answers(invalid_chunks,
	    sizeof(invalid_chunks) / sizeof(invalid_chunks[0]), 1);
}

/*
 * A server in trouble sends bytes that are no answer, without end.  The
 * exchange ends after a bounded number of them.
 */
static void
test_endless_bytes_end_exchange(void **state)
{
	static char fields[8192], text[8192], interim[8192];
	const struct {
		const char *name, *answer, *endless;
	} rows[] = {
		{ "no HTTP", "\x01", text },
		{ "empty lines", "\r\n", "\r\n\r\n\r\n\r\n" },
		{ "reason phrase", "HTTP/1.1 200 O", text },
		{ "field", "HTTP/1.1 200 OK\r\nA: b", text },
		{ "fields", "HTTP/1.1 200 OK\r\n", fields },
		{ "interim answers", "HTTP/1.1 100 Continue\r\n\r\n", interim },
		{ "trailer", CHUNKED("0\r\nA: b"), text },
		{ "trailers", CHUNKED("0\r\n"), fields },
	};
	struct raw_server s;
	struct receipt r = { 0 };
	struct client *cl;
	enum exchange_end end;
	pthread_t thread;
	size_t i;

	(void)state;
	fill(text, sizeof(text), "a");
	fill(fields, sizeof(fields), "A: b\r\n");
	fill(interim, sizeof(interim), "HTTP/1.1 100 Continue\r\n\r\n");
	raw_init(&s);
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		s.answer = rows[i].answer;
		s.cut_at = strlen(rows[i].answer);
		s.endless = rows[i].endless;
		cl = client_new(INADDR_LOOPBACK, POOL, TIMEOUT_MS);
		assert_int_equal(
		    pthread_create(&thread, NULL, serve_once, &s), 0);
		end = exchange(cl, &s, &r, 0);
		pthread_join(thread, NULL);
		client_free(cl);
		print_message(
		    "%s: %zu bytes, end %d\n", rows[i].name, s.sent, end);
		assert_int_not_equal(end, EXCHANGE_WHOLE);
		assert_int_not_equal(end, EXCHANGE_UNSENT);
		assert_int_not_equal(end, EXCHANGE_TIMEOUT);
		assert_true(s.sent < ENDLESS_BYTES);
	}
	close(s.listener);
}

/*
 * Answers to a long upload that is still being written, cut anywhere by a
 * reset.
 */
static void
test_early_answer_is_cut_by_reset(void **state)
{
	static const char answer[] = "HTTP/1.1 200 OK\r\nStamp: s\r\n\r\n" BODY;
	struct raw_server s;
	struct receipt r = { 0 };
	struct client *cl;
	enum exchange_end end;
	pthread_t thread;

	(void)state;
	raw_init(&s);
	s.answer = answer;
	s.early = s.reset = 1;
	for (s.cut_at = strlen(answer); s.cut_at > 0; s.cut_at--) {
		cl = client_new(INADDR_LOOPBACK, POOL, TIMEOUT_MS);
		assert_int_equal(
		    pthread_create(&thread, NULL, serve_once, &s), 0);
		end = exchange(cl, &s, &r, UPLOAD_BYTES);
		pthread_join(thread, NULL);
		client_free(cl);
		assert_int_not_equal(end, EXCHANGE_WHOLE);
		assert_int_not_equal(end, EXCHANGE_UNSENT);
		assert_int_equal(r.heads, 0);
	}
	close(s.listener);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cut_answer_is_never_whole),
		cmocka_unit_test(test_invalid_status_is_no_answer),
		cmocka_unit_test(test_invalid_head_is_no_answer),
		cmocka_unit_test(test_invalid_chunks_are_no_answer),
		cmocka_unit_test(test_other_coding_is_no_answer),
		cmocka_unit_test(test_reason_with_colon),
		cmocka_unit_test(test_endless_bytes_end_exchange),
		cmocka_unit_test(test_early_answer_is_cut_by_reset),
	};

	alarm(ALARM_S);
	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
