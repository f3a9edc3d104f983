#include <arpa/inet.h>
#include <curl/curl.h>
#include <err.h>
#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/http_syntax.h"
#include "exchange/client.h"

#define ADDRESS_TEXT 16 /* bytes of an IPv4 address as text */
#define DEST_BUCKETS 256
#define URL_BYTES_MAX 64
#define CONNECT_TIMEOUT_MS 1000
#define RECV_BUFFER_BYTES 16384L

/* An idle handle holds one open connection. */
struct idle {
	struct idle *next;
	CURL *curl;
	uint64_t since;
};

struct dest {
	struct dest *next;
	uint32_t addr;
	uint16_t port;
	struct idle *idle;
	size_t idle_count;
};

struct bucket {
	pthread_mutex_t lock;
	struct dest *dests;
};

struct client {
	struct bucket buckets[DEST_BUCKETS];
	char from[ADDRESS_TEXT]; /* that connections are made from */
	size_t idle_max;	 /* over all destinations */
	uint32_t idle_ms;
	size_t idle_total;
};

/* One exchange under way. */
struct flight {
	const struct answer_sink *sink;
	const struct exchange_req *req;
	struct head head;
	struct http_lines lines;
	int sent;
	int chunked;
	int sized;
	int garbage;
	int head_done;
	int aborted;
	int no_body;
};

static curl_socket_t on_open(void *, curlsocktype, struct curl_sockaddr *);
static int on_progress(void *, curl_off_t, curl_off_t, curl_off_t, curl_off_t);
static int on_request(void *, char *, char *, int, int);
static size_t on_header(char *, size_t, size_t, void *);
static size_t on_body(char *, size_t, size_t, void *);

/*
 * Makes a client that sends from an address (host byte order) and keeps at most
 * that many idle connections, each for at most that many milliseconds.
 */
struct client *
client_new(uint32_t from, size_t idle_max, uint32_t idle_ms)
{
	struct client *c = calloc(1, sizeof(*c));
	int i;

	if (c == NULL)
		err(1, "client_new");
	for (i = 0; i < DEST_BUCKETS; i++)
		pthread_mutex_init(&c->buckets[i].lock, NULL);
	snprintf(c->from, sizeof(c->from), "%u.%u.%u.%u", from >> 24,
	    from >> 16 & 255, from >> 8 & 255, from & 255);
	c->idle_max = idle_max;
	c->idle_ms = idle_ms;
	return c;
}

/*
 * Closes all idle connections; no exchange may be under way.
 */
void
client_free(struct client *c)
{
	struct dest *d;
	int i;

	if (c == NULL)
		return;
	client_reap(c, UINT64_MAX);
	for (i = 0; i < DEST_BUCKETS; i++) {
		while ((d = c->buckets[i].dests) != NULL) {
			c->buckets[i].dests = d->next;
			free(d);
		}
		pthread_mutex_destroy(&c->buckets[i].lock);
	}
	free(c);
}

/*
 * Returns the bucket of a destination.
 */
static struct bucket *
bucket_of(struct client *c, uint32_t addr, uint16_t port)
{
	uint32_t h = (addr * 2654435761U) ^ (port * 40503U);

	return &c->buckets[(h >> 8) % DEST_BUCKETS];
}

/*
 * Finds a destination in its locked bucket, or adds it.
 */
static struct dest *
dest_find(struct bucket *b, uint32_t addr, uint16_t port, int add)
{
	struct dest *d;

	for (d = b->dests; d != NULL; d = d->next)
		if (d->addr == addr && d->port == port)
			return d;
	if (!add)
		return NULL;
	d = calloc(1, sizeof(*d));
	if (d == NULL)
		err(1, "dest_find");
	d->addr = addr;
	d->port = port;
	d->next = b->dests;
	b->dests = d;
	return d;
}

/*
 * Takes the handle of the connection that was used last, or a new handle.
 */
static CURL *
handle_take(struct client *c, const struct exchange_req *r)
{
	struct bucket *b = bucket_of(c, r->addr, r->port);
	uint64_t now = clock_ms();
	CURL *curl = NULL;
	struct idle *i = NULL;
	struct dest *d;

	pthread_mutex_lock(&b->lock);
	d = dest_find(b, r->addr, r->port, 0);
	if (d != NULL && (i = d->idle) != NULL) {
		d->idle = i->next;
		d->idle_count--;
		__atomic_sub_fetch(&c->idle_total, 1, __ATOMIC_RELAXED);
	}
	pthread_mutex_unlock(&b->lock);
	if (i != NULL) {
		curl = i->curl;
		if (now - i->since > c->idle_ms) {
			curl_easy_cleanup(curl);
			curl = NULL;
		}
		free(i);
	}
	if (curl == NULL && (curl = curl_easy_init()) == NULL)
		errx(1, "curl_easy_init");
	curl_easy_reset(curl);
	return curl;
}

