#include <curl/curl.h>
#include <err.h>
#include <inttypes.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/http_syntax.h"
#include "logsvc/logsvc.h"

#define IDLE_HANDLES_MAX 4
#define URL_BYTES_MAX 512
#define ANSWER_BYTES_MAX (32 * 1024 * 1024)
#define CONNECT_TIMEOUT_MS 1000

struct logsvc_http {
	char *url;
	pthread_mutex_t lock;
	CURL *idle[IDLE_HANDLES_MAX];
	size_t idle_count;
};

struct answer {
	char *data;
	size_t len;
	size_t cap;
};

static enum logsvc_status http_append(
    void *, const char *, const char *, size_t, uint32_t, uint64_t *);
static enum logsvc_status http_read(void *, const char *, uint64_t, uint32_t,
    uint32_t, uint32_t, struct logsvc_batch *);

/*
 * Collects an answer's body for libcurl, up to a fixed size.
 */
static size_t
answer_write(char *data, size_t size, size_t count, void *ctx)
{
	struct answer *a = ctx;
	size_t n = size * count;
	char *p;

	if (a->len + n > ANSWER_BYTES_MAX)
		return 0;
	if (a->len + n > a->cap) {
		a->cap = (a->len + n) * 2;
		p = realloc(a->data, a->cap);
		if (p == NULL)
			return 0;
		a->data = p;
	}
	memcpy(a->data + a->len, data, n);
	a->len += n;
	return n;
}

/*
 * Takes an idle handle, or makes one; its connection may still be open.
 */
static CURL *
handle_take(struct logsvc_http *h)
{
	CURL *c = NULL;

	pthread_mutex_lock(&h->lock);
	if (h->idle_count > 0)
		c = h->idle[--h->idle_count];
	pthread_mutex_unlock(&h->lock);
	if (c == NULL)
		c = curl_easy_init();
	if (c == NULL)
		errx(1, "curl_easy_init");
	curl_easy_reset(c);
	return c;
}

/*
 * Puts a handle back, or closes it where its exchange failed.
 */
static void
handle_give(struct logsvc_http *h, CURL *c, int good)
{
	pthread_mutex_lock(&h->lock);
	if (good && h->idle_count < IDLE_HANDLES_MAX) {
		h->idle[h->idle_count++] = c;
		c = NULL;
	}
	pthread_mutex_unlock(&h->lock);
	if (c != NULL)
		curl_easy_cleanup(c);
}

/*
 * Tells what a failed transfer means for an append.
 */
static enum logsvc_status
status_of_failure(CURLcode rc)
{
	if (rc == CURLE_COULDNT_CONNECT || rc == CURLE_COULDNT_RESOLVE_HOST)
		return LOGSVC_UNAVAILABLE;
	return LOGSVC_UNKNOWN;
}

/*
 * Runs one exchange; a body makes it a POST.  Sets *status to the HTTP
 * status where an answer arrived whole.
 */
static enum logsvc_status
exchange(struct logsvc_http *h, const char *url, const char *data, size_t len,
    uint32_t timeout, struct answer *a, long *status)
{
	struct curl_slist *hdrs = NULL;
	struct http_lines lines;
	CURL *c = handle_take(h);
	CURLcode rc;

	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, (long)timeout);
	curl_easy_setopt(
	    c, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
	http_lines_init(&lines);
	curl_easy_setopt(c, CURLOPT_HEADERFUNCTION, http_lines_receive);
	curl_easy_setopt(c, CURLOPT_HEADERDATA, &lines);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, answer_write);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, a);
	if (data != NULL) {
		hdrs = curl_slist_append(hdrs, "Expect:");
		hdrs = curl_slist_append(hdrs, "Content-Type: text/plain");
		curl_easy_setopt(c, CURLOPT_HTTPHEADER, hdrs);
		/* On a kept connection libcurl might send it twice. */
		curl_easy_setopt(c, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(c, CURLOPT_POST, 1L);
		curl_easy_setopt(c, CURLOPT_POSTFIELDS, data);
		curl_easy_setopt(c, CURLOPT_POSTFIELDSIZE, (long)len);
	}
	rc = curl_easy_perform(c);
	if (rc == CURLE_OK)
		curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, status);
	if (rc == CURLE_OK && !http_status_is_valid((unsigned int)*status))
		rc = CURLE_WEIRD_SERVER_REPLY;
	handle_give(h, c, rc == CURLE_OK);
	curl_slist_free_all(hdrs);
	if (rc == CURLE_OK)
		return LOGSVC_OK;
	counter_add(CTR_LOG_ERRORS, 1);
	return status_of_failure(rc);
}

/*
 * Appends one record.  On LOGSVC_OK, *offset is where it stands.
 */
