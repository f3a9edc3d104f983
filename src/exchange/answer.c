#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "exchange/answer.h"

#define HEAD_TEXT_MAX (HEAD_BYTES_MAX + 1024)

static int on_head(void *, const struct head *);
static int on_body(void *, const char *, size_t);

/*
 * Prepares an answer to a request.
 */
void
answer_init(struct answer *a, struct request *req)
{
	a->req = req;
	a->held = NULL;
	a->held_len = a->held_cap = 0;
	a->has_head = a->started = a->broken = 0;
}

/*
 * Frees what an answer holds.
 */
void
answer_finish(struct answer *a)
{
	free(a->held);
	a->held = NULL;
}

/*
 * Forgets a held answer so that another can take its place.  Must not be
 * called once bytes were passed on.
 */
void
answer_reset(struct answer *a)
{
	a->held_len = 0;
	a->has_head = 0;
}

/*
 * Makes the sink that fills this answer.
 */
void
answer_sink(struct answer *a, struct answer_sink *s)
{
	s->head = on_head;
	s->body = on_body;
	s->ctx = a;
}

/*
 * Writes bytes to the connection.  Returns -1 once it takes no more.
 */
static int
conn_write(struct answer *a, const char *data, size_t len)
{
	if (a->broken)
		return -1;
	if (len > 0 && mg_write(a->req->conn, data, len) != (int)len)
		a->broken = 1;
	return a->broken ? -1 : 0;
}

/*
 * Formats the head of an answer into a buffer of HEAD_TEXT_MAX bytes and
 * returns its length.
 */
static size_t
head_text(const struct answer *a, int64_t length, char *buf)
{
	const struct head *h = &a->head;
	size_t n;
	unsigned int i;

	n = (size_t)snprintf(buf, HEAD_TEXT_MAX, "HTTP/1.1 %d %s\r\n",
	    h->status, mg_get_response_code_text(a->req->conn, h->status));
	for (i = 0; i < h->count; i++)
		n += (size_t)snprintf(buf + n, HEAD_TEXT_MAX - n, "%s: %s\r\n",
		    head_name(h, i), head_value(h, i));
	if (atomic_load(a->req->closing)) {
		mg_disable_connection_keep_alive(a->req->conn);
		n += (size_t)snprintf(
		    buf + n, HEAD_TEXT_MAX - n, "Connection: close\r\n");
	}
	if (length == HEAD_LEN_CHUNKED)
		n += (size_t)snprintf(buf + n, HEAD_TEXT_MAX - n,
		    "Transfer-Encoding: chunked\r\n\r\n");
	else if (h->status == 204)
		n += (size_t)snprintf(buf + n, HEAD_TEXT_MAX - n, "\r\n");
	else
		n += (size_t)snprintf(buf + n, HEAD_TEXT_MAX - n,
		    "Content-Length: %lld\r\n\r\n", (long long)length);
	return n;
}

/*
 * Begins to pass on a long answer: its head and what was held of it.
 */
static int
answer_start(struct answer *a)
{
	char *buf;
	size_t n;

	if (a->head.length == HEAD_LEN_CHUNKED && a->req->http10)
		return -1; /* there is no way to show where it ends */
	buf = malloc(HEAD_TEXT_MAX);
	if (buf == NULL)
		err(1, "answer_start");
	a->started = 1;
	n = head_text(a, a->head.length, buf);
	conn_write(a, buf, n);
	free(buf);
	if (a->held_len > 0 && a->head.length == HEAD_LEN_CHUNKED) {
		if (!a->broken && mg_send_chunk(a->req->conn, a->held,
				      (unsigned int)a->held_len) <= 0)
			a->broken = 1;
	} else {
		conn_write(a, a->held, a->held_len);
	}
	a->held_len = 0;
	return a->broken ? -1 : 0;
}

/*
 * Receives the head of an answer.
 */
static int
on_head(void *ctx, const struct head *h)
{
	struct answer *a = ctx;

	a->head = *h;
	a->has_head = 1;
	return 0;
}

/*
 * Holds a part of a body in memory that grows up to the bound.
 */