/*
 * Keeps the handle for the next exchange, or closes it where the exchange
 * left its connection in doubt or enough are kept.
 */
static void
handle_give(
    struct client *c, const struct exchange_req *r, CURL *curl, int good)
{
	struct bucket *b = bucket_of(c, r->addr, r->port);
	struct idle *i;
	struct dest *d;

	if (!good ||
	    __atomic_load_n(&c->idle_total, __ATOMIC_RELAXED) >= c->idle_max) {
		curl_easy_cleanup(curl);
		return;
	}
	i = malloc(sizeof(*i));
	if (i == NULL)
		err(1, "handle_give");
	i->curl = curl;
	i->since = clock_ms();
	pthread_mutex_lock(&b->lock);
	d = dest_find(b, r->addr, r->port, 1);
	if (d->idle_count < r->idle_max) {
		i->next = d->idle;
		d->idle = i;
		d->idle_count++;
		__atomic_add_fetch(&c->idle_total, 1, __ATOMIC_RELAXED);
		i = NULL;
	}
	pthread_mutex_unlock(&b->lock);
	if (i != NULL) {
		curl_easy_cleanup(i->curl);
		free(i);
	}
}

/*
 * Unlinks the idle handles of a destination that are older than a time.
 */
static struct idle *
dest_expire(struct client *c, struct dest *d, uint64_t before)
{
	struct idle **p = &d->idle, *i, *out = NULL;

	while ((i = *p) != NULL) {
		if (i->since >= before) {
			p = &i->next;
			continue;
		}
		*p = i->next;
		i->next = out;
		out = i;
		d->idle_count--;
		__atomic_sub_fetch(&c->idle_total, 1, __ATOMIC_RELAXED);
	}
	return out;
}

/*
 * Closes a list of idle handles.
 */
static void
idle_close(struct idle *i)
{
	struct idle *next;

	for (; i != NULL; i = next) {
		next = i->next;
		curl_easy_cleanup(i->curl);
		free(i);
	}
}

/*
 * Closes the connections that have been idle for too long at a time (ms).
 */
void
client_reap(struct client *c, uint64_t now)
{
	uint64_t before = now == UINT64_MAX  ? now
			  : now > c->idle_ms ? now - c->idle_ms
					     : 0;
	struct dest **p, *d;
	struct idle *out;
	int i;

	for (i = 0; i < DEST_BUCKETS; i++) {
		pthread_mutex_lock(&c->buckets[i].lock);
		for (p = &c->buckets[i].dests; (d = *p) != NULL;) {
			out = dest_expire(c, d, before);
			idle_close(out);
			if (d->idle != NULL) {
				p = &d->next;
				continue;
			}
			*p = d->next;
			free(d);
		}
		pthread_mutex_unlock(&c->buckets[i].lock);
	}
}

/*
 * Closes all idle connections to one destination.
 */
void
client_forget(struct client *c, uint32_t addr, uint16_t port)
{
	struct bucket *b = bucket_of(c, addr, port);
	struct idle *out = NULL;
	struct dest *d;

	pthread_mutex_lock(&b->lock);
	d = dest_find(b, addr, port, 0);
	if (d != NULL)
		out = dest_expire(c, d, UINT64_MAX);
	pthread_mutex_unlock(&b->lock);
	idle_close(out);
}

/*
 * Opens a socket for libcurl, but never a second one for an exchange whose
 * request was sent already: libcurl would send the request once more.
 */
static curl_socket_t
on_open(void *ctx, curlsocktype purpose, struct curl_sockaddr *a)
{
	struct flight *f = ctx;

	(void)purpose;
	if (f->sent)
		return CURL_SOCKET_BAD;
	return socket(a->family, a->socktype | SOCK_CLOEXEC, a->protocol);
}

/*
 * Gives up an exchange that nobody expects an answer from any more.
 */
static int
on_progress(void *ctx, curl_off_t down_all, curl_off_t down, curl_off_t up_all,
    curl_off_t up)
{
	struct flight *f = ctx;

	(void)down_all;
	(void)down;
	(void)up_all;
	(void)up;
	if (!f->req->hopeless(f->req->hopeless_ctx))
		return 0;
	f->aborted = 1;
	return 1;
}