static enum logsvc_status
http_append(void *ctx, const char *stream, const char *data, size_t len,
    uint32_t timeout, uint64_t *offset)
{
	struct logsvc_http *h = ctx;
	struct answer a = { 0 };
	char url[URL_BYTES_MAX];
	enum logsvc_status st;
	long status = 0;
	json_t *o;

	counter_add(CTR_LOG_APPENDS, 1);
	snprintf(url, sizeof(url), "%s/streams/%s", h->url, stream);
	st = exchange(h, url, data, len, timeout, &a, &status);
	if (st == LOGSVC_OK && status != 201)
		st = LOGSVC_REFUSED;
	if (st == LOGSVC_OK) {
		o = json_loadb(a.data, a.len, 0, NULL);
		if (json_is_integer(json_object_get(o, "offset")))
			*offset = (uint64_t)json_integer_value(
			    json_object_get(o, "offset"));
		else
			st = LOGSVC_UNKNOWN;
		json_decref(o);
	}
	free(a.data);
	return st;
}

/*
 * Copies the records of an answer into the batch.  Returns -1 where the
 * answer is not of the agreed form.
 */
static int
batch_decode(struct logsvc_batch *b, const struct answer *a)
{
	json_t *o = json_loadb(a->data, a->len, 0, NULL), *r, *list;
	json_int_t first, next, offset;
	const char *data;
	size_t i, len;

	memset(b, 0, sizeof(*b));
	if (json_unpack(o, "{s:I,s:I,s:o}", "first", &first, "next", &next,
		"records", &list) == -1 ||
	    !json_is_array(list)) {
		json_decref(o);
		return -1;
	}
	b->first = (uint64_t)first;
	b->next = (uint64_t)next;
	b->list = calloc(json_array_size(list) + 1, sizeof(*b->list));
	if (b->list == NULL)
		err(1, "batch_decode");
	json_array_foreach(list, i, r)
	{
		if (json_unpack(r, "{s:I,s:s%}", "offset", &offset, "data",
			&data, &len) == -1)
			continue;
		b->list[b->count].offset = (uint64_t)offset;
		b->list[b->count].data = malloc(len + 1);
		if (b->list[b->count].data == NULL)
			err(1, "batch_decode");
		memcpy(b->list[b->count].data, data, len);
		b->list[b->count].data[len] = '\0';
		b->list[b->count++].len = len;
	}
	json_decref(o);
	return 0;
}

/*
 * Reads up to max records from an offset on, waiting up to wait ms for one.
 */
static enum logsvc_status
http_read(void *ctx, const char *stream, uint64_t from, uint32_t max,
    uint32_t wait, uint32_t timeout, struct logsvc_batch *b)
{
	struct logsvc_http *h = ctx;
	struct answer a = { 0 };
	char url[URL_BYTES_MAX];
	enum logsvc_status st;
	long status = 0;

	counter_add(CTR_LOG_READS, 1);
	snprintf(url, sizeof(url),
	    "%s/streams/%s?from=%" PRIu64 "&max=%u&wait_ms=%u", h->url, stream,
	    from, max, wait);
	st = exchange(h, url, NULL, 0, timeout, &a, &status);
	if (st == LOGSVC_OK && status != 200)
		st = LOGSVC_REFUSED;
	if (st == LOGSVC_OK && batch_decode(b, &a) == -1) {
		counter_add(CTR_LOG_ERRORS, 1);
		st = LOGSVC_REFUSED;
	}
	free(a.data);
	return st;
}

/*
 * Makes a client of the log service at a URL such as http://10.0.0.1:7000.
 */
struct logsvc_http *
logsvc_http_new(const char *url)
{
	struct logsvc_http *h = calloc(1, sizeof(*h));

	if (h == NULL || (h->url = strdup(url)) == NULL)
		err(1, "logsvc_http_new");
	pthread_mutex_init(&h->lock, NULL);
	return h;
}

/*
 * Closes the client; no call may be under way.
 */
void
logsvc_http_free(struct logsvc_http *h)
{
	if (h == NULL)
		return;
	while (h->idle_count > 0)
		curl_easy_cleanup(h->idle[--h->idle_count]);
	pthread_mutex_destroy(&h->lock);
	free(h->url);
	free(h);
}

/*
 * Fills in the two functions by which the rest of the program uses the log.
 */
void
logsvc_http_use(struct logsvc_http *h, struct logsvc *l)
{
	l->append = http_append;
	l->read = http_read;
	l->ctx = h;
}

/*
 * Frees the records of a batch.
 */
void
logsvc_batch_finish(struct logsvc_batch *b)
{
	size_t i;

	for (i = 0; i < b->count; i++)
		free(b->list[i].data);
	free(b->list);
	memset(b, 0, sizeof(*b));
}
