#ifndef PATH_HTTP_H
#define PATH_HTTP_H

#include <curl/curl.h>
#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Requests of a caller or an operator, and what came back.
 */

#define HTTP_HEADERS_MAX 8
#define HTTP_LINE 256

struct http_req {
	const char *method; /* NULL for GET, or POST with a body */
	char url[512];
	char headers[HTTP_HEADERS_MAX][HTTP_LINE];
	int header_count;
	const char *body;
	size_t body_len; /* 0 for a string */
	long timeout_ms;
};

struct http_res {
	CURLcode code; /* CURLE_OK only if the answer was whole */
	long status;   /* 0 if there was none */
	char outcome[24];
	char reason[32];
	long tag; /* X-Tag of the stand-in, -1 without */
	char *body;
	size_t len;
	size_t cap;
	uint64_t us;
};

void http_req_init(struct http_req *, const char *, ...)
    __attribute__((format(printf, 2, 3)));
void http_req_header(struct http_req *, const char *, ...)
    __attribute__((format(printf, 2, 3)));
void http_call(CURL *, const struct http_req *, struct http_res *);
void http_res_finish(struct http_res *);
int http_is(const struct http_res *, long, const char *);
int http_content_is(const struct http_res *, uint64_t, size_t);
json_t *http_json(const char *, const char *);

#endif