/*
 * Notes that the request is about to be sent.
 */
static int
on_request(void *ctx, char *rip, char *lip, int rport, int lport)
{
	struct flight *f = ctx;

	(void)rip;
	(void)lip;
	(void)rport;
	(void)lport;
	f->sent = 1;
	return CURL_PREREQFUNC_OK;
}

/*
 * Ends the head of an answer: an interim one is dropped, a final one must
 * say how long its body is.
 */
static size_t
head_end(struct flight *f, size_t n)
{
	int st = f->head.status;

	if (st >= 100 && st < 200)
		return n;
	if (f->head.overflow || !http_status_is_valid((unsigned int)st)) {
		f->garbage = 1;
		return 0;
	}
	if (f->no_body || st == 204 || st == 304) {
		if (!f->sized || st == 204)
			f->head.length = 0;
	} else if (f->chunked) {
		f->head.length = HEAD_LEN_CHUNKED;
	} else if (!f->sized) {
		f->garbage = 1;
		return 0;
	}
	f->head_done = 1;
	if (f->sink->head(f->sink->ctx, &f->head) == 0)
		return n;
	f->aborted = 1;
	return 0;
}

/*
 * Keeps one header field of an answer.
 */
static void
header_keep(struct flight *f, const char *line, size_t n)
{
	const char *colon = memchr(line, ':', n), *v;
	char name[128];
	size_t nlen;
	int64_t len;

	if (colon == NULL || (nlen = (size_t)(colon - line)) >= sizeof(name))
		return;
	memcpy(name, line, nlen);
	name[nlen] = '\0';
	v = colon + 1;
	while (v < line + n && (*v == ' ' || *v == '\t'))
		v++;
	if (strcasecmp(name, "Transfer-Encoding") == 0) {
		/* Only chunks can be undone, and nothing else is asked for. */
		if (f->chunked || !http_is_chunked(v, (size_t)(line + n - v)))
			f->head.overflow = 1;
		f->chunked = 1;
	}
	if (strcasecmp(name, "Content-Length") == 0) {
		char num[32];

		snprintf(num, sizeof(num), "%.*s",
		    (int)(line + n - v > 31 ? 31 : line + n - v), v);
		if (head_length_parse(num, &len) == -1 ||
		    (f->sized && len != f->head.length))
			f->head.overflow = 1;
		f->head.length = len;
		f->sized = 1;
	}
	if (!head_is_hop(name))
		head_addn(&f->head, line, nlen, v, (size_t)(line + n - v));
}

/*
 * Receives one line of an answer's head, or a trailer, from libcurl.
 */
static size_t
on_header(char *data, size_t size, size_t count, void *ctx)
{
	struct flight *f = ctx;
	size_t total = size * count, n = total;

	switch (http_lines_add(&f->lines, data, total)) {
	case HTTP_LINE_INVALID:
		f->garbage = 1;
		return 0;
	case HTTP_LINE_STATUS:
		head_init(&f->head, f->lines.status);
		f->chunked = 0;
		f->sized = 0;
		return total;
	case HTTP_LINE_FIELD:
		while (n > 0 && (data[n - 1] == '\r' || data[n - 1] == '\n'))
			n--;
		header_keep(f, data, n);
		return total;
	case HTTP_LINE_END:
		return head_end(f, total);
	case HTTP_LINE_TRAILER:
		break;
	}
	return total;
}

/*
 * Receives a part of an answer's body from libcurl.
 */
static size_t
on_body(char *data, size_t size, size_t count, void *ctx)
{
	struct flight *f = ctx;
	size_t n = size * count;

	if (!f->head_done) {
		f->garbage = 1;
		return 0;
	}
	if (f->sink->body(f->sink->ctx, data, n) == 0)
		return n;
	f->aborted = 1;
	return 0;
}

/*
 * Turns libcurl's verdict into how the exchange ended.
 */
static enum exchange_end
end_of(const struct flight *f, CURLcode rc)
{
	if (rc == CURLE_OK)
		return f->head_done ? EXCHANGE_WHOLE : EXCHANGE_GARBAGE;
	if (f->aborted)
		return EXCHANGE_ABORTED;
	if (!f->sent)
		return EXCHANGE_UNSENT;
	if (rc == CURLE_OPERATION_TIMEDOUT)
		return EXCHANGE_TIMEOUT;
	if (f->head_done)
		return EXCHANGE_CUT_BODY;
	if (f->garbage || rc == CURLE_UNSUPPORTED_PROTOCOL ||
	    rc == CURLE_WEIRD_SERVER_REPLY || rc == CURLE_HTTP2)
		return EXCHANGE_GARBAGE;
	return EXCHANGE_CUT;
}