static void
hold(struct answer *a, const char *data, size_t len)
{
	char *p;

	if (a->held_len + len > a->held_cap) {
		a->held_cap = (a->held_len + len) * 2;
		p = realloc(a->held, a->held_cap);
		if (p == NULL)
			err(1, "hold");
		a->held = p;
	}
	memcpy(a->held + a->held_len, data, len);
	a->held_len += len;
}

/*
 * Receives a part of the body: holds it, or passes it on.
 */
static int
on_body(void *ctx, const char *data, size_t len)
{
	struct answer *a = ctx;

	if (!a->started && a->held_len + len <= ANSWER_HOLD_BYTES) {
		hold(a, data, len);
		return 0;
	}
	if (!a->started && answer_start(a) == -1)
		return -1;
	if (a->head.length != HEAD_LEN_CHUNKED)
		return conn_write(a, data, len);
	if (mg_send_chunk(a->req->conn, data, (unsigned int)len) <= 0)
		a->broken = 1;
	return a->broken ? -1 : 0;
}

/*
 * Ends a whole answer: passes on what is held, or the last chunk.
 */
void
answer_end(struct answer *a)
{
	size_t n;
	char *buf;
	int head_only = strcmp(a->req->method, "HEAD") == 0;

	if (a->started) {
		if (a->head.length == HEAD_LEN_CHUNKED && !a->broken &&
		    mg_send_chunk(a->req->conn, "", 0) <= 0)
			a->broken = 1;
		if (a->broken)
			mg_disable_connection_keep_alive(a->req->conn);
		return;
	}
	buf = malloc(HEAD_TEXT_MAX + a->held_len);
	if (buf == NULL)
		err(1, "answer_end");
	n = head_text(a,
	    head_only && a->head.length >= 0 ? a->head.length
					     : (int64_t)a->held_len,
	    buf);
	if (a->held_len > 0)
		memcpy(buf + n, a->held, a->held_len);
	a->started = 1;
	if (conn_write(a, buf, n + a->held_len) == -1)
		mg_disable_connection_keep_alive(a->req->conn);
	free(buf);
}

/*
 * Breaks an answer that can't be made whole: the connection closes before
 * the announced length or the last chunk.
 */
void
answer_break(struct answer *a)
{
	a->broken = 1;
	counter_add(CTR_CUT_ANSWERS, 1);
	mg_disable_connection_keep_alive(a->req->conn);
}

/*
 * Answers a request with a refusal, truthful about whether it ran.  Fields
 * for peers may be added by a head; the detail replaces the usual one.
 */
void
answer_refuse(struct request *r, enum outcome out, enum reason why,
    const char *detail, int retry_after, const struct head *more)
{
	const struct reason_row *row = &reason_rows[why];
	char body[512], *buf;
	struct answer *a = malloc(sizeof(*a));
	size_t n;
	int len;

	buf = malloc(HEAD_TEXT_MAX + sizeof(body));
	if (buf == NULL || a == NULL)
		err(1, "answer_refuse");
	answer_init(a, r);
	if (more != NULL)
		a->head = *more;
	else
		head_init(&a->head, row->status);
	a->head.status = row->status;
	if (detail == NULL || detail[0] == '\0')
		detail = row->detail;
	len = snprintf(body, sizeof(body),
	    "{\"outcome\":\"%s\",\"reason\":\"%s\",\"detail\":\"%s\"}\n",
	    outcome_names[out], row->name, detail);
	head_add(&a->head, "Content-Type", "application/json");
	head_add(&a->head, "Cyclamen-Outcome", outcome_names[out]);
	head_add(&a->head, "Cyclamen-Reason", row->name);
	if (retry_after == 0)
		retry_after = row->retry_after;
	if (retry_after > 0)
		head_addf(&a->head, "Retry-After", "%d", retry_after);
	n = head_text(a, len, buf);
	if (strcmp(r->method, "HEAD") != 0) {
		memcpy(buf + n, body, (size_t)len);
		n += (size_t)len;
	}
	if (mg_write(r->conn, buf, n) != (int)n)
		mg_disable_connection_keep_alive(r->conn);
	counter_add((enum counter)row->counter, 1);
	counter_add(out == OUTCOME_NOT_RUN ? CTR_NOT_RUN : CTR_MAY_HAVE_RUN, 1);
	free(buf);
	free(a);
}
