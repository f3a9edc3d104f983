#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "../standin/content.h"
#include "base/clock.h"
#include "http.h"

#define TIMEOUT_MS 10000
#define CONNECT_TIMEOUT_MS 2000L
#define BODY_MAX (64 * 1024 * 1024)

static size_t on_body(char *, size_t, size_t, void *);
static size_t on_header(char *, size_t, size_t, void *);
static void take(const char *, size_t, const char *, char *, size_t);

/*
 * Makes a request for a URL.
 */
void
http_req_init(struct http_req *rq, const char *fmt, ...)
{
	va_list ap;

	memset(rq, 0, sizeof(*rq));
	rq->timeout_ms = TIMEOUT_MS;
	va_start(ap, fmt);
	vsnprintf(rq->url, sizeof(rq->url), fmt, ap);
	va_end(ap);
}

/*
 * Adds a header line to a request.
 */
void
http_req_header(struct http_req *rq, const char *fmt, ...)
{
	va_list ap;

	if (rq->header_count == HTTP_HEADERS_MAX)
		return;
	va_start(ap, fmt);
	vsnprintf(rq->headers[rq->header_count++], HTTP_LINE, fmt, ap);
	va_end(ap);
}

/*
 * Collects the body of an answer.
 */
static size_t
on_body(char *p, size_t size, size_t n, void *ctx)
{
	struct http_res *rs = ctx;
	size_t len = size * n;
	char *buf;

	if (rs->len + len > BODY_MAX)
		return 0;
	if (rs->len + len + 1 > rs->cap) {
		rs->cap = (rs->len + len + 1) * 2;
		if ((buf = realloc(rs->body, rs->cap)) == NULL)
			return 0;
		rs->body = buf;
	}
	memcpy(rs->body + rs->len, p, len);
	rs->len += len;
	rs->body[rs->len] = '\0';
	return len;
}

/*
 * Copies the value of a header line if it has the name.
 */
static void
take(const char *line, size_t len, const char *name, char *buf, size_t size)
{
	size_t n = strlen(name), i = 0;

	if (len <= n || strncasecmp(line, name, n) != 0 || line[n] != ':')
		return;
	for (n++; n < len && line[n] == ' '; n++)
		continue;
	while (n < len && line[n] != '\r' && line[n] != '\n' && i + 1 < size)
		buf[i++] = line[n++];
	buf[i] = '\0';
}

/*
 * Notes the headers that tests ask about.
 */
static size_t
on_header(char *p, size_t size, size_t n, void *ctx)
{
	struct http_res *rs = ctx;
	char tag[32] = "";

	take(p, size * n, "Cyclamen-Outcome", rs->outcome, sizeof(rs->outcome));
	take(p, size * n, "Cyclamen-Reason", rs->reason, sizeof(rs->reason));
	take(p, size * n, "X-Tag", tag, sizeof(tag));
	if (tag[0] != '\0')
		rs->tag = strtol(tag, NULL, 10);
	return size * n;
}

/*
 * Sends a request and waits for the answer.  A handle keeps its connection
 * for the next call; NULL uses a connection of its own.
 */
void
http_call(CURL *given, const struct http_req *rq, struct http_res *rs)
{
	CURL *h = given == NULL ? curl_easy_init() : given;
	struct curl_slist *hdrs = NULL;
	uint64_t start = clock_us();
	int i;

	memset(rs, 0, sizeof(*rs));
	rs->tag = -1;
	curl_easy_reset(h);
	for (i = 0; i < rq->header_count; i++)
		hdrs = curl_slist_append(hdrs, rq->headers[i]);
	hdrs = curl_slist_append(hdrs, "Expect:");
	curl_easy_setopt(h, CURLOPT_URL, rq->url);
	curl_easy_setopt(h, CURLOPT_HTTPHEADER, hdrs);
	curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(h, CURLOPT_TIMEOUT_MS, rq->timeout_ms);
	curl_easy_setopt(h, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(h, CURLOPT_WRITEDATA, rs);
	curl_easy_setopt(h, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(h, CURLOPT_HEADERDATA, rs);
	if (rq->body != NULL) {
		curl_easy_setopt(h, CURLOPT_POSTFIELDS, rq->body);
		curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE,
		    (long)(rq->body_len ? rq->body_len : strlen(rq->body)));
	}
	if (rq->method != NULL)
		curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, rq->method);
	rs->code = curl_easy_perform(h);
	curl_easy_getinfo(h, CURLINFO_RESPONSE_CODE, &rs->status);
	rs->us = clock_us() - start;
	curl_slist_free_all(hdrs);
	if (given == NULL)
		curl_easy_cleanup(h);
}

/*
 * Frees what an answer holds.
 */
void
http_res_finish(struct http_res *rs)
{
	free(rs->body);
	rs->body = NULL;
	rs->len = 0;
}

/*
 * Returns 1 if a whole answer has the status and, unless NULL, the reason.
 */
int
http_is(const struct http_res *rs, long status, const char *reason)
{
	return rs->code == CURLE_OK && rs->status == status &&
	       (reason == NULL || strcmp(rs->reason, reason) == 0);
}

/*
 * Returns 1 if the body is the whole content that belongs to a tag.
 */
int
http_content_is(const struct http_res *rs, uint64_t tag, size_t len)
{
	unsigned char buf[65536];
	size_t off = 0, n;

	if (rs->len != len)
		return 0;
	while (off < len) {
		n = len - off < sizeof(buf) ? len - off : sizeof(buf);
		content_fill(tag, off, buf, n);
		if (memcmp(buf, rs->body + off, n) != 0)
			return 0;
		off += n;
	}
	return 1;
}

/*
 * Asks for a URL, with POST if there is a body, and returns the answer as
 * JSON.  Returns NULL unless the answer was whole, 200 and JSON.
 */
json_t *
http_json(const char *url, const char *body)
{
	struct http_req rq;
	struct http_res rs;
	json_t *j = NULL;

	http_req_init(&rq, "%s", url);
	rq.body = body;
	http_call(NULL, &rq, &rs);
	if (http_is(&rs, 200, NULL))
		j = json_loadb(rs.body, rs.len, 0, NULL);
	http_res_finish(&rs);
	return j;
}