/*
 * Gives libcurl the request line and body.
 */
static void
set_request(CURL *c, const struct exchange_req *r, struct flight *f)
{
	char url[URL_BYTES_MAX];

	snprintf(url, sizeof(url), "http://%u.%u.%u.%u:%u/", r->addr >> 24,
	    r->addr >> 16 & 255, r->addr >> 8 & 255, r->addr & 255, r->port);
	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_REQUEST_TARGET, r->target);
	curl_easy_setopt(c, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(c, CURLOPT_HTTP09_ALLOWED, 0L);
	if (strcmp(r->method, "HEAD") == 0) {
		f->no_body = 1;
		curl_easy_setopt(c, CURLOPT_NOBODY, 1L);
	} else if (r->body_len > 0 || strcmp(r->method, "POST") == 0) {
		curl_easy_setopt(c, CURLOPT_POST, 1L);
		curl_easy_setopt(
		    c, CURLOPT_POSTFIELDS, r->body != NULL ? r->body : "");
		curl_easy_setopt(
		    c, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)r->body_len);
	}
	if (strcmp(r->method, "HEAD") != 0)
		curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, r->method);
}

/*
 * Builds libcurl's header list; fields that libcurl would add by itself are
 * taken out.
 */
static struct curl_slist *
set_headers(const struct head *h)
{
	struct curl_slist *l = NULL;
	const char *sep;
	unsigned int i;
	char *line;

	l = curl_slist_append(l, "Expect:");
	l = curl_slist_append(l, "User-Agent:");
	if (head_get(h, "Accept") == NULL)
		l = curl_slist_append(l, "Accept:");
	if (head_get(h, "Content-Type") == NULL)
		l = curl_slist_append(l, "Content-Type:");
	for (i = 0; i < h->count; i++) {
		sep = head_value(h, i)[0] == '\0' ? ";" : ": ";
		line =
		    g_strconcat(head_name(h, i), sep, head_value(h, i), NULL);
		l = curl_slist_append(l, line);
		g_free(line);
	}
	return l;
}

/*
 * Sends one request and passes its answer to the sink.  Blocks until the
 * answer is whole, broken or late.  The request is sent at most once.
 */
enum exchange_end
client_exchange(struct client *cl, const struct exchange_req *r,
    const struct answer_sink *sink)
{
	struct flight *f = calloc(1, sizeof(*f));
	struct curl_slist *hdrs = set_headers(r->head);
	CURL *c = handle_take(cl, r);
	long connect = CONNECT_TIMEOUT_MS;
	enum exchange_end end;
	CURLcode rc;

	if (r->timeout_ms < CONNECT_TIMEOUT_MS)
		connect = (long)r->timeout_ms;
	if (f == NULL)
		err(1, "client_exchange");
	f->sink = sink;
	f->req = r;
	head_init(&f->head, 0);
	http_lines_init(&f->lines);
	set_request(c, r, f);
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, hdrs);
	curl_easy_setopt(c, CURLOPT_INTERFACE, cl->from);
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(c, CURLOPT_MAXCONNECTS, 1L);
	curl_easy_setopt(c, CURLOPT_BUFFERSIZE, RECV_BUFFER_BYTES);
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS,
	    (long)(r->timeout_ms > 0 ? r->timeout_ms : 1));
	curl_easy_setopt(c, CURLOPT_CONNECTTIMEOUT_MS, connect);
	curl_easy_setopt(c, CURLOPT_OPENSOCKETFUNCTION, on_open);
	curl_easy_setopt(c, CURLOPT_OPENSOCKETDATA, f);
	curl_easy_setopt(c, CURLOPT_PREREQFUNCTION, on_request);
	curl_easy_setopt(c, CURLOPT_PREREQDATA, f);
	curl_easy_setopt(c, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(c, CURLOPT_HEADERDATA, f);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, f);
	if (r->hopeless != NULL) {
		curl_easy_setopt(c, CURLOPT_NOPROGRESS, 0L);
		curl_easy_setopt(c, CURLOPT_XFERINFOFUNCTION, on_progress);
		curl_easy_setopt(c, CURLOPT_XFERINFODATA, f);
	}
	rc = curl_easy_perform(c);
	end = end_of(f, rc);
	handle_give(cl, r, c, end == EXCHANGE_WHOLE);
	curl_slist_free_all(hdrs);
	free(f);
	return end;
}
