#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/http_syntax.h"
#include "exchange/get.h"

#define URL_BYTES 256
#define BODY_BYTES_MAX (64 * 1024 * 1024)
#define HTTP_OK 200

struct body {
	char *data;
	size_t len;
};

static size_t body_write(char *, size_t, size_t, void *);

/*
 * Collects the answer's body for libcurl.
 */
static size_t
body_write(char *data, size_t size, size_t count, void *ctx)
{
	struct body *b = ctx;
	size_t n = size * count;
	char *p;

	if (b->len + n > BODY_BYTES_MAX)
		return 0;
	p = realloc(b->data, b->len + n + 1);
	if (p == NULL)
		return 0;
	memcpy(p + b->len, data, n);
	b->data = p;
	b->len += n;
	b->data[b->len] = '\0';
	return n;
}

/*
 * Gets a path from a node's operator port within the timeout (ms).  Returns
 * the body, which the caller frees, or NULL.
 */
char *
exchange_get(const char *node, const char *path, uint32_t timeout)
{
	struct body b = { NULL, 0 };
	struct http_lines lines;
	char url[URL_BYTES];
	CURL *c = curl_easy_init();
	long status = 0;
	CURLcode rc;

	if (c == NULL)
		return NULL;
	snprintf(url, sizeof(url), "http://%s%s", node, path);
	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, (long)timeout);
	http_lines_init(&lines);
	curl_easy_setopt(c, CURLOPT_HEADERFUNCTION, http_lines_receive);
	curl_easy_setopt(c, CURLOPT_HEADERDATA, &lines);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, body_write);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, &b);
	rc = curl_easy_perform(c);
	curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(c);
	if (rc == CURLE_OK && status == HTTP_OK && b.data != NULL)
		return b.data;
	free(b.data);
	return NULL;
}
